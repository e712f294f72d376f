//! Errors of the gateway.

use std::net::SocketAddr;

use displaydoc::Display;
use thiserror::Error;

/// `Result` of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` tells why a gateway could not start.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// {setting} {address} cannot be bound: {source}
    Bind {
        /// Name of the setting.
        setting: &'static str,
        /// Its value.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// the metrics cannot be registered: {reason}
    Metrics {
        /// What the registry said.
        reason: String,
    },
}

/// `Cut` ends an answer that cannot be completed: the connection closes without a clean end, so
/// that no caller takes a part for the whole.
#[derive(Debug, Clone, Copy, Display, Error)]
pub enum Cut {
    /// the upstream broke off
    UpstreamBroke,
    /// the time of the request is over
    TimedOut,
    /// the instance ends
    InstanceEnded,
}

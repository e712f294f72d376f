//! Answer ends: whether an answer that came without a length is whole.
//!
//! Such an answer ends with its connection, in order or not. Read by itself, an end in order tells only that
//! the upstream's system has ended its side: the process may have given up, or be gone.

use std::net::SocketAddr;
use std::rc::Rc;

use bergamotpitch_control::traffic::registries::UpstreamKey;
use displaydoc::Display;

use crate::gateways::Gateway;

/// `EndFlaw` is why an answer that ended with its connection is not whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum EndFlaw {
    /// it ended before the request was written
    Unwritten,
    /// its upstream ended with it
    UpstreamEnded,
}

impl Gateway {
    /// `check_end` tells why an answer without a length that has ended in order is not whole. An upstream that has
    /// not taken the whole request cannot have answered it in full.
    pub(crate) async fn check_end(
        self: &Rc<Self>,
        is_written: bool,
        upstream: UpstreamKey,
        address: SocketAddr,
    ) -> Option<EndFlaw> {
        if !is_written {
            return Some(EndFlaw::Unwritten);
        }
        self.has_ended(upstream, address).await.then_some(EndFlaw::UpstreamEnded)
    }
}

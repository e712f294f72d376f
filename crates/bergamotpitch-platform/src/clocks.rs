//! Clocks: the monotonic time that leases and claims are judged by, and the wall clock.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bergamotpitch_core::units::Timestamp;
use tokio::time::Instant;

/// `process_time` is the monotonic time since its first use in this process.
pub(crate) fn process_time() -> Timestamp {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed()
}

/// `unix_seconds` is the wall-clock time in seconds since the Unix epoch.
pub(crate) fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_secs()
}

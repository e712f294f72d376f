//! Wall-clock time for records.

use std::time::{SystemTime, UNIX_EPOCH};

/// `wall_clock_us` returns the microseconds since the Unix epoch.
///
/// ```
/// assert!(0 < bergamotpitch_standin::clocks::wall_clock_us());
/// ```
pub fn wall_clock_us() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_micros() as u64
}

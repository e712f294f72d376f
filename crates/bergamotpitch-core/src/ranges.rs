//! Ranges that numbers in sheets and settings may have; docs/SETTINGS.md names each.

use std::ops::RangeInclusive;

use crate::errors::{Result, field_error};

/// `Range` is the smallest and the largest value that a number may have.
pub type Range = RangeInclusive<u64>;

/// Fair share of a team, relative to the others.
pub const SHARE: Range = 1..=1_000_000;

/// Requests that an upstream can run at once.
pub const SLOTS: Range = 1..=100_000;

/// Cost units of a token or a call.
pub const COST: Range = 0..=1_000_000;

/// Cost units that a request is charged at dispatch.
pub const FIRST_ESTIMATE: Range = 1..=1_000_000_000;

/// Requests that may wait at one instance.
pub const QUEUE_LIMIT_REQUESTS: Range = 1..=100_000;

/// Bytes of bodies that may wait at one instance.
pub const QUEUE_LIMIT_BYTES: Range = 1..=1 << 30;

/// Retries in percent of first attempts.
pub const RETRY_BUDGET_PERCENT: Range = 0..=100;

/// Time between two ticks of the control thread, in milliseconds.
pub const TICK_MS: Range = 1..=1_000;

/// Bytes of a request body.
pub const BODY_LIMIT_BYTES: Range = 1..=1 << 30;

/// Deadline of a request, in milliseconds.
pub const DEADLINE_MS: Range = 1..=86_400_000;

/// Longest drain, in milliseconds.
pub const DRAIN_LIMIT_MS: Range = 0..=86_400_000;

/// Threads that carry traffic.
pub const TRAFFIC_THREADS: Range = 1..=256;

/// `check_range` rejects a number that is out of its range.
///
/// # Errors
///
/// Names the field, the value and the range.
///
/// ```
/// use bergamotpitch_core::ranges::{SHARE, check_range};
/// let error = check_range("sheet.json", "teams[0].share", 0, &SHARE).unwrap_err();
/// assert_eq!(error.to_string(), "sheet.json: teams[0].share: is 0; it must be from 1 to 1000000");
/// ```
pub fn check_range(file: &str, field: &str, value: u64, range: &Range) -> Result<()> {
    if range.contains(&value) {
        return Ok(());
    }
    let (least, most) = (range.start(), range.end());
    Err(field_error(file, field, format!("is {value}; it must be from {least} to {most}")))
}

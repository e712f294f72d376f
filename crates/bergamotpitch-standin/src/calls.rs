//! Counts and limits of calls to the stand-in platform.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// `RateLimits` are the calls a second that the platform takes; 0 means no limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RateLimits {
    /// Writes a second, sessions among them.
    pub writes_per_s: u32,
    /// Reads a second, waiting watches and list reads among them.
    pub reads_per_s: u32,
}

/// `CallCounts` are the calls that the platform took since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CallCounts {
    /// Reads of keys that did not wait.
    pub reads: u64,
    /// Reads of keys that waited for a change; a waiting watch counts as one.
    pub watches: u64,
    /// Reads of the instance list.
    pub lists: u64,
    /// Writes and deletions of keys.
    pub writes: u64,
    /// Writes whose condition did not hold; they are counted as writes as well.
    pub conflicts: u64,
    /// Creations, renewals and ends of sessions.
    pub sessions: u64,
    /// Calls refused because they came over the rate.
    pub over_rate: u64,
    /// Calls that met an outage.
    pub failed: u64,
    /// Writes that took effect and whose answer was lost.
    pub lost_answers: u64,
    /// Bytes of values written.
    pub written_bytes: u64,
    /// Bytes of values read.
    pub read_bytes: u64,
    /// Calls by the first two segments of the key, such as `bergamotpitch/claims`.
    pub by_prefix: BTreeMap<String, u64>,
}

/// `Bucket` holds the calls that may be made at once; it fills at a rate.
#[derive(Debug, Default)]
pub struct Bucket {
    taken: f64,
    updated: Option<Instant>,
}

/// `take_call` takes one call out of a bucket, and tells whether there was one.
///
/// ```
/// use bergamotpitch_standin::calls::{Bucket, take_call};
/// let mut bucket = Bucket::default();
/// let now = tokio::time::Instant::now();
/// assert!(take_call(&mut bucket, 1, now));
/// assert!(!take_call(&mut bucket, 1, now));
/// ```
pub fn take_call(bucket: &mut Bucket, calls_per_s: u32, now: Instant) -> bool {
    if calls_per_s == 0 {
        return true;
    }
    let limit = f64::from(calls_per_s);
    let passed = bucket.updated.map_or(0.0, |updated| (now - updated).as_secs_f64());
    bucket.updated = Some(now);
    // The bucket holds one second's worth, so that a burst of that size passes.
    bucket.taken = (bucket.taken - passed * limit).max(0.0);
    if limit < bucket.taken + 1.0 {
        return false;
    }
    bucket.taken += 1.0;
    true
}

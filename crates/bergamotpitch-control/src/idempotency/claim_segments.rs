//! Claim segments: settled claims that were moved out of the record of a shard.
//!
//! Each commit rewrites a shard's record, so that the record has to stay small. Claims whose outcome
//! is recorded move into segments, which never change. A claim is always either in the record or in
//! a segment that the record names; the compare-and-swap of the record decides which.

use bergamotpitch_core::HashMap;
use serde::{Deserialize, Serialize};

use crate::idempotency::claim_options::ClaimOptions;
use crate::idempotency::claims::{
    Claim, ClaimKey, Nonce, ShardRecord, UnixSeconds, claim_size_bytes,
};

/// `SegmentName` names a segment; no two have the same.
pub type SegmentName = u128;

/// Most segments that a record names, in bytes of their references.
pub(crate) const REFERENCE_SIZE_BYTES: usize = 19 + 10;

/// Least part of the largest segment that is worth a segment of its own.
const MIN_SEGMENT_DIVISOR: usize = 2;

/// Age above which a claim without an outcome is moved as well.
const INCOMPLETE_AGE_S: u64 = 600;

/// `SegmentReference` is how a record names a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentReference {
    /// The segment.
    pub name: SegmentName,
    /// Time after which none of its claims holds.
    pub expires_s: UnixSeconds,
}

/// `Segment` is a set of claims that never changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The claims.
    pub claims: Vec<Claim>,
}

/// `KeySet` tells which keys a segment may hold: the first eight bytes of each, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KeySet {
    prefixes: Vec<u64>,
}

/// `key_set` collects the keys of a segment.
pub fn key_set(segment: &Segment) -> KeySet {
    let mut prefixes: Vec<u64> =
        segment.claims.iter().map(|claim| prefix_of_key(&claim.key)).collect();
    prefixes.sort_unstable();
    KeySet { prefixes }
}

/// `may_hold` tells whether a segment may hold a key; false is certain.
///
/// ```
/// use bergamotpitch_control::idempotency::claim_segments::{Segment, key_set, may_hold};
/// use bergamotpitch_control::idempotency::claims::claim_key;
/// let keys = key_set(&Segment::default());
/// assert!(!may_hold(&keys, &claim_key("roses", "crm", "a")));
/// ```
pub fn may_hold(keys: &KeySet, key: &ClaimKey) -> bool {
    keys.prefixes.binary_search(&prefix_of_key(key)).is_ok()
}

/// `SegmentSearch` is what one round knows of the segments of a shard.
#[derive(Debug, Default)]
pub(crate) struct SegmentSearch {
    /// Segments that were read in this round.
    pub(crate) read: Vec<SegmentName>,
    /// Claims on wished keys that were found in them.
    pub(crate) segment_claims: Vec<Claim>,
}

/// `next_unread_segment` names a segment that has to be read before the wished keys can be judged.
pub(crate) fn next_unread_segment(
    record: &ShardRecord,
    segment_keys: &HashMap<SegmentName, KeySet>,
    round: &SegmentSearch,
    requested: &[ClaimKey],
) -> Option<SegmentName> {
    let needs_read = |reference: &&SegmentReference| {
        if round.read.contains(&reference.name) {
            return false;
        }
        let Some(keys) = segment_keys.get(&reference.name) else { return !requested.is_empty() };
        requested.iter().any(|key| may_hold(keys, key))
    };
    record.segments.iter().find(needs_read).map(|reference| reference.name)
}

/// `add_segment` takes a segment that was read into the round and the caches.
pub(crate) fn add_segment(
    segment_keys: &mut HashMap<SegmentName, KeySet>,
    round: &mut SegmentSearch,
    name: SegmentName,
    segment: Segment,
    requested: &[ClaimKey],
) {
    segment_keys.insert(name, key_set(&segment));
    round.read.push(name);
    round
        .segment_claims
        .extend(segment.claims.into_iter().filter(|claim| requested.contains(&claim.key)));
}

/// `split_record` moves settled claims out of a record that has grown too large, if enough of it is
/// settled to be worth a segment.
pub(crate) fn split_record(
    record: &ShardRecord,
    name: SegmentName,
    now_s: UnixSeconds,
    new_nonces: &[Nonce],
    options: &ClaimOptions,
) -> Option<(ShardRecord, Segment)> {
    let size_bytes: usize = record.claims.iter().map(claim_size_bytes).sum();
    if size_bytes <= options.segment_bytes {
        return None;
    }
    let is_movable = |claim: &Claim| {
        let claimed_s = claim.expires_s.saturating_sub(options.lifetime.as_secs());
        let is_old = claimed_s.saturating_add(INCOMPLETE_AGE_S) < now_s;
        (claim.outcome.is_some() || is_old) && !new_nonces.contains(&claim.nonce)
    };
    let (moved, rest): (Vec<Claim>, Vec<Claim>) =
        record.claims.iter().cloned().partition(is_movable);
    let moved_bytes: usize = moved.iter().map(claim_size_bytes).sum();
    if moved_bytes < options.segment_bytes / MIN_SEGMENT_DIVISOR {
        return None;
    }
    let expires_s = moved.iter().map(|claim| claim.expires_s).max().unwrap_or(0);
    let mut segments = record.segments.clone();
    segments.push(SegmentReference { name, expires_s });
    let record = ShardRecord { revision: record.revision, claims: rest, segments };
    Some((record, Segment { claims: moved }))
}

fn prefix_of_key(key: &ClaimKey) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&key[..8]);
    u64::from_le_bytes(first)
}

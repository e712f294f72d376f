//! Claims on idempotency keys: the record of a shard, and what one operation does to it.
//!
//! A shard's record is the value of one key of the key-value service. Whoever changes it reads it,
//! changes the copy, and writes it back by compare-and-swap; nothing else decides who holds a key.

use bergamotpitch_core::units::Timestamp;
use serde::{Deserialize, Serialize};

use crate::idempotency::claim_segments::{REFERENCE_SIZE_BYTES, SegmentReference};

/// `ClaimKey` names what is claimed: a hash of team, service and idempotency key.
pub type ClaimKey = [u8; 16];

/// `Fingerprint` is a hash of method, path and body.
pub type Fingerprint = [u8; 16];

/// `Nonce` is a random number by which the owner of a claim knows it again.
pub type Nonce = u128;

/// `UnixSeconds` is wall-clock time in seconds since the Unix epoch.
pub type UnixSeconds = u64;

/// `ShardId` numbers the shards from 0.
pub type ShardId = u32;

/// Most bytes that a claim takes without its outcome: key, fingerprint, nonce, time and tags.
const CLAIM_SIZE_BYTES: usize = 16 + 16 + 19 + 10 + 2;

/// Most bytes that an outcome takes beside its headers and body.
const OUTCOME_SIZE_BYTES: usize = 16;

/// Most bytes that a header takes beside its name and value.
const HEADER_SIZE_BYTES: usize = 6;

/// `ShardRecord` is the value of one shard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// Count of writes. It makes each written value differ from the one before, since a service
    /// may leave the index as it is when a write changes nothing.
    pub revision: u64,
    /// Claims that are in no segment, oldest first.
    pub claims: Vec<Claim>,
    /// Segments that hold the other claims, oldest first.
    pub segments: Vec<SegmentReference>,
}

/// `Claim` is a key that was claimed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key.
    pub key: ClaimKey,
    /// Hash of the request that claimed it.
    pub fingerprint: Fingerprint,
    /// The owner's nonce.
    pub nonce: Nonce,
    /// Time after which the key may be claimed anew.
    pub expires_s: UnixSeconds,
    /// What the request was answered with, once that is known.
    pub outcome: Option<Outcome>,
}

/// `Outcome` is the answer that a claimed request got.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Headers that matter to the caller.
    pub headers: Vec<HeaderLine>,
    /// The body; none when it was too large to be kept.
    pub body: Option<Vec<u8>>,
}

/// `HeaderLine` is one header of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderLine {
    /// Name of the header.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// `ClaimDecision` is what became of a wish to claim a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The key is claimed; the request may run once, until the given time.
    Won {
        /// Time after which the request must not be handed over any more.
        dispatch_until: Timestamp,
    },
    /// The key was claimed before, and this is how that request was answered.
    Answered(Outcome),
    /// The key was claimed before, and nobody recorded what became of that request.
    OutcomeUnknown,
    /// The key was claimed before by another request.
    Mismatch,
    /// No claim could be made, and the request has not run.
    Unavailable,
}

/// `claim_key` hashes what a caller names.
///
/// ```
/// use bergamotpitch_control::idempotency::claims::claim_key;
/// assert_ne!(claim_key("roses", "crm", "a"), claim_key("roses", "crm", "b"));
/// assert_ne!(claim_key("ab", "c", "d"), claim_key("a", "bc", "d"));
/// ```
pub fn claim_key(team: &str, service: &str, idempotency_key: &str) -> ClaimKey {
    hash_of_parts(&[team.as_bytes(), service.as_bytes(), idempotency_key.as_bytes()])
}

/// `request_fingerprint` hashes a request, so that a key used with another one is noticed.
///
/// ```
/// use bergamotpitch_control::idempotency::claims::request_fingerprint;
/// let first = request_fingerprint("POST", "/orders", b"12 roses");
/// assert_ne!(first, request_fingerprint("POST", "/orders", b"12 tulips"));
/// ```
pub fn request_fingerprint(method: &str, path: &str, body: &[u8]) -> Fingerprint {
    hash_of_parts(&[method.as_bytes(), path.as_bytes(), body])
}

/// `shard_of_key` tells which of `shard_count` shards holds a key.
///
/// ```
/// use bergamotpitch_control::idempotency::claims::{claim_key, shard_of_key};
/// assert!(shard_of_key(&claim_key("roses", "crm", "a"), 64) < 64);
/// ```
pub fn shard_of_key(key: &ClaimKey, shard_count: u32) -> ShardId {
    let number = u32::from_le_bytes([key[0], key[1], key[2], key[3]]);
    number % shard_count.max(1)
}

/// `may_dispatch` tells whether a claimed request may still be sent; it is called right before.
///
/// An owner that was paused for longer than its claim's lifetime would otherwise send a request
/// whose key another router may have claimed since.
///
/// ```
/// use std::time::Duration;
/// use bergamotpitch_control::idempotency::claims::may_dispatch;
/// assert!(may_dispatch(Duration::from_secs(9), Duration::from_secs(8)));
/// assert!(!may_dispatch(Duration::from_secs(9), Duration::from_secs(9)));
/// ```
pub fn may_dispatch(dispatch_until: Timestamp, now: Timestamp) -> bool {
    now < dispatch_until
}

/// `find_claim` finds the claim on a key.
///
/// ```
/// use bergamotpitch_control::idempotency::claims::{ShardRecord, claim_key, find_claim};
/// let key = claim_key("roses", "crm", "a");
/// assert_eq!(find_claim(&ShardRecord::default(), &key), None);
/// ```
pub fn find_claim<'a>(record: &'a ShardRecord, key: &ClaimKey) -> Option<&'a Claim> {
    record.claims.iter().find(|claim| claim.key == *key)
}

/// `find_own_claim` finds the claim that carries a nonce.
pub fn find_own_claim<'a>(
    record: &'a mut ShardRecord,
    key: &ClaimKey,
    nonce: Nonce,
) -> Option<&'a mut Claim> {
    record.claims.iter_mut().find(|claim| claim.key == *key && claim.nonce == nonce)
}

/// `remove_claim` removes the claim that carries a nonce, if nothing is recorded with it.
pub fn remove_claim(record: &mut ShardRecord, key: &ClaimKey, nonce: Nonce) -> bool {
    let count = record.claims.len();
    record
        .claims
        .retain(|claim| claim.key != *key || claim.nonce != nonce || claim.outcome.is_some());
    record.claims.len() < count
}

/// `drop_expired` forgets claims whose time is over by more than the margin.
///
/// The margin makes up for clocks that differ: without it, a router whose clock runs ahead would
/// free a key that its owner may still hand over, and the request could run twice.
///
/// ```
/// use bergamotpitch_control::idempotency::claims::{Claim, ShardRecord, claim_key, drop_expired};
/// let key = claim_key("roses", "crm", "a");
/// let claim = Claim { key, fingerprint: [0; 16], nonce: 1, expires_s: 100, outcome: None };
/// let mut record = ShardRecord { claims: vec![claim], ..ShardRecord::default() };
/// drop_expired(&mut record, 110, 10);
/// assert_eq!(record.claims.len(), 1);
/// drop_expired(&mut record, 111, 10);
/// assert_eq!(record.claims.len(), 0);
/// ```
pub fn drop_expired(record: &mut ShardRecord, now_s: UnixSeconds, max_clock_skew_s: u64) {
    let holds = |expires_s: UnixSeconds| now_s <= expires_s.saturating_add(max_clock_skew_s);
    record.claims.retain(|claim| holds(claim.expires_s));
    record.segments.retain(|segment| holds(segment.expires_s));
}

/// `record_size_bytes` bounds the encoded size of a record from above.
pub fn record_size_bytes(record: &ShardRecord) -> usize {
    let references = record.segments.len() * REFERENCE_SIZE_BYTES;
    20 + references + record.claims.iter().map(claim_size_bytes).sum::<usize>()
}

/// `claim_size_bytes` bounds the encoded size of a claim from above.
pub fn claim_size_bytes(claim: &Claim) -> usize {
    CLAIM_SIZE_BYTES + claim.outcome.as_ref().map_or(0, outcome_size_bytes)
}

/// `outcome_size_bytes` bounds the encoded size of an outcome from above.
pub fn outcome_size_bytes(outcome: &Outcome) -> usize {
    let headers: usize = outcome
        .headers
        .iter()
        .map(|line| HEADER_SIZE_BYTES + line.name.len() + line.value.len())
        .sum();
    OUTCOME_SIZE_BYTES + headers + outcome.body.as_ref().map_or(0, Vec::len)
}

// Each part is preceded by its length, so that no two lists of parts hash alike.
fn hash_of_parts(parts: &[&[u8]]) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut first = [0; 16];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    first
}

//! What the shards of a claim run hold at its end.

use bergamotpitch_control::idempotency::claim_segments::SegmentName;
use bergamotpitch_control::idempotency::claims::{Claim, ShardId, ShardRecord};

use crate::claim_histories::{AttemptId, KeyId};
use crate::claim_runs::{EARLIER_NONCE, Run, decode_record, shard_key};
use crate::{claim_kv_calls, fake_kvs};

/// `held_keys` lists the keys that are claimed, by whom, and whether an outcome is recorded.
pub(crate) fn held_keys(run: &Run) -> Vec<(KeyId, AttemptId, bool)> {
    let mut held = Vec::new();
    for shard in 0..run.options.claims.shard_count {
        let record = shard_record(run, shard);
        let moved = record.segments.iter().filter_map(|reference| {
            let key = claim_kv_calls::segment_key(shard, reference.name);
            fake_kvs::peek(&run.kv, &key).map(claim_kv_calls::decode_segment)
        });
        let moved: Vec<Claim> = moved.flat_map(|segment| segment.claims).collect();
        let claims = record.claims.into_iter().chain(moved);
        for claim in claims.filter(|claim| claim.nonce < EARLIER_NONCE) {
            let attempt = (claim.nonce - 1) as AttemptId;
            held.push((run.attempts[attempt].key, attempt, claim.outcome.is_some()));
        }
    }
    held
}

/// `missing_segments` counts the segments that a shard names and that are gone.
pub(crate) fn missing_segments(run: &Run) -> usize {
    let is_missing = |shard: ShardId, name: SegmentName| {
        fake_kvs::peek(&run.kv, &claim_kv_calls::segment_key(shard, name)).is_none()
    };
    (0..run.options.claims.shard_count)
        .map(|shard| {
            let record = shard_record(run, shard);
            record.segments.iter().filter(|segment| is_missing(shard, segment.name)).count()
        })
        .sum()
}

/// `shard_record` is the record of a shard.
pub(crate) fn shard_record(run: &Run, shard: ShardId) -> ShardRecord {
    decode_record(fake_kvs::peek(&run.kv, &shard_key(shard)).cloned())
}

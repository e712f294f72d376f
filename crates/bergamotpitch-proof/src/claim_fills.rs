//! Claims of earlier requests that the shards of a run hold at the beginning.

use bergamotpitch_control::idempotency::claim_segments::{Segment, SegmentReference};
use bergamotpitch_control::idempotency::claims::{
    Claim, Nonce, Outcome, ShardId, ShardRecord, claim_key, claim_size_bytes, shard_of_key,
};

use crate::claim_runs::{EARLIER_NONCE, FIRST_UNIX_S, Run, shard_key};
use crate::{claim_kv_calls, fake_kvs};

/// `fill_shards` puts the claims of earlier requests into the segments of the shards.
pub(crate) fn fill_shards(run: &mut Run) {
    let shard_count = run.options.claims.shard_count;
    let mut records = vec![ShardRecord::default(); shard_count as usize];
    for number in 0..run.options.live_claims {
        let key = claim_key("team", "service", &format!("earlier-{number}"));
        let outcome = Outcome { status: 200, headers: Vec::new(), body: Some(vec![0; 40]) };
        let claim = Claim {
            key,
            fingerprint: [7; 16],
            nonce: EARLIER_NONCE + number as Nonce,
            expires_s: FIRST_UNIX_S + 3_600,
            outcome: Some(outcome),
        };
        records[shard_of_key(&key, shard_count) as usize].claims.push(claim);
    }
    for (shard, record) in records.iter_mut().enumerate() {
        move_to_segments(run, shard as ShardId, record);
        let value = postcard::to_stdvec(&*record).expect("a record can be encoded");
        fake_kvs::write(&mut run.kv, &shard_key(shard as ShardId), value, 0);
    }
}

fn move_to_segments(run: &mut Run, shard: ShardId, record: &mut ShardRecord) {
    let segment_bytes = run.options.claims.segment_bytes;
    let claim_bytes = record.claims.first().map_or(1, claim_size_bytes);
    for claims in std::mem::take(&mut record.claims).chunks(segment_bytes.div_ceil(claim_bytes)) {
        let name = (u128::from(shard) << 64) | record.segments.len() as u128;
        let expires_s = claims[0].expires_s;
        let segment = Segment { claims: claims.to_vec() };
        let value = postcard::to_stdvec(&segment).expect("a segment can be encoded");
        fake_kvs::write(&mut run.kv, &claim_kv_calls::segment_key(shard, name), value, 0);
        record.segments.push(SegmentReference { name, expires_s });
    }
}

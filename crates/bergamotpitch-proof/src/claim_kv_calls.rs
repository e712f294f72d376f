//! Calls of claim runs to the fake key-value service: when they land and what comes back.

use bergamotpitch_control::idempotency::claim_queues::{
    ClaimEffect, ReadResult, SegmentReadResult, WriteResult, apply_read, apply_segment_read,
    apply_segment_write, apply_write,
};
use bergamotpitch_control::idempotency::claim_segments::{Segment, SegmentName};
use bergamotpitch_control::idempotency::claims::ShardId;

use crate::claim_runs::{Event, Run, decode_record, post, shard_key, tick, unix_s};
use crate::fake_kvs::{self, CallPlan, FakeEntry};

/// `KvCall` is a call that was made.
#[derive(Debug)]
pub(crate) struct KvCall {
    /// Index of the router.
    pub(crate) router: usize,
    life: usize,
    effect: ClaimEffect,
    lost: bool,
    result: CallResult,
}

#[derive(Debug, Clone)]
enum CallResult {
    Read(ReadResult),
    Written(WriteResult),
    SegmentRead(SegmentReadResult),
    SegmentWritten(WriteResult),
    Dropped,
}

/// `call` makes the call that an effect asks for.
pub(crate) fn call(run: &mut Run, router: usize, effect: ClaimEffect) {
    let is_write = !matches!(effect, ClaimEffect::Read { .. } | ClaimEffect::ReadSegment { .. });
    let plan = fake_kvs::plan_call(&mut run.kv, run.now, is_write, &mut run.random);
    let (without_answer, lost) = match plan {
        CallPlan::OverRate { .. } => (WriteResult::RateLimited, true),
        CallPlan::Refused { .. } => (WriteResult::NoEffect, true),
        CallPlan::Swallowed { .. } => (WriteResult::Unconfirmed, true),
        CallPlan::Lands { lost, .. } => (WriteResult::Unconfirmed, lost),
    };
    let result = failed(&effect, without_answer);
    let life = run.routers[router].life;
    let call = run.calls.len();
    run.calls.push(KvCall { router, life, effect, lost, result });
    match plan {
        CallPlan::OverRate { at } | CallPlan::Refused { at } | CallPlan::Swallowed { at } => {
            post(run, at, Event::Reply { call });
        }
        CallPlan::Lands { at, reply_at, .. } => {
            post(run, at, Event::Land { call });
            post(run, reply_at, Event::Reply { call });
        }
    }
}

fn failed(effect: &ClaimEffect, write_result: WriteResult) -> CallResult {
    match effect {
        ClaimEffect::Read { .. } if write_result == WriteResult::RateLimited => {
            CallResult::Read(ReadResult::RateLimited)
        }
        ClaimEffect::Read { .. } => CallResult::Read(ReadResult::Failed),
        ClaimEffect::Write { .. } => CallResult::Written(write_result),
        ClaimEffect::ReadSegment { .. } => CallResult::SegmentRead(SegmentReadResult::Failed),
        ClaimEffect::WriteSegment { .. } => CallResult::SegmentWritten(write_result),
        ClaimEffect::DeleteSegment { .. } | ClaimEffect::Answer { .. } => CallResult::Dropped,
    }
}

/// `land` lets a call take effect at the service.
pub(crate) fn land(run: &mut Run, call: usize) {
    let kv = &mut run.kv;
    let result = match &run.calls[call].effect {
        ClaimEffect::Read { shard } => {
            let entry = fake_kvs::read(kv, &shard_key(*shard));
            let index = entry.as_ref().map_or(0, |entry| entry.modify_index);
            CallResult::Read(ReadResult::Read { record: decode_record(entry), index })
        }
        ClaimEffect::Write { shard, record, base_index } => {
            let value = postcard::to_stdvec(record).expect("a record can be encoded");
            let written = fake_kvs::write(kv, &shard_key(*shard), value, *base_index);
            CallResult::Written(write_result(written))
        }
        ClaimEffect::ReadSegment { shard, name } => {
            let entry = fake_kvs::read(kv, &segment_key(*shard, *name));
            let segment = entry.as_ref().map(decode_segment);
            let result = segment.map_or(SegmentReadResult::Failed, SegmentReadResult::Read);
            CallResult::SegmentRead(result)
        }
        ClaimEffect::WriteSegment { shard, name, segment } => {
            let value = postcard::to_stdvec(segment).expect("a segment can be encoded");
            let written = fake_kvs::write(kv, &segment_key(*shard, *name), value, 0);
            CallResult::SegmentWritten(write_result(written))
        }
        ClaimEffect::DeleteSegment { shard, name } => {
            fake_kvs::delete(kv, &segment_key(*shard, *name));
            CallResult::Dropped
        }
        ClaimEffect::Answer { .. } => CallResult::Dropped,
    };
    if !run.calls[call].lost {
        run.calls[call].result = result;
    }
}

/// `reply` brings the result of a call back to its router.
pub(crate) fn reply(run: &mut Run, call: usize) {
    let KvCall { router, life, ref effect, ref result, .. } = run.calls[call];
    if run.routers[router].life != life {
        return;
    }
    let (now, now_s) = (run.now, unix_s(run, router));
    let mut effects = Vec::new();
    let queues = &mut run.routers[router].queues;
    let result = result.clone();
    match (effect, result) {
        (ClaimEffect::Read { shard }, CallResult::Read(result)) => {
            apply_read(queues, now, now_s, *shard, result, &mut effects);
        }
        (ClaimEffect::Write { shard, .. }, CallResult::Written(result)) => {
            apply_write(queues, now, *shard, result, &mut effects);
        }
        (ClaimEffect::ReadSegment { shard, name }, CallResult::SegmentRead(result)) => {
            apply_segment_read(queues, now, now_s, (*shard, *name), result, &mut effects);
        }
        (ClaimEffect::WriteSegment { shard, .. }, CallResult::SegmentWritten(result)) => {
            apply_segment_write(queues, now, *shard, result, &mut effects);
        }
        _ => {}
    }
    tick(run, router, effects);
}

/// `segment_key` is the key of a segment.
pub(crate) fn segment_key(shard: ShardId, name: SegmentName) -> String {
    format!("claims/{shard}/{name:032x}")
}

/// `decode_segment` reads the value of a segment.
pub(crate) fn decode_segment(entry: &FakeEntry) -> Segment {
    postcard::from_bytes(&entry.value).expect("the key holds a segment")
}

fn write_result(written: bool) -> WriteResult {
    if written { WriteResult::Written } else { WriteResult::Conflict }
}

//! Claim calls: what follows from the results of calls, from the read of a shard's record to the
//! write that ends the round.

use std::time::Duration;

use bergamotpitch_core::units::Timestamp;
use rand_core::Rng;

use crate::idempotency::claim_queues::{
    ClaimEffect, ClaimQueues, ReadResult, SegmentReadResult, ShardQueue, WriteResult,
};
use crate::idempotency::claim_rounds::{ShardView, WriteState, apply_operations};
use crate::idempotency::claim_segments::{
    Segment, SegmentName, SegmentSearch, add_segment, key_set, next_unread_segment, split_record,
};
use crate::idempotency::claims::{ClaimKey, ShardId, ShardRecord, UnixSeconds, find_claim};

/// `ShardCall` is the call under way for a shard.
#[derive(Debug, Default)]
pub(crate) enum ShardCall {
    /// None.
    #[default]
    Idle,
    /// The record is being read.
    Reading,
    /// A segment is being read, with what the round knows so far.
    ReadingSegment { record: ShardRecord, index: u64, round: SegmentSearch },
    /// A new segment is being written; the record that names it follows.
    WritingSegment { record: ShardRecord, name: SegmentName, segment: Segment, writing: Writing },
    /// The record is being written.
    Writing(Writing),
}

/// `Writing` is what a write of the record brings with it.
#[derive(Debug)]
pub(crate) struct Writing {
    /// Index on which the write is based.
    index: u64,
    /// Segment that the record names for the first time.
    new_segment: Option<(SegmentName, Segment)>,
    /// Segments that the record names no more, since their time is over.
    expired: Vec<SegmentName>,
}

/// `OrphanedSegment` is a segment that was written and may be named by no record.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OrphanedSegment {
    name: SegmentName,
    /// Index on which the write of the record was based whose answer was lost. That write can still
    /// take effect for as long as the record has this index.
    unconfirmed_index: u64,
}

/// `apply_read` judges what waits by the record that was read, and writes what is still wanted.
pub fn apply_read(
    queues: &mut ClaimQueues,
    now: Timestamp,
    now_s: UnixSeconds,
    shard: ShardId,
    result: ReadResult,
    effects: &mut Vec<ClaimEffect>,
) {
    let Some(queue) = end_call(queues, shard) else { return };
    let (record, index) = match result {
        ReadResult::Read { record, index } => (record, index),
        ReadResult::RateLimited => {
            queues.rate_limiter.decrease(now);
            return;
        }
        ReadResult::Failed => {
            back_off(queues, shard, now);
            return;
        }
    };
    delete_orphans(queue, shard, &record, index, effects);
    queue
        .segment_keys
        .retain(|name, _| record.segments.iter().any(|reference| reference.name == *name));
    let shard_round = ShardRound { record, index, round: SegmentSearch::default() };
    continue_round(queues, now, now_s, shard, shard_round, effects);
}

/// `apply_segment_read` goes on with the round that wanted the segment.
pub fn apply_segment_read(
    queues: &mut ClaimQueues,
    now: Timestamp,
    now_s: UnixSeconds,
    (shard, name): (ShardId, SegmentName),
    result: SegmentReadResult,
    effects: &mut Vec<ClaimEffect>,
) {
    let Some(queue) = queues.shards.get_mut(&shard) else { return };
    let ShardCall::ReadingSegment { record, index, mut round } = std::mem::take(&mut queue.call)
    else {
        return;
    };
    queues.calls_in_flight -= 1;
    let SegmentReadResult::Read(segment) = result else {
        back_off(queues, shard, now);
        return;
    };
    let requested = requested_keys(queue, &record);
    add_segment(&mut queue.segment_keys, &mut round, name, segment, &requested);
    continue_round(queues, now, now_s, shard, ShardRound { record, index, round }, effects);
}

/// `apply_segment_write` writes the record that names the new segment.
pub fn apply_segment_write(
    queues: &mut ClaimQueues,
    now: Timestamp,
    shard: ShardId,
    result: WriteResult,
    effects: &mut Vec<ClaimEffect>,
) {
    let Some(queue) = queues.shards.get_mut(&shard) else { return };
    let ShardCall::WritingSegment { record, name, segment, writing } =
        std::mem::take(&mut queue.call)
    else {
        return;
    };
    queues.calls_in_flight -= 1;
    if result != WriteResult::Written {
        // The record was not sent, so that nothing names the segment; it is written anew under
        // another name in a later round.
        effects.push(ClaimEffect::DeleteSegment { shard, name });
        queue.pending.iter_mut().for_each(|pending| pending.requeue(false));
        back_off(queues, shard, now);
        return;
    }
    let base_index = writing.index;
    queue.call = ShardCall::Writing(Writing { new_segment: Some((name, segment)), ..writing });
    queues.calls_in_flight += 1;
    effects.push(ClaimEffect::Write { shard, record, base_index });
}

/// `apply_write` settles what a write carried, or leaves it to the next round.
pub fn apply_write(
    queues: &mut ClaimQueues,
    now: Timestamp,
    shard: ShardId,
    result: WriteResult,
    effects: &mut Vec<ClaimEffect>,
) {
    let Some(queue) = queues.shards.get_mut(&shard) else { return };
    let ShardCall::Writing(writing) = std::mem::take(&mut queue.call) else { return };
    let Writing { index, new_segment, expired } = writing;
    queues.calls_in_flight -= 1;
    let guards = queues.options.guards;
    let is_assumed_written = result == WriteResult::Unconfirmed && !guards.reads_back;
    if result == WriteResult::Written || is_assumed_written {
        if let Some((name, segment)) = new_segment {
            queue.segment_keys.insert(name, key_set(&segment));
        }
        // Whoever still reads by an older record finds the segment gone and reads the record anew.
        effects.extend(expired.into_iter().map(|name| ClaimEffect::DeleteSegment { shard, name }));
        let count = queue.pending.len();
        complete_written(queue, effects);
        queues.rate_limiter.increase();
        queues.waiting_operations -= count - queue.pending.len();
        queue.backoff = Duration::ZERO;
        queue.due = now + queues.options.commit_interval;
        return;
    }
    let is_unconfirmed = result == WriteResult::Unconfirmed;
    if let Some((name, _)) = new_segment {
        // A record whose write is in doubt may name the segment. Without the segment nobody could
        // tell whether one of its keys is claimed, and the whole shard would take no more claims.
        if is_unconfirmed && guards.keeps_unconfirmed_segments {
            queue.orphans.push(OrphanedSegment { name, unconfirmed_index: index });
        } else {
            effects.push(ClaimEffect::DeleteSegment { shard, name });
        }
    }
    queue.pending.iter_mut().for_each(|pending| pending.requeue(is_unconfirmed));
    if result == WriteResult::RateLimited {
        queues.rate_limiter.decrease(now);
        return;
    }
    back_off(queues, shard, now);
}

struct ShardRound {
    record: ShardRecord,
    index: u64,
    round: SegmentSearch,
}

fn continue_round(
    queues: &mut ClaimQueues,
    now: Timestamp,
    now_s: UnixSeconds,
    shard: ShardId,
    shard_round: ShardRound,
    effects: &mut Vec<ClaimEffect>,
) {
    let name: SegmentName =
        (u128::from(queues.random.next_u64()) << 64) | u128::from(queues.random.next_u64());
    let options = &queues.options;
    let Some(queue) = queues.shards.get_mut(&shard) else { return };
    let ShardRound { record, index, round } = shard_round;
    if options.guards.searches_segments {
        let requested = requested_keys(queue, &record);
        if let Some(name) = next_unread_segment(&record, &queue.segment_keys, &round, &requested) {
            queue.call = ShardCall::ReadingSegment { record, index, round };
            queues.calls_in_flight += 1;
            effects.push(ClaimEffect::ReadSegment { shard, name });
            return;
        }
    }
    let named: Vec<SegmentName> = record.segments.iter().map(|reference| reference.name).collect();
    let count = queue.pending.len();
    let read_number = queue.reads_begun;
    let view = ShardView { record, index, read_number, segment_claims: &round.segment_claims };
    let updated = apply_operations(&mut queue.pending, view, now_s, options, effects);
    queues.waiting_operations -= count - queue.pending.len();
    let Some(updated) = updated else {
        queue.backoff = Duration::ZERO;
        queue.due = now + options.commit_interval;
        return;
    };
    queues.calls_in_flight += 1;
    let is_named = |name: &SegmentName| {
        updated.record.segments.iter().any(|reference| reference.name == *name)
    };
    let expired = named.into_iter().filter(|name| !is_named(name)).collect();
    let writing = Writing { index, new_segment: None, expired };
    let split = split_record(&updated.record, name, now_s, &updated.new_nonces, options);
    if let Some((record, segment)) = split {
        effects.push(ClaimEffect::WriteSegment { shard, name, segment: segment.clone() });
        queue.call = ShardCall::WritingSegment { record, name, segment, writing };
        return;
    }
    queue.call = ShardCall::Writing(writing);
    effects.push(ClaimEffect::Write { shard, record: updated.record, base_index: index });
}

fn requested_keys(queue: &ShardQueue, record: &ShardRecord) -> Vec<ClaimKey> {
    queue
        .pending
        .iter()
        .filter_map(|pending| pending.requested_key())
        .filter(|key| find_claim(record, key).is_none())
        .collect()
}

// A segment whose record did not take effect is deleted, once that is certain.
fn delete_orphans(
    queue: &mut ShardQueue,
    shard: ShardId,
    record: &ShardRecord,
    index: u64,
    effects: &mut Vec<ClaimEffect>,
) {
    queue.orphans.retain(|orphan| {
        if record.segments.iter().any(|reference| reference.name == orphan.name) {
            return false;
        }
        let may_take_effect = index <= orphan.unconfirmed_index;
        if !may_take_effect {
            effects.push(ClaimEffect::DeleteSegment { shard, name: orphan.name });
        }
        may_take_effect
    });
}

fn complete_written(queue: &mut ShardQueue, effects: &mut Vec<ClaimEffect>) {
    queue.pending.retain(|pending| {
        if !matches!(pending.write_state, WriteState::InWrite { .. }) {
            return true;
        }
        effects.extend(pending.won_answer());
        false
    });
}

fn end_call(queues: &mut ClaimQueues, shard: ShardId) -> Option<&mut ShardQueue> {
    let queue = queues.shards.get_mut(&shard)?;
    queue.call = ShardCall::Idle;
    queues.calls_in_flight -= 1;
    Some(queue)
}

// The pause doubles and has jitter: without both, routers that failed together would come back
// together, and the service would be over its rate of calls again as soon as it answers.
fn back_off(queues: &mut ClaimQueues, shard: ShardId, now: Timestamp) {
    let jitter = f64::from(queues.random.next_u32()) / f64::from(u32::MAX);
    let Some(queue) = queues.shards.get_mut(&shard) else { return };
    let longest = queues.options.max_backoff;
    queue.backoff = (queue.backoff * 2).clamp(queues.options.initial_backoff, longest);
    queue.due = now + queue.backoff.mul_f64(0.5 + jitter / 2.0);
}

//! Claim queues: operations on claims that wait to be committed, one queue for each shard.
//!
//! Many operations go into one compare-and-swap. Each operation is idempotent by its nonce: a round
//! reads the record, sees which operations have already taken effect, and writes the rest. A write
//! whose answer was lost therefore needs no special path: the next round reads what it did.

use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::units::Timestamp;
use rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::idempotency::claim_calls::{OrphanedSegment, ShardCall};
pub use crate::idempotency::claim_calls::{
    apply_read, apply_segment_read, apply_segment_write, apply_write,
};
pub use crate::idempotency::claim_options::{ClaimGuards, ClaimOptions};
use crate::idempotency::claim_rate_limiters::RoundRateLimiter;
use crate::idempotency::claim_rounds::PendingOperation;
use crate::idempotency::claim_segments::{KeySet, Segment, SegmentName};
use crate::idempotency::claims::{
    ClaimDecision, ClaimKey, Fingerprint, Nonce, Outcome, ShardId, ShardRecord, UnixSeconds,
    outcome_size_bytes, shard_of_key,
};

/// `Ticket` names a wish to claim within this process.
pub type Ticket = u64;

/// `ClaimRequest` asks for a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Names the wish in its answer.
    pub ticket: Ticket,
    /// The key.
    pub key: ClaimKey,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// Random number that no other wish carries.
    pub nonce: Nonce,
}

/// `ClaimEffect` is what the owner of the queues has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEffect {
    /// Read the record of a shard; the result goes to `apply_read`.
    Read {
        /// The shard.
        shard: ShardId,
    },
    /// Write the record of a shard by compare-and-swap; the result goes to `apply_write`.
    Write {
        /// The shard.
        shard: ShardId,
        /// The new record.
        record: ShardRecord,
        /// Index that the record must still have; 0 when it must be absent.
        base_index: u64,
    },
    /// Read a segment of a shard; the result goes to `apply_segment_read`.
    ReadSegment {
        /// The shard.
        shard: ShardId,
        /// The segment.
        name: SegmentName,
    },
    /// Write a new segment of a shard; the result goes to `apply_segment_write`.
    WriteSegment {
        /// The shard.
        shard: ShardId,
        /// The segment.
        name: SegmentName,
        /// Its claims.
        segment: Segment,
    },
    /// Delete a segment that no record names; nobody waits for the result.
    DeleteSegment {
        /// The shard.
        shard: ShardId,
        /// The segment.
        name: SegmentName,
    },
    /// Tell who wished to claim what became of it.
    Answer {
        /// The wish.
        ticket: Ticket,
        /// What became of it.
        decision: ClaimDecision,
    },
}

/// `ReadResult` is what a read brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadResult {
    /// The record with the index of its last change; an absent one is empty, with index 0.
    Read {
        /// The record.
        record: ShardRecord,
        /// Index of its last change.
        index: u64,
    },
    /// The service refused the call over its rate.
    RateLimited,
    /// The service did not answer.
    Failed,
}

/// `WriteResult` is what became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect.
    Written,
    /// It had no effect, since the record had changed.
    Conflict,
    /// It had no effect, since the service refused it over its rate.
    RateLimited,
    /// It had no effect, since the service was out of reach.
    NoEffect,
    /// Its answer was lost.
    Unconfirmed,
}

/// `SegmentReadResult` is what the read of a segment brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SegmentReadResult {
    /// The segment.
    Read(Segment),
    /// The service did not answer, or the segment is gone: the record that names it is old then.
    Failed,
}

/// `ClaimQueues` are the operations that wait at this router.
#[derive(Debug)]
pub struct ClaimQueues {
    pub(crate) options: ClaimOptions,
    pub(crate) shards: HashMap<ShardId, ShardQueue>,
    pub(crate) waiting_operations: usize,
    pub(crate) calls_in_flight: usize,
    pub(crate) rate_limiter: RoundRateLimiter,
    pub(crate) random: Xoshiro256PlusPlus,
}

#[derive(Debug, Default)]
pub(crate) struct ShardQueue {
    pub(crate) pending: Vec<PendingOperation>,
    pub(crate) call: ShardCall,
    /// Reads of the record that have begun.
    pub(crate) reads_begun: u64,
    pub(crate) due: Timestamp,
    pub(crate) backoff: Duration,
    /// Keys of the segments that were read.
    pub(crate) segment_keys: HashMap<SegmentName, KeySet>,
    /// Segments that were written and may be named by no record.
    pub(crate) orphans: Vec<OrphanedSegment>,
}

impl ClaimQueues {
    /// `new` makes empty queues.
    pub fn new(options: ClaimOptions) -> Self {
        let random = Xoshiro256PlusPlus::seed_from_u64(options.seed);
        Self {
            options,
            shards: HashMap::default(),
            waiting_operations: 0,
            calls_in_flight: 0,
            rate_limiter: RoundRateLimiter::default(),
            random,
        }
    }

    /// `options` returns the constants.
    pub fn options(&self) -> &ClaimOptions {
        &self.options
    }

    /// `waiting_operations` counts the operations that are not settled.
    pub fn waiting_operations(&self) -> usize {
        self.waiting_operations
    }

    /// `next_due` tells when [`run`] has something to do next, if no result comes before.
    pub fn next_due(&self) -> Option<Timestamp> {
        let may_call = self.calls_in_flight < self.options.calls_in_flight_limit;
        self.shards
            .values()
            .filter(|queue| !queue.pending.is_empty())
            .flat_map(|queue| {
                let call = if may_call { round_due(queue) } else { None };
                let call = call.map(|due| due.max(self.rate_limiter.next_round));
                let give_up = queue.pending.iter().filter_map(PendingOperation::deadline).min();
                [call, give_up]
            })
            .flatten()
            .min()
    }
}

/// `request_claim` queues a wish; when too many wait it is answered at once.
///
/// ```
/// use std::time::Duration;
/// use bergamotpitch_control::idempotency::claim_queues::{
///     ClaimEffect, ClaimOptions, ClaimQueues, ClaimRequest, request_claim, run,
/// };
/// use bergamotpitch_control::idempotency::claims::claim_key;
/// let mut queues = ClaimQueues::new(ClaimOptions { shard_count: 1, ..ClaimOptions::default() });
/// let key = claim_key("roses", "crm", "a");
/// let request = ClaimRequest { ticket: 1, key, fingerprint: [0; 16], nonce: 7 };
/// let mut effects = Vec::new();
/// request_claim(&mut queues, Duration::ZERO, 0, request, &mut effects);
/// run(&mut queues, Duration::ZERO, &mut effects);
/// assert_eq!(effects, [ClaimEffect::Read { shard: 0 }]);
/// ```
pub fn request_claim(
    queues: &mut ClaimQueues,
    now: Timestamp,
    now_s: UnixSeconds,
    request: ClaimRequest,
    effects: &mut Vec<ClaimEffect>,
) {
    if queues.options.queue_limit_operations <= queues.waiting_operations {
        effects.push(ClaimEffect::Answer {
            ticket: request.ticket,
            decision: ClaimDecision::Unavailable,
        });
        return;
    }
    let pending = PendingOperation::of_request(request, now, now_s, &queues.options);
    enqueue(queues, &request.key, pending);
}

/// `record_outcome` queues the outcome of a claimed request.
pub fn record_outcome(
    queues: &mut ClaimQueues,
    now: Timestamp,
    key: ClaimKey,
    nonce: Nonce,
    outcome: Outcome,
) {
    let outcome = truncate_outcome(outcome, queues.options.outcome_limit_bytes);
    let due_at = now + queues.options.outcome_delay;
    enqueue(queues, &key, PendingOperation::of_outcome(key, nonce, outcome, due_at));
}

/// `release_claim` queues the release of a claim whose request did not run and never will.
///
/// The owner must not hand the request over after this call.
pub fn release_claim(queues: &mut ClaimQueues, key: ClaimKey, nonce: Nonce) {
    enqueue(queues, &key, PendingOperation::of_release(key, nonce));
}

/// `abandon_request` gives a wish up that nobody waits for any more.
pub fn abandon_request(queues: &mut ClaimQueues, key: &ClaimKey, ticket: Ticket) {
    let shard = shard_of_key(key, queues.options.shard_count);
    let releases = queues.options.guards.releases_abandoned;
    let Some(queue) = queues.shards.get_mut(&shard) else { return };
    let count = queue.pending.len();
    queue.pending.retain_mut(|pending| {
        let is_it = pending.ticket() == Some(ticket);
        !is_it || pending.abandon(releases)
    });
    queues.waiting_operations -= count - queue.pending.len();
}

/// `run` gives up what has waited too long and begins the rounds that are due.
pub fn run(queues: &mut ClaimQueues, now: Timestamp, effects: &mut Vec<ClaimEffect>) {
    let releases = queues.options.guards.releases_abandoned;
    let mut due = Vec::new();
    for (shard, queue) in &mut queues.shards {
        let count = queue.pending.len();
        time_out_requests(queue, now, releases, effects);
        queues.waiting_operations -= count - queue.pending.len();
        if let Some(at) = round_due(queue).filter(|at| *at <= now) {
            // Callers wait for claims; nobody waits for the rest.
            let has_request = queue.pending.iter().any(|pending| pending.ticket().is_some());
            due.push((!has_request, at, *shard));
        }
    }
    due.sort_unstable();
    for (_, _, shard) in due {
        let may_call = queues.calls_in_flight < queues.options.calls_in_flight_limit;
        if !may_call || !queues.rate_limiter.may_begin(now) {
            return;
        }
        let Some(queue) = queues.shards.get_mut(&shard) else { continue };
        queues.rate_limiter.begin(now);
        queue.call = ShardCall::Reading;
        queue.reads_begun += 1;
        queues.calls_in_flight += 1;
        effects.push(ClaimEffect::Read { shard });
    }
}

fn round_due(queue: &ShardQueue) -> Option<Timestamp> {
    if !matches!(queue.call, ShardCall::Idle) {
        return None;
    }
    let wanted = queue.pending.iter().map(|pending| pending.due_at).min()?;
    Some(wanted.max(queue.due))
}

fn time_out_requests(
    queue: &mut ShardQueue,
    now: Timestamp,
    releases: bool,
    effects: &mut Vec<ClaimEffect>,
) {
    queue.pending.retain_mut(|pending| {
        if pending.deadline().is_none_or(|at| now < at) {
            return true;
        }
        let Some(ticket) = pending.ticket() else { return true };
        effects.push(ClaimEffect::Answer { ticket, decision: ClaimDecision::Unavailable });
        pending.abandon(releases)
    });
}

fn enqueue(queues: &mut ClaimQueues, key: &ClaimKey, mut pending: PendingOperation) {
    let shard = shard_of_key(key, queues.options.shard_count);
    let queue = queues.shards.entry(shard).or_default();
    pending.reads_before = queue.reads_begun;
    queue.pending.push(pending);
    queues.waiting_operations += 1;
}

// An outcome that would crowd a shard keeps its status and headers only.
fn truncate_outcome(outcome: Outcome, limit_bytes: usize) -> Outcome {
    if outcome_size_bytes(&outcome) <= limit_bytes {
        return outcome;
    }
    let without_body = Outcome { body: None, ..outcome };
    if outcome_size_bytes(&without_body) <= limit_bytes {
        return without_body;
    }
    Outcome { headers: Vec::new(), ..without_body }
}

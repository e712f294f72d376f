//! Claim queues: operations on claims that wait to be committed, one queue for each shard.
//!
//! Many operations go into one compare-and-swap. Each operation is idempotent by its nonce: a round
//! reads the record, sees which operations have already taken effect, and writes the rest. A write
//! whose answer was lost therefore needs no special path: the next round reads what it did.

use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::units::Timestamp;
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::claim_rounds::{Pending, Standing, judge_record};
use crate::claims::{
    ClaimKey, Fingerprint, Nonce, Outcome, ShardId, ShardRecord, UnixSeconds, Verdict, shard_of_key,
};

/// `ClaimOptions` are the constants of the claim queues.
#[derive(Debug, Clone)]
pub struct ClaimOptions {
    /// Shards; the same number at every router, for as long as claims live.
    pub shard_count: u32,
    /// Time for which a claim holds.
    pub lifetime: Duration,
    /// Most that two wall clocks may differ.
    pub clock_margin: Duration,
    /// Largest record of a shard, in bytes; a fuller shard takes no new claims.
    pub shard_limit_bytes: usize,
    /// Largest outcome that is kept whole, in bytes; of a larger one the body is left out.
    pub outcome_limit_bytes: usize,
    /// Operations that may wait at this router.
    pub queue_limit_operations: usize,
    /// Shards that may be read or written at one time.
    pub calls_in_flight_limit: usize,
    /// Time between two commits to one shard by this router.
    pub commit_interval: Duration,
    /// Time that an outcome waits for a round that begins for another reason.
    pub outcome_delay: Duration,
    /// Time after which a wish to claim is given up.
    pub claim_timeout: Duration,
    /// Pause after a failed call; it doubles up to `longest_pause`.
    pub retry_pause: Duration,
    /// Longest pause between two calls for one shard.
    pub longest_pause: Duration,
    /// Seed of the jitter.
    pub seed: u64,
    /// Guards that a test may switch off to show what they are for.
    pub guards: ClaimGuards,
}

impl Default for ClaimOptions {
    fn default() -> Self {
        Self {
            shard_count: 64,
            lifetime: Duration::from_secs(24 * 3600),
            clock_margin: Duration::from_secs(600),
            shard_limit_bytes: 900_000,
            outcome_limit_bytes: 2_048,
            queue_limit_operations: 10_000,
            calls_in_flight_limit: 16,
            commit_interval: Duration::from_millis(20),
            outcome_delay: Duration::from_millis(250),
            claim_timeout: Duration::from_secs(2),
            retry_pause: Duration::from_millis(10),
            longest_pause: Duration::from_secs(1),
            seed: 1,
            guards: ClaimGuards::default(),
        }
    }
}

/// `ClaimGuards` are the rules that a proof switches off one by one; all are on by default.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimGuards {
    /// A write whose answer was lost is read back before anybody is told what it did.
    pub reads_back: bool,
    /// A claim that was given up while in doubt is released once it is seen.
    pub releases_abandoned: bool,
    /// A release is settled only once no copy of the doubtful write can take effect any more.
    pub fences_doubtful: bool,
}

impl Default for ClaimGuards {
    fn default() -> Self {
        Self { reads_back: true, releases_abandoned: true, fences_doubtful: true }
    }
}

/// `Ticket` names a wish to claim within this process.
pub type Ticket = u64;

/// `ClaimWish` asks for a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimWish {
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
    /// Tell who wished to claim what became of it.
    Answer {
        /// The wish.
        ticket: Ticket,
        /// What became of it.
        verdict: Verdict,
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
    /// It had no effect, since the service refused it or was out of reach.
    NoEffect,
    /// Its answer was lost.
    InDoubt,
}

/// `ClaimQueues` are the operations that wait at this router.
#[derive(Debug)]
pub struct ClaimQueues {
    options: ClaimOptions,
    shards: HashMap<ShardId, ShardQueue>,
    waiting_operations: usize,
    calls_in_flight: usize,
    random: Xoshiro256PlusPlus,
}

#[derive(Debug, Default)]
struct ShardQueue {
    pending: Vec<Pending>,
    call: Call,
    due: Timestamp,
    pause: Duration,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Call {
    #[default]
    Idle,
    Reading,
    Writing,
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
                let give_up = queue.pending.iter().filter_map(Pending::give_up_at).min();
                [call, give_up]
            })
            .flatten()
            .min()
    }
}

/// `wish_claim` queues a wish; when too many wait it is answered at once.
pub fn wish_claim(
    queues: &mut ClaimQueues,
    now: Timestamp,
    now_s: UnixSeconds,
    wish: ClaimWish,
    effects: &mut Vec<ClaimEffect>,
) {
    if queues.options.queue_limit_operations <= queues.waiting_operations {
        effects.push(ClaimEffect::Answer { ticket: wish.ticket, verdict: Verdict::Unavailable });
        return;
    }
    let pending = Pending::of_wish(wish, now, now_s, &queues.options);
    push_pending(queues, &wish.key, pending);
}

/// `record_outcome` queues the outcome of a claimed request.
pub fn record_outcome(
    queues: &mut ClaimQueues,
    now: Timestamp,
    key: ClaimKey,
    nonce: Nonce,
    outcome: Outcome,
) {
    let outcome = fitting_outcome(outcome, queues.options.outcome_limit_bytes);
    let wanted_at = now + queues.options.outcome_delay;
    push_pending(queues, &key, Pending::of_outcome(key, nonce, outcome, wanted_at));
}

/// `release_claim` queues the release of a claim whose request did not run and never will.
///
/// The owner must not hand the request over after this call.
pub fn release_claim(queues: &mut ClaimQueues, key: ClaimKey, nonce: Nonce) {
    push_pending(queues, &key, Pending::of_release(key, nonce));
}

/// `abandon_wish` gives a wish up that nobody waits for any more.
pub fn abandon_wish(queues: &mut ClaimQueues, key: &ClaimKey, ticket: Ticket) {
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
        give_up_late(queue, now, releases, effects);
        queues.waiting_operations -= count - queue.pending.len();
        if let Some(at) = round_due(queue).filter(|at| *at <= now) {
            due.push((at, *shard));
        }
    }
    due.sort_unstable();
    let free = queues.options.calls_in_flight_limit.saturating_sub(queues.calls_in_flight);
    for (_, shard) in due.into_iter().take(free) {
        let Some(queue) = queues.shards.get_mut(&shard) else { continue };
        queue.call = Call::Reading;
        queues.calls_in_flight += 1;
        effects.push(ClaimEffect::Read { shard });
    }
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
    let Some(queue) = queues.shards.get_mut(&shard) else { return };
    queue.call = Call::Idle;
    queues.calls_in_flight -= 1;
    let ReadResult::Read { record, index } = result else {
        pause_shard(queues, shard, now);
        return;
    };
    let count = queue.pending.len();
    let write = judge_record(&mut queue.pending, record, index, now_s, &queues.options, effects);
    queues.waiting_operations -= count - queue.pending.len();
    let Some(record) = write else {
        queue.pause = Duration::ZERO;
        queue.due = now + queues.options.commit_interval;
        return;
    };
    queue.call = Call::Writing;
    queues.calls_in_flight += 1;
    effects.push(ClaimEffect::Write { shard, record, base_index: index });
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
    queue.call = Call::Idle;
    queues.calls_in_flight -= 1;
    let is_trusted = result == WriteResult::InDoubt && !queues.options.guards.reads_back;
    if result == WriteResult::Written || is_trusted {
        let count = queue.pending.len();
        settle_written(queue, effects);
        queues.waiting_operations -= count - queue.pending.len();
        queue.pause = Duration::ZERO;
        queue.due = now + queues.options.commit_interval;
        return;
    }
    for pending in &mut queue.pending {
        pending.leave_write(result == WriteResult::InDoubt);
    }
    pause_shard(queues, shard, now);
}

fn round_due(queue: &ShardQueue) -> Option<Timestamp> {
    if queue.call != Call::Idle {
        return None;
    }
    let wanted = queue.pending.iter().map(|pending| pending.wanted_at).min()?;
    Some(wanted.max(queue.due))
}

fn settle_written(queue: &mut ShardQueue, effects: &mut Vec<ClaimEffect>) {
    queue.pending.retain(|pending| {
        if !matches!(pending.standing, Standing::InWrite { .. }) {
            return true;
        }
        if let Some(answer) = pending.won_answer() {
            effects.push(answer);
        }
        false
    });
}

fn give_up_late(
    queue: &mut ShardQueue,
    now: Timestamp,
    releases: bool,
    effects: &mut Vec<ClaimEffect>,
) {
    queue.pending.retain_mut(|pending| {
        if pending.give_up_at().is_none_or(|at| now < at) {
            return true;
        }
        let Some(ticket) = pending.ticket() else { return true };
        effects.push(ClaimEffect::Answer { ticket, verdict: Verdict::Unavailable });
        pending.abandon(releases)
    });
}

fn push_pending(queues: &mut ClaimQueues, key: &ClaimKey, pending: Pending) {
    let shard = shard_of_key(key, queues.options.shard_count);
    queues.shards.entry(shard).or_default().pending.push(pending);
    queues.waiting_operations += 1;
}

// The pause doubles and has jitter: without both, routers that failed together would come back
// together, and the service would be over its rate of calls again as soon as it answers.
fn pause_shard(queues: &mut ClaimQueues, shard: ShardId, now: Timestamp) {
    let jitter = f64::from(queues.random.next_u32()) / f64::from(u32::MAX);
    let Some(queue) = queues.shards.get_mut(&shard) else { return };
    let longest = queues.options.longest_pause;
    queue.pause = (queue.pause * 2).clamp(queues.options.retry_pause, longest);
    queue.due = now + queue.pause.mul_f64(0.5 + jitter / 2.0);
}

// An outcome that would crowd a shard keeps its status and headers only.
fn fitting_outcome(outcome: Outcome, limit_bytes: usize) -> Outcome {
    if crate::claims::outcome_size_bytes(&outcome) <= limit_bytes {
        return outcome;
    }
    let without_body = Outcome { body: None, ..outcome };
    if crate::claims::outcome_size_bytes(&without_body) <= limit_bytes {
        return without_body;
    }
    Outcome { headers: Vec::new(), ..without_body }
}

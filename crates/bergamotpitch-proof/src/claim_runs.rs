//! Claim runs: callers, routers and an upstream around the fake key-value service, in virtual time.
//!
//! Callers use each key for one request and try again through any router: after "not run", after
//! "outcome unknown", and when an answer takes too long. Routers crash without memory and pause.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use bergamotpitch_control::idempotency::claim_queues::{ClaimEffect, ClaimOptions, ClaimQueues};
use bergamotpitch_control::idempotency::claims::{
    ClaimKey, Nonce, Outcome, ShardId, ShardRecord, claim_key,
};
use bergamotpitch_core::units::Timestamp;

use crate::claim_histories::{AttemptId, ClaimRecord, ClaimStep, KeyId};
use crate::claim_kv_calls::{self, KvCall};
use crate::fake_kvs::{self, CallCounts, FakeKv, FaultSpan};
use crate::randoms::{self, Random};
use crate::{claim_callers, claim_ends, claim_fills};

/// Wall-clock time at which a run begins, in seconds since the Unix epoch.
pub(crate) const FIRST_UNIX_S: u64 = 1_800_000_000;

/// Nonces of the claims that the shards hold at the beginning.
pub(crate) const EARLIER_NONCE: Nonce = 1 << 64;

/// Time after which a caller tries again through another router.
pub(crate) const PATIENCE: Duration = Duration::from_millis(1_500);

/// `RunOptions` describe a run.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Routers.
    pub router_count: usize,
    /// Keys, each used by one caller for one request.
    pub key_count: usize,
    /// Time over which the callers begin.
    pub arrival_time: Duration,
    /// Attempts that a caller makes at most.
    pub attempt_limit: usize,
    /// Time of one way to the key-value service.
    pub way: Duration,
    /// Writes and reads a second that the service takes; all while they are 0.
    pub call_rates: (f64, f64),
    /// Faults of the key-value service.
    pub faults: Vec<FaultSpan>,
    /// Crashes without memory over the run.
    pub crash_count: usize,
    /// Pauses of routers over the run.
    pub pause_count: usize,
    /// Longest pause.
    pub longest_pause: Duration,
    /// Longest time that a won request waits in its queue.
    pub longest_wait: Duration,
    /// Percent of won requests that are refused while they wait.
    pub refused_percent: f64,
    /// Percent of requests that the upstream proves it did not run.
    pub unrun_percent: f64,
    /// Percent of answers that are lost between upstream and router.
    pub lost_percent: f64,
    /// Time at which counts and claim times begin anew.
    pub counted_from: Duration,
    /// Claims of earlier requests, with their outcomes, that the shards hold at the beginning.
    pub live_claims: usize,
    /// Most that a router's wall clock is wrong.
    pub clock_error: Duration,
    /// True when owners look at their claim's age right before they send.
    pub checks_age: bool,
    /// Constants of the claim queues.
    pub claims: ClaimOptions,
    /// Seed of the run.
    pub seed: u64,
}

impl Default for RunOptions {
    fn default() -> Self {
        Self {
            router_count: 4,
            key_count: 40,
            arrival_time: Duration::from_secs(10),
            attempt_limit: 6,
            way: Duration::from_millis(1),
            call_rates: (0.0, 0.0),
            faults: Vec::new(),
            crash_count: 0,
            pause_count: 0,
            longest_pause: Duration::from_secs(3),
            longest_wait: Duration::from_millis(400),
            refused_percent: 15.0,
            unrun_percent: 15.0,
            lost_percent: 10.0,
            counted_from: Duration::ZERO,
            clock_error: Duration::ZERO,
            checks_age: true,
            live_claims: 0,
            claims: ClaimOptions { shard_count: 4, ..ClaimOptions::default() },
            seed: 1,
        }
    }
}

/// `RunResult` is what a run leaves.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// Records in order of time.
    pub records: Vec<ClaimRecord>,
    /// Keys that are claimed at the end, by whom, and whether an outcome is recorded.
    pub held: Vec<(KeyId, AttemptId, bool)>,
    /// Segments that the shards name.
    pub segment_count: usize,
    /// Segments that a shard names and that are gone.
    pub missing_segments: usize,
    /// The service, with its counts.
    pub kv: FakeKv,
    /// Times from wish to won claim.
    pub claim_times: Vec<Duration>,
    /// When the last event happened.
    pub ended: Timestamp,
}

#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) options: RunOptions,
    pub(crate) now: Timestamp,
    pub(crate) random: Random,
    pub(crate) kv: FakeKv,
    pub(crate) routers: Vec<Router>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) answered: Vec<bool>,
    pub(crate) calls: Vec<KvCall>,
    events: BinaryHeap<Reverse<(Timestamp, usize, Event)>>,
    event_count: usize,
    records: Vec<ClaimRecord>,
    pub(crate) claim_times: Vec<Duration>,
}

#[derive(Debug)]
pub(crate) struct Router {
    pub(crate) queues: ClaimQueues,
    /// Wall-clock time at which the run began, by this router's clock, in seconds.
    pub(crate) first_unix_s: u64,
    pub(crate) life: usize,
    wake_at: Option<Timestamp>,
    paused_until: Timestamp,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) key: KeyId,
    pub(crate) number: usize,
    pub(crate) router: usize,
    pub(crate) life: usize,
    pub(crate) wished: Timestamp,
    pub(crate) dispatch_until: Timestamp,
    pub(crate) is_told: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    Begin { key: KeyId, number: usize },
    Arrive { attempt: AttemptId },
    Land { call: usize },
    Reply { call: usize },
    Wake { router: usize, life: usize },
    Decide { attempt: AttemptId },
    ReachUpstream { attempt: AttemptId },
    Answer { attempt: AttemptId },
    Refusal { attempt: AttemptId },
    LosePatience { attempt: AttemptId },
    Crash { router: usize },
    Pause { router: usize, length: Duration },
    BeginCounts,
}

/// `run_claims` runs until nothing more happens.
pub fn run_claims(options: RunOptions) -> RunResult {
    let mut run = new_run(options);
    plan_events(&mut run);
    while let Some(Reverse((at, _, event))) = run.events.pop() {
        run.now = at;
        let paused_until = router_of(&run, event).map(|router| run.routers[router].paused_until);
        match paused_until {
            Some(until) if at < until => post(&mut run, until, event),
            _ => apply_event(&mut run, event),
        }
    }
    let held = claim_ends::held_keys(&run);
    let missing_segments = claim_ends::missing_segments(&run);
    let segment_count = (0..run.options.claims.shard_count)
        .map(|shard| claim_ends::shard_record(&run, shard).segments.len())
        .sum();
    RunResult {
        segment_count,
        missing_segments,
        records: run.records,
        held,
        kv: run.kv,
        claim_times: run.claim_times,
        ended: run.now,
    }
}

fn new_run(options: RunOptions) -> Run {
    let mut run = Run {
        now: Duration::ZERO,
        random: randoms::seeded(options.seed),
        kv: FakeKv::new(options.way, options.faults.clone()),
        routers: Vec::new(),
        attempts: Vec::new(),
        answered: vec![false; options.key_count],
        calls: Vec::new(),
        events: BinaryHeap::new(),
        event_count: 0,
        records: Vec::new(),
        claim_times: Vec::new(),
        options,
    };
    claim_fills::fill_shards(&mut run);
    (run.kv.write_rate, run.kv.read_rate) = run.options.call_rates;
    run.routers = (0..run.options.router_count).map(|index| new_router(&run, index, 0)).collect();
    run
}

fn new_router(run: &Run, index: usize, life: usize) -> Router {
    // Every other clock is ahead, the rest are behind.
    let error_s = run.options.clock_error.as_secs();
    let is_ahead = index.is_multiple_of(2);
    let first_unix_s = if is_ahead { FIRST_UNIX_S + error_s } else { FIRST_UNIX_S - error_s };
    let seed = run.options.seed ^ ((index as u64) << 32) ^ (life as u64 + 1);
    let claims = ClaimOptions { seed, ..run.options.claims.clone() };
    let queues = ClaimQueues::new(claims);
    Router { queues, first_unix_s, life, wake_at: None, paused_until: Duration::ZERO }
}

fn plan_events(run: &mut Run) {
    let whole = run.options.arrival_time;
    let counted_from = run.options.counted_from;
    post(run, counted_from, Event::BeginCounts);
    for key in 0..run.options.key_count {
        let at = draw_time(run, whole);
        post(run, at, Event::Begin { key, number: 0 });
    }
    for _ in 0..run.options.crash_count {
        let (at, router) = (draw_time(run, whole), draw_router(run));
        post(run, at, Event::Crash { router });
    }
    for _ in 0..run.options.pause_count {
        let (at, router) = (draw_time(run, whole), draw_router(run));
        let length = draw_time(run, run.options.longest_pause);
        post(run, at, Event::Pause { router, length });
    }
}

fn apply_event(run: &mut Run, event: Event) {
    match event {
        Event::Begin { key, number } => claim_callers::begin_attempt(run, key, number),
        Event::Arrive { attempt } => claim_callers::arrive(run, attempt),
        Event::Land { call } => claim_kv_calls::land(run, call),
        Event::Reply { call } => claim_kv_calls::reply(run, call),
        Event::Wake { router, life } => {
            if run.routers[router].life == life {
                run.routers[router].wake_at = None;
                tick(run, router, Vec::new());
            }
        }
        Event::Decide { attempt } => claim_callers::decide(run, attempt),
        Event::ReachUpstream { attempt } => claim_callers::reach_upstream(run, attempt),
        Event::Answer { attempt } => claim_callers::answer(run, attempt),
        Event::Refusal { attempt } => claim_callers::refuse_unrun(run, attempt),
        Event::LosePatience { attempt } => claim_callers::lose_patience(run, attempt),
        Event::Crash { router } => crash(run, router),
        Event::Pause { router, length } => run.routers[router].paused_until = run.now + length,
        Event::BeginCounts => {
            run.kv.counts = CallCounts::default();
            run.claim_times.clear();
        }
    }
}

fn router_of(run: &Run, event: Event) -> Option<usize> {
    match event {
        Event::Arrive { attempt }
        | Event::Decide { attempt }
        | Event::Answer { attempt }
        | Event::Refusal { attempt } => Some(run.attempts[attempt].router),
        Event::Reply { call } => Some(run.calls[call].router),
        Event::Wake { router, .. } => Some(router),
        _ => None,
    }
}

/// `tick` is a router's turn: it begins what is due, and its next turn is planned.
pub(crate) fn tick(run: &mut Run, router: usize, mut effects: Vec<ClaimEffect>) {
    bergamotpitch_control::idempotency::claim_queues::run(
        &mut run.routers[router].queues,
        run.now,
        &mut effects,
    );
    for effect in effects {
        match effect {
            ClaimEffect::Answer { ticket, decision } => {
                claim_callers::apply_verdict(run, ticket as AttemptId, decision);
            }
            effect => claim_kv_calls::call(run, router, effect),
        }
    }
    let Some(due) = run.routers[router].queues.next_due() else { return };
    let due = due.max(run.now + Duration::from_micros(100));
    if run.routers[router].wake_at.is_none_or(|at| due < at) {
        run.routers[router].wake_at = Some(due);
        let life = run.routers[router].life;
        post(run, due, Event::Wake { router, life });
    }
}

fn crash(run: &mut Run, router: usize) {
    let life = run.routers[router].life;
    for attempt in 0..run.attempts.len() {
        if run.attempts[attempt].router == router && run.attempts[attempt].life == life {
            note(run, attempt, ClaimStep::Crashed);
        }
    }
    run.routers[router] = new_router(run, router, life + 1);
}

/// `is_alive` tells whether the router of an attempt still has the life that received it.
pub(crate) fn is_alive(run: &Run, attempt: AttemptId) -> bool {
    let Attempt { router, life, .. } = run.attempts[attempt];
    run.routers[router].life == life
}

/// `decode_record` reads the value of a shard.
pub(crate) fn decode_record(entry: Option<fake_kvs::FakeEntry>) -> ShardRecord {
    entry.map_or_else(ShardRecord::default, |entry| {
        postcard::from_bytes(&entry.value).expect("a shard holds a record")
    })
}

/// `attempt_of_outcome` names the attempt whose run gave an outcome.
pub(crate) fn attempt_of_outcome(outcome: &Outcome) -> AttemptId {
    let body = outcome.body.as_deref().and_then(|body| body.try_into().ok());
    body.map_or(usize::MAX, |body| u64::from_le_bytes(body) as AttemptId)
}

/// `key_of` is the claim key of a key's number.
pub(crate) fn key_of(key: KeyId) -> ClaimKey {
    claim_key("team", "service", &key.to_string())
}

/// `nonce_of` is the nonce of an attempt.
pub(crate) fn nonce_of(attempt: AttemptId) -> Nonce {
    attempt as Nonce + 1
}

/// `shard_key` is the key of a shard's record.
pub(crate) fn shard_key(shard: ShardId) -> String {
    format!("claims/{shard}")
}

/// `unix_s` is a router's wall-clock time, in seconds since the Unix epoch.
pub(crate) fn unix_s(run: &Run, router: usize) -> u64 {
    run.routers[router].first_unix_s + run.now.as_secs()
}

/// `note` adds a record of an attempt.
pub(crate) fn note(run: &mut Run, attempt: AttemptId, step: ClaimStep) {
    let key = run.attempts[attempt].key;
    run.records.push(ClaimRecord { at: run.now, key, attempt, step });
}

/// `post` plans an event.
pub(crate) fn post(run: &mut Run, at: Timestamp, event: Event) {
    run.event_count += 1;
    run.events.push(Reverse((at, run.event_count, event)));
}

/// `draw_time` draws a time up to a limit.
pub(crate) fn draw_time(run: &mut Run, most: Duration) -> Duration {
    most.mul_f64(randoms::unit(&mut run.random))
}

/// `draw_router` draws a router.
pub(crate) fn draw_router(run: &mut Run) -> usize {
    (randoms::unit(&mut run.random) * run.options.router_count as f64) as usize
}

/// `draws` tells whether an event of so many percent happens.
pub(crate) fn draws(run: &mut Run, percent: f64) -> bool {
    randoms::unit(&mut run.random) * 100.0 < percent
}

//! Claim runs: callers, routers and an upstream around the fake key-value service, in virtual time.
//!
//! Callers use each key for one request and try again through any router: after "not run", after
//! "outcome unknown", and when an answer takes too long. Routers crash without memory and pause.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use bergamotpitch_control::claim_queues::{
    ClaimEffect, ClaimOptions, ClaimQueues, ClaimWish, ReadResult, WriteResult, apply_read,
    apply_write, record_outcome, release_claim, wish_claim,
};
use bergamotpitch_control::claims::{
    Claim, ClaimKey, Nonce, Outcome, ShardId, ShardRecord, Verdict, claim_key, shard_of_key,
};
use bergamotpitch_core::units::Timestamp;

use crate::claim_histories::{AttemptId, ClaimRecord, ClaimStep, KeyId};
use crate::fake_kvs::{self, CallPlan, FakeKv, FaultSpan};
use crate::randoms::{self, Random};

/// Wall-clock time at which a run begins, in seconds since the Unix epoch.
const FIRST_UNIX_S: u64 = 1_800_000_000;

/// Nonces of the claims that the shards hold at the beginning.
const EARLIER_NONCE: Nonce = 1 << 64;

/// Time after which a caller tries again through another router.
const PATIENCE: Duration = Duration::from_millis(1_500);

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
    /// Faults of the key-value service.
    pub faults: Vec<FaultSpan>,
    /// Crashes without memory over the run.
    pub crash_count: usize,
    /// Pauses of routers over the run.
    pub pause_count: usize,
    /// Longest pause.
    pub longest_pause: Duration,
    /// Percent of won requests that are refused while they wait.
    pub refused_percent: f64,
    /// Percent of requests that the upstream proves it did not run.
    pub unrun_percent: f64,
    /// Percent of answers that are lost between upstream and router.
    pub lost_percent: f64,
    /// Claims of earlier requests, with their outcomes, that the shards hold at the beginning.
    pub live_claims: usize,
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
            faults: Vec::new(),
            crash_count: 0,
            pause_count: 0,
            longest_pause: Duration::from_secs(3),
            refused_percent: 15.0,
            unrun_percent: 15.0,
            lost_percent: 10.0,
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
    /// The service, with its counts.
    pub kv: FakeKv,
    /// Times from wish to won claim.
    pub claim_times: Vec<Duration>,
    /// When the last event happened.
    pub ended: Timestamp,
}

#[derive(Debug)]
struct Run {
    options: RunOptions,
    now: Timestamp,
    random: Random,
    kv: FakeKv,
    routers: Vec<Router>,
    attempts: Vec<Attempt>,
    answered: Vec<bool>,
    calls: Vec<KvCall>,
    events: BinaryHeap<Reverse<(Timestamp, usize, Event)>>,
    event_count: usize,
    records: Vec<ClaimRecord>,
    claim_times: Vec<Duration>,
}

#[derive(Debug)]
struct Router {
    queues: ClaimQueues,
    life: usize,
    wake_at: Option<Timestamp>,
    paused_until: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    key: KeyId,
    number: usize,
    router: usize,
    life: usize,
    wished: Timestamp,
    is_told: bool,
}

#[derive(Debug)]
struct KvCall {
    router: usize,
    life: usize,
    shard: ShardId,
    write: Option<(ShardRecord, u64)>,
    lost: bool,
    result: CallResult,
}

#[derive(Debug, Clone)]
enum CallResult {
    Read(ReadResult),
    Write(WriteResult),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
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
    let held = held_keys(&run);
    RunResult {
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
    fill_shards(&mut run);
    run.routers = (0..run.options.router_count).map(|index| new_router(&run, index, 0)).collect();
    run
}

fn new_router(run: &Run, index: usize, life: usize) -> Router {
    let seed = run.options.seed ^ ((index as u64) << 32) ^ (life as u64 + 1);
    let claims = ClaimOptions { seed, ..run.options.claims.clone() };
    Router { queues: ClaimQueues::new(claims), life, wake_at: None, paused_until: Duration::ZERO }
}

fn fill_shards(run: &mut Run) {
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
    for (shard, record) in
        records.iter().enumerate().filter(|(_, record)| !record.claims.is_empty())
    {
        let value = postcard::to_stdvec(record).expect("a record can be encoded");
        fake_kvs::write(&mut run.kv, &shard_key(shard as ShardId), value, 0);
    }
    run.kv.counts = fake_kvs::CallCounts::default();
}

fn plan_events(run: &mut Run) {
    let whole = run.options.arrival_time;
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
        Event::Begin { key, number } => begin_attempt(run, key, number),
        Event::Arrive { attempt } => arrive(run, attempt),
        Event::Land { call } => land(run, call),
        Event::Reply { call } => reply(run, call),
        Event::Wake { router, life } => {
            if run.routers[router].life == life {
                run.routers[router].wake_at = None;
                tick(run, router, Vec::new());
            }
        }
        Event::Decide { attempt } => decide(run, attempt),
        Event::ReachUpstream { attempt } => reach_upstream(run, attempt),
        Event::Answer { attempt } => answer(run, attempt),
        Event::Refusal { attempt } => refuse_unrun(run, attempt),
        Event::LosePatience { attempt } => lose_patience(run, attempt),
        Event::Crash { router } => crash(run, router),
        Event::Pause { router, length } => run.routers[router].paused_until = run.now + length,
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

fn begin_attempt(run: &mut Run, key: KeyId, number: usize) {
    if run.options.attempt_limit <= number || run.answered[key] {
        return;
    }
    let router = draw_router(run);
    let attempt = run.attempts.len();
    let (wished, is_told) = (run.now, false);
    run.attempts.push(Attempt { key, number, router, life: usize::MAX, wished, is_told });
    let way = draw_time(run, Duration::from_millis(4));
    post(run, run.now + way, Event::Arrive { attempt });
    post(run, run.now + PATIENCE, Event::LosePatience { attempt });
}

fn arrive(run: &mut Run, attempt: AttemptId) {
    let router = run.attempts[attempt].router;
    run.attempts[attempt].life = run.routers[router].life;
    run.attempts[attempt].wished = run.now;
    note(run, attempt, ClaimStep::Wished);
    let wish = ClaimWish {
        ticket: attempt as u64,
        key: key_of(run.attempts[attempt].key),
        fingerprint: [7; 16],
        nonce: nonce_of(attempt),
    };
    let mut effects = Vec::new();
    let now_s = unix_s(run);
    wish_claim(&mut run.routers[router].queues, run.now, now_s, wish, &mut effects);
    tick(run, router, effects);
}

// A router's turn: it begins what is due, and its next turn is planned.
fn tick(run: &mut Run, router: usize, mut effects: Vec<ClaimEffect>) {
    bergamotpitch_control::claim_queues::run(
        &mut run.routers[router].queues,
        run.now,
        &mut effects,
    );
    for effect in effects {
        match effect {
            ClaimEffect::Read { shard } => call_kv(run, router, shard, None),
            ClaimEffect::Write { shard, record, base_index } => {
                call_kv(run, router, shard, Some((record, base_index)));
            }
            ClaimEffect::Answer { ticket, verdict } => {
                apply_verdict(run, ticket as AttemptId, verdict);
            }
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

fn call_kv(run: &mut Run, router: usize, shard: ShardId, write: Option<(ShardRecord, u64)>) {
    let is_write = write.is_some();
    let failed = |write_result| match is_write {
        true => CallResult::Write(write_result),
        false => CallResult::Read(ReadResult::Failed),
    };
    let plan = fake_kvs::plan_call(&run.kv, run.now, &mut run.random);
    let (result, lost) = match plan {
        CallPlan::Refused { .. } => (failed(WriteResult::NoEffect), true),
        CallPlan::Swallowed { .. } => (failed(WriteResult::InDoubt), true),
        CallPlan::Lands { lost, .. } => (failed(WriteResult::InDoubt), lost),
    };
    let life = run.routers[router].life;
    let call = run.calls.len();
    run.calls.push(KvCall { router, life, shard, write, lost, result });
    match plan {
        CallPlan::Refused { at } | CallPlan::Swallowed { at } => {
            post(run, at, Event::Reply { call });
        }
        CallPlan::Lands { at, reply_at, .. } => {
            post(run, at, Event::Land { call });
            post(run, reply_at, Event::Reply { call });
        }
    }
}

fn land(run: &mut Run, call: usize) {
    let entry = &mut run.calls[call];
    let key = shard_key(entry.shard);
    let result = match entry.write.take() {
        Some((record, base_index)) => {
            let value = postcard::to_stdvec(&record).expect("a record can be encoded");
            let written = fake_kvs::write(&mut run.kv, &key, value, base_index);
            CallResult::Write(if written { WriteResult::Written } else { WriteResult::Conflict })
        }
        None => {
            let entry = fake_kvs::read(&mut run.kv, &key);
            let index = entry.as_ref().map_or(0, |entry| entry.modify_index);
            CallResult::Read(ReadResult::Read { record: decode(entry), index })
        }
    };
    if !entry.lost {
        entry.result = result;
    }
}

fn reply(run: &mut Run, call: usize) {
    let KvCall { router, life, shard, ref result, .. } = run.calls[call];
    if run.routers[router].life != life {
        return;
    }
    let result = result.clone();
    let (now, now_s) = (run.now, unix_s(run));
    let mut effects = Vec::new();
    let queues = &mut run.routers[router].queues;
    match result {
        CallResult::Read(result) => apply_read(queues, now, now_s, shard, result, &mut effects),
        CallResult::Write(result) => apply_write(queues, now, shard, result, &mut effects),
    }
    tick(run, router, effects);
}

fn apply_verdict(run: &mut Run, attempt: AttemptId, verdict: Verdict) {
    match verdict {
        Verdict::Won { .. } => {
            note(run, attempt, ClaimStep::Won);
            let taken = run.now.saturating_sub(run.attempts[attempt].wished);
            run.claim_times.push(taken);
            let wait = draw_time(run, Duration::from_millis(400));
            post(run, run.now + wait, Event::Decide { attempt });
        }
        Verdict::Answered(outcome) => {
            let source = attempt_of_outcome(&outcome);
            note(run, attempt, ClaimStep::Answered(source));
            tell(run, attempt);
            run.answered[run.attempts[attempt].key] = true;
        }
        Verdict::OutcomeUnknown | Verdict::Mismatch => {
            note(run, attempt, ClaimStep::Unknown);
            tell(run, attempt);
            try_again(run, attempt);
        }
        Verdict::Unavailable => {
            note(run, attempt, ClaimStep::Unavailable);
            tell_not_run(run, attempt);
        }
    }
}

// The request has waited in its queue: it is refused there, or handed over.
fn decide(run: &mut Run, attempt: AttemptId) {
    if !is_alive(run, attempt) {
        return;
    }
    if draws(run, run.options.refused_percent) {
        release(run, attempt);
        return;
    }
    let way = draw_time(run, Duration::from_millis(2));
    post(run, run.now + way, Event::ReachUpstream { attempt });
}

fn reach_upstream(run: &mut Run, attempt: AttemptId) {
    let way = draw_time(run, Duration::from_millis(2));
    if draws(run, run.options.unrun_percent) {
        post(run, run.now + way, Event::Refusal { attempt });
        return;
    }
    note(run, attempt, ClaimStep::Ran);
    if draws(run, run.options.lost_percent) {
        return;
    }
    let length = draw_time(run, Duration::from_millis(2_500));
    post(run, run.now + length + way, Event::Answer { attempt });
}

fn refuse_unrun(run: &mut Run, attempt: AttemptId) {
    if is_alive(run, attempt) {
        release(run, attempt);
    }
}

fn release(run: &mut Run, attempt: AttemptId) {
    note(run, attempt, ClaimStep::Released);
    let Attempt { key, router, .. } = run.attempts[attempt];
    release_claim(&mut run.routers[router].queues, key_of(key), nonce_of(attempt));
    tick(run, router, Vec::new());
    tell_not_run(run, attempt);
}

fn answer(run: &mut Run, attempt: AttemptId) {
    if !is_alive(run, attempt) {
        return;
    }
    note(run, attempt, ClaimStep::Recorded);
    let Attempt { key, router, .. } = run.attempts[attempt];
    let body = Some((attempt as u64).to_le_bytes().to_vec());
    let outcome = Outcome { status: 200, headers: Vec::new(), body };
    let queues = &mut run.routers[router].queues;
    record_outcome(queues, run.now, key_of(key), nonce_of(attempt), outcome);
    tick(run, router, Vec::new());
    if !run.attempts[attempt].is_told {
        run.answered[key] = true;
        tell(run, attempt);
    }
}

fn tell_not_run(run: &mut Run, attempt: AttemptId) {
    note(run, attempt, ClaimStep::ToldNotRun);
    tell(run, attempt);
    try_again(run, attempt);
}

fn tell(run: &mut Run, attempt: AttemptId) {
    run.attempts[attempt].is_told = true;
}

fn try_again(run: &mut Run, attempt: AttemptId) {
    let Attempt { key, number, .. } = run.attempts[attempt];
    let wait = Duration::from_millis(300) + draw_time(run, Duration::from_millis(900));
    post(run, run.now + wait, Event::Begin { key, number: number + 1 });
}

fn lose_patience(run: &mut Run, attempt: AttemptId) {
    let Attempt { key, number, is_told, .. } = run.attempts[attempt];
    if !is_told {
        run.attempts[attempt].is_told = true;
        post(run, run.now, Event::Begin { key, number: number + 1 });
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

fn is_alive(run: &Run, attempt: AttemptId) -> bool {
    let Attempt { router, life, .. } = run.attempts[attempt];
    run.routers[router].life == life
}

fn held_keys(run: &Run) -> Vec<(KeyId, AttemptId, bool)> {
    let mut held = Vec::new();
    for shard in 0..run.options.claims.shard_count {
        let record = decode(fake_kvs::peek(&run.kv, &shard_key(shard)).cloned());
        for claim in record.claims.into_iter().filter(|claim| claim.nonce < EARLIER_NONCE) {
            let attempt = (claim.nonce - 1) as AttemptId;
            held.push((run.attempts[attempt].key, attempt, claim.outcome.is_some()));
        }
    }
    held
}

fn decode(entry: Option<fake_kvs::FakeEntry>) -> ShardRecord {
    entry.map_or_else(ShardRecord::default, |entry| {
        postcard::from_bytes(&entry.value).expect("a shard holds a record")
    })
}

fn attempt_of_outcome(outcome: &Outcome) -> AttemptId {
    let body = outcome.body.as_deref().and_then(|body| body.try_into().ok());
    body.map_or(usize::MAX, |body| u64::from_le_bytes(body) as AttemptId)
}

fn key_of(key: KeyId) -> ClaimKey {
    claim_key("team", "service", &key.to_string())
}

fn nonce_of(attempt: AttemptId) -> Nonce {
    attempt as Nonce + 1
}

fn shard_key(shard: ShardId) -> String {
    format!("claims/{shard}")
}

fn unix_s(run: &Run) -> u64 {
    FIRST_UNIX_S + run.now.as_secs()
}

fn note(run: &mut Run, attempt: AttemptId, step: ClaimStep) {
    let key = run.attempts[attempt].key;
    run.records.push(ClaimRecord { at: run.now, key, attempt, step });
}

fn post(run: &mut Run, at: Timestamp, event: Event) {
    run.event_count += 1;
    run.events.push(Reverse((at, run.event_count, event)));
}

fn draw_time(run: &mut Run, most: Duration) -> Duration {
    most.mul_f64(randoms::unit(&mut run.random))
}

fn draw_router(run: &mut Run) -> usize {
    (randoms::unit(&mut run.random) * run.options.router_count as f64) as usize
}

fn draws(run: &mut Run, percent: f64) -> bool {
    randoms::unit(&mut run.random) * 100.0 < percent
}

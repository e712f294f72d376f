//! Engines: a small fake of upstreams that batch continuously and admit requests as they arrive.

use std::collections::VecDeque;
use std::time::Duration;

use bergamotpitch_core::ids::{Incarnation, RequestId, ServiceId, UpstreamId};
use bergamotpitch_core::units::{CostUnits, Timestamp};

/// Time between two progress reports of one running request.
pub const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// Prefixes that an engine's cache holds.
const PREFIX_LIMIT: usize = 24;

/// `Job` is the work behind a request; the control states never see it.
#[derive(Debug, Clone)]
pub struct Job {
    /// The request.
    pub request: RequestId,
    /// Index of the team in the sheet.
    pub team: usize,
    /// Index of the router that received it.
    pub instance: usize,
    /// Life of that router.
    pub incarnation: Incarnation,
    /// Cost of the prompt, charged when the request starts.
    pub prompt_cost: CostUnits,
    /// Time that the prompt takes when its prefix is not cached.
    pub prompt_time: Duration,
    /// Cost of the answer, spread evenly over its time.
    pub answer_cost: CostUnits,
    /// Time that the answer takes.
    pub answer_time: Duration,
    /// Hash of the prompt's prefix; 0 when there is none.
    pub prefix: u64,
    /// When the request arrived at the router.
    pub arrived: Timestamp,
}

/// `Running` is a request in a slot.
#[derive(Debug, Clone)]
pub struct Running {
    /// The work.
    pub job: Job,
    /// When it entered the slot.
    pub started: Timestamp,
    /// When its first token comes.
    pub first_byte_at: Timestamp,
    /// When it ends.
    pub ends: Timestamp,
    /// Cost counted so far.
    pub counted_cost: CostUnits,
    /// True once the first byte was told.
    pub first_byte_told: bool,
    /// When its progress was last told.
    pub progress_told: Timestamp,
}

/// `Engine` is a fake upstream.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its id.
    pub upstream: UpstreamId,
    /// Its name.
    pub name: String,
    /// Service that it runs.
    pub service: ServiceId,
    /// Index of its place.
    pub place: usize,
    /// Requests that it runs at once.
    pub slots: usize,
    /// Requests in slots.
    pub running: Vec<Running>,
    /// Requests that were admitted and wait for a slot, in the order in which they came.
    pub waiting: VecDeque<Job>,
    /// Prefixes in its cache, the latest used last.
    pub prefixes: VecDeque<u64>,
    /// True when it reports that it is leaving.
    pub leaving: bool,
    /// True when it refuses connections.
    pub down: bool,
    /// Starts whose prefix was cached.
    pub prefix_hits: u64,
    /// Starts whose prefix was not.
    pub prefix_misses: u64,
}

/// `EngineEvent` is what an engine tells the router of a request.
#[derive(Debug, Clone)]
pub struct EngineEvent {
    /// When.
    pub at: Timestamp,
    /// Index of the router.
    pub instance: usize,
    /// Life of that router.
    pub incarnation: Incarnation,
    /// The request.
    pub request: RequestId,
    /// What happened.
    pub news: News,
}

/// `News` is one kind of engine event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// The request entered a slot; routers do not hear of it.
    Started,
    /// The first byte came.
    FirstByte,
    /// The answer has cost so much so far.
    Progressed(CostUnits),
    /// The answer ended with this whole cost.
    Ended(CostUnits),
}

/// `admit` takes a request in, as it arrives.
pub fn admit(engine: &mut Engine, job: Job) {
    engine.waiting.push_back(job);
}

/// `advance` runs an engine up to a time and returns what it tells, in order.
pub fn advance(engine: &mut Engine, from: Timestamp, now: Timestamp) -> Vec<EngineEvent> {
    let mut events = Vec::new();
    fill_slots(engine, from, &mut events);
    loop {
        let next = engine.running.iter().enumerate().min_by_key(|(_, running)| running.ends);
        let Some((index, running)) = next else { break };
        if now < running.ends {
            break;
        }
        let mut running = engine.running.remove(index);
        tell_progress(&mut running, now, &mut events);
        let job = &running.job;
        let whole = job.prompt_cost + job.answer_cost;
        events.push(event(job, running.ends, News::Ended(whole)));
        fill_slots(engine, running.ends.max(from), &mut events);
    }
    for running in &mut engine.running {
        tell_progress(running, now, &mut events);
    }
    events
}

fn fill_slots(engine: &mut Engine, at: Timestamp, events: &mut Vec<EngineEvent>) {
    while engine.running.len() < engine.slots {
        let Some(job) = engine.waiting.pop_front() else { return };
        let hit = touch_prefix(engine, job.prefix);
        let prompt_time = if hit { job.prompt_time / 10 } else { job.prompt_time };
        let first_byte_at = at + prompt_time;
        events.push(event(&job, at, News::Started));
        engine.running.push(Running {
            started: at,
            first_byte_at,
            ends: first_byte_at + job.answer_time,
            counted_cost: 0,
            first_byte_told: false,
            progress_told: first_byte_at,
            job,
        });
    }
}

fn touch_prefix(engine: &mut Engine, prefix: u64) -> bool {
    if prefix == 0 {
        return false;
    }
    let known = engine.prefixes.iter().position(|other| *other == prefix);
    if let Some(index) = known {
        engine.prefixes.remove(index);
        engine.prefix_hits += 1;
    } else {
        engine.prefix_misses += 1;
    }
    engine.prefixes.push_back(prefix);
    if PREFIX_LIMIT < engine.prefixes.len() {
        engine.prefixes.pop_front();
    }
    known.is_some()
}

fn tell_progress(running: &mut Running, now: Timestamp, events: &mut Vec<EngineEvent>) {
    if !running.first_byte_told && running.first_byte_at <= now {
        running.first_byte_told = true;
        events.push(event(&running.job, running.first_byte_at, News::FirstByte));
    }
    if running.progress_told + PROGRESS_INTERVAL <= now && now < running.ends {
        running.progress_told = now;
        events.push(event(&running.job, now, News::Progressed(cost_at(running, now))));
    }
}

fn event(job: &Job, at: Timestamp, news: News) -> EngineEvent {
    EngineEvent {
        at,
        instance: job.instance,
        incarnation: job.incarnation,
        request: job.request,
        news,
    }
}

/// `cost_at` is the cost that a running request has caused at a time.
pub fn cost_at(running: &Running, now: Timestamp) -> CostUnits {
    let job = &running.job;
    let done = now.saturating_sub(running.first_byte_at).as_secs_f64();
    let whole = job.answer_time.as_secs_f64().max(1e-9);
    let part = (done / whole).min(1.0);
    job.prompt_cost + (job.answer_cost as f64 * part) as CostUnits
}

/// `cancel` drops the requests of one life of a router, as a closed connection does.
pub fn cancel(engine: &mut Engine, instance: usize) {
    engine.waiting.retain(|job| job.instance != instance);
    engine.running.retain(|running| running.job.instance != instance);
}

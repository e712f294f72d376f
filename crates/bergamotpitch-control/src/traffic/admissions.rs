//! Admissions: to which upstream a request goes now, or when it should come back.
//!
//! Load pattern: callers ask for about twice what the engines give. An answer in time is worth
//! about three late ones, so a request is sent only where it is predicted to begin within its
//! target; what does not fit anywhere is told at once when to come back, instead of waiting for a
//! place that comes too late. Requests within their team's even share may fill an upstream nearly
//! up; those beyond it get what room is left, evenly between the teams that want it.

use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{TeamId, UpstreamId};
use bergamotpitch_core::units::Timestamp;

use crate::traffic::engine_loads::{self, RequestNumber, UpstreamLoad, Work};
use crate::traffic::evidences::Evidence;
use crate::traffic::facts::{PartId, RequestFacts};
use crate::traffic::prefixes::KeptParts;
use crate::traffic::registries::{Registry, Upstream, UpstreamKey};
use crate::traffic::retry_budgets::{self, RetryBudget};
use crate::traffic::team_windows::{self, Standing, TeamWindows};

/// `Options` of the decision.
#[derive(Debug, Clone)]
pub struct Options {
    /// Failure domain of this instance.
    pub domain: String,
    /// The model of upstreams.
    pub loads: engine_loads::Options,
    /// The teams' windows.
    pub windows: team_windows::Options,
    /// The retry budget of each service.
    pub retries: retry_budgets::Options,
    /// Way to another failure domain and back.
    pub remote_round_trip: Duration,
    /// How full upstreams may be for requests within their team's share.
    pub within_share: Fill,
    /// How full they may be for requests within an even part of what the engines give besides.
    pub even_surplus: Fill,
    /// How full they may be for requests of a team that had more than others that wait.
    pub beyond_even: Fill,
}

/// `Fill` bounds how full an upstream may be when a request is sent there.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fill {
    /// Part of the target latency within which the first event is predicted.
    pub target_part: f64,
    /// Part of the target latency that others' prompts may take when the request's own prompt
    /// takes longer than its target; without it, the longest prompts were never sent.
    pub others_part: f64,
    /// Part of the slots that may be taken.
    pub slots_part: f64,
    /// Part of the memory that may be taken by running requests.
    pub memory_part: f64,
    /// By which part the bounds shrink for a prompt of which all that is to be read was read by
    /// another engine before: reading it again takes room from requests that need not.
    pub read_again_part: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            domain: String::new(),
            loads: engine_loads::Options::default(),
            windows: team_windows::Options::default(),
            retries: retry_budgets::Options::default(),
            // The slowest link between regions that operators name takes 12 ms one way.
            remote_round_trip: Duration::from_millis(26),
            within_share: Fill {
                target_part: 0.8,
                others_part: 0.4,
                slots_part: 0.95,
                memory_part: 0.9,
                read_again_part: 0.1,
            },
            even_surplus: Fill {
                target_part: 0.35,
                others_part: 0.25,
                slots_part: 0.7,
                memory_part: 0.75,
                read_again_part: 0.95,
            },
            beyond_even: Fill {
                target_part: 0.2,
                others_part: 0.1,
                slots_part: 0.5,
                memory_part: 0.6,
                read_again_part: 0.95,
            },
        }
    }
}

/// `PLAIN_SLOTS_FACTOR` is how many calls a plain service may have in hand for each slot: a short
/// queue keeps its slots busy.
const PLAIN_SLOTS_FACTOR: f64 = 3.0;

/// `KEPT_PARTS` are the parts of a prompt's shared start that the first and the second engine by
/// rendezvous are expected to keep although this instance did not send it there: peers agree on the
/// order without any talk, and use the second when the first is full.
const KEPT_PARTS: [f64; 2] = [0.9, 0.7];

/// `READ_AGAIN_WEIGHT` is how much a millisecond of reading a shared start again weighs against a
/// millisecond of waiting: it is taken from all that run on the engine, and the start takes memory
/// in which other starts are kept.
const READ_AGAIN_WEIGHT: f64 = 4.0;

/// `REMOTE_WEIGHT_MS` is what the bytes of a request and its answer weigh when they go to another
/// failure domain, in milliseconds of waiting.
const REMOTE_WEIGHT_MS: f64 = 20.0;

/// `SLOTS_WEIGHT_MS` spreads requests over engines by their running requests where prompts are
/// short, in milliseconds for a full engine.
const SLOTS_WEIGHT_MS: f64 = 150.0;

/// `IDLE_SLOTS_PART` is the part of its slots below which an engine has room for any request, also
/// for one that reads again what another engine holds: its capacity would stand idle.
const IDLE_SLOTS_PART: f64 = 0.3;

/// `SHORTEST_RETURN` and `LONGEST_RETURN` bound the time after which a caller should come back.
const SHORTEST_RETURN: Duration = Duration::from_millis(40);

/// `LONGEST_RETURN` see [`SHORTEST_RETURN`].
const LONGEST_RETURN: Duration = Duration::from_millis(2_000);

/// `NO_UPSTREAM_RETURN` is when to come back while no upstream takes work; entries of upstreams
/// change within about a second.
const NO_UPSTREAM_RETURN: Duration = Duration::from_millis(1_000);

/// `Ask` is one request that wants an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// Service that its route sends it to.
    pub service: &'a str,
    /// What the request says.
    pub facts: &'a RequestFacts,
    /// Its team, when it has one.
    pub team: Option<TeamId>,
    /// Its target latency.
    pub target: Duration,
    /// Time since the request arrived.
    pub elapsed: Duration,
    /// Upstreams that must not get it.
    pub tried: &'a [UpstreamKey],
    /// Memory of an engine of the service, in tokens.
    pub memory_tokens: u64,
    /// Rate of the pool.
    pub pool_tokens_per_s: Option<u64>,
}

/// `Choice` is the decision.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// It goes to this upstream now.
    Send(Placement),
    /// It fits nowhere.
    Full {
        /// When it is worth asking again.
        after: Duration,
        /// How it stands against its team's share.
        standing: Standing,
        /// Requests at the upstream that has fewest.
        least_requests: u32,
    },
    /// No upstream of the service takes work; it is worth asking again at this time.
    NoUpstream(Duration),
}

/// `Placement` is where a request goes, with the inputs of the decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Placement {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// What the request means for it.
    pub work: Work,
    /// Predicted time until its first event or answer.
    pub predicted: Duration,
    /// Requests that the upstream had in hand.
    pub requests: u32,
    /// How the request stands against its team's share.
    pub standing: Standing,
    /// Place of the upstream in the rendezvous order for the prompt's shared start, of the first
    /// two.
    pub rank: Option<usize>,
}

/// `Traffic` is the state on which requests are decided.
#[derive(Debug)]
pub struct Traffic {
    /// Options of the decision.
    pub options: Options,
    /// Upstreams.
    pub registry: Registry,
    /// Teams' windows.
    pub windows: TeamWindows,
    loads: HashMap<UpstreamKey, UpstreamLoad>,
    kept: HashMap<UpstreamKey, KeptParts>,
    evidences: HashMap<UpstreamKey, Evidence>,
    budgets: HashMap<String, RetryBudget>,
}

impl Traffic {
    /// `new` returns a state without any upstream.
    pub fn new(options: Options) -> Self {
        let windows = TeamWindows::new(options.windows);
        Self {
            options,
            registry: Registry::default(),
            windows,
            loads: HashMap::default(),
            kept: HashMap::default(),
            evidences: HashMap::default(),
            budgets: HashMap::default(),
        }
    }

    /// `forget_gone` drops what is kept on upstreams that are gone, but for requests that still run
    /// there.
    pub fn forget_gone(&mut self) {
        let registry = &self.registry;
        let is_listed = |key: &UpstreamKey| registry.get(*key).is_some();
        self.kept.retain(|key, _| is_listed(key));
        self.evidences.retain(|key, _| is_listed(key));
        self.loads.retain(|key, load| is_listed(key) || load.own_figures().requests != 0);
    }

    /// `load` returns the model of an upstream.
    pub fn load(&mut self, key: UpstreamKey) -> &mut UpstreamLoad {
        self.loads.entry(key).or_default()
    }

    /// `loads` returns the models of all upstreams, in no order.
    pub fn loads(&self) -> impl Iterator<Item = (UpstreamKey, &UpstreamLoad)> {
        self.loads.iter().map(|(key, load)| (*key, load))
    }

    /// `step` forgets what peers said that were not heard for too long.
    pub fn step(&mut self, now: Timestamp) {
        let options = self.options.loads;
        self.loads.values_mut().for_each(|load| load.drop_silent_peers(now, &options));
    }

    /// `evidence` returns what is known of an upstream from its outcomes.
    pub fn evidence(&mut self, key: UpstreamKey) -> &mut Evidence {
        self.evidences.entry(key).or_default()
    }

    /// `budget` returns the retry budget of a service.
    pub fn budget(&mut self, service: &str) -> &mut RetryBudget {
        if !self.budgets.contains_key(service) {
            self.budgets.insert(service.to_owned(), RetryBudget::default());
        }
        self.budgets.entry(service.to_owned()).or_default()
    }

    /// `choose` decides on a request; it changes nothing.
    pub fn choose(&mut self, ask: &Ask<'_>, now: Timestamp) -> Choice {
        let standing = self.standing(ask, now);
        let fill = match standing {
            Standing::WithinShare => self.options.within_share,
            Standing::EvenSurplus => self.options.even_surplus,
            Standing::BeyondEven => self.options.beyond_even,
        };
        let candidates = self.candidates(ask, now);
        if candidates.is_empty() {
            return Choice::NoUpstream(NO_UPSTREAM_RETURN);
        }
        let ranked = self.ranked(ask, &candidates);
        let mut best: Option<(f64, Placement)> = None;
        let mut least_excess = LONGEST_RETURN;
        let mut least_requests = u32::MAX;
        for key in candidates {
            let Some(seen) = self.look(key, ask, ranked, now) else { continue };
            least_requests = least_requests.min(seen.requests);
            match seen.fit(ask, &fill) {
                Fit::Fits if best.as_ref().is_none_or(|(score, _)| seen.score < *score) => {
                    best = Some((seen.score, seen.placement(standing)));
                }
                Fit::Fits => {}
                Fit::Excess(excess) => least_excess = least_excess.min(excess),
            }
        }
        match best {
            Some((_, placement)) => Choice::Send(placement),
            None => {
                Choice::Full { after: least_excess.max(SHORTEST_RETURN), standing, least_requests }
            }
        }
    }

    /// `send` takes in that a request goes where [`Traffic::choose`] placed it.
    pub fn send(
        &mut self,
        request: RequestNumber,
        placement: &Placement,
        ask: &Ask<'_>,
        now: Timestamp,
    ) {
        let key = placement.upstream;
        let slots = self.registry.get(key).map_or(1, |upstream| upstream.registration.slots);
        let options = self.options.loads;
        let load = self.loads.entry(key).or_default();
        load.send(request, placement.work, slots, now, &options);
        if let Some(team) = ask.team
            && ask.facts.is_generation()
        {
            self.windows.note_begun(team, ask.facts.pool_tokens(), now);
        }
        if ask.facts.is_generation() {
            let running = load.figures(now, &options).memory_tokens;
            let room_tokens = ask.memory_tokens.saturating_sub(running);
            self.kept.entry(key).or_default().note(&ask.facts.prefix, room_tokens);
        }
        self.evidence(key).note_trial(now);
    }

    fn standing(&mut self, ask: &Ask<'_>, now: Timestamp) -> Standing {
        let Some(team) = ask.team else { return Standing::WithinShare };
        if !ask.facts.is_generation() {
            return Standing::WithinShare;
        }
        self.windows.standing(team, ask.facts.pool_tokens(), ask.pool_tokens_per_s, now)
    }

    /// Upstreams that may get the request: those with bad evidence only where no other is left, or
    /// when a trial is due.
    fn candidates(&self, ask: &Ask<'_>, now: Timestamp) -> Vec<UpstreamKey> {
        let open: Vec<UpstreamKey> = self
            .registry
            .of_service(ask.service)
            .iter()
            .copied()
            .filter(|key| !ask.tried.contains(key))
            .filter(|key| self.registry.get(*key).is_some_and(Upstream::takes_work))
            .collect();
        let usual_rate = self.usual_failure_rate(&open);
        let sound: Vec<UpstreamKey> =
            open.iter().copied().filter(|key| self.is_sound(*key, usual_rate, now)).collect();
        if sound.is_empty() { open } else { sound }
    }

    /// The failure rate of the upstream in the middle; the lower one of two. A mean would rise with
    /// the failures of a few, and hide them.
    fn usual_failure_rate(&self, keys: &[UpstreamKey]) -> f64 {
        let mut rates: Vec<f64> = keys.iter().map(|key| self.failure_rate(*key)).collect();
        rates.sort_by(f64::total_cmp);
        rates.get(rates.len().saturating_sub(1) / 2).copied().unwrap_or_default()
    }

    fn failure_rate(&self, key: UpstreamKey) -> f64 {
        self.evidences.get(&key).map_or(0.0, Evidence::failure_rate)
    }

    fn is_sound(&self, key: UpstreamKey, usual_rate: f64, now: Timestamp) -> bool {
        let Some(evidence) = self.evidences.get(&key) else { return true };
        if evidence.is_paused(now) {
            return false;
        }
        let oldest = self.loads.get(&key).and_then(UpstreamLoad::oldest_unanswered);
        if evidence.is_hung(oldest, now) {
            return false;
        }
        !evidence.is_failing(usual_rate) || evidence.is_trial_due(now)
    }

    /// The first and the second engine by rendezvous for the shared start of a prompt.
    ///
    /// A long start is kept by one engine of the whole fleet: each domain reads it too seldom to
    /// keep it warm, and the way to another domain takes less time than reading it again. A short
    /// one is kept in each domain.
    fn ranked(&self, ask: &Ask<'_>, candidates: &[UpstreamKey]) -> [Option<UpstreamKey>; 2] {
        let Some(shared) = ask.facts.prefix.iter().rev().nth(1) else { return [None, None] };
        let read_ms = ask.facts.shared_tokens() as f64 / self.options.loads.prefill_tokens_per_ms;
        let way_ms = millis(self.options.remote_round_trip) + REMOTE_WEIGHT_MS;
        let is_global = way_ms < READ_AGAIN_WEIGHT * read_ms;
        let mut ranked = [None, None];
        let mut weights = [0, 0];
        let engines = candidates.iter().filter_map(|key| self.registry.get(*key));
        for engine in engines {
            let listed = &engine.registration;
            if !is_global && listed.domain != self.options.domain {
                continue;
            }
            let weight = rendezvous_weight(shared.id, engine.id_number);
            if weights[0] < weight {
                ranked = [Some(engine.key), ranked[0]];
                weights = [weight, weights[0]];
            } else if weights[1] < weight {
                ranked[1] = Some(engine.key);
                weights[1] = weight;
            }
        }
        ranked
    }

    fn look(
        &self,
        key: UpstreamKey,
        ask: &Ask<'_>,
        ranked: [Option<UpstreamKey>; 2],
        now: Timestamp,
    ) -> Option<Look> {
        let upstream = self.registry.get(key)?;
        let options = &self.options.loads;
        let work = self.work_at(key, ask, ranked);
        let idle = UpstreamLoad::default();
        let load = self.loads.get(&key).unwrap_or(&idle);
        let slots = upstream.registration.slots;
        let is_remote = upstream.registration.domain != self.options.domain;
        let way = if is_remote { self.options.remote_round_trip } else { Duration::ZERO };
        let predicted = load.predict(work, slots, now, options) + way;
        let figures = load.figures(now, options);
        let own_ms = work.unread_tokens / options.prefill_tokens_per_ms;
        let taken_part = f64::from(figures.requests) / f64::from(slots.max(1));
        let remote_ms = if is_remote { REMOTE_WEIGHT_MS } else { 0.0 };
        let own_tokens = (ask.facts.own_tokens() as f64).min(work.unread_tokens);
        let read_again_ms = (work.unread_tokens - own_tokens) / options.prefill_tokens_per_ms;
        Some(Look {
            key,
            rank: ranked.iter().position(|ranked| *ranked == Some(key)),
            work,
            predicted,
            own: Duration::from_secs_f64(own_ms / 1_000.0),
            requests: figures.requests,
            slots,
            memory_tokens: figures.memory_tokens + work.memory_tokens,
            read_again_part: read_again_ms / own_ms.max(1.0),
            score: millis(predicted)
                + READ_AGAIN_WEIGHT * read_again_ms
                + SLOTS_WEIGHT_MS * taken_part * taken_part
                + remote_ms,
        })
    }

    fn work_at(&self, key: UpstreamKey, ask: &Ask<'_>, ranked: [Option<UpstreamKey>; 2]) -> Work {
        let facts = ask.facts;
        if !facts.is_generation() {
            return Work::default();
        }
        let kept = self.kept.get(&key).map_or(0, |kept| kept.kept_tokens(&facts.prefix)) as f64;
        let rank = ranked.iter().position(|ranked| *ranked == Some(key));
        let expected_part = rank.map_or(0.0, |rank| KEPT_PARTS[rank]);
        let expected = expected_part * facts.shared_tokens() as f64;
        Work {
            unread_tokens: (facts.prompt_tokens as f64 - kept.max(expected)).max(1.0),
            memory_tokens: facts.prompt_tokens + facts.output_tokens(),
        }
    }
}

/// `Look` is one upstream as seen for one request.
struct Look {
    key: UpstreamKey,
    rank: Option<usize>,
    work: Work,
    predicted: Duration,
    own: Duration,
    requests: u32,
    slots: u32,
    memory_tokens: u64,
    read_again_part: f64,
    score: f64,
}

enum Fit {
    Fits,
    /// How much too late or too full, as a time to wait.
    Excess(Duration),
}

impl Look {
    fn fit(&self, ask: &Ask<'_>, fill: &Fill) -> Fit {
        let is_generation = ask.facts.is_generation();
        let taken_part = f64::from(self.requests) / f64::from(self.slots.max(1));
        let is_idle = taken_part < IDLE_SLOTS_PART;
        let shrink = if is_idle { 1.0 } else { 1.0 - fill.read_again_part * self.read_again_part };
        let slots_part = if is_generation { fill.slots_part * shrink } else { PLAIN_SLOTS_FACTOR };
        let has_slot =
            f64::from(self.requests) + 1.0 <= (f64::from(self.slots) * slots_part).max(1.0);
        let memory = ask.memory_tokens as f64 * fill.memory_part;
        // An idle engine takes any request: one that is larger than its memory is refused there.
        let has_memory =
            !is_generation || self.requests == 0 || (self.memory_tokens as f64) <= memory;
        if !has_slot || !has_memory {
            return Fit::Excess(ask.target);
        }
        let in_time = ask.target.mul_f64(fill.target_part * shrink).saturating_sub(ask.elapsed);
        let long_prompt = self.own + ask.target.mul_f64(fill.others_part * shrink);
        let limit = in_time.max(long_prompt);
        if self.predicted <= limit { Fit::Fits } else { Fit::Excess(self.predicted - limit) }
    }

    fn placement(&self, standing: Standing) -> Placement {
        Placement {
            upstream: self.key,
            work: self.work,
            predicted: self.predicted,
            requests: self.requests,
            standing,
            rank: self.rank,
        }
    }
}

fn rendezvous_weight(part: PartId, upstream: UpstreamId) -> u64 {
    let mut hash = part ^ (u64::from(upstream) << 32) ^ u64::from(upstream);
    // Two rounds of a multiplicative mix; with one, neighbouring parts go to the same engine.
    for _ in 0..2 {
        hash ^= hash >> 33;
        hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    }
    hash ^ (hash >> 33)
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

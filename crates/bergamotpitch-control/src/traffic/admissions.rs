//! Admissions: to which upstream a request goes now, or when it should come back.
//!
//! Load pattern: callers ask for about twice what the engines give. An answer in time is worth
//! about three late ones, so a request is sent only where it is predicted to begin within its
//! target; what does not fit anywhere is told at once when to come back, instead of waiting for a
//! place that comes too late. Requests within their team's even share may fill an upstream nearly
//! up; those beyond it get what room is left, evenly between the teams that want it.

use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{DomainId, InstanceId, TeamId, id_of_name};
use bergamotpitch_core::units::Timestamp;
use serde::{Deserialize, Serialize};

use crate::traffic::catalogs::CacheLink;
use crate::traffic::engine_loads::{self, Capacity, RequestNumber, UpstreamLoad, Work};
use crate::traffic::engine_speeds::EngineSpeed;
use crate::traffic::evidences::Evidence;
use crate::traffic::facts::RequestFacts;
use crate::traffic::fits::{Distance, Fill, Fit, Look, millis};
use crate::traffic::needs::{Needs, Reading};
use crate::traffic::policies::Policy;
use crate::traffic::prefixes::KeptParts;
use crate::traffic::registries::{Registry, Upstream, UpstreamKey};
use crate::traffic::retry_budgets::{self, RetryBudget};
use crate::traffic::starts::{StartNote, Starts};
use crate::traffic::team_windows::{self, Standing, TeamWindows};

/// `Options` of the decision.
#[derive(Debug, Clone)]
pub struct Options {
    /// Which mechanisms are in force.
    pub policy: Policy,
    /// Failure domain of this instance.
    pub domain: String,
    /// The model of upstreams.
    pub loads: engine_loads::Options,
    /// The teams' windows.
    pub windows: team_windows::Options,
    /// The retry budget of each service.
    pub retries: retry_budgets::Options,
    /// Other failure domains of the own region, over links that are short and cheap.
    pub near_domains: Vec<String>,
    /// Way to a failure domain of another region and back.
    pub remote_round_trip: Duration,
    /// How full upstreams may be for requests within their team's share, and for those of a needy
    /// team.
    pub within_share: Fill,
    /// How full they may be for requests within an even part of what the engines give besides.
    pub even_surplus: Fill,
    /// How full they may be for requests of a team that had more than others that wait.
    pub beyond_even: Fill,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            domain: String::new(),
            near_domains: Vec::new(),
            loads: engine_loads::Options::default(),
            windows: team_windows::Options::default(),
            retries: retry_budgets::Options::default(),
            // The slowest link between regions that operators name takes 12 ms one way.
            remote_round_trip: Duration::from_millis(26),
            within_share: Fill {
                target_part: 0.8,
                others_part: 0.4,
                may_pause: true,
                slots_part: 0.95,
                memory_part: 0.9,
            },
            even_surplus: Fill {
                target_part: 0.35,
                others_part: 0.0,
                may_pause: false,
                slots_part: 0.7,
                memory_part: 0.75,
            },
            beyond_even: Fill {
                target_part: 0.2,
                others_part: 0.0,
                may_pause: false,
                slots_part: 0.5,
                memory_part: 0.6,
            },
        }
    }
}

/// `SHORTEST_RETURN` and `LONGEST_RETURN` bound the time after which a caller should come back.
const SHORTEST_RETURN: Duration = Duration::from_millis(40);

/// `LONGEST_RETURN` see [`SHORTEST_RETURN`].
const LONGEST_RETURN: Duration = Duration::from_millis(2_000);

/// `NO_UPSTREAM_RETURN` is when to come back while no upstream takes work; entries of upstreams
/// change within about a second.
const NO_UPSTREAM_RETURN: Duration = Duration::from_millis(1_000);

/// `Scope` tells among which upstreams of its service a request is placed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Scope {
    /// All of them.
    #[default]
    Fleet,
    /// Those of the own failure domain, which its dispatcher has to itself.
    Domain,
}

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
    /// Longest pause between two events that callers aim at.
    pub target_gap: Option<Duration>,
    /// Time since the request arrived.
    pub elapsed: Duration,
    /// Upstreams that must not get it.
    pub tried: &'a [UpstreamKey],
    /// Memory of an engine of the service, in tokens.
    pub memory_tokens: u64,
    /// Rate of the pool.
    pub pool_tokens_per_s: Option<u64>,
    /// Over what engines of the service fetch parts of prompts from each other.
    pub cache_link: Option<CacheLink>,
    /// Among which upstreams it is placed.
    pub scope: Scope,
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

/// `Room` is for how many more requests there is a place.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// Requests within their team's share.
    pub within_share: u32,
    /// Requests beyond it.
    pub beyond_share: u32,
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
    /// Engine from which the upstream should fetch what it does not keep of the prompt's start.
    pub fetch_from: Option<UpstreamKey>,
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
    /// Engines at which starts of prompts were read lately.
    pub starts: Starts,
    domain_number: DomainId,
    near_numbers: Vec<DomainId>,
    states: HashMap<UpstreamKey, UpstreamState>,
    speeds: HashMap<String, EngineSpeed>,
    budgets: HashMap<String, RetryBudget>,
}

/// `UpstreamState` is all that is known of one upstream besides its registration. It is one entry,
/// as a decision looks at each upstream of a service.
#[derive(Debug, Default)]
struct UpstreamState {
    load: UpstreamLoad,
    kept: KeptParts,
    evidence: Evidence,
}

impl Traffic {
    /// `new` returns a state without any upstream.
    pub fn new(mut options: Options) -> Self {
        options.windows.policy = options.policy;
        options.loads.policy = options.policy;
        let windows = TeamWindows::new(options.windows);
        Self {
            domain_number: id_of_name(&options.domain),
            near_numbers: options.near_domains.iter().map(|domain| id_of_name(domain)).collect(),
            options,
            registry: Registry::default(),
            windows,
            starts: Starts::default(),
            states: HashMap::default(),
            speeds: HashMap::default(),
            budgets: HashMap::default(),
        }
    }

    /// `forget_gone` drops what is kept on upstreams that are gone, but for those at which requests
    /// of this instance still run.
    pub fn forget_gone(&mut self) {
        let registry = &self.registry;
        self.states.retain(|key, state| {
            registry.get(*key).is_some() || state.load.own_figures().requests != 0
        });
    }

    /// `load` returns the model of an upstream.
    pub fn load(&mut self, key: UpstreamKey) -> &mut UpstreamLoad {
        &mut self.states.entry(key).or_default().load
    }

    /// `speed` returns how fast the engines of a service read prompts.
    pub fn speed(&self, service: &str) -> EngineSpeed {
        self.speeds.get(service).copied().unwrap_or_default()
    }

    /// `loads` returns the models of all upstreams, in no order.
    pub fn loads(&self) -> impl Iterator<Item = (UpstreamKey, &UpstreamLoad)> {
        self.states.iter().map(|(key, state)| (*key, &state.load))
    }

    /// `step` forgets what is too old: sums of silent peers, and starts that are kept no more.
    pub fn step(&mut self, now: Timestamp) {
        let options = self.options.loads;
        self.states.values_mut().for_each(|state| state.load.drop_silent_peers(now, &options));
        self.starts.step(now);
    }

    /// `forget_peer` drops what a peer told of its requests in hand and of its teams.
    pub fn forget_peer(&mut self, peer: InstanceId) {
        self.states.values_mut().for_each(|state| state.load.forget_peer(peer));
        self.windows.forget_peer(peer);
    }

    /// `evidence` returns what is known of an upstream from its outcomes.
    pub fn evidence(&mut self, key: UpstreamKey) -> &mut Evidence {
        &mut self.states.entry(key).or_default().evidence
    }

    /// `silence` returns the time since the last byte of an upstream.
    pub fn silence(&self, key: UpstreamKey, now: Timestamp) -> Duration {
        self.states.get(&key).map_or(Duration::MAX, |state| state.evidence.silence(now))
    }

    /// `room` returns how many more requests within their team's share, and beyond it, the own
    /// domain's upstreams of a service take whose first events come within `wait`.
    pub fn room(&self, service: &str, wait: Duration, now: Timestamp) -> Room {
        let options = &self.options.loads;
        let speed = self.speed(service);
        let keys = self.registry.of_service(service).iter();
        let upstreams = keys.filter_map(|key| self.registry.get(*key));
        let open = upstreams
            .filter(|upstream| upstream.takes_work() && self.is_in_scope(upstream, Scope::Domain));
        let unknown = UpstreamState::default();
        let mut room = Room::default();
        for upstream in open {
            let state = self.states.get(&upstream.key).unwrap_or(&unknown);
            let figures = state.load.figures(now, options);
            let free = |fill: &Fill| {
                let is_late =
                    fill.target_part * millis(wait) < speed.time_ms(figures.unread_tokens.max(0.0));
                let slots = (f64::from(upstream.registration.slots) * fill.slots_part) as u32;
                if is_late { 0 } else { slots.saturating_sub(figures.requests) }
            };
            room.within_share += free(&self.options.within_share);
            room.beyond_share += free(&self.options.even_surplus);
        }
        room
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
            Standing::WithinShare | Standing::Needy => self.options.within_share,
            Standing::EvenSurplus => self.options.even_surplus,
            Standing::BeyondEven => self.options.beyond_even,
        };
        let candidates = self.candidates(ask, now);
        if candidates.is_empty() {
            return Choice::NoUpstream(NO_UPSTREAM_RETURN);
        }
        let needs = self.needs(ask, &candidates, now);
        let unknown = UpstreamState::default();
        let mut best: Option<(f64, Placement)> = None;
        let mut least_excess = LONGEST_RETURN;
        let mut least_requests = u32::MAX;
        for upstream in &candidates {
            let state = self.states.get(&upstream.key).unwrap_or(&unknown);
            let seen = self.look(upstream, state, ask, &needs, now);
            least_requests = least_requests.min(seen.figures.requests);
            match seen.fit(ask, &fill, &self.options.policy) {
                Fit::Fits => {
                    let score = seen.score(ask, &self.options.policy);
                    if best.as_ref().is_none_or(|(least, _)| score < *least) {
                        best = Some((score, placement_of_look(&seen, standing)));
                    }
                }
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
        let capacity = Capacity { slots, speed: self.speed(ask.service) };
        let state = self.states.entry(key).or_default();
        state.load.send(request, placement.work, &capacity, now, &options);
        state.evidence.note_trial(now);
        if !ask.facts.is_generation() {
            return;
        }
        let running = state.load.figures(now, &options).memory_tokens;
        let room_tokens = ask.memory_tokens.saturating_sub(running);
        state.kept.note(&ask.facts.prefix, room_tokens);
        self.note_start(key, ask.facts, now);
        if let Some(team) = ask.team {
            self.windows.note_begun(team, ask.facts.pool_tokens(), now);
        }
    }

    /// `begun` takes in the first event of a request, or the answer of a plain call.
    pub fn begun(&mut self, key: UpstreamKey, request: RequestNumber, now: Timestamp) {
        let Some(event) = self.load(key).begun(request, now) else { return };
        let Some(upstream) = self.registry.get(key) else { return };
        if event.tells_speed() && self.options.policy.learned_speeds {
            let service = &upstream.registration.service;
            let mut speed = self.speed(service);
            speed.note(event.tokens_ahead + event.own_tokens, event.engine_ms);
            self.speeds.insert(service.clone(), speed);
        }
    }

    fn note_start(&mut self, key: UpstreamKey, facts: &RequestFacts, now: Timestamp) {
        let (Some(start), Some(upstream)) = (facts.shared_start(), self.registry.get(key)) else {
            return;
        };
        let tokens = u32::try_from(facts.shared_tokens()).unwrap_or(u32::MAX);
        let upstream = upstream.life_number;
        self.starts.sent(StartNote { start, tokens, upstream, used: now });
    }

    fn standing(&mut self, ask: &Ask<'_>, now: Timestamp) -> Standing {
        let Some(team) = ask.team else { return Standing::WithinShare };
        if !ask.facts.is_generation() || !self.options.policy.team_shares {
            return Standing::WithinShare;
        }
        self.windows.standing(team, ask.facts.pool_tokens(), ask.pool_tokens_per_s, now)
    }

    /// Upstreams that may get the request: those with bad evidence only where no other is left, or
    /// when a trial is due.
    fn candidates(&self, ask: &Ask<'_>, now: Timestamp) -> Vec<&Upstream> {
        let open: Vec<&Upstream> = self
            .registry
            .of_service(ask.service)
            .iter()
            .filter(|key| !ask.tried.contains(key))
            .filter_map(|key| self.registry.get(*key))
            .filter(|upstream| upstream.takes_work() && self.is_in_scope(upstream, ask.scope))
            .collect();
        if !self.options.policy.evidence {
            return open;
        }
        let usual_rate = self.usual_failure_rate(&open);
        let sound: Vec<&Upstream> = open
            .iter()
            .copied()
            .filter(|upstream| self.is_sound(upstream.key, usual_rate, now))
            .collect();
        if sound.is_empty() { open } else { sound }
    }

    fn is_in_scope(&self, upstream: &Upstream, scope: Scope) -> bool {
        scope == Scope::Fleet || upstream.domain_number == self.domain_number
    }

    /// The failure rate of the upstream in the middle; the lower one of two. A mean would rise with
    /// the failures of a few, and hide them.
    fn usual_failure_rate(&self, upstreams: &[&Upstream]) -> f64 {
        let rates = upstreams.iter().map(|upstream| self.failure_rate(upstream.key));
        let mut rates: Vec<f64> = rates.filter(|rate| 0.0 < *rate).collect();
        let sound = upstreams.len() - rates.len();
        let middle = upstreams.len().saturating_sub(1) / 2;
        if middle < sound {
            return 0.0;
        }
        rates.sort_by(f64::total_cmp);
        rates.get(middle - sound).copied().unwrap_or_default()
    }

    fn failure_rate(&self, key: UpstreamKey) -> f64 {
        self.states.get(&key).map_or(0.0, |state| state.evidence.failure_rate())
    }

    fn is_sound(&self, key: UpstreamKey, usual_rate: f64, now: Timestamp) -> bool {
        let Some(UpstreamState { load, evidence, .. }) = self.states.get(&key) else {
            return true;
        };
        if evidence.is_paused(now) {
            return false;
        }
        if evidence.is_silent(now) && evidence.is_hung(load.oldest_unanswered(), now) {
            return false;
        }
        !evidence.is_failing(usual_rate) || evidence.is_trial_due(now)
    }

    fn needs(&self, ask: &Ask<'_>, candidates: &[&Upstream], now: Timestamp) -> Needs {
        let policy = &self.options.policy;
        let mut needs = Needs::of_request(ask, self.speed(ask.service), policy);
        let Some(start) = ask.facts.shared_start() else { return needs };
        // A dispatcher knows which engines of its domain read a start, and that none has.
        if policy.start_order && ask.scope == Scope::Fleet {
            needs.rank_engines(start, candidates, self.domain_number);
        }
        needs.find_holders(start, &self.registry, &self.starts, now);
        needs
    }

    fn distance(&self, upstream: &Upstream) -> Distance {
        if upstream.domain_number == self.domain_number {
            Distance::Own
        } else if self.near_numbers.contains(&upstream.domain_number) {
            Distance::Near
        } else {
            Distance::Far
        }
    }

    fn look(
        &self,
        upstream: &Upstream,
        state: &UpstreamState,
        ask: &Ask<'_>,
        needs: &Needs,
        now: Timestamp,
    ) -> Look {
        let options = &self.options.loads;
        let kept_tokens = state.kept.kept_tokens(&ask.facts.prefix);
        let Reading { mut work, fetch_from } = needs.reading_at(upstream, kept_tokens);
        let capacity = Capacity { slots: upstream.registration.slots, speed: needs.speed };
        let distance = self.distance(upstream);
        work.delay_ms += match distance {
            Distance::Own | Distance::Near => 0.0,
            Distance::Far => millis(self.options.remote_round_trip),
        };
        let figures = state.load.figures(now, options);
        let own_ms = match needs.is_generation {
            true => needs.speed.reading_ms(work.unread_tokens),
            false => state.load.plain_ms(options),
        };
        Look {
            key: upstream.key,
            rank: needs.rank(upstream.key),
            work,
            fetch_from,
            predicted_ms: state.load.predict_ms(work, &figures, &capacity, now, options),
            own_ms,
            reading_ms: millis(state.load.reading_time(&figures, now))
                + needs.speed.reading_ms(figures.unread_tokens.max(0.0) + work.unread_tokens),
            figures,
            slots: capacity.slots,
            distance,
        }
    }
}

fn placement_of_look(seen: &Look, standing: Standing) -> Placement {
    Placement {
        upstream: seen.key,
        work: seen.work,
        predicted: Duration::from_secs_f64(seen.predicted_ms / 1_000.0),
        requests: seen.figures.requests,
        standing,
        rank: seen.rank,
        fetch_from: seen.fetch_from,
    }
}

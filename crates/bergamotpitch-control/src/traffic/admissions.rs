//! Admissions: to which upstream a request goes now, or when it should come back.
//!
//! Load pattern: callers ask for about twice what the engines give. An answer in time is worth
//! about three late ones, so a request is sent only where it is predicted to begin within its
//! target; what does not fit anywhere is told at once when to come back, instead of waiting for a
//! place that comes too late. Requests within their team's even share may fill an upstream nearly
//! up; those beyond it get what room is left, evenly between the teams that want it.

use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{DomainId, InstanceId, RegionId, id_of_name};
use bergamotpitch_core::units::Timestamp;

use crate::traffic::crash_suspects::{CrashSuspects, SuspectId, Turn, Verdict};
use crate::traffic::engine_loads::{self, Capacity, RequestNumber, UpstreamLoad};
use crate::traffic::engine_speeds::EngineSpeed;
use crate::traffic::evidences::Evidence;
use crate::traffic::facts::RequestFacts;
use crate::traffic::fleet_sizes::UNKNOWN_FLEET_SIZE;
use crate::traffic::placement_requests::{Decision, Headroom, Placement, PlacementRequest, Scope};
use crate::traffic::policies::Policy;
use crate::traffic::prefixes::KeptParts;
use crate::traffic::registries::{Change, Registry, Upstream, UpstreamKey};
use crate::traffic::request_demands::{PrefillPlan, RequestDemand, rendezvous_weight};
use crate::traffic::request_digests::RequestDigest;
use crate::traffic::residencies::AllowedRegions;
use crate::traffic::retry_budgets::{self, RetryBudget};
use crate::traffic::software_versions::SoftwareVersions;
use crate::traffic::sound_parts::moment_of;
use crate::traffic::starts::{StartNote, Starts};
use crate::traffic::stream_origins::StreamOrigins;
use crate::traffic::team_windows::{self, ShareClass, TeamWindows};
use crate::traffic::upstream_candidates::{
    Distance, Fit, Limit, UpstreamCandidate, UtilizationLimits, millis,
};
use crate::traffic::warm_ups::{self, ArrivalLimiter, Authority, WarmUp};

mod arrivals;

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
    /// The region of each failure domain, by name.
    pub regions: HashMap<String, String>,
    /// The bound on requests to upstreams that have just started.
    pub warm_ups: warm_ups::Options,
    /// Way to a failure domain of another region and back.
    pub remote_round_trip: Duration,
    /// How full upstreams may be for requests within their team's share, and for those of a needy
    /// team.
    pub within_share: UtilizationLimits,
    /// How full they may be for requests within an even part of what the engines give besides.
    pub even_surplus: UtilizationLimits,
    /// How full they may be for requests of a team that had more than others that wait.
    pub beyond_even: UtilizationLimits,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            domain: String::new(),
            near_domains: Vec::new(),
            regions: HashMap::default(),
            loads: engine_loads::Options::default(),
            windows: team_windows::Options::default(),
            retries: retry_budgets::Options::default(),
            warm_ups: warm_ups::Options::default(),
            // The slowest link between regions that operators name takes 12 ms one way.
            remote_round_trip: Duration::from_millis(26),
            within_share: UtilizationLimits {
                target_fraction: 0.8,
                others_fraction: 0.4,
                may_pause_streams: true,
                slots_fraction: 0.95,
                memory_fraction: 0.9,
                arrivals_fraction: 1.0,
            },
            even_surplus: UtilizationLimits {
                target_fraction: 0.35,
                others_fraction: 0.0,
                may_pause_streams: false,
                slots_fraction: 0.7,
                memory_fraction: 0.75,
                arrivals_fraction: 0.85,
            },
            beyond_even: UtilizationLimits {
                target_fraction: 0.2,
                others_fraction: 0.0,
                may_pause_streams: false,
                slots_fraction: 0.5,
                memory_fraction: 0.6,
                arrivals_fraction: 0.7,
            },
        }
    }
}

/// `RETRY_AFTER_MIN` and `RETRY_AFTER_MAX` bound the time after which a caller should come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(40);

/// `RETRY_AFTER_MAX` see [`RETRY_AFTER_MIN`].
const RETRY_AFTER_MAX: Duration = Duration::from_millis(2_000);

/// `NO_UPSTREAM_RETRY_AFTER` is when to come back while no upstream takes work; entries of upstreams
/// change within about a second.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// `READY_ENOUGH` is how many upstreams that would begin a request at once a decision compares; a service of
/// thousands has hundreds of them.
const READY_ENOUGH: usize = 64;

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
    /// Software versions of the upstreams of each service.
    pub software: SoftwareVersions,
    /// Software versions at which streams began.
    pub origins: StreamOrigins,
    /// Parts of prompts under which upstreams have crashed.
    pub crash_suspects: CrashSuspects,
    /// Authority over the upstreams of the own failure domain.
    pub authority: Authority,
    /// Instances of the fleet, this one among them.
    pub fleet_size: usize,
    warm_ups: HashMap<String, WarmUp>,
    domain_number: DomainId,
    near_domain_numbers: Vec<DomainId>,
    region_of_domain: HashMap<DomainId, RegionId>,
    states: HashMap<UpstreamKey, UpstreamState>,
    /// Upstreams that are gone and at which requests of this instance still run.
    gone_in_use: Vec<UpstreamKey>,
    speeds: HashMap<String, EngineSpeed>,
    budgets: HashMap<String, RetryBudget>,
    candidates_considered: u64,
}

/// `UpstreamState` is all that is known of one upstream besides its registration. It is one entry,
/// as a decision looks at each upstream of a service.
#[derive(Debug, Default)]
struct UpstreamState {
    load: UpstreamLoad,
    kept: KeptParts,
    evidence: Evidence,
    arrivals: ArrivalLimiter,
}

impl Traffic {
    /// `new` returns a state without any upstream.
    pub fn new(mut options: Options) -> Self {
        options.windows.policy = options.policy;
        options.loads.policy = options.policy;
        let windows = TeamWindows::new(options.windows);
        let region_of_domain =
            options.regions.iter().map(|(domain, region)| (id_of_name(domain), id_of_name(region)));
        Self {
            domain_number: id_of_name(&options.domain),
            near_domain_numbers: options
                .near_domains
                .iter()
                .map(|domain| id_of_name(domain))
                .collect(),
            region_of_domain: region_of_domain.collect(),
            options,
            registry: Registry::default(),
            windows,
            starts: Starts::default(),
            software: SoftwareVersions::default(),
            origins: StreamOrigins::default(),
            crash_suspects: CrashSuspects::default(),
            authority: Authority::Shared(UNKNOWN_FLEET_SIZE),
            fleet_size: UNKNOWN_FLEET_SIZE,
            warm_ups: HashMap::default(),
            states: HashMap::default(),
            gone_in_use: Vec::new(),
            speeds: HashMap::default(),
            budgets: HashMap::default(),
            candidates_considered: 0,
        }
    }

    /// `remove_gone_upstreams` drops what is kept on upstreams that are gone by some changes, but for those at
    /// which requests of this instance still run; these are dropped by a later step.
    pub fn remove_gone_upstreams(&mut self, changes: &[Change]) {
        for change in changes {
            let Change::Gone(key, _) = change else { continue };
            let Some(state) = self.states.get(key) else { continue };
            if state.load.own_figures().requests == 0 {
                self.states.remove(key);
            } else {
                self.gone_in_use.push(*key);
            }
        }
    }

    fn remove_unused_upstreams(&mut self) {
        let (states, registry) = (&mut self.states, &self.registry);
        self.gone_in_use.retain(|key| {
            let is_in_use =
                states.get(key).is_some_and(|state| state.load.own_figures().requests != 0);
            if !is_in_use && registry.get(*key).is_none() {
                states.remove(key);
            }
            is_in_use
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
        self.remove_unused_upstreams();
        self.starts.step(now);
        self.software.step(now);
        self.origins.step(now);
        self.crash_suspects.step(moment_of(now));
    }

    /// `update_software` takes in that upstreams have changed; it returns the services of which more than
    /// one version of software is known since then.
    pub fn update_software(&mut self, now: Timestamp) -> Vec<String> {
        self.software.update(&self.registry, now)
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

    /// `time_since_last_byte` returns the time since the last byte of an upstream.
    pub fn time_since_last_byte(&self, key: UpstreamKey, now: Timestamp) -> Duration {
        self.states.get(&key).map_or(Duration::MAX, |state| state.evidence.silence(now))
    }

    /// `headroom` returns how many more requests within their team's share, and beyond it, the own
    /// domain's upstreams of a service take whose first events come within `wait`.
    pub fn headroom(&self, service: &str, wait: Duration, now: Timestamp) -> Headroom {
        let options = &self.options.loads;
        let speed = self.speed(service);
        let keys = self.registry.of_domain(service, self.domain_number).iter();
        let upstreams = keys.filter_map(|key| self.registry.get(*key));
        let open = upstreams.filter(|upstream| upstream.takes_work());
        let default_state = UpstreamState::default();
        let mut headroom = Headroom::default();
        for upstream in open {
            let state = self.states.get(&upstream.key).unwrap_or(&default_state);
            let figures = state.load.figures(now, options);
            let bound = self.arrival_bound(upstream, &state.arrivals, now);
            let arrivals = bound.map_or(u32::MAX, |(warm_up, authority)| {
                state.arrivals.room(warm_up, authority, now, &self.options.warm_ups)
            });
            let free = |limits: &UtilizationLimits| {
                let is_late = limits.target_fraction * millis(wait)
                    < speed.time_ms(figures.unread_tokens.max(0.0));
                let slots = (f64::from(upstream.registration.slots) * limits.slots_fraction) as u32;
                if is_late { 0 } else { slots.saturating_sub(figures.requests).min(arrivals) }
            };
            headroom.within_share += free(&self.options.within_share);
            headroom.beyond_share += free(&self.options.even_surplus);
        }
        headroom
    }

    /// `allows` tells whether data that may enter some regions alone may enter a failure domain.
    pub fn allows(&self, regions: &AllowedRegions, domain: DomainId) -> bool {
        regions.allows(self.region_of_domain.get(&domain).copied())
    }

    /// `budget` returns the retry budget of a service.
    pub fn budget(&mut self, service: &str) -> &mut RetryBudget {
        if !self.budgets.contains_key(service) {
            self.budgets.insert(service.to_owned(), RetryBudget::default());
        }
        self.budgets.entry(service.to_owned()).or_default()
    }

    /// `note_read` takes in that an upstream has by now read what it was sent.
    pub fn note_read(&mut self, key: UpstreamKey, now: Timestamp) {
        let Some(upstream) = self.registry.get(key) else { return };
        let life = upstream.life_number;
        self.budgets.values_mut().for_each(|budget| budget.note_read(life, now));
    }

    /// `choose_upstream` decides on a request; it changes nothing.
    pub fn choose_upstream(&mut self, request: &PlacementRequest<'_>, now: Timestamp) -> Decision {
        let share_class = self.share_class(request, now);
        let verdict = self.suspect_verdict(request.service, request.facts, request.digest, now);
        if let Verdict::Block(time) = verdict {
            return Decision::Blocked(time);
        }
        let confined_to = confining_suspect(&verdict);
        // All attempts of a suspect go to the same upstream, so that it is chosen among all.
        let ready_max = if confined_to.is_none() { READY_ENOUGH } else { usize::MAX };
        let (is_whole, candidates) = self.candidates(request, ready_max, now);
        let decision = self.choose_among(&candidates, request, share_class, confined_to, now);
        let mut considered = candidates.len();
        let is_sent = matches!(decision, Decision::Send(_));
        let decision = match is_whole || is_sent {
            true => decision,
            false => {
                let (_, candidates) = self.candidates(request, usize::MAX, now);
                considered += candidates.len();
                self.choose_among(&candidates, request, share_class, confined_to, now)
            }
        };
        self.candidates_considered += considered as u64;
        decision
    }

    /// `upstreams_with` returns the upstreams of a service for whose evidence a predicate holds; there is none before
    /// anything happened at an upstream.
    pub fn upstreams_with(
        &self,
        service: &str,
        predicate: impl Fn(Option<&Evidence>) -> bool,
    ) -> Vec<UpstreamKey> {
        let keys = self.registry.of_service(service).iter().copied();
        keys.filter(|key| predicate(self.states.get(key).map(|state| &state.evidence))).collect()
    }

    /// `candidates_considered` returns at how many upstreams all decisions together have looked.
    pub fn candidates_considered(&self) -> u64 {
        self.candidates_considered
    }

    fn choose_among(
        &self,
        candidates: &[&Upstream],
        request: &PlacementRequest<'_>,
        share_class: ShareClass,
        confined_to: Option<SuspectId>,
        now: Timestamp,
    ) -> Decision {
        let limits = match share_class {
            // Others of its team have had nothing of what the stream was given before it broke off.
            _ if request.software.is_some() => self.options.within_share,
            ShareClass::WithinShare | ShareClass::Underserved => self.options.within_share,
            ShareClass::EvenSurplus => self.options.even_surplus,
            ShareClass::BeyondEven => self.options.beyond_even,
        };
        let preferred = confined_to.and_then(|suspect| preferred_by(suspect, candidates));
        let demand = self.demand(request, candidates, now);
        let default_state = UpstreamState::default();
        let mut best: Option<(f64, Placement)> = None;
        let mut least_excess: Option<(Duration, Limit)> = None;
        let mut least_requests = u32::MAX;
        for upstream in candidates {
            let state = self.states.get(&upstream.key).unwrap_or(&default_state);
            let candidate = self.evaluate_candidate(upstream, state, request, &demand, now);
            least_requests = least_requests.min(candidate.figures.requests);
            let arrival_wait =
                self.arrival_wait(upstream, &state.arrivals, limits.arrivals_fraction, now);
            let fit = match (arrival_wait.is_zero(), confined_to) {
                (false, _) => Fit::Excess(arrival_wait, Limit::Arrivals),
                // Instances that know different loads must still choose the same upstream.
                (true, Some(SuspectId::Request(_))) if candidate.has_room(request, &limits) => {
                    Fit::Fits
                }
                (true, _) => candidate.fit(request, &limits, &self.options.policy),
            };
            match fit {
                Fit::Fits => {
                    let score = match confined_to {
                        Some(SuspectId::Request(digest)) => {
                            -(rendezvous_weight(digest, upstream.id_number) as f64)
                        }
                        _ if Some(upstream.key) == preferred => f64::NEG_INFINITY,
                        _ => candidate.score(request, &self.options.policy),
                    };
                    if best.as_ref().is_none_or(|(least, _)| score < *least) {
                        best = Some((score, placement_at(&candidate, share_class, now)));
                    }
                }
                Fit::Excess(excess, limit) => {
                    if least_excess.is_none_or(|(least, _)| excess < least) {
                        least_excess = Some((excess, limit));
                    }
                }
            }
        }
        match (best, least_excess) {
            (Some((_, placement)), _) => Decision::Send(placement),
            (None, Some((excess, refused_by))) => Decision::Full {
                retry_after: excess.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
                share_class,
                least_requests,
                refused_by,
            },
            (None, None) => Decision::NoUpstream(NO_UPSTREAM_RETRY_AFTER),
        }
    }

    /// `suspect_verdict` tells where a request may go because of the parts of its prompt, and of what
    /// happened to its other attempts.
    pub fn suspect_verdict(
        &self,
        service: &str,
        facts: &RequestFacts,
        digest: Option<RequestDigest>,
        now: Timestamp,
    ) -> Verdict {
        if self.crash_suspects.is_empty() || !self.options.policy.crash_suspects {
            return Verdict::Admit;
        }
        let (service, now) = (id_of_name(service), moment_of(now));
        self.crash_suspects.verdict(service, facts.shared_parts(), digest, now)
    }

    /// `send` takes in that a request goes where [`Traffic::choose_upstream`] placed it.
    pub fn send(
        &mut self,
        number: RequestNumber,
        placement: &Placement,
        request: &PlacementRequest<'_>,
        now: Timestamp,
    ) {
        let key = placement.upstream;
        let slots = self.registry.get(key).map_or(1, |upstream| upstream.registration.slots);
        let options = self.options.loads;
        let capacity = Capacity { slots, speed: self.speed(request.service) };
        let state = self.states.entry(key).or_default();
        state.load.send(number, placement.work, &capacity, now, &options);
        state.evidence.note_trial(now);
        state.arrivals.note_placed(now);
        if !request.facts.is_generation() {
            return;
        }
        let used_tokens = state.load.figures(now, &options).memory_tokens;
        let free_tokens = request.memory_tokens.saturating_sub(used_tokens);
        state.kept.note(&request.facts.prefix, free_tokens);
        self.record_prefix(key, request.facts, now);
        if let Some(team) = request.team {
            self.windows.record_dispatch(team, request.facts.pool_tokens(), now);
        }
    }

    /// `begun` takes in the first event of a request, or the answer of a plain call.
    pub fn begun(&mut self, key: UpstreamKey, number: RequestNumber, now: Timestamp) {
        let Some(event) = self.load(key).begun(number, now) else { return };
        let Some(upstream) = self.registry.get(key) else { return };
        if event.tells_speed() && self.options.policy.learned_speeds {
            let service = &upstream.registration.service;
            let mut speed = self.speed(service);
            speed.note(event.tokens_ahead + event.own_tokens, event.engine_ms);
            self.speeds.insert(service.clone(), speed);
        }
    }

    fn record_prefix(&mut self, key: UpstreamKey, facts: &RequestFacts, now: Timestamp) {
        let (Some(prefix), Some(upstream)) = (facts.shared_prefix(), self.registry.get(key)) else {
            return;
        };
        let tokens = u32::try_from(facts.shared_tokens()).unwrap_or(u32::MAX);
        let upstream = upstream.life_number;
        self.starts.sent(StartNote { start: prefix, tokens, upstream, used: now });
    }

    fn share_class(&mut self, request: &PlacementRequest<'_>, now: Timestamp) -> ShareClass {
        let Some(team) = request.team else { return ShareClass::WithinShare };
        if !request.facts.is_generation() || !self.options.policy.team_shares {
            return ShareClass::WithinShare;
        }
        self.windows.share_class(team, request.facts.pool_tokens(), request.pool_tokens_per_s, now)
    }

    /// Upstreams that may get the request: those with bad evidence only where no other is left, or
    /// when a trial is due. Once `ready_max` of them would begin it at once, further ones are not looked
    /// at; returns whether all were.
    fn candidates(
        &self,
        request: &PlacementRequest<'_>,
        ready_max: usize,
        now: Timestamp,
    ) -> (bool, Vec<&Upstream>) {
        let (is_whole, open) = self.open_upstreams(request, ready_max, now);
        if !self.options.policy.evidence {
            return (is_whole, open);
        }
        let median_rate = self.median_failure_rate(&open);
        let healthy: Vec<&Upstream> = open
            .iter()
            .copied()
            .filter(|upstream| self.is_healthy(upstream.key, median_rate, now))
            .collect();
        (is_whole, if healthy.is_empty() { open } else { healthy })
    }

    fn open_upstreams(
        &self,
        request: &PlacementRequest<'_>,
        ready_max: usize,
        now: Timestamp,
    ) -> (bool, Vec<&Upstream>) {
        let is_open = |upstream: &&Upstream| {
            upstream.takes_work()
                && self.is_in_scope(upstream, request.scope)
                && self.allows(request.regions, upstream.domain_number)
                && request.software.is_none_or(|only| upstream.software == only)
                && !request.tried.contains(&upstream.key)
        };
        let of_domain = self.registry.of_domain(request.service, self.domain_number);
        let of_service = self.registry.of_service(request.service);
        let is_long = ready_max < of_service.len();
        let keys: &[&[UpstreamKey]] = match request.scope {
            Scope::Domain => &[of_domain],
            // Those of the own domain first: with enough of them, nobody looks elsewhere.
            Scope::Fleet if is_long => &[of_domain, of_service],
            Scope::Fleet => &[of_service],
        };
        let holders: Vec<UpstreamKey> =
            if is_long { self.holders(request, now) } else { Vec::new() };
        let mut open: Vec<&Upstream> =
            holders.iter().filter_map(|key| self.registry.get(*key)).filter(is_open).collect();
        let mut ready = 0;
        for (part, keys) in keys.iter().enumerate() {
            let is_seen = |upstream: &Upstream| {
                holders.contains(&upstream.key)
                    || (part != 0 && upstream.domain_number == self.domain_number)
            };
            let listed = keys.iter().filter_map(|key| self.registry.get(*key)).filter(is_open);
            for upstream in listed.filter(|upstream| !is_seen(upstream)) {
                open.push(upstream);
                ready += usize::from(self.is_ready(upstream, now));
                if ready_max <= ready {
                    return (false, open);
                }
            }
        }
        (true, open)
    }

    /// The engines at which the shared start of the prompt was read lately.
    fn holders(&self, request: &PlacementRequest<'_>, now: Timestamp) -> Vec<UpstreamKey> {
        let Some(prefix) = request.facts.shared_prefix() else { return Vec::new() };
        let lives = self.starts.holders(prefix, now);
        lives.filter_map(|life| self.registry.key_of_life(life)).collect()
    }

    /// Whether an upstream would begin a request at once.
    fn is_ready(&self, upstream: &Upstream, now: Timestamp) -> bool {
        let Some(UpstreamState { load, evidence, .. }) = self.states.get(&upstream.key) else {
            return true;
        };
        let figures = load.figures(now, &self.options.loads);
        figures.unread_tokens <= 0.0
            && 2 * figures.requests < upstream.registration.slots
            && evidence.failure_rate() == 0.0
            && !evidence.is_paused(now)
    }

    fn is_in_scope(&self, upstream: &Upstream, scope: Scope) -> bool {
        scope == Scope::Fleet || upstream.domain_number == self.domain_number
    }

    /// The failure rate of the upstream in the middle; the lower one of two. A mean would rise with
    /// the failures of a few, and hide them.
    fn median_failure_rate(&self, upstreams: &[&Upstream]) -> f64 {
        let rates = upstreams.iter().map(|upstream| self.failure_rate(upstream.key));
        let mut rates: Vec<f64> = rates.filter(|rate| 0.0 < *rate).collect();
        let healthy = upstreams.len() - rates.len();
        let middle = upstreams.len().saturating_sub(1) / 2;
        if middle < healthy {
            return 0.0;
        }
        rates.sort_by(f64::total_cmp);
        rates.get(middle - healthy).copied().unwrap_or_default()
    }

    fn failure_rate(&self, key: UpstreamKey) -> f64 {
        self.states.get(&key).map_or(0.0, |state| state.evidence.failure_rate())
    }

    fn is_healthy(&self, key: UpstreamKey, median_rate: f64, now: Timestamp) -> bool {
        let Some(UpstreamState { load, evidence, .. }) = self.states.get(&key) else {
            return true;
        };
        if evidence.is_paused(now) {
            return false;
        }
        if evidence.is_silent(now) && evidence.is_hung(load.oldest_unanswered(), now) {
            return false;
        }
        !evidence.is_failing(median_rate) || evidence.is_trial_due(now)
    }

    fn demand(
        &self,
        request: &PlacementRequest<'_>,
        candidates: &[&Upstream],
        now: Timestamp,
    ) -> RequestDemand {
        let policy = &self.options.policy;
        let mut demand = RequestDemand::of_request(request, self.speed(request.service), policy);
        let Some(prefix) = request.facts.shared_prefix() else { return demand };
        // A dispatcher knows which engines of its domain read a start, and that none has.
        if policy.start_order && request.scope == Scope::Fleet {
            demand.rank_engines(prefix, candidates, self.domain_number);
        }
        // What an engine elsewhere keeps of the prompt may not be moved into the regions.
        let may_hold = |upstream: &Upstream| {
            upstream.takes_work() && self.allows(request.regions, upstream.domain_number)
        };
        demand.find_holders(prefix, &self.registry, &self.starts, may_hold, now);
        demand
    }

    fn distance(&self, upstream: &Upstream) -> Distance {
        if upstream.domain_number == self.domain_number {
            Distance::Own
        } else if self.near_domain_numbers.contains(&upstream.domain_number) {
            Distance::Near
        } else {
            Distance::Far
        }
    }

    fn evaluate_candidate(
        &self,
        upstream: &Upstream,
        state: &UpstreamState,
        request: &PlacementRequest<'_>,
        demand: &RequestDemand,
        now: Timestamp,
    ) -> UpstreamCandidate {
        let options = &self.options.loads;
        let kept_tokens = state.kept.kept_tokens(&request.facts.prefix);
        let PrefillPlan { mut work, fetch_from } = demand.prefill_plan(upstream, kept_tokens);
        let capacity = Capacity { slots: upstream.registration.slots, speed: demand.speed };
        let distance = self.distance(upstream);
        work.delay_ms += match distance {
            Distance::Own | Distance::Near => 0.0,
            Distance::Far => millis(self.options.remote_round_trip),
        };
        let figures = state.load.figures(now, options);
        let service_ms = match demand.is_generation {
            true => demand.speed.reading_ms(work.unread_tokens),
            false => state.load.plain_ms(options),
        };
        UpstreamCandidate {
            key: upstream.key,
            rank: demand.rank(upstream.key),
            work,
            fetch_from,
            predicted_ms: state.load.predict_ms(work, &figures, &capacity, now, options),
            service_ms,
            prefill_run_ms: millis(state.load.reading_time(&figures, now))
                + demand.speed.reading_ms(figures.unread_tokens.max(0.0) + work.unread_tokens),
            figures,
            slots: capacity.slots,
            distance,
            is_cold: self.is_bounded_as_cold(upstream, &state.arrivals, now),
        }
    }
}

/// The suspect because of which a request goes to the upstream that all with it prefer.
fn confining_suspect(verdict: &Verdict) -> Option<SuspectId> {
    match verdict {
        Verdict::Confine(suspect) | Verdict::Try(Turn { suspect, .. }) => Some(*suspect),
        Verdict::Admit | Verdict::Block(_) => None,
    }
}

/// The upstream that all with a suspect prefer: should they crash it, they crash one together.
fn preferred_by(suspect: SuspectId, candidates: &[&Upstream]) -> Option<UpstreamKey> {
    let weight = |upstream: &&&Upstream| rendezvous_weight(suspect.number(), upstream.id_number);
    candidates.iter().max_by_key(weight).map(|upstream| upstream.key)
}

fn placement_at(
    candidate: &UpstreamCandidate,
    share_class: ShareClass,
    now: Timestamp,
) -> Placement {
    Placement {
        upstream: candidate.key,
        work: candidate.work,
        predicted: Duration::from_secs_f64(candidate.predicted_ms / 1_000.0),
        requests: candidate.figures.requests,
        share_class,
        rank: candidate.rank,
        fetch_from: candidate.fetch_from,
        decided: now,
        is_cold: candidate.is_cold,
    }
}

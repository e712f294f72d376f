//! A replay of a load in virtual time: one instance decides, stand-in engines read and generate.

use std::collections::HashMap;
use std::time::Duration;

use bergamotpitch_control::traffic::admissions::{Options, Traffic};
use bergamotpitch_control::traffic::engine_loads::Figures;
use bergamotpitch_control::traffic::facts::RequestFacts;
use bergamotpitch_control::traffic::placement_requests::{
    Decision, Placement, PlacementRequest, Scope,
};
use bergamotpitch_control::traffic::registries::{Registration, UpstreamKey};
use bergamotpitch_control::traffic::residencies::AllowedRegions;
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::engines::{Engine, EngineEvent, Speed, part};

pub const SLOTS: u32 = 64;
pub const LENGTH: Duration = Duration::from_secs(20);
const ENGINES: usize = 3;
const MEMORY_TOKENS: u64 = 700_000;
/// Time between two beats of an instance to its peers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(120);
const STEP: Duration = Duration::from_millis(5);
/// Tokens of the pool in a second: what three engines give, as operators would state it.
const POOL_TOKENS_PER_S: Option<u64> = Some(120_000);

/// `OfferedRequest` is one request of a load.
pub struct OfferedRequest {
    pub facts: RequestFacts,
    pub team: u32,
    pub target: Duration,
    pub arrived: Duration,
}

/// Long drafts and short notes of one large and three small teams, in bunches; the large one sends
/// `flood_fraction` of them.
pub fn arrivals(seed: u64, per_s: f64, flood_fraction: f64) -> Vec<OfferedRequest> {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut uniform = move || (random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
    let mut offered = Vec::new();
    let mut now = 0.0;
    let mut number = 1_000_000_u64;
    while now < LENGTH.as_secs_f64() {
        now += -uniform().ln() * 3.0 / per_s;
        for _ in 0..3 {
            number += 1;
            let team = if uniform() < flood_fraction { 9 } else { 1 + (uniform() * 3.0) as u32 };
            let is_long = uniform() < 0.35;
            let subjects = if is_long { 25.0 } else { 200.0 };
            let subject = (uniform() * subjects) as u64 + if is_long { 1_000 } else { 2_000 };
            let (shared, own, output) = if is_long { (5_000, 6_000, 384) } else { (200, 600, 250) };
            let own = (f64::from(own) * (0.3 - uniform().ln())) as u32;
            let prefix = vec![part(subject, shared), part(number, own)];
            let facts = RequestFacts {
                prompt_tokens: u64::from(shared + own),
                output_tokens_max: output,
                output_tokens_hint: Some(output),
                prefix,
                ..RequestFacts::default()
            };
            let target = Duration::from_millis(if is_long { 600 } else { 400 });
            offered.push(OfferedRequest {
                facts,
                team,
                target,
                arrived: Duration::from_secs_f64(now),
            });
        }
    }
    offered
}

/// `Outcome` is what became of a load.
#[derive(Default, Debug)]
pub struct Outcome {
    pub offered: HashMap<u32, usize>,
    pub in_time: HashMap<u32, usize>,
    pub served: usize,
    pub reread_tokens: f64,
    /// Tokens of the pool that each team's requests took, by the second in which they began.
    pub started_tokens: HashMap<(u32, u64), u64>,
}

impl Outcome {
    pub fn all_in_time(&self) -> usize {
        self.in_time.values().sum()
    }

    fn record_start(&mut self, offered: &OfferedRequest, time: Duration) {
        self.served += 1;
        let second = (offered.team, time.as_secs());
        *self.started_tokens.entry(second).or_default() += offered.facts.pool_tokens();
        if time <= offered.arrived + offered.target {
            *self.in_time.entry(offered.team).or_default() += 1;
        }
    }

    pub fn small_teams_in_time(&self) -> f64 {
        let sum = |counts: &HashMap<u32, usize>| (1..=3).filter_map(|team| counts.get(&team)).sum();
        let (in_time, offered): (usize, usize) = (sum(&self.in_time), sum(&self.offered));
        in_time as f64 / offered as f64
    }
}

/// `traffic_of_engines` is an instance that knows the engines, and their numbers.
pub fn traffic_of_engines() -> (Traffic, Vec<UpstreamKey>) {
    let options = Options { domain: "a".to_owned(), ..Options::default() };
    let mut traffic = Traffic::new(options);
    let mut keys = Vec::new();
    for index in 0..ENGINES {
        let id = format!("engine-{index}");
        traffic.registry.listed(Registration {
            id: id.clone(),
            born_ms: None,
            service: "engines".to_owned(),
            address: "127.0.0.1:1".parse().unwrap(),
            domain: "a".to_owned(),
            slots: SLOTS,
            is_leaving: false,
            cold_left: Some(Duration::ZERO),
            software: Some(if index == 0 { "v1" } else { "v2" }.to_owned()),
        });
        keys.push(traffic.registry.key_of(&id).unwrap());
    }
    (traffic, keys)
}

/// `placement_request_of` states what a request asks of the tables.
pub fn placement_request_of(request: &OfferedRequest, now: Duration) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "engines",
        facts: &request.facts,
        team: Some(request.team),
        target: request.target,
        elapsed: now.saturating_sub(request.arrived),
        tried: &[],
        memory_tokens: MEMORY_TOKENS,
        pool_tokens_per_s: POOL_TOKENS_PER_S,
        cache_link: None,
        target_gap: None,
        scope: Scope::Fleet,
        regions: &AllowedRegions::Any,
        software: None,
        digest: None,
    }
}

/// `Fleet` is who decides in a replay, and how fast the engines are.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    /// Instances, which take requests in turn and tell each other what they have in hand.
    pub instances: usize,
    pub speed: Speed,
    /// Time between two beats of an instance to each of its peers.
    pub heartbeat_interval: Duration,
    /// Team whose callers all reach the first instance, while those of the others reach the rest.
    pub pinned_team: Option<u32>,
}

impl Default for Fleet {
    fn default() -> Self {
        let (instances, pinned_team) = (1, None);
        Self {
            instances,
            speed: Speed::default(),
            heartbeat_interval: HEARTBEAT_INTERVAL,
            pinned_team,
        }
    }
}

impl Fleet {
    fn instance_of(&self, number: usize, team: u32) -> usize {
        match self.pinned_team {
            Some(pinned) if self.instances == 1 || team == pinned => 0,
            Some(_) => 1 + number % (self.instances - 1),
            None => number % self.instances,
        }
    }
}

/// `replay` replays a load; `place` decides, and what it does not place within a tenth of its target
/// is refused.
pub fn replay(
    offered: &[OfferedRequest],
    fleet: Fleet,
    mut place: impl FnMut(&mut Traffic, &PlacementRequest<'_>, u64, Duration) -> Option<Placement>,
) -> Outcome {
    let (mut instances, keys): (Vec<Traffic>, Vec<_>) =
        (0..fleet.instances).map(|_| traffic_of_engines()).unzip();
    // All instances number the engines alike.
    let keys = &keys[0];
    let instance_of = |number: usize| fleet.instance_of(number, offered[number].team);
    let mut engines: Vec<Engine> =
        keys.iter().map(|_| Engine::new(SLOTS as usize, MEMORY_TOKENS / 2, fleet.speed)).collect();
    let mut outcome = Outcome::default();
    let mut next = 0;
    let mut held: Vec<usize> = Vec::new();
    let mut now = Duration::ZERO;
    let mut next_heartbeat = fleet.heartbeat_interval;
    while now < LENGTH + Duration::from_secs(10) {
        now += STEP;
        for (engine, key) in engines.iter_mut().zip(keys) {
            for event in engine.run(now) {
                let (EngineEvent::Began(number, _) | EngineEvent::Ended(number)) = &event;
                let traffic = &mut instances[instance_of(*number as usize)];
                match event {
                    EngineEvent::Began(number, time) => {
                        traffic.begun(*key, number, time);
                        outcome.record_start(&offered[number as usize], time);
                    }
                    EngineEvent::Ended(number) => traffic.load(*key).ended(number),
                }
            }
        }
        if next_heartbeat <= now {
            next_heartbeat += fleet.heartbeat_interval;
            exchange(&mut instances, keys, now);
        }
        while let Some(request) = offered.get(next).filter(|request| request.arrived <= now) {
            *outcome.offered.entry(request.team).or_default() += 1;
            let windows = &mut instances[instance_of(next)].windows;
            windows.record_request(request.team, request.facts.pool_tokens(), now);
            held.push(next);
            next += 1;
        }
        held.retain(|number| {
            let request = &offered[*number];
            let placement_request = placement_request_of(request, now);
            let traffic = &mut instances[instance_of(*number)];
            let Some(placement) = place(traffic, &placement_request, *number as u64, now) else {
                return now < request.arrived + request.target / 10;
            };
            let engine = keys.iter().position(|key| *key == placement.upstream).unwrap();
            let prefix = request.facts.prefix.clone();
            if let Some(holder) = placement.fetch_from {
                let holder = keys.iter().position(|key| *key == holder).unwrap();
                let [engine, holder] = engines.get_disjoint_mut([engine, holder]).unwrap();
                engine.fetch(&prefix, holder);
            }
            engines[engine].send(*number as u64, prefix, request.facts.output_tokens());
            false
        });
    }
    outcome.reread_tokens = engines.iter().map(|engine| engine.reread_tokens).sum();
    outcome
}

/// Each instance tells all others what it has in hand and what its teams asked and began.
fn exchange(instances: &mut [Traffic], keys: &[UpstreamKey], now: Duration) {
    for from in 0..instances.len() {
        let figures: Vec<Figures> =
            keys.iter().map(|key| instances[from].load(*key).own_figures()).collect();
        let sums = instances[from].windows.own_sums(now);
        let notes = instances[from].starts.own_notes(now);
        let peer = from as u32;
        for (_, to) in instances.iter_mut().enumerate().filter(|(to, _)| *to != from) {
            for (key, figures) in keys.iter().zip(&figures) {
                to.load(*key).peer_heard(peer, *figures, now);
            }
            to.windows.set_peer_counts(peer, sums.iter().copied(), now, now);
            notes.iter().for_each(|note| to.starts.heard(*note));
        }
    }
}

/// `place_and_send` sends a request where the tables place it.
pub fn place_and_send(
    traffic: &mut Traffic,
    placement_request: &PlacementRequest<'_>,
    number: u64,
    now: Duration,
) -> Option<Placement> {
    let Decision::Send(placement) = traffic.choose_upstream(placement_request, now) else {
        return None;
    };
    traffic.send(number, &placement, placement_request, now);
    Some(placement)
}

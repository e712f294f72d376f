//! Scenes: the control states of some failure domains, all of them real, under a steady load.
//!
//! Every router of the scene is a control state that exchanges its own messages; engines are slots
//! that a request holds for a fixed time. Whenever a request ends, another arrives, so that the
//! backlog stays as large as it was.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamotpitch_control::inputs::{Arrival, AttemptOutcome, LoadReport, Sender};
use bergamotpitch_control::{Input, Options, Output, Tables, step};
use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{RequestId, ServiceId, TeamId, UpstreamId, id_of_name};
use bergamotpitch_core::sheets::{AcceptedSheet, Sheet};
use bergamotpitch_core::units::Timestamp;
use bergamotpitch_proof::randoms::{self, Random};
use bergamotpitch_wire::seals;

use peak_alloc::PeakAlloc;

use crate::costs::{Cost, Meter, cost_of};
use crate::sheets::large_sheet;

/// Time between two steps; the default of the settings.
pub const TICK: Duration = Duration::from_millis(5);

/// Bytes of the IP and UDP headers of a datagram.
pub const IP_UDP_BYTES: usize = 28;

/// Virtual time before a scene is measured.
const WARM_UP: Duration = Duration::from_millis(1_600);

/// Virtual time that is measured.
const MEASURED: Duration = Duration::from_secs(3);

const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);
const LOAD_INTERVAL: Duration = Duration::from_secs(1);
const FIRST_BYTE: Duration = Duration::from_millis(300);

/// `Scene` is the size of what is run.
#[derive(Debug, Clone)]
pub struct Scene {
    /// Failure domains.
    pub domains: usize,
    /// Regions that the domains stand in.
    pub regions: usize,
    /// Routers of each domain.
    pub routers: usize,
    /// Engines of each domain.
    pub engines: usize,
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Services, each on its part of the engines.
    pub services: usize,
    /// Teams.
    pub teams: usize,
    /// Teams that always have requests waiting.
    pub backlogged: usize,
    /// Requests that wait, for each backlogged team in each domain.
    pub waiting: usize,
    /// Time that a request runs.
    pub run_time: Duration,
}

impl Default for Scene {
    /// One domain of the fleet of two years from now.
    fn default() -> Self {
        Self {
            domains: 1,
            regions: 1,
            routers: 47,
            engines: 347,
            slots: 76,
            services: 9,
            teams: 6_500,
            backlogged: 650,
            waiting: 4,
            run_time: Duration::from_millis(8_700),
        }
    }
}

impl Scene {
    /// `requests_per_second` is the rate at which requests end, for each router.
    pub fn requests_per_second(&self) -> f64 {
        let slots = self.engines as f64 * f64::from(self.slots);
        slots / self.run_time.as_secs_f64() / self.routers as f64
    }
}

pub(crate) struct Router {
    pub(crate) tables: Tables,
    pub(crate) sender: Sender,
    pub(crate) is_lost: bool,
    domain: usize,
    inputs: Vec<Input>,
    sequence: u64,
    pub(crate) meter: Meter,
}

enum Due {
    FirstByte(usize, RequestId),
    Progressed(usize, RequestId, u64),
    Ended(usize, RequestId),
}

pub(crate) struct Run {
    scene: Scene,
    /// Kept so that the sheet is not counted as memory of the routers.
    _sheet: Arc<AcceptedSheet>,
    random: Random,
    pub(crate) routers: Vec<Router>,
    by_address: HashMap<SocketAddr, usize>,
    pub(crate) teams: Vec<TeamId>,
    pub(crate) services: Vec<ServiceId>,
    engines: Vec<Vec<UpstreamId>>,
    running: HashMap<UpstreamId, u32>,
    due: BTreeMap<(Timestamp, u64), Due>,
    numbers: u64,
    pub(crate) now: Timestamp,
    ended: usize,
    is_first_round: bool,
}

/// `run` warms a scene up and measures it for some virtual time, or until a limit of real time.
pub fn run(scene: &Scene, heap: &PeakAlloc, limit: Duration) -> Cost {
    let empty_bytes = heap.current_usage();
    let mut run = begin(scene);
    let started = Instant::now();
    while run.now < WARM_UP && started.elapsed() < limit {
        tick(&mut run);
    }
    run.is_first_round = false;
    for router in &mut run.routers {
        router.meter = Meter::default();
    }
    run.ended = 0;
    let from = run.now;
    let started = Instant::now();
    while run.now < from + MEASURED && (started.elapsed() < limit || run.now < from + TICK * 60) {
        tick(&mut run);
    }
    let all_bytes = heap.current_usage() - empty_bytes;
    let routers = std::mem::take(&mut run.routers);
    let count = routers.len() as f64;
    let meters: Vec<Meter> = routers.into_iter().map(|router| router.meter).collect();
    // What is left is that of the scene: engines, what is due, meters, and the sheet.
    let other_bytes = heap.current_usage() - empty_bytes;
    let seconds = (run.now - from).as_secs_f64();
    let tables_kb = all_bytes.saturating_sub(other_bytes) as f64 / 1e3 / count;
    Cost { tables_kb, ..cost_of(&meters, run.ended, seconds) }
}

fn accepted(scene: &Scene) -> Arc<AcceptedSheet> {
    Arc::new(AcceptedSheet { version: 1, sheet: sheet_of(scene) })
}

fn sheet_of(scene: &Scene) -> Sheet {
    let mut sheet = large_sheet(
        scene.domains,
        scene.regions,
        scene.services,
        scene.engines * scene.domains,
        scene.teams,
    );
    for upstream in &mut sheet.upstreams {
        upstream.slots = scene.slots;
    }
    sheet
}

pub(crate) fn begin(scene: &Scene) -> Run {
    let sheet = accepted(scene);
    let count = scene.domains * scene.routers;
    let address = |index: usize| {
        SocketAddr::from((
            [10, (index / 62_500) as u8, (index / 250) as u8, (index % 250) as u8],
            7,
        ))
    };
    let mut routers: Vec<Router> = (0..count)
        .map(|index| {
            let domain = index % scene.domains;
            let options = Options {
                instance: id_of_name(&format!("router-{index}")),
                incarnation: 1_790_000_000_000,
                domain: id_of_name(&sheet.sheet.domains[domain].name),
                first_peers: (0..count).filter(|other| *other != index).map(address).collect(),
                seed: index as u64,
                ..Options::default()
            };
            let sender = Sender {
                instance: options.instance,
                incarnation: options.incarnation,
                domain: options.domain,
                address: address(index),
            };
            let tables = Tables { options, ..Tables::default() };
            let inputs =
                vec![Input::PlatformReachable(true), Input::SheetLearned(Arc::clone(&sheet))];
            Router {
                tables,
                sender,
                is_lost: false,
                domain,
                inputs,
                sequence: 1,
                meter: Meter::default(),
            }
        })
        .collect();
    let by_address =
        routers.iter().enumerate().map(|(index, router)| (router.sender.address, index)).collect();
    let domain_names: Vec<&str> =
        sheet.sheet.domains.iter().map(|entry| entry.name.as_str()).collect();
    let engines = domain_names
        .iter()
        .map(|name| {
            let here = sheet.sheet.upstreams.iter().filter(|entry| entry.domain == *name);
            here.map(|entry| id_of_name(&entry.name)).collect()
        })
        .collect();
    routers.shrink_to_fit();
    let mut run = Run {
        scene: scene.clone(),
        _sheet: Arc::clone(&sheet),
        random: randoms::seeded(7),
        routers,
        by_address,
        teams: sheet.sheet.teams.iter().map(|entry| id_of_name(&entry.name)).collect(),
        services: sheet.sheet.services.iter().map(|entry| id_of_name(&entry.name)).collect(),
        engines,
        running: HashMap::default(),
        due: BTreeMap::new(),
        numbers: 1,
        now: Duration::ZERO,
        ended: 0,
        is_first_round: true,
    };
    // The members meet before the load comes.
    while run.now < Duration::from_millis(600) {
        tick(&mut run);
    }
    for domain in 0..scene.domains {
        let slots = scene.engines * scene.slots as usize;
        for _ in 0..slots + scene.backlogged * scene.waiting {
            arrive(&mut run, domain);
        }
    }
    run
}

// Half of what arrives is of the backlogged teams, which keeps them so; the rest is of any team.
fn arrive(run: &mut Run, domain: usize) {
    let any = run.scene.teams;
    let crowd = if draw(run, 2) == 0 { run.scene.backlogged.max(1) } else { any };
    let team = draw(run, crowd);
    let team = run.teams[team];
    let service = draw(run, run.services.len());
    let router = domain + run.scene.domains * draw(run, run.scene.routers);
    run.numbers += 1;
    let arrival = Arrival {
        request: run.numbers,
        team,
        service: run.services[service],
        body_bytes: 2_000,
        known_cost: 400,
        prefix: 1 + draw(run, 20_000) as u64,
        deadline: run.now + Duration::from_secs(600),
        repeatable: true,
    };
    run.routers[router].inputs.push(Input::Arrived(arrival));
}

fn draw(run: &mut Run, count: usize) -> usize {
    (randoms::unit(&mut run.random) * count as f64) as usize
}

pub(crate) fn tick(run: &mut Run) {
    let before = run.now;
    run.now += TICK;
    let now = run.now;
    while run.due.first_key_value().is_some_and(|(key, _)| key.0 <= now) {
        let Some((_, due)) = run.due.pop_first() else { break };
        happen(run, due);
    }
    report_loads(run, before);
    // What is sent in one tick is received in the next.
    let mut sent = Vec::new();
    for index in 0..run.routers.len() {
        let router = &mut run.routers[index];
        let inputs = std::mem::take(&mut router.inputs);
        if router.is_lost {
            continue;
        }
        let started = Instant::now();
        let outputs = step(&mut router.tables, now, inputs);
        router.meter.step_us.push(started.elapsed().as_secs_f64() * 1e6);
        for output in outputs {
            apply(run, index, output, &mut sent);
        }
    }
    for (to, input) in sent {
        run.routers[to].inputs.push(input);
    }
}

fn happen(run: &mut Run, due: Due) {
    match due {
        Due::FirstByte(router, request) => {
            run.routers[router].inputs.push(Input::FirstByte { request });
        }
        Due::Progressed(router, request, cost) => {
            run.routers[router].inputs.push(Input::Progressed { request, cost });
            post(run, PROGRESS_INTERVAL, Due::Progressed(router, request, cost + 20));
        }
        Due::Ended(router, request) => {
            let Some(entry) = run.routers[router].tables.requests.get(&request) else { return };
            if let bergamotpitch_control::tables::RequestState::Running { upstream, .. } =
                entry.state
            {
                *run.running.entry(upstream).or_insert(1) -= 1;
            }
            let outcome = AttemptOutcome::Answered;
            let input = Input::AttemptEnded { request, outcome, cost: 1_250 };
            run.routers[router].inputs.push(input);
            run.ended += 1;
            let domain = run.routers[router].domain;
            arrive(run, domain);
        }
    }
}

fn post(run: &mut Run, after: Duration, due: Due) {
    if let Due::Progressed(router, request, _) = &due {
        // Progress of a request that has ended stops.
        if !run.routers[*router].tables.requests.contains_key(request) {
            return;
        }
    }
    run.numbers += 1;
    run.due.insert((run.now + after, run.numbers), due);
}

fn report_loads(run: &mut Run, before: Timestamp) {
    let interval = LOAD_INTERVAL.as_nanos();
    if before.as_nanos() / interval == run.now.as_nanos() / interval {
        return;
    }
    for router in &mut run.routers {
        for upstream in &run.engines[router.domain] {
            let running_requests = run.running.get(upstream).copied().unwrap_or(0);
            let report = LoadReport { running_requests, ..LoadReport::default() };
            router.inputs.push(Input::LoadReported { upstream: *upstream, report });
        }
    }
}

fn apply(run: &mut Run, index: usize, output: Output, sent: &mut Vec<(usize, Input)>) {
    match output {
        Output::Dispatch { request, upstream, .. } => {
            *run.running.entry(upstream).or_default() += 1;
            let whole = run.scene.run_time;
            let share = if run.is_first_round { randoms::unit(&mut run.random) } else { 1.0 };
            post(run, FIRST_BYTE.mul_f64(share), Due::FirstByte(index, request));
            post(run, PROGRESS_INTERVAL.mul_f64(share), Due::Progressed(index, request, 420));
            post(run, whole.mul_f64(share), Due::Ended(index, request));
        }
        Output::Send { to, message } => {
            let Some(other) = run.by_address.get(&to).copied() else { return };
            let sender = run.routers[index].sender;
            let sealed_ms = 1_790_000_000_000 + run.now.as_millis() as u64;
            let router = &mut run.routers[index];
            let key = [7; 32];
            let sealed =
                seals::seal_message(&key, &sender, to, &mut router.sequence, sealed_ms, &message);
            let Ok(datagrams) = sealed else {
                router.meter.unsent_messages += 1;
                return;
            };
            let bytes: usize = datagrams.iter().map(|datagram| datagram.len() + IP_UDP_BYTES).sum();
            let is_far = run.routers[other].domain != run.routers[index].domain;
            run.routers[index].meter.note_sent(&message, bytes, is_far);
            run.routers[other].meter.received_bytes += bytes;
            sent.push((other, Input::Received { sender, message }));
        }
        _ => {}
    }
}

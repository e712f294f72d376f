//! The loop: control states and fake engines in virtual time, with links that delay, lose, repeat
//! and cut, and instances that stop, restart without memory and freeze.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::inputs::{Arrival, AttemptOutcome, ListedInstance, LoadReport, Sender};
use bergamotpitch_control::{Input, Message, Options, Output, Tables, step};
use bergamotpitch_core::ids::{Incarnation, RequestId, UpstreamId, id_of_name};
use bergamotpitch_core::settings::Policy;
use bergamotpitch_core::sheets::{AcceptedSheet, ServiceKind};
use bergamotpitch_core::units::{CostUnits, Timestamp};
use bergamotpitch_core::{HashMap, HashSet};

use crate::deployments::Deployment;
use crate::engines::{self, Engine, EngineEvent, Job, News};
use crate::histories::{History, Record, Sample, Traffic};
use crate::randoms::{self, Random};
use crate::workloads::Call;

/// Bytes of headers and seal around each datagram.
pub const DATAGRAM_OVERHEAD_BYTES: u64 = 60;

/// Time after which a connection through a cut link is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two looks at the answers that a cut link holds back.
const HELD_BACK_PAUSE: Duration = Duration::from_millis(50);

/// `FleetOptions` are the constants of a run.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Seed of links and workload.
    pub seed: u64,
    /// Policy of every router.
    pub policy: Policy,
    /// Time between two steps of a control state.
    pub tick: Duration,
    /// One-way delay inside a domain.
    pub domain_delay: Duration,
    /// One-way delay between domains of one region.
    pub region_delay: Duration,
    /// One-way delay between regions.
    pub cross_region_delay: Duration,
    /// Messages that are lost, in percent.
    pub loss_percent: f64,
    /// Messages that arrive twice, in percent.
    pub duplicate_percent: f64,
    /// Time between two load reports of an upstream.
    pub load_interval: Duration,
    /// Age of a load report when it arrives.
    pub load_lag: Duration,
    /// Age of the instance list when it arrives.
    pub list_lag: Duration,
    /// Time that one generated token takes.
    pub token_time: Duration,
    /// Time that one prompt token takes.
    pub prompt_token_time: Duration,
    /// Time that a plain call takes.
    pub plain_call_time: Duration,
    /// Time for which a request may wait.
    pub deadline: Duration,
    /// Options of the control states; instance, incarnation, domain, policy and peers are filled in.
    pub control: Options,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            policy: Policy::Fair,
            tick: Duration::from_millis(5),
            domain_delay: Duration::from_micros(250),
            region_delay: Duration::from_micros(500),
            cross_region_delay: Duration::from_millis(12),
            loss_percent: 0.0,
            duplicate_percent: 0.0,
            load_interval: Duration::from_millis(250),
            load_lag: Duration::from_millis(250),
            list_lag: Duration::from_secs(5),
            token_time: Duration::from_millis(10),
            prompt_token_time: Duration::from_micros(500),
            plain_call_time: Duration::from_millis(20),
            deadline: Duration::from_secs(60),
            control: Options::default(),
        }
    }
}

/// `Router` is one entry instance.
#[derive(Debug)]
pub struct Router {
    /// Its name.
    pub name: String,
    /// Index of its place.
    pub place: usize,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its present life; lives count up.
    pub incarnation: Incarnation,
    /// Its state; none while it is stopped.
    pub tables: Option<Tables>,
    /// True while its process is paused.
    pub frozen: bool,
    /// Inputs for its next step.
    pub inputs: Vec<Input>,
}

/// `Spot` is one end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Spot {
    /// Everything in a place, by index.
    Place(usize),
    /// One router, by index.
    Router(usize),
}

#[derive(Debug)]
enum Delivery {
    ToRouter { incarnation: Incarnation, instance: usize, input: Input },
    FromEngine { engine: usize, event: EngineEvent },
    Admit { engine: usize, job: Job },
}

/// `Pending` is a request that no one has answered yet.
#[derive(Debug)]
pub struct Pending {
    /// The work behind it.
    pub job: Job,
    /// Index of the service.
    pub service: usize,
    /// True while it is in a slot.
    pub started: bool,
    /// True while it is with an upstream.
    pub held: bool,
    /// Service counted for it so far, in cost units.
    pub counted_cost: CostUnits,
}

/// `Fleet` is a run: routers, engines, links, and the history so far.
#[derive(Debug)]
pub struct Fleet {
    /// Constants.
    pub options: FleetOptions,
    /// What it was built from.
    pub deployment: Deployment,
    /// The sheet that the platform holds.
    pub sheet: Arc<AcceptedSheet>,
    /// Virtual time.
    pub now: Timestamp,
    /// Routers.
    pub routers: Vec<Router>,
    /// Upstreams.
    pub engines: Vec<Engine>,
    /// Cut one-way links.
    pub cuts: HashSet<(Spot, Spot)>,
    /// True while the key-value service answers.
    pub platform_reachable: bool,
    /// Requests without an answer.
    pub pending: HashMap<RequestId, Pending>,
    /// What was recorded.
    pub history: History,
    calls: Vec<Call>,
    next_call: usize,
    next_request: RequestId,
    deliveries: BTreeMap<(Timestamp, u64), Delivery>,
    next_delivery: u64,
    random: Random,
    service_cost: Vec<Vec<CostUnits>>,
    next_load: Timestamp,
    next_list: Timestamp,
    next_sample: Timestamp,
}

/// `fleet` starts every router of a deployment before a workload.
pub fn fleet(deployment: Deployment, calls: Vec<Call>, options: FleetOptions) -> Fleet {
    let sheet = Arc::new(AcceptedSheet { version: 1, sheet: deployment.sheet.clone() });
    let mut routers = Vec::new();
    for (place, entry) in deployment.places.iter().enumerate() {
        for index in 0..entry.routers {
            let address =
                SocketAddr::from(([10, place as u8, (index / 200) as u8, (index % 200) as u8], 7));
            let name = format!("{}-router-{index}", entry.domain);
            routers.push(Router {
                name,
                place,
                address,
                incarnation: 0,
                tables: None,
                frozen: false,
                inputs: Vec::new(),
            });
        }
    }
    let services = deployment.sheet.services.len();
    let mut fleet = Fleet {
        random: randoms::seeded(options.seed),
        history: History {
            samples: vec![Vec::new(); services],
            traffic: vec![Traffic::default(); routers.len()],
            ..History::default()
        },
        service_cost: vec![vec![0; deployment.sheet.teams.len()]; services],
        engines: engines_of(&deployment),
        sheet,
        routers,
        calls,
        options,
        deployment,
        now: Duration::ZERO,
        cuts: HashSet::default(),
        platform_reachable: true,
        pending: HashMap::default(),
        next_call: 0,
        next_request: 1,
        deliveries: BTreeMap::new(),
        next_delivery: 0,
        next_load: Duration::ZERO,
        next_list: Duration::ZERO,
        next_sample: Duration::ZERO,
    };
    for instance in 0..fleet.routers.len() {
        start(&mut fleet, instance);
    }
    fleet
}

fn engines_of(deployment: &Deployment) -> Vec<Engine> {
    let place_of = |domain: &str| {
        deployment.places.iter().position(|place| place.domain == domain).unwrap_or(0)
    };
    deployment
        .sheet
        .upstreams
        .iter()
        .map(|entry| Engine {
            upstream: id_of_name(&entry.name),
            name: entry.name.clone(),
            service: id_of_name(&entry.service),
            place: place_of(&entry.domain),
            slots: entry.slots as usize,
            running: Vec::new(),
            waiting: Default::default(),
            prefixes: Default::default(),
            leaving: false,
            down: false,
            prefix_hits: 0,
            prefix_misses: 0,
        })
        .collect()
}

/// `start` begins a new life of a stopped router, without memory.
pub fn start(fleet: &mut Fleet, instance: usize) {
    let first_peers = fleet
        .routers
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != instance)
        .map(|(_, router)| router.address)
        .collect();
    let router = &mut fleet.routers[instance];
    router.incarnation += 1;
    router.frozen = false;
    router.inputs.clear();
    let options = Options {
        instance: id_of_name(&router.name),
        incarnation: router.incarnation,
        domain: id_of_name(&fleet.deployment.places[router.place].domain),
        policy: fleet.options.policy,
        first_peers,
        seed: fleet.options.seed ^ instance as u64,
        ..fleet.options.control.clone()
    };
    router.tables = Some(Tables { options, ..Tables::default() });
    router.inputs.push(Input::PlatformReachable(fleet.platform_reachable));
    if fleet.platform_reachable {
        router.inputs.push(Input::SheetLearned(Arc::clone(&fleet.sheet)));
    }
}

/// `stop` kills a router: its memory is gone and its connections close.
pub fn stop(fleet: &mut Fleet, instance: usize) {
    fleet.routers[instance].tables = None;
    fleet.routers[instance].inputs.clear();
    for engine in &mut fleet.engines {
        engines::cancel(engine, instance);
    }
    fleet.pending.retain(|_, pending| pending.job.instance != instance);
}

/// `freeze` pauses a router's process; what is sent to it waits.
pub fn freeze(fleet: &mut Fleet, instance: usize) {
    fleet.routers[instance].frozen = true;
}

/// `thaw` lets a paused process go on.
pub fn thaw(fleet: &mut Fleet, instance: usize) {
    fleet.routers[instance].frozen = false;
}

/// `cut` cuts the link from one spot to another, one way.
pub fn cut(fleet: &mut Fleet, from: Spot, to: Spot) {
    fleet.cuts.insert((from, to));
}

/// `cut_off` cuts a place from all others, both ways.
pub fn cut_off(fleet: &mut Fleet, place: usize) {
    for other in (0..fleet.deployment.places.len()).filter(|other| *other != place) {
        cut(fleet, Spot::Place(place), Spot::Place(other));
        cut(fleet, Spot::Place(other), Spot::Place(place));
    }
}

/// `heal` mends every link.
pub fn heal(fleet: &mut Fleet) {
    fleet.cuts.clear();
}

/// `set_platform` makes the key-value service answer or fail.
pub fn set_platform(fleet: &mut Fleet, reachable: bool) {
    fleet.platform_reachable = reachable;
    for router in &mut fleet.routers {
        router.inputs.push(Input::PlatformReachable(reachable));
    }
}

/// `tell` gives a router an input at its next step.
pub fn tell(fleet: &mut Fleet, instance: usize, input: Input) {
    fleet.routers[instance].inputs.push(input);
}

/// `accept_sheet` puts a new sheet into the platform and tells the routers that reach it.
pub fn accept_sheet(fleet: &mut Fleet, sheet: AcceptedSheet) {
    fleet.sheet = Arc::new(sheet);
    if fleet.platform_reachable {
        for router in &mut fleet.routers {
            router.inputs.push(Input::SheetLearned(Arc::clone(&fleet.sheet)));
        }
    }
}

/// `run_until` ticks until a time.
pub fn run_until(fleet: &mut Fleet, time: Timestamp) {
    while fleet.now < time {
        tick(fleet);
    }
}

/// `tick` lets one tick of virtual time pass.
pub fn tick(fleet: &mut Fleet) {
    let before = fleet.now;
    fleet.now += fleet.options.tick;
    deliver(fleet);
    advance_engines(fleet, before);
    arrive(fleet);
    report_loads(fleet);
    list_instances(fleet);
    for instance in 0..fleet.routers.len() {
        step_router(fleet, instance);
    }
    if fleet.next_sample <= fleet.now {
        fleet.next_sample = fleet.now + Duration::from_millis(10);
        sample(fleet);
    }
}

fn post(fleet: &mut Fleet, at: Timestamp, delivery: Delivery) {
    fleet.next_delivery += 1;
    fleet.deliveries.insert((at, fleet.next_delivery), delivery);
}

fn deliver(fleet: &mut Fleet) {
    while let Some(entry) = fleet.deliveries.first_entry() {
        if fleet.now < entry.key().0 {
            return;
        }
        match entry.remove() {
            Delivery::ToRouter { instance, incarnation, input } => {
                let router = &mut fleet.routers[instance];
                if router.tables.is_some() && router.incarnation == incarnation {
                    router.inputs.push(input);
                }
            }
            Delivery::FromEngine { engine, event } => deliver_event(fleet, engine, event),
            Delivery::Admit { engine, job } => {
                let at = fleet.now;
                if fleet.routers[job.instance].incarnation != job.incarnation {
                    continue;
                }
                let upstream = fleet.engines[engine].upstream;
                let request = job.request;
                fleet.history.records.push(Record::Admitted { at, request, upstream });
                engines::admit(&mut fleet.engines[engine], job);
            }
        }
    }
}

fn deliver_event(fleet: &mut Fleet, engine: usize, event: EngineEvent) {
    let place = fleet.engines[engine].place;
    // A stream waits behind a cut link and is resumed where it broke.
    if !reaches(fleet, event.instance, place) {
        let at = fleet.now + HELD_BACK_PAUSE;
        post(fleet, at, Delivery::FromEngine { engine, event });
        return;
    }
    let request = event.request;
    let input = match event.news {
        News::Started => return,
        News::FirstByte => Input::FirstByte { request },
        News::Progressed(cost) => Input::Progressed { request, cost },
        News::Ended(cost) => {
            Input::AttemptEnded { request, outcome: AttemptOutcome::Answered, cost }
        }
    };
    let router = &mut fleet.routers[event.instance];
    if router.tables.is_some() && router.incarnation == event.incarnation {
        router.inputs.push(input);
    }
}

fn advance_engines(fleet: &mut Fleet, before: Timestamp) {
    for index in 0..fleet.engines.len() {
        if fleet.engines[index].down {
            continue;
        }
        let events = engines::advance(&mut fleet.engines[index], before, fleet.now);
        let (place, upstream) = (fleet.engines[index].place, fleet.engines[index].upstream);
        for event in events {
            note_event(fleet, upstream, &event);
            let at =
                event.at.max(before) + delay(fleet, place, fleet.routers[event.instance].place);
            post(fleet, at, Delivery::FromEngine { engine: index, event });
        }
    }
}

fn note_event(fleet: &mut Fleet, upstream: UpstreamId, event: &EngineEvent) {
    let (at, request) = (event.at, event.request);
    match event.news {
        News::Started => {
            fleet.history.records.push(Record::Started { at, request, upstream });
            if let Some(pending) = fleet.pending.get_mut(&request) {
                pending.started = true;
            }
        }
        News::Ended(cost) => {
            fleet.history.records.push(Record::Ended { at, request, cost });
            count_service(fleet, request, cost);
            fleet.pending.remove(&request);
        }
        News::FirstByte | News::Progressed(_) => {}
    }
}

fn count_service(fleet: &mut Fleet, request: RequestId, cost: CostUnits) {
    let Some(pending) = fleet.pending.get_mut(&request) else { return };
    let more = cost.saturating_sub(pending.counted_cost);
    pending.counted_cost += more;
    fleet.service_cost[pending.service][pending.job.team] += more;
}

fn arrive(fleet: &mut Fleet) {
    while let Some(call) = fleet.calls.get(fleet.next_call).copied() {
        if fleet.now < call.at {
            return;
        }
        fleet.next_call += 1;
        let Some(instance) = balance(fleet, call.instance) else { continue };
        let request = fleet.next_request;
        fleet.next_request += 1;
        let job = job_of(fleet, call, request, instance);
        let service = &fleet.deployment.sheet.services[call.service];
        let arrival = Arrival {
            request,
            team: id_of_name(&fleet.deployment.sheet.teams[call.team].name),
            service: id_of_name(&service.name),
            body_bytes: u64::from(call.prompt_tokens) * 4,
            known_cost: job.prompt_cost,
            prefix: job.prefix,
            deadline: fleet.now + fleet.options.deadline,
            repeatable: service.repeatable,
        };
        let (at, team) = (fleet.now, call.team);
        fleet.history.records.push(Record::Arrived { at, request, instance, team });
        let pending =
            Pending { job, service: call.service, started: false, held: false, counted_cost: 0 };
        fleet.pending.insert(request, pending);
        fleet.routers[instance].inputs.push(Input::Arrived(arrival));
    }
}

fn job_of(fleet: &Fleet, call: Call, request: RequestId, instance: usize) -> Job {
    let service = &fleet.deployment.sheet.services[call.service];
    let is_engine = service.kind == ServiceKind::Engine;
    let prompt_cost = if is_engine {
        u64::from(call.prompt_tokens) * service.prompt_token_cost
    } else {
        service.call_cost
    };
    let answer_cost =
        if is_engine { u64::from(call.answer_tokens) * service.generated_token_cost } else { 0 };
    let options = &fleet.options;
    Job {
        request,
        team: call.team,
        instance,
        incarnation: fleet.routers[instance].incarnation,
        prompt_cost,
        prompt_time: if is_engine {
            options.prompt_token_time * call.prompt_tokens
        } else {
            options.plain_call_time
        },
        answer_cost,
        answer_time: if is_engine {
            options.token_time * call.answer_tokens
        } else {
            Duration::ZERO
        },
        prefix: if is_engine { call.prefix } else { 0 },
        arrived: fleet.now,
    }
}

/// `balance` is the platform's balancer: the wanted router when it is ready, else one in its place.
fn balance(fleet: &Fleet, wanted: usize) -> Option<usize> {
    let is_ready = |instance: &usize| {
        fleet.routers[*instance].tables.as_ref().is_some_and(|tables| !tables.draining)
    };
    let count = fleet.routers.len();
    let place = fleet.routers[wanted].place;
    let mut others = (0..count).map(|step| (wanted + step) % count).filter(is_ready);
    others.clone().find(|other| fleet.routers[*other].place == place).or_else(|| others.next())
}

fn report_loads(fleet: &mut Fleet) {
    if fleet.now < fleet.next_load {
        return;
    }
    fleet.next_load = fleet.now + fleet.options.load_interval;
    for index in 0..fleet.engines.len() {
        let engine = &fleet.engines[index];
        if engine.down {
            continue;
        }
        let report = LoadReport {
            running_requests: engine.running.len() as u32,
            waiting_requests: engine.waiting.len() as u32,
            leaving: engine.leaving,
        };
        let (place, upstream) = (engine.place, engine.upstream);
        let at = fleet.now + fleet.options.load_lag;
        for instance in 0..fleet.routers.len() {
            if fleet.routers[instance].place == place && fleet.routers[instance].tables.is_some() {
                let incarnation = fleet.routers[instance].incarnation;
                let input = Input::LoadReported { upstream, report };
                post(fleet, at, Delivery::ToRouter { incarnation, instance, input });
            }
        }
    }
}

fn list_instances(fleet: &mut Fleet) {
    if fleet.now < fleet.next_list || !fleet.platform_reachable {
        return;
    }
    fleet.next_list = fleet.now + Duration::from_secs(1);
    let mut list: Vec<ListedInstance> = fleet
        .routers
        .iter()
        .filter(|router| router.tables.is_some())
        .map(|router| ListedInstance {
            name: router.name.clone(),
            address: router.address,
            is_router: true,
            leaving: false,
        })
        .collect();
    list.extend(fleet.engines.iter().map(|engine| ListedInstance {
        name: engine.name.clone(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        is_router: false,
        leaving: engine.leaving,
    }));
    let at = fleet.now + fleet.options.list_lag;
    for instance in 0..fleet.routers.len() {
        let incarnation = fleet.routers[instance].incarnation;
        let input = Input::Listed(list.clone());
        post(fleet, at, Delivery::ToRouter { incarnation, instance, input });
    }
}

fn step_router(fleet: &mut Fleet, instance: usize) {
    let now = fleet.now;
    let router = &mut fleet.routers[instance];
    if router.frozen {
        return;
    }
    let Some(tables) = router.tables.as_mut() else { return };
    let inputs = std::mem::take(&mut router.inputs);
    let outputs = step(tables, now, inputs);
    for output in outputs {
        digest(&mut fleet.history.trace_digest, &output);
        apply_output(fleet, instance, output);
    }
}

fn digest(state: &mut u64, output: &Output) {
    for byte in format!("{output:?}").bytes() {
        *state = (*state ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
}

fn apply_output(fleet: &mut Fleet, instance: usize, output: Output) {
    match output {
        Output::Dispatch { request, upstream, attempt: _ } => {
            dispatch(fleet, instance, request, upstream);
        }
        Output::Refuse { request, refusal } => {
            fleet.history.records.push(Record::Refused { at: fleet.now, request, refusal });
            fleet.pending.remove(&request);
        }
        Output::Send { to, message } => send(fleet, instance, to, message),
        Output::FetchSheet { from, version } => fetch_sheet(fleet, instance, from, version),
        _ => {}
    }
}

fn dispatch(fleet: &mut Fleet, instance: usize, request: RequestId, upstream: UpstreamId) {
    let Some(engine) = fleet.engines.iter().position(|engine| engine.upstream == upstream) else {
        return;
    };
    let (place, here) = (fleet.engines[engine].place, fleet.routers[instance].place);
    let incarnation = fleet.routers[instance].incarnation;
    let way = delay(fleet, here, place);
    let failure = if !reaches(fleet, instance, place) {
        Some((AttemptOutcome::FailedBeforeAnswer, CONNECT_TIMEOUT))
    } else if fleet.engines[engine].down {
        Some((AttemptOutcome::ProvedUnrun, way * 2))
    } else {
        None
    };
    if let Some((outcome, wait)) = failure {
        let input = Input::AttemptEnded { request, outcome, cost: 0 };
        post(fleet, fleet.now + wait, Delivery::ToRouter { incarnation, instance, input });
        return;
    }
    let Some(pending) = fleet.pending.get_mut(&request) else { return };
    pending.started = false;
    pending.held = true;
    let job = pending.job.clone();
    post(fleet, fleet.now + way, Delivery::Admit { engine, job });
}

fn send(fleet: &mut Fleet, instance: usize, to: SocketAddr, message: Message) {
    let size = postcard::experimental::serialized_size(&message).unwrap_or(0) as u64;
    let Some(other) = fleet.routers.iter().position(|router| router.address == to) else { return };
    let (here, there) = (fleet.routers[instance].place, fleet.routers[other].place);
    let traffic = &mut fleet.history.traffic[instance];
    let bytes = size + DATAGRAM_OVERHEAD_BYTES;
    let places = &fleet.deployment.places;
    traffic.messages += 1;
    if here == there {
        traffic.domain_bytes += bytes;
    } else if places[here].region == places[there].region {
        traffic.region_bytes += bytes;
    } else {
        traffic.cross_region_bytes += bytes;
    }
    let way = delay(fleet, here, there);
    if is_cut(fleet, instance, other) || draws(fleet, fleet.options.loss_percent) {
        return;
    }
    let router = &fleet.routers[instance];
    let sender = Sender {
        instance: id_of_name(&router.name),
        incarnation: router.incarnation,
        domain: id_of_name(&places_name(fleet, here)),
        address: router.address,
    };
    let incarnation = fleet.routers[other].incarnation;
    let copies = if draws(fleet, fleet.options.duplicate_percent) { 2 } else { 1 };
    for copy in 1..=copies {
        let input = Input::Received { sender, message: message.clone() };
        let at = fleet.now + way * copy;
        post(fleet, at, Delivery::ToRouter { incarnation, instance: other, input });
    }
}

fn places_name(fleet: &Fleet, place: usize) -> String {
    fleet.deployment.places[place].domain.clone()
}

fn fetch_sheet(fleet: &mut Fleet, instance: usize, from: SocketAddr, version: u64) {
    let Some(other) = fleet.routers.iter().position(|router| router.address == from) else {
        return;
    };
    if is_cut(fleet, instance, other) || is_cut(fleet, other, instance) {
        return;
    }
    let tables = fleet.routers[other].tables.as_ref();
    let Some(sheet) = tables.and_then(|tables| tables.sheet.clone()) else { return };
    if sheet.version < version {
        return;
    }
    let way = delay(fleet, fleet.routers[instance].place, fleet.routers[other].place);
    let incarnation = fleet.routers[instance].incarnation;
    let input = Input::SheetLearned(sheet);
    post(fleet, fleet.now + way * 2, Delivery::ToRouter { incarnation, instance, input });
}

fn draws(fleet: &mut Fleet, percent: f64) -> bool {
    0.0 < percent && randoms::unit(&mut fleet.random) * 100.0 < percent
}

fn is_cut(fleet: &Fleet, from: usize, to: usize) -> bool {
    let ends =
        |instance: usize| [Spot::Router(instance), Spot::Place(fleet.routers[instance].place)];
    ends(from).iter().any(|left| ends(to).iter().any(|right| fleet.cuts.contains(&(*left, *right))))
}

/// `reaches` tells whether a router and the upstreams of a place reach each other, both ways.
pub fn reaches(fleet: &Fleet, instance: usize, place: usize) -> bool {
    let ends = [Spot::Router(instance), Spot::Place(fleet.routers[instance].place)];
    let there = Spot::Place(place);
    ends.iter()
        .all(|end| !fleet.cuts.contains(&(*end, there)) && !fleet.cuts.contains(&(there, *end)))
}

fn delay(fleet: &Fleet, from: usize, to: usize) -> Duration {
    let places = &fleet.deployment.places;
    if from == to {
        fleet.options.domain_delay
    } else if places[from].region == places[to].region {
        fleet.options.region_delay
    } else {
        fleet.options.cross_region_delay
    }
}

fn sample(fleet: &mut Fleet) {
    let now = fleet.now;
    let counts: Vec<(RequestId, CostUnits)> = fleet
        .engines
        .iter()
        .filter(|engine| !engine.down)
        .flat_map(|engine| &engine.running)
        .map(|running| (running.job.request, engines::cost_at(running, now)))
        .collect();
    for (request, cost) in counts {
        count_service(fleet, request, cost);
    }
    let places = fleet.deployment.places.len();
    for service in 0..fleet.service_cost.len() {
        let teams = fleet.service_cost[service].len();
        let mut sample = Sample {
            at: now,
            service_cost: fleet.service_cost[service].clone(),
            waiting_requests: vec![0; teams],
            held_requests: vec![0; teams],
            busy_slots: 0,
            usable_slots: 0,
        };
        let mut usable = vec![false; places];
        for pending in fleet.pending.values().filter(|pending| pending.service == service) {
            if pending.held {
                sample.held_requests[pending.job.team] += 1;
            }
            if pending.started {
                continue;
            }
            sample.waiting_requests[pending.job.team] += 1;
            if !fleet.routers[pending.job.instance].frozen {
                for (place, usable) in usable.iter_mut().enumerate() {
                    *usable |= reaches(fleet, pending.job.instance, place);
                }
            }
        }
        let id = id_of_name(&fleet.deployment.sheet.services[service].name);
        for engine in fleet.engines.iter().filter(|engine| engine.service == id) {
            if usable[engine.place] && !engine.down && !engine.leaving {
                sample.busy_slots += engine.running.len() as u32;
                sample.usable_slots += engine.slots as u32;
            }
        }
        fleet.history.samples[service].push(sample);
    }
}

//! The loop: control states and fake engines in virtual time, with links that delay, lose, repeat
//! and cut, and instances that stop, restart without memory and freeze.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::inputs::{Arrival, AttemptOutcome};
use bergamotpitch_control::{Input, Options, Output, Tables, step};
use bergamotpitch_core::ids::{Incarnation, RequestId, UpstreamId, id_of_name};
use bergamotpitch_core::settings::Policy;
use bergamotpitch_core::sheets::{AcceptedSheet, ServiceKind};
use bergamotpitch_core::units::{CostUnits, Timestamp};
use bergamotpitch_core::{HashMap, HashSet};

use crate::deployments::Deployment;
use crate::engines::{self, Engine, EngineEvent, Job, News};
use crate::histories::{History, Record, Traffic};
pub use crate::links::{Spot, cut, cut_off, heal, reaches};
use crate::links::{delay, fetch_sheet, send};
use crate::observers::{count_service, list_instances, report_loads, sample};
use crate::randoms::{self, Random};
use crate::workloads::Call;

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
    /// Slots of the engines, when the sheet declares another number.
    pub engine_slots: Option<u32>,
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
            token_time: Duration::from_millis(20),
            prompt_token_time: Duration::from_micros(500),
            plain_call_time: Duration::from_millis(20),
            deadline: Duration::from_secs(60),
            engine_slots: None,
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

/// `Delivery` is something under way.
#[derive(Debug)]
pub(crate) enum Delivery {
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
    pub(crate) random: Random,
    pub(crate) service_cost: Vec<Vec<CostUnits>>,
    pub(crate) next_load: Timestamp,
    pub(crate) next_list: Timestamp,
    pub(crate) next_sample: Timestamp,
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
        engines: engines_of(&deployment, &options),
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

fn engines_of(deployment: &Deployment, options: &FleetOptions) -> Vec<Engine> {
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
            slots: options
                .engine_slots
                .filter(|_| is_engine(deployment, &entry.service))
                .unwrap_or(entry.slots) as usize,
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

fn is_engine(deployment: &Deployment, service: &str) -> bool {
    let entry = deployment.sheet.services.iter().find(|entry| entry.name == service);
    entry.is_some_and(|entry| entry.kind == ServiceKind::Engine)
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

pub(crate) fn post(fleet: &mut Fleet, at: Timestamp, delivery: Delivery) {
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

//! Fleets: routers and fake engines of a deployment, and what can happen to a router.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::{Input, Options, Tables};
use bergamotpitch_core::ids::{Incarnation, RequestId, id_of_name};
use bergamotpitch_core::settings::Policy;
use bergamotpitch_core::sheets::{AcceptedSheet, ServiceKind};
use bergamotpitch_core::units::{CostUnits, Timestamp};
use bergamotpitch_core::{HashMap, HashSet};

use crate::deployments::Deployment;
use crate::engines::{self, Engine, EngineEvent, Job};
use crate::histories::{History, Traffic};
use crate::links::Spot;
use crate::randoms::{self, Random};
use crate::workloads::Call;

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
    pub(crate) calls: Vec<Call>,
    pub(crate) next_call: usize,
    pub(crate) next_request: RequestId,
    pub(crate) deliveries: BTreeMap<(Timestamp, u64), Delivery>,
    pub(crate) next_delivery: u64,
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

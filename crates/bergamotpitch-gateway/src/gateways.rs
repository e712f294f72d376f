//! Gateways: the state of one process, and its start.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use bergamotpitch_control::traffic::admissions::Traffic;
use bergamotpitch_control::traffic::answer_times::AnswerTimes;
use bergamotpitch_control::traffic::catalogs::{CallerLimits, Catalog, CatalogVersion, Team};
use bergamotpitch_control::traffic::concurrency_limits;
use bergamotpitch_control::traffic::facts::RequestFacts;
use bergamotpitch_control::traffic::fleet_members::Members;
use bergamotpitch_control::traffic::fleet_sizes::FleetSize;
use bergamotpitch_control::traffic::registries::UpstreamKey;
use bergamotpitch_control::traffic::retry_budgets::FixedParts;
use bergamotpitch_control::traffic::software_versions::VERSION_MEMORY;
use bergamotpitch_control::traffic::team_windows::ShareClass;
use bergamotpitch_core::HashMap;
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::{InstanceId, id_of_name};
use bergamotpitch_core::units::Timestamp;
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use crate::block_records::BlockRecords;
use crate::callers::{self, CallerConnection};
use crate::connections::{Pools, Sender};
use crate::crashes::Crashes;
use crate::current_lists::CurrentList;
use crate::dialects::Dialect;
use crate::dispatchers::LocalPlacements;
use crate::drains::DrainState;
use crate::errors::{Error, Result};
use crate::heartbeats::{self, HEARTBEAT_INTERVAL};
use crate::held_bytes::HeldBytes;
use crate::identities::Identities;
use crate::logs::decision;
use crate::loop_lags::LoopLag;
use crate::metrics::Metrics;
use crate::options::Options;
use crate::origin_records::OriginRecords;
use crate::origins::Origins;
use crate::peers::{ISOLATION_TIME, Peers, UnknownPeers};
use crate::probes::{self, Port};
use crate::received_messages;
use crate::remote_placements::RemotePlacements;
use crate::retries::RemoteRepeats;
use crate::served_streams::ServedStreams;
use crate::standstills::Standstills;
use crate::store_updates::StoreUpdates;
use crate::team_counters::TeamCounters;
use crate::version_records::VersionRecords;
use crate::work_times::{Work, WorkTimes};

/// `SWEEP_BEATS` is how many beats go by between two sweeps over connections.
const SWEEP_BEATS: u64 = 4;

/// `START_TIME` is for how long an instance that knows the list waits to be told by others what it keeps:
/// some heartbeats.
const START_TIME: Duration = Duration::from_millis(1_500);

/// `ARRIVALS_A_TURN` is how many requests come in between two that measure a turn.
const ARRIVALS_A_TURN: u32 = 8;

/// `Gateway` is the state of one process; it lives on one thread.
pub struct Gateway {
    /// What it was started with; a port of 0 is replaced by the one that the system chose.
    pub options: Options,
    /// How requests and answers are spelled.
    pub dialect: Dialect,
    /// Tables of the decisions.
    pub traffic: RefCell<Traffic>,
    /// Idle connections to upstreams.
    pub pools: Pools,
    /// Whether this process keeps up.
    pub loop_lag: LoopLag,
    /// When it did not run.
    pub(crate) standstills: Standstills,
    /// For what kinds of work its thread is used.
    pub work_times: WorkTimes,
    /// Memory that the bodies of requests take.
    pub held_bytes: HeldBytes,
    /// Memory that answers take which are not passed on yet.
    pub answer_bytes: HeldBytes,
    /// Requests for streams that it has taken on.
    pub streams: ServedStreams,
    /// What teams asked for and were given here lately.
    pub team_counters: TeamCounters,
    /// Counters.
    pub metrics: Metrics,
    /// Peers.
    pub peers: RefCell<Peers>,
    /// The instances besides this one, by failure domain.
    pub(crate) members: RefCell<Members>,
    /// At which upstreams each peer told of requests in hand.
    pub told_upstreams: RefCell<HashMap<InstanceId, Vec<UpstreamKey>>>,
    /// Instances that tell this one something and are not among its peers.
    pub unknown_peers: UnknownPeers,
    /// How many instances share what is allowed to the whole fleet.
    pub(crate) fleet_size: RefCell<FleetSize>,
    /// The same within the failure domain.
    pub(crate) domain_size: RefCell<FleetSize>,
    /// Which parts of the fleet's retry budget this instance holds.
    pub(crate) fixed_parts: RefCell<FixedParts>,
    /// What it knows of the platform's store, and by whom.
    pub store_updates: StoreUpdates,
    /// Up to when it knows the list of upstreams.
    pub(crate) current_list: CurrentList,
    /// Requests on which this instance decides, its own and others'.
    pub local_placements: LocalPlacements,
    /// Requests of this instance on which others decide.
    pub remote_placements: RemotePlacements,
    /// Requests to second upstreams that others are asked to allow.
    pub(crate) remote_repeats: RemoteRepeats,
    /// What it knows of upstreams that crashed.
    pub(crate) crashes: Crashes,
    /// Who is asked at upstreams' addresses.
    pub(crate) identities: Identities,
    /// What is kept beyond this process of parts of prompts that crash upstreams.
    pub(crate) block_records: BlockRecords,
    /// What it tells others of its streams, and asks them about theirs.
    pub(crate) origins: Origins,
    /// What is kept of streams beyond this process.
    pub(crate) origin_records: OriginRecords,
    /// How far its end has come.
    pub(crate) drain: DrainState,
    /// For how long answers take.
    pub(crate) answer_times: RefCell<AnswerTimes>,
    /// What is kept beyond this process of services that ran several software versions.
    pub(crate) version_records: VersionRecords,
    /// Where messages of other instances come in and go out.
    pub datagrams: Rc<UdpSocket>,
    catalog: RefCell<Option<Arc<Catalog>>>,
    connections: RefCell<Vec<Rc<CallerConnection>>>,
    started: Instant,
    last_number: Cell<u64>,
    in_flight: Rc<Cell<usize>>,
    arrivals: Cell<u32>,
    listed: Cell<Option<Timestamp>>,
    was_ready: Cell<bool>,
    pub(crate) is_start_announced: Cell<bool>,
}

impl std::fmt::Debug for Gateway {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Gateway").field("options", &self.options).finish_non_exhaustive()
    }
}

/// `InFlight` counts a request for as long as it lives.
#[derive(Debug)]
pub struct InFlight(Rc<Cell<usize>>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Gateway {
    /// `start` opens all ports and serves them on the present thread's local tasks.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub async fn start(mut options: Options, dialect: Dialect) -> Result<Rc<Self>> {
        let callers = listen_for_callers(&mut options.caller_address)?;
        let ready = listen("ready_address", &mut options.ready_address).await?;
        let mut inner = Vec::new();
        for address in &mut options.relay_addresses {
            inner.push(listen("relay_address", address).await?);
        }
        let socket = Rc::new(bind_datagrams("beat_address", &mut options.beat_address).await?);
        let datagrams = Rc::clone(&socket);
        let gateway = Rc::new(Self::new(options, dialect, Metrics::register()?, datagrams));
        let work_times = gateway.work_times.clone();
        let accepting = callers::serve(Rc::clone(&gateway), callers);
        tokio::task::spawn_local(async move { work_times.time(Work::Callers, accepting).await });
        tokio::task::spawn_local(probes::serve(Rc::clone(&gateway), ready, Port::Ready));
        for listener in inner {
            tokio::task::spawn_local(probes::serve(Rc::clone(&gateway), listener, Port::Inner));
        }
        let work_times = gateway.work_times.clone();
        let receiving = received_messages::receive(Rc::clone(&gateway), socket);
        tokio::task::spawn_local(async move { work_times.time(Work::Messages, receiving).await });
        tokio::task::spawn_local(beat(Rc::clone(&gateway)));
        Ok(gateway)
    }

    fn new(options: Options, dialect: Dialect, metrics: Metrics, datagrams: Rc<UdpSocket>) -> Self {
        Self {
            traffic: RefCell::new(Traffic::new(options.admission.clone())),
            held_bytes: HeldBytes::new(options.body_bytes_max),
            answer_bytes: HeldBytes::new(options.body_bytes_max),
            store_updates: StoreUpdates::new(options.incarnation),
            current_list: CurrentList::default(),
            options,
            dialect,
            pools: Pools::default(),
            loop_lag: LoopLag::default(),
            standstills: Standstills::new(HEARTBEAT_INTERVAL),
            work_times: WorkTimes::default(),
            streams: ServedStreams::new(concurrency_limits::Options::default()),
            team_counters: TeamCounters::default(),
            metrics,
            peers: RefCell::default(),
            members: RefCell::default(),
            told_upstreams: RefCell::default(),
            unknown_peers: UnknownPeers::default(),
            fleet_size: RefCell::default(),
            domain_size: RefCell::default(),
            fixed_parts: RefCell::default(),
            remote_repeats: RemoteRepeats::default(),
            local_placements: LocalPlacements::default(),
            remote_placements: RemotePlacements::default(),
            crashes: Crashes::default(),
            identities: Identities::default(),
            block_records: BlockRecords::default(),
            origins: Origins::default(),
            origin_records: OriginRecords::default(),
            version_records: VersionRecords::default(),
            drain: DrainState::default(),
            answer_times: RefCell::default(),
            datagrams,
            catalog: RefCell::default(),
            connections: RefCell::default(),
            started: Instant::now(),
            last_number: Cell::new(0),
            in_flight: Rc::default(),
            arrivals: Cell::new(0),
            listed: Cell::new(None),
            was_ready: Cell::new(false),
            is_start_announced: Cell::new(false),
        }
    }

    /// `now` returns the time since the process started.
    pub fn now(&self) -> Timestamp {
        self.started.elapsed()
    }

    /// `catalog` returns the configuration in force.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// `version` returns the version of the configuration in force; 0 before the first.
    pub fn version(&self) -> CatalogVersion {
        self.catalog.borrow().as_ref().map_or(0, |catalog| catalog.version)
    }

    /// `limits` returns the limits for callers.
    pub fn limits(&self) -> CallerLimits {
        self.catalog.borrow().as_ref().map_or_else(CallerLimits::default, |catalog| catalog.limits)
    }

    /// `put_catalog` puts a configuration in force unless a newer one is; it tells whether it did.
    pub fn put_catalog(&self, catalog: Catalog, source: &str) -> bool {
        let version = self.version();
        if self.catalog.borrow().is_some() && catalog.version <= version {
            if catalog.version < version {
                decision(
                    EventKind::SheetPassedOver,
                    format_args!("version={} in_force={version} source={source}", catalog.version),
                );
            }
            return false;
        }
        decision(
            EventKind::SheetInForce,
            format_args!(
                "version={} before={version} source={source} routes={} teams={}",
                catalog.version,
                catalog.route_count(),
                catalog.team_count()
            ),
        );
        self.traffic.borrow_mut().set_services(&catalog);
        *self.catalog.borrow_mut() = Some(Arc::new(catalog));
        self.store_updates.reset_lag();
        true
    }

    /// `is_outdated` tells whether a peer has a newer configuration in force.
    pub fn is_outdated(&self) -> bool {
        let version = self.version();
        self.peers.borrow().values().any(|peer| version < peer.version)
    }

    /// `upstreams_known` notes that the list of upstreams was read once.
    pub fn upstreams_known(&self) {
        if !self.knows_list() {
            self.listed.set(Some(self.now()));
            let upstreams = self.traffic.borrow().registry.all().count();
            log::info!("event=list_known upstreams={upstreams}");
        }
    }

    /// `knows_list` tells whether the list of upstreams was read once.
    pub(crate) fn knows_list(&self) -> bool {
        self.listed.get().is_some()
    }

    /// `has_just_started` tells whether others may not have told it yet what they did when it started.
    pub(crate) fn has_just_started(&self) -> bool {
        let started = self.listed.get().unwrap_or(Timestamp::MAX);
        self.now() < started.saturating_add(START_TIME)
    }

    /// `remembers_versions` tells whether this instance knows all software versions that served since any
    /// stream began that may be taken up now.
    pub fn remembers_versions(&self) -> bool {
        let since = self.list_unbroken_from();
        since.is_some_and(|since| since + VERSION_MEMORY <= self.now())
    }

    /// `fresh_number` numbers a request.
    pub fn fresh_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }

    /// `enter` counts a request as in flight until the result is dropped.
    pub fn enter(&self) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(Rc::clone(&self.in_flight))
    }

    /// `in_flight` returns how many requests are in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// `open_connection` counts a caller's connection.
    pub fn open_connection(&self, stream: Rc<TcpStream>, is_surplus: bool) -> Rc<CallerConnection> {
        let connection = Rc::new(CallerConnection::new(stream, is_surplus));
        self.connections.borrow_mut().push(Rc::clone(&connection));
        connection
    }

    /// `end_idle_connections` ends the oldest connections that carry no request, at most `count`.
    /// Callers open others when they have something to ask.
    pub fn end_idle_connections(&self, count: usize) {
        let connections = self.connections.borrow();
        let idle = connections.iter().filter(|connection| connection.is_idle());
        idle.take(count).for_each(|connection| connection.end());
    }

    /// `serving_count` returns how many connections of callers may carry requests.
    pub fn serving_count(&self) -> usize {
        self.connections.borrow().iter().filter(|connection| connection.is_serving()).count()
    }

    /// `surplus_count` returns how many connections are open whose callers are turned away.
    pub fn surplus_count(&self) -> usize {
        self.connections.borrow().iter().filter(|connection| connection.is_surplus()).count()
    }

    /// `keep_connection` keeps a connection to an upstream for further requests, unless the memory
    /// for connections is spent: idle ones give way to those that carry requests. One whose upstream answered before
    /// it had the whole request is closed: what is written there next would be taken for the rest.
    pub fn keep_connection(&self, key: UpstreamKey, sender: Sender, idle: Option<Duration>) {
        let open = self.connection_count() + self.in_flight() + self.pools.count();
        if open < self.options.connections_max && sender.has_written_request() {
            self.pools.put(key, sender, idle, self.now());
        }
    }

    /// `close_connection` forgets a caller's connection.
    pub fn close_connection(&self, connection: &Rc<CallerConnection>) {
        self.connections.borrow_mut().retain(|open| !Rc::ptr_eq(open, connection));
    }

    /// `each_connection` visits the open connections of callers.
    pub fn each_connection(&self, visit: impl Fn(&CallerConnection)) {
        self.connections.borrow().iter().for_each(|connection| visit(connection));
    }

    /// `connection_count` returns how many connections of callers are open.
    pub fn connection_count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// `knows_all` tells whether the configuration and the list of upstreams were read.
    pub fn knows_all(&self) -> bool {
        self.catalog.borrow().is_some() && self.knows_list()
    }

    /// `is_overloaded` tells whether new requests are refused at once, as this process is late.
    pub fn is_overloaded(&self) -> bool {
        self.options.admission.policy.lateness_refusals && self.loop_lag.is_overloaded()
    }

    /// `note_asked_in_vain` counts a request that is refused before anybody decides on its place.
    pub fn note_asked_in_vain(&self, team: Option<&Team>, facts: &RequestFacts) {
        if let Some(team) = team.filter(|_| facts.is_generation()) {
            let windows = &mut self.traffic.borrow_mut().windows;
            windows.record_request(id_of_name(&team.name), facts.pool_tokens(), self.now());
        }
    }

    /// `measure_turn` measures with some requests for how long a task waits for its turn.
    pub async fn measure_turn(&self) {
        self.arrivals.set(self.arrivals.get().wrapping_add(1));
        if !self.arrivals.get().is_multiple_of(ARRIVALS_A_TURN) {
            return;
        }
        let began = self.now();
        tokio::task::yield_now().await;
        let now = self.now();
        self.streams.note_wait(now.saturating_sub(began), now);
    }

    /// `share_class` tells how a request stands against its team's share, as far as this instance knows.
    pub fn share_class(
        &self,
        catalog: &Catalog,
        team: Option<&Team>,
        facts: &RequestFacts,
    ) -> ShareClass {
        let Some(team) = team.filter(|_| facts.is_generation()) else {
            return ShareClass::WithinShare;
        };
        let now = self.now();
        let windows = &mut self.traffic.borrow_mut().windows;
        let (team, tokens) = (id_of_name(&team.name), facts.pool_tokens());
        windows.share_class(team, tokens, catalog.pool_tokens_per_s, now)
    }

    /// `is_ready` tells whether new callers should come here.
    pub fn is_ready(&self) -> bool {
        let policy = &self.options.admission.policy;
        let keeps_up = !policy.lateness_readiness || self.loop_lag.keeps_up();
        self.knows_all() && keeps_up && !self.is_draining()
    }

    fn note_readiness(&self) {
        let is_ready = self.is_ready();
        if self.was_ready.replace(is_ready) == is_ready {
            return;
        }
        decision(
            EventKind::ReadinessChanged,
            format_args!(
                "ready={is_ready} knows_all={} {} connections={} in_flight={} waiting={}",
                self.knows_all(),
                self.loop_lag,
                self.connection_count(),
                self.in_flight(),
                self.waiting_count(),
            ),
        );
    }

    fn measure_upstreams(&self) {
        let now = self.now();
        let traffic = self.traffic.borrow();
        self.metrics.note_upstreams(traffic.cold_count(now), traffic.evacuated_requests(now));
        self.metrics.note_origins(traffic.origins.count());
        self.metrics.note_fleet(self.fleet_size());
        self.metrics.note_held_bytes(self.held_bytes.used(), self.answer_bytes.used());
    }
}

fn listen_for_callers(address: &mut SocketAddr) -> Result<TcpListener> {
    let failed = |source| Error::Bind { setting: "caller_address", address: *address, source };
    let listener = callers::listen(*address).map_err(failed)?;
    *address = listener.local_addr().map_err(failed)?;
    Ok(listener)
}

/// Listens, and puts the port that the system chose into the address.
async fn listen(setting: &'static str, address: &mut SocketAddr) -> Result<TcpListener> {
    let failed = |source| Error::Bind { setting, address: *address, source };
    let listener = TcpListener::bind(*address).await.map_err(failed)?;
    *address = listener.local_addr().map_err(failed)?;
    Ok(listener)
}

async fn bind_datagrams(setting: &'static str, address: &mut SocketAddr) -> Result<UdpSocket> {
    let failed = |source| Error::Bind { setting, address: *address, source };
    let socket = UdpSocket::bind(*address).await.map_err(failed)?;
    *address = socket.local_addr().map_err(failed)?;
    Ok(socket)
}

async fn beat(gateway: Rc<Gateway>) {
    let mut sequence = 0;
    loop {
        let due = tokio::time::Instant::now() + HEARTBEAT_INTERVAL;
        tokio::time::sleep_until(due).await;
        let _scope = gateway.work_times.enter(Work::Upkeep);
        gateway.loop_lag.note(due.elapsed());
        gateway.standstills.note_turn(gateway.now(), SystemTime::now());
        gateway.note_readiness();
        gateway.log_team_counters();
        gateway.note_work_times();
        sequence += 1;
        gateway.update_role();
        heartbeats::send_heartbeat(&gateway, sequence);
        gateway.change_upstreams(|traffic, now| {
            traffic.step(now);
            traffic.registry.step(now)
        });
        gateway.look_at_closed();
        gateway.note_outlived();
        gateway.members.borrow_mut().step(gateway.now());
        gateway.announce_start();
        gateway.check_origin_recorder();
        if sequence.is_multiple_of(SWEEP_BEATS) {
            gateway.measure_upstreams();
            gateway.note_suspicions();
            gateway.pools.sweep(gateway.now());
            callers::drop_slow_heads(&gateway);
        }
        gateway.update_watch_role();
        gateway.check_list_lag();
        if let Some(peer) = gateway.peer_to_fetch_from() {
            let gateway = Rc::clone(&gateway);
            tokio::task::spawn_local(async move {
                gateway.work_times.time(Work::Documents, gateway.fetch_updates(peer)).await;
            });
        } else if gateway.follows_watcher() {
            gateway.note_list_current(gateway.now().saturating_sub(ISOLATION_TIME));
        }
    }
}

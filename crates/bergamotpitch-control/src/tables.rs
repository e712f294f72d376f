//! Tables: the whole state of one instance's control.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{
    DomainId, Incarnation, InstanceId, RequestId, ServiceId, TeamId, UpstreamId,
};
use bergamotpitch_core::refusals::Ran;
use bergamotpitch_core::settings::Policy;
use bergamotpitch_core::sheets::AcceptedSheet;
use bergamotpitch_core::units::{CostUnits, Timestamp};

use crate::admission::limits::Limits;
use crate::capacity::upstreams::HealthTable;
use crate::capacity::windows::Window;
use crate::configuration::sheet_indexes::SheetIndex;
use crate::configuration::sheet_syncs::{SheetGuards, SheetSync};
use crate::fairness::accounts::Estimate;
use crate::fairness::coordinators::Coordinator;
use crate::fairness::leases::Leases;
use crate::fairness::shares::ShareGuards;
use crate::inputs::Arrival;
use crate::membership::gossips::Gossip;
use crate::membership::members::MemberGuards;

/// `Options` are the constants of one control state.
#[derive(Debug, Clone)]
pub struct Options {
    /// This instance.
    pub instance: InstanceId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Failure domain that it stands in.
    pub domain: DomainId,
    /// Order in which waiting requests are dispatched.
    pub policy: Policy,
    /// Instances to greet before any is known.
    pub first_peers: Vec<SocketAddr>,
    /// Time between two heartbeats to one peer.
    pub heartbeat_interval: Duration,
    /// Silence after which a peer is taken for gone.
    pub peer_timeout: Duration,
    /// Time for which a draining instance still takes requests in, until the balancer notices.
    pub drain_grace: Duration,
    /// Seed of the random source.
    pub seed: u64,
    /// Rules on sheets that a proof switches off.
    pub sheet_guards: SheetGuards,
    /// Requests that may wait inside an upstream, to hide the way of the next one.
    pub window_depth_requests: u32,
    /// How far ahead of the domain's frontier a team may use a free slot, in mean requests.
    pub slack_requests: f64,
    /// Service that an instance leaves untold to its home, for each team, in mean requests.
    pub report_step_requests: f64,
    /// How far a team must lag before another domain lends it slots it needs itself, in mean
    /// requests.
    pub spill_margin_requests: f64,
    /// How far ahead of the lowest team another may be before the rest becomes debt, in mean
    /// requests.
    pub lead_limit_requests: f64,
    /// True when domains lend each other slots.
    pub spill: bool,
    /// True when requests are placed by the prefix of their prompt.
    pub prefix_placement: bool,
    /// Shortest time between two urgent messages about one service to one instance.
    pub share_spacing: Duration,
    /// Time between two other messages about one service to one instance.
    pub share_interval: Duration,
    /// Rules of membership that a proof switches off.
    pub member_guards: MemberGuards,
    /// Rules of the fair shares that a proof switches off.
    pub share_guards: ShareGuards,
    /// Bytes a second that one duty may send to other domains.
    pub cross_bytes_per_second: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            instance: 0,
            incarnation: 0,
            domain: 0,
            policy: Policy::default(),
            first_peers: Vec::new(),
            heartbeat_interval: Duration::from_millis(200),
            peer_timeout: Duration::from_millis(1_000),
            drain_grace: Duration::from_millis(1_000),
            seed: 1,
            sheet_guards: SheetGuards::default(),
            window_depth_requests: 2,
            slack_requests: 1.0,
            report_step_requests: 0.5,
            spill_margin_requests: 2.0,
            lead_limit_requests: 20.0,
            spill: true,
            prefix_placement: true,
            share_spacing: Duration::from_millis(40),
            share_interval: Duration::from_millis(200),
            member_guards: MemberGuards::default(),
            share_guards: ShareGuards::default(),
            cross_bytes_per_second: 370,
        }
    }
}

/// `Tables` is the state that the systems of this crate run over.
#[derive(Debug, Default)]
pub struct Tables {
    /// Constants.
    pub options: Options,
    /// Time of the present step.
    pub now: Timestamp,
    /// Sheet in force.
    pub sheet: Option<Arc<AcceptedSheet>>,
    /// What is known of where sheets are.
    pub sheet_sync: SheetSync,
    /// True once this instance is leaving.
    pub draining: bool,
    /// Time from which a leaving instance takes no requests in.
    pub refusing_from: Option<Timestamp>,
    /// Bounds on requests and their retries.
    pub limits: Limits,
    /// What is known of upstreams beside the sheet.
    pub health: HealthTable,
    /// Other instances.
    pub members: HashMap<InstanceId, Member>,
    /// Instances of the domain, this one included, as last counted.
    pub domain_instances: u32,
    /// Time of the last heartbeat sent.
    pub heartbeat_sent: Option<Timestamp>,
    /// What this instance has to tell of others.
    pub gossip: Gossip,
    /// Upstreams of the sheet in force.
    pub upstreams: HashMap<UpstreamId, Upstream>,
    /// Teams of the sheet in force.
    pub teams: HashMap<TeamId, Team>,
    /// Requests that wait or run here.
    pub requests: HashMap<RequestId, Request>,
    /// Requests that wait here, by service and team, oldest first.
    pub queues: HashMap<QueueKey, VecDeque<RequestId>>,
    /// Service received here, by service and team, in cost units.
    pub accounts: HashMap<QueueKey, CostUnits>,
    /// Accounts that changed since the last report.
    pub charged: BTreeSet<QueueKey>,
    /// Likely cost of a team's next request.
    pub team_estimates: HashMap<QueueKey, Estimate>,
    /// Likely cost of a service's next request.
    pub service_estimates: HashMap<ServiceId, Estimate>,
    /// Admission windows that differ from the declared slots.
    pub windows: HashMap<UpstreamId, Window>,
    /// What the sheet in force says, indexed.
    pub index: SheetIndex,
    /// Leases that this instance holds, by service.
    pub leases: BTreeMap<ServiceId, Leases>,
    /// Duties that this instance has, by service.
    pub coordinators: BTreeMap<ServiceId, Coordinator>,
    /// Time of the first step.
    pub started: Option<Timestamp>,
    /// When the fair shares last ran.
    pub shares_run: Option<Timestamp>,
    /// When it was last checked who has each duty.
    pub duties_checked: Option<Timestamp>,
}

/// `QueueKey` names one queue: one team's requests for one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueKey {
    /// The service.
    pub service: ServiceId,
    /// The team.
    pub team: TeamId,
}

/// `Member` is another instance.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its present life.
    pub incarnation: Incarnation,
    /// Failure domain that it stands in.
    pub domain: DomainId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// When it was last heard or told of.
    pub heard: Timestamp,
    /// When it was last heard itself, while it should send here.
    pub direct: Option<Timestamp>,
    /// True when it has been silent for longer than the timeout.
    pub suspected: bool,
    /// True when it is draining.
    pub draining: bool,
    /// Number by which it contradicts those who think it gone.
    pub version: u32,
    /// Times that it contradicted its end; each doubles its timeout here.
    pub patience: u32,
}

/// `Upstream` is an upstream and what is known of its load.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Service that it runs.
    pub service: ServiceId,
    /// Failure domain that it stands in.
    pub domain: DomainId,
    /// Requests it can run at once.
    pub slots: u32,
    /// Requests that this instance has handed to it.
    pub running_requests: u32,
    /// True when it gets no new work because it is leaving.
    pub leaving: bool,
    /// Time until which it gets no new work because it failed.
    pub failing_until: Option<Timestamp>,
}

/// `Team` is a team of the sheet.
#[derive(Debug, Clone)]
pub struct Team {
    /// Fair share, relative to the other teams.
    pub share: u32,
    /// Requests that may wait here.
    pub queue_limit_requests: u32,
    /// Bytes of bodies that may wait here.
    pub queue_limit_bytes: u64,
    /// Retries allowed, in percent of first attempts.
    pub retry_budget_percent: u32,
    /// Bytes of bodies that wait here.
    pub waiting_bytes: u64,
    /// Requests that wait here.
    pub waiting_requests: u32,
}

/// `Request` is a request that waits or runs.
#[derive(Debug, Clone)]
pub struct Request {
    /// What is known of it.
    pub arrival: Arrival,
    /// When it came.
    pub arrived: Timestamp,
    /// Attempts begun.
    pub attempts: u32,
    /// Whether an earlier attempt may have run it, so that a refusal stays true after a retry.
    pub ran: Ran,
    /// Where it stands.
    pub state: RequestState,
    /// When it was last handed over.
    pub handed_over: Timestamp,
    /// Cost charged to the team so far, in cost units.
    pub charged_cost: CostUnits,
    /// End of the pause before its next attempt, while it is not in its queue.
    pub paused_until: Option<Timestamp>,
}

/// `RequestState` is where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    /// It waits, for its first attempt or for a further one.
    Queued,
    /// It was handed to an upstream.
    Running {
        /// The upstream.
        upstream: UpstreamId,
    },
}

//! Homes: one instance a domain and service that orders teams and grants the upstreams' slots.
//!
//! The duty falls on an instance by rendezvous hashing over the live members of the domain. It is
//! needed for order, never for safety: two homes at once only queue a few requests more inside the
//! upstreams, and a home that is gone costs no account, because accounts belong to the routers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{DomainId, Incarnation, InstanceId, ServiceId, TeamId, UpstreamId};
use bergamotpitch_core::units::Timestamp;

use crate::fairness::grants::requests_level;
use crate::fairness::leases::SlotLease;
use crate::fairness::levels::{Level, level_of_cost, share_of};
use crate::fairness::spills::{self, RemoteDomain};
use crate::tables::{Tables, Team};

/// Instances for each service from which on no instance holds two services.
const SPREAD_INSTANCES_PER_SERVICE: usize = 3;

/// Time for which a new home listens before it grants, unless all members have reported.
pub const RECOVERY_TIME: Duration = Duration::from_millis(600);

/// `Coordinator` is the state of the duty for one service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Coordinator {
    /// Life of this duty; another domain tells lives apart by it.
    pub epoch: u32,
    /// When the duty began.
    pub since: Timestamp,
    /// True once the members have reported, or the time for it has passed.
    pub recovered: bool,
    /// True once the levels stand on the scale of the fleet.
    pub aligned: bool,
    /// Instances of the domain that report here.
    pub routers: BTreeMap<InstanceId, CoordinatedRouter>,
    /// Instances whose adoption is not known, to be told so.
    pub unregistered: BTreeMap<InstanceId, (u32, Option<InstanceId>)>,
    /// Teams that were ever reported.
    pub teams: BTreeMap<TeamId, CoordinatedTeam>,
    /// Teams with requests that wait here and no grant under way, by effective level.
    pub order: BTreeSet<(Level, TeamId)>,
    /// The same for requests that wait in other domains.
    pub remote_order: BTreeSet<(Level, DomainId, TeamId)>,
    /// Frontier when a team last waited; an idle team comes in no lower.
    pub floor: Level,
    /// Homes of the service in other domains.
    pub remotes: BTreeMap<DomainId, RemoteDomain>,
    /// When levels were last extrapolated.
    pub extrapolated: Timestamp,
    /// Slots of each upstream that are leased to instances of the domain.
    pub leased: BTreeMap<UpstreamId, u32>,
    /// Number of the last report to another domain.
    pub sequence: u32,
    /// True when something changed since slots were last granted.
    pub changed: bool,
    /// Lowest level of a team that waits in vain in the domain.
    pub frontier: Option<Level>,
    /// The same, with teams elsewhere that lag by more than the margin; it bounds the use of the
    /// domain's own slots.
    pub own_frontier: Option<Level>,
}

/// `CoordinatedRouter` is one instance as its home sees it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CoordinatedRouter {
    /// Its life.
    pub incarnation: Incarnation,
    /// Its adoption of this home.
    pub registration: u32,
    /// Its last report.
    pub sequence: u32,
    /// Its leases.
    pub slots: BTreeMap<UpstreamId, IssuedLease>,
    /// Its teams.
    pub teams: BTreeMap<TeamId, RouterTeam>,
    /// Grants by team that it has not confirmed.
    pub outstanding: BTreeMap<TeamId, u32>,
    /// Leased slots that run nothing.
    pub idle_slots: u32,
    /// When it last reported.
    pub last_seen: Timestamp,
    /// Instance over which its reports come.
    pub relay: Option<InstanceId>,
    /// When a grant was last sent to it.
    pub sent: Option<Timestamp>,
    /// Frontier that it was last told.
    pub sent_frontier: Option<Level>,
    /// Slots that it was last told to keep.
    pub sent_keep_slots: u32,
    /// Report that it was last told was seen.
    pub sent_acknowledgement: u32,
    /// True when it should hear at once.
    pub urgent: bool,
}

/// `IssuedLease` is a lease of one instance as its home sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct IssuedLease {
    /// The numbers.
    pub lease: SlotLease,
    /// Grants that the instance has confirmed.
    pub confirmed: u32,
}

/// `RouterTeam` is one team at one instance as its home sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouterTeam {
    /// Requests that wait.
    pub waiting_requests: u32,
    /// Service received in this life of the instance.
    pub served_cost: u64,
    /// Level that it was last told.
    pub sent_level: Option<Level>,
}

/// `CoordinatedTeam` is one team as a home sees it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CoordinatedTeam {
    /// Level over the whole fleet, as far as known.
    pub level: Level,
    /// True once the level stands on the scale of the home's other levels.
    pub is_level_known: bool,
    /// True while the level is what instances went by under the home before, less any debt.
    pub is_inherited: bool,
    /// Part of the level that is repaid bit by bit.
    pub debt: Level,
    /// Level that remote service has likely added since the last reports.
    pub remote_estimate: Level,
    /// Service in this domain since the epoch, in cost units; corrections may lower it.
    pub served_cost: i64,
    /// Instances where requests wait.
    pub waiters: BTreeMap<InstanceId, u32>,
    /// Requests that wait in the domain.
    pub waiting_requests: u32,
    /// Requests that wait in the domain and have a grant under way.
    pub outstanding: u32,
    /// Requests that wait in other domains.
    pub remote_waiting: BTreeMap<DomainId, u32>,
    /// Slots lent for the team that the borrower has not confirmed.
    pub lent: BTreeMap<DomainId, u32>,
    /// Key in the order.
    pub key: Option<Level>,
    /// Keys in the order of other domains' requests.
    pub remote_keys: Vec<(Level, DomainId)>,
    /// Number of the first domain report that carries the present numbers.
    pub changed: u32,
}

/// `effective_level` is the level that the order goes by.
pub fn effective_level(team: &CoordinatedTeam) -> Level {
    team.level - team.debt + team.remote_estimate
}

/// `coordinator_of` is the instance of this domain that holds the duty for a service.
///
/// In a domain with many more instances than services no instance holds two: the services choose in
/// the order of their ids, each the first of its own order that no one before has chosen. Left to
/// chance, one instance of 47 is the home of four services of nine, and sends four times as much.
/// With few instances each service has its first, because the loss of one home would else move
/// others too.
pub fn coordinator_of(tables: &Tables, service: ServiceId) -> InstanceId {
    let own = tables.options.instance;
    let mut live: Vec<InstanceId> = tables
        .members
        .iter()
        .filter(|(_, member)| member.domain == tables.options.domain)
        .filter(|(_, member)| !member.suspected && !member.draining)
        .map(|(instance, _)| *instance)
        .collect();
    if !tables.draining {
        live.push(own);
    }
    let services = &tables.index.services;
    if services.len() * SPREAD_INSTANCES_PER_SERVICE <= live.len() {
        for earlier in services.iter().take_while(|earlier| **earlier != service) {
            let chosen = highest_weight(&live, *earlier);
            live.retain(|instance| Some(*instance) != chosen);
        }
    }
    highest_weight(&live, service).unwrap_or(own)
}

fn highest_weight(instances: &[InstanceId], service: ServiceId) -> Option<InstanceId> {
    instances.iter().copied().max_by_key(|instance| (weight(*instance, service), *instance))
}

/// `weight` is the rendezvous weight of a pair.
pub fn weight(left: u32, right: u32) -> u64 {
    let mixed = (u64::from(left) << 32 | u64::from(right)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// `end_recovery` puts the teams that no instance told a level of at the lowest level told.
///
/// A new home that took them to be at zero would take all others to be far ahead, and give every
/// slot to the newcomers.
pub fn end_recovery(coordinator: &mut Coordinator, limit: Level) {
    coordinator.recovered = true;
    let reported =
        coordinator.teams.values().filter(|team| team.is_level_known && team.waiting_requests != 0);
    let mut reported: Vec<Level> = reported.map(effective_level).collect();
    reported.sort_unstable();
    // One team far below the others would make all others leads to be repaid.
    let lowest = reported.get(reported.len() / 2).map(|middle| reported[0].max(middle - limit));
    let remote = coordinator.remotes.values().filter_map(|remote| remote.frontier).min();
    coordinator.floor = lowest.or(remote).unwrap_or(coordinator.floor);
    for team in coordinator.teams.values_mut() {
        if !team.is_level_known || team.waiting_requests != 0 {
            raise_to_floor(team, coordinator.floor);
            team.is_level_known = true;
        }
    }
}

/// Part of the service received while in debt that is added to repay it: a half, so a team that ran
/// ahead unseen gets two thirds of its fair rate until it is even.
const REPAYMENT_DIVISOR: i64 = 2;

/// `add_level` raises a team's level by service and repays some debt.
pub fn add_level(team: &mut CoordinatedTeam, level: Level) {
    team.level += level;
    team.debt -= (level.max(0) / REPAYMENT_DIVISOR).min(team.debt);
}

/// `cap_leads` turns what a team is ahead beyond the limit into debt.
///
/// A domain that was cut off comes back with teams that received far more, or far less, than the
/// others. By level alone the former would get nothing until all others have caught up, which their
/// callers see as an outage. With the limit they wait a moment at most, and repay the rest bit by
/// bit. One home decides and tells the others, so that homes agree on the order.
pub fn cap_leads(tables: &Tables, service: ServiceId, coordinator: &mut Coordinator) {
    if !tables.options.share_guards.caps_leads
        || !coordinator.recovered
        || spills::reference_domain(tables, coordinator) != tables.options.domain
    {
        return;
    }
    let limit = requests_level(tables, service, tables.options.lead_limit_requests);
    let local = coordinator.order.first().map(|(level, _)| *level);
    // A domain out of reach does not move. Measured against it all teams here would stand at the
    // limit alike, and their order among themselves would be lost.
    let remote = coordinator
        .remote_order
        .iter()
        .find(|(_, domain, _)| {
            coordinator
                .remotes
                .get(domain)
                .is_some_and(|remote| !spills::is_unreachable(tables, remote))
        })
        .map(|(level, _, _)| *level);
    let Some(lowest) = local.into_iter().chain(remote).min() else { return };
    let top = lowest + limit;
    let mut leading: Vec<(Level, TeamId)> =
        coordinator.order.iter().rev().take_while(|(level, _)| top < *level).copied().collect();
    leading.extend(
        coordinator
            .remote_order
            .iter()
            .rev()
            .take_while(|(level, _, _)| top < *level)
            .map(|(level, _, team)| (*level, *team)),
    );
    leading.sort_unstable_by_key(|(_, team)| *team);
    leading.dedup_by_key(|(_, team)| *team);
    let estimate = crate::fairness::accounts::service_estimate(tables, service);
    for (_, team) in leading {
        if let Some(entry) = coordinator.teams.get_mut(&team) {
            // The key also holds what is granted and not yet charged; that is no service.
            entry.debt += (effective_level(entry) - top).max(0);
            entry.changed = coordinator.sequence + 1;
        }
        reindex(coordinator, &tables.teams, team, estimate);
    }
}

/// `raise_to_floor` brings a team up to a level, if it is below.
pub fn raise_to_floor(team: &mut CoordinatedTeam, floor: Level) {
    let missing = floor - (team.level - team.debt);
    if 0 < missing {
        let repaid = missing.min(team.debt);
        team.debt -= repaid;
        team.level += missing - repaid;
    }
}

/// `reindex` puts a team where it belongs in the orders.
pub fn reindex(
    coordinator: &mut Coordinator,
    teams: &HashMap<TeamId, Team>,
    team: TeamId,
    estimate: u64,
) {
    let Some(entry) = coordinator.teams.get_mut(&team) else { return };
    let share = share_of(teams, team);
    if let Some(key) = entry.key.take() {
        coordinator.order.remove(&(key, team));
    }
    for (key, domain) in entry.remote_keys.drain(..) {
        coordinator.remote_order.remove(&(key, domain, team));
    }
    let in_flight: u32 = entry.outstanding + entry.lent.values().sum::<u32>();
    let provisional = level_of_cost(i64::from(in_flight) * estimate as i64, share);
    let level = effective_level(entry) + provisional;
    if entry.outstanding < entry.waiting_requests {
        entry.key = Some(level);
        coordinator.order.insert((level, team));
    }
    for (domain, waiting) in &entry.remote_waiting {
        if entry.lent.get(domain).copied().unwrap_or(0) < *waiting {
            entry.remote_keys.push((level, *domain));
            coordinator.remote_order.insert((level, *domain, team));
        }
    }
}

//! Spill: homes of one service in different domains exchange what was served and waits, and lend
//! each other slots.
//!
//! A home lends when nobody in its own domain waits, or when a team that waits elsewhere lags by
//! more than the margin. The borrower deals the slots out like its own; its routers hand requests
//! straight over to the other domain's upstream.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_core::ids::{DomainId, InstanceId, ServiceId, TeamId, UpstreamId};
use bergamotpitch_core::units::Timestamp;

use crate::fairness::accounts;
use crate::fairness::coordinators::{Coordinator, IssuedLease, cap_leads, reindex};
use crate::fairness::grants::requests_level;
use crate::fairness::leases::{SlotLease, held, slack};
use crate::fairness::levels::{LEVEL_SCALE, Level, level_of_cost, share_of};
use crate::fairness::share_messages::SlotLine;
use crate::tables::Tables;

/// Silence after which another domain is taken to be cut off.
pub const DOMAIN_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Longest time for which remote service is extrapolated.
const EXTRAPOLATION_LIMIT: Duration = Duration::from_millis(2_000);

/// Time between two extrapolations.
const EXTRAPOLATION_INTERVAL: Duration = Duration::from_millis(50);

/// Part of the lent slots that is recalled at a time, while the borrower is ahead.
const RECALL_DIVISOR: u32 = 4;

/// `RemoteDomain` is the home of the service in another domain as this home sees it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RemoteDomain {
    /// Instance that holds the duty there.
    pub instance: InstanceId,
    /// Where it is reached.
    pub address: Option<SocketAddr>,
    /// Life of the duty there.
    pub epoch: u32,
    /// Its last report.
    pub sequence: u32,
    /// When it was last heard.
    pub last_seen: Timestamp,
    /// Lowest level of a team that waits there.
    pub frontier: Option<Level>,
    /// Slots that it may hold of ours.
    pub allowed: u32,
    /// Slots of its that may be held here, as it says.
    pub allowed_here: u32,
    /// What it said of each team.
    pub teams: BTreeMap<TeamId, RemoteTeam>,
    /// The same of the duty's life before, in case two instances hold it at once.
    pub previous: Option<PreviousEpoch>,
    /// Our slots lent to it.
    pub lent: BTreeMap<UpstreamId, IssuedLease>,
    /// Slots lent by team that it has not confirmed.
    pub outstanding: BTreeMap<TeamId, u32>,
    /// Its slots that were borrowed.
    pub borrowed: BTreeMap<UpstreamId, SlotLease>,
    /// Last report of ours that it has seen.
    pub acknowledged_sequence: u32,
    /// When a report was last sent to it.
    pub sent: Option<Timestamp>,
    /// Time from which the next report is within the budget of bytes.
    pub next_allowed: Timestamp,
    /// True when it should hear soon.
    pub urgent: bool,
}

/// `PreviousEpoch` is what the life of a duty before said of each team.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PreviousEpoch {
    /// Instance that held the duty.
    pub instance: InstanceId,
    /// Life of the duty.
    pub epoch: u32,
    /// What it said.
    pub teams: BTreeMap<TeamId, RemoteTeam>,
}

/// `RemoteTeam` is one team in another domain.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RemoteTeam {
    /// Service received there, in units of the message.
    pub served: u32,
    /// Service a second, in cost units.
    pub rate: f64,
    /// Service since the rate was last taken, in cost units.
    pub rate_cost: i64,
    /// When the rate was last taken.
    pub rate_updated: Timestamp,
    /// When it was last heard of.
    pub last_seen: Timestamp,
}

/// `reference_domain` is the domain whose home decides on debts: the one with the smallest id within reach.
pub fn reference_domain(tables: &Tables, coordinator: &Coordinator) -> DomainId {
    let reachable =
        coordinator.remotes.iter().filter(|(_, remote)| !is_unreachable(tables, remote));
    reachable.map(|(domain, _)| *domain).min().unwrap_or(DomainId::MAX).min(tables.options.domain)
}

/// `margin` is how far a team elsewhere must lag before slots are lent past teams that wait here.
pub fn margin(tables: &Tables, service: ServiceId) -> Level {
    requests_level(tables, service, tables.options.spill_margin_requests)
}

/// `is_unreachable` tells whether another domain is taken to be cut off.
pub fn is_unreachable(tables: &Tables, remote: &RemoteDomain) -> bool {
    remote.epoch == 0 || remote.last_seen + DOMAIN_TIMEOUT < tables.now
}

/// `lent` is how many slots of an upstream are lent out.
pub fn lent(tables: &Tables, coordinator: &Coordinator, upstream: UpstreamId) -> u32 {
    coordinator
        .remotes
        .values()
        .filter(|remote| !is_unreachable(tables, remote))
        .filter_map(|remote| remote.lent.get(&upstream))
        .map(|slot| held(&slot.lease))
        .sum()
}

/// `most_lagging` is the team with the lowest level that waits in a domain within reach.
pub fn most_lagging(
    tables: &Tables,
    service: ServiceId,
    coordinator: &Coordinator,
) -> Option<(Level, DomainId, TeamId)> {
    // A call that may not be repeated stays in its domain: a link that breaks under it would leave
    // its outcome unknown.
    if !tables.options.spill || !tables.index.repeatable.contains(&service) {
        return None;
    }
    coordinator
        .remote_order
        .iter()
        .find(|(_, domain, _)| {
            let remote = coordinator.remotes.get(domain);
            remote.is_some_and(|remote| !is_unreachable(tables, remote))
        })
        .copied()
}

/// `lend` lends a slot to another domain for a team that lags there.
pub fn lend(coordinator: &mut Coordinator, domain: DomainId, team: TeamId, upstream: UpstreamId) {
    let Some(remote) = coordinator.remotes.get_mut(&domain) else { return };
    remote.lent.entry(upstream).or_default().lease.granted += 1;
    *remote.outstanding.entry(team).or_default() += 1;
    remote.urgent = true;
    if let Some(entry) = coordinator.teams.get_mut(&team) {
        *entry.lent.entry(domain).or_default() += 1;
    }
}

/// `recalled` is how many of the slots borrowed from a domain it wants back.
///
/// A home that has just begun has not heard of the other domains, and they have not seen what its
/// routers hold of theirs: what they allow says nothing of it yet. Were it to give the slots back for
/// that, they would stand idle after each change of a home until they were borrowed again.
pub fn recalled(tables: &Tables, coordinator: &Coordinator, remote: &RemoteDomain) -> u32 {
    let is_starting = tables.now < coordinator.since + DOMAIN_TIMEOUT;
    if is_starting && remote.epoch == 0 {
        return 0;
    }
    let allowed = if is_unreachable(tables, remote) { 0 } else { remote.allowed_here };
    let is_counted =
        |lease: &&SlotLease| !is_starting || lease.changed <= remote.acknowledged_sequence;
    let counted: u32 = remote.borrowed.values().filter(is_counted).map(held).sum();
    counted.saturating_sub(allowed)
}

/// `borrowed` is how many slots of a domain are held here.
pub fn borrowed(remote: &RemoteDomain) -> u32 {
    remote.borrowed.values().map(held).sum()
}

/// `unused_slot` is a borrowed slot that no instance holds and that may be used.
pub fn unused_slot(tables: &Tables, coordinator: &Coordinator) -> Option<UpstreamId> {
    coordinator
        .remotes
        .values()
        .filter(|remote| recalled(tables, coordinator, remote) == 0)
        .find_map(|remote| {
            let unused = remote.borrowed.iter().find(|(upstream, lease)| {
                coordinator.leased.get(upstream).copied().unwrap_or(0) < held(lease)
            });
            unused.map(|(upstream, _)| *upstream)
        })
}

/// `update_allowance` sets how many slots a domain may hold, before a report to it.
///
/// Only the lender takes slots back. Were the borrower to judge by its own levels whether it may go
/// on, two homes that see the levels a little differently would pass the same slots back and forth
/// unused.
pub fn update_allowance(
    tables: &Tables,
    service: ServiceId,
    coordinator: &mut Coordinator,
    domain: DomainId,
) {
    let local = coordinator.order.first().map(|(level, _)| *level);
    let theirs = coordinator.remote_order.iter().find(|(_, other, _)| *other == domain);
    let theirs = theirs.map(|(level, _, _)| *level);
    let limit = slack(tables, service);
    let Some(remote) = coordinator.remotes.get_mut(&domain) else { return };
    let held: u32 = remote.lent.values().map(|slot| held(&slot.lease)).sum();
    let is_ahead = match (local, theirs) {
        (Some(local), Some(theirs)) => local + limit < theirs,
        _ => false,
    };
    remote.allowed = if is_ahead { held - held.div_ceil(RECALL_DIVISOR) } else { held };
}

/// `return_unused` gives back the borrowed slots that nobody here may use.
pub fn return_unused(coordinator: &mut Coordinator) {
    let next = coordinator.sequence + 1;
    for remote in coordinator.remotes.values_mut() {
        for (upstream, lease) in &mut remote.borrowed {
            let leased = coordinator.leased.get(upstream).copied().unwrap_or(0);
            let unused = held(lease).saturating_sub(leased);
            if unused != 0 {
                lease.returned += unused;
                lease.changed = next;
                remote.urgent = true;
            }
        }
    }
}

/// `import_borrowed` counts borrowed slots that an instance brings to a new home.
pub fn import_borrowed(tables: &Tables, coordinator: &mut Coordinator, slots: &[SlotLine]) {
    let next = coordinator.sequence + 1;
    for line in slots {
        let Some(entry) = tables.upstreams.get(&line.upstream) else { continue };
        if entry.domain == tables.options.domain || line.base == 0 {
            continue;
        }
        let remote = coordinator.remotes.entry(entry.domain).or_default();
        let lease = remote.borrowed.entry(line.upstream).or_default();
        lease.base += line.base;
        lease.changed = next;
    }
}

/// `return_borrowed` gives back the borrowed slots of an instance that is gone.
pub fn return_borrowed(coordinator: &mut Coordinator, upstream: UpstreamId, count: u32) {
    let next = coordinator.sequence + 1;
    for remote in coordinator.remotes.values_mut() {
        if let Some(lease) = remote.borrowed.get_mut(&upstream) {
            lease.returned += count;
            lease.changed = next;
            remote.urgent = true;
        }
    }
}

/// `extrapolate` brings the levels up to what remote service has likely added since it was told.
pub fn extrapolate(tables: &Tables, service: ServiceId, coordinator: &mut Coordinator) {
    if tables.now < coordinator.extrapolated + EXTRAPOLATION_INTERVAL {
        return;
    }
    coordinator.extrapolated = tables.now;
    let mut added_costs: BTreeMap<TeamId, f64> = BTreeMap::new();
    for remote in coordinator.remotes.values() {
        for (team, entry) in &remote.teams {
            let age = tables.now.saturating_sub(entry.last_seen).min(EXTRAPOLATION_LIMIT);
            let added_cost =
                if is_unreachable(tables, remote) { 0.0 } else { entry.rate * age.as_secs_f64() };
            if entry.rate != 0.0 {
                *added_costs.entry(*team).or_default() += added_cost;
            }
        }
    }
    cap_leads(tables, service, coordinator);
    let estimate = accounts::service_estimate(tables, service);
    for (team, cost) in added_costs {
        let Some(entry) = coordinator.teams.get_mut(&team) else { continue };
        let level = level_of_cost(cost as i64, share_of(&tables.teams, team));
        if entry.remote_estimate != level {
            entry.remote_estimate = level;
            reindex(coordinator, &tables.teams, team, estimate);
            coordinator.changed = true;
        }
    }
}

/// `level_in_cost` is a level in whole cost units a share.
pub fn level_in_cost(level: Level) -> i32 {
    (level / LEVEL_SCALE).clamp(i64::from(i32::MIN), i64::from(i32::MAX)) as i32
}

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
use crate::fairness::grants::requests_level;
use crate::fairness::homes::{Home, HomeSlot, cap_leads, reindex};
use crate::fairness::leases::{SlotLease, held, slack};
use crate::fairness::levels::{LEVEL_SCALE, Level, level_of_cost, share_of};
use crate::fairness::share_messages::SlotLine;
use crate::tables::Tables;

/// Silence after which another domain is taken to be cut off.
pub const CUT_OFF_TIME: Duration = Duration::from_millis(3_000);

/// Longest time for which remote service is extrapolated.
const EXTRAPOLATION_TIME: Duration = Duration::from_millis(2_000);

/// Time between two extrapolations.
const EXTRAPOLATION_INTERVAL: Duration = Duration::from_millis(50);

/// Part of the lent slots that is recalled at a time, while the borrower is ahead.
const RECALL_DIVISOR: u32 = 4;

/// `Remote` is the home of the service in another domain as this home sees it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Remote {
    /// Instance that holds the duty there.
    pub instance: InstanceId,
    /// Where it is reached.
    pub address: Option<SocketAddr>,
    /// Life of the duty there.
    pub epoch: u32,
    /// Its last report.
    pub sequence: u32,
    /// When it was last heard.
    pub heard: Timestamp,
    /// Lowest level of a team that waits there.
    pub frontier: Option<Level>,
    /// Slots that it may hold of ours.
    pub allowed: u32,
    /// Slots of its that may be held here, as it says.
    pub allowed_here: u32,
    /// What it said of each team.
    pub teams: BTreeMap<TeamId, RemoteTeam>,
    /// The same of the duty's life before, in case two instances hold it at once.
    pub previous: Option<PreviousLife>,
    /// Our slots lent to it.
    pub lent: BTreeMap<UpstreamId, HomeSlot>,
    /// Slots lent by team that it has not confirmed.
    pub outstanding: BTreeMap<TeamId, u32>,
    /// Its slots that were borrowed.
    pub borrowed: BTreeMap<UpstreamId, SlotLease>,
    /// Last report of ours that it has seen.
    pub seen: u32,
    /// When a report was last sent to it.
    pub sent: Option<Timestamp>,
    /// Time from which the next report is within the budget of bytes.
    pub next_allowed: Timestamp,
    /// True when it should hear soon.
    pub urgent: bool,
}

/// `PreviousLife` is what the life of a duty before said of each team.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PreviousLife {
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
    pub rate_taken: Timestamp,
    /// When it was last heard of.
    pub heard: Timestamp,
}

/// `reference` is the domain whose home decides on debts: the one with the smallest id within reach.
pub fn reference(tables: &Tables, home: &Home) -> DomainId {
    let heard = home.remotes.iter().filter(|(_, remote)| !is_silent(tables, remote));
    heard.map(|(domain, _)| *domain).min().unwrap_or(DomainId::MAX).min(tables.options.domain)
}

/// `margin` is how far a team elsewhere must lag before slots are lent past teams that wait here.
pub fn margin(tables: &Tables, service: ServiceId) -> Level {
    requests_level(tables, service, tables.options.spill_margin_requests)
}

/// `is_silent` tells whether another domain is taken to be cut off.
pub fn is_silent(tables: &Tables, remote: &Remote) -> bool {
    remote.epoch == 0 || remote.heard + CUT_OFF_TIME < tables.now
}

/// `lent` is how many slots of an upstream are lent out.
pub fn lent(tables: &Tables, home: &Home, upstream: UpstreamId) -> u32 {
    home.remotes
        .values()
        .filter(|remote| !is_silent(tables, remote))
        .filter_map(|remote| remote.lent.get(&upstream))
        .map(|slot| held(&slot.lease))
        .sum()
}

/// `most_lagging` is the team with the lowest level that waits in a domain within reach.
pub fn most_lagging(
    tables: &Tables,
    service: ServiceId,
    home: &Home,
) -> Option<(Level, DomainId, TeamId)> {
    // A call that may not be repeated stays in its domain: a link that breaks under it would leave
    // its outcome unknown.
    if !tables.options.spill || !tables.index.repeatable.contains(&service) {
        return None;
    }
    home.remote_order
        .iter()
        .find(|(_, domain, _)| {
            let remote = home.remotes.get(domain);
            remote.is_some_and(|remote| !is_silent(tables, remote))
        })
        .copied()
}

/// `lend` lends a slot to another domain for a team that lags there.
pub fn lend(home: &mut Home, domain: DomainId, team: TeamId, upstream: UpstreamId) {
    let Some(remote) = home.remotes.get_mut(&domain) else { return };
    remote.lent.entry(upstream).or_default().lease.granted += 1;
    *remote.outstanding.entry(team).or_default() += 1;
    remote.urgent = true;
    if let Some(entry) = home.teams.get_mut(&team) {
        *entry.lent.entry(domain).or_default() += 1;
    }
}

/// `recalled` is how many of the slots borrowed from a domain it wants back.
///
/// A home that has just begun has not heard of the other domains, and they have not seen what its
/// routers hold of theirs: what they allow says nothing of it yet. Were it to give the slots back for
/// that, they would stand idle after each change of a home until they were borrowed again.
pub fn recalled(tables: &Tables, home: &Home, remote: &Remote) -> u32 {
    let is_young = tables.now < home.since + CUT_OFF_TIME;
    if is_young && remote.epoch == 0 {
        return 0;
    }
    let allowed = if is_silent(tables, remote) { 0 } else { remote.allowed_here };
    let is_counted = |lease: &&SlotLease| !is_young || lease.changed <= remote.seen;
    let counted: u32 = remote.borrowed.values().filter(is_counted).map(held).sum();
    counted.saturating_sub(allowed)
}

/// `borrowed` is how many slots of a domain are held here.
pub fn borrowed(remote: &Remote) -> u32 {
    remote.borrowed.values().map(held).sum()
}

/// `unused_slot` is a borrowed slot that no instance holds and that may be used.
pub fn unused_slot(tables: &Tables, home: &Home) -> Option<UpstreamId> {
    home.remotes.values().filter(|remote| recalled(tables, home, remote) == 0).find_map(|remote| {
        let unused = remote.borrowed.iter().find(|(upstream, lease)| {
            home.leased.get(upstream).copied().unwrap_or(0) < held(lease)
        });
        unused.map(|(upstream, _)| *upstream)
    })
}

/// `allow` sets how many slots a domain may hold, before a report to it.
///
/// Only the lender takes slots back. Were the borrower to judge by its own levels whether it may go
/// on, two homes that see the levels a little differently would pass the same slots back and forth
/// unused.
pub fn allow(tables: &Tables, service: ServiceId, home: &mut Home, domain: DomainId) {
    let local = home.order.first().map(|(level, _)| *level);
    let theirs = home.remote_order.iter().find(|(_, other, _)| *other == domain);
    let theirs = theirs.map(|(level, _, _)| *level);
    let limit = slack(tables, service);
    let Some(remote) = home.remotes.get_mut(&domain) else { return };
    let held: u32 = remote.lent.values().map(|slot| held(&slot.lease)).sum();
    let is_ahead = match (local, theirs) {
        (Some(local), Some(theirs)) => local + limit < theirs,
        _ => false,
    };
    remote.allowed = if is_ahead { held - held.div_ceil(RECALL_DIVISOR) } else { held };
}

/// `return_unused` gives back the borrowed slots that nobody here may use.
pub fn return_unused(home: &mut Home) {
    let next = home.sequence + 1;
    for remote in home.remotes.values_mut() {
        for (upstream, lease) in &mut remote.borrowed {
            let leased = home.leased.get(upstream).copied().unwrap_or(0);
            let unused = held(lease).saturating_sub(leased);
            if unused != 0 {
                lease.returned += unused;
                lease.changed = next;
                remote.urgent = true;
            }
        }
    }
}

/// `take_in` counts borrowed slots that an instance brings to a new home.
pub fn take_in(tables: &Tables, home: &mut Home, slots: &[SlotLine]) {
    let next = home.sequence + 1;
    for line in slots {
        let Some(entry) = tables.upstreams.get(&line.upstream) else { continue };
        if entry.domain == tables.options.domain || line.base == 0 {
            continue;
        }
        let remote = home.remotes.entry(entry.domain).or_default();
        let lease = remote.borrowed.entry(line.upstream).or_default();
        lease.base += line.base;
        lease.changed = next;
    }
}

/// `hand_back` gives back the borrowed slots of an instance that is gone.
pub fn hand_back(home: &mut Home, upstream: UpstreamId, count: u32) {
    let next = home.sequence + 1;
    for remote in home.remotes.values_mut() {
        if let Some(lease) = remote.borrowed.get_mut(&upstream) {
            lease.returned += count;
            lease.changed = next;
            remote.urgent = true;
        }
    }
}

/// `extrapolate` brings the levels up to what remote service has likely added since it was told.
pub fn extrapolate(tables: &Tables, service: ServiceId, home: &mut Home) {
    if tables.now < home.extrapolated + EXTRAPOLATION_INTERVAL {
        return;
    }
    home.extrapolated = tables.now;
    let mut ahead: BTreeMap<TeamId, f64> = BTreeMap::new();
    for remote in home.remotes.values() {
        for (team, entry) in &remote.teams {
            let age = tables.now.saturating_sub(entry.heard).min(EXTRAPOLATION_TIME);
            let more = if is_silent(tables, remote) { 0.0 } else { entry.rate * age.as_secs_f64() };
            if entry.rate != 0.0 {
                *ahead.entry(*team).or_default() += more;
            }
        }
    }
    cap_leads(tables, service, home);
    let estimate = accounts::service_estimate(tables, service);
    for (team, cost) in ahead {
        let Some(entry) = home.teams.get_mut(&team) else { continue };
        let level = level_of_cost(cost as i64, share_of(&tables.teams, team));
        if entry.ahead != level {
            entry.ahead = level;
            reindex(home, &tables.teams, team, estimate);
            home.changed = true;
        }
    }
}

/// `level_in_cost` is a level in whole cost units a share.
pub fn level_in_cost(level: Level) -> i32 {
    (level / LEVEL_SCALE).clamp(i64::from(i32::MIN), i64::from(i32::MAX)) as i32
}

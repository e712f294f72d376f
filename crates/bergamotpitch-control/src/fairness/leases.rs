//! Slot leases: what this instance may hand over without asking, as the home of a service granted.
//!
//! A lease on a slot outlives the request that it was granted for. When the request ends, the slot
//! takes the next one here at once, unless the teams that wait here are ahead of the domain's
//! frontier; then it goes back to the home, which grants it where a team lags.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bergamotpitch_core::ids::{DomainId, Incarnation, InstanceId, ServiceId, TeamId, UpstreamId};
use bergamotpitch_core::units::{CostUnits, Timestamp};

use crate::fairness::accounts;
use crate::fairness::levels::{Level, level_of_cost, share_of};
use crate::fairness::share_messages::{ShareGrant, ShareReport, SlotLine, TeamLine};
use crate::membership::intervals;
use crate::tables::{QueueKey, Tables};

/// Silence of the home after which its frontier no longer binds.
const FRONTIER_LIFETIME: Duration = Duration::from_millis(700);

/// Time for which the level of a team that does not wait here is kept.
const LEVEL_LIFETIME: Duration = Duration::from_millis(1_500);

/// Time for which a level that the last home told is handed to the next one.
const INHERITED_LIFETIME: Duration = Duration::from_millis(4_000);

/// Teams that one report names; the next report names more. A report so takes three datagrams at the
/// most, however many teams an instance serves.
const REPORT_TEAMS: usize = 200;

/// `Leases` are the leases of this instance for one service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Leases {
    /// The home that they come from.
    pub coordinator: Option<InstanceId>,
    /// Life of the home.
    pub coordinator_incarnation: Incarnation,
    /// Number of this adoption of a home; grants for another adoption are passed over.
    pub registration: u32,
    /// Number of the last report.
    pub sequence: u32,
    /// Number of the last report that the home has seen.
    pub acknowledged_sequence: u32,
    /// Leases by upstream.
    pub slots: BTreeMap<UpstreamId, SlotLease>,
    /// What the home was told and has told of each team.
    pub teams: BTreeMap<TeamId, LeaseTeam>,
    /// Teams that the home takes to wait here.
    pub waiting: BTreeSet<TeamId>,
    /// Lowest level of a team that waits in the domain; none when none waits.
    pub frontier: Option<Level>,
    /// The same, with teams elsewhere that lag; it bounds the use of the domain's own slots.
    pub own_frontier: Option<Level>,
    /// Domains that want slots back that were borrowed from them.
    pub recalling: Vec<DomainId>,
    /// Idle slots that may be kept while nobody waits.
    pub keep_slots: u32,
    /// Instance over which reports go; none when they go straight to the home.
    pub relay: Option<InstanceId>,
    /// When the detour was last changed.
    pub relay_changed: Option<Timestamp>,
    /// When the home last said that it saw a report.
    pub acknowledged_at: Option<Timestamp>,
    /// When the home was last heard.
    pub last_seen: Option<Timestamp>,
    /// When the last report was sent.
    pub sent: Option<Timestamp>,
    /// True when the home should hear at once.
    pub urgent: bool,
    /// True when there is something to report.
    pub changed: bool,
}

/// `SlotLease` counts leases on one upstream; each number only rises within one adoption.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SlotLease {
    /// Slots held when the home was adopted.
    pub base: u32,
    /// Slots granted since.
    pub granted: u32,
    /// Slots given back since.
    pub returned: u32,
    /// Number of the report that first carried the present numbers.
    pub changed: u32,
    /// Slots granted and not used yet.
    pub fresh: u32,
}

/// `LeaseTeam` is one team as this instance and its home see it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeaseTeam {
    /// Level without the service received here, when the home has told it.
    pub external_level: Option<Level>,
    /// When it was told.
    pub level_received: Timestamp,
    /// Requests that wait here, as last reported.
    pub waiting_requests: u32,
    /// Number of the report that first carried the present numbers.
    pub changed: u32,
    /// Number of the last report that named the team.
    pub last_reported: u32,
    /// Number of the report that first named the team in this adoption; 0 when none has.
    pub first_reported: u32,
    /// Service received here when charges were last looked at, in cost units.
    pub recorded_cost: CostUnits,
    /// Service received here as last told, in cost units.
    pub reported_cost: CostUnits,
    /// Service received here before this adoption, in cost units; none when none was received since.
    pub base_cost: Option<CostUnits>,
    /// Times in a row that the oldest request here was passed over for a cached prefix.
    pub skipped: u32,
}

/// `held` is how many slots of an upstream this instance holds.
pub fn held(lease: &SlotLease) -> u32 {
    (lease.base + lease.granted).saturating_sub(lease.returned)
}

/// `register` takes a new home for a service; slots held stay held.
pub fn register(
    leases: &mut Leases,
    coordinator: InstanceId,
    incarnation: Incarnation,
    own: Incarnation,
) {
    leases.coordinator = Some(coordinator);
    leases.coordinator_incarnation = incarnation;
    leases.relay = None;
    leases.relay_changed = None;
    // A restarted instance must not reuse the numbers of its earlier life: the home would take old
    // grants for new ones.
    leases.registration =
        leases.registration.wrapping_add(1).max(((own as u32) & 0xffff).wrapping_shl(12).max(1));
    leases.sequence = 0;
    leases.acknowledged_sequence = 0;
    leases.slots.retain(|_, lease| held(lease) != 0);
    for lease in leases.slots.values_mut() {
        *lease = SlotLease { base: held(lease), changed: 1, ..SlotLease::default() };
    }
    // Of teams that rest here there is nothing to say until they come back: an instance that has served
    // thousands of teams would otherwise have to name them all, in messages too large to be sent.
    for team in leases.teams.values_mut() {
        team.changed = u32::from(team.waiting_requests != 0);
        team.last_reported = 0;
        team.first_reported = 0;
        team.base_cost = None;
    }
    leases.changed = true;
    leases.urgent = true;
}

/// `apply_grant` takes over what the home says.
pub fn apply_grant(tables: &mut Tables, sender: InstanceId, grant: ShareGrant) {
    let now = tables.now;
    let Some(leases) = tables.leases.get_mut(&grant.service) else { return };
    let is_expected = leases.coordinator == Some(sender) || leases.relay == Some(sender);
    if !is_expected || leases.registration != grant.registration {
        return;
    }
    if grant.is_unknown {
        let (incarnation, own) = (leases.coordinator_incarnation, tables.options.incarnation);
        let coordinator = leases.coordinator.unwrap_or(sender);
        let relay = leases.relay;
        register(leases, coordinator, incarnation, own);
        leases.relay = relay;
        return;
    }
    leases.last_seen = Some(now);
    if leases.acknowledged_sequence < grant.acknowledged_report
        || leases.sequence == grant.acknowledged_report
    {
        leases.acknowledged_at = Some(now);
    }
    leases.acknowledged_sequence = leases.acknowledged_sequence.max(grant.acknowledged_report);
    for line in &grant.granted {
        let next = leases.sequence + 1;
        let lease = leases.slots.entry(line.upstream).or_default();
        if lease.granted < line.count {
            // A fresh slot takes any request that waits here: the home has chosen this instance.
            // Were it judged by the levels known here, which are a little older, it might go back
            // unused, and come again.
            lease.fresh += line.count - lease.granted;
            lease.granted = line.count;
            lease.changed = next;
            leases.changed = true;
        }
    }
    // An old grant that comes late must not bring an old frontier back.
    if grant.acknowledged_report < leases.acknowledged_sequence {
        return;
    }
    leases.frontier = grant.frontier;
    leases.own_frontier = grant.frontier.map(|frontier| frontier - grant.remote_lag);
    leases.keep_slots = grant.keep_slots;
    leases.recalling = grant.recalling;
    for line in &grant.levels {
        let team = leases.teams.entry(line.team).or_default();
        team.external_level = Some(line.level + grant.frontier.unwrap_or(0));
        team.level_received = now;
    }
}

/// `level` is the level of a team as this instance knows it.
pub fn level(tables: &Tables, leases: &Leases, key: QueueKey) -> Level {
    let own = own_level(tables, key);
    let floor = leases.frontier.unwrap_or(0);
    let Some(team) = leases.teams.get(&key.team) else { return floor };
    match team.external_level {
        Some(external_level)
            if tables.now < team.level_received + intervals::scaled(tables, LEVEL_LIFETIME) =>
        {
            external_level + own
        }
        // The team may have been idle: it comes in at the frontier, with no credit saved up.
        Some(external_level) => floor.max(external_level + own),
        None => floor,
    }
}

fn own_level(tables: &Tables, key: QueueKey) -> Level {
    let cost = tables.accounts.get(&key).copied().unwrap_or(0);
    level_of_cost(cost as i64, share_of(&tables.teams, key.team))
}

/// `bound` is the highest level at which a free slot of a domain may take the next request here.
pub fn bound(
    tables: &Tables,
    service: ServiceId,
    leases: &Leases,
    domain: DomainId,
) -> Option<Level> {
    let frontier_lifetime = intervals::scaled(tables, FRONTIER_LIFETIME);
    let is_fresh =
        leases.last_seen.is_some_and(|last_seen| tables.now < last_seen + frontier_lifetime);
    if !is_fresh {
        return None;
    }
    if leases.recalling.contains(&domain) {
        return Some(Level::MIN);
    }
    let is_own = domain == tables.options.domain;
    let frontier = if is_own { leases.own_frontier } else { leases.frontier };
    frontier.map(|frontier| frontier + slack(tables, service))
}

/// `slack` is how far ahead of the frontier a team may be and still use a free slot.
pub fn slack(tables: &Tables, service: ServiceId) -> Level {
    let estimate = accounts::service_estimate(tables, service) as f64;
    (estimate * tables.options.slack_requests) as Level * crate::fairness::levels::LEVEL_SCALE
}

/// `return_slots` returns idle slots to the home.
pub fn return_slots(leases: &mut Leases, upstream: UpstreamId, count: u32) {
    let next = leases.sequence + 1;
    let Some(lease) = leases.slots.get_mut(&upstream) else { return };
    lease.returned += count;
    lease.fresh = 0;
    lease.changed = next;
    leases.changed = true;
    leases.urgent = true;
}

/// `report` builds what the home has not seen yet.
pub fn report(tables: &Tables, service: ServiceId, leases: &mut Leases, idle: u32) -> ShareReport {
    leases.sequence += 1;
    let acknowledged_sequence = leases.acknowledged_sequence;
    let slots = leases
        .slots
        .iter()
        .filter(|(_, lease)| acknowledged_sequence < lease.changed)
        .map(|(upstream, lease)| SlotLine {
            upstream: *upstream,
            base: lease.base,
            granted: lease.granted,
            returned: lease.returned,
        })
        .collect();
    let teams = team_lines(tables, service, leases);
    leases.sent = Some(tables.now);
    leases.urgent = false;
    leases.changed = leases.teams.values().any(|team| leases.sequence < team.changed);
    ShareReport {
        service,
        registration: leases.registration,
        sequence: leases.sequence,
        idle_slots: idle,
        slots,
        teams,
    }
}

/// Names teams that changed, the longest not named first.
fn team_lines(tables: &Tables, service: ServiceId, leases: &mut Leases) -> Vec<TeamLine> {
    let (acknowledged_sequence, sequence) = (leases.acknowledged_sequence, leases.sequence);
    let mut changed: Vec<(u32, TeamId)> = leases
        .teams
        .iter()
        .filter(|(_, team)| acknowledged_sequence < team.changed)
        .map(|(team, entry)| (entry.last_reported, *team))
        .collect();
    changed.sort_unstable();
    let deferred = changed.split_off(changed.len().min(REPORT_TEAMS));
    for (_, team) in deferred {
        if let Some(entry) = leases.teams.get_mut(&team) {
            entry.changed = sequence + 1;
        }
    }
    let mut lines = Vec::with_capacity(changed.len());
    for (_, team) in changed {
        let key = QueueKey { service, team };
        let known_level = level(tables, leases, key);
        let Some(entry) = leases.teams.get_mut(&team) else { continue };
        entry.last_reported = sequence;
        if entry.first_reported == 0 {
            entry.first_reported = sequence;
        }
        let served_cost = tables.accounts.get(&key).copied().unwrap_or(0);
        entry.reported_cost = served_cost;
        let is_first = acknowledged_sequence < entry.first_reported;
        // A level told long ago would put its team far below all others at the new home.
        let is_recent = entry.external_level.is_some()
            && tables.now < entry.level_received + INHERITED_LIFETIME;
        let has_level = acknowledged_sequence == 0 && is_recent && entry.waiting_requests != 0;
        lines.push(TeamLine {
            team,
            waiting_requests: entry.waiting_requests,
            served_cost,
            base_cost: is_first.then_some(entry.base_cost.unwrap_or(served_cost)),
            level: has_level.then_some(known_level),
        });
    }
    lines
}

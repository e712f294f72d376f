//! Reports between domains: what a home tells the homes of its service elsewhere.

use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_core::ids::{DomainId, InstanceId, ServiceId, TeamId};
use bergamotpitch_core::units::Timestamp;

use crate::fairness::accounts;
use crate::fairness::coordinators::{
    self, CoordinatedTeam, Coordinator, add_level, raise_to_floor, reindex, weight,
};
use crate::fairness::leases::{SlotLease, held};
use crate::fairness::levels::{LEVEL_SCALE, Level, level_of_cost, share_of};
use crate::fairness::share_messages::{
    DomainReport, DomainTeamLine, GrantLine, RelayedDomainReport, SERVED_QUANTUM, SlotLine,
};
use crate::fairness::spills::{self, DOMAIN_TIMEOUT, PreviousEpoch, RemoteDomain, RemoteTeam};
use crate::inputs::Sender;
use crate::messages::Message;
use crate::outputs::Output;
use crate::tables::Tables;

/// Bytes that a report takes before any line, with headers and seal.
const REPORT_BYTES: u64 = 83;

/// Bytes of one team line.
const TEAM_LINE_BYTES: u64 = 10;

/// Bytes of one line of slots.
const SLOT_LINE_BYTES: u64 = 9;

/// Time between two reports while nobody waits.
const IDLE_INTERVAL: Duration = Duration::from_millis(2_000);

/// Time by which an urgent report may run ahead of the budget.
const URGENT_ADVANCE: Duration = Duration::from_millis(1_000);

/// Part by which a level moves to what another home tells.
const MERGE_DIVISOR: i64 = 8;

/// Shortest time over which the rate of remote service is taken.
const MIN_RATE_WINDOW: Duration = Duration::from_millis(800);

/// Shortest time between two reports to one domain.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// `run` reports to the other domains, within the budget of bytes.
pub fn run(
    tables: &Tables,
    service: ServiceId,
    coordinator: &mut Coordinator,
    outputs: &mut Vec<Output>,
) {
    // Until it is recovered a home has no levels that others could go by.
    if !coordinator.recovered
        || !tables.index.repeatable.contains(&service) && coordinator.order.is_empty()
    {
        return;
    }
    for domain in tables.index.domains.iter().copied() {
        if domain == tables.options.domain {
            continue;
        }
        let Some(to) = recipient(tables, service, coordinator.remotes.get(&domain), domain) else {
            continue;
        };
        let remote = coordinator.remotes.entry(domain).or_default();
        if !is_due(tables.now, remote, coordinator.frontier.is_some()) {
            continue;
        }
        let report = build_report(tables, service, coordinator, domain);
        outputs.push(Output::Send { to, message: Message::DomainReport(report) });
    }
}

fn is_due(now: Timestamp, remote: &RemoteDomain, is_contended: bool) -> bool {
    let Some(sent) = remote.sent else { return true };
    if now < sent + MIN_REPORT_INTERVAL {
        return false;
    }
    if remote.urgent {
        return remote.next_allowed <= now + URGENT_ADVANCE;
    }
    let is_contended = is_contended || remote.frontier.is_some();
    remote.next_allowed <= now && (is_contended || sent + IDLE_INTERVAL <= now)
}

/// The home there that was heard last, else any member there: it passes the report on.
fn recipient(
    tables: &Tables,
    service: ServiceId,
    remote: Option<&RemoteDomain>,
    domain: DomainId,
) -> Option<SocketAddr> {
    if let Some(remote) = remote
        && !spills::is_unreachable(tables, remote)
        && remote.address.is_some()
    {
        return remote.address;
    }
    tables
        .members
        .iter()
        .filter(|(_, member)| member.domain == domain && !member.suspected && !member.draining)
        .max_by_key(|(instance, _)| (weight(**instance, service), **instance))
        .map(|(_, member)| member.address)
}

fn build_report(
    tables: &Tables,
    service: ServiceId,
    coordinator: &mut Coordinator,
    domain: DomainId,
) -> DomainReport {
    spills::update_allowance(tables, service, coordinator, domain);
    coordinator.sequence += 1;
    let frontier = coordinator.order.first().map(|(level, _)| *level);
    let base = frontier.unwrap_or(0);
    let Some(remote) = coordinator.remotes.get_mut(&domain) else { return DomainReport::default() };
    let mut teams = Vec::new();
    for (team, entry) in &coordinator.teams {
        if entry.changed <= remote.acknowledged_sequence && remote.acknowledged_sequence != 0 {
            continue;
        }
        let Some(short_team) = tables.index.short_team_id(*team) else { continue };
        teams.push(DomainTeamLine {
            short_team,
            served: (entry.served_cost.max(0) as u64 / SERVED_QUANTUM) as u32,
            waiting_requests: entry.waiting_requests,
            level: spills::level_in_cost(entry.level + entry.remote_estimate - base),
            debt: spills::level_in_cost(entry.debt).max(0) as u32,
        });
    }
    let lent = remote
        .lent
        .iter()
        .filter(|(_, slot)| slot.confirmed != slot.lease.granted)
        .map(|(upstream, slot)| GrantLine { upstream: *upstream, count: slot.lease.granted })
        .collect::<Vec<_>>();
    let borrowed = remote
        .borrowed
        .iter()
        .filter(|(_, lease)| remote.acknowledged_sequence < lease.changed)
        .map(|(upstream, lease)| SlotLine {
            upstream: *upstream,
            base: lease.base,
            granted: lease.granted,
            returned: lease.returned,
        })
        .collect::<Vec<_>>();
    let bytes = REPORT_BYTES
        + TEAM_LINE_BYTES * teams.len() as u64
        + SLOT_LINE_BYTES * (lent.len() + borrowed.len()) as u64;
    let domains = tables.index.domains.len().saturating_sub(1).max(1) as u64;
    let budget = (tables.options.cross_bytes_per_second / domains).max(1);
    let pause = Duration::from_secs_f64(bytes as f64 / budget as f64);
    remote.next_allowed = remote.next_allowed.max(tables.now) + pause;
    remote.sent = Some(tables.now);
    remote.urgent = false;
    DomainReport {
        service,
        epoch: coordinator.epoch,
        peer_epoch: remote.epoch,
        sequence: coordinator.sequence,
        acknowledged_sequence: remote.sequence,
        frontier,
        allowed_slots: remote.allowed,
        teams,
        lent,
        borrowed,
    }
}

/// `apply` takes over what the home of another domain reports, or passes it on to the home here.
pub fn apply(tables: &mut Tables, sender: Sender, report: DomainReport, outputs: &mut Vec<Output>) {
    if sender.domain == tables.options.domain {
        return;
    }
    if !tables.coordinators.contains_key(&report.service) {
        forward(tables, sender, report, outputs);
        return;
    }
    accept(tables, sender, report);
}

/// `apply_relayed` takes a domain report that another instance of this domain passed on.
pub fn apply_relayed(tables: &mut Tables, relayed: RelayedDomainReport) {
    let RelayedDomainReport { instance, incarnation, domain, address, report } = relayed;
    if domain != tables.options.domain {
        accept(tables, Sender { instance, incarnation, domain, address }, report);
    }
}

fn forward(tables: &Tables, sender: Sender, report: DomainReport, outputs: &mut Vec<Output>) {
    let coordinator_id = coordinators::coordinator_of(tables, report.service);
    let Some(member) = tables.members.get(&coordinator_id) else { return };
    let Sender { instance, incarnation, domain, address } = sender;
    let relayed = RelayedDomainReport { instance, incarnation, domain, address, report };
    outputs
        .push(Output::Send { to: member.address, message: Message::RelayedDomainReport(relayed) });
}

fn accept(tables: &mut Tables, sender: Sender, report: DomainReport) {
    let Some(mut coordinator) = tables.coordinators.remove(&report.service) else { return };
    let service = report.service;
    merge_report(tables, &mut coordinator, sender, report);
    tables.coordinators.insert(service, coordinator);
}

fn merge_report(
    tables: &Tables,
    coordinator: &mut Coordinator,
    sender: Sender,
    report: DomainReport,
) {
    let next = coordinator.sequence + 1;
    let is_first = coordinator.remotes.get(&sender.domain).is_none_or(|remote| remote.epoch == 0);
    let remote = coordinator.remotes.entry(sender.domain).or_default();
    let is_same = (remote.instance, remote.epoch) == (sender.instance, report.epoch);
    if is_same && report.sequence <= remote.sequence {
        return;
    }
    if !is_same {
        begin_epoch(remote, sender.instance, report.epoch, next);
        for entry in coordinator.teams.values_mut() {
            entry.lent.remove(&sender.domain);
        }
    }
    let unseen_time = tables.now.saturating_sub(remote.last_seen);
    let is_rejoin = !is_first && DOMAIN_TIMEOUT < unseen_time;
    remote.frontier = report.frontier;
    remote.sequence = report.sequence;
    remote.address = Some(sender.address);
    remote.last_seen = tables.now;
    if report.peer_epoch == coordinator.epoch {
        merge_slots(remote, &report, next);
        if remote.lent.values().all(|slot| slot.confirmed == slot.lease.granted) {
            remote.outstanding.clear();
            for entry in coordinator.teams.values_mut() {
                entry.lent.remove(&sender.domain);
            }
        }
    }
    if !coordinator.aligned {
        align_levels(coordinator, report.frontier);
    }
    merge_teams(tables, coordinator, sender.domain, &report, (is_first, is_rejoin));
    coordinator.changed = true;
}

fn begin_epoch(remote: &mut RemoteDomain, instance: InstanceId, epoch: u32, next: u32) {
    let old = PreviousEpoch {
        instance: remote.instance,
        epoch: remote.epoch,
        teams: std::mem::take(&mut remote.teams),
    };
    // Two instances may hold the duty for a moment; each counts its own routers' service, and a
    // life that comes back is counted on from where it was.
    if let Some(previous) = remote.previous.take()
        && (previous.instance, previous.epoch) == (instance, epoch)
    {
        remote.teams = previous.teams;
    }
    remote.previous = Some(old);
    remote.instance = instance;
    remote.epoch = epoch;
    remote.sequence = 0;
    remote.acknowledged_sequence = 0;
    remote.lent.clear();
    remote.outstanding.clear();
    for lease in remote.borrowed.values_mut() {
        *lease = SlotLease { base: held(lease), changed: next, ..SlotLease::default() };
    }
}

fn merge_slots(remote: &mut RemoteDomain, report: &DomainReport, next: u32) {
    remote.acknowledged_sequence = remote.acknowledged_sequence.max(report.acknowledged_sequence);
    remote.allowed_here = report.allowed_slots;
    for line in &report.lent {
        let lease = remote.borrowed.entry(line.upstream).or_default();
        if lease.granted < line.count {
            lease.granted = line.count;
            lease.changed = next;
            remote.urgent = true;
        }
    }
    for line in &report.borrowed {
        let slot = remote.lent.entry(line.upstream).or_default();
        slot.lease.base = line.base;
        slot.lease.returned = slot.lease.returned.max(line.returned);
        slot.confirmed = slot.confirmed.max(line.granted);
    }
}

/// `align_levels` brings the levels of a home that began without memory onto the scale of the fleet.
fn align_levels(coordinator: &mut Coordinator, frontier: Option<Level>) {
    let Some(frontier) = frontier else { return };
    coordinator.aligned = true;
    let own = coordinator.order.first().map_or(coordinator.floor, |(level, _)| *level);
    let shift = frontier - own;
    if shift <= 0 {
        return;
    }
    coordinator.floor += shift;
    for entry in coordinator.teams.values_mut() {
        entry.level += shift;
    }
    for router in coordinator.routers.values_mut() {
        router.urgent = true;
        router.teams.values_mut().for_each(|team| team.sent_level = None);
    }
}

fn merge_teams(
    tables: &Tables,
    coordinator: &mut Coordinator,
    domain: DomainId,
    report: &DomainReport,
    (is_first, is_rejoin): (bool, bool),
) {
    let base = report.frontier.unwrap_or(0);
    let is_reference = spills::reference_domain(tables, coordinator) == domain;
    let mut touched: Vec<TeamId> = Vec::new();
    for line in &report.teams {
        let Some(team) = tables.index.team_of_short_id(line.short_team) else { continue };
        let Some(remote) = coordinator.remotes.get_mut(&domain) else { return };
        let known = remote.teams.entry(team).or_default();
        let cost = i64::from(line.served) - i64::from(known.served);
        let cost = if is_first { 0 } else { cost * SERVED_QUANTUM as i64 };
        update_rate(tables.now, known, line.served, cost, is_first || is_rejoin);
        let level = level_of_cost(cost, share_of(&tables.teams, team));
        let floor = coordinator.floor;
        let entry = coordinator.teams.entry(team).or_default();
        if coordinator.recovered && !entry.is_level_known {
            raise_to_floor(entry, floor);
            entry.is_level_known = true;
        }
        if line.waiting_requests == 0 {
            entry.remote_waiting.remove(&domain);
        } else {
            entry.remote_waiting.insert(domain, line.waiting_requests);
        }
        entry.remote_estimate = 0;
        add_level(entry, level);
        let reported = base + i64::from(line.level) * LEVEL_SCALE;
        let debt = i64::from(line.debt) * LEVEL_SCALE;
        if line.waiting_requests != 0 {
            merge_level(entry, reported, debt);
        }
        if is_reference {
            entry.debt = debt;
        }
        touched.push(team);
    }
    let estimate = accounts::service_estimate(tables, report.service);
    for team in touched {
        reindex(coordinator, &tables.teams, team, estimate);
    }
}

/// `merge_level` takes over another home's level of a team that waits there.
///
/// Service is counted by sums, so a level is never merged by the larger: it would hold service that
/// comes again as a sum from a third domain. Where the team waits only elsewhere, the other home
/// knows best. Where it waits here too, levels draw together slowly, which heals counts that were
/// lost with a home.
fn merge_level(entry: &mut CoordinatedTeam, reported: Level, debt: Level) {
    if entry.is_inherited {
        // The level came from instances that were never told of the debt.
        (entry.level, entry.debt) = (reported.max(entry.level + debt), debt);
    } else if !entry.is_level_known || entry.waiting_requests == 0 {
        (entry.level, entry.debt) = (reported, debt);
    } else {
        entry.level += (reported - entry.level) / MERGE_DIVISOR;
    }
    entry.is_level_known = true;
    entry.is_inherited = false;
}

fn update_rate(
    now: Timestamp,
    known: &mut RemoteTeam,
    served: u32,
    cost: i64,
    restarts_window: bool,
) {
    known.served = served;
    known.last_seen = now;
    let age = now.saturating_sub(known.rate_updated);
    if restarts_window {
        (known.rate_cost, known.rate_updated) = (0, now);
        return;
    }
    known.rate_cost += cost;
    // Two reports close together say nothing about the rate.
    if age < MIN_RATE_WINDOW {
        return;
    }
    let rate = known.rate_cost.max(0) as f64 / age.as_secs_f64();
    known.rate = if known.rate == 0.0 { rate } else { known.rate * 0.5 + rate * 0.5 };
    (known.rate_cost, known.rate_updated) = (0, now);
}

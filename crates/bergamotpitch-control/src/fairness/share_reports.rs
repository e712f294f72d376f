//! Reports to a home: what the instances of its domain tell it, and what becomes of their leases.

use bergamotpitch_core::ids::{InstanceId, TeamId};

use crate::fairness::coordinators::{
    CoordinatedTeam, Coordinator, RouterTeam, add_level, raise_to_floor, reindex,
};
use crate::fairness::leases::held;
use crate::fairness::levels::{level_of_cost, share_of};
use crate::fairness::share_messages::{ShareReport, TeamLine};
use crate::fairness::spills;
use crate::inputs::Sender;
use crate::tables::Tables;

/// `apply_report` takes over what an instance of the domain reports.
pub fn apply_report(
    tables: &mut Tables,
    sender: Sender,
    report: ShareReport,
    relay: Option<InstanceId>,
) {
    let Some(mut coordinator) = tables.coordinators.remove(&report.service) else { return };
    let service = report.service;
    merge_report(tables, &mut coordinator, sender, report, relay);
    if let Some(router) = coordinator.routers.get_mut(&sender.instance) {
        router.relay = relay;
        router.last_seen = tables.now;
    }
    tables.coordinators.insert(service, coordinator);
}

fn merge_report(
    tables: &Tables,
    coordinator: &mut Coordinator,
    sender: Sender,
    report: ShareReport,
    relay: Option<InstanceId>,
) {
    let estimate = crate::fairness::accounts::service_estimate(tables, report.service);
    let known = coordinator.routers.get(&sender.instance);
    let is_older = known.is_some_and(|router| {
        let known_session = (router.incarnation, router.registration);
        let session = (sender.incarnation, report.registration);
        session < known_session || (session == known_session && report.sequence <= router.sequence)
    });
    if is_older {
        return;
    }
    let is_new = known.is_none_or(|router| {
        (router.incarnation, router.registration) != (sender.incarnation, report.registration)
    });
    if is_new {
        forget_router(tables, coordinator, sender.instance, estimate);
        // A home that restarted, or that took the instance for gone, is told of grants that it does
        // not know. It cannot count on from them, so it asks to be adopted anew; else the teams that
        // wait there would get nothing but the slots that the instance still holds.
        if report.sequence != 1 {
            if tables.options.share_guards.refuses_unknown {
                coordinator.unregistered.insert(sender.instance, (report.registration, relay));
            }
            return;
        }
    }
    let router = coordinator.routers.entry(sender.instance).or_default();
    router.incarnation = sender.incarnation;
    router.registration = report.registration;
    router.sequence = report.sequence;
    router.idle_slots = report.idle_slots;
    for line in &report.slots {
        let slot = router.slots.entry(line.upstream).or_default();
        let before = held(&slot.lease);
        slot.lease.base = line.base;
        slot.lease.returned = slot.lease.returned.max(line.returned);
        slot.confirmed = slot.confirmed.max(line.granted);
        let leased = coordinator.leased.entry(line.upstream).or_default();
        *leased = (*leased + held(&slot.lease)).saturating_sub(before);
    }
    if is_new {
        spills::import_borrowed(tables, coordinator, &report.slots);
    }
    let Some(router) = coordinator.routers.get_mut(&sender.instance) else { return };
    coordinator.changed = true;
    let mut touched: Vec<TeamId> = Vec::new();
    if router.slots.values().all(|slot| slot.confirmed == slot.lease.granted) {
        touched.extend(clear_outstanding(coordinator, sender.instance));
    }
    for line in &report.teams {
        merge_team(coordinator, tables, sender.instance, line);
        touched.push(line.team);
    }
    for team in touched {
        reindex(coordinator, &tables.teams, team, estimate);
    }
}

fn clear_outstanding(coordinator: &mut Coordinator, instance: InstanceId) -> Vec<TeamId> {
    let Some(router) = coordinator.routers.get_mut(&instance) else { return Vec::new() };
    let outstanding = std::mem::take(&mut router.outstanding);
    for (team, count) in &outstanding {
        if let Some(entry) = coordinator.teams.get_mut(team) {
            entry.outstanding = entry.outstanding.saturating_sub(*count);
        }
    }
    outstanding.into_keys().collect()
}

fn merge_team(
    coordinator: &mut Coordinator,
    tables: &Tables,
    instance: InstanceId,
    line: &TeamLine,
) {
    let Some(router) = coordinator.routers.get_mut(&instance) else { return };
    // Counting starts at the service before the adoption, or, when the line carries the level with
    // which a new home begins, at what is in that level.
    let begins_with_level = line.level.is_some() && !coordinator.recovered;
    let base_cost = line.base_cost.filter(|_| !begins_with_level).unwrap_or(line.served_cost);
    let known = router
        .teams
        .entry(line.team)
        .or_insert(RouterTeam { served_cost: base_cost, ..RouterTeam::default() });
    let added_cost = line.served_cost as i64 - known.served_cost as i64;
    known.served_cost = line.served_cost;
    known.waiting_requests = line.waiting_requests;
    let floor = coordinator.floor;
    let changed = coordinator.sequence + 1;
    let entry = coordinator.teams.entry(line.team).or_default();
    let was_idle = entry.waiting_requests == 0 && entry.remote_waiting.is_empty();
    let before = entry.waiters.insert(instance, line.waiting_requests).unwrap_or(0);
    if line.waiting_requests == 0 {
        entry.waiters.remove(&instance);
    }
    entry.waiting_requests = (entry.waiting_requests + line.waiting_requests) - before;
    if let Some(level) = line.level {
        if !coordinator.recovered {
            entry.level = if entry.is_level_known { entry.level.max(level) } else { level };
            entry.is_level_known = true;
            entry.is_inherited = true;
        }
        coordinator.aligned = true;
    }
    entry.changed = changed;
    add_service(entry, share_of(&tables.teams, line.team), added_cost);
    let guards = tables.options.share_guards;
    // A team that was idle comes in at the lowest level of those that wait, so that it has saved up
    // no credit; without this a team back from a night's rest would take every slot for hours.
    if line.waiting_requests != 0 && coordinator.recovered && (was_idle || !entry.is_level_known) {
        if guards.raises_idle {
            raise_to_floor(entry, floor);
        }
        entry.is_level_known = true;
    }
}

/// `add_service` counts service of this domain.
fn add_service(team: &mut CoordinatedTeam, share: u32, cost: i64) {
    team.served_cost += cost;
    add_level(team, level_of_cost(cost, share));
}

/// `forget_router` drops an instance that is gone or has begun anew; its service stays counted.
pub fn forget_router(
    tables: &Tables,
    coordinator: &mut Coordinator,
    instance: InstanceId,
    estimate: u64,
) {
    let mut touched = clear_outstanding(coordinator, instance);
    let Some(router) = coordinator.routers.remove(&instance) else { return };
    for (upstream, slot) in &router.slots {
        let leased = coordinator.leased.entry(*upstream).or_default();
        *leased = leased.saturating_sub(held(&slot.lease));
        spills::return_borrowed(coordinator, *upstream, held(&slot.lease));
    }
    for team in router.teams.into_keys() {
        if let Some(entry) = coordinator.teams.get_mut(&team) {
            let before = entry.waiters.remove(&instance).unwrap_or(0);
            entry.waiting_requests -= before;
        }
        touched.push(team);
    }
    for team in touched {
        reindex(coordinator, &tables.teams, team, estimate);
    }
}

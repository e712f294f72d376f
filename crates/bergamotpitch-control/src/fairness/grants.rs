//! Grants: free slots go to the team that lags most, wherever in the domain it waits.

use std::time::Duration;

use bergamotpitch_core::ids::{DomainId, InstanceId, ServiceId, TeamId, UpstreamId};

use crate::capacity::windows::window;
use crate::fairness::coordinators::{CoordinatedRouter, Coordinator, effective_level, reindex};
use crate::fairness::leases::slack;
use crate::fairness::levels::{LEVEL_SCALE, Level, level_of_cost, share_of};
use crate::fairness::share_messages::{GrantLine, LevelLine, RelayedGrant, ShareGrant};
use crate::fairness::share_reports;
use crate::fairness::{accounts, spills};
use crate::membership::intervals;
use crate::messages::Message;
use crate::outputs::Output;
use crate::tables::Tables;

/// Time after which a grant that was not confirmed is sent again, and levels are told anew.
const REFRESH_TIME: Duration = Duration::from_millis(500);

/// Part of the slack by which a number must move to be told.
const UPDATE_THRESHOLD_DIVISOR: Level = 4;

/// Weight of free slots in the standing quotas: half stays with the home, so that a team that
/// begins to wait need not wait for quotas to come back.
const RESERVE_DIVISOR: u32 = 2;

/// `run` grants the free slots of a service and tells the instances of the domain.
pub fn run(
    tables: &Tables,
    service: ServiceId,
    coordinator: &mut Coordinator,
    outputs: &mut Vec<Output>,
) {
    drop_gone_routers(tables, service, coordinator);
    if coordinator.changed && coordinator.recovered {
        coordinator.changed = false;
        grant_slots(tables, service, coordinator);
        spills::return_unused(coordinator);
        set_frontier(tables, service, coordinator);
        grant_reserve(tables, service, coordinator);
    }
    refuse_unknown(tables, service, coordinator, outputs);
    let instances: Vec<InstanceId> = coordinator.routers.keys().copied().collect();
    for instance in instances {
        if instance != tables.options.instance {
            send_due_grant(tables, service, coordinator, instance, outputs);
        }
    }
}

fn refuse_unknown(
    tables: &Tables,
    service: ServiceId,
    coordinator: &mut Coordinator,
    outputs: &mut Vec<Output>,
) {
    for (instance, (registration, relay)) in std::mem::take(&mut coordinator.unregistered) {
        let grant = ShareGrant { service, registration, is_unknown: true, ..ShareGrant::default() };
        send_grant(tables, instance, relay, grant, outputs);
    }
}

fn send_grant(
    tables: &Tables,
    instance: InstanceId,
    relay: Option<InstanceId>,
    grant: ShareGrant,
    outputs: &mut Vec<Output>,
) {
    let Some(member) = tables.members.get(&relay.unwrap_or(instance)) else { return };
    let message = if relay.is_some() {
        Message::RelayedGrant(RelayedGrant { instance, grant })
    } else {
        Message::ShareGrant(grant)
    };
    outputs.push(Output::Send { to: member.address, message });
}

fn drop_gone_routers(tables: &Tables, service: ServiceId, coordinator: &mut Coordinator) {
    let gone: Vec<InstanceId> = coordinator
        .routers
        .iter()
        .filter(|(instance, router)| {
            let is_timed_out = router.last_seen
                + intervals::scaled(tables, tables.options.peer_timeout)
                < tables.now;
            **instance != tables.options.instance
                && tables.members.get(instance).is_none_or(|member| {
                    member.suspected && is_timed_out || router.incarnation < member.incarnation
                })
        })
        .map(|(instance, _)| *instance)
        .collect();
    let estimate = accounts::service_estimate(tables, service);
    for instance in gone {
        share_reports::forget_router(tables, coordinator, instance, estimate);
        coordinator.changed = true;
    }
}

/// `FreeSlots` is an upstream with slots that are not leased.
#[derive(Debug, Clone, Copy)]
struct FreeSlots {
    upstream: UpstreamId,
    slots: u32,
}

fn free_slots(tables: &Tables, service: ServiceId, coordinator: &Coordinator) -> Vec<FreeSlots> {
    let mut free: Vec<FreeSlots> = tables
        .index
        .upstreams
        .get(&service)
        .into_iter()
        .flatten()
        .filter(|upstream| {
            tables.upstreams.get(upstream).is_some_and(|entry| {
                !entry.leaving && entry.failing_until.is_none_or(|until| until <= tables.now)
            })
        })
        .map(|upstream| {
            let leased = coordinator.leased.get(upstream).copied().unwrap_or(0);
            let lent = spills::lent(tables, coordinator, *upstream);
            let slots = window(tables, *upstream).saturating_sub(leased + lent);
            FreeSlots { upstream: *upstream, slots }
        })
        .collect();
    free.retain(|free| free.slots != 0);
    free
}

fn grant_slots(tables: &Tables, service: ServiceId, coordinator: &mut Coordinator) {
    let estimate = accounts::service_estimate(tables, service);
    let mut free = free_slots(tables, service, coordinator);
    let margin = spills::margin(tables, service);
    loop {
        let local = coordinator.order.first().copied();
        let remote = spills::most_lagging(tables, service, coordinator);
        let urgent_remote = remote.filter(|(level, _, _)| {
            local.is_none_or(|(ours, _)| level.saturating_add(margin) < ours)
        });
        let best = free.iter_mut().max_by_key(|free| free.slots).filter(|free| free.slots != 0);
        match (urgent_remote, local, best) {
            (Some((_, domain, team)), _, Some(best)) => {
                best.slots -= 1;
                spills::lend(coordinator, domain, team, best.upstream);
                reindex(coordinator, &tables.teams, team, estimate);
            }
            (None, Some((_, team)), Some(best)) => {
                best.slots -= 1;
                let upstream = best.upstream;
                grant(coordinator, team, upstream);
                reindex(coordinator, &tables.teams, team, estimate);
            }
            (_, Some((_, team)), None) => {
                let Some(upstream) = spills::unused_slot(tables, coordinator) else { return };
                grant(coordinator, team, upstream);
                reindex(coordinator, &tables.teams, team, estimate);
            }
            _ => return,
        }
    }
}

fn grant(coordinator: &mut Coordinator, team: TeamId, upstream: UpstreamId) {
    let Some(entry) = coordinator.teams.get_mut(&team) else { return };
    let unmet = |instance: &InstanceId, waiting: u32| {
        let router = coordinator.routers.get(instance);
        let in_flight = router.and_then(|router| router.outstanding.get(&team)).copied();
        waiting.saturating_sub(in_flight.unwrap_or(0))
    };
    let chosen = entry
        .waiters
        .iter()
        .max_by_key(|(instance, waiting)| unmet(instance, **waiting))
        .map(|(instance, _)| *instance);
    entry.outstanding += 1;
    let Some(router) = chosen.and_then(|instance| coordinator.routers.get_mut(&instance)) else {
        return;
    };
    *router.outstanding.entry(team).or_default() += 1;
    lease_slot(router, upstream);
    *coordinator.leased.entry(upstream).or_default() += 1;
}

fn lease_slot(router: &mut CoordinatedRouter, upstream: UpstreamId) {
    router.slots.entry(upstream).or_default().lease.granted += 1;
    router.urgent = true;
}

fn set_frontier(tables: &Tables, service: ServiceId, coordinator: &mut Coordinator) {
    let local = coordinator.order.first().map(|(level, _)| *level);
    let remote = spills::most_lagging(tables, service, coordinator)
        .map(|(level, _, _)| level.saturating_add(spills::margin(tables, service)));
    coordinator.own_frontier = match (local, remote) {
        (Some(local), Some(remote)) => Some(local.min(remote)),
        (local, remote) => local.or(remote),
    };
    coordinator.frontier = local.or(remote);
    if let Some(frontier) = local {
        coordinator.floor = coordinator.floor.max(frontier);
    }
}

/// Standing quotas spare an uncontended request the round trip to the home.
fn grant_reserve(tables: &Tables, service: ServiceId, coordinator: &mut Coordinator) {
    let keep = keep_slots(tables, service, coordinator);
    let mut free = free_slots(tables, service, coordinator);
    for router in coordinator.routers.values_mut() {
        let all_confirmed = router.slots.values().all(|slot| slot.confirmed == slot.lease.granted);
        if keep == 0 || !all_confirmed || keep / 2 < router.idle_slots {
            continue;
        }
        for _ in router.idle_slots..keep {
            let best = free.iter_mut().max_by_key(|free| free.slots).filter(|free| free.slots != 0);
            let Some(best) = best else { break };
            best.slots -= 1;
            lease_slot(router, best.upstream);
            *coordinator.leased.entry(best.upstream).or_default() += 1;
        }
    }
}

/// `keep_slots` is how many idle slots each instance may keep.
pub fn keep_slots(tables: &Tables, service: ServiceId, coordinator: &Coordinator) -> u32 {
    if coordinator.frontier.is_some() || coordinator.routers.is_empty() {
        return 0;
    }
    let free: u32 = free_slots(tables, service, coordinator).iter().map(|free| free.slots).sum();
    let idle: u32 = coordinator.routers.values().map(|router| router.idle_slots).sum();
    (free + idle) / RESERVE_DIVISOR / coordinator.routers.len() as u32
}

fn send_due_grant(
    tables: &Tables,
    service: ServiceId,
    coordinator: &mut Coordinator,
    instance: InstanceId,
    outputs: &mut Vec<Output>,
) {
    let Some(router) = coordinator.routers.get(&instance) else { return };
    let since = router.sent.map(|sent| tables.now.saturating_sub(sent));
    let waited = |time: Duration| since.is_none_or(|since| time <= since);
    if !waited(intervals::scaled(tables, tables.options.share_spacing)) {
        return;
    }
    let relay = router.relay;
    let is_due = router.urgent
        || waited(intervals::scaled(tables, tables.options.share_interval))
            && has_updates(tables, service, coordinator, router);
    if is_due {
        let grant = build_grant(tables, service, coordinator, instance);
        send_grant(tables, instance, relay, grant, outputs);
    }
}

fn has_updates(
    tables: &Tables,
    service: ServiceId,
    coordinator: &Coordinator,
    router: &CoordinatedRouter,
) -> bool {
    let step = slack(tables, service) / UPDATE_THRESHOLD_DIVISOR;
    let moved = match (coordinator.own_frontier, router.sent_frontier) {
        (Some(now), Some(last_sent)) => step < (now - last_sent).abs(),
        (now, last_sent) => now != last_sent,
    };
    let is_stale =
        router.sent.is_none_or(|sent| sent + intervals::scaled(tables, REFRESH_TIME) <= tables.now);
    let recalls = coordinator
        .remotes
        .values()
        .any(|remote| spills::recalled(tables, coordinator, remote) != 0);
    moved || is_stale || recalls || router.sent_acknowledgement != router.sequence
}

/// `build_grant` builds what an instance should hear, and notes that it was told.
pub fn build_grant(
    tables: &Tables,
    service: ServiceId,
    coordinator: &mut Coordinator,
    instance: InstanceId,
) -> ShareGrant {
    let keep_slots = keep_slots(tables, service, coordinator);
    let frontier = coordinator.frontier;
    let remote_lag = match (coordinator.frontier, coordinator.own_frontier) {
        (Some(frontier), Some(own)) => frontier - own,
        _ => 0,
    };
    let recalling = recalling(tables, coordinator);
    let levels = levels(tables, service, coordinator, instance);
    let Some(router) = coordinator.routers.get_mut(&instance) else { return ShareGrant::default() };
    router.sent = Some(tables.now);
    router.sent_frontier = coordinator.own_frontier;
    router.sent_keep_slots = keep_slots;
    router.sent_acknowledgement = router.sequence;
    router.urgent = false;
    let granted = router
        .slots
        .iter()
        .filter(|(_, slot)| slot.confirmed != slot.lease.granted)
        .map(|(upstream, slot)| GrantLine { upstream: *upstream, count: slot.lease.granted })
        .collect();
    ShareGrant {
        service,
        registration: router.registration,
        is_unknown: false,
        acknowledged_report: router.sequence,
        granted,
        frontier,
        remote_lag,
        keep_slots,
        recalling,
        levels,
    }
}

fn recalling(tables: &Tables, coordinator: &Coordinator) -> Vec<DomainId> {
    coordinator
        .remotes
        .iter()
        .filter(|(_, remote)| spills::recalled(tables, coordinator, remote) != 0)
        .map(|(domain, _)| *domain)
        .collect()
}

fn levels(
    tables: &Tables,
    service: ServiceId,
    coordinator: &mut Coordinator,
    instance: InstanceId,
) -> Vec<LevelLine> {
    let step = slack(tables, service) / UPDATE_THRESHOLD_DIVISOR;
    let base = coordinator.frontier.unwrap_or(0);
    let Some(router) = coordinator.routers.get_mut(&instance) else { return Vec::new() };
    let is_refresh =
        router.sent.is_none_or(|sent| sent + intervals::scaled(tables, REFRESH_TIME) <= tables.now);
    let mut lines = Vec::new();
    for (team, entry) in &mut router.teams {
        if entry.waiting_requests == 0 {
            continue;
        }
        let Some(known) = coordinator.teams.get(team) else { continue };
        let share = share_of(&tables.teams, *team);
        let own = level_of_cost(entry.served_cost as i64, share);
        let level = effective_level(known) - own;
        let is_sent = entry.sent_level.is_some_and(|last_sent| (level - last_sent).abs() <= step);
        if is_sent && !is_refresh {
            continue;
        }
        entry.sent_level = Some(level);
        lines.push(LevelLine { team: *team, level: level - base });
    }
    lines
}

/// `requests_level` is the level of a number of mean requests of a team with share 1.
pub fn requests_level(tables: &Tables, service: ServiceId, requests: f64) -> Level {
    (accounts::service_estimate(tables, service) as f64 * requests) as Level * LEVEL_SCALE
}

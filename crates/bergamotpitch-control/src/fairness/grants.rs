//! Grants: free slots go to the team that lags most, wherever in the domain it waits.

use std::time::Duration;

use bergamotpitch_core::ids::{DomainId, InstanceId, ServiceId, TeamId, UpstreamId};

use crate::capacity::windows::window;
use crate::fairness::home_reports;
use crate::fairness::homes::{Home, HomeRouter, effective_level, reindex};
use crate::fairness::leases::slack;
use crate::fairness::levels::{LEVEL_SCALE, Level, level_of_cost, share_of};
use crate::fairness::share_messages::{GrantLine, LevelLine, PassedGrant, ShareGrant};
use crate::fairness::{accounts, spills};
use crate::membership::intervals;
use crate::messages::Message;
use crate::outputs::Output;
use crate::tables::Tables;

/// Time after which a grant that was not confirmed is sent again, and levels are told anew.
const REFRESH_TIME: Duration = Duration::from_millis(500);

/// Part of the slack by which a number must move to be told.
const TOLD_PART: Level = 4;

/// Weight of free slots in the standing quotas: half stays with the home, so that a team that
/// begins to wait need not wait for quotas to come back.
const STANDING_PART: u32 = 2;

/// `run` grants the free slots of a service and tells the instances of the domain.
pub fn run(tables: &Tables, service: ServiceId, home: &mut Home, outputs: &mut Vec<Output>) {
    drop_gone_routers(tables, service, home);
    if home.changed && home.recovered {
        home.changed = false;
        grant_slots(tables, service, home);
        spills::return_unused(home);
        set_frontier(tables, service, home);
        grant_standing(tables, service, home);
    }
    refuse_unknown(tables, service, home, outputs);
    let instances: Vec<InstanceId> = home.routers.keys().copied().collect();
    for instance in instances {
        if instance != tables.options.instance {
            tell_router(tables, service, home, instance, outputs);
        }
    }
}

fn refuse_unknown(tables: &Tables, service: ServiceId, home: &mut Home, outputs: &mut Vec<Output>) {
    for (instance, (adoption, over)) in std::mem::take(&mut home.unknown) {
        let grant = ShareGrant { service, adoption, is_unknown: true, ..ShareGrant::default() };
        send_grant(tables, instance, over, grant, outputs);
    }
}

fn send_grant(
    tables: &Tables,
    instance: InstanceId,
    over: Option<InstanceId>,
    grant: ShareGrant,
    outputs: &mut Vec<Output>,
) {
    let Some(member) = tables.members.get(&over.unwrap_or(instance)) else { return };
    let message = if over.is_some() {
        Message::PassedGrant(PassedGrant { instance, grant })
    } else {
        Message::ShareGrant(grant)
    };
    outputs.push(Output::Send { to: member.address, message });
}

fn drop_gone_routers(tables: &Tables, service: ServiceId, home: &mut Home) {
    let gone: Vec<InstanceId> = home
        .routers
        .iter()
        .filter(|(instance, router)| {
            let is_silent =
                router.heard + intervals::scaled(tables, tables.options.peer_timeout) < tables.now;
            **instance != tables.options.instance
                && tables.members.get(instance).is_none_or(|member| {
                    member.suspected && is_silent || router.incarnation < member.incarnation
                })
        })
        .map(|(instance, _)| *instance)
        .collect();
    let estimate = accounts::service_estimate(tables, service);
    for instance in gone {
        home_reports::forget_router(tables, home, instance, estimate);
        home.changed = true;
    }
}

/// `Free` is an upstream with slots that are not leased.
#[derive(Debug, Clone, Copy)]
struct Free {
    upstream: UpstreamId,
    slots: u32,
}

fn free_slots(tables: &Tables, service: ServiceId, home: &Home) -> Vec<Free> {
    let mut free: Vec<Free> = tables
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
            let leased = home.leased.get(upstream).copied().unwrap_or(0);
            let lent = spills::lent(tables, home, *upstream);
            let slots = window(tables, *upstream).saturating_sub(leased + lent);
            Free { upstream: *upstream, slots }
        })
        .collect();
    free.retain(|free| free.slots != 0);
    free
}

fn grant_slots(tables: &Tables, service: ServiceId, home: &mut Home) {
    let estimate = accounts::service_estimate(tables, service);
    let mut free = free_slots(tables, service, home);
    let margin = spills::margin(tables, service);
    loop {
        let local = home.order.first().copied();
        let remote = spills::most_lagging(tables, service, home);
        let pressing = remote.filter(|(level, _, _)| {
            local.is_none_or(|(ours, _)| level.saturating_add(margin) < ours)
        });
        let best = free.iter_mut().max_by_key(|free| free.slots).filter(|free| free.slots != 0);
        match (pressing, local, best) {
            (Some((_, domain, team)), _, Some(best)) => {
                best.slots -= 1;
                spills::lend(home, domain, team, best.upstream);
                reindex(home, &tables.teams, team, estimate);
            }
            (None, Some((_, team)), Some(best)) => {
                best.slots -= 1;
                let upstream = best.upstream;
                grant(home, team, upstream);
                reindex(home, &tables.teams, team, estimate);
            }
            (_, Some((_, team)), None) => {
                let Some(upstream) = spills::unused_slot(tables, home) else { return };
                grant(home, team, upstream);
                reindex(home, &tables.teams, team, estimate);
            }
            _ => return,
        }
    }
}

fn grant(home: &mut Home, team: TeamId, upstream: UpstreamId) {
    let Some(entry) = home.teams.get_mut(&team) else { return };
    let unmet = |instance: &InstanceId, waiting: u32| {
        let router = home.routers.get(instance);
        let under_way = router.and_then(|router| router.outstanding.get(&team)).copied();
        waiting.saturating_sub(under_way.unwrap_or(0))
    };
    let chosen = entry
        .waiters
        .iter()
        .max_by_key(|(instance, waiting)| unmet(instance, **waiting))
        .map(|(instance, _)| *instance);
    entry.outstanding += 1;
    let Some(router) = chosen.and_then(|instance| home.routers.get_mut(&instance)) else { return };
    *router.outstanding.entry(team).or_default() += 1;
    lease_slot(router, upstream);
    *home.leased.entry(upstream).or_default() += 1;
}

fn lease_slot(router: &mut HomeRouter, upstream: UpstreamId) {
    router.slots.entry(upstream).or_default().lease.granted += 1;
    router.urgent = true;
}

fn set_frontier(tables: &Tables, service: ServiceId, home: &mut Home) {
    let local = home.order.first().map(|(level, _)| *level);
    let remote = spills::most_lagging(tables, service, home)
        .map(|(level, _, _)| level.saturating_add(spills::margin(tables, service)));
    home.own_frontier = match (local, remote) {
        (Some(local), Some(remote)) => Some(local.min(remote)),
        (local, remote) => local.or(remote),
    };
    home.frontier = local.or(remote);
    if let Some(frontier) = local {
        home.floor = home.floor.max(frontier);
    }
}

/// Standing quotas spare an uncontended request the round trip to the home.
fn grant_standing(tables: &Tables, service: ServiceId, home: &mut Home) {
    let keep = keep_slots(tables, service, home);
    let mut free = free_slots(tables, service, home);
    for router in home.routers.values_mut() {
        let all_confirmed = router.slots.values().all(|slot| slot.confirmed == slot.lease.granted);
        if keep == 0 || !all_confirmed || keep / 2 < router.idle_slots {
            continue;
        }
        for _ in router.idle_slots..keep {
            let best = free.iter_mut().max_by_key(|free| free.slots).filter(|free| free.slots != 0);
            let Some(best) = best else { break };
            best.slots -= 1;
            lease_slot(router, best.upstream);
            *home.leased.entry(best.upstream).or_default() += 1;
        }
    }
}

/// `keep_slots` is how many idle slots each instance may keep.
pub fn keep_slots(tables: &Tables, service: ServiceId, home: &Home) -> u32 {
    if home.frontier.is_some() || home.routers.is_empty() {
        return 0;
    }
    let free: u32 = free_slots(tables, service, home).iter().map(|free| free.slots).sum();
    let idle: u32 = home.routers.values().map(|router| router.idle_slots).sum();
    (free + idle) / STANDING_PART / home.routers.len() as u32
}

fn tell_router(
    tables: &Tables,
    service: ServiceId,
    home: &mut Home,
    instance: InstanceId,
    outputs: &mut Vec<Output>,
) {
    let Some(router) = home.routers.get(&instance) else { return };
    let since = router.sent.map(|sent| tables.now.saturating_sub(sent));
    let waited = |time: Duration| since.is_none_or(|since| time <= since);
    if !waited(intervals::scaled(tables, tables.options.share_spacing)) {
        return;
    }
    let over = router.over;
    let is_due = router.urgent
        || waited(intervals::scaled(tables, tables.options.share_interval))
            && has_news(tables, service, home, router);
    if is_due {
        let grant = build_grant(tables, service, home, instance);
        send_grant(tables, instance, over, grant, outputs);
    }
}

fn has_news(tables: &Tables, service: ServiceId, home: &Home, router: &HomeRouter) -> bool {
    let step = slack(tables, service) / TOLD_PART;
    let moved = match (home.own_frontier, router.sent_frontier) {
        (Some(now), Some(told)) => step < (now - told).abs(),
        (now, told) => now != told,
    };
    let is_stale =
        router.sent.is_none_or(|sent| sent + intervals::scaled(tables, REFRESH_TIME) <= tables.now);
    let recalls = home.remotes.values().any(|remote| spills::recalled(tables, home, remote) != 0);
    moved || is_stale || recalls || router.sent_seen != router.sequence
}

/// `build_grant` builds what an instance should hear, and notes that it was told.
pub fn build_grant(
    tables: &Tables,
    service: ServiceId,
    home: &mut Home,
    instance: InstanceId,
) -> ShareGrant {
    let keep_slots = keep_slots(tables, service, home);
    let frontier = home.frontier;
    let remote_lag = match (home.frontier, home.own_frontier) {
        (Some(frontier), Some(own)) => frontier - own,
        _ => 0,
    };
    let recalling = recalling(tables, home);
    let levels = levels(tables, service, home, instance);
    let Some(router) = home.routers.get_mut(&instance) else { return ShareGrant::default() };
    router.sent = Some(tables.now);
    router.sent_frontier = home.own_frontier;
    router.sent_keep_slots = keep_slots;
    router.sent_seen = router.sequence;
    router.urgent = false;
    let granted = router
        .slots
        .iter()
        .filter(|(_, slot)| slot.confirmed != slot.lease.granted)
        .map(|(upstream, slot)| GrantLine { upstream: *upstream, count: slot.lease.granted })
        .collect();
    ShareGrant {
        service,
        adoption: router.adoption,
        is_unknown: false,
        report_seen: router.sequence,
        granted,
        frontier,
        remote_lag,
        keep_slots,
        recalling,
        levels,
    }
}

fn recalling(tables: &Tables, home: &Home) -> Vec<DomainId> {
    home.remotes
        .iter()
        .filter(|(_, remote)| spills::recalled(tables, home, remote) != 0)
        .map(|(domain, _)| *domain)
        .collect()
}

fn levels(
    tables: &Tables,
    service: ServiceId,
    home: &mut Home,
    instance: InstanceId,
) -> Vec<LevelLine> {
    let step = slack(tables, service) / TOLD_PART;
    let base = home.frontier.unwrap_or(0);
    let Some(router) = home.routers.get_mut(&instance) else { return Vec::new() };
    let is_refresh =
        router.sent.is_none_or(|sent| sent + intervals::scaled(tables, REFRESH_TIME) <= tables.now);
    let mut lines = Vec::new();
    for (team, entry) in &mut router.teams {
        if entry.waiting_requests == 0 {
            continue;
        }
        let Some(known) = home.teams.get(team) else { continue };
        let share = share_of(&tables.teams, *team);
        let own = level_of_cost(entry.served_cost as i64, share);
        let level = effective_level(known) - own;
        let is_told = entry.sent_level.is_some_and(|told| (level - told).abs() <= step);
        if is_told && !is_refresh {
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

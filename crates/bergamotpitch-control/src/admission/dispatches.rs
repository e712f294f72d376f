//! Dispatch: which waiting request goes to which upstream, and when.

use std::collections::BTreeSet;

use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::{RequestId, ServiceId, TeamId, UpstreamId};
use bergamotpitch_core::settings::Policy;

use crate::admission::requests::count_waiting;
use crate::capacity::{placements, windows};
use crate::fairness::accounts::{charge_up_to, team_estimate};
use crate::fairness::leases::{self, Leases, held, return_slots};
use crate::fairness::levels::{Level, level_of_cost, share_of};
use crate::outputs::{Event, Output};
use crate::tables::{QueueKey, RequestState, Tables};

/// `run` hands waiting requests over while an upstream of their service has a free slot, by a
/// baseline policy: each instance uses an equal part of every window.
pub fn run(tables: &mut Tables, outputs: &mut Vec<Output>) {
    tables.queues.retain(|_, queue| !queue.is_empty());
    let services: BTreeSet<ServiceId> = tables.queues.keys().map(|key| key.service).collect();
    for service in services {
        while let Some(upstream) = free_upstream(tables, service) {
            let Some(key) = next_queue(tables, service) else { break };
            dispatch(tables, key, upstream, 0, outputs);
        }
    }
}

/// `run_leased` hands waiting requests over on the slots that this instance holds, and gives back
/// those that no request here may use.
pub fn run_leased(tables: &mut Tables, service: ServiceId, outputs: &mut Vec<Output>) {
    let Some(mut leases) = tables.leases.remove(&service) else { return };
    let mut idle = idle_upstreams(tables, &leases);
    if !idle.is_empty() {
        dispatch_waiting(tables, service, &mut leases, &mut idle, outputs);
        return_idle(&mut leases, &idle);
    }
    tables.leases.insert(service, leases);
}

/// `IdleUpstream` is an upstream with leased slots that run nothing.
#[derive(Debug, Clone, Copy)]
struct IdleUpstream {
    upstream: UpstreamId,
    slots: u32,
    fresh: u32,
    is_own_domain: bool,
    has_failed: bool,
    bound: Option<Level>,
}

impl IdleUpstream {
    fn accepts(&self, level: Level) -> bool {
        self.slots != 0 && (self.fresh != 0 || self.bound.is_none_or(|bound| level <= bound))
    }
}

fn idle_upstreams(tables: &Tables, leases: &Leases) -> Vec<IdleUpstream> {
    let mut idle = Vec::new();
    for (upstream, lease) in &leases.slots {
        let Some(entry) = tables.upstreams.get(upstream) else { continue };
        let slots = held(lease).saturating_sub(entry.running_requests);
        let is_failing = entry.failing_until.is_some_and(|until| tables.now < until);
        if slots == 0 || is_failing {
            continue;
        }
        let is_own_domain = entry.domain == tables.options.domain;
        let bound = if entry.leaving {
            Some(Level::MIN)
        } else {
            leases::bound(tables, entry.service, leases, entry.domain)
        };
        let fresh = lease.fresh.min(slots);
        let has_failed = placements::has_failed(tables, *upstream);
        idle.push(IdleUpstream {
            upstream: *upstream,
            slots,
            fresh,
            is_own_domain,
            has_failed,
            bound,
        });
    }
    idle
}

fn dispatch_waiting(
    tables: &mut Tables,
    service: ServiceId,
    leases: &mut Leases,
    idle: &mut [IdleUpstream],
    outputs: &mut Vec<Output>,
) {
    let mut order: BTreeSet<(Level, TeamId)> = tables
        .queues
        .iter()
        .filter(|(key, queue)| key.service == service && !queue.is_empty())
        .map(|(key, _)| (leases::level(tables, leases, *key), key.team))
        .collect();
    while let Some((level, team)) = order.pop_first() {
        let key = QueueKey { service, team };
        // What has failed comes last, and slots of the own domain first: those of another are paid
        // for by the byte.
        let usable = idle.iter().enumerate().filter(|(_, idle)| idle.accepts(level));
        let Some((index, _)) =
            usable.max_by_key(|(_, idle)| (!idle.has_failed, idle.is_own_domain, idle.slots))
        else {
            return;
        };
        let chosen = preferred_index(tables, key, idle, level).unwrap_or(index);
        let upstream = idle[chosen].upstream;
        let Some(queue) = tables.queues.get(&key) else { continue };
        let entry = leases.teams.entry(team).or_default();
        let queue_index =
            placements::choose_position(tables, service, upstream, queue, entry.skipped);
        entry.skipped = if queue_index == 0 { 0 } else { entry.skipped + 1 };
        let before = tables.accounts.get(&key).copied().unwrap_or(0);
        dispatch(tables, key, upstream, queue_index, outputs);
        idle[chosen].slots -= 1;
        idle[chosen].fresh = idle[chosen].fresh.saturating_sub(1);
        if let Some(lease) = leases.slots.get_mut(&upstream) {
            lease.fresh = lease.fresh.saturating_sub(1);
        }
        let charged = tables.accounts.get(&key).copied().unwrap_or(0) as i64 - before as i64;
        if tables.queues.get(&key).is_some_and(|queue| !queue.is_empty()) {
            let added_level = level_of_cost(charged, share_of(&tables.teams, team));
            order.insert((level + added_level, team));
        }
    }
}

/// `preferred_index` is the idle upstream that likely holds the prefix of a team's oldest request.
fn preferred_index(
    tables: &Tables,
    key: QueueKey,
    idle: &[IdleUpstream],
    level: Level,
) -> Option<usize> {
    if !tables.options.prefix_placement {
        return None;
    }
    let request = tables.queues.get(&key)?.front()?;
    let prefix = tables.requests.get(request)?.arrival.prefix;
    let upstream = placements::preferred(tables, key.service, prefix)?;
    idle.iter().position(|idle| idle.upstream == upstream && idle.accepts(level))
}

fn return_idle(leases: &mut Leases, idle: &[IdleUpstream]) {
    let is_contended = leases.frontier.is_some();
    let mut kept = 0;
    for idle in idle {
        let keep = if is_contended || !idle.is_own_domain || idle.bound == Some(Level::MIN) {
            0
        } else {
            // Twice the quota may stay, so that quotas do not travel back and forth.
            (leases.keep_slots * 2).saturating_sub(kept).min(idle.slots)
        };
        kept += keep;
        if keep < idle.slots {
            return_slots(leases, idle.upstream, idle.slots - keep);
        }
    }
}

fn dispatch(
    tables: &mut Tables,
    key: QueueKey,
    upstream: UpstreamId,
    queue_index: usize,
    outputs: &mut Vec<Output>,
) {
    let Some(request) = tables.queues.get_mut(&key).and_then(|queue| queue.remove(queue_index))
    else {
        return;
    };
    let estimate = team_estimate(tables, key);
    let Some(entry) = tables.requests.get_mut(&request) else { return };
    entry.attempts += 1;
    entry.state = RequestState::Running { upstream };
    entry.handed_over = tables.now;
    let attempt = entry.attempts;
    let arrival = entry.arrival.clone();
    count_waiting(tables, &arrival, false);
    charge_up_to(tables, request, estimate.max(arrival.known_cost));
    if let Some(entry) = tables.upstreams.get_mut(&upstream) {
        entry.running_requests += 1;
    }
    emit_dispatch(request, key.team, upstream, outputs);
    outputs.push(Output::Dispatch { request, upstream, attempt });
}

fn emit_dispatch(
    request: RequestId,
    team: TeamId,
    upstream: UpstreamId,
    outputs: &mut Vec<Output>,
) {
    let event = Event::of_kind(EventKind::RequestDispatched)
        .with_request(request)
        .with_team(team)
        .with_upstream(upstream);
    outputs.push(Output::Emit(event));
}

fn free_upstream(tables: &Tables, service: ServiceId) -> Option<UpstreamId> {
    let sharers = domain_instances(tables);
    tables
        .index
        .upstreams
        .get(&service)?
        .iter()
        .filter_map(|id| tables.upstreams.get(id).map(|entry| (id, entry)))
        .filter(|(_, entry)| {
            !entry.leaving && entry.failing_until.is_none_or(|until| until <= tables.now)
        })
        .filter(|(id, entry)| {
            entry.running_requests < windows::window(tables, **id).div_ceil(sharers)
        })
        .min_by_key(|(id, entry)| (entry.running_requests, **id))
        .map(|(id, _)| *id)
}

fn domain_instances(tables: &Tables) -> u32 {
    let others = tables
        .members
        .values()
        .filter(|member| member.domain == tables.options.domain && !member.suspected)
        .count();
    others as u32 + 1
}

fn next_queue(tables: &Tables, service: ServiceId) -> Option<QueueKey> {
    let waiting =
        tables.queues.iter().filter(|(key, queue)| key.service == service && !queue.is_empty());
    match tables.options.policy {
        Policy::FirstCome => {
            waiting.min_by_key(|(_, queue)| queue.front().copied()).map(|(key, _)| *key)
        }
        Policy::Fair | Policy::LocalFair => {
            waiting.map(|(key, _)| (local_level(tables, *key), *key)).min().map(|(_, key)| key)
        }
    }
}

fn local_level(tables: &Tables, key: QueueKey) -> Level {
    let service = tables.accounts.get(&key).copied().unwrap_or(0);
    level_of_cost(service as i64, share_of(&tables.teams, key.team))
}

//! Dispatch: which waiting request goes to which upstream, and when.

use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::{RequestId, ServiceId, TeamId, UpstreamId, id_of_name};
use bergamotpitch_core::settings::Policy;
use bergamotpitch_core::units::{CostUnits, VirtualService};

use crate::outputs::{Event, Output};
use crate::requests::{charge_up_to, count_waiting};
use crate::tables::{QueueKey, RequestState, Tables};

/// `run` hands waiting requests over while an upstream of their service has a free slot.
pub fn run(tables: &mut Tables, outputs: &mut Vec<Output>) {
    let mut services: Vec<ServiceId> = tables
        .queues
        .iter()
        .filter(|(_, queue)| !queue.is_empty())
        .map(|(key, _)| key.service)
        .collect();
    services.sort_unstable();
    services.dedup();
    for service in services {
        while let Some(upstream) = free_upstream(tables, service) {
            let Some(key) = next_queue(tables, service) else { break };
            hand_over(tables, key, upstream, outputs);
        }
    }
}

fn hand_over(tables: &mut Tables, key: QueueKey, upstream: UpstreamId, outputs: &mut Vec<Output>) {
    let Some(request) = tables.queues.get_mut(&key).and_then(|queue| queue.pop_front()) else {
        return;
    };
    let estimate = first_estimate(tables, key.service);
    let Some(entry) = tables.requests.get_mut(&request) else { return };
    entry.attempts += 1;
    entry.state = RequestState::Running { upstream };
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
        .upstreams
        .iter()
        .filter(|(_, entry)| entry.service == service && entry.domain == tables.options.domain)
        .filter(|(_, entry)| {
            !entry.leaving && entry.failing_until.is_none_or(|until| until <= tables.now)
        })
        .filter(|(_, entry)| entry.running_requests < entry.slots.div_ceil(sharers))
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
        Policy::Fair | Policy::LocalFair => waiting
            .map(|(key, _)| (virtual_service(tables, *key), *key))
            .min_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)))
            .map(|(_, key)| key),
    }
}

fn virtual_service(tables: &Tables, key: QueueKey) -> VirtualService {
    let share = tables.teams.get(&key.team).map_or(1, |team| team.share);
    let service = tables.accounts.get(&key).copied().unwrap_or(0);
    service as VirtualService / f64::from(share)
}

fn first_estimate(tables: &Tables, service: ServiceId) -> CostUnits {
    let Some(accepted) = &tables.sheet else { return 0 };
    let entry = accepted.sheet.services.iter().find(|entry| id_of_name(&entry.name) == service);
    entry.map_or(0, |entry| entry.first_estimate_cost)
}

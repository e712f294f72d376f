//! Requests: their queues, bounds and deadlines, and what follows from the end of an attempt.

use std::time::Duration;

use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::{RequestId, UpstreamId};
use bergamotpitch_core::refusals::{Ran, RefusalReason};
use bergamotpitch_core::units::CostUnits;

use crate::inputs::{Arrival, AttemptOutcome};
use crate::outputs::{Event, Output, Refusal};
use crate::tables::{QueueKey, Request, RequestState, Tables};
use crate::{accounts, upstreams};

/// Attempts that one request may have.
const ATTEMPT_LIMIT: u32 = 3;

/// Time after which a refused caller should come back when nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// `apply_arrival` queues a request, or refuses it at once.
pub fn apply_arrival(tables: &mut Tables, arrival: Arrival, outputs: &mut Vec<Output>) {
    let event = Event::of_kind(EventKind::RequestArrived)
        .with_request(arrival.request)
        .with_team(arrival.team);
    outputs.push(Output::Emit(event));
    if let Some(reason) = admission_refusal(tables, &arrival) {
        refuse(arrival.request, reason, Ran::NotRun, outputs);
        return;
    }
    let key = QueueKey { service: arrival.service, team: arrival.team };
    tables.queues.entry(key).or_default().push_back(arrival.request);
    count_waiting(tables, &arrival, true);
    let request = Request {
        arrived: tables.now,
        attempts: 0,
        ran: Ran::NotRun,
        state: RequestState::Queued,
        charged_cost: 0,
        arrival,
    };
    tables.requests.insert(request.arrival.request, request);
}

fn admission_refusal(tables: &Tables, arrival: &Arrival) -> Option<RefusalReason> {
    if tables.sheet.is_none() {
        return Some(RefusalReason::NotReady);
    }
    if tables.draining {
        return Some(RefusalReason::Draining);
    }
    let Some(team) = tables.teams.get(&arrival.team) else {
        return Some(RefusalReason::UnknownTeam);
    };
    if !upstreams::has_live(tables, arrival.service) {
        return Some(RefusalReason::NoUpstream);
    }
    // Without a bound one team's flood would fill the memory that all teams share.
    let is_full = team.queue_limit_requests <= team.waiting_requests
        || team.queue_limit_bytes < team.waiting_bytes + arrival.body_bytes;
    is_full.then_some(RefusalReason::QueueFull)
}

/// `apply_caller_left` forgets a request whose caller has gone.
pub fn apply_caller_left(tables: &mut Tables, request: RequestId, outputs: &mut Vec<Output>) {
    let Some(entry) = take_out(tables, request) else { return };
    let event =
        Event::of_kind(EventKind::CallerLeft).with_request(request).with_team(entry.arrival.team);
    outputs.push(Output::Emit(event));
}

/// `apply_progress` trues up the charge of a running request.
pub fn apply_progress(tables: &mut Tables, request: RequestId, cost: CostUnits) {
    let Some(entry) = tables.requests.get(&request) else { return };
    // The estimate stays charged until the real cost is above it; the end settles the rest.
    if entry.charged_cost < cost {
        accounts::charge_up_to(tables, request, cost);
    }
}

/// `apply_attempt_end` settles the charge and answers, retries or refuses.
pub fn apply_attempt_end(
    tables: &mut Tables,
    request: RequestId,
    outcome: AttemptOutcome,
    cost: CostUnits,
    outputs: &mut Vec<Output>,
) {
    let Some(entry) = tables.requests.get(&request) else { return };
    let RequestState::Running { upstream } = entry.state else { return };
    let repeatable = entry.arrival.repeatable;
    if outcome == AttemptOutcome::Answered {
        accounts::settle(tables, request, cost);
    } else {
        accounts::charge_up_to(tables, request, cost);
    }
    match outcome {
        AttemptOutcome::Answered => {
            end_answered(tables, request, upstream, outputs);
        }
        AttemptOutcome::ProvedUnrun => {
            upstreams::mark_failing(tables, upstream, outputs);
            retry_or_refuse(tables, request, Ran::NotRun, outputs);
        }
        AttemptOutcome::FailedBeforeAnswer | AttemptOutcome::Garbage if repeatable => {
            upstreams::mark_failing(tables, upstream, outputs);
            retry_or_refuse(tables, request, Ran::Unknown, outputs);
        }
        AttemptOutcome::FailedBeforeAnswer | AttemptOutcome::Garbage => {
            upstreams::mark_failing(tables, upstream, outputs);
            take_out(tables, request);
            refuse(request, reason_of_outcome(outcome), Ran::Unknown, outputs);
        }
        AttemptOutcome::AnswerCut => {
            take_out(tables, request);
            let event =
                Event::of_kind(EventKind::AnswerCut).with_request(request).with_upstream(upstream);
            outputs.push(Output::Emit(event));
        }
    }
}

fn reason_of_outcome(outcome: AttemptOutcome) -> RefusalReason {
    match outcome {
        AttemptOutcome::Garbage => RefusalReason::UpstreamGarbage,
        _ => RefusalReason::UpstreamFailed,
    }
}

fn end_answered(
    tables: &mut Tables,
    request: RequestId,
    upstream: UpstreamId,
    outputs: &mut Vec<Output>,
) {
    take_out(tables, request);
    let event =
        Event::of_kind(EventKind::RequestAnswered).with_request(request).with_upstream(upstream);
    outputs.push(Output::Emit(event));
}

fn retry_or_refuse(
    tables: &mut Tables,
    request: RequestId,
    attempt_ran: Ran,
    outputs: &mut Vec<Output>,
) {
    let Some(entry) = take_out(tables, request) else { return };
    // An attempt that may have run stays possible whatever later attempts prove. Without this the
    // refusal of a request that waits for its retry would say "not run" of one that ran.
    let ran = if attempt_ran == Ran::Unknown { Ran::Unknown } else { entry.ran };
    if ATTEMPT_LIMIT <= entry.attempts || tables.draining {
        refuse(request, RefusalReason::UpstreamFailed, ran, outputs);
        return;
    }
    outputs.push(Output::Emit(Event::of_kind(EventKind::RequestRetried).with_request(request)));
    let key = QueueKey { service: entry.arrival.service, team: entry.arrival.team };
    tables.queues.entry(key).or_default().push_front(request);
    count_waiting(tables, &entry.arrival, true);
    let queued = Request { ran, state: RequestState::Queued, charged_cost: 0, ..entry };
    tables.requests.insert(request, queued);
}

/// `apply_drain` stops taking requests in and gives up those that wait.
pub fn apply_drain(tables: &mut Tables, outputs: &mut Vec<Output>) {
    tables.draining = true;
    outputs.push(Output::Emit(Event::of_kind(EventKind::DrainBegan)));
    let mut waiting: Vec<RequestId> = tables
        .requests
        .iter()
        .filter(|(_, entry)| entry.state == RequestState::Queued)
        .map(|(request, _)| *request)
        .collect();
    waiting.sort_unstable();
    for request in waiting {
        let Some(entry) = take_out(tables, request) else { continue };
        refuse(request, RefusalReason::Draining, entry.ran, outputs);
    }
}

/// `run` gives up requests whose deadline passed while they waited.
pub fn run(tables: &mut Tables, outputs: &mut Vec<Output>) {
    let now = tables.now;
    let mut late: Vec<RequestId> = tables
        .requests
        .iter()
        .filter(|(_, entry)| entry.state == RequestState::Queued && entry.arrival.deadline <= now)
        .map(|(request, _)| *request)
        .collect();
    late.sort_unstable();
    for request in late {
        let Some(entry) = take_out(tables, request) else { continue };
        refuse(request, RefusalReason::DeadlinePassed, entry.ran, outputs);
    }
}

fn refuse(request: RequestId, reason: RefusalReason, ran: Ran, outputs: &mut Vec<Output>) {
    let event = Event::of_kind(EventKind::RequestRefused)
        .with_request(request)
        .with_detail(reason.to_string());
    outputs.push(Output::Emit(event));
    let refusal = Refusal { reason, ran, retry_after: RETRY_AFTER };
    outputs.push(Output::Refuse { request, refusal });
}

fn take_out(tables: &mut Tables, request: RequestId) -> Option<Request> {
    let entry = tables.requests.remove(&request)?;
    match entry.state {
        RequestState::Queued => {
            let key = QueueKey { service: entry.arrival.service, team: entry.arrival.team };
            if let Some(queue) = tables.queues.get_mut(&key) {
                queue.retain(|waiting| *waiting != request);
            }
            count_waiting(tables, &entry.arrival, false);
        }
        RequestState::Running { upstream } => {
            if let Some(upstream) = tables.upstreams.get_mut(&upstream) {
                upstream.running_requests = upstream.running_requests.saturating_sub(1);
            }
        }
    }
    Some(entry)
}

/// `count_waiting` adds a request to what its team has waiting here, or takes it away.
pub fn count_waiting(tables: &mut Tables, arrival: &Arrival, waits: bool) {
    let Some(team) = tables.teams.get_mut(&arrival.team) else { return };
    if waits {
        team.waiting_requests += 1;
        team.waiting_bytes += arrival.body_bytes;
    } else {
        team.waiting_requests = team.waiting_requests.saturating_sub(1);
        team.waiting_bytes = team.waiting_bytes.saturating_sub(arrival.body_bytes);
    }
}

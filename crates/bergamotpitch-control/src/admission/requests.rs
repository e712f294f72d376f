//! Requests: their queues, bounds and deadlines, and what follows from the end of an attempt.

use std::time::Duration;

use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::{RequestId, UpstreamId};
use bergamotpitch_core::refusals::{Ran, RefusalReason};
use bergamotpitch_core::units::{CostUnits, Timestamp};

use crate::admission::limits;
use crate::capacity::upstreams;
use crate::fairness::accounts;
use crate::inputs::{Arrival, AttemptOutcome};
use crate::outputs::{Event, Output, Refusal};
use crate::tables::{QueueKey, Request, RequestState, Tables};

/// Attempts that one request may have when each of them may have run.
const ATTEMPT_LIMIT: u32 = 3;

/// Attempts that one request may have when some were proved not to have run.
const UNRUN_ATTEMPT_LIMIT: u32 = 5;

/// Shortest silence of an upstream that counts against it when a deadline passes there.
const MIN_UNRESPONSIVE_TIME: Duration = Duration::from_millis(50);

/// Time after which a refused caller should come back when nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `apply_arrival` queues a request, or refuses it at once.
pub fn apply_arrival(tables: &mut Tables, arrival: Arrival, outputs: &mut Vec<Output>) {
    let request = arrival.request;
    let event =
        Event::of_kind(EventKind::RequestArrived).with_request(request).with_team(arrival.team);
    outputs.push(Output::Emit(event));
    if let Some((reason, wait)) = admission_refusal(tables, &arrival) {
        refuse(tables, request, reason, Ran::NotRun, wait, outputs);
        return;
    }
    let key = key_of_arrival(&arrival);
    let percent = tables.teams.get(&arrival.team).map_or(0, |team| team.retry_budget_percent);
    limits::refill_retry_budget(tables, key, percent);
    tables.queues.entry(key).or_default().push_back(request);
    count_waiting(tables, &arrival, true);
    let entry = Request {
        arrived: tables.now,
        attempts: 0,
        state: RequestState::Queued,
        handed_over: tables.now,
        charged_cost: 0,
        ran: Ran::NotRun,
        paused_until: None,
        arrival,
    };
    tables.requests.insert(request, entry);
}

fn admission_refusal(tables: &Tables, arrival: &Arrival) -> Option<(RefusalReason, Duration)> {
    if tables.sheet.is_none() {
        return Some((RefusalReason::NotReady, DEFAULT_RETRY_AFTER));
    }
    if tables.refusing_from.is_some_and(|from| from <= tables.now) {
        return Some((RefusalReason::Draining, Duration::ZERO));
    }
    let Some(team) = tables.teams.get(&arrival.team) else {
        return Some((RefusalReason::UnknownTeam, DEFAULT_RETRY_AFTER));
    };
    if !upstreams::has_live(tables, arrival.service) {
        return Some((RefusalReason::NoUpstream, DEFAULT_RETRY_AFTER));
    }
    let wait = limits::expected_wait(tables, key_of_arrival(arrival));
    // Without a bound one team's flood would fill the memory that all teams share.
    let is_full = team.queue_limit_requests <= team.waiting_requests
        || team.queue_limit_bytes < team.waiting_bytes + arrival.body_bytes;
    if is_full {
        // By then a quarter of the queue has gone, so that callers do not come back in vain.
        return Some((RefusalReason::QueueFull, wait.unwrap_or(DEFAULT_RETRY_AFTER) / 4));
    }
    // A request that would only wait for its deadline keeps its caller from asking elsewhere, and
    // is refused in the end all the same.
    let remaining = arrival.deadline.saturating_sub(tables.now);
    let excess = wait.and_then(|wait| wait.checked_sub(remaining)).filter(|wait| !wait.is_zero());
    excess.map(|excess| (RefusalReason::DeadlineUnreachable, excess))
}

/// `apply_caller_left` forgets a request whose caller has gone.
pub fn apply_caller_left(tables: &mut Tables, request: RequestId, outputs: &mut Vec<Output>) {
    let Some(entry) = remove_request(tables, request) else { return };
    let event =
        Event::of_kind(EventKind::CallerLeft).with_request(request).with_team(entry.arrival.team);
    outputs.push(Output::Emit(event));
}

/// `apply_first_byte` notes that the upstream of a running request answers.
pub fn apply_first_byte(tables: &mut Tables, request: RequestId) {
    let state = tables.requests.get(&request).map(|entry| entry.state);
    if let Some(RequestState::Running { upstream }) = state {
        upstreams::record_answer(tables, upstream);
    }
}

/// `apply_progress` trues up the charge of a running request.
pub fn apply_progress(tables: &mut Tables, request: RequestId, cost: CostUnits) {
    apply_first_byte(tables, request);
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
    if outcome == AttemptOutcome::Answered {
        accounts::charge_final_cost(tables, request, cost);
    } else {
        accounts::charge_up_to(tables, request, cost);
    }
    match outcome {
        AttemptOutcome::Answered => {
            upstreams::mark_healthy(tables, upstream, outputs);
            end(tables, request, upstream, EventKind::RequestAnswered, outputs);
        }
        AttemptOutcome::AnswerCut => {
            end(tables, request, upstream, EventKind::AnswerCut, outputs);
        }
        AttemptOutcome::ProvedUnrun => {
            upstreams::mark_failing(tables, upstream, outputs);
            requeue_unrun(tables, request, outputs);
        }
        AttemptOutcome::DeadlinePassed => end_at_deadline(tables, request, upstream, outputs),
        AttemptOutcome::FailedBeforeAnswer | AttemptOutcome::Garbage => {
            upstreams::mark_failing(tables, upstream, outputs);
            retry(tables, request, reason_of_outcome(outcome), outputs);
        }
    }
}

fn reason_of_outcome(outcome: AttemptOutcome) -> RefusalReason {
    match outcome {
        AttemptOutcome::Garbage => RefusalReason::UpstreamGarbage,
        _ => RefusalReason::UpstreamFailed,
    }
}

fn end(
    tables: &mut Tables,
    request: RequestId,
    upstream: UpstreamId,
    kind: EventKind,
    outputs: &mut Vec<Output>,
) {
    remove_request(tables, request);
    outputs.push(Output::Emit(Event::of_kind(kind).with_request(request).with_upstream(upstream)));
}

/// `end_at_deadline` gives up a request whose deadline passed at an upstream.
///
/// That is evidence against an upstream that has sent nothing to anyone since, for long enough. One
/// that answers others is only busy: paused for each caller in a hurry, it would stand idle while
/// work waits.
fn end_at_deadline(
    tables: &mut Tables,
    request: RequestId,
    upstream: UpstreamId,
    outputs: &mut Vec<Output>,
) {
    let Some(mut entry) = remove_request(tables, request) else { return };
    entry.ran = Ran::Unknown;
    let was_short = tables.now < entry.handed_over + MIN_UNRESPONSIVE_TIME;
    if was_short || upstreams::has_answered_since(tables, upstream, entry.handed_over) {
        give_up(tables, &entry, RefusalReason::DeadlinePassed, outputs);
        return;
    }
    upstreams::mark_failing(tables, upstream, outputs);
    give_up(tables, &entry, RefusalReason::UpstreamFailed, outputs);
}

/// `requeue_unrun` queues a request that provably did not run. It costs no retry: the upstream that
/// turned it away gets nothing more until its pause is over.
fn requeue_unrun(tables: &mut Tables, request: RequestId, outputs: &mut Vec<Output>) {
    let Some(entry) = remove_request(tables, request) else { return };
    if UNRUN_ATTEMPT_LIMIT <= entry.attempts {
        give_up(tables, &entry, RefusalReason::UpstreamFailed, outputs);
        return;
    }
    requeue(tables, entry, None, outputs);
}

/// `retry` queues a request whose failed attempt may have run, if that may be repeated.
fn retry(
    tables: &mut Tables,
    request: RequestId,
    reason: RefusalReason,
    outputs: &mut Vec<Output>,
) {
    let Some(mut entry) = remove_request(tables, request) else { return };
    // From here on "not run" would be a lie, however long the request waits again.
    entry.ran = Ran::Unknown;
    if !entry.arrival.repeatable || ATTEMPT_LIMIT <= entry.attempts {
        give_up(tables, &entry, reason, outputs);
        return;
    }
    if entry.arrival.deadline <= tables.now {
        give_up(tables, &entry, RefusalReason::DeadlinePassed, outputs);
        return;
    }
    if !limits::take_retry(tables, key_of_arrival(&entry.arrival)) {
        give_up(tables, &entry, RefusalReason::RetryBudgetSpent, outputs);
        return;
    }
    let until = tables.now + limits::retry_pause(tables, request, entry.attempts);
    requeue(tables, entry, Some(until), outputs);
}

fn requeue(
    tables: &mut Tables,
    entry: Request,
    paused_until: Option<Timestamp>,
    outputs: &mut Vec<Output>,
) {
    let request = entry.arrival.request;
    outputs.push(Output::Emit(Event::of_kind(EventKind::RequestRetried).with_request(request)));
    count_waiting(tables, &entry.arrival, true);
    match paused_until {
        Some(until) => {
            tables.limits.pauses.insert((until, request));
        }
        None => {
            let key = key_of_arrival(&entry.arrival);
            tables.queues.entry(key).or_default().push_front(request);
        }
    }
    let queued = Request { state: RequestState::Queued, charged_cost: 0, paused_until, ..entry };
    tables.requests.insert(request, queued);
}

/// `apply_drain` gives up duties at once and stops taking requests in after a grace, within which
/// the balancer notices. What waits goes on to be served: it came before the drain, and its caller
/// would lose its place elsewhere.
pub fn apply_drain(tables: &mut Tables, outputs: &mut Vec<Output>) {
    if tables.draining {
        return;
    }
    tables.draining = true;
    tables.refusing_from = Some(tables.now + tables.options.drain_grace);
    outputs.push(Output::Emit(Event::of_kind(EventKind::DrainBegan)));
}

/// `apply_drain_end` gives up what still waits: the process stops soon.
pub fn apply_drain_end(tables: &mut Tables, outputs: &mut Vec<Output>) {
    tables.refusing_from = Some(tables.now);
    let mut waiting: Vec<RequestId> =
        tables.limits.deadlines.iter().map(|(_, request)| *request).collect();
    waiting.sort_unstable();
    for request in waiting {
        let Some(entry) = remove_request(tables, request) else { continue };
        give_up(tables, &entry, RefusalReason::Draining, outputs);
    }
}

/// `run` gives up requests whose deadline passed while they waited, and ends pauses.
///
/// Both are found by an index: a scan of all requests in each tick would cost more the longer the
/// queues are, which is when the control thread has least time.
pub fn run(tables: &mut Tables, outputs: &mut Vec<Output>) {
    while let Some((deadline, request)) = tables.limits.deadlines.first().copied()
        && deadline <= tables.now
    {
        let Some(entry) = remove_request(tables, request) else {
            tables.limits.deadlines.pop_first();
            continue;
        };
        give_up(tables, &entry, RefusalReason::DeadlinePassed, outputs);
    }
    while let Some((until, request)) = tables.limits.pauses.first().copied()
        && until <= tables.now
    {
        tables.limits.pauses.pop_first();
        let Some(entry) = tables.requests.get_mut(&request) else { continue };
        entry.paused_until = None;
        let key = key_of_arrival(&entry.arrival);
        tables.queues.entry(key).or_default().push_front(request);
    }
    limits::sweep(tables);
}

/// `give_up` refuses a request that was taken out, with the truth of whether it may have run.
fn give_up(tables: &Tables, entry: &Request, reason: RefusalReason, outputs: &mut Vec<Output>) {
    let wait = match reason {
        RefusalReason::Draining => Duration::ZERO,
        _ => limits::expected_wait(tables, key_of_arrival(&entry.arrival))
            .unwrap_or(DEFAULT_RETRY_AFTER),
    };
    refuse(tables, entry.arrival.request, reason, entry.ran, wait, outputs);
}

fn refuse(
    tables: &Tables,
    request: RequestId,
    reason: RefusalReason,
    ran: Ran,
    wait: Duration,
    outputs: &mut Vec<Output>,
) {
    let event = Event::of_kind(EventKind::RequestRefused)
        .with_request(request)
        .with_detail(reason.to_string());
    outputs.push(Output::Emit(event));
    let retry_after = limits::retry_after(tables, request, wait);
    outputs.push(Output::Refuse { request, refusal: Refusal { reason, ran, retry_after } });
}

fn remove_request(tables: &mut Tables, request: RequestId) -> Option<Request> {
    let entry = tables.requests.remove(&request)?;
    match entry.state {
        RequestState::Queued => {
            unqueue(tables, &entry);
            uncount_waiting(tables, &entry.arrival);
        }
        RequestState::Running { upstream } => {
            if let Some(upstream) = tables.upstreams.get_mut(&upstream) {
                upstream.running_requests = upstream.running_requests.saturating_sub(1);
            }
        }
    }
    Some(entry)
}

fn unqueue(tables: &mut Tables, entry: &Request) {
    let request = entry.arrival.request;
    if let Some(until) = entry.paused_until {
        tables.limits.pauses.remove(&(until, request));
        return;
    }
    let key = key_of_arrival(&entry.arrival);
    let Some(queue) = tables.queues.get_mut(&key) else { return };
    if queue.front() == Some(&request) {
        queue.pop_front();
    } else {
        queue.retain(|waiting| *waiting != request);
    }
}

/// `count_waiting` adds a request to what its team has waiting here; when it no longer waits because
/// it was handed over, it is taken away and the queue's pace is learned.
pub fn count_waiting(tables: &mut Tables, arrival: &Arrival, waits: bool) {
    if !waits {
        uncount_waiting(tables, arrival);
        let arrived = tables.requests.get(&arrival.request).map(|entry| entry.arrived);
        limits::record_dispatch(tables, key_of_arrival(arrival), arrived.unwrap_or(tables.now));
        return;
    }
    tables.limits.deadlines.insert((arrival.deadline, arrival.request));
    let Some(team) = tables.teams.get_mut(&arrival.team) else { return };
    team.waiting_requests += 1;
    team.waiting_bytes += arrival.body_bytes;
}

fn uncount_waiting(tables: &mut Tables, arrival: &Arrival) {
    tables.limits.deadlines.remove(&(arrival.deadline, arrival.request));
    let Some(team) = tables.teams.get_mut(&arrival.team) else { return };
    team.waiting_requests = team.waiting_requests.saturating_sub(1);
    team.waiting_bytes = team.waiting_bytes.saturating_sub(arrival.body_bytes);
}

fn key_of_arrival(arrival: &Arrival) -> QueueKey {
    QueueKey { service: arrival.service, team: arrival.team }
}

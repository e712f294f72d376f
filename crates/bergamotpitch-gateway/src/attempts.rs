//! Attempts: a call at one upstream after another, until one answers.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::catalogs::RouteKind;
use bergamotpitch_control::traffic::evidences::Evidence;
use bergamotpitch_control::traffic::placement_requests::Placement;
use bergamotpitch_control::traffic::registries::UpstreamKey;
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::refusals::RefusalReason;
use bergamotpitch_core::units::Timestamp;
use displaydoc::Display;
use http::header::CONTENT_LENGTH;
use http::{Response, StatusCode, Version};

use crate::answer_ends::AnswerEnd;
use crate::bodies::{AnswerBody, EventSource, StreamAnswer, is_event_stream, read_whole};
use crate::calls::{BUSY_RETURN, Call};
use crate::crashes::{AnswerProgress, BrokenAttempt, GivenAnswer};
use crate::drains::{Stage, unfinished};
use crate::exchanges::{self, Answer, Failure, Reuse};
use crate::gateways::Gateway;
use crate::headers::remove_hop_headers;
use crate::logs::{SharedParts, decision};
use crate::origins::bind_resumption;
use crate::placements::{PlacedRequest, Run, has_place, place};
use crate::refusals::Refusal;

/// `UNREACHABLE_LIMIT` bounds how many upstreams are tried that take no connection; such a try does
/// not count as an attempt, as nothing was sent.
const UNREACHABLE_LIMIT: usize = 3;

/// `DOUBTFUL_TOLD_MAX` bounds how many upstreams a dispatcher is told of at which a request is not tried: they share a
/// datagram.
const DOUBTFUL_TOLD_MAX: usize = 32;

/// `WITHDRAWN_LIMIT` bounds how many places are given up that a request may not have any more when it is
/// about to be sent; such a try does not count as an attempt either.
const WITHDRAWN_LIMIT: usize = 3;

/// `PATIENCE_FACTOR` is how many times the predicted time an upstream may take before a request
/// that can be repeated is sent to another one.
const PATIENCE_FACTOR: f64 = 4.0;

/// `OTHER_PLACE_INTERVAL` is the time between two looks for another upstream.
const OTHER_PLACE_INTERVAL: Duration = Duration::from_millis(100);

/// `LEAST_PATIENCE` is the least such time, as a part of the target latency.
const LEAST_PATIENCE: f64 = 1.2;

/// `follow` sends a call to one upstream after another until there is an answer to pass on.
///
/// # Errors
///
/// Refuses the call when none has room in time, and when its last attempt failed.
pub(crate) async fn follow(
    gateway: &Rc<Gateway>,
    call: Rc<Call>,
) -> Result<Response<AnswerBody>, Refusal> {
    let served = async {
        let result = try_upstreams(gateway, &call).await;
        if result.is_err() {
            gateway.wait_until_told(&call).await;
        }
        result
    };
    tokio::select! {
        biased;
        result = served => result,
        () = gateway.drain.reached(Stage::GraceOver) => Err(unfinished(&call)),
    }
}

async fn try_upstreams(
    gateway: &Rc<Gateway>,
    call: &Rc<Call>,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut tried: Vec<UpstreamKey> = Vec::new();
    let mut doubtful: Vec<UpstreamKey> = Vec::new();
    let mut unreachable = 0;
    let mut withdrawn = 0;
    bind_resumption(gateway, call).await?;
    loop {
        let checked = gateway.check_drain(&call.route).and_then(|()| gateway.check_suspects(call));
        if let Err(refusal) = checked {
            return Err(after_attempts(refusal, call));
        }
        let may_have_run = call.may_have_run.get();
        if !tried.is_empty() || withdrawn != 0 {
            gateway.bind_retry(call);
        }
        let excluded = [tried.as_slice(), &doubtful].concat();
        let placed = match place(gateway, call, &excluded).await {
            Ok(placed) => placed,
            Err(refusal) => return Err(after_attempts(refusal, call)),
        };
        let run = Run::open(gateway, &placed);
        let placement = placed.placement;
        let (upstream, sent) = (placement.upstream, run.sent());
        let broken_at = |progress| BrokenAttempt { upstream, sent, progress };
        gateway.note_origin(call, placement.upstream);
        if let Some(team) = call.team.as_deref().filter(|_| tried.is_empty()) {
            gateway.team_counters.note_sent(team, call.facts.pool_tokens());
        }
        note_dispatch(call, &placed, gateway);
        match attempt(gateway, call, &placement, &tried).await {
            Ok(answer) => match pass_on(gateway, call, run, answer).await {
                Ok(response) => return Ok(response),
                Err(unusable) => {
                    let is_broken = matches!(unusable, UnusableAnswer::Broken(_));
                    let failure = Failure::Broken { detail: unusable.to_string() };
                    note_failure(call, &placement, gateway, &failure);
                    let broken = broken_at(AnswerProgress::Begun);
                    if is_broken && !gateway.note_broken(call, broken).await {
                        return Err(final_refusal(gateway, call));
                    }
                }
            },
            Err(failure) => {
                note_failure(call, &placement, gateway, &failure);
                if !failure.may_have_run() {
                    call.may_have_run.set(may_have_run);
                }
                if failure == Failure::Withdrawn {
                    withdrawn += 1;
                    if withdrawn < WITHDRAWN_LIMIT {
                        continue;
                    }
                    let refusal = Refusal::not_run(RefusalReason::NoUpstream, BUSY_RETURN);
                    return Err(after_attempts(refusal, call));
                }
                if failure == Failure::Unreachable {
                    run.unreachable();
                    tried.push(placement.upstream);
                    unreachable += 1;
                    if unreachable < UNREACHABLE_LIMIT {
                        doubtful = doubtful_upstreams(gateway, call, unreachable);
                        continue;
                    }
                    let refusal = Refusal::not_run(RefusalReason::NoUpstream, BUSY_RETURN);
                    return Err(after_attempts(refusal, call));
                }
                let is_misdirected = failure.status() == Some(StatusCode::MISDIRECTED_REQUEST);
                if is_misdirected && call.facts.has_condition {
                    // The caller's condition explains it, whatever the upstream is like.
                    drop(run);
                } else {
                    if is_misdirected {
                        gateway.note_misdirected(placement.upstream);
                    }
                    // An upstream that turns away what fits by the books is worse than others, too.
                    run.complete(true);
                }
                let is_broken = matches!(failure, Failure::Broken { .. });
                let broken = broken_at(AnswerProgress::Waiting);
                if is_broken && !gateway.note_broken(call, broken).await {
                    return Err(final_refusal(gateway, call));
                }
            }
        }
        tried.push(placement.upstream);
        if !may_go_on(gateway, call, call.may_have_run.get()).await {
            return Err(final_refusal(gateway, call));
        }
        note_retry(call, gateway);
    }
}

/// Upstreams at which a call is not tried any more that found some which take no connection: a request tries one of
/// those whose connections have failed, and the last one that it tries is known to answer. None, where no other is.
fn doubtful_upstreams(gateway: &Gateway, call: &Call, unreachable: usize) -> Vec<UpstreamKey> {
    let traffic = gateway.traffic.borrow();
    let service = &call.service;
    // A dispatcher has heard of more upstreams than this instance.
    let is_last = unreachable + 1 == UNREACHABLE_LIMIT && gateway.other_dispatcher().is_none();
    let has_failed =
        |evidence: Option<&Evidence>| evidence.is_some_and(Evidence::has_failed_connections);
    let is_proven = |evidence: Option<&Evidence>| evidence.is_some_and(Evidence::is_proven);
    let mut doubtful = match is_last && !traffic.upstreams_with(service, is_proven).is_empty() {
        true => traffic.upstreams_with(service, |evidence| !is_proven(evidence)),
        false => traffic.upstreams_with(service, has_failed),
    };
    if doubtful.len() == traffic.registry.of_service(service).len() {
        return Vec::new();
    }
    if gateway.other_dispatcher().is_some() {
        doubtful.truncate(DOUBTFUL_TOLD_MAX);
    }
    doubtful
}

/// `UnusableAnswer` is an answer that is not passed on, as the call may be sent again.
#[derive(Debug, Display)]
enum UnusableAnswer {
    /// {0}
    Broken(String),
    /// its body did not end in time
    Late,
    /// status {0}
    Failed(StatusCode),
}

/// Passes an answer on; an answer that breaks off before anything was passed on is an error, after
/// which a repeatable call may be sent again.
async fn pass_on(
    gateway: &Rc<Gateway>,
    call: &Rc<Call>,
    mut run: Run,
    answer: Answer,
) -> Result<Response<AnswerBody>, UnusableAnswer> {
    let Answer { response, sender, upstream, reuse, is_framed } = answer;
    let (mut parts, body) = response.into_parts();
    remove_hop_headers(&mut parts.headers);
    // Answers of HTTP/1.0 end with the connection, so that callers would take a cut one for whole.
    parts.version = Version::HTTP_11;
    let may_have_body = parts.status != StatusCode::RESET_CONTENT;
    if parts.status.is_success() && may_have_body && is_event_stream(&parts.headers) {
        parts.headers.remove(CONTENT_LENGTH);
        let source = EventSource { body, sender, upstream, reuse, is_framed };
        let stream = StreamAnswer::new(gateway, call, run, source);
        return Ok(Response::from_parts(parts, AnswerBody::Stream(Box::new(stream))));
    }
    let time = call.deadline.saturating_sub(gateway.now());
    let reading = read_whole(body, &sender, gateway.answer_bytes.open());
    let whole = tokio::time::timeout(time, reading).await;
    let seen = run.begun();
    let key = run.key();
    let bytes = match whole {
        Ok(Ok(bytes)) if !may_have_body && !bytes.is_empty() => {
            run.complete(true);
            let detail = format!("{} bytes where none may be", bytes.len());
            return Err(UnusableAnswer::Broken(detail));
        }
        Ok(Ok(bytes)) => bytes,
        Ok(Err(error)) => {
            run.complete(true);
            return Err(UnusableAnswer::Broken(error));
        }
        Err(_) => {
            run.complete(true);
            return Err(UnusableAnswer::Late);
        }
    };
    if !is_framed {
        let end = AnswerEnd::new(gateway, upstream, &sender);
        if let Some(flaw) = gateway.check_end(end).await {
            run.complete(true);
            return Err(UnusableAnswer::Broken(flaw.to_string()));
        }
    }
    if let Reuse::Idle(idle) = reuse {
        gateway.keep_connection(key, sender, idle);
    }
    let is_failure = parts.status.is_server_error();
    let sent = run.sent();
    run.complete(is_failure);
    gateway.note_completed(call);
    gateway.note_answer_time(call);
    if parts.status.is_success() && is_framed {
        let begun = sent + seen;
        gateway.note_answered(call, GivenAnswer { upstream: key, sent, begun, at: begun });
    }
    if is_failure && reserve_repeat(gateway, call).await {
        return Err(UnusableAnswer::Failed(parts.status));
    }
    decision(
        EventKind::RequestAnswered,
        format_args!(
            "request={} upstream={} status={} answer_ms={} attempts={} version={}",
            call.facts.attempt_id,
            gateway.id_of(key).unwrap_or_default(),
            parts.status.as_u16(),
            seen.as_millis(),
            call.attempts.get(),
            call.catalog.version,
        ),
    );
    gateway.metrics.count_answer(seen);
    parts.headers.remove(CONTENT_LENGTH);
    Ok(Response::from_parts(parts, AnswerBody::whole(bytes)))
}

async fn may_go_on(gateway: &Rc<Gateway>, call: &Call, may_have_run: bool) -> bool {
    let is_allowed = !may_have_run || call.route.is_repeatable();
    is_allowed
        && call.has_attempts_left()
        && gateway.now() < call.deadline
        && (call.is_repeat_reserved.take() || gateway.obtain_repeat(call).await)
}

/// Takes one repeat of a call that may have run out of the retry budget, for when it goes on.
async fn reserve_repeat(gateway: &Rc<Gateway>, call: &Call) -> bool {
    let is_reserved = may_go_on(gateway, call, true).await;
    call.is_repeat_reserved.set(is_reserved);
    is_reserved
}

fn final_refusal(gateway: &Gateway, call: &Call) -> Refusal {
    if !call.may_have_run.get() {
        return Refusal::not_run(RefusalReason::Overloaded, BUSY_RETURN);
    }
    if call.deadline <= gateway.now() {
        return Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, RefusalReason::DeadlinePassed);
    }
    Refusal::unknown(StatusCode::BAD_GATEWAY, RefusalReason::UpstreamFailed)
}

/// A refusal that would promise "not run" is only true while no attempt may have run.
fn after_attempts(refusal: Refusal, call: &Call) -> Refusal {
    if call.may_have_run.get() {
        return Refusal::unknown(StatusCode::BAD_GATEWAY, RefusalReason::UpstreamFailed);
    }
    refusal
}

/// Sends a call to an upstream and waits for the head of its answer. A repeatable call that waits for
/// much longer than predicted goes to another upstream, but only where one has room for it. In the
/// seconds after an outage all engines have long queues: cut off there, a request lost its place, was
/// sent nowhere else and failed, where it would have been answered late.
async fn attempt(
    gateway: &Rc<Gateway>,
    call: &Call,
    placement: &Placement,
    tried: &[UpstreamKey],
) -> Result<Answer, Failure> {
    let mut answer = pin!(exchanges::send(gateway, call, placement, None, call.deadline));
    let mut until = patience(gateway, call, placement);
    loop {
        let time = until.saturating_sub(gateway.now());
        if let Ok(result) = tokio::time::timeout(time, &mut answer).await {
            return result;
        }
        if has_other_place(gateway, call, placement, tried) {
            tokio::select! {
                biased;
                result = &mut answer => return result,
                is_reserved = reserve_repeat(gateway, call) => if is_reserved {
                    return Err(Failure::TimedOut);
                },
            }
        }
        until = gateway.now() + OTHER_PLACE_INTERVAL;
    }
}

fn has_other_place(
    gateway: &Gateway,
    call: &Call,
    placement: &Placement,
    tried: &[UpstreamKey],
) -> bool {
    let tried = [tried, &[placement.upstream]].concat();
    has_place(gateway, call, &tried)
}

/// Until when an attempt may take: a repeatable call does not spend all its time on one upstream.
fn patience(gateway: &Gateway, call: &Call, placement: &Placement) -> Timestamp {
    let has_more = call.route.is_repeatable() && call.attempts.get() + 1 < call.route.attempts_max;
    // A request that may crash upstreams is at one of them at a time.
    if !has_more || !gateway.options.admission.policy.cut_offs || gateway.is_suspected(call) {
        return call.deadline;
    }
    let least = call.route.target_latency.mul_f64(LEAST_PATIENCE);
    let patience = placement.predicted.mul_f64(PATIENCE_FACTOR).max(least);
    (gateway.now() + patience).min(call.deadline)
}

fn note_dispatch(call: &Call, placed: &PlacedRequest, gateway: &Gateway) {
    let placement = &placed.placement;
    let waited = gateway.now().saturating_sub(call.arrived);
    gateway.metrics.dispatches.inc();
    gateway.metrics.count_wait(waited);
    decision(
        EventKind::RequestDispatched,
        format_args!(
            "request={} route={} team={} prompt_tokens={} upstream={} attempt={} predicted_ms={} \
             requests_there={} \
             unread_tokens={:.0} rank={:?} fetch_from={} standing={} granter={} waited_ms={} \
             cold={} software={} resumes={:.64} after_event={:.64} version={}",
            call.facts.attempt_id,
            call.route.name,
            call.team.as_deref().map_or("-", |team| &team.name),
            call.facts.prompt_tokens,
            gateway.id_of(placement.upstream).unwrap_or_default(),
            call.attempts.get() + 1,
            placement.predicted.as_millis(),
            placement.requests,
            placement.work.unread_tokens,
            placement.rank,
            placement.fetch_from.and_then(|key| gateway.id_of(key)).as_deref().unwrap_or("-"),
            placement.share_class,
            placed.grantor.map_or(0, |grantor| grantor.instance),
            waited.as_millis(),
            placement.is_cold,
            gateway.software_of(placement.upstream).as_deref().unwrap_or("-"),
            call.facts.resumed_attempt_id.as_deref().unwrap_or("-"),
            call.facts.resume_after.as_deref().unwrap_or("-"),
            call.catalog.version,
        ),
    );
}

pub(crate) fn note_failure(
    call: &Call,
    placement: &Placement,
    gateway: &Gateway,
    failure: &Failure,
) {
    gateway.metrics.failed_attempts.inc();
    decision(
        EventKind::AttemptFailed,
        format_args!(
            "request={} digest={:016x} upstream={} kind={} parts={} failure={failure:?}",
            call.facts.attempt_id,
            call.digest(),
            gateway.id_of(placement.upstream).unwrap_or_default(),
            if call.route.kind == RouteKind::Unsafe { "once" } else { "repeatable" },
            SharedParts(&call.facts),
        ),
    );
}

fn note_retry(call: &Call, gateway: &Gateway) {
    gateway.metrics.repeats.inc();
    decision(
        EventKind::RequestRetried,
        format_args!("request={} attempt={}", call.facts.attempt_id, call.attempts.get() + 1),
    );
}

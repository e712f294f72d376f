//! Calls: the way of one request from its arrival to its answer.

use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::traffic::admissions::Placement;
use bergamotpitch_control::traffic::catalogs::{CacheLink, Catalog, Route, RouteKind, Team};
use bergamotpitch_control::traffic::facts::RequestFacts;
use bergamotpitch_control::traffic::registries::UpstreamKey;
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::{TeamId, id_of_name};
use bergamotpitch_core::refusals::RefusalReason;
use bergamotpitch_core::units::Timestamp;
use http::header::CONTENT_LENGTH;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;

use crate::arrivals::{
    HeldBody, bad_request, discard, host_of, passed_headers, read_body, target_of, team_of,
};
use crate::bodies::{AnswerBody, StreamAnswer, is_event_stream, read_whole};
use crate::callers::CallerConnection;
use crate::exchanges::{self, Answer, Failure, Reuse};
use crate::gateways::Gateway;
use crate::headers::remove_hop_headers;
use crate::logs::decision;
use crate::placements::{PlacedRequest, Run, has_place, place};
use crate::refusals::{Inputs, Refusal, response_of_refusal};
use crate::served_streams::ServedStream;

/// `UNSTATED_BUDGET` is how long a caller is taken to wait that does not say so.
const UNSTATED_BUDGET: Duration = Duration::from_secs(60);

/// `UNREACHABLE_LIMIT` bounds how many upstreams are tried that take no connection; such a try does
/// not count as an attempt, as nothing was sent.
const UNREACHABLE_LIMIT: usize = 3;

/// `WITHDRAWN_LIMIT` bounds how many places are given up that a request may not have any more when it is
/// about to be sent; such a try does not count as an attempt either.
const WITHDRAWN_LIMIT: usize = 3;

/// `NOT_READY_RETURN` is when to come back to an instance that has no configuration yet.
const NOT_READY_RETURN: Duration = Duration::from_millis(500);

/// `BUSY_RETURN` is when to come back after an upstream proved that it did not run a request that
/// may not be sent to another.
const BUSY_RETURN: Duration = Duration::from_millis(150);

/// `NO_REGION_RETURN` is when to come back while route and team have no region in common: a change of
/// the configuration takes seconds.
const NO_REGION_RETURN: Duration = Duration::from_secs(2);

/// `BUSY_INSTANCE_RETURN` is when to come back after an instance had no processor time: callers that come
/// back may reach others, and streams end here every few milliseconds.
const BUSY_INSTANCE_RETURN: Duration = Duration::from_millis(40);

/// `NO_TEAM` stands for requests without a team.
const NO_TEAM: TeamId = 0;

/// `PATIENCE_FACTOR` is how many times the predicted time an upstream may take before a request
/// that can be repeated is sent to another one.
const PATIENCE_FACTOR: f64 = 4.0;

/// `OTHER_PLACE_INTERVAL` is the time between two looks for another upstream.
const OTHER_PLACE_INTERVAL: Duration = Duration::from_millis(100);

/// `LEAST_PATIENCE` is the least such time, as a part of the target latency.
const LEAST_PATIENCE: f64 = 1.2;

/// `Call` is one request, read in full.
#[derive(Debug)]
pub struct Call {
    /// Number within this process.
    pub number: u64,
    /// Its route.
    pub route: Arc<Route>,
    /// Service to which the route sends it.
    pub service: String,
    /// Configuration that was in force when it arrived.
    pub catalog: Arc<Catalog>,
    /// Its team.
    pub team: Option<Arc<Team>>,
    /// What its headers say.
    pub facts: RequestFacts,
    /// Method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub target: Uri,
    /// Host, as the caller sent it.
    pub host: HeaderValue,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: HeldBody,
    /// When its head was read.
    pub arrived: Timestamp,
    /// When its final answer is due.
    pub deadline: Timestamp,
    /// Memory of one engine of its service, in tokens.
    pub memory_tokens: u64,
    /// Over what engines of its service fetch parts of prompts from each other.
    pub cache_link: Option<CacheLink>,
    /// Counts it among the streams that this instance serves.
    pub served: Option<ServedStream>,
}

/// `answer` serves one request.
pub async fn answer(
    gateway: Rc<Gateway>,
    connection: &CallerConnection,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived = gateway.now();
    let facts = (gateway.dialect.request_facts)(request.headers());
    let attempt_id = facts.as_ref().map(|facts| facts.attempt_id.clone()).unwrap_or_default();
    let _in_flight = gateway.enter();
    gateway.metrics.requests.inc();
    gateway.measure_turn().await;
    let prompt_tokens = facts.as_ref().map_or(0, |facts| facts.prompt_tokens);
    let mut known = Known { arrived, prompt_tokens, ..Known::default() };
    let result = match facts {
        Ok(facts) => match read_call(&gateway, connection, request, facts, &mut known).await {
            Ok(call) if connection.is_left() => Err(left_before_sent(&call)),
            Ok(call) => follow(&gateway, Rc::new(call)).await,
            Err(refusal) => Err(unless_outdated(&gateway, refusal)),
        },
        Err(error) => {
            log::info!("event=bad_header request={attempt_id:?} error={error:?}");
            Err(Refusal::denied(StatusCode::BAD_REQUEST, RefusalReason::BadRequest))
        }
    };
    match result {
        Ok(response) => response,
        Err(refusal) => {
            gateway.metrics.count_refusal(&refusal);
            if let Some(team) = &known.team {
                gateway.team_counters.note_refused(team, known.pool_tokens, refusal.reason);
            }
            decision(
                EventKind::RequestRefused,
                format_args!(
                    "request={attempt_id} route={} team={} prompt_tokens={} status={} reason={} \
                     {} ran={} retry_after_ms={} held_ms={} {} {} version={}",
                    known.route.as_deref().map_or("-", |route| &route.name),
                    known.team.as_deref().map_or("-", |team| &team.name),
                    known.prompt_tokens,
                    refusal.status.as_u16(),
                    refusal.reason,
                    refusal.inputs,
                    refusal.ran,
                    refusal.retry_after.unwrap_or_default().as_millis(),
                    gateway.now().saturating_sub(arrived).as_millis(),
                    gateway.loop_lag,
                    gateway.streams,
                    gateway.version(),
                ),
            );
            let closes =
                gateway.is_draining() || gateway.is_overloaded() || connection.is_surplus();
            response_of_refusal(&gateway.dialect, &attempt_id, &refusal, closes)
        }
    }
}

/// `Known` is what was found out on a request before it was refused, for the log.
#[derive(Debug, Default)]
struct Known {
    arrived: Timestamp,
    route: Option<Arc<Route>>,
    team: Option<Arc<Team>>,
    prompt_tokens: u64,
    pool_tokens: u64,
}

/// Reads a request in full and finds out what it wants.
async fn read_call(
    gateway: &Rc<Gateway>,
    connection: &CallerConnection,
    request: Request<Incoming>,
    facts: RequestFacts,
    known: &mut Known,
) -> Result<Call, Refusal> {
    let arrived = known.arrived;
    let (parts, body) = request.into_parts();
    let Head { catalog, route, team, host } = read_head(gateway, &parts, known)?;
    known.pool_tokens = facts.pool_tokens();
    if let Some(team) = &team {
        gateway.team_counters.note_asked(team, known.pool_tokens);
    }
    let refusal = match refusal_of_instance(gateway, connection) {
        Some(refusal) => Some(refusal),
        None => refusal_of_regions(&catalog, &route, team.as_deref())
            .or_else(|| refusal_of_stream(gateway, &catalog, team.as_deref(), &facts)),
    };
    if let Some(refusal) = refusal {
        gateway.note_asked_in_vain(team.as_deref(), &facts);
        discard(body).await;
        return Err(refusal);
    }
    let team_id = team.as_ref().map_or(NO_TEAM, |team| id_of_name(&team.name));
    let served = facts.is_generation().then(|| gateway.streams.open(team_id));
    let budget = facts.time_budget.unwrap_or(UNSTATED_BUDGET);
    let deadline = arrived + budget.min(route.timeout);
    let time = deadline.saturating_sub(arrived);
    let hold = gateway.held_bytes.open();
    let body = read_body(&parts.headers, body, &catalog, hold, time).await?;
    let hash = u64::from(id_of_name(&facts.attempt_id));
    let service = route
        .target_of(hash)
        .ok_or(Refusal::not_run(RefusalReason::NoUpstream, NOT_READY_RETURN))?
        .to_owned();
    let engine = catalog.services.get(&service).and_then(|service| service.engine.as_ref());
    let call = Call {
        number: gateway.fresh_number(),
        memory_tokens: engine.map_or(u64::MAX, |engine| engine.memory_tokens),
        cache_link: engine.and_then(|engine| engine.cache_link),
        served,
        headers: passed_headers(gateway, &parts.headers),
        route,
        service,
        catalog,
        team,
        facts,
        method: parts.method,
        target: target_of(&parts.uri),
        host,
        body,
        arrived,
        deadline,
    };
    gateway.note_request(&call);
    Ok(call)
}

/// `Head` is what the head of a request says.
struct Head {
    catalog: Arc<Catalog>,
    route: Arc<Route>,
    team: Option<Arc<Team>>,
    host: HeaderValue,
}

fn read_head(gateway: &Gateway, parts: &Parts, known: &mut Known) -> Result<Head, Refusal> {
    if gateway.refuses_new() {
        return Err(Refusal::not_run(RefusalReason::Draining, BUSY_RETURN));
    }
    let catalog =
        gateway.catalog().ok_or(Refusal::not_run(RefusalReason::NotReady, NOT_READY_RETURN))?;
    let host = host_of(parts).ok_or_else(bad_request)?;
    let host_text = host.to_str().map_err(|_| bad_request())?;
    let route = catalog
        .route_of(host_text, parts.uri.path())
        .cloned()
        .ok_or(Refusal::denied(StatusCode::NOT_FOUND, RefusalReason::ServiceNotAllowed))?;
    known.route = Some(Arc::clone(&route));
    let team = team_of(gateway, &catalog, &route, &parts.headers)?;
    known.team.clone_from(&team);
    Ok(Head { catalog, route, team, host })
}

/// What the configuration in force denies, a newer one may allow.
fn unless_outdated(gateway: &Gateway, refusal: Refusal) -> Refusal {
    use RefusalReason::{BodyTooLarge, ServiceNotAllowed, UnknownTeam};

    match refusal.reason {
        ServiceNotAllowed | UnknownTeam | BodyTooLarge if gateway.is_outdated() => {
            Refusal::not_run(RefusalReason::NotReady, NOT_READY_RETURN)
        }
        _ => refusal,
    }
}

/// Why this instance takes no request at all at present.
fn refusal_of_instance(gateway: &Gateway, connection: &CallerConnection) -> Option<Refusal> {
    if connection.is_surplus() {
        return Some(Refusal::not_run(RefusalReason::InstanceFull, BUSY_RETURN));
    }
    gateway.is_overloaded().then(|| Refusal::not_run(RefusalReason::InstanceBusy, BUSY_RETURN))
}

/// Why no upstream may get the request, whichever there are.
fn refusal_of_regions(catalog: &Catalog, route: &Route, team: Option<&Team>) -> Option<Refusal> {
    let is_denied = catalog.allowed_regions(route, team).allows_none();
    is_denied.then(|| Refusal::not_run(RefusalReason::NoAllowedRegion, NO_REGION_RETURN))
}

/// Why it takes this stream on no more.
fn refusal_of_stream(
    gateway: &Gateway,
    catalog: &Catalog,
    team: Option<&Team>,
    facts: &RequestFacts,
) -> Option<Refusal> {
    let is_limited = gateway.options.admission.policy.stream_limits && facts.is_generation();
    if !is_limited || gateway.streams.admits_all() {
        return None;
    }
    let share_class = gateway.share_class(catalog, team, facts);
    let team = team.map_or(NO_TEAM, |team| id_of_name(&team.name));
    if gateway.streams.admits(team, share_class) {
        return None;
    }
    let inputs = Inputs { share_class: Some(share_class), ..Inputs::default() };
    let refusal = Refusal::not_run(RefusalReason::InstanceBusy, BUSY_INSTANCE_RETURN);
    Some(refusal.decided_on(inputs))
}

/// A request that was read late may have lost its caller long ago. Sent on, it would keep an
/// upstream busy for nobody; the refusal reaches nobody either.
fn left_before_sent(call: &Call) -> Refusal {
    decision(
        EventKind::CallerLeft,
        format_args!("request={} before_sent=true", call.facts.attempt_id),
    );
    Refusal::not_run(RefusalReason::DeadlinePassed, BUSY_RETURN)
}

/// Sends a call to one upstream after another until there is an answer to pass on.
async fn follow(gateway: &Rc<Gateway>, call: Rc<Call>) -> Result<Response<AnswerBody>, Refusal> {
    let mut tried: Vec<UpstreamKey> = Vec::new();
    let mut attempts = 0;
    let mut unreachable = 0;
    let mut withdrawn = 0;
    let mut may_have_run = false;
    loop {
        let placed = match place(gateway, &call, &tried).await {
            Ok(placed) => placed,
            Err(refusal) => return Err(after_attempts(refusal, may_have_run)),
        };
        let run = Run::open(gateway, &placed);
        let placement = placed.placement;
        if let Some(team) = call.team.as_deref().filter(|_| tried.is_empty()) {
            gateway.team_counters.note_sent(team, call.facts.pool_tokens());
        }
        note_dispatch(&call, &placed, gateway, attempts);
        match attempt(gateway, &call, &placement, &tried, attempts).await {
            Ok(answer) => match pass_on(gateway, &call, run, answer, attempts).await {
                Ok(response) => return Ok(response),
                Err(detail) => {
                    may_have_run = true;
                    note_failure(&call, &placement, gateway, &Failure::Broken { detail });
                }
            },
            Err(failure) => {
                note_failure(&call, &placement, gateway, &failure);
                if failure == Failure::Withdrawn {
                    withdrawn += 1;
                    if withdrawn < WITHDRAWN_LIMIT {
                        continue;
                    }
                    let refusal = Refusal::not_run(RefusalReason::NoUpstream, BUSY_RETURN);
                    return Err(after_attempts(refusal, may_have_run));
                }
                if failure == Failure::Unreachable {
                    run.unreachable();
                    tried.push(placement.upstream);
                    unreachable += 1;
                    if unreachable < UNREACHABLE_LIMIT {
                        continue;
                    }
                    let refusal = Refusal::not_run(RefusalReason::NoUpstream, BUSY_RETURN);
                    return Err(after_attempts(refusal, may_have_run));
                }
                let ran = !matches!(failure, Failure::NotRun { .. });
                if failure == (Failure::NotRun { status: StatusCode::MISDIRECTED_REQUEST }) {
                    gateway.note_misdirected(placement.upstream);
                }
                // An upstream that turns away what fits by the books is worse than others, too.
                run.complete(true);
                may_have_run |= ran;
            }
        }
        attempts += 1;
        tried.push(placement.upstream);
        if !may_go_on(gateway, &call, attempts, may_have_run) {
            return Err(final_refusal(gateway, &call, may_have_run));
        }
        note_retry(&call, gateway, attempts);
    }
}

/// Passes an answer on; an answer that breaks off before anything was passed on is an error, after
/// which a repeatable call may be sent again.
async fn pass_on(
    gateway: &Rc<Gateway>,
    call: &Rc<Call>,
    mut run: Run,
    answer: Answer,
    attempts: u32,
) -> Result<Response<AnswerBody>, String> {
    let Answer { response, sender, reuse } = answer;
    let (mut parts, body) = response.into_parts();
    remove_hop_headers(&mut parts.headers);
    if parts.status.is_success() && is_event_stream(&parts.headers) {
        parts.headers.remove(CONTENT_LENGTH);
        let stream = StreamAnswer::new(gateway, call, run, body, sender, reuse);
        return Ok(Response::from_parts(parts, AnswerBody::Stream(Box::new(stream))));
    }
    let time = call.deadline.saturating_sub(gateway.now());
    let whole = tokio::time::timeout(time, read_whole(body)).await;
    let seen = run.begun();
    let key = run.key();
    let bytes = match whole {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(error)) => {
            run.complete(true);
            return Err(error);
        }
        Err(_) => {
            run.complete(true);
            return Err("its body did not end in time".to_owned());
        }
    };
    if let Reuse::Idle(idle) = reuse {
        gateway.keep_connection(key, sender, idle);
    }
    let is_failure = parts.status.is_server_error();
    run.complete(is_failure);
    if is_failure && may_go_on(gateway, call, attempts + 1, true) {
        return Err(format!("status {}", parts.status));
    }
    decision(
        EventKind::RequestAnswered,
        format_args!(
            "request={} upstream={} status={} answer_ms={} attempts={} version={}",
            call.facts.attempt_id,
            gateway.id_of(key).unwrap_or_default(),
            parts.status.as_u16(),
            seen.as_millis(),
            attempts + 1,
            call.catalog.version,
        ),
    );
    gateway.metrics.count_answer(seen);
    parts.headers.remove(CONTENT_LENGTH);
    Ok(Response::from_parts(parts, AnswerBody::whole(bytes)))
}

fn may_go_on(gateway: &Gateway, call: &Call, attempts: u32, may_have_run: bool) -> bool {
    let is_allowed = !may_have_run || call.route.is_repeatable();
    is_allowed
        && attempts < call.route.attempts_max
        && gateway.now() < call.deadline
        && gateway.take_repeat(&call.service)
}

fn final_refusal(gateway: &Gateway, call: &Call, may_have_run: bool) -> Refusal {
    if !may_have_run {
        return Refusal::not_run(RefusalReason::Overloaded, BUSY_RETURN);
    }
    if call.deadline <= gateway.now() {
        return Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, RefusalReason::DeadlinePassed);
    }
    Refusal::unknown(StatusCode::BAD_GATEWAY, RefusalReason::UpstreamFailed)
}

/// A refusal that would promise "not run" is only true while no attempt may have run.
fn after_attempts(refusal: Refusal, may_have_run: bool) -> Refusal {
    if may_have_run {
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
    attempts: u32,
) -> Result<Answer, Failure> {
    let mut answer = pin!(exchanges::send(gateway, call, placement, None, call.deadline));
    let mut until = patience(gateway, call, placement, attempts);
    loop {
        let time = until.saturating_sub(gateway.now());
        if let Ok(result) = tokio::time::timeout(time, &mut answer).await {
            return result;
        }
        if has_other_place(gateway, call, placement, tried) {
            return Err(Failure::TimedOut);
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
    has_place(gateway, call, &tried) && gateway.has_repeat(&call.service)
}

/// Until when an attempt may take: a repeatable call does not spend all its time on one upstream.
fn patience(gateway: &Gateway, call: &Call, placement: &Placement, attempts: u32) -> Timestamp {
    let has_more = call.route.is_repeatable() && attempts + 1 < call.route.attempts_max;
    if !has_more || !gateway.options.admission.policy.cut_offs {
        return call.deadline;
    }
    let least = call.route.target_latency.mul_f64(LEAST_PATIENCE);
    let patience = placement.predicted.mul_f64(PATIENCE_FACTOR).max(least);
    (gateway.now() + patience).min(call.deadline)
}

fn note_dispatch(call: &Call, placed: &PlacedRequest, gateway: &Gateway, attempts: u32) {
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
             cold={} version={}",
            call.facts.attempt_id,
            call.route.name,
            call.team.as_deref().map_or("-", |team| &team.name),
            call.facts.prompt_tokens,
            gateway.id_of(placement.upstream).unwrap_or_default(),
            attempts + 1,
            placement.predicted.as_millis(),
            placement.requests,
            placement.work.unread_tokens,
            placement.rank,
            placement.fetch_from.and_then(|key| gateway.id_of(key)).as_deref().unwrap_or("-"),
            placement.share_class,
            placed.grantor.map_or(0, |grantor| grantor.instance),
            waited.as_millis(),
            placement.is_cold,
            call.catalog.version,
        ),
    );
}

fn note_failure(call: &Call, placement: &Placement, gateway: &Gateway, failure: &Failure) {
    gateway.metrics.failed_attempts.inc();
    decision(
        EventKind::AttemptFailed,
        format_args!(
            "request={} upstream={} kind={} failure={failure:?}",
            call.facts.attempt_id,
            gateway.id_of(placement.upstream).unwrap_or_default(),
            if call.route.kind == RouteKind::Unsafe { "once" } else { "repeatable" },
        ),
    );
}

fn note_retry(call: &Call, gateway: &Gateway, attempts: u32) {
    gateway.metrics.repeats.inc();
    decision(
        EventKind::RequestRetried,
        format_args!("request={} attempt={}", call.facts.attempt_id, attempts + 1),
    );
}

//! Calls: the way of one request from its arrival to its answer.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::traffic::catalogs::{CacheLink, Catalog, Route, Team};
use bergamotpitch_control::traffic::facts::RequestFacts;
use bergamotpitch_control::traffic::request_digests::{RequestContent, RequestDigest};
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::{SoftwareId, TeamId, UpstreamId, id_of_name};
use bergamotpitch_core::refusals::RefusalReason;
use bergamotpitch_core::units::Timestamp;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;

use crate::arrivals::{
    HeldBody, bad_request, discard, host_of, passed_headers, read_body, target_of, team_of,
};
use crate::attempts::follow;
use crate::bodies::AnswerBody;
use crate::callers::CallerConnection;
use crate::crashes::SoleAttempt;
use crate::drains::{Stage, draining};
use crate::gateways::Gateway;
use crate::logs::decision;
use crate::refusals::{Inputs, Refusal, response_of_refusal};
use crate::served_streams::ServedStream;

/// `UNSTATED_BUDGET` is how long a caller is taken to wait that does not say so.
const UNSTATED_BUDGET: Duration = Duration::from_secs(60);

/// `NOT_READY_RETURN` is when to come back to an instance that has no configuration yet.
const NOT_READY_RETURN: Duration = Duration::from_millis(500);

/// `BUSY_RETURN` is when to come back after an upstream proved that it did not run a request that
/// may not be sent to another.
pub(crate) const BUSY_RETURN: Duration = Duration::from_millis(150);

/// `NO_REGION_RETURN` is when to come back while route and team have no region in common: a change of
/// the configuration takes seconds.
const NO_REGION_RETURN: Duration = Duration::from_secs(2);

/// `BUSY_INSTANCE_RETURN` is when to come back after an instance had no processor time: callers that come
/// back may reach others, and streams end here every few milliseconds.
const BUSY_INSTANCE_RETURN: Duration = Duration::from_millis(40);

/// `NO_TEAM` stands for requests without a team.
const NO_TEAM: TeamId = 0;

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
    /// The version of software at which it goes on, where its stream began while several served.
    pub bound_software: Cell<Option<SoftwareId>>,
    /// The version at which events of its answer were written, where it is known. Another one may appear while a
    /// place is looked for at which it goes on.
    pub begun_software: Cell<Option<SoftwareId>>,
    /// When it was sent to an upstream last.
    pub sent: Cell<Timestamp>,
    /// Whether an upstream may have run it.
    pub may_have_run: Cell<bool>,
    /// How many upstreams it was sent to, before the first event of its answer and after it.
    pub attempts: Cell<u32>,
    /// Upstreams that may not have read it, and whose attempts do not count as unread in the retry budget.
    pub unread: RefCell<Vec<UpstreamId>>,
    /// How many of its repeats count as unread in the retry budget.
    pub unread_repeats: Cell<u32>,
    /// Whether a request to a second upstream was taken out of the retry budget and not sent yet.
    pub is_repeat_reserved: Cell<bool>,
    /// Name of its content, once it is asked for.
    pub digest: OnceCell<RequestDigest>,
    /// Until when crashes under it may not be known to all others.
    pub told_until: Cell<Timestamp>,
    /// Keeps other attempts of the same request from being sent, once it is suspected.
    pub sole_attempt: OnceCell<SoleAttempt>,
}

impl Call {
    /// `count_attempt` takes in that it is sent to one more upstream.
    pub(crate) fn count_attempt(&self, now: Timestamp) {
        self.attempts.set(self.attempts.get() + 1);
        self.sent.set(now);
        self.may_have_run.set(true);
    }

    /// `discount_attempt` takes in that nothing of it was written there.
    pub(crate) fn discount_attempt(&self) {
        self.attempts.set(self.attempts.get().saturating_sub(1));
    }

    /// `has_attempts_left` tells whether its route allows one more upstream than it was sent to.
    pub(crate) fn has_attempts_left(&self) -> bool {
        self.attempts.get() < self.route.attempts_max
    }

    /// `digest` returns the name of its content, which it shares with its caller's other attempts.
    pub fn digest(&self) -> RequestDigest {
        let target = self.target.path_and_query().map_or("", |target| target.as_str());
        *self.digest.get_or_init(|| {
            let content = RequestContent {
                team: self.team.as_ref().map(|team| id_of_name(&team.name)),
                method: self.method.as_str(),
                host: self.host.as_bytes(),
                target,
                prefix: &self.facts.prefix,
                body: &self.body.bytes,
            };
            content.digest()
        })
    }
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
    let (parts, mut body) = request.into_parts();
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
    let body = tokio::select! {
        biased;
        read = read_body(&parts.headers, &mut body, &catalog, hold, time) => read?,
        () = gateway.drain.reached(Stage::RefusesNew) => {
            discard(body).await;
            return Err(draining());
        }
    };
    if gateway.refuses_new() {
        return Err(draining());
    }
    let hash = u64::from(id_of_name(facts.first_attempt_id()));
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
        bound_software: Cell::new(None),
        begun_software: Cell::new(None),
        sent: Cell::new(arrived),
        may_have_run: Cell::new(false),
        attempts: Cell::new(0),
        unread: RefCell::default(),
        unread_repeats: Cell::new(0),
        is_repeat_reserved: Cell::new(false),
        digest: OnceCell::new(),
        told_until: Cell::new(Timestamp::ZERO),
        sole_attempt: OnceCell::new(),
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
    if gateway.other_dispatcher().is_none() {
        gateway.note_request(&call.service);
    }
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
        return Err(draining());
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
    gateway.check_drain(&route)?;
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

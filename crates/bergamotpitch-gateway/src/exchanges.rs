//! Exchanges: one request on one connection to one upstream, up to the head of its answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::placement_requests::Placement;
use bergamotpitch_control::traffic::registries::UpstreamKey;
use bergamotpitch_core::ids::UpstreamId;
use bergamotpitch_core::units::Timestamp;
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, RANGE, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::calls::Call;
use crate::connections::{Sender, connect};
use crate::dialects::UpstreamHeaders;
use crate::gateways::Gateway;
use crate::identities::ListedUpstream;
use crate::outcomes::{Asked, Outcome, outcome_of};

/// `Answer` is the head of an upstream's answer to this very request, and its body to come.
#[derive(Debug)]
pub struct Answer {
    /// Head and body.
    pub response: Response<Incoming>,
    /// The connection, to be kept when the body was read to its end.
    pub sender: Sender,
    /// Whom the request was sent to.
    pub upstream: ListedUpstream,
    /// How long the upstream keeps the connection when idle; `None` when it closes it.
    pub reuse: Reuse,
    /// Whether its body has a length or comes in chunks; else it ends with its connection, and nothing
    /// tells whether that was its end.
    pub is_framed: bool,
}

/// `Reuse` tells whether a connection may carry another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// It is closed after this answer.
    Never,
    /// It is closed when idle for this time, or for a time that the upstream does not state.
    Idle(Option<Duration>),
}

/// `Failure` is why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// No connection could be made: nothing was sent.
    Unreachable,
    /// The upstream may not get the request any more: nothing was sent.
    Withdrawn,
    /// The upstream proves that it did not run the request.
    NotRun {
        /// What it answered.
        status: StatusCode,
    },
    /// The upstream answered with a status that invites the caller to repeat the request, without a proof that it
    /// did not run: it may have run.
    Unproven {
        /// What it answered.
        status: StatusCode,
    },
    /// The connection broke or carried what is no answer to this request: it may have run.
    Broken {
        /// What went wrong.
        detail: String,
    },
    /// No answer within the time given to the attempt: it may have run.
    TimedOut,
}

impl Failure {
    /// `status` is what the upstream refused the request with.
    pub fn status(&self) -> Option<StatusCode> {
        match self {
            Self::NotRun { status } | Self::Unproven { status } => Some(*status),
            Self::Unreachable | Self::Withdrawn | Self::Broken { .. } | Self::TimedOut => None,
        }
    }

    /// `may_have_run` tells whether the upstream may have run the request.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Unproven { .. } | Self::Broken { .. } | Self::TimedOut)
    }
}

/// `LONGEST_IDLE` bounds for how long an upstream may say that it keeps an idle connection.
const LONGEST_IDLE: Duration = Duration::from_secs(600);

/// `send` sends a call to an upstream and returns the head of its answer.
///
/// # Errors
///
/// Says in [`Failure`] whether the request may have run.
pub async fn send(
    gateway: &Rc<Gateway>,
    call: &Call,
    placement: &Placement,
    resume_after: Option<&str>,
    until: Timestamp,
) -> Result<Answer, Failure> {
    let time = until.saturating_sub(gateway.now());
    match tokio::time::timeout(time, exchange(gateway, call, placement, resume_after)).await {
        Ok(result) => result,
        Err(_) => Err(Failure::TimedOut),
    }
}

async fn exchange(
    gateway: &Rc<Gateway>,
    call: &Call,
    placement: &Placement,
    resume_after: Option<&str>,
) -> Result<Answer, Failure> {
    let upstream = gateway.listed_upstream(placement.upstream).ok_or(Failure::Unreachable)?;
    let ListedUpstream { key, address, .. } = upstream;
    // On a kept connection a request may go to an upstream that has ended, and would seem to crash it.
    let mut warm = match gateway.is_suspected(call) {
        true => None,
        false => gateway.pools.take(key, gateway.now()),
    };
    loop {
        let is_warm = warm.is_some();
        let mut sender = match warm.take() {
            Some(sender) => sender,
            None => open(gateway, address).await?,
        };
        // Connecting takes a while, in which operators may have changed what is allowed.
        if !gateway.may_send(call, placement) || !gateway.may_end_in_time(&call.route) {
            return Err(Failure::Withdrawn);
        }
        let request = request_of_call(gateway, call, placement, resume_after)?;
        call.count_attempt(gateway.now());
        let unanswered = Unanswered::new(gateway, call, key);
        let sent = sender.send(request).await;
        unanswered.close();
        match sent {
            Ok(response) => return read_head(gateway, call, upstream, response, sender),
            // The connection closed before anything was written: a fresh one may carry it.
            Err(error) if is_warm && error.message().is_some() => call.discount_attempt(),
            Err(mut error) => {
                if error.take_message().is_some() {
                    call.discount_attempt();
                    return Err(Failure::Unreachable);
                }
                return Err(Failure::Broken { detail: error.into_error().to_string() });
            }
        }
    }
}

/// `Unanswered` is an attempt that waits for its answer. Its upstream may not have read it before it is closed, also
/// where it is dropped, as it was given up.
struct Unanswered<'a> {
    gateway: &'a Gateway,
    call: &'a Call,
    upstream: Option<UpstreamId>,
}

impl<'a> Unanswered<'a> {
    fn new(gateway: &'a Gateway, call: &'a Call, key: UpstreamKey) -> Self {
        let upstream = gateway.life_of(key);
        upstream.into_iter().for_each(|upstream| gateway.note_sent(call, upstream));
        Self { gateway, call, upstream }
    }

    fn close(self) {
        let answered = self.upstream;
        answered
            .into_iter()
            .for_each(|upstream| self.gateway.note_answered_by(self.call, upstream));
    }
}

async fn open(gateway: &Rc<Gateway>, address: SocketAddr) -> Result<Sender, Failure> {
    gateway.metrics.connections_opened.inc();
    connect(address, &gateway.work_times).await.map_err(|error| {
        log::info!("event=connect_failed upstream={address} error={error}");
        Failure::Unreachable
    })
}

fn request_of_call(
    gateway: &Gateway,
    call: &Call,
    placement: &Placement,
    resume_after: Option<&str>,
) -> Result<Request<Full<Bytes>>, Failure> {
    let upstream_id = gateway.id_of(placement.upstream).ok_or(Failure::Unreachable)?;
    let mut headers = call.headers.clone();
    let written = UpstreamHeaders {
        time_left: call.deadline.saturating_sub(gateway.now()),
        upstream_id: &upstream_id,
        team: call.team.as_deref().map(|team| team.name.as_str()),
        resume_after,
        fetch_from: placement.fetch_from.and_then(|holder| gateway.address_of(holder)),
    };
    (gateway.dialect.write_upstream_headers)(&mut headers, &written);
    headers.insert(HOST, call.host.clone());
    let mut request = Request::new(Full::new(call.body.bytes.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    *request.headers_mut() = headers;
    Ok(request)
}

fn read_head(
    gateway: &Rc<Gateway>,
    call: &Call,
    upstream: ListedUpstream,
    response: Response<Incoming>,
    sender: Sender,
) -> Result<Answer, Failure> {
    let facts = (gateway.dialect.answer_facts)(response.headers());
    gateway.note_answer_head(upstream.key, &facts);
    let status = response.status();
    let has_range = call.headers.contains_key(RANGE);
    match outcome_of(status, &facts, Asked { attempt_id: &call.facts.attempt_id, has_range }) {
        Outcome::Answered => {}
        Outcome::NotRun => return Err(Failure::NotRun { status }),
        Outcome::Unproven => return Err(Failure::Unproven { status }),
        Outcome::Foreign => {
            gateway.pools.doubt(upstream.key, gateway.now());
            let echoed = facts.attempt_id.unwrap_or_default();
            let detail = format!("foreign answer for {echoed:?} with status {status}");
            return Err(Failure::Broken { detail });
        }
    }
    let closes = says_close(response.headers());
    let reuse = if closes { Reuse::Never } else { Reuse::Idle(stated_idle(response.headers())) };
    let is_framed = is_framed(&call.method, response.status(), response.headers());
    Ok(Answer { response, sender, upstream, reuse, is_framed })
}

/// Whether the end of an answer's body is known from its head or in the body itself. A transfer coding that does
/// not end in chunks frames nothing.
fn is_framed(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    if *method == Method::HEAD
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
    {
        return true;
    }
    match headers.get_all(TRANSFER_ENCODING).iter().next_back() {
        Some(codings) => {
            let last = codings.to_str().unwrap_or_default().rsplit(',').next();
            last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
        }
        None => headers.contains_key(CONTENT_LENGTH),
    }
}

fn says_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

fn stated_idle(headers: &HeaderMap) -> Option<Duration> {
    let value: &HeaderValue = headers.get("keep-alive")?;
    let timeout =
        value.to_str().ok()?.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let idle = timeout.trim().parse().ok().map(Duration::from_secs)?;
    Some(idle.min(LONGEST_IDLE))
}

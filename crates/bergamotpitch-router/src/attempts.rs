//! Attempts: one request handed to one upstream, up to the beginning of its answer.

use bergamotpitch_control::Input;
use bergamotpitch_control::inputs::AttemptOutcome;
use bergamotpitch_core::ids::UpstreamId;
use bergamotpitch_core::units::CostUnits;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Request, Response, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use sse_stream::{Sse, SseStream};

use crate::calls::Call;
use crate::contexts::Context;
use crate::headers;

/// Bytes of an answer that are read before any of it is passed on: an upstream that breaks within
/// them has delivered nothing, so that the request may be tried again or refused in clear words.
const HELD_ANSWER_BYTES: usize = 64 << 10;

/// `Begun` is an answer that has begun.
pub enum Begun {
    /// The whole answer.
    Whole {
        /// Status and headers.
        parts: response::Parts,
        /// Body.
        body: Bytes,
    },
    /// An answer of which more is to come.
    Partial {
        /// Status and headers.
        parts: response::Parts,
        /// Beginning of the body.
        first: Bytes,
        /// Rest of the body.
        rest: Incoming,
    },
    /// A stream of events.
    Events {
        /// Status and headers.
        parts: response::Parts,
        /// First event.
        first: Sse,
        /// Further events.
        rest: Box<SseStream<Incoming>>,
    },
}

/// `Failure` is an attempt that brought no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// What failed.
    pub detail: String,
    /// Cost of the attempt, in cost units.
    pub cost: CostUnits,
}

/// `begin` hands a request to an upstream and waits for the beginning of the answer.
///
/// # Errors
///
/// Tells how the attempt failed; the control thread decides what follows.
pub async fn begin(context: &Context, call: &Call, upstream: UpstreamId) -> Result<Begun, Failure> {
    let time = context.until(call.head.deadline);
    match tokio::time::timeout(time, begin_untimed(context, call, upstream)).await {
        Ok(begun) => begun,
        // An upstream that accepts and never answers must not hold the caller past its deadline.
        Err(_) => Err(Failure {
            outcome: AttemptOutcome::DeadlinePassed,
            detail: format!("no answer began within {time:?}"),
            cost: 0,
        }),
    }
}

async fn begin_untimed(
    context: &Context,
    call: &Call,
    upstream: UpstreamId,
) -> Result<Begun, Failure> {
    let response = send(context, call, upstream, None).await?;
    if response.headers().get(headers::RAN).is_some_and(|ran| ran == "not_run") {
        let detail = format!("status {}, which did not start it", response.status());
        return Err(unrun(detail));
    }
    let is_events = is_event_stream(response.headers());
    let (parts, body) = response.into_parts();
    let begun = if is_events { first_event(parts, body).await } else { hold(parts, body).await };
    if let Ok(begun) = &begun {
        context.metrics.record_first_byte(context.now() - call.head.arrived);
        // The end of a whole answer is told at once; its beginning would be a further step of the
        // control thread for nothing.
        if !matches!(begun, Begun::Whole { .. }) {
            context.hint(Input::FirstByte { request: call.request });
        }
    }
    begun
}

/// `send` sends a request to an upstream and waits for the head of the answer; on a resume it names
/// the last event that was delivered.
///
/// # Errors
///
/// Tells how the attempt failed.
pub async fn send(
    context: &Context,
    call: &Call,
    upstream: UpstreamId,
    last_event: Option<&str>,
) -> Result<Response<Incoming>, Failure> {
    let Some(address) = context.snapshot.load().upstream(upstream).map(|known| known.address)
    else {
        return Err(unrun("the upstream is no longer in the sheet".to_owned()));
    };
    let mut request = Request::builder()
        .method(call.head.method.clone())
        .uri(format!("http://{address}{}", call.head.path))
        .body(Full::new(call.body()))
        .map_err(|error| unrun(error.to_string()))?;
    *request.headers_mut() = call.head.headers.clone();
    name_request(request.headers_mut(), call, last_event);
    name_team(request.headers_mut(), context, call);
    let response =
        context.client.request(request).await.map_err(|error| failure_of_error(&error))?;
    if headers::is_true(response.headers(), &headers::LEAVING) {
        context.observe(Input::UpstreamLeaving { upstream }).await;
    }
    Ok(response)
}

fn name_request(headers: &mut HeaderMap, call: &Call, last_event: Option<&str>) {
    if let Ok(name) = HeaderValue::from_str(&call.name) {
        headers.insert(headers::UPSTREAM_REQUEST_ID, name);
    }
    if let Some(Ok(last_event)) = last_event.map(HeaderValue::from_str) {
        headers.insert(headers::LAST_EVENT_ID, last_event);
    }
}

fn name_team(headers: &mut HeaderMap, context: &Context, call: &Call) {
    let snapshot = context.snapshot.load();
    let Some(team) = snapshot.team(call.head.team) else { return };
    // Names hold any letters; the check of the sheet keeps out what a header cannot carry.
    if let Ok(name) = HeaderValue::from_bytes(team.name.as_bytes()) {
        headers.insert(headers::TEAM, name);
    }
}

/// `failure_of_error` tells whether a failed exchange proves that nothing was sent.
///
/// It does in two cases. No connection was made. Or the request was given back by the connection's
/// task before it took it up: `hyper` gives it back with the kind "canceled", and with no other; a
/// request that was taken up, of which bytes may have been written, fails with another kind.
fn failure_of_error(error: &hyper_util::client::legacy::Error) -> Failure {
    use std::error::Error as _;
    let cause = error.source().and_then(|source| source.downcast_ref::<hyper::Error>());
    let detail = match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    };
    if error.is_connect() || cause.is_some_and(hyper::Error::is_canceled) {
        return unrun(detail);
    }
    if cause.is_some_and(hyper::Error::is_parse) {
        return Failure { outcome: AttemptOutcome::Garbage, detail, cost: 0 };
    }
    failed(detail)
}

async fn first_event(parts: response::Parts, body: Incoming) -> Result<Begun, Failure> {
    let mut rest = Box::new(SseStream::new(body));
    match rest.next().await {
        Some(Ok(first)) => Ok(Begun::Events { parts, first, rest }),
        Some(Err(error)) => Err(failed(error.to_string())),
        None => Err(failed("the stream ended before its first event".to_owned())),
    }
}

async fn hold(parts: response::Parts, mut body: Incoming) -> Result<Begun, Failure> {
    let mut first = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| failed(error.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        first.extend_from_slice(&data);
        if HELD_ANSWER_BYTES <= first.len() {
            return Ok(Begun::Partial { parts, first: first.freeze(), rest: body });
        }
    }
    Ok(Begun::Whole { parts, body: first.freeze() })
}

/// `is_event_stream` tells whether an answer is a stream of events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.starts_with("text/event-stream"))
}

fn failed(detail: String) -> Failure {
    Failure { outcome: AttemptOutcome::FailedBeforeAnswer, detail, cost: 0 }
}

fn unrun(detail: String) -> Failure {
    Failure { outcome: AttemptOutcome::ProvedUnrun, detail, cost: 0 }
}

//! Refusals: the answer to a request that no upstream answers, as problem details (RFC 9457).

use std::time::Duration;

use bergamotpitch_control::outputs::Refusal;
use bergamotpitch_core::refusals::{Ran, RefusalReason};
use dropshot::Body;
use http::{HeaderName, Response, StatusCode, header};
use serde::Serialize;

/// Header that carries a request's id.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("bergamotpitch-request-id");

/// Prefix of the problem type; the reason code follows.
const TYPE_PREFIX: &str = "urn:bergamotpitch:refusal:";

/// `Problem` is the body of a refusal.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Problem {
    /// Kind of problem, one for each reason.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short text, the same for every problem of this kind.
    pub title: &'static str,
    /// Status code of the answer.
    pub status: u16,
    /// What is the matter and what the caller can do.
    pub detail: String,
    /// Reason code.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub ran: Ran,
    /// The request.
    pub request_id: String,
    /// Time after which the caller should come back, in milliseconds.
    pub retry_after_ms: u64,
}

/// `response_of_refusal` makes the answer that tells a caller of a refusal.
pub fn response_of_refusal(request_id: &str, refusal: Refusal) -> Response<Body> {
    let status = status_of_reason(refusal.reason);
    let retry_after_ms = u64::try_from(refusal.retry_after.as_millis()).unwrap_or(u64::MAX);
    let problem = Problem {
        kind: format!("{TYPE_PREFIX}{}", refusal.reason),
        title: title_of_reason(refusal.reason),
        status: status.as_u16(),
        detail: detail_of_refusal(&refusal),
        reason: refusal.reason,
        ran: refusal.ran,
        request_id: request_id.to_owned(),
        retry_after_ms,
    };
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let response = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/problem+json")
        .header(header::RETRY_AFTER, refusal.retry_after.as_millis().div_ceil(1_000).to_string())
        .header(REQUEST_ID, request_id)
        .body(Body::from(body));
    response.unwrap_or_else(|_| Response::new(Body::empty()))
}

/// `not_run` makes a refusal of a request that was never handed to an upstream.
pub fn not_run(reason: RefusalReason, retry_after: Duration) -> Refusal {
    Refusal { reason, ran: Ran::NotRun, retry_after }
}

fn status_of_reason(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::UnknownTeam => StatusCode::UNAUTHORIZED,
        RefusalReason::ServiceNotAllowed => StatusCode::FORBIDDEN,
        RefusalReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::BadRequest => StatusCode::BAD_REQUEST,
        RefusalReason::QueueFull | RefusalReason::RetryBudgetSpent => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::ClaimOutcomeUnknown => StatusCode::CONFLICT,
        RefusalReason::ClaimMismatch => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::UpstreamFailed | RefusalReason::UpstreamGarbage => StatusCode::BAD_GATEWAY,
        RefusalReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::DeadlineUnreachable
        | RefusalReason::NoUpstream
        | RefusalReason::NoAllowedRegion
        | RefusalReason::StreamVersionUnknown
        | RefusalReason::StreamVersionGone
        | RefusalReason::PromptPartBlocked
        | RefusalReason::RequestBlocked
        | RefusalReason::Draining
        | RefusalReason::NotReady
        | RefusalReason::ClaimUnavailable
        | RefusalReason::InstanceBusy
        | RefusalReason::InstanceFull
        | RefusalReason::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn title_of_reason(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::UnknownTeam => "The bearer key is missing or belongs to no team.",
        RefusalReason::ServiceNotAllowed => "The service does not exist for this team.",
        RefusalReason::BodyTooLarge => "The body is larger than the limit.",
        RefusalReason::BadRequest => "The request is malformed.",
        RefusalReason::QueueFull => "The team's queue is full.",
        RefusalReason::DeadlineUnreachable => "The request cannot be served by its deadline.",
        RefusalReason::DeadlinePassed => "The deadline passed.",
        RefusalReason::NoUpstream => "No live upstream serves the service.",
        RefusalReason::NoAllowedRegion => "The route and the team have no region in common.",
        RefusalReason::StreamVersionUnknown => "The software version of the stream is not known.",
        RefusalReason::StreamVersionGone => "No upstream runs the software version of the stream.",
        RefusalReason::PromptPartBlocked => "A part of the prompt crashes upstreams.",
        RefusalReason::RequestBlocked => "Upstreams crash under the request.",
        RefusalReason::Draining => "This instance is leaving.",
        RefusalReason::NotReady => "This instance has no configuration yet.",
        RefusalReason::ClaimUnavailable => "The idempotency key cannot be claimed now.",
        RefusalReason::ClaimOutcomeUnknown => "The idempotency key was used before.",
        RefusalReason::ClaimMismatch => "The idempotency key was used with another request.",
        RefusalReason::UpstreamFailed => "The upstream failed.",
        RefusalReason::UpstreamGarbage => "The upstream did not answer in HTTP.",
        RefusalReason::RetryBudgetSpent => "The team's retry budget is spent.",
        RefusalReason::InstanceBusy => "This instance has no processor time left.",
        RefusalReason::InstanceFull => "This instance has no memory left.",
        RefusalReason::Overloaded => "This instance is overloaded.",
    }
}

fn detail_of_refusal(refusal: &Refusal) -> String {
    let ran = match refusal.ran {
        Ran::NotRun => "The request did not run and never will.",
        Ran::Unknown => "The request was handed over; whether it ran is not known.",
    };
    let retry_after_ms = refusal.retry_after.as_millis();
    format!("{ran} Come back in {retry_after_ms} ms or later.")
}

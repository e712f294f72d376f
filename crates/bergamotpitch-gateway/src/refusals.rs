//! Refusals: answers that the gateway makes itself.

use std::time::Duration;

use bergamotpitch_core::refusals::{Ran, RefusalReason};
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use crate::bodies::AnswerBody;
use crate::dialects::Dialect;

/// `Refusal` is why a request gets no upstream's answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Status that the caller sees.
    pub status: StatusCode,
    /// Why.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub ran: Ran,
    /// When it is worth coming back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// `not_run` refuses a request that did not run and never will, with when to come back.
    pub fn not_run(reason: RefusalReason, retry_after: Duration) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, reason, ran: Ran::NotRun, retry_after: Some(retry_after) }
    }

    /// `denied` refuses a request that will not be served however often it comes.
    pub fn denied(status: StatusCode, reason: RefusalReason) -> Self {
        Self { status, reason, ran: Ran::NotRun, retry_after: None }
    }

    /// `unknown` tells that a request was sent and that its outcome is not known.
    pub fn unknown(status: StatusCode, reason: RefusalReason) -> Self {
        Self { status, reason, ran: Ran::Unknown, retry_after: None }
    }
}

/// `Problem` is the body of a refusal, as RFC 9457 lays it out.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    title: String,
    status: u16,
    request: &'a str,
    ran: Ran,
}

/// `response_of_refusal` makes the answer.
pub fn response_of_refusal(
    dialect: &Dialect,
    attempt_id: &str,
    refusal: &Refusal,
    closes: bool,
) -> Response<AnswerBody> {
    let problem = Problem {
        title: refusal.reason.to_string(),
        status: refusal.status.as_u16(),
        request: attempt_id,
        ran: refusal.ran,
    };
    // The type serialises without fail; an empty body still carries the status.
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = Response::new(AnswerBody::whole(Bytes::from(body)));
    *response.status_mut() = refusal.status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    if let Some(retry_after) = refusal.retry_after
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, value);
    }
    if closes {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    (dialect.write_own_headers)(headers, attempt_id);
    response
}

//! Refusals: answers that the gateway makes itself.

use std::fmt;
use std::time::Duration;

use bergamotpitch_control::traffic::team_windows::ShareClass;
use bergamotpitch_control::traffic::upstream_candidates::Limit;
use bergamotpitch_core::ids::InstanceId;
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
    /// On what it was decided, for the log.
    pub inputs: Inputs,
}

/// `Inputs` are what a refusal was decided on, as far as it came to that.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Inputs {
    /// How the request stood against its team's share.
    pub share_class: Option<ShareClass>,
    /// Requests at the upstream that had fewest.
    pub least_requests: Option<u32>,
    /// What kept it from the upstream that was first worth asking again.
    pub refused_by: Option<Limit>,
    /// Instance that decided, when it was another one.
    pub grantor: Option<InstanceId>,
}

impl fmt::Display for Inputs {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.share_class {
            Some(share_class) => write!(formatter, "standing={share_class}")?,
            None => formatter.write_str("standing=-")?,
        }
        if let Some(requests) = self.least_requests {
            write!(formatter, " least_requests={requests}")?;
        }
        if let Some(limit) = self.refused_by {
            write!(formatter, " refused_by={limit}")?;
        }
        write!(formatter, " granter={}", self.grantor.unwrap_or_default())
    }
}

impl Refusal {
    /// `not_run` refuses a request that did not run and never will, with when to come back.
    pub fn not_run(reason: RefusalReason, retry_after: Duration) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let (retry_after, inputs) = (Some(retry_after), Inputs::default());
        Self { status, reason, ran: Ran::NotRun, retry_after, inputs }
    }

    /// `decided_on` adds on what it was decided.
    pub fn decided_on(self, inputs: Inputs) -> Self {
        Self { inputs, ..self }
    }

    /// `denied` refuses a request that will not be served however often it comes.
    pub fn denied(status: StatusCode, reason: RefusalReason) -> Self {
        let inputs = Inputs::default();
        Self { status, reason, ran: Ran::NotRun, retry_after: None, inputs }
    }

    /// `not_resumable` refuses to go on with a stream: it will not be possible later either, and the caller
    /// may begin anew.
    pub fn not_resumable(reason: RefusalReason) -> Self {
        Self::denied(StatusCode::SERVICE_UNAVAILABLE, reason)
    }

    /// `unknown` tells that a request was sent and that its outcome is not known.
    pub fn unknown(status: StatusCode, reason: RefusalReason) -> Self {
        let inputs = Inputs::default();
        Self { status, reason, ran: Ran::Unknown, retry_after: None, inputs }
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

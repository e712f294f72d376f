//! Claims: calls that may not be repeated and carry an idempotency key run once, whichever instance
//! the caller asks and however often.

use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::idempotency::claims::{
    ClaimKey, Fingerprint, HeaderLine, Outcome, claim_key, request_fingerprint,
};
use bergamotpitch_control::outputs::{Event, Refusal};
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::refusals::{Ran, RefusalReason};
use bergamotpitch_platform::claims::{ClaimResult, ClaimToken, HandedOver};
use dropshot::Body;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, ETAG, LOCATION};
use http::{HeaderName, HeaderValue, Response, StatusCode};
use tokio_util::sync::CancellationToken;

use crate::attempts::Begun;
use crate::calls::{self, Call};
use crate::contexts::Context;
use crate::guards::CallGuard;
use crate::headers::IDEMPOTENCY_KEY;
use crate::refusals::{REQUEST_ID, not_run};

/// Time after which a caller should come back when the platform cannot be reached.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Header of an answer that was given before to the same idempotency key.
pub const REPLAYED: HeaderName = HeaderName::from_static("idempotent-replayed");

/// Headers of an answer that are kept with its outcome.
const KEPT_HEADERS: [HeaderName; 3] = [CONTENT_TYPE, ETAG, LOCATION];

/// `Claim` is what a call holds of its idempotency key.
#[derive(Debug)]
pub enum Claim {
    /// The call needs no claim.
    NotNeeded,
    /// The key is claimed and the call has not been handed over.
    Held(ClaimToken),
    /// The call was handed over.
    HandedOver(HandedOver),
}

impl Claim {
    /// `hand_over` is called right before a call is sent; none means that it must not be sent.
    pub fn hand_over(self) -> Option<Self> {
        match self {
            Self::NotNeeded => Some(Self::NotNeeded),
            Self::Held(token) => token.hand_over().map(Self::HandedOver),
            // A second attempt without a proof that the first did not run never comes about; if it
            // did, it must not be sent.
            Self::HandedOver(_) => None,
        }
    }

    /// `take_back` undoes a hand-over that provably did not start the call.
    pub fn take_back(self) -> Self {
        match self {
            Self::HandedOver(handed_over) => Self::Held(handed_over.proved_unrun()),
            other => other,
        }
    }

    /// `record` keeps the answer for whoever uses the key next.
    pub fn record(self, begun: &Begun) {
        let Self::HandedOver(handed_over) = self else { return };
        handed_over.record(outcome_of_answer(begun));
    }
}

/// `key_of_call` is the claim that a call needs: it may not be repeated and its caller names it.
fn key_of_call(context: &Context, call: &Call) -> Option<(ClaimKey, Fingerprint)> {
    if call.is_repeatable() {
        return None;
    }
    let named = call.head.headers.get(IDEMPOTENCY_KEY)?;
    let snapshot = context.snapshot.load();
    let team = snapshot.team(call.head.team)?;
    let key = String::from_utf8_lossy(named.as_bytes());
    let claim = claim_key(&team.name, &call.head.service.name, &key);
    let fingerprint = request_fingerprint(call.head.method.as_str(), &call.head.path, &call.body());
    Some((claim, fingerprint))
}

/// `carry` carries a call to its answer, claiming its idempotency key first if it needs that.
///
/// # Errors
///
/// The refusal that the caller is told.
pub async fn carry(
    context: &Arc<Context>,
    call: Arc<Call>,
    guard: CallGuard,
) -> Result<Response<Body>, Refusal> {
    let Some((key, fingerprint)) = key_of_call(context, &call) else {
        let present = CancellationToken::new();
        return calls::follow(context, call, guard, Claim::NotNeeded, present).await;
    };
    match context.claims.claim(key, fingerprint).await {
        ClaimResult::Won(token) => {
            note(context, &call, EventKind::ClaimMade);
            carry_claimed(context, call, guard, token).await
        }
        ClaimResult::Answered(outcome) => {
            note(context, &call, EventKind::ClaimTaken);
            guard.close();
            response_of_outcome(&call, outcome)
                .ok_or_else(|| refuse(context, &call, RefusalReason::ClaimOutcomeUnknown))
        }
        result => {
            guard.close();
            Err(refuse(context, &call, reason_of_result(&result)))
        }
    }
}

/// `carry_claimed` carries on when the caller leaves once the call was handed over: its outcome is
/// then there for the caller's next try, which else would hear "outcome unknown".
async fn carry_claimed(
    context: &Arc<Context>,
    call: Arc<Call>,
    guard: CallGuard,
    token: ClaimToken,
) -> Result<Response<Body>, Refusal> {
    let left = CancellationToken::new();
    let _present = left.clone().drop_guard();
    let held = Arc::clone(context);
    let carried =
        tokio::spawn(
            async move { calls::follow(&held, call, guard, Claim::Held(token), left).await },
        );
    match carried.await {
        Ok(answer) => answer,
        Err(error) => {
            log::error!("a call with a claim ended early: {error}");
            Err(unknown(RefusalReason::UpstreamFailed))
        }
    }
}

fn reason_of_result(result: &ClaimResult) -> RefusalReason {
    match result {
        ClaimResult::Mismatch => RefusalReason::ClaimMismatch,
        ClaimResult::Unavailable => RefusalReason::ClaimUnavailable,
        _ => RefusalReason::ClaimOutcomeUnknown,
    }
}

fn refuse(context: &Context, call: &Call, reason: RefusalReason) -> Refusal {
    let event = Event::of_kind(EventKind::RequestRefused)
        .with_request(call.request)
        .with_team(call.head.team)
        .with_detail(reason.to_string());
    context.note(event);
    match reason {
        RefusalReason::ClaimOutcomeUnknown => unknown(reason),
        _ => not_run(reason, RETRY_AFTER),
    }
}

fn unknown(reason: RefusalReason) -> Refusal {
    Refusal { reason, ran: Ran::Unknown, retry_after: RETRY_AFTER }
}

fn note(context: &Context, call: &Call, kind: EventKind) {
    let event = Event::of_kind(kind).with_request(call.request).with_team(call.head.team);
    context.note(event);
}

fn outcome_of_answer(begun: &Begun) -> Outcome {
    let (parts, body) = match begun {
        Begun::Whole { parts, body } => (parts, Some(body.to_vec())),
        Begun::Partial { parts, .. } | Begun::Events { parts, .. } => (parts, None),
    };
    let headers = KEPT_HEADERS.iter().filter_map(|name| {
        let value = parts.headers.get(name)?.to_str().ok()?.to_owned();
        Some(HeaderLine { name: name.to_string(), value })
    });
    Outcome { status: parts.status.as_u16(), headers: headers.collect(), body }
}

/// `response_of_outcome` is the answer that was given before; none when it was too long to be kept.
fn response_of_outcome(call: &Call, outcome: Outcome) -> Option<Response<Body>> {
    let body = outcome.body?;
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = StatusCode::from_u16(outcome.status).ok()?;
    for line in &outcome.headers {
        let name: HeaderName = line.name.parse().ok()?;
        response.headers_mut().insert(name, HeaderValue::from_str(&line.value).ok()?);
    }
    response.headers_mut().remove(CONTENT_LENGTH);
    response.headers_mut().insert(REPLAYED, HeaderValue::from_static("true"));
    response.headers_mut().insert(REQUEST_ID, HeaderValue::from_str(&call.name).ok()?);
    Some(response)
}

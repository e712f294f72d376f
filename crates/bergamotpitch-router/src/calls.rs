//! Calls: the way of one request from its arrival to its answer or refusal.

use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::Input;
use bergamotpitch_control::inputs::AttemptOutcome;
use bergamotpitch_control::outputs::{Event, Refusal};
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::{RequestId, UpstreamId};
use bergamotpitch_core::refusals::{Ran, RefusalReason};
use bytes::Bytes;
use dropshot::Body;
use http::{Request, Response};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::answers;
use crate::arrivals::{self, Chat, Head, HeldBody};
use crate::attempts;
use crate::claims::{self, Claim};
use crate::contexts::{Context, ControlInput, Decision};
use crate::guards::CallGuard;
use crate::refusals::{not_run, response_of_refusal};

/// Time after its deadline at which a call stops waiting for a decision.
const DECISION_GRACE: Duration = Duration::from_secs(5);

/// Time after which a refused caller should come back when nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Call` is one request of a caller.
#[derive(Debug)]
pub struct Call {
    /// The request.
    pub request: RequestId,
    /// The request, as callers and upstreams see it.
    pub name: String,
    /// What it says before its body.
    pub head: Head,
    /// What its body says, for an engine.
    pub chat: Chat,
    body: HeldBody,
}

impl Call {
    /// `is_repeatable` tells whether it may be sent again after an attempt that may have run.
    pub fn is_repeatable(&self) -> bool {
        self.head.service.repeatable || self.head.method.is_safe()
    }

    /// `body` is the body towards the upstream.
    pub fn body(&self) -> Bytes {
        self.body.bytes.clone()
    }
}

/// `answer` answers one request of a caller.
pub async fn answer(context: &Arc<Context>, request: Request<Body>) -> Response<Body> {
    let number = context.fresh_request();
    let name = context.request_name(number);
    match carry(context, number, &name, request).await {
        Ok(response) => response,
        Err(refusal) => response_of_refusal(&name, refusal),
    }
}

async fn carry(
    context: &Arc<Context>,
    request: RequestId,
    name: &str,
    received: Request<Body>,
) -> Result<Response<Body>, Refusal> {
    let Some(guard) = CallGuard::open(context, request) else {
        return Err(refuse_early(context, request, None, RefusalReason::Overloaded));
    };
    let call = match read_call(context, request, name, received).await {
        Ok(call) => Arc::new(call),
        Err((head, reason)) => {
            guard.close();
            return Err(refuse_early(context, request, head.as_ref(), reason));
        }
    };
    claims::carry(context, call, guard).await
}

async fn read_call(
    context: &Arc<Context>,
    request: RequestId,
    name: &str,
    received: Request<Body>,
) -> Result<Call, (Option<Head>, RefusalReason)> {
    let (parts, body) = received.into_parts();
    let head = arrivals::check_head(context, &parts).map_err(|reason| (None, reason))?;
    let body = match arrivals::read_body(context, &head, &parts.headers, body).await {
        Ok(body) => body,
        Err(reason) => return Err((Some(head), reason)),
    };
    match arrivals::read_chat(&head, &body.bytes) {
        Ok(chat) => Ok(Call { request, name: name.to_owned(), head, chat, body }),
        Err(reason) => Err((Some(head), reason)),
    }
}

fn refuse_early(
    context: &Context,
    request: RequestId,
    head: Option<&Head>,
    reason: RefusalReason,
) -> Refusal {
    let event = Event::of_kind(EventKind::RequestRefused)
        .with_request(request)
        .with_detail(reason.to_string());
    context.note(match head {
        Some(head) => event.with_team(head.team),
        None => event,
    });
    not_run(reason, RETRY_AFTER)
}

/// `follow` queues a call and follows what the control thread decides, up to the beginning of its
/// answer. A call that was not handed over is given up when its caller has left.
///
/// # Errors
///
/// The refusal that the caller is told.
pub async fn follow(
    context: &Arc<Context>,
    call: Arc<Call>,
    mut guard: CallGuard,
    mut claim: Claim,
    left: CancellationToken,
) -> Result<Response<Body>, Refusal> {
    let mut decisions = queue(context, &call, &mut guard).await?;
    let mut ran = Ran::NotRun;
    loop {
        let Some(decision) = next_decision(context, &call, &mut decisions, &left).await else {
            // The control thread has ended or has lost the request: the caller is told the truth
            // as far as this thread knows it.
            return Err(Refusal {
                reason: RefusalReason::Overloaded,
                ran,
                retry_after: RETRY_AFTER,
            });
        };
        let (upstream, attempt) = match decision {
            Decision::Dispatch { upstream, attempt } => (upstream, attempt),
            Decision::Refuse(refusal) => {
                guard.close();
                return Err(refusal);
            }
        };
        if attempt == 1 {
            context.metrics.record_queue_time(context.now() - call.head.arrived);
        }
        let Some(handed_over) = claim.hand_over() else {
            return Err(Refusal {
                reason: RefusalReason::ClaimUnavailable,
                ran,
                retry_after: RETRY_AFTER,
            });
        };
        claim = handed_over;
        match attempts::begin(context, &call, upstream).await {
            Ok(begun) => {
                claim.record(&begun);
                return Ok(answers::pass_on(context, call, guard, upstream, begun));
            }
            Err(failure) => {
                if failure.outcome == AttemptOutcome::ProvedUnrun {
                    claim = claim.take_back();
                } else {
                    ran = Ran::Unknown;
                }
                report_failure(context, &call, upstream, failure).await;
            }
        }
    }
}

async fn queue(
    context: &Context,
    call: &Call,
    guard: &mut CallGuard,
) -> Result<mpsc::Receiver<Decision>, Refusal> {
    let arrival = arrivals::arrival_of_call(call.request, &call.head, &call.body.bytes, &call.chat);
    let (sender, decisions) = mpsc::channel(2);
    guard.mark_queued();
    let arrived = ControlInput::Arrived { arrival, decisions: sender };
    match context.controls.send(arrived).await {
        Ok(()) => Ok(decisions),
        Err(_) => Err(not_run(RefusalReason::Draining, RETRY_AFTER)),
    }
}

async fn next_decision(
    context: &Context,
    call: &Call,
    decisions: &mut mpsc::Receiver<Decision>,
    left: &CancellationToken,
) -> Option<Decision> {
    let patience = context.until(call.head.deadline) + DECISION_GRACE;
    tokio::select! {
        biased;
        () = left.cancelled() => None,
        decision = tokio::time::timeout(patience, decisions.recv()) => decision.ok().flatten(),
    }
}

async fn report_failure(
    context: &Context,
    call: &Call,
    upstream: UpstreamId,
    failure: attempts::Failure,
) {
    let event = Event::of_kind(EventKind::AttemptFailed)
        .with_request(call.request)
        .with_team(call.head.team)
        .with_upstream(upstream)
        .with_detail(failure.detail);
    context.note(event);
    let ended =
        Input::AttemptEnded { request: call.request, outcome: failure.outcome, cost: failure.cost };
    context.observe(ended).await;
}

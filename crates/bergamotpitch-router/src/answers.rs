//! Answers: what an upstream answers, passed on to the caller.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context as TaskContext, Poll, ready};

use bergamotpitch_control::inputs::AttemptOutcome;
use bergamotpitch_core::ids::UpstreamId;
use bytes::Bytes;
use displaydoc::Display;
use dropshot::Body;
use futures::Stream;
use http::header::CONTENT_LENGTH;
use http::{HeaderValue, Response, response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use sse_stream::SseBody;
use thiserror::Error as ThisError;
use tokio::sync::mpsc;

use crate::attempts::Begun;
use crate::calls::Call;
use crate::contexts::Context;
use crate::guards::CallGuard;
use crate::headers;
use crate::refusals::REQUEST_ID;
use crate::streams;
use crate::usages::cost_of_answer;

/// Pieces of an answer that wait for a slow caller; the upstream is read no faster than that.
pub const PIECES: usize = 16;

/// `Piece` is a piece of an answer on its way to the caller.
#[derive(Debug)]
pub enum Piece<T> {
    /// Some of it.
    Data(T),
    /// Its end: the answer is whole.
    End,
}

/// `AnswerError` breaks the connection to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, ThisError)]
pub enum AnswerError {
    /// the upstream's answer broke off
    Cut,
}

/// `Pieces` is an answer as the caller's connection takes it.
///
/// A channel that closes without [`Piece::End`] is an error: whatever ends the sender early, a cut
/// answer must not look to the caller like a whole one.
pub struct Pieces<T> {
    receiver: mpsc::Receiver<Piece<T>>,
    is_over: bool,
}

impl<T> Pieces<T> {
    /// `of_channel` makes an answer of what comes over a channel.
    pub fn of_channel(receiver: mpsc::Receiver<Piece<T>>) -> Self {
        Self { receiver, is_over: false }
    }
}

impl<T> Stream for Pieces<T> {
    type Item = Result<T, AnswerError>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut TaskContext<'_>,
    ) -> Poll<Option<Self::Item>> {
        if self.is_over {
            return Poll::Ready(None);
        }
        let piece = ready!(self.receiver.poll_recv(context));
        if let Some(Piece::Data(data)) = piece {
            return Poll::Ready(Some(Ok(data)));
        }
        self.is_over = true;
        match piece {
            Some(_) => Poll::Ready(None),
            None => Poll::Ready(Some(Err(AnswerError::Cut))),
        }
    }
}

/// `pass_on` passes an answer that has begun on to the caller.
pub fn pass_on(
    context: &Arc<Context>,
    call: Arc<Call>,
    guard: CallGuard,
    upstream: UpstreamId,
    begun: Begun,
) -> Response<Body> {
    match begun {
        Begun::Whole { parts, body } => {
            let cost = cost_of_answer(&call.head.service, parts.status.is_success(), &body);
            guard.settle(AttemptOutcome::Answered, cost);
            response_of_parts(&call, parts, Body::from(body))
        }
        Begun::Partial { parts, first, rest } => {
            let (sender, receiver) = mpsc::channel(PIECES);
            let cost = cost_of_answer(&call.head.service, parts.status.is_success(), &[]);
            tokio::spawn(pass_bytes(Arc::clone(context), sender, guard, first, rest, cost));
            let frames = futures::StreamExt::map(Pieces::of_channel(receiver), |piece| {
                piece.map(Frame::<Bytes>::data)
            });
            response_of_parts(&call, parts, Body::wrap(StreamBody::new(frames)))
        }
        Begun::Events { mut parts, first, rest } => {
            parts.headers.remove(CONTENT_LENGTH);
            let (sender, receiver) = mpsc::channel(PIECES);
            let stream = streams::EventStream::of_call(
                Arc::clone(context),
                Arc::clone(&call),
                upstream,
                rest,
            );
            tokio::spawn(stream.pass_events(sender, guard, first));
            response_of_parts(&call, parts, Body::wrap(SseBody::new(Pieces::of_channel(receiver))))
        }
    }
}

fn response_of_parts(call: &Call, parts: response::Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers::answer_headers(&parts.headers);
    if let Ok(name) = HeaderValue::from_str(&call.name) {
        response.headers_mut().insert(REQUEST_ID, name);
    }
    response
}

/// `send_piece` hands a piece to the caller's connection; false when the caller is gone.
///
/// A caller that keeps its connection open and takes nothing would otherwise hold an engine's slot
/// for as long as it likes.
pub async fn send_piece<T>(
    context: &Context,
    sender: &mpsc::Sender<Piece<T>>,
    piece: Piece<T>,
) -> bool {
    let sent = tokio::time::timeout(context.options.delivery_timeout, sender.send(piece)).await;
    matches!(sent, Ok(Ok(())))
}

async fn pass_bytes(
    context: Arc<Context>,
    sender: mpsc::Sender<Piece<Bytes>>,
    guard: CallGuard,
    first: Bytes,
    mut rest: Incoming,
    cost: u64,
) {
    if !send_piece(&context, &sender, Piece::Data(first)).await {
        return;
    }
    loop {
        let frame = tokio::select! {
            // The guard reports that the caller left, and the upstream's connection closes.
            () = sender.closed() => return,
            frame = rest.frame() => frame,
        };
        match frame {
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                if !send_piece(&context, &sender, Piece::Data(data)).await {
                    return;
                }
            }
            Some(Err(error)) => {
                log::info!("an answer broke off: {error}");
                guard.settle(AttemptOutcome::AnswerCut, cost);
                return;
            }
            None => {
                guard.settle(AttemptOutcome::Answered, cost);
                let _ = sender.send(Piece::End).await;
                return;
            }
        }
    }
}

//! Streams: the events of an engine's answer, resumed where they break.

use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::Input;
use bergamotpitch_control::inputs::AttemptOutcome;
use bergamotpitch_core::ids::UpstreamId;
use futures::StreamExt;
use http::StatusCode;
use hyper::body::Incoming;
use sse_stream::{Sse, SseStream};
use tokio::sync::mpsc;

use crate::answers::{Piece, send_piece};
use crate::attempts;
use crate::calls::Call;
use crate::contexts::Context;
use crate::guards::CallGuard;
use crate::usages::Tally;

/// Resumes in a row that bring no event before the answer is given up as cut.
const RESUME_LIMIT: u32 = 4;

/// Pause before the first resume; it doubles with each further one.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// Time for the engine to end its answer after the last event; the connection is used again then.
const END_TIMEOUT: Duration = Duration::from_millis(500);

/// Events between two reports of progress to the control thread.
const PROGRESS_EVENTS: u64 = 16;

/// `EventStream` is an engine's answer on its way to the caller.
pub struct EventStream {
    context: Arc<Context>,
    call: Arc<Call>,
    upstream: UpstreamId,
    events: Box<SseStream<Incoming>>,
    tally: Tally,
    last_id: Option<String>,
    resumes: u32,
}

enum Next {
    Event(Sse),
    Broken(String),
    CallerLeft,
}

impl EventStream {
    /// `of_call` makes the stream of an answer that has begun.
    pub fn of_call(
        context: Arc<Context>,
        call: Arc<Call>,
        upstream: UpstreamId,
        events: Box<SseStream<Incoming>>,
    ) -> Self {
        let tally = Tally::of_prompt(&call.head.service, call.chat.known_cost);
        Self { context, call, upstream, events, tally, last_id: None, resumes: 0 }
    }

    /// `pass_events` passes the events on until the answer is whole, is cut, or the caller leaves.
    pub async fn pass_events(
        mut self,
        sender: mpsc::Sender<Piece<Sse>>,
        guard: CallGuard,
        first: Sse,
    ) {
        let mut next = Next::Event(first);
        loop {
            match next {
                Next::Event(event) => {
                    // The guard reports that the caller left, and the engine's connection closes,
                    // which cancels the request there.
                    if !self.deliver(&sender, event).await {
                        return;
                    }
                    if self.tally.is_done {
                        self.end(&sender, guard).await;
                        return;
                    }
                }
                Next::Broken(detail) => {
                    log::info!("the stream of {} broke: {detail}", self.call.name);
                    if !self.resume(&sender).await {
                        guard.settle(AttemptOutcome::AnswerCut, self.tally.cost());
                        return;
                    }
                }
                Next::CallerLeft => return,
            }
            next = self.next(&sender).await;
        }
    }

    async fn next(&mut self, sender: &mpsc::Sender<Piece<Sse>>) -> Next {
        let stall_timeout = self.context.options.stall_timeout;
        let event = tokio::time::timeout(stall_timeout, self.events.next());
        let event = tokio::select! {
            () = sender.closed() => return Next::CallerLeft,
            event = event => event,
        };
        match event {
            Ok(Some(Ok(event))) => Next::Event(event),
            Ok(Some(Err(error))) => Next::Broken(error.to_string()),
            Ok(None) => Next::Broken("it ended before its last event".to_owned()),
            Err(_) => Next::Broken(format!("no event within {stall_timeout:?}")),
        }
    }

    async fn deliver(&mut self, sender: &mpsc::Sender<Piece<Sse>>, event: Sse) -> bool {
        if self.is_repeated(&event) {
            return true;
        }
        self.resumes = 0;
        if let Some(data) = &event.data {
            self.tally.count(&self.call.head.service, data);
        }
        if event.id.is_some() {
            self.last_id.clone_from(&event.id);
        }
        self.report_progress();
        send_piece(&self.context, sender, Piece::Data(event)).await
    }

    /// `is_repeated` tells whether an event came before: an engine that resumes too early would
    /// otherwise make the caller see a part of its answer twice.
    fn is_repeated(&self, event: &Sse) -> bool {
        let number = |id: &Option<String>| id.as_ref().and_then(|id| id.parse::<u64>().ok());
        match (number(&event.id), number(&self.last_id)) {
            (Some(id), Some(last_id)) => id <= last_id,
            _ => false,
        }
    }

    fn report_progress(&self) {
        if self.tally.counted_tokens().is_multiple_of(PROGRESS_EVENTS) {
            let cost = self.tally.cost();
            self.context.hint(Input::Progressed { request: self.call.request, cost });
        }
    }

    async fn end(&mut self, sender: &mpsc::Sender<Piece<Sse>>, guard: CallGuard) {
        guard.settle(AttemptOutcome::Answered, self.tally.cost());
        let _ = sender.send(Piece::End).await;
        let _ = tokio::time::timeout(END_TIMEOUT, self.events.next()).await;
    }

    /// `resume` asks the engine to go on after the last event delivered; false when it does not.
    async fn resume(&mut self, sender: &mpsc::Sender<Piece<Sse>>) -> bool {
        while self.resumes < RESUME_LIMIT {
            let Some(last_id) = self.last_id.clone() else { return false };
            let pause = RESUME_PAUSE * 2_u32.pow(self.resumes);
            self.resumes += 1;
            let resumed = async {
                tokio::time::sleep(pause).await;
                let response =
                    attempts::send(&self.context, &self.call, self.upstream, Some(&last_id));
                tokio::time::timeout(self.context.options.resume_timeout, response).await
            };
            let resumed = tokio::select! {
                () = sender.closed() => return false,
                resumed = resumed => resumed,
            };
            if let Ok(Ok(response)) = resumed
                && response.status() == StatusCode::OK
                && attempts::is_event_stream(response.headers())
            {
                *self.events = SseStream::new(response.into_body());
                return true;
            }
        }
        false
    }
}

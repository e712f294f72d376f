//! Bodies: answers as they go to the caller, whole or as a stream of events.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::units::Timestamp;
use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::Sleep;

use crate::answer_ends::{AnswerEnd, EndFlaw};
use crate::attempts::note_failure;
use crate::callers::InRequest;
use crate::calls::Call;
use crate::connections::Sender;
use crate::crashes::{ANSWERED_TIME, AnswerProgress, BrokenAttempt, GivenAnswer};
use crate::drains::Stage;
use crate::errors::Cut;
use crate::exchanges::{self, Answer, Failure, Reuse};
use crate::gateways::{Gateway, InFlight};
use crate::held_bytes::{Hold, UNCOUNTED_BYTES, capacity_for};
use crate::identities::ListedUpstream;
use crate::logs::{SharedParts, decision};
use crate::placements::{Run, place};
use crate::sse::EventCutter;

/// `ANSWER_LIMIT_BYTES` bounds an answer that is read in full before it is passed on.
const ANSWER_LIMIT_BYTES: usize = 8 << 20;

/// `RESUME_LIMIT` bounds how often one stream goes on at another upstream.
const RESUME_LIMIT: u32 = 2;

/// `AnswerBody` is the body of an answer to a caller.
pub enum AnswerBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// Events as they come.
    Stream(Box<StreamAnswer>),
}

impl AnswerBody {
    /// `whole` is a body that is known in full.
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(stream) => stream.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// `is_event_stream` tells whether an answer is a stream of events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.starts_with("text/event-stream"))
}

/// `read_whole` reads an answer to its end; what it takes is held meanwhile.
///
/// # Errors
///
/// Fails when it breaks off, is larger than the limit, or there is no memory left for it.
pub async fn read_whole(
    mut body: Incoming,
    sender: &Sender,
    mut hold: Hold,
) -> Result<Bytes, String> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        let Ok(data) = frame.into_data() else { continue };
        let length = bytes.len() + data.len();
        if ANSWER_LIMIT_BYTES < length {
            return Err(format!("it is longer than {ANSWER_LIMIT_BYTES} bytes"));
        }
        if UNCOUNTED_BYTES < length && !hold.reach_fairly(capacity_for(&bytes, length)) {
            return Err(no_memory_left(bytes.len()));
        }
        bytes.extend_from_slice(&data);
        sender.progress();
    }
    hold.shrink(0);
    let length = bytes.len();
    hold.keep(bytes.freeze()).ok_or_else(|| no_memory_left(length))
}

fn no_memory_left(held_bytes: usize) -> String {
    format!("no memory is left for more than {held_bytes} bytes of it")
}

type Verification = Pin<Box<dyn Future<Output = Option<EndFlaw>>>>;

type Breaking = Pin<Box<dyn Future<Output = ()>>>;

type Resumption = Pin<Box<dyn Future<Output = Option<(Run, Answer)>>>>;

/// `EventSource` is an upstream's answer whose events are passed on.
#[derive(Debug)]
pub struct EventSource {
    /// Its body.
    pub body: Incoming,
    /// The connection.
    pub sender: Sender,
    /// Whom the request was sent to.
    pub upstream: ListedUpstream,
    /// Whether the connection may carry another request.
    pub reuse: Reuse,
    /// Whether the body's end is known from the body itself.
    pub is_framed: bool,
}

/// `StreamAnswer` passes the events of an upstream on, and goes on at another upstream where the
/// route allows it.
pub struct StreamAnswer {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    run: Option<Run>,
    source: Source,
    cutter: EventCutter,
    /// What an unfinished event takes.
    hold: Hold,
    resumes: u32,
    first_event: Option<Duration>,
    last_event: Timestamp,
    /// First event of the present upstream.
    run_begun: Option<Timestamp>,
    is_answered: bool,
    longest_pause: Duration,
    deadline: Pin<Box<Sleep>>,
    grace_over: Pin<Box<dyn Future<Output = ()>>>,
    _in_flight: InFlight,
    in_request: Option<InRequest>,
}

enum Source {
    Reading(EventSource),
    /// The answer ended with its connection; whether it is whole is looked at.
    Verifying(EventSource, Verification),
    Resuming(Resumption),
    /// It broke off for good; the caller learns of it once other instances know of a crash.
    Breaking(Breaking),
    Ended,
}

impl StreamAnswer {
    /// `new` passes on the events of `body`.
    pub fn new(gateway: &Rc<Gateway>, call: &Rc<Call>, run: Run, source: EventSource) -> Self {
        let left = call.deadline.saturating_sub(gateway.now());
        Self {
            gateway: Rc::clone(gateway),
            call: Rc::clone(call),
            run: Some(run),
            source: Source::Reading(source),
            cutter: EventCutter::default(),
            hold: gateway.answer_bytes.open(),
            resumes: 0,
            first_event: None,
            last_event: Timestamp::ZERO,
            run_begun: None,
            is_answered: false,
            longest_pause: Duration::ZERO,
            deadline: Box::pin(tokio::time::sleep(left)),
            grace_over: Box::pin(gateway.drain.reached(Stage::GraceOver)),
            _in_flight: gateway.enter(),
            in_request: None,
        }
    }

    /// `hold` keeps the caller's connection marked as one that carries a request until the stream has
    /// ended.
    pub fn hold(&mut self, in_request: InRequest) {
        self.in_request = Some(in_request);
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if self.deadline.as_mut().poll(context).is_ready() {
            return Poll::Ready(self.cut(Cut::TimedOut));
        }
        if self.grace_over.as_mut().poll(context).is_ready() {
            return Poll::Ready(self.cut(Cut::InstanceEnded));
        }
        loop {
            match &mut self.source {
                Source::Reading(source) => match Pin::new(&mut source.body).poll_frame(context) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(Some(Ok(frame))) => {
                        let Ok(data) = frame.into_data() else { continue };
                        if let Some(events) = self.cut_events(data) {
                            if let Source::Reading(source) = &self.source {
                                source.sender.progress();
                            }
                            return Poll::Ready(Some(Ok(Frame::data(events))));
                        }
                    }
                    Poll::Ready(None) if !self.cutter.is_at_boundary() => {
                        self.broken("it ended within an event");
                    }
                    Poll::Ready(None) if source.is_framed => {
                        self.end();
                        return Poll::Ready(None);
                    }
                    Poll::Ready(None) if self.may_be_whole() => self.verify_end(),
                    Poll::Ready(None) => self.broken("it ended without an event"),
                    Poll::Ready(Some(Err(error))) => self.broken(&error.to_string()),
                },
                Source::Verifying(_, verification) => match verification.as_mut().poll(context) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(Some(flaw)) => self.broken(&flaw.to_string()),
                    Poll::Ready(None) => {
                        self.end();
                        return Poll::Ready(None);
                    }
                },
                Source::Resuming(resumption) => match resumption.as_mut().poll(context) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(Some((run, answer))) => self.go_on(run, answer),
                    Poll::Ready(None) => return Poll::Ready(self.cut(Cut::UpstreamBroke)),
                },
                Source::Breaking(breaking) => match breaking.as_mut().poll(context) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(()) => return Poll::Ready(self.cut(Cut::UpstreamBroke)),
                },
                Source::Ended => return Poll::Ready(None),
            }
        }
    }

    /// Returns the events that are whole now; the upstream is given up where they take more than there is.
    fn cut_events(&mut self, data: Bytes) -> Option<Bytes> {
        let bytes = self.cutter.bytes_with(data.len());
        if UNCOUNTED_BYTES < bytes && !self.hold.reach_fairly(bytes) {
            self.broken(&no_memory_left(self.hold.bytes()));
            return None;
        }
        let last = self.cutter.last_id().map(str::to_owned);
        let events = self.take_in(data);
        let bytes = self.cutter.bytes_with(0);
        self.hold.shrink(if UNCOUNTED_BYTES < bytes { bytes } else { 0 });
        let events = self.gateway.answer_bytes.open().keep(events?);
        if events.is_none() {
            self.cutter.go_back(last);
            self.broken(&no_memory_left(self.hold.bytes()));
        }
        events
    }

    fn take_in(&mut self, data: Bytes) -> Option<Bytes> {
        let last = self.cutter.last_id().map(str::to_owned);
        let mut events = self.cutter.push(data);
        if 0 < self.resumes {
            events = EventCutter::after(events, last.as_deref());
        }
        if events.is_empty() {
            return None;
        }
        if let Some(run) = &mut self.run {
            let seen = run.begun();
            self.gateway.note_life(run.key());
            let now = self.gateway.now();
            match self.first_event {
                None => self.first_event = Some(seen),
                Some(_) => {
                    let pause = now.saturating_sub(self.last_event);
                    self.longest_pause = self.longest_pause.max(pause);
                }
            }
            self.last_event = now;
            let run_begun = *self.run_begun.get_or_insert(now);
            let given =
                GivenAnswer { upstream: run.key(), sent: run.sent(), begun: run_begun, at: now };
            if run_begun + ANSWERED_TIME <= now {
                self.note_answered(given);
            }
        }
        Some(events)
    }

    fn note_answered(&mut self, given: GivenAnswer) {
        if !std::mem::replace(&mut self.is_answered, true) {
            self.gateway.note_answered(&self.call, given);
        }
    }

    /// A stream without a length may have been cut after its head. One that is taken up again may have no
    /// more events.
    fn may_be_whole(&self) -> bool {
        self.first_event.is_some() || self.call.facts.takes_up_stream()
    }

    /// An answer without a length is whole only where its end is known to be that of the answer.
    fn verify_end(&mut self) {
        let source = std::mem::replace(&mut self.source, Source::Ended);
        let Source::Reading(source) = source else { return };
        let gateway = Rc::clone(&self.gateway);
        let end = AnswerEnd::new(&gateway, source.upstream.clone(), &source.sender);
        let verification = async move { gateway.check_end(end).await };
        self.source = Source::Verifying(source, Box::pin(verification));
    }

    fn end(&mut self) {
        let source = std::mem::replace(&mut self.source, Source::Ended);
        let Some(run) = self.run.take() else { return };
        let (key, sent) = (run.key(), run.sent());
        run.complete(false);
        self.gateway.forget_origin(&self.call);
        if let Source::Reading(source) | Source::Verifying(source, _) = source {
            let EventSource { sender, reuse, is_framed, .. } = source;
            if let Some(begun) = self.run_begun.filter(|_| is_framed) {
                self.note_answered(GivenAnswer { upstream: key, sent, begun, at: self.last_event });
            }
            self.gateway.note_completed(&self.call);
            self.gateway.note_answer_time(&self.call);
            if let Reuse::Idle(idle) = reuse {
                self.gateway.keep_connection(key, sender, idle);
            }
        }
        let first_event = self.first_event.unwrap_or_default();
        self.gateway.metrics.count_answer(first_event);
        decision(
            EventKind::RequestAnswered,
            format_args!(
                "request={} upstream={} first_event_ms={} longest_pause_ms={} total_ms={} resumes={} \
                 last_event={}",
                self.call.facts.attempt_id,
                self.gateway.id_of(key).unwrap_or_default(),
                first_event.as_millis(),
                self.longest_pause.as_millis(),
                self.gateway.now().saturating_sub(self.call.arrived).as_millis(),
                self.resumes,
                self.cutter.last_id().unwrap_or("-"),
            ),
        );
    }

    /// Takes in that the upstream broke off: the stream goes on elsewhere, or breaks off for its caller.
    fn broken(&mut self, detail: &str) {
        let progress = self.progress();
        let key = self.run.as_ref().map(Run::key);
        let broken = self.run.as_ref().map(|run| BrokenAttempt {
            upstream: run.key(),
            sent: run.sent(),
            progress,
        });
        if let Some(run) = self.run.take() {
            run.complete(true);
        }
        decision(
            EventKind::AttemptFailed,
            format_args!(
                "request={} digest={:016x} upstream={} after_event={} parts={} detail={detail:?}",
                self.call.facts.attempt_id,
                self.call.digest(),
                key.and_then(|key| self.gateway.id_of(key)).unwrap_or_default(),
                self.cutter.last_id().unwrap_or("-"),
                SharedParts(&self.call.facts),
            ),
        );
        let has_events = self.first_event.is_some();
        let software = self.gateway.software_of_stream(&self.call, has_events);
        let may_resume = self.call.route.is_resumable
            && software.is_ok()
            && self.resumes < RESUME_LIMIT
            && self.call.has_attempts_left();
        let (gateway, call) = (Rc::clone(&self.gateway), Rc::clone(&self.call));
        if !may_resume {
            let breaking = break_off(gateway, call, broken);
            self.source = Source::Breaking(Box::pin(breaking));
            return;
        }
        self.call.bound_software.set(software.unwrap_or_default());
        self.resumes += 1;
        self.cutter.restart();
        let last = self.cutter.last_id().map(str::to_owned);
        let resumption = resume(gateway, call, broken, last);
        self.source = Source::Resuming(Box::pin(resumption));
    }

    /// How far the answer of the present upstream has come.
    fn progress(&self) -> AnswerProgress {
        match self.run_begun {
            Some(begun) if begun + ANSWERED_TIME <= self.last_event => AnswerProgress::Answered,
            _ => AnswerProgress::Begun,
        }
    }

    fn go_on(&mut self, run: Run, answer: Answer) {
        decision(
            EventKind::RequestRetried,
            format_args!(
                "request={} upstream={} software={} after_event={}",
                self.call.facts.attempt_id,
                self.gateway.id_of(run.key()).unwrap_or_default(),
                self.gateway.software_of(run.key()).as_deref().unwrap_or("-"),
                self.cutter.last_id().unwrap_or("-"),
            ),
        );
        (self.run, self.run_begun, self.is_answered) = (Some(run), None, false);
        let Answer { response, sender, upstream, reuse, is_framed } = answer;
        let body = response.into_body();
        self.source = Source::Reading(EventSource { body, sender, upstream, reuse, is_framed });
    }

    fn cut(&mut self, cut: Cut) -> Option<Result<Frame<Bytes>, Cut>> {
        self.source = Source::Ended;
        self.run = None;
        self.in_request.iter().for_each(InRequest::cut);
        self.gateway.metrics.cut_answers.inc();
        decision(
            EventKind::AnswerCut,
            format_args!(
                "request={} after_event={} reason={:?} total_ms={}",
                self.call.facts.attempt_id,
                self.cutter.last_id().unwrap_or("-"),
                cut.to_string(),
                self.gateway.now().saturating_sub(self.call.arrived).as_millis(),
            ),
        );
        Some(Err(cut))
    }
}

impl Drop for StreamAnswer {
    fn drop(&mut self) {
        if matches!(self.source, Source::Ended) {
            return;
        }
        decision(
            EventKind::CallerLeft,
            format_args!(
                "request={} after_event={} total_ms={}",
                self.call.facts.attempt_id,
                self.cutter.last_id().unwrap_or("-"),
                self.gateway.now().saturating_sub(self.call.arrived).as_millis(),
            ),
        );
    }
}

/// Takes in that a stream broke off for good.
async fn break_off(gateway: Rc<Gateway>, call: Rc<Call>, broken: Option<BrokenAttempt>) {
    if let Some(broken) = broken {
        gateway.note_broken(&call, broken).await;
    }
    gateway.wait_until_told(&call).await;
}

/// Goes on with a stream after its last event, where an upstream broke it off.
async fn resume(
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    broken: Option<BrokenAttempt>,
    last: Option<String>,
) -> Option<(Run, Answer)> {
    let resumed = resume_elsewhere(&gateway, &call, broken, last).await;
    if resumed.is_none() {
        gateway.wait_until_told(&call).await;
    }
    resumed
}

async fn resume_elsewhere(
    gateway: &Rc<Gateway>,
    call: &Rc<Call>,
    broken: Option<BrokenAttempt>,
    last: Option<String>,
) -> Option<(Run, Answer)> {
    let tried: Vec<_> = broken.iter().map(|broken| broken.upstream).collect();
    if let Some(broken) = broken
        && !gateway.note_broken(call, broken).await
    {
        return None;
    }
    if !gateway.may_end_in_time(&call.route) {
        return None;
    }
    if !gateway.bind_broken(call) || !gateway.obtain_repeat(call).await {
        return None;
    }
    let placed = place(gateway, call, &tried).await.ok()?;
    let run = Run::open(gateway, &placed);
    let placement = placed.placement;
    gateway.note_origin(call, placement.upstream);
    let sent = exchanges::send(gateway, call, &placement, last.as_deref(), call.deadline).await;
    let answer = match sent {
        Ok(answer) => answer,
        Err(failure) => {
            note_failure(call, &placement, gateway, &failure);
            if matches!(failure, Failure::Broken { .. }) {
                let (upstream, sent) = (placement.upstream, run.sent());
                let progress = AnswerProgress::Waiting;
                gateway.note_broken(call, BrokenAttempt { upstream, sent, progress }).await;
            }
            return None;
        }
    };
    let head = &answer.response;
    (head.status().is_success() && is_event_stream(head.headers())).then_some((run, answer))
}

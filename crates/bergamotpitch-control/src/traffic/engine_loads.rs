//! Engine loads: a model of what an upstream has in hand, and of when it would begin one more.
//!
//! Load pattern: prompts decide when a first event comes, and reports of load are some hundred
//! milliseconds old and read by all instances at once. The model adds up what this instance sent
//! itself, which it knows exactly, what its peers say they sent, and what the upstream's latest
//! answer says beyond these. An upstream that is slower than the model is told by the ratio of
//! seen to predicted times.

use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::InstanceId;
use bergamotpitch_core::units::Timestamp;

/// `RequestNumber` numbers the requests of one process.
pub type RequestNumber = u64;

/// `Options` of the model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Prompt tokens that an engine reads in a millisecond, before any calibration.
    pub prefill_tokens_per_ms: f64,
    /// Time of one decoding step with one request, in milliseconds.
    pub step_ms: f64,
    /// Extra time of a step for each running request, in milliseconds.
    pub step_ms_per_request: f64,
    /// Prompt tokens that are read between two decoding steps.
    pub chunk_tokens: f64,
    /// Time until a call is answered by an idle plain service, before any calibration.
    pub plain_work_ms: f64,
    /// Age at which a peer's figures no longer count.
    pub peer_timeout: Duration,
    /// Age up to which an upstream's own report counts.
    pub report_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        // A model of 70 billion parameters on eight accelerators, as operators run it today; an
        // engine that differs is met by calibration.
        Self {
            prefill_tokens_per_ms: 100.0,
            step_ms: 3.0,
            step_ms_per_request: 0.025,
            chunk_tokens: 4_096.0,
            plain_work_ms: 40.0,
            // In a fleet of a hundred instances a peer's turn comes every 3 s.
            peer_timeout: Duration::from_millis(3_500),
            report_timeout: Duration::from_millis(250),
        }
    }
}

/// `FIRST_EVENT_MS` is the time of a first event on an idle engine besides reading the prompt:
/// set-up, one step and the way there and back.
const FIRST_EVENT_MS: f64 = 12.0;

/// `PACE_GAIN` is the weight of one seen time against those before.
const PACE_GAIN: f64 = 0.1;

/// `PACE_BOUNDS` keep one odd time from turning an upstream into one that seems idle or dead.
const PACE_BOUNDS: (f64, f64) = (0.5, 8.0);

/// `PACE_RECOVERY` is the time constant with which an upstream that got no requests is taken for
/// one of ordinary speed again.
const PACE_RECOVERY: Duration = Duration::from_secs(4);

/// `LEAST_SEEN_MS` is the shortest time that says something on an upstream's speed; shorter ones
/// are mostly network.
const LEAST_SEEN_MS: f64 = 40.0;

/// `Work` is what a request means for an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// Prompt tokens that must be read; 0 for a plain call.
    pub unread_tokens: f64,
    /// Memory that it takes, in tokens.
    pub memory_tokens: u64,
}

/// `Figures` are sums over some requests at one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Figures {
    /// Requests sent and not ended.
    pub requests: u32,
    /// Prompt tokens of those that have not begun.
    pub unread_tokens: f64,
    /// Memory, in tokens.
    pub memory_tokens: u64,
}

impl Figures {
    fn add(&mut self, other: &Figures) {
        self.requests += other.requests;
        self.unread_tokens += other.unread_tokens;
        self.memory_tokens += other.memory_tokens;
    }

    fn subtract(&mut self, other: &Figures) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.unread_tokens -= other.unread_tokens;
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }
}

/// `Report` is what an upstream's answer says of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
}

/// `UpstreamLoad` is the model of one upstream.
#[derive(Debug, Default)]
pub struct UpstreamLoad {
    own: HashMap<RequestNumber, Sent>,
    own_figures: Figures,
    peers: HashMap<InstanceId, (Timestamp, Figures)>,
    peer_figures: Figures,
    strangers: Option<(Timestamp, u32)>,
    pace: Option<Pace>,
    plain_ms: Option<f64>,
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    work: Work,
    sent: Timestamp,
    predicted_ms: f64,
    has_begun: bool,
}

#[derive(Debug, Clone, Copy)]
struct Pace {
    ratio: f64,
    seen: Timestamp,
}

impl UpstreamLoad {
    /// `send` takes in that a request is sent there.
    pub fn send(
        &mut self,
        request: RequestNumber,
        work: Work,
        slots: u32,
        now: Timestamp,
        options: &Options,
    ) {
        let figures = self.figures(now, options);
        let predicted_ms = self.unpaced_ms(work, &figures, slots, options);
        self.own_figures.requests += 1;
        self.own_figures.unread_tokens += work.unread_tokens;
        self.own_figures.memory_tokens += work.memory_tokens;
        self.own.insert(request, Sent { work, sent: now, predicted_ms, has_begun: false });
    }

    /// `begun` takes in the first event, or the answer of a plain call; it returns the predicted
    /// and the seen time.
    pub fn begun(
        &mut self,
        request: RequestNumber,
        now: Timestamp,
    ) -> Option<(Duration, Duration)> {
        let sent = self.own.get_mut(&request)?;
        if sent.has_begun {
            return None;
        }
        sent.has_begun = true;
        let sent = *sent;
        self.own_figures.unread_tokens -= sent.work.unread_tokens;
        let seen = now.saturating_sub(sent.sent);
        let predicted = Duration::from_secs_f64(sent.predicted_ms * self.ratio(now) / 1_000.0);
        self.calibrate(&sent, seen, now);
        Some((predicted, seen))
    }

    /// `ended` takes in that a request no longer runs there.
    pub fn ended(&mut self, request: RequestNumber) {
        let Some(sent) = self.own.remove(&request) else { return };
        if !sent.has_begun {
            self.own_figures.unread_tokens -= sent.work.unread_tokens;
        }
        self.own_figures.requests -= 1;
        self.own_figures.memory_tokens -= sent.work.memory_tokens;
        if self.own.is_empty() {
            // Sums of fractions drift; an empty table starts anew.
            self.own_figures = Figures::default();
        }
    }

    /// `own_figures` returns the sums that peers are told.
    pub fn own_figures(&self) -> Figures {
        self.own_figures
    }

    /// `peer_heard` takes in a peer's sums.
    pub fn peer_heard(&mut self, peer: InstanceId, figures: Figures, now: Timestamp) {
        let before = if figures == Figures::default() {
            self.peers.remove(&peer)
        } else {
            self.peers.insert(peer, (now, figures))
        };
        if let Some((_, before)) = before {
            self.peer_figures.subtract(&before);
        }
        self.peer_figures.add(&figures);
        if self.peers.is_empty() {
            // Sums of fractions drift; an empty table starts anew.
            self.peer_figures = Figures::default();
        }
    }

    /// `drop_silent_peers` forgets the sums of peers that were not heard for too long. The sum over
    /// all peers is kept, as a request that is placed looks at it for each upstream.
    pub fn drop_silent_peers(&mut self, now: Timestamp, options: &Options) {
        let sum = &mut self.peer_figures;
        self.peers.retain(|_, (heard, figures)| {
            let is_heard = now < *heard + options.peer_timeout;
            if !is_heard {
                sum.subtract(figures);
            }
            is_heard
        });
    }

    /// `reported` takes in what an answer said of the load.
    pub fn reported(&mut self, report: Report, now: Timestamp) {
        let all = report.running + report.waiting;
        self.strangers = Some((now, all.saturating_sub(self.own_figures.requests)));
    }

    /// `oldest_unanswered` returns when the oldest request without any answer was sent.
    pub fn oldest_unanswered(&self) -> Option<Timestamp> {
        self.own.values().filter(|sent| !sent.has_begun).map(|sent| sent.sent).min()
    }

    /// `figures` returns the sums over all instances.
    pub fn figures(&self, now: Timestamp, options: &Options) -> Figures {
        let mut all = self.own_figures;
        all.unread_tokens += self.peer_figures.unread_tokens;
        all.memory_tokens += self.peer_figures.memory_tokens;
        let peer_requests = self.peer_figures.requests;
        // The upstream knows of callers that no peer told of, and is right about peers' requests
        // that have ended meanwhile.
        all.requests += match self.strangers {
            Some((at, strangers)) if now < at + options.report_timeout => strangers,
            _ => peer_requests,
        };
        all
    }

    /// `predict_ms` returns the time until a request's first event, or a plain call's answer, with
    /// the upstream's sums as [`UpstreamLoad::figures`] returns them.
    pub fn predict_ms(
        &self,
        work: Work,
        figures: &Figures,
        slots: u32,
        now: Timestamp,
        options: &Options,
    ) -> f64 {
        self.unpaced_ms(work, figures, slots, options) * self.ratio(now)
    }

    fn unpaced_ms(&self, work: Work, figures: &Figures, slots: u32, options: &Options) -> f64 {
        if work.unread_tokens == 0.0 {
            let work_ms = self.plain_ms(options);
            let ahead = f64::from(figures.requests) / f64::from(slots.max(1));
            return work_ms * (1.0 + (ahead - 0.75).max(0.0));
        }
        let tokens = figures.unread_tokens.max(0.0) + work.unread_tokens;
        let running = f64::from(figures.requests.min(slots));
        let step_ms = options.step_ms + options.step_ms_per_request * running;
        let steps = tokens / options.chunk_tokens + 1.0;
        tokens / options.prefill_tokens_per_ms + steps * step_ms + FIRST_EVENT_MS
    }

    /// `plain_ms` returns the time in which a plain call was answered lately, without any queue.
    pub fn plain_ms(&self, options: &Options) -> f64 {
        self.plain_ms.unwrap_or(options.plain_work_ms)
    }

    fn ratio(&self, now: Timestamp) -> f64 {
        let Some(pace) = self.pace else { return 1.0 };
        let elapsed = now.saturating_sub(pace.seen);
        let factor = (-elapsed.as_secs_f64() / PACE_RECOVERY.as_secs_f64()).exp();
        1.0 + (pace.ratio - 1.0) * factor
    }

    fn calibrate(&mut self, sent: &Sent, seen: Duration, now: Timestamp) {
        let seen_ms = seen.as_secs_f64() * 1_000.0;
        if sent.work.unread_tokens == 0.0 {
            let plain_ms = self.plain_ms.unwrap_or(seen_ms);
            self.plain_ms = Some(plain_ms + PACE_GAIN * (seen_ms - plain_ms));
            return;
        }
        if seen_ms.max(sent.predicted_ms) < LEAST_SEEN_MS {
            return;
        }
        let (least, most) = PACE_BOUNDS;
        let ratio = (seen_ms / sent.predicted_ms).clamp(least, most);
        let before = self.ratio(now);
        self.pace = Some(Pace { ratio: before + PACE_GAIN * (ratio - before), seen: now });
    }
}

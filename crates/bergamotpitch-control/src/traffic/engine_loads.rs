//! Engine loads: a model of what an upstream has in hand, and of when it would begin one more.
//!
//! Load pattern: prompts decide when a first event comes, and reports of load are some hundred
//! milliseconds old and read by all instances at once. The model adds up what this instance sent
//! itself, which it knows exactly, what its peers say they sent, and what the upstream's latest
//! answer says beyond these. How fast the engines of the service read is learned over all of them;
//! one that is slower than the others is told by the ratio of seen to predicted times.

use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::InstanceId;
use bergamotpitch_core::units::Timestamp;

use crate::traffic::engine_speeds::EngineSpeed;
use crate::traffic::policies::Policy;

/// `RequestNumber` numbers the requests of one process.
pub type RequestNumber = u64;

/// `Options` of the model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Time until a call is answered by an idle plain service, before any calibration.
    pub plain_work_ms: f64,
    /// Age at which a peer's figures no longer count.
    pub peer_timeout: Duration,
    /// Age up to which an upstream's own report counts.
    pub report_timeout: Duration,
    /// Which mechanisms are in force.
    pub policy: Policy,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            plain_work_ms: 40.0,
            // In a fleet of a hundred instances a peer's turn comes every 3 s.
            peer_timeout: Duration::from_millis(3_500),
            report_timeout: Duration::from_millis(250),
            policy: Policy::default(),
        }
    }
}

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

/// `Capacity` is what an upstream can do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Requests that it runs at once.
    pub slots: u32,
    /// How fast the engines of its service read prompts.
    pub speed: EngineSpeed,
}

/// `Work` is what a request means for an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// Prompt tokens that must be read; 0 for a plain call.
    pub unread_tokens: f64,
    /// Memory that it takes, in tokens.
    pub memory_tokens: u64,
    /// Time that passes beside the engine's work: the way there and back, and fetching the start of
    /// the prompt from another engine.
    pub delay_ms: f64,
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
    /// `add` adds the sums over other requests.
    pub fn add(&mut self, other: &Figures) {
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
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Report {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it can run at once, when it says so.
    pub slots: Option<u32>,
    /// How long work takes there at this moment, as a multiple of the usual time, when it says so.
    pub slowdown: Option<f64>,
}

/// `UpstreamLoad` is the model of one upstream.
#[derive(Debug, Default)]
pub struct UpstreamLoad {
    own: HashMap<RequestNumber, Sent>,
    own_figures: Figures,
    peers: HashMap<InstanceId, (Timestamp, Figures)>,
    peer_figures: Figures,
    strangers: Option<(Timestamp, u32)>,
    /// Since when the upstream has had prompts to read without a break.
    reading_since: Timestamp,
    pace: Option<Pace>,
    plain_ms: Option<f64>,
}

/// `FirstEvent` is what the first event of a request tells of its engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FirstEvent {
    /// Prompt tokens of the request itself that were to be read; 0 for a plain call.
    pub own_tokens: f64,
    /// Prompt tokens of requests before it, as far as they were known.
    pub tokens_ahead: f64,
    /// Time that the engine took for all of them.
    pub engine_ms: f64,
}

impl FirstEvent {
    /// `tells_speed` tells whether the time is mostly that of reading the request's own prompt. What
    /// is ahead of it is known late and in part, and hides how fast the engine is.
    pub fn tells_speed(&self) -> bool {
        0.0 < self.own_tokens && 2.0 * self.tokens_ahead <= self.own_tokens
    }
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    work: Work,
    tokens_ahead: f64,
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
        capacity: &Capacity,
        now: Timestamp,
        options: &Options,
    ) {
        let figures = self.figures(now, options);
        let predicted_ms = self.unpaced_ms(work, &figures, capacity, options);
        let tokens_ahead = figures.unread_tokens.max(0.0);
        if tokens_ahead == 0.0 {
            self.reading_since = now;
        }
        self.own_figures.requests += 1;
        self.own_figures.unread_tokens += work.unread_tokens;
        self.own_figures.memory_tokens += work.memory_tokens;
        let sent = Sent { work, tokens_ahead, sent: now, predicted_ms, has_begun: false };
        self.own.insert(request, sent);
    }

    /// `begun` takes in the first event, or the answer of a plain call.
    pub fn begun(&mut self, request: RequestNumber, now: Timestamp) -> Option<FirstEvent> {
        let sent = self.own.get_mut(&request)?;
        if sent.has_begun {
            return None;
        }
        sent.has_begun = true;
        let sent = *sent;
        self.own_figures.unread_tokens -= sent.work.unread_tokens;
        let seen_ms = now.saturating_sub(sent.sent).as_secs_f64() * 1_000.0;
        let engine_ms = (seen_ms - sent.work.delay_ms).max(0.0);
        self.calibrate(&sent, engine_ms, now);
        let Sent { work, tokens_ahead, .. } = sent;
        Some(FirstEvent { own_tokens: work.unread_tokens, tokens_ahead, engine_ms })
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

    /// `forget_peer` drops a peer's sums.
    pub fn forget_peer(&mut self, peer: InstanceId) {
        self.peer_heard(peer, Figures::default(), Timestamp::ZERO);
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

    /// `reading_time` returns for how long the upstream has read prompts without a break, with its sums
    /// as [`UpstreamLoad::figures`] returns them.
    pub fn reading_time(&self, figures: &Figures, now: Timestamp) -> Duration {
        if figures.unread_tokens <= 0.0 {
            return Duration::ZERO;
        }
        now.saturating_sub(self.reading_since)
    }

    /// `predict_ms` returns the time until a request's first event, or a plain call's answer, with
    /// the upstream's sums as [`UpstreamLoad::figures`] returns them.
    pub fn predict_ms(
        &self,
        work: Work,
        figures: &Figures,
        capacity: &Capacity,
        now: Timestamp,
        options: &Options,
    ) -> f64 {
        let ratio = if options.policy.learned_paces { self.ratio(now) } else { 1.0 };
        self.unpaced_ms(work, figures, capacity, options) * ratio + work.delay_ms
    }

    fn unpaced_ms(
        &self,
        work: Work,
        figures: &Figures,
        capacity: &Capacity,
        options: &Options,
    ) -> f64 {
        if work.unread_tokens == 0.0 {
            let work_ms = self.plain_ms(options);
            let ahead = f64::from(figures.requests) / f64::from(capacity.slots.max(1));
            return work_ms * (1.0 + (ahead - 0.75).max(0.0));
        }
        capacity.speed.time_ms(figures.unread_tokens.max(0.0) + work.unread_tokens)
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

    fn calibrate(&mut self, sent: &Sent, seen_ms: f64, now: Timestamp) {
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

//! Fits: how one upstream looks for one request, and whether the request fits there.

use std::time::Duration;

use crate::traffic::admissions::Ask;
use crate::traffic::engine_loads::{Figures, Work};
use crate::traffic::policies::Policy;
use crate::traffic::registries::UpstreamKey;

/// `Fill` bounds how full an upstream may be when a request is sent there.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fill {
    /// Part of the target latency within which the first event is predicted.
    pub target_part: f64,
    /// Part of the target latency that other requests may take beside the request's own work;
    /// without it, the longest prompts were never sent, and no call to a service that once seemed
    /// slow. At 0 the request's own work counts like that of others: beyond a team's share, a prompt
    /// that takes most of its target to read would make several others late.
    pub others_part: f64,
    /// Whether streams that run there may pause for longer than callers aim at, while the engine reads
    /// what is ahead of it.
    pub may_pause: bool,
    /// Part of the slots that may be taken.
    pub slots_part: f64,
    /// Part of the memory that may be taken by running requests.
    pub memory_part: f64,
}

/// `PLAIN_SLOTS_FACTOR` is how many calls a plain service may have in hand for each slot: a short
/// queue keeps its slots busy.
const PLAIN_SLOTS_FACTOR: f64 = 3.0;

/// `FAR_WEIGHT_MS` is what the bytes of a request and its answer weigh when they go to another region,
/// in milliseconds of waiting. The bytes of a long prompt cost about what a tenth of a second of an
/// engine does.
const FAR_WEIGHT_MS: f64 = 100.0;

/// `NEAR_WEIGHT_MS` is the same for another failure domain of the own region, where links are cheaper
/// by an order of magnitude and half a millisecond long.
const NEAR_WEIGHT_MS: f64 = 8.0;

/// `PAUSE_PART` is the part of the longest pause that callers aim at which an engine may spend on reading
/// prompts; the rest is left for the steps that make the event itself.
const PAUSE_PART: f64 = 0.75;

/// `PAUSE_WEIGHT_MS` is what a pause beyond the target weighs for each request at the engine, in
/// milliseconds of waiting.
const PAUSE_WEIGHT_MS: f64 = 20.0;

/// `EMPTY_SLOTS_PART` is the part of its slots below which an engine that reads nothing takes any
/// request, also one that takes most of its target to read: few would wait behind it.
const EMPTY_SLOTS_PART: f64 = 0.1;

/// `Look` is one upstream as seen for one request.
#[derive(Debug)]
pub struct Look {
    /// The upstream.
    pub key: UpstreamKey,
    /// Its place in the rendezvous order for the prompt's shared start.
    pub rank: Option<usize>,
    /// What the request means for it.
    pub work: Work,
    /// Engine from which it should fetch what it does not keep of the prompt's start.
    pub fetch_from: Option<UpstreamKey>,
    /// Predicted time until the first event or the answer, with the way there and back and the
    /// fetch.
    pub predicted_ms: f64,
    /// Time that the request itself takes: to read what the engine does not keep of the prompt, or
    /// for the work of a plain call. It is late because of this wherever it is sent.
    pub own_ms: f64,
    /// Time for which the engine reads without a break, from when it began up to this request's end.
    pub reading_ms: f64,
    /// What all instances have in hand there.
    pub figures: Figures,
    /// Its slots.
    pub slots: u32,
    /// Where it stands.
    pub distance: Distance,
}

/// `Distance` tells where an upstream stands as seen from this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distance {
    /// In the own failure domain.
    Own,
    /// In another failure domain of the own region.
    Near,
    /// In another region.
    Far,
}

/// `Fit` tells whether a request fits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fit {
    /// It fits.
    Fits,
    /// It is so much too late, or too full for so long.
    Excess(Duration),
}

impl Look {
    /// `score` compares upstreams that a request fits: the least is best.
    pub fn score(&self, ask: &Ask<'_>, policy: &Policy) -> f64 {
        let distance_ms = match self.distance {
            _ if !policy.distance_weights => 0.0,
            Distance::Own => 0.0,
            Distance::Near => NEAR_WEIGHT_MS,
            Distance::Far => FAR_WEIGHT_MS,
        };
        let pause_ms = match self.pauses(ask) && policy.stream_pauses {
            true => PAUSE_WEIGHT_MS * f64::from(self.figures.requests),
            false => 0.0,
        };
        self.predicted_ms + distance_ms + pause_ms
    }

    /// `fit` tells whether the request fits within a fill.
    pub fn fit(&self, ask: &Ask<'_>, fill: &Fill, policy: &Policy) -> Fit {
        let is_generation = ask.facts.is_generation();
        if !self.has_slot(is_generation, fill) || !self.has_memory(ask, fill) {
            return Fit::Excess(ask.target);
        }
        if is_generation && policy.empty_engines && self.is_empty() {
            return Fit::Fits;
        }
        if policy.stream_pauses && !fill.may_pause && self.pauses(ask) {
            return Fit::Excess(Duration::from_secs_f64(self.reading_ms / 1_000.0));
        }
        let target_ms = millis(ask.target);
        let own_ms = if is_generation { self.own_ms.min(target_ms) } else { self.own_ms };
        let in_time_ms = target_ms * fill.target_part - millis(ask.elapsed);
        let beside_own_ms = own_ms + target_ms * fill.others_part;
        let has_room_beside = 0.0 < fill.others_part && (policy.long_prompts || !is_generation);
        let bound_ms = if has_room_beside { in_time_ms.max(beside_own_ms) } else { in_time_ms };
        let excess_ms = self.predicted_ms - bound_ms;
        if excess_ms <= 0.0 {
            return Fit::Fits;
        }
        Fit::Excess(Duration::from_secs_f64(excess_ms / 1_000.0))
    }

    /// `pauses` tells whether streams that run there would pause for longer than callers aim at.
    fn pauses(&self, ask: &Ask<'_>) -> bool {
        let Some(gap) = ask.target_gap else { return false };
        self.figures.requests != 0 && PAUSE_PART * millis(gap) < self.reading_ms
    }

    fn has_slot(&self, is_generation: bool, fill: &Fill) -> bool {
        let part = if is_generation { fill.slots_part } else { PLAIN_SLOTS_FACTOR };
        let bound = (f64::from(self.slots) * part).max(1.0);
        f64::from(self.figures.requests) + 1.0 <= bound
    }

    /// An idle engine takes any request: one that is larger than its memory is refused there.
    fn has_memory(&self, ask: &Ask<'_>, fill: &Fill) -> bool {
        let bound = ask.memory_tokens as f64 * fill.memory_part;
        let taken = (self.figures.memory_tokens + self.work.memory_tokens) as f64;
        !ask.facts.is_generation() || self.figures.requests == 0 || taken <= bound
    }

    fn is_empty(&self) -> bool {
        self.taken_part() < EMPTY_SLOTS_PART && self.figures.unread_tokens <= 0.0
    }

    fn taken_part(&self) -> f64 {
        f64::from(self.figures.requests) / f64::from(self.slots.max(1))
    }
}

/// `millis` returns a duration in milliseconds.
pub fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

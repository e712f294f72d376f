//! Fits: how one upstream looks for one request, and whether the request fits there.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::traffic::engine_loads::{Figures, Work};
use crate::traffic::placement_requests::PlacementRequest;
use crate::traffic::policies::Policy;
use crate::traffic::registries::UpstreamKey;

/// `UtilizationLimits` bounds how full an upstream may be when a request is sent there.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UtilizationLimits {
    /// Part of the target latency within which the first event is predicted.
    pub target_fraction: f64,
    /// Part of the target latency that other requests may take beside the request's own work;
    /// without it, the longest prompts were never sent, and no call to a service that once seemed
    /// slow. At 0 the request's own work counts like that of others: beyond a team's share, a prompt
    /// that takes most of its target to read would make several others late.
    pub others_fraction: f64,
    /// Whether streams that run there may pause for longer than callers aim at, while the engine reads
    /// what is ahead of it.
    pub may_pause_streams: bool,
    /// Part of the slots that may be taken.
    pub slots_fraction: f64,
    /// Part of the memory that may be taken by running requests.
    pub memory_fraction: f64,
    /// Part of what an upstream may get in a second by the bound on those that have just started. Without
    /// it, a flood uses it up, and requests within their share are refused beside free slots.
    pub arrivals_fraction: f64,
}

/// `PLAIN_SLOTS_FACTOR` is how many calls a plain service may have in hand for each slot: a short
/// queue keeps its slots busy.
const PLAIN_SLOTS_FACTOR: f64 = 3.0;

/// `REMOTE_REGION_PENALTY_MS` is what the bytes of a request and its answer weigh when they go to another region,
/// in milliseconds of waiting. The bytes of a long prompt cost about what a tenth of a second of an
/// engine does.
const REMOTE_REGION_PENALTY_MS: f64 = 100.0;

/// `REMOTE_DOMAIN_PENALTY_MS` is the same for another failure domain of the own region, where links are cheaper
/// by an order of magnitude and half a millisecond long.
const REMOTE_DOMAIN_PENALTY_MS: f64 = 8.0;

/// `PAUSE_FRACTION` is the part of the longest pause that callers aim at which an engine may spend on reading
/// prompts; the rest is left for the steps that make the event itself.
const PAUSE_FRACTION: f64 = 0.75;

/// `PAUSE_PENALTY_MS` is what a pause beyond the target weighs for each request at the engine, in
/// milliseconds of waiting.
const PAUSE_PENALTY_MS: f64 = 20.0;

/// `NEAR_IDLE_SLOTS_FRACTION` is the part of its slots below which an engine that reads nothing takes any
/// request, also one that takes most of its target to read: few would wait behind it.
const NEAR_IDLE_SLOTS_FRACTION: f64 = 0.1;

/// `UpstreamCandidate` is one upstream as seen for one request.
#[derive(Debug)]
pub struct UpstreamCandidate {
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
    pub service_ms: f64,
    /// Time for which the engine reads without a break, from when it began up to this request's end.
    pub prefill_run_ms: f64,
    /// What all instances have in hand there.
    pub figures: Figures,
    /// Its slots.
    pub slots: u32,
    /// Where it stands.
    pub distance: Distance,
    /// Whether it counts as cold.
    pub is_cold: bool,
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
    /// It is so much too late, or too full for so long, by this limit.
    Excess(Duration, Limit),
}

/// `Limit` is what keeps a request from an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum Limit {
    /// Its slots are taken, as far as requests of this share class may take them.
    Slots,
    /// Its memory is.
    Memory,
    /// Streams that run there would pause for too long.
    Pauses,
    /// The first event is predicted too late.
    Latency,
    /// This instance may place no more requests there now, as it is cold or may become so.
    Arrivals,
}

impl UpstreamCandidate {
    /// `score` compares upstreams that a request fits: the least is best.
    pub fn score(&self, request: &PlacementRequest<'_>, policy: &Policy) -> f64 {
        let distance_ms = match self.distance {
            _ if !policy.distance_weights => 0.0,
            Distance::Own => 0.0,
            Distance::Near => REMOTE_DOMAIN_PENALTY_MS,
            Distance::Far => REMOTE_REGION_PENALTY_MS,
        };
        let pause_ms = match self.would_pause_streams(request) && policy.stream_pauses {
            true => PAUSE_PENALTY_MS * f64::from(self.figures.requests),
            false => 0.0,
        };
        self.predicted_ms + distance_ms + pause_ms
    }

    /// `fit` tells whether the request fits within a fill.
    pub fn fit(
        &self,
        request: &PlacementRequest<'_>,
        limits: &UtilizationLimits,
        policy: &Policy,
    ) -> Fit {
        let is_generation = request.facts.is_generation();
        if !self.has_slot(is_generation, limits) {
            return Fit::Excess(request.target, Limit::Slots);
        }
        if !self.has_memory(request, limits) {
            return Fit::Excess(request.target, Limit::Memory);
        }
        if is_generation && policy.empty_engines && self.is_nearly_idle() {
            return Fit::Fits;
        }
        if policy.stream_pauses && !limits.may_pause_streams && self.would_pause_streams(request) {
            let pause = Duration::from_secs_f64(self.prefill_run_ms / 1_000.0);
            return Fit::Excess(pause, Limit::Pauses);
        }
        let target_ms = millis(request.target);
        let service_ms =
            if is_generation { self.service_ms.min(target_ms) } else { self.service_ms };
        let target_deadline_ms = target_ms * limits.target_fraction - millis(request.elapsed);
        let others_deadline_ms = service_ms + target_ms * limits.others_fraction;
        let allows_others = 0.0 < limits.others_fraction && (policy.long_prompts || !is_generation);
        let bound_ms = if allows_others {
            target_deadline_ms.max(others_deadline_ms)
        } else {
            target_deadline_ms
        };
        let excess_ms = self.predicted_ms - bound_ms;
        if excess_ms <= 0.0 {
            return Fit::Fits;
        }
        Fit::Excess(Duration::from_secs_f64(excess_ms / 1_000.0), Limit::Latency)
    }

    /// `has_room` tells whether it has a slot and memory for the request, however late it would begin.
    pub fn has_room(&self, request: &PlacementRequest<'_>, limits: &UtilizationLimits) -> bool {
        let is_generation = request.facts.is_generation();
        self.has_slot(is_generation, limits) && self.has_memory(request, limits)
    }

    /// `would_pause_streams` tells whether streams that run there would pause for longer than callers aim at.
    fn would_pause_streams(&self, request: &PlacementRequest<'_>) -> bool {
        let Some(gap) = request.target_gap else { return false };
        self.figures.requests != 0 && PAUSE_FRACTION * millis(gap) < self.prefill_run_ms
    }

    fn has_slot(&self, is_generation: bool, limits: &UtilizationLimits) -> bool {
        let fraction = if is_generation { limits.slots_fraction } else { PLAIN_SLOTS_FACTOR };
        let bound = (f64::from(self.slots) * fraction).max(1.0);
        f64::from(self.figures.requests) + 1.0 <= bound
    }

    /// An idle engine takes any request: one that is larger than its memory is refused there.
    fn has_memory(&self, request: &PlacementRequest<'_>, limits: &UtilizationLimits) -> bool {
        let bound = request.memory_tokens as f64 * limits.memory_fraction;
        let used_tokens = (self.figures.memory_tokens + self.work.memory_tokens) as f64;
        !request.facts.is_generation() || self.figures.requests == 0 || used_tokens <= bound
    }

    fn is_nearly_idle(&self) -> bool {
        self.slot_utilization() < NEAR_IDLE_SLOTS_FRACTION && self.figures.unread_tokens <= 0.0
    }

    fn slot_utilization(&self) -> f64 {
        f64::from(self.figures.requests) / f64::from(self.slots.max(1))
    }
}

/// `millis` returns a duration in milliseconds.
pub fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

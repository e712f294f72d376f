//! Evidences: what an upstream does, as against what it says of itself.
//!
//! Load pattern: an upstream fails part of its requests, or answers none, while its health answer
//! and its entry in the list are good. Only outcomes tell. It is passed over while others of the
//! service do clearly better, and tried again with one request at a time.

use std::time::Duration;

use bergamotpitch_core::units::Timestamp;

/// `FAILURE_HALF_LIFE` is the time after which an outcome counts half: some seconds after a fault
/// has ended, the upstream is used as before.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

/// `LEAST_OUTCOMES` is how many outcomes, by weight, make a failure rate that is acted on; fewer
/// could be chance.
const LEAST_OUTCOMES: f64 = 4.0;

/// `RATE_MARGIN` is by how much the failure rate must exceed twice the service's usual one before an
/// upstream is passed over. Some services fail one call in seven when all is well.
const RATE_MARGIN: f64 = 0.15;

/// `TRIAL_INTERVAL` is the time between two requests to an upstream that is passed over.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// `FIRST_PAUSE` is the pause after a connection that could not be made; it doubles up to
/// [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// `LONGEST_PAUSE` bounds how long a repaired upstream waits for its next connection.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_600);

/// `SILENCE` is the time without any byte from an upstream with unanswered requests after which it
/// is taken for hung. The longest pause of a loaded engine, one chunk of prefill, is far shorter.
const SILENCE: Duration = Duration::from_millis(700);

/// `Evidence` is what is known of one upstream from its outcomes.
#[derive(Debug, Default, Clone)]
pub struct Evidence {
    outcomes: f64,
    failures: f64,
    updated: Timestamp,
    connect_failures: u32,
    paused_until: Timestamp,
    trial_at: Timestamp,
    last_life: Option<Timestamp>,
}

impl Evidence {
    /// `note_life` takes in that any byte came from the upstream.
    pub fn note_life(&mut self, now: Timestamp) {
        self.last_life = self.last_life.max(Some(now));
        self.connect_failures = 0;
        self.paused_until = Timestamp::ZERO;
    }

    /// `note_outcome` counts a request that ended there.
    pub fn note_outcome(&mut self, failed: bool, now: Timestamp) {
        self.decay(now);
        self.outcomes += 1.0;
        if failed {
            self.failures += 1.0;
        }
    }

    /// `note_unreachable` takes in that no connection could be made.
    pub fn note_unreachable(&mut self, now: Timestamp) {
        let pause = FIRST_PAUSE * 2_u32.pow(self.connect_failures.min(3));
        self.connect_failures += 1;
        self.paused_until = now + pause.min(LONGEST_PAUSE);
    }

    /// `note_trial` takes in that a request is sent in spite of bad evidence.
    pub fn note_trial(&mut self, now: Timestamp) {
        self.trial_at = now + TRIAL_INTERVAL;
    }

    /// `failure_rate` returns the part of the recent requests that failed; 0 while too few ended.
    pub fn failure_rate(&self) -> f64 {
        if self.outcomes < LEAST_OUTCOMES { 0.0 } else { self.failures / self.outcomes }
    }

    /// `has_failed_connections` tells whether connections have failed since the last byte.
    pub fn has_failed_connections(&self) -> bool {
        0 < self.connect_failures
    }

    /// `is_proven` tells whether bytes came from the upstream, and no connection has failed since.
    pub fn is_proven(&self) -> bool {
        self.last_life.is_some() && !self.has_failed_connections()
    }

    /// `is_paused` tells whether connections fail at present.
    pub fn is_paused(&self, now: Timestamp) -> bool {
        now < self.paused_until
    }

    /// `is_silent` tells whether no byte came from the upstream lately; only then can it be hung.
    pub fn is_silent(&self, now: Timestamp) -> bool {
        self.last_life.is_none_or(|life| life + SILENCE <= now)
    }

    /// `silence` returns the time since the last byte came from the upstream.
    pub fn silence(&self, now: Timestamp) -> Duration {
        self.last_life.map_or(Duration::MAX, |life| now.saturating_sub(life))
    }

    /// `is_hung` tells whether the upstream is silent although a request waits there since
    /// `oldest_unanswered`.
    pub fn is_hung(&self, oldest_unanswered: Option<Timestamp>, now: Timestamp) -> bool {
        let Some(sent) = oldest_unanswered else { return false };
        let since = self.last_life.map_or(sent, |life| life.max(sent));
        since + SILENCE <= now
    }

    /// `is_failing` tells whether it does clearly worse than is usual in its service.
    pub fn is_failing(&self, usual_rate: f64) -> bool {
        2.0 * usual_rate + RATE_MARGIN < self.failure_rate()
    }

    /// `is_trial_due` tells whether one request may be risked to see if it works again.
    pub fn is_trial_due(&self, now: Timestamp) -> bool {
        self.trial_at <= now
    }

    fn decay(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.updated);
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64());
        self.outcomes *= factor;
        self.failures *= factor;
        self.updated = now;
    }
}

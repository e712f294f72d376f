//! Claim paces: how fast one router begins rounds while the service is at its rate.

use std::time::Duration;

use bergamotpitch_core::units::Timestamp;

/// Rate at which a router goes on after the first refusal, in rounds a second.
const FIRST_RATE: f64 = 100.0;

/// Lowest rate, in rounds a second.
const LEAST_RATE: f64 = 2.0;

/// Rate above which rounds begin at will, in rounds a second.
const FREE_RATE: f64 = 400.0;

/// Time between two steps down; refusals of calls that went out together count once.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Factor of a step down.
const STEP_DOWN: f64 = 0.75;

/// Rise of the rate with each write that took effect, in rounds a second.
const STEP_UP: f64 = 0.2;

/// `Pace` is the rate of one router's rounds; unlimited while the service refuses nothing.
///
/// If each shard backed off alone, all would come back again and again, most calls would be refused
/// and callers told to come back later. With one pace the rounds that begin take many claims along.
/// The rate falls by a factor and rises by a fixed step, so that routers draw level with each other.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    /// When the next round may begin.
    pub(crate) next_round: Timestamp,
    rounds_per_second: Option<f64>,
    stepped: Option<Timestamp>,
}

impl Pace {
    /// `may_begin` tells whether a round may begin.
    pub(crate) fn may_begin(&self, now: Timestamp) -> bool {
        self.next_round <= now
    }

    /// `begin` notes that a round begins.
    pub(crate) fn begin(&mut self, now: Timestamp) {
        self.next_round = now + self.spacing();
    }

    /// `note_refusal` slows down.
    pub(crate) fn note_refusal(&mut self, now: Timestamp) {
        if self.stepped.is_some_and(|stepped| now < stepped + STEP_INTERVAL) {
            return;
        }
        self.stepped = Some(now);
        let rate = self.rounds_per_second.map_or(FIRST_RATE, |rate| rate * STEP_DOWN);
        self.rounds_per_second = Some(rate.max(LEAST_RATE));
        self.next_round = self.next_round.max(now + self.spacing());
    }

    /// `note_success` speeds up.
    pub(crate) fn note_success(&mut self) {
        let faster = self.rounds_per_second.map(|rate| rate + STEP_UP);
        self.rounds_per_second = faster.filter(|rate| *rate < FREE_RATE);
    }

    fn spacing(&self) -> Duration {
        self.rounds_per_second.map_or(Duration::ZERO, |rate| Duration::from_secs_f64(1.0 / rate))
    }
}

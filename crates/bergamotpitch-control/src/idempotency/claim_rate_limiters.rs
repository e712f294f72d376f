//! Claim paces: how fast one router begins rounds while the service is at its rate.

use std::time::Duration;

use bergamotpitch_core::units::Timestamp;

/// Rate at which a router goes on after the first refusal, in rounds a second.
const INITIAL_ROUNDS_PER_SECOND: f64 = 100.0;

/// Lowest rate, in rounds a second.
const MIN_ROUNDS_PER_SECOND: f64 = 2.0;

/// Rate above which rounds begin at will, in rounds a second.
const UNLIMITED_ROUNDS_PER_SECOND: f64 = 400.0;

/// Time between two steps down; refusals of calls that went out together count once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Factor of a step down.
const DECREASE_FACTOR: f64 = 0.75;

/// Rise of the rate with each write that took effect, in rounds a second.
const INCREASE_ROUNDS_PER_SECOND: f64 = 0.2;

/// `RoundRateLimiter` is the rate of one router's rounds; unlimited while the service refuses nothing.
///
/// If each shard backed off alone, all would come back again and again, most calls would be refused
/// and callers told to come back later. With one pace the rounds that begin take many claims along.
/// The rate falls by a factor and rises by a fixed step, so that routers draw level with each other.
#[derive(Debug, Default)]
pub(crate) struct RoundRateLimiter {
    /// When the next round may begin.
    pub(crate) next_round: Timestamp,
    rounds_per_second: Option<f64>,
    decreased_at: Option<Timestamp>,
}

impl RoundRateLimiter {
    /// `may_begin` tells whether a round may begin.
    pub(crate) fn may_begin(&self, now: Timestamp) -> bool {
        self.next_round <= now
    }

    /// `begin` notes that a round begins.
    pub(crate) fn begin(&mut self, now: Timestamp) {
        self.next_round = now + self.spacing();
    }

    /// `decrease` slows down.
    pub(crate) fn decrease(&mut self, now: Timestamp) {
        if self.decreased_at.is_some_and(|decreased_at| now < decreased_at + DECREASE_INTERVAL) {
            return;
        }
        self.decreased_at = Some(now);
        let rate =
            self.rounds_per_second.map_or(INITIAL_ROUNDS_PER_SECOND, |rate| rate * DECREASE_FACTOR);
        self.rounds_per_second = Some(rate.max(MIN_ROUNDS_PER_SECOND));
        self.next_round = self.next_round.max(now + self.spacing());
    }

    /// `increase` speeds up.
    pub(crate) fn increase(&mut self) {
        let faster = self.rounds_per_second.map(|rate| rate + INCREASE_ROUNDS_PER_SECOND);
        self.rounds_per_second = faster.filter(|rate| *rate < UNLIMITED_ROUNDS_PER_SECOND);
    }

    fn spacing(&self) -> Duration {
        self.rounds_per_second.map_or(Duration::ZERO, |rate| Duration::from_secs_f64(1.0 / rate))
    }
}

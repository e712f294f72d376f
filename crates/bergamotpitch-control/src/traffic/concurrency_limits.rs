//! Concurrency limits: how many streams an instance takes on with the processor time that it has.
//!
//! Load pattern: all callers of a flooding team reach one instance of an eighth of a core, on whichever
//! side of its share the team is. A stream costs processor time from its arrival to its last event, a
//! second later. An instance that takes requests on until it is late has then taken on several times
//! what it can serve: all of its streams are late, those of other teams among them. The number of
//! streams that it serves at once tells so before lateness does. The limit follows for how long a task
//! waits for its turn: it falls while that is too long, and rises while it is reached and the wait is
//! short, the faster the shorter: what made tasks wait may have been other work, and be over.

use std::fmt;
use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::TeamId;
use bergamotpitch_core::units::Timestamp;

use crate::traffic::team_windows::ShareClass;

/// `Options` of a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Time for which a task may wait for its turn. Requests meet it some four times before their first
    /// event, and each event does once.
    pub delay_target: Duration,
    /// Least value of the limit, at which an instance still serves somebody.
    pub limit_min: f64,
    /// Time between two changes of the limit.
    pub interval: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            delay_target: Duration::from_millis(40),
            limit_min: 16.0,
            interval: Duration::from_millis(100),
        }
    }
}

/// `DECREASE_PER_EXCESS` is by which part the limit falls for each target by which the wait is too long.
const DECREASE_PER_EXCESS: f64 = 0.1;

/// `DECREASE_FACTOR_MIN` is the least part that one fall leaves.
const DECREASE_FACTOR_MIN: f64 = 0.7;

/// `INCREASE_PER_SHORTFALL` is by which part the limit rises while nobody waits, and a part of that while tasks wait
/// for a part of the target.
const INCREASE_PER_SHORTFALL: f64 = 0.4;

/// `USED_FRACTION` is the part of the limit that must have been reached for it to rise.
const USED_FRACTION: f64 = 0.6;

/// `GUARANTEED_FRACTION` is the part of an even part of the limit that each team may always use.
const GUARANTEED_FRACTION: f64 = 0.5;

/// `ConcurrencyLimit` is the limit of one instance.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    options: Options,
    limit: f64,
    active_streams: u32,
    active_streams_of_team: HashMap<TeamId, u32>,
    /// Most streams that were served at once since the last change.
    peak_streams: u32,
    /// Sum and count of the waits since the last change.
    delays: (Duration, u32),
    mean_delay: Duration,
    adjusted: Timestamp,
}

impl ConcurrencyLimit {
    /// `new` returns a limit that is infinite until a wait is too long.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bergamotpitch_control::traffic::concurrency_limits::{ConcurrencyLimit, Options};
    /// use bergamotpitch_control::traffic::team_windows::ShareClass;
    ///
    /// let mut limit = ConcurrencyLimit::new(Options::default());
    /// (0..100).for_each(|_| limit.stream_started(1));
    /// limit.record_delay(Duration::from_millis(200), Duration::from_secs(1));
    /// assert!(!limit.admits(1, ShareClass::WithinShare));
    /// assert!(limit.admits(2, ShareClass::WithinShare), "the other team has no stream here");
    /// (0..60).for_each(|_| limit.stream_ended(1));
    /// assert!(limit.admits(1, ShareClass::WithinShare));
    /// ```
    pub fn new(options: Options) -> Self {
        Self {
            options,
            limit: f64::INFINITY,
            active_streams: 0,
            active_streams_of_team: HashMap::default(),
            peak_streams: 0,
            delays: (Duration::ZERO, 0),
            mean_delay: Duration::ZERO,
            adjusted: Timestamp::ZERO,
        }
    }

    /// `stream_started` takes in that a stream of a team is served.
    pub fn stream_started(&mut self, team: TeamId) {
        self.active_streams += 1;
        self.peak_streams = self.peak_streams.max(self.active_streams);
        *self.active_streams_of_team.entry(team).or_default() += 1;
    }

    /// `stream_ended` takes in that one is no longer.
    pub fn stream_ended(&mut self, team: TeamId) {
        let Some(count) = self.active_streams_of_team.get_mut(&team) else { return };
        *count -= 1;
        if *count == 0 {
            self.active_streams_of_team.remove(&team);
        }
        self.active_streams -= 1;
    }

    /// `admits_all` tells whether any request may be served, whatever its team has had.
    pub fn admits_all(&self) -> bool {
        self.has_headroom(ShareClass::BeyondEven)
    }

    /// `admits` tells whether one more request of a team may be served. Whoever has had most is refused
    /// first, and a team with few streams here is served beside one that floods.
    pub fn admits(&self, team: TeamId, share_class: ShareClass) -> bool {
        let of_team = self.active_streams_of_team.get(&team).copied().unwrap_or_default();
        let even = self.limit / (self.active_streams_of_team.len() + 1) as f64;
        self.has_headroom(share_class) || f64::from(of_team) < GUARANTEED_FRACTION * even
    }

    fn has_headroom(&self, share_class: ShareClass) -> bool {
        let fraction = match share_class {
            ShareClass::WithinShare | ShareClass::Underserved => 1.0,
            ShareClass::EvenSurplus => 0.9,
            ShareClass::BeyondEven => 0.7,
        };
        f64::from(self.active_streams) < fraction * self.limit
    }

    /// `record_delay` takes in for how long a task waited for its turn.
    pub fn record_delay(&mut self, delay: Duration, now: Timestamp) {
        let (sum, count) = (self.delays.0 + delay, self.delays.1 + 1);
        self.delays = (sum, count);
        if now < self.adjusted + self.options.interval {
            return;
        }
        self.mean_delay = sum / count;
        self.adjust();
        self.adjusted = now;
        self.delays = (Duration::ZERO, 0);
        self.peak_streams = self.active_streams;
    }

    fn adjust(&mut self) {
        let excess = self.mean_delay.div_duration_f64(self.options.delay_target) - 1.0;
        let is_draining = self.limit < f64::from(self.active_streams);
        let peak_streams = f64::from(self.peak_streams);
        if excess <= 0.0 {
            if USED_FRACTION * self.limit <= peak_streams {
                self.limit = (1.0 - INCREASE_PER_SHORTFALL * excess) * self.limit + 1.0;
            }
        } else if !is_draining {
            // Streams that were taken on before the last fall would else let it fall again and again.
            let fraction = (1.0 - DECREASE_PER_EXCESS * excess).max(DECREASE_FACTOR_MIN);
            self.limit = (fraction * self.limit.min(peak_streams)).max(self.options.limit_min);
        }
    }
}

impl fmt::Display for ConcurrencyLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let delay_ms = self.mean_delay.as_millis();
        write!(
            formatter,
            "turn_ms={delay_ms} streams={} limit={:.0}",
            self.active_streams, self.limit
        )
    }
}

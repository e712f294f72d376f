//! Concurrency limits: how many streams an instance takes on with the processor time that it has.
//!
//! Load pattern: all callers of a flooding team reach one instance of an eighth of a core, on whichever
//! side of its share the team is. A stream costs processor time from its arrival to its last event, a
//! second later. An instance that takes requests on until it is late has then taken on several times
//! what it can serve: all of its streams are late, those of other teams among them. The number of
//! streams that it serves at once tells so before lateness does. The limit follows for how long a task
//! waits for its turn: it falls while that is too long, and rises while it is reached and the wait is
//! short.

use std::fmt;
use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::TeamId;
use bergamotpitch_core::units::Timestamp;

use crate::traffic::team_windows::Standing;

/// `Options` of a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Time for which a task may wait for its turn. Requests meet it some four times before their first
    /// event, and each event does once.
    pub wait_target: Duration,
    /// Least value of the limit, at which an instance still serves somebody.
    pub least: f64,
    /// Time between two changes of the limit.
    pub interval: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            wait_target: Duration::from_millis(40),
            least: 16.0,
            interval: Duration::from_millis(100),
        }
    }
}

/// `FALL` is by which part the limit falls for each target by which the wait is too long.
const FALL: f64 = 0.1;

/// `FALL_MOST` is the least part that one fall leaves.
const FALL_MOST: f64 = 0.7;

/// `RISE` is the factor by which the limit rises in one change.
const RISE: f64 = 1.05;

/// `USED_PART` is the part of the limit that must have been reached for it to rise.
const USED_PART: f64 = 0.6;

/// `EVEN_PART` is the part of an even part of the limit that each team may always use.
const EVEN_PART: f64 = 0.5;

/// `ConcurrencyLimit` is the limit of one instance.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    options: Options,
    limit: f64,
    served: u32,
    served_of_team: HashMap<TeamId, u32>,
    /// Most streams that were served at once since the last change.
    most_served: u32,
    /// Sum and count of the waits since the last change.
    waits: (Duration, u32),
    mean_wait: Duration,
    changed: Timestamp,
}

impl ConcurrencyLimit {
    /// `new` returns a limit that is infinite until a wait is too long.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bergamotpitch_control::traffic::concurrency_limits::{ConcurrencyLimit, Options};
    /// use bergamotpitch_control::traffic::team_windows::Standing;
    ///
    /// let mut limit = ConcurrencyLimit::new(Options::default());
    /// (0..100).for_each(|_| limit.began(1));
    /// limit.note_wait(Duration::from_millis(200), Duration::from_secs(1));
    /// assert!(!limit.admits(1, Standing::WithinShare));
    /// assert!(limit.admits(2, Standing::WithinShare), "the other team has no stream here");
    /// (0..60).for_each(|_| limit.ended(1));
    /// assert!(limit.admits(1, Standing::WithinShare));
    /// ```
    pub fn new(options: Options) -> Self {
        Self {
            options,
            limit: f64::INFINITY,
            served: 0,
            served_of_team: HashMap::default(),
            most_served: 0,
            waits: (Duration::ZERO, 0),
            mean_wait: Duration::ZERO,
            changed: Timestamp::ZERO,
        }
    }

    /// `began` takes in that a stream of a team is served.
    pub fn began(&mut self, team: TeamId) {
        self.served += 1;
        self.most_served = self.most_served.max(self.served);
        *self.served_of_team.entry(team).or_default() += 1;
    }

    /// `ended` takes in that one is no longer.
    pub fn ended(&mut self, team: TeamId) {
        let Some(count) = self.served_of_team.get_mut(&team) else { return };
        *count -= 1;
        if *count == 0 {
            self.served_of_team.remove(&team);
        }
        self.served -= 1;
    }

    /// `admits_all` tells whether any request may be served, whatever its team has had.
    pub fn admits_all(&self) -> bool {
        self.has_room(Standing::BeyondEven)
    }

    /// `admits` tells whether one more request of a team may be served. Whoever has had most is refused
    /// first, and a team with few streams here is served beside one that floods.
    pub fn admits(&self, team: TeamId, standing: Standing) -> bool {
        let of_team = self.served_of_team.get(&team).copied().unwrap_or_default();
        let even = self.limit / (self.served_of_team.len() + 1) as f64;
        self.has_room(standing) || f64::from(of_team) < EVEN_PART * even
    }

    fn has_room(&self, standing: Standing) -> bool {
        let part = match standing {
            Standing::WithinShare | Standing::Needy => 1.0,
            Standing::EvenSurplus => 0.9,
            Standing::BeyondEven => 0.7,
        };
        f64::from(self.served) < part * self.limit
    }

    /// `note_wait` takes in for how long a task waited for its turn.
    pub fn note_wait(&mut self, wait: Duration, now: Timestamp) {
        let (sum, count) = (self.waits.0 + wait, self.waits.1 + 1);
        self.waits = (sum, count);
        if now < self.changed + self.options.interval {
            return;
        }
        self.mean_wait = sum / count;
        self.change();
        self.changed = now;
        self.waits = (Duration::ZERO, 0);
        self.most_served = self.served;
    }

    fn change(&mut self) {
        let excess = self.mean_wait.div_duration_f64(self.options.wait_target) - 1.0;
        let is_draining = self.limit < f64::from(self.served);
        let most_served = f64::from(self.most_served);
        if excess <= 0.0 {
            if USED_PART * self.limit <= most_served {
                self.limit = RISE * self.limit + 1.0;
            }
        } else if !is_draining {
            // Streams that were taken on before the last fall would else let it fall again and again.
            let part = (1.0 - FALL * excess).max(FALL_MOST);
            self.limit = (part * self.limit.min(most_served)).max(self.options.least);
        }
    }
}

impl fmt::Display for ConcurrencyLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let wait_ms = self.mean_wait.as_millis();
        write!(formatter, "turn_ms={wait_ms} streams={} limit={:.0}", self.served, self.limit)
    }
}

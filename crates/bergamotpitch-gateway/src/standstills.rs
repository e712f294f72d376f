//! Standstills: when this process did not run, or its machine was suspended.
//!
//! What arrived meanwhile is read at once when it goes on, however old it is.

use std::cell::Cell;
use std::time::{Duration, SystemTime};

use bergamotpitch_core::units::Timestamp;

/// `STANDSTILL_MIN` is how late a timer must be, or by how much the steady clock must lag behind the time of day: no
/// process ends and starts again in less.
const STANDSTILL_MIN: Duration = Duration::from_millis(250);

/// `AFTERMATH` is for how long what arrived during a standstill may be taken for new.
const AFTERMATH: Duration = Duration::from_secs(1);

/// `Standstills` follows a timer that fires at an interval.
#[derive(Debug)]
pub struct Standstills {
    interval: Duration,
    last_turn: Cell<(Timestamp, SystemTime)>,
    last_end: Cell<Option<Timestamp>>,
}

impl Standstills {
    /// `new` begins to follow a timer.
    pub fn new(interval: Duration) -> Self {
        let last_turn = Cell::new((Timestamp::ZERO, SystemTime::now()));
        Self { interval, last_turn, last_end: Cell::new(None) }
    }

    /// `note_turn` takes in that the timer fired.
    pub fn note_turn(&self, now: Timestamp, system: SystemTime) {
        if self.is_interrupted(now, system) {
            self.last_end.set(Some(now));
        }
        self.last_turn.set((now, system));
    }

    /// `has_stood_still` tells whether what is read now may have arrived some time ago.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    ///
    /// use bergamotpitch_gateway::standstills::Standstills;
    ///
    /// let (start, interval) = (SystemTime::now(), Duration::from_millis(100));
    /// let standstills = Standstills::new(interval);
    /// standstills.note_turn(interval, start + interval);
    /// assert!(!standstills.has_stood_still(2 * interval, start + 2 * interval));
    /// assert!(standstills.has_stood_still(9 * interval, start + 9 * interval));
    /// // The machine was suspended: its steady clock has not gone on.
    /// assert!(standstills.has_stood_still(2 * interval, start + 9 * interval));
    /// ```
    pub fn has_stood_still(&self, now: Timestamp, system: SystemTime) -> bool {
        self.is_interrupted(now, system)
            || self.last_end.get().is_some_and(|end| now < end + AFTERMATH)
    }

    fn is_interrupted(&self, now: Timestamp, system: SystemTime) -> bool {
        let (last, last_system) = self.last_turn.get();
        let steady = now.saturating_sub(last);
        // A step of the time of day looks the same.
        let of_day = match system.duration_since(last_system) {
            Ok(later) => later,
            Err(error) => steady + error.duration(),
        };
        let has_stepped = STANDSTILL_MIN < of_day.abs_diff(steady);
        has_stepped || self.interval + STANDSTILL_MIN < steady
    }
}

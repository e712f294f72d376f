//! Fleet sizes: among how many instances is divided what the whole fleet may do.
//!
//! Load pattern: instances start together, or after an outage in which the entries of all have lapsed, and
//! callers come before they can read who else there is. Each that took itself for the only one would take
//! all that the fleet may, and eight of them eight times as much.

use std::collections::VecDeque;
use std::time::Duration;

use bergamotpitch_core::units::Timestamp;

/// `SIZE_MEMORY` is for how long an instance counts that is not listed any more: entries lapse while the platform
/// is away, and are back some seconds after it.
const SIZE_MEMORY: Duration = Duration::from_secs(60);

/// `UNKNOWN_FLEET_SIZE` is for how many instances an instance leaves room while it does not know the others: as many
/// as the largest fleet has. Its part of a bound is small then, and no part is too large.
pub const UNKNOWN_FLEET_SIZE: usize = 1_000;

/// `FleetSize` is how many instances there are, as far as this one knows.
#[derive(Debug, Default)]
pub struct FleetSize {
    /// Sizes of which no later one was larger, with when they were known last.
    sizes: VecDeque<(Timestamp, usize)>,
    known_since: Option<Timestamp>,
}

impl FleetSize {
    /// `note_listed` takes in that a list of all instances was read that holds this one. One without it is
    /// older than its start, and may be older than that of all others.
    pub fn note_listed(&mut self, now: Timestamp) {
        self.known_since.get_or_insert(now);
    }

    /// `known_since` returns when such a list was first read; `None` before.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bergamotpitch_control::traffic::fleet_sizes::FleetSize;
    ///
    /// let mut size = FleetSize::default();
    /// assert_eq!(size.known_since(), None);
    /// size.note_listed(Duration::from_secs(3));
    /// size.note_listed(Duration::from_secs(9));
    /// assert_eq!(size.known_since(), Some(Duration::from_secs(3)));
    /// ```
    pub fn known_since(&self) -> Option<Timestamp> {
        self.known_since
    }

    /// `largest` takes in how many instances are listed, and returns the most of the last minute.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bergamotpitch_control::traffic::fleet_sizes::FleetSize;
    ///
    /// let mut size = FleetSize::default();
    /// assert_eq!(size.largest(Duration::ZERO, 8), 8);
    /// assert_eq!(size.largest(Duration::from_secs(59), 1), 8);
    /// assert_eq!(size.largest(Duration::from_secs(61), 1), 1);
    /// ```
    pub fn largest(&mut self, now: Timestamp, listed: usize) -> usize {
        while self.sizes.back().is_some_and(|(_, size)| *size <= listed) {
            self.sizes.pop_back();
        }
        self.sizes.push_back((now, listed));
        while self.sizes.front().is_some_and(|(at, _)| *at + SIZE_MEMORY < now) {
            self.sizes.pop_front();
        }
        self.sizes.front().map_or(listed, |(_, size)| *size)
    }
}

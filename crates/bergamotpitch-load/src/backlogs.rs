//! Backlogs: the intervals in which a team had work waiting.

use bergamotpitch_core::HashMap;

/// `Interval` is a span of time, in microseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Interval {
    /// First microsecond.
    pub start_us: u64,
    /// Microsecond after the last.
    pub end_us: u64,
}

/// `Wait` is the time for which one request of a team waited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wait {
    /// Team that sent the request.
    pub team: String,
    /// When it was sent and when it was begun, refused or lost.
    pub interval: Interval,
}

/// `backlogged_intervals` returns, for each team, when at least one of its requests had waited for
/// `least_wait_us` already; the intervals are disjoint and in order.
///
/// ```
/// use bergamotpitch_load::backlogs::{Interval, Wait, backlogged_intervals};
/// let wait = |start_us, end_us| Wait { team: "a".to_owned(), interval: Interval { start_us, end_us } };
/// let intervals = backlogged_intervals(&[wait(0, 50), wait(30, 80), wait(90, 95)], 10);
/// assert_eq!(intervals["a"], [Interval { start_us: 10, end_us: 80 }]);
/// ```
pub fn backlogged_intervals(waits: &[Wait], least_wait_us: u64) -> HashMap<String, Vec<Interval>> {
    let mut by_team: HashMap<String, Vec<Interval>> = HashMap::default();
    for wait in waits {
        let start_us = wait.interval.start_us + least_wait_us;
        if start_us < wait.interval.end_us {
            let interval = Interval { start_us, end_us: wait.interval.end_us };
            by_team.entry(wait.team.clone()).or_default().push(interval);
        }
    }
    for intervals in by_team.values_mut() {
        *intervals = union(intervals);
    }
    by_team
}

/// `union` joins intervals that overlap or touch.
pub fn union(intervals: &[Interval]) -> Vec<Interval> {
    let mut sorted = intervals.to_vec();
    sorted.sort_unstable_by_key(|interval| interval.start_us);
    let mut joined: Vec<Interval> = Vec::new();
    for interval in sorted {
        match joined.last_mut() {
            Some(last) if interval.start_us <= last.end_us => {
                last.end_us = last.end_us.max(interval.end_us)
            }
            _ => joined.push(interval),
        }
    }
    joined
}

/// `intersection` returns where both lists of disjoint, ordered intervals hold.
pub fn intersection(left: &[Interval], right: &[Interval]) -> Vec<Interval> {
    let mut common = Vec::new();
    let (mut left_at, mut right_at) = (0, 0);
    while let (Some(one), Some(other)) = (left.get(left_at), right.get(right_at)) {
        let start_us = one.start_us.max(other.start_us);
        let end_us = one.end_us.min(other.end_us);
        if start_us < end_us {
            common.push(Interval { start_us, end_us });
        }
        if one.end_us < other.end_us {
            left_at += 1;
        } else {
            right_at += 1;
        }
    }
    common
}

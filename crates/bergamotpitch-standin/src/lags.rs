//! Values that are published late.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// `Lagged` keeps the recent history of a value, so that it can be read as it was a while ago.
#[derive(Debug)]
pub struct Lagged<T> {
    history: VecDeque<(Instant, T)>,
}

impl<T> Default for Lagged<T> {
    fn default() -> Self {
        Self { history: VecDeque::new() }
    }
}

/// `publish` adds the present value and forgets what is older than the lag.
pub fn publish<T>(lagged: &mut Lagged<T>, now: Instant, lag: Duration, value: T) {
    lagged.history.push_back((now, value));
    // The entry that is read now, and all newer ones, must stay.
    while lagged.history.get(1).is_some_and(|(time, _)| *time + lag <= now) {
        lagged.history.pop_front();
    }
}

/// `read` returns the newest value that is at least as old as the lag; the oldest when none is.
pub fn read<T>(lagged: &Lagged<T>, now: Instant, lag: Duration) -> Option<&T> {
    let visible = lagged.history.iter().rev().find(|(time, _)| *time + lag <= now);
    visible.or(lagged.history.front()).map(|(_, value)| value)
}

//! Served streams: the requests for streams that this instance has taken on, and whether it has time for
//! one more.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::concurrency_limits::{ConcurrencyLimit, Options};
use bergamotpitch_control::traffic::team_windows::ShareClass;
use bergamotpitch_core::ids::TeamId;
use bergamotpitch_core::units::Timestamp;

/// `ServedStreams` counts them.
#[derive(Debug, Clone)]
pub struct ServedStreams(Rc<RefCell<ConcurrencyLimit>>);

/// `ServedStream` counts one for as long as it lives.
#[derive(Debug)]
pub struct ServedStream {
    streams: ServedStreams,
    team: TeamId,
}

impl Drop for ServedStream {
    fn drop(&mut self) {
        self.streams.0.borrow_mut().stream_ended(self.team);
    }
}

impl ServedStreams {
    /// `new` returns a count of none.
    pub fn new(options: Options) -> Self {
        Self(Rc::new(RefCell::new(ConcurrencyLimit::new(options))))
    }

    /// `open` counts one more stream of a team.
    pub fn open(&self, team: TeamId) -> ServedStream {
        self.0.borrow_mut().stream_started(team);
        ServedStream { streams: self.clone(), team }
    }

    /// `admits_all` tells whether there is time for any request, whatever its team has had.
    pub fn admits_all(&self) -> bool {
        self.0.borrow().admits_all()
    }

    /// `admits` tells whether there is time for one more request of a team.
    pub fn admits(&self, team: TeamId, share_class: ShareClass) -> bool {
        self.0.borrow().admits(team, share_class)
    }

    /// `note_wait` takes in for how long a task waited for its turn.
    pub fn note_wait(&self, wait: Duration, now: Timestamp) {
        self.0.borrow_mut().record_delay(wait, now);
    }
}

impl fmt::Display for ServedStreams {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.borrow().fmt(formatter)
    }
}

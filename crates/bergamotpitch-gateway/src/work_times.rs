//! Work times: for what kinds of work this instance uses its thread.
//!
//! Load pattern: an instance with an eighth of a core is late for seconds while few requests come to
//! it. Whatever else it does meanwhile has no request, and no line in the log. Each kind of work is
//! therefore timed where it begins and ends, without the kinds that it calls.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::units::Timestamp;
use strum::{EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

use crate::gateways::Gateway;
use crate::logs::decision;

/// `LOG_INTERVAL` is the time between two lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// `LOGGED_FRACTION_MIN` is the part of the interval for which the thread must have worked to be
/// written about.
const LOGGED_FRACTION_MIN: f64 = 0.25;

/// `Work` is a kind of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Work {
    /// Connections and requests of callers, and the answers that are passed on to them.
    Callers,
    /// Connections to upstreams.
    Upstreams,
    /// Messages of other instances, as they are read.
    Messages,
    /// Decisions on places, and messages on them.
    Placements,
    /// What others tell of themselves, and what is told to them.
    Heartbeats,
    /// Evidence against requests and parts of prompts that crash upstreams.
    Crashes,
    /// Where streams began, as others ask or tell it.
    Origins,
    /// Requests to second upstreams that others allow.
    Repeats,
    /// Documents of the platform's store, and the list of upstreams.
    Documents,
    /// Readiness and metrics.
    Probes,
    /// What is done with each beat besides.
    Upkeep,
}

/// `WorkTimes` holds the time of each kind.
#[derive(Debug, Clone, Default)]
pub struct WorkTimes(Rc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    times: RefCell<[Duration; Work::COUNT]>,
    /// What the thread does now, and since when.
    current: Cell<Option<(Work, Instant)>>,
    last_logged: Cell<Timestamp>,
    logged: RefCell<[Duration; Work::COUNT]>,
}

/// `WorkScope` is a time for which the thread does one kind of work, until it is dropped.
#[derive(Debug)]
pub struct WorkScope {
    times: WorkTimes,
    outer: Option<Work>,
}

impl Drop for WorkScope {
    fn drop(&mut self) {
        self.times.switch(self.outer);
    }
}

impl WorkTimes {
    /// `enter` begins a kind of work. What the thread did before goes on when the scope ends.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bergamotpitch_gateway::work_times::{Work, WorkTimes};
    ///
    /// let times = WorkTimes::default();
    /// let callers = times.enter(Work::Callers);
    /// let crashes = times.enter(Work::Crashes);
    /// std::thread::sleep(Duration::from_millis(2));
    /// drop(crashes);
    /// drop(callers);
    /// assert!(Duration::from_millis(2) <= times.of(Work::Crashes));
    /// assert!(times.of(Work::Callers) < times.of(Work::Crashes));
    /// ```
    pub fn enter(&self, work: Work) -> WorkScope {
        WorkScope { outer: self.switch(Some(work)), times: self.clone() }
    }

    /// `time` runs a task, each of whose turns counts as a kind of work.
    pub async fn time<F: Future>(&self, work: Work, task: F) -> F::Output {
        let mut task = pin!(task);
        poll_fn(|context| {
            let _scope = self.enter(work);
            task.as_mut().poll(context)
        })
        .await
    }

    /// `of` returns the time that a kind of work has taken.
    pub fn of(&self, work: Work) -> Duration {
        self.0.times.borrow()[work as usize]
    }

    fn switch(&self, next: Option<Work>) -> Option<Work> {
        let now = Instant::now();
        let next_since = next.map(|work| (work, now));
        let (before, since) = self.0.current.replace(next_since)?;
        self.0.times.borrow_mut()[before as usize] += now.saturating_duration_since(since);
        Some(before)
    }

    /// What has been added since this was asked last, once an interval is over.
    fn take_due(&self, now: Timestamp) -> Option<WorkShares> {
        let interval = now.saturating_sub(self.0.last_logged.get());
        if interval < LOG_INTERVAL {
            return None;
        }
        self.0.last_logged.set(now);
        let times = *self.0.times.borrow();
        let before = self.0.logged.replace(times);
        let added = std::array::from_fn(|work| times[work].saturating_sub(before[work]));
        Some(WorkShares { added, interval })
    }
}

/// `WorkShares` is what each kind of work took of an interval.
#[derive(Debug, Clone, Copy)]
struct WorkShares {
    added: [Duration; Work::COUNT],
    interval: Duration,
}

impl WorkShares {
    fn busy_fraction(&self) -> f64 {
        let busy: Duration = self.added.iter().sum();
        busy.div_duration_f64(self.interval)
    }
}

impl fmt::Display for WorkShares {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "interval_ms={}", self.interval.as_millis())?;
        for work in Work::iter() {
            let name: &'static str = work.into();
            write!(formatter, " {name}_ms={}", self.added[work as usize].as_millis())?;
        }
        Ok(())
    }
}

impl Gateway {
    /// `note_work_times` counts the time of each kind of work, and writes a line where it was much.
    pub(crate) fn note_work_times(&self) {
        let Some(shares) = self.work_times.take_due(self.now()) else { return };
        for work in Work::iter() {
            self.metrics.count_work(work, shares.added[work as usize]);
        }
        if LOGGED_FRACTION_MIN <= shares.busy_fraction() {
            decision(EventKind::WorkTallied, format_args!("{shares} {}", self.loop_lag));
        }
    }
}

//! Warm-ups: how many requests a second an upstream gets that has just started.
//!
//! Load pattern: upstreams that crashed, were replaced or were evacuated come back together, cold and
//! empty. All that waits would be sent to them within tenths of a second; a cold upstream falls over
//! under that, and takes its streams and kept prompts with it. Operators therefore bound the requests
//! that reach a cold upstream in any one second, over the whole fleet.
//!
//! Nobody's part may depend on what others are thought to do. One instance alone may send to a cold
//! upstream, or let others send: the dispatcher of its failure domain, once it is sure that no other
//! one decides, as [`Authorities`] tell. An upstream may become cold unannounced, so one that counts as
//! warm is bounded too, less tightly, and instances that decide by themselves divide that bound.

use std::collections::VecDeque;
use std::time::Duration;

use bergamotpitch_core::units::Timestamp;

/// `WarmUp` is what operators say of the upstreams of a service that have just started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUp {
    /// Time after its start for which an upstream is cold.
    pub time: Duration,
    /// Requests a second that a cold upstream tolerates.
    pub requests_per_s: f64,
}

/// `Options` of the bound, by which operators allow more than what an upstream tolerates on average.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Factor on the requests a second.
    pub overshoot: f64,
    /// Requests in one second besides.
    pub slack: f64,
    /// Factor on the bound for upstreams that count as warm.
    pub warm_fraction: f64,
    /// Factor on the bound for cold upstreams.
    pub cold_fraction: f64,
}

impl Default for Options {
    fn default() -> Self {
        // The rest is left for requests that were held up on their way and arrive together.
        Self { overshoot: 1.0, slack: 0.0, warm_fraction: 0.9, cold_fraction: 0.8 }
    }
}

impl Options {
    /// `bound` returns how many requests a cold upstream may get in any one second.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bergamotpitch_control::traffic::warm_ups::{Options, WarmUp};
    ///
    /// let warm_up = WarmUp { time: Duration::from_secs(3), requests_per_s: 10.0 };
    /// let options = Options { overshoot: 1.5, slack: 4.0, ..Options::default() };
    /// assert_eq!(options.bound(&warm_up), 19.0);
    /// ```
    pub fn bound(&self, warm_up: &WarmUp) -> f64 {
        warm_up.requests_per_s * self.overshoot + self.slack
    }
}

/// `WARM_WINDOW` is the time over which the requests to a warm upstream are bounded.
const WARM_WINDOW: Duration = Duration::from_secs(1);

/// `GRANT_VALIDITY` is the time within which a request that was placed at a cold upstream is sent, or
/// not at all: many times the way between two regions and back.
pub const GRANT_VALIDITY: Duration = Duration::from_millis(150);

/// `COLD_WINDOW` is the same as [`WARM_WINDOW`] for a cold one. What was placed at its two ends may
/// arrive within one second, as each request is sent up to [`GRANT_VALIDITY`] after it was placed.
const COLD_WINDOW: Duration = Duration::from_millis(1_000 + GRANT_VALIDITY.as_millis() as u64);

/// `Authority` is which part of what an upstream may get an instance disposes of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Authority {
    /// It alone decides on requests for the upstream, and is sure of it.
    Sole,
    /// It decides on them, and another one may do so too.
    Unconfirmed,
    /// It is one of so many instances that may each send there by their own decision.
    Shared(usize),
}

/// `ArrivalLimiter` bounds the requests that one upstream gets by the decisions of this instance.
#[derive(Debug, Clone, Default)]
pub struct ArrivalLimiter {
    /// When the latest requests were placed there, the oldest first.
    placed: VecDeque<Timestamp>,
    cold_until: Timestamp,
}

impl ArrivalLimiter {
    /// `is_cold` tells whether the upstream counts as cold.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        now < self.cold_until
    }

    /// `note_cold` takes in that it is cold, or may be, for some time.
    pub fn note_cold(&mut self, time: Duration, now: Timestamp) {
        self.cold_until = self.cold_until.max(now.saturating_add(time));
    }

    /// `note_placed` takes in that a request was placed there.
    pub fn note_placed(&mut self, now: Timestamp) {
        // The last one is kept: a small part of a bound is one request in several seconds.
        while 1 < self.placed.len() && self.placed[0] + COLD_WINDOW <= now {
            self.placed.pop_front();
        }
        self.placed.push_back(now);
    }

    /// `room` returns how many more requests may be placed there now.
    pub fn room(
        &self,
        warm_up: &WarmUp,
        authority: Authority,
        now: Timestamp,
        options: &Options,
    ) -> u32 {
        let limit = self.limit(warm_up, authority, now, options);
        let since = |placed: &&Timestamp| now < **placed + limit.window;
        let recent = self.placed.iter().rev().take_while(since).count();
        limit.requests.saturating_sub(u32::try_from(recent).unwrap_or(u32::MAX))
    }

    /// `wait` returns the time until one more request may be placed there that may use a fraction of
    /// the bound.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bergamotpitch_control::traffic::warm_ups::{
    ///     ArrivalLimiter, Authority, Options, WarmUp,
    /// };
    ///
    /// let warm_up = WarmUp { time: Duration::from_secs(3), requests_per_s: 1.0 };
    /// let options = Options { cold_fraction: 1.0, ..Options::default() };
    /// let now = Duration::from_secs(7);
    /// let mut limiter = ArrivalLimiter::default();
    /// limiter.note_cold(warm_up.time, now);
    /// assert_eq!(limiter.wait(&warm_up, Authority::Sole, 1.0, now, &options), Duration::ZERO);
    /// assert_eq!(limiter.wait(&warm_up, Authority::Shared(2), 1.0, now, &options), warm_up.time);
    /// limiter.note_placed(now);
    /// assert!(Duration::ZERO < limiter.wait(&warm_up, Authority::Sole, 1.0, now, &options));
    /// ```
    pub fn wait(
        &self,
        warm_up: &WarmUp,
        authority: Authority,
        fraction: f64,
        now: Timestamp,
        options: &Options,
    ) -> Duration {
        let limit = self.limit(warm_up, authority, now, options).part(fraction);
        let Some(index) = limit.requests.checked_sub(1) else {
            return self.cold_until.saturating_sub(now);
        };
        let earliest = self.placed.iter().rev().nth(index as usize);
        earliest.map_or(Duration::ZERO, |placed| (*placed + limit.window).saturating_sub(now))
    }

    fn limit(
        &self,
        warm_up: &WarmUp,
        authority: Authority,
        now: Timestamp,
        options: &Options,
    ) -> Limit {
        let bound = options.bound(warm_up);
        if self.is_cold(now) {
            let requests = match authority {
                Authority::Sole => (bound * options.cold_fraction) as u32,
                Authority::Unconfirmed | Authority::Shared(_) => 0,
            };
            return Limit { requests, window: COLD_WINDOW };
        }
        let requests = bound * options.warm_fraction;
        match authority {
            Authority::Sole | Authority::Unconfirmed => {
                Limit { requests: (requests as u32).max(1), window: WARM_WINDOW }
            }
            Authority::Shared(instances) => Limit::part_of(requests, instances),
        }
    }
}

/// `Limit` is how many requests may be placed within a time.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Limit {
    requests: u32,
    window: Duration,
}

impl Limit {
    /// A fraction of it, of one request at the least where there is any.
    fn part(self, fraction: f64) -> Self {
        let requests = (f64::from(self.requests) * fraction).ceil() as u32;
        Self { requests, ..self }
    }

    /// The part of one of several instances: some requests a second, or one in several seconds.
    fn part_of(requests: f64, instances: usize) -> Self {
        let part = requests / instances.max(1) as f64;
        if 1.0 <= part {
            return Self { requests: part as u32, window: WARM_WINDOW };
        }
        let window = WARM_WINDOW.div_f64(part.max(f64::MIN_POSITIVE).max(1e-6));
        Self { requests: 1, window }
    }
}

/// `DomainView` is what an instance observes of its failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DomainView {
    /// Whether it decides for the domain.
    pub is_dispatcher: bool,
    /// Whether another instance of the domain that hears most of it says that it does. One that hears few may
    /// send nothing to cold upstreams, and becomes sure of its role no sooner than [`CONFIRMATION_TIME`] after
    /// it hears most.
    pub is_contested: bool,
    /// Listed instances of the domain, itself among them.
    pub listed: usize,
    /// Those of them that were heard lately, itself among them.
    pub heard: usize,
    /// Instances that may each place requests at the domain's upstreams while this one does not decide for it,
    /// itself among them: those of the domain beside its dispatcher, and without one those of the fleet.
    pub deciders: usize,
}

impl DomainView {
    /// `hears_most` tells whether more than half of the domain was heard lately.
    pub fn hears_most(&self) -> bool {
        self.listed < 2 * self.heard
    }
}

/// `CONFIRMATION_TIME` is for how long an instance must have been the only dispatcher that hears most
/// of its domain before it is sure of it: an earlier one that was cut off has noticed by then, after
/// the heartbeat timeout, and what it placed has arrived.
pub const CONFIRMATION_TIME: Duration = Duration::from_millis(2_500);

/// `Authorities` tell whether this instance is the only one that decides for its failure domain.
///
/// Two instances that cannot hear each other may both take that role. Only one of them hears more than
/// half of the domain, and the other one loses its authority before that one gains it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Authorities {
    undisputed_since: Option<Timestamp>,
}

impl Authorities {
    /// `update` takes in what is observed of the domain, and returns this instance's authority over its
    /// upstreams.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bergamotpitch_control::traffic::warm_ups::{
    ///     Authorities, Authority, CONFIRMATION_TIME, DomainView,
    /// };
    ///
    /// let alone =
    ///     DomainView { is_dispatcher: true, is_contested: false, listed: 5, heard: 3, deciders: 5 };
    /// let mut authorities = Authorities::default();
    /// assert_eq!(authorities.update(&alone, Duration::ZERO), Authority::Unconfirmed);
    /// assert_eq!(authorities.update(&alone, CONFIRMATION_TIME), Authority::Sole);
    /// let cut_off = DomainView { heard: 2, ..alone };
    /// assert_eq!(authorities.update(&cut_off, CONFIRMATION_TIME), Authority::Unconfirmed);
    /// ```
    pub fn update(&mut self, view: &DomainView, now: Timestamp) -> Authority {
        if !view.is_dispatcher {
            self.undisputed_since = None;
            return Authority::Shared(view.deciders);
        }
        if view.is_contested || !view.hears_most() {
            self.undisputed_since = None;
            return Authority::Unconfirmed;
        }
        let since = *self.undisputed_since.get_or_insert(now);
        if since + CONFIRMATION_TIME <= now { Authority::Sole } else { Authority::Unconfirmed }
    }
}

//! Retry budgets: how many requests one instance may send to a second upstream.
//!
//! Load pattern: an upstream or a whole service fails, and each request that is sent again adds
//! load where there is too little capacity. The fleet's budget is a part of the requests in a
//! sliding window plus a fixed number. Each instance takes its part of the ratio from what it
//! received itself and an even part of the fixed number, so that the sum stays below the budget
//! without any talk between instances.
//!
//! In a fleet of a thousand instances each receives a few requests of a service in a window, and its
//! part of the budget is less than one repeat. Where an instance decides for its domain, it therefore
//! counts the requests that it decides on, holds half of the fixed parts of the whole domain, and allows
//! the repeats of the others. Those hold what no upstream has read: whoever holds more than a part of its own asks for
//! nothing more.
//!
//! The budget is on what arrives. An upstream that stands still reads what it was sent once it goes on, also what
//! was given up and sent elsewhere, so that a repeat counts until the upstream is known to have read its request.
//!
//! What a life of an instance holds for unread ends with it, and what it sent may still arrive. A life that finds an
//! upstream silent therefore sends nothing again before that upstream answers, and little in the window after it.

use std::collections::VecDeque;
use std::time::Duration;

use bergamotpitch_core::ids::UpstreamId;
use bergamotpitch_core::units::Timestamp;
use bergamotpitch_core::{HashMap, HashSet};

/// `Options` of a budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, over the whole fleet.
    pub fixed: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Time for which an instance must have known the fleet until its part of the fixed number counts: a life
    /// before may have used it up, and instances that start together find each other in it.
    pub fixed_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        // One repeat for ten requests is the usual default of retry budgets.
        let window = Duration::from_secs(10);
        Self { ratio: 0.1, fixed: 10.0, window, fixed_after: window }
    }
}

/// `SAFETY` is the part of the budget that is used; the rest covers instances that joined and are
/// not yet counted, and windows that are cut differently.
const SAFETY: f64 = 0.6;

/// `STARTING_SAFETY` is the part of the ratio that is used in the first window of an instance's life; its life before may
/// have used [`SAFETY`] within the same window.
const STARTING_SAFETY: f64 = 1.0 - SAFETY;

/// `UNREAD_TIME` is for how long an upstream that stands still may hold requests.
const UNREAD_TIME: Duration = Duration::from_secs(60);

/// `SILENT_AFTER` is the time without any answer after which an upstream may be one that stood still when this life
/// began. It is also by how much the first window is longer, as one that goes on sooner is not noticed.
pub const SILENT_AFTER: Duration = Duration::from_secs(1);

/// `Usage` is what one service's budget holds at this instance, within its window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Requests of callers.
    pub requests: usize,
    /// Repeats that were taken.
    pub repeats: usize,
    /// Those beside that an upstream may not have read.
    pub unread: usize,
}

/// `RetryBudget` counts one service's requests and repeats at this instance.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Timestamp>,
    repeats: VecDeque<Timestamp>,
    unread: Vec<Unread>,
    silences: Silences,
}

/// `Silences` are the upstreams that have not answered in this life.
#[derive(Debug, Default)]
struct Silences {
    /// When each of them was sent something first.
    unheard: HashMap<UpstreamId, Timestamp>,
    heard: HashSet<UpstreamId>,
    /// When one answered at last that was silent.
    broken_at: Option<Timestamp>,
}

impl Silences {
    fn note_sent(&mut self, upstream: UpstreamId, now: Timestamp) {
        if now < UNREAD_TIME && !self.heard.contains(&upstream) {
            self.unheard.entry(upstream).or_insert(now);
        }
    }

    fn note_heard(&mut self, upstream: UpstreamId, now: Timestamp) {
        let since = self.unheard.remove(&upstream);
        if since.is_some_and(|since| since + SILENT_AFTER <= now) {
            self.broken_at = Some(now);
        }
        if now < UNREAD_TIME {
            self.heard.insert(upstream);
        }
    }

    fn is_any_silent(&self, now: Timestamp) -> bool {
        let is_silent = |since: &Timestamp| *since + SILENT_AFTER <= now;
        now < UNREAD_TIME && self.unheard.values().any(is_silent)
    }

    fn has_ended_within(&self, window: Duration, now: Timestamp) -> bool {
        self.broken_at.is_some_and(|broken_at| now < broken_at + window)
    }

    fn step(&mut self, now: Timestamp) {
        if UNREAD_TIME <= now {
            (self.unheard, self.heard) = Default::default();
        }
    }
}

/// `Unread` is a repeat whose request an upstream may not have read.
#[derive(Debug)]
struct Unread {
    upstream: UpstreamId,
    since: Timestamp,
}

impl RetryBudget {
    /// `note_request` counts a request of a caller.
    pub fn note_request(&mut self, now: Timestamp, options: &Options) {
        drop_before(&mut self.requests, now, options.window);
        self.requests.push_back(now);
    }

    /// `take` tells whether one more repeat fits, and counts it if so.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bergamotpitch_control::traffic::retry_budgets::{Options, RetryBudget};
    ///
    /// let options = Options { ratio: 0.0, fixed: 2.0, ..Options::default() };
    /// let mut budget = RetryBudget::default();
    /// assert!(budget.take(Duration::ZERO, 1, &options));
    /// assert!(!budget.take(Duration::ZERO, 1, &options));
    /// ```
    pub fn take(&mut self, now: Timestamp, instances: usize, options: &Options) -> bool {
        self.take_within(now, options.fixed / instances.max(1) as f64, options)
    }

    /// `take_within` does so, where `fixed` is this instance's part of the fixed number.
    pub fn take_within(&mut self, now: Timestamp, fixed: f64, options: &Options) -> bool {
        let has_room = self.has_room_within(now, fixed, options);
        if has_room {
            self.repeats.push_back(now);
        }
        has_room
    }

    /// `note_unread` takes in that the latest repeat may arrive later: an attempt was given up at an upstream that
    /// may not have read it.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bergamotpitch_control::traffic::retry_budgets::{Options, RetryBudget};
    ///
    /// let options = Options { ratio: 0.0, fixed: 2.0, ..Options::default() };
    /// let mut budget = RetryBudget::default();
    /// assert!(budget.take(Duration::ZERO, 1, &options));
    /// budget.note_unread(7, Duration::ZERO);
    /// assert!(!budget.take(Duration::from_secs(20), 1, &options));
    /// budget.note_read(7, Duration::from_secs(20));
    /// assert!(!budget.take(Duration::from_secs(29), 1, &options));
    /// assert!(budget.take(Duration::from_secs(30), 1, &options));
    /// ```
    pub fn note_unread(&mut self, upstream: UpstreamId, now: Timestamp) {
        self.repeats.pop_back();
        self.unread.push(Unread { upstream, since: now });
    }

    /// `note_answered` takes in that an upstream has read one request that may have arrived later.
    pub fn note_answered(&mut self, upstream: UpstreamId, now: Timestamp) {
        let place = self.unread.iter().position(|unread| unread.upstream == upstream);
        if let Some(place) = place {
            self.unread.swap_remove(place);
            self.repeats.push_back(now);
        }
    }

    /// `note_sent` takes in that an upstream is sent a request.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bergamotpitch_control::traffic::retry_budgets::{Options, RetryBudget};
    ///
    /// let options = Options { ratio: 0.0, fixed: 2.0, ..Options::default() };
    /// let mut budget = RetryBudget::default();
    /// budget.note_sent(7, Duration::from_secs(12));
    /// assert!(budget.is_silent(Duration::from_secs(13)));
    /// assert!(!budget.take(Duration::from_secs(13), 1, &options));
    /// budget.note_read(7, Duration::from_secs(14));
    /// assert!(!budget.is_silent(Duration::from_secs(14)));
    /// ```
    pub fn note_sent(&mut self, upstream: UpstreamId, now: Timestamp) {
        self.silences.note_sent(upstream, now);
    }

    /// `is_silent` tells whether an upstream may hold requests of a life before, which it will read when it goes on.
    pub fn is_silent(&self, now: Timestamp) -> bool {
        self.silences.is_any_silent(now)
    }

    /// `note_read` takes in that an upstream has by now read what it was sent.
    pub fn note_read(&mut self, upstream: UpstreamId, now: Timestamp) {
        self.silences.note_heard(upstream, now);
        let read = self.unread.extract_if(.., |unread| unread.upstream == upstream);
        self.repeats.extend(read.map(|_| now));
    }

    /// `holds_outdated` tells whether repeats that no upstream has read, and that whoever allowed them has forgotten,
    /// leave no room for further ones, of `fixed` that is this instance's even part of the fixed number.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bergamotpitch_control::traffic::retry_budgets::{Options, RetryBudget};
    ///
    /// let options = Options::default();
    /// let mut budget = RetryBudget::default();
    /// budget.note_unread(7, Duration::ZERO);
    /// assert!(!budget.holds_outdated(Duration::from_secs(9), 1.0, &options));
    /// assert!(budget.holds_outdated(Duration::from_secs(10), 1.0, &options));
    /// assert!(!budget.holds_outdated(Duration::from_secs(10), 2.5, &options));
    /// ```
    pub fn holds_outdated(&self, now: Timestamp, fixed: f64, options: &Options) -> bool {
        let is_outdated = |unread: &&Unread| {
            unread.since + options.window <= now && now < unread.since + UNREAD_TIME
        };
        let outdated = self.unread.iter().filter(is_outdated).count();
        (1.0 - SAFETY) * fixed < outdated as f64
    }

    /// `usage` returns what was counted, as of the last call that told the time.
    pub fn usage(&self) -> Usage {
        let [requests, repeats] = [&self.requests, &self.repeats].map(VecDeque::len);
        Usage { requests, repeats, unread: self.unread.len() }
    }

    /// `has_room_within` tells whether one more repeat fits, at a time since the start of this instance.
    pub fn has_room_within(&mut self, now: Timestamp, fixed: f64, options: &Options) -> bool {
        drop_before(&mut self.requests, now, options.window);
        drop_before(&mut self.repeats, now, options.window);
        self.unread.retain(|unread| now < unread.since + UNREAD_TIME);
        self.silences.step(now);
        if self.is_silent(now) {
            return false;
        }
        let was_silent = self.silences.has_ended_within(options.window, now);
        let is_starting = was_silent || now < options.window + SILENT_AFTER;
        let safety = if is_starting { STARTING_SAFETY } else { SAFETY };
        let fixed = if was_silent { 0.0 } else { fixed };
        let allowed = safety * options.ratio * self.requests.len() as f64 + SAFETY * fixed;
        (self.repeats.len() + self.unread.len()) as f64 + 1.0 <= allowed
    }
}

/// `DOMAIN_FRACTION` is the fraction of each instance's part of the fixed number that is pooled where an instance
/// decides for its domain.
const DOMAIN_FRACTION: f64 = 0.5;

/// `Holder` is who holds what the instances of a failure domain pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Holder {
    /// Nothing is pooled.
    #[default]
    Nobody,
    /// This instance.
    This,
    /// Another one.
    Other,
}

/// `FixedParts` is how many instances' parts of the fixed number this one may use.
///
/// Whoever held the pool before may have used it up, so that a new holder uses it after a window.
#[derive(Debug, Default)]
pub struct FixedParts {
    holder: Holder,
    held_from: Timestamp,
}

impl FixedParts {
    /// `update` takes in who holds the pool now.
    pub fn update(&mut self, holder: Holder, now: Timestamp, options: &Options) {
        if self.holder != holder {
            self.holder = holder;
            self.held_from = now + options.window;
        }
    }

    /// `usable` returns how many parts count at this instance, in a domain of `domain_instances`, where the fleet
    /// is known since `known_since`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bergamotpitch_control::traffic::retry_budgets::{FixedParts, Holder, Options};
    ///
    /// let options = Options::default();
    /// let mut parts = FixedParts::default();
    /// let known_since = Some(Duration::from_secs(1));
    /// assert_eq!(parts.usable(150, None, Duration::from_secs(99), &options), 0.0);
    /// assert_eq!(parts.usable(150, known_since, Duration::from_secs(10), &options), 0.0);
    /// assert_eq!(parts.usable(150, known_since, Duration::from_secs(11), &options), 1.0);
    /// parts.update(Holder::This, Duration::from_secs(13), &options);
    /// assert_eq!(parts.usable(150, known_since, Duration::from_secs(22), &options), 0.5);
    /// assert_eq!(parts.usable(150, known_since, Duration::from_secs(23), &options), 75.5);
    /// ```
    pub fn usable(
        &self,
        domain_instances: usize,
        known_since: Option<Timestamp>,
        now: Timestamp,
        options: &Options,
    ) -> f64 {
        if known_since.is_none_or(|since| now < since + options.fixed_after) {
            return 0.0;
        }
        match self.holder {
            Holder::Nobody => 1.0,
            Holder::This if self.held_from <= now => {
                1.0 - DOMAIN_FRACTION + DOMAIN_FRACTION * domain_instances as f64
            }
            Holder::This | Holder::Other => 1.0 - DOMAIN_FRACTION,
        }
    }
}

fn drop_before(times: &mut VecDeque<Timestamp>, now: Timestamp, window: Duration) {
    while times.front().is_some_and(|time| *time + window <= now) {
        times.pop_front();
    }
}

//! Dispatchers: which instance of a failure domain decides on requests for its upstreams.
//!
//! Load pattern: fifty instances of a domain send to thirty engines, and what each knows of the
//! others is a fraction of a second to seconds old. All see the same free place and take it, teams'
//! sums lag, and half of the requests begin after their target. One instance that decides for the
//! whole domain knows each place at once.
//!
//! Fewer instances decide each by itself, but where operators bound what upstreams get that may be cold.
//! That bound belongs to the whole fleet. Divided evenly, a team whose callers all reach one instance gets
//! the part of one, beside upstreams that stand idle and parts that nobody uses; so each domain has a
//! dispatcher there, however small it is.
//!
//! Nothing is agreed on. Each instance ranks the others by what it heard of them, and two that both
//! take the role over-commit their upstreams for as long as they differ. Whoever has the role keeps it
//! beside others with as much processor time: for some seconds after each change nobody may send to
//! cold upstreams.

use std::cmp::Reverse;
use std::time::Duration;

use bergamotpitch_core::ids::InstanceId;
use bergamotpitch_core::units::Timestamp;

/// `Options` of the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Least number of instances of a domain that have a dispatcher; fewer decide each by itself.
    pub instances_min: usize,
    /// The same where operators bound what upstreams get that may be cold.
    pub bounded_instances_min: usize,
    /// Instances of a domain that stand by to be its dispatcher, itself among them.
    pub standbys: usize,
    /// Silence after which an instance is passed over.
    pub heartbeat_timeout: Duration,
    /// How much longer the next group of [`Options::standbys`] instances waits for the one before it.
    pub succession_step: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            instances_min: 5,
            bounded_instances_min: 1,
            standbys: 3,
            heartbeat_timeout: Duration::from_millis(700),
            succession_step: Duration::from_millis(300),
        }
    }
}

impl Options {
    /// `bounded` returns the options that hold where operators bound what upstreams get that may be cold.
    ///
    /// ```
    /// use bergamotpitch_control::traffic::dispatchers::Options;
    ///
    /// assert_eq!(Options::default().bounded().instances_min, 1);
    /// ```
    pub fn bounded(self) -> Self {
        Self { instances_min: self.instances_min.min(self.bounded_instances_min), ..self }
    }
}

/// `Candidate` is one instance of a domain as another one knows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The instance.
    pub instance: InstanceId,
    /// Thousandths of a core that it may use.
    pub processor_millis: u32,
    /// When it was heard last, or else when it was listed.
    pub last_seen: Timestamp,
    /// Whether it takes part: it knows what it needs, keeps up and does not end.
    pub is_eligible: bool,
    /// Whether it has run for some time; one that has just started knows nothing of its upstreams.
    pub is_warmed_up: bool,
    /// Whether it says that it is the dispatcher.
    pub is_dispatching: bool,
}

impl Candidate {
    /// `order` puts instances with more processor time first, and equal ones by their numbers, which
    /// are hashes of their names.
    pub fn order(&self) -> (Reverse<u32>, InstanceId) {
        (Reverse(self.processor_millis), self.instance)
    }

    fn preference(&self) -> (bool, bool, Reverse<u32>, bool, InstanceId) {
        let (processor, instance) = self.order();
        (!self.is_eligible, !self.is_warmed_up, processor, !self.is_dispatching, instance)
    }
}

/// `Role` is what one instance does for its domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Role {
    /// Instance that decides for the domain, this one or another; `None` where each decides by
    /// itself.
    pub dispatcher: Option<InstanceId>,
    /// Whether this instance is among those that stand by: it tells the domain what it knows.
    pub is_standby: bool,
    /// How many instances that are present and can take the role come before this one.
    pub rank: usize,
    /// How many instances that are present come before this one, also while they know too little to take the
    /// role. After a restart of the whole fleet none can, and each would be the first.
    pub place: usize,
}

/// `role_of` returns the role of `own` among the other listed instances of its domain.
///
/// ```
/// use std::time::Duration;
///
/// use bergamotpitch_control::traffic::dispatchers::{Candidate, Options, role_of};
///
/// let now = Duration::from_secs(9);
/// let candidate = |instance, processor_millis| Candidate {
///     instance,
///     processor_millis,
///     last_seen: now,
///     is_eligible: true,
///     is_warmed_up: true,
///     is_dispatching: false,
/// };
/// let others: Vec<_> = (1..=5).map(|instance| candidate(instance, 120)).collect();
/// let role = role_of(&candidate(9, 500), &others, now, &Options::default());
/// assert_eq!((role.dispatcher, role.is_standby, role.rank), (Some(9), true, 0));
/// ```
pub fn role_of(own: &Candidate, others: &[Candidate], now: Timestamp, options: &Options) -> Role {
    let mut before: Vec<&Candidate> =
        others.iter().filter(|other| other.order() < own.order()).collect();
    before.sort_by_key(|candidate| candidate.order());
    let own_place = before.len();
    let is_present = |place: usize, candidate: &Candidate| {
        let groups = (own_place - place - 1) / options.standbys.max(1);
        let groups = u32::try_from(groups).unwrap_or(u32::MAX);
        now < candidate.last_seen
            + options.heartbeat_timeout
            + options.succession_step.saturating_mul(groups)
    };
    let present = before.iter().enumerate().filter(|(place, other)| is_present(*place, other));
    let place = present.clone().count();
    let rank = present.filter(|(_, candidate)| candidate.is_eligible).count();
    let is_dispatched = options.instances_min <= others.len() + 1;
    let is_standby = if own.is_eligible { rank } else { place } < options.standbys;
    let responsive =
        others.iter().filter(|candidate| now < candidate.last_seen + options.heartbeat_timeout);
    let candidates = responsive.chain(is_standby.then_some(own));
    let first = candidates.min_by_key(|candidate| candidate.preference());
    let dispatcher = first.filter(|first| is_dispatched && first.is_eligible);
    Role { dispatcher: dispatcher.map(|first| first.instance), is_standby, rank, place }
}

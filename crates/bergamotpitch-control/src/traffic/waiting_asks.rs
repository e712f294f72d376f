//! Waiting asks: requests that wait a moment for a place at an upstream, and in which order they get
//! one.
//!
//! Load pattern: arrivals come in bunches of a few, and a place that comes free shortly after still
//! makes the target. A longer wait only puts off the answer that a request does not fit.

use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::TeamId;
use bergamotpitch_core::units::Timestamp;

use crate::traffic::admissions::{Ask, Choice, Scope, Traffic};
use crate::traffic::catalogs::CacheLink;
use crate::traffic::engine_loads::RequestNumber;
use crate::traffic::facts::RequestFacts;
use crate::traffic::registries::UpstreamKey;
use crate::traffic::team_windows::Standing;

/// `HOLD_PART` is the part of a request's target latency for which it may wait for a place.
const HOLD_PART: f64 = 0.1;

/// `HOLD_PART_WITHIN_SHARE` is the same for a request within its team's share or of a needy team, for
/// which the next place that comes free is meant; what is left of the target suffices for most first
/// events.
const HOLD_PART_WITHIN_SHARE: f64 = 0.4;

/// `LOOKS_AT_ONCE` is how many waiting requests are looked at again when something has changed, those
/// within their share first and of these the longest not looked at. While one team floods, dozens
/// wait; were all of them looked at each time, looking would take the whole processor.
const LOOKS_AT_ONCE: usize = 6;

/// `OwnedAsk` is an [`Ask`] that can be kept.
#[derive(Debug, Clone)]
pub struct OwnedAsk {
    /// Service that the request is for.
    pub service: String,
    /// What the request says.
    pub facts: RequestFacts,
    /// Its team, when it has one.
    pub team: Option<TeamId>,
    /// Its target latency.
    pub target: Duration,
    /// Longest pause between two events that callers aim at.
    pub target_gap: Option<Duration>,
    /// When it arrived.
    pub arrived: Timestamp,
    /// Upstreams that must not get it.
    pub tried: Vec<UpstreamKey>,
    /// Memory of an engine of the service, in tokens.
    pub memory_tokens: u64,
    /// Rate of the pool.
    pub pool_tokens_per_s: Option<u64>,
    /// Over what engines of the service fetch parts of prompts from each other.
    pub cache_link: Option<CacheLink>,
    /// Among which upstreams it is placed.
    pub scope: Scope,
}

impl OwnedAsk {
    /// `at` returns the ask as it stands at a moment.
    pub fn at(&self, now: Timestamp) -> Ask<'_> {
        Ask {
            service: &self.service,
            facts: &self.facts,
            team: self.team,
            target: self.target,
            target_gap: self.target_gap,
            elapsed: now.saturating_sub(self.arrived),
            tried: &self.tried,
            memory_tokens: self.memory_tokens,
            pool_tokens_per_s: self.pool_tokens_per_s,
            cache_link: self.cache_link,
            scope: self.scope,
        }
    }

    /// `hold_until` returns until when the request may wait after it was not placed.
    pub fn hold_until(&self, choice: &Choice) -> Timestamp {
        let part = match choice {
            Choice::Full { standing: Standing::WithinShare | Standing::Needy, .. } => {
                HOLD_PART_WITHIN_SHARE
            }
            _ => HOLD_PART,
        };
        self.arrived + self.target.mul_f64(part)
    }
}

/// `WaitingAsks` is the table of requests that wait.
#[derive(Debug, Default)]
pub struct WaitingAsks {
    asks: HashMap<RequestNumber, Waiting>,
}

#[derive(Debug)]
struct Waiting {
    ask: OwnedAsk,
    last: Choice,
    looked: Timestamp,
}

impl WaitingAsks {
    /// `count` returns how many wait.
    pub fn count(&self) -> usize {
        self.asks.len()
    }

    /// `wait` takes in a request that was not placed; [`WaitingAsks::look`] and
    /// [`WaitingAsks::expire`] tell the decision.
    pub fn wait(&mut self, number: RequestNumber, ask: OwnedAsk, last: Choice, now: Timestamp) {
        self.asks.insert(number, Waiting { ask, last, looked: now });
    }

    /// `remove` forgets a request whose caller has left; it tells whether it waited.
    pub fn remove(&mut self, number: RequestNumber) -> bool {
        self.asks.remove(&number).is_some()
    }

    /// `look` places requests for which a place may have come free.
    pub fn look(&mut self, traffic: &mut Traffic, now: Timestamp) -> Vec<(RequestNumber, Choice)> {
        let mut due: Vec<(bool, Timestamp, RequestNumber)> = self
            .asks
            .iter()
            .map(|(number, waiting)| (!waiting.is_within_share(), waiting.looked, *number))
            .collect();
        if LOOKS_AT_ONCE < due.len() {
            due.select_nth_unstable(LOOKS_AT_ONCE);
            due.truncate(LOOKS_AT_ONCE);
        }
        due.sort_unstable();
        let mut placed = Vec::new();
        for (_, _, number) in due {
            let Some(waiting) = self.asks.get_mut(&number) else { continue };
            let choice = place(number, &waiting.ask, traffic, now);
            if matches!(choice, Choice::Send(_)) {
                self.asks.remove(&number);
                placed.push((number, choice));
            } else {
                waiting.last = choice;
                waiting.looked = now;
            }
        }
        placed
    }

    /// `expire` decides on requests that have waited for as long as they may.
    pub fn expire(
        &mut self,
        traffic: &mut Traffic,
        now: Timestamp,
    ) -> Vec<(RequestNumber, Choice)> {
        let expired =
            self.asks.extract_if(|_, waiting| waiting.ask.hold_until(&waiting.last) <= now);
        let mut expired: Vec<(RequestNumber, Waiting)> = expired.collect();
        expired.sort_unstable_by_key(|(number, _)| *number);
        let decide = |(number, waiting): (RequestNumber, Waiting)| {
            (number, place(number, &waiting.ask, traffic, now))
        };
        expired.into_iter().map(decide).collect()
    }
}

impl Waiting {
    fn is_within_share(&self) -> bool {
        let Choice::Full { standing, .. } = self.last else { return false };
        matches!(standing, Standing::WithinShare | Standing::Needy)
    }
}

/// `place` decides on a request and takes the place that it gets.
pub fn place(
    number: RequestNumber,
    ask: &OwnedAsk,
    traffic: &mut Traffic,
    now: Timestamp,
) -> Choice {
    let ask = ask.at(now);
    let choice = traffic.choose(&ask, now);
    if let Choice::Send(placement) = &choice {
        traffic.send(number, placement, &ask, now);
    }
    choice
}

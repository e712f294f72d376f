//! Waiting asks: requests that wait a moment for a place at an upstream, and in which order they get
//! one.
//!
//! Load pattern: arrivals come in bunches of a few, and a place that comes free shortly after still
//! makes the target. A longer wait only puts off the answer that a request does not fit.

use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{SoftwareId, TeamId};
use bergamotpitch_core::units::Timestamp;

use crate::traffic::admissions::Traffic;
use crate::traffic::catalogs::CacheLink;
use crate::traffic::engine_loads::RequestNumber;
use crate::traffic::facts::RequestFacts;
use crate::traffic::placement_requests::{Decision, PlacementRequest, Scope};
use crate::traffic::registries::UpstreamKey;
use crate::traffic::request_digests::RequestDigest;
use crate::traffic::residencies::AllowedRegions;
use crate::traffic::team_windows::ShareClass;

/// `WAIT_FRACTION` is the part of a request's target latency for which it may wait for a place.
const WAIT_FRACTION: f64 = 0.1;

/// `WAIT_FRACTION_WITHIN_SHARE` is the same for a request within its team's share or of a needy team, for
/// which the next place that comes free is meant; what is left of the target suffices for most first
/// events.
const WAIT_FRACTION_WITHIN_SHARE: f64 = 0.4;

/// `RETRIES_PER_PASS` is how many waiting requests are looked at again when something has changed, those
/// within their share first and of these the longest not looked at. While one team floods, dozens
/// wait; were all of them looked at each time, looking would take the whole processor.
const RETRIES_PER_PASS: usize = 6;

/// `OwnedPlacementRequest` is an [`PlacementRequest`] that can be kept.
#[derive(Debug, Clone)]
pub struct OwnedPlacementRequest {
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
    /// Regions that it may enter.
    pub regions: AllowedRegions,
    /// The version of software at which it goes on, when it takes up a stream of a service of several.
    pub software: Option<SoftwareId>,
    /// Name of its content, while requests are suspected of crashing upstreams.
    pub digest: Option<RequestDigest>,
}

impl OwnedPlacementRequest {
    /// `as_of` returns the ask as it stands at a moment.
    pub fn as_of(&self, now: Timestamp) -> PlacementRequest<'_> {
        PlacementRequest {
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
            regions: &self.regions,
            software: self.software,
            digest: self.digest,
        }
    }

    /// `wait_deadline` returns until when the request may wait after it was not placed.
    pub fn wait_deadline(&self, decision: &Decision) -> Timestamp {
        let fraction = match decision {
            Decision::Blocked(_) => 0.0,
            Decision::Full {
                share_class: ShareClass::WithinShare | ShareClass::Underserved,
                ..
            } => WAIT_FRACTION_WITHIN_SHARE,
            _ => WAIT_FRACTION,
        };
        self.arrived + self.target.mul_f64(fraction)
    }
}

/// `PlacementQueue` is the table of requests that wait.
#[derive(Debug, Default)]
pub struct PlacementQueue {
    requests: HashMap<RequestNumber, QueuedRequest>,
}

#[derive(Debug)]
struct QueuedRequest {
    request: OwnedPlacementRequest,
    last_decision: Decision,
    evaluated: Timestamp,
}

impl PlacementQueue {
    /// `count` returns how many wait.
    pub fn count(&self) -> usize {
        self.requests.len()
    }

    /// `enqueue` takes in a request that was not placed; [`PlacementQueue::retry_placements`] and
    /// [`PlacementQueue::expire`] tell the decision.
    pub fn enqueue(
        &mut self,
        number: RequestNumber,
        request: OwnedPlacementRequest,
        last_decision: Decision,
        now: Timestamp,
    ) {
        self.requests.insert(number, QueuedRequest { request, last_decision, evaluated: now });
    }

    /// `remove` forgets a request whose caller has left; it tells whether it waited.
    pub fn remove(&mut self, number: RequestNumber) -> bool {
        self.requests.remove(&number).is_some()
    }

    /// `retry_placements` places requests for which a place may have come free.
    pub fn retry_placements(
        &mut self,
        traffic: &mut Traffic,
        now: Timestamp,
    ) -> Vec<(RequestNumber, Decision)> {
        let mut due: Vec<(bool, Timestamp, RequestNumber)> = self
            .requests
            .iter()
            .map(|(number, queued)| (!queued.is_within_share(), queued.evaluated, *number))
            .collect();
        if RETRIES_PER_PASS < due.len() {
            due.select_nth_unstable(RETRIES_PER_PASS);
            due.truncate(RETRIES_PER_PASS);
        }
        due.sort_unstable();
        let mut placed = Vec::new();
        for (_, _, number) in due {
            let Some(queued) = self.requests.get_mut(&number) else { continue };
            let decision = place(number, &queued.request, traffic, now);
            if matches!(decision, Decision::Send(_) | Decision::Blocked(_)) {
                self.requests.remove(&number);
                placed.push((number, decision));
            } else {
                queued.last_decision = decision;
                queued.evaluated = now;
            }
        }
        placed
    }

    /// `expire` decides on requests that have waited for as long as they may.
    pub fn expire(
        &mut self,
        traffic: &mut Traffic,
        now: Timestamp,
    ) -> Vec<(RequestNumber, Decision)> {
        let expired = self
            .requests
            .extract_if(|_, queued| queued.request.wait_deadline(&queued.last_decision) <= now);
        let mut expired: Vec<(RequestNumber, QueuedRequest)> = expired.collect();
        expired.sort_unstable_by_key(|(number, _)| *number);
        let decide = |(number, queued): (RequestNumber, QueuedRequest)| {
            (number, place(number, &queued.request, traffic, now))
        };
        expired.into_iter().map(decide).collect()
    }
}

impl QueuedRequest {
    fn is_within_share(&self) -> bool {
        let Decision::Full { share_class, .. } = self.last_decision else { return false };
        matches!(share_class, ShareClass::WithinShare | ShareClass::Underserved)
    }
}

/// `place` decides on a request and takes the place that it gets.
pub fn place(
    number: RequestNumber,
    request: &OwnedPlacementRequest,
    traffic: &mut Traffic,
    now: Timestamp,
) -> Decision {
    let request = request.as_of(now);
    let decision = traffic.choose_upstream(&request, now);
    if let Decision::Send(placement) = &decision {
        traffic.send(number, placement, &request, now);
    }
    decision
}

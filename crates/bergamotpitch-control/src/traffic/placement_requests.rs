//! Placement requests: what a request asks of the upstreams, and what is decided on it.

use std::time::Duration;

use bergamotpitch_core::ids::{SoftwareId, TeamId};
use bergamotpitch_core::units::Timestamp;
use serde::{Deserialize, Serialize};

use crate::traffic::catalogs::CacheLink;
use crate::traffic::engine_loads::Work;
use crate::traffic::facts::RequestFacts;
use crate::traffic::registries::UpstreamKey;
use crate::traffic::request_digests::RequestDigest;
use crate::traffic::residencies::AllowedRegions;
use crate::traffic::team_windows::ShareClass;
use crate::traffic::upstream_candidates::Limit;
use crate::traffic::warm_ups;

/// `Scope` tells among which upstreams of its service a request is placed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Scope {
    /// All of them.
    #[default]
    Fleet,
    /// Those of the own failure domain, which its dispatcher has to itself.
    Domain,
}

/// `PlacementRequest` is one request that wants an upstream.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Service that its route sends it to.
    pub service: &'a str,
    /// What the request says.
    pub facts: &'a RequestFacts,
    /// Its team, when it has one.
    pub team: Option<TeamId>,
    /// Its target latency.
    pub target: Duration,
    /// Longest pause between two events that callers aim at.
    pub target_gap: Option<Duration>,
    /// Time since the request arrived.
    pub elapsed: Duration,
    /// Upstreams that must not get it.
    pub tried: &'a [UpstreamKey],
    /// Memory of an engine of the service, in tokens.
    pub memory_tokens: u64,
    /// Rate of the pool.
    pub pool_tokens_per_s: Option<u64>,
    /// Over what engines of the service fetch parts of prompts from each other.
    pub cache_link: Option<CacheLink>,
    /// Among which upstreams it is placed.
    pub scope: Scope,
    /// Regions that it may enter.
    pub regions: &'a AllowedRegions,
    /// The version of software at which it goes on, when it takes up a stream of a service of several.
    pub software: Option<SoftwareId>,
    /// Name of its content, while requests are suspected of crashing upstreams.
    pub digest: Option<RequestDigest>,
}

/// `Decision` is the decision.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// It goes to this upstream now.
    Send(Placement),
    /// It fits nowhere.
    Full {
        /// When it is worth asking again.
        retry_after: Duration,
        /// How it stands against its team's share.
        share_class: ShareClass,
        /// Requests at the upstream that has fewest.
        least_requests: u32,
        /// What kept it from the upstream that is first worth asking again.
        refused_by: Limit,
    },
    /// No upstream of the service takes work; it is worth asking again at this time.
    NoUpstream(Duration),
    /// It goes nowhere for this time, as it or a part of its prompt crashes upstreams.
    Blocked(Duration),
}

/// `Headroom` is for how many more requests there is a place.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Headroom {
    /// Requests within their team's share.
    pub within_share: u32,
    /// Requests beyond it.
    pub beyond_share: u32,
}

/// `Placement` is where a request goes, with the inputs of the decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Placement {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// What the request means for it.
    pub work: Work,
    /// Predicted time until its first event or answer.
    pub predicted: Duration,
    /// Requests that the upstream had in hand.
    pub requests: u32,
    /// How the request stands against its team's share.
    pub share_class: ShareClass,
    /// Place of the upstream in the rendezvous order for the prompt's shared start, of the first
    /// two.
    pub rank: Option<usize>,
    /// Engine from which the upstream should fetch what it does not keep of the prompt's start.
    pub fetch_from: Option<UpstreamKey>,
    /// When it was decided on, at the earliest; a grant may count as older than it is.
    pub decided: Timestamp,
    /// Whether the upstream counted as cold.
    pub is_cold: bool,
}

impl Placement {
    /// `has_lapsed` tells whether it is too old to be followed. Requests that were held up would reach
    /// a cold upstream together.
    pub fn has_lapsed(&self, now: Timestamp) -> bool {
        self.is_cold && self.decided + warm_ups::GRANT_VALIDITY < now
    }
}

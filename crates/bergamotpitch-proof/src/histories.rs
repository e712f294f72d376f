//! Histories: service per team over time as the upstreams see it, and what waited meanwhile.

use bergamotpitch_control::outputs::Refusal;
use bergamotpitch_core::ids::{RequestId, UpstreamId};
use bergamotpitch_core::units::{CostUnits, Timestamp};

/// `Sample` is the state of the fleet at one time, for one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// When.
    pub at: Timestamp,
    /// Service that each team has received, in cost units.
    pub service_cost: Vec<CostUnits>,
    /// Requests of each team that have arrived and were not handed over; a team is backlogged while it
    /// has any.
    pub waiting_requests: Vec<u32>,
    /// Requests of each team that are with upstreams, running or waiting in them.
    pub held_requests: Vec<u32>,
    /// Busy slots of upstreams that something waiting could have used.
    pub busy_slots: u32,
    /// All slots of those upstreams.
    pub usable_slots: u32,
}

/// `Record` is one thing that a caller or an upstream saw.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// A request reached a router.
    Arrived {
        /// When.
        at: Timestamp,
        /// The request.
        request: RequestId,
        /// Index of the router.
        instance: usize,
        /// Index of the team.
        team: usize,
    },
    /// A router handed a request to an upstream, which admitted it.
    Admitted {
        /// When.
        at: Timestamp,
        /// The request.
        request: RequestId,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The request entered a slot of the upstream.
    Started {
        /// When.
        at: Timestamp,
        /// The request.
        request: RequestId,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The upstream ended the request.
    Ended {
        /// When.
        at: Timestamp,
        /// The request.
        request: RequestId,
        /// Its whole cost.
        cost: CostUnits,
    },
    /// The caller got a refusal.
    Refused {
        /// When.
        at: Timestamp,
        /// The request.
        request: RequestId,
        /// The refusal.
        refusal: Refusal,
    },
}

/// `History` is all that was recorded of a run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct History {
    /// Samples by service, in the order of the sheet.
    pub samples: Vec<Vec<Sample>>,
    /// Records in the order in which they happened.
    pub records: Vec<Record>,
    /// Control bytes by router.
    pub traffic: Vec<Traffic>,
    /// Digest of every output of every control state, in order; equal for equal traces.
    pub trace_digest: u64,
}

/// `Traffic` is the control traffic that one router sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes inside the domain.
    pub domain_bytes: u64,
    /// Bytes to other domains of the region.
    pub region_bytes: u64,
    /// Bytes to other regions.
    pub cross_region_bytes: u64,
    /// Part of them that the fair shares sent.
    pub cross_region_share_bytes: u64,
    /// Messages.
    pub messages: u64,
}

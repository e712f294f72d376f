//! Placement: the upstream that likely holds a prompt's prefix is preferred, as a hint only.

use std::collections::VecDeque;

use bergamotpitch_core::ids::{RequestId, ServiceId, UpstreamId};

use crate::tables::Tables;

/// Requests of one team among which the free slot's prefix is looked for.
const LOOK_AHEAD_REQUESTS: usize = 16;

/// Times in a row that the oldest request of a team may be passed over.
pub const SKIP_LIMIT: u32 = 8;

/// `preferred` is the upstream of the domain that a prefix is placed on.
pub fn preferred(tables: &Tables, service: ServiceId, prefix: u64) -> Option<UpstreamId> {
    if prefix == 0 {
        return None;
    }
    let upstreams = tables.index.upstreams.get(&service)?;
    upstreams
        .iter()
        .filter(|upstream| tables.upstreams.get(upstream).is_some_and(|entry| !entry.leaving))
        .filter(|upstream| !has_failed(tables, **upstream))
        .max_by_key(|upstream| (prefix_weight(prefix, **upstream), **upstream))
        .copied()
}

/// `has_failed` tells whether an upstream failed and has not answered since.
///
/// A retry must not go back for the sake of a prefix: three attempts at one dead engine, and the
/// caller would get a refusal while other engines are free.
pub fn has_failed(tables: &Tables, upstream: UpstreamId) -> bool {
    tables.health.failures.contains_key(&upstream)
}

fn prefix_weight(prefix: u64, upstream: UpstreamId) -> u64 {
    let folded = (prefix ^ (prefix >> 32)) as u32;
    crate::fairness::coordinators::weight(folded, upstream)
}

/// `choose_position` is the place in a team's queue of the request that a free slot should take.
///
/// Only the order within the team changes, and the oldest request is passed over only so many times,
/// so no team and no request waits for ever for the sake of a cache.
pub fn choose_position(
    tables: &Tables,
    service: ServiceId,
    upstream: UpstreamId,
    queue: &VecDeque<RequestId>,
    skipped: u32,
) -> usize {
    if !tables.options.prefix_placement || SKIP_LIMIT <= skipped {
        return 0;
    }
    queue
        .iter()
        .take(LOOK_AHEAD_REQUESTS)
        .position(|request| {
            let entry = tables.requests.get(request);
            entry.is_some_and(|entry| {
                preferred(tables, service, entry.arrival.prefix) == Some(upstream)
            })
        })
        .unwrap_or(0)
}

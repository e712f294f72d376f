//! Upstreams: which are live, leaving or failing, and which may be given work.

use std::time::Duration;

use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::{ServiceId, UpstreamId, id_of_name};

use crate::inputs::{ListedInstance, LoadReport};
use crate::outputs::{Event, Output};
use crate::tables::Tables;

/// Time for which an upstream that failed gets no new work.
pub const FAILING_PAUSE: Duration = Duration::from_millis(500);

/// `apply_load_report` takes over what an upstream says of itself.
pub fn apply_load_report(
    tables: &mut Tables,
    upstream: UpstreamId,
    report: LoadReport,
    outputs: &mut Vec<Output>,
) {
    if report.leaving {
        mark_leaving(tables, upstream, outputs);
    }
}

/// `apply_list` takes over what the platform's instance list says.
pub fn apply_list(tables: &mut Tables, list: &[ListedInstance], outputs: &mut Vec<Output>) {
    for listed in list.iter().filter(|listed| listed.leaving && !listed.is_router) {
        mark_leaving(tables, id_of_name(&listed.name), outputs);
    }
}

/// `mark_leaving` stops new work for an upstream.
pub fn mark_leaving(tables: &mut Tables, upstream: UpstreamId, outputs: &mut Vec<Output>) {
    let Some(entry) = tables.upstreams.get_mut(&upstream) else { return };
    if entry.leaving {
        return;
    }
    entry.leaving = true;
    outputs.push(Output::Emit(Event::of_kind(EventKind::UpstreamLeaving).with_upstream(upstream)));
}

/// `mark_failing` pauses new work for an upstream that failed.
pub fn mark_failing(tables: &mut Tables, upstream: UpstreamId, outputs: &mut Vec<Output>) {
    let until = tables.now + FAILING_PAUSE;
    let Some(entry) = tables.upstreams.get_mut(&upstream) else { return };
    entry.failing_until = Some(until);
    outputs.push(Output::Emit(Event::of_kind(EventKind::UpstreamFailing).with_upstream(upstream)));
}

/// `leaving` lists the upstreams that are known to be leaving, in order of their ids.
pub fn leaving(tables: &Tables) -> Vec<UpstreamId> {
    let mut leaving: Vec<UpstreamId> =
        tables.upstreams.iter().filter(|(_, entry)| entry.leaving).map(|(id, _)| *id).collect();
    leaving.sort_unstable();
    leaving
}

/// `has_live` tells whether any upstream of a service may be given work, now or soon.
pub fn has_live(tables: &Tables, service: ServiceId) -> bool {
    tables.upstreams.values().any(|entry| entry.service == service && !entry.leaving)
}

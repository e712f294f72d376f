//! The time line tells how long a leaving upstream still got requests.

use bergamotpitch_core::events::{EventKind, EventRecord};
use bergamotpitch_timeline::leavings::render_leavings;

fn event(time_ms: u64, process: &str, kind: EventKind) -> EventRecord {
    EventRecord {
        time_us: time_ms * 1_000,
        process: process.to_owned(),
        number: kind.number(),
        kind,
        request: None,
        team: None,
        service: None,
        upstream: Some("bergamot-llm-1".to_owned()),
        peer: None,
        detail: None,
    }
}

/// One router hears that an engine leaves and another does not for two seconds. Its requests go to an
/// engine that is about to stop, and are cut there.
#[test]
fn late_notice() {
    let events = [
        event(500, "router-2", EventKind::RequestDispatched),
        event(1_000, "router-1", EventKind::UpstreamLeaving),
        event(2_900, "router-2", EventKind::RequestDispatched),
        event(3_000, "router-2", EventKind::UpstreamLeaving),
    ];
    assert_eq!(
        render_leavings(&events),
        "bergamot-llm-1: last request after 1.900 s; known at 2 processes, the last after 2.000 s\n"
    );
}

#[test]
fn back_and_gone_again() {
    let events = [
        event(1_000, "router-1", EventKind::UpstreamLeaving),
        event(2_000, "router-1", EventKind::UpstreamBack),
        event(3_000, "router-1", EventKind::RequestDispatched),
        event(4_000, "router-1", EventKind::UpstreamLeaving),
    ];
    let line = "bergamot-llm-1: no request after the first notice; known at 1 processes, the last \
                after 0.000 s\n";
    assert_eq!(render_leavings(&events), format!("{line}{line}"));
}

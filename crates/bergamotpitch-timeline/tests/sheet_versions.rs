//! The time line tells when a sheet came into force, and finds a process that went back.

use bergamotpitch_core::events::{EventKind, EventRecord};
use bergamotpitch_timeline::versions::{Revert, render_versions, reverts};

fn event(time_ms: u64, process: &str, kind: EventKind, version: u64) -> EventRecord {
    EventRecord {
        time_us: time_ms * 1_000,
        process: process.to_owned(),
        number: kind.number(),
        kind,
        request: None,
        team: None,
        service: None,
        upstream: None,
        peer: None,
        detail: Some(format!("version {version}")),
    }
}

#[test]
fn time_to_force() {
    let events = [
        event(1_000, "bergamotpitch-ctl", EventKind::SheetAccepted, 1),
        event(1_100, "router-1", EventKind::SheetInForce, 1),
        event(1_250, "router-2", EventKind::SheetInForce, 1),
        event(2_000, "router-1", EventKind::SheetInForce, 2),
        event(3_000, "bergamotpitch-ctl", EventKind::SheetAccepted, 3),
    ];
    assert_eq!(
        render_versions(&events),
        "version 1: in force at 2 processes, the last 0.250 s after acceptance\n\
         version 2: in force at 1 processes, the last 0.000 s after the first process\n\
         version 3: in force nowhere\n\
         0 reverts\n"
    );
}

/// A router wakes up after a pause and takes an old sheet over from a peer that is older still. The
/// teams' shares jump back to what operators had replaced.
#[test]
fn revert_found() {
    let events = [
        event(1, "router-1", EventKind::SheetInForce, 2),
        event(2, "router-2", EventKind::SheetInForce, 1),
        event(3, "router-1", EventKind::SheetInForce, 1),
    ];
    let expected = [Revert { process: "router-1".to_owned(), from: 2, to: 1 }];
    assert_eq!(reverts(&events), expected);
}

#[test]
fn new_life() {
    let events = [
        event(1, "router-1", EventKind::SheetInForce, 2),
        event(2, "router-1", EventKind::ProcessStarted, 0),
        event(3, "router-1", EventKind::SheetInForce, 2),
    ];
    assert_eq!(reverts(&events), []);
}

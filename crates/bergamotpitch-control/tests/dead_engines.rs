//! An engine that failed is the last choice until it answers again.

use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::inputs::{Arrival, AttemptOutcome};
use bergamotpitch_control::{Input, Output, Tables, step};
use bergamotpitch_core::ids::{RequestId, UpstreamId, id_of_name};
use bergamotpitch_core::sheets::{AcceptedSheet, parse_sheet};

/// The engine that a prompt's prefix is placed on dies. Were it still preferred whenever its pause is
/// over, every prompt with that prefix would lose attempts there while another engine is free, and a
/// caller would get a refusal in the end.
#[test]
fn prefix_on_dead_engine() {
    let mut tables = tables();
    let first = dispatched(&mut tables, 20, Input::Arrived(arrival(1))).expect("a slot is free");
    let failed =
        Input::AttemptEnded { request: 1, outcome: AttemptOutcome::FailedBeforeAnswer, cost: 10 };
    let mut second = dispatched(&mut tables, 25, failed);
    for at_ms in (30..1_000).step_by(5) {
        second = second.or(dispatched(&mut tables, at_ms, Input::PlatformReachable(true)));
    }
    assert_ne!(second.expect("the request is tried again"), first);
    // Every pause is over by now.
    for request in 2..10 {
        let at_ms = 60_000 + request * 5;
        let upstream = dispatched(&mut tables, at_ms, Input::Arrived(arrival(request)));
        assert_ne!(upstream.expect("a slot is free"), first);
    }
}

fn dispatched(tables: &mut Tables, at_ms: u64, input: Input) -> Option<UpstreamId> {
    let outputs = step(tables, Duration::from_millis(at_ms), vec![input]);
    outputs.iter().find_map(|output| match output {
        Output::Dispatch { upstream, .. } => Some(*upstream),
        _ => None,
    })
}

fn arrival(request: RequestId) -> Arrival {
    Arrival {
        request,
        team: id_of_name("t"),
        service: id_of_name("s"),
        body_bytes: 10,
        known_cost: 10,
        prefix: 77,
        deadline: Duration::from_secs(100),
        repeatable: true,
    }
}

fn tables() -> Tables {
    let text = r#"{
        "domains": [{ "name": "a", "region": "r" }],
        "services": [{ "name": "s", "kind": "engine", "repeatable": true }],
        "upstreams": [
            { "name": "e", "service": "s", "domain": "a", "address": "127.0.0.1:9", "slots": 16 },
            { "name": "f", "service": "s", "domain": "a", "address": "127.0.0.1:10", "slots": 16 }
        ],
        "teams": [{ "name": "t", "share": 1, "services": ["s"], "key_hash": "KEY" }]
    }"#;
    let text = text.replace("KEY", &"0".repeat(64));
    let sheet = parse_sheet("sheet.json", &text).expect("the sheet is well formed");
    let mut tables = Tables::default();
    tables.options.domain = id_of_name("a");
    let sheet = Arc::new(AcceptedSheet { version: 1, sheet });
    step(&mut tables, Duration::ZERO, vec![Input::SheetLearned(sheet)]);
    tables
}

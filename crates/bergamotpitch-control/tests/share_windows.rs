//! Windows follow what upstreams report of their load, which is old.

use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::capacity::windows::window;
use bergamotpitch_control::inputs::LoadReport;
use bergamotpitch_control::{Input, Tables, step};
use bergamotpitch_core::ids::{UpstreamId, id_of_name};
use bergamotpitch_core::sheets::{AcceptedSheet, parse_sheet};

/// The sheet declares twice what the engine can run. What waits inside it is ordered by nobody, so
/// the window must come down, and only once for all the reports that were under way meanwhile.
#[test]
fn too_deep() {
    let mut tables = tables();
    let before = window(&tables, engine());
    report(&mut tables, 100, 8, 10);
    let after = window(&tables, engine());
    assert!(after < before);
    report(&mut tables, 200, 8, 10);
    assert_eq!(window(&tables, engine()), after);
}

/// The sheet declares half of what the engine can run, and all that it is sent runs at once. The
/// other half would stand idle, so the window must grow.
#[test]
fn too_shallow() {
    let mut tables = tables();
    let before = window(&tables, engine());
    for second in 1..=10 {
        let running = window(&tables, engine());
        report(&mut tables, second * 2_000, running, 0);
    }
    assert!(before + 10 <= window(&tables, engine()));
}

/// A leaving upstream has no window at all; new work would be cut or delay its leaving.
#[test]
fn leaving_engine() {
    let mut tables = tables();
    let leaving = LoadReport { leaving: true, ..LoadReport::default() };
    let input = Input::LoadReported { upstream: engine(), report: leaving };
    step(&mut tables, Duration::from_millis(50), vec![input]);
    assert_eq!(window(&tables, engine()), 0);
}

fn tables() -> Tables {
    let text = r#"{
        "domains": [{ "name": "a", "region": "r" }],
        "services": [{ "name": "s", "kind": "engine" }],
        "upstreams": [{ "name": "e", "service": "s", "domain": "a", "address": "127.0.0.1:9", "slots": 16 }],
        "teams": []
    }"#;
    let sheet = parse_sheet("sheet.json", text).expect("the sheet is well formed");
    let mut tables = Tables::default();
    tables.options.domain = id_of_name("a");
    let sheet = Arc::new(AcceptedSheet { version: 1, sheet });
    step(&mut tables, Duration::ZERO, vec![Input::SheetLearned(sheet)]);
    tables
}

fn engine() -> UpstreamId {
    id_of_name("e")
}

fn report(tables: &mut Tables, at_ms: u64, running_requests: u32, waiting_requests: u32) {
    let report = LoadReport { running_requests, waiting_requests, leaving: false };
    let input = Input::LoadReported { upstream: engine(), report };
    step(tables, Duration::from_millis(at_ms), vec![input]);
}

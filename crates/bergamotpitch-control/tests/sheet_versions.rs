//! Versions of the sheet only rise.

use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::{Input, Output, Tables, step};
use bergamotpitch_core::sheets::{AcceptedSheet, parse_sheet};

/// A router has put version 3 in force when a peer that slept offers it version 2. If it took the
/// older sheet, operators would see a setting that they had changed come back.
#[test]
fn older_sheet() {
    let mut tables = Tables::default();
    let first = step(&mut tables, Duration::ZERO, vec![Input::SheetLearned(accepted(3))]);
    assert!(
        first
            .iter()
            .any(|output| matches!(output, Output::PutInForce(sheet) if sheet.version == 3))
    );
    let second =
        step(&mut tables, Duration::from_millis(5), vec![Input::SheetLearned(accepted(2))]);
    assert!(!second.iter().any(|output| matches!(output, Output::PutInForce(_))));
    assert_eq!(tables.sheet.as_ref().map(|sheet| sheet.version), Some(3));
}

fn accepted(version: u64) -> Arc<AcceptedSheet> {
    let text = r#"{ "domains": [], "services": [], "upstreams": [], "teams": [] }"#;
    let sheet = parse_sheet("sheet.json", text).expect("the sheet is well formed");
    Arc::new(AcceptedSheet { version, sheet })
}

//! A change of a sheet applies to the one version it was made for, and only forwards.

use bergamotpitch_core::sheet_changes::{apply_change, change_between};
use bergamotpitch_core::sheets::{AcceptedSheet, parse_sheet};

/// An instance has put a later version in force while a change was on its way to it. Applied all
/// the same, the change would bring an older version back, and operators would see a setting revert.
#[test]
fn other_version() {
    let change = change_between(&accepted(1), &accepted(4)).expect("the order is the same");
    assert_eq!(apply_change(&accepted(1), &change), Ok(accepted(4)));
    for held in [2, 4, 5] {
        let error = apply_change(&accepted(held), &change).unwrap_err();
        assert_eq!(
            error.to_string(),
            format!("change of the sheet: from_version: is 1, the sheet has version {held}")
        );
    }
    let mut backwards = change.clone();
    backwards.to_version = 1;
    assert!(apply_change(&accepted(1), &backwards).is_err());
}

fn accepted(version: u64) -> AcceptedSheet {
    let text = r#"{ "domains": [{ "name": "a", "region": "r" }],
        "services": [], "upstreams": [], "teams": [] }"#;
    let sheet = parse_sheet("sheet.json", text).expect("the sheet is well formed");
    AcceptedSheet { version, sheet }
}

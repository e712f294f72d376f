//! The committed examples pass their checks.

use bergamotpitch_core::settings::parse_router_settings;

fn example(name: &str) -> String {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    std::fs::read_to_string(format!("{folder}/{name}")).unwrap()
}

/// The example of a router says which values are defaults; they must be.
#[test]
fn router() {
    let text = example("router.jsonc");
    let whole = parse_router_settings("router.jsonc", &text).unwrap();
    let (before, rest) = text.split_once("// What follows is the default").unwrap();
    let (_, after) = rest.split_once("// Numbered events").unwrap();
    let without_defaults = format!("{before}// Numbered events{after}");
    assert_eq!(parse_router_settings("router.jsonc", &without_defaults).unwrap(), whole);
}

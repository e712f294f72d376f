//! Each fault of a sheet is rejected with its exact message.

use bergamotpitch_core::sheets::parse_sheet;
use serde_json::{Value, json};

/// A sheet without a fault, with two of everything that may clash.
fn good_sheet() -> Value {
    json!({
        "domains": [{ "name": "randstad-a", "region": "randstad" },
                    { "name": "zuid-a", "region": "zuid" }],
        "services": [{ "name": "drafting-models", "kind": "engine" },
                     { "name": "order-registry", "kind": "plain" }],
        "upstreams": [
            { "name": "drafting-1", "service": "drafting-models", "domain": "randstad-a",
              "address": "10.0.0.1:8000", "slots": 8 },
            { "name": "registry-1", "service": "order-registry", "domain": "zuid-a",
              "address": "10.0.0.2:8000", "slots": 16 }],
        "teams": [
            { "name": "Súðavík", "share": 1, "key_hash": "ab".repeat(32),
              "services": ["drafting-models", "order-registry"] },
            { "name": "goes", "share": 4, "key_hash": "cd".repeat(32),
              "services": ["order-registry"] }]
    })
}

/// Sets one value of the good sheet and returns what the check says.
fn fault(pointer: &str, value: Value) -> String {
    let mut sheet = good_sheet();
    let (parent, field) = pointer.rsplit_once('/').unwrap();
    sheet.pointer_mut(parent).unwrap()[field] = value;
    match parse_sheet("s.json", &sheet.to_string()) {
        Ok(_) => "no fault".to_owned(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn good() {
    assert!(parse_sheet("s.json", &good_sheet().to_string()).is_ok());
}

#[test]
fn ranges() {
    for (pointer, value, message) in [
        ("/teams/0/share", 0, "s.json: teams[0].share: is 0; it must be from 1 to 1000000"),
        (
            "/teams/0/share",
            1_000_001,
            "s.json: teams[0].share: is 1000001; it must be from 1 to 1000000",
        ),
        (
            "/teams/1/queue_limit_requests",
            0,
            "s.json: teams[1].queue_limit_requests: is 0; it must be from 1 to 100000",
        ),
        (
            "/teams/1/queue_limit_bytes",
            0,
            "s.json: teams[1].queue_limit_bytes: is 0; it must be from 1 to 1073741824",
        ),
        (
            "/teams/1/retry_budget_percent",
            101,
            "s.json: teams[1].retry_budget_percent: is 101; it must be from 0 to 100",
        ),
        ("/upstreams/1/slots", 0, "s.json: upstreams[1].slots: is 0; it must be from 1 to 100000"),
        (
            "/services/0/first_estimate_cost",
            0,
            "s.json: services[0].first_estimate_cost: is 0; it must be from 1 to 1000000000",
        ),
    ] {
        assert_eq!(fault(pointer, json!(value)), message);
    }
}

/// A service whose use costs nothing counts for no team. One team's flood would take every slot and
/// no team would seem to be ahead.
#[test]
fn free_service() {
    let message = "is 0; service that costs nothing cannot be shared fairly, use at least 1";
    assert_eq!(
        fault("/services/0/generated_token_cost", json!(0)),
        format!("s.json: services[0].generated_token_cost: {message}")
    );
    assert_eq!(
        fault("/services/1/call_cost", json!(0)),
        format!("s.json: services[1].call_cost: {message}")
    );
    assert_eq!(fault("/services/0/call_cost", json!(0)), "no fault");
}

#[test]
fn references() {
    for (pointer, value, message) in [
        (
            "/teams/1/services",
            json!(["order-register"]),
            "s.json: teams[1].services[0]: \"order-register\" is not declared in this sheet",
        ),
        (
            "/teams/1/services",
            json!([]),
            "s.json: teams[1].services: is empty; a team needs at least one service",
        ),
        (
            "/teams/1/services",
            json!(["order-registry", "order-registry"]),
            "s.json: teams[1].services[1]: \"order-registry\" stands twice",
        ),
        (
            "/upstreams/0/service",
            json!("drafting"),
            "s.json: upstreams[0].service: \"drafting\" is not declared in this sheet",
        ),
        (
            "/domains/1/region",
            json!(""),
            "s.json: domains[1].region: is empty; name the region, since traffic between regions \
             is paid",
        ),
    ] {
        assert_eq!(fault(pointer, value), message);
    }
}

#[test]
fn missing_region() {
    let mut sheet = good_sheet();
    sheet["domains"][1].as_object_mut().unwrap().remove("region");
    let error = parse_sheet("s.json", &sheet.to_string()).unwrap_err().to_string();
    assert!(error.starts_with("s.json: domains[1]: missing field `region`"), "{error}");
}

/// An operator copies a team's entry and forgets the key. Requests with that key cannot be told
/// apart: one team would be served on the other's share.
#[test]
fn one_key_two_teams() {
    assert_eq!(
        fault("/teams/1/key_hash", json!("AB".repeat(32))),
        "s.json: teams[1].key_hash: is that of \"Súðavík\" as well; give each team its own key"
    );
    assert_eq!(
        fault("/teams/1/key_hash", json!("key-goes")),
        "s.json: teams[1].key_hash: is not 64 hexadecimal digits; make it with \
         `bergamotpitch-ctl key hash`"
    );
}

/// An operator copies an upstream's entry and forgets the address. The upstream would be given twice
/// the work that it can run.
#[test]
fn one_address_two_upstreams() {
    assert_eq!(
        fault("/upstreams/1/address", json!("10.0.0.1:8000")),
        "s.json: upstreams[1].address: 10.0.0.1:8000 is the address of \"drafting-1\" as well"
    );
    assert_eq!(
        fault("/upstreams/1/address", json!("0.0.0.0:8000")),
        "s.json: upstreams[1].address: 0.0.0.0:8000 cannot be reached; use an IP number and a port"
    );
}

#[test]
fn names() {
    for (value, message) in [
        (" goes", "\" goes\" begins or ends with a space or holds a control character"),
        ("go\nes", "\"go\\nes\" begins or ends with a space or holds a control character"),
        ("goes/zuid", "\"goes/zuid\" is empty or holds a slash"),
        ("", "\"\" is empty or holds a slash"),
        ("Súðavík", "\"Súðavík\" stands twice"),
    ] {
        let found = fault("/teams/1/name", json!(value));
        assert_eq!(found, format!("s.json: teams[1].name: {message}"));
    }
    let long = "ð".repeat(65);
    assert_eq!(
        fault("/teams/1/name", json!(long)),
        "s.json: teams[1].name: has 130 bytes; a name may have 128"
    );
    assert_eq!(fault("/teams/1/name", json!("Gemeente Súdwest-Fryslân")), "no fault");
}

/// The sheet of the size that is planned for: the check must not compare every team with every
/// other, or the morning's sheet would take minutes.
#[test]
fn planned_size() {
    let upstreams: Vec<Value> = (0..5_900)
        .map(|number| {
            json!({ "name": format!("engine-{number}"), "service": "drafting-models",
                    "domain": "zuid-a", "address": format!("10.1.{}.{}:80", number / 250, number % 250),
                    "slots": 4 })
        })
        .collect();
    let teams: Vec<Value> = (0..6_500)
        .map(|number| {
            json!({ "name": format!("team-{number}"), "share": 1 + number % 7,
                    "key_hash": format!("{number:064x}"), "services": ["drafting-models"] })
        })
        .collect();
    let mut sheet = good_sheet();
    sheet["upstreams"] = json!(upstreams);
    sheet["teams"] = json!(teams);
    let parsed = parse_sheet("s.json", &sheet.to_string()).unwrap();
    assert_eq!((parsed.upstreams.len(), parsed.teams.len()), (5_900, 6_500));
    sheet["teams"][6_499]["key_hash"] = json!(format!("{:064x}", 0));
    let error = parse_sheet("s.json", &sheet.to_string()).unwrap_err().to_string();
    assert_eq!(
        error,
        "s.json: teams[6499].key_hash: is that of \"team-0\" as well; give each team its own key"
    );
}

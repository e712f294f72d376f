//! Each fault of a router's settings is rejected with its exact message.

use bergamotpitch_core::settings::parse_router_settings;
use serde_json::{Value, json};

fn fault(field: &str, value: Value) -> String {
    let mut settings = json!({
        "instance": "router-1", "domain": "zuid-a", "caller_address": "0.0.0.0:8000",
        "peer_address": "10.0.0.1:8001", "operator_address": "10.0.0.1:8002",
        "platform_address": "10.0.0.9:8500", "shared_key": "sixteen letters!"
    });
    settings[field] = value;
    match parse_router_settings("r.json", &settings.to_string()) {
        Ok(_) => "no fault".to_owned(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn ranges() {
    for (field, value, message) in [
        ("tick_ms", 0, "r.json: tick_ms: is 0; it must be from 1 to 1000"),
        ("deadline_ms", 0, "r.json: deadline_ms: is 0; it must be from 1 to 86400000"),
        ("body_limit_bytes", 0, "r.json: body_limit_bytes: is 0; it must be from 1 to 1073741824"),
        ("traffic_threads", 257, "r.json: traffic_threads: is 257; it must be from 1 to 256"),
        ("drain_limit_ms", 0, "no fault"),
    ] {
        assert_eq!(fault(field, json!(value)), message);
    }
}

#[test]
fn texts_and_addresses() {
    for (field, value, message) in [
        ("instance", "", "r.json: instance: is empty; give it a name"),
        (
            "shared_key",
            "short",
            "r.json: shared_key: is shorter than 16 characters; use a longer secret",
        ),
        (
            "peer_address",
            "0.0.0.0:8001",
            "r.json: peer_address: 0.0.0.0:8001 cannot be reached; use an IP number",
        ),
        (
            "operator_address",
            "0.0.0.0:8000",
            "r.json: operator_address: 0.0.0.0:8000 is the caller address as well; use another port",
        ),
    ] {
        assert_eq!(fault(field, json!(value)), message);
    }
}

#[test]
fn unknown_and_wrong() {
    let unknown = fault("motor", json!(1));
    assert!(unknown.starts_with("r.json: motor: unknown field `motor`, expected one of"));
    let wrong = fault("policy", json!("fastest"));
    assert!(wrong.starts_with("r.json: policy: unknown variant `fastest`"), "{wrong}");
    let address = fault("caller_address", json!("localhost:8000"));
    assert!(address.starts_with("r.json: caller_address: "), "{address}");
}

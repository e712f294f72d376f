//! docs/SETTINGS.md names every field of every file, with its range and default, and no other.

mod common;

use bergamotpitch_adapter::settings::Settings as AdapterSettings;
use bergamotpitch_control::traffic::policies::Policy;
use bergamotpitch_core::settings::{RouterSettings, parse_router_settings};
use bergamotpitch_core::sheets::{
    DomainEntry, ServiceEntry, Sheet, TeamEntry, UpstreamEntry, parse_sheet,
};
use bergamotpitch_ctl::settings::{CtlSettings, RouterEntry, parse_settings};
use bergamotpitch_load::experiments::{
    self, Experiment, StreamEntry, TokenRange, parse_experiment,
};
use bergamotpitch_standin::batches::BatchOptions;
use bergamotpitch_standin::caches::CacheOptions;
use bergamotpitch_standin::calls::RateLimits;
use bergamotpitch_standin::engines::EngineOptions;
use bergamotpitch_standin::faults::{PlatformFaults, UpstreamFaults, parse_platform_faults};
use bergamotpitch_standin::fleets::{FleetOptions, parse_fleet_options};
use bergamotpitch_standin::instances::InstanceChange;
use bergamotpitch_standin::platforms::PlatformOptions;
use bergamotpitch_standin::services::ServiceOptions;
use common::fields::fields_of;
use common::pages::{Row, check_section, sections};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

/// Parses a file and returns it with every default filled in, or the text of the error.
fn filled<T: Serialize, E: ToString>(parsed: Result<T, E>) -> Result<Value, String> {
    parsed
        .map(|document| serde_json::to_value(document).unwrap())
        .map_err(|error| error.to_string())
}

fn part<T: DeserializeOwned + Serialize>(document: &Value) -> Result<Value, String> {
    filled(serde_json::from_value::<T>(document.clone()))
}

/// A sheet around one entry; the entry replaces the one of its list.
fn sheet_with(list: &str, entry: &Value) -> Result<Value, String> {
    let mut sheet = json!({
        "domains": [{ "name": "zuid-a", "region": "zuid" }],
        "services": [{ "name": "order-registry", "kind": "plain" }],
        "upstreams": [], "teams": []
    });
    sheet[list] = json!([entry]);
    let parsed = filled(parse_sheet("file", &sheet.to_string()))?;
    Ok(parsed[list][0].clone())
}

fn page() -> Vec<(String, Vec<Row>)> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/SETTINGS.md");
    sections(&std::fs::read_to_string(path).unwrap())
}

#[test]
fn router_and_sheet() {
    let page = page();
    let router = json!({
        "instance": "r", "domain": "d", "caller_address": "127.0.0.1:1",
        "peer_address": "127.0.0.1:2", "operator_address": "127.0.0.1:3",
        "platform_address": "127.0.0.1:4", "shared_key": "sixteen letters!"
    });
    check_section(&page, "RouterSettings", fields_of::<RouterSettings>(), &router, |document| {
        filled(parse_router_settings("file", &document.to_string()))
    });
    let sheet = json!({ "domains": [], "services": [], "upstreams": [], "teams": [] });
    check_section(&page, "Sheet", fields_of::<Sheet>(), &sheet, |document| {
        filled(parse_sheet("file", &document.to_string()))
    });
    let domain = json!({ "name": "zuid-a", "region": "zuid" });
    check_section(&page, "DomainEntry", fields_of::<DomainEntry>(), &domain, |entry| {
        sheet_with("domains", entry)
    });
    let service = json!({ "name": "order-registry", "kind": "plain" });
    check_section(&page, "ServiceEntry", fields_of::<ServiceEntry>(), &service, |entry| {
        sheet_with("services", entry)
    });
    let upstream = json!({ "name": "u", "service": "order-registry", "domain": "zuid-a",
        "address": "127.0.0.1:1", "slots": 1 });
    check_section(&page, "UpstreamEntry", fields_of::<UpstreamEntry>(), &upstream, |entry| {
        sheet_with("upstreams", entry)
    });
    let team = json!({ "name": "t", "share": 1, "key_hash": "ab".repeat(32),
        "services": ["order-registry"] });
    check_section(&page, "TeamEntry", fields_of::<TeamEntry>(), &team, |entry| {
        sheet_with("teams", entry)
    });
}

#[test]
fn operators_tool() {
    let page = page();
    check_section(&page, "CtlSettings", fields_of::<CtlSettings>(), &json!({}), |document| {
        filled(parse_settings("file", &document.to_string()))
    });
    let router = json!({ "name": "r", "operator_address": "127.0.0.1:1" });
    check_section(&page, "RouterEntry", fields_of::<RouterEntry>(), &router, part::<RouterEntry>);
}

#[test]
fn standins() {
    let page = page();
    let none = json!({});
    check_section(&page, "FleetOptions", fields_of::<FleetOptions>(), &none, |document| {
        filled(parse_fleet_options("file", &document.to_string()))
    });
    let platform = json!({ "addresses": [] });
    check_section(
        &page,
        "PlatformOptions",
        fields_of::<PlatformOptions>(),
        &platform,
        part::<PlatformOptions>,
    );
    check_section(&page, "RateLimits", fields_of::<RateLimits>(), &none, part::<RateLimits>);
    let upstream = json!({ "name": "e", "address": "127.0.0.1:1" });
    let engine = fields_of::<EngineOptions>();
    check_section(&page, "EngineOptions", engine, &upstream, part::<EngineOptions>);
    check_section(&page, "BatchOptions", fields_of::<BatchOptions>(), &none, part::<BatchOptions>);
    check_section(&page, "CacheOptions", fields_of::<CacheOptions>(), &none, part::<CacheOptions>);
    let service = fields_of::<ServiceOptions>();
    check_section(&page, "ServiceOptions", service, &upstream, part::<ServiceOptions>);
    let faults = fields_of::<UpstreamFaults>();
    check_section(&page, "UpstreamFaults", faults, &none, part::<UpstreamFaults>);
    let faults = fields_of::<PlatformFaults>();
    check_section(&page, "PlatformFaults", faults, &none, |document| {
        filled(parse_platform_faults(&document.to_string()))
    });
    let change = json!({ "list": "l", "name": "n", "address": "127.0.0.1:1" });
    let fields = fields_of::<InstanceChange>();
    check_section(&page, "InstanceChange", fields, &change, part::<InstanceChange>);
}

#[test]
fn load_tool() {
    let page = page();
    let router = json!({ "name": "r", "domain": "d", "caller_address": "127.0.0.1:1",
        "operator_address": "127.0.0.1:2" });
    let stream = json!({ "team": "t", "key": "k", "share": 1, "service": "s", "kind": "plain",
        "rate_per_s": 1.0, "routers": ["r"] });
    let whole = json!({ "name": "n", "seed": 1, "duration_ms": 1, "routers": [router],
        "platform_address": "127.0.0.1:3", "streams": [stream] });
    let parse = |document: &Value| filled(parse_experiment("file", &document.to_string()));
    check_section(&page, "Experiment", fields_of::<Experiment>(), &whole, parse);
    let parse_part = |list: &str, entry: &Value| {
        let mut document = whole.clone();
        document[list] = json!([entry]);
        Ok(parse(&document)?[list][0].clone())
    };
    let fields = fields_of::<experiments::RouterEntry>();
    check_section(&page, "Experiment.routers", fields, &router, |entry| {
        parse_part("routers", entry)
    });
    check_section(&page, "StreamEntry", fields_of::<StreamEntry>(), &stream, |entry| {
        parse_part("streams", entry)
    });
    let range = json!({ "least": 1, "most": 1 });
    check_section(&page, "TokenRange", fields_of::<TokenRange>(), &range, part::<TokenRange>);
}

#[test]
fn platform_adapter() {
    let page = page();
    let address = "127.0.0.1:1";
    let least = json!({ "instance": "i", "domain": "d", "caller_address": address,
        "ready_address": address, "beat_address": address, "relay_address": address,
        "store_address": address, "grace_s": 8, "retry_ratio": 0.2, "retry_fixed": 54,
        "retry_window_s": 10 });
    let fields = fields_of::<AdapterSettings>();
    check_section(&page, "AdapterSettings", fields, &least, |document| {
        filled(AdapterSettings::parse("file", &document.to_string()))
    });
    let fields = fields_of::<Policy>();
    check_section(&page, "Policy", fields, &json!({}), part::<Policy>);
}

/// Every struct that a section names is compared by a test above, so that no section is forgotten.
#[test]
fn sections_named() {
    let source = include_str!("settings_page.rs");
    for (name, rows) in page() {
        assert!(source.contains(&format!("\"{name}\"")), "no test compares {name}");
        assert!(!rows.is_empty(), "{name} has no rows");
    }
}

//! A stage: a fleet with upstreams and a sheet, under the load of the load tool.

use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_core::sheets::{Sheet, parse_sheet};
use bergamotpitch_ctl::keys::hash_key;
use bergamotpitch_ctl::sheets::apply;
use bergamotpitch_load::experiments::parse_experiment;
use bergamotpitch_load::measures::{Measures, must_be_zero};
use bergamotpitch_load::runs::run;
use bergamotpitch_platform::Platform;
use bergamotpitch_router::Router;
use bergamotpitch_standin::batches::BatchOptions;
use bergamotpitch_standin::engines::{EngineOptions, start_engine};
use bergamotpitch_standin::services::{ServiceOptions, start_service};
use bergamotpitch_standin::upstreams::Upstream;
use serde_json::{Value, json};

use super::{Fleet, LOOPBACK, close_without_reverts, set_faults, start_fleet, wait_in_force};

/// Time for which requests are sent.
pub const LOAD_TIME: Duration = Duration::from_millis(3_000);

/// Time that a call of a plain service takes.
const SHORT_CALL_MS: u64 = 5;

/// `Fault` is a fault that begins at a moment of the load.
pub struct Fault {
    pub at_ms: u64,
    pub address: SocketAddr,
    pub faults: &'static str,
}

/// `start_upstreams` starts two engines and a service in one failure domain, one of each in the other.
pub async fn start_upstreams(call_ms: u64) -> Vec<Upstream> {
    let mut upstreams = Vec::new();
    for (name, domain) in [("e1", "zuid-a"), ("e2", "zuid-a"), ("e3", "noord-oost-a")] {
        let batch = BatchOptions { slots: 8, step_us: 2_000, ..BatchOptions::default() };
        let options = EngineOptions {
            name: name.to_owned(),
            address: LOOPBACK,
            domain: domain.to_owned(),
            batch,
            ..EngineOptions::default()
        };
        upstreams.push(start_engine(options).await.unwrap());
    }
    for (name, domain) in [("s1", "zuid-a"), ("s2", "noord-oost-a")] {
        let options = ServiceOptions {
            name: name.to_owned(),
            address: LOOPBACK,
            domain: domain.to_owned(),
            call_ms,
            ..ServiceOptions::default()
        };
        upstreams.push(start_service(options).await.unwrap());
    }
    upstreams
}

/// `sheet_of` is the sheet of two teams and the upstreams.
pub fn sheet_of(upstreams: &[Upstream]) -> Value {
    let entries: Vec<Value> = upstreams
        .iter()
        .map(|upstream| {
            let service = if upstream.name.starts_with('e') { "drafting" } else { "registry" };
            json!({ "name": upstream.name, "service": service, "domain": upstream.shared.domain,
                    "address": upstream.address, "slots": 8 })
        })
        .collect();
    let team = |name: &str, share: u32| {
        json!({ "name": name, "share": share, "key_hash": hash_key(name),
                "services": ["drafting", "registry"] })
    };
    json!({
        "domains": [{ "name": "zuid-a", "region": "zuid" },
                    { "name": "noord-oost-a", "region": "noord-oost" }],
        "services": [{ "name": "drafting", "kind": "engine", "repeatable": true },
                     { "name": "registry", "kind": "plain" }],
        "upstreams": entries,
        "teams": [team("goes", 1), team("hulst", 3)]
    })
}

/// `Load` is what differs between the loads of the tests.
#[derive(Clone, Copy)]
pub struct Load {
    pub deadline_ms: u64,
    pub keyed_percent: u32,
}

/// Waits that end before the faults do, so that refusals are among the outcomes.
pub const SHORT_DEADLINES: Load = Load { deadline_ms: 2_000, keyed_percent: 0 };

/// Waits that outlast every fault, so that each request can be answered.
pub const LONG_DEADLINES: Load = Load { deadline_ms: 60_000, keyed_percent: 0 };

/// Short waits, and an idempotency key on every second call of the plain service.
pub const KEYED_CALLS: Load = Load { deadline_ms: 3_000, keyed_percent: 50 };

/// `Place` is where a router is reached.
#[derive(Clone, Copy)]
pub struct Place {
    pub caller_address: SocketAddr,
    pub operator_address: SocketAddr,
}

/// `places` lists where the routers of a fleet are reached.
pub fn places(fleet: &Fleet) -> Vec<Place> {
    let place = |router: &Router| Place {
        caller_address: router.caller_address(),
        operator_address: router.operator_address(),
    };
    fleet.routers.iter().map(place).collect()
}

/// `experiment_of` is a seeded load on three routers.
pub fn experiment_of(places: &[Place], platform: SocketAddr, load: Load) -> Value {
    let routers: Vec<Value> = places
        .iter()
        .enumerate()
        .map(|(number, place)| {
            json!({ "name": format!("router-{number}"), "domain": "zuid-a",
                    "caller_address": place.caller_address,
                    "operator_address": place.operator_address })
        })
        .collect();
    let stream = |team: &str, share: u32, kind: &str, rate: u32| {
        let service = if kind == "engine" { "drafting" } else { "registry" };
        json!({ "team": team, "key": team, "share": share, "service": service, "kind": kind,
                "rate_per_s": rate, "deadline_ms": load.deadline_ms,
                "keyed_percent": load.keyed_percent,
                "answer_tokens": { "least": 4, "most": 40 },
                "routers": ["router-0", "router-1", "router-2"] })
    };
    json!({
        "name": "faults", "seed": 11, "duration_ms": LOAD_TIME.as_millis() as u64,
        "platform_address": platform, "routers": routers,
        "streams": [stream("goes", 1, "engine", 40), stream("hulst", 3, "engine", 60),
                    stream("goes", 1, "plain", 60), stream("hulst", 3, "plain", 60)]
    })
}

/// `Stage` is everything that a load needs.
pub struct Stage {
    pub fleet: Fleet,
    pub upstreams: Vec<Upstream>,
    pub sheet: Sheet,
}

/// `start_stage` starts a fleet with upstreams and puts their sheet in force.
pub async fn start_stage(test: &str) -> Stage {
    let fleet = start_fleet(test).await;
    let upstreams = start_upstreams(SHORT_CALL_MS).await;
    let sheet = apply_sheet(test, &fleet.operator, &upstreams).await;
    wait_in_force(&fleet, 1).await;
    Stage { fleet, upstreams, sheet }
}

/// `apply_sheet` applies the sheet of the upstreams as the first one.
pub async fn apply_sheet(test: &str, operator: &Platform, upstreams: &[Upstream]) -> Sheet {
    let text = sheet_of(upstreams).to_string();
    let file = format!("{}/{test}-sheet.json", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&file, &text).unwrap();
    apply(operator, &file, None).await.unwrap();
    parse_sheet(&file, &text).unwrap()
}

/// `load_of_stage` is the load on the routers of a stage.
pub fn load_of_stage(stage: &Stage, load: Load) -> Value {
    experiment_of(&places(&stage.fleet), stage.fleet.platform.addresses[2], load)
}

/// `close_stage` closes everything and checks that no router went back to an older sheet.
pub async fn close_stage(stage: Stage) {
    close_without_reverts(stage.fleet).await;
    for upstream in stage.upstreams {
        upstream.close().await;
    }
}

/// `measure_while` runs a load while something else happens, and checks what must be 0.
pub async fn measure_while(
    sheet: &Sheet,
    experiment: Value,
    happening: impl Future<Output = ()>,
) -> Measures {
    let experiment = parse_experiment("experiment.json", &experiment.to_string()).unwrap();
    let (outcome, ()) = tokio::join!(run(experiment, sheet, "faults"), happening);
    let measures = outcome.unwrap().report.measures;
    assert_eq!(must_be_zero(&measures), Vec::<String>::new());
    // The schedule leaves enough work done to show anything.
    assert!(measures.sent_requests / 2 < measures.answered_requests, "{measures:?}");
    measures
}

/// `set_all` sets each fault at its moment.
pub async fn set_all(faults: Vec<Fault>) {
    let started = tokio::time::Instant::now();
    for fault in faults {
        tokio::time::sleep_until(started + Duration::from_millis(fault.at_ms)).await;
        set_faults(fault.address, fault.faults).await;
    }
}

/// `upstream_fault` is a fault of the upstream of a name.
pub fn upstream_fault(stage: &Stage, at_ms: u64, name: &str, faults: &'static str) -> Fault {
    let upstream = stage.upstreams.iter().find(|one| one.name == name).unwrap();
    Fault { at_ms, address: upstream.address, faults }
}

//! Real routers under load while upstreams and the platform fail: what must be 0 is 0.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_core::events::{EventKind, EventRecord};
use bergamotpitch_core::sheets::{Sheet, parse_sheet};
use bergamotpitch_ctl::keys::hash_key;
use bergamotpitch_ctl::operators::status;
use bergamotpitch_ctl::sheets::apply;
use bergamotpitch_load::experiments::parse_experiment;
use bergamotpitch_load::measures::{Measures, must_be_zero};
use bergamotpitch_load::runs::run;
use bergamotpitch_standin::batches::BatchOptions;
use bergamotpitch_standin::engines::{EngineOptions, start_engine};
use bergamotpitch_standin::services::{ServiceOptions, start_service};
use bergamotpitch_standin::upstreams::Upstream;
use bergamotpitch_timeline::files::read_file;
use common::fleets::{
    Fleet, HANG_LIMIT, close_without_reverts, entries, start_fleet, wait_in_force,
};
use common::{LOOPBACK, get_text, set_faults};
use serde_json::{Value, json};

/// Time for which requests are sent.
const LOAD_TIME: Duration = Duration::from_millis(3_000);

/// `Fault` is a fault that begins at a moment of the load.
struct Fault {
    at_ms: u64,
    address: SocketAddr,
    faults: &'static str,
}

/// Two engines and a service in one failure domain, one of each in the other.
async fn start_upstreams() -> Vec<Upstream> {
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
            ..ServiceOptions::default()
        };
        upstreams.push(start_service(options).await.unwrap());
    }
    upstreams
}

fn sheet_of(upstreams: &[Upstream]) -> Value {
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
struct Load {
    deadline_ms: u64,
    keyed_percent: u32,
}

/// Waits that end before the faults do, so that refusals are among the outcomes.
const SHORT_DEADLINES: Load = Load { deadline_ms: 2_000, keyed_percent: 0 };

/// Waits that outlast every fault, so that each request can be answered.
const LONG_DEADLINES: Load = Load { deadline_ms: 60_000, keyed_percent: 0 };

fn experiment_of(fleet: &Fleet, load: Load) -> Value {
    let routers: Vec<Value> = fleet
        .routers
        .iter()
        .enumerate()
        .map(|(number, router)| {
            json!({ "name": format!("router-{number}"), "domain": "zuid-a",
                    "caller_address": router.caller_address(),
                    "operator_address": router.operator_address() })
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
        "platform_address": fleet.platform.addresses[2], "routers": routers,
        "streams": [stream("goes", 1, "engine", 40), stream("hulst", 3, "engine", 60),
                    stream("goes", 1, "plain", 60), stream("hulst", 3, "plain", 60)]
    })
}

/// `Stage` is everything that a load needs.
struct Stage {
    fleet: Fleet,
    upstreams: Vec<Upstream>,
    sheet: Sheet,
}

async fn start_stage(test: &str) -> Stage {
    let fleet = start_fleet(test).await;
    let upstreams = start_upstreams().await;
    let text = sheet_of(&upstreams).to_string();
    let file = format!("{}/{test}-sheet.json", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&file, &text).unwrap();
    apply(&fleet.operator, &file, None).await.unwrap();
    wait_in_force(&fleet, 1).await;
    let sheet = parse_sheet(&file, &text).unwrap();
    Stage { fleet, upstreams, sheet }
}

async fn close_stage(stage: Stage) {
    close_without_reverts(stage.fleet).await;
    for upstream in stage.upstreams {
        upstream.close().await;
    }
}

/// Runs a load while something else happens, and checks what must be 0.
async fn measure_while(
    stage: &Stage,
    experiment: Value,
    happening: impl Future<Output = ()>,
) -> Measures {
    let experiment = parse_experiment("experiment.json", &experiment.to_string()).unwrap();
    let (outcome, ()) = tokio::join!(run(experiment, &stage.sheet, "faults"), happening);
    let measures = outcome.unwrap().report.measures;
    assert_eq!(must_be_zero(&measures), Vec::<String>::new());
    // The schedule leaves enough work done to show anything.
    assert!(measures.sent_requests / 2 < measures.answered_requests, "{measures:?}");
    measures
}

async fn set_all(faults: Vec<Fault>) {
    let started = tokio::time::Instant::now();
    for fault in faults {
        tokio::time::sleep_until(started + Duration::from_millis(fault.at_ms)).await;
        set_faults(fault.address, fault.faults).await;
    }
}

fn upstream_fault(stage: &Stage, at_ms: u64, name: &str, faults: &'static str) -> Fault {
    let upstream = stage.upstreams.iter().find(|one| one.name == name).unwrap();
    Fault { at_ms, address: upstream.address, faults }
}

/// Engines break streams, send garbage, take requests and never answer, refuse, and are gone for a
/// while; services crash after they ran a call and before its answer. A caller must never get part of
/// an answer as if it were whole, an order must never run twice, and "not run" must be true.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn failing_upstreams() {
    let stage = start_stage("failing-upstreams").await;
    let experiment = experiment_of(&stage.fleet, SHORT_DEADLINES);
    let faults = [
        (200, "e1", r#"{ "break_after_tokens": 3, "times": 8 }"#),
        (400, "s1", r#"{ "crash_before_answer": true, "times": 8 }"#),
        (600, "e2", r#"{ "garbage": true, "times": 4 }"#),
        (800, "s2", r#"{ "refuse": true, "times": 12 }"#),
        (1_000, "e3", r#"{ "down_ms": 400 }"#),
        (1_200, "s1", r#"{ "down_ms": 300 }"#),
        (1_500, "e1", r#"{ "half_open": true, "times": 3 }"#),
        (1_700, "s2", r#"{ "half_open": true, "times": 3 }"#),
        (2_000, "e2", r#"{ "crash_before_answer": true, "times": 6 }"#),
        (2_200, "s1", r#"{ "delay_ms": 300, "times": 10 }"#),
        (2_400, "e3", r#"{ "refuse": true, "times": 10 }"#),
    ];
    let faults = faults.map(|(at_ms, name, faults)| upstream_fault(&stage, at_ms, name, faults));
    measure_while(&stage, experiment, set_all(faults.into())).await;
    close_stage(stage).await;
}

/// The platform is out for one failure domain and loses answers for the other while a service crashes
/// after its runs. Requests without a key need nothing of the platform and must go on.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn failing_platform() {
    let stage = start_stage("failing-platform").await;
    let experiment = experiment_of(&stage.fleet, SHORT_DEADLINES);
    let platform = |at_ms, number: usize, faults| {
        let address = stage.fleet.platform.addresses[number];
        Fault { at_ms, address, faults }
    };
    let faults = vec![
        platform(200, 0, r#"{ "outage": true }"#),
        platform(300, 1, r#"{ "lose_answers_percent": 50, "slow_ms": 200 }"#),
        upstream_fault(&stage, 800, "s1", r#"{ "crash_before_answer": true, "times": 8 }"#),
        platform(1_500, 0, r#"{ "hang": true }"#),
        platform(2_000, 1, r#"{ "down_ms": 500 }"#),
        platform(2_500, 0, "{}"),
    ];
    measure_while(&stage, experiment, set_all(faults)).await;
    close_stage(stage).await;
}

/// Engines break their connections in the middle of answers. A drafter who gets half an order text has
/// to ask again for all of it; the router must go on where the stream broke.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn broken_streams() {
    let stage = start_stage("broken-streams").await;
    let experiment = experiment_of(&stage.fleet, LONG_DEADLINES);
    let break_streams = r#"{ "break_after_tokens": 3, "times": 15 }"#;
    let faults = [(200, "e1"), (600, "e2"), (1_000, "e3"), (1_500, "e1")]
        .map(|(at_ms, name)| upstream_fault(&stage, at_ms, name, break_streams));
    let measures = measure_while(&stage, experiment, set_all(faults.into())).await;
    assert_eq!(measures.cut_seen_answers, 0);
    assert_eq!(measures.answered_requests, measures.sent_requests);
    close_stage(stage).await;
}

/// A router is drained and ends while answers stream through it. Each of them must reach its caller
/// whole, and none may meet a closed port while the balancer still sends there.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn drained_router() {
    let mut stage = start_stage("drained-router").await;
    let mut experiment = experiment_of(&stage.fleet, LONG_DEADLINES);
    // The load tool asks for counters at the end, when this router has gone.
    let other = stage.fleet.routers[0].operator_address();
    experiment["routers"][1]["operator_address"] = json!(other);
    let router = stage.fleet.routers.remove(1);
    let draining = async {
        // The shortest drain outlasts the load, so that no request meets a closed port.
        tokio::time::sleep(LOAD_TIME - Duration::from_millis(300)).await;
        router.close().await;
    };
    let measures = measure_while(&stage, experiment, draining).await;
    assert_eq!((measures.cut_seen_answers, measures.lost_requests), (0, 0));
    let events = read_file(&stage.fleet.event_files[1]).unwrap().events;
    let drain = events.iter().position(|event| event.kind == EventKind::DrainBegan).unwrap();
    let is_answer = |event: &EventRecord| event.kind == EventKind::RequestAnswered;
    assert!(events[drain..].iter().any(is_answer), "nothing was in flight when the drain began");
    close_stage(stage).await;
}

/// An engine says that it leaves while the platform is out, so that no list tells of it. Routers of the
/// other failure domain never ask that engine; unless they hear of it from their peers they give it
/// work that is cut when it stops.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn leaving_upstream() {
    let stage = start_stage("leaving-upstream").await;
    for address in &stage.fleet.platform.addresses {
        set_faults(*address, r#"{ "outage": true }"#).await;
    }
    let leaving = &stage.upstreams[0];
    set_faults(leaving.address, r#"{ "leaving": true }"#).await;
    let routers = entries(&stage.fleet);
    let waiting = async {
        while status(&routers).await.unwrap().matches("e1 is leaving").count() < routers.len() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let known = tokio::time::timeout(HANG_LIMIT, waiting).await;
    assert!(known.is_ok(), "not known everywhere: {:?}", status(&routers).await);
    let experiment = experiment_of(&stage.fleet, LONG_DEADLINES);
    let measures = measure_while(&stage, experiment, async {}).await;
    assert_eq!(measures.answered_requests, measures.sent_requests);
    assert_eq!(get_text(leaving.address, "/_records").await, "");
    close_stage(stage).await;
}

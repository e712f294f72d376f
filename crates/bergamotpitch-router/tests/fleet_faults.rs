//! Real routers under load while upstreams and the platform fail: what must be 0 is 0.

mod fleets;

use std::time::Duration;

use bergamotpitch_core::events::{EventKind, EventRecord};
use bergamotpitch_ctl::operators::status;
use bergamotpitch_timeline::files::read_file;
use fleets::stages::{
    Fault, KEYED_CALLS, LOAD_TIME, LONG_DEADLINES, SHORT_DEADLINES, close_stage, load_of_stage,
    measure_while, set_all, start_stage, upstream_fault,
};
use fleets::{HANG_LIMIT, entries, get_text, set_faults};
use serde_json::json;

/// Engines break streams, send garbage, take requests and never answer, refuse, and are gone for a
/// while; services crash after they ran a call and before its answer. A caller must never get part of
/// an answer as if it were whole, an order must never run twice, and "not run" must be true.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn failing_upstreams() {
    let stage = start_stage("failing-upstreams").await;
    let experiment = load_of_stage(&stage, SHORT_DEADLINES);
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
    measure_while(&stage.sheet, experiment, set_all(faults.into())).await;
    close_stage(stage).await;
}

/// The platform is out for one failure domain and loses answers for the other while a service crashes
/// after its runs. Requests without a key need nothing of the platform and must go on.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn failing_platform() {
    let stage = start_stage("failing-platform").await;
    let experiment = load_of_stage(&stage, SHORT_DEADLINES);
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
    measure_while(&stage.sheet, experiment, set_all(faults)).await;
    close_stage(stage).await;
}

/// Calls with idempotency keys are tried again through other routers, as careful callers do, while the
/// platform that holds the claims is out, slow or loses answers and services crash after their runs. An
/// order must not run twice whichever router its next try meets.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keyed_calls() {
    let stage = start_stage("keyed-calls").await;
    let experiment = load_of_stage(&stage, KEYED_CALLS);
    let platform = |at_ms, number: usize, faults| {
        let address = stage.fleet.platform.addresses[number];
        Fault { at_ms, address, faults }
    };
    let crash = r#"{ "crash_before_answer": true, "times": 10 }"#;
    let faults = vec![
        platform(200, 0, r#"{ "lose_answers_percent": 50 }"#),
        platform(400, 1, r#"{ "slow_ms": 300, "lose_answers_percent": 20 }"#),
        upstream_fault(&stage, 600, "s1", crash),
        upstream_fault(&stage, 900, "s2", crash),
        platform(1_200, 0, r#"{ "outage": true }"#),
        upstream_fault(&stage, 1_400, "s1", r#"{ "half_open": true, "times": 5 }"#),
        platform(1_700, 1, r#"{ "down_ms": 300 }"#),
        platform(2_000, 0, r#"{ "slow_ms": 1500 }"#),
        platform(2_500, 0, "{}"),
    ];
    measure_while(&stage.sheet, experiment, set_all(faults)).await;
    close_stage(stage).await;
}

/// Engines break their connections in the middle of answers. A drafter who gets half an order text has
/// to ask again for all of it; the router must go on where the stream broke.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn broken_streams() {
    let stage = start_stage("broken-streams").await;
    let experiment = load_of_stage(&stage, LONG_DEADLINES);
    let break_streams = r#"{ "break_after_tokens": 3, "times": 15 }"#;
    let faults = [(200, "e1"), (600, "e2"), (1_000, "e3"), (1_500, "e1")]
        .map(|(at_ms, name)| upstream_fault(&stage, at_ms, name, break_streams));
    let measures = measure_while(&stage.sheet, experiment, set_all(faults.into())).await;
    assert_eq!(measures.cut_seen_answers, 0);
    assert_eq!(measures.answered_requests, measures.sent_requests);
    close_stage(stage).await;
}

/// A router is drained and ends while answers stream through it. Each of them must reach its caller
/// whole, and none may meet a closed port while the balancer still sends there.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn drained_router() {
    let mut stage = start_stage("drained-router").await;
    let mut experiment = load_of_stage(&stage, LONG_DEADLINES);
    // The load tool asks for counters at the end, when this router has gone.
    let other = stage.fleet.routers[0].operator_address();
    experiment["routers"][1]["operator_address"] = json!(other);
    let router = stage.fleet.routers.remove(1);
    let draining = async {
        // The shortest drain outlasts the load, so that no request meets a closed port.
        tokio::time::sleep(LOAD_TIME - Duration::from_millis(300)).await;
        router.close().await;
    };
    let measures = measure_while(&stage.sheet, experiment, draining).await;
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
    let experiment = load_of_stage(&stage, LONG_DEADLINES);
    let measures = measure_while(&stage.sheet, experiment, async {}).await;
    assert_eq!(measures.answered_requests, measures.sent_requests);
    assert_eq!(get_text(leaving.address, "/_records").await, "");
    close_stage(stage).await;
}

//! Runs of the stand-in service are recorded, so that a double run can be counted.

mod common;

use bergamotpitch_standin::records::{Outcome, Record, Run};
use bergamotpitch_standin::services::{CallAnswer, ServiceOptions, start_service};
use bytes::Bytes;
use common::{LOOPBACK, client, get, json_lines, post, text_of};
use http::Request;
use http_body_util::Full;

fn register(address: std::net::SocketAddr) -> Request<Full<Bytes>> {
    Request::post(format!("http://{address}/orders/7?copy=1"))
        .header("x-request-id", "r1")
        .header("idempotency-key", "k1")
        .body(Full::new(Bytes::from("order")))
        .unwrap()
}

#[tokio::test]
async fn recorded_run() {
    let service =
        start_service(ServiceOptions { address: LOOPBACK, call_ms: 0, ..Default::default() })
            .await
            .unwrap();
    let answer = text_of(client().request(register(service.address)).await.unwrap()).await;
    let answer: CallAnswer = serde_json::from_str(&answer).unwrap();
    let runs: Vec<Run> = json_lines(&get(service.address, "/_runs").await);
    assert_eq!(runs, [answer.run]);
    assert_eq!(runs[0].path, "/orders/7?copy=1");
    assert_eq!(runs[0].idempotency_key.as_deref(), Some("k1"));
    service.close().await;
}

/// The service runs the call and its process dies before the answer. Whoever takes the broken
/// connection for "not run" and sends the call again files the order twice; the list of runs shows
/// it.
#[tokio::test]
async fn crash_after_run() {
    let service =
        start_service(ServiceOptions { address: LOOPBACK, call_ms: 0, ..Default::default() })
            .await
            .unwrap();
    post(service.address, "/_faults", r#"{ "crash_before_answer": true, "times": 1 }"#).await;
    assert!(client().request(register(service.address)).await.is_err());
    assert!(client().request(register(service.address)).await.is_ok());
    let runs: Vec<Run> = json_lines(&get(service.address, "/_runs").await);
    assert_eq!(runs.len(), 2);
    let records: Vec<Record> = json_lines(&get(service.address, "/_records").await);
    let outcomes: Vec<Outcome> = records.iter().map(|record| record.outcome).collect();
    assert_eq!(outcomes, [Outcome::Broken, Outcome::Answered]);
    service.close().await;
}

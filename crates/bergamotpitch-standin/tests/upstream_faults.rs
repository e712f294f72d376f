//! Faults of upstreams: garbage, half-open, down for a while, and so many times.

mod common;

use std::time::Duration;

use bergamotpitch_standin::engines::{EngineOptions, start_engine};
use bergamotpitch_standin::services::{ServiceOptions, start_service};
use common::{LOOPBACK, call, client, post};
use http::{Method, Request};

const CHAT: &str = r#"{ "messages": [{ "role": "user", "content": "a" }], "max_tokens": 1 }"#;

#[tokio::test]
async fn garbage_once() {
    let engine =
        start_engine(EngineOptions { address: LOOPBACK, ..Default::default() }).await.unwrap();
    post(engine.address, "/_faults", r#"{ "garbage": true, "times": 1 }"#).await;
    let path = "/v1/chat/completions";
    let (_, text) = call(engine.address, Method::POST, path, CHAT).await;
    assert!(serde_json::from_str::<serde_json::Value>(&text).is_err(), "{text}");
    let (_, text) = call(engine.address, Method::POST, path, CHAT).await;
    assert!(serde_json::from_str::<serde_json::Value>(&text).is_ok(), "{text}");
    engine.close().await;
}

/// The upstream takes the connection and never answers. Nothing on the wire tells that it will not;
/// only the admin paths still answer.
#[tokio::test]
async fn half_open() {
    let service =
        start_service(ServiceOptions { address: LOOPBACK, ..Default::default() }).await.unwrap();
    post(service.address, "/_faults", r#"{ "half_open": true }"#).await;
    let address = service.address;
    let waiting = tokio::spawn(async move { call(address, Method::GET, "/orders", "").await });
    // The answer of the admin path comes later than that of a service that answers would.
    for _ in 0..20 {
        call(address, Method::GET, "/_faults", "").await;
    }
    assert!(!waiting.is_finished());
    waiting.abort();
    service.close().await;
}

/// The process is gone for a while: connections are refused, which proves that nothing ran, and
/// then it is back at the same address.
#[tokio::test]
async fn down_and_back() {
    let service =
        start_service(ServiceOptions { address: LOOPBACK, ..Default::default() }).await.unwrap();
    let address = service.address;
    post(address, "/_faults", r#"{ "down_ms": 50 }"#).await;
    let request = || Request::get(format!("http://{address}/orders")).body(Default::default());
    let mut refused = false;
    loop {
        match client().request(request().unwrap()).await {
            Err(error) => refused |= error.is_connect(),
            Ok(_) if refused => break,
            Ok(_) => {}
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    service.close().await;
}

#[tokio::test]
async fn bad_faults() {
    let service =
        start_service(ServiceOptions { address: LOOPBACK, ..Default::default() }).await.unwrap();
    let (status, text) =
        call(service.address, Method::POST, "/_faults", r#"{ "explode": true }"#).await;
    assert_eq!(status, 400);
    assert!(text.starts_with("unknown field `explode`"), "{text}");
    service.close().await;
}

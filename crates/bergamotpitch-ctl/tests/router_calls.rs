//! Status, explanations and drains are asked for at the routers' operator ports.

mod common;

use std::sync::Arc;

use bergamotpitch_ctl::errors::{Error, exit_code};
use bergamotpitch_ctl::operators::{drain, explain, status};
use bergamotpitch_ctl::settings::RouterEntry;
use bergamotpitch_ctl::suspects::{lift_part, lift_request, list_parts, list_requests};
use bergamotpitch_standin::bodies::text_answer;
use bergamotpitch_standin::servers::{Server, serve};
use common::LOOPBACK;
use futures::FutureExt;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;

const STATUS: &str = r#"{"instance":"router-1","domain":"zuid-a","sheet_version":3,"ready":true,
    "draining":false,"queued_requests":2,"running_requests":7,"members":[],"teams":[],
    "upstreams":[{"name":"e1","leaving":true,"failing":false},
                 {"name":"e2","leaving":false,"failing":false}]}"#;

const EXPLANATION: &str = r#"{"request":"r1","events":[
    {"time_us":5,"process":"router-1","number":100,"kind":"request_arrived","team":"goes"},
    {"time_us":9,"process":"router-1","number":103,"kind":"request_refused",
     "detail":"queue_full"}]}"#;

const PARTS: &str = r#"[
    {"service":"engines","part":"bad","crashes":2,"is_blocked":true,"blocked_for_ms":900},
    {"service":"engines","part":"7","crashes":1,"is_blocked":false,"blocked_for_ms":0}]"#;

const REQUESTS: &str = r#"[
    {"digest":"00000000000000ad","crashes":2,"is_blocked":true,"blocked_for_ms":0}]"#;

/// Starts a router's operator port that knows the request `r1` and drains.
async fn start_operator_port(status: &'static str) -> (Server, RouterEntry) {
    let handler = Arc::new(move |request: Request<Incoming>| {
        let answer = match (request.method(), request.uri().path()) {
            (&Method::GET, "/status") => text_answer(StatusCode::OK, status),
            (&Method::GET, "/explain/r1") => text_answer(StatusCode::OK, EXPLANATION),
            (&Method::GET, "/explain/r2") => text_answer(StatusCode::OK, r#"{"events":[]}"#),
            (&Method::GET, "/parts") => text_answer(StatusCode::OK, PARTS),
            (&Method::POST, "/parts/lift") => text_answer(StatusCode::OK, "lifted"),
            (&Method::GET, "/requests") => text_answer(StatusCode::OK, REQUESTS),
            (&Method::POST, "/requests/lift") => text_answer(StatusCode::OK, "lifted"),
            (&Method::POST, "/drain") => text_answer(StatusCode::OK, "draining"),
            _ => text_answer(StatusCode::NOT_FOUND, "unknown"),
        };
        async move { Ok(answer) }.boxed()
    });
    let (_crashes, orders) = tokio::sync::mpsc::unbounded_channel();
    let server = serve(LOOPBACK, handler, orders).await.unwrap();
    let entry = RouterEntry { name: "router-1".to_owned(), operator_address: server.address };
    (server, entry)
}

fn silent_router() -> RouterEntry {
    // Port 1 of the loopback refuses connections.
    let operator_address = "127.0.0.1:1".parse().unwrap();
    RouterEntry { name: "router-2".to_owned(), operator_address }
}

#[tokio::test]
async fn fleet_status() {
    let (server, router) = start_operator_port(STATUS).await;
    let text = status(&[router, silent_router()]).await.unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[0], "router-1: zuid-a, ready, sheet version 3, 2 queued, 7 running");
    assert_eq!(lines[1], "router-1: e1 is leaving");
    assert!(lines[2].starts_with("router-2: does not answer: "), "{text}");
    assert!(matches!(status(&[silent_router()]).await, Err(Error::Router { .. })));
    server.close().await;
}

#[tokio::test]
async fn crashing_parts() {
    let (server, router) = start_operator_port(STATUS).await;
    let text = list_parts(&[silent_router(), router.clone()]).await.unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert!(lines[0].starts_with("router-2: does not answer: "), "{text}");
    assert_eq!(lines[1], "router-1: engines bad blocked for 900 ms, 2 crashes");
    assert_eq!(lines[2], "router-1: engines 7 suspected, 1 crashes");
    let lifted = lift_part(&[silent_router(), router], "engines", "bad").await.unwrap();
    assert_eq!(lifted, "router-1: lifted\n");
    assert!(matches!(list_parts(&[silent_router()]).await, Err(Error::Router { .. })));
    assert!(matches!(list_parts(&[]).await, Err(Error::NoRouters)));
    server.close().await;
}

#[tokio::test]
async fn crashing_request() {
    let (server, router) = start_operator_port(STATUS).await;
    let text = list_requests(std::slice::from_ref(&router)).await.unwrap();
    assert_eq!(text, "router-1: 00000000000000ad blocked, may be tried, 2 crashes\n");
    let lifted = lift_request(&[silent_router(), router], "ad").await.unwrap();
    assert_eq!(lifted, "router-1: lifted\n");
    server.close().await;
}

/// One router cannot reach the platform nor a peer and goes on under an old sheet. An operator who
/// looks after the morning's sheet must be told.
#[tokio::test]
async fn versions_differ() {
    let (new, first) = start_operator_port(STATUS).await;
    let (old, second) = start_operator_port(r#"{"domain":"zuid-a","sheet_version":2}"#).await;
    let text = status(&[first, second]).await.unwrap();
    assert!(text.ends_with("the sheet is not the same everywhere: versions 2, 3\n"), "{text}");
    new.close().await;
    old.close().await;
}

#[tokio::test]
async fn explained_request() {
    let (server, router) = start_operator_port(STATUS).await;
    let routers = [silent_router(), router];
    assert_eq!(
        explain(&routers, "r1").await.unwrap(),
        "5 router-1 100 request_arrived team=goes\n\
         9 router-1 103 request_refused detail=queue_full\n"
    );
    for unknown in ["r2", "r9"] {
        let error = explain(&routers, unknown).await.unwrap_err();
        assert_eq!(
            error.to_string(),
            format!(
                "no router that answers knows the request \"{unknown}\"; these did not answer: \
                 router-2"
            )
        );
    }
    server.close().await;
}

#[tokio::test]
async fn drained_router() {
    let (server, router) = start_operator_port(STATUS).await;
    let routers = [router, silent_router()];
    assert!(drain(&routers, "router-1").await.unwrap().starts_with("router-1 is draining"));
    let error = drain(&routers, "router-7").await.unwrap_err();
    assert_eq!(error.to_string(), "no router is named \"router-7\"; known are: router-1, router-2");
    assert_eq!(exit_code(&error), 2);
    server.close().await;
}

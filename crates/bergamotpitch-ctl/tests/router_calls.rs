//! Status, explanations and drains are asked for at the routers' operator ports.

mod common;

use std::sync::Arc;

use bergamotpitch_ctl::errors::{Error, exit_code};
use bergamotpitch_ctl::operators::{drain, explain, status};
use bergamotpitch_ctl::settings::RouterEntry;
use bergamotpitch_standin::bodies::text_answer;
use bergamotpitch_standin::servers::{Server, serve};
use common::LOOPBACK;
use futures::FutureExt;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;

/// Starts a router's operator port that knows the request `r1` and drains.
async fn start_operator_port() -> (Server, RouterEntry) {
    let handler = Arc::new(|request: Request<Incoming>| {
        let answer = match (request.method(), request.uri().path()) {
            (&Method::GET, "/status") => text_answer(StatusCode::OK, "{\"sheet_version\":3}"),
            (&Method::GET, "/explain/r1") => text_answer(StatusCode::OK, "queued, then answered"),
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
    let (server, router) = start_operator_port().await;
    let text = status(&[router, silent_router()]).await.unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[0], "router-1: {\"sheet_version\":3}");
    assert!(lines[1].starts_with("router-2: does not answer: "), "{text}");
    assert!(matches!(status(&[silent_router()]).await, Err(Error::Router { .. })));
    server.close().await;
}

#[tokio::test]
async fn explained_request() {
    let (server, router) = start_operator_port().await;
    let routers = [silent_router(), router];
    assert_eq!(explain(&routers, "r1").await.unwrap(), "router-1: queued, then answered\n");
    let error = explain(&routers, "r9").await.unwrap_err();
    assert_eq!(
        error.to_string(),
        "no router that answers knows the request \"r9\"; these did not answer: router-2"
    );
    server.close().await;
}

#[tokio::test]
async fn drained_router() {
    let (server, router) = start_operator_port().await;
    let routers = [router, silent_router()];
    assert!(drain(&routers, "router-1").await.unwrap().starts_with("router-1 is draining"));
    let error = drain(&routers, "router-7").await.unwrap_err();
    assert_eq!(error.to_string(), "no router is named \"router-7\"; known are: router-1, router-2");
    assert_eq!(exit_code(&error), 2);
    server.close().await;
}

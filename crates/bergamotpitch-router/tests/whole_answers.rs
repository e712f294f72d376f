//! Streamed and plain calls travel through a router and come back whole.

mod common;

use common::engines::{FakeUpstream, plain, whole_events};
use common::{Fleet, KEY, Upstreams, request_id, text};
use http::{Method, Request, StatusCode};
use http_body_util::Full;

#[tokio::test]
async fn streamed_answer() {
    let engine = FakeUpstream::start(|_, _| Box::pin(async { whole_events(5) })).await;
    let upstreams = Upstreams { engines: vec![engine.address], ..Upstreams::default() };
    let fleet = Fleet::start(&upstreams).await;
    let response = fleet.chat().await;
    assert_eq!(response.status(), StatusCode::OK);
    let id = request_id(&response);
    let answer = text(response).await;
    for number in 1..=5 {
        assert!(answer.contains(&format!("t{number} ")), "{answer}");
    }
    assert!(answer.ends_with("data: [DONE]\n\n"), "{answer}");
    let seen = engine.seen();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].path, "/v1/chat/completions");
    assert_eq!(seen[0].headers["x-request-id"], id.as_str());
    assert!(!seen[0].headers.contains_key("authorization"));
    // 7 prompt tokens of cost 1 and 5 generated ones of cost 4.
    fleet.wait_for("the cost is settled", |status| status["teams"][0]["service_cost"] == 27).await;
    assert_eq!(
        fleet.explain(&id).await,
        ["request_arrived", "request_dispatched", "request_answered"]
    );
    fleet.router.close().await;
}

#[tokio::test]
async fn plain_call() {
    let upstream = FakeUpstream::start(|seen, _| {
        Box::pin(async move {
            let mut response = plain(&format!("{} {}", seen.method, seen.path));
            *response.status_mut() = StatusCode::CREATED;
            response
        })
    })
    .await;
    let upstreams = Upstreams { plain: vec![upstream.address], ..Upstreams::default() };
    let fleet = Fleet::start(&upstreams).await;
    let request = Request::builder()
        .method(Method::PUT)
        .uri(fleet.url("/florist-crm-api/orders/7?notify=yes"))
        .header("authorization", format!("bearer {KEY}"))
        .body(Full::from("wreath"))
        .expect("a request");
    let response = fleet.send(request).await;
    assert_eq!(response.status(), StatusCode::CREATED);
    assert_eq!(text(response).await, "PUT /orders/7?notify=yes");
    assert_eq!(upstream.seen()[0].body, "wreath");
    fleet.router.close().await;
}

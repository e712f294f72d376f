//! Streams that break are resumed where they broke, or end as cut.

mod common;

use common::engines::{FakeUpstream, broken, events, last_events, token};
use common::{Fleet, PATIENCE, Upstreams, text};
use http::StatusCode;
use http_body_util::BodyExt;

/// The connection to an engine breaks in the middle of an answer. The engine still holds the
/// request; the caller sees one whole answer, each token once, also when the engine repeats some.
#[tokio::test]
async fn broken_connection() {
    let engine = FakeUpstream::start(|seen, _| {
        Box::pin(async move {
            let last_id =
                seen.headers.get("last-event-id").map(|id| id.to_str().unwrap_or("").to_owned());
            let list = match last_id.as_deref() {
                None => vec![Ok(token(1)), Ok(token(2)), Err(broken())],
                // This engine begins one event too early.
                Some("2") => vec![Ok(token(2)), Ok(token(3)), Err(broken())],
                Some("3") => vec![Ok(token(4)), Ok(last_events(5))],
                Some(other) => panic!("resumed after {other}"),
            };
            events(futures::stream::iter(list))
        })
    })
    .await;
    let upstreams = Upstreams { engines: vec![engine.address], ..Upstreams::default() };
    let fleet = Fleet::start(&upstreams).await;
    let response = fleet.chat().await;
    let answer = text(response).await;
    for number in 1..=4 {
        assert_eq!(answer.matches(&format!("t{number} ")).count(), 1, "{answer}");
    }
    assert!(answer.ends_with("data: [DONE]\n\n"), "{answer}");
    let seen = engine.seen();
    assert_eq!(seen.len(), 3);
    assert!(seen.iter().all(|one| one.headers["x-request-id"] == seen[0].headers["x-request-id"]));
    assert!(seen.iter().all(|one| one.body == seen[0].body));
    fleet.router.close().await;
}

/// The engine is gone for good in the middle of an answer, or ends its stream early as if all were
/// well. The caller's connection must break: a clean end would pass for a whole answer.
#[tokio::test]
async fn lost_engine() {
    let engine = FakeUpstream::start(|seen, _| {
        Box::pin(async move {
            if seen.headers.contains_key("last-event-id") {
                let mut response = common::engines::plain("unknown request");
                *response.status_mut() = StatusCode::NOT_FOUND;
                return response;
            }
            events(futures::stream::iter([Ok(token(1)), Ok(token(2))]))
        })
    })
    .await;
    let upstreams = Upstreams { engines: vec![engine.address], ..Upstreams::default() };
    let fleet = Fleet::start(&upstreams).await;
    let response = fleet.chat().await;
    assert_eq!(response.status(), StatusCode::OK);
    let id = common::request_id(&response);
    let body = tokio::time::timeout(PATIENCE, response.into_body().collect()).await;
    assert!(body.expect("the body ends in time").is_err(), "a cut answer ended cleanly");
    let explained = fleet.explain(&id).await;
    assert_eq!(explained, ["request_arrived", "request_dispatched", "answer_cut"]);
    fleet.wait_for("the slot is free", |status| status["running_requests"] == 0).await;
    fleet.router.close().await;
}

/// A plain answer that is too long to be held breaks in the middle. The caller's connection must
/// break as well.
#[tokio::test]
async fn long_plain_answer() {
    let crm = FakeUpstream::start(|_, _| {
        Box::pin(async {
            let list = [Ok("x".repeat(100_000)), Err(broken())];
            let mut response = events(futures::stream::iter(list));
            response.headers_mut().remove("content-type");
            response
        })
    })
    .await;
    let fleet = Fleet::start(&Upstreams { plain: vec![crm.address], ..Upstreams::default() }).await;
    let request = common::plain_request("GET", &fleet.url("/florist-crm-api/report"), "");
    let response = fleet.send(request).await;
    let body = tokio::time::timeout(PATIENCE, response.into_body().collect()).await;
    assert!(body.expect("the body ends in time").is_err(), "a cut answer ended cleanly");
    fleet.router.close().await;
}

//! A drain cuts nothing that is in flight and refuses nothing that it took in.

mod common;

use std::time::Duration;

use bergamotpitch_core::settings::RouterSettings;
use bergamotpitch_router::Options;
use common::engines::{FakeUpstream, events, last_events, token};
use common::{Fleet, Upstreams, assert_refused, text};
use futures::StreamExt;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A router is told to stop, as in each rollout, while answers stream and requests wait. The answers
/// must reach their callers whole, what waits must be served, and what comes later must hear that it
/// did not run and may go to another instance.
#[tokio::test]
async fn streams_and_queue() {
    let (release, released) = watch::channel(false);
    let engine = FakeUpstream::start(move |_, _| {
        let mut released = released.clone();
        Box::pin(async move {
            let rest = futures::stream::once(async move {
                let _ = released.wait_for(|released| *released).await;
                Ok(format!("{}{}", token(2), last_events(3)))
            });
            events(futures::stream::iter([Ok(token(1))]).chain(rest))
        })
    })
    .await;
    let upstreams = Upstreams { engines: vec![engine.address], ..Upstreams::default() };
    let fleet = Fleet::start_with(&upstreams, Options::default()).await;
    let mut running = fleet.chat().await;
    running.body_mut().frame().await.expect("a first frame").expect("it is whole");
    let waiting = fill_slots(&fleet).await;
    let operators = format!("http://{}", fleet.router.operator_address());
    let drain = Request::post(format!("{operators}/drain")).body(Full::default());
    assert_eq!(fleet.send(drain.expect("a request")).await.status(), StatusCode::ACCEPTED);
    let ready = Request::get(format!("{operators}/ready")).body(Full::default());
    let ready = fleet.send(ready.expect("a request")).await;
    assert_eq!(ready.status(), StatusCode::SERVICE_UNAVAILABLE);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let late = fleet.chat().await;
    let problem = assert_refused(late, StatusCode::SERVICE_UNAVAILABLE, "draining").await;
    assert_eq!(problem["ran"], "not_run");
    let closing = tokio::spawn(fleet.router.close());
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!closing.is_finished(), "the router left while answers streamed");
    release.send_replace(true);
    assert!(text(running).await.ends_with("data: [DONE]\n\n"));
    for answer in waiting {
        let answer = answer.await.expect("the caller runs").expect("an answer");
        assert!(answer.ends_with("data: [DONE]\n\n"), "{answer}");
    }
    tokio::time::timeout(common::PATIENCE, closing).await.expect("it leaves").expect("in order");
}

/// Answers stream for longer than a drain may take. The process has to go: what still waits must hear
/// that it did not run, and the caller of the stream must see that its answer is cut.
#[tokio::test]
async fn limit_passed() {
    let engine = FakeUpstream::start(|_, _| {
        Box::pin(async {
            events(futures::stream::iter([Ok(token(1))]).chain(futures::stream::pending()))
        })
    })
    .await;
    let upstreams = Upstreams { engines: vec![engine.address], ..Upstreams::default() };
    let change = |settings: &mut RouterSettings| settings.drain_limit_ms = 300;
    let fleet = Fleet::start_changed(&upstreams, Options::default(), change).await;
    let running = fleet.chat().await;
    let mut waiting = fill_slots(&fleet).await;
    let last = waiting.pop().expect("a caller that waits");
    let closing = tokio::spawn(fleet.router.close());
    let refusal = tokio::time::timeout(common::PATIENCE, last).await.expect("it is answered");
    let refusal = refusal.expect("the caller runs").expect("a whole answer");
    assert!(refusal.contains(r#""reason":"draining","ran":"not_run""#), "{refusal}");
    tokio::time::timeout(common::PATIENCE, closing).await.expect("it leaves").expect("in order");
    drop((running, waiting));
}

/// Sends requests beside the one that runs until one of them has to wait; it is the last.
async fn fill_slots(fleet: &Fleet) -> Vec<JoinHandle<Option<String>>> {
    let url = fleet.url("/bergamot-llm/v1/chat/completions");
    let mut waiting = Vec::new();
    while fleet.status().await["queued_requests"] == 0 {
        waiting.push(tokio::spawn(common::read_chat(url.clone())));
        let count = waiting.len() + 1;
        fleet
            .wait_for("the request is known", |status| {
                let known = |field: &str| status[field].as_u64().unwrap_or_default() as usize;
                known("queued_requests") + known("running_requests") == count
            })
            .await;
    }
    waiting
}

//! Callers that leave free what their requests hold.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::engines::{FakeUpstream, events, token};
use common::{Fleet, PATIENCE, Upstreams, request_id};
use futures::StreamExt;
use http_body_util::BodyExt;

struct Closed(Arc<AtomicBool>);

impl Drop for Closed {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Release);
    }
}

/// A caller closes its connection in the middle of a stream, as a browser does when its tab is
/// closed. If the engine went on, the slot would be paid for and idle for everybody else.
#[tokio::test]
async fn mid_stream() {
    let closed = Arc::new(AtomicBool::new(false));
    let seen_closed = Arc::clone(&closed);
    let engine = FakeUpstream::start(move |_, _| {
        let held = Closed(Arc::clone(&seen_closed));
        let endless = futures::stream::unfold((1, held), |(id, held)| async move {
            tokio::time::sleep(Duration::from_millis(2)).await;
            Some((Ok(token(id)), (id + 1, held)))
        });
        Box::pin(async { events(endless) })
    })
    .await;
    let upstreams = Upstreams { engines: vec![engine.address], ..Upstreams::default() };
    let fleet = Fleet::start(&upstreams).await;
    let mut response = fleet.chat().await;
    let id = request_id(&response);
    response.body_mut().frame().await.expect("a first frame").expect("it is whole");
    drop(response);
    fleet.wait_for("the slot is free", |status| status["running_requests"] == 0).await;
    let cancelled = async {
        while !closed.load(Ordering::Acquire) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, cancelled).await.expect("the engine's connection is closed");
    assert_eq!(fleet.explain(&id).await, ["request_arrived", "request_dispatched", "caller_left"]);
    fleet.router.close().await;
}

/// A caller leaves while its request still waits. The request must not be sent to an engine for
/// nobody.
#[tokio::test]
async fn while_queued() {
    let engine = FakeUpstream::start(|_, _| {
        Box::pin(async {
            let first = futures::stream::once(async { Ok(token(1)) });
            events(first.chain(futures::stream::pending()))
        })
    })
    .await;
    let upstreams = Upstreams { engines: vec![engine.address], ..Upstreams::default() };
    let fleet = Fleet::start(&upstreams).await;
    let url = fleet.url("/bergamot-llm/v1/chat/completions");
    let mut callers = Vec::new();
    while fleet.status().await["queued_requests"] == 0 {
        callers.push(tokio::spawn(common::send_chat(url.clone())));
        let count = callers.len();
        fleet
            .wait_for("the request is known", |status| {
                let known = |field: &str| status[field].as_u64().unwrap_or_default() as usize;
                known("queued_requests") + known("running_requests") == count
            })
            .await;
    }
    let running = callers.len() - 1;
    callers.pop().expect("a caller that waits").abort();
    fleet.wait_for("it is forgotten", |status| status["queued_requests"] == 0).await;
    callers.iter().for_each(tokio::task::JoinHandle::abort);
    fleet.wait_for("all slots are free", |status| status["running_requests"] == 0).await;
    assert_eq!(engine.seen().len(), running);
    fleet.router.close().await;
}

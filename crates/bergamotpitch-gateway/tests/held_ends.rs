//! Answers without a length whose ends come late: the process that wrote them may be gone, and another one in its place.

mod common;

use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::registries::Registration;
use bergamotpitch_gateway::Gateway;
use common::instances::Instance;
use common::links::{Life, Link};
use common::{
    FakeUpstream, Got, ask, events_text, registration, request, run, start, stream_end,
    stream_head, whole,
};

const STREAM: &str = "text/event-stream";
const JSON: &str = "application/json";

/// For how long links are cut, and instances stand still.
const HOLD_UP: Duration = Duration::from_millis(600);

fn listed(link: &Link, born_ms: Option<u64>) -> Registration {
    Registration { born_ms, ..registration("i-1", link.address) }
}

/// Goes on with streams after their third event, and answers in full.
async fn good(path: &str) -> FakeUpstream {
    let acts = match path {
        "/resumed/" | "/stream/" => {
            let events = (4..=6).map(common::event);
            [stream_head()].into_iter().chain(events).chain([stream_end()]).collect()
        }
        _ => vec![whole("200 OK", "all of it")],
    };
    FakeUpstream::start(Box::new(move |_| acts.clone())).await
}

/// What becomes of a process while its link is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    /// It ends its answers in order and goes on.
    Finishes,
    /// It crashes, and a process with an id and a start listens in its place.
    Replaced(&'static str, Option<u64>),
    /// It crashes, and something listens there that does not say who it is.
    Unclear,
}

async fn until(holds: impl Fn() -> bool) {
    for _ in 0..300 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("it does not come to hold");
}

/// Asks on a path at a gateway with an upstream behind a link that is cut during its answer; returns what came, and
/// how many requests went elsewhere.
async fn ask_cut(path: &'static str, kind: &'static str, body: &str, fate: Fate) -> (Got, usize) {
    let life = Life::start("i-1", Some(7), kind, body).await;
    let link = Link::start(life.address).await;
    let (gateway, address) = start(&[]).await;
    gateway.read_list_with(Box::new(|| Box::pin(async { true })));
    gateway.upstream_listed(listed(&link, Some(7)));
    let asked = tokio::task::spawn_local(ask(address, request("POST", path, "one")));
    until(|| life.count() == 1).await;
    let other = good(path).await;
    gateway.upstream_listed(registration("i-2", other.address));
    // What was written before the cut has come.
    tokio::time::sleep(Duration::from_millis(100)).await;
    link.cut();
    let stranger = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "hello")])).await;
    let mut next = None;
    match fate {
        Fate::Finishes => life.finish(),
        Fate::Replaced(id, born_ms) => {
            let replaced = next.insert(Life::start(id, born_ms, kind, body).await);
            link.lead_to(replaced.address);
            life.end();
        }
        Fate::Unclear => {
            link.lead_to(stranger.address);
            life.end();
        }
    }
    tokio::time::sleep(HOLD_UP).await;
    link.heal();
    let got = asked.await.unwrap().unwrap();
    (got, other.count())
}

const LOST: [Fate; 4] = [
    Fate::Replaced("i-9", Some(8)),
    Fate::Replaced("i-1", Some(8)),
    Fate::Replaced("i-9", None),
    Fate::Unclear,
];

/// Guards against a stream that lacks events and passes for whole: its upstream crashed behind a link that was cut, and
/// another process listens at its address by the time that the end is read.
#[test]
fn crashed_behind_cut() {
    run(async {
        let events = events_text(1, 3);
        let large = format!("id: 3\ndata: {}\n\n", "x".repeat(8 << 10)).repeat(384);
        for fate in LOST {
            for body in [&events, &large] {
                let (got, elsewhere) = ask_cut("/resumed/", STREAM, body, fate).await;
                assert!(got.is_whole, "{fate:?}");
                let expected = format!("{body}{}", events_text(4, 6));
                assert!(got.body == expected, "{fate:?}: {} bytes", got.body.len());
                assert_eq!(elsewhere, 1);
            }
            let (got, elsewhere) = ask_cut("/stream/", STREAM, &events, fate).await;
            assert_eq!((got.body, got.is_whole, elsewhere), (events.clone(), false, 0), "{fate:?}");
        }
    });
}

/// Guards against the same in an answer that is no stream.
#[test]
fn whole_body_behind_cut() {
    run(async {
        for fate in LOST {
            let (got, elsewhere) = ask_cut("/once/", JSON, "{\"part\":", fate).await;
            assert_eq!((got.status, elsewhere), (502, 0), "{fate:?}: {}", got.body);
            let (got, _) = ask_cut("/safe/", JSON, "{\"part\":", fate).await;
            assert_eq!((got.status, got.body.as_str()), (200, "all of it"), "{fate:?}");
        }
    });
}

/// Guards against answers that are broken off for nothing: their link was cut, and they ended in order.
#[test]
fn finished_behind_cut() {
    run(async {
        for path in ["/resumed/", "/stream/"] {
            let (got, elsewhere) = ask_cut(path, STREAM, &events_text(1, 6), Fate::Finishes).await;
            assert_eq!((got.body, got.is_whole, elsewhere), (events_text(1, 6), true, 0));
        }
        for path in ["/once/", "/safe/"] {
            let (got, _) = ask_cut(path, JSON, "{}", Fate::Finishes).await;
            assert_eq!((got.status, got.body.as_str(), got.is_whole), (200, "{}", true));
        }
    });
}

/// Guards against the same faults where no link was cut, and the instance itself stood still meanwhile.
#[test]
fn stood_still() {
    run(async {
        for fate in [Fate::Replaced("i-9", Some(8)), Fate::Finishes] {
            let life = Life::start("i-1", Some(7), STREAM, &events_text(1, 3)).await;
            let link = Link::start(life.address).await;
            let instance = Instance::start();
            instance.list(&[listed(&link, Some(7))]).await;
            let path = "/stream/";
            let asked = ask(instance.address, request("POST", path, "one"));
            let asked = tokio::task::spawn_local(asked);
            until(|| life.count() == 1).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            let stand_still = |_: &Rc<Gateway>| std::thread::sleep(HOLD_UP);
            let still = instance.with(stand_still);
            let next = Life::start("i-9", Some(8), STREAM, "").await;
            let change = async {
                tokio::time::sleep(HOLD_UP / 3).await;
                match fate {
                    Fate::Finishes => life.finish(),
                    _ => {
                        link.lead_to(next.address);
                        life.end();
                    }
                }
            };
            tokio::join!(still, change);
            let got = asked.await.unwrap().unwrap();
            let is_whole = fate == Fate::Finishes;
            assert_eq!((got.body, got.is_whole), (events_text(1, 3), is_whole), "{fate:?}");
        }
    });
}

//! Streams go on only at the version of the upstreams' software that began them.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_control::traffic::catalogs::{Catalog, RouteKind, Target};
use bergamotpitch_control::traffic::registries::Registration;
use bergamotpitch_control::traffic::software_versions::software_id;
use bergamotpitch_gateway::drains;
use bergamotpitch_gateway::messages::{Body, OriginReply};
use bergamotpitch_gateway::peers::PeerAddress;
use common::fake_peers::FakePeer;
use common::instances::{Instance, introduce};
use common::{
    Act, FakeUpstream, Got, ask, connect, event, events_text, not_run, request, run, stream_end,
    stream_head,
};
use http::{HeaderValue, Request};
use http_body_util::{BodyExt, Full};

fn listed(id: &str, upstream: &FakeUpstream, software: &str) -> Registration {
    Registration {
        software: Some(software.to_owned()),
        ..common::registration(id, upstream.address)
    }
}

fn events(from: u32, to: u32) -> Vec<Act> {
    (from..=to).map(event).collect()
}

async fn breaking() -> FakeUpstream {
    let script = |_| {
        [vec![stream_head()], events(1, 3), vec![Act::Pause(Duration::from_millis(80)), Act::Reset]]
            .concat()
    };
    FakeUpstream::start(Box::new(script)).await
}

async fn endless() -> FakeUpstream {
    FakeUpstream::start(Box::new(|_| [vec![stream_head()], events(1, 3), vec![Act::Hang]].concat()))
        .await
}

async fn finishing() -> FakeUpstream {
    let script = |_| [vec![stream_head()], events(4, 6), vec![stream_end()]].concat();
    FakeUpstream::start(Box::new(script)).await
}

fn resumption(id: &str, of: Option<&str>) -> Request<Full<bytes::Bytes>> {
    let mut request = request("POST", "/resumed/", id);
    request.headers_mut().insert("last-event-id", HeaderValue::from_static("3"));
    if let Some(of) = of {
        request.headers_mut().insert("x-resumes", HeaderValue::from_str(of).unwrap());
    }
    request
}

/// Begins a stream and reads its first three events.
async fn begin(address: SocketAddr, id: &str) -> impl Sized {
    let mut sender = connect(address).await;
    let response = sender.send_request(request("POST", "/resumed/", id)).await.unwrap();
    let mut body = response.into_body();
    let mut text = String::new();
    while text != events_text(1, 3) {
        let data = body.frame().await.unwrap().unwrap().into_data().unwrap();
        text.push_str(std::str::from_utf8(&data).unwrap());
    }
    (sender, body)
}

fn peer_at(address: SocketAddr) -> PeerAddress {
    PeerAddress {
        instance: 7,
        domain: "a".to_owned(),
        beat_address: address,
        relay_address: address,
        processor_millis: 1_000,
    }
}

/// Lets a peer reply to a query that it knows one version, and not the stream.
async fn reply_of_one(peer: &FakePeer, version: &str) {
    let find = |body| if let Body::OriginQuery(query) = body { Some(query) } else { None };
    let query = peer.next(find).await;
    let reply = OriginReply {
        number: query.number,
        line: None,
        is_mixed: false,
        only_software: Some(software_id(Some(version))),
        may_be_told: false,
    };
    peer.send(Body::OriginReply(reply)).await;
}

/// Waits until what instances tell each other has arrived.
async fn settle() {
    tokio::time::sleep(Duration::from_millis(200)).await;
}

fn refused(got: Option<Got>) -> bool {
    got.is_some_and(|got| got.status == 503)
}

/// Guards against an answer that holds events of two versions, as an engine crashed and another one
/// had room.
#[test]
fn joined_within_answer() {
    run(async {
        for has_other in [true, false] {
            let (old, new, other) = (breaking().await, finishing().await, finishing().await);
            let (gateway, address) = common::start(&[]).await;
            gateway.upstream_listed(listed("old", &old, "v1"));
            let asked = tokio::task::spawn_local(ask(address, request("POST", "/resumed/", "one")));
            tokio::time::sleep(Duration::from_millis(40)).await;
            gateway.upstream_listed(listed("new", &new, "v2"));
            if has_other {
                gateway.upstream_listed(listed("other", &other, "v1"));
            }
            let got = asked.await.unwrap().unwrap();
            assert_eq!(new.count(), 0, "it went on at another version");
            assert_eq!(got.is_whole, has_other);
            assert_eq!(got.body, events_text(1, if has_other { 6 } else { 3 }));
        }
    });
}

/// Guards against a caller that comes back to another instance, which joins its stream from two
/// versions, as the instance that began the stream was killed.
#[test]
fn joined_after_kill() {
    run(async {
        let (old, new, other) = (endless().await, finishing().await, finishing().await);
        let first = Instance::start_in("a");
        let others = ["a", "a", "b", "b", "b"].map(Instance::start_in);
        let all: Vec<&Instance> = [&first].into_iter().chain(&others).collect();
        introduce(&all).await;
        first.list(&[listed("old", &old, "v1")]).await;
        let earlier = begin(first.address, "earlier").await;
        first.list(&[listed("new", &new, "v2")]).await;
        let later = begin(first.address, "later").await;
        for instance in &others {
            instance.list(&[listed("new", &new, "v2"), listed("other", &other, "v1")]).await;
        }
        settle().await;
        assert_eq!((old.count(), new.count()), (2, 0));
        first.kill();
        drop((earlier, later));
        for instance in &others {
            for begun in ["earlier", "later"] {
                let got = ask(instance.address, resumption("again", Some(begun))).await.unwrap();
                assert_eq!((got.body, got.is_whole), (events_text(4, 6), true), "{begun}");
            }
        }
        assert_eq!((new.count(), other.count()), (0, 10), "it went on at another version");
    });
}

/// Guards against streams that nobody can go on with after a rolling restart, in which each instance that knew
/// their beginning started anew. Each one is killed while it drains.
#[test]
fn restarted_in_turn() {
    run(async {
        let (old, new, other) = (endless().await, finishing().await, finishing().await);
        let domains = ["a", "a", "a", "b", "b", "c"];
        let mut fleet: Vec<Instance> =
            domains.iter().map(|name| Instance::start_in(name)).collect();
        introduce(&fleet.iter().collect::<Vec<_>>()).await;
        fleet[0].list(&[listed("old", &old, "v1")]).await;
        let stream = begin(fleet[0].address, "one").await;
        let all = [listed("new", &new, "v2"), listed("other", &other, "v1")];
        for instance in &fleet {
            instance.list(&all).await;
        }
        settle().await;
        for domain in domains {
            let leaving = fleet.remove(0);
            leaving
                .with(|gateway| {
                    let gateway = std::rc::Rc::clone(gateway);
                    tokio::task::spawn_local(async move { drains::drain(&gateway).await });
                })
                .await;
            settle().await;
            leaving.kill();
            fleet.push(Instance::start_in(domain));
            introduce(&fleet.iter().collect::<Vec<_>>()).await;
            fleet[domains.len() - 1].list(&all).await;
            settle().await;
        }
        drop(stream);
        for instance in &fleet {
            let got = ask(instance.address, resumption("again", Some("one"))).await.unwrap();
            assert_eq!((got.body, got.is_whole), (events_text(4, 6), true));
        }
        assert_eq!((new.count(), other.count()), (0, domains.len()));
    });
}

/// Guards against a stream that goes on at the only version that an instance knows which was cut off
/// from all others before another one appeared: from the first moment on, whoever else replies.
#[test]
fn joined_by_isolated() {
    run(async {
        let old = finishing().await;
        let (gateway, address) = common::start(&[]).await;
        gateway.upstream_listed(listed("old", &old, "v1"));
        let silent = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
        gateway.replace_peers(vec![peer_at(silent.local_addr().unwrap())]);
        assert!(ask(address, resumption("a", Some("unheard"))).await.unwrap().is_whole);
        gateway.read_list_with(Box::new(|| Box::pin(async { false })));
        let refusal = ask(address, resumption("b", Some("unheard"))).await.unwrap();
        assert_eq!((refusal.status, old.count()), (503, 1));
        assert_eq!(refusal.headers["retry-after"], "0.500");
        assert_eq!(ask(address, request("POST", "/resumed/", "c")).await.unwrap().status, 200);

        let also_cut_off = FakePeer::start(7, &gateway).await;
        gateway.replace_peers(vec![also_cut_off.address("b")]);
        let asked = tokio::task::spawn_local(ask(address, resumption("d", Some("unheard"))));
        reply_of_one(&also_cut_off, "v1").await;
        assert_eq!(asked.await.unwrap().unwrap().status, 503);
    });
}

/// Guards against an answer that holds events of two versions, as another one appears while it is found out whether
/// the upstream which broke it off has ended.
#[test]
fn joined_while_broken() {
    run(async {
        let (old, new) = (breaking().await, finishing().await);
        let (gateway, address) = common::start(&[]).await;
        gateway.upstream_listed(listed("old", &old, "v1"));
        let asked = tokio::task::spawn_local(ask(address, request("POST", "/resumed/", "a")));
        tokio::time::sleep(Duration::from_millis(88)).await;
        gateway.upstream_listed(listed("new", &new, "v2"));
        let got = asked.await.unwrap().unwrap();
        assert_eq!((got.body, got.is_whole, new.count()), (events_text(1, 3), false, 0));
    });
}

/// Guards against a stream that its caller takes up at another version, as it was about to go on there when it broke
/// off, and others hold that for its beginning.
#[test]
fn overwritten_origin() {
    run(async {
        let (old, new) = (breaking().await, finishing().await);
        let (gateway, address) = common::start(&[]).await;
        gateway.upstream_listed(listed("old", &old, "v1"));
        let asked = tokio::task::spawn_local(ask(address, request("POST", "/resumed/", "a")));
        tokio::time::sleep(Duration::from_millis(88)).await;
        gateway.upstream_listed(listed("new", &new, "v2"));
        assert_eq!(asked.await.unwrap().unwrap().body, events_text(1, 3));
        ask(address, resumption("a2", Some("a"))).await;
        assert_eq!(new.count(), 0, "it goes on at the other version");
    });
}

/// Guards against streams that go on nowhere, as their instance was killed while the store was away: nobody can tell
/// then that one version serves, but those that were told where each stream began.
#[test]
fn told_in_outage() {
    run(async {
        let (old, other) = (endless().await, finishing().await);
        let first = Instance::start_in("a");
        let others = ["a", "b", "b"].map(Instance::start_in);
        let all: Vec<&Instance> = [&first].into_iter().chain(&others).collect();
        introduce(&all).await;
        first.list(&[listed("old", &old, "v1")]).await;
        let earlier = begin(first.address, "earlier").await;
        first.with(|gateway| gateway.note_list_lost()).await;
        let later = begin(first.address, "later").await;
        for instance in &others {
            instance.list(&[listed("other", &other, "v1")]).await;
        }
        settle().await;
        first.kill();
        drop((earlier, later));
        for instance in &others {
            for begun in ["earlier", "later"] {
                let got = ask(instance.address, resumption("again", Some(begun))).await.unwrap();
                assert_eq!((got.body, got.is_whole), (events_text(4, 6), true), "{begun}");
            }
        }
    });
}

/// Guards against a stream that goes on at another version because somebody remembers one version for long: its list
/// is older than a release, and the instance that asks has started after it.
#[test]
fn outdated_witness() {
    run(async {
        let new = finishing().await;
        let (gateway, address) = common::start(&[]).await;
        gateway.upstream_listed(listed("new", &new, "v2"));
        let witness = FakePeer::start(7, &gateway).await;
        gateway.replace_peers(vec![witness.address("b")]);
        for (version, status, sent) in [("v1", 503, 0), ("v2", 200, 1)] {
            let asked = tokio::task::spawn_local(ask(address, resumption("a", Some("unheard"))));
            reply_of_one(&witness, version).await;
            assert_eq!((asked.await.unwrap().unwrap().status, new.count()), (status, sent));
        }
    });
}

/// Guards against a stream that waits, or goes on elsewhere, when the last upstreams of its version leave.
#[test]
fn version_gone() {
    run(async {
        let (old, new) = (endless().await, finishing().await);
        let (gateway, address) = common::start(&[]).await;
        gateway.upstream_listed(listed("old", &old, "v1"));
        let stream = begin(address, "one").await;
        gateway.upstream_listed(listed("new", &new, "v2"));
        let leaving = Registration { is_leaving: true, ..listed("old", &old, "v1") };
        gateway.upstream_listed(leaving);
        drop(stream);
        let refusal = ask(address, resumption("again", Some("one"))).await.unwrap();
        assert_eq!((refusal.status, new.count()), (503, 0));
        assert!(refusal.body.contains("stream_version_gone"), "{}", refusal.body);
        assert!(!refusal.headers.contains_key("retry-after"), "it will not be possible later");
    });
}

/// Guards against a stream that goes on at a version that nobody knows to be its own.
#[test]
fn joined_by_guess() {
    run(async {
        let (old, new) = (finishing().await, finishing().await);
        let (gateway, address) = common::start(&[]).await;
        gateway.upstream_listed(listed("old", &old, "v1"));
        assert!(ask(address, resumption("a", Some("unheard"))).await.unwrap().is_whole);
        assert!(ask(address, resumption("b", None)).await.unwrap().is_whole);
        gateway.upstream_listed(listed("new", &new, "v2"));
        let sent = old.count() + new.count();
        assert!(refused(ask(address, resumption("c", Some("unheard"))).await));
        assert!(refused(ask(address, resumption("d", None)).await));
        assert!(refused(ask(address, resumption("e", Some("\u{e9}"))).await));
        assert_eq!(old.count() + new.count(), sent, "a stream of an unknown version was sent");
        let fresh = ask(address, request("POST", "/resumed/", "f")).await.unwrap();
        assert_eq!(fresh.status, 200, "a stream that begins was refused");
    });
}

/// Guards against a stream that goes on at another service than the one that began it, as the services of
/// its route are drawn anew for each attempt.
#[test]
fn other_service() {
    run(async {
        let (one, two) = (finishing().await, finishing().await);
        let mut split = common::route("/resumed/", RouteKind::Streaming);
        split.is_resumable = true;
        split.targets.push(Target { service: "second".to_owned(), weight: 1 });
        let services = ["all", "second"].map(common::service);
        let (gateway, address) =
            common::start_with(&[], Catalog::new(1, vec![split], services.to_vec(), vec![])).await;
        gateway.upstream_listed(listed("one", &one, "v1"));
        let second = Registration { service: "second".to_owned(), ..listed("two", &two, "v1") };
        gateway.upstream_listed(second);
        for stream in ["a", "b", "c", "d", "e", "f"] {
            let before = (one.count(), two.count());
            ask(address, request("POST", "/resumed/", stream)).await.unwrap();
            let is_first = one.count() != before.0;
            let before = (one.count(), two.count());
            for again in ["g", "h", "i"] {
                ask(address, resumption(again, Some(stream))).await.unwrap();
            }
            let expected = if is_first { (3, 0) } else { (0, 3) };
            assert_eq!((one.count() - before.0, two.count() - before.1), expected);
        }
        assert!(0 < one.count() && 0 < two.count());
    });
}

/// Guards against streams that go on at the version of an attempt which failed before its first event: whoever was
/// told of it, and not of the next one, believes the first.
#[test]
fn retried_elsewhere() {
    run(async {
        for has_other in [true, false] {
            let failing = FakeUpstream::start(Box::new(|_| vec![not_run()])).await;
            let (new, other) = (finishing().await, finishing().await);
            let (gateway, address) = common::start(&[]).await;
            let keeper = FakePeer::start(7, &gateway).await;
            gateway.replace_peers(vec![keeper.address("a")]);
            gateway.upstream_listed(listed("old", &failing, "v1"));
            gateway.upstream_listed(listed("new", &new, "v2"));
            if has_other {
                gateway.upstream_listed(listed("other", &other, "v1"));
            }
            for number in 0..12 {
                let (before, begun) = (failing.count(), new.count());
                ask(address, request("POST", "/resumed/", &format!("n{number}"))).await;
                let is_retried = before < failing.count();
                assert!(!is_retried || new.count() == begun, "it began at the other version");
            }
            assert!(0 < failing.count());
            assert_eq!(0 < other.count(), has_other);
        }
    });
}

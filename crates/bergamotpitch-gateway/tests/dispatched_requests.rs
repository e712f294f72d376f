//! Requests on which the dispatcher of the domain decides.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::crash_suspects::SuspectId;
use bergamotpitch_control::traffic::engine_loads::Work;
use bergamotpitch_control::traffic::evacuations::EvacuationOrder;
use bergamotpitch_control::traffic::placement_requests::{Decision, Placement};
use bergamotpitch_control::traffic::registries::Registration;
use bergamotpitch_control::traffic::request_digests::RequestContent;
use bergamotpitch_control::traffic::software_versions::software_id;
use bergamotpitch_control::traffic::team_windows::ShareClass;
use bergamotpitch_control::traffic::upstream_candidates::Limit;
use bergamotpitch_control::traffic::warm_ups::GRANT_VALIDITY;
use bergamotpitch_core::ids::{InstanceId, id_of_name};
use bergamotpitch_gateway::Gateway;
use bergamotpitch_gateway::messages::{Body, CrashLine, ProgressEvent, ReplyOutcome};
use common::fake_peers::FakePeer;
use common::{
    Act, FakeUpstream, ask, event, events_text, prompt, prompt_of, registration, request, run,
    start_small, stream_end, stream_head, whole,
};

const DISPATCHER: InstanceId = 7;
const REMOTE: InstanceId = 8;

async fn domain_of_two(upstream: &FakeUpstream) -> (Rc<Gateway>, SocketAddr, FakePeer, FakePeer) {
    let (gateway, address) = start_small(&[upstream]).await;
    let dispatcher = FakePeer::start(DISPATCHER, &gateway).await;
    let remote = FakePeer::start(REMOTE, &gateway).await;
    gateway.replace_peers(vec![dispatcher.address("a"), remote.address("b")]);
    assert_eq!(gateway.role().dispatcher, Some(DISPATCHER));
    (gateway, address, dispatcher, remote)
}

/// A place at the only upstream.
fn granted(gateway: &Gateway) -> ReplyOutcome {
    granted_with(gateway, false)
}

fn granted_with(gateway: &Gateway, is_cold: bool) -> ReplyOutcome {
    let registry = &gateway.traffic.borrow().registry;
    let placement = Placement {
        upstream: registry.key_of("u0").unwrap(),
        work: Work::default(),
        predicted: Duration::from_millis(20),
        requests: 0,
        share_class: ShareClass::WithinShare,
        rank: None,
        fetch_from: None,
        decided: Duration::ZERO,
        is_cold,
    };
    ReplyOutcome::new(&Decision::Send(placement), Duration::ZERO, registry).unwrap()
}

const FULL: ReplyOutcome = ReplyOutcome::Full {
    after_ms: 70,
    share_class: ShareClass::EvenSurplus,
    least_requests: 9,
    refused_by: Limit::Slots,
};

/// Guards against deciders that take a team for one that asks twice as much, as its requests are asked
/// for again after another domain had less room than it told.
#[test]
fn forwarded_request_counted_once() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (_gateway, address, dispatcher, remote) = domain_of_two(&upstream).await;
        let caller = tokio::task::spawn_local(ask(address, prompt("a")));
        let first = dispatcher.next_placement_request().await;
        assert!(first.is_first && first.may_forward);
        dispatcher.reply(first.number, ReplyOutcome::Waits).await;
        remote.reply(first.number, FULL).await;
        let second = dispatcher.next_placement_request().await;
        assert!(!second.may_forward, "it was handed on already");
        assert!(!second.is_first, "the same request counts a second time");
        dispatcher.reply(second.number, FULL).await;
        let refused = caller.await.unwrap().unwrap();
        assert_eq!((refused.status, upstream.count()), (503, 0));
        let after_s: f64 = refused.headers["retry-after"].to_str().unwrap().parse().unwrap();
        assert!((0.07..0.11).contains(&after_s), "{after_s}");
    });
}

/// Guards against requests that fail or wait with a dispatcher that was killed or cut off.
#[test]
fn unresponsive_dispatcher() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (gateway, address, dispatcher, _remote) = domain_of_two(&upstream).await;
        let caller = tokio::task::spawn_local(ask(address, prompt("a")));
        let first = dispatcher.next_placement_request().await;
        let again = dispatcher.next_placement_request().await;
        assert_eq!(first.number, again.number, "single datagrams are lost");
        assert_eq!(caller.await.unwrap().unwrap().status, 200);
        assert_eq!(ask(address, prompt("b")).await.unwrap().status, 200);
        let metrics = gateway.metrics.text();
        let count = |name: &str| {
            let line = metrics.lines().find(|line| line.starts_with(name));
            line.and_then(|line| line.rsplit(' ').next()).map(str::to_owned)
        };
        assert_eq!(count("bergamotpitch_unanswered_asks_total").as_deref(), Some("1"));
        assert_eq!(
            count("bergamotpitch_asks_total").as_deref(),
            Some("2"),
            "it is not asked again"
        );
    });
}

/// Guards against a place that stays taken at the dispatcher, as its reply came after the asker had
/// decided by itself.
#[test]
fn late_reply() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (gateway, address, dispatcher, _remote) = domain_of_two(&upstream).await;
        let caller = tokio::task::spawn_local(ask(address, prompt("a")));
        let first = dispatcher.next_placement_request().await;
        assert_eq!(caller.await.unwrap().unwrap().status, 200);
        dispatcher.reply(first.number, granted(&gateway)).await;
        assert_eq!(dispatcher.next_event(first.number).await, ProgressEvent::Dropped);
        assert_eq!(upstream.count(), 1);
    });
}

/// The request is sent where the dispatcher placed it, and the dispatcher is told how it goes.
#[test]
fn granted_request() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (gateway, address, dispatcher, _remote) = domain_of_two(&upstream).await;
        let caller = tokio::task::spawn_local(ask(address, prompt("a")));
        let first = dispatcher.next_placement_request().await;
        dispatcher.reply(first.number, granted(&gateway)).await;
        assert_eq!(caller.await.unwrap().unwrap().status, 200);
        let reported = dispatcher
            .next(|body| if let Body::Progress(reports) = body { Some(reports) } else { None });
        let events: Vec<ProgressEvent> = reported.await.iter().map(|report| report.event).collect();
        assert_eq!(events, [ProgressEvent::Begun, ProgressEvent::Answered]);
    });
}

/// Guards against requests that reach a cold upstream together, as they were held up after they had
/// been granted one by one.
#[test]
fn lapsed_grant() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (gateway, address, dispatcher, _remote) = domain_of_two(&upstream).await;
        let caller = tokio::task::spawn_local(ask(address, prompt("a")));
        let first = dispatcher.next_placement_request().await;
        dispatcher.reply(first.number, ReplyOutcome::Waits).await;
        tokio::time::sleep(GRANT_VALIDITY + Duration::from_millis(20)).await;
        dispatcher.reply(first.number, granted_with(&gateway, true)).await;
        assert_eq!(dispatcher.next_event(first.number).await, ProgressEvent::Dropped);
        assert_eq!(upstream.count(), 0);
        let second = dispatcher.next_placement_request().await;
        dispatcher.reply(second.number, granted_with(&gateway, true)).await;
        assert_eq!(caller.await.unwrap().unwrap().status, 200);
        assert_eq!(upstream.count(), 1);
    });
}

/// Guards against requests that still go to a failure domain which was evacuated after they had been
/// granted a place there.
#[test]
fn evacuated_grant() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (gateway, address, dispatcher, _remote) = domain_of_two(&upstream).await;
        let caller = tokio::task::spawn_local(ask(address, prompt("a")));
        let first = dispatcher.next_placement_request().await;
        let order = EvacuationOrder { domain: "a".to_owned(), version: 1, is_evacuated: true };
        assert!(gateway.evacuate(&order, "test"));
        dispatcher.reply(first.number, granted(&gateway)).await;
        assert_eq!(dispatcher.next_event(first.number).await, ProgressEvent::Dropped);
        let refused = caller.await.unwrap().unwrap();
        assert_eq!((refused.status, upstream.count()), (503, 0));
    });
}

/// Guards against a dispatcher that lets a stream go on at another version of software than the one that
/// began it, and against one without room that ends the stream, where another domain has its version.
#[test]
fn stream_of_a_version() {
    run(async {
        let begun = [stream_head(), event(1), Act::Pause(Duration::from_millis(60)), Act::Reset];
        let old = FakeUpstream::start(Box::new(move |_| begun.to_vec())).await;
        let rest = |_| vec![stream_head(), event(2), stream_end()];
        let (new, other) =
            (FakeUpstream::start(Box::new(rest)).await, FakeUpstream::start(Box::new(rest)).await);
        let (gateway, address, dispatcher, _remote) = domain_of_two(&old).await;
        let list = |id: &str, upstream: &FakeUpstream, domain: &str, software: &str| {
            let (domain, software) = (domain.to_owned(), Some(software.to_owned()));
            let listed = registration(id, upstream.address);
            gateway.upstream_listed(Registration { domain, software, ..listed });
        };
        list("u0", &old, "a", "v1");
        list("new", &new, "a", "v2");
        list("other", &other, "b", "v1");
        let caller = tokio::task::spawn_local(ask(address, request("POST", "/resumed/", "a")));
        let first = dispatcher.next_placement_request().await;
        assert_eq!(first.software, None, "a stream that begins may have any version");
        dispatcher.reply(first.number, granted(&gateway)).await;
        let second = dispatcher.next_placement_request().await;
        assert_eq!(second.software, Some(software_id(Some("v1"))));
        dispatcher.reply(second.number, FULL).await;
        let got = caller.await.unwrap().unwrap();
        assert_eq!((got.body, got.is_whole), (events_text(1, 2), true));
        assert_eq!((new.count(), other.count()), (0, 1));
    });
}

fn part() -> SuspectId {
    SuspectId::Part(id_of_name("all"), 7)
}

fn crashes(suspect: SuspectId, lives: [u32; 2], age_ms: u32) -> Body {
    let line = |life| CrashLine { suspect, life, is_strong: true, age_ms, run_ms: 20, answers: 20 };
    let [first, second] = lives.map(line);
    Body::Crashes(vec![first, CrashLine { age_ms: age_ms + 500, ..second }])
}

/// Guards against a request that reaches an engine although the part of its prompt which crashes engines
/// became known after it had been placed, or that waits for a dispatcher which knows it.
#[test]
fn blocked_under_way() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (gateway, address, dispatcher, remote) = domain_of_two(&upstream).await;
        let caller = tokio::task::spawn_local(ask(address, prompt_of("a", &[1, 7, 20])));
        let first = dispatcher.next_placement_request().await;
        dispatcher.reply(first.number, ReplyOutcome::Blocked { after_ms: 9_000 }).await;
        let refused = caller.await.unwrap().unwrap();
        assert_eq!(
            (refused.status, refused.headers["retry-after"].to_str().unwrap()),
            (503, "9.000")
        );
        let caller = tokio::task::spawn_local(ask(address, prompt_of("b", &[1, 7, 21])));
        let second = dispatcher.next_placement_request().await;
        remote.send(crashes(part(), [901, 902], 10)).await;
        tokio::time::sleep(Duration::from_millis(10)).await;
        dispatcher.reply(second.number, granted(&gateway)).await;
        let refused = caller.await.unwrap().unwrap();
        assert!(refused.body.contains("prompt_part_blocked"), "{}", refused.body);
        assert_eq!((refused.status, upstream.count()), (503, 0));
    });
}

/// Guards against a request that reaches an engine although it became known as one which crashes them after it
/// had been placed; from then on its dispatcher compares requests too.
#[test]
fn blocked_request() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (gateway, address, dispatcher, remote) = domain_of_two(&upstream).await;
        let digest = RequestContent {
            team: None,
            method: "POST",
            host: b"test.example",
            target: "/safe/it",
            prefix: &[],
            body: b"a body",
        }
        .digest();
        let caller = tokio::task::spawn_local(ask(address, request("POST", "/safe/it", "a")));
        let first = dispatcher.next_placement_request().await;
        assert_eq!(first.digest, None, "nothing is suspected yet");
        remote.send(crashes(SuspectId::Request(digest), [901, 902], 10)).await;
        tokio::time::sleep(Duration::from_millis(10)).await;
        dispatcher.reply(first.number, granted(&gateway)).await;
        let refused = caller.await.unwrap().unwrap();
        assert!(refused.body.contains("request_blocked"), "{}", refused.body);
        assert_eq!((refused.status, upstream.count()), (503, 0));
        let other = tokio::task::spawn_local(ask(address, request("POST", "/safe/other", "b")));
        let second = dispatcher.next_placement_request().await;
        assert!(second.digest.is_some_and(|other| other != digest));
        dispatcher.reply(second.number, granted(&gateway)).await;
        assert_eq!(other.await.unwrap().unwrap().status, 200);
    });
}

/// Guards against parts that stay blocked as an instance whose links were refused took living upstreams for
/// crashed.
#[test]
fn refuted_crash() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (gateway, address, _dispatcher, remote) = domain_of_two(&upstream).await;
        let life = {
            let registry = &gateway.traffic.borrow().registry;
            registry.get(registry.key_of("u0").unwrap()).unwrap().life_number
        };
        remote.send(crashes(part(), [life, 902], 300)).await;
        tokio::time::sleep(Duration::from_millis(10)).await;
        assert_eq!(ask(address, prompt_of("a", &[1, 7, 20])).await.unwrap().status, 503);
        assert_eq!(ask(address, prompt_of("b", &[1, 8, 21])).await.unwrap().status, 200);
        let lives = remote
            .next(|body| if let Body::LivingUpstreams(lives) = body { Some(lives) } else { None })
            .await;
        assert_eq!(lives, [life]);
        assert_eq!(ask(address, prompt_of("c", &[1, 7, 22])).await.unwrap().status, 200);
    });
}

//! Requests to a second upstream, out of a retry budget that a domain pools at its dispatcher.

mod common;

use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::engine_loads::Work;
use bergamotpitch_control::traffic::placement_requests::{Decision, Placement};
use bergamotpitch_control::traffic::retry_budgets::Options;
use bergamotpitch_control::traffic::team_windows::ShareClass;
use bergamotpitch_gateway::Gateway;
use bergamotpitch_gateway::messages::{Body, RepeatReply, ReplyOutcome};
use common::fake_peers::FakePeer;
use common::{FakeUpstream, ask, request, run, start, start_small, whole};

async fn upstream(status: &'static str) -> FakeUpstream {
    FakeUpstream::start(Box::new(move |_| vec![whole(status, status)])).await
}

fn set_fixed(gateway: &Gateway, fixed: f64) {
    let options = Options { ratio: 0.0, fixed, fixed_after: Duration::ZERO, ..Options::default() };
    gateway.traffic.borrow_mut().options.retries = options;
}

fn granted(gateway: &Gateway, upstream: &str) -> ReplyOutcome {
    let registry = &gateway.traffic.borrow().registry;
    let placement = Placement {
        upstream: registry.key_of(upstream).unwrap(),
        work: Work::default(),
        predicted: Duration::from_millis(20),
        requests: 0,
        share_class: ShareClass::WithinShare,
        rank: None,
        fetch_from: None,
        decided: Duration::ZERO,
        is_cold: false,
    };
    ReplyOutcome::new(&Decision::Send(placement), Duration::ZERO, registry).unwrap()
}

/// Guards against a repeat that is taken out of the budget twice, so that the last one is never used.
#[test]
fn last_repeat() {
    run(async {
        let failing = upstream("500 Internal Server Error").await;
        let sound = upstream("200 OK").await;
        let (gateway, address) = start(&[&failing, &sound]).await;
        set_fixed(&gateway, 2.0);
        let got = ask(address, request("GET", "/safe/a", "a")).await.unwrap();
        assert_eq!((got.status, failing.count(), sound.count()), (200, 1, 1));
        assert!(!gateway.take_repeat("all"));
    });
}

async fn ask_beside_dispatcher(is_allowed: bool) -> (u16, usize) {
    let failing = upstream("500 Internal Server Error").await;
    let sound = upstream("200 OK").await;
    let (gateway, address) = start_small(&[&failing, &sound]).await;
    let dispatcher = FakePeer::start(7, &gateway).await;
    gateway.replace_peers(vec![dispatcher.address("a")]);
    set_fixed(&gateway, 0.0);
    let caller = tokio::task::spawn_local(ask(address, request("GET", "/safe/a", "a")));
    let first = dispatcher.next_placement_request().await;
    dispatcher.reply(first.number, granted(&gateway, "u0")).await;
    let find = |body| if let Body::RepeatRequest(asked) = body { Some(asked) } else { None };
    let asked = dispatcher.next(find).await;
    dispatcher.send(Body::RepeatReply(RepeatReply { number: asked.number, is_allowed })).await;
    if is_allowed {
        let second = dispatcher.next_placement_request().await;
        assert!(!second.is_first, "the same request counts a second time");
        dispatcher.reply(second.number, granted(&gateway, "u1")).await;
    }
    (caller.await.unwrap().unwrap().status, sound.count())
}

/// Guards against calls that fail at instances which receive too few requests to have a whole repeat, while the
/// domain has used none.
#[test]
fn allowed_by_dispatcher() {
    run(async { assert_eq!(ask_beside_dispatcher(true).await, (200, 1)) });
}

/// Guards against repeats beyond the budget of the domain.
#[test]
fn denied_by_dispatcher() {
    run(async { assert_eq!(ask_beside_dispatcher(false).await, (500, 0)) });
}

/// Guards against repeats that upstreams which stand still pile up: the dispatcher has forgotten those of the windows
/// before, and the instance that was allowed them goes on asking.
#[test]
fn unread_beside_dispatcher() {
    run(async {
        let failing = upstream("500 Internal Server Error").await;
        let (gateway, address) = start_small(&[&failing]).await;
        let dispatcher = FakePeer::start(7, &gateway).await;
        gateway.replace_peers(vec![dispatcher.address("a")]);
        let window = Duration::from_millis(200);
        let options = Options { ratio: 0.0, fixed: 1.0, window, ..Options::default() };
        gateway.traffic.borrow_mut().options.retries = options;
        gateway.traffic.borrow_mut().budget("all").note_unread(7, gateway.now());
        tokio::time::sleep(window).await;
        let caller = tokio::task::spawn_local(ask(address, request("GET", "/safe/a", "a")));
        let first = dispatcher.next_placement_request().await;
        dispatcher.reply(first.number, granted(&gateway, "u0")).await;
        assert_eq!(caller.await.unwrap().unwrap().status, 500);
        let find = |body| if let Body::RepeatRequest(asked) = body { Some(asked) } else { None };
        let asked = tokio::time::timeout(window, dispatcher.next(find)).await;
        assert!(asked.is_err(), "it asks for one more: {asked:?}");
    });
}

/// Guards against a dispatcher that allows more than its domain received, or allows what others decide.
#[test]
fn counted_at_dispatcher() {
    run(async {
        let sound = upstream("200 OK").await;
        let (gateway, _) = start_small(&[&sound]).await;
        let own = FakePeer::start(7, &gateway).await;
        let allowed = async |gateway: &Rc<Gateway>, number| {
            let request = bergamotpitch_gateway::messages::RepeatRequest {
                number,
                service: bergamotpitch_core::ids::id_of_name("all"),
            };
            own.send(Body::RepeatRequest(request)).await;
            let find = |body| if let Body::RepeatReply(reply) = body { Some(reply) } else { None };
            let reply = own.next(find).await;
            assert_eq!(reply.number, number);
            assert!(gateway.role().dispatcher.is_some());
            reply.is_allowed
        };
        let mut weaker = own.address("a");
        weaker.processor_millis = 1;
        gateway.replace_peers(vec![weaker]);
        assert_eq!(gateway.role().dispatcher, Some(gateway.options.instance));
        let options = Options { ratio: 1.0, fixed: 0.0, ..Options::default() };
        gateway.traffic.borrow_mut().options.retries = options;
        assert!(!allowed(&gateway, 1).await, "it has received nothing");
        let now = gateway.now();
        for _ in 0..3 {
            gateway.traffic.borrow_mut().budget("all").note_request(now, &options);
        }
        assert!(allowed(&gateway, 2).await);
        assert!(!allowed(&gateway, 3).await, "three requests allow one repeat in the first window");
        // Another one has more processor time, and decides from now on.
        gateway.replace_peers(vec![own.address("a")]);
        assert!(!allowed(&gateway, 4).await);
    });
}

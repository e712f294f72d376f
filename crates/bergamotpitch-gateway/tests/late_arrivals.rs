//! Requests that an upstream reads after they were given up there count in the retry budget when it reads them.

mod common;

use std::time::Duration;

use bergamotpitch_control::traffic::registries::LeavingSource;
use bergamotpitch_gateway::Gateway;
use common::{Act, FakeUpstream, ask, request, run, start, whole};

fn repeats(gateway: &Gateway) -> (usize, usize) {
    let usage = gateway.traffic.borrow_mut().budget("all").usage();
    (usage.repeats, usage.unread)
}

/// Guards against repeats that an upstream which stands still reads after the retry budget has forgotten them.
#[test]
fn read_late() {
    run(async {
        let standing = FakeUpstream::start(Box::new(|number| match number {
            0 => vec![Act::Hang],
            _ => vec![whole("200 OK", "late")],
        }));
        let standing = standing.await;
        let (gateway, address) = start(&[&standing]).await;
        let caller = tokio::task::spawn_local(ask(address, request("GET", "/safe/", "first")));
        while standing.count() == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let sound = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        gateway.upstream_listed(common::registration("sound", sound.address));
        assert_eq!(caller.await.unwrap().unwrap().status, 200);
        assert_eq!((sound.count(), repeats(&gateway)), (1, (0, 1)));
        gateway.change_upstreams(|traffic, _| {
            let key = traffic.registry.key_of("sound").unwrap();
            traffic.registry.left(key, LeavingSource::List).into_iter().collect()
        });
        assert_eq!(ask(address, request("GET", "/safe/", "second")).await.unwrap().status, 200);
        assert_eq!(standing.count(), 2);
        assert_eq!(repeats(&gateway), (1, 0));
    });
}

/// Guards against a repeat that is given up itself and arrives late, while its first attempt was answered.
#[test]
fn given_up_repeat() {
    run(async {
        let failed = whole("500 Internal Server Error", "failed");
        let answer = vec![Act::Pause(Duration::from_millis(100)), failed];
        let failing = FakeUpstream::start(Box::new(move |_| answer.clone())).await;
        let (gateway, address) = start(&[&failing]).await;
        let mut asked = request("GET", "/safe/", "first");
        asked.headers_mut().insert("x-budget-ms", "400".parse().unwrap());
        let caller = tokio::task::spawn_local(ask(address, asked));
        while failing.count() == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let standing = FakeUpstream::start(Box::new(|_| vec![Act::Hang])).await;
        gateway.upstream_listed(common::registration("standing", standing.address));
        caller.await.unwrap().unwrap();
        assert_eq!((failing.count(), standing.count(), repeats(&gateway)), (1, 1, (0, 1)));
    });
}

/// Guards against a repeat that leaves the budget's window while it waits, and is read after that.
#[test]
fn waiting_repeat() {
    run(async {
        let failed = whole("500 Internal Server Error", "failed");
        let answer = vec![Act::Pause(Duration::from_millis(100)), failed];
        let failing = FakeUpstream::start(Box::new(move |_| answer.clone())).await;
        let (gateway, address) = start(&[&failing]).await;
        let caller = tokio::task::spawn_local(ask(address, request("GET", "/safe/", "first")));
        while failing.count() == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let slow = [Act::Pause(Duration::from_millis(300)), whole("200 OK", "done")];
        let slow = FakeUpstream::start(Box::new(move |_| slow.to_vec())).await;
        gateway.upstream_listed(common::registration("slow", slow.address));
        while slow.count() == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(repeats(&gateway), (0, 1));
        assert_eq!(caller.await.unwrap().unwrap().status, 200);
        assert_eq!(repeats(&gateway), (1, 0));
    });
}

/// Guards against a budget that is used up by requests which were given up and not sent again.
#[test]
fn without_repeat() {
    run(async {
        let standing = FakeUpstream::start(Box::new(|_| vec![Act::Hang])).await;
        let (gateway, address) = start(&[&standing]).await;
        let mut asked = request("GET", "/safe/", "first");
        asked.headers_mut().insert("x-budget-ms", "300".parse().unwrap());
        assert_eq!(ask(address, asked).await.unwrap().status, 504);
        assert_eq!((standing.count(), repeats(&gateway)), (1, (0, 0)));
    });
}

//! A call that may not be repeated is sent once, and a refusal tells the truth about it.

mod common;

use std::time::Duration;

use common::{Act, FakeUpstream, ask, not_run, not_run_with, request, run, start, whole};

/// An upstream runs a call and its connection is reset before the answer. Sending the call again
/// charges a customer twice; saying "not run" lets the caller do it.
#[test]
fn lost_answer() {
    run(async {
        let lost = FakeUpstream::start(Box::new(|_| vec![Act::Reset])).await;
        let good = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (_, address) = start(&[&lost, &good]).await;
        let mut unknown = 0;
        for number in 0..6 {
            let sent = lost.count() + good.count();
            let got = ask(address, request("POST", "/once/", &format!("n{number}"))).await.unwrap();
            assert_eq!(lost.count() + good.count(), sent + 1, "sent more than once");
            assert!(got.status == 200 || got.status == 502, "{got:?}");
            unknown += usize::from(got.status == 502);
        }
        assert!(0 < unknown);
    });
}

/// No answer comes until the time of the call is over. Its outcome is unknown: neither 503 nor 429
/// may be said.
#[test]
fn silent_upstream() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![Act::Hang])).await;
        let (_, address) = start(&[&upstream]).await;
        let mut asked = request("POST", "/once/", "one");
        asked.headers_mut().insert("x-budget-ms", "300".parse().unwrap());
        let got = ask(address, asked).await.unwrap();
        assert_eq!((got.status, upstream.count()), (504, 1));
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(*upstream.abandoned.borrow(), 1, "the upstream still works");
    });
}

/// Upstreams take no connection: nothing was sent, and the next one may be tried.
#[test]
fn closed_port() {
    run(async {
        let good = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (gateway, address) = start(&[&good]).await;
        let (_held, closed) = common::closed_port();
        gateway.upstream_listed(common::registration("dead", closed));
        for number in 0..4 {
            let got = ask(address, request("POST", "/once/", &format!("n{number}"))).await.unwrap();
            assert_eq!(got.status, 200);
        }
        assert_eq!(good.count(), 4);
    });
}

/// One upstream is full and proves that it did not run the call; the route allows a second one.
#[test]
fn second_upstream() {
    run(async {
        let full = FakeUpstream::start(Box::new(|_| vec![not_run()])).await;
        let good = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (_, address) = start(&[&full, &good]).await;
        for number in 0..4 {
            let got = ask(address, request("POST", "/once/", &format!("n{number}"))).await.unwrap();
            assert_eq!(got.status, 200, "{got:?}");
        }
    });
}

/// An engine's address went to another service, which refuses requests that expect the engine. It
/// must get nothing more.
#[test]
fn reused_address() {
    run(async {
        let stranger =
            FakeUpstream::start(Box::new(|_| vec![not_run_with("421 Misdirected")])).await;
        let good = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (gateway, address) = start(&[&stranger, &good]).await;
        for number in 0..6 {
            let got = ask(address, request("POST", "/once/", &format!("n{number}"))).await.unwrap();
            assert_eq!(got.status, 200);
        }
        assert_eq!(stranger.count(), 1);
        let traffic = gateway.traffic.borrow();
        let key = traffic.registry.key_of("u0").unwrap();
        assert!(!traffic.registry.get(key).unwrap().takes_work());
    });
}

/// An upstream turns away what it has room for. Each such call costs a repeat of the shared budget,
/// and callers of routes that allow one upstream are refused for nothing.
#[test]
fn shedding_upstream() {
    run(async {
        let shedding = FakeUpstream::start(Box::new(|_| vec![not_run()])).await;
        // It is slower than one that has answered nothing yet is taken to be.
        let slow = |_| vec![Act::Pause(Duration::from_millis(60)), whole("200 OK", "done")];
        let good = FakeUpstream::start(Box::new(slow)).await;
        let (_, address) = start(&[&shedding, &good]).await;
        for number in 0..30 {
            let got = ask(address, request("POST", "/once/", &format!("n{number}"))).await.unwrap();
            assert_eq!(got.status, 200, "{got:?}");
        }
        assert!(shedding.count() <= 8, "{} of 30 calls went there", shedding.count());
    });
}

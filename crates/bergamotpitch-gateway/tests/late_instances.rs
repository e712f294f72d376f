//! An instance that cannot keep up says so at once.

mod common;

use std::time::Duration;

use common::{FakeUpstream, ask, request, run, start, whole};

/// The callers of one flooding team all come to one small instance. Each request that it takes in
/// makes all others later, until answers come after their callers have left.
#[test]
fn late_timers() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (gateway, address) = start(&[&upstream]).await;
        assert_eq!(ask(address, request("GET", "/safe/", "a")).await.unwrap().status, 200);
        (0..30).for_each(|_| gateway.lateness.note(Duration::from_secs(1)));
        assert!(!gateway.is_ready(), "the balancer goes on sending callers");
        let got = ask(address, request("GET", "/safe/", "b")).await.unwrap();
        assert_eq!((got.status, upstream.count()), (503, 1));
        assert_eq!(got.headers["connection"], "close");
        (0..60).for_each(|_| gateway.lateness.note(Duration::ZERO));
        assert!(gateway.is_ready());
        assert_eq!(ask(address, request("GET", "/safe/", "c")).await.unwrap().status, 200);
    });
}

/// An instance with an eighth of a core is late by some tens of milliseconds for seconds on end, as the
/// callers of one flooding team all come to it. While it goes on asking for callers, that team gets a
/// fraction of what a team gets whose callers come to many instances.
#[test]
fn steady_lateness() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (gateway, address) = start(&[&upstream]).await;
        (0..40).for_each(|_| gateway.lateness.note(Duration::from_millis(60)));
        assert!(!gateway.is_ready(), "the balancer goes on sending callers");
        // Whoever is here already is served: nothing is refused for this.
        assert_eq!(ask(address, request("GET", "/safe/", "a")).await.unwrap().status, 200);
        // One late timer, as when the machine was busy for a moment, changes nothing.
        (0..60).for_each(|_| gateway.lateness.note(Duration::ZERO));
        gateway.lateness.note(Duration::from_millis(300));
        assert!(gateway.is_ready());
    });
}

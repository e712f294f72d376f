//! An instance that cannot keep up says so at once.

mod common;

use std::time::Duration;

use bergamotpitch_core::ids::id_of_name;
use common::{FakeUpstream, ask, catalog, request, run, start, start_with, whole};
use http::HeaderValue;

/// Teams' shares are computed anew after this time.
const LEVELS_AGE: Duration = Duration::from_millis(60);

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

/// Guards against a flood that reaches one small instance and makes everybody's streams late there.
#[test]
fn crowded_instance() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let mut limited = catalog(1);
        limited.pool_tokens_per_s = Some(1_000);
        let (gateway, address) = start_with(&[&upstream], limited).await;
        let prompt = |id: &str| {
            let mut request = request("POST", "/closed/", id);
            request.headers_mut().insert("x-key", HeaderValue::from_static("secret"));
            request.headers_mut().insert("x-prompt-tokens", HeaderValue::from_static("10"));
            request
        };
        gateway.lateness.note_turn(Duration::from_millis(40), gateway.now());
        assert_eq!(ask(address, prompt("a")).await.unwrap().status, 200, "within its share");
        {
            let windows = &mut gateway.traffic.borrow_mut().windows;
            windows.note_asked(id_of_name("florists"), 90_000, gateway.now());
            windows.note_begun(id_of_name("florists"), 90_000, gateway.now());
        }
        tokio::time::sleep(LEVELS_AGE).await;
        gateway.lateness.note_turn(Duration::from_millis(40), gateway.now());
        let refused = ask(address, prompt("b")).await.unwrap();
        assert_eq!((refused.status, upstream.count()), (503, 1));
        let after_s: f64 = refused.headers["retry-after"].to_str().unwrap().parse().unwrap();
        assert!(after_s < 0.1, "callers that come back reach other instances");
        gateway.lateness.note_turn(Duration::ZERO, gateway.now());
        gateway.lateness.note_turn(Duration::ZERO, gateway.now());
        assert_eq!(ask(address, prompt("c")).await.unwrap().status, 200, "the flood is over");
    });
}

//! An instance that cannot keep up says so at once.

mod common;

use std::time::Duration;

use bergamotpitch_control::traffic::team_windows::TeamSums;
use bergamotpitch_core::ids::id_of_name;
use common::{
    Act, FakeUpstream, ask, event, prompt, request, run, start, stream_end, stream_head, whole,
};

/// The callers of one flooding team all come to one small instance. Each request that it takes in
/// makes all others later, until answers come after their callers have left.
#[test]
fn lagging_timers() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (gateway, address) = start(&[&upstream]).await;
        assert_eq!(ask(address, request("GET", "/safe/", "a")).await.unwrap().status, 200);
        (0..30).for_each(|_| gateway.loop_lag.note(Duration::from_secs(1)));
        assert!(!gateway.is_ready(), "the balancer goes on sending callers");
        let got = ask(address, request("GET", "/safe/", "b")).await.unwrap();
        assert_eq!((got.status, upstream.count()), (503, 1));
        assert_eq!(got.headers["connection"], "close");
        (0..60).for_each(|_| gateway.loop_lag.note(Duration::ZERO));
        assert!(gateway.is_ready());
        assert_eq!(ask(address, request("GET", "/safe/", "c")).await.unwrap().status, 200);
    });
}

/// An instance with an eighth of a core is late by some tens of milliseconds for seconds on end, as the
/// callers of one flooding team all come to it. While it goes on asking for callers, that team gets a
/// fraction of what a team gets whose callers come to many instances.
#[test]
fn steady_lag() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (gateway, address) = start(&[&upstream]).await;
        (0..40).for_each(|_| gateway.loop_lag.note(Duration::from_millis(60)));
        assert!(!gateway.is_ready(), "the balancer goes on sending callers");
        // Whoever is here already is served: nothing is refused for this.
        assert_eq!(ask(address, request("GET", "/safe/", "a")).await.unwrap().status, 200);
        // One late timer, as when the machine was busy for a moment, changes nothing.
        (0..60).for_each(|_| gateway.loop_lag.note(Duration::ZERO));
        gateway.loop_lag.note(Duration::from_millis(300));
        assert!(gateway.is_ready());
    });
}

/// The limit of streams changes no more often than this.
const LIMIT_INTERVAL: Duration = Duration::from_millis(120);

/// Guards against an instance that takes on more streams of a flooding team than it has processor time
/// for, until all of them are late.
#[test]
fn streams_beyond_processor() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (gateway, address) = start(&[&upstream]).await;
        let flood: Vec<_> =
            (0..100).map(|_| gateway.streams.open(id_of_name("florists"))).collect();
        assert_eq!(ask(address, prompt("a")).await.unwrap().status, 200, "it keeps up");
        tokio::time::sleep(LIMIT_INTERVAL).await;
        gateway.streams.note_wait(Duration::from_millis(300), gateway.now());
        let refused = ask(address, prompt("b")).await.unwrap();
        assert_eq!((refused.status, upstream.count()), (503, 1));
        assert!(refused.body.contains("instance_busy"), "{}", refused.body);
        let sums = gateway.traffic.borrow_mut().windows.own_sums(gateway.now());
        assert_eq!(sums[0].1.window, TeamSums { requested_tokens: 20, dispatched_tokens: 10 });
        let after_s: f64 = refused.headers["retry-after"].to_str().unwrap().parse().unwrap();
        assert!(after_s < 0.1, "streams end all the time");
        let call = ask(address, request("GET", "/safe/", "c")).await.unwrap();
        assert_eq!(call.status, 200, "a plain call costs next to nothing");
        drop(flood);
        assert_eq!(ask(address, prompt("d")).await.unwrap().status, 200, "the flood is over");
    });
}

/// Guards against streams that are counted for ever, or no longer than to their first event.
#[test]
fn streams_counted() {
    run(async {
        let pause = Act::Pause(Duration::from_millis(200));
        let script = move |_| vec![stream_head(), event(1), pause.clone(), event(2), stream_end()];
        let upstream = FakeUpstream::start(Box::new(script)).await;
        let (gateway, address) = start(&[&upstream]).await;
        let asked = tokio::task::spawn_local(ask(address, prompt("a")));
        while upstream.count() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(Duration::from_millis(60)).await;
        assert!(gateway.streams.to_string().contains("streams=1"), "{}", gateway.streams);
        assert_eq!(asked.await.unwrap().unwrap().status, 200);
        tokio::time::sleep(Duration::from_millis(60)).await;
        assert!(gateway.streams.to_string().contains("streams=0"), "{}", gateway.streams);
    });
}

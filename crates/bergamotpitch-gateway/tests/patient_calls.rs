//! Calls whose answer takes much longer than predicted.

mod common;

use std::time::Duration;

use common::{Act, FakeUpstream, ask, request, run, start, whole};

/// An answer that comes long after the time that a call is given before another upstream is looked
/// for.
fn slow_answer() -> Vec<Act> {
    vec![Act::Pause(Duration::from_millis(1_500)), whole("200 OK", "late")]
}

/// After an outage all requests come at once, and every engine has a queue of more than a second. A
/// call that is cut off there, although no other upstream has room, has waited in vain: its caller
/// gets a failure where the answer was about to come.
#[test]
fn nowhere_else() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| slow_answer())).await;
        let (_gateway, address) = start(&[&upstream]).await;
        let got = ask(address, request("GET", "/safe/", "a")).await.unwrap();
        assert_eq!((got.status, got.body.as_str(), upstream.count()), (200, "late", 1));
    });
}

/// One upstream hangs while another one has room: the call goes there, and its caller does not wait
/// for an answer that may never come.
#[test]
fn room_elsewhere() {
    run(async {
        let hung = FakeUpstream::start(Box::new(|_| vec![Act::Hang])).await;
        let quick = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "quick")])).await;
        let (_gateway, address) = start(&[&hung, &quick]).await;
        for id in ["a", "b", "c", "d"] {
            let got = ask(address, request("GET", "/safe/", id)).await.unwrap();
            assert_eq!((got.status, got.body.as_str()), (200, "quick"));
        }
        assert_eq!(*hung.abandoned.borrow(), hung.count());
    });
}

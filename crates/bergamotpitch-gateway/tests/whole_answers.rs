//! Callers get whole answers to their own requests, or none.

mod common;

use bergamotpitch_control::traffic::catalogs::RouteKind;
use common::crashes::{CrashingUpstream, Ending};
use common::{Act, FakeUpstream, ask, not_run, registration, request, run, start, whole};

/// All is well: the answer goes through as it is.
#[test]
fn passed_through() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "hello")])).await;
        let (_, address) = start(&[&upstream]).await;
        for id in ["first", "second"] {
            let got = ask(address, request("GET", "/safe/x?y=1", id)).await.unwrap();
            assert_eq!((got.status, got.body.as_str(), got.is_whole), (200, "hello", true));
            assert_eq!(got.headers["x-id"], id);
            assert_eq!(got.headers["x-seal"], "s");
        }
        assert!(upstream.seen.borrow()[0].head.starts_with("GET /safe/x?y=1 HTTP/1.1\n"));
    });
}

/// An upstream sends an answer twice. The second one waits on the connection and is read when the
/// next request expects its own: the next caller gets another's data.
#[test]
fn answer_sent_twice() {
    run(async {
        let double = |number: usize| match number {
            0 => vec![whole("200 OK", "mine"), whole("200 OK", "mine")],
            _ => vec![whole("200 OK", "yours")],
        };
        let upstream = FakeUpstream::start(Box::new(double)).await;
        let (_, address) = start(&[&upstream]).await;
        let first = ask(address, request("GET", "/safe/", "one")).await.unwrap();
        let second = ask(address, request("GET", "/safe/", "two")).await.unwrap();
        assert_eq!((first.body.as_str(), second.body.as_str()), ("mine", "yours"));
        assert_eq!(second.headers["x-id"], "two");
    });
}

/// A foreign answer arrives late, exactly when the next one is due. Only the echoed id tells.
#[test]
fn foreign_answer() {
    run(async {
        let foreign = |number: usize| {
            let other = "HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 5\r\n\r\nother";
            match number {
                0 => vec![Act::Write(other.to_owned())],
                _ => vec![whole("200 OK", "mine")],
            }
        };
        let bad = FakeUpstream::start(Box::new(foreign)).await;
        let (gateway, address) = start(&[&bad]).await;
        let once = ask(address, request("POST", "/once/", "one")).await.unwrap();
        assert_eq!(once.status, 502, "the call may have run: no promise");
        assert_eq!(bad.count(), 1, "a call that may not be repeated is not sent again");
        let next = ask(address, request("GET", "/safe/", "two")).await.unwrap();
        assert_eq!((next.status, next.body.as_str()), (200, "mine"));
        assert!(
            gateway
                .catalog()
                .unwrap()
                .route_of("test.example", "/once/")
                .is_some_and(|route| route.kind == RouteKind::Unsafe)
        );
    });
}

/// An upstream breaks off in the middle of a body that it announced. A caller that took the part
/// for the whole would file half an order.
#[test]
fn cut_body() {
    run(async {
        let cut = "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 10\r\n\r\nhalf";
        let bad =
            FakeUpstream::start(Box::new(move |_| vec![Act::Write(cut.to_owned()), Act::Close]))
                .await;
        let (_, address) = start(&[&bad]).await;
        let got = ask(address, request("POST", "/once/", "one")).await.unwrap();
        assert_eq!((got.status, bad.count()), (502, 1));
        // A call that may be repeated is answered by the other upstream.
        let good = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "all of it")])).await;
        let (_, address) = start(&[&bad, &good]).await;
        for id in ["a", "b", "c"] {
            let got = ask(address, request("GET", "/safe/", id)).await.unwrap();
            assert_eq!((got.status, got.body.as_str()), (200, "all of it"));
        }
    });
}

/// An answer without a length ends with its connection. Ended in order it is whole; reset on the
/// way it is not.
#[test]
fn no_length() {
    run(async {
        let open = "HTTP/1.1 200 OK\r\nx-id: {id}\r\n\r\nto the end";
        let script = move |number: usize| {
            let end = if number == 0 { Act::Close } else { Act::Reset };
            let pause = Act::Pause(std::time::Duration::from_millis(50));
            vec![Act::Write(open.to_owned()), pause, end]
        };
        let upstream = FakeUpstream::start(Box::new(script)).await;
        let (_, address) = start(&[&upstream]).await;
        let whole = ask(address, request("POST", "/once/", "one")).await.unwrap();
        assert_eq!((whole.status, whole.body.as_str(), whole.is_whole), (200, "to the end", true));
        let reset = ask(address, request("POST", "/once/", "two")).await.unwrap();
        assert_eq!(reset.status, 502);
    });
}

/// What comes back is no answer in the protocol.
#[test]
fn garbage() {
    run(async {
        let script = |_| vec![Act::Write("\u{1}\u{2} this is no answer\r\n\r\n".to_owned())];
        let upstream = FakeUpstream::start(Box::new(script)).await;
        let (_, address) = start(&[&upstream]).await;
        let got = ask(address, request("POST", "/once/", "one")).await.unwrap();
        assert_eq!((got.status, upstream.count()), (502, 1));
    });
}

/// An upstream is full and proves it. The caller is told the truth: not run, and when to come back.
#[test]
fn full_upstream() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![not_run()])).await;
        let (_, address) = start(&[&upstream]).await;
        let got = ask(address, request("POST", "/once/", "one")).await.unwrap();
        assert_eq!(got.status, 503);
        let retry_after: f64 = got.headers["retry-after"].to_str().unwrap().parse().unwrap();
        assert!(0.0 < retry_after && retry_after < 3.0);
        assert!(!got.headers.contains_key("x-seal"));
        assert!(got.body.contains("\"ran\":\"not_run\""), "{}", got.body);
    });
}

/// Guards against half of an answer that passes for whole, as its upstream crashed and had not said how
/// long it is.
#[test]
fn crash_without_length() {
    run(async {
        let crashing = CrashingUpstream::start_ending(Ending::Unframed).await;
        let good = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "all of it")])).await;
        let (gateway, address) = start(&[]).await;
        gateway.upstream_listed(registration("crashing", crashing.address));
        gateway.upstream_listed(registration("good", good.address));
        let got = ask(address, request("GET", "/safe/", "one")).await.unwrap();
        assert_eq!((got.status, got.body.as_str()), (200, "all of it"));
        let alone = CrashingUpstream::start_ending(Ending::Unframed).await;
        let (gateway, address) = start(&[]).await;
        gateway.upstream_listed(registration("alone", alone.address));
        let got = ask(address, request("GET", "/once/", "two")).await.unwrap();
        assert_eq!(got.status, 502);
    });
}

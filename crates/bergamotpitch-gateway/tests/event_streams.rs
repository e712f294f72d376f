//! Streams are passed on as they come, whole events only, and never end cleanly when cut.

mod common;

use std::time::Duration;

use bergamotpitch_control::traffic::registries::Registration;
use common::crashes::{CrashingUpstream, Ending};
use common::{Act, FakeUpstream, ask, event, request, run, start, stream_end, stream_head, whole};

fn events(from: u32, to: u32) -> Vec<Act> {
    (from..=to).map(event).collect()
}

fn text(from: u32, to: u32) -> String {
    (from..=to).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect()
}

#[test]
fn whole_stream() {
    run(async {
        let script = |_| [vec![stream_head()], events(1, 5), vec![stream_end()]].concat();
        let upstream = FakeUpstream::start(Box::new(script)).await;
        let (_, address) = start(&[&upstream]).await;
        for id in ["one", "two"] {
            let got = ask(address, request("POST", "/stream/", id)).await.unwrap();
            assert_eq!((got.status, got.body, got.is_whole), (200, text(1, 5), true));
        }
    });
}

/// An engine crashes in the middle of an event. The caller must see that the stream is cut, and no
/// half of an event.
#[test]
fn cut_stream() {
    run(async {
        let half = Act::Write("8\r\nid: 3\nda\r\n".to_owned());
        let script =
            move |_| [vec![stream_head()], events(1, 2), vec![half.clone(), Act::Reset]].concat();
        let upstream = FakeUpstream::start(Box::new(script)).await;
        let (_, address) = start(&[&upstream]).await;
        let got = ask(address, request("POST", "/stream/", "one")).await.unwrap();
        assert!(!got.is_whole, "{got:?}");
        assert!(text(1, 2).starts_with(&got.body), "{}", got.body);
        assert_eq!(upstream.count(), 1, "a stream that may not be repeated is sent again");
    });
}

/// A stream that ends in order, but within an event, was cut by an engine that says otherwise.
#[test]
fn end_within_event() {
    run(async {
        let half = Act::Write("8\r\nid: 2\nda\r\n".to_owned());
        let script = move |_| vec![stream_head(), event(1), half.clone(), stream_end()];
        let upstream = FakeUpstream::start(Box::new(script)).await;
        let (_, address) = start(&[&upstream]).await;
        let got = ask(address, request("POST", "/stream/", "one")).await.unwrap();
        assert!(!got.is_whole, "{got:?}");
    });
}

/// An engine crashes, and the route allows the stream to go on at another one. No event is missing
/// and none comes twice, also where the second engine begins a little early.
#[test]
fn resumed_stream() {
    run(async {
        let script = |_| {
            [
                vec![stream_head()],
                events(1, 3),
                vec![Act::Pause(Duration::from_millis(50)), Act::Reset],
            ]
            .concat()
        };
        let broken = FakeUpstream::start(Box::new(script)).await;
        let rest = |_| [vec![stream_head()], events(3, 6), vec![stream_end()]].concat();
        let good = FakeUpstream::start(Box::new(rest)).await;
        let (gateway, address) = start(&[&broken]).await;
        let asked = tokio::task::spawn_local(async move {
            ask(address, request("POST", "/resumed/", "one")).await.unwrap()
        });
        tokio::time::sleep(Duration::from_millis(20)).await;
        gateway.upstream_listed(common::registration("good", good.address));
        let got = asked.await.unwrap();
        assert_eq!((got.body, got.is_whole), (text(1, 6), true));
        assert_eq!(good.seen.borrow()[0].header("last-event-id"), Some("3"));
        assert_eq!(good.seen.borrow()[0].header("x-id"), Some("one"));
    });
}

/// Guards against a stream that runs on more upstreams than its route allows: the first one failed before any
/// event, the second one broke the stream off, and the third one was free to go on.
#[test]
fn attempts_spent() {
    run(async {
        let fails = |_| vec![Act::Pause(Duration::from_millis(60)), whole("500 Failed", "")];
        let failing = FakeUpstream::start(Box::new(fails)).await;
        let script = |_| {
            [
                vec![stream_head()],
                events(1, 3),
                vec![Act::Pause(Duration::from_millis(50)), Act::Reset],
            ]
            .concat()
        };
        let broken = FakeUpstream::start(Box::new(script)).await;
        let rest = |_| [vec![stream_head()], events(4, 6), vec![stream_end()]].concat();
        let free = FakeUpstream::start(Box::new(rest)).await;
        let (gateway, address) = start(&[&failing]).await;
        let asked = tokio::task::spawn_local(async move {
            ask(address, request("POST", "/resumed/", "one")).await.unwrap()
        });
        tokio::time::sleep(Duration::from_millis(20)).await;
        gateway.upstream_listed(common::registration("broken", broken.address));
        while broken.count() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        gateway.upstream_listed(common::registration("free", free.address));
        let got = asked.await.unwrap();
        assert_eq!((failing.count(), broken.count(), free.count()), (1, 1, 0));
        assert_eq!((got.body, got.is_whole), (text(1, 3), false));
    });
}

/// The first event must not wait for the second.
#[test]
fn at_once() {
    run(async {
        let script = |_| vec![stream_head(), event(1), Act::Hang];
        let upstream = FakeUpstream::start(Box::new(script)).await;
        let (_, address) = start(&[&upstream]).await;
        let mut sender = common::connect(address).await;
        let response = sender.send_request(request("POST", "/stream/", "one")).await.unwrap();
        let mut body = response.into_body();
        let first = http_body_util::BodyExt::frame(&mut body).await.unwrap().unwrap();
        assert_eq!(first.into_data().unwrap(), text(1, 1));
    });
}

/// Guards against a stream that passes for complete, as its engine crashed at the end of an event and had
/// not said how long the answer is.
#[test]
fn crash_without_length() {
    run(async {
        let crashing = CrashingUpstream::start_ending(Ending::Unframed).await;
        let rest = |_| [vec![stream_head()], events(4, 6), vec![stream_end()]].concat();
        let good = FakeUpstream::start(Box::new(rest)).await;
        let (gateway, address) = start(&[]).await;
        gateway.upstream_listed(common::registration("crashing", crashing.address));
        gateway.upstream_listed(common::registration("good", good.address));
        let got = ask(address, request("POST", "/resumed/", "one")).await.unwrap();
        assert_eq!((got.body, got.is_whole), (text(1, 6), true));
        let alone = CrashingUpstream::start_ending(Ending::Unframed).await;
        let (gateway, address) = start(&[]).await;
        gateway.upstream_listed(common::registration("alone", alone.address));
        let got = ask(address, request("POST", "/stream/", "two")).await.unwrap();
        assert_eq!((got.body, got.is_whole), (text(1, 3), false));
    });
}

/// Guards against a stream that passes for complete, as its engine had said that it leaves before it ended.
#[test]
fn crash_while_leaving() {
    run(async {
        let engine = CrashingUpstream::start_ending(Ending::Unframed).await;
        let (gateway, address) = start(&[]).await;
        let listed = common::registration("leaving", engine.address);
        gateway.upstream_listed(listed.clone());
        let asked = tokio::task::spawn_local(ask(address, request("POST", "/stream/", "one")));
        tokio::time::sleep(Duration::from_millis(15)).await;
        gateway.upstream_listed(Registration { is_leaving: true, ..listed });
        let got = asked.await.unwrap().unwrap();
        assert_eq!((got.body, got.is_whole), (text(1, 3), false));
        assert!(gateway.traffic.borrow().crash_suspects.is_empty(), "it is no crash");
    });
}

/// Guards against a stream that is cut and passes for complete, as its engine speaks HTTP/1.0, in which answers
/// end with their connection.
#[test]
fn old_protocol() {
    run(async {
        let head =
            "HTTP/1.0 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ncontent-type: text/event-stream\r\n\r\n";
        let pause = Act::Pause(Duration::from_millis(20));
        let script = move |number: usize| {
            let end = if number == 0 { Act::Reset } else { Act::Close };
            vec![Act::Write(format!("{head}{}", text(1, 3))), pause.clone(), end]
        };
        let upstream = FakeUpstream::start(Box::new(script)).await;
        let (_, address) = start(&[&upstream]).await;
        for (id, is_whole) in [("reset", false), ("closed", true)] {
            let got = ask(address, request("POST", "/stream/", id)).await.unwrap();
            assert_eq!((got.body, got.is_whole), (text(1, 3), is_whole), "{id}");
        }
    });
}

/// Guards against a stream without any event that passes for complete, as its connection was closed after the
/// head and no length was said.
#[test]
fn no_event() {
    run(async {
        let head =
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ncontent-type: text/event-stream\r\n\r\n";
        let script = move |_| vec![Act::Write(head.to_owned()), Act::Close];
        let upstream = FakeUpstream::start(Box::new(script)).await;
        let (_, address) = start(&[&upstream]).await;
        let got = ask(address, request("POST", "/stream/", "one")).await;
        assert!(got.as_ref().is_none_or(|got| !got.is_whole), "{got:?}");
    });
}

/// An engine that lives may end its answer with the connection.
#[test]
fn end_of_connection() {
    run(async {
        let head =
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ncontent-type: text/event-stream\r\n\r\n";
        let script = move |_| vec![Act::Write(format!("{head}{}", text(1, 3))), Act::Close];
        let upstream = FakeUpstream::start(Box::new(script)).await;
        let (_, address) = start(&[&upstream]).await;
        let got = ask(address, request("POST", "/stream/", "one")).await.unwrap();
        assert_eq!((got.body, got.is_whole), (text(1, 3), true));
    });
}

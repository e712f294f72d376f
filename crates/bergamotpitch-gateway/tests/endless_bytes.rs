//! Faulty upstreams send bytes that are no answer, without end.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bergamotpitch_control::traffic::registries::Registration;
use bergamotpitch_gateway::Gateway;
use common::{
    Act, FakeUpstream, Seen, ask, event, events_text, request, run, start, start_with_memory,
    stream_end, stream_head, whole,
};

/// What a gateway may read of one answer: eight megabytes, and what the sockets between them hold.
const READ_MAX: usize = 16 << 20;

/// The callers of these tests would wait for three seconds.
const SOON: Duration = Duration::from_millis(1_500);

fn head(lines: &str) -> Act {
    Act::Write(format!("HTTP/1.1 200 OK\r\nx-id: {{id}}\r\nx-seal: s\r\n{lines}\r\n"))
}

fn repeat(text: &str) -> Act {
    Act::Repeat(text.to_owned())
}

async fn upstream(acts: &[Act]) -> FakeUpstream {
    let acts = acts.to_vec();
    FakeUpstream::start(Box::new(move |_| acts.clone())).await
}

/// Bytes without end in a head, and in a body.
fn endless_answers() -> Vec<(&'static str, Vec<Act>)> {
    let chunked = || head("transfer-encoding: chunked\r\n");
    let chunk = format!("1000\r\n{}\r\n", "x".repeat(0x1000));
    vec![
        ("no answer", vec![repeat("x")]),
        ("headers", vec![Act::Write("HTTP/1.1 200 OK\r\n".to_owned()), repeat("x-a: b\r\n")]),
        ("one header", vec![Act::Write("HTTP/1.1 200 OK\r\nx-a: ".to_owned()), repeat("b")]),
        ("interim answers", vec![repeat("HTTP/1.1 102 Processing\r\n\r\n")]),
        ("chunks", vec![chunked(), repeat(&chunk)]),
        ("a chunk's size", vec![chunked(), repeat("0")]),
        ("a chunk's extension", vec![chunked(), Act::Write("4;a=".to_owned()), repeat("b")]),
        ("trailers", vec![chunked(), Act::Write("0\r\n".to_owned()), repeat("x-a: b\r\n")]),
        ("until it closes", vec![head(""), repeat("x")]),
        (
            "a failure's body",
            vec![
                Act::Write("HTTP/1.1 500 No\r\nx-id: {id}\r\nx-seal: s\r\n\r\n".to_owned()),
                repeat("x"),
            ],
        ),
    ]
}

/// Guards against a caller that waits until its deadline while its upstream sends without end, and against a
/// request that may be repeated and is not.
#[test]
fn soon_answered() {
    run(async {
        for (name, acts) in endless_answers() {
            let endless = upstream(&acts).await;
            let (gateway, address) = start(&[&endless]).await;
            let began = Instant::now();
            let got = ask(address, request("POST", "/once/", "one")).await.unwrap();
            assert_eq!((got.status, got.is_whole), (502, true), "{name}");
            assert!(began.elapsed() < SOON, "{name} took {:?}", began.elapsed());
            assert_eq!(endless.count(), 1, "{name}");
            let asked = tokio::task::spawn_local(ask(address, request("GET", "/safe/", "two")));
            while endless.count() < 2 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            let good = upstream(&[whole("200 OK", "done")]).await;
            gateway.upstream_listed(common::registration("good", good.address));
            let got = asked.await.unwrap().unwrap();
            assert_eq!((got.status, got.body.as_str()), (200, "done"), "{name}");
            assert!(endless.repeated.get() < 2 * READ_MAX, "{name} {}", endless.repeated.get());
            assert_eq!(*endless.abandoned.borrow(), 2, "{name}");
        }
    });
}

/// Guards against memory that an event without end takes until the deadline, and against a stream that does not go
/// on elsewhere meanwhile.
#[test]
fn endless_event() {
    run(async {
        let text = format!("100\r\n{}\r\n", "x".repeat(0x100));
        for path in ["/resumed/", "/stream/"] {
            let acts = [stream_head(), event(1), event(2), event(3), repeat(&text)];
            let endless = upstream(&acts).await;
            let (gateway, address) = start(&[&endless]).await;
            let began = Instant::now();
            let asked = tokio::task::spawn_local(ask(address, request("POST", path, "one")));
            while endless.count() < 1 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            let rest = upstream(&[stream_head(), event(4), event(5), event(6), stream_end()]).await;
            gateway.upstream_listed(common::registration("rest", rest.address));
            let got = asked.await.unwrap().unwrap();
            let may_go_on = path == "/resumed/";
            let events = events_text(1, if may_go_on { 6 } else { 3 });
            assert_eq!((got.body, got.is_whole), (events, may_go_on));
            assert!(began.elapsed() < SOON, "{:?}", began.elapsed());
            assert!(endless.repeated.get() < READ_MAX, "{}", endless.repeated.get());
        }
    });
}

/// Guards against a stream that is sent again and again what its caller has, which is never passed on.
#[test]
fn events_again() {
    run(async {
        let break_off = [stream_head(), event(1), event(2), Act::Pause(SOON / 10), Act::Reset];
        let broken = upstream(&break_off).await;
        let (gateway, address) = start(&[&broken]).await;
        let began = Instant::now();
        let asked = tokio::task::spawn_local(ask(address, request("POST", "/resumed/", "one")));
        while broken.count() < 1 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let Act::Write(known) = event(2) else { unreachable!("events are written") };
        let endless = upstream(&[stream_head(), repeat(&known)]).await;
        gateway.upstream_listed(common::registration("endless", endless.address));
        let got = asked.await.unwrap().unwrap();
        assert_eq!((got.body, got.is_whole), (events_text(1, 2), false));
        assert!(began.elapsed() < SOON, "{:?}", began.elapsed());
        assert!(endless.repeated.get() < READ_MAX, "{}", endless.repeated.get());
    });
}

/// Guards against memory that many answers take together, each within its own bound: an event that does not end, in a
/// hundred streams at once, and bodies without end.
#[test]
fn many_together() {
    const MEMORY_BYTES: usize = 1 << 20;
    run(async {
        let text = "x".repeat(100 << 10);
        let unfinished = format!("{:x}\r\n{text}\r\n", text.len());
        let body = head(&format!("content-length: {}\r\n", 4 << 20));
        for (path, acts) in [
            ("/stream/", vec![stream_head(), event(1), Act::Write(unfinished), Act::Hang]),
            ("/once/", vec![body, Act::Write(text.clone()), Act::Hang]),
        ] {
            let sound = [stream_head(), event(1), event(2), stream_end()];
            let script = move |seen: &Seen| match seen.header("x-id") {
                Some(id) if id.starts_with("sound") => sound.to_vec(),
                _ => acts.clone(),
            };
            let faulty = FakeUpstream::start_reading(Box::new(script)).await;
            let (gateway, address) = start_with_memory(&[], MEMORY_BYTES).await;
            let registration =
                Registration { slots: 100, ..common::registration("u0", faulty.address) };
            gateway.upstream_listed(registration);
            let ended = Rc::new(Cell::new(0));
            for number in 0..60 {
                let ended = Rc::clone(&ended);
                let request = request("POST", path, &format!("n{number}"));
                tokio::task::spawn_local(async move {
                    ask(address, request).await;
                    ended.set(ended.get() + 1);
                });
            }
            let began = Instant::now();
            while faulty.count() < 60 && began.elapsed() < SOON {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            tokio::time::sleep(SOON / 3).await;
            let held = faulty.count() - ended.get();
            let used = gateway.answer_bytes.used();
            assert!(held * text.len() <= used, "{path}: {held} answers hold more than {used}");
            assert!(used <= MEMORY_BYTES, "{path}: {used}");
            for number in 0..10 {
                let request = request("POST", "/stream/", &format!("sound{number}"));
                let got = ask(address, request).await;
                assert_eq!(got.unwrap().body, events_text(1, 2), "{path}");
            }
        }
    });
}

/// Guards against events that were passed on and that nobody reads, in many streams at once.
#[test]
fn unread_events() {
    const MEMORY_BYTES: usize = 1 << 20;
    run(async {
        let text = format!("data: {}\n\n", "x".repeat(200 << 10));
        let large = format!("{:x}\r\n{text}\r\n", text.len());
        let upstream = upstream(&[stream_head(), Act::Write(large.repeat(40)), stream_end()]).await;
        let (gateway, address) = start_with_memory(&[], MEMORY_BYTES).await;
        let registration =
            Registration { slots: 100, ..common::registration("u0", upstream.address) };
        gateway.upstream_listed(registration);
        let mut unread = Vec::new();
        for number in 0..30 {
            let mut sender = common::connect(address).await;
            let request = request("POST", "/stream/", &format!("n{number}"));
            let response = sender.send_request(request).await.unwrap();
            unread.push((sender, response));
        }
        tokio::time::sleep(SOON / 3).await;
        let used = gateway.answer_bytes.used();
        assert!((1..=MEMORY_BYTES).contains(&used), "{used}");
        drop(unread);
        let began = Instant::now();
        while !is_at_rest(&gateway) {
            assert!(began.elapsed() < SOON, "{} bytes are still held", gateway.answer_bytes.used());
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
}

fn is_at_rest(gateway: &Gateway) -> bool {
    gateway.answer_bytes.used() == 0
}

/// Guards against sound callers that notice what others are sent: many answers without end at once would take the
/// memory of all.
#[test]
fn others_served() {
    run(async {
        let chunk = format!("1000\r\n{}\r\n", "x".repeat(0x1000));
        let endless = upstream(&[head("transfer-encoding: chunked\r\n"), repeat(&chunk)]).await;
        let (gateway, address) = start_with_memory(&[&endless], 1 << 20).await;
        let flood: Vec<_> = (0..20)
            .map(|number| {
                let request = request("POST", "/once/", &format!("n{number}"));
                tokio::task::spawn_local(ask(address, request))
            })
            .collect();
        while endless.count() < 4 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let good = upstream(&[whole("200 OK", "done")]).await;
        gateway.upstream_listed(common::registration("good", good.address));
        for number in 0..10 {
            let request = request("GET", "/safe/", &format!("s{number}"));
            assert_eq!(ask(address, request).await.unwrap().body, "done");
            assert!(gateway.answer_bytes.used() <= 1 << 20);
        }
        for asked in flood {
            asked.await.unwrap().unwrap();
        }
        assert!(is_at_rest(&gateway), "memory of broken answers is still held");
        assert!(gateway.held_bytes.used() <= 1 << 20);
    });
}

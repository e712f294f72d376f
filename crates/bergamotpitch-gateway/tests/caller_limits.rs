//! What callers may send is bounded, and what upstreams are told is the system's own word.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{
    Act, FakeUpstream, ask, catalog, event, request, run, start, start_with, stream_end,
    stream_head, whole,
};
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn ok_upstream() -> FakeUpstream {
    FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await
}

#[test]
fn own_headers() {
    run(async {
        let upstream = ok_upstream().await;
        let (_, address) = start(&[&upstream]).await;
        let mut asked = request("POST", "/closed/a", "one");
        let headers = asked.headers_mut();
        headers.insert("x-key", "secret".parse().unwrap());
        headers.insert("x-team", "forged".parse().unwrap());
        headers.insert("connection", "x-hop".parse().unwrap());
        headers.insert("x-hop", "1".parse().unwrap());
        headers.insert("x-other", "kept".parse().unwrap());
        assert_eq!(ask(address, asked).await.unwrap().status, 200);
        let seen = upstream.seen.borrow()[0].clone();
        assert_eq!(seen.header("x-team"), Some("florists"));
        assert_eq!(seen.header("x-upstream"), Some("u0"));
        assert_eq!(seen.header("x-other"), Some("kept"));
        assert_eq!((seen.header("x-key"), seen.header("x-hop")), (None, None));
        assert_eq!(seen.header("x-id"), Some("one"));
        assert_eq!(seen.body, b"a body");
        let left_ms: u64 = seen.header("x-budget-ms").unwrap().parse().unwrap();
        assert!((2_000..=3_000).contains(&left_ms), "{left_ms}");
    });
}

#[test]
fn denied_callers() {
    run(async {
        let upstream = ok_upstream().await;
        let (_, address) = start(&[&upstream]).await;
        let status = async |path: &str, key: Option<&str>| {
            let mut asked = request("GET", path, "one");
            if let Some(key) = key {
                asked.headers_mut().insert("x-key", key.parse().unwrap());
            }
            ask(address, asked).await.unwrap().status
        };
        assert_eq!(status("/closed/", None).await, 401);
        assert_eq!(status("/closed/", Some("wrong")).await, 401);
        assert_eq!(status("/closed/", Some("secret")).await, 200);
        assert_eq!(status("/nowhere/", Some("secret")).await, 404);
        assert_eq!(status("/safe/", Some("wrong")).await, 200, "a public route needs no key");
    });
}

/// An instance that has read no configuration yet knows neither routes nor keys: 404 or 401 would
/// be wrong, and callers do not repeat after them.
#[test]
fn no_configuration() {
    run(async {
        let options = bergamotpitch_gateway::Options::default();
        let gateway =
            bergamotpitch_gateway::Gateway::start(options, common::DIALECT).await.unwrap();
        assert!(!gateway.is_ready());
        let address = gateway.options.caller_address;
        let got = ask(address, request("GET", "/safe/", "one")).await.unwrap();
        assert_eq!(got.status, 503);
        assert!(got.headers.contains_key("retry-after"));
    });
}

#[test]
fn large_body() {
    run(async {
        let upstream = ok_upstream().await;
        let mut catalog = catalog(1);
        catalog.limits.body_bytes = 1_000;
        let (_, address) = start_with(&[&upstream], catalog).await;
        let mut asked = request("POST", "/safe/", "one");
        *asked.body_mut() = Full::new(Bytes::from(vec![b'x'; 1_001]));
        assert_eq!(ask(address, asked).await.unwrap().status, 413);
        assert_eq!(upstream.count(), 0);
    });
}

/// Guards against a caller that is told that its request did not run, and not when to come back.
#[test]
fn late_body() {
    run(async {
        let upstream = ok_upstream().await;
        let (_, address) = start(&[&upstream]).await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        let head = "POST /once/ HTTP/1.1\r\nhost: test.example\r\nx-id: one\r\nx-budget-ms: 200\r\n\
                    content-length: 4\r\n\r\nb";
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        // The connection may be reset, as the rest of the body is not read.
        let _ = stream.read_to_end(&mut answer).await;
        let answer = String::from_utf8(answer).unwrap();
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
        assert!(answer.contains("retry-after: "), "{answer}");
        assert_eq!(upstream.count(), 0);
    });
}

/// Callers send large bodies while requests with large bodies wait for their answers. Held without a
/// bound, they take all of the memory, and the process ends with every request that it serves.
#[test]
fn many_bodies() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![Act::Hang])).await;
        let (gateway, address) = common::start_with_memory(&[&upstream], 2_500).await;
        let large = |id: &str| {
            let mut asked = request("POST", "/safe/", id);
            *asked.body_mut() = Full::new(Bytes::from(vec![b'x'; 1_000]));
            asked
        };
        let mut held: Vec<_> = Vec::new();
        for number in 0..2 {
            let asked = large(&format!("n{number}"));
            held.push(tokio::task::spawn_local(ask(address, asked)));
        }
        while upstream.count() < 2 {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        assert_eq!(gateway.held_bytes.used(), 2_000);
        let refused = ask(address, large("late")).await.unwrap();
        assert_eq!(refused.status, 503);
        assert!(refused.headers.contains_key("retry-after"));
        assert_eq!(upstream.count(), 2);
        held.iter().for_each(tokio::task::JoinHandle::abort);
        while gateway.held_bytes.used() != 0 {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    });
}

/// A caller sends its head byte by byte, for ever. Each such connection holds a descriptor.
#[test]
fn slow_head() {
    run(async {
        let upstream = ok_upstream().await;
        let mut catalog = catalog(1);
        catalog.limits.header_timeout = Duration::from_millis(300);
        let (gateway, address) = start_with(&[&upstream], catalog).await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(b"GET /safe/ HTTP/1.1\r\nho").await.unwrap();
        let read = tokio::time::timeout(Duration::from_secs(5), stream.read(&mut [0; 16])).await;
        assert_eq!(read.expect("the connection stays open").unwrap_or(0), 0);
        assert_eq!(gateway.connection_count(), 0);
    });
}

/// A connection without a request stays open for the time that callers may reuse it, and no longer.
#[test]
fn idle_connection() {
    run(async {
        let upstream = ok_upstream().await;
        let mut catalog = catalog(1);
        catalog.limits.header_timeout = Duration::from_millis(100);
        catalog.limits.idle_timeout = Duration::from_millis(1_200);
        let (gateway, address) = start_with(&[&upstream], catalog).await;
        let mut sender = common::connect(address).await;
        common::ask_on(&mut sender, request("GET", "/safe/", "one")).await.unwrap();
        tokio::time::sleep(Duration::from_millis(800)).await;
        let again = common::ask_on(&mut sender, request("GET", "/safe/", "two")).await;
        assert_eq!(again.expect("closed too early").status, 200);
        tokio::time::sleep(Duration::from_millis(1_800)).await;
        assert_eq!(gateway.connection_count(), 0);
    });
}

/// Callers open connection after connection and keep them. Without an end to idle ones no descriptor
/// is left, and whoever comes next waits in the system's queue until it gives up.
#[test]
fn many_connections() {
    run(async {
        let upstream = ok_upstream().await;
        let (gateway, address) = common::start_bounded(&[&upstream], 40).await;
        let mut callers = Vec::new();
        for number in 0..120 {
            let mut sender = common::connect(address).await;
            let asked = request("GET", "/safe/", &format!("n{number}"));
            let got = common::ask_on(&mut sender, asked).await;
            assert_eq!(got.expect("a fresh connection is served").status, 200);
            callers.push(sender);
        }
        assert!(gateway.connection_count() <= 72, "{}", gateway.connection_count());
    });
}

/// A flood reaches one instance, and every connection that it may have carries a request. Each further
/// one made the process larger until the system ended it, with all answers that were under way.
#[test]
fn flooded_instance() {
    run(async {
        let script = |_| vec![Act::Pause(Duration::from_millis(400)), whole("200 OK", "late")];
        let upstream = FakeUpstream::start(Box::new(script)).await;
        let (gateway, address) = common::start_bounded(&[&upstream], 8).await;
        let ask_slowly = |number| {
            let asked = request("GET", "/safe/", &format!("n{number}"));
            tokio::task::spawn_local(ask(address, asked))
        };
        let taken: Vec<_> = (0..8).map(ask_slowly).collect();
        while upstream.count() < 8 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let turned_away = ask(address, request("GET", "/safe/", "more")).await.unwrap();
        assert_eq!(turned_away.status, 503);
        assert!(turned_away.headers.contains_key("retry-after"));
        assert_eq!(turned_away.headers["connection"], "close");
        let metrics = gateway.metrics.text();
        let counted = metrics.lines().find(|line| line.starts_with("bergamotpitch_callers_turned"));
        assert!(counted.is_some_and(|line| line.ends_with(" 1")), "{counted:?}");
        assert_eq!(gateway.in_flight(), 8, "it is told at once, and nobody is cut off for it");
        for answer in taken {
            assert_eq!(answer.await.unwrap().unwrap().status, 200);
        }
        assert_eq!(upstream.count(), 8);
        let served = ask(address, request("GET", "/safe/", "again")).await.unwrap();
        assert_eq!(served.status, 200, "with the flood over, callers are served as before");
    });
}

/// All connections that an instance may have carry streams of events, which go on for seconds. Taken
/// for idle between their first event and the last, they made room for others that there was none for.
#[test]
fn open_streams() {
    run(async {
        let script = |_| {
            let pause = Act::Pause(Duration::from_millis(400));
            vec![stream_head(), event(1), pause, event(2), stream_end()]
        };
        let upstream = FakeUpstream::start(Box::new(script)).await;
        let (gateway, address) = common::start_bounded(&[&upstream], 4).await;
        let ask_slowly = |number| {
            let asked = request("GET", "/stream/", &format!("n{number}"));
            tokio::task::spawn_local(ask(address, asked))
        };
        let taken: Vec<_> = (0..4).map(ask_slowly).collect();
        while upstream.count() < 4 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(gateway.serving_count(), 4);
        let turned_away = ask(address, request("GET", "/safe/", "more")).await.unwrap();
        assert_eq!(turned_away.status, 503);
        for answer in taken {
            let answer = answer.await.unwrap().unwrap();
            assert!(answer.body.contains("piece 2"), "{}", answer.body);
        }
    });
}

/// While all connections of an instance carry requests, callers open others and say nothing. They would
/// keep those that come after them out of the instance until a time limit of a minute ends them.
#[test]
fn silent_callers() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![Act::Hang])).await;
        let (_gateway, address) = common::start_bounded(&[&upstream], 8).await;
        let taken: Vec<_> = (0..8)
            .map(|number| {
                let asked = request("GET", "/safe/", &format!("n{number}"));
                tokio::task::spawn_local(ask(address, asked))
            })
            .collect();
        while upstream.count() < 8 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let mut silent = Vec::new();
        for _ in 0..6 {
            silent.push(TcpStream::connect(address).await.unwrap());
        }
        let asked = ask(address, request("GET", "/safe/", "more"));
        let told = tokio::time::timeout(Duration::from_secs(2), asked).await;
        assert_eq!(told.expect("it is told at once").unwrap().status, 503);
        taken.iter().for_each(tokio::task::JoinHandle::abort);
    });
}

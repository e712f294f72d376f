//! Answers whose upstream stops in their heads, or whose end nothing tells, never look whole.

mod common;

use std::net::SocketAddr;

use common::crashes::{CrashingUpstream, Ending};
use common::{
    Act, FakeUpstream, Got, ask, ask_on, connect, event, registration, request, run, start,
    stream_end, stream_head,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Heads of answers: with a length, in chunks, up to the end of the connection, of the version before, with bare
/// line feeds, after informational ones, of streams, and with framings that contradict themselves.
const HEADS: [&str; 14] = [
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ncontent-length: 50\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\n\r\n",
    "HTTP/1.0 200 OK\r\nx-id: {id}\r\nx-seal: s\r\n\r\n",
    "HTTP/1.0 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ncontent-length: 50\r\n\r\n",
    "HTTP/1.1 200 OK\nx-id: {id}\nx-seal: s\ncontent-length: 50\n\n",
    "HTTP/1.1 200\r\nx-id: {id}\r\nconnection: close\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 50\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 9\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-type: text/event-stream\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nx-id: {id}\r\n\r\n",
    "HTTP/1.1 206 Partial Content\r\nx-id: {id}\r\ncontent-length: 50\r\n\r\n",
];

/// How many requests are in hand at the same time.
const AT_ONCE: usize = 48;

/// A path that tells the upstream which head to begin, how many bytes of it to write and how to end.
fn path(route: &str, head: usize, length: usize, ending: &str) -> String {
    format!("/{route}/{head}/{length}/{ending}")
}

/// Answers as a path tells it; other paths get whole answers.
async fn stopping() -> FakeUpstream {
    let script = |seen: &common::Seen| {
        let path = seen.head.split(' ').nth(1).unwrap().to_owned();
        let words: Vec<&str> = path.split('/').skip(2).collect();
        let [head, length, ending] = words[..] else {
            return vec![common::whole("200 OK", "sound")];
        };
        let id = seen.header("x-id").unwrap();
        let head = HEADS[head.parse::<usize>().unwrap()].replace("{id}", id);
        let written = head[..length.parse::<usize>().unwrap()].to_owned();
        let pause = Act::Pause(std::time::Duration::from_millis(1));
        match ending {
            "reset" => vec![Act::Write(written), pause, Act::Reset],
            // In segments of their own.
            "pause" => {
                let (first, second) = written.split_at(written.len() / 2);
                vec![Act::Write(first.into()), pause, Act::Write(second.into()), Act::Close]
            }
            _ => vec![Act::Write(written), Act::Close],
        }
    };
    FakeUpstream::start_reading(Box::new(script)).await
}

async fn ask_all(address: SocketAddr, asked: Vec<(&'static str, String)>) {
    for asked in asked.chunks(AT_ONCE) {
        let asked: Vec<_> = asked
            .iter()
            .map(|(method, path)| {
                let (request, path) = (request(method, path, "x"), path.clone());
                let answer = async move { (path, ask(address, request).await) };
                tokio::task::spawn_local(answer)
            })
            .collect();
        for asked in asked {
            let (path, got) = asked.await.unwrap();
            let got: Got = got.unwrap_or_else(|| panic!("{path}: no answer"));
            assert!(!(200..300).contains(&got.status), "{path}: {got:?}");
        }
    }
}

/// Guards against an answer that looks whole although its upstream stopped in the middle of its head: cut at every
/// byte, and ended in order, by a reset or in two segments.
#[test]
fn cut_heads() {
    run(async {
        let upstream = stopping().await;
        let (_, address) = start(&[&upstream]).await;
        for (number, head) in HEADS.iter().enumerate() {
            let head = head.replace("{id}", "x");
            let mut asked = Vec::new();
            for length in 0..head.len() {
                let ending = ["close", "reset", "pause"][length % 3];
                asked.push(("POST", path("once", number, length, ending)));
                if length % 7 == number % 7 {
                    asked.push(("GET", path("safe", number, length, "close")));
                    asked.push(("POST", path("resumed", number, length, "close")));
                }
            }
            ask_all(address, asked).await;
        }
    });
}

/// Guards against the same on a kept connection, and on the second try after a first event was passed on.
#[test]
fn later_cut_heads() {
    run(async {
        let upstream = stopping().await;
        let (_, address) = start(&[&upstream]).await;
        let mut sender = connect(address).await;
        for length in [0, 9, 15, 17, 40] {
            let sound = ask_on(&mut sender, request("GET", "/safe/", "sound")).await.unwrap();
            assert_eq!((sound.status, sound.body.as_str()), (200, "sound"));
            let path = path("once", 0, length, "close");
            let got = ask_on(&mut sender, request("POST", &path, "x")).await.unwrap();
            assert_eq!(got.status, 502, "{got:?}");
        }
        for length in [0, 9, 15, 17, 40, 60] {
            let script = move |number: usize| match number {
                0 => vec![stream_head(), event(1), Act::Reset],
                _ => vec![Act::Write(HEADS[10][..length].to_owned()), Act::Close],
            };
            let upstreams = [
                FakeUpstream::start(Box::new(script)).await,
                FakeUpstream::start(Box::new(script)).await,
            ];
            let (_, address) = start(&[&upstreams[0], &upstreams[1]]).await;
            let got = ask(address, request("POST", "/resumed/", "x")).await.unwrap();
            assert!(!got.is_whole, "{length}: {got:?}");
        }
    });
}

/// Sends a request of a caller of the version before; returns what came and whether the connection ended in order.
async fn ask_as_old_caller(address: SocketAddr, path: &str) -> (String, bool) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("POST {path} HTTP/1.0\r\nhost: test.example\r\nx-id: x\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let ended = stream.read_to_end(&mut answer).await;
    (String::from_utf8(answer).unwrap(), ended.is_ok())
}

/// Guards against a stream that was cut and looks whole to a caller of HTTP/1.0: its answer has neither a length nor
/// chunks, and the end of its connection is all that tells.
#[test]
fn old_caller() {
    run(async {
        for (acts, is_whole) in [
            (vec![stream_head(), Act::Close], false),
            (
                vec![
                    stream_head(),
                    event(1),
                    Act::Pause(std::time::Duration::from_millis(20)),
                    Act::Reset,
                ],
                false,
            ),
            (vec![stream_head(), event(1), event(2), stream_end()], true),
        ] {
            let upstream = FakeUpstream::start(Box::new(move |_| acts.clone())).await;
            let (_, address) = start(&[&upstream]).await;
            let (answer, has_ended) = ask_as_old_caller(address, "/stream/").await;
            assert_eq!(has_ended, is_whole, "{answer}");
            assert_eq!(answer.contains("piece 2"), is_whole, "{answer}");
        }
    });
}

/// Guards against an answer that is taken for whole because it has a header that frames nothing, while its upstream
/// ended in the middle of it.
#[test]
fn named_framing() {
    run(async {
        for framing in ["identity", "gzip"] {
            let crashing = CrashingUpstream::start_ending(Ending::Named(framing)).await;
            let (gateway, address) = start(&[]).await;
            gateway.upstream_listed(registration("crashing", crashing.address));
            let got = ask(address, request("GET", "/once/", "one")).await.unwrap();
            assert_eq!(got.status, 502, "{framing}: {got:?}");
        }
    });
}

/// Guards against a body that is taken for whole by a length that contradicts another one, or is none.
#[test]
fn contradicting_lengths() {
    run(async {
        for lengths in [
            "content-length: 4\r\ncontent-length: 50",
            "content-length: 50\r\ncontent-length: 4",
            "content-length: 4, 50",
            "content-length: +4",
            "content-length: -4",
            "content-length: 18446744073709551620",
            "content-length: 4\r\ntransfer-encoding: chunked",
        ] {
            let acts = move |_| {
                let head = format!("HTTP/1.1 200 OK\r\nx-id: x\r\nx-seal: s\r\n{lengths}\r\n\r\n");
                vec![Act::Write(head + "half"), Act::Close]
            };
            let upstream = FakeUpstream::start(Box::new(acts)).await;
            let (_, address) = start(&[&upstream]).await;
            let got = ask(address, request("POST", "/once/", "x")).await.unwrap();
            assert_eq!(got.status, 502, "{lengths}: {got:?}");
        }
    });
}

/// Guards against a cut stream that looks whole to a caller that sends several requests at once, or that closes its
/// side after them: no last chunk and no other answer come after it.
#[test]
fn pipelining_caller() {
    run(async {
        for is_half_closed in [false, true] {
            let acts = |_| vec![stream_head(), event(1), Act::Reset];
            let upstream = FakeUpstream::start(Box::new(acts)).await;
            let (_, address) = start(&[&upstream]).await;
            let mut stream = TcpStream::connect(address).await.unwrap();
            let request = "POST /stream/ HTTP/1.1\r\nhost: test.example\r\nx-id: x\r\n\r\n";
            stream.write_all(request.repeat(2).as_bytes()).await.unwrap();
            if is_half_closed {
                stream.shutdown().await.unwrap();
            }
            let mut answer = Vec::new();
            // A reset ends it as well as a close.
            let _ = stream.read_to_end(&mut answer).await;
            let answer = String::from_utf8(answer).unwrap();
            assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
            assert!(!answer.ends_with("\r\n0\r\n\r\n"), "{answer}");
            // Who closes its side has left: nothing is sent on.
            let is_sent_on = upstream.seen.borrow().len() == 1;
            assert_eq!(answer.starts_with("HTTP/1.1 200"), is_sent_on, "{answer}");
            assert_eq!(is_sent_on, !is_half_closed, "{answer}");
        }
    });
}

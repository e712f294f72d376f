//! Upstreams that answer while the request is still being written.

mod common;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use common::{Got, ask, registration, request, run, start};
use http::Request;
use http_body_util::Full;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// How an upstream ends an answer that it gave before it had the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// It resets the connection.
    Reset,
    /// It closes it with bytes unread, so that the system resets it.
    Close,
    /// It ends its own side, and resets the connection half a second later.
    HalfClose,
    /// It keeps the connection open and reads on.
    Keep,
}

/// `Early` answers once it has read some bytes of a request's body.
struct Early {
    address: SocketAddr,
    /// Whether connections were closed by the other side before the whole request had come.
    cut: Rc<RefCell<Vec<bool>>>,
}

impl Early {
    /// `{id}` in the answer stands for the request's id.
    async fn start(answer: &str, read_bytes: usize, pause: Duration, end: End) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let cut: Rc<RefCell<Vec<bool>>> = Rc::default();
        let (answer, all) = (answer.to_owned(), Rc::clone(&cut));
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (answer, all) = (answer.clone(), Rc::clone(&all));
                tokio::task::spawn_local(async move {
                    if let Some(is_cut) = serve(stream, &answer, read_bytes, pause, end).await {
                        all.borrow_mut().push(is_cut);
                    }
                });
            }
        });
        Self { address, cut }
    }
}

async fn serve(
    mut stream: TcpStream,
    answer: &str,
    read_bytes: usize,
    pause: Duration,
    end: End,
) -> Option<bool> {
    let mut read = Vec::new();
    let head = loop {
        if let Some(at) = read.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(&mut read).await.ok()? == 0 {
            return None;
        }
    };
    let text = String::from_utf8_lossy(&read[..head]).into_owned();
    let field = |name: &str| {
        text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": ")).map(str::to_owned)
    };
    let id = field("x-id").unwrap_or_default();
    let length: usize = field("content-length")?.parse().ok()?;
    while read.len() < head + read_bytes {
        stream.read_buf(&mut read).await.ok()?;
    }
    stream.write_all(answer.replace("{id}", &id).as_bytes()).await.ok()?;
    tokio::time::sleep(pause).await;
    match end {
        End::Reset => SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap(),
        End::Close => {}
        End::HalfClose => {
            stream.shutdown().await.ok()?;
            tokio::time::sleep(Duration::from_millis(500)).await;
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
        End::Keep => {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let mut count = read.len() - head;
            let mut buffer = vec![0; 64 << 10];
            while count < length {
                match stream.read(&mut buffer).await {
                    Ok(read) if 0 < read => count += read,
                    _ => return Some(true),
                }
            }
            return Some(false);
        }
    }
    None
}

fn upload(path: &str, id: &str, bytes: usize) -> Request<Full<Bytes>> {
    let mut upload = request("POST", path, id);
    *upload.body_mut() = Full::new(Bytes::from(vec![b'x'; bytes]));
    upload
}

/// Heads without a length, and what comes of their bodies.
const UNFRAMED: [&str; 2] = [
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ncontent-type: text/event-stream\r\n\r\n\
     id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n",
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ncontent-type: application/json\r\n\r\n{\"part\":",
];

/// Around what the sockets of a loopback connection hold, and far beyond it.
const UPLOAD_BYTES: [usize; 3] = [700_000, 1_500_000, 4_000_000];

fn is_whole_success(got: &Option<Got>) -> bool {
    got.as_ref().is_some_and(|got| (200..300).contains(&got.status) && got.is_whole)
}

/// Guards against a part of an answer that passes for whole: its upstream ended it before the request was written.
#[test]
fn ended_during_upload() {
    run(async {
        for answer in UNFRAMED {
            for end in [End::Reset, End::Close, End::HalfClose] {
                for pause_ms in [0, 30] {
                    let pause = Duration::from_millis(pause_ms);
                    let early = Early::start(answer, 1_000, pause, end).await;
                    let (gateway, address) = start(&[]).await;
                    gateway.upstream_listed(registration("early", early.address));
                    let mut asked = Vec::new();
                    for path in ["/once/", "/safe/", "/resumed/"] {
                        for bytes in UPLOAD_BYTES {
                            let request = upload(path, &format!("{path}{bytes}"), bytes);
                            asked.push((
                                path,
                                bytes,
                                tokio::task::spawn_local(ask(address, request)),
                            ));
                        }
                    }
                    for (path, bytes, asked) in asked {
                        let got = asked.await.unwrap();
                        assert!(
                            !is_whole_success(&got),
                            "{path} {bytes} {end:?} after {pause:?}: {:?}",
                            got.map(|got| (got.status, got.body))
                        );
                    }
                }
            }
        }
    });
}

/// Guards against an upstream that gets the next request where the rest of a body is due, and against bytes that are
/// sent to one that has answered. An answer whose end is known stands, however early it came.
#[test]
fn whole_before_upload() {
    run(async {
        let answers = [
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ncontent-length: 4\r\n\r\ndone",
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n\
             4\r\ndone\r\n0\r\n\r\n",
        ];
        for answer in answers {
            let early = Early::start(answer, 1_000, Duration::ZERO, End::Keep).await;
            let (gateway, address) = start(&[]).await;
            gateway.upstream_listed(registration("early", early.address));
            for path in ["/once/", "/safe/"] {
                let got = ask(address, upload(path, path, 4_000_000)).await.unwrap();
                assert_eq!((got.status, got.body.as_str(), got.is_whole), (200, "done", true));
            }
            for _ in 0..100 {
                if early.cut.borrow().len() == 2 {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            assert_eq!(*early.cut.borrow(), [true, true]);
            assert_eq!(gateway.pools.count(), 0);
        }
    });
}

/// Guards against an upload that was refused unread and is told to its caller as an unknown outcome.
#[test]
fn refused_during_upload() {
    run(async {
        for status in ["413 Content Too Large", "429 Too Many Requests", "503 Full"] {
            let answer = format!(
                "HTTP/1.1 {status}\r\nx-id: {{id}}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
            );
            let early = Early::start(&answer, 0, Duration::ZERO, End::Keep).await;
            let (gateway, address) = start(&[]).await;
            gateway.upstream_listed(registration("early", early.address));
            let got = ask(address, upload("/once/", "one", 4_000_000)).await.unwrap();
            assert_eq!(got.status, 503, "{status}: {}", got.body);
            assert!(got.body.contains("\"ran\":\"not_run\""), "{}", got.body);
        }
    });
}

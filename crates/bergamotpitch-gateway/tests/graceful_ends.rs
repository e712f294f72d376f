//! The end of a process cuts no answer.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_gateway::{Gateway, Options, drains};
use common::{
    Act, FakeUpstream, ask, ask_on, catalog, connect, event, launch, request, run, start,
    stream_end, stream_head, whole,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// The grace of an instance that is to end soon; it refuses requests from 2.4 s on, and ends after 3.2 s.
const SHORT_GRACE: Duration = Duration::from_millis(3_600);

async fn start_short(upstreams: &[&FakeUpstream]) -> (Rc<Gateway>, SocketAddr) {
    let options = Options { grace: SHORT_GRACE, ..Options::default() };
    launch(upstreams, catalog(1), options).await
}

fn begin_drain(gateway: &Rc<Gateway>) -> JoinHandle<()> {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move { drains::drain(&gateway).await })
}

/// Sends a request whose body ends some time after its head, and returns what comes.
async fn ask_slowly(address: SocketAddr, path: &str, pause: Duration) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: test.example\r\nx-id: {}\r\nx-budget-ms: 4000\r\n\
         content-length: 4\r\n\r\nb",
        pause.as_millis()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    let rest = tokio::task::spawn_local(async move {
        tokio::time::sleep(pause).await;
        // The answer may have come before.
        let _ = writer.write_all(b"ody").await;
        writer
    });
    let mut answer = Vec::new();
    let _ = reader.read_to_end(&mut answer).await;
    drop(rest.await.unwrap());
    String::from_utf8(answer).unwrap()
}

/// Guards against a request that is passed on when its body is there, late in the grace, and cut at its end.
#[test]
fn late_body() {
    run(async {
        let work = vec![Act::Pause(Duration::from_millis(600)), whole("200 OK", "done")];
        let upstream = FakeUpstream::start(Box::new(move |_| work.clone())).await;
        let (gateway, address) = start_short(&[&upstream]).await;
        let drained = begin_drain(&gateway);
        tokio::time::sleep(Duration::from_millis(50)).await;
        let pauses = [200, 1_000, 2_500, 2_800, 3_000].map(Duration::from_millis);
        let asked = ["/once/", "/safe/", "/stream/"]
            .iter()
            .flat_map(|path| pauses.map(|pause| (path, pause)))
            .map(|(path, pause)| {
                (pause, tokio::task::spawn_local(ask_slowly(address, path, pause)))
            });
        for (pause, asked) in asked.collect::<Vec<_>>() {
            let expected = match pause < Duration::from_secs(2) {
                true => "HTTP/1.1 200",
                false => "HTTP/1.1 503",
            };
            let answer = asked.await.unwrap();
            assert!(answer.starts_with(expected), "{pause:?}: {answer}");
        }
        drained.await.unwrap();
        assert_eq!(upstream.count(), 6);
    });
}

/// Guards against a connection that ends without an answer as the grace is over: what has not run may come back,
/// and of what may have run its caller learns that.
#[test]
fn grace_over() {
    run(async {
        let hangs = FakeUpstream::start(Box::new(|_| vec![Act::Hang])).await;
        let (gateway, address) = start_short(&[&hangs]).await;
        let mut once = request("POST", "/once/", "once");
        once.headers_mut().insert("x-budget-ms", "4000".parse().unwrap());
        let at_work = tokio::task::spawn_local(ask(address, once));
        while hangs.count() < 1 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let drained = begin_drain(&gateway);
        // Its four slots and its queue are taken one after the other; the rest waits here.
        let more: Vec<_> = (0..40)
            .map(|number| {
                let mut request = request("GET", "/safe/", &format!("s{number}"));
                request.headers_mut().insert("x-budget-ms", "4000".parse().unwrap());
                tokio::task::spawn_local(ask(address, request))
            })
            .collect();
        drained.await.unwrap();
        let got = at_work.await.unwrap().expect("an answer");
        assert_eq!((got.status, got.is_whole), (502, true));
        for asked in more {
            let got = asked.await.unwrap().expect("an answer");
            assert!([502, 503].contains(&got.status) && got.is_whole, "{got:?}");
        }
        assert_eq!((gateway.in_flight(), gateway.connection_count()), (0, 0));
    });
}

/// Guards against an answer that is cut although its length was to be foreseen: another instance serves the
/// request at once.
#[test]
fn long_answers() {
    run(async {
        let script = |_: usize| {
            vec![
                stream_head(),
                event(1),
                Act::Pause(Duration::from_millis(2_500)),
                event(2),
                stream_end(),
            ]
        };
        let upstream = FakeUpstream::start(Box::new(script)).await;
        let (gateway, address) = start_short(&[&upstream]).await;
        for path in ["/stream/", "/resumed/"] {
            let known = ask(address, request("POST", path, path)).await.unwrap();
            assert!(known.is_whole);
        }
        let drained = begin_drain(&gateway);
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        let refused = ask(address, request("POST", "/stream/", "second")).await.unwrap();
        assert_eq!((refused.status, refused.is_whole), (503, true));
        assert!(refused.headers.contains_key("retry-after"));
        let mut resumed = request("POST", "/resumed/", "third");
        resumed.headers_mut().insert("x-budget-ms", "4000".parse().unwrap());
        let cut = ask(address, resumed).await.unwrap();
        assert_eq!((cut.status, cut.is_whole), (200, false), "it goes on elsewhere");
        drained.await.unwrap();
        assert_eq!(upstream.count(), 3);
    });
}

/// An instance is stopped while a stream runs and callers keep connections. The stream must end in
/// order, kept connections must end between two requests, and the balancer must be told.
#[test]
fn stopped_instance() {
    run(async {
        let script = |number: usize| match number {
            0 => vec![
                stream_head(),
                event(1),
                Act::Pause(Duration::from_millis(2_700)),
                event(2),
                stream_end(),
            ],
            _ => vec![whole("200 OK", "done")],
        };
        let upstream = FakeUpstream::start(Box::new(script)).await;
        let (gateway, address) = start(&[&upstream]).await;
        let stream = tokio::task::spawn_local(ask(address, request("POST", "/stream/", "stream")));
        tokio::time::sleep(Duration::from_millis(50)).await;
        let mut kept = connect(address).await;
        assert_eq!(ask_on(&mut kept, request("GET", "/safe/", "a")).await.unwrap().status, 200);
        assert!(gateway.is_ready());
        let drained = Rc::clone(&gateway);
        let drain = tokio::task::spawn_local(async move {
            drains::drain(&drained).await;
            // What is in flight now is cut by the end of the process.
            drained.in_flight()
        });
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(!gateway.is_ready());
        // Until the balancer has noticed, requests are served, and connections end after them.
        let got = ask_on(&mut kept, request("GET", "/safe/", "b")).await.unwrap();
        assert_eq!(got.status, 200);
        assert_eq!(got.headers["connection"], "close");
        let stream = stream.await.unwrap().unwrap();
        assert!(stream.is_whole && stream.body.contains("piece 2"), "{stream:?}");
        assert_eq!(drain.await.unwrap(), 0);
        assert_eq!((gateway.in_flight(), gateway.connection_count()), (0, 0));
    });
}

//! A caller that leaves frees its upstream.

mod common;

use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_gateway::callers::CallerConnection;

use common::{Act, FakeUpstream, connect, event, request, run, start, stream_head, whole};

/// `FREED_WITHIN` is the time within which an upstream must be free again.
const FREED_WITHIN: Duration = Duration::from_millis(500);

/// A caller closes its connection before the answer. The engine would generate for nobody while
/// others wait.
#[test]
fn before_answer() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![Act::Hang])).await;
        let (gateway, address) = start(&[&upstream]).await;
        let mut sender = connect(address).await;
        let asked = sender.send_request(request("POST", "/once/", "one"));
        let _ = tokio::time::timeout(Duration::from_millis(100), asked).await;
        assert_eq!(upstream.count(), 1);
        drop(sender);
        tokio::time::sleep(FREED_WITHIN).await;
        assert_eq!(*upstream.abandoned.borrow(), 1);
        assert_eq!(gateway.in_flight(), 0);
    });
}

/// The same within a stream.
#[test]
fn within_stream() {
    run(async {
        let script = |_| vec![stream_head(), event(1), Act::Hang];
        let upstream = FakeUpstream::start(Box::new(script)).await;
        let (gateway, address) = start(&[&upstream]).await;
        let mut sender = connect(address).await;
        let response = sender.send_request(request("POST", "/stream/", "one")).await.unwrap();
        assert_eq!(gateway.in_flight(), 1);
        drop(response);
        drop(sender);
        tokio::time::sleep(FREED_WITHIN).await;
        assert_eq!(*upstream.abandoned.borrow(), 1);
        assert_eq!(gateway.in_flight(), 0);
    });
}

/// An instance is late, and by the time it reads a request its caller has long given up and closed
/// the connection. Sent on, the request would keep an engine busy for nobody.
#[test]
fn before_reading() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (_, address) = start(&[&upstream]).await;
        // With a warm connection to the upstream, nothing but the caller's end holds a request up.
        common::ask(address, request("GET", "/safe/", "warm")).await.unwrap();
        for number in 0..5 {
            let mut caller = std::net::TcpStream::connect(address).unwrap();
            let head =
                format!("GET /safe/ HTTP/1.1\r\nhost: test.example\r\nx-id: n{number}\r\n\r\n");
            std::io::Write::write_all(&mut caller, head.as_bytes()).unwrap();
            drop(caller);
        }
        tokio::time::sleep(FREED_WITHIN).await;
        assert_eq!(upstream.count(), 1);
    });
}

/// The end of a caller's connection may stand behind a request that was not read yet.
#[test]
fn noticed_end() {
    run(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut caller = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let connection = CallerConnection::new(Rc::new(stream), false);
        assert!(!connection.is_left(), "an idle caller is taken for gone");
        std::io::Write::write_all(&mut caller, b"GET").unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert!(!connection.is_left(), "a caller that sends more is taken for gone");
        let left = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let connection = CallerConnection::new(Rc::new(stream), false);
        drop(left);
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert!(connection.is_left());
    });
}

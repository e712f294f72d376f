//! Callers that wait to be accepted by an instance that falls behind.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{FakeUpstream, ask_on, request, run, start, whole};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Callers of the flood; the system lets fewer wait.
const FLOOD: usize = 1_000;

/// How long one turn of the instance's loop takes.
const TURN: Duration = Duration::from_millis(70);

/// Time within which an instance that says it is ready takes in a caller.
const ACCEPT_BOUND: Duration = Duration::from_secs(4);

/// How long a caller tries to connect before it tries again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Guards against a long queue of callers that have given up, behind which nobody is served in time.
#[test]
fn departed_callers() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (_gateway, address) = start(&[&upstream]).await;
        flood(address).await;
        tokio::task::spawn_local(async {
            loop {
                std::thread::sleep(TURN);
                tokio::task::yield_now().await;
            }
        });
        let began = Instant::now();
        let stream = connect_in_the_end(address).await;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::task::spawn_local(connection);
        let got = ask_on(&mut sender, request("GET", "/safe/", "a")).await.unwrap();
        assert_eq!(got.status, 200);
        let took = began.elapsed();
        assert!(took < ACCEPT_BOUND, "the caller waited for {took:?}");
    });
}

/// Opens connections before the instance accepts any of them, asks something on each and leaves.
async fn flood(address: SocketAddr) {
    let head = "GET /safe/ HTTP/1.1\r\nhost: test.example\r\nx-id: f\r\n\r\n";
    let callers = tokio::task::spawn_blocking(move || {
        let connect = || std::net::TcpStream::connect_timeout(&address, CONNECT_TIMEOUT);
        // A full queue refuses each further one in the same way.
        let mut streams: Vec<_> = (0..FLOOD).map_while(|_| connect().ok()).collect();
        for stream in &mut streams {
            std::io::Write::write_all(stream, head.as_bytes()).unwrap();
        }
    });
    // The thread that accepts is kept busy meanwhile.
    while !callers.is_finished() {
        std::thread::sleep(Duration::from_millis(1));
    }
    callers.await.unwrap();
}

async fn connect_in_the_end(address: SocketAddr) -> TcpStream {
    loop {
        if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            return stream;
        }
    }
}

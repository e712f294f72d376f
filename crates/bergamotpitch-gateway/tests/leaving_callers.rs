//! A caller that leaves frees its upstream.

mod common;

use std::time::Duration;

use common::{Act, FakeUpstream, connect, event, request, run, start, stream_head};

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

//! The end of a process cuts no answer.

mod common;

use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_gateway::drains;
use common::{
    Act, FakeUpstream, ask, ask_on, connect, event, request, run, start, stream_end, stream_head,
    whole,
};

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

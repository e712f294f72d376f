//! What is no final answer to the request reaches no caller as one.

mod common;

use common::{Act, FakeUpstream, ask, request, run, start, whole};

/// Status lines that HTTP does not know (RFC 9112, section 4), and those of final answers that are none.
const STATUSES: [&str; 14] = [
    "000 X",
    "001 X",
    "099 X",
    "1000 X",
    "20 X",
    "0200 X",
    "+20 X",
    "200x X",
    "600 X",
    "699 X",
    "999 X",
    "101 Switching Protocols",
    "102 Processing",
    "199 X",
];

async fn answering(act: Act) -> FakeUpstream {
    FakeUpstream::start(Box::new(move |_| vec![act.clone(), Act::Close])).await
}

/// Guards against bytes that are no answer in the protocol and reach a caller as one.
#[test]
fn unknown_statuses() {
    run(async {
        for status in STATUSES {
            let bad = answering(whole(status, "failed")).await;
            let (_, address) = start(&[&bad]).await;
            let got = ask(address, request("POST", "/once/", "one")).await.unwrap();
            assert_eq!((got.status, bad.count()), (502, 1), "{status}: {got:?}");
            assert!(!got.headers.contains_key("x-seal"), "{status}");
            let good = answering(whole("200 OK", "done")).await;
            let (_, address) = start(&[&bad, &good]).await;
            for number in 0..4 {
                let id = format!("n{number}");
                let got = ask(address, request("GET", "/safe/", &id)).await.unwrap();
                assert_eq!((got.status, got.body.as_str()), (200, "done"), "{status}");
            }
        }
    });
}

/// Guards against a part of a body that passes for all of it: nobody asked for a range.
#[test]
fn unasked_part() {
    run(async {
        let part = answering(whole("206 Partial Content", "part")).await;
        let (_, address) = start(&[&part]).await;
        let got = ask(address, request("POST", "/once/", "one")).await.unwrap();
        assert_eq!(got.status, 502, "{got:?}");
        let mut ranged = request("POST", "/once/", "two");
        ranged.headers_mut().insert("range", "bytes=0-3".parse().unwrap());
        let got = ask(address, ranged).await.unwrap();
        assert_eq!((got.status, got.body.as_str()), (206, "part"));
    });
}

/// Guards against the next caller on a connection who gets bytes that stand behind an answer without a body.
#[test]
fn bytes_without_body() {
    run(async {
        for status in ["204 No Content", "205 Reset Content", "304 Not Modified"] {
            let stray =
                "HTTP/1.1 200 OK\r\nx-id: two\r\nx-seal: s\r\ncontent-length: 5\r\n\r\nstray";
            let script = move |number: usize| match number {
                0 => vec![whole(status, stray)],
                _ => vec![whole("200 OK", "mine")],
            };
            let upstream = FakeUpstream::start(Box::new(script)).await;
            let (_, address) = start(&[&upstream]).await;
            let mut sender = common::connect(address).await;
            let first =
                common::ask_on(&mut sender, request("POST", "/once/", "one")).await.unwrap();
            assert!(first.body.is_empty() || first.status == 502, "{status}: {first:?}");
            let next = ask(address, request("GET", "/safe/", "two")).await.unwrap();
            assert_eq!((next.status, next.body.as_str()), (200, "mine"), "{status}");
        }
    });
}

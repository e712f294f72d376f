//! What a status says of whether a request ran reaches its caller only where the upstream proves it.

mod common;

use common::{Act, FakeUpstream, ask, not_run, not_run_with, request, run, start, whole};

/// Statuses after which callers and their libraries repeat a request, whatever it does.
const REPEATABLE_STATUSES: [&str; 5] = [
    "408 Request Timeout",
    "421 Misdirected Request",
    "425 Too Early",
    "429 Too Many Requests",
    "503 Service Unavailable",
];

/// Routes whose requests run at most once.
const ONCE: [&str; 2] = ["/once/", "/stream/"];

/// Routes whose requests may run again.
const REPEATED: [&str; 2] = ["/safe/", "/resumed/"];

/// An answer without the attempt's id, as of a server that has given up an idle connection.
fn anonymous(status: &str) -> Act {
    Act::Write(format!("HTTP/1.1 {status}\r\ncontent-length: 6\r\n\r\nfailed"))
}

async fn answering(act: Act) -> FakeUpstream {
    FakeUpstream::start(Box::new(move |_| vec![act.clone()])).await
}

/// Guards against a customer who is charged twice: an upstream charges, answers with a status that
/// says "not run", and the caller sends its request again.
#[test]
fn bare_status() {
    run(async {
        for status in REPEATABLE_STATUSES {
            for act in [whole(status, "failed"), anonymous(status)] {
                for path in ONCE {
                    let bad = answering(act.clone()).await;
                    let good = answering(whole("200 OK", "done")).await;
                    let (_, address) = start(&[&bad, &good]).await;
                    let mut failed = 0;
                    for number in 0..6 {
                        let id = format!("n{number}");
                        let got = ask(address, request("POST", path, &id)).await.unwrap();
                        assert!(matches!(got.status, 200 | 502), "{status} {path}: {got:?}");
                        assert_eq!(got.headers.contains_key("x-seal"), got.status == 200);
                        failed += usize::from(got.status == 502);
                    }
                    assert_eq!(
                        (bad.count(), good.count()),
                        (failed, 6 - failed),
                        "{status} {path}"
                    );
                    assert!(0 < failed, "{status} {path}");
                }
            }
        }
    });
}

/// Guards against a request that could have been served elsewhere, and is refused as not run though it was.
#[test]
fn repeated_elsewhere() {
    run(async {
        for status in REPEATABLE_STATUSES {
            for path in REPEATED {
                let bad = answering(whole(status, "failed")).await;
                let good = answering(whole("200 OK", "done")).await;
                let (_, address) = start(&[&bad, &good]).await;
                for number in 0..4 {
                    let id = format!("n{number}");
                    let got = ask(address, request("GET", path, &id)).await.unwrap();
                    assert_eq!((got.status, got.body.as_str()), (200, "done"), "{status} {path}");
                }
                let (_, address) = start(&[&bad]).await;
                let got = ask(address, request("GET", path, "alone")).await.unwrap();
                assert_eq!(got.status, 502, "{status} {path}");
                assert!(got.body.contains("\"ran\":\"unknown\""), "{}", got.body);
            }
        }
    });
}

/// A proof is believed whatever the status, and the caller learns when to come back.
#[test]
fn proven_refusal() {
    run(async {
        let bad_request = "400 Bad Request";
        for status in REPEATABLE_STATUSES.into_iter().chain([bad_request]) {
            for path in ONCE.into_iter().chain(REPEATED) {
                let full = answering(not_run_with(status)).await;
                let (_, address) = start(&[&full]).await;
                let got = ask(address, request("POST", path, "one")).await.unwrap();
                assert_eq!(got.status, 503, "{status} {path}: {got:?}");
                assert!(got.headers.contains_key("retry-after"), "{status} {path}");
                assert!(got.body.contains("\"ran\":\"not_run\""), "{}", got.body);
            }
        }
    });
}

/// Guards against a "not run" that holds for the last attempt only: an earlier one may have run.
#[test]
fn proof_after_run() {
    run(async {
        let lost = FakeUpstream::start(Box::new(|_| vec![Act::Reset])).await;
        let full = answering(not_run()).await;
        let (_, address) = start(&[&lost, &full]).await;
        for number in 0..6 {
            let sent = lost.count();
            let got = ask(address, request("GET", "/safe/", &format!("n{number}"))).await.unwrap();
            let expected = if lost.count() == sent { 503 } else { 502 };
            assert_eq!(got.status, expected, "{got:?}");
        }
        assert!(0 < lost.count());
    });
}

/// Other failures tell what came of the request, and reach its caller as they are.
#[test]
fn other_failures() {
    run(async {
        for status in ["400 Bad Request", "404 Not Found", "409 Conflict", "500 Oops", "504 Late"] {
            for path in ONCE {
                let failing = answering(whole(status, "why")).await;
                let (_, address) = start(&[&failing]).await;
                let got = ask(address, request("POST", path, "one")).await.unwrap();
                assert!(status.starts_with(&got.status.to_string()), "{got:?}");
                assert_eq!((got.body.as_str(), failing.count()), ("why", 1));
                assert!(got.headers.contains_key("x-seal"));
            }
        }
    });
}

//! Callers cannot take upstreams out of service by what they write.

mod common;

use std::time::Duration;

use arbtest::arbtest;
use bergamotpitch_gateway::Gateway;
use common::{Act, FakeUpstream, ask, connect, not_run_with, request, run, start, whole};
use http::{HeaderName, HeaderValue, Request};
use http_body_util::Full;

/// An upstream with weights of one version: it turns requests away that name others.
async fn upstream() -> FakeUpstream {
    FakeUpstream::start_reading(Box::new(|seen| match seen.header("x-expect") {
        None | Some("1") => vec![Act::Pause(Duration::from_millis(30)), whole("200 OK", "done")],
        Some(_) => vec![not_run_with("421 Misdirected Request")],
    }))
    .await
}

fn takes_work(gateway: &Gateway, id: &str) -> bool {
    let traffic = gateway.traffic.borrow();
    let key = traffic.registry.key_of(id).unwrap();
    traffic.registry.get(key).unwrap().takes_work()
}

/// A request as hostile callers write it: with conditions of any form and length, of a stream that is someone
/// else's or nobody's, with hardly any time.
fn hostile(
    number: usize,
    random: &mut arbtest::arbitrary::Unstructured<'_>,
) -> Request<Full<bytes::Bytes>> {
    let paths = ["/safe/", "/once/", "/resumed/", "/closed/"];
    let path = *random.choose(&paths).unwrap_or(&paths[0]);
    let mut request = request("POST", path, &format!("h{number}"));
    let headers = request.headers_mut();
    for _ in 0..random.int_in_range(1..=3).unwrap_or(1) {
        let values = ["2", "", "-1", "18446744073709551616", "1, 2", "\u{e9}"];
        let value = random.choose(&values).unwrap_or(&values[0]).to_string();
        let value = if random.ratio(1, 8).unwrap_or(false) { "9".repeat(8_000) } else { value };
        headers.append("x-expect", HeaderValue::from_str(&value).unwrap());
    }
    let others = [("x-budget-ms", "1"), ("x-resumes", "s1"), ("last-event-id", "99999999999999")];
    if random.ratio(1, 3).unwrap_or(false) {
        let (name, value) = *random.choose(&others).unwrap_or(&others[0]);
        headers.insert(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    request
}

/// Guards against two callers whose requests take all upstreams of a service from all others.
#[test]
fn conditions_of_callers() {
    for seed in 0..6 {
        arbtest(|random| {
            run(async {
                let upstreams = [upstream().await, upstream().await, upstream().await];
                let (gateway, address) = start(&upstreams.each_ref()).await;
                for number in 0..40 {
                    let request = hostile(number, random);
                    if random.ratio(1, 5).unwrap_or(false) {
                        // It leaves at once.
                        let mut caller = connect(address).await;
                        drop(caller.send_request(request));
                    } else {
                        ask(address, request).await;
                    }
                }
                let before: Vec<usize> = upstreams.iter().map(FakeUpstream::count).collect();
                // As many at once as have room.
                let sound: Vec<_> = (0..12)
                    .map(|number| request("GET", "/safe/", &format!("s{number}")))
                    .map(|request| tokio::task::spawn_local(ask(address, request)))
                    .collect();
                for asked in sound {
                    let got = asked.await.unwrap().unwrap();
                    assert_eq!((got.status, got.body.as_str()), (200, "done"));
                }
                for (index, upstream) in upstreams.iter().enumerate() {
                    assert!(takes_work(&gateway, &format!("u{index}")));
                    assert!(before[index] < upstream.count(), "upstream {index} serves nobody");
                }
            });
            Ok(())
        })
        .seed((0x0562 + seed) << 32 | 0x400);
    }
}

/// Guards against a caller whose connection ends without an answer, as its upstream says that it keeps idle
/// connections for longer than time can tell.
#[test]
fn endless_idle_time() {
    run(async {
        let answer = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ncontent-length: 4\r\n\
                      keep-alive: timeout=18446744073709551615\r\n\r\ndone";
        let upstream =
            FakeUpstream::start(Box::new(move |_| vec![Act::Write(answer.to_owned())])).await;
        let (_, address) = start(&[&upstream]).await;
        // From then on the time until it closes is beyond what can be told.
        tokio::time::sleep(Duration::from_millis(2_100)).await;
        for number in 0..3 {
            let got = ask(address, request("GET", "/safe/", &format!("n{number}"))).await;
            assert_eq!(got.map(|got| got.body).as_deref(), Some("done"));
        }
    });
}

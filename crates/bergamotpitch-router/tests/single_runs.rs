//! Calls that may not be repeated run once, whatever the caller and the platform do.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::engines::{FakeUpstream, broken, events, plain};
use common::{Fleet, PATIENCE, Upstreams, assert_refused, plain_request, text};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::sync::watch;

fn keyed(url: &str, key: &str, body: &str) -> Request<Full<Bytes>> {
    let mut request = plain_request("POST", url, body);
    request.headers_mut().insert("idempotency-key", key.parse().expect("a value"));
    request
}

/// `send_until` sends a request again until its answer fulfils a condition: outcomes and releases of
/// claims are committed a moment after the answer.
async fn send_until(
    fleet: &Fleet,
    request: Request<Full<Bytes>>,
    condition: impl Fn(StatusCode) -> bool,
) -> Response<Incoming> {
    let sent = async {
        loop {
            let response = fleet.send(request.clone()).await;
            if condition(response.status()) {
                return response;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, sent).await.expect("the answer comes in time")
}

async fn crm_fleet(crm: &FakeUpstream) -> Fleet {
    Fleet::start(&Upstreams { plain: vec![crm.address], ..Upstreams::default() }).await
}

/// A caller loses the answer to its order and sends it again, with the same key, through another
/// instance. The order must have run once, and the caller gets the answer that was given before.
#[tokio::test]
async fn answer_again() {
    let crm = FakeUpstream::start(|_, number| {
        Box::pin(async move {
            let mut response = plain(&format!("order {number}"));
            *response.status_mut() = StatusCode::CREATED;
            response.headers_mut().insert("location", "/orders/0".parse().expect("a value"));
            response
        })
    })
    .await;
    let fleet = crm_fleet(&crm).await;
    let first =
        fleet.send(keyed(&fleet.url("/florist-crm-api/orders"), "wreath-1", "lilies")).await;
    assert_eq!(first.status(), StatusCode::CREATED);
    assert_eq!(text(first).await, "order 0");
    let other = fleet.second_router().await;
    let url = format!("http://{}/florist-crm-api/orders", other.caller_address());
    let again =
        send_until(&fleet, keyed(&url, "wreath-1", "lilies"), |code| code != StatusCode::CONFLICT)
            .await;
    assert_eq!(again.status(), StatusCode::CREATED);
    assert_eq!(again.headers()["location"], "/orders/0");
    assert_eq!(again.headers()["idempotent-replayed"], "true");
    assert_eq!(text(again).await, "order 0");
    let changed = fleet.send(keyed(&url, "wreath-1", "roses")).await;
    let problem = assert_refused(changed, StatusCode::UNPROCESSABLE_ENTITY, "claim_mismatch").await;
    assert_eq!(problem["ran"], "not_run");
    assert_eq!(crm.seen().len(), 1, "the order ran once");
    other.close().await;
    fleet.router.close().await;
}

/// The caller leaves while its order runs. Its next try must find the answer, since the first run
/// was carried to its end.
#[tokio::test]
async fn left_while_running() {
    let (release, released) = watch::channel(false);
    let crm = FakeUpstream::start(move |_, _| {
        let mut released = released.clone();
        Box::pin(async move {
            let _ = released.wait_for(|released| *released).await;
            plain("filed")
        })
    })
    .await;
    let fleet = crm_fleet(&crm).await;
    let url = fleet.url("/florist-crm-api/orders");
    let request = keyed(&url, "closure-7", "street closure");
    let first = tokio::spawn(async move {
        let client = Client::builder(TokioExecutor::new()).build_http();
        client.request(request).await.map(|_| ())
    });
    fleet.wait_for("the order runs", |status| status["running_requests"] == 1).await;
    while crm.seen().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    first.abort();
    let _ = first.await;
    release.send_replace(true);
    fleet.wait_for("the order has run", |status| status["running_requests"] == 0).await;
    let again = keyed(&url, "closure-7", "street closure");
    let again = send_until(&fleet, again, |code| code != StatusCode::CONFLICT).await;
    assert_eq!(text(again).await, "filed");
    assert_eq!(crm.seen().len(), 1, "the order ran once");
    fleet.router.close().await;
}

/// The platform is out. Whether a key was used before cannot be known, so a keyed call must not run;
/// calls without a key, and calls that may be repeated, go on.
#[tokio::test]
async fn platform_out() {
    let crm = FakeUpstream::start(|_, _| Box::pin(async { plain("done") })).await;
    let fleet = crm_fleet(&crm).await;
    fleet.platform.set_faults(r#"{ "outage": true }"#).await;
    let url = fleet.url("/florist-crm-api/orders");
    let refused = fleet.send(keyed(&url, "wreath-2", "lilies")).await;
    let problem =
        assert_refused(refused, StatusCode::SERVICE_UNAVAILABLE, "claim_unavailable").await;
    assert_eq!(problem["ran"], "not_run");
    assert!(crm.seen().is_empty());
    let unkeyed = fleet.send(plain_request("POST", &url, "lilies")).await;
    assert_eq!(text(unkeyed).await, "done");
    let empty = fleet.send(keyed(&url, "wreath-3", "")).await;
    assert_refused(empty, StatusCode::SERVICE_UNAVAILABLE, "claim_unavailable").await;
    let safe = fleet.send(plain_request("GET", &url, "")).await;
    assert_eq!(text(safe).await, "done");
    fleet.router.close().await;
}

/// An upstream proves that it did not start a keyed order. The key must be free again, so that the
/// caller's next try may run.
#[tokio::test]
async fn proved_unrun() {
    let crm = FakeUpstream::start(|seen, _| {
        Box::pin(async move {
            if seen.body != "later" {
                return plain("filed");
            }
            let mut response = plain("busy");
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            response.headers_mut().insert("bergamotpitch-ran", "not_run".parse().expect("a value"));
            response
        })
    })
    .await;
    let fleet = crm_fleet(&crm).await;
    let url = fleet.url("/florist-crm-api/orders");
    let mut request = keyed(&url, "parking-3", "later");
    request.headers_mut().insert("bergamotpitch-deadline-ms", "300".parse().expect("a value"));
    let refused = fleet.send(request).await;
    let problem = assert_refused(refused, StatusCode::GATEWAY_TIMEOUT, "deadline_passed").await;
    assert_eq!(problem["ran"], "not_run");
    let again = keyed(&url, "parking-3", "now");
    let again = send_until(&fleet, again, |code| code == StatusCode::OK).await;
    assert_eq!(text(again).await, "filed");
    fleet.router.close().await;
}

/// The upstream dies with a keyed order. Nobody knows whether it ran: it must not be sent again, and
/// each further try hears that the outcome is unknown.
#[tokio::test]
async fn died_while_running() {
    let crm = FakeUpstream::start(|_, _| {
        Box::pin(async { events(futures::stream::iter([Err(broken())])) })
    })
    .await;
    let fleet = crm_fleet(&crm).await;
    let url = fleet.url("/florist-crm-api/orders");
    let first = fleet.send(keyed(&url, "filing-9", "one-way street")).await;
    let problem = assert_refused(first, StatusCode::BAD_GATEWAY, "upstream_failed").await;
    assert_eq!(problem["ran"], "unknown");
    let again = fleet.send(keyed(&url, "filing-9", "one-way street")).await;
    let problem = assert_refused(again, StatusCode::CONFLICT, "claim_outcome_unknown").await;
    assert_eq!(problem["ran"], "unknown");
    assert_eq!(crm.seen().len(), 1);
    fleet.router.close().await;
}

/// An upstream closes an idle connection just when an order is sent over it. The order was never
/// read, yet the router cannot tell that from one that was read and lost, unless the connection's
/// task gives the request back untouched. Either way no order may be sent twice.
#[tokio::test]
async fn closed_idle_connection() {
    let crm = FakeUpstream::start(|_, _| {
        Box::pin(async {
            let mut response = plain("done");
            response.headers_mut().insert("connection", "close".parse().expect("a value"));
            response
        })
    })
    .await;
    let fleet = crm_fleet(&crm).await;
    let url = fleet.url("/florist-crm-api/orders");
    let mut answered = 0;
    for number in 0..40 {
        let response = fleet.send(plain_request("POST", &url, &format!("order {number}"))).await;
        answered += usize::from(response.status() == StatusCode::OK);
    }
    let mut bodies: Vec<Bytes> = crm.seen().into_iter().map(|seen| seen.body).collect();
    let count = bodies.len();
    bodies.sort();
    bodies.dedup();
    assert_eq!(bodies.len(), count, "an order was sent twice");
    assert!(answered <= count);
    fleet.router.close().await;
}

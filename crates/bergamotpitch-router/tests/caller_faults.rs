//! Faulty callers get a clear refusal, which stands in the time line, and cost nobody else anything.

mod common;

use std::time::Duration;

use bergamotpitch_router::Options;
use bytes::Bytes;
use common::engines::{FakeUpstream, plain, whole_events};
use common::{Fleet, KEY, PATIENCE, Upstreams, assert_refused, plain_request};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn fleet() -> (Fleet, FakeUpstream, FakeUpstream) {
    fleet_with(Options::default()).await
}

async fn fleet_with(options: Options) -> (Fleet, FakeUpstream, FakeUpstream) {
    let engine = FakeUpstream::start(|_, _| Box::pin(async { whole_events(3) })).await;
    let crm = FakeUpstream::start(|_, _| Box::pin(async { plain("done") })).await;
    let upstreams = Upstreams { engines: vec![engine.address], plain: vec![crm.address] };
    (Fleet::start_with(&upstreams, options).await, engine, crm)
}

/// A caller sends a key that the sheet does not hold, or none, for instance after its team was
/// taken out. It must hear that at once, and no upstream must see the request.
#[tokio::test]
async fn unknown_team() {
    let (fleet, engine, _) = fleet().await;
    let url = fleet.url("/bergamot-llm/v1/chat/completions");
    let headers = ["Bearer wrong-key", "Basic aGFyYm91cg==", "Bearer", ""];
    for header in headers {
        let request = Request::post(&url).header("authorization", header).body(Full::from("{}"));
        let response = fleet.send(request.expect("a request")).await;
        let id = common::request_id(&response);
        let problem = assert_refused(response, StatusCode::UNAUTHORIZED, "unknown_team").await;
        assert_eq!(problem["ran"], "not_run");
        assert_eq!(problem["request_id"], id);
        assert_eq!(fleet.explain(&id).await, ["request_refused"]);
    }
    assert!(engine.seen().is_empty());
    fleet.router.close().await;
}

/// A caller asks for a service that does not exist, or that its team is not given. Both look alike,
/// so that a team does not learn which services others have.
#[tokio::test]
async fn closed_service() {
    let (fleet, _, _) = fleet().await;
    for path in ["/closed-service/x", "/no-such-service/x", "/no-such-service"] {
        let response = fleet.send(plain_request("GET", &fleet.url(path), "")).await;
        let problem = assert_refused(response, StatusCode::FORBIDDEN, "service_not_allowed").await;
        assert_eq!(problem["ran"], "not_run");
    }
    fleet.router.close().await;
}

/// A caller sends a chat request that is not JSON, a deadline that is not a number, or no service
/// at all. An engine that got it would spend a slot on saying so.
#[tokio::test]
async fn malformed_request() {
    let (fleet, engine, _) = fleet().await;
    let chat = fleet.url("/bergamot-llm/v1/chat/completions");
    let broken = fleet.send(plain_request("POST", &chat, "{\"messages\":")).await;
    assert_refused(broken, StatusCode::BAD_REQUEST, "bad_request").await;
    let mut late = plain_request("POST", &chat, "{}");
    late.headers_mut().insert("bergamotpitch-deadline-ms", "soon".parse().expect("a value"));
    assert_refused(fleet.send(late).await, StatusCode::BAD_REQUEST, "bad_request").await;
    let nowhere = fleet.send(plain_request("GET", &fleet.url("/"), "")).await;
    assert_refused(nowhere, StatusCode::BAD_REQUEST, "bad_request").await;
    assert!(engine.seen().is_empty());
    fleet.router.close().await;
}

/// A caller sends a body above the limit, with its length declared and without. Held in memory it
/// would take the room of other teams.
#[tokio::test]
async fn oversized_body() {
    let (fleet, _, crm) = fleet().await;
    let url = fleet.url("/florist-crm-api/orders");
    let declared = fleet.send(plain_request("POST", &url, &"x".repeat(100_001))).await;
    assert_refused(declared, StatusCode::PAYLOAD_TOO_LARGE, "body_too_large").await;
    let chunks = std::iter::repeat_n(Bytes::from(vec![b'x'; 10_000]), 11)
        .map(|chunk| Ok::<_, std::io::Error>(Frame::data(chunk)));
    let request = Request::post(&url)
        .header("authorization", format!("Bearer {KEY}"))
        .body(StreamBody::new(futures::stream::iter(chunks)).boxed_unsync())
        .expect("a request");
    let client = Client::builder(TokioExecutor::new()).build_http();
    let chunked = client.request(request).await.expect("an answer");
    assert_refused(chunked, StatusCode::PAYLOAD_TOO_LARGE, "body_too_large").await;
    let fitting = fleet.send(plain_request("POST", &url, &"x".repeat(100_000))).await;
    assert_eq!(fitting.status(), StatusCode::OK);
    assert_eq!(crm.seen().len(), 1);
    fleet.wait_for("the bytes are given back", |status| status["held_bytes"] == 0).await;
    fleet.router.close().await;
}

/// A caller declares a body and then sends it too slowly, or not at all. It must not keep its place
/// for longer than it was willing to wait.
#[tokio::test]
async fn slow_body() {
    let (fleet, _, crm) = fleet().await;
    let mut stream = TcpStream::connect(fleet.router.caller_address()).await.expect("a connection");
    let head = format!(
        "POST /florist-crm-api/orders HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         bergamotpitch-deadline-ms: 50\r\ncontent-length: 100\r\n\r\nonly this"
    );
    stream.write_all(head.as_bytes()).await.expect("the head is sent");
    let mut answer = vec![0; 2_048];
    let read = tokio::time::timeout(PATIENCE, stream.read(&mut answer));
    let length = read.await.expect("an answer in time").expect("an answer");
    let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
    assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
    assert!(answer.contains("\"reason\":\"deadline_passed\",\"ran\":\"not_run\""), "{answer}");
    assert!(crm.seen().is_empty());
    fleet.router.close().await;
}

/// Many callers at once send large bodies. The bytes that a router holds are bounded; what is above
/// the bound is refused, and the room is free again afterwards.
#[tokio::test]
async fn body_flood() {
    let options = Options { held_limit_bytes: 64 << 10, ..Options::default() };
    let (fleet, _, _) = fleet_with(options).await;
    let url = fleet.url("/florist-crm-api/orders");
    let refused = fleet.send(plain_request("POST", &url, &"x".repeat(70_000))).await;
    let problem = assert_refused(refused, StatusCode::SERVICE_UNAVAILABLE, "overloaded").await;
    assert_eq!(problem["ran"], "not_run");
    let taken = fleet.send(plain_request("POST", &url, &"x".repeat(50_000))).await;
    assert_eq!(taken.status(), StatusCode::OK);
    fleet.wait_for("the bytes are given back", |status| status["held_bytes"] == 0).await;
    fleet.router.close().await;
}

/// A caller keeps its connection open but takes nothing of a long answer. Its engine slot would be
/// held for as long as it likes.
#[tokio::test]
async fn slow_reader() {
    let engine = FakeUpstream::start(|_, _| {
        Box::pin(async {
            let big = format!("data: {}\n\n", "x".repeat(1 << 20));
            common::engines::events(futures::stream::repeat_with(move || Ok(big.clone())))
        })
    })
    .await;
    let upstreams = Upstreams { engines: vec![engine.address], ..Upstreams::default() };
    let options = Options { delivery_timeout: Duration::from_millis(100), ..Options::default() };
    let fleet = Fleet::start_with(&upstreams, options).await;
    let response = fleet.chat().await;
    assert_eq!(response.status(), StatusCode::OK);
    fleet.wait_for("the slot is free", |status| status["running_requests"] == 0).await;
    assert!(
        fleet.explain(&common::request_id(&response)).await.contains(&"caller_left".to_owned())
    );
    drop(response);
    fleet.router.close().await;
}

//! Faulty upstreams: each fault gets its true refusal or is made up for.

mod common;

use common::engines::{FakeUpstream, broken, plain, whole_events};
use common::{Fleet, Upstreams, assert_refused, plain_request, text};
use futures::StreamExt;
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// An upstream accepts connections and never answers, as a process does that hangs. The caller must
/// hear so by its deadline; whether the call ran is not known.
#[tokio::test]
async fn half_open() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let accepting = tokio::spawn(async move {
        let mut held = Vec::new();
        while let Ok(accepted) = listener.accept().await {
            held.push(accepted);
        }
    });
    let fleet = Fleet::start(&Upstreams { plain: vec![address], ..Upstreams::default() }).await;
    let mut request = plain_request("POST", &fleet.url("/florist-crm-api/orders"), "roses");
    request.headers_mut().insert("bergamotpitch-deadline-ms", "100".parse().expect("a value"));
    let response = fleet.send(request).await;
    let id = common::request_id(&response);
    let problem = assert_refused(response, StatusCode::BAD_GATEWAY, "upstream_failed").await;
    assert_eq!(problem["ran"], "unknown");
    let explained = fleet.explain(&id).await;
    assert!(explained.contains(&"request_refused".to_owned()), "{explained:?}");
    fleet.wait_for("nothing is held", |status| status["running_requests"] == 0).await;
    accepting.abort();
    fleet.router.close().await;
}

/// An upstream answers with something that is not HTTP. The caller must not get the garbage, and
/// must hear that the call may have run.
#[tokio::test]
async fn garbage() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let answering = tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 1_024];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(b"\x00\x01 this is not an answer\r\n\r\n").await;
        }
    });
    let fleet = Fleet::start(&Upstreams { plain: vec![address], ..Upstreams::default() }).await;
    let request = plain_request("POST", &fleet.url("/florist-crm-api/orders"), "roses");
    let problem =
        assert_refused(fleet.send(request).await, StatusCode::BAD_GATEWAY, "upstream_garbage")
            .await;
    assert_eq!(problem["ran"], "unknown");
    answering.abort();
    fleet.router.close().await;
}

/// An upstream is gone and refuses connections. That proves that the call did not run, so that it
/// may go to the next upstream even though it may not be repeated.
#[tokio::test]
async fn refused_connection() {
    let gone = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = gone.local_addr().expect("an address");
    drop(gone);
    let crm = FakeUpstream::start(|_, _| Box::pin(async { plain("done") })).await;
    // Whichever of two names comes first, one of the fleets asks the upstream that is gone.
    for plain in [vec![address, crm.address], vec![crm.address, address]] {
        let fleet = Fleet::start(&Upstreams { plain, ..Upstreams::default() }).await;
        for _ in 0..3 {
            let request = plain_request("POST", &fleet.url("/florist-crm-api/orders"), "roses");
            let response = fleet.send(request).await;
            assert_eq!(response.status(), StatusCode::OK);
            assert_eq!(text(response).await, "done");
        }
        fleet.router.close().await;
    }
    assert_eq!(crm.seen().len(), 6);
}

/// An upstream says that it did not start a call. The caller hears "not run" when no other can.
#[tokio::test]
async fn proved_unrun() {
    let crm = FakeUpstream::start(|_, _| {
        Box::pin(async {
            let mut response = plain("busy");
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            response
                .headers_mut()
                .insert("bergamotpitch-ran", http::HeaderValue::from_static("not_run"));
            response
        })
    })
    .await;
    let fleet = Fleet::start(&Upstreams { plain: vec![crm.address], ..Upstreams::default() }).await;
    let request = plain_request("POST", &fleet.url("/florist-crm-api/orders"), "roses");
    let response = fleet.send(request).await;
    assert!(response.status().is_client_error() || response.status().is_server_error());
    let problem = common::json(response).await;
    assert_eq!(problem["ran"], "not_run", "{problem}");
    fleet.router.close().await;
}

/// An upstream takes an order, registers it and dies before it answers. A second try would register
/// the order twice, so there must be none, on whichever connection it came.
#[tokio::test]
async fn died_before_answer() {
    let crm = FakeUpstream::start(|_, number| {
        Box::pin(async move {
            if number == 1 {
                let list = futures::stream::iter([Ok("half".to_owned()), Err(broken())]);
                return common::engines::events(list.boxed());
            }
            plain("done")
        })
    })
    .await;
    let fleet = Fleet::start(&Upstreams { plain: vec![crm.address], ..Upstreams::default() }).await;
    let url = fleet.url("/florist-crm-api/orders");
    let first = fleet.send(plain_request("POST", &url, "first")).await;
    assert_eq!(text(first).await, "done");
    let second = fleet.send(plain_request("POST", &url, "second")).await;
    let problem = assert_refused(second, StatusCode::BAD_GATEWAY, "upstream_failed").await;
    assert_eq!(problem["ran"], "unknown");
    assert_eq!(crm.seen().len(), 2, "the second order was sent once");
    fleet.router.close().await;
}

/// An engine dies before its first token. Its request may be repeated and goes to another engine;
/// the caller sees one whole answer.
#[tokio::test]
async fn engine_died_early() {
    let dying = FakeUpstream::start(|_, _| {
        Box::pin(async { common::engines::events(futures::stream::iter([Err(broken())])) })
    })
    .await;
    let sound = FakeUpstream::start(|_, _| Box::pin(async { whole_events(4) })).await;
    let upstreams =
        Upstreams { engines: vec![dying.address, sound.address], ..Upstreams::default() };
    let fleet = Fleet::start(&upstreams).await;
    for _ in 0..3 {
        let response = fleet.chat().await;
        assert_eq!(response.status(), StatusCode::OK);
        assert!(text(response).await.ends_with("data: [DONE]\n\n"));
    }
    assert_eq!(sound.seen().len(), 3);
    fleet.router.close().await;
}

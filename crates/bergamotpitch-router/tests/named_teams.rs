//! Upstreams are told which team a request belongs to.

mod fleets;

use bergamotpitch_standin::records::Record;
use bytes::Bytes;
use fleets::get_text;
use fleets::stages::{close_stage, start_stage};
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

/// A caller of one team names another team in the header that upstreams read. If it were passed on, a
/// service would book the work on the other team, and the measures would count it there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn false_name() {
    let stage = start_stage("false-name").await;
    let address = stage.fleet.routers[0].caller_address();
    let request = Request::post(format!("http://{address}/registry/orders"))
        .header("authorization", "Bearer goes")
        .header("bergamotpitch-team", "hulst")
        .body(Full::new(Bytes::from("order")))
        .unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let response = client.request(request).await.unwrap();
    assert_eq!(response.status(), 200);
    response.into_body().collect().await.unwrap();
    let service = &stage.upstreams[3];
    let records = get_text(service.address, "/_records").await;
    let record: Record = serde_json::from_str(records.trim()).unwrap();
    assert_eq!(record.team.as_deref(), Some("goes"));
    close_stage(stage).await;
}

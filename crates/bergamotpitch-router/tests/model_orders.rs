//! A router has the engines of its domain load the models that the sheet names.

use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_core::settings::parse_router_settings;
use bergamotpitch_platform::{Applied, Options, Platform};
use bergamotpitch_router::Router;
use bergamotpitch_standin::engines::{EngineOptions, start_engine};
use bergamotpitch_standin::platforms::{PlatformOptions, start_platform};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

/// Time that the test waits for the order before it fails.
const PATIENCE: Duration = Duration::from_secs(30);

/// The sheet names a model that the engine has not loaded. If nobody ordered it, the requests of the
/// service would be answered by the wrong model.
#[tokio::test]
async fn model_of_sheet() {
    let addresses = vec![SocketAddr::from(([127, 0, 0, 1], 0))];
    let options = PlatformOptions { addresses, rates: Default::default(), list_lag_ms: 0 };
    let standin = start_platform(options).await.unwrap();
    let options = EngineOptions {
        checks_fencing: true,
        model: "roses-1".to_owned(),
        ..EngineOptions::default()
    };
    let engine = start_engine(options).await.unwrap();
    let address = standin.addresses[0];
    let platform = Platform::new(Options { address, ..Options::default() });
    let applied = platform.apply_sheet("sheet.json", &sheet_text(engine.address), 0).await;
    assert_eq!(applied.unwrap(), Applied::Applied { version: 1 });
    let router = Router::start(settings(address)).await.unwrap();
    let ordered = async {
        while !orders(engine.address).await.contains("roses-2") {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(PATIENCE, ordered).await.expect("the order comes");
    let records = orders(engine.address).await;
    assert!(records.contains(r#""accepted":true"#), "{records}");
    router.close().await;
    engine.close().await;
    standin.close().await;
}

async fn orders(engine: SocketAddr) -> String {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let request =
        Request::get(format!("http://{engine}/_orders")).body(Full::<Bytes>::default()).unwrap();
    let response = client.request(request).await.unwrap();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    String::from_utf8(body.to_vec()).unwrap()
}

fn sheet_text(engine: SocketAddr) -> String {
    format!(
        r#"{{
            "domains": [{{ "name": "is-reykjavik-a", "region": "iceland" }}],
            "services": [{{ "name": "bergamot-llm", "kind": "engine" }}],
            "upstreams": [{{
                "name": "engine-0", "service": "bergamot-llm", "domain": "is-reykjavik-a",
                "address": "{engine}", "slots": 4, "checks_fencing": true, "model": "roses-2"
            }}],
            "teams": []
        }}"#
    )
}

fn settings(platform: SocketAddr) -> bergamotpitch_core::settings::RouterSettings {
    let text = format!(
        r#"{{
            "instance": "is-reykjavik-a-1",
            "domain": "is-reykjavik-a",
            "caller_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "operator_address": "127.0.0.1:0",
            "platform_address": "{platform}",
            "shared_key": "a key for tests only"
        }}"#
    );
    parse_router_settings("router.json", &text).unwrap()
}

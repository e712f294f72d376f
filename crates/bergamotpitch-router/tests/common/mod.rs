//! Fakes of the platform and of upstreams, and a router between them, all in one process.

#![allow(dead_code, reason = "each test file uses a part of this module")]

pub mod engines;
pub mod platforms;

use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_core::settings::{RouterSettings, parse_router_settings};
use bergamotpitch_router::{Options, Router};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use platforms::FakePlatform;

/// Bearer key of the team `harbour-flowers`.
pub const KEY: &str = "harbour-key";

/// Time that a test waits for what must happen before it fails.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// `Upstreams` are the addresses of the upstreams of one fleet.
#[derive(Default)]
pub struct Upstreams {
    /// Upstreams of the service `bergamot-llm`.
    pub engines: Vec<SocketAddr>,
    /// Upstreams of the service `florist-crm-api`.
    pub plain: Vec<SocketAddr>,
}

/// `Fleet` is one router with its platform.
pub struct Fleet {
    pub router: Router,
    pub platform: FakePlatform,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Fleet {
    /// `start` starts a router that has a sheet with these upstreams in force.
    pub async fn start(upstreams: &Upstreams) -> Self {
        Self::start_with(upstreams, Options::default()).await
    }

    /// `start_with` does so with given times and bounds; a drain takes no longer than it must.
    pub async fn start_with(upstreams: &Upstreams, options: Options) -> Self {
        Self::start_changed(upstreams, options, |_| ()).await
    }

    /// `start_changed` does so with changed settings.
    pub async fn start_changed(
        upstreams: &Upstreams,
        options: Options,
        change: impl FnOnce(&mut RouterSettings),
    ) -> Self {
        let platform = FakePlatform::start(&sheet_text(upstreams)).await;
        let mut settings = settings(platform.address(), "is-reykjavik-a-1");
        change(&mut settings);
        let router = start_router(settings, options).await;
        let fleet =
            Self { router, platform, client: Client::builder(TokioExecutor::new()).build_http() };
        fleet.wait_until_ready().await;
        fleet
    }

    /// `second_router` starts another router of the same fleet.
    pub async fn second_router(&self) -> Router {
        let address = self.platform.address();
        let settings = settings(address, "is-reykjavik-a-2");
        let router = start_router(settings, Options::default()).await;
        wait_until_ready(&router).await;
        router
    }

    async fn wait_until_ready(&self) {
        wait_until_ready(&self.router).await;
    }

    /// `url` is the address of a path at the callers' port.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.router.caller_address())
    }

    /// `send` sends a request as a caller.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Response<Incoming> {
        tokio::time::timeout(PATIENCE, self.client.request(request))
            .await
            .expect("the answer begins in time")
            .expect("the router answers in HTTP")
    }

    /// `chat` asks the engine service for a stream.
    pub async fn chat(&self) -> Response<Incoming> {
        self.send(chat_request(&self.url("/bergamot-llm/v1/chat/completions"))).await
    }

    /// `status` reads the router's status.
    pub async fn status(&self) -> Value {
        let url = format!("http://{}/status", self.router.operator_address());
        let request = Request::get(url).body(Full::default()).expect("a request");
        json(self.send(request).await).await
    }

    /// `wait_for` waits until the status of the router fulfils a condition.
    pub async fn wait_for(&self, what: &str, condition: impl Fn(&Value) -> bool) {
        let fulfilled = async {
            while !condition(&self.status().await) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(PATIENCE, fulfilled).await.unwrap_or_else(|_| panic!("{what}"));
    }

    /// `explain` reads the kinds of the events of the request that an answer names.
    pub async fn explain(&self, request_id: &str) -> Vec<String> {
        let url = format!("http://{}/explain/{request_id}", self.router.operator_address());
        let request = Request::get(url).body(Full::default()).expect("a request");
        let explanation = json(self.send(request).await).await;
        let events = explanation["events"].as_array().expect("a list of events").clone();
        events.iter().map(|event| event["kind"].as_str().unwrap_or_default().to_owned()).collect()
    }
}

/// `plain_request` is a call of the plain service.
pub fn plain_request(method: &str, url: &str, body: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(url)
        .header("authorization", format!("Bearer {KEY}"))
        .body(Full::from(body.to_owned()))
        .expect("a request")
}

/// `chat_request` is a request for a stream of events.
pub fn chat_request(url: &str) -> Request<Full<Bytes>> {
    let body = r#"{"model":"m","stream":true,"messages":[{"role":"user","content":"roses"}]}"#;
    Request::post(url)
        .header("authorization", format!("Bearer {KEY}"))
        .header("content-type", "application/json")
        .body(Full::from(body))
        .expect("a request")
}

/// `send_chat` asks for a stream over a connection of its own and reads it for as long as it runs.
pub async fn send_chat(url: String) {
    let _ = read_chat(url).await;
}

/// `read_chat` does so and returns the answer, when it is whole.
pub async fn read_chat(url: String) -> Option<String> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(chat_request(&url)).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    String::from_utf8(body.to_vec()).ok()
}

/// `text` reads a whole body as text.
pub async fn text(response: Response<Incoming>) -> String {
    let body = tokio::time::timeout(PATIENCE, response.into_body().collect());
    let body = body.await.expect("the body ends in time").expect("the body is whole");
    String::from_utf8(body.to_bytes().to_vec()).expect("the body is text")
}

/// `json` reads a whole body as JSON.
pub async fn json(response: Response<Incoming>) -> Value {
    serde_json::from_str(&text(response).await).expect("the body is JSON")
}

/// `request_id` is the id that an answer names.
pub fn request_id(response: &Response<Incoming>) -> String {
    let id = response.headers().get("bergamotpitch-request-id").expect("the answer has an id");
    id.to_str().expect("the id is text").to_owned()
}

/// `assert_refused` checks a refusal and returns its problem details.
pub async fn assert_refused(response: Response<Incoming>, code: StatusCode, reason: &str) -> Value {
    assert_eq!(response.status(), code);
    assert_eq!(response.headers()["content-type"], "application/problem+json");
    assert!(response.headers().contains_key("retry-after"));
    let problem = json(response).await;
    assert_eq!(problem["reason"], reason, "{problem}");
    problem
}

async fn start_router(settings: RouterSettings, options: Options) -> Router {
    let options = Options { shortest_drain: Duration::from_millis(20), ..options };
    Router::start_with(settings, options).await.expect("the router starts")
}

async fn wait_until_ready(router: &Router) {
    let ready = async {
        while !router.context().is_ready() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, ready).await.expect("the router gets its sheet");
}

fn settings(platform: SocketAddr, instance: &str) -> RouterSettings {
    let text = format!(
        r#"{{
            "instance": "{instance}",
            "domain": "is-reykjavik-a",
            "caller_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "operator_address": "127.0.0.1:0",
            "platform_address": "{platform}",
            "shared_key": "a key for tests only",
            "body_limit_bytes": 100000
        }}"#
    );
    parse_router_settings("router.json", &text).expect("the settings are valid")
}

fn sheet_text(upstreams: &Upstreams) -> String {
    let mut entries = Vec::new();
    for (index, address) in upstreams.engines.iter().enumerate() {
        entries.push(upstream_text(&format!("engine-{index}"), "bergamot-llm", *address));
    }
    for (index, address) in upstreams.plain.iter().enumerate() {
        entries.push(upstream_text(&format!("crm-{index}"), "florist-crm-api", *address));
    }
    let key_hash = blake3::hash(KEY.as_bytes()).to_hex();
    format!(
        r#"{{
            "domains": [{{ "name": "is-reykjavik-a", "region": "is" }}],
            "services": [
                {{ "name": "bergamot-llm", "kind": "engine", "repeatable": true }},
                {{ "name": "florist-crm-api", "kind": "plain" }},
                {{ "name": "closed-service", "kind": "plain" }}
            ],
            "upstreams": [{}],
            "teams": [{{
                "name": "harbour-flowers", "share": 1, "key_hash": "{key_hash}",
                "services": ["bergamot-llm", "florist-crm-api"]
            }}]
        }}"#,
        entries.join(",")
    )
}

fn upstream_text(name: &str, service: &str, address: SocketAddr) -> String {
    format!(
        r#"{{ "name": "{name}", "service": "{service}", "domain": "is-reykjavik-a",
              "address": "{address}", "slots": 2 }}"#
    )
}

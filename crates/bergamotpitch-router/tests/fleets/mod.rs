//! A fleet in one process: a stand-in platform with an address for each failure domain, and three
//! real routers over two failure domains.
#![allow(dead_code, reason = "each test file uses a part of the helpers")]

pub mod processes;
pub mod stages;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use bergamotpitch_core::events::{EventKind, EventRecord};
use bergamotpitch_core::ids::SheetVersion;
use bergamotpitch_core::settings::{RouterSettings, parse_router_settings};
use bergamotpitch_ctl::operators::status;
use bergamotpitch_ctl::settings::RouterEntry;
use bergamotpitch_platform::{Options, Platform};
use bergamotpitch_router::Router;
use bergamotpitch_standin::calls::RateLimits;
use bergamotpitch_standin::platforms::{self, PlatformOptions, start_platform};
use bergamotpitch_timeline::files::{merge_events, read_file};
use bergamotpitch_timeline::versions::reverts;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

/// `LOOPBACK` is an address with a port that the system chooses.
pub const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Wait that ends a test whose fleet never gets there.
pub const HANG_LIMIT: Duration = Duration::from_secs(30);

/// `Fleet` is a platform with one address for each of two failure domains, and three routers.
pub struct Fleet {
    pub platform: platforms::Platform,
    pub operator: Platform,
    pub routers: Vec<Router>,
    pub event_files: Vec<String>,
}

/// `start_fleet` starts the platform and the routers; `test` tells event files apart.
pub async fn start_fleet(test: &str) -> Fleet {
    let options = PlatformOptions {
        addresses: vec![LOOPBACK; 3],
        rates: RateLimits::default(),
        list_lag_ms: 0,
    };
    let platform = start_platform(options).await.unwrap();
    // The operator's address has no faults but those that a test sets there.
    let operator = Platform::new(Options { address: platform.addresses[2], ..Options::default() });
    let mut fleet = Fleet { platform, operator, routers: Vec::new(), event_files: Vec::new() };
    for (number, domain) in [(0, "zuid-a"), (1, "zuid-a"), (2, "noord-oost-a")] {
        let file = format!("{}/{test}-{number}.jsonl", env!("CARGO_TARGET_TMPDIR"));
        // A file of an earlier run would mix its versions in.
        let _ = std::fs::remove_file(&file);
        fleet.event_files.push(file);
        let router = start_router(&fleet, number, domain).await;
        fleet.routers.push(router);
    }
    fleet
}

/// `start_router` starts one router of the fleet.
pub async fn start_router(fleet: &Fleet, number: usize, domain: &str) -> Router {
    let first_peers: Vec<SocketAddr> =
        fleet.routers.first().map(|router| router.peer_address()).into_iter().collect();
    let platform = fleet.platform.addresses[usize::from(domain != "zuid-a")];
    let settings = serde_json::json!({
        "instance": format!("router-{number}"), "domain": domain, "caller_address": LOOPBACK,
        "peer_address": LOOPBACK, "operator_address": LOOPBACK, "platform_address": platform,
        "first_peers": first_peers, "shared_key": "a key for tests only",
        "event_file": fleet.event_files[number],
    });
    let settings: RouterSettings =
        parse_router_settings("router.json", &settings.to_string()).unwrap();
    Router::start(settings).await.unwrap()
}

/// `entries` lists the operator ports.
pub fn entries(fleet: &Fleet) -> Vec<RouterEntry> {
    let entry = |(number, router): (usize, &Router)| RouterEntry {
        name: format!("router-{number}"),
        operator_address: router.operator_address(),
    };
    fleet.routers.iter().enumerate().map(entry).collect()
}

/// `wait_in_force` waits until every router has a version in force, by what operators are shown.
pub async fn wait_in_force(fleet: &Fleet, version: SheetVersion) {
    let entries = entries(fleet);
    let wanted = format!("ready, sheet version {version},");
    let waiting = async {
        loop {
            let text = status(&entries).await.unwrap();
            if text.matches(&wanted).count() == entries.len() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let in_force = tokio::time::timeout(HANG_LIMIT, waiting).await;
    assert!(in_force.is_ok(), "not in force everywhere: {:?}", status(&entries).await);
}

/// `wait_event` waits until the event file of a router holds an event of a kind, and returns it.
pub async fn wait_event(fleet: &Fleet, number: usize, kind: EventKind) -> EventRecord {
    let file = &fleet.event_files[number];
    let waiting = async {
        loop {
            let events = read_file(file).unwrap().events;
            if let Some(event) = events.into_iter().rfind(|event| event.kind == kind) {
                return event;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let found = tokio::time::timeout(HANG_LIMIT, waiting).await;
    found.unwrap_or_else(|_| panic!("{kind} does not come"))
}

/// `close_without_reverts` closes the fleet and reads from its event files whether any router went back.
pub async fn close_without_reverts(fleet: Fleet) {
    futures::future::join_all(fleet.routers.into_iter().map(Router::close)).await;
    fleet.platform.close().await;
    let files = fleet.event_files.iter().map(|file| read_file(file).unwrap()).collect();
    let events = merge_events(files);
    assert!(!events.is_empty());
    assert_eq!(reverts(&events), []);
}

/// `set_faults` sets the faults of a stand-in.
pub async fn set_faults(address: SocketAddr, faults: &str) {
    let request = Request::post(format!("http://{address}/_faults"))
        .body(Full::new(Bytes::copy_from_slice(faults.as_bytes())))
        .unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    assert_eq!(client.request(request).await.unwrap().status(), 200);
}

/// `get_text` fetches a path of a stand-in.
pub async fn get_text(address: SocketAddr, path: &str) -> String {
    let request =
        Request::get(format!("http://{address}{path}")).body(Full::new(Bytes::new())).unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let response = client.request(request).await.unwrap();
    let bytes = response.into_body().collect().await.unwrap().to_bytes();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// `is_ready` tells whether the balancer would send requests to the router of an operator port.
pub async fn is_ready(operator_address: SocketAddr) -> bool {
    let request = Request::get(format!("http://{operator_address}/ready"))
        .body(Full::new(Bytes::new()))
        .unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    client.request(request).await.is_ok_and(|response| response.status().is_success())
}

/// `sheet_file` writes a sheet with one team of a share, and returns the file's path.
pub fn sheet_file(test: &str, share: u32) -> String {
    let hash = "ab".repeat(32);
    let text = format!(
        r#"{{ // One team.
            "domains": [{{ "name": "zuid-a", "region": "zuid" }}],
            "services": [{{ "name": "order-registry", "kind": "plain" }}],
            "upstreams": [{{ "name": "registry-1", "service": "order-registry",
                "domain": "zuid-a", "address": "127.0.0.1:9000", "slots": 4 }}],
            "teams": [{{ "name": "goes", "share": {share}, "key_hash": "{hash}",
                "services": ["order-registry"] }}] }}"#
    );
    let file = format!("{}/{test}-{share}.jsonc", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&file, text).unwrap();
    file
}

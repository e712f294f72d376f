//! A fleet in one process: a stand-in platform with an address for each failure domain, and three
//! real routers over two failure domains.

use std::net::SocketAddr;
use std::time::Duration;

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

use super::LOOPBACK;

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
    loop {
        // The system chooses the datagram port; the stream port of the same number may be taken.
        match Router::start(settings.clone()).await {
            Err(bergamotpitch_router::Error::Address { field: "peer_address", .. }) => {}
            started => return started.unwrap(),
        }
    }
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

/// `close_without_reverts` closes the fleet and reads from its event files whether any router went back.
pub async fn close_without_reverts(fleet: Fleet) {
    futures::future::join_all(fleet.routers.into_iter().map(Router::close)).await;
    fleet.platform.close().await;
    let files = fleet.event_files.iter().map(|file| read_file(file).unwrap()).collect();
    let events = merge_events(files);
    assert!(!events.is_empty());
    assert_eq!(reverts(&events), []);
}

//! A sheet that an operator applies comes into force at real routers, and none goes back.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_core::ids::SheetVersion;
use bergamotpitch_core::settings::{RouterSettings, parse_router_settings};
use bergamotpitch_ctl::operators::status;
use bergamotpitch_ctl::settings::RouterEntry;
use bergamotpitch_ctl::sheets::apply;
use bergamotpitch_platform::{Options, Platform};
use bergamotpitch_router::Router;
use bergamotpitch_standin::calls::{CallCounts, RateLimits};
use bergamotpitch_standin::platforms::{self, PlatformOptions, start_platform};
use bergamotpitch_timeline::files::{merge_events, read_file};
use bergamotpitch_timeline::versions::reverts;
use common::{LOOPBACK, get_text, set_faults, sheet_file};

/// Wait that ends a test whose fleet never gets there.
const HANG_LIMIT: Duration = Duration::from_secs(30);

/// `Fleet` is a platform with one address for each of two failure domains, and three routers.
struct Fleet {
    platform: platforms::Platform,
    operator: Platform,
    routers: Vec<Router>,
    event_files: Vec<String>,
}

async fn start_fleet(test: &str) -> Fleet {
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

async fn start_router(fleet: &Fleet, number: usize, domain: &str) -> Router {
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

fn entries(fleet: &Fleet) -> Vec<RouterEntry> {
    let entry = |(number, router): (usize, &Router)| RouterEntry {
        name: format!("router-{number}"),
        operator_address: router.operator_address(),
    };
    fleet.routers.iter().enumerate().map(entry).collect()
}

/// Waits until every router has a version in force, by what operators are shown.
async fn wait_in_force(fleet: &Fleet, version: SheetVersion) {
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

/// Closes the fleet and reads from its event files whether any router went back.
async fn close_without_reverts(fleet: Fleet) {
    futures::future::join_all(fleet.routers.into_iter().map(Router::close)).await;
    fleet.platform.close().await;
    let files = fleet.event_files.iter().map(|file| read_file(file).unwrap()).collect();
    let events = merge_events(files);
    assert!(!events.is_empty());
    assert_eq!(reverts(&events), []);
}

/// One failure domain is cut off from the platform before the morning's sheet is applied. Its
/// routers must hear of the sheet from their peers, or that domain's teams would be refused all day.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn domain_without_platform() {
    let fleet = start_fleet("without-platform").await;
    set_faults(fleet.platform.addresses[1], r#"{ "outage": true }"#).await;
    apply(&fleet.operator, &sheet_file("fleet-cut", 1), None).await.unwrap();
    wait_in_force(&fleet, 1).await;
    apply(&fleet.operator, &sheet_file("fleet-cut", 2), Some(1)).await.unwrap();
    wait_in_force(&fleet, 2).await;
    close_without_reverts(fleet).await;
}

/// Two operators race and the answer to a write is lost. Whoever is told "applied" must find that
/// very sheet in force at every router.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn race_with_lost_answer() {
    let fleet = start_fleet("race").await;
    apply(&fleet.operator, &sheet_file("fleet-race", 1), None).await.unwrap();
    wait_in_force(&fleet, 1).await;
    set_faults(fleet.platform.addresses[2], r#"{ "lose_next_answers": 1 }"#).await;
    let (two, three) = (sheet_file("fleet-race", 2), sheet_file("fleet-race", 3));
    let (first, second) = tokio::join!(
        apply(&fleet.operator, &two, Some(1)),
        apply(&fleet.operator, &three, Some(1))
    );
    let winner = if first.is_ok() { 2 } else { 3 };
    assert_ne!(first.is_ok(), second.is_ok(), "{first:?} {second:?}");
    wait_in_force(&fleet, 2).await;
    for router in &fleet.routers {
        let accepted = router.context().accepted.load_full().unwrap();
        assert_eq!(accepted.sheet.teams[0].share, winner);
    }
    close_without_reverts(fleet).await;
}

/// The platform is out for everyone and a router is replaced. It comes without memory and must get
/// the sheet from a peer, or each replacement during an outage would take capacity away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replaced_in_outage() {
    let mut fleet = start_fleet("replaced").await;
    apply(&fleet.operator, &sheet_file("fleet-replaced", 1), None).await.unwrap();
    wait_in_force(&fleet, 1).await;
    for address in fleet.platform.addresses.clone() {
        set_faults(address, r#"{ "outage": true }"#).await;
    }
    let old = fleet.routers.remove(1);
    old.close().await;
    let new = start_router(&fleet, 1, "zuid-a").await;
    fleet.routers.insert(1, new);
    wait_in_force(&fleet, 1).await;
    close_without_reverts(fleet).await;
}

/// A router is replaced in a failure domain that reads the platform through a slow replica that lags.
/// It hears of the new sheet from a peer first and reads the old one from the replica after that; the
/// teams' shares must not jump back to what operators had replaced.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn old_copy_read_late() {
    let mut fleet = start_fleet("old-copy").await;
    apply(&fleet.operator, &sheet_file("fleet-old", 1), None).await.unwrap();
    wait_in_force(&fleet, 1).await;
    // The replica answers later than peers do, and sooner than the router gives the call up.
    let lagging = fleet.platform.addresses[1];
    set_faults(lagging, r#"{ "frozen": true, "slow_ms": 700 }"#).await;
    apply(&fleet.operator, &sheet_file("fleet-old", 2), Some(1)).await.unwrap();
    let old = fleet.routers.remove(2);
    old.close().await;
    let reads_before = count_reads(&fleet).await;
    let new = start_router(&fleet, 2, "noord-oost-a").await;
    fleet.routers.push(new);
    wait_in_force(&fleet, 2).await;
    let waiting = async {
        while count_reads(&fleet).await == reads_before {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let read = tokio::time::timeout(HANG_LIMIT, waiting).await;
    assert!(read.is_ok(), "the replica was not read");
    close_without_reverts(fleet).await;
}

async fn count_reads(fleet: &Fleet) -> u64 {
    let text = get_text(fleet.platform.addresses[2], "/_calls").await;
    serde_json::from_str::<CallCounts>(&text).unwrap().reads
}

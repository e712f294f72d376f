//! Router processes are killed and come back without memory, or are paused and wake, under load.

mod fleets;

use bergamotpitch_core::sheets::Sheet;
use bergamotpitch_platform::{Options, Platform};
use bergamotpitch_standin::calls::RateLimits;
use bergamotpitch_standin::platforms::{self, PlatformOptions, start_platform};
use bergamotpitch_standin::upstreams::Upstream;
use bergamotpitch_timeline::files::{merge_events, read_file};
use bergamotpitch_timeline::versions::reverts;
use fleets::LOOPBACK;
use fleets::processes::{
    Process, free_addresses, kill, restart, signal, start_process, wait_ready,
};
use fleets::stages::{
    KEYED_CALLS, LOAD_TIME, Place, apply_sheet, experiment_of, measure_while, start_upstreams,
};
use serde_json::Value;

/// Time that a call of a plain service takes, so that several run at the moment of a kill.
const LONG_CALL_MS: u64 = 100;

/// `Stage` is a platform, upstreams and three router processes.
struct Stage {
    platform: platforms::Platform,
    upstreams: Vec<Upstream>,
    sheet: Sheet,
    processes: Vec<Process>,
}

async fn start_stage(test: &str) -> Stage {
    let options =
        PlatformOptions { addresses: vec![LOOPBACK], rates: RateLimits::default(), list_lag_ms: 0 };
    let platform = start_platform(options).await.unwrap();
    let address = platform.addresses[0];
    let operator = Platform::new(Options { address, ..Options::default() });
    let upstreams = start_upstreams(LONG_CALL_MS).await;
    let sheet = apply_sheet(test, &operator, &upstreams).await;
    let mut processes: Vec<Process> = Vec::new();
    for (number, domain) in ["zuid-a", "zuid-a", "noord-oost-a"].into_iter().enumerate() {
        let first_peers: Vec<_> =
            processes.first().map(|process| process.peer_address).into_iter().collect();
        let name = format!("{test}-{number}");
        processes.push(start_process(&name, domain, address, &first_peers));
    }
    wait_ready(&mut processes).await;
    Stage { platform, upstreams, sheet, processes }
}

fn load_of_stage(stage: &Stage) -> Value {
    let places: Vec<Place> = stage.processes.iter().map(|process| process.place).collect();
    experiment_of(&places, stage.platform.addresses[0], KEYED_CALLS)
}

async fn close_stage(stage: Stage) {
    let files: Vec<String> =
        stage.processes.iter().map(|process| process.event_file.clone()).collect();
    drop(stage.processes);
    // A killed process leaves half a line behind, which is passed over.
    let events = merge_events(files.iter().map(|file| read_file(file).unwrap()).collect());
    assert_eq!(reverts(&events), []);
    for upstream in stage.upstreams {
        upstream.close().await;
    }
    stage.platform.close().await;
}

/// Two of three routers are killed one after the other while they serve, and come back without memory.
/// Their callers lose connections, which they see; none may get part of an answer as if it were whole,
/// and no order may run twice because another router takes its caller's next try.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn killed_under_load() {
    let mut stage = start_stage("killed").await;
    let experiment = load_of_stage(&stage);
    let processes = &mut stage.processes;
    let killing = async {
        for number in [1, 0] {
            tokio::time::sleep(LOAD_TIME / 4).await;
            kill(&mut processes[number]);
            tokio::time::sleep(LOAD_TIME / 10).await;
            restart(&mut processes[number]);
            wait_ready(&mut processes[number..=number]).await;
        }
    };
    let measures = measure_while(&stage.sheet, experiment, killing).await;
    assert!(0 < measures.lost_requests + measures.cut_seen_answers, "nobody met the kills");
    close_stage(stage).await;
}

/// A router is paused with requests in flight, as when its instance is moved, and wakes after its peers
/// took it for gone and its slots were granted anew. Its callers are still waiting: what it had in
/// flight must reach them whole, and what it refuses then must be refused truly.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn frozen_under_load() {
    let stage = start_stage("frozen").await;
    let experiment = load_of_stage(&stage);
    let freezing = async {
        tokio::time::sleep(LOAD_TIME / 4).await;
        signal(&stage.processes[1], "STOP");
        tokio::time::sleep(LOAD_TIME / 2).await;
        signal(&stage.processes[1], "CONT");
    };
    let measures = measure_while(&stage.sheet, experiment, freezing).await;
    assert_eq!((measures.cut_seen_answers, measures.lost_requests), (0, 0));
    close_stage(stage).await;
}

/// Processes of a test get their ports before they bind them. A port that is free again until then was
/// given to two routers, of which one never became ready, and the test failed for no fault of theirs.
#[test]
fn ports_given_once() {
    let mut given: Vec<_> = (0..300).flat_map(|_| free_addresses()).collect();
    given.sort();
    given.dedup();
    assert_eq!(given.len(), 900);
}

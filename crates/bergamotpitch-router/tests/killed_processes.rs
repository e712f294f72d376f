//! Router processes are killed and come back without memory, under load.

mod fleets;

use bergamotpitch_platform::{Options, Platform};
use bergamotpitch_standin::calls::RateLimits;
use bergamotpitch_standin::platforms::{PlatformOptions, start_platform};
use bergamotpitch_timeline::files::{merge_events, read_file};
use bergamotpitch_timeline::versions::reverts;
use fleets::LOOPBACK;
use fleets::processes::{Process, kill, restart, start_process, wait_ready};
use fleets::stages::{
    LOAD_TIME, LONG_DEADLINES, Place, apply_sheet, experiment_of, measure_while, start_upstreams,
};

/// Two of three routers are killed one after the other while they serve, and come back without memory.
/// Their callers lose connections, which they see; none may get part of an answer as if it were whole,
/// and no order may run twice because another router takes its caller's next try.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn killed_under_load() {
    let options =
        PlatformOptions { addresses: vec![LOOPBACK], rates: RateLimits::default(), list_lag_ms: 0 };
    let platform = start_platform(options).await.unwrap();
    let address = platform.addresses[0];
    let operator = Platform::new(Options { address, ..Options::default() });
    let upstreams = start_upstreams().await;
    let sheet = apply_sheet("killed", &operator, &upstreams).await;
    let mut processes: Vec<Process> = Vec::new();
    for (name, domain) in
        [("killed-0", "zuid-a"), ("killed-1", "zuid-a"), ("killed-2", "noord-oost-a")]
    {
        let first_peers: Vec<_> =
            processes.first().map(|process| process.peer_address).into_iter().collect();
        processes.push(start_process(name, domain, address, &first_peers));
    }
    wait_ready(&mut processes).await;
    let places: Vec<Place> = processes.iter().map(|process| process.place).collect();
    let experiment = experiment_of(&places, address, LONG_DEADLINES);
    let killing = async {
        for number in [1, 0] {
            tokio::time::sleep(LOAD_TIME / 4).await;
            kill(&mut processes[number]);
            tokio::time::sleep(LOAD_TIME / 10).await;
            restart(&mut processes[number]);
            wait_ready(&mut processes[number..=number]).await;
        }
    };
    let measures = measure_while(&sheet, experiment, killing).await;
    assert!(0 < measures.lost_requests + measures.cut_seen_answers, "nobody met the kills");
    let files: Vec<String> = processes.iter().map(|process| process.event_file.clone()).collect();
    drop(processes);
    // A killed process leaves half a line behind, which is passed over.
    let events = merge_events(files.iter().map(|file| read_file(file).unwrap()).collect());
    assert_eq!(reverts(&events), []);
    for upstream in upstreams {
        upstream.close().await;
    }
    platform.close().await;
}

//! What evidence of many crashes costs an instance.

mod common;

use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::crash_suspects::SuspectId;
use bergamotpitch_gateway::Gateway;
use bergamotpitch_gateway::messages::{Body, CrashLine};
use bergamotpitch_gateway::work_times::Work;
use common::fake_peers::FakePeer;
use common::{run, start};

/// Lines of one message, each on a crash under a part that was not suspected before.
const LINES: u64 = 24;

/// Messages that are compared: some of the first, and some of those that come when most of the table is full.
const COMPARED: usize = 6;

/// How much longer a message may take when the table holds a hundred times as much.
const GROWTH_MAX: u32 = 4;

fn crashes(first: u64) -> Body {
    let line = |number: u64| CrashLine {
        suspect: SuspectId::Part(1, number),
        life: (number % 35) as u32,
        is_strong: true,
        answers: 0,
        age_ms: 20,
        run_ms: 300,
    };
    Body::Crashes((first..first + LINES).map(line).collect())
}

async fn work_of_message(gateway: &Rc<Gateway>, peer: &FakePeer, number: u64) -> Duration {
    let before = gateway.work_times.of(Work::Crashes);
    peer.send(crashes(1 + number * LINES)).await;
    while gateway.work_times.of(Work::Crashes) == before {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    gateway.work_times.of(Work::Crashes) - before
}

/// Guards against an instance of an eighth of a core that is busy for seconds with what others tell when a
/// quarter of all engines crash, so that it hears nobody and serves nobody.
#[test]
fn quarter_of_engines() {
    run(async {
        let (gateway, _) = start(&[]).await;
        let peer = FakePeer::start(7, &gateway).await;
        gateway.replace_peers(vec![peer.address("a")]);
        let mut times = Vec::new();
        for number in 0..36 {
            times.push(work_of_message(&gateway, &peer, number).await);
        }
        // The least of some, as the thread may have to wait for a processor.
        let first = times[1..=COMPARED].iter().min().unwrap();
        let last = times[times.len() - COMPARED..].iter().min().unwrap();
        assert!(*last <= *first * GROWTH_MAX, "{first:?} at first, {last:?} at last");
    });
}

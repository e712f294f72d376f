//! Retries are few, apart from each other, and never a storm.

mod common;

use std::time::Duration;

use bergamotpitch_control::inputs::AttemptOutcome;
use bergamotpitch_core::refusals::RefusalReason;
use common::{Bench, refused, sent};

/// Upstreams fail every second request, half dead as they often are before an outage and after it.
/// Were every request tried as often as its attempts allow, the upstreams would get half as much
/// again of load that they cannot carry. Retries must stay within a tenth of the first attempts and
/// a small reserve.
#[test]
fn intermittent_failures() {
    let mut bench = Bench::new(8);
    let mut attempts = 0;
    let mut spent = 0;
    for _ in 0..2_000 {
        let (_, arrived) = bench.arrive("delft", true);
        let mut outputs = [arrived, bench.wait(Duration::from_millis(20))].concat();
        while !outputs.is_empty() {
            spent += refused(&outputs)
                .iter()
                .filter(|(_, refusal)| refusal.reason == RefusalReason::RetryBudgetSpent)
                .count();
            let mut following = Vec::new();
            for sent in sent(&outputs) {
                attempts += 1;
                let outcome = match attempts % 2 {
                    0 => AttemptOutcome::FailedBeforeAnswer,
                    _ => AttemptOutcome::Answered,
                };
                following.extend(bench.end(sent.request, outcome));
            }
            outputs = following;
        }
    }
    let retries = attempts - 2_000;
    assert!(100 < retries && retries <= 203, "{retries} retries");
    assert!(500 < spent, "{spent} refused for a spent budget");
}

/// Requests that failed in the same moment must not come back in the same moment.
#[test]
fn spread_retries() {
    let mut bench = Bench::new(4);
    let requests: Vec<u64> = (0..3).map(|_| bench.arrive("delft", true).0).collect();
    for request in &requests {
        bench.end(*request, AttemptOutcome::FailedBeforeAnswer);
    }
    let mut times = Vec::new();
    for _ in 0..100 {
        let count = sent(&bench.wait(Duration::from_millis(5))).len();
        times.extend(std::iter::repeat_n(bench.now, count));
    }
    assert_eq!(times.len(), 3, "each is tried again");
    times.dedup();
    assert!(1 < times.len(), "all came back at {times:?}");
}

/// An upstream that crashes fails all of its requests at once. That is one failure: counted one by
/// one, the upstream would get no work for seconds after its restart.
#[test]
fn one_crash() {
    let mut bench = Bench::new(1);
    let requests = [bench.arrive("delft", false).0, bench.arrive("delft", false).0];
    for request in requests {
        bench.end(request, AttemptOutcome::FailedBeforeAnswer);
    }
    bench.arrive("delft", false);
    assert_eq!(sent(&bench.wait(Duration::from_millis(320))).len(), 1, "the pause is too long");
}

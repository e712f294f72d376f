//! Queues are bounded, and what cannot be served in time is refused at once.

mod common;

use std::time::Duration;

use bergamotpitch_control::Input;
use bergamotpitch_control::inputs::AttemptOutcome;
use bergamotpitch_core::refusals::{Ran, RefusalReason};
use common::{Bench, refused, sent};

/// One team floods a router with far more than can be served. What is held for it must stay within
/// its bounds, another team's requests must still be taken in, and nothing may be left over once
/// the flood is gone.
#[test]
fn flood_of_one_team() {
    let mut bench = Bench::with_team_fields(1, r#", "queue_limit_requests": 50"#);
    let mut refusals = 0;
    for _ in 0..20_000 {
        let (_, outputs) = bench.arrive("delft", false);
        refusals += refused(&outputs).len();
    }
    assert_eq!(refusals, 20_000 - 50 - 2, "two run and fifty wait");
    assert!(bench.tables.requests.len() <= 52);
    let held: u64 = bench.tables.requests.values().map(|entry| entry.arrival.body_bytes).sum();
    assert!(held <= 52 * 1_000, "{held} bytes are held");
    let (_, outputs) = bench.arrive("leiden", false);
    assert!(refused(&outputs).is_empty(), "another team is kept out");
    bench.wait(Duration::from_secs(61));
    assert_eq!(bench.tables.limits.deadlines.len(), 0);
    assert!(bench.tables.requests.values().all(|entry| entry.attempts == 1));
}

/// A team's queue moves at a tenth of a second a request. A request that would have to wait for
/// longer than its caller does is refused when it comes, with the time to come back, and not when
/// its deadline passes.
#[test]
fn unreachable_deadline() {
    let mut bench = Bench::new(1);
    let mut running: Vec<u64> = Vec::new();
    for _ in 0..100 {
        let (request, outputs) = bench.arrive("delft", false);
        assert!(refused(&outputs).is_empty());
        running.extend(sent(&outputs).iter().map(|sent| sent.request));
        let _ = request;
    }
    for _ in 0..60 {
        bench.wait(Duration::from_millis(100));
        let done = running.remove(0);
        let outputs = bench.end(done, AttemptOutcome::Answered);
        running.extend(sent(&outputs).iter().map(|sent| sent.request));
    }
    let mut urgent = bench.arrival("delft", false);
    urgent.deadline = bench.now + Duration::from_millis(500);
    let request = urgent.request;
    let outputs = bench.step(vec![Input::Arrived(urgent)]);
    let refusals = refused(&outputs);
    assert_eq!(refusals.len(), 1);
    assert_eq!(refusals[0].0, request);
    assert_eq!(refusals[0].1.reason, RefusalReason::DeadlineUnreachable);
    assert_eq!(refusals[0].1.ran, Ran::NotRun);
    let wait = refusals[0].1.retry_after;
    assert!(Duration::from_secs(2) < wait && wait < Duration::from_secs(8), "{wait:?}");
    let (_, outputs) = bench.arrive("delft", false);
    assert!(refused(&outputs).is_empty(), "a patient caller is taken in");
}

/// A team that asks once an hour must not be thought to be served once an hour: its request would be
/// refused although every upstream is idle.
#[test]
fn infrequent_team() {
    let mut bench = Bench::new(1);
    for _ in 0..5 {
        bench.now += Duration::from_secs(3_600);
        let (request, outputs) = bench.arrive("delft", false);
        assert_eq!(sent(&outputs).len(), 1);
        bench.end(request, AttemptOutcome::Answered);
    }
    let burst: Vec<Input> = (0..4)
        .map(|_| {
            let mut arrival = bench.arrival("delft", false);
            arrival.deadline = bench.now + Duration::from_secs(1);
            Input::Arrived(arrival)
        })
        .collect();
    assert!(refused(&bench.step(burst)).is_empty());
}

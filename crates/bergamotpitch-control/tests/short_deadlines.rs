//! A caller's short deadline is no evidence against an upstream that answers others.

mod common;

use std::time::Duration;

use bergamotpitch_control::Input;
use bergamotpitch_control::inputs::AttemptOutcome;
use bergamotpitch_core::refusals::{Ran, RefusalReason};
use common::{Bench, refused, sent};

/// An upstream is busy and answers; a request with a short deadline reaches it and its deadline
/// passes before its answer begins. Were the upstream paused for that, its slots would stand idle
/// while other requests wait, and the more so the more callers are in a hurry.
#[test]
fn busy_upstream() {
    let mut bench = Bench::new(1);
    let (long, _) = bench.arrive("delft", false);
    let (hasty, outputs) = bench.arrive("delft", false);
    assert_eq!(sent(&outputs).len(), 1);
    let (waiting, outputs) = bench.arrive("leiden", false);
    assert!(sent(&outputs).is_empty(), "both slots are taken");
    bench.wait(Duration::from_millis(100));
    bench.step(vec![Input::Progressed { request: long, cost: 10 }]);
    let outputs = bench.end(hasty, AttemptOutcome::DeadlinePassed);
    let refusals = refused(&outputs);
    assert_eq!((refusals[0].0, refusals[0].1.reason), (hasty, RefusalReason::DeadlinePassed));
    assert_eq!(refusals[0].1.ran, Ran::Unknown);
    assert_eq!(sent(&outputs).iter().map(|sent| sent.request).collect::<Vec<_>>(), [waiting]);
}

/// An upstream takes requests and sends nothing to anyone. A deadline that passes there is the only
/// evidence; without a pause each further request would be lost in it.
#[test]
fn unresponsive_upstream() {
    let mut bench = Bench::new(1);
    let (first, _) = bench.arrive("delft", false);
    bench.wait(Duration::from_millis(100));
    let refusals = refused(&bench.end(first, AttemptOutcome::DeadlinePassed));
    assert_eq!(
        (refusals[0].1.reason, refusals[0].1.ran),
        (RefusalReason::UpstreamFailed, Ran::Unknown)
    );
    assert!(sent(&bench.arrive("delft", false).1).is_empty());
    assert_eq!(sent(&bench.wait(Duration::from_secs(1))).len(), 1, "it is tried again");
}

/// A request reaches its upstream a few milliseconds before its deadline. No upstream can answer in
/// that time, and nothing is learned of it.
#[test]
fn late_dispatch() {
    let mut bench = Bench::new(1);
    let (late, _) = bench.arrive("delft", false);
    bench.wait(Duration::from_millis(10));
    let refusals = refused(&bench.end(late, AttemptOutcome::DeadlinePassed));
    assert_eq!(refusals[0].1.reason, RefusalReason::DeadlinePassed);
    assert_eq!(sent(&bench.arrive("delft", false).1).len(), 1);
}

//! A refusal says "not run" only of a request that never ran.

mod common;

use std::time::Duration;

use bergamotpitch_control::Input;
use bergamotpitch_control::inputs::AttemptOutcome;
use bergamotpitch_core::refusals::{Ran, RefusalReason};
use common::{Bench, refused, sent};

/// An upstream dies with a repeatable request, which may have run there. It waits for a second
/// attempt until its deadline passes. A caller that is told "not run" then would file its order
/// again, and the register would hold it twice.
#[test]
fn deadline_after_failure() {
    let mut bench = Bench::new(1);
    let (request, outputs) = bench.arrive("delft", true);
    let upstream = sent(&outputs)[0].upstream;
    bench.end(request, AttemptOutcome::FailedBeforeAnswer);
    bench.step(vec![Input::UpstreamLeaving { upstream }]);
    let mut refusals = Vec::new();
    while refusals.is_empty() {
        bench.step(vec![Input::UpstreamLeaving { upstream }]);
        refusals = refused(&bench.wait(Duration::from_secs(1)));
    }
    let [(refused, refusal)] = refusals[..] else { panic!("{refusals:?}") };
    assert_eq!((refused, refusal.ran), (request, Ran::Unknown));
    assert_eq!(refusal.reason, RefusalReason::DeadlinePassed);
}

/// The same request is given up by the end of a drain instead.
#[test]
fn drain_after_failure() {
    let mut bench = Bench::new(1);
    let (first, _) = bench.arrive("delft", true);
    bench.end(first, AttemptOutcome::FailedBeforeAnswer);
    let (second, _) = bench.arrive("delft", true);
    let outputs = bench.step(vec![Input::DrainBegun, Input::DrainEnding]);
    let refusals = refused(&outputs);
    let of = |request| refusals.iter().find(|(refused, _)| *refused == request);
    assert_eq!(of(first).map(|(_, refusal)| refusal.ran), Some(Ran::Unknown));
    assert_eq!(of(second).map(|(_, refusal)| refusal.ran), Some(Ran::NotRun));
}

/// A call that may not be repeated fails after it was handed over. It must not be sent again, and
/// its caller hears at once that the outcome is unknown.
#[test]
fn not_repeatable() {
    for outcome in [AttemptOutcome::FailedBeforeAnswer, AttemptOutcome::Garbage] {
        let mut bench = Bench::new(2);
        let (request, _) = bench.arrive("delft", false);
        let outputs = bench.end(request, outcome);
        let refusals = refused(&outputs);
        assert_eq!(refusals.len(), 1);
        assert_eq!(refusals[0].1.ran, Ran::Unknown);
        assert!(sent(&bench.wait(Duration::from_secs(10))).is_empty(), "it was sent again");
    }
}

/// Every upstream turns a request away and proves that it did not start. After some tries the caller
/// is told so; before, the request goes to the other upstream first.
#[test]
fn proved_unrun() {
    let mut bench = Bench::new(2);
    let (request, outputs) = bench.arrive("delft", false);
    let first = sent(&outputs)[0];
    let mut outputs = bench.end(request, AttemptOutcome::ProvedUnrun);
    let second = sent(&outputs)[0];
    assert_ne!(first.upstream, second.upstream);
    for _ in 0..100 {
        if let [(refused, refusal)] = refused(&outputs)[..] {
            assert_eq!((refused, refusal.ran), (request, Ran::NotRun));
            assert_eq!(refusal.reason, RefusalReason::UpstreamFailed);
            return;
        }
        outputs = match sent(&outputs).is_empty() {
            true => bench.wait(Duration::from_millis(100)),
            false => bench.end(request, AttemptOutcome::ProvedUnrun),
        };
    }
    panic!("the request was neither sent for good nor refused");
}

//! Upstreams are judged by what they do: those that fail, hang or take no connection are passed
//! over, and tried again.

use std::time::Duration;

use bergamotpitch_control::traffic::evidences::Evidence;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn outcomes(evidence: &mut Evidence, failed: usize, well: usize, now: Duration) {
    (0..failed).for_each(|_| evidence.note_outcome(true, now));
    (0..well).for_each(|_| evidence.note_outcome(false, now));
}

/// An engine fails four in ten requests while its health answer is good. Callers see errors until
/// the instances notice.
#[test]
fn grey_engine() {
    let mut evidence = Evidence::default();
    outcomes(&mut evidence, 4, 6, at(0));
    assert!(evidence.is_failing(0.05));
    // After the fault, the failures fade.
    outcomes(&mut evidence, 0, 6, at(6_000));
    assert!(!evidence.is_failing(0.05));
}

/// A service fails one call in seven when all is well. Passing over each of its engines in turn
/// would only push its load together.
#[test]
fn common_failures() {
    let mut evidence = Evidence::default();
    outcomes(&mut evidence, 2, 12, at(0));
    assert!(!evidence.is_failing(0.14));
}

#[test]
fn few_outcomes() {
    let mut evidence = Evidence::default();
    outcomes(&mut evidence, 2, 0, at(0));
    assert!(!evidence.is_failing(0.0));
}

/// An engine's process is frozen: connections stay open and nothing comes. Requests would wait
/// there until their callers leave.
#[test]
fn hung_engine() {
    let mut evidence = Evidence::default();
    evidence.note_life(at(1_000));
    assert!(!evidence.is_hung(None, at(5_000)), "an idle engine is not hung");
    assert!(!evidence.is_hung(Some(at(1_900)), at(2_500)));
    assert!(evidence.is_hung(Some(at(1_900)), at(2_700)));
    evidence.note_life(at(2_800));
    assert!(!evidence.is_hung(Some(at(1_900)), at(2_900)));
}

/// A machine goes dark. Each connection to it takes the whole timeout, which its callers wait for.
#[test]
fn dark_engine() {
    let mut evidence = Evidence::default();
    evidence.note_unreachable(at(0));
    assert!(evidence.is_paused(at(199)));
    assert!(!evidence.is_paused(at(200)));
    (0..10).for_each(|_| evidence.note_unreachable(at(1_000)));
    assert!(evidence.is_paused(at(2_500)));
    assert!(!evidence.is_paused(at(2_600)), "a repaired engine is found within two seconds");
    evidence.note_unreachable(at(3_000));
    evidence.note_life(at(3_100));
    assert!(!evidence.is_paused(at(3_100)));
}

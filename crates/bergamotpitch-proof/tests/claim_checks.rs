//! The checks of claim histories fail on histories that break a promise.

use std::time::Duration;

use bergamotpitch_proof::claim_histories::{ClaimFault, ClaimRecord, ClaimStep, check_claims};

/// The upstream ran one order for two attempts; a shop gets the wreath twice.
#[test]
fn double_run() {
    let records = history(&[
        (0, ClaimStep::Wished),
        (0, ClaimStep::Won),
        (0, ClaimStep::Ran),
        (0, ClaimStep::Ran),
    ]);
    assert_eq!(check_claims(&records, &[]), [ClaimFault::RanTwice(0)]);
}

/// A caller is told "not run" of an order that ran; it places the order anew under another key.
#[test]
fn false_refusal() {
    let steps = [ClaimStep::Wished, ClaimStep::Won, ClaimStep::Ran, ClaimStep::ToldNotRun];
    let records = history(&steps.map(|step| (0, step)));
    assert_eq!(check_claims(&records, &[]), [ClaimFault::FalseNotRun(0)]);
}

/// A caller gets the answer of an attempt that never ran.
#[test]
fn foreign_answer() {
    let records = history(&[
        (0, ClaimStep::Wished),
        (0, ClaimStep::Won),
        (0, ClaimStep::Recorded),
        (1, ClaimStep::Wished),
        (1, ClaimStep::Answered(0)),
    ]);
    assert_eq!(check_claims(&records, &[]), [ClaimFault::ForeignAnswer(1)]);
}

/// Two attempts win one key one after the other with no release between them.
#[test]
fn two_winners() {
    let records = history(&[
        (0, ClaimStep::Wished),
        (0, ClaimStep::Won),
        (1, ClaimStep::Wished),
        (1, ClaimStep::Won),
    ]);
    assert_eq!(check_claims(&records, &[]), [ClaimFault::NotLinearizable(0)]);
}

/// An attempt hears that the key is taken before anybody wished for it.
#[test]
fn unclaimed_key_taken() {
    let records = history(&[
        (0, ClaimStep::Wished),
        (0, ClaimStep::Unknown),
        (1, ClaimStep::Wished),
        (1, ClaimStep::Won),
    ]);
    assert_eq!(check_claims(&records, &[]), [ClaimFault::NotLinearizable(0)]);
}

/// A caller was told "not run", but its claim stays and no later attempt can win the key.
#[test]
fn stuck_claim() {
    let records =
        history(&[(0, ClaimStep::Wished), (0, ClaimStep::Unavailable), (0, ClaimStep::ToldNotRun)]);
    assert_eq!(check_claims(&records, &[(0, 0, false)]), [ClaimFault::StuckClaim(0)]);
}

/// A release between two winners, and an answer from the run, break nothing.
#[test]
fn good_history() {
    let records = history(&[
        (0, ClaimStep::Wished),
        (0, ClaimStep::Won),
        (0, ClaimStep::Released),
        (0, ClaimStep::ToldNotRun),
        (1, ClaimStep::Wished),
        (1, ClaimStep::Won),
        (1, ClaimStep::Ran),
        (2, ClaimStep::Wished),
        (2, ClaimStep::Unknown),
        (1, ClaimStep::Recorded),
        (3, ClaimStep::Wished),
        (3, ClaimStep::Answered(1)),
    ]);
    assert_eq!(check_claims(&records, &[(0, 1, true)]), []);
}

fn history(steps: &[(usize, ClaimStep)]) -> Vec<ClaimRecord> {
    steps
        .iter()
        .enumerate()
        .map(|(index, (attempt, step))| ClaimRecord {
            at: Duration::from_millis(index as u64),
            key: 0,
            attempt: *attempt,
            step: *step,
        })
        .collect()
}

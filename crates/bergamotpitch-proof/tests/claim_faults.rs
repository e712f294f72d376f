//! Keyed requests under faults of the key-value service, crashes and pauses.

use bergamotpitch_control::idempotency::claim_queues::ClaimGuards;
use bergamotpitch_proof::claim_histories::{ClaimFault, ClaimStep, check_claims};
use bergamotpitch_proof::claim_runs::{RunResult, run_claims};
use bergamotpitch_proof::soaks::claim_schedule;

/// Fault schedules that are run, one for each seed.
const SEEDS: std::ops::Range<u64> = 1..101;

/// The key-value service goes out, gets slow, refuses calls over its rate and loses answers after
/// the write, while routers crash and pause and callers try again elsewhere. If claims went wrong, a
/// wreath would be ordered twice, or a caller told "not run" would find the order placed.
#[test]
fn any_faults() {
    let mut runs = 0;
    let mut refusals = 0;
    let mut segments = 0;
    for seed in SEEDS {
        let result = run_claims(claim_schedule(seed, ClaimGuards::default()));
        let faults = check_claims(&result.records, &result.held);
        assert_eq!(faults, [], "seed {seed}");
        assert_eq!(result.missing_segments, 0, "seed {seed}");
        segments += result.segment_count;
        runs += count(&result, ClaimStep::Ran);
        refusals += count(&result, ClaimStep::ToldNotRun);
    }
    // The schedules leave enough work done and enough refused to show anything.
    assert!(1_000 < runs, "{runs}");
    assert!(500 < refusals, "{refusals}");
    assert!(100 < segments, "{segments}");
}

/// A router that takes a write with a lost answer for done sends a request whose claim never took
/// effect, and the caller's next try runs it again elsewhere.
#[test]
fn without_read_back() {
    let guards = ClaimGuards { reads_back: false, ..ClaimGuards::default() };
    assert!(any_fault(guards, |fault| matches!(fault, ClaimFault::RanTwice(_))));
    assert!(any_fault(guards, |fault| matches!(fault, ClaimFault::NotLinearizable(_))));
}

/// A router gives a claim up while its write is in doubt and tells the caller "not run". If the
/// claim stayed, the caller could never place the order under that key.
#[test]
fn without_release() {
    let guards = ClaimGuards { releases_abandoned: false, ..ClaimGuards::default() };
    assert!(any_fault(guards, |fault| matches!(fault, ClaimFault::StuckClaim(_))));
}

/// A slow write lands after its router looked for the claim, found none and thought the matter
/// settled. The claim stays, and the caller who was told "not run" can never place the order.
#[test]
fn without_fence() {
    let guards = ClaimGuards { fences_unconfirmed: false, ..ClaimGuards::default() };
    assert!(any_fault(guards, |fault| matches!(fault, ClaimFault::StuckClaim(_))));
}

/// A router that looks for a key in the record alone misses the claims that were moved out of it,
/// and an order runs again when its caller asks for the answer.
#[test]
fn without_segments() {
    let guards = ClaimGuards { searches_segments: false, ..ClaimGuards::default() };
    assert!(any_fault(guards, |fault| matches!(fault, ClaimFault::RanTwice(_))));
}

/// The answer to the write that names a new segment is lost, and the router deletes the segment. The
/// write took effect, so that nobody can read the segment that the record names, and no key of the
/// shard can be claimed any more.
#[test]
fn without_unconfirmed_segments() {
    let guards = ClaimGuards { keeps_unconfirmed_segments: false, ..ClaimGuards::default() };
    assert!(
        SEEDS
            .into_iter()
            .any(|seed| { 0 < run_claims(claim_schedule(seed, guards)).missing_segments })
    );
}

/// A router that slept wakes with a read of the shard still in its buffer, and a wish comes in before
/// it looks at that. If the wish were judged by the old read, a caller whose colleague already has the
/// answer would hear "outcome unknown". Two seeds of a soak showed it.
#[test]
fn stale_read() {
    let guards = ClaimGuards { reads_after_request: false, ..ClaimGuards::default() };
    for seed in [5_375, 6_204] {
        let result = run_claims(claim_schedule(seed, ClaimGuards::default()));
        assert_eq!(check_claims(&result.records, &result.held), [], "seed {seed}");
        let result = run_claims(claim_schedule(seed, guards));
        let faults = check_claims(&result.records, &result.held);
        assert!(matches!(faults[..], [ClaimFault::NotLinearizable(_)]), "seed {seed}: {faults:?}");
    }
}

/// Two runs with one seed must leave the same history, or no failure could be looked into again.
#[test]
fn same_history() {
    let first = run_claims(claim_schedule(7, ClaimGuards::default()));
    let second = run_claims(claim_schedule(7, ClaimGuards::default()));
    assert_eq!(first.records, second.records);
}

fn any_fault(guards: ClaimGuards, is_it: impl Fn(&ClaimFault) -> bool) -> bool {
    SEEDS.into_iter().any(|seed| {
        let result = run_claims(claim_schedule(seed, guards));
        check_claims(&result.records, &result.held).iter().any(&is_it)
    })
}

fn count(result: &RunResult, step: ClaimStep) -> usize {
    result.records.iter().filter(|record| record.step == step).count()
}

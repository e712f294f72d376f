//! Claims that expire while their owners are paused, at routers whose clocks differ.

use std::time::Duration;

use bergamotpitch_control::idempotency::claim_queues::ClaimOptions;
use bergamotpitch_proof::claim_histories::{ClaimRecord, ClaimStep, check_expiry};
use bergamotpitch_proof::claim_runs::{RunOptions, run_claims};

/// Runs, one for each seed.
const SEEDS: std::ops::Range<u64> = 1..21;

/// Most that a clock is wrong; two clocks may differ by twice as much.
const CLOCK_ERROR: Duration = Duration::from_secs(3);

/// A router wins a key, and the request waits, or the router is paused, until the claim has expired
/// and the caller's next try has won the key elsewhere. If it sent its request on waking, the order would be placed twice.
#[test]
fn paused_owner() {
    let mut keys_won_again = 0;
    for seed in SEEDS {
        let result = run_claims(options(seed, CLOCK_ERROR * 2, true));
        let overtaken = check_expiry(&result.records);
        assert!(overtaken.is_empty(), "seed {seed}: {overtaken:?}");
        keys_won_again += won_again(&result.records);
    }
    assert!(20 < keys_won_again, "{keys_won_again}");
}

/// An owner that does not look at its claim's age right before it sends runs the request after
/// another one has won the key.
#[test]
fn without_age() {
    let breaks =
        |seed| !check_expiry(&run_claims(options(seed, CLOCK_ERROR * 2, false)).records).is_empty();
    assert!(SEEDS.into_iter().any(breaks));
}

/// Without a margin for clocks that differ, a router whose clock is ahead frees a key that its owner
/// may still send.
#[test]
fn without_margin() {
    let breaks =
        |seed| !check_expiry(&run_claims(options(seed, Duration::ZERO, true)).records).is_empty();
    assert!(SEEDS.into_iter().any(breaks));
}

/// The check fails when an attempt runs after another one has won its key.
#[test]
fn overtaken_run() {
    let steps = [(0, ClaimStep::Won), (1, ClaimStep::Won), (0, ClaimStep::Ran)];
    let records =
        steps.map(|(attempt, step)| ClaimRecord { at: Duration::ZERO, key: 0, attempt, step });
    assert_eq!(check_expiry(&records), [0]);
    assert!(check_expiry(&records[..2]).is_empty());
}

fn options(seed: u64, max_clock_skew: Duration, checks_age: bool) -> RunOptions {
    RunOptions {
        key_count: 40,
        arrival_time: Duration::from_secs(60),
        attempt_limit: 60,
        pause_count: 12,
        longest_wait: Duration::from_secs(11),
        longest_pause: Duration::from_secs(25),
        clock_error: CLOCK_ERROR,
        checks_age,
        claims: ClaimOptions {
            shard_count: 4,
            lifetime: Duration::from_secs(12),
            max_clock_skew,
            ..ClaimOptions::default()
        },
        seed,
        ..RunOptions::default()
    }
}

fn won_again(records: &[ClaimRecord]) -> usize {
    let is_won = |record: &&ClaimRecord| record.step == ClaimStep::Won;
    let of_key = |key| records.iter().filter(is_won).filter(|record| record.key == key).count();
    (0..40).filter(|key| 1 < of_key(*key)).count()
}

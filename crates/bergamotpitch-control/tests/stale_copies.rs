//! Instances that decide by themselves, from what the others told them seconds ago.

mod engines;
mod replays;

use std::time::Duration;

use replays::{Asked, Fleet, Outcome, arrivals, chosen, replay};

/// Its callers all reach one instance.
const LONE: u32 = 1;

/// The two largest teams; they send ten times what the others do.
const FLOODING: [u32; 2] = [8, 9];

/// The seconds over which the teams are compared.
const WINDOW: std::ops::Range<u64> = 9..15;

/// Two teams flood all the while; a small one begins to send seven times its usual, which is still
/// within its share.
fn sudden_team(seed: u64) -> Vec<Asked> {
    let mut asked = arrivals(seed, 160.0, 0.95);
    let is_quiet = |asked: &Asked| asked.arrived.as_secs() < WINDOW.start;
    let mut small = 0;
    asked.retain(|request| {
        small += usize::from(request.team == LONE);
        request.team != LONE || !is_quiet(request) || small.is_multiple_of(7)
    });
    for (index, request) in asked.iter_mut().enumerate() {
        if request.team == FLOODING[1] && index % 3 == 0 {
            request.team = FLOODING[0];
        }
    }
    asked
}

fn begun(outcome: &Outcome, team: u32) -> u64 {
    WINDOW.filter_map(|second| outcome.begun_tokens.get(&(team, second))).sum()
}

/// What the team asked or the best served one got, whichever is less, and what it got.
fn due_and_begun(asked: &[Asked], outcome: &Outcome) -> (u64, u64) {
    let of_team = asked.iter().filter(|request| request.team == LONE);
    let in_window = of_team.filter(|request| WINDOW.contains(&request.arrived.as_secs()));
    let wanted: u64 = in_window.map(|request| request.facts.pool_tokens()).sum();
    let best = FLOODING.iter().map(|team| begun(outcome, *team)).max().unwrap_or_default();
    (wanted.min(best), begun(outcome, LONE))
}

fn fleet(instances: usize, beat_interval_ms: u64) -> Fleet {
    Fleet {
        instances,
        beat_interval: Duration::from_millis(beat_interval_ms),
        lone_team: Some(LONE),
        ..Fleet::default()
    }
}

/// Guards against a team within its share that is refused everywhere, as instances that know little of
/// each other have given its places to teams beyond theirs.
#[test]
fn places_given_away() {
    let mut is_starved_apart = false;
    for seed in 1..=5 {
        let asked = sudden_team(seed);
        let apart = replay(&asked, fleet(12, 2_500), chosen);
        let together = replay(&asked, fleet(1, 2_500), chosen);
        let (due, got_apart) = due_and_begun(&asked, &apart);
        is_starved_apart |= 2 * got_apart < due;
        let (due, got) = due_and_begun(&asked, &together);
        println!("seed {seed}: {got_apart} apart, {got} of {due} together");
        assert!(due <= 2 * got, "{seed}: {got} of {due}");
        assert!(apart.all_in_time() < together.all_in_time(), "{seed}");
        assert!(apart.small_part_in_time() < together.small_part_in_time(), "{seed}");
    }
    assert!(is_starved_apart, "the load no longer shows what one decider guards against");
}

/// A few instances that tell each other some times a second need no dispatcher.
#[test]
fn few_instances() {
    for seed in 1..=5 {
        let asked = sudden_team(seed);
        let (due, got) = due_and_begun(&asked, &replay(&asked, fleet(7, 360), chosen));
        assert!(due <= 2 * got, "{seed}: {got} of {due}");
    }
}

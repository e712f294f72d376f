//! Instances that decide by themselves, from what the others told them seconds ago.

mod engines;
mod replays;

use std::time::Duration;

use replays::{Fleet, OfferedRequest, Outcome, arrivals, place_and_send, replay};

/// Its callers all reach one instance.
const PINNED: u32 = 1;

/// The two largest teams; they send ten times what the others do.
const FLOODING: [u32; 2] = [8, 9];

/// The seconds over which the teams are compared.
const WINDOW: std::ops::Range<u64> = 9..15;

/// Two teams flood all the while; a small one begins to send seven times its usual, which is still
/// within its share.
fn sudden_team(seed: u64) -> Vec<OfferedRequest> {
    let mut offered = arrivals(seed, 160.0, 0.95);
    let is_quiet = |offered: &OfferedRequest| offered.arrived.as_secs() < WINDOW.start;
    let mut small = 0;
    offered.retain(|request| {
        small += usize::from(request.team == PINNED);
        request.team != PINNED || !is_quiet(request) || small.is_multiple_of(7)
    });
    for (index, request) in offered.iter_mut().enumerate() {
        if request.team == FLOODING[1] && index % 3 == 0 {
            request.team = FLOODING[0];
        }
    }
    offered
}

fn started(outcome: &Outcome, team: u32) -> u64 {
    WINDOW.filter_map(|second| outcome.started_tokens.get(&(team, second))).sum()
}

/// What the team asked or the best served one got, whichever is less, and what it got.
fn due_and_started(offered: &[OfferedRequest], outcome: &Outcome) -> (u64, u64) {
    let of_team = offered.iter().filter(|request| request.team == PINNED);
    let in_window = of_team.filter(|request| WINDOW.contains(&request.arrived.as_secs()));
    let requested: u64 = in_window.map(|request| request.facts.pool_tokens()).sum();
    let best = FLOODING.iter().map(|team| started(outcome, *team)).max().unwrap_or_default();
    (requested.min(best), started(outcome, PINNED))
}

fn fleet(instances: usize, heartbeat_interval_ms: u64) -> Fleet {
    Fleet {
        instances,
        heartbeat_interval: Duration::from_millis(heartbeat_interval_ms),
        pinned_team: Some(PINNED),
        ..Fleet::default()
    }
}

/// Guards against a team within its share that is refused everywhere, as instances that know little of
/// each other have given its places to teams beyond theirs.
#[test]
fn places_given_away() {
    let mut is_starved_distributed = false;
    for seed in 1..=5 {
        let offered = sudden_team(seed);
        let distributed = replay(&offered, fleet(12, 2_500), place_and_send);
        let central = replay(&offered, fleet(1, 2_500), place_and_send);
        let (due, got_distributed) = due_and_started(&offered, &distributed);
        is_starved_distributed |= 2 * got_distributed < due;
        let (due, got) = due_and_started(&offered, &central);
        println!("seed {seed}: {got_distributed} apart, {got} of {due} together");
        assert!(due <= 2 * got, "{seed}: {got} of {due}");
        assert!(distributed.all_in_time() < central.all_in_time(), "{seed}");
        assert!(distributed.small_teams_in_time() < central.small_teams_in_time(), "{seed}");
    }
    assert!(is_starved_distributed, "the load no longer shows what one decider guards against");
}

/// A few instances that tell each other some times a second need no dispatcher.
#[test]
fn few_instances() {
    for seed in 1..=5 {
        let offered = sudden_team(seed);
        let (due, got) =
            due_and_started(&offered, &replay(&offered, fleet(7, 360), place_and_send));
        assert!(due <= 2 * got, "{seed}: {got} of {due}");
    }
}

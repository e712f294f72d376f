//! A team that begins to flood beside one that has flooded for some time.

mod engines;
mod replays;

use std::ops::Range;
use std::time::Duration;

use replays::{Fleet, OfferedRequest, Outcome, arrivals, place_and_send, replay};

const STANDING: u32 = 9;
const SUDDEN: u32 = 1;

/// When the second team begins to flood.
const BEGINS_S: u64 = 8;

/// The seconds after that over which the teams are compared.
const SECONDS: Range<u64> = BEGINS_S..BEGINS_S + 2;

/// Requests of a team that floods, every second of which another team sends from a time on.
fn two_floods(seed: u64) -> Vec<OfferedRequest> {
    let mut offered = arrivals(seed, 220.0, 0.9);
    let of_flood = offered.iter_mut().filter(|request| request.team == STANDING);
    let late = of_flood.filter(|request| Duration::from_secs(BEGINS_S) <= request.arrived);
    late.step_by(2).for_each(|request| request.team = SUDDEN);
    offered
}

fn started(outcome: &Outcome, team: u32) -> u64 {
    SECONDS.filter_map(|second| outcome.started_tokens.get(&(team, second))).sum()
}

/// Guards against a team that gets next to nothing for some seconds, as another one begins to flood and is
/// given at once what it did not ask for in the seconds before.
#[test]
fn share_at_once() {
    for seed in 1..=4 {
        let outcome = replay(&two_floods(seed), Fleet::default(), place_and_send);
        let (standing, sudden) = (started(&outcome, STANDING), started(&outcome, SUDDEN));
        println!(
            "seed {seed}: {standing} beside {sudden}; {} of {} in time, {:.3} of small teams",
            outcome.all_in_time(),
            outcome.served,
            outcome.small_teams_in_time()
        );
        assert!(sudden <= 2 * standing, "seed {seed}: {standing} beside {sudden}");
    }
}

//! Shares where the engines give less than operators state.

mod engines;
mod replays;

use std::ops::Range;
use std::time::Duration;

use bergamotpitch_control::traffic::placement_requests::PlacementRequest;
use replays::{Fleet, OfferedRequest, Outcome, arrivals, place_and_send, replay};

/// Several times what the engines of the replay give.
const STATED_TOKENS_PER_S: u64 = 900_000;

const FLOODING: u32 = 9;
const SMALL: [u32; 3] = [1, 2, 3];

/// Seconds of the windows over which the teams are compared.
const WINDOW_S: u64 = 6;

fn started(outcome: &Outcome, team: u32, seconds: &Range<u64>) -> u64 {
    seconds.clone().filter_map(|second| outcome.started_tokens.get(&(team, second))).sum()
}

fn requested(offered: &[OfferedRequest], team: u32, seconds: &Range<u64>) -> Vec<u64> {
    let of_team = offered.iter().filter(|request| request.team == team);
    let in_window = of_team.filter(|request| seconds.contains(&request.arrived.as_secs()));
    in_window.map(|request| request.facts.pool_tokens()).collect()
}

/// A replay in which all decide by a rate that the engines do not reach.
fn stated(offered: &[OfferedRequest], fleet: Fleet) -> Outcome {
    replay(offered, fleet, |traffic, placement_request, number, now| {
        let placement_request =
            PlacementRequest { pool_tokens_per_s: Some(STATED_TOKENS_PER_S), ..*placement_request };
        place_and_send(traffic, &placement_request, number, now)
    })
}

/// The windows in which a small team got less than half of what it asked, or of what the flooding team
/// got, less three of its largest requests.
fn starved(offered: &[OfferedRequest], outcome: &Outcome) -> Vec<String> {
    let mut starved = Vec::new();
    for seconds in (4..14).map(|start| start..start + WINDOW_S) {
        let best = started(outcome, FLOODING, &seconds);
        for team in SMALL {
            let requested = requested(offered, team, &seconds);
            let due = requested.iter().sum::<u64>().min(best);
            let slack = 3 * requested.iter().max().copied().unwrap_or_default();
            let got = started(outcome, team, &seconds);
            if got + slack < due / 2 {
                starved.push(format!("from {} s, team {team}: {got} of {due}", seconds.start));
            }
        }
    }
    starved
}

/// Guards against a team that gets less than half of its due beside one that floods, as engines were
/// lost or are slower than stated.
#[test]
fn flood_beside_small_teams() {
    for seed in 1..=3 {
        let offered = arrivals(seed, 220.0, 0.9);
        let outcome = stated(&offered, Fleet::default());
        let known = replay(&offered, Fleet::default(), place_and_send);
        println!(
            "seed {seed}: served {} and {} with the true rate, in time {} and {}, of the small teams \
             {:.2} and {:.2}",
            outcome.served,
            known.served,
            outcome.all_in_time(),
            known.all_in_time(),
            outcome.small_teams_in_time(),
            known.small_teams_in_time(),
        );
        let given = |outcome: &Outcome| outcome.started_tokens.values().sum::<u64>();
        assert!(given(&known) <= given(&outcome), "seed {seed}: engines stand idle");
        assert_eq!(starved(&offered, &outcome), Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against the same in a fleet of small domains, of which each instance decides by itself.
#[test]
fn flood_before_many_deciders() {
    let fleet =
        Fleet { instances: 23, heartbeat_interval: Duration::from_millis(720), ..Fleet::default() };
    for seed in 1..=3 {
        let mut offered = arrivals(seed, 220.0, 0.9);
        let mut sudden = 0;
        offered.retain(|request| {
            let is_sudden = request.team == SMALL[0] && request.arrived < Duration::from_secs(9);
            sudden += u32::from(is_sudden);
            !is_sudden || sudden.is_multiple_of(7)
        });
        let starved = starved(&offered, &stated(&offered, fleet));
        assert_eq!(starved, Vec::<String>::new(), "seed {seed}");
    }
}

//! Prompts that take an engine most of their target to read.

mod engines;
mod replays;

use std::time::Duration;

use bergamotpitch_control::traffic::engine_loads::{Capacity, Work};
use bergamotpitch_control::traffic::engine_speeds::EngineSpeed;
use bergamotpitch_control::traffic::placement_requests::{Decision, Placement};
use bergamotpitch_control::traffic::team_windows::ShareClass;
use replays::{
    Fleet, OfferedRequest, SLOTS, arrivals, place_and_send, placement_request_of, replay,
    traffic_of_engines,
};

/// Half of a flooding team's requests have prompts that take nearly half a second to read; each makes
/// those that wait behind it late.
fn load(seed: u64) -> Vec<OfferedRequest> {
    let mut offered = arrivals(seed, 70.0, 0.8);
    for (index, request) in offered.iter_mut().enumerate() {
        if request.team == 9 && index % 2 == 0 {
            let own = request.facts.prefix.last_mut().unwrap();
            request.facts.prompt_tokens += u64::from(40_000 - own.tokens.min(40_000));
            own.tokens = own.tokens.max(40_000);
            request.target = Duration::from_millis(600);
        }
    }
    offered
}

/// A team beyond its share sends prompts that take most of their target to read. Each of them makes
/// several requests that wait behind it late, so that callers of all teams wait for one team's books.
#[test]
fn beyond_share() {
    for seed in 1..=3 {
        let offered = load(seed);
        let ours = replay(&offered, Fleet::default(), place_and_send);
        println!(
            "seed {seed}: asked {}, served {}, in time {}, small teams {:.3}",
            offered.len(),
            ours.served,
            ours.all_in_time(),
            ours.small_teams_in_time()
        );
        assert!(0.9 <= ours.small_teams_in_time(), "{seed}: {ours:?}");
    }
}

/// A team has had far more than its share, and now asks for a prompt that takes most of its target to
/// read, while the engines have next to nothing to do. Refused because of what the team had, the
/// request would wait while paid capacity stands idle.
#[test]
fn idle_engines() {
    let (mut traffic, keys) = traffic_of_engines();
    let request = load(1).into_iter().find(|request| 40_000 < request.facts.prompt_tokens).unwrap();
    let now = Duration::from_secs(5);
    traffic.windows.record_request(1, 900_000, now);
    traffic.windows.record_request(request.team, 9_000_000, now);
    traffic.windows.record_dispatch(request.team, 900_000, now);
    let decision = traffic.choose_upstream(&placement_request_of(&request, now), now);
    assert!(matches!(
        decision,
        Decision::Send(Placement { share_class: ShareClass::BeyondEven, .. })
    ));
    // With something to read on each engine, others would wait behind it.
    for (number, key) in keys.iter().enumerate() {
        let work = Work { unread_tokens: 500.0, ..Work::default() };
        let options = traffic.options.loads;
        let capacity = Capacity { slots: SLOTS, speed: EngineSpeed::default() };
        traffic.load(*key).send(number as u64, work, &capacity, now, &options);
    }
    let decision = traffic.choose_upstream(&placement_request_of(&request, now), now);
    assert!(matches!(decision, Decision::Full { share_class: ShareClass::BeyondEven, .. }));
}

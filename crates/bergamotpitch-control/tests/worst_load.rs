//! The load of the worst seconds of a day, replayed: callers ask for twice what the engines give.

mod engines;
mod replays;

use std::collections::HashMap;
use std::time::Duration;

use bergamotpitch_control::traffic::admissions::Traffic;
use bergamotpitch_control::traffic::placement_requests::{Placement, PlacementRequest};
use bergamotpitch_control::traffic::team_windows::ShareClass;
use replays::{Fleet, OfferedRequest, SLOTS, arrivals, place_and_send, replay};

/// First come, first served at the engine with the fewest requests, whatever its prompts are.
fn first_come(
    traffic: &mut Traffic,
    placement_request: &PlacementRequest<'_>,
    number: u64,
    now: Duration,
) -> Option<Placement> {
    let keys = traffic.registry.of_service("engines").to_vec();
    let upstream = *keys.iter().min_by_key(|key| traffic.load(**key).own_figures().requests)?;
    let requests = traffic.load(upstream).own_figures().requests;
    if SLOTS + 134 <= requests {
        return None;
    }
    let placement = Placement {
        upstream,
        work: Default::default(),
        predicted: Duration::ZERO,
        requests,
        share_class: ShareClass::WithinShare,
        rank: None,
        fetch_from: None,
        decided: Duration::ZERO,
        is_cold: false,
    };
    traffic.send(number, &placement, placement_request, now);
    Some(placement)
}

/// Everyone asks for twice what there is, and whoever comes first is sent on. Work waits at the
/// engines, and nearly every caller gets a late answer.
#[test]
fn twice_the_load() {
    for seed in 1..=3 {
        let offered = arrivals(seed, 95.0, 0.7);
        let ours = replay(&offered, Fleet::default(), place_and_send);
        let plain = replay(&offered, Fleet::default(), first_come);
        println!(
            "seed {seed}: asked {}, in time {} against {}, served {} against {}, small teams {:.2} \
             against {:.2}, read again {:.0} against {:.0} tokens",
            offered.len(),
            ours.all_in_time(),
            plain.all_in_time(),
            ours.served,
            plain.served,
            ours.small_teams_in_time(),
            plain.small_teams_in_time(),
            ours.reread_tokens,
            plain.reread_tokens,
        );
        assert!(2 * plain.all_in_time() < ours.all_in_time(), "{seed}: {ours:?} {plain:?}");
        // What is sent is in time: the rest was told at once to come back.
        assert!(0.9 * ours.served as f64 <= ours.all_in_time() as f64, "{seed}: {ours:?}");
        assert!(ours.reread_tokens < 0.8 * plain.reread_tokens, "{seed}: {ours:?}");
    }
}

/// One team floods. The small teams ask for about half of their share, so that also their bunches
/// fit into it, and must hardly notice.
#[test]
fn flooding_team() {
    for seed in 1..=3 {
        let ours = replay(&arrivals(seed, 95.0, 0.93), Fleet::default(), place_and_send);
        assert!(0.95 <= ours.small_teams_in_time(), "{seed}: {:.3}", ours.small_teams_in_time());
    }
}

/// Replays a load; returns the tokens of the pool that each team's begun and asked requests took.
fn dispatched_and_requested(offered: &[OfferedRequest]) -> (HashMap<u32, u64>, HashMap<u32, u64>) {
    let mut dispatched: HashMap<u32, u64> = HashMap::new();
    let mut requested: HashMap<u32, u64> = HashMap::new();
    for request in offered {
        *requested.entry(request.team).or_default() += request.facts.pool_tokens();
    }
    replay(offered, Fleet::default(), |traffic, placement_request, number, now| {
        let placement = place_and_send(traffic, placement_request, number, now)?;
        *dispatched.entry(placement_request.team?).or_default() +=
            placement_request.facts.pool_tokens();
        Some(placement)
    });
    (dispatched, requested)
}

/// Two teams ask for more than their share, one of them four times as much as the other. What the
/// engines give beyond the shares must not go to whoever asks most: the lesser of the two would
/// wait all the while and get a fraction of what the other gets.
#[test]
fn even_surplus() {
    for seed in 1..=3 {
        let mut offered = arrivals(seed, 120.0, 0.9);
        for (index, request) in offered.iter_mut().enumerate() {
            if request.team == 9 && index % 5 == 0 {
                request.team = 8;
            }
        }
        let (dispatched, requested) = dispatched_and_requested(&offered);
        let due = requested[&8].min(dispatched[&9]);
        println!("seed {seed}: begun {dispatched:?} wanted {requested:?}");
        assert!(due * 7 / 10 <= dispatched[&8], "{seed}: {} of {due}", dispatched[&8]);
    }
}

/// At a third of the load nobody is refused, whoever asks: capacity must not stand idle while work
/// waits.
#[test]
fn light_load() {
    for seed in 1..=3 {
        let offered = arrivals(seed, 15.0, 0.7);
        let ours = replay(&offered, Fleet::default(), place_and_send);
        let refused = offered.len() - ours.served;
        assert!(refused * 50 <= offered.len(), "{seed}: {refused} of {} refused", offered.len());
    }
}

/// Two teams ask for more than their share. All prompts of one of them begin alike, so that the engine
/// that keeps this start is full of them; the other's starts lie on all engines. What the engines give
/// beyond the shares must not all go to the second, as reading the start on another engine costs the
/// first no more than it costs the others.
#[test]
fn one_shared_prefix() {
    for seed in 1..=3 {
        let mut offered = arrivals(seed, 120.0, 0.9);
        for (index, request) in offered.iter_mut().enumerate() {
            if request.team == 9 && index % 2 == 0 {
                request.team = 8;
                request.facts.prefix[0].id = 77;
            }
        }
        let (dispatched, requested) = dispatched_and_requested(&offered);
        let due = requested[&8].min(dispatched[&9]);
        println!("seed {seed}: begun {dispatched:?} wanted {requested:?}");
        assert!(due * 6 / 10 <= dispatched[&8], "{seed}: {} of {due}", dispatched[&8]);
    }
}

//! Streams that go on at one software version, beside a flood of requests that may go anywhere.

mod engines;
mod replays;

use bergamotpitch_control::traffic::placement_requests::PlacementRequest;
use bergamotpitch_control::traffic::software_versions::software_id;
use replays::{Fleet, arrivals, place_and_send, replay};

/// Guards against streams that callers take up and that are turned away more often than those that
/// begin, as the last engine of their version is full of new ones: a release is three quarters through,
/// and callers ask for twice what the engines give.
#[test]
fn last_engine_of_a_version() {
    for seed in 1..=3 {
        let offered = arrivals(seed, 95.0, 0.7);
        let old = software_id(Some("v1"));
        let mut placed = [0, 0];
        let is_taken_up = |number: u64| number.is_multiple_of(12);
        let outcome = replay(&offered, Fleet::default(), |traffic, request, number, now| {
            let software = is_taken_up(number).then_some(old);
            let request = PlacementRequest { software, ..*request };
            let placement = place_and_send(traffic, &request, number, now)?;
            let upstream = traffic.registry.get(placement.upstream).unwrap();
            assert!(software.is_none_or(|only| upstream.software == only));
            placed[usize::from(software.is_some())] += 1;
            Some(placement)
        });
        let taken_up = (0..offered.len() as u64).filter(|number| is_taken_up(*number)).count();
        let part = |placed: i32, of: usize| f64::from(placed) / of as f64;
        let (begin, go_on) = (part(placed[0], offered.len() - taken_up), part(placed[1], taken_up));
        println!(
            "seed {seed}: {begin:.2} of those that begin, {go_on:.2} of those that go on, {} in time, \
             small teams {:.2}",
            outcome.all_in_time(),
            outcome.small_teams_in_time(),
        );
        assert!(begin < 0.9, "the load is too low to tell");
        // What was read and written of a stream before it broke off is lost with it.
        assert!(begin <= go_on, "seed {seed}: {go_on:.2} go on, {begin:.2} begin");
    }
}

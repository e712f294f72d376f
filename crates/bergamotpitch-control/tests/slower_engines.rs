//! Engines of another model, which read a third as fast as those that the fleet began with.

mod engines;
mod replays;

use std::time::Duration;

use engines::Speed;
use replays::{Fleet, OfferedRequest, arrivals, place_and_send, replay};

const SLOWER: Speed = Speed {
    prefill_tokens_per_ms: 30.0,
    chunk_tokens: 1_024.0,
    step_ms: 6.0,
    step_ms_per_request: 0.03,
};

/// Twice what the slower engines give; callers aim at 800 ms.
fn load(seed: u64) -> Vec<OfferedRequest> {
    let mut offered = arrivals(seed, 35.0, 0.7);
    for request in &mut offered {
        request.target = Duration::from_millis(800);
    }
    offered
}

/// A customer's engines read a third as fast as assumed. Each of them looks nearly empty although
/// seconds of reading wait there, so that requests are sent on which begin late, and callers who
/// would rather have been told to come back wait in vain.
#[test]
fn third_speed() {
    for seed in 1..=3 {
        let offered = load(seed);
        let outcome = replay(&offered, Fleet { speed: SLOWER, ..Fleet::default() }, place_and_send);
        println!(
            "seed {seed}: asked {}, served {}, in time {}, small teams {:.2}",
            offered.len(),
            outcome.served,
            outcome.all_in_time(),
            outcome.small_teams_in_time()
        );
        assert!(0.9 * outcome.served as f64 <= outcome.all_in_time() as f64, "{seed}: {outcome:?}");
    }
}

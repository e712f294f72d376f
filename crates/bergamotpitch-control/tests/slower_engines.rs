//! Engines of another model, which read a third as fast as those that the fleet began with.

mod engines;
mod replays;

use std::time::Duration;

use engines::Speed;
use replays::{Asked, Fleet, arrivals, chosen, replay};

const SLOWER: Speed = Speed {
    prefill_tokens_per_ms: 30.0,
    chunk_tokens: 1_024.0,
    step_ms: 6.0,
    step_ms_per_request: 0.03,
};

/// Twice what the slower engines give; callers aim at 800 ms.
fn load(seed: u64) -> Vec<Asked> {
    let mut asked = arrivals(seed, 35.0, 0.7);
    for request in &mut asked {
        request.target = Duration::from_millis(800);
    }
    asked
}

/// A customer's engines read a third as fast as assumed. Each of them looks nearly empty although
/// seconds of reading wait there, so that requests are sent on which begin late, and callers who
/// would rather have been told to come back wait in vain.
#[test]
fn third_speed() {
    for seed in 1..=3 {
        let asked = load(seed);
        let outcome = replay(&asked, Fleet { speed: SLOWER, ..Fleet::default() }, chosen);
        println!(
            "seed {seed}: asked {}, served {}, in time {}, small teams {:.2}",
            asked.len(),
            outcome.served,
            outcome.all_in_time(),
            outcome.small_part_in_time()
        );
        assert!(0.9 * outcome.served as f64 <= outcome.all_in_time() as f64, "{seed}: {outcome:?}");
    }
}

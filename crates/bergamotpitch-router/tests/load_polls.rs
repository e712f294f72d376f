//! Upstreams are asked for their load at a bounded rate.

use std::time::Duration;

use bergamotpitch_router::loads::poll_pause;

/// A domain grows from a dozen upstreams to some hundred. Asked four times a second each, by each of
/// 47 instances, an upstream answers 188 calls a second, and callers wait behind them.
#[test]
fn many_upstreams() {
    assert_eq!(poll_pause(9), Duration::from_millis(250));
    for upstreams in [100, 347, 2_000] {
        let polls_per_second = upstreams as f64 / poll_pause(upstreams).as_secs_f64();
        assert!(polls_per_second <= 40.1, "{polls_per_second}");
    }
    // What an upstream says of itself is still learned within the three seconds that a leaving one
    // may go on getting work.
    // The home of one of nine services asks a ninth of the 347.
    assert!(poll_pause(347 / 9) < Duration::from_secs(2));
}

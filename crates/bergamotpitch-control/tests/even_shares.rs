//! Teams' shares are even over the fleet, whatever one of them asks for.

use std::time::Duration;

use bergamotpitch_control::traffic::team_windows::{
    Options, ShareClass, TeamSums, TeamWindows, max_min_level,
};

const SMALL: u32 = 1;
const LARGE: u32 = 2;
const RATE: Option<u64> = Some(1_000);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// One team sends seven times its usual. The small team's requests still fit, the flood's do not,
/// once it has begun what everyone may. The instance has counted for a whole window by then, which
/// is how long the shares take to grow to their full size.
#[test]
fn one_flood() {
    let mut windows = TeamWindows::new(Options::default());
    windows.record_request(SMALL, 500, at(4_100));
    windows.record_request(LARGE, 50_000, at(4_100));
    let level = windows.level(RATE, at(4_200));
    assert_eq!(level, 3_500.0);
    windows.record_dispatch(SMALL, 400, at(4_200));
    windows.record_dispatch(LARGE, 3_600, at(4_200));
    assert_eq!(windows.share_class(SMALL, 100, RATE, at(4_210)), ShareClass::WithinShare);
    assert_ne!(windows.share_class(LARGE, 100, RATE, at(4_210)), ShareClass::WithinShare);
    // What was begun leaves the window after four seconds.
    assert_eq!(windows.share_class(LARGE, 100, RATE, at(8_700)), ShareClass::WithinShare);
}

/// A flood that reaches an instance which nobody told anything since it started gets no more than
/// what the pool gave in the time for which it has counted.
#[test]
fn flood_after_start() {
    let mut windows = TeamWindows::new(Options::default());
    windows.record_request(SMALL, 500, at(1_900));
    windows.record_request(LARGE, 50_000, at(1_900));
    assert_eq!(windows.level(RATE, at(2_000)), 1_500.0);
    windows.record_dispatch(LARGE, 1_600, at(2_000));
    assert_eq!(windows.share_class(SMALL, 100, RATE, at(2_010)), ShareClass::WithinShare);
    assert_ne!(windows.share_class(LARGE, 100, RATE, at(2_010)), ShareClass::WithinShare);
}

/// The same team comes in at two instances. Without the peer's sums it would get its share twice.
#[test]
fn two_instances() {
    let mut windows = TeamWindows::new(Options::default());
    windows.record_request(SMALL, 9_000, at(0));
    windows.record_request(LARGE, 9_000, at(0));
    let begun = TeamSums { requested_tokens: 9_000, dispatched_tokens: 3_000 };
    windows.set_peer_sums(7, [(LARGE, begun)], at(10), at(10));
    assert_ne!(windows.share_class(LARGE, 100, RATE, at(100)), ShareClass::WithinShare);
    assert_eq!(windows.share_class(SMALL, 100, RATE, at(100)), ShareClass::WithinShare);
    // A peer that fell silent no longer counts: the rest of the fleet has the whole pool.
    assert_eq!(windows.share_class(LARGE, 100, RATE, at(4_100)), ShareClass::WithinShare);
}

/// A request that is larger than a whole share would otherwise never be served.
#[test]
fn large_request() {
    let mut windows = TeamWindows::new(Options::default());
    windows.record_request(SMALL, 90_000, at(0));
    windows.record_request(LARGE, 90_000, at(0));
    assert_eq!(windows.share_class(LARGE, 90_000, RATE, at(0)), ShareClass::WithinShare);
    windows.record_dispatch(LARGE, 90_000, at(0));
    assert_ne!(windows.share_class(LARGE, 90_000, RATE, at(0)), ShareClass::WithinShare);
}

#[test]
fn no_rate() {
    let mut windows = TeamWindows::new(Options::default());
    windows.record_request(LARGE, 1 << 40, at(0));
    assert_eq!(windows.level(None, at(0)), f64::INFINITY);
}

#[test]
fn level_fills_pool() {
    arbtest::arbtest(|random| {
        let demands: Vec<f64> = (0..random.int_in_range(1..=20)?)
            .map(|_| random.int_in_range(0_u32..=10_000).map(f64::from))
            .collect::<Result<_, _>>()?;
        let capacity = f64::from(random.int_in_range(1_u32..=50_000)?);
        let level = max_min_level(demands.clone(), capacity);
        let served: f64 = demands.iter().map(|demand| demand.min(level)).sum();
        let asked: f64 = demands.iter().sum();
        assert!((served - asked.min(capacity)).abs() < 0.01, "{served} {asked} {capacity}");
        Ok(())
    })
    .seed(0x7e1a_0002_0000_0100);
}

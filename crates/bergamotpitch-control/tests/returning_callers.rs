//! Callers that waited through an outage and come back at once.

use std::time::Duration;

use bergamotpitch_control::traffic::team_windows::{Options, ShareClass, TeamSums, TeamWindows};

const POOL_TOKENS_PER_S: u64 = 220_000;
const LARGE: u32 = 9;
/// Half a second after all instances have started.
const NOW: Duration = Duration::from_millis(500);

/// A large team and ten small ones have asked for what waited through an outage; the large one has
/// begun as much as the whole pool gives in half a second.
fn after_outage() -> TeamWindows {
    let mut windows = TeamWindows::new(Options::default());
    (0..10).for_each(|team| windows.record_request(100 + team, 3_000, NOW));
    windows.record_request(LARGE, 700_000, NOW);
    windows.record_dispatch(LARGE, 110_000, NOW);
    windows
}

/// All instances start after an outage, knowing nothing of what teams had, and all that waited comes
/// back at once. Measured by a whole window, all of it would be within the shares and go to the
/// engines; they would be busy for seconds with what comes too late, and the small teams' callers
/// would be late as well.
#[test]
fn whole_fleet() {
    let mut windows = after_outage();
    let mut share_class = |team| windows.share_class(team, 8_000, Some(POOL_TOKENS_PER_S), NOW);
    assert_eq!(share_class(LARGE), ShareClass::BeyondEven);
    assert_eq!(share_class(100), ShareClass::WithinShare);
}

/// One instance starts again beside others that have counted all the while: its shares are whole as
/// soon as it has heard one of them.
#[test]
fn single_instance() {
    let mut windows = after_outage();
    let calm = TeamSums { requested_tokens: 500, dispatched_tokens: 500 };
    windows.set_peer_sums(7, [(100, calm)], Duration::from_secs(60), NOW);
    let share_class = windows.share_class(LARGE, 8_000, Some(POOL_TOKENS_PER_S), NOW);
    assert_eq!(share_class, ShareClass::WithinShare);
}

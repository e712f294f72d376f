//! Levels: service divided by share, in fixed point, so that every instance orders teams alike.

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::TeamId;

use crate::tables::Team;

/// `Level` is virtual service in sixteenths of a cost unit a share.
pub type Level = i64;

/// Levels of one cost unit of a team with share 1.
pub const LEVEL_SCALE: i64 = 16;

/// `level_of_cost` is the level that a cost adds to a team of a share.
///
/// ```
/// use bergamotpitch_control::fairness::levels::level_of_cost;
/// assert_eq!(level_of_cost(100, 4), 400);
/// ```
pub fn level_of_cost(cost: i64, share: u32) -> Level {
    cost.saturating_mul(LEVEL_SCALE) / i64::from(share.max(1))
}

/// `share_of` is the share of a team; a team that the sheet does not hold counts as 1.
pub fn share_of(teams: &HashMap<TeamId, Team>, team: TeamId) -> u32 {
    teams.get(&team).map_or(1, |team| team.share)
}

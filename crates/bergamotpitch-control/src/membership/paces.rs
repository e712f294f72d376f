//! Paces: how often the instances of a domain tell each other things, by how many they are.
//!
//! Each instance talks with all others of its domain, and with the homes of all services. What one
//! instance sends would grow with the domain, while what it may send does not.

use std::time::Duration;

use crate::tables::Tables;

/// Instances of a domain up to twice this many talk at the full pace.
pub const FULL_PACE_INSTANCES: u32 = 8;

/// Slowest pace, in times of the full one. Beyond it the frontier of a home would be too old to
/// order by.
pub const SLOWEST_PACE: u32 = 5;

/// `note_instances` counts the instances of the domain, this one included.
///
/// Silent ones count too. Left out, a moment in which many are silent would shorten the timeout, and
/// more of those that keep to the slow pace would be taken for gone.
pub fn note_instances(tables: &mut Tables) {
    let own = tables.options.domain;
    let others = tables.members.values().filter(|member| member.domain == own);
    tables.domain_instances = others.count() as u32 + 1;
}

/// `slowed` is an interval of the settings at the pace of the domain.
///
/// ```
/// use std::time::Duration;
/// use bergamotpitch_control::Tables;
/// use bergamotpitch_control::membership::paces::slowed;
/// let tables = Tables { domain_instances: 47, ..Tables::default() };
/// assert_eq!(slowed(&tables, Duration::from_millis(200)), Duration::from_secs(1));
/// ```
pub fn slowed(tables: &Tables, interval: Duration) -> Duration {
    let pace = (tables.domain_instances / FULL_PACE_INSTANCES).clamp(1, SLOWEST_PACE);
    interval * pace
}

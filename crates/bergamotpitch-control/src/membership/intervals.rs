//! Paces: how often the instances of a domain tell each other things, by how many they are.
//!
//! Each instance talks with all others of its domain, and with the homes of all services. What one
//! instance sends would grow with the domain, while what it may send does not.

use std::time::Duration;

use crate::tables::Tables;

/// Instances of a domain up to twice this many talk at the full pace.
pub const INSTANCES_PER_SCALE_STEP: u32 = 8;

/// Slowest pace, in times of the full one. Beyond it the frontier of a home would be too old to
/// order by.
pub const MAX_INTERVAL_SCALE: u32 = 5;

/// `count_instances` counts the instances of the domain, this one included.
///
/// Silent ones count too. Left out, a moment in which many are silent would shorten the timeout, and
/// more of those that keep to the slow pace would be taken for gone.
pub fn count_instances(tables: &mut Tables) {
    let own = tables.options.domain;
    let others = tables.members.values().filter(|member| member.domain == own);
    tables.domain_instances = others.count() as u32 + 1;
}

/// `scaled` is an interval of the settings at the pace of the domain.
///
/// ```
/// use std::time::Duration;
/// use bergamotpitch_control::Tables;
/// use bergamotpitch_control::membership::intervals::scaled;
/// let tables = Tables { domain_instances: 47, ..Tables::default() };
/// assert_eq!(scaled(&tables, Duration::from_millis(200)), Duration::from_secs(1));
/// ```
pub fn scaled(tables: &Tables, interval: Duration) -> Duration {
    let scale = (tables.domain_instances / INSTANCES_PER_SCALE_STEP).clamp(1, MAX_INTERVAL_SCALE);
    interval * scale
}

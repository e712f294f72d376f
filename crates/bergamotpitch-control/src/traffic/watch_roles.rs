//! Watch roles: which instances of a failure domain read the platform's store, while the others fetch from
//! them what has changed.
//!
//! Load pattern: a fleet of a thousand instances starts at once. The list of upstreams takes dozens of pages;
//! read by each of them, it fills the store's link for a minute, and nobody serves until then.

use std::time::Duration;

use crate::traffic::dispatchers::Role;

/// `WATCHERS_PER_DOMAIN` is how many instances of a failure domain watch the store, besides the
/// domain's dispatcher, which the others hear.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// `SUCCESSION_STEP` is the time after which as many instances more read the store, while those before them have
/// not told what is needed: they may be cut off from it.
const SUCCESSION_STEP: Duration = Duration::from_secs(1);

/// `is_watcher` tells whether an instance reads the store. `starting_for` is the time since an instance
/// that does not know all that it needs has known its peers; `None` once it knows all.
///
/// ```
/// use std::time::Duration;
///
/// use bergamotpitch_control::traffic::dispatchers::Role;
/// use bergamotpitch_control::traffic::watch_roles::is_watcher;
///
/// let tenth = Role { place: 9, ..Role::default() };
/// assert!(!is_watcher(&tenth, Some(Duration::ZERO)));
/// assert!(is_watcher(&tenth, Some(Duration::from_secs(4))));
/// ```
pub fn is_watcher(role: &Role, starting_for: Option<Duration>) -> bool {
    let Some(starting_for) = starting_for else { return role.rank < WATCHERS_PER_DOMAIN };
    let steps = starting_for.as_millis() / SUCCESSION_STEP.as_millis();
    let steps = usize::try_from(steps).unwrap_or(usize::MAX);
    role.place < WATCHERS_PER_DOMAIN.saturating_mul(steps.saturating_add(1))
}

//! Software versions: which versions of their software the upstreams of each service run.
//!
//! Load pattern: during a release or a rollback two versions and more serve side by side for seconds
//! to hours. What two versions write in one stream does not fit together, so a stream goes on only at
//! the version that began it.

use std::time::Duration;

use bergamotpitch_core::ids::{ServiceId, SoftwareId, id_of_name};
use bergamotpitch_core::units::Timestamp;
use bergamotpitch_core::{HashMap, HashSet};

use crate::traffic::registries::Registry;

/// `UNSTATED_SOFTWARE` stands for the version of an upstream that does not state it, and of a stream
/// whose version is not certain. Two upstreams of it need not run the same software.
pub const UNSTATED_SOFTWARE: SoftwareId = 0;

/// `VERSION_MEMORY` is for how long a version counts as in service after its last upstream is gone. It is
/// the longest time for which a caller takes up a stream that began there.
pub const VERSION_MEMORY: Duration = Duration::from_secs(60);

/// `software_id` returns the number of a version among instances.
///
/// ```
/// use bergamotpitch_control::traffic::software_versions::{UNSTATED_SOFTWARE, software_id};
///
/// assert_ne!(software_id(Some("v1")), software_id(Some("v1.1")));
/// assert_eq!(software_id(None), UNSTATED_SOFTWARE);
/// ```
pub fn software_id(version: Option<&str>) -> SoftwareId {
    match version {
        Some(version) => id_of_name(version).max(UNSTATED_SOFTWARE + 1),
        None => UNSTATED_SOFTWARE,
    }
}

/// `SoftwareVersions` are the versions that serve, and those that did lately.
#[derive(Debug, Default)]
pub struct SoftwareVersions {
    of_service: HashMap<String, HashMap<SoftwareId, LastListed>>,
    mixed: HashSet<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LastListed {
    Now,
    At(Timestamp),
}

impl SoftwareVersions {
    /// `update` takes in the present upstreams; it returns the services of which more than one version
    /// is known since this update.
    pub fn update(&mut self, registry: &Registry, now: Timestamp) -> Vec<String> {
        for last_listed in self.of_service.values_mut().flat_map(HashMap::values_mut) {
            if *last_listed == LastListed::Now {
                *last_listed = LastListed::At(now);
            }
        }
        self.forget_versions(now);
        for (service, software) in registry.software_in_service() {
            let versions = match self.of_service.get_mut(service) {
                Some(versions) => versions,
                None => self.of_service.entry(service.to_owned()).or_default(),
            };
            versions.insert(software, LastListed::Now);
        }
        let versions = self.of_service.iter();
        let mixed: Vec<&String> =
            versions.filter(|(_, known)| 1 < known.len()).map(|(service, _)| service).collect();
        let is_new = |service: &&&String| !self.mixed.contains(**service);
        let newly_mixed: Vec<String> = mixed.iter().filter(is_new).copied().cloned().collect();
        self.mixed.extend(newly_mixed.iter().cloned());
        newly_mixed
    }

    /// `note_recorded` takes in which versions of a service served, as others have recorded; it tells whether more
    /// than one version is known since then.
    pub fn note_recorded(
        &mut self,
        service: &str,
        versions: &[SoftwareId],
        now: Timestamp,
    ) -> bool {
        let known = self.of_service.entry(service.to_owned()).or_default();
        for version in versions {
            known.entry(*version).or_insert(LastListed::At(now));
        }
        1 < known.len() && self.mixed.insert(service.to_owned())
    }

    /// `versions_of` returns the versions of a service that serve or did so lately, in order.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bergamotpitch_control::traffic::software_versions::SoftwareVersions;
    ///
    /// let mut versions = SoftwareVersions::default();
    /// assert!(!versions.note_recorded("engines", &[7], Duration::ZERO));
    /// assert!(versions.note_recorded("engines", &[3], Duration::ZERO));
    /// assert_eq!(versions.versions_of("engines"), [3, 7]);
    /// ```
    pub fn versions_of(&self, service: &str) -> Vec<SoftwareId> {
        let known = self.of_service.get(service);
        let mut versions: Vec<SoftwareId> =
            known.into_iter().flat_map(HashMap::keys).copied().collect();
        versions.sort_unstable();
        versions
    }

    /// `only_version_of` returns the version of a service by its number, where it is the only one that serves or
    /// did so lately.
    pub fn only_version_of(&self, service: ServiceId) -> Option<SoftwareId> {
        let known = self.of_service.iter().find(|(name, _)| id_of_name(name) == service);
        let mut versions = known.into_iter().flat_map(|(_, versions)| versions.keys());
        let only = versions.next().copied();
        only.filter(|_| versions.next().is_none())
    }

    /// `step` forgets versions that serve no more and at which no stream is taken up any more.
    pub fn step(&mut self, now: Timestamp) {
        if self.mixed.is_empty() {
            return;
        }
        self.forget_versions(now);
        self.mixed.retain(|service| {
            self.of_service.get(service).is_some_and(|versions| 1 < versions.len())
        });
    }

    fn forget_versions(&mut self, now: Timestamp) {
        for versions in self.of_service.values_mut() {
            versions.retain(|_, last_listed| match last_listed {
                LastListed::Now => true,
                LastListed::At(last_listed) => now < *last_listed + VERSION_MEMORY,
            });
        }
    }

    /// `are_mixed` tells whether upstreams of more than one version serve, or did lately.
    pub fn are_mixed(&self, service: &str) -> bool {
        self.mixed.contains(service)
    }

    /// `are_any_mixed` tells whether that holds for any service.
    pub fn are_any_mixed(&self) -> bool {
        !self.mixed.is_empty()
    }

    /// `are_mixed_of` is [`Self::are_mixed`] for a service by its number.
    pub fn are_mixed_of(&self, service: ServiceId) -> bool {
        self.mixed.iter().any(|mixed| id_of_name(mixed) == service)
    }
}

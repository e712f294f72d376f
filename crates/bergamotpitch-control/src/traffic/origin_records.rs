//! Origin records: where streams began, as it is kept beyond all instances.
//!
//! Load pattern: upstreams of several software versions serve, and all instances are killed at the same
//! moment, or all those that know where a stream began. Callers take thousands of streams up within seconds. What
//! was recorded tells at which version each one goes on.

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{ServiceId, SoftwareId};
use serde::{Deserialize, Serialize};

use crate::traffic::stream_origins::{AttemptNumber, Origin};

/// `RECORDED_MAX` bounds the table: about 40 bytes each.
const RECORDED_MAX: usize = 131_072;

/// `RecordedOrigin` is where the stream of an attempt began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordedOrigin {
    /// The attempt.
    pub attempt: AttemptNumber,
    /// Where its stream began.
    pub origin: Origin,
    /// Number of this statement; a later one counts.
    pub revision: u32,
}

/// `OriginGroup` are the attempts of one record whose streams began at one version of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginGroup {
    service: ServiceId,
    software: SoftwareId,
    attempts: Vec<(AttemptNumber, u32)>,
}

/// `groups_of` puts origins together that differ in their attempts alone, as a record holds them.
///
/// ```
/// use bergamotpitch_control::traffic::origin_records::{RecordedOrigin, RecordedOrigins, groups_of};
/// use bergamotpitch_control::traffic::stream_origins::Origin;
///
/// let origin = Origin { service: 1, software: 7 };
/// let began = |attempt| RecordedOrigin { attempt, origin, revision: 0 };
/// let groups = groups_of([began(11), began(12)].into_iter());
/// assert_eq!(groups.len(), 1);
///
/// let mut recorded = RecordedOrigins::default();
/// recorded.insert(&groups);
/// assert_eq!(recorded.origin_of(12), Some(began(12)));
/// assert_eq!(recorded.origin_of(13), None);
/// ```
pub fn groups_of(origins: impl Iterator<Item = RecordedOrigin>) -> Vec<OriginGroup> {
    let mut groups: Vec<OriginGroup> = Vec::new();
    for RecordedOrigin { attempt, origin: Origin { service, software }, revision } in origins {
        let is_same =
            |group: &&mut OriginGroup| (group.service, group.software) == (service, software);
        match groups.iter_mut().find(is_same) {
            Some(group) => group.attempts.push((attempt, revision)),
            None => {
                let attempts = vec![(attempt, revision)];
                groups.push(OriginGroup { service, software, attempts });
            }
        }
    }
    groups
}

/// `RecordedOrigins` are the origins that were read from records.
#[derive(Debug, Default)]
pub struct RecordedOrigins {
    entries: HashMap<AttemptNumber, (Origin, u32)>,
}

impl RecordedOrigins {
    /// `insert` takes in what one record holds; of several statements on an attempt the latest counts.
    pub fn insert(&mut self, groups: &[OriginGroup]) {
        for group in groups {
            let origin = Origin { service: group.service, software: group.software };
            for (attempt, revision) in &group.attempts {
                let known = self.entries.get(attempt).map(|(_, revision)| *revision);
                let is_full = RECORDED_MAX <= self.entries.len() && known.is_none();
                if known.is_none_or(|known| known <= *revision) && !is_full {
                    self.entries.insert(*attempt, (origin, *revision));
                }
            }
        }
    }

    /// `origin_of` returns where the stream of an attempt began.
    pub fn origin_of(&self, attempt: AttemptNumber) -> Option<RecordedOrigin> {
        let (origin, revision) = *self.entries.get(&attempt)?;
        Some(RecordedOrigin { attempt, origin, revision })
    }

    /// `count` returns how many origins are known.
    pub fn count(&self) -> usize {
        self.entries.len()
    }
}

//! Stream origins: at which software version streams began, and where it is known.
//!
//! Load pattern: while several versions serve, instances and upstreams end at any moment, and callers
//! take up the streams that broke at any instance. Each instance knows the origins of its own streams;
//! while versions are mixed it tells each one to a few others, its keepers, before the first event can
//! come. Keepers are found by rendezvous over the attempt, so that an instance that is asked to go on
//! finds them without a table of who serves what.

use std::collections::BTreeSet;
use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{ServiceId, SoftwareId};
use bergamotpitch_core::units::Timestamp;

use crate::traffic::registries::UpstreamKey;
use crate::traffic::software_versions::UNSTATED_SOFTWARE;

/// `AttemptNumber` is the number of an attempt among instances, derived from its id.
pub type AttemptNumber = u64;

/// `ORIGINS_MAX` bounds the table: about 80 bytes each.
const ORIGINS_MAX: usize = 16_384;

/// `END_TOLERANCE` is by how much the end of an origin may differ between instances.
const END_TOLERANCE: Duration = Duration::from_secs(1);

/// `attempt_number` returns the number of an attempt.
///
/// ```
/// use bergamotpitch_control::traffic::stream_origins::attempt_number;
///
/// assert_ne!(attempt_number("9c41d07be2a35f68"), attempt_number("9c41d07be2a35f69"));
/// ```
pub fn attempt_number(id: &str) -> AttemptNumber {
    let hash = blake3::hash(id.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    AttemptNumber::from_le_bytes(bytes)
}

/// `Origin` is where a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin {
    /// The service.
    pub service: ServiceId,
    /// The version of the upstream that was sent the request; [`UNSTATED_SOFTWARE`] when it is not
    /// certain.
    pub software: SoftwareId,
}

/// `KnownOrigin` is the origin of one attempt, as instances tell it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownOrigin {
    /// The attempt.
    pub attempt: AttemptNumber,
    /// Where its stream began.
    pub origin: Origin,
    /// Number of this statement: an attempt that is sent to a second upstream before its first event
    /// may begin at another version, and messages overtake each other.
    pub revision: u32,
    /// Until when the stream may be taken up.
    pub until: Timestamp,
}

/// `StreamOrigins` is the table of origins that this instance knows.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    entries: HashMap<AttemptNumber, Entry>,
    by_end: BTreeSet<(Timestamp, AttemptNumber)>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    known: KnownOrigin,
    holder: Holder,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Holder {
    /// A stream of this instance, at an upstream.
    Own { upstream: UpstreamKey, is_told: bool },
    /// A stream of another instance.
    Peer,
}

impl StreamOrigins {
    /// `sent` takes in that this instance sends a request whose stream begins at an upstream; it returns
    /// what is to be told.
    pub fn sent(
        &mut self,
        attempt: AttemptNumber,
        origin: Origin,
        upstream: UpstreamKey,
        until: Timestamp,
    ) -> KnownOrigin {
        let revision = self.entries.get(&attempt).map_or(0, |entry| entry.known.revision + 1);
        let known = KnownOrigin { attempt, origin, revision, until };
        self.insert(Entry { known, holder: Holder::Own { upstream, is_told: false } });
        known
    }

    /// `told` takes in the origin of a stream of another instance, unless a later statement is known. It
    /// tells whether that was news; an end that differs by the way of a message is none. What comes back to the
    /// instance that told it stays its own.
    pub fn told(&mut self, known: KnownOrigin) -> bool {
        let Some(Entry { known: before, holder }) = self.entries.get(&known.attempt).copied()
        else {
            self.insert(Entry { known, holder: Holder::Peer });
            return true;
        };
        if known.revision < before.revision {
            return false;
        }
        let is_later = before.revision < known.revision;
        let holder = if is_later { Holder::Peer } else { holder };
        self.insert(Entry { known, holder });
        is_later || before.until + END_TOLERANCE < known.until
    }

    /// `shared` returns the origins that other instances were told, or told this one.
    pub fn shared(&self, now: Timestamp) -> impl Iterator<Item = KnownOrigin> {
        let is_shared =
            |entry: &&Entry| !matches!(entry.holder, Holder::Own { is_told: false, .. });
        let shared = self.entries.values().filter(is_shared).map(|entry| entry.known);
        shared.filter(move |known| now < known.until)
    }

    /// `unfinished` returns the origins of this instance's streams that have not ended in order.
    pub fn unfinished(&self, now: Timestamp) -> impl Iterator<Item = KnownOrigin> {
        let own = self.entries.values().filter(|entry| matches!(entry.holder, Holder::Own { .. }));
        own.map(|entry| entry.known).filter(move |known| now < known.until)
    }

    /// `origin_of` returns where a stream began, as far as this instance knows.
    pub fn origin_of(&self, attempt: AttemptNumber, now: Timestamp) -> Option<KnownOrigin> {
        let known = self.entries.get(&attempt)?.known;
        (now < known.until).then_some(known)
    }

    /// `note_told` takes in that the origin of a stream of this instance was told.
    pub fn note_told(&mut self, attempt: AttemptNumber) {
        if let Some(Entry { holder: Holder::Own { is_told, .. }, .. }) =
            self.entries.get_mut(&attempt)
        {
            *is_told = true;
        }
    }

    /// `told_software` returns the version that others were told of for an attempt of this instance.
    pub fn told_software(&self, attempt: AttemptNumber) -> Option<SoftwareId> {
        let entry = self.entries.get(&attempt)?;
        let is_told = matches!(entry.holder, Holder::Own { is_told: true, .. });
        is_told.then_some(entry.known.origin.software)
    }

    /// `untold` returns the origins of this instance's streams that were not told, of one service or of all.
    pub fn untold(&self, service: Option<ServiceId>, now: Timestamp) -> Vec<KnownOrigin> {
        let own = self.entries.values().filter(|entry| {
            matches!(entry.holder, Holder::Own { is_told: false, .. })
                && service.is_none_or(|service| entry.known.origin.service == service)
                && now < entry.known.until
        });
        own.map(|entry| entry.known).collect()
    }

    /// `doubt` takes in that an upstream has started again with other software under its id: streams that
    /// were sent there may have begun at either. It returns what is to be told.
    pub fn doubt(&mut self, doubted: UpstreamKey) -> Vec<KnownOrigin> {
        let mut changed = Vec::new();
        for entry in self.entries.values_mut() {
            let Holder::Own { upstream, .. } = entry.holder else { continue };
            if upstream == doubted {
                entry.known.origin.software = UNSTATED_SOFTWARE;
                entry.known.revision += 1;
                changed.push(entry.known);
            }
        }
        changed
    }

    /// `forget` drops the origin of a stream that ended in order.
    pub fn forget(&mut self, attempt: AttemptNumber) {
        if let Some(entry) = self.entries.remove(&attempt) {
            self.by_end.remove(&(entry.known.until, attempt));
        }
    }

    /// `step` drops origins of streams that nobody takes up any more.
    pub fn step(&mut self, now: Timestamp) {
        while let Some((until, attempt)) =
            self.by_end.first().copied().filter(|(end, _)| *end <= now)
        {
            self.by_end.remove(&(until, attempt));
            self.entries.remove(&attempt);
        }
    }

    /// `count` returns how many origins are known.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    fn insert(&mut self, entry: Entry) {
        let KnownOrigin { attempt, until, .. } = entry.known;
        if let Some(before) = self.entries.insert(attempt, entry) {
            self.by_end.remove(&(before.known.until, attempt));
        }
        self.by_end.insert((until, attempt));
        if ORIGINS_MAX < self.entries.len()
            && let Some((_, first)) = self.by_end.pop_first()
        {
            self.entries.remove(&first);
        }
    }
}

/// `Resumption` tells where a stream that a caller takes up may go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Resumption {
    /// At upstreams of one version.
    Only(SoftwareId),
    /// Nowhere, as its version is not known, or it began at another service.
    Nowhere,
}

/// `Knowledge` is what an instance knows of a stream that a caller takes up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Knowledge {
    /// Service that it is for.
    pub service: ServiceId,
    /// Where it began, by this instance or by those that were asked.
    pub origin: Option<Origin>,
    /// Whether more than one version serves, or did lately, as far as this instance knows.
    pub is_mixed: bool,
    /// The version that serves, where this instance knows of no other one that does or did lately.
    pub only_software: Option<SoftwareId>,
    /// Whether that holds for this moment; an instance that is out of step knows what held some time ago.
    pub is_current: bool,
    /// Whether it knows all versions that served since the stream may have begun.
    pub has_witness: bool,
}

impl Knowledge {
    /// `resumption` decides where the stream goes on. Where nobody told its origin, it began at the only version
    /// that has served since then, if that is certain up to this moment. It stays bound to it, as another one may
    /// appear while the request waits for a place.
    ///
    /// ```
    /// use bergamotpitch_control::traffic::stream_origins::{Knowledge, Origin, Resumption};
    ///
    /// let mut known = Knowledge {
    ///     service: 1,
    ///     origin: Some(Origin { service: 1, software: 7 }),
    ///     is_mixed: true,
    ///     only_software: None,
    ///     is_current: true,
    ///     has_witness: true,
    /// };
    /// assert_eq!(known.resumption(), Resumption::Only(7));
    /// known.origin = None;
    /// assert_eq!(known.resumption(), Resumption::Nowhere);
    /// (known.is_mixed, known.only_software) = (false, Some(9));
    /// assert_eq!(known.resumption(), Resumption::Only(9));
    /// ```
    pub fn resumption(&self) -> Resumption {
        let only = self.only_software.filter(|_| !self.is_mixed);
        let found = match self.origin {
            Some(origin) if origin.service != self.service => None,
            Some(Origin { software: UNSTATED_SOFTWARE, .. }) => {
                only.filter(|only| *only == UNSTATED_SOFTWARE)
            }
            Some(Origin { software, .. }) => Some(software),
            None => only.filter(|_| self.is_current && self.has_witness),
        };
        found.map_or(Resumption::Nowhere, Resumption::Only)
    }
}

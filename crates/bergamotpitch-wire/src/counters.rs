//! Counters of datagrams that were dropped, by reason.

use std::sync::atomic::{AtomicU64, Ordering};

use strum::{Display, EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

/// `DropReason` is why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum DropReason {
    /// It is larger than any datagram that is sent.
    Oversize,
    /// It is too short, or has another version.
    Malformed,
    /// Its code is wrong: a stranger sent it, or it was changed on the way, or it was meant for
    /// another instance.
    Stranger,
    /// It was sealed too long ago, or before this process started.
    Stale,
    /// It belongs to an earlier life of its sender.
    EarlierLife,
    /// It came before.
    Repeated,
    /// Its code is right but its message cannot be decoded: the sender runs another release.
    Undecodable,
}

/// `DropCounters` counts dropped datagrams by reason.
#[derive(Debug, Default)]
pub struct DropCounters {
    counts: [AtomicU64; DropReason::COUNT],
}

impl DropCounters {
    /// `count` adds one dropped datagram.
    ///
    /// ```
    /// use bergamotpitch_wire::{DropCounters, DropReason};
    /// let counters = DropCounters::default();
    /// counters.count(DropReason::Repeated);
    /// assert_eq!(counters.of_reason(DropReason::Repeated), 1);
    /// ```
    pub fn count(&self, reason: DropReason) {
        self.counts[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// `of_reason` returns how many were dropped for a reason.
    pub fn of_reason(&self, reason: DropReason) -> u64 {
        self.counts[reason as usize].load(Ordering::Relaxed)
    }

    /// `all` lists every reason with its count.
    pub fn all(&self) -> Vec<(DropReason, u64)> {
        DropReason::iter().map(|reason| (reason, self.of_reason(reason))).collect()
    }
}

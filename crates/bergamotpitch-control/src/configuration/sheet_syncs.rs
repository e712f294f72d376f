//! Sheet duties: who watches the platform for a new sheet, from whom a sheet is fetched, and which
//! peers a fresh instance may believe.
//!
//! An instance never goes back to an older version within its life. What an instance that restarted
//! without memory may take is the hard part: with the platform out of reach it has only its peers,
//! and one of them may have slept while all others put a newer version in force.

use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{DomainId, InstanceId, SheetVersion};
use bergamotpitch_core::units::Timestamp;

use crate::inputs::Sender;
use crate::membership::intervals;
use crate::messages::Heartbeat;
use crate::outputs::Output;
use crate::tables::Tables;

/// Instances of one failure domain that watch the platform.
pub const WATCHERS: usize = 2;

/// Time for which an instance without a sheet listens to its peers before it fetches one. Each peer
/// sends to a few others at a time, so that it takes a while until all were heard.
pub const OFFER_COLLECTION_TIME: Duration = Duration::from_secs(2);

/// Gap between two steps after which an instance doubts its sheet.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(3);

/// Time between two fetches by an instance without a sheet.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a newer version is awaited from the own domain before it is fetched from another.
const CROSS_DOMAIN_FETCH_DELAY: Duration = Duration::from_millis(600);

/// Time after a sleep in which heartbeats may still be from before it.
const STALE_HEARTBEAT_TIME: Duration = Duration::from_secs(2);

/// Answers of the platform after a sleep that end the doubt. The first may have been under way, or
/// waiting in a buffer, since before the sleep.
const REQUIRED_CONFIRMATIONS: u32 = 2;

/// `SheetSync` is what an instance knows about where sheets are.
#[derive(Debug, Default)]
pub struct SheetSync {
    /// When the first step was.
    pub started: Option<Timestamp>,
    /// What peers said of their sheets.
    pub offers: HashMap<InstanceId, SheetOffer>,
    /// Highest version that a believed peer said it has.
    pub highest_offered_version: SheetVersion,
    /// Since when another domain is known to have a newer version than this instance.
    pub outdated_since: Option<Timestamp>,
    /// Set while this instance slept and nobody has confirmed its sheet since.
    pub unconfirmed: Option<Unconfirmed>,
    /// True when the platform did not answer this instance last.
    pub platform_lost: bool,
    /// True when the watch of the platform is left to others; an instance begins by watching.
    pub watch_delegated: bool,
    /// True when this instance was last asked to hold the lease for orders.
    pub leading: bool,
    /// When a sheet was last asked for, other than at a near peer's heartbeat.
    pub fetch_requested: Option<Timestamp>,
}

/// `SheetGuards` are the rules that a proof switches off one by one; all are on by default.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SheetGuards {
    /// A version in force is replaced by a higher one only.
    pub requires_newer_version: bool,
    /// An instance that slept doubts its sheet, and fresh ones do not take it.
    pub confirms_after_pause: bool,
    /// A fresh instance listens before it takes a sheet, and takes none below the newest heard.
    pub collects_offers: bool,
}

impl Default for SheetGuards {
    fn default() -> Self {
        Self { requires_newer_version: true, confirms_after_pause: true, collects_offers: true }
    }
}

/// `SheetOffer` is what one peer said of its sheet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SheetOffer {
    /// Version in force there; 0 when there is none.
    pub version: SheetVersion,
    /// True when the peer stands in the same failure domain.
    pub is_same_domain: bool,
    /// True when the peer doubts its own sheet.
    pub is_unconfirmed: bool,
    /// True when the peer does not reach the platform.
    pub platform_lost: bool,
    /// Where the peer is reached.
    pub address: SocketAddr,
    /// When it was last heard.
    pub last_seen: Timestamp,
}

/// `Unconfirmed` is the state of an instance that slept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unconfirmed {
    /// When it woke.
    pub since: Timestamp,
    /// Answers of the platform that confirmed its sheet since.
    pub confirmations: u32,
}

/// `detect_pause` notices a sleep; it is called before the time of a step is taken over.
///
/// A paused instance wakes with an old sheet. If the instances that had a newer one have restarted
/// and the platform is out, they would take the old sheet from it, and a setting would revert.
pub fn detect_pause(tables: &mut Tables, now: Timestamp) {
    let sync = &mut tables.sheet_sync;
    if sync.started.is_none() {
        sync.started = Some(now);
        return;
    }
    let is_guarded = tables.options.sheet_guards.confirms_after_pause;
    if is_guarded && tables.sheet.is_some() && tables.now + PAUSE_THRESHOLD < now {
        sync.unconfirmed = Some(Unconfirmed { since: now, confirmations: 0 });
    }
}

/// `apply_heartbeat` notes what a peer says of its sheet and fetches a newer one.
pub fn apply_heartbeat(
    tables: &mut Tables,
    sender: Sender,
    heartbeat: &Heartbeat,
    outputs: &mut Vec<Output>,
) {
    let offer = SheetOffer {
        version: heartbeat.sheet_version,
        is_same_domain: sender.domain == tables.options.domain,
        is_unconfirmed: heartbeat.sheet_doubtful,
        platform_lost: heartbeat.platform_lost,
        address: sender.address,
        last_seen: tables.now,
    };
    tables.sheet_sync.offers.insert(sender.instance, offer);
    if !offer.is_unconfirmed {
        let sync = &mut tables.sheet_sync;
        sync.highest_offered_version = sync.highest_offered_version.max(offer.version);
    }
    let Some(in_force) = tables.sheet.as_ref().map(|sheet| sheet.version) else { return };
    if in_force < offer.version {
        tables.sheet_sync.outdated_since.get_or_insert(tables.now);
        if offer.is_same_domain {
            outputs.push(Output::FetchSheet { from: offer.address, version: offer.version });
        }
        return;
    }
    let is_confirmed = !offer.is_unconfirmed && offer.version != 0 && offer.is_same_domain;
    let sync = &mut tables.sheet_sync;
    if is_confirmed
        && sync
            .unconfirmed
            .is_some_and(|unconfirmed| unconfirmed.since + STALE_HEARTBEAT_TIME < tables.now)
    {
        sync.unconfirmed = None;
    }
}

/// `record_confirmation` counts an answer of the platform towards the end of a doubt.
pub fn record_confirmation(tables: &mut Tables, version: SheetVersion) {
    let in_force = tables.sheet.as_ref().map_or(0, |sheet| sheet.version);
    if version < in_force {
        return;
    }
    let Some(unconfirmed) = &mut tables.sheet_sync.unconfirmed else { return };
    unconfirmed.confirmations += 1;
    if REQUIRED_CONFIRMATIONS <= unconfirmed.confirmations {
        tables.sheet_sync.unconfirmed = None;
    }
}

/// `may_adopt_first` tells whether an instance without a sheet may put a version in force.
///
/// A peer with a newer version was heard, so that the older one would be a step back.
pub fn may_adopt_first(tables: &Tables, version: SheetVersion) -> bool {
    let is_guarded = tables.options.sheet_guards.collects_offers;
    !is_guarded || tables.sheet.is_some() || tables.sheet_sync.highest_offered_version <= version
}

/// `run` fetches a first sheet and says when this instance has to watch the platform or to hold the
/// lease for orders.
pub fn run(tables: &mut Tables, outputs: &mut Vec<Output>) {
    let watching = watches_platform(tables);
    if watching == tables.sheet_sync.watch_delegated {
        tables.sheet_sync.watch_delegated = !watching;
        outputs.push(Output::WatchSheet { watching });
    }
    let leading = tables.sheet.is_some() && platform_rank(tables) == Some(0);
    if leading != tables.sheet_sync.leading {
        tables.sheet_sync.leading = leading;
        outputs.push(Output::LeadOrders { leading });
    }
    match tables.sheet.as_ref().map(|sheet| sheet.version) {
        Some(in_force) => fetch_awaited_sheet(tables, in_force, outputs),
        None => fetch_first_sheet(tables, outputs),
    }
}

// The watchers of the own domain hear of a version at about the same time as those of others. If each
// instance fetched it from whoever is heard first, a part of them would do so over paid links; a
// domain that is cut off from the platform has no other way.
fn fetch_awaited_sheet(tables: &mut Tables, in_force: SheetVersion, outputs: &mut Vec<Output>) {
    let now = tables.now;
    let sync = &mut tables.sheet_sync;
    let is_overdue =
        sync.outdated_since.is_some_and(|since| since + CROSS_DOMAIN_FETCH_DELAY <= now);
    let was_requested = sync.fetch_requested.is_some_and(|asked| now < asked + FETCH_INTERVAL);
    if !is_overdue || was_requested {
        return;
    }
    let newest = sync.offers.values().max_by_key(|offer| (offer.version, offer.last_seen));
    let Some(offer) = newest.filter(|offer| in_force < offer.version) else { return };
    outputs.push(Output::FetchSheet { from: offer.address, version: offer.version });
    sync.fetch_requested = Some(now);
}

// The newest version of the peers that were heard is fetched, not the first one: the first may come
// from the one peer that has missed a change.
fn fetch_first_sheet(tables: &mut Tables, outputs: &mut Vec<Output>) {
    let now = tables.now;
    let is_guarded = tables.options.sheet_guards.collects_offers;
    let oldest = tables.now.saturating_sub(intervals::scaled(tables, tables.options.peer_timeout));
    let sync = &mut tables.sheet_sync;
    let has_collected_offers =
        !is_guarded || sync.started.is_some_and(|started| started + OFFER_COLLECTION_TIME <= now);
    let was_requested = sync.fetch_requested.is_some_and(|asked| now < asked + FETCH_INTERVAL);
    if !has_collected_offers || was_requested {
        return;
    }
    let newest = sync
        .offers
        .iter()
        .filter(|(_, offer)| {
            !offer.is_unconfirmed && offer.version != 0 && oldest <= offer.last_seen
        })
        .max_by_key(|(instance, offer)| (offer.version, offer.is_same_domain, **instance));
    let Some((_, offer)) = newest else { return };
    outputs.push(Output::FetchSheet { from: offer.address, version: offer.version });
    sync.fetch_requested = Some(now);
}

/// `watches_platform` tells whether this instance has to watch the platform for sheets: as one of
/// its domain's watchers, or since it has no sheet or doubts the one it has.
pub fn watches_platform(tables: &Tables) -> bool {
    tables.sheet.is_none() || tables.sheet_sync.unconfirmed.is_some() || is_sheet_watcher(tables)
}

/// `is_sheet_watcher` tells whether this instance is one of its domain's watchers.
///
/// They are the first in rendezvous order of the live instances that reach the platform. Two views
/// that differ only cost a further watch: a sheet is accepted by the platform alone.
///
/// ```
/// use bergamotpitch_control::Tables;
/// use bergamotpitch_control::configuration::sheet_syncs::is_sheet_watcher;
/// // An instance that knows of no other watches.
/// assert!(is_sheet_watcher(&Tables::default()));
/// ```
pub fn is_sheet_watcher(tables: &Tables) -> bool {
    platform_rank(tables).is_some_and(|rank| rank < WATCHERS)
}

/// `platform_rank` is this instance's place in its domain's order of those that deal with the
/// platform; none while it drains.
pub fn platform_rank(tables: &Tables) -> Option<usize> {
    let own = Candidate {
        platform_lost: tables.sheet_sync.platform_lost,
        weight: rendezvous_weight(tables.options.domain, tables.options.instance),
    };
    if tables.draining {
        return None;
    }
    let ahead = tables
        .members
        .iter()
        .filter(|(_, member)| member.domain == tables.options.domain)
        .filter(|(_, member)| !member.suspected && !member.draining)
        .map(|(instance, member)| Candidate {
            platform_lost: tables
                .sheet_sync
                .offers
                .get(instance)
                .is_some_and(|offer| offer.platform_lost),
            weight: rendezvous_weight(member.domain, *instance),
        })
        .filter(|candidate| candidate < &own)
        .count();
    Some(ahead)
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    platform_lost: bool,
    weight: u64,
}

// SplitMix64's finalizer: ids are hashes already, the mixing makes each domain's order its own.
fn rendezvous_weight(domain: DomainId, instance: InstanceId) -> u64 {
    let mut mixed = (u64::from(domain) << 32) | u64::from(instance);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

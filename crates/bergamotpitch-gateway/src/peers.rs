//! Peers: the table of the other instances of the fleet.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::catalogs::CatalogVersion;
use bergamotpitch_control::traffic::dispatchers::Candidate;
use bergamotpitch_control::traffic::evacuations::EvacuationVersion;
use bergamotpitch_core::ids::{Incarnation, InstanceId, id_of_name};
use bergamotpitch_core::units::Timestamp;
use bergamotpitch_core::{HashMap, HashSet};
use tokio::sync::Notify;

use crate::gateways::Gateway;
use crate::messages::Heartbeat;

/// `PeerAddress` is where a peer is found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// Its number.
    pub instance: InstanceId,
    /// Failure domain that it stands in.
    pub domain: String,
    /// Where its beats come from and go to.
    pub beat_address: SocketAddr,
    /// Where its documents are fetched.
    pub relay_address: SocketAddr,
    /// Thousandths of a core that it may use; 0 when it does not say.
    pub processor_millis: u32,
}

/// `PEER_TIMEOUT` is the time after which a peer that was not heard is not counted on: some of its
/// turns in a large fleet.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// `DISPATCHER_TIMEOUT` is the same for the dispatcher of another domain, which tells of itself each
/// third of a second.
const DISPATCHER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// `WARM_UP_TIME` is for how long an instance must have run before it goes before others that have:
/// it learns in this time what its upstreams keep and how fast they are.
pub(crate) const WARM_UP_TIME: Duration = Duration::from_secs(5);

/// `Peer` is a peer as it was last heard.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Where it is.
    pub address: PeerAddress,
    /// Its life and the number of its latest beat.
    pub(crate) latest: (Incarnation, u64),
    pub(crate) parts: HeartbeatParts,
    /// Its latest life that was told the origins of streams that it keeps.
    pub(crate) origins_told: Incarnation,
    listed: Timestamp,
    /// When it was heard.
    pub last_seen: Option<Timestamp>,
    /// Version of its configuration.
    pub version: CatalogVersion,
    /// Revision of the latest change of the list of upstreams that it has seen.
    pub list_change: u64,
    /// Version of the newest evacuation order that it knows.
    pub evacuation_version: EvacuationVersion,
    /// Whether it watches the store for its domain.
    pub watches: bool,
    /// Number of the latest change of its documents.
    pub relay_number: u64,
    is_eligible: bool,
    is_dispatcher: bool,
    hears_most: bool,
    counted: Duration,
}

impl Peer {
    /// `new` is a peer that was listed and not heard yet.
    pub fn new(address: PeerAddress, now: Timestamp) -> Self {
        Self {
            address,
            latest: (0, 0),
            parts: HeartbeatParts::default(),
            origins_told: 0,
            listed: now,
            last_seen: None,
            version: 0,
            list_change: 0,
            evacuation_version: 0,
            watches: false,
            relay_number: 0,
            is_eligible: true,
            is_dispatcher: false,
            hears_most: false,
            counted: Duration::ZERO,
        }
    }

    /// `incarnation` returns the life of it that was heard last.
    pub fn incarnation(&self) -> Incarnation {
        self.latest.0
    }

    /// `update` takes in a beat.
    pub(crate) fn update(
        &mut self,
        incarnation: Incarnation,
        heartbeat: &Heartbeat,
        now: Timestamp,
    ) {
        self.latest = (incarnation, heartbeat.sequence);
        self.last_seen = Some(now);
        self.version = heartbeat.version;
        self.list_change = heartbeat.list_change;
        self.evacuation_version = heartbeat.evacuation_version;
        self.watches = heartbeat.watches;
        self.relay_number = heartbeat.relay_number;
        self.is_eligible = heartbeat.is_eligible;
        self.is_dispatcher = heartbeat.is_dispatcher;
        self.hears_most = heartbeat.hears_most;
        self.counted = Duration::from_millis(heartbeat.counted_ms);
    }

    /// `is_alive` tells whether it was heard lately.
    pub(crate) fn is_alive(&self, now: Timestamp) -> bool {
        self.last_seen.is_some_and(|last_seen| now < last_seen + PEER_TIMEOUT)
    }

    /// `is_heard_within` tells whether it was heard within some time.
    pub(crate) fn is_heard_within(&self, time: Duration, now: Timestamp) -> bool {
        self.last_seen.is_some_and(|last_seen| now < last_seen + time)
    }

    /// `is_dispatching` tells whether it decides for its domain.
    pub(crate) fn is_dispatching(&self, now: Timestamp) -> bool {
        self.is_dispatcher
            && self.last_seen.is_some_and(|last_seen| now < last_seen + DISPATCHER_TIMEOUT)
    }

    /// `contests_role` tells whether it decides for its domain and hears most of it.
    pub(crate) fn contests_role(&self, now: Timestamp) -> bool {
        self.is_dispatching(now) && self.hears_most
    }

    /// `candidate` returns what counts for its role in its domain.
    pub(crate) fn candidate(&self) -> Candidate {
        Candidate {
            instance: self.address.instance,
            processor_millis: self.address.processor_millis,
            last_seen: self.last_seen.unwrap_or(self.listed),
            is_eligible: self.is_eligible,
            is_warmed_up: WARM_UP_TIME <= self.counted,
            is_dispatching: self.is_dispatcher,
        }
    }
}

/// `HeartbeatParts` gathers the parts of one beat.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeartbeatParts {
    heartbeat_id: (Incarnation, u64),
    parts: Vec<Heartbeat>,
}

impl HeartbeatParts {
    /// `add` takes in one part, and returns the beat once all of them are here.
    pub(crate) fn add(&mut self, incarnation: Incarnation, part: Heartbeat) -> Option<Heartbeat> {
        let heartbeat_id = (incarnation, part.sequence);
        if heartbeat_id < self.heartbeat_id {
            return None;
        }
        if self.heartbeat_id < heartbeat_id {
            self.heartbeat_id = heartbeat_id;
            self.parts.clear();
        }
        if self.parts.iter().any(|other| other.part == part.part) {
            return None;
        }
        let count = usize::from(part.parts);
        self.parts.push(part);
        if self.parts.len() < count {
            return None;
        }
        let mut parts = std::mem::take(&mut self.parts).into_iter();
        let mut whole = parts.next()?;
        parts.for_each(|part| whole.append(part));
        Some(whole)
    }
}

/// `ISOLATION_TIME` is the time without any message of a peer after which an instance counts itself as cut
/// off; several intervals of beats.
pub(crate) const ISOLATION_TIME: Duration = Duration::from_millis(1_500);

/// `ISOLATED_RETURN` is when to come back to an instance that is cut off; its callers may reach others.
pub(crate) const ISOLATED_RETURN: Duration = Duration::from_millis(500);

/// `UNKNOWN_PEERS_MAX` bounds how many unknown peers are remembered; more than the largest fleet has.
const UNKNOWN_PEERS_MAX: usize = 1_024;

/// `UnknownPeers` are instances that tell this one something and are not among its peers: they started
/// after the list was read last. Found only at the next regular reading, they would fill the engines
/// for that long as if they were alone.
#[derive(Debug, Default)]
pub struct UnknownPeers {
    seen: RefCell<HashSet<InstanceId>>,
    first_seen: Notify,
}

impl UnknownPeers {
    /// `heard` takes in a beat of an instance that is not among the peers.
    pub fn record(&self, instance: InstanceId) {
        let mut seen = self.seen.borrow_mut();
        if seen.len() < UNKNOWN_PEERS_MAX && seen.insert(instance) {
            self.first_seen.notify_one();
        }
    }

    /// `wait` returns when one was heard for the first time; one that no reading of the list finds is
    /// waited for again only after [`UnknownPeers::forget`].
    pub async fn wait(&self) {
        self.first_seen.notified().await;
    }

    /// `are_all_in` tells whether all of them are among the peers by now.
    pub fn are_all_in(&self, peers: &Peers) -> bool {
        self.seen.borrow().iter().all(|instance| peers.contains_key(instance))
    }

    /// `forget` lets each of them count as heard for the first time again.
    pub fn forget(&self) {
        self.seen.borrow_mut().clear();
    }
}

/// `Peers` is the table of all peers.
pub type Peers = HashMap<InstanceId, Peer>;

impl Gateway {
    /// `replace_peers` takes in where all peers are.
    pub fn replace_peers(self: &Rc<Self>, addresses: Vec<PeerAddress>) {
        let own = self.options.instance;
        let others: Vec<_> =
            addresses.into_iter().filter(|address| address.instance != own).collect();
        // Those that are not listed any more may only have lapsed.
        self.fleet_size();
        replace_peers(&mut self.peers.borrow_mut(), others, self.now());
        let peers = self.peers.borrow();
        let members = peers.iter().map(|(peer, known)| (*peer, id_of_name(&known.address.domain)));
        self.members.borrow_mut().relist(members);
        drop(peers);
        self.update_role();
        self.note_peers_listed();
    }

    /// `is_out_of_touch` tells whether it does not know the others, or heard fewer than half lately of those that
    /// tell it of themselves: what others know of requests that come there may not be known here.
    pub(crate) fn is_out_of_touch(&self) -> bool {
        if self.fleet_size.borrow().known_since().is_none() {
            return true;
        }
        let now = self.now();
        let peers = self.peers.borrow();
        let domain = &self.options.admission.domain;
        let mut near: Vec<&Peer> =
            peers.values().filter(|peer| peer.address.domain == *domain).collect();
        let role = self.role();
        if role.dispatcher.is_some() && !role.is_standby {
            // The others tell only those that stand by.
            near.sort_by_key(|peer| {
                (!peer.is_heard_within(ISOLATION_TIME, now), peer.candidate().order())
            });
            near.truncate(self.options.dispatchers.standbys);
        }
        let counted = if near.is_empty() { peers.values().collect() } else { near };
        let heard = counted.iter().filter(|peer| peer.is_heard_within(ISOLATION_TIME, now));
        2 * heard.count() < counted.len()
    }

    /// `beat_address_of` returns where a peer's messages go.
    pub(crate) fn beat_address_of(&self, peer: InstanceId) -> Option<SocketAddr> {
        self.peers.borrow().get(&peer).map(|peer| peer.address.beat_address)
    }

    /// `incarnation_of` returns the life of a peer that was heard last.
    pub(crate) fn incarnation_of(&self, peer: InstanceId) -> Option<Incarnation> {
        self.peers.borrow().get(&peer).map(Peer::incarnation)
    }
}

/// `replace_peers` takes in where all peers are.
fn replace_peers(peers: &mut Peers, addresses: Vec<PeerAddress>, now: Timestamp) {
    let listed: HashSet<InstanceId> = addresses.iter().map(|address| address.instance).collect();
    peers.retain(|instance, _| listed.contains(instance));
    for address in addresses {
        let instance = address.instance;
        let known = peers.get(&instance);
        if known.is_some_and(|peer| peer.address == address) {
            continue;
        }
        peers.insert(instance, Peer::new(address, now));
    }
}

//! Peers: the table of the other instances of the fleet.

use std::cell::RefCell;
use std::net::SocketAddr;

use bergamotpitch_control::traffic::catalogs::CatalogVersion;
use bergamotpitch_core::ids::{Incarnation, InstanceId};
use bergamotpitch_core::units::Timestamp;
use bergamotpitch_core::{HashMap, HashSet};
use tokio::sync::Notify;

use crate::gateways::Gateway;

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
}

/// `Peer` is a peer as it was last heard.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Where it is.
    pub address: PeerAddress,
    /// Its life and the number of its latest beat.
    pub(crate) latest: (Incarnation, u64),
    /// When it was heard.
    pub heard: Option<Timestamp>,
    /// Version of its configuration.
    pub version: CatalogVersion,
    /// Revision of the latest change of the list of upstreams that it has seen.
    pub list_change: u64,
    /// Whether it watches the store for its domain.
    pub watches: bool,
    /// Number of the latest change of its documents.
    pub relay_number: u64,
}

impl Peer {
    /// `new` is a peer that was not heard yet.
    pub fn new(address: PeerAddress) -> Self {
        Self {
            address,
            latest: (0, 0),
            heard: None,
            version: 0,
            list_change: 0,
            watches: false,
            relay_number: 0,
        }
    }

    /// `incarnation` returns the life of it that was heard last.
    pub fn incarnation(&self) -> Incarnation {
        self.latest.0
    }
}

/// `UNKNOWN_PEERS_MAX` bounds how many unknown peers are remembered; more than the largest fleet has.
const UNKNOWN_PEERS_MAX: usize = 1_024;

/// `UnknownPeers` are instances that tell this one something and are not among its peers: they started
/// after the list was read last. Found only at the next regular reading, they would fill the engines
/// for that long as if they were alone.
#[derive(Debug, Default)]
pub struct UnknownPeers {
    heard: RefCell<HashSet<InstanceId>>,
    first_heard: Notify,
}

impl UnknownPeers {
    /// `heard` takes in a beat of an instance that is not among the peers.
    pub fn heard(&self, instance: InstanceId) {
        let mut heard = self.heard.borrow_mut();
        if heard.len() < UNKNOWN_PEERS_MAX && heard.insert(instance) {
            self.first_heard.notify_one();
        }
    }

    /// `wait` returns when one was heard for the first time; one that no reading of the list finds is
    /// waited for again only after [`UnknownPeers::forget`].
    pub async fn wait(&self) {
        self.first_heard.notified().await;
    }

    /// `forget` lets each of them count as heard for the first time again.
    pub fn forget(&self) {
        self.heard.borrow_mut().clear();
    }
}

/// `Peers` is the table of all peers.
pub type Peers = HashMap<InstanceId, Peer>;

impl Gateway {
    /// `replace_peers` takes in where all peers are.
    pub fn replace_peers(&self, addresses: Vec<PeerAddress>) {
        let own = self.options.instance;
        let others = addresses.into_iter().filter(|address| address.instance != own).collect();
        replace_peers(&mut self.peers.borrow_mut(), others);
    }
}

/// `replace_peers` takes in where all peers are.
fn replace_peers(peers: &mut Peers, addresses: Vec<PeerAddress>) {
    peers.retain(|instance, _| addresses.iter().any(|address| address.instance == *instance));
    for address in addresses {
        let instance = address.instance;
        let known = peers.get(&instance);
        if known.is_some_and(|peer| peer.address == address) {
            continue;
        }
        peers.insert(instance, Peer::new(address));
    }
}

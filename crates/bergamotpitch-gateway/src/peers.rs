//! Peers: who they are, and what they know that this instance does not.

use std::net::SocketAddr;
use std::time::Duration;

use crate::beats::{self, PeerAddress};
use crate::gateways::Gateway;
use crate::relays;

/// `LIST_TOLERANCE` is how long peers may know a newer list of upstreams before the own watch is
/// given up: the store tells all watches within some milliseconds.
const LIST_TOLERANCE: Duration = Duration::from_millis(800);

/// `PEER_SILENCE` is the time after which a peer that was not heard is not counted on: some of its
/// turns in a large fleet.
const PEER_SILENCE: Duration = Duration::from_secs(5);

/// `LAG_TOLERANCE` is how long a peer may have a newer configuration before it is asked for it: the
/// platform's own notice mostly comes first.
const LAG_TOLERANCE: Duration = Duration::from_millis(400);

/// `FETCH_INTERVAL` is the least time between two questions to peers.
const FETCH_INTERVAL: Duration = Duration::from_millis(600);

impl Gateway {
    /// `list_change` returns the revision of the latest change of the list of upstreams that this
    /// instance has seen.
    pub fn list_change(&self) -> u64 {
        self.list_change.get()
    }

    /// `list_read` notes that the list is known up to a revision of the store, and the latest change
    /// that was seen in it.
    pub fn list_read(&self, known: u64, change: u64) {
        self.list_known.set(self.list_known.get().max(known));
        self.list_change.set(self.list_change.get().max(change));
    }

    /// `domain_rank` returns how many instances of the own domain that were heard lately come before
    /// this one. The first few look after the domain, and the others hear from them.
    pub fn domain_rank(&self) -> usize {
        let now = self.now();
        let own = &self.options;
        let peers = self.peers.borrow();
        let before = peers.values().filter(|peer| {
            let is_heard = peer.heard.is_some_and(|heard| now < heard + PEER_SILENCE);
            is_heard
                && peer.address.domain == own.admission.domain
                && peer.address.instance < own.instance
        });
        before.count()
    }

    /// `replace_peers` takes in where all peers are.
    pub fn replace_peers(&self, addresses: Vec<PeerAddress>) {
        let own = self.options.instance;
        let others = addresses.into_iter().filter(|address| address.instance != own).collect();
        beats::replace_peers(&mut self.peers.borrow_mut(), others);
    }

    /// `fetch_documents` asks another instance for what it knows.
    pub async fn fetch_documents(&self, from: SocketAddr) {
        match relays::fetch(from).await {
            Ok(documents) => {
                log::info!("event=documents_fetched peer={from} count={}", documents.len());
                if let Some(take) = self.take_documents.borrow().as_ref() {
                    take(documents);
                }
            }
            Err(error) => log::info!("event=documents_not_fetched peer={from} error={error}"),
        }
    }

    /// Gives the own watch up once a peer has known more of the list for some time.
    pub(crate) fn compare_lists(&self) {
        let now = self.now();
        let known = self.list_known.get();
        if self.peers.borrow().values().all(|peer| peer.list_change <= known) {
            self.list_behind_since.set(None);
            return;
        }
        let since = self.list_behind_since.get().unwrap_or(now);
        self.list_behind_since.set(Some(since));
        if since + LIST_TOLERANCE <= now {
            self.list_behind_since.set(Some(now));
            log::info!("event=list_behind revision={known}");
            self.list_behind.notify_waiters();
        }
    }

    /// The peer with a newer configuration, once that has lasted.
    pub(crate) fn ahead_peer(&self) -> Option<SocketAddr> {
        let now = self.now();
        let version = self.version();
        let peers = self.peers.borrow();
        let ahead = peers.values().filter(|peer| version < peer.version);
        let Some(ahead) = ahead.max_by_key(|peer| (peer.version, peer.heard)) else {
            self.lagging_since.set(None);
            return None;
        };
        let since = self.lagging_since.get().unwrap_or(now);
        self.lagging_since.set(Some(since));
        if now < since + LAG_TOLERANCE || now < self.next_fetch.get() {
            return None;
        }
        self.next_fetch.set(now + FETCH_INTERVAL);
        Some(ahead.address.relay_address)
    }
}

//! Relays: documents of the platform's store that instances hand to each other.
//!
//! Calls to the store are paid and limited for the whole fleet, so a few instances of each failure
//! domain watch it and the others fetch from them what has changed. The store may also turn one
//! instance away and serve the others, and it may be out of reach when an instance starts: without
//! a relay such an instance would work by an old configuration, or by none, although the instance
//! beside it knows the present one.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::Incarnation;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use serde::{Deserialize, Serialize};

use crate::connections::connect;
use crate::probes::DOCUMENTS_PATH;

/// `FETCH_TIMEOUT` is the time for all documents of a peer to come: a megabyte over a slow link.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// `FETCH_LIMIT_BYTES` bounds what is read of a peer.
const FETCH_LIMIT_BYTES: usize = 8 << 20;

/// `REMOVALS_KEPT` is how many removals are remembered; a peer that missed more is sent everything.
const REMOVALS_KEPT: usize = 1_000;

/// `Document` is one entry of the platform's store, as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Its key.
    pub key: String,
    /// Revision of its last change.
    pub revision: u64,
    /// Its value.
    pub value: Vec<u8>,
}

/// `Cursor` is up to where a peer's changes were taken in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// The peer's life.
    pub incarnation: Incarnation,
    /// Number of its latest change.
    pub number: u64,
}

/// `RelayUpdate` is what a peer knows, or what has changed there since a cursor.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayUpdate {
    /// Where to go on from.
    pub cursor: Cursor,
    /// Whether it is all that the peer knows; what is not in it is gone there.
    pub is_whole: bool,
    /// Revision of the store up to which the peer knows the list of upstreams.
    pub list_known: u64,
    /// Revision of the latest change of the list that it has seen.
    pub list_change: u64,
    /// Documents.
    pub documents: Vec<Document>,
    /// Keys of entries that are gone; none when everything is told.
    pub removals: Vec<String>,
}

/// `Relay` holds the newest known documents, in the order in which this instance came to know them.
#[derive(Debug, Default)]
pub struct Relay {
    incarnation: Incarnation,
    documents: BTreeMap<String, Numbered<Document>>,
    /// Keys that are in `documents` no more.
    removals: VecDeque<Numbered<String>>,
    key_of_upstream: HashMap<String, String>,
    /// Revision up to which an entry is known to have been removed, also while this instance waits
    /// whether it has only lapsed.
    removed_at: HashMap<String, u64>,
    last_number: u64,
    /// Number of the latest removal that is no longer remembered.
    forgotten: u64,
}

#[derive(Debug, Clone)]
struct Numbered<T> {
    number: u64,
    entry: T,
}

impl Relay {
    /// `new` returns an empty relay of one life of an instance.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, ..Self::default() }
    }

    /// `keep` takes in the newest value of an entry.
    pub fn keep(&mut self, document: Document) {
        let number = self.fresh_number();
        self.removals.retain(|removal| removal.entry != document.key);
        self.documents.insert(document.key.clone(), Numbered { number, entry: document });
    }

    /// `keep_upstream` takes in the newest entry of an upstream.
    pub fn keep_upstream(&mut self, id: &str, document: Document) {
        self.key_of_upstream.insert(id.to_owned(), document.key.clone());
        self.keep(document);
    }

    /// `upstream_gone` takes in that this instance has forgotten an upstream. Until then peers are
    /// told that it is listed, also when its entry lapsed in an outage of the store.
    pub fn upstream_gone(&mut self, id: &str) {
        if let Some(key) = self.key_of_upstream.remove(id) {
            self.drop_entry(&key);
        }
    }

    /// `drop_entry` takes in that an entry is gone; peers are told so.
    pub fn drop_entry(&mut self, key: &str) {
        if self.documents.remove(key).is_none() {
            return;
        }
        let number = self.fresh_number();
        self.removals.push_back(Numbered { number, entry: key.to_owned() });
        if REMOVALS_KEPT < self.removals.len()
            && let Some(forgotten) = self.removals.pop_front()
        {
            self.forgotten = forgotten.number;
        }
    }

    /// `note_removed` takes in that the store held an entry no more at a revision. A peer may lag, or
    /// wait whether the entry has only lapsed, and still tell of it; taken for news, an upstream that
    /// left would get requests again.
    pub fn note_removed(&mut self, key: &str, revision: u64) {
        let known = self.removed_at.entry(key.to_owned()).or_default();
        *known = revision.max(*known);
        if REMOVALS_KEPT < self.removed_at.len() {
            let oldest = self.removed_at.values().min().copied();
            self.removed_at.retain(|_, removed_at| Some(*removed_at) != oldest);
        }
    }

    /// `last_number` returns the number of the latest change.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// `revision_of` returns the revision of the newest known change of an entry, its removal among
    /// them.
    ///
    /// ```
    /// use bergamotpitch_gateway::relays::{Document, Relay};
    ///
    /// let mut relay = Relay::new(5);
    /// relay.keep(Document { key: "list/a".to_owned(), revision: 7, value: vec![] });
    /// relay.note_removed("list/a", 9);
    /// assert_eq!(relay.revision_of("list/a"), Some(9));
    /// assert_eq!(relay.revision_of("list/b"), None);
    /// ```
    pub fn revision_of(&self, key: &str) -> Option<u64> {
        let kept = self.documents.get(key).map(|kept| kept.entry.revision);
        kept.max(self.removed_at.get(key).copied())
    }

    /// `documents` returns all entries.
    pub fn documents(&self) -> impl Iterator<Item = &Document> {
        self.documents.values().map(|kept| &kept.entry)
    }

    /// `upstreams` returns all entries of upstreams, by id, with the revisions of their values.
    pub fn upstreams(&self) -> impl Iterator<Item = (&str, &str, u64)> {
        self.key_of_upstream.iter().filter_map(|(id, key)| {
            let kept = self.documents.get(key)?;
            Some((id.as_str(), key.as_str(), kept.entry.revision))
        })
    }

    /// `updates_since` returns what has changed since a cursor of a peer; the caller states up to where
    /// the list of upstreams is known.
    ///
    /// ```
    /// use bergamotpitch_gateway::relays::{Cursor, Document, Relay};
    ///
    /// let mut relay = Relay::new(5);
    /// let document = |key: &str| Document { key: key.to_owned(), revision: 1, value: vec![] };
    /// relay.keep_upstream("a", document("list/a"));
    /// let first = relay.updates_since(Cursor::default());
    /// assert!(first.is_whole);
    /// relay.keep_upstream("b", document("list/b"));
    /// relay.upstream_gone("a");
    /// let next = relay.updates_since(first.cursor);
    /// assert!(!next.is_whole);
    /// assert_eq!(next.documents, [document("list/b")]);
    /// assert_eq!(next.removals, ["list/a"]);
    /// ```
    pub fn updates_since(&self, cursor: Cursor) -> RelayUpdate {
        let is_whole = cursor.incarnation != self.incarnation || cursor.number < self.forgotten;
        let since = if is_whole { 0 } else { cursor.number };
        let documents = self.documents.values().filter(|kept| since < kept.number);
        let removals = self.removals.iter().filter(|kept| !is_whole && since < kept.number);
        RelayUpdate {
            cursor: Cursor { incarnation: self.incarnation, number: self.last_number },
            is_whole,
            list_known: 0,
            list_change: 0,
            documents: documents.map(|kept| kept.entry.clone()).collect(),
            removals: removals.map(|kept| kept.entry.clone()).collect(),
        }
    }

    fn fresh_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}

/// `encode` writes news for a peer.
pub fn encode(update: &RelayUpdate) -> Bytes {
    match postcard::to_stdvec(update) {
        Ok(bytes) => Bytes::from(bytes),
        Err(error) => {
            log::warn!("event=documents_not_encoded error={error}");
            Bytes::new()
        }
    }
}

/// `query_of_cursor` states a cursor in the query of a fetch.
pub fn query_of_cursor(cursor: Cursor) -> String {
    format!("after={},{}", cursor.incarnation, cursor.number)
}

/// `cursor_of_query` reads it; a query that cannot be read asks for everything.
pub fn cursor_of_query(query: Option<&str>) -> Cursor {
    let numbers = query.and_then(|query| query.strip_prefix("after="));
    let numbers = numbers.and_then(|numbers| numbers.split_once(','));
    let Some((incarnation, number)) = numbers else { return Cursor::default() };
    match (incarnation.parse(), number.parse()) {
        (Ok(incarnation), Ok(number)) => Cursor { incarnation, number },
        _ => Cursor::default(),
    }
}

/// `fetch` reads what a peer knows since a cursor.
///
/// # Errors
///
/// Fails, with a reason for the log, when the peer does not answer in time or not in this form.
pub async fn fetch(peer: SocketAddr, cursor: Cursor) -> Result<RelayUpdate, String> {
    match tokio::time::timeout(FETCH_TIMEOUT, fetch_updates(peer, cursor)).await {
        Ok(result) => result,
        Err(_) => Err("no answer in time".to_owned()),
    }
}

async fn fetch_updates(peer: SocketAddr, cursor: Cursor) -> Result<RelayUpdate, String> {
    let mut sender = connect(peer).await.map_err(|error| error.to_string())?;
    let request = Request::get(format!("{DOCUMENTS_PATH}?{}", query_of_cursor(cursor)))
        .header(http::header::HOST, peer.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|error| error.to_string())?;
    let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
    let body = Limited::new(response.into_body(), FETCH_LIMIT_BYTES)
        .collect()
        .await
        .map_err(|error| error.to_string())?;
    postcard::from_bytes(&body.to_bytes()).map_err(|error| error.to_string())
}

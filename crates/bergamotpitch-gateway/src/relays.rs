//! Relays: documents of the platform's store that instances hand to each other.
//!
//! Calls to the store are paid and limited for the whole fleet, so a few instances of each failure
//! domain watch it and the others fetch from them what has changed. The store may also turn one
//! instance away and serve the others, and it may be out of reach when an instance starts: without
//! a relay such an instance would work by an old configuration, or by none, although the instance
//! beside it knows the present one.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::Incarnation;
use bergamotpitch_core::packing::{pack_fast, unpack_bytes};
use bergamotpitch_core::units::Timestamp;
use bytes::Bytes;
use displaydoc::Display;
use http::header::CONTENT_ENCODING;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::connections::connect;
use crate::probes::DOCUMENTS_PATH;
use crate::work_times::WorkTimes;

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
    /// Revision of the store up to which the peer knows the list of instances; 0 while it may know a part.
    pub members_known: u64,
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
    /// Keys in `documents`, by the number of their latest change.
    keys: BTreeMap<u64, String>,
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
        self.keys.insert(number, document.key.clone());
        let kept = Numbered { number, entry: document };
        if let Some(before) = self.documents.insert(kept.entry.key.clone(), kept) {
            self.keys.remove(&before.number);
        }
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
        let Some(before) = self.documents.remove(key) else { return };
        self.keys.remove(&before.number);
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

    /// `documents_of` returns the entries whose keys begin with a prefix.
    ///
    /// ```
    /// use bergamotpitch_gateway::relays::{Document, Relay};
    ///
    /// let mut relay = Relay::new(5);
    /// for key in ["list/a", "members/b", "op/c"] {
    ///     relay.keep(Document { key: key.to_owned(), revision: 7, value: vec![] });
    /// }
    /// let keys: Vec<&str> = relay.documents_of("members/").map(|kept| kept.key.as_str()).collect();
    /// assert_eq!(keys, ["members/b"]);
    /// ```
    pub fn documents_of<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Document> {
        let from_prefix =
            self.documents.range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
        let of_prefix = from_prefix.take_while(move |(key, _)| key.starts_with(prefix));
        of_prefix.map(|(_, kept)| &kept.entry)
    }

    /// `upstream_revision` returns the revision of an upstream's kept entry, by its id.
    pub fn upstream_revision(&self, id: &str) -> Option<u64> {
        let kept = self.documents.get(self.key_of_upstream.get(id)?)?;
        Some(kept.entry.revision)
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
        if !self.needs_everything(cursor) {
            return self.changes_between(cursor.number, self.last_number);
        }
        RelayUpdate {
            is_whole: true,
            removals: Vec::new(),
            ..self.changes_between(0, self.last_number)
        }
    }

    /// `changes_between` returns what has changed after one number, up to another; what has changed
    /// again since is left for later.
    pub fn changes_between(&self, after: u64, until: u64) -> RelayUpdate {
        let changed = (Bound::Excluded(after), Bound::Included(until.max(after + 1)));
        let keys = self.keys.range(changed).filter(|(number, _)| **number <= until);
        let documents = keys.filter_map(|(_, key)| self.documents.get(key));
        let removals = self.removals.iter();
        let removals = removals.filter(|kept| after < kept.number && kept.number <= until);
        RelayUpdate {
            cursor: Cursor { incarnation: self.incarnation, number: until },
            is_whole: false,
            list_known: 0,
            list_change: 0,
            members_known: 0,
            documents: documents.map(|kept| kept.entry.clone()).collect(),
            removals: removals.map(|kept| kept.entry.clone()).collect(),
        }
    }

    /// `needs_everything` tells whether changes since a cursor cannot be told from all the rest.
    pub fn needs_everything(&self, cursor: Cursor) -> bool {
        cursor.incarnation != self.incarnation || cursor.number < self.forgotten
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

/// `WHOLE_ANSWERS_MAX` bounds how many peers are sent all that is known at a time. After an outage all
/// instances of a domain ask at once; each connection holds part of the answer in its buffers, and a
/// hundred of them take more memory than a small instance has.
const WHOLE_ANSWERS_MAX: usize = 8;

/// `STEP_INTERVAL` is the least time between two steps in which peers are told more.
const STEP_INTERVAL: Duration = Duration::from_millis(250);

/// `PACKED` is the content encoding of an answer that is packed.
const PACKED: &str = "deflate";

/// `MAY_PACK` in the query of a fetch tells that the peer understands packed answers; the release
/// before does not.
const MAY_PACK: &str = "&packed";

/// `PACKED_BYTES_MIN` is the size from which an answer is packed.
const PACKED_BYTES_MIN: usize = 2 << 10;

/// `Extent` is up to where an instance tells what it knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Extent {
    /// Number of the latest change.
    pub number: u64,
    /// Revision of the store up to which the list of upstreams is known.
    pub list_known: u64,
    /// Revision of the latest change of the list that was seen.
    pub list_change: u64,
    /// Revision of the store up to which the list of instances is known.
    pub members_known: u64,
}

/// `SharedAnswers` are what peers are sent, made once for all that ask from the same cursor.
///
/// Load pattern: a hundred instances start together and a list of thousands of upstreams arrives entry
/// by entry. Each asks four times a second for what is new; encoded for each of them, that took all the
/// processor time of a small instance, and its connections more memory than it has. What is told
/// therefore grows in steps, so that those who follow have few different cursors.
#[derive(Debug, Default)]
pub struct SharedAnswers {
    extent: Extent,
    made: Timestamp,
    /// Answers up to `extent`, by the number of the change after which they begin; `None` for all that
    /// is known.
    answers: HashMap<Option<u64>, Answer>,
    in_flight: Arc<()>,
}

/// `SentAnswer` counts an answer as in flight until its connection has sent it.
struct SentAnswer {
    bytes: Bytes,
    _in_flight: Arc<()>,
}

impl AsRef<[u8]> for SentAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl SharedAnswers {
    /// `is_busy` tells whether as many peers are sent all that is known as may be.
    pub fn is_busy(&self) -> bool {
        WHOLE_ANSWERS_MAX < Arc::strong_count(&self.in_flight)
    }

    /// `extent` returns up to where peers are told now, where `known` is up to where all is known.
    pub fn extent(&mut self, known: Extent, now: Timestamp) -> Extent {
        let is_first = self.extent == Extent::default();
        if self.extent != known && (is_first || self.made + STEP_INTERVAL <= now) {
            self.extent = known;
            self.made = now;
            self.answers.clear();
        }
        self.extent
    }

    /// `changes` returns the answer with the changes after a number, which `update` makes unless it was
    /// made before.
    pub fn changes(&mut self, after: u64, update: impl FnOnce() -> RelayUpdate) -> Answer {
        self.answers.entry(Some(after)).or_insert_with(|| Answer::new(&update())).clone()
    }

    /// `whole` returns the answer with all that is known in the same way, and counts it as in flight.
    pub fn whole(&mut self, update: impl FnOnce() -> RelayUpdate) -> Answer {
        let known = self.answers.entry(None).or_insert_with(|| Answer::new(&update()));
        let in_flight = Arc::clone(&self.in_flight);
        let counted = |bytes: &Bytes| {
            Bytes::from_owner(SentAnswer { bytes: bytes.clone(), _in_flight: in_flight })
        };
        match known {
            Answer::Plain(bytes) => Answer::Plain(counted(bytes)),
            Answer::Packed(bytes) => Answer::Packed(counted(bytes)),
            Answer::Busy => Answer::Busy,
        }
    }
}

/// `Answer` is what a peer that asks is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// An encoded update.
    Plain(Bytes),
    /// The same, packed.
    Packed(Bytes),
    /// Too many are sent all that is known; another instance knows it as well.
    Busy,
}

impl Answer {
    /// `new` encodes an update, and packs it unless it is short.
    pub fn new(update: &RelayUpdate) -> Self {
        let bytes = encode(update);
        if bytes.len() < PACKED_BYTES_MIN {
            return Self::Plain(bytes);
        }
        Self::Packed(Bytes::from(pack_fast(&bytes)))
    }

    /// `response` makes the response of an answer.
    pub fn response(self) -> Response<Full<Bytes>> {
        let (status, encoding, body) = match self {
            Self::Plain(bytes) => (StatusCode::OK, None, bytes),
            Self::Packed(bytes) => (StatusCode::OK, Some(PACKED), bytes),
            Self::Busy => (StatusCode::SERVICE_UNAVAILABLE, None, Bytes::new()),
        };
        let mut response = Response::new(Full::new(body));
        *response.status_mut() = status;
        if let Some(encoding) = encoding {
            response.headers_mut().insert(CONTENT_ENCODING, HeaderValue::from_static(encoding));
        }
        response
    }
}

/// `FetchError` tells why a peer did not hand over what it knows.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum FetchError {
    /// it hands over all that it knows to too many others
    Busy,
    /// {0}
    Failed(String),
}

impl From<String> for FetchError {
    fn from(reason: String) -> Self {
        Self::Failed(reason)
    }
}

/// `query_of_cursor` states a cursor in the query of a fetch.
pub fn query_of_cursor(cursor: Cursor) -> String {
    format!("after={},{}{MAY_PACK}", cursor.incarnation, cursor.number)
}

/// `may_pack` tells whether whoever sent the query of a fetch understands packed answers.
pub fn may_pack(query: Option<&str>) -> bool {
    query.is_some_and(|query| query.ends_with(MAY_PACK))
}

/// `cursor_of_query` reads it; a query that cannot be read asks for everything.
pub fn cursor_of_query(query: Option<&str>) -> Cursor {
    let query = query.map(|query| query.strip_suffix(MAY_PACK).unwrap_or(query));
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
pub async fn fetch(
    peer: SocketAddr,
    cursor: Cursor,
    work_times: &WorkTimes,
) -> Result<RelayUpdate, FetchError> {
    match tokio::time::timeout(FETCH_TIMEOUT, fetch_updates(peer, cursor, work_times)).await {
        Ok(result) => result,
        Err(_) => Err(FetchError::Failed("no answer in time".to_owned())),
    }
}

async fn fetch_updates(
    peer: SocketAddr,
    cursor: Cursor,
    work_times: &WorkTimes,
) -> Result<RelayUpdate, FetchError> {
    let mut sender = connect(peer, work_times).await.map_err(|error| error.to_string())?;
    let request = Request::get(format!("{DOCUMENTS_PATH}?{}", query_of_cursor(cursor)))
        .header(http::header::HOST, peer.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|error| error.to_string())?;
    let response = sender.send(request).await.map_err(|error| error.error().to_string())?;
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        return Err(FetchError::Busy);
    }
    let is_packed = response.headers().contains_key(CONTENT_ENCODING);
    let body = response.into_body().map_frame(|frame| {
        sender.progress();
        frame
    });
    let body =
        Limited::new(body, FETCH_LIMIT_BYTES).collect().await.map_err(|error| error.to_string())?;
    let mut bytes = body.to_bytes();
    if is_packed {
        let unpacked = unpack_bytes("documents", &bytes).map_err(|error| error.to_string())?;
        bytes = Bytes::from(unpacked);
    }
    Ok(postcard::from_bytes(&bytes).map_err(|error| error.to_string())?)
}

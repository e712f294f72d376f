//! The key-value store of the stand-in platform: compare-and-swap, sessions and locks.

use std::collections::BTreeMap;
use std::time::Duration;

use bergamotpitch_core::HashMap;
use bytes::Bytes;
use tokio::time::Instant;

/// Largest value that the store takes, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1 << 20;

/// `ModifyIndex` counts changes of the whole store; each change gets the next one.
pub type ModifyIndex = u64;

/// `SessionId` names a session.
pub type SessionId = String;

/// `Store` is the state of the key-value service.
#[derive(Debug, Clone, Default)]
pub struct Store {
    /// Index of the last change.
    pub index: ModifyIndex,
    /// Entries by key.
    pub entries: BTreeMap<String, Entry>,
    /// Index of the last deletion of a key.
    pub deletions: BTreeMap<String, ModifyIndex>,
    /// Live sessions.
    pub sessions: HashMap<SessionId, Session>,
    /// Keys that may not be locked again yet, after their session lapsed.
    pub lock_delays: HashMap<String, Instant>,
    /// Number of sessions made.
    pub sessions_made: u64,
}

/// `Entry` is one key's value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The value.
    pub value: Bytes,
    /// Index of its first write.
    pub create_index: ModifyIndex,
    /// Index of its last write.
    pub modify_index: ModifyIndex,
    /// Times that it was locked; a fencing number.
    pub lock_index: u64,
    /// Session that holds its lock.
    pub session: Option<SessionId>,
}

/// `Session` is a lease: it ends unless it is renewed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Session {
    /// Time that it lasts after a renewal.
    pub ttl: Duration,
    /// When it ends.
    pub ends: Instant,
    /// Time for which its keys may not be locked after it lapsed.
    pub lock_delay: Duration,
}

/// `PutCondition` says under which condition a write takes effect.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PutCondition {
    /// Modify index that the key must have; 0 when it must be absent.
    pub cas: Option<ModifyIndex>,
    /// Session that takes the key's lock.
    pub acquire: Option<SessionId>,
    /// Session that gives the key's lock back.
    pub release: Option<SessionId>,
}

/// `put` writes a value when the condition holds, and tells whether it did.
///
/// ```
/// use bergamotpitch_standin::stores::{PutCondition, Store, put};
/// use tokio::time::Instant;
/// let mut store = Store::default();
/// let absent = PutCondition { cas: Some(0), ..PutCondition::default() };
/// assert!(put(&mut store, "key", "1".into(), &absent, Instant::now()));
/// assert!(!put(&mut store, "key", "2".into(), &absent, Instant::now()));
/// ```
pub fn put(
    store: &mut Store,
    key: &str,
    value: Bytes,
    condition: &PutCondition,
    now: Instant,
) -> bool {
    expire_sessions(store, now);
    let held_by = store.entries.get(key).and_then(|entry| entry.session.clone());
    let modify_index = store.entries.get(key).map_or(0, |entry| entry.modify_index);
    if condition.cas.is_some_and(|cas| cas != modify_index) {
        return false;
    }
    if let Some(session) = &condition.acquire {
        let is_free = held_by.as_ref().is_none_or(|holder| holder == session);
        let is_delayed = store.lock_delays.get(key).is_some_and(|until| now < *until);
        if !store.sessions.contains_key(session) || !is_free || is_delayed {
            return false;
        }
    }
    if condition.release.is_some() && condition.release != held_by {
        return false;
    }
    write(store, key, value, condition);
    true
}

fn write(store: &mut Store, key: &str, value: Bytes, condition: &PutCondition) {
    store.index += 1;
    let index = store.index;
    let entry = store.entries.entry(key.to_owned()).or_insert_with(|| Entry {
        value: Bytes::new(),
        create_index: index,
        modify_index: index,
        lock_index: 0,
        session: None,
    });
    entry.value = value;
    entry.modify_index = index;
    if let Some(session) = &condition.acquire {
        // A lock that is taken anew gets the next fencing number; a holder that writes keeps its own.
        if entry.session.as_ref() != Some(session) {
            entry.lock_index += 1;
        }
        entry.session = Some(session.clone());
    }
    if condition.release.is_some() {
        entry.session = None;
    }
}

/// `delete` removes a key.
pub fn delete(store: &mut Store, key: &str, cas: Option<ModifyIndex>) -> bool {
    let Some(entry) = store.entries.get(key) else { return cas.is_none() };
    if cas.is_some_and(|cas| cas != entry.modify_index) {
        return false;
    }
    store.index += 1;
    store.entries.remove(key);
    store.deletions.insert(key.to_owned(), store.index);
    true
}

/// `read` returns the entries of a key, or of all keys that begin with it, and the index to watch
/// from.
pub fn read(
    store: &mut Store,
    key: &str,
    recurse: bool,
    now: Instant,
) -> (ModifyIndex, Vec<(String, Entry)>) {
    expire_sessions(store, now);
    let matches = |name: &str| name == key || (recurse && name.starts_with(key));
    let entries: Vec<(String, Entry)> = store
        .entries
        .range(key.to_owned()..)
        .take_while(|(name, _)| name.starts_with(key))
        .filter(|(name, _)| matches(name))
        .map(|(name, entry)| (name.clone(), entry.clone()))
        .collect();
    let written = entries.iter().map(|(_, entry)| entry.modify_index);
    let deleted = store.deletions.iter().filter(|(name, _)| matches(name)).map(|(_, index)| *index);
    let index = written.chain(deleted).max().unwrap_or(0).max(1);
    (index, entries)
}

/// `create_session` makes a session.
pub fn create_session(
    store: &mut Store,
    ttl: Duration,
    lock_delay: Duration,
    now: Instant,
) -> SessionId {
    store.sessions_made += 1;
    let hash = blake3::hash(&store.sessions_made.to_le_bytes()).to_hex();
    let id = format!(
        "{}-{}-{}-{}-{}",
        &hash[..8],
        &hash[8..12],
        &hash[12..16],
        &hash[16..20],
        &hash[20..32]
    );
    store.sessions.insert(id.clone(), Session { ttl, ends: now + ttl, lock_delay });
    id
}

/// `renew_session` puts off the end of a session, and tells whether it still lived.
pub fn renew_session(store: &mut Store, id: &str, now: Instant) -> Option<Session> {
    expire_sessions(store, now);
    let session = store.sessions.get_mut(id)?;
    session.ends = now + session.ttl;
    Some(session.clone())
}

/// `destroy_session` ends a session at once; its locks are free and no delay follows.
pub fn destroy_session(store: &mut Store, id: &str) {
    if store.sessions.remove(id).is_some() {
        release_locks(store, id);
    }
}

/// `expire_sessions` ends every session that was not renewed in time.
pub fn expire_sessions(store: &mut Store, now: Instant) {
    let mut lapsed: Vec<SessionId> = store
        .sessions
        .iter()
        .filter(|(_, session)| session.ends <= now)
        .map(|(id, _)| id.clone())
        .collect();
    lapsed.sort_unstable();
    for id in lapsed {
        let Some(session) = store.sessions.remove(&id) else { continue };
        for key in release_locks(store, &id) {
            store.lock_delays.insert(key, now + session.lock_delay);
        }
    }
}

fn release_locks(store: &mut Store, id: &str) -> Vec<String> {
    let mut released = Vec::new();
    for (key, entry) in &mut store.entries {
        if entry.session.as_deref() == Some(id) {
            store.index += 1;
            entry.session = None;
            entry.modify_index = store.index;
            released.push(key.clone());
        }
    }
    released
}

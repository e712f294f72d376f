//! Calls for keys and for the instance list.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{HeaderValue, Method, Response, StatusCode};
use serde::Serialize;
use tokio::time::Instant;

use crate::bodies::{Body, json_answer, query_value, text_answer};
use crate::calls::take_call;
use crate::instances::listed_entries;
use crate::lags;
use crate::platforms::{Call, Shared, State, lock_state};
use crate::stores::{self, Entry, ModifyIndex, PutCondition, Store, VALUE_LIMIT_BYTES};

/// Time that a watch waits when it does not say how long.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);

/// Longest wait of a watch at an old copy. A watch may end early without a change, and readers must
/// meet the old value soon.
const FROZEN_WATCH: Duration = Duration::from_millis(500);

/// Time between two looks for sessions that lapsed while a watch waits.
const LAPSE_CHECK: Duration = Duration::from_millis(50);

/// Header that carries the index to watch from.
const INDEX_HEADER: &str = "x-consul-index";

#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct KeyDocument {
    key: String,
    value: String,
    flags: u64,
    create_index: ModifyIndex,
    modify_index: ModifyIndex,
    lock_index: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    session: Option<String>,
}

/// `answer_key` answers a call for a key.
pub async fn answer_key(shared: &Shared, call: &Call, key: &str) -> Response<Body> {
    let recurse = query_value(&call.query, "recurse").is_some();
    let index = query_value(&call.query, "index").and_then(|text| text.parse().ok()).unwrap_or(0);
    {
        let mut state = lock_state(shared);
        count_prefix(&mut state, key);
        let is_read = call.method == Method::GET;
        if !admit(&mut state, is_read) {
            return over_rate();
        }
        match (is_read, index) {
            (true, 0) => state.counts.reads += 1,
            (true, _) => state.counts.watches += 1,
            (false, _) => state.counts.writes += 1,
        }
    }
    match call.method {
        Method::GET => answer_read(shared, call, key, recurse, index).await,
        Method::PUT => answer_put(shared, call, key),
        Method::DELETE => answer_delete(shared, call, key),
        _ => text_answer(StatusCode::METHOD_NOT_ALLOWED, "method not allowed"),
    }
}

/// `answer_frozen` answers a read from an old copy of the store; a watch sees no change.
pub async fn answer_frozen(
    shared: &Shared,
    mut store: Store,
    call: &Call,
    key: &str,
) -> Response<Body> {
    let recurse = query_value(&call.query, "recurse").is_some();
    let watched = query_value(&call.query, "index").and_then(|text| text.parse().ok()).unwrap_or(0);
    {
        let mut state = lock_state(shared);
        count_prefix(&mut state, key);
        let count = if watched == 0 { &mut state.counts.reads } else { &mut state.counts.watches };
        *count += 1;
    }
    let (index, entries) = stores::read(&mut store, key, recurse, Instant::now());
    if index <= watched {
        tokio::time::sleep(wait_of(call).min(FROZEN_WATCH)).await;
    }
    entries_answer(shared, index, entries)
}

fn wait_of(call: &Call) -> Duration {
    query_value(&call.query, "wait").and_then(parse_duration).unwrap_or(DEFAULT_WAIT)
}

/// `answer_list` answers a call for the instance list.
pub fn answer_list(shared: &Shared, list: &str) -> Response<Body> {
    let mut state = lock_state(shared);
    if !admit(&mut state, true) {
        return over_rate();
    }
    state.counts.lists += 1;
    let lag = Duration::from_millis(state.list_lag_ms);
    let seen = lags::read(&state.listed, Instant::now(), lag).map_or(&[][..], Vec::as_slice);
    json_answer(StatusCode::OK, &listed_entries(seen, list))
}

/// `admit` takes a call out of its rate, and counts it when there was none left.
pub fn admit(state: &mut State, is_read: bool) -> bool {
    let now = Instant::now();
    let rates = state.rates;
    let admitted = if is_read {
        take_call(&mut state.read_bucket, rates.reads_per_s, now)
    } else {
        take_call(&mut state.write_bucket, rates.writes_per_s, now)
    };
    if !admitted {
        state.counts.over_rate += 1;
    }
    admitted
}

/// `over_rate` is the answer to a call that came over the rate.
pub fn over_rate() -> Response<Body> {
    text_answer(StatusCode::TOO_MANY_REQUESTS, "Your IP is issuing too many concurrent requests")
}

/// `notify` wakes those who wait for a change.
pub fn notify(shared: &Shared, index: ModifyIndex) {
    shared.changed.send_replace(index);
}

async fn answer_read(
    shared: &Shared,
    call: &Call,
    key: &str,
    recurse: bool,
    watched: ModifyIndex,
) -> Response<Body> {
    let ends = Instant::now() + wait_of(call);
    let mut changes = shared.changed.subscribe();
    loop {
        changes.borrow_and_update();
        let (index, entries) =
            stores::read(&mut lock_state(shared).store, key, recurse, Instant::now());
        if watched < index || ends <= Instant::now() {
            return entries_answer(shared, index, entries);
        }
        // A lapsed session frees its locks without a call, so a watch looks again from time to time.
        let next_look = ends.min(Instant::now() + LAPSE_CHECK);
        let _ = tokio::time::timeout_at(next_look, changes.changed()).await;
    }
}

fn entries_answer(
    shared: &Shared,
    index: ModifyIndex,
    entries: Vec<(String, Entry)>,
) -> Response<Body> {
    let bytes: u64 = entries.iter().map(|(_, entry)| entry.value.len() as u64).sum();
    lock_state(shared).counts.read_bytes += bytes;
    let documents: Vec<KeyDocument> = entries.into_iter().map(key_document).collect();
    let mut response = if documents.is_empty() {
        text_answer(StatusCode::NOT_FOUND, "")
    } else {
        json_answer(StatusCode::OK, &documents)
    };
    response.headers_mut().insert(INDEX_HEADER, HeaderValue::from(index));
    response
}

fn key_document((key, entry): (String, Entry)) -> KeyDocument {
    KeyDocument {
        key,
        value: STANDARD.encode(&entry.value),
        flags: 0,
        create_index: entry.create_index,
        modify_index: entry.modify_index,
        lock_index: entry.lock_index,
        session: entry.session,
    }
}

fn answer_put(shared: &Shared, call: &Call, key: &str) -> Response<Body> {
    if VALUE_LIMIT_BYTES < call.body.len() {
        return text_answer(StatusCode::PAYLOAD_TOO_LARGE, "value is larger than 1048576 bytes");
    }
    let condition = PutCondition {
        cas: query_value(&call.query, "cas").and_then(|text| text.parse().ok()),
        acquire: query_value(&call.query, "acquire").map(str::to_owned),
        release: query_value(&call.query, "release").map(str::to_owned),
    };
    let mut state = lock_state(shared);
    let value = Bytes::copy_from_slice(&call.body);
    let done = stores::put(&mut state.store, key, value, &condition, Instant::now());
    if done {
        state.counts.written_bytes += call.body.len() as u64;
    } else {
        state.counts.conflicts += 1;
    }
    notify(shared, state.store.index);
    json_answer(StatusCode::OK, &done)
}

fn answer_delete(shared: &Shared, call: &Call, key: &str) -> Response<Body> {
    let cas = query_value(&call.query, "cas").and_then(|text| text.parse().ok());
    let mut state = lock_state(shared);
    let done = stores::delete(&mut state.store, key, cas);
    if !done {
        state.counts.conflicts += 1;
    }
    notify(shared, state.store.index);
    json_answer(StatusCode::OK, &done)
}

fn count_prefix(state: &mut State, key: &str) {
    let prefix: Vec<&str> = key.split('/').take(2).collect();
    *state.counts.by_prefix.entry(prefix.join("/")).or_default() += 1;
}

/// `parse_duration` reads a duration such as `10s`, `500ms` or `2m`.
///
/// ```
/// use std::time::Duration;
/// use bergamotpitch_standin::keys::parse_duration;
/// assert_eq!(parse_duration("500ms"), Some(Duration::from_millis(500)));
/// ```
pub fn parse_duration(text: &str) -> Option<Duration> {
    let number_ends = text.find(|letter: char| !letter.is_ascii_digit()).unwrap_or(text.len());
    let number: u64 = text[..number_ends].parse().ok()?;
    match &text[number_ends..] {
        "ms" => Some(Duration::from_millis(number)),
        "" | "s" => Some(Duration::from_secs(number)),
        "m" => Some(Duration::from_secs(number * 60)),
        _ => None,
    }
}

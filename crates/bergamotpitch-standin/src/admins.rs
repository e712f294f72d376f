//! Admin paths of the stand-in platform.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::bodies::{Body, json_answer, query_value, text_answer};
use crate::calls::RateLimits;
use crate::faults::{PlatformFaults, parse_platform_faults};
use crate::instances::{InstanceChange, apply_change};
use crate::lags::publish;
use crate::locks::lock;
use crate::platforms::{Call, Entrance, Shared, lock_state};

/// `answer_admin` answers a call for an admin path.
pub fn answer_admin(entrance: &Entrance, call: &Call) -> Response<Body> {
    let shared = &*entrance.shared;
    match (&call.method, call.path.as_str()) {
        (&Method::GET, "/_faults") => json_answer(StatusCode::OK, &*lock(&entrance.faults)),
        (&Method::GET, "/_instances") => json_answer(StatusCode::OK, &lock_state(shared).instances),
        (&Method::GET, "/_calls") => json_answer(StatusCode::OK, &lock_state(shared).counts),
        (&Method::POST, "/_faults") => answer_set(read_faults(&call.body), |faults| {
            set_faults(entrance, faults);
        }),
        (&Method::POST, "/_instances") => answer_set(read_document(&call.body), |change| {
            change_instance(shared, change);
        }),
        (&Method::POST, "/_rates") => answer_set(read_document(&call.body), |rates: RateLimits| {
            lock_state(shared).rates = rates;
        }),
        (&Method::POST, "/_list_lag") => answer_set(read_lag(&call.query), |list_lag_ms| {
            lock_state(shared).list_lag_ms = list_lag_ms;
        }),
        _ => text_answer(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn answer_set<T>(document: Result<T, String>, set: impl FnOnce(T)) -> Response<Body> {
    match document {
        Ok(document) => {
            set(document);
            text_answer(StatusCode::OK, "set")
        }
        Err(reason) => text_answer(StatusCode::BAD_REQUEST, reason),
    }
}

fn read_document<T: DeserializeOwned>(body: &Bytes) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

fn read_faults(body: &Bytes) -> Result<PlatformFaults, String> {
    let text = String::from_utf8_lossy(body);
    parse_platform_faults(&text).map_err(|error| error.to_string())
}

fn read_lag(query: &str) -> Result<u64, String> {
    let text = query_value(query, "ms").unwrap_or("");
    text.parse().map_err(|_| format!("ms: \"{text}\" is not a number of milliseconds"))
}

fn set_faults(entrance: &Entrance, faults: PlatformFaults) {
    if 0 < faults.down_ms {
        // The server lives as long as its handler, so the order always arrives.
        let _ = entrance.crashes.send(Duration::from_millis(faults.down_ms));
    }
    let mut frozen = lock(&entrance.frozen);
    if !faults.frozen {
        *frozen = None;
    } else if frozen.is_none() {
        *frozen = Some(lock_state(&entrance.shared).store.clone());
    }
    *lock(&entrance.faults) = faults;
}

fn change_instance(shared: &Shared, change: InstanceChange) {
    let mut state = lock_state(shared);
    let lag = Duration::from_millis(state.list_lag_ms);
    apply_change(&mut state.instances, change);
    let instances = state.instances.clone();
    publish(&mut state.listed, Instant::now(), lag, instances);
}

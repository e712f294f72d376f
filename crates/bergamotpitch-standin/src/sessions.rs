//! Calls for sessions, which are the platform's leases.

use std::time::Duration;

use http::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::bodies::{Body, json_answer, text_answer};
use crate::keys::{admit, notify, over_rate, parse_duration};
use crate::platforms::{Call, Shared, State, lock_state};
use crate::stores::{self, Session};

/// Time that a session lasts when it does not say how long.
const DEFAULT_TTL: Duration = Duration::from_secs(15);

/// Time for which the lock of a lapsed session stays closed when the session did not say.
const DEFAULT_LOCK_DELAY: Duration = Duration::from_secs(15);

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct SessionRequest {
    #[serde(rename = "TTL")]
    ttl: Option<String>,
    lock_delay: Option<String>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct SessionDocument {
    #[serde(rename = "ID")]
    id: String,
    #[serde(rename = "TTL", skip_serializing_if = "Option::is_none")]
    ttl: Option<String>,
}

/// `answer_session` answers a call for sessions.
pub fn answer_session(shared: &Shared, call: &Call) -> Response<Body> {
    let mut state = lock_state(shared);
    if !admit(&mut state, false) {
        return over_rate();
    }
    state.counts.sessions += 1;
    if call.method != Method::PUT {
        return text_answer(StatusCode::METHOD_NOT_ALLOWED, "method not allowed");
    }
    let response = answer_put(&mut state, call);
    notify(shared, state.store.index);
    response
}

fn answer_put(state: &mut State, call: &Call) -> Response<Body> {
    let now = Instant::now();
    if call.path == "/v1/session/create" {
        return create(state, call, now);
    }
    if let Some(id) = call.path.strip_prefix("/v1/session/renew/") {
        return match stores::renew_session(&mut state.store, id, now) {
            Some(session) => json_answer(StatusCode::OK, &[session_document(id, &session)]),
            None => text_answer(StatusCode::NOT_FOUND, format!("Session id '{id}' not found")),
        };
    }
    if let Some(id) = call.path.strip_prefix("/v1/session/destroy/") {
        stores::destroy_session(&mut state.store, id);
        return json_answer(StatusCode::OK, &true);
    }
    text_answer(StatusCode::NOT_FOUND, "no such path")
}

fn create(state: &mut State, call: &Call, now: Instant) -> Response<Body> {
    let request: SessionRequest = if call.body.is_empty() {
        SessionRequest::default()
    } else {
        match serde_json::from_slice(&call.body) {
            Ok(request) => request,
            Err(error) => return text_answer(StatusCode::BAD_REQUEST, error.to_string()),
        }
    };
    let ttl = request.ttl.as_deref().and_then(parse_duration).unwrap_or(DEFAULT_TTL);
    let lock_delay =
        request.lock_delay.as_deref().and_then(parse_duration).unwrap_or(DEFAULT_LOCK_DELAY);
    let id = stores::create_session(&mut state.store, ttl, lock_delay, now);
    json_answer(StatusCode::OK, &SessionDocument { id, ttl: None })
}

fn session_document(id: &str, session: &Session) -> SessionDocument {
    SessionDocument { id: id.to_owned(), ttl: Some(format!("{}ms", session.ttl.as_millis())) }
}

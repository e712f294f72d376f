//! Arrivals: what a caller's request says and brings, read within bounds.

use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::traffic::catalogs::{Catalog, Route, Team};
use bergamotpitch_core::refusals::RefusalReason;
use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, EXPECT, HOST};
use http::{HeaderMap, HeaderValue, StatusCode, Uri, request};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::calls::BUSY_RETURN;
use crate::gateways::Gateway;
use crate::headers::remove_hop_headers;
use crate::held_bytes::{Hold, capacity_for};
use crate::refusals::Refusal;

/// `team_of` finds the team whose key a caller shows.
///
/// # Errors
///
/// Denies a caller without a known key on a route that needs one.
pub fn team_of(
    gateway: &Gateway,
    catalog: &Catalog,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<Team>>, Refusal> {
    let team = (gateway.dialect.caller_key)(headers).and_then(|key| catalog.team_of(key)).cloned();
    if team.is_none() && catalog.has_teams() && !route.is_public {
        return Err(Refusal::denied(StatusCode::UNAUTHORIZED, RefusalReason::UnknownTeam));
    }
    Ok(team)
}

/// `bad_request` refuses what cannot be understood.
pub fn bad_request() -> Refusal {
    Refusal::denied(StatusCode::BAD_REQUEST, RefusalReason::BadRequest)
}

/// `host_of` returns the host that a request names.
pub fn host_of(parts: &request::Parts) -> Option<HeaderValue> {
    if let Some(authority) = parts.uri.authority() {
        return HeaderValue::from_str(authority.as_str()).ok();
    }
    parts.headers.get(HOST).cloned()
}

/// `target_of` returns path and query as the caller sent them.
pub fn target_of(uri: &Uri) -> Uri {
    let Some(target) = uri.path_and_query() else { return Uri::from_static("/") };
    // Path and query of a URI are a URI by themselves.
    Uri::from(target.clone())
}

/// `HeldBody` is a request's body and the memory that it takes.
#[derive(Debug)]
pub struct HeldBody {
    /// The body.
    pub bytes: Bytes,
    _hold: Hold,
}

/// `MEMORY_RETURN` is when to come back to an instance whose memory is full of bodies; most
/// requests end within a few seconds.
const MEMORY_RETURN: Duration = Duration::from_millis(500);

/// `read_body` reads a body within the limits.
///
/// # Errors
///
/// Denies one that is too large or broken off, and refuses one that is too slow or for which there is
/// no memory at present.
pub async fn read_body(
    headers: &HeaderMap,
    body: &mut Incoming,
    catalog: &Catalog,
    mut hold: Hold,
    time: Duration,
) -> Result<HeldBody, Refusal> {
    let limit_bytes = catalog.limits.body_bytes;
    let too_large = Refusal::denied(StatusCode::PAYLOAD_TOO_LARGE, RefusalReason::BodyTooLarge);
    let declared: Option<usize> = headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok());
    if declared.is_some_and(|bytes| limit_bytes < bytes) {
        return Err(too_large);
    }
    let no_memory = Refusal::not_run(RefusalReason::InstanceFull, MEMORY_RETURN);
    if !hold.reach(declared.unwrap_or_default()) {
        return Err(no_memory);
    }
    let read = async {
        // Copied out of the connection's buffer, which would otherwise be held with the body and
        // replaced by another one of 8 KB.
        let mut bytes = BytesMut::with_capacity(declared.unwrap_or_default());
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| bad_request())?.into_data() else { continue };
            if limit_bytes < bytes.len() + data.len() {
                return Err(too_large);
            }
            if !hold.reach(capacity_for(&bytes, bytes.len() + data.len())) {
                return Err(no_memory);
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.freeze())
    };
    match tokio::time::timeout(time, read).await {
        Ok(result) => result.map(|bytes| HeldBody { bytes, _hold: hold }),
        Err(_) => {
            let status = StatusCode::REQUEST_TIMEOUT;
            Err(Refusal { status, ..Refusal::not_run(RefusalReason::DeadlinePassed, BUSY_RETURN) })
        }
    }
}

/// `DISCARD_TIME` is the time for the rest of a body that nobody needs to come in.
const DISCARD_TIME: Duration = Duration::from_millis(500);

/// `discard` reads a body without keeping it. A connection that closes with unread bytes is reset, and
/// the caller may lose the answer with it.
pub async fn discard(mut body: Incoming) {
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    // What comes later is left to the end of the connection.
    let _ = tokio::time::timeout(DISCARD_TIME, read).await;
}

/// `passed_headers` are the headers that an upstream sees of a caller's.
pub fn passed_headers(gateway: &Gateway, headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    remove_hop_headers(&mut passed);
    passed.remove(CONTENT_LENGTH);
    passed.remove(EXPECT);
    passed.remove(HOST);
    (gateway.dialect.strip_caller_headers)(&mut passed);
    passed
}

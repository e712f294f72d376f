//! Headers: which are passed on, and the ones of the project's own.

use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName};

/// Header with which a caller states how long it waits, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("bergamotpitch-deadline-ms");

/// Header by which an upstream proves that a request did not start.
pub const RAN: HeaderName = HeaderName::from_static("bergamotpitch-ran");

/// Header by which an upstream says that it is leaving.
pub const LEAVING: HeaderName = HeaderName::from_static("bergamotpitch-leaving");

/// Header that names the team to an upstream; one that a caller sends is taken out.
pub const TEAM: HeaderName = HeaderName::from_static("bergamotpitch-team");

/// Header that carries a request's id to an upstream.
pub const UPSTREAM_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Header that names the last event that was delivered, on a resume.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Header with which a caller names a request that it may send again.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// `remove_hop_headers` removes the headers that are about one connection only.
pub fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    let hop_headers = [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    for name in hop_headers {
        headers.remove(name);
    }
}

/// `request_headers` are the headers that go to an upstream.
pub fn request_headers(from_caller: &HeaderMap) -> HeaderMap {
    let mut headers = from_caller.clone();
    remove_hop_headers(&mut headers);
    // The bearer key is the team's secret towards this system; an upstream must not learn it.
    for name in [
        AUTHORIZATION,
        HOST,
        CONTENT_LENGTH,
        EXPECT,
        DEADLINE_MS,
        LAST_EVENT_ID,
        TEAM,
        UPSTREAM_REQUEST_ID,
    ] {
        headers.remove(name);
    }
    headers
}

/// `answer_headers` are the headers that go to a caller.
pub fn answer_headers(from_upstream: &HeaderMap) -> HeaderMap {
    let mut headers = from_upstream.clone();
    remove_hop_headers(&mut headers);
    for name in [LEAVING, RAN] {
        headers.remove(name);
    }
    headers
}

/// `is_true` tells whether a header has the value `true`.
pub fn is_true(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers.get(name).is_some_and(|value| value == "true")
}

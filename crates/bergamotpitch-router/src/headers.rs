//! Headers: which are passed on, and the ones of the project's own.

use bergamotpitch_gateway::headers::remove_hop_headers;
use http::header::{AUTHORIZATION, CONTENT_LENGTH, EXPECT, HOST};
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

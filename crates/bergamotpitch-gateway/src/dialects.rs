//! Dialects: how requests and answers spell what the gateway needs to know.

use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_control::traffic::catalogs::Service;
use bergamotpitch_control::traffic::engine_loads::Report;
use bergamotpitch_control::traffic::facts::RequestFacts;
use bytes::Bytes;
use displaydoc::Display;
use http::{HeaderMap, Request, StatusCode};
use thiserror::Error;

/// `Dialect` reads and writes the headers of one deployment.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// Reads the key that a caller shows.
    pub caller_key: fn(&HeaderMap) -> Option<&str>,
    /// Reads what a request says of itself.
    pub request_facts: fn(&HeaderMap) -> Result<RequestFacts, BadHeader>,
    /// Removes what an upstream must not see or what callers may not set.
    pub strip_caller_headers: fn(&mut HeaderMap),
    /// Sets what an upstream is told.
    pub write_upstream_headers: fn(&mut HeaderMap, &UpstreamHeaders<'_>),
    /// Reads what an upstream's answer says.
    pub answer_facts: fn(&HeaderMap) -> AnswerFacts,
    /// Sets the request's id on an answer that the gateway makes itself.
    pub write_own_headers: fn(&mut HeaderMap, &str),
    /// Asks an upstream of a service, meant by its id, who it is; `None` where it cannot be asked.
    pub identity_request: fn(&Service, &str) -> Option<Request<Bytes>>,
    /// Reads what it says; `None` when that is no answer to such a request.
    pub stated_identity: fn(StatusCode, &HeaderMap, &[u8]) -> Option<StatedIdentity>,
}

/// `StatedIdentity` is what a process says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StatedIdentity {
    /// Whether it is not the upstream that is meant.
    pub is_other: bool,
    /// Its id.
    pub id: Option<String>,
    /// When it started, as Unix time in milliseconds.
    pub born_ms: Option<u64>,
}

/// `UpstreamHeaders` are what an upstream is told besides the caller's own headers.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamHeaders<'a> {
    /// Time that is left for the answer.
    pub time_left: Duration,
    /// Id of the upstream that is meant; another one at the same address must not run the request.
    pub upstream_id: &'a str,
    /// Team of the caller.
    pub team: Option<&'a str>,
    /// Id of the last event that was passed on, when a stream goes on.
    pub resume_after: Option<&'a str>,
    /// Engine from which it should fetch what it does not keep of the prompt.
    pub fetch_from: Option<SocketAddr>,
}

/// `AnswerFacts` are what the head of an upstream's answer says.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerFacts {
    /// The request's id, as the upstream echoes it.
    pub attempt_id: Option<String>,
    /// Whether the upstream states that it did not run the request. No status states it by itself.
    pub is_not_run: bool,
    /// Its load.
    pub load: Option<Report>,
    /// For how much longer it is slow after its start.
    pub cold_left: Option<Duration>,
}

/// `BadHeader` tells which header of a request cannot be understood.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[displaydoc("header {name} cannot be understood")]
pub struct BadHeader {
    /// Its name.
    pub name: &'static str,
}

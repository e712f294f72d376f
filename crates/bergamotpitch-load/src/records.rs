//! Records of a run: what callers saw and what upstreams did.

use bergamotpitch_core::refusals::{Ran, RefusalReason};
use serde::{Deserialize, Serialize};

/// `CallerRecord` is what one caller saw of its request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallerRecord {
    /// Number of the request in the run.
    pub number: u64,
    /// Team that sent it.
    pub team: String,
    /// Service that it asked for.
    pub service: String,
    /// First eight hexadecimal digits of the BLAKE3 hash of the body; each body of a run differs.
    pub body_hash: String,
    /// True when the request may not be run twice.
    pub at_most_once: bool,
    /// Tries, in order; only a request with an idempotency key has more than one.
    pub tries: Vec<Try>,
    /// When it was sent, in microseconds since the Unix epoch.
    pub sent_us: u64,
    /// When the first byte of the body came, in microseconds since the Unix epoch.
    pub first_byte_us: Option<u64>,
    /// When the answer ended, in microseconds since the Unix epoch.
    pub ended_us: u64,
    /// How it ended.
    pub outcome: CallerOutcome,
    /// Times between two tokens, in microseconds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub token_gaps_us: Vec<u32>,
}

/// `Try` is one try of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Try {
    /// Request id that the router gave it; empty when no answer came.
    pub request_id: String,
    /// How it ended.
    pub outcome: CallerOutcome,
}

/// `CallerOutcome` is how a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerOutcome {
    /// The whole answer to this request came.
    Answered,
    /// A refusal came.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Whether the request may have run.
        ran: Ran,
    },
    /// An answer ended as if it were whole, but some of it was missing.
    CutUnseen,
    /// The stream broke in a way that the caller could see.
    CutSeen,
    /// The answer was that of another request.
    Foreign,
    /// The connection was lost before any answer.
    Lost,
    /// The answer was neither an answer nor a refusal.
    Malformed,
}

/// `UpstreamRecord` is what one upstream recorded of one attempt at a request.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Name of the upstream.
    pub upstream: String,
    /// Request id that the router gave it.
    #[serde(default)]
    pub request: Option<String>,
    /// Team that the router named.
    #[serde(default)]
    pub team: Option<String>,
    /// When a slot began to work on it, in microseconds since the Unix epoch; absent when none did.
    #[serde(default)]
    pub started_us: Option<u64>,
    /// When it ended, in microseconds since the Unix epoch.
    pub ended_us: u64,
    /// Cost in cost units.
    pub cost: u64,
}

/// `ServiceRun` is one execution of a call that a plain service recorded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRun {
    /// Name of the upstream.
    pub upstream: String,
    /// Request id that the router gave it.
    #[serde(default)]
    pub request: Option<String>,
    /// First eight hexadecimal digits of the BLAKE3 hash of the body.
    pub body_hash: String,
}

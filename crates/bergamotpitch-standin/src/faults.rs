//! Faults of stand-ins, set over HTTP.

use bergamotpitch_core::documents::parse_document;
use bergamotpitch_core::ranges::{Range, check_range};
use serde::{Deserialize, Serialize};

use crate::errors::Result;

/// Writes of which the answer is lost, in percent.
const LOSE_ANSWERS_PERCENT: Range = 0..=100;

/// `UpstreamFaults` are the faults of one upstream; a default one has none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamFaults {
    /// Time that a request waits before anything else happens to it, in milliseconds.
    pub delay_ms: u64,
    /// True when requests are taken and never answered.
    pub half_open: bool,
    /// True when the answer is not an answer: bytes that are neither JSON nor an event stream.
    pub garbage: bool,
    /// Tokens after which a stream's connection is broken.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub break_after_tokens: Option<u32>,
    /// True when requests are refused before they start, with the proof that they did not.
    pub refuse: bool,
    /// True when the request runs and the connection is broken before its answer.
    pub crash_before_answer: bool,
    /// Requests that the faults above are done to, after which they end; no end when absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub times: Option<u32>,
    /// True when the upstream says that it is leaving.
    pub leaving: bool,
    /// Time for which connections are broken and refused, in milliseconds; it starts at once.
    pub down_ms: u64,
}

/// `PlatformFaults` are the faults of one address of the platform; a default one has none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// True when every call fails with status 500.
    pub outage: bool,
    /// True when every call is taken and never answered.
    pub hang: bool,
    /// Time that every call takes longer, in milliseconds.
    pub slow_ms: u64,
    /// Writes of which the answer is lost after they took effect, in percent.
    pub lose_answers_percent: u32,
    /// Writes that take effect and lose their answer, counted down; it goes before the percentage.
    pub lose_next_answers: u32,
    /// True when reads of keys show them as they were when this fault was set, as a replica that
    /// lags does; writes go on.
    pub frozen: bool,
    /// Time for which connections are broken and refused, in milliseconds; it starts at once.
    pub down_ms: u64,
}

/// `take_turn` returns the faults that the next request meets and counts it.
pub fn take_turn(faults: &mut UpstreamFaults) -> UpstreamFaults {
    match faults.times {
        None => faults.clone(),
        Some(0) => UpstreamFaults { leaving: faults.leaving, ..UpstreamFaults::default() },
        Some(left) => {
            faults.times = Some(left - 1);
            faults.clone()
        }
    }
}

/// `parse_platform_faults` reads and checks faults of the platform.
///
/// # Errors
///
/// Names the field and the reason of the first fault found.
///
/// ```
/// use bergamotpitch_standin::faults::parse_platform_faults;
/// assert!(parse_platform_faults(r#"{ "lose_answers_percent": 101 }"#).is_err());
/// ```
pub fn parse_platform_faults(text: &str) -> Result<PlatformFaults> {
    let faults: PlatformFaults = parse_document("/_faults", text)?;
    let percent = u64::from(faults.lose_answers_percent);
    check_range("/_faults", "lose_answers_percent", percent, &LOSE_ANSWERS_PERCENT)?;
    Ok(faults)
}

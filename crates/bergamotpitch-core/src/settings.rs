//! Settings of a router process.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::documents::parse_document;
use crate::errors::{Result, field_error};
use crate::ranges::{self, check_range};

/// Fewest characters of the secret that all instances share.
pub const SHARED_KEY_LEAST_BYTES: usize = 16;

/// `RouterSettings` is what a router process is told about itself and its surroundings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Name of the instance.
    pub instance: String,
    /// Name of the failure domain that the instance stands in.
    pub domain: String,
    /// Address on which callers are served.
    pub caller_address: SocketAddr,
    /// Address on which other instances are heard; its number is how they reach this one.
    pub peer_address: SocketAddr,
    /// Address of the operators' port: live, ready, drain, metrics, explain.
    pub operator_address: SocketAddr,
    /// Address of the platform's key-value service and instance list.
    pub platform_address: SocketAddr,
    /// Instances to greet at start, before the instance list is known.
    #[serde(default)]
    pub first_peers: Vec<SocketAddr>,
    /// Secret that all instances share; messages are authenticated with it.
    pub shared_key: String,
    /// Time between two ticks of the control thread, in milliseconds.
    #[serde(default = "default_tick_ms")]
    pub tick_ms: u64,
    /// Largest request body accepted, in bytes.
    #[serde(default = "default_body_limit_bytes")]
    pub body_limit_bytes: usize,
    /// Deadline of a request that states none, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Longest time a drain waits for requests in flight, in milliseconds.
    #[serde(default = "default_drain_limit_ms")]
    pub drain_limit_ms: u64,
    /// Threads that carry traffic.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// File that events are appended to as JSON lines; none are written when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub event_file: Option<String>,
    /// Policy by which waiting requests are ordered.
    #[serde(default)]
    pub policy: Policy,
}

/// `Policy` is the order in which waiting requests are dispatched.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Fair shares over the whole fleet.
    #[default]
    Fair,
    /// Fair shares among the requests of one instance, with no exchange; a baseline.
    LocalFair,
    /// First come, first served; a baseline.
    FirstCome,
}

/// `parse_router_settings` reads and checks the settings of a router.
///
/// # Errors
///
/// Names the file, the field and the reason of the first fault found.
///
/// ```
/// use bergamotpitch_core::settings::parse_router_settings;
/// let error = parse_router_settings("router.json", "{ \"instance\": 7 }").unwrap_err();
/// assert!(error.to_string().starts_with("router.json: instance: "));
/// ```
pub fn parse_router_settings(file: &str, text: &str) -> Result<RouterSettings> {
    let settings: RouterSettings = parse_document(file, text)?;
    check_router_settings(file, &settings)?;
    Ok(settings)
}

fn check_router_settings(file: &str, settings: &RouterSettings) -> Result<()> {
    for (field, name) in [("instance", &settings.instance), ("domain", &settings.domain)] {
        if name.is_empty() {
            return Err(field_error(file, field, "is empty; give it a name"));
        }
    }
    if settings.shared_key.len() < SHARED_KEY_LEAST_BYTES {
        let reason = "is shorter than 16 characters; use a longer secret";
        return Err(field_error(file, "shared_key", reason));
    }
    // Peers answer to the number that this address names; 0.0.0.0 would reach nobody.
    if settings.peer_address.ip().is_unspecified() {
        let reason = format!("{} cannot be reached; use an IP number", settings.peer_address);
        return Err(field_error(file, "peer_address", reason));
    }
    check_addresses(file, settings)?;
    let numbers = [
        ("tick_ms", settings.tick_ms, &ranges::TICK_MS),
        ("body_limit_bytes", settings.body_limit_bytes as u64, &ranges::BODY_LIMIT_BYTES),
        ("deadline_ms", settings.deadline_ms, &ranges::DEADLINE_MS),
        ("drain_limit_ms", settings.drain_limit_ms, &ranges::DRAIN_LIMIT_MS),
        ("traffic_threads", settings.traffic_threads as u64, &ranges::TRAFFIC_THREADS),
    ];
    for (field, value, range) in numbers {
        check_range(file, field, value, range)?;
    }
    Ok(())
}

fn check_addresses(file: &str, settings: &RouterSettings) -> Result<()> {
    let caller = settings.caller_address;
    let operator = settings.operator_address;
    // Port 0 lets the system choose, so that two of them do not clash.
    if caller == operator && caller.port() != 0 {
        let reason = format!("{operator} is the caller address as well; use another port");
        return Err(field_error(file, "operator_address", reason));
    }
    Ok(())
}

fn default_tick_ms() -> u64 {
    5
}

fn default_body_limit_bytes() -> usize {
    8 << 20
}

fn default_deadline_ms() -> u64 {
    60_000
}

fn default_drain_limit_ms() -> u64 {
    600_000
}

fn default_traffic_threads() -> usize {
    2
}

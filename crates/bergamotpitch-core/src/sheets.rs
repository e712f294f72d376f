//! The sheet: what operators declare about domains, services, upstreams and teams.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

pub use crate::checks::check_sheet;
use crate::documents::parse_document;
use crate::errors::Result;
use crate::ids::SheetVersion;
use crate::units::CostUnits;

/// `Sheet` is the whole configuration that is accepted and put in force as one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    /// Failure domains.
    pub domains: Vec<DomainEntry>,
    /// Services that callers reach by the first segment of the path.
    pub services: Vec<ServiceEntry>,
    /// Upstreams that services run on.
    pub upstreams: Vec<UpstreamEntry>,
    /// Teams that share the capacity.
    pub teams: Vec<TeamEntry>,
}

/// `DomainEntry` declares a failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainEntry {
    /// Name of the failure domain.
    pub name: String,
    /// Name of the region it stands in; traffic between regions is paid by volume.
    pub region: String,
}

/// `ServiceKind` tells how a service's upstreams work.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that batch and stream.
    Engine,
    /// Plain services; some calls may not be repeated.
    Plain,
}

/// `ServiceEntry` declares a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: String,
    /// How its upstreams work.
    pub kind: ServiceKind,
    /// Cost units of one prompt token.
    #[serde(default = "one_cost_unit")]
    pub prompt_token_cost: CostUnits,
    /// Cost units of one generated token.
    #[serde(default = "four_cost_units")]
    pub generated_token_cost: CostUnits,
    /// Cost units of one call, whatever its size.
    #[serde(default = "one_cost_unit")]
    pub call_cost: CostUnits,
    /// Cost in units that a request is charged at dispatch, before its real cost is known.
    #[serde(default = "first_estimate")]
    pub first_estimate_cost: CostUnits,
    /// True when every call may be repeated; a call of a method that HTTP calls safe always may.
    #[serde(default)]
    pub repeatable: bool,
}

/// `UpstreamEntry` declares an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamEntry {
    /// Name of the upstream.
    pub name: String,
    /// Name of the service it runs.
    pub service: String,
    /// Name of the failure domain it stands in.
    pub domain: String,
    /// IP number and port.
    pub address: std::net::SocketAddr,
    /// Requests it can run at once.
    pub slots: u32,
    /// True when it refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Model that the upstream should have loaded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
}

/// `TeamEntry` declares a team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamEntry {
    /// Name of the team.
    pub name: String,
    /// Fair share, relative to the other teams.
    pub share: u32,
    /// BLAKE3 hash of the team's bearer key, in hexadecimal.
    pub key_hash: String,
    /// Names of the services that the team may reach.
    pub services: Vec<String>,
    /// Requests that may wait at one instance.
    #[serde(default = "default_queue_limit_requests")]
    pub queue_limit_requests: u32,
    /// Bytes of bodies that may wait at one instance.
    #[serde(default = "default_queue_limit_bytes")]
    pub queue_limit_bytes: u64,
    /// Retries allowed, in percent of the team's first attempts.
    #[serde(default = "default_retry_budget_percent")]
    pub retry_budget_percent: u32,
}

/// `AcceptedSheet` is a sheet with the version under which the platform accepted it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedSheet {
    /// Version; it only rises.
    pub version: SheetVersion,
    /// The sheet itself.
    pub sheet: Sheet,
}

/// `parse_sheet` reads and checks a sheet.
///
/// # Errors
///
/// Names the file, the field and the reason of the first fault found.
///
/// ```
/// use bergamotpitch_core::sheets::parse_sheet;
/// let text = r#"{ "domains": [], "services": [], "upstreams": [], "teams": [] } // empty"#;
/// assert!(parse_sheet("sheet.json", text).is_ok());
/// ```
pub fn parse_sheet(file: &str, text: &str) -> Result<Sheet> {
    let sheet: Sheet = parse_document(file, text)?;
    check_sheet(file, &sheet)?;
    Ok(sheet)
}

fn one_cost_unit() -> CostUnits {
    1
}

fn four_cost_units() -> CostUnits {
    4
}

fn first_estimate() -> CostUnits {
    400
}

fn default_queue_limit_requests() -> u32 {
    256
}

fn default_queue_limit_bytes() -> u64 {
    16 << 20
}

fn default_retry_budget_percent() -> u32 {
    10
}

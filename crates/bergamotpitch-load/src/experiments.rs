//! Experiment files: which fleet to load, with what, and for how long.

use std::net::SocketAddr;

use bergamotpitch_core::documents::parse_document;
use bergamotpitch_core::errors::field_error;
use bergamotpitch_core::sheets::ServiceKind;
use serde::{Deserialize, Serialize};

use crate::errors::Result;

/// `Experiment` is one run of load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the run; it stands in the report.
    pub name: String,
    /// Seed of arrival times and sizes.
    pub seed: u64,
    /// Time for which requests are sent, in milliseconds.
    pub duration_ms: u64,
    /// Time at the start that no measure counts, in milliseconds.
    #[serde(default)]
    pub warm_up_ms: u64,
    /// Routers that are loaded.
    pub routers: Vec<RouterEntry>,
    /// Address of the stand-in platform, for its count of calls.
    pub platform_address: SocketAddr,
    /// Wait that makes a team backlogged, in milliseconds.
    #[serde(default = "default_backlog_ms")]
    pub backlog_ms: u64,
    /// Streams of requests.
    pub streams: Vec<StreamEntry>,
}

/// `RouterEntry` is one router that is loaded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterEntry {
    /// Name of the instance.
    pub name: String,
    /// Failure domain that it stands in.
    pub domain: String,
    /// Address on which it serves callers.
    pub caller_address: SocketAddr,
    /// Address on which it serves operators.
    pub operator_address: SocketAddr,
}

/// `StreamEntry` is a stream of like requests of one team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StreamEntry {
    /// Team that sends them.
    pub team: String,
    /// Bearer key of the team.
    pub key: String,
    /// Share of the team in the sheet.
    pub share: u32,
    /// Service that they ask for.
    pub service: String,
    /// Kind of the service.
    pub kind: ServiceKind,
    /// Mean rate, in requests a second.
    pub rate_per_s: f64,
    /// Fewest and most tokens of a prompt.
    #[serde(default = "default_token_range")]
    pub prompt_tokens: TokenRange,
    /// Fewest and most tokens of an answer.
    #[serde(default = "default_token_range")]
    pub answer_tokens: TokenRange,
    /// Share of requests, in percent, that carry an idempotency key; only of plain services.
    #[serde(default)]
    pub keyed_percent: u32,
    /// Deadline that the requests state, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Names of the routers that the balancer gives them to; each is as likely.
    pub routers: Vec<String>,
}

/// `TokenRange` is a range of token counts, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenRange {
    /// Fewest tokens.
    pub least: u32,
    /// Most tokens.
    pub most: u32,
}

/// `parse_experiment` reads and checks an experiment file.
///
/// # Errors
///
/// Names the file, the field and the reason of the first fault found.
///
/// ```
/// use bergamotpitch_load::experiments::parse_experiment;
/// let error = parse_experiment("run.json", "{ \"name\": 1 }").unwrap_err();
/// assert!(error.to_string().starts_with("run.json: name: "));
/// ```
pub fn parse_experiment(file: &str, text: &str) -> Result<Experiment> {
    let experiment: Experiment = parse_document(file, text)?;
    check_experiment(file, &experiment)?;
    Ok(experiment)
}

fn check_experiment(file: &str, experiment: &Experiment) -> Result<()> {
    if experiment.duration_ms == 0 || 3_600_000 < experiment.duration_ms {
        return Err(field_error(file, "duration_ms", "must be from 1 to 3600000").into());
    }
    if experiment.duration_ms <= experiment.warm_up_ms {
        return Err(field_error(file, "warm_up_ms", "must be less than duration_ms").into());
    }
    for (index, router) in experiment.routers.iter().enumerate() {
        if !router.caller_address.ip().is_loopback() {
            let field = format!("routers[{index}].caller_address");
            return Err(field_error(
                file,
                &field,
                "is not a loopback address; load stays on this host",
            )
            .into());
        }
    }
    for (index, stream) in experiment.streams.iter().enumerate() {
        check_stream(file, index, stream, experiment)?;
    }
    Ok(())
}

fn check_stream(
    file: &str,
    index: usize,
    stream: &StreamEntry,
    experiment: &Experiment,
) -> Result<()> {
    let field = |name: &str| format!("streams[{index}].{name}");
    if !(0.0 < stream.rate_per_s && stream.rate_per_s <= 10_000.0) {
        return Err(
            field_error(file, &field("rate_per_s"), "must be above 0 and at most 10000").into()
        );
    }
    if stream.share == 0 {
        return Err(field_error(file, &field("share"), "is 0; it must be at least 1").into());
    }
    for (name, range) in
        [("prompt_tokens", stream.prompt_tokens), ("answer_tokens", stream.answer_tokens)]
    {
        if range.least == 0 || range.most < range.least {
            return Err(field_error(file, &field(name), "needs 1 <= least <= most").into());
        }
    }
    if 100 < stream.keyed_percent {
        return Err(field_error(file, &field("keyed_percent"), "is above 100").into());
    }
    if stream.routers.is_empty() {
        return Err(
            field_error(file, &field("routers"), "is empty; name at least one router").into()
        );
    }
    for (position, name) in stream.routers.iter().enumerate() {
        if !experiment.routers.iter().any(|router| router.name == *name) {
            let field = field(&format!("routers[{position}]"));
            return Err(field_error(file, &field, format!("\"{name}\" is not in routers")).into());
        }
    }
    Ok(())
}

fn default_backlog_ms() -> u64 {
    100
}

fn default_token_range() -> TokenRange {
    TokenRange { least: 16, most: 64 }
}

fn default_deadline_ms() -> u64 {
    10_000
}

//! Runs: the schedule is sent, records are gathered, measures are computed.

use std::sync::Arc;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::sheets::{ServiceEntry, ServiceKind, Sheet};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::arrivals::{PlannedRequest, schedule};
use crate::backlogs::Interval;
use crate::balancers::Balancer;
use crate::callers::{call, now_us};
use crate::errors::{Result, fetch_error};
use crate::experiments::Experiment;
use crate::fetches::{HttpClient, fetch_text, http_client};
use crate::measures::{Ground, Measures, Records, UpstreamGround, measure};
use crate::records::{CallerOutcome, CallerRecord};

/// Prefix of the routers' counters that a report shows.
const COUNTER_PREFIX: &str = "bergamotpitch_";

/// `RunReport` is everything that one run yields.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    /// Name of the experiment.
    pub name: String,
    /// Policy, or another note that tells runs apart.
    pub label: String,
    /// The measures.
    pub measures: Measures,
    /// Control bytes sent in the run, by class, per instance and second.
    pub control_bytes_per_s: HashMap<String, f64>,
    /// Calls of the key-value service in the run, per second.
    pub platform_calls_per_s: f64,
    /// Requests refused, by reason.
    pub refusals: HashMap<String, u64>,
}

/// `RunOutcome` is a report with the records behind it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RunOutcome {
    /// The report.
    pub report: RunReport,
    /// The records behind it.
    pub records: Records,
    /// What the measures need beside the records.
    pub ground: Ground,
}

/// `run` sends the load of an experiment and measures it.
///
/// # Errors
///
/// Fails when a stand-in cannot be asked for its records.
pub async fn run(experiment: Experiment, sheet: &Sheet, label: &str) -> Result<RunOutcome> {
    let client = http_client();
    let counters_before = read_counters(&client, &experiment).await;
    let calls_before = platform_calls(&client, &experiment).await?;
    let started = Instant::now();
    let started_us = now_us();
    let experiment = Arc::new(experiment);
    let callers = send_all(&client, &experiment, started).await;
    let seconds = started.elapsed().as_secs_f64();
    let counters_after = read_counters(&client, &experiment).await;
    let calls_after = platform_calls(&client, &experiment).await?;
    let records = Records {
        upstreams: fetch_records(&client, sheet, "/_records", |_| true).await?,
        runs: fetch_records(&client, sheet, "/_runs", |kind| kind == ServiceKind::Plain).await?,
        callers,
    };
    let ground = ground(&experiment, sheet, started_us);
    let report = RunReport {
        name: experiment.name.clone(),
        label: label.to_owned(),
        measures: measure(&records, &ground),
        control_bytes_per_s: rates(&counters_before, &counters_after, seconds),
        platform_calls_per_s: calls_after.saturating_sub(calls_before) as f64 / seconds,
        refusals: count_refusals(&records.callers),
    };
    Ok(RunOutcome { report, records, ground })
}

async fn send_all(
    client: &HttpClient,
    experiment: &Arc<Experiment>,
    started: Instant,
) -> Vec<CallerRecord> {
    let balancer = Balancer::of_experiment(experiment);
    let checks = balancer.spawn_checks(client, experiment);
    let mut running = JoinSet::new();
    for planned in schedule(experiment) {
        tokio::time::sleep_until(started + planned.at).await;
        let sending = call_owned(client.clone(), Arc::clone(experiment), balancer.clone(), planned);
        running.spawn(sending);
    }
    let mut records = running.join_all().await;
    drop(checks);
    records.sort_by_key(|record| record.number);
    records
}

async fn call_owned(
    client: HttpClient,
    experiment: Arc<Experiment>,
    balancer: Balancer,
    planned: PlannedRequest,
) -> CallerRecord {
    call(&client, &experiment, &balancer, &planned).await
}

async fn fetch_records<T: DeserializeOwned>(
    client: &HttpClient,
    sheet: &Sheet,
    path: &str,
    is_asked: fn(ServiceKind) -> bool,
) -> Result<Vec<T>> {
    let services = services_by_name(sheet);
    let mut records = Vec::new();
    for upstream in &sheet.upstreams {
        if !services.get(upstream.service.as_str()).is_some_and(|service| is_asked(service.kind)) {
            continue;
        }
        let text = fetch_text(client, upstream.address, path).await?;
        for line in text.lines() {
            let record = serde_json::from_str(line).map_err(|error| {
                fetch_error(upstream.address, path, format!("{error} in {line}"))
            })?;
            records.push(record);
        }
    }
    Ok(records)
}

fn services_by_name(sheet: &Sheet) -> HashMap<&str, &ServiceEntry> {
    sheet.services.iter().map(|service| (service.name.as_str(), service)).collect()
}

fn ground(experiment: &Experiment, sheet: &Sheet, started_us: u64) -> Ground {
    let services = services_by_name(sheet);
    let mut ground = Ground {
        shares: sheet.teams.iter().map(|team| (team.name.clone(), team.share)).collect(),
        upstreams: HashMap::default(),
        span: Some(Interval {
            start_us: started_us + experiment.warm_up_ms * 1_000,
            end_us: started_us + experiment.duration_ms * 1_000,
        }),
        backlog_us: experiment.backlog_ms * 1_000,
    };
    for upstream in &sheet.upstreams {
        let Some(service) = services.get(upstream.service.as_str()) else { continue };
        let entry = UpstreamGround { service: service.name.clone(), slots: upstream.slots };
        ground.upstreams.insert(upstream.name.clone(), entry);
    }
    ground
}

/// `PlatformCalls` is the part of the stand-in platform's counts that make up its load.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
struct PlatformCalls {
    reads: u64,
    watches: u64,
    lists: u64,
    writes: u64,
    sessions: u64,
}

async fn platform_calls(client: &HttpClient, experiment: &Experiment) -> Result<u64> {
    let text = fetch_text(client, experiment.platform_address, "/_calls").await?;
    let counts: PlatformCalls = serde_json::from_str(&text)
        .map_err(|error| fetch_error(experiment.platform_address, "/_calls", error))?;
    Ok(counts.reads + counts.watches + counts.lists + counts.writes + counts.sessions)
}

/// `CounterTable` holds each router's counters of control bytes, by class.
type CounterTable = Vec<HashMap<String, f64>>;

/// `read_counters` reads the counters of every router; one that does not answer has none.
async fn read_counters(client: &HttpClient, experiment: &Experiment) -> CounterTable {
    let mut table = CounterTable::new();
    for router in &experiment.routers {
        let text =
            fetch_text(client, router.operator_address, "/metrics").await.unwrap_or_else(|error| {
                log::warn!("control bytes of {} are left out: {error}", router.name);
                String::new()
            });
        table.push(text.lines().filter_map(control_bytes).collect());
    }
    table
}

/// `control_bytes` reads one line of Prometheus text when it counts control bytes sent.
fn control_bytes(line: &str) -> Option<(String, f64)> {
    let rest = line.strip_prefix(COUNTER_PREFIX)?.strip_prefix("control_sent_bytes")?;
    let (labels, value) = rest.rsplit_once(' ')?;
    let class = labels.split("class=\"").nth(1)?.split('"').next()?;
    Some((class.to_owned(), value.parse().ok()?))
}

/// `rates` returns the control bytes of an instance and second, by class.
fn rates(before: &CounterTable, after: &CounterTable, seconds: f64) -> HashMap<String, f64> {
    let instances = after.len().max(1) as f64;
    let mut rates: HashMap<String, f64> = HashMap::default();
    for (before, after) in before.iter().zip(after) {
        for (class, value) in after {
            let earlier = before.get(class).copied().unwrap_or(0.0);
            // A router that was restarted counts from 0 again.
            let sent = if earlier <= *value { value - earlier } else { *value };
            *rates.entry(class.clone()).or_default() += sent / seconds / instances;
        }
    }
    rates
}

fn count_refusals(callers: &[CallerRecord]) -> HashMap<String, u64> {
    let mut refusals: HashMap<String, u64> = HashMap::default();
    for record in callers {
        if let CallerOutcome::Refused { reason, ran } = record.outcome {
            *refusals.entry(format!("{reason} ({ran})")).or_default() += 1;
        }
    }
    refusals
}

//! Overhead: what a call costs through a router, against the same call to its upstream directly.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use tokio::task::JoinSet;

use crate::errors::{Result, fetch_error, file_error};
use crate::fetches::{HttpClient, http_client};
use crate::measures::percentile;

/// Clock ticks of processor time in a second, as Linux counts them in `/proc`.
const TICKS_PER_S: f64 = 100.0;

/// `OverheadOptions` say what is compared.
#[derive(Debug, Clone)]
pub struct OverheadOptions {
    /// Caller port of the router.
    pub router: SocketAddr,
    /// The upstream itself.
    pub upstream: SocketAddr,
    /// Name of the service that the upstream runs.
    pub service: String,
    /// Bearer key of a team.
    pub key: String,
    /// Process id of the router, for its processor time.
    pub router_pid: u32,
    /// Calls under way at once.
    pub callers: usize,
    /// Time for which each side is called.
    pub duration: Duration,
}

/// `Side` is what was measured of one side.
#[derive(Debug, Clone, Default)]
pub struct Side {
    /// Calls answered.
    pub calls: u64,
    /// Calls that failed or were refused.
    pub failed_calls: u64,
    /// Calls a second.
    pub calls_per_s: f64,
    /// Median time of a call, in microseconds.
    pub p50_us: u64,
    /// Time below which 99 in 100 calls stay, in microseconds.
    pub p99_us: u64,
}

/// `Overhead` is what a router adds.
#[derive(Debug, Clone, Default)]
pub struct Overhead {
    /// Calls to the upstream itself.
    pub direct: Side,
    /// The same calls through the router.
    pub routed: Side,
    /// Processor time of the router, in seconds a second.
    pub router_cores: f64,
}

impl fmt::Display for Overhead {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, side) in [("direct", &self.direct), ("routed", &self.routed)] {
            writeln!(
                formatter,
                "{name}: {:.0} calls/s, p50 {} us, p99 {} us, {} failed",
                side.calls_per_s, side.p50_us, side.p99_us, side.failed_calls
            )?;
        }
        let added = |routed: u64, direct: u64| routed as i64 - direct as i64;
        writeln!(
            formatter,
            "added: p50 {} us, p99 {} us",
            added(self.routed.p50_us, self.direct.p50_us),
            added(self.routed.p99_us, self.direct.p99_us)
        )?;
        let per_core = self.routed.calls_per_s / self.router_cores.max(0.01);
        writeln!(formatter, "router: {:.2} cores, {per_core:.0} calls/s a core", self.router_cores)
    }
}

/// `measure_overhead` calls both sides, one after the other.
///
/// # Errors
///
/// Fails when the router's process cannot be found or no call is answered.
pub async fn measure_overhead(options: &OverheadOptions) -> Result<Overhead> {
    let client = http_client();
    let direct_url = format!("http://{}/orders", options.upstream);
    let routed_url = format!("http://{}/{}/orders", options.router, options.service);
    // A first second that does not count opens connections and warms both sides.
    call_side(&client, options, &routed_url, Duration::from_secs(1)).await;
    let direct = call_side(&client, options, &direct_url, options.duration).await;
    let before = processor_seconds(options.router_pid)?;
    let started = Instant::now();
    let routed = call_side(&client, options, &routed_url, options.duration).await;
    let router_cores =
        (processor_seconds(options.router_pid)? - before) / started.elapsed().as_secs_f64();
    if direct.calls == 0 || routed.calls == 0 {
        return Err(fetch_error(options.router, "/orders", "no call was answered"));
    }
    Ok(Overhead { direct, routed, router_cores })
}

async fn call_side(
    client: &HttpClient,
    options: &OverheadOptions,
    url: &str,
    duration: Duration,
) -> Side {
    let mut callers = JoinSet::new();
    let started = Instant::now();
    for _ in 0..options.callers {
        let (client, key, url) = (client.clone(), options.key.clone(), url.to_owned());
        callers.spawn(async move { call_until(&client, &key, &url, started + duration).await });
    }
    let mut side = Side::default();
    let mut times_us = Vec::new();
    for (times, failed) in callers.join_all().await {
        times_us.extend(times);
        side.failed_calls += failed;
    }
    times_us.sort_unstable();
    side.calls = times_us.len() as u64;
    side.calls_per_s = side.calls as f64 / started.elapsed().as_secs_f64();
    side.p50_us = percentile(&times_us, 50);
    side.p99_us = percentile(&times_us, 99);
    side
}

async fn call_until(client: &HttpClient, key: &str, url: &str, end: Instant) -> (Vec<u64>, u64) {
    let mut times_us = Vec::new();
    let mut failed = 0;
    while Instant::now() < end {
        let started = Instant::now();
        if call_once(client, key, url).await {
            times_us.push(started.elapsed().as_micros() as u64);
        } else {
            failed += 1;
        }
    }
    (times_us, failed)
}

async fn call_once(client: &HttpClient, key: &str, url: &str) -> bool {
    let request = Request::get(url)
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
        .body(Full::<Bytes>::default());
    let Ok(request) = request else { return false };
    let Ok(response) = client.request(request).await else { return false };
    let is_success = response.status().is_success();
    response.into_body().collect().await.is_ok() && is_success
}

/// `processor_seconds` reads the processor time that a process has used, from `/proc`.
fn processor_seconds(pid: u32) -> Result<f64> {
    let file = format!("/proc/{pid}/stat");
    let text = std::fs::read_to_string(&file).map_err(|error| file_error(&file, error))?;
    // The name of the process stands in parentheses and may hold spaces; the fields come after it.
    let fields = text.rsplit_once(") ").map_or("", |(_, fields)| fields);
    let ticks: f64 =
        fields.split(' ').skip(11).take(2).filter_map(|field| field.parse::<f64>().ok()).sum();
    Ok(ticks / TICKS_PER_S)
}

//! Loads: the load reports of upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::Input;
use bergamotpitch_control::inputs::LoadReport;
use bergamotpitch_core::ids::UpstreamId;
use bergamotpitch_core::settings::Policy;
use bytes::Bytes;
use futures::StreamExt;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use serde::Deserialize;
use tokio::task::JoinSet;

use crate::contexts::Context;

/// Time between two reports of one upstream.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time that each upstream adds to the time between two reports: 40 polls a second at most.
const TIME_PER_UPSTREAM: Duration = Duration::from_millis(25);

/// Time for a report to come.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Reports that are asked for at once.
const CONCURRENT_POLLS: usize = 16;

/// Largest report, in bytes.
const REPORT_LIMIT_BYTES: usize = 16 << 10;

/// `spawn` starts asking the upstreams of this failure domain for their load.
pub fn spawn(context: &Arc<Context>, tasks: &mut JoinSet<()>) {
    tasks.spawn(poll_all(Arc::clone(context)));
}

async fn poll_all(context: Arc<Context>) {
    loop {
        let upstreams = polled_upstreams(&context);
        let pause = poll_pause(upstreams.len());
        tokio::time::sleep(pause).await;
        futures::stream::iter(upstreams)
            .for_each_concurrent(CONCURRENT_POLLS, |(upstream, address)| {
                poll(&context, upstream, address)
            })
            .await;
    }
}

/// `poll_pause` is the time between two rounds of asking a number of upstreams; it grows with them, so
/// that asking costs the same.
pub fn poll_pause(upstreams: usize) -> Duration {
    POLL_INTERVAL.max(TIME_PER_UPSTREAM * upstreams as u32)
}

/// `polled_upstreams` are the upstreams that this instance asks: those of the services whose home it
/// is, which alone needs their reports, or all of the domain's when a baseline policy is in force.
/// Were all asked by every instance, the polls would grow with instances times upstreams.
fn polled_upstreams(context: &Context) -> Vec<(UpstreamId, SocketAddr)> {
    let snapshot = context.snapshot.load();
    let duties = context.duties.load();
    // Whoever orders models must know which are loaded.
    let asks_all = context.settings.policy != Policy::Fair || *context.leading.borrow();
    snapshot
        .upstreams_of_domain(&context.settings.domain)
        .filter(|(_, upstream)| asks_all || duties.contains(&upstream.service))
        .map(|(id, upstream)| (id, upstream.address))
        .collect()
}

async fn poll(context: &Context, upstream: UpstreamId, address: SocketAddr) {
    match tokio::time::timeout(POLL_TIMEOUT, read_report(context, address)).await {
        Ok(Some(body)) => {
            context.note_model(upstream, body.model);
            let report = LoadReport {
                running_requests: body.running_requests,
                waiting_requests: body.waiting_requests,
                leaving: body.leaving,
            };
            context.observe(Input::LoadReported { upstream, report }).await;
        }
        Ok(None) | Err(_) => log::debug!("{address} did not report its load"),
    }
}

#[derive(Deserialize)]
struct ReportBody {
    #[serde(default)]
    running_requests: u32,
    #[serde(default)]
    waiting_requests: u32,
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    model: String,
}

async fn read_report(context: &Context, address: SocketAddr) -> Option<ReportBody> {
    let request =
        Request::get(format!("http://{address}/load")).body(Full::new(Bytes::new())).ok()?;
    let response = context.client.request(request).await.ok()?;
    let body = Limited::new(response.into_body(), REPORT_LIMIT_BYTES).collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}

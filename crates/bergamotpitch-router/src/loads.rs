//! Loads: the load reports of upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::Input;
use bergamotpitch_control::inputs::LoadReport;
use bergamotpitch_core::ids::UpstreamId;
use bytes::Bytes;
use futures::StreamExt;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use serde::Deserialize;
use tokio::task::JoinSet;

use crate::contexts::Context;

/// Time between two reports of one upstream.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Reports that an instance asks for each second at the most.
const POLLS_PER_SECOND: u32 = 200;

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
        let begun = tokio::time::Instant::now();
        let upstreams = context.snapshot.load().upstreams_of_domain(&context.settings.domain);
        let pause = poll_pause(upstreams.len());
        futures::stream::iter(upstreams)
            .for_each_concurrent(CONCURRENT_POLLS, |(upstream, address)| {
                poll(&context, upstream, address)
            })
            .await;
        tokio::time::sleep_until(begun + pause).await;
    }
}

/// `poll_pause` is the time between two rounds of asking a number of upstreams.
///
/// Each instance asks each upstream of its domain. At a fixed interval, hundreds of upstreams would
/// take much of a core of every instance, and dozens of instances would keep every upstream busy
/// answering.
pub fn poll_pause(upstreams: usize) -> Duration {
    POLL_INTERVAL.max(Duration::from_secs(upstreams as u64) / POLLS_PER_SECOND)
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

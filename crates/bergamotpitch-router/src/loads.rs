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
    let mut interval = tokio::time::interval(POLL_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let upstreams = context.snapshot.load().upstreams_of_domain(&context.settings.domain);
        futures::stream::iter(upstreams)
            .for_each_concurrent(CONCURRENT_POLLS, |(upstream, address)| {
                poll(&context, upstream, address)
            })
            .await;
    }
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

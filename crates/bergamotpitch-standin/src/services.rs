//! The stand-in plain service, which records each run of a call.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http::request::Parts;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::{Semaphore, mpsc};

use crate::answers::short_hash;
use crate::bodies::{Answer, header_text, json_answer, json_lines_answer, read_whole, text_answer};
use crate::clocks::wall_clock_us;
use crate::engines::LoadReport;
use crate::errors::{Result, unwritable_error};
use crate::locks::lock;
use crate::records::{Outcome, Record, Run};
use crate::servers::serve;
use crate::upstreams::{
    IDEMPOTENCY_KEY, REQUEST_ID, Shared, TEAM, Upstream, add_record, answer_admin, begin_record,
    broken, is_leaving, mark_leaving, meet_faults, new_shared,
};

/// `ServiceOptions` describe a stand-in plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceOptions {
    /// Name of the upstream.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain that it stands in.
    #[serde(default)]
    pub domain: String,
    /// Calls that run at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Time that a call takes, in milliseconds.
    #[serde(default = "default_call_ms")]
    pub call_ms: u64,
    /// Cost units of a call, for records.
    #[serde(default = "default_call_cost")]
    pub call_cost: u64,
    /// File that each run is appended to as a JSON line before the call is answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run_file: Option<String>,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            name: "service".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            domain: String::new(),
            slots: default_slots(),
            call_ms: default_call_ms(),
            call_cost: default_call_cost(),
            run_file: None,
        }
    }
}

/// `CallAnswer` is the answer of the stand-in service to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallAnswer {
    /// Name of the upstream.
    pub upstream: String,
    /// The run that the answer belongs to, as the call was received.
    pub run: Run,
}

#[derive(Debug)]
struct Service {
    options: ServiceOptions,
    shared: Arc<Shared>,
    slots: Semaphore,
    waiting: AtomicU32,
    runs: Mutex<Vec<Run>>,
    run_file: Option<Mutex<File>>,
}

/// `start_service` starts a stand-in plain service.
///
/// # Errors
///
/// The address cannot be listened on, or the file of runs cannot be written.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// use bergamotpitch_standin::services::{ServiceOptions, start_service};
/// let service = start_service(ServiceOptions::default()).await.unwrap();
/// service.close().await;
/// # });
/// ```
pub async fn start_service(options: ServiceOptions) -> Result<Upstream> {
    let (crashes, crash_orders) = mpsc::unbounded_channel();
    let shared = Arc::new(new_shared(&options.name, &options.domain, crashes));
    let run_file = options.run_file.as_deref().map(open_run_file).transpose()?;
    let service = Arc::new(Service {
        shared: Arc::clone(&shared),
        slots: Semaphore::new(options.slots as usize),
        waiting: AtomicU32::new(0),
        runs: Mutex::default(),
        run_file: run_file.map(Mutex::new),
        options,
    });
    let name = service.options.name.clone();
    let address = service.options.address;
    let handler = Arc::new(move |request| answer(Arc::clone(&service), request).boxed());
    let server = serve(address, handler, crash_orders).await?;
    Ok(Upstream { name, address: server.address, shared, server, worker: None })
}

fn open_run_file(file: &str) -> Result<File> {
    let opened = OpenOptions::new().create(true).append(true).open(file);
    opened.map_err(|reason| unwritable_error(file, reason))
}

async fn answer(service: Arc<Service>, request: Request<Incoming>) -> Answer {
    let (parts, body) = read_whole(request).await?;
    let path = parts.uri.path();
    match (&parts.method, path) {
        (&Method::GET, "/load") => Ok(answer_load(&service)),
        (&Method::GET, "/_runs") => Ok(json_lines_answer(&lock(&service.runs))),
        (method, path) if path.starts_with("/_") => {
            Ok(answer_admin(&service.shared, method, path, &body))
        }
        _ => answer_call(&service, &parts, &body).await,
    }
}

async fn answer_call(service: &Service, parts: &Parts, body: &Bytes) -> Answer {
    let record = begin_record(&service.shared, parts);
    let faults = match meet_faults(&service.shared, &record).await {
        Ok(faults) => faults,
        Err(answer) => return answer,
    };
    let waits = Waits::begin(&service.waiting);
    let Ok(_slot) = service.slots.acquire().await else { return broken() };
    drop(waits);
    let started_us = wall_clock_us();
    let mut open =
        OpenRecord { service, record: Record { started_us: Some(started_us), ..record } };
    let run = run_of(service, parts, body, started_us);
    if !note_run(service, &run) {
        return Ok(text_answer(StatusCode::INTERNAL_SERVER_ERROR, "the run cannot be recorded"));
    }
    tokio::time::sleep(Duration::from_millis(service.options.call_ms)).await;
    if faults.crash_before_answer || faults.break_after_tokens.is_some() {
        open.record.outcome = Outcome::Broken;
        return broken();
    }
    open.record.outcome = Outcome::Answered;
    let document = CallAnswer { upstream: service.options.name.clone(), run };
    let mut response = json_answer(StatusCode::OK, &document);
    mark_leaving(&service.shared, &mut response);
    Ok(response)
}

fn run_of(service: &Service, parts: &Parts, body: &Bytes, time_us: u64) -> Run {
    Run {
        upstream: service.options.name.clone(),
        request: header_text(parts, REQUEST_ID),
        idempotency_key: header_text(parts, IDEMPOTENCY_KEY),
        team: header_text(parts, TEAM),
        method: parts.method.to_string(),
        path: parts.uri.path_and_query().map_or_else(String::new, ToString::to_string),
        body_hash: short_hash(body),
        time_us,
    }
}

fn note_run(service: &Service, run: &Run) -> bool {
    lock(&service.runs).push(run.clone());
    let Some(file) = &service.run_file else { return true };
    let mut line = serde_json::to_vec(run).unwrap_or_default();
    line.push(b'\n');
    lock(file).write_all(&line).is_ok()
}

fn answer_load(service: &Service) -> http::Response<crate::bodies::Body> {
    let slots = service.options.slots;
    let report = LoadReport {
        running_requests: slots.saturating_sub(service.slots.available_permits() as u32),
        waiting_requests: service.waiting.load(Ordering::Relaxed),
        slots,
        leaving: is_leaving(&service.shared),
        model: String::new(),
    };
    let mut response = json_answer(StatusCode::OK, &report);
    mark_leaving(&service.shared, &mut response);
    response
}

/// `OpenRecord` is closed when the call ends, also when its caller leaves and it is dropped.
struct OpenRecord<'a> {
    service: &'a Service,
    record: Record,
}

impl Drop for OpenRecord<'_> {
    fn drop(&mut self) {
        let ended_us = wall_clock_us();
        let started_us = self.record.started_us.unwrap_or(ended_us);
        let record = Record {
            ended_us,
            cost: self.service.options.call_cost,
            slot_us: ended_us.saturating_sub(started_us),
            ..self.record.clone()
        };
        add_record(&self.service.shared, record);
    }
}

/// `Waits` counts a call that waits for a slot, until it is dropped.
struct Waits<'a>(&'a AtomicU32);

impl<'a> Waits<'a> {
    fn begin(waiting: &'a AtomicU32) -> Self {
        waiting.fetch_add(1, Ordering::Relaxed);
        Self(waiting)
    }
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn default_slots() -> u32 {
    8
}

fn default_call_ms() -> u64 {
    5
}

fn default_call_cost() -> u64 {
    1
}

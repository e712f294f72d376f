//! The stand-in engine: continuous batching, streams, a prefix cache and lagged reports.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::FutureExt;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use crate::batches::{Batch, BatchOptions, Ended, Sequence, begin_step, end_step, new_batch};
use crate::bodies::{Answer, Body, json_answer, json_lines_answer, read_whole, text_answer};
use crate::caches::{CacheEvents, CacheOptions, publish_changes, visible_events};
use crate::chats;
use crate::clocks::wall_clock_us;
use crate::errors::Result;
use crate::lags::{Lagged, publish, read};
use crate::locks::lock;
use crate::orders::{Order, OrderBook, take_order};
use crate::records::Record;
use crate::servers::serve;
use crate::upstreams::{
    Shared, Upstream, add_record, answer_admin, is_leaving, mark_leaving, new_shared,
};

/// `EngineOptions` describe a stand-in engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineOptions {
    /// Name of the upstream.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain that it stands in.
    #[serde(default)]
    pub domain: String,
    /// Speeds and sizes.
    #[serde(default)]
    pub batch: BatchOptions,
    /// Cost units of one prompt token, for records.
    #[serde(default = "one")]
    pub prompt_token_cost: u64,
    /// Cost units of one generated token, for records.
    #[serde(default = "four")]
    pub generated_token_cost: u64,
    /// Age of the load that it reports, in milliseconds.
    #[serde(default)]
    pub load_lag_ms: u64,
    /// How it publishes changes of its prefix cache.
    #[serde(default)]
    pub cache: CacheOptions,
    /// True when it refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Model that it has loaded at the start.
    #[serde(default)]
    pub model: String,
    /// Time that it takes to load a model, in milliseconds; nothing runs meanwhile.
    #[serde(default)]
    pub model_load_ms: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            name: "engine".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            domain: String::new(),
            batch: BatchOptions::default(),
            prompt_token_cost: one(),
            generated_token_cost: four(),
            load_lag_ms: 0,
            cache: CacheOptions::default(),
            checks_fencing: false,
            model: String::new(),
            model_load_ms: 0,
        }
    }
}

/// `LoadReport` is what an upstream says of its load.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that hold a slot.
    pub running_requests: u32,
    /// Requests that wait inside the upstream.
    pub waiting_requests: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// True when it is leaving.
    pub leaving: bool,
    /// Model that it has loaded; empty at a plain service.
    pub model: String,
}

/// `Engine` is the state of a stand-in engine.
#[derive(Debug)]
pub struct Engine {
    /// What it was made from.
    pub options: EngineOptions,
    /// What every upstream has.
    pub shared: Arc<Shared>,
    /// Sequences that run and wait.
    pub batch: Mutex<Batch>,
    /// Records of the sequences in the batch, by their number.
    pub open_records: Mutex<bergamotpitch_core::HashMap<u64, Record>>,
    /// Number of the next sequence.
    pub next_number: AtomicU64,
    /// Wakes the worker when a sequence came.
    pub arrived: Notify,
    /// Model that is loaded.
    pub model: Mutex<String>,
    load: Mutex<Lagged<LoadReport>>,
    cache_events: Mutex<CacheEvents>,
    orders: Mutex<OrderBook>,
    loading: Mutex<Option<Loading>>,
}

/// `Loading` is a model that is being loaded.
#[derive(Debug, Clone)]
struct Loading {
    model: String,
    until: Instant,
}

/// `start_engine` starts a stand-in engine.
///
/// # Errors
///
/// The address cannot be listened on.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// use bergamotpitch_standin::engines::{EngineOptions, start_engine};
/// let engine = start_engine(EngineOptions::default()).await.unwrap();
/// assert_ne!(engine.address.port(), 0);
/// engine.close().await;
/// # });
/// ```
pub async fn start_engine(options: EngineOptions) -> Result<Upstream> {
    let (crashes, crash_orders) = mpsc::unbounded_channel();
    let shared = Arc::new(new_shared(&options.name, &options.domain, crashes));
    let engine = Arc::new(new_engine(options, Arc::clone(&shared)));
    let handled = Arc::clone(&engine);
    let handler = Arc::new(move |request| answer(Arc::clone(&handled), request).boxed());
    let server = serve(engine.options.address, handler, crash_orders).await?;
    let name = engine.options.name.clone();
    let worker = tokio::spawn(work(engine));
    Ok(Upstream { name, address: server.address, shared, server, worker: Some(worker) })
}

fn new_engine(options: EngineOptions, shared: Arc<Shared>) -> Engine {
    let orders = OrderBook { checks_fencing: options.checks_fencing, ..OrderBook::default() };
    Engine {
        shared,
        batch: Mutex::new(new_batch(options.batch.clone())),
        open_records: Mutex::default(),
        next_number: AtomicU64::new(0),
        arrived: Notify::new(),
        load: Mutex::default(),
        cache_events: Mutex::default(),
        orders: Mutex::new(orders),
        model: Mutex::new(options.model.clone()),
        loading: Mutex::default(),
        options,
    }
}

async fn work(engine: Arc<Engine>) {
    loop {
        finish_loading(&engine).await;
        let step = begin_step(&mut lock(&engine.batch), wall_clock_us());
        report_load(&engine);
        if step.is_zero() {
            engine.arrived.notified().await;
            continue;
        }
        tokio::time::sleep(step).await;
        let now_us = wall_clock_us();
        let ended = end_step(&mut lock(&engine.batch), now_us);
        close_records(&engine, ended, now_us);
        publish_cache_changes(&engine);
    }
}

/// Nothing runs while a model is loaded; a later order replaces an earlier one that is under way.
async fn finish_loading(engine: &Engine) {
    while let Some(until) = take_loaded(engine) {
        tokio::time::sleep_until(until).await;
    }
}

/// `take_loaded` takes over a model that has been loaded, or returns when the one under way will be.
fn take_loaded(engine: &Engine) -> Option<Instant> {
    let mut loading = lock(&engine.loading);
    let Loading { model, until } = loading.clone()?;
    if Instant::now() < until {
        return Some(until);
    }
    *lock(&engine.model) = model;
    *loading = None;
    None
}

fn close_records(engine: &Engine, ended: Vec<Ended>, now_us: u64) {
    for Ended { sequence, outcome } in ended {
        let Some(open) = lock(&engine.open_records).remove(&sequence.number) else { continue };
        let generated_tokens = sequence.last_token - sequence.resumed_after;
        let prompt_tokens = processed_prompt_tokens(&sequence);
        let record = Record {
            started_us: sequence.started_us,
            first_token_us: sequence.first_token_us,
            ended_us: now_us,
            prompt_tokens,
            cached_tokens: sequence.cached_tokens,
            generated_tokens,
            cost: u64::from(prompt_tokens) * engine.options.prompt_token_cost
                + u64::from(generated_tokens) * engine.options.generated_token_cost,
            slot_us: sequence.started_us.map_or(0, |started| now_us.saturating_sub(started)),
            outcome,
            ..open
        };
        add_record(&engine.shared, record);
    }
}

/// Tokens of the prompt that are paid for: those of the cache as well, none of what was not begun.
fn processed_prompt_tokens(sequence: &Sequence) -> u32 {
    if sequence.started_us.is_none() {
        return 0;
    }
    sequence.prompt_tokens.saturating_sub(sequence.prompt_left_tokens)
}

fn report_load(engine: &Engine) {
    let report = {
        let batch = lock(&engine.batch);
        LoadReport {
            running_requests: batch.running.len() as u32,
            waiting_requests: batch.waiting.len() as u32,
            slots: engine.options.batch.slots,
            leaving: false,
            model: lock(&engine.model).clone(),
        }
    };
    let lag = Duration::from_millis(engine.options.load_lag_ms);
    publish(&mut lock(&engine.load), Instant::now(), lag, report);
}

fn publish_cache_changes(engine: &Engine) {
    let changes = std::mem::take(&mut lock(&engine.batch).cache_changes);
    let mut events = lock(&engine.cache_events);
    publish_changes(&mut events, &engine.options.cache, &changes, Instant::now());
}

async fn answer(engine: Arc<Engine>, request: Request<Incoming>) -> Answer {
    let (parts, body) = read_whole(request).await?;
    let path = parts.uri.path().to_owned();
    match (&parts.method, path.as_str()) {
        (&Method::GET, "/load") => Ok(answer_load(&engine)),
        (&Method::GET, "/cache_events") => {
            let query = parts.uri.query().unwrap_or("");
            let events = visible_events(
                &lock(&engine.cache_events),
                &engine.options.cache,
                query,
                Instant::now(),
            );
            Ok(json_lines_answer(&events))
        }
        (&Method::POST, "/orders") => Ok(answer_order(&engine, &body)),
        (&Method::GET, "/_orders") => Ok(json_lines_answer(&lock(&engine.orders).records)),
        (&Method::POST, "/v1/chat/completions") => chats::answer_chat(engine, parts, &body).await,
        (method, path) => Ok(answer_admin(&engine.shared, method, path, &body)),
    }
}

fn answer_load(engine: &Engine) -> Response<Body> {
    let lag = Duration::from_millis(engine.options.load_lag_ms);
    let slots = engine.options.batch.slots;
    let report = read(&lock(&engine.load), Instant::now(), lag).cloned();
    let report = report.unwrap_or(LoadReport { slots, ..LoadReport::default() });
    let report = LoadReport { leaving: is_leaving(&engine.shared), ..report };
    let mut response = json_answer(StatusCode::OK, &report);
    mark_leaving(&engine.shared, &mut response);
    response
}

fn answer_order(engine: &Engine, body: &[u8]) -> Response<Body> {
    let order: Order = match serde_json::from_slice(body) {
        Ok(order) => order,
        Err(error) => return text_answer(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let accepted =
        take_order(&mut lock(&engine.orders), &engine.options.name, &order, wall_clock_us());
    if !accepted {
        return text_answer(StatusCode::CONFLICT, "the fencing number is old");
    }
    if *lock(&engine.model) != order.model {
        let until = Instant::now() + Duration::from_millis(engine.options.model_load_ms);
        *lock(&engine.loading) = Some(Loading { model: order.model, until });
        // An idle engine has to begin as well, and to report its model afterwards.
        engine.arrived.notify_one();
    }
    text_answer(StatusCode::OK, "loaded")
}

fn one() -> u64 {
    1
}

fn four() -> u64 {
    4
}

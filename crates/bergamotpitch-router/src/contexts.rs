//! Contexts: what all threads of a router share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::{ArcSwap, ArcSwapOption};
use bergamotpitch_control::Input;
use bergamotpitch_control::idempotency::claim_queues::ClaimOptions;
use bergamotpitch_control::inputs::Arrival;
use bergamotpitch_control::outputs::{Event, Refusal};
use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{
    DomainId, Incarnation, InstanceId, RequestId, ServiceId, UpstreamId, id_of_name,
};
use bergamotpitch_core::settings::RouterSettings;
use bergamotpitch_core::sheets::AcceptedSheet;
use bergamotpitch_core::units::Timestamp;
use bergamotpitch_platform::Platform;
use bergamotpitch_platform::claims::ClaimWriter;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{Semaphore, mpsc, oneshot, watch};

use crate::events::EventSender;
use crate::links::Links;
use crate::metrics::Metrics;
use crate::options::Options;
use crate::snapshots::Snapshot;
use crate::statuses::{Explanation, Status};
use crate::transports::UpstreamClient;

/// Unit in which held bytes are counted.
pub const HELD_UNIT_BYTES: usize = 1 << 10;

/// `ControlInput` is one thing that the control thread is told.
#[derive(Debug)]
pub enum ControlInput {
    /// A request is to be queued.
    Arrived {
        /// What the control state knows of it.
        arrival: Arrival,
        /// Where its decisions go.
        decisions: mpsc::Sender<Decision>,
    },
    /// Anything else that happened.
    Observed(Input),
    /// A traffic thread has an event to write.
    Noted(Event),
    /// An operator asks for the state.
    AskStatus(oneshot::Sender<Status>),
    /// An operator asks what became of a request.
    AskExplanation(RequestId, oneshot::Sender<Explanation>),
    /// The process stops.
    Close,
}

/// `Decision` is what the control thread decides on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it to the upstream.
    Dispatch {
        /// The upstream.
        upstream: UpstreamId,
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// Refuse it.
    Refuse(Refusal),
}

/// `Context` is what all threads of one router share.
pub struct Context {
    /// Settings of the process.
    pub settings: RouterSettings,
    /// Times and bounds.
    pub options: Options,
    /// This instance.
    pub instance: InstanceId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Failure domain that it stands in.
    pub domain: DomainId,
    /// Sheet in force, as peers fetch it.
    pub accepted: ArcSwapOption<AcceptedSheet>,
    /// Sheet in force, indexed.
    pub snapshot: ArcSwap<Snapshot>,
    /// Way to the control thread.
    pub controls: mpsc::Sender<ControlInput>,
    /// Requests that may still be taken in.
    pub free_calls: Arc<Semaphore>,
    /// Units of [`HELD_UNIT_BYTES`] that bodies may still take.
    pub free_bytes: Arc<Semaphore>,
    /// Client of the upstreams.
    pub client: UpstreamClient,
    /// Way to the event file.
    pub events: EventSender,
    /// Services whose home this instance is; set by the control thread.
    pub duties: ArcSwap<Vec<ServiceId>>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Client of the platform.
    pub platform: Platform,
    /// Claims on idempotency keys.
    pub claims: ClaimWriter,
    /// Failure domains of the other instances' addresses.
    pub links: Links,
    /// True once the last request of a drain has ended; set by the control thread.
    pub drained: watch::Sender<bool>,
    /// True while this instance has to watch the platform; set by the control thread.
    pub watching: watch::Sender<bool>,
    /// True while this instance should hold the lease for orders; set by the control thread.
    pub leading: watch::Sender<bool>,
    /// Models that upstreams last reported.
    reported_models: Mutex<HashMap<UpstreamId, String>>,
    started: Instant,
    next_request: AtomicU64,
    draining: AtomicBool,
}

impl Context {
    /// `of_settings` makes the context of a process that starts now, within a tokio runtime.
    pub fn of_settings(
        settings: RouterSettings,
        options: Options,
        controls: mpsc::Sender<ControlInput>,
        events: EventSender,
        metrics: Metrics,
    ) -> Self {
        let platform_options = bergamotpitch_platform::Options {
            address: settings.platform_address,
            ..bergamotpitch_platform::Options::default()
        };
        let platform = Platform::new(platform_options);
        let claim_options = ClaimOptions { seed: unix_time_us(), ..ClaimOptions::default() };
        Self {
            claims: ClaimWriter::start(platform.clone(), claim_options),
            platform,
            instance: id_of_name(&settings.instance),
            incarnation: unix_time_us(),
            domain: id_of_name(&settings.domain),
            accepted: ArcSwapOption::empty(),
            duties: ArcSwap::default(),
            snapshot: ArcSwap::from_pointee(Snapshot::default()),
            controls,
            free_calls: Arc::new(Semaphore::new(options.call_limit_requests)),
            free_bytes: Arc::new(Semaphore::new(options.held_limit_bytes / HELD_UNIT_BYTES)),
            client: crate::transports::client(&options),
            events,
            metrics,
            links: Links::default(),
            drained: watch::Sender::new(false),
            watching: watch::Sender::new(true),
            leading: watch::Sender::new(false),
            reported_models: Mutex::default(),
            started: Instant::now(),
            next_request: AtomicU64::new(1),
            draining: AtomicBool::new(false),
            settings,
            options,
        }
    }

    /// `now` is the monotonic time since the process started.
    pub fn now(&self) -> Timestamp {
        self.started.elapsed()
    }

    /// `held_bytes` is how many bytes of bodies are held.
    pub fn held_bytes(&self) -> u64 {
        let free_bytes = self.free_bytes.available_permits() * HELD_UNIT_BYTES;
        self.options.held_limit_bytes.saturating_sub(free_bytes) as u64
    }

    /// `until` is the time left until a timestamp.
    pub fn until(&self, timestamp: Timestamp) -> Duration {
        timestamp.saturating_sub(self.now())
    }

    /// `fresh_request` numbers a new request.
    pub fn fresh_request(&self) -> RequestId {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// `request_name` is a request's id as callers and upstreams see it: instance, life, number.
    pub fn request_name(&self, request: RequestId) -> String {
        request_name(&self.settings.instance, self.incarnation, request)
    }

    /// `note_model` notes the model that an upstream reports.
    pub fn note_model(&self, upstream: UpstreamId, model: String) {
        let mut models = self.reported_models.lock().unwrap_or_else(PoisonError::into_inner);
        models.insert(upstream, model);
    }

    /// `reported_model` is the model that an upstream last reported; none before its first report.
    pub fn reported_model(&self, upstream: UpstreamId) -> Option<String> {
        let models = self.reported_models.lock().unwrap_or_else(PoisonError::into_inner);
        models.get(&upstream).cloned()
    }

    /// `is_draining` tells whether this instance is leaving.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// `is_ready` tells whether the balancer should send requests here.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.snapshot.load().version != 0
    }

    /// `begin_drain` stops being ready and tells the control thread.
    pub async fn begin_drain(&self) {
        if self.draining.swap(true, Ordering::AcqRel) {
            return;
        }
        self.observe(Input::DrainBegun).await;
    }

    /// `observe` tells the control thread what happened, waiting for room.
    pub async fn observe(&self, input: Input) {
        // The channel closes when the process stops; nothing is left to be told then.
        let _ = self.controls.send(ControlInput::Observed(input)).await;
    }

    /// `hint` tells the control thread something that it can do without.
    pub fn hint(&self, input: Input) {
        let _ = self.controls.try_send(ControlInput::Observed(input));
    }

    /// `note` has an event of a traffic thread written, and kept to explain its request.
    pub fn note(&self, event: Event) {
        if let Err(error) = self.controls.try_send(ControlInput::Noted(event)) {
            let (TrySendError::Full(input) | TrySendError::Closed(input)) = error;
            if let ControlInput::Noted(event) = input {
                self.emit(event);
            }
        }
    }

    /// `emit` writes an event.
    pub fn emit(&self, event: Event) {
        self.metrics.count_event(&event);
        self.events.emit(event);
    }
}

/// `request_name` is a request's id as callers and upstreams see it.
///
/// ```
/// use bergamotpitch_router::contexts::request_name;
/// assert_eq!(request_name("randstad-a-1", 255, 7), "randstad-a-1.ff.7");
/// ```
pub fn request_name(instance: &str, incarnation: Incarnation, request: RequestId) -> String {
    format!("{instance}.{incarnation:x}.{request}")
}

/// `unix_time_us` is the wall-clock time in microseconds since the Unix epoch.
pub fn unix_time_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

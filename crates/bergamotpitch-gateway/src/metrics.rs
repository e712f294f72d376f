//! Metrics: counters and latency histograms, shown in the Prometheus text format.

use std::time::Duration;

use bergamotpitch_control::traffic::crash_suspects::Suspicion;
use bergamotpitch_control::traffic::stream_origins::Resumption;
use bergamotpitch_core::refusals::RefusalReason;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::errors::{Error, Result};
use crate::refusals::Refusal;
use crate::work_times::Work;

/// `LATENCY_BOUNDS_S` are the upper bounds of the latency histograms, in seconds; they lie around
/// the targets that operators set.
const LATENCY_BOUNDS_S: [f64; 10] = [0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0];

/// `Count` counts one thing.
#[derive(Debug)]
pub struct Count(Counter<u64>);

impl Count {
    /// `inc` adds one.
    pub fn inc(&self) {
        self.0.add(1, &[]);
    }
}

/// `Metrics` of one gateway.
#[derive(Debug)]
pub struct Metrics {
    /// Requests of callers.
    pub requests: Count,
    /// Requests sent to upstreams.
    pub dispatches: Count,
    /// Attempts that failed.
    pub failed_attempts: Count,
    /// Requests sent to a second upstream.
    pub repeats: Count,
    /// Requests that were not sent to a second upstream, as the retry budget was spent.
    pub repeats_denied: Count,
    /// Streams closed without their end.
    pub cut_answers: Count,
    /// Connections opened to upstreams.
    pub connections_opened: Count,
    /// Upstreams that were asked who they are.
    pub identity_probes: Count,
    /// Asks sent to a dispatcher.
    pub asks: Count,
    /// Asks that no dispatcher decided on.
    pub unanswered_asks: Count,
    /// Connections of callers that were only told to come back.
    pub callers_turned_away: Count,
    /// Upstreams that ended while they answered requests.
    pub upstream_crashes: Count,
    request_bytes: Gauge<u64>,
    answer_bytes: Gauge<u64>,
    fleet_instances: Gauge<u64>,
    sums_age_s: Gauge<f64>,
    cold_upstreams: Gauge<u64>,
    evacuated_requests: Gauge<u64>,
    stream_origins: Gauge<u64>,
    suspected_parts: Gauge<u64>,
    blocked_parts: Gauge<u64>,
    suspected_requests: Gauge<u64>,
    blocked_requests: Gauge<u64>,
    registry: Registry,
    _provider: SdkMeterProvider,
    refusals: Counter<u64>,
    work_s: Counter<f64>,
    streams_taken_up: Counter<u64>,
    answer_s: Histogram<f64>,
    wait_s: Histogram<f64>,
}

impl Metrics {
    /// `register` makes the instruments in a registry of their own.
    ///
    /// # Errors
    ///
    /// Fails when the registry refuses them.
    ///
    /// ```
    /// let metrics = bergamotpitch_gateway::metrics::Metrics::register().unwrap();
    /// metrics.requests.inc();
    /// assert!(metrics.text().contains("bergamotpitch_requests_total"));
    /// ```
    pub fn register() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|error| Error::Metrics { reason: error.to_string() })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("bergamotpitch");
        let count = |name: &'static str, description: &'static str| {
            Count(meter.u64_counter(name).with_description(description).build())
        };
        Ok(Self {
            requests: count("bergamotpitch_requests", "Requests of callers"),
            dispatches: count("bergamotpitch_dispatches", "Requests sent to upstreams"),
            failed_attempts: count("bergamotpitch_failed_attempts", "Attempts that failed"),
            repeats: count("bergamotpitch_repeats", "Requests sent to a second upstream"),
            repeats_denied: count(
                "bergamotpitch_repeats_denied",
                "Requests not sent to a second upstream, as the retry budget was spent",
            ),
            cut_answers: count("bergamotpitch_cut_answers", "Streams closed without their end"),
            asks: count("bergamotpitch_asks", "Asks sent to a dispatcher"),
            unanswered_asks: count(
                "bergamotpitch_unanswered_asks",
                "Asks that no dispatcher decided on",
            ),
            callers_turned_away: count(
                "bergamotpitch_callers_turned_away",
                "Connections of callers that were only told to come back",
            ),
            upstream_crashes: count(
                "bergamotpitch_upstream_crashes",
                "Upstreams that ended while they answered requests",
            ),
            connections_opened: count(
                "bergamotpitch_connections_opened",
                "Connections opened to upstreams",
            ),
            identity_probes: count(
                "bergamotpitch_identity_probes",
                "Upstreams asked who they are, as an answer may have ended with their process",
            ),
            refusals: meter
                .u64_counter("bergamotpitch_refusals")
                .with_description("Refusals by reason")
                .build(),
            work_s: meter
                .f64_counter("bergamotpitch_work_seconds")
                .with_description("Time for which the thread worked, by kind of work")
                .build(),
            streams_taken_up: meter
                .u64_counter("bergamotpitch_streams_taken_up")
                .with_description("Streams that callers took up again, by where they may go on")
                .build(),
            stream_origins: meter
                .u64_gauge("bergamotpitch_stream_origins")
                .with_description("Streams of which the software version that began them is known")
                .build(),
            suspected_parts: meter
                .u64_gauge("bergamotpitch_suspected_parts")
                .with_description("Parts of prompts under which an upstream has crashed")
                .build(),
            blocked_parts: meter
                .u64_gauge("bergamotpitch_blocked_parts")
                .with_description("Parts of prompts that are refused, as they crash upstreams")
                .build(),
            suspected_requests: meter
                .u64_gauge("bergamotpitch_suspected_requests")
                .with_description("Requests under which an upstream has crashed")
                .build(),
            blocked_requests: meter
                .u64_gauge("bergamotpitch_blocked_requests")
                .with_description("Requests that are refused, as they crash upstreams")
                .build(),
            request_bytes: meter
                .u64_gauge("bergamotpitch_request_bytes")
                .with_description("Memory that the bodies of requests take, in bytes")
                .build(),
            answer_bytes: meter
                .u64_gauge("bergamotpitch_answer_bytes")
                .with_description("Memory that answers take which are not passed on yet, in bytes")
                .build(),
            fleet_instances: meter
                .u64_gauge("bergamotpitch_fleet_instances")
                .with_description("Instances that share what is allowed to the whole fleet")
                .build(),
            sums_age_s: meter
                .f64_gauge("bergamotpitch_team_sums_age_seconds")
                .with_description("Age of the oldest sums of other instances on teams that count")
                .build(),
            cold_upstreams: meter
                .u64_gauge("bergamotpitch_cold_upstreams")
                .with_description("Upstreams that have just started, or may have")
                .build(),
            evacuated_requests: meter
                .u64_gauge("bergamotpitch_evacuated_requests")
                .with_description("Requests at upstreams of evacuated failure domains")
                .build(),
            answer_s: latency(
                &meter,
                "bergamotpitch_answer_seconds",
                "Time from the sending to the first event or the answer",
            ),
            wait_s: latency(
                &meter,
                "bergamotpitch_wait_seconds",
                "Time from the arrival to the sending",
            ),
            registry,
            _provider: provider,
        })
    }

    /// `count_refusal` counts a refusal by its reason.
    pub fn count_refusal(&self, refusal: &Refusal) {
        let reason: &'static str = RefusalReason::into(refusal.reason);
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// `count_taken_up` counts a stream that a caller took up again, by where it may go on.
    pub fn count_taken_up(&self, resumption: Resumption) {
        let decision: &'static str = Resumption::into(resumption);
        self.streams_taken_up.add(1, &[KeyValue::new("decision", decision)]);
    }

    /// `count_work` counts time for which the thread did a kind of work.
    pub fn count_work(&self, work: Work, time: Duration) {
        let work: &'static str = work.into();
        self.work_s.add(time.as_secs_f64(), &[KeyValue::new("work", work)]);
    }

    /// `note_fleet` takes in how many instances share what is allowed to the whole fleet.
    pub fn note_fleet(&self, instances: usize) {
        self.fleet_instances.record(instances as u64, &[]);
    }

    /// `note_held_bytes` takes in how much memory bodies take.
    pub fn note_held_bytes(&self, of_requests: usize, of_answers: usize) {
        self.request_bytes.record(of_requests as u64, &[]);
        self.answer_bytes.record(of_answers as u64, &[]);
    }

    /// `note_origins` takes in of how many streams the origin is known.
    pub fn note_origins(&self, count: usize) {
        self.stream_origins.record(count as u64, &[]);
    }

    /// `note_suspects` takes in which parts of prompts and requests are suspected or blocked.
    pub fn note_suspects(&self, suspicions: &[Suspicion]) {
        let record = |suspected: &Gauge<u64>, blocked: &Gauge<u64>, is_request: bool| {
            let of_kind =
                suspicions.iter().filter(|known| known.suspect.is_request() == is_request);
            suspected.record(of_kind.clone().count() as u64, &[]);
            let of_kind = of_kind.filter(|known| known.blocked_until.is_some());
            blocked.record(of_kind.count() as u64, &[]);
        };
        record(&self.suspected_parts, &self.blocked_parts, false);
        record(&self.suspected_requests, &self.blocked_requests, true);
    }

    /// `count_answer` counts an answer with the time to its first event, or to itself.
    pub fn count_answer(&self, time: Duration) {
        self.answer_s.record(time.as_secs_f64(), &[]);
    }

    /// `count_wait` counts the time for which a request waited for a place.
    pub fn count_wait(&self, time: Duration) {
        self.wait_s.record(time.as_secs_f64(), &[]);
    }

    /// `note_sums_age` takes in the age of the oldest sums on teams that count.
    pub fn note_sums_age(&self, age: Duration) {
        self.sums_age_s.record(age.as_secs_f64(), &[]);
    }

    /// `note_upstreams` takes in how many upstreams are cold, and how many requests of this instance
    /// and of others are at upstreams of evacuated failure domains, as far as it knows.
    pub fn note_upstreams(&self, cold: usize, evacuated_requests: u32) {
        self.cold_upstreams.record(cold as u64, &[]);
        self.evacuated_requests.record(evacuated_requests.into(), &[]);
    }

    /// `text` shows everything in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("event=metrics_not_encoded error={error}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}

fn latency(meter: &Meter, name: &'static str, description: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(description)
        .with_boundaries(LATENCY_BOUNDS_S.to_vec())
        .build()
}

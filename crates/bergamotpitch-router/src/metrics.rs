//! Metrics: counters and histograms, shown in the Prometheus text format.

use std::time::Duration;

use bergamotpitch_control::outputs::Event;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::errors::{Result, start_error};
use crate::links::LinkClass;

/// `Metrics` are the instruments of one router.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    events: Counter<u64>,
    sent_bytes: Counter<u64>,
    received_bytes: Counter<u64>,
    dropped_messages: Counter<u64>,
    platform_calls: Counter<u64>,
    first_byte_ms: Histogram<f64>,
    own_time_ms: Histogram<f64>,
}

impl Metrics {
    /// `register` makes the instruments in a registry of their own.
    ///
    /// # Errors
    ///
    /// `Start` when the registry refuses them.
    ///
    /// ```
    /// use bergamotpitch_router::links::LinkClass;
    /// use bergamotpitch_router::metrics::Metrics;
    /// let metrics = Metrics::register().unwrap();
    /// metrics.count_sent_bytes(LinkClass::InsideDomain, 90);
    /// assert!(metrics.text().contains("bergamotpitch_control_sent_bytes_total"));
    /// ```
    pub fn register() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(start_error)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("bergamotpitch");
        Ok(Self {
            registry,
            _provider: provider,
            events: counter(&meter, "bergamotpitch_events", "Events by kind"),
            sent_bytes: counter(
                &meter,
                "bergamotpitch_control_sent_bytes",
                "Bytes of control messages sent, by how far they go",
            ),
            received_bytes: counter(
                &meter,
                "bergamotpitch_control_received_bytes",
                "Bytes of control messages received, by how far they came",
            ),
            dropped_messages: counter(
                &meter,
                "bergamotpitch_dropped_messages",
                "Messages of instances that were dropped, by reason",
            ),
            platform_calls: counter(&meter, "bergamotpitch_platform_calls", "Platform calls"),
            first_byte_ms: histogram(
                &meter,
                "bergamotpitch_first_byte_ms",
                "Time from arrival to the first byte of the answer, in milliseconds",
            ),
            own_time_ms: histogram(
                &meter,
                "bergamotpitch_queue_ms",
                "Time from arrival to the first dispatch, in milliseconds",
            ),
        })
    }

    /// `count_event` counts an event by its kind and, for a refusal, its reason.
    pub fn count_event(&self, event: &Event) {
        let kind: &'static str = event.kind.into();
        let mut labels = vec![KeyValue::new("kind", kind)];
        if matches!(event.kind, bergamotpitch_core::events::EventKind::RequestRefused)
            && let Some(reason) = &event.detail
        {
            labels.push(KeyValue::new("reason", reason.clone()));
        }
        self.events.add(1, &labels);
    }

    /// `count_sent_bytes` counts bytes to another instance.
    pub fn count_sent_bytes(&self, class: LinkClass, bytes: usize) {
        let class: &'static str = class.into();
        self.sent_bytes.add(bytes as u64, &[KeyValue::new("class", class)]);
    }

    /// `count_received_bytes` counts bytes from another instance.
    pub fn count_received_bytes(&self, class: LinkClass, bytes: usize) {
        let class: &'static str = class.into();
        self.received_bytes.add(bytes as u64, &[KeyValue::new("class", class)]);
    }

    /// `count_dropped_messages` counts messages of instances that were dropped.
    pub fn count_dropped_messages(&self, reason: &'static str, count: u64) {
        self.dropped_messages.add(count, &[KeyValue::new("reason", reason)]);
    }

    /// `count_platform_call` counts a call to the platform; a waiting watch is one.
    pub fn count_platform_call(&self, call: &'static str) {
        self.platform_calls.add(1, &[KeyValue::new("call", call)]);
    }

    /// `record_first_byte` records the time from arrival to the first byte of an answer.
    pub fn record_first_byte(&self, elapsed: Duration) {
        self.first_byte_ms.record(elapsed.as_secs_f64() * 1_000.0, &[]);
    }

    /// `record_queue_time` records the time from arrival to the first dispatch.
    pub fn record_queue_time(&self, elapsed: Duration) {
        self.own_time_ms.record(elapsed.as_secs_f64() * 1_000.0, &[]);
    }

    /// `text` shows everything in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("metrics cannot be encoded: {error}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(description).build()
}

fn histogram(meter: &Meter, name: &'static str, description: &'static str) -> Histogram<f64> {
    meter.f64_histogram(name).with_description(description).build()
}

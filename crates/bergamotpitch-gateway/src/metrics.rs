//! Metrics: counters and latency histograms, as text for the metrics address.

use std::cell::{Cell, RefCell};
use std::fmt::Write as _;
use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::refusals::RefusalReason;

use crate::refusals::Refusal;

/// `Counter` counts on one thread.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// `inc` adds one.
    pub fn inc(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// `get` returns the count.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// `BOUNDS_MS` are the upper bounds of the latency histogram, in milliseconds; they lie around the
/// targets that operators set.
const BOUNDS_MS: [u64; 10] = [25, 50, 100, 200, 300, 400, 600, 1_000, 2_000, 5_000];

/// `Histogram` counts times by upper bound.
#[derive(Debug, Default)]
struct Histogram {
    buckets: [u64; BOUNDS_MS.len()],
    count: u64,
    sum: Duration,
}

/// `Metrics` of one gateway.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Requests of callers.
    pub requests: Counter,
    /// Requests sent to upstreams.
    pub dispatches: Counter,
    /// Attempts that failed.
    pub failed_attempts: Counter,
    /// Requests sent to a second upstream.
    pub repeats: Counter,
    /// Streams closed without their end.
    pub cut_answers: Counter,
    /// Connections opened to upstreams.
    pub connections_opened: Counter,
    refusals: RefCell<HashMap<RefusalReason, u64>>,
    answers: RefCell<Histogram>,
}

impl Metrics {
    /// `count_refusal` counts a refusal by its reason.
    pub fn count_refusal(&self, refusal: &Refusal) {
        *self.refusals.borrow_mut().entry(refusal.reason).or_default() += 1;
    }

    /// `count_answer` counts an answer with the time to its first event, or to itself.
    pub fn count_answer(&self, time: Duration) {
        let mut answers = self.answers.borrow_mut();
        answers.count += 1;
        answers.sum += time;
        for (bucket, bound_ms) in answers.buckets.iter_mut().zip(BOUNDS_MS) {
            if time <= Duration::from_millis(bound_ms) {
                *bucket += 1;
            }
        }
    }

    /// `text` writes all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let counters = [
            ("requests", &self.requests),
            ("dispatches", &self.dispatches),
            ("failed_attempts", &self.failed_attempts),
            ("repeats", &self.repeats),
            ("cut_answers", &self.cut_answers),
            ("connections_opened", &self.connections_opened),
        ];
        // Writing into a string does not fail.
        for (name, counter) in counters {
            let _ = writeln!(text, "bergamotpitch_{name}_total {}", counter.get());
        }
        for (reason, count) in self.refusals.borrow().iter() {
            let _ = writeln!(text, "bergamotpitch_refusals_total{{reason=\"{reason}\"}} {count}");
        }
        let answers = self.answers.borrow();
        for (count, bound_ms) in answers.buckets.iter().zip(BOUNDS_MS) {
            let bound = Duration::from_millis(bound_ms).as_secs_f64();
            let _ = writeln!(text, "bergamotpitch_answer_seconds_bucket{{le=\"{bound}\"}} {count}");
        }
        let _ =
            writeln!(text, "bergamotpitch_answer_seconds_bucket{{le=\"+Inf\"}} {}", answers.count);
        let _ = writeln!(text, "bergamotpitch_answer_seconds_sum {}", answers.sum.as_secs_f64());
        let _ = writeln!(text, "bergamotpitch_answer_seconds_count {}", answers.count);
        text
    }
}

//! Costs: what each router of a scene took and sent, and what that makes for one router.

use std::collections::BTreeMap;

use bergamotpitch_control::Message;

/// `Meter` counts for one router.
#[derive(Debug, Clone, Default)]
pub struct Meter {
    /// Times of its steps, in microseconds.
    pub step_us: Vec<f64>,
    /// Bytes that it received.
    pub received_bytes: usize,
    /// Messages that were too large to be sent.
    pub unsent_messages: usize,
    /// Bytes that it sent.
    pub sent_bytes: usize,
    /// Bytes of its largest message.
    pub largest_bytes: usize,
    far_bytes: usize,
    messages: usize,
    kinds: BTreeMap<String, usize>,
}

impl Meter {
    /// `note_sent` counts a message.
    pub fn note_sent(&mut self, message: &Message, bytes: usize, is_far: bool) {
        self.sent_bytes += bytes;
        self.far_bytes += if is_far { bytes } else { 0 };
        self.messages += 1;
        self.largest_bytes = self.largest_bytes.max(bytes);
        let text = format!("{message:?}");
        let kind = text.split(['(', ' ', '{']).next().unwrap_or_default();
        *self.kinds.entry(kind.to_owned()).or_default() += bytes;
    }
}

/// `Cost` is what a scene cost.
#[derive(Debug, Clone, Default)]
pub struct Cost {
    /// Mean time of a step, in microseconds, for each of three parts of the run.
    pub step_us: Vec<f64>,
    /// Mean time of a step of the router that takes most, in microseconds.
    pub most_step_us: f64,
    /// Time that 99 of 100 steps stay under, in microseconds.
    pub step_p99_us: f64,
    /// Bytes sent a second, by the mean router.
    pub mean_bytes: f64,
    /// Bytes sent a second, by the router that sends most.
    pub most_bytes: f64,
    /// Bytes received a second, by the router that receives most.
    pub most_received_bytes: f64,
    /// Of the mean router's bytes, those to other domains.
    pub far_bytes: f64,
    /// Messages sent a second, by the mean router.
    pub messages: f64,
    /// Requests that ended each second, for each router.
    pub ended: f64,
    /// Memory of the mean router at the end, with its tables and its requests but without the sheet,
    /// in kilobytes.
    pub tables_kb: f64,
    /// Steps that were measured.
    pub steps: usize,
    /// Bytes sent a second by the mean router, by the kind of message.
    pub kinds: BTreeMap<String, f64>,
}

/// `cost_of` sums up the meters of a scene that ran for some seconds.
pub fn cost_of(meters: &[Meter], ended: usize, seconds: f64) -> Cost {
    let routers = meters.len().max(1) as f64;
    let mean_of = |value: fn(&Meter) -> usize| {
        meters.iter().map(|meter| value(meter) as f64).sum::<f64>() / seconds / routers
    };
    let most_of =
        |value: fn(&Meter) -> usize| meters.iter().map(value).max().unwrap_or(0) as f64 / seconds;
    let mut times: Vec<f64> = meters.iter().flat_map(|meter| meter.step_us.clone()).collect();
    times.sort_by(f64::total_cmp);
    let mut kinds: BTreeMap<String, f64> = BTreeMap::new();
    for (kind, bytes) in meters.iter().flat_map(|meter| &meter.kinds) {
        *kinds.entry(kind.clone()).or_default() += *bytes as f64 / seconds / routers;
    }
    Cost {
        step_us: (0..3).map(|part| mean(&part_of(meters, part))).collect(),
        most_step_us: meters.iter().map(|meter| mean(&meter.step_us)).fold(0.0, f64::max),
        step_p99_us: times.get(times.len() * 99 / 100).copied().unwrap_or(0.0),
        mean_bytes: mean_of(|meter| meter.sent_bytes),
        most_bytes: most_of(|meter| meter.sent_bytes),
        most_received_bytes: most_of(|meter| meter.received_bytes),
        far_bytes: mean_of(|meter| meter.far_bytes),
        messages: mean_of(|meter| meter.messages),
        ended: ended as f64 / seconds / routers,
        tables_kb: 0.0,
        steps: times.len(),
        kinds,
    }
}

fn part_of(meters: &[Meter], part: usize) -> Vec<f64> {
    let third = |meter: &Meter| {
        let length = meter.step_us.len();
        meter.step_us[length * part / 3..length * (part + 1) / 3].to_vec()
    };
    meters.iter().flat_map(third).collect()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

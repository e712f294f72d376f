//! Measures: fairness gap, utilisation and control traffic, taken from a history.

use std::time::Duration;

use bergamotpitch_core::units::Timestamp;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::RequestId;

use crate::histories::{Record, Sample, Traffic};

/// `Gap` is the largest service gap found, and where.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Gap {
    /// Difference of service over share, in cost units a share.
    pub cost_per_share: f64,
    /// The two teams.
    pub teams: (usize, usize),
    /// End of the interval.
    pub until: Timestamp,
}

/// `fairness_gap` is the largest difference of service over share between two teams over any
/// interval in which both were backlogged somewhere in the fleet, between two times.
///
/// Over a joint backlogged interval the largest difference over any part of it is the largest less
/// the smallest value of the running difference, so one pass over the samples is exact.
pub fn fairness_gap(samples: &[Sample], shares: &[u32], from: Timestamp, to: Timestamp) -> Gap {
    let mut worst = Gap::default();
    for left in 0..shares.len() {
        for right in left + 1..shares.len() {
            let mut bounds: Option<(f64, f64)> = None;
            for sample in samples.iter().filter(|sample| from <= sample.at && sample.at <= to) {
                if sample.waiting_requests[left] == 0 || sample.waiting_requests[right] == 0 {
                    bounds = None;
                    continue;
                }
                let difference = sample.service_cost[left] as f64 / f64::from(shares[left])
                    - sample.service_cost[right] as f64 / f64::from(shares[right]);
                let (low, high) = bounds.unwrap_or((difference, difference));
                let (low, high) = (low.min(difference), high.max(difference));
                bounds = Some((low, high));
                if worst.cost_per_share < high - low {
                    worst =
                        Gap { cost_per_share: high - low, teams: (left, right), until: sample.at };
                }
            }
        }
    }
    worst
}

/// `utilisation` is busy slots over slots while anything waited that could use them, in [0, 1].
pub fn utilisation(samples: &[Sample], from: Timestamp, to: Timestamp) -> f64 {
    let mut busy = 0u64;
    let mut usable = 0u64;
    for sample in samples.iter().filter(|sample| from <= sample.at && sample.at <= to) {
        busy += u64::from(sample.busy_slots);
        usable += u64::from(sample.usable_slots);
    }
    if usable == 0 { 1.0 } else { busy as f64 / usable as f64 }
}

/// `TrafficRates` is control traffic, in bytes a second an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TrafficRates {
    /// Inside a domain, mean over the instances.
    pub domain_bytes: f64,
    /// Across regions, mean over the instances.
    pub cross_region_bytes: f64,
    /// Across regions, highest of any instance.
    pub cross_region_bytes_highest: f64,
    /// Across regions and sent by the fair shares, highest of any instance.
    pub share_bytes_highest: f64,
}

/// `traffic_rates` is the control traffic of a run of some length.
pub fn traffic_rates(traffic: &[Traffic], time: Duration) -> TrafficRates {
    let seconds = time.as_secs_f64().max(1e-9);
    let count = traffic.len().max(1) as f64;
    let sum = |of: fn(&Traffic) -> u64| traffic.iter().map(of).sum::<u64>() as f64;
    let highest = |of: fn(&Traffic) -> u64| traffic.iter().map(of).max().unwrap_or(0) as f64;
    TrafficRates {
        domain_bytes: sum(|traffic| traffic.domain_bytes) / count / seconds,
        cross_region_bytes: sum(|traffic| traffic.cross_region_bytes) / count / seconds,
        cross_region_bytes_highest: highest(|traffic| traffic.cross_region_bytes) / seconds,
        share_bytes_highest: highest(|traffic| traffic.cross_region_share_bytes) / seconds,
    }
}

/// `BoundTerms` are what the bound on the fairness gap is made of.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BoundTerms {
    /// Cost of the largest request, in cost units.
    pub largest_request: f64,
    /// Requests that all windows hold.
    pub window_requests: f64,
    /// Sum of the shares of the teams that are backlogged.
    pub backlogged_shares: f64,
    /// How far ahead of the frontier a slot may be used again, in cost units a share.
    pub slack: f64,
    /// How far a team lags before slots are lent for it, in cost units a share.
    pub margin: f64,
    /// Longest time for which a domain does not hear of another, in seconds.
    pub staleness_s: f64,
    /// Service a share and second in the domain where the fewest shares wait.
    pub domain_rate: f64,
}

/// `gap_bound` is the stated bound on the fairness gap, in cost units a share.
///
/// Two teams differ by what their requests in the windows may still cost, by what the order lets
/// pass, and by what one domain may serve before another hears of it.
pub fn gap_bound(terms: &BoundTerms) -> f64 {
    let in_windows = terms.window_requests / terms.backlogged_shares * terms.largest_request;
    2.0 * in_windows + 2.0 * (terms.slack + terms.margin) + terms.staleness_s * terms.domain_rate
}

/// `longest_wait` is the longest time for which a team had requests waiting and got no service.
pub fn longest_wait(samples: &[Sample], from: Timestamp, to: Timestamp) -> Duration {
    let teams = samples.first().map_or(0, |sample| sample.service_cost.len());
    let mut worst = Duration::ZERO;
    for team in 0..teams {
        let mut since: Option<(Timestamp, u64)> = None;
        for sample in samples.iter().filter(|sample| from <= sample.at && sample.at <= to) {
            let service = sample.service_cost[team];
            let waits = sample.waiting_requests[team] != 0;
            match since {
                Some((begin, cost)) if waits && cost == service => {
                    worst = worst.max(sample.at - begin);
                }
                _ if waits => since = Some((sample.at, service)),
                _ => since = None,
            }
        }
    }
    worst
}

/// `held_p95` is the time from the hand-over of a request to its slot that 95 in 100 stay under.
pub fn held_p95(records: &[Record]) -> Duration {
    let mut admitted: HashMap<RequestId, Timestamp> = HashMap::default();
    let mut held: Vec<Duration> = Vec::new();
    for record in records {
        match record {
            Record::Admitted { at, request, .. } => {
                admitted.insert(*request, *at);
            }
            Record::Started { at, request, .. } => {
                held.extend(admitted.get(request).map(|since| at.saturating_sub(*since)));
            }
            _ => {}
        }
    }
    held.sort_unstable();
    held.get(held.len() * 95 / 100).copied().unwrap_or_default()
}

/// `ended` is how many requests were answered.
pub fn ended(records: &[Record]) -> usize {
    records.iter().filter(|record| matches!(record, Record::Ended { .. })).count()
}

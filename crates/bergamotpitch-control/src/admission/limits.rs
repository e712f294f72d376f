//! Limits: how long a request will likely wait, and how often it may be tried again.

use std::collections::BTreeSet;
use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::RequestId;
use bergamotpitch_core::units::Timestamp;

use crate::tables::{QueueKey, Tables};

/// Weight of the latest interval in a queue's pace.
const INTERVAL_WEIGHT: f64 = 0.1;

/// Retries that a team may save up for a service, in percent of a retry: ten of them.
const BUDGET_LIMIT_PERCENT: u32 = 1_000;

/// Retries that a team has for a service before its first attempt, in percent of a retry.
const FIRST_BUDGET_PERCENT: u32 = 300;

/// Cost of one retry.
const RETRY_COST_PERCENT: u32 = 100;

/// Pause before the first retry of a request; it doubles with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause before a retry.
const RETRY_PAUSE_LIMIT: Duration = Duration::from_secs(2);

/// Shortest time after which a refused caller is told to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);

/// Longest time after which a refused caller is told to come back.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);

/// Time for which a queue's pace and retries are remembered after its last request.
const QUEUE_LIMITS_LIFETIME: Duration = Duration::from_secs(600);

/// Time between two sweeps of what is no longer needed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(30);

/// `Limits` are the indexes and counters by which requests are refused and tried again.
#[derive(Debug, Default)]
pub struct Limits {
    /// Requests that wait, by deadline.
    pub deadlines: BTreeSet<(Timestamp, RequestId)>,
    /// Requests that pause before they are tried again, by the end of the pause.
    pub pauses: BTreeSet<(Timestamp, RequestId)>,
    queues: HashMap<QueueKey, QueueLimits>,
    swept: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct QueueLimits {
    interval_s: Option<f64>,
    last_dispatch: Timestamp,
    budget_percent: u32,
    used: Timestamp,
}

fn queue_limits(tables: &mut Tables, key: QueueKey) -> &mut QueueLimits {
    let now = tables.now;
    let limits = tables.limits.queues.entry(key).or_insert(QueueLimits {
        interval_s: None,
        last_dispatch: Timestamp::ZERO,
        budget_percent: FIRST_BUDGET_PERCENT,
        used: now,
    });
    limits.used = now;
    limits
}

/// `record_dispatch` learns a queue's pace from a request that leaves it for an upstream.
///
/// Only time in which the request could have been taken counts, so that a team that seldom asks is
/// not thought to be served seldom.
pub fn record_dispatch(tables: &mut Tables, key: QueueKey, arrived: Timestamp) {
    let now = tables.now;
    let limits = queue_limits(tables, key);
    let since = limits.last_dispatch.max(arrived);
    let sample_s = now.saturating_sub(since).as_secs_f64();
    limits.last_dispatch = now;
    let interval_s = limits.interval_s.get_or_insert(sample_s);
    *interval_s += (sample_s - *interval_s) * INTERVAL_WEIGHT;
}

/// `expected_wait` is how long a request will likely wait behind those of its queue; none when
/// nothing is known, or nothing waits.
pub fn expected_wait(tables: &Tables, key: QueueKey) -> Option<Duration> {
    let ahead = tables.queues.get(&key).map_or(0, |queue| queue.len());
    if ahead == 0 {
        return None;
    }
    let interval_s = tables.limits.queues.get(&key)?.interval_s?;
    Some(Duration::from_secs_f64(interval_s * (ahead + 1) as f64))
}

/// `retry_after` is when the caller of a refused request should come back: once the time has passed
/// in which the queue gets room for it, spread so that refused callers do not come back together.
pub fn retry_after(tables: &Tables, request: RequestId, wait: Duration) -> Duration {
    let spread = 1.0 + 0.5 * jitter(tables, request, 0);
    wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX).mul_f64(spread)
}

/// `refill_retry_budget` adds what a first attempt is worth to a team's retries for a service.
pub fn refill_retry_budget(tables: &mut Tables, key: QueueKey, percent: u32) {
    let limits = queue_limits(tables, key);
    limits.budget_percent = (limits.budget_percent + percent).min(BUDGET_LIMIT_PERCENT);
}

/// `take_retry` takes one retry from the budget; false when it is spent.
///
/// Without a budget an outage would multiply the load just when the upstreams come back: each
/// request would be sent as often as its attempts allow.
pub fn take_retry(tables: &mut Tables, key: QueueKey) -> bool {
    let limits = queue_limits(tables, key);
    let Some(left) = limits.budget_percent.checked_sub(RETRY_COST_PERCENT) else { return false };
    limits.budget_percent = left;
    true
}

/// `retry_pause` is how long a request pauses before its next attempt: longer with each one, and
/// spread so that requests that failed together are not tried again together.
pub fn retry_pause(tables: &Tables, request: RequestId, attempts: u32) -> Duration {
    let doubled = RETRY_PAUSE * 2_u32.pow(attempts.saturating_sub(1).min(8));
    doubled.min(RETRY_PAUSE_LIMIT).mul_f64(0.5 + jitter(tables, request, attempts))
}

/// `jitter` is a number from 0 up to 1 that the seed, the request and the attempt determine.
pub fn jitter(tables: &Tables, request: RequestId, attempt: u32) -> f64 {
    let mixed = tables.options.seed
        ^ request.wrapping_mul(0x9e37_79b9_7f4a_7c15)
        ^ u64::from(attempt).wrapping_mul(0xc2b2_ae3d_27d4_eb4f);
    let random = crate::fairness::coordinators::weight((mixed >> 32) as u32, mixed as u32);
    (random >> 11) as f64 / (1_u64 << 53) as f64
}

/// `sweep` forgets queues that were not used for long; without it their memory would grow with
/// every team that ever asked.
pub fn sweep(tables: &mut Tables) {
    let now = tables.now;
    if now < tables.limits.swept + SWEEP_INTERVAL {
        return;
    }
    tables.limits.swept = now;
    tables.limits.queues.retain(|_, limits| now < limits.used + QUEUE_LIMITS_LIFETIME);
    tables.queues.retain(|_, queue| !queue.is_empty());
}

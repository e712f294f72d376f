//! Orders to engines: which are due, and whether this instance may send them.
//!
//! Only the holder of the domain's lease sends orders. Each carries the lease's fencing number, by
//! which an engine that checks it refuses a late order of an earlier holder. For engines that do
//! not check, the holder stops a margin before its lease ends, by its own monotonic clock, and a
//! new holder waits until no order of an earlier one can still be under way.

use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::UpstreamId;
use bergamotpitch_core::units::Timestamp;

use crate::engine_orders::order_leases::{Held, Lease, LeaseEffect, OrderGuards};

/// `OrderOptions` are the constants of the orders of one domain.
#[derive(Debug, Clone)]
pub struct OrderOptions {
    /// Time for which a lease holds after it was renewed.
    pub lease_ttl: Duration,
    /// Time before its end at which the holder stops; it covers the drift of two clocks.
    pub lease_margin: Duration,
    /// Time between two renewals.
    pub renew_interval: Duration,
    /// Pause before the lease is asked for again.
    pub retry_delay: Duration,
    /// Longest time from the check before an order is sent until the engine has taken it or the
    /// connection is broken.
    pub order_flight_limit: Duration,
    /// Time after which an order is sent again while the engine does not report its model.
    pub resend_interval: Duration,
    /// Loads of weights a minute that the weight store bears for the whole fleet.
    pub store_loads_per_minute: f64,
    /// Failure domains that share the weight store.
    pub domain_count: u32,
    /// Rules that a proof switches off one by one.
    pub guards: OrderGuards,
}

impl Default for OrderOptions {
    fn default() -> Self {
        Self {
            lease_ttl: Duration::from_secs(10),
            lease_margin: Duration::from_secs(2),
            renew_interval: Duration::from_secs(3),
            retry_delay: Duration::from_secs(1),
            order_flight_limit: Duration::from_secs(3),
            resend_interval: Duration::from_secs(30),
            store_loads_per_minute: 60.0,
            domain_count: 3,
            guards: OrderGuards::default(),
        }
    }
}

/// `WantedModel` is what an engine should have loaded and what it last said that it has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WantedModel {
    /// The engine.
    pub upstream: UpstreamId,
    /// Model that the sheet names.
    pub model: String,
    /// Model that the engine last reported; the report lags.
    pub reported_model: Option<String>,
    /// True when the engine refuses an order with an old fencing number.
    pub checks_fencing: bool,
}

/// `Order` is an order that is to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The engine.
    pub upstream: UpstreamId,
    /// Fencing number of the lease.
    pub fencing: u64,
    /// Model to load.
    pub model: String,
    /// Time at which the order must have been sent; it is checked right before sending.
    pub send_by: Timestamp,
}

/// `OrderEffect` is what the owner of the duty has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEffect {
    /// A call that concerns the lease.
    Lease(LeaseEffect),
    /// Send an order; its end goes to `apply_order_result`.
    Send(Order),
}

/// `OrderResult` is how an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine took it.
    Taken,
    /// The engine refused it, since its fencing number is old.
    Refused,
    /// It was not sent, since the time to send it was over.
    NotSent,
    /// Its end is unknown, and it may still be under way.
    Unknown,
}

/// `OrderScheduler` is the state of the orders of one domain at one instance.
#[derive(Debug)]
pub struct OrderScheduler {
    pub(crate) options: OrderOptions,
    pub(crate) is_candidate: bool,
    pub(crate) lease: Lease,
    wanted: Vec<WantedModel>,
    engines: HashMap<UpstreamId, EngineOrders>,
    next_load_at: Timestamp,
    /// Fencing number under which orders were last put out.
    term: Option<u64>,
}

#[derive(Debug, Default)]
struct EngineOrders {
    /// Model of the last order and when it was put out.
    last_order: Option<(String, Timestamp)>,
    /// True while an order's end has not come.
    in_flight: bool,
    /// Time until which an order whose end is unknown may still arrive.
    in_flight_until: Timestamp,
}

impl OrderScheduler {
    /// `new` makes a duty that holds nothing and is no candidate.
    pub fn new(options: OrderOptions) -> Self {
        Self {
            options,
            is_candidate: false,
            lease: Lease::default(),
            wanted: Vec::new(),
            engines: HashMap::default(),
            next_load_at: Duration::ZERO,
            term: None,
        }
    }

    /// `options` returns the constants.
    pub fn options(&self) -> &OrderOptions {
        &self.options
    }

    /// `has_orders_in_flight` tells whether the end of an order has not come.
    pub fn has_orders_in_flight(&self) -> bool {
        self.engines.values().any(|engine| engine.in_flight)
    }

    /// `fencing` is the fencing number of the lease held; none when it is not held.
    pub fn fencing(&self) -> Option<u64> {
        match &self.lease {
            Lease::Held(held) => Some(held.fencing),
            _ => None,
        }
    }
}

/// `set_candidate` says whether this instance should hold the lease.
pub fn set_candidate(scheduler: &mut OrderScheduler, is_candidate: bool) {
    scheduler.is_candidate = is_candidate;
}

/// `set_wanted` takes over what the engines of the domain should have loaded.
pub fn set_wanted(scheduler: &mut OrderScheduler, wanted: Vec<WantedModel>) {
    scheduler.wanted = wanted;
}

/// `set_domain_count` takes over how many failure domains share the weight store.
pub fn set_domain_count(scheduler: &mut OrderScheduler, domain_count: u32) {
    scheduler.options.domain_count = domain_count;
}

/// `run` keeps the lease and puts out the orders that are due.
pub fn run(scheduler: &mut OrderScheduler, now: Timestamp) -> Vec<OrderEffect> {
    let mut effects = Vec::new();
    if let Some(effect) = crate::engine_orders::order_leases::run_lease(scheduler, now) {
        effects.push(OrderEffect::Lease(effect));
    }
    if let Lease::Held(held) = &scheduler.lease {
        let held = held.clone();
        begin_term(scheduler, &held);
        issue_orders(scheduler, &held, now, &mut effects);
    }
    effects
}

/// `apply_order_result` notes how an order ended.
pub fn apply_order_result(
    scheduler: &mut OrderScheduler,
    now: Timestamp,
    upstream: UpstreamId,
    result: OrderResult,
) {
    let flight = scheduler.options.order_flight_limit;
    let Some(engine) = scheduler.engines.get_mut(&upstream) else { return };
    engine.in_flight = false;
    match result {
        OrderResult::Taken => {}
        OrderResult::NotSent => engine.last_order = None,
        // An order that may still arrive would undo the next one to this engine.
        OrderResult::Unknown => engine.in_flight_until = now + flight,
        // A later holder exists, whatever this instance believes.
        OrderResult::Refused => {
            scheduler.lease = Lease::Absent { retry_at: now + scheduler.options.lease_ttl }
        }
    }
}

/// `may_send` tells whether an order may still be sent; it is called right before sending.
///
/// A holder that was paused after it decided on the order would otherwise send it when another one
/// has ordered something newer, and an engine that does not check numbers would go back.
///
/// ```
/// use std::time::Duration;
/// use bergamotpitch_control::engine_orders::order_leases::OrderGuards;
/// use bergamotpitch_control::engine_orders::orders::{Order, may_send};
/// let send_by = Duration::from_secs(8);
/// let order = Order { upstream: 1, fencing: 1, model: "roses".to_owned(), send_by };
/// assert!(may_send(&order, Duration::from_secs(7), OrderGuards::default()));
/// assert!(!may_send(&order, Duration::from_secs(8), OrderGuards::default()));
/// ```
pub fn may_send(order: &Order, now: Timestamp, guards: OrderGuards) -> bool {
    now < order.send_by || !guards.stops_before_expiry
}

/// `load_interval` is the time between two loads in one domain.
///
/// The weight store's rate is split evenly by domain ahead of time, so that domains need not talk
/// to keep it.
///
/// ```
/// use std::time::Duration;
/// use bergamotpitch_control::engine_orders::orders::{OrderOptions, load_interval};
/// let options =
///     OrderOptions { store_loads_per_minute: 60.0, domain_count: 3, ..OrderOptions::default() };
/// assert_eq!(load_interval(&options), Duration::from_secs(3));
/// ```
pub fn load_interval(options: &OrderOptions) -> Duration {
    let loads_per_second = options.store_loads_per_minute / 60.0;
    let interval = f64::from(options.domain_count.max(1)) / loads_per_second.max(1e-6);
    Duration::from_secs_f64(interval)
}

// Others may have ordered something since this instance last held the lease, and whoever held it
// before may have begun a load just now.
fn begin_term(scheduler: &mut OrderScheduler, held: &Held) {
    if scheduler.term == Some(held.fencing) {
        return;
    }
    scheduler.term = Some(held.fencing);
    scheduler.next_load_at = held.acquired_at + load_interval(&scheduler.options);
    scheduler.engines.values_mut().for_each(|engine| engine.last_order = None);
}

fn issue_orders(
    scheduler: &mut OrderScheduler,
    held: &Held,
    now: Timestamp,
    effects: &mut Vec<OrderEffect>,
) {
    if held.valid_until <= now || !scheduler.is_candidate {
        return;
    }
    for wanted in &scheduler.wanted {
        if now < scheduler.next_load_at {
            return;
        }
        let engine = scheduler.engines.entry(wanted.upstream).or_default();
        if !is_due(engine, wanted, now, scheduler.options.resend_interval)
            || now < earliest_order(held, wanted, &scheduler.options)
        {
            continue;
        }
        engine.in_flight = true;
        engine.last_order = Some((wanted.model.clone(), now));
        scheduler.next_load_at = now + load_interval(&scheduler.options);
        effects.push(OrderEffect::Send(Order {
            upstream: wanted.upstream,
            fencing: held.fencing,
            model: wanted.model.clone(),
            send_by: held.valid_until,
        }));
    }
}

fn is_due(
    engine: &EngineOrders,
    wanted: &WantedModel,
    now: Timestamp,
    resend_interval: Duration,
) -> bool {
    if engine.in_flight || now < engine.in_flight_until {
        return false;
    }
    match &engine.last_order {
        Some((model, at)) if *model == wanted.model => {
            wanted.reported_model.as_ref() != Some(&wanted.model) && *at + resend_interval <= now
        }
        Some(_) => true,
        None => wanted.reported_model.as_ref() != Some(&wanted.model),
    }
}

// An order that the holder before checked just before its lease ended may take until the flight
// limit to arrive. An engine that checks numbers refuses it; any other must not get the new
// holder's order before that one.
fn earliest_order(held: &Held, wanted: &WantedModel, options: &OrderOptions) -> Timestamp {
    if wanted.checks_fencing || !options.guards.waits_for_orders_in_flight {
        return held.acquired_at;
    }
    held.acquired_at + options.order_flight_limit + options.lease_margin
}

//! Order runs: instances that compete for a lease and order engines, in virtual time, with pauses,
//! clocks that drift and a platform that does not answer.

use std::time::Duration;

use bergamotpitch_control::engine_orders::order_leases::apply_lease_event;
use bergamotpitch_control::engine_orders::order_leases::{
    LeaseEffect, LeaseEvent, OrderGuards, lock_effect,
};
use bergamotpitch_control::engine_orders::orders::{
    Order, OrderEffect, OrderOptions, OrderResult, OrderScheduler, WantedModel, apply_order_result,
    may_send, run, set_candidate, set_wanted,
};
use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::UpstreamId;
use bergamotpitch_core::units::Timestamp;

use crate::order_histories::OrderTaken;
use crate::randoms::{self, Random};

/// Time between two steps.
const TICK: Duration = Duration::from_millis(20);

/// Time that an engine needs to load a model.
const LOAD_TIME: Duration = Duration::from_secs(4);

/// `OrderFleet` is a set of instances that compete for one lease, with the engines of the domain.
#[derive(Debug)]
pub struct OrderFleet {
    /// Present time.
    pub now: Timestamp,
    /// Orders that took effect.
    pub history: Vec<OrderTaken>,
    /// Model that the engines should have loaded.
    pub wanted: u64,
    /// Instances that compete for the lease.
    pub holders: Vec<Holder>,
    /// Engines.
    pub engines: Vec<Engine>,
    options: OrderOptions,
    sessions: HashMap<String, Timestamp>,
    lock: Option<String>,
    lock_index: u64,
    sessions_made: u64,
    arrivals: Vec<Arrival>,
    random: Random,
}

/// `Holder` is one instance.
#[derive(Debug)]
pub struct Holder {
    /// Time until which it sleeps.
    pub paused_until: Timestamp,
    /// True while the platform does not answer it.
    pub platform_cut: bool,
    /// Speed of its clock; 1 is right.
    pub clock_speed: f64,
    duty: OrderScheduler,
    calls: Vec<(Timestamp, LeaseEffect)>,
    results: Vec<(Timestamp, LeaseEvent)>,
    connecting: Vec<(Timestamp, Order)>,
    ends: Vec<(Timestamp, UpstreamId, OrderResult)>,
    orders_sent: u64,
}

/// `Engine` is one engine.
#[derive(Debug, Clone, Default)]
pub struct Engine {
    /// True when it refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// Model that it has loaded.
    pub model: Option<String>,
    highest_fencing: u64,
    loading: Option<(Timestamp, String)>,
}

#[derive(Debug)]
struct Arrival {
    at: Timestamp,
    holder: usize,
    number: u64,
    order: Order,
}

/// `new_fleet` makes instances that compete for the lease, and engines.
pub fn new_fleet(
    holder_count: usize,
    engine_count: usize,
    checks_fencing: bool,
    guards: OrderGuards,
    seed: u64,
) -> OrderFleet {
    // Orders may be held up for longer than the margin of a lease, so that the margin alone does
    // not keep the orders of two holders apart.
    let options = OrderOptions {
        guards,
        order_flight_limit: Duration::from_secs(6),
        store_loads_per_minute: 180.0,
        ..OrderOptions::default()
    };
    let mut random = randoms::seeded(seed);
    let holders = (0..holder_count)
        .map(|_| {
            let mut duty = OrderScheduler::new(options.clone());
            set_candidate(&mut duty, true);
            Holder {
                paused_until: Duration::ZERO,
                platform_cut: false,
                clock_speed: 0.99 + 0.02 * randoms::unit(&mut random),
                duty,
                calls: Vec::new(),
                results: Vec::new(),
                connecting: Vec::new(),
                ends: Vec::new(),
                orders_sent: 0,
            }
        })
        .collect();
    let engine = Engine { checks_fencing, ..Engine::default() };
    OrderFleet {
        now: Duration::ZERO,
        history: Vec::new(),
        wanted: 0,
        holders,
        engines: vec![engine; engine_count],
        options,
        sessions: HashMap::default(),
        lock: None,
        lock_index: 0,
        sessions_made: 0,
        arrivals: Vec::new(),
        random,
    }
}

/// `set_holding` says whether an instance is a candidate for the lease.
pub fn set_holding(fleet: &mut OrderFleet, holder: usize, is_candidate: bool) {
    set_candidate(&mut fleet.holders[holder].duty, is_candidate);
}

/// `pause_holder` lets the instance that holds the lock sleep.
pub fn pause_holder(fleet: &mut OrderFleet, length: Duration) {
    let now = fleet.now;
    for holder in fleet.holders.iter_mut().filter(|holder| holder.duty.fencing().is_some()) {
        holder.paused_until = now + length;
    }
}

/// `cut_holder` cuts the instance that holds the lock from the platform.
pub fn cut_holder(fleet: &mut OrderFleet) {
    for holder in fleet.holders.iter_mut().filter(|holder| holder.duty.fencing().is_some()) {
        holder.platform_cut = true;
    }
}

/// `run_for` runs the fleet for a time.
pub fn run_for(fleet: &mut OrderFleet, length: Duration) {
    let until = fleet.now + length;
    while fleet.now < until {
        fleet.now += TICK;
        expire_sessions(fleet);
        arrive(fleet);
        for holder in 0..fleet.holders.len() {
            make_calls(fleet, holder);
            if fleet.holders[holder].paused_until <= fleet.now {
                turn(fleet, holder);
            }
        }
    }
}

// One turn of a driver: results are taken in, connections that are made are used, decisions follow.
fn turn(fleet: &mut OrderFleet, holder: usize) {
    let now = fleet.now;
    let clock = clock_of(fleet, holder);
    let entry = &mut fleet.holders[holder];
    for (_, event) in take_due(&mut entry.results, now, |result| result.0) {
        apply_lease_event(&mut entry.duty, clock, event);
        if let Some(effect) = lock_effect(&entry.duty) {
            entry.calls.push((now, effect));
        }
    }
    for (_, upstream, end) in take_due(&mut entry.ends, now, |end| end.0) {
        apply_order_result(&mut entry.duty, clock, upstream, end);
    }
    for (_, order) in take_due(&mut entry.connecting, now, |connecting| connecting.0) {
        send(fleet, holder, order);
    }
    let wanted = wanted_models(fleet);
    let entry = &mut fleet.holders[holder];
    set_wanted(&mut entry.duty, wanted);
    for effect in run(&mut entry.duty, clock) {
        match effect {
            OrderEffect::Lease(effect) => fleet.holders[holder].calls.push((now, effect)),
            OrderEffect::Send(order) => {
                let connect = draw(fleet, Duration::from_millis(400));
                fleet.holders[holder].connecting.push((now + connect, order));
            }
        }
    }
}

fn send(fleet: &mut OrderFleet, holder: usize, order: Order) {
    let clock = clock_of(fleet, holder);
    if !may_send(&order, clock, fleet.options.guards) {
        let end = (fleet.now, order.upstream, OrderResult::NotSent);
        fleet.holders[holder].ends.push(end);
        return;
    }
    // Most orders arrive at once; some are held up by the network up to the limit.
    let most = fleet.options.order_flight_limit;
    let flight = if randoms::unit(&mut fleet.random) < 0.5 {
        draw(fleet, Duration::from_millis(5))
    } else {
        draw(fleet, most)
    };
    fleet.holders[holder].orders_sent += 1;
    let number = fleet.holders[holder].orders_sent;
    fleet.arrivals.push(Arrival { at: fleet.now + flight, holder, number, order });
}

fn arrive(fleet: &mut OrderFleet) {
    let now = fleet.now;
    let mut due = take_due(&mut fleet.arrivals, now, |arrival| arrival.at);
    due.sort_by_key(|arrival| arrival.at);
    for engine in &mut fleet.engines {
        if let Some((_, model)) = engine.loading.take_if(|loading| loading.0 <= now) {
            engine.model = Some(model);
        }
    }
    for Arrival { at, holder, number, order } in due {
        let index = order.upstream as usize;
        let engine = &mut fleet.engines[index];
        let is_old = order.fencing < engine.highest_fencing;
        engine.highest_fencing = engine.highest_fencing.max(order.fencing);
        let is_lost = randoms::unit(&mut fleet.random) < 0.2;
        let end = match (is_old && engine.checks_fencing, is_lost) {
            (true, _) => OrderResult::Refused,
            (false, true) => OrderResult::Unknown,
            (false, false) => OrderResult::Taken,
        };
        fleet.holders[holder].ends.push((now, order.upstream, end));
        if end != OrderResult::Refused {
            engine.loading = Some((at + LOAD_TIME, order.model.clone()));
            let (fencing, model) = (order.fencing, order.model);
            fleet.history.push(OrderTaken { at, engine: index, fencing, number, model });
        }
    }
}

fn make_calls(fleet: &mut OrderFleet, holder: usize) {
    let now = fleet.now;
    for (_, effect) in take_due(&mut fleet.holders[holder].calls, now, |call| call.0) {
        let way = draw(fleet, Duration::from_millis(20));
        let event = if fleet.holders[holder].platform_cut {
            LeaseEvent::Failed
        } else {
            let event = take_call(fleet, effect);
            // Some answers are lost after the call took effect.
            let is_lost = randoms::unit(&mut fleet.random) < 0.05;
            if is_lost { LeaseEvent::Failed } else { event }
        };
        fleet.holders[holder].results.push((now + way, event));
    }
}

fn take_call(fleet: &mut OrderFleet, effect: LeaseEffect) -> LeaseEvent {
    let ends = fleet.now + fleet.options.lease_ttl;
    match effect {
        LeaseEffect::Open => {
            fleet.sessions_made += 1;
            let session = format!("session-{}", fleet.sessions_made);
            fleet.sessions.insert(session.clone(), ends);
            LeaseEvent::Opened { session }
        }
        LeaseEffect::Lock { session } if !fleet.sessions.contains_key(&session) => {
            LeaseEvent::Ended
        }
        LeaseEffect::Lock { session } => {
            if fleet.lock.is_none() {
                fleet.lock = Some(session.clone());
                fleet.lock_index += 1;
            }
            if fleet.lock.as_ref() == Some(&session) {
                LeaseEvent::Locked { fencing: fleet.lock_index }
            } else {
                fleet.sessions.remove(&session);
                LeaseEvent::Taken
            }
        }
        LeaseEffect::Renew { session } => match fleet.sessions.get_mut(&session) {
            Some(end) => {
                *end = ends;
                LeaseEvent::Renewed
            }
            None => LeaseEvent::Ended,
        },
        LeaseEffect::Close { session } => {
            fleet.sessions.remove(&session);
            expire_sessions(fleet);
            LeaseEvent::Ended
        }
    }
}

fn expire_sessions(fleet: &mut OrderFleet) {
    let now = fleet.now;
    fleet.sessions.retain(|_, ends| now < *ends);
    if fleet.lock.as_ref().is_some_and(|session| !fleet.sessions.contains_key(session)) {
        fleet.lock = None;
    }
}

fn wanted_models(fleet: &OrderFleet) -> Vec<WantedModel> {
    let of_engine = |(index, engine): (usize, &Engine)| WantedModel {
        upstream: index as UpstreamId,
        model: format!("model-{}", fleet.wanted),
        reported_model: engine.model.clone(),
        checks_fencing: engine.checks_fencing,
    };
    fleet.engines.iter().enumerate().map(of_engine).collect()
}

fn clock_of(fleet: &OrderFleet, holder: usize) -> Timestamp {
    fleet.now.mul_f64(fleet.holders[holder].clock_speed)
}

fn take_due<T>(list: &mut Vec<T>, now: Timestamp, at: impl Fn(&T) -> Timestamp) -> Vec<T> {
    let (due, later) = std::mem::take(list).into_iter().partition(|entry| at(entry) <= now);
    *list = later;
    due
}

fn draw(fleet: &mut OrderFleet, most: Duration) -> Duration {
    most.mul_f64(randoms::unit(&mut fleet.random))
}

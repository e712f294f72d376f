//! Orders to engines: the task that keeps the domain's lease and sends what is due.

use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_control::engine_orders::order_leases::{
    LeaseEffect, LeaseEvent, OrderGuards, apply_lease_event, lock_effect,
};
use bergamotpitch_control::engine_orders::orders::{
    Order, OrderEffect, OrderOptions, OrderResult, OrderScheduler, WantedModel, apply_order_result,
    may_send, run, set_candidate, set_domain_count, set_wanted,
};
use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::UpstreamId;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};

use crate::clients::Platform;
use crate::clocks::process_time;
use crate::errors::Result;

/// Prefix of the keys whose locks are the leases, one for each failure domain.
pub const ORDERS_PREFIX: &str = "bergamotpitch/orders/";

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);

/// `OrderTarget` is an engine of the domain and what it should have loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderTarget {
    /// What it should have loaded.
    pub wanted: WantedModel,
    /// Where it is reached.
    pub address: SocketAddr,
}

/// `OrderWish` is what the owner of the driver wants of it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OrderWish {
    /// True when this instance should hold the lease.
    pub is_candidate: bool,
    /// Failure domains that share the weight store.
    pub domain_count: u32,
    /// Engines of the domain.
    pub targets: Vec<OrderTarget>,
}

/// `OrderNotice` is something that the owner may want to note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderNotice {
    /// The lease was won.
    LeaseWon {
        /// Its fencing number.
        fencing: u64,
    },
    /// The lease was lost or given up.
    LeaseLost {
        /// Its fencing number.
        fencing: u64,
    },
    /// An order ended.
    OrderEnded {
        /// The engine.
        upstream: UpstreamId,
        /// The model.
        model: String,
        /// How it ended.
        end: OrderResult,
    },
}

/// `OrderDriver` keeps the lease and sends orders.
#[derive(Debug)]
pub struct OrderDriver {
    wishes: watch::Sender<OrderWish>,
    task: JoinHandle<()>,
}

impl OrderDriver {
    /// `start` starts the task for a failure domain; `notify` is told what happens. It must be
    /// called within a tokio runtime.
    pub fn start(
        platform: Platform,
        domain: &str,
        options: OrderOptions,
        notify: impl Fn(OrderNotice) + Send + Sync + 'static,
    ) -> Self {
        let (wishes, receiver) = watch::channel(OrderWish::default());
        let key = format!("{ORDERS_PREFIX}{domain}");
        let task = tokio::spawn(drive(platform, key, options, receiver, Box::new(notify)));
        Self { wishes, task }
    }

    /// `set_wish` takes over what is wanted; nothing is sent before the next look.
    pub fn set_wish(&self, wish: OrderWish) {
        self.wishes.send_replace(wish);
    }

    /// `close` gives the lease up once no order is under way, and stops the task.
    pub async fn close(self) {
        let Self { wishes, task } = self;
        drop(wishes);
        let _ = task.await;
    }
}

type Notify = Box<dyn Fn(OrderNotice) + Send + Sync>;

struct Driver {
    duty: OrderScheduler,
    addresses: HashMap<UpstreamId, SocketAddr>,
    lease_calls: mpsc::UnboundedSender<LeaseEffect>,
    orders: JoinSet<(Order, OrderResult)>,
    notify: Notify,
}

async fn drive(
    platform: Platform,
    key: String,
    options: OrderOptions,
    mut wishes: watch::Receiver<OrderWish>,
    notify: Notify,
) {
    let (lease_calls, calls) = mpsc::unbounded_channel();
    let (results, mut lease_events) = mpsc::unbounded_channel();
    let caller = tokio::spawn(make_lease_calls(platform, key, options.lease_ttl, calls, results));
    let duty = OrderScheduler::new(options);
    let addresses = HashMap::default();
    let orders = JoinSet::new();
    let mut driver = Driver { duty, addresses, lease_calls, orders, notify };
    let mut ticks = tokio::time::interval(TICK);
    let mut is_closing = false;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            changed = wishes.changed(), if !is_closing => is_closing = changed.is_err(),
            Some(event) = lease_events.recv() => take_lease_event(&mut driver, event),
            Some(Ok((order, end))) = driver.orders.join_next() => take_end(&mut driver, order, end),
        }
        let wish = if is_closing { OrderWish::default() } else { wishes.borrow().clone() };
        take_wish(&mut driver, wish);
        let held = driver.duty.fencing();
        for effect in run(&mut driver.duty, process_time()) {
            put_out(&mut driver, effect);
        }
        note_lease(&driver, held);
        if is_closing && driver.duty.fencing().is_none() {
            break;
        }
    }
    // The lock is freed by the last call in the queue.
    drop(driver);
    let _ = caller.await;
}

fn take_wish(driver: &mut Driver, wish: OrderWish) {
    set_candidate(&mut driver.duty, wish.is_candidate);
    set_domain_count(&mut driver.duty, wish.domain_count);
    driver.addresses =
        wish.targets.iter().map(|target| (target.wanted.upstream, target.address)).collect();
    set_wanted(&mut driver.duty, wish.targets.into_iter().map(|target| target.wanted).collect());
}

fn take_lease_event(driver: &mut Driver, event: LeaseEvent) {
    let held = driver.duty.fencing();
    apply_lease_event(&mut driver.duty, process_time(), event);
    if let Some(effect) = lock_effect(&driver.duty) {
        let _ = driver.lease_calls.send(effect);
    }
    note_lease(driver, held);
}

fn take_end(driver: &mut Driver, order: Order, end: OrderResult) {
    let held = driver.duty.fencing();
    apply_order_result(&mut driver.duty, process_time(), order.upstream, end);
    let Order { upstream, model, .. } = order;
    (driver.notify)(OrderNotice::OrderEnded { upstream, model, end });
    note_lease(driver, held);
}

fn note_lease(driver: &Driver, before: Option<u64>) {
    let after = driver.duty.fencing();
    if before == after {
        return;
    }
    if let Some(fencing) = before {
        (driver.notify)(OrderNotice::LeaseLost { fencing });
    }
    if let Some(fencing) = after {
        (driver.notify)(OrderNotice::LeaseWon { fencing });
    }
}

fn put_out(driver: &mut Driver, effect: OrderEffect) {
    match effect {
        OrderEffect::Lease(effect) => {
            let _ = driver.lease_calls.send(effect);
        }
        OrderEffect::Send(order) => {
            let address = driver.addresses.get(&order.upstream).copied();
            let options = driver.duty.options();
            let (flight_limit, guards) = (options.order_flight_limit, options.guards);
            driver.orders.spawn(async move {
                let end = match address {
                    Some(address) => send_order(&order, address, flight_limit, guards).await,
                    None => OrderResult::NotSent,
                };
                (order, end)
            });
        }
    }
}

// One call after the other, so that results come in the order of the calls.
async fn make_lease_calls(
    platform: Platform,
    key: String,
    ttl: Duration,
    mut calls: mpsc::UnboundedReceiver<LeaseEffect>,
    results: mpsc::UnboundedSender<LeaseEvent>,
) {
    while let Some(effect) = calls.recv().await {
        let event = make_lease_call(&platform, &key, ttl, effect).await.unwrap_or_else(|error| {
            log::debug!("a call for the lease {key} failed: {error}");
            LeaseEvent::Failed
        });
        let _ = results.send(event);
    }
}

async fn make_lease_call(
    platform: &Platform,
    key: &str,
    ttl: Duration,
    effect: LeaseEffect,
) -> Result<LeaseEvent> {
    match effect {
        LeaseEffect::Open => {
            let session = platform.create_session(ttl).await?;
            Ok(LeaseEvent::Opened { session })
        }
        LeaseEffect::Lock { session } => lock(platform, key, session).await,
        LeaseEffect::Renew { session } => {
            let is_alive = platform.renew_session(&session).await?;
            Ok(if is_alive { LeaseEvent::Renewed } else { LeaseEvent::Ended })
        }
        LeaseEffect::Close { session } => {
            platform.destroy_session(&session).await?;
            Ok(LeaseEvent::Ended)
        }
    }
}

// The answer to the asking may be lost; what is read afterwards tells whether the lock is held.
async fn lock(platform: &Platform, key: &str, session: String) -> Result<LeaseEvent> {
    let asked = platform.acquire_lock(key, &session, Bytes::new()).await;
    let entry = platform.get(key).await?;
    let held = entry.filter(|entry| entry.session.as_ref() == Some(&session));
    if let Some(entry) = held {
        return Ok(LeaseEvent::Locked { fencing: entry.lock_index });
    }
    // A session without the lock would live on and cost the platform its expiry.
    platform.destroy_session(&session).await?;
    asked.map(|_| LeaseEvent::Taken)
}

#[derive(Serialize)]
struct OrderBody<'a> {
    fencing: u64,
    model: &'a str,
}

// The connection is made before the clock is checked, so that nothing slow lies between the check
// and the sending. After the flight limit the kernel breaks the connection, also while this process
// is paused, so that no late order waits in a buffer.
async fn send_order(
    order: &Order,
    address: SocketAddr,
    flight_limit: Duration,
    guards: OrderGuards,
) -> OrderResult {
    let Ok(Ok(stream)) = tokio::time::timeout(flight_limit, TcpStream::connect(address)).await
    else {
        return OrderResult::NotSent;
    };
    let options = socket2::SockRef::from(&stream);
    let is_limited = options.set_tcp_user_timeout(Some(flight_limit)).is_ok();
    let _ = stream.set_nodelay(true);
    let Ok((mut sender, connection)) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await
    else {
        return OrderResult::NotSent;
    };
    let Some(request) = order_request(order, address).filter(|_| is_limited) else {
        return OrderResult::NotSent;
    };
    if !may_send(order, process_time(), guards) {
        return OrderResult::NotSent;
    }
    let exchange = async {
        tokio::select! {
            response = sender.send_request(request) => response.ok(),
            // The connection ended before the answer, or broke.
            _ = connection => None,
        }
    };
    match tokio::time::timeout(flight_limit, exchange).await {
        Ok(Some(response)) if response.status() == StatusCode::CONFLICT => OrderResult::Refused,
        Ok(Some(response)) if response.status().is_success() => OrderResult::Taken,
        _ => OrderResult::Unknown,
    }
}

fn order_request(order: &Order, address: SocketAddr) -> Option<Request<Full<Bytes>>> {
    let body = OrderBody { fencing: order.fencing, model: &order.model };
    let body = serde_json::to_vec(&body).ok()?;
    Request::builder()
        .method(Method::POST)
        .uri("/orders")
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .ok()
}

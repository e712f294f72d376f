//! Orders to an engine, and whether it checks who gives them.

use serde::{Deserialize, Serialize};

/// `Order` asks an engine to load a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the lease under which the order is given.
    pub fencing: u64,
    /// Model to load.
    pub model: String,
}

/// `OrderRecord` is an order that came to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderRecord {
    /// Name of the upstream.
    pub upstream: String,
    /// Fencing number that the order carried.
    pub fencing: u64,
    /// Model that it asked for.
    pub model: String,
    /// True when the engine obeyed.
    pub accepted: bool,
    /// True when an order with a higher fencing number had come before.
    pub stale: bool,
    /// When it came, in microseconds since the Unix epoch.
    pub time_us: u64,
}

/// `OrderBook` is what an engine remembers of its orders.
#[derive(Debug, Default)]
pub struct OrderBook {
    /// True when an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// Highest fencing number that came.
    pub highest_fencing: u64,
    /// Every order that came.
    pub records: Vec<OrderRecord>,
}

/// `take_order` notes an order and tells whether the engine obeys it.
///
/// ```
/// use bergamotpitch_standin::orders::{Order, OrderBook, take_order};
/// let mut book = OrderBook { checks_fencing: true, ..OrderBook::default() };
/// let order = |fencing| Order { fencing, model: "m".to_owned() };
/// assert!(take_order(&mut book, "e1", &order(2), 0));
/// assert!(!take_order(&mut book, "e1", &order(1), 0));
/// ```
pub fn take_order(book: &mut OrderBook, upstream: &str, order: &Order, time_us: u64) -> bool {
    let stale = order.fencing < book.highest_fencing;
    let accepted = !(stale && book.checks_fencing);
    book.highest_fencing = book.highest_fencing.max(order.fencing);
    book.records.push(OrderRecord {
        upstream: upstream.to_owned(),
        fencing: order.fencing,
        model: order.model.clone(),
        accepted,
        stale,
        time_us,
    });
    accepted
}

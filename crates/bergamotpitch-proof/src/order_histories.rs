//! Order histories: which orders took effect at an engine, and the check that none took effect after
//! a newer one.

use bergamotpitch_core::units::Timestamp;

/// `OrderTaken` is an order that took effect at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderTaken {
    /// When.
    pub at: Timestamp,
    /// Index of the engine.
    pub engine: usize,
    /// Fencing number that it carried.
    pub fencing: u64,
    /// Number among the orders of its holder.
    pub number: u64,
    /// Model that it named.
    pub model: String,
}

/// `check_orders` lists the orders that took effect after a newer one at the same engine.
///
/// ```
/// use bergamotpitch_proof::order_histories::check_orders;
/// assert!(check_orders(&[]).is_empty());
/// ```
pub fn check_orders(history: &[OrderTaken]) -> Vec<OrderTaken> {
    let is_late = |index: usize, order: &OrderTaken| {
        history[..index].iter().any(|earlier| {
            earlier.engine == order.engine
                && (order.fencing, order.number) < (earlier.fencing, earlier.number)
        })
    };
    history
        .iter()
        .enumerate()
        .filter(|(index, order)| is_late(*index, order))
        .map(|(_, order)| order.clone())
        .collect()
}

/// `check_pace` lists the orders, in order of time, that came sooner than the spacing allows: at
/// most `count` within each `span`.
pub fn check_pace(
    history: &[OrderTaken],
    count: usize,
    span: std::time::Duration,
) -> Vec<OrderTaken> {
    history
        .iter()
        .enumerate()
        .filter(|(index, order)| count <= *index && order.at < history[index - count].at + span)
        .map(|(_, order)| order.clone())
        .collect()
}

//! Accounts: what each team's requests have cost at this instance, and what the next will cost.
//!
//! The cost of a request is unknown until its answer ends. A running estimate is charged when it is
//! dispatched, trued up while the answer streams, and settled when it ends.

use bergamotpitch_core::ids::{RequestId, ServiceId, id_of_name};
use bergamotpitch_core::units::CostUnits;

use crate::tables::{QueueKey, Tables};

/// Weight of the latest settled cost in the running estimate.
const ESTIMATE_WEIGHT: f64 = 0.05;

/// `Estimate` is a running mean of settled costs, in cost units.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimate {
    /// Mean.
    pub mean_cost: f64,
    /// Costs that went into it.
    pub count: u32,
}

/// `charge_up_to` sets what a request has cost its team so far.
pub fn charge_up_to(tables: &mut Tables, request: RequestId, cost: CostUnits) {
    let Some(entry) = tables.requests.get_mut(&request) else { return };
    let key = QueueKey { service: entry.arrival.service, team: entry.arrival.team };
    let account = tables.accounts.entry(key).or_default();
    *account = account.saturating_sub(entry.charged_cost) + cost;
    if entry.charged_cost != cost {
        tables.charged.insert(key);
    }
    entry.charged_cost = cost;
}

/// `charge_final_cost` charges the whole cost of an answered request and learns from it.
pub fn charge_final_cost(tables: &mut Tables, request: RequestId, cost: CostUnits) {
    let Some(entry) = tables.requests.get(&request) else { return };
    let key = QueueKey { service: entry.arrival.service, team: entry.arrival.team };
    charge_up_to(tables, request, cost);
    update_estimate(tables.team_estimates.entry(key).or_default(), cost);
    update_estimate(tables.service_estimates.entry(key.service).or_default(), cost);
}

fn update_estimate(estimate: &mut Estimate, cost: CostUnits) {
    estimate.count = estimate.count.saturating_add(1);
    let weight = ESTIMATE_WEIGHT.max(1.0 / f64::from(estimate.count));
    estimate.mean_cost += (cost as f64 - estimate.mean_cost) * weight;
}

/// `team_estimate` is what the next request of a team will likely cost.
pub fn team_estimate(tables: &Tables, key: QueueKey) -> CostUnits {
    match tables.team_estimates.get(&key) {
        Some(estimate) if 0 < estimate.count => estimate.mean_cost as CostUnits,
        _ => service_estimate(tables, key.service),
    }
}

/// `service_estimate` is what a request for a service will likely cost.
pub fn service_estimate(tables: &Tables, service: ServiceId) -> CostUnits {
    match tables.service_estimates.get(&service) {
        Some(estimate) if 0 < estimate.count => estimate.mean_cost as CostUnits,
        _ => first_estimate(tables, service),
    }
}

fn first_estimate(tables: &Tables, service: ServiceId) -> CostUnits {
    let Some(accepted) = &tables.sheet else { return 0 };
    let entry = accepted.sheet.services.iter().find(|entry| id_of_name(&entry.name) == service);
    entry.map_or(0, |entry| entry.first_estimate_cost)
}

//! Evacuations: failure domains whose upstreams get nothing new until operators say otherwise.
//!
//! An instance hears of an evacuation from the platform and from peers, in any order and more than
//! once. Each order has a version that only grows, so that an old one which comes late neither
//! begins an evacuation that is over nor ends one that lasts.

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{DomainId, id_of_name};

/// `EvacuationVersion` orders the changes of evacuations; a later one has a larger number.
pub type EvacuationVersion = u64;

/// `EvacuationOrder` begins or ends the evacuation of one failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationOrder {
    /// Name of the failure domain.
    pub domain: String,
    /// Version of this change.
    pub version: EvacuationVersion,
    /// Whether the domain is to get nothing new.
    pub is_evacuated: bool,
}

/// `Evacuations` is the table of the newest order for each failure domain.
#[derive(Debug, Default)]
pub struct Evacuations {
    orders: HashMap<DomainId, EvacuationOrder>,
}

impl Evacuations {
    /// `apply` takes in an order; it tells whether the domain's state has changed.
    ///
    /// ```
    /// use bergamotpitch_control::traffic::evacuations::{EvacuationOrder, Evacuations};
    ///
    /// let order = |version, is_evacuated| EvacuationOrder {
    ///     domain: "north-a".to_owned(),
    ///     version,
    ///     is_evacuated,
    /// };
    /// let mut evacuations = Evacuations::default();
    /// assert!(evacuations.apply(&order(7, true)));
    /// assert!(evacuations.apply(&order(9, false)));
    /// assert!(!evacuations.apply(&order(7, true)), "it is older than the end");
    /// ```
    pub fn apply(&mut self, order: &EvacuationOrder) -> bool {
        let domain = id_of_name(&order.domain);
        if !self.is_older_than(order) {
            return false;
        }
        let was_evacuated = self.is_evacuated(domain);
        self.orders.insert(domain, order.clone());
        was_evacuated != order.is_evacuated
    }

    /// `is_older_than` tells whether an order is newer than what is known of its domain.
    pub fn is_older_than(&self, order: &EvacuationOrder) -> bool {
        let known = self.orders.get(&id_of_name(&order.domain));
        known.is_none_or(|known| known.version < order.version)
    }

    /// `is_evacuated` tells whether a failure domain is to get nothing new.
    pub fn is_evacuated(&self, domain: DomainId) -> bool {
        self.orders.get(&domain).is_some_and(|order| order.is_evacuated)
    }

    /// `version` returns the version of the newest order; 0 before the first.
    pub fn version(&self) -> EvacuationVersion {
        self.orders.values().map(|order| order.version).max().unwrap_or_default()
    }

    /// `evacuated` returns the names of the failure domains that are evacuated, in order.
    pub fn evacuated(&self) -> Vec<&str> {
        let evacuated = self.orders.values().filter(|order| order.is_evacuated);
        let mut domains: Vec<&str> = evacuated.map(|order| order.domain.as_str()).collect();
        domains.sort_unstable();
        domains
    }
}

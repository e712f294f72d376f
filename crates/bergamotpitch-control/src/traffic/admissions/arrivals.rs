//! Arrivals: which upstreams are cold or evacuated, and how many more requests each may get.

use std::time::Duration;

use bergamotpitch_core::ids::id_of_name;
use bergamotpitch_core::units::Timestamp;

use super::Traffic;
use crate::traffic::catalogs::Catalog;
use crate::traffic::evacuations::EvacuationOrder;
use crate::traffic::registries::{Change, Registration, Upstream, UpstreamKey};
use crate::traffic::warm_ups::{ArrivalLimiter, Authority, WarmUp};

impl Traffic {
    /// `evacuate` takes in that a failure domain is evacuated, or is so no more; it tells whether its
    /// state has changed.
    pub fn evacuate(&mut self, order: &EvacuationOrder, now: Timestamp) -> bool {
        let has_changed = self.registry.evacuate(order);
        if has_changed && !order.is_evacuated {
            let domain = id_of_name(&order.domain);
            let of_domain = self.registry.all().filter(|other| other.domain_number == domain);
            let keys: Vec<UpstreamKey> = of_domain.map(|upstream| upstream.key).collect();
            keys.into_iter().for_each(|key| self.note_cold(key, now));
        }
        has_changed
    }

    /// `cold_count` returns how many upstreams count as cold.
    pub fn cold_count(&self, now: Timestamp) -> usize {
        self.states.values().filter(|state| state.arrivals.is_cold(now)).count()
    }

    /// `evacuated_requests` returns how many requests are at upstreams of evacuated failure domains.
    pub fn evacuated_requests(&self, now: Timestamp) -> u32 {
        let evacuated = self.registry.all().filter(|upstream| upstream.is_evacuated);
        let states = evacuated.filter_map(|upstream| self.states.get(&upstream.key));
        states.map(|state| state.load.figures(now, &self.options.loads).requests).sum()
    }

    /// `set_services` takes in what operators say of services.
    pub fn set_services(&mut self, catalog: &Catalog) {
        let services = catalog.services.values();
        let warm_ups =
            services.filter_map(|service| Some((service.name.clone(), service.warm_up?)));
        self.warm_ups = warm_ups.collect();
    }

    /// `bounds_arrivals` tells whether operators bound what upstreams of some service get.
    pub fn bounds_arrivals(&self) -> bool {
        self.options.policy.warm_up_limits && !self.warm_ups.is_empty()
    }

    /// `listed` takes in one entry of the list.
    pub fn listed(&mut self, registration: Registration, now: Timestamp) -> Vec<Change> {
        let (id, cold_left) = (registration.id.clone(), registration.cold_left);
        let changes = self.registry.listed(registration);
        let Some(key) = self.registry.key_of(&id) else { return changes };
        let is_new = changes.contains(&Change::Joined(key));
        match cold_left {
            Some(Duration::ZERO) => {}
            Some(cold_left) => self.arrivals(key).note_cold(cold_left, now),
            None if is_new => self.note_cold(key, now),
            None => {}
        }
        changes
    }

    /// `note_cold_left` takes in from an upstream's own answer for how much longer it is cold.
    pub fn note_cold_left(&mut self, key: UpstreamKey, cold_left: Duration, now: Timestamp) {
        self.arrivals(key).note_cold(cold_left, now);
    }

    /// `note_unreachable` takes in that an upstream took no connection: it may come back cold.
    pub fn note_unreachable(&mut self, key: UpstreamKey, now: Timestamp) {
        self.evidence(key).note_unreachable(now);
        self.note_cold(key, now);
    }

    /// `note_life` takes in that a byte came from an upstream at a time. After a silence it may have
    /// started again meanwhile, and not be listed as cold yet.
    pub fn note_life(&mut self, key: UpstreamKey, at: Timestamp, now: Timestamp) {
        let state = self.states.entry(key).or_default();
        let was_unreachable = state.evidence.has_failed_connections();
        let was_hung = state.evidence.is_silent(now)
            && state.evidence.is_hung(state.load.oldest_unanswered(), now);
        state.evidence.note_life(at);
        if was_unreachable || was_hung {
            self.note_cold(key, now);
        }
    }

    /// An upstream may be cold for the longest time that operators state.
    fn note_cold(&mut self, key: UpstreamKey, now: Timestamp) {
        let service = self.registry.get(key).map(|upstream| &upstream.registration.service);
        let warm_up = service.and_then(|service| self.warm_ups.get(service)).copied();
        if let Some(warm_up) = warm_up {
            self.arrivals(key).note_cold(warm_up.time, now);
        }
    }

    fn arrivals(&mut self, key: UpstreamKey) -> &mut ArrivalLimiter {
        &mut self.states.entry(key).or_default().arrivals
    }

    /// Time until one more request may be placed at an upstream that may use a fraction of its bound.
    pub(super) fn arrival_wait(
        &self,
        upstream: &Upstream,
        arrivals: &ArrivalLimiter,
        fraction: f64,
        now: Timestamp,
    ) -> Duration {
        let bound = self.arrival_bound(upstream, arrivals, now);
        bound.map_or(Duration::ZERO, |(warm_up, authority)| {
            arrivals.wait(warm_up, authority, fraction, now, &self.options.warm_ups)
        })
    }

    pub(super) fn is_bounded_as_cold(
        &self,
        upstream: &Upstream,
        arrivals: &ArrivalLimiter,
        now: Timestamp,
    ) -> bool {
        arrivals.is_cold(now) && self.arrival_bound(upstream, arrivals, now).is_some()
    }

    /// The bound on what an upstream gets, and this instance's part of it; `None` without one.
    pub(super) fn arrival_bound(
        &self,
        upstream: &Upstream,
        arrivals: &ArrivalLimiter,
        now: Timestamp,
    ) -> Option<(&WarmUp, Authority)> {
        let policy = &self.options.policy;
        let is_bound = policy.unannounced_warm_ups || arrivals.is_cold(now);
        if !policy.warm_up_limits || !is_bound {
            return None;
        }
        let warm_up = self.warm_ups.get(&upstream.registration.service)?;
        let authority = match upstream.domain_number == self.domain_number {
            true => self.authority,
            false => Authority::Shared(self.fleet_size),
        };
        Some((warm_up, authority))
    }
}

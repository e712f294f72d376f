//! Upstreams: changes of the registry, and what answers and peers say of an upstream.

use std::net::SocketAddr;

use bergamotpitch_control::traffic::admissions::Traffic;
use bergamotpitch_control::traffic::engine_loads::Figures;
use bergamotpitch_control::traffic::evacuations::EvacuationOrder;
use bergamotpitch_control::traffic::registries::{
    Change, LeavingSource, Registration, UpstreamKey,
};
use bergamotpitch_core::HashMap;
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::{InstanceId, UpstreamId};
use bergamotpitch_core::units::Timestamp;

use crate::dialects::AnswerFacts;
use crate::gateways::Gateway;
use crate::logs::decision;

impl Gateway {
    /// `change_upstreams` lets a change be made to the registry and follows it.
    pub fn change_upstreams(&self, change: impl FnOnce(&mut Traffic, Timestamp) -> Vec<Change>) {
        let now = self.now();
        let mut traffic = self.traffic.borrow_mut();
        let changes = change(&mut traffic, now);
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            self.log_change(&traffic, change);
        }
        traffic.remove_gone_upstreams(&changes);
        let mixed_services = traffic.update_software(now);
        drop(traffic);
        self.tell_mixed_services(&mixed_services);
        for change in &changes {
            if let Change::SoftwareChanged(key) = change {
                self.doubt_origins(*key);
            }
        }
        self.mark_load_changed();
    }

    /// `upstream_listed` takes in an entry of the list.
    pub fn upstream_listed(&self, registration: Registration) {
        self.change_upstreams(|traffic, now| traffic.listed(registration, now));
    }

    /// `evacuate` takes in that a failure domain is evacuated, or is so no more; it tells whether that
    /// was news.
    pub fn evacuate(&self, order: &EvacuationOrder, source: &str) -> bool {
        let now = self.now();
        let mut traffic = self.traffic.borrow_mut();
        let is_news = traffic.registry.evacuations().is_older_than(order);
        let has_changed = traffic.evacuate(order, now);
        drop(traffic);
        if has_changed {
            let event = match order.is_evacuated {
                true => EventKind::DomainEvacuated,
                false => EventKind::DomainReturned,
            };
            decision(
                event,
                format_args!("domain={} version={} source={source}", order.domain, order.version),
            );
            self.mark_load_changed();
        }
        is_news
    }

    fn log_change(&self, traffic: &Traffic, change: &Change) {
        let describe = |key: UpstreamKey| {
            traffic.registry.get(key).map_or_else(
                || format!("key={key}"),
                |upstream| {
                    let listed = &upstream.registration;
                    format!(
                        "upstream={} address={} service={} domain={} born_ms={:?} software={}",
                        listed.id,
                        listed.address,
                        listed.service,
                        listed.domain,
                        listed.born_ms,
                        listed.software.as_deref().unwrap_or("-"),
                    )
                },
            )
        };
        match change {
            // The first reading of a list of thousands is one line.
            Change::Joined(_) if !self.knows_list() => {}
            Change::Joined(key) => {
                decision(EventKind::UpstreamJoined, format_args!("{}", describe(*key)));
            }
            Change::Left(key, source) => decision(
                EventKind::UpstreamLeaving,
                format_args!("{} source={source}", describe(*key)),
            ),
            Change::Gone(key, id) => {
                self.pools.close_all_of(*key);
                self.forget_probe(*key);
                self.store_updates.relay.borrow_mut().upstream_gone(id);
                decision(EventKind::UpstreamGone, format_args!("upstream={id}"));
            }
            Change::SoftwareChanged(key) => {
                log::info!("event=software_changed {}", describe(*key));
            }
        }
    }

    /// `address_of` returns where an upstream listens.
    pub fn address_of(&self, key: UpstreamKey) -> Option<SocketAddr> {
        let traffic = self.traffic.borrow();
        traffic.registry.get(key).map(|upstream| upstream.registration.address)
    }

    /// `life_of` returns the number of an upstream's life.
    pub fn life_of(&self, key: UpstreamKey) -> Option<UpstreamId> {
        self.traffic.borrow().registry.get(key).map(|upstream| upstream.life_number)
    }

    /// `id_of` returns the id of an upstream.
    pub fn id_of(&self, key: UpstreamKey) -> Option<String> {
        let traffic = self.traffic.borrow();
        traffic.registry.get(key).map(|upstream| upstream.registration.id.clone())
    }

    /// `software_of` returns the version of an upstream's software, as its entry states it.
    pub fn software_of(&self, key: UpstreamKey) -> Option<String> {
        let traffic = self.traffic.borrow();
        traffic.registry.get(key).and_then(|upstream| upstream.registration.software.clone())
    }

    /// `note_answer_head` takes in what the head of an answer says of its upstream.
    pub fn note_answer_head(&self, key: UpstreamKey, facts: &AnswerFacts) {
        let now = self.now();
        let mut traffic = self.traffic.borrow_mut();
        traffic.note_life(key, now, now);
        traffic.note_read(key, now);
        if let Some(cold_left) = facts.cold_left {
            traffic.note_cold_left(key, cold_left, now);
        }
        if let Some(report) = facts.load {
            traffic.load(key).reported(report, now);
        }
        drop(traffic);
        self.note_alive(key, now);
    }

    /// `note_life` takes in that bytes came from an upstream.
    pub fn note_life(&self, key: UpstreamKey) {
        let now = self.now();
        self.traffic.borrow_mut().note_life(key, now, now);
        self.note_alive(key, now);
    }

    /// `note_unreachable` takes in that an upstream took no connection.
    pub fn note_unreachable(&self, key: UpstreamKey) {
        let now = self.now();
        self.traffic.borrow_mut().note_unreachable(key, now);
    }

    /// `note_misdirected` takes in that another upstream answers at an address.
    pub fn note_misdirected(&self, key: UpstreamKey) {
        self.change_upstreams(|traffic, _| {
            traffic.registry.left(key, LeavingSource::Answer).into_iter().collect()
        });
        self.pools.close_all_of(key);
    }

    /// `update_peer_loads` takes in what a peer has in hand; where it tells of nothing it has nothing.
    pub fn update_peer_loads(
        &self,
        peer: InstanceId,
        figures: &HashMap<UpstreamId, Figures>,
        now: Timestamp,
    ) {
        let mut traffic = self.traffic.borrow_mut();
        if !traffic.options.policy.peer_loads {
            return;
        }
        let known = |(life, figures): (&UpstreamId, &Figures)| {
            Some((traffic.registry.key_of_life(*life)?, *figures))
        };
        let loads: HashMap<UpstreamKey, Figures> = figures.iter().filter_map(known).collect();
        let before = self.told_upstreams.borrow_mut().remove(&peer).unwrap_or_default();
        for key in before.iter().filter(|key| !loads.contains_key(*key)) {
            traffic.load(*key).peer_heard(peer, Figures::default(), now);
        }
        for (key, figures) in &loads {
            traffic.load(*key).peer_heard(peer, *figures, now);
        }
        if !loads.is_empty() {
            self.told_upstreams.borrow_mut().insert(peer, loads.into_keys().collect());
        }
    }

    /// `mark_leaving_upstreams` takes in of which upstreams a peer knows that they leave.
    pub fn mark_leaving_upstreams(&self, leaving: &[UpstreamId]) {
        self.mark_upstreams(leaving, LeavingSource::Peer);
    }

    /// `mark_gone_upstreams` takes in which upstreams a peer's list, as of a change, has ceased to hold. Where
    /// the list is out of reach here, they get nothing until it is read.
    pub fn mark_gone_upstreams(&self, gone: &[UpstreamId], list_change: u64) {
        if self.list_change() < list_change {
            self.mark_upstreams(gone, LeavingSource::LaterList);
        }
    }

    fn mark_upstreams(&self, leaving: &[UpstreamId], source: LeavingSource) {
        let traffic = self.traffic.borrow();
        let registry = &traffic.registry;
        let known = leaving.iter().filter_map(|life| registry.get(registry.key_of_life(*life)?));
        let staying = known.filter(|upstream| upstream.leaving.is_none());
        let keys: Vec<UpstreamKey> = staying.map(|upstream| upstream.key).collect();
        drop(traffic);
        if keys.is_empty() {
            return;
        }
        self.change_upstreams(|traffic, _| {
            let left = keys.iter().filter_map(|key| traffic.registry.left(*key, source));
            left.collect()
        });
    }
}

//! Roles: what this instance does for its failure domain, and with which authority.

use bergamotpitch_control::traffic::dispatchers::{self, Candidate, Role, role_of};
use bergamotpitch_control::traffic::fleet_sizes::UNKNOWN_FLEET_SIZE;
use bergamotpitch_control::traffic::placement_requests::Scope;
use bergamotpitch_control::traffic::warm_ups::DomainView;
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::InstanceId;

use crate::gateways::Gateway;
use crate::logs;
use crate::peers::{Peer, WARM_UP_TIME};

impl Gateway {
    /// `role` returns what this instance does for its domain.
    pub fn role(&self) -> Role {
        self.local_placements.role.get()
    }

    /// `is_dispatcher` tells whether this instance decides for its domain.
    pub fn is_dispatcher(&self) -> bool {
        self.role().dispatcher == Some(self.options.instance)
    }

    /// `other_dispatcher` returns the instance that should decide on a request, unless it is this one.
    pub(crate) fn other_dispatcher(&self) -> Option<InstanceId> {
        let dispatcher = self.role().dispatcher.filter(|first| *first != self.options.instance)?;
        self.is_responsive(dispatcher).then_some(dispatcher)
    }

    /// `scope` returns among which upstreams this instance places requests by itself.
    pub(crate) fn scope(&self) -> Scope {
        if self.role().dispatcher.is_some() { Scope::Domain } else { Scope::Fleet }
    }

    /// `dispatcher_options` returns how dispatchers are chosen under the configuration in force.
    pub(crate) fn dispatcher_options(&self) -> dispatchers::Options {
        let options = self.options.dispatchers;
        if self.traffic.borrow().bounds_arrivals() { options.bounded() } else { options }
    }

    /// `own_candidate` returns what counts for the role of this instance in its domain.
    pub(crate) fn own_candidate(&self) -> Candidate {
        let now = self.now();
        Candidate {
            instance: self.options.instance,
            processor_millis: self.options.processor_millis,
            last_seen: now,
            is_eligible: self.is_eligible(),
            is_warmed_up: WARM_UP_TIME <= now,
            is_dispatching: self.is_dispatcher(),
        }
    }

    /// Decides anew what this instance does for its domain.
    pub(crate) fn update_role(&self) {
        let now = self.now();
        let own = self.own_candidate();
        let domain = &self.options.admission.domain;
        let peers = self.peers.borrow();
        let of_domain = peers.values().filter(|peer| peer.address.domain == *domain);
        let others: Vec<Candidate> = of_domain.map(Peer::candidate).collect();
        drop(peers);
        let before = self.role();
        let mut role = role_of(&own, &others, now, &self.dispatcher_options());
        if !self.options.admission.policy.dispatchers {
            role.dispatcher = None;
        }
        self.local_placements.role.set(role);
        self.update_authority(role.dispatcher);
        self.update_fixed_parts();
        if role.dispatcher == before.dispatcher {
            return;
        }
        logs::decision(
            EventKind::DispatcherChanged,
            format_args!(
                "dispatcher={:?} before={:?} rank={} instances={}",
                role.dispatcher,
                before.dispatcher,
                role.rank,
                others.len() + 1
            ),
        );
        // What the one before had in hand for others is told by these themselves.
        if let Some(before) = before.dispatcher.filter(|_| self.is_dispatcher()) {
            self.traffic.borrow_mut().forget_peer(before);
        }
    }

    /// Decides anew whether this instance alone decides on requests for its domain's upstreams.
    fn update_authority(&self, dispatcher: Option<InstanceId>) {
        let now = self.now();
        let timeout = self.options.dispatchers.heartbeat_timeout;
        let domain = &self.options.admission.domain;
        let peers = self.peers.borrow();
        let of_domain = peers.values().filter(|peer| peer.address.domain == *domain);
        let heard = of_domain.clone().filter(|peer| peer.is_heard_within(timeout, now));
        let listed = self.domain_size.borrow_mut().largest(now, of_domain.count() + 1);
        let is_known = self.fleet_size.borrow().known_since().is_some();
        let (listed, fleet_size) = match is_known {
            true => (listed, self.fleet_size()),
            false => (UNKNOWN_FLEET_SIZE, UNKNOWN_FLEET_SIZE),
        };
        let view = DomainView {
            is_dispatcher: dispatcher == Some(self.options.instance),
            is_contested: heard.clone().any(|peer| peer.contests_role(now)),
            listed,
            heard: heard.count() + 1,
            deciders: if dispatcher.is_some() { listed } else { fleet_size },
        };
        self.local_placements.hears_most.set(view.hears_most());
        let mut traffic = self.traffic.borrow_mut();
        traffic.fleet_size = fleet_size;
        let before = traffic.authority;
        let mut authorities = self.local_placements.authorities.get();
        traffic.authority = authorities.update(&view, now);
        self.local_placements.authorities.set(authorities);
        if traffic.authority != before && view.is_dispatcher {
            log::info!("event=authority_changed authority={:?} {view:?}", traffic.authority);
        }
    }

    /// `is_eligible` tells whether this instance can be the dispatcher of its domain.
    pub(crate) fn is_eligible(&self) -> bool {
        self.knows_all() && !self.is_draining() && self.loop_lag.keeps_up()
    }
}

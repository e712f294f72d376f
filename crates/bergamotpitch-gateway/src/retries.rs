//! Retries: which requests may be sent to a second upstream, within the retry budget of the fleet.
//!
//! What an instance decides by itself counts in its own budget. What the dispatcher of its domain
//! decides on counts there, and so do the repeats that it allows: a thousand instances that receive a
//! few requests each would otherwise have a part of the budget of less than one repeat.

use std::cell::RefCell;
use std::time::Duration;

use bergamotpitch_control::traffic::retry_budgets::Holder;
use bergamotpitch_core::HashMap;
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::{InstanceId, UpstreamId, id_of_name};
use tokio::sync::oneshot;

use crate::calls::Call;
use crate::gateways::Gateway;
use crate::logs::decision;
use crate::messages::{Body, RepeatReply, RepeatRequest};

/// `REPLY_TIMEOUT` is the time for the reply of the dispatcher: many times the way within a domain.
const REPLY_TIMEOUT: Duration = Duration::from_millis(30);

/// `RemoteRepeats` are the repeats that a dispatcher was asked to allow and has not replied to.
#[derive(Debug, Default)]
pub struct RemoteRepeats {
    pending: RefCell<HashMap<u64, oneshot::Sender<bool>>>,
}

impl Gateway {
    /// `note_request` counts a request on which this instance decides.
    pub(crate) fn note_request(&self, service: &str) {
        let now = self.now();
        let mut traffic = self.traffic.borrow_mut();
        let options = traffic.options.retries;
        traffic.budget(service).note_request(now, &options);
    }

    /// `take_repeat` takes one request to a second upstream out of this instance's budget of the service.
    pub fn take_repeat(&self, service: &str) -> bool {
        let now = self.now();
        let fixed = self.fixed_repeats();
        let mut traffic = self.traffic.borrow_mut();
        let options = traffic.options.retries;
        traffic.options.policy.retries && traffic.budget(service).take_within(now, fixed, &options)
    }

    /// `obtain_repeat` takes one for a call, or lets the dispatcher of the domain allow it.
    pub(crate) async fn obtain_repeat(&self, call: &Call) -> bool {
        let is_own = self.take_repeat(&call.service);
        let now = self.now();
        let (is_silent, is_full) = {
            let mut traffic = self.traffic.borrow_mut();
            let options = traffic.options.retries;
            let even_part = options.fixed / self.fleet_size() as f64;
            let budget = traffic.budget(&call.service);
            (budget.is_silent(now), budget.holds_outdated(now, even_part, &options))
        };
        let may_ask = !is_own && !is_silent && !is_full;
        let is_allowed = is_own || (may_ask && self.ask_for_repeat(&call.service).await);
        let usage = self.traffic.borrow_mut().budget(&call.service).usage();
        decision(
            EventKind::RepeatDecided,
            format_args!(
                "request={} service={} allowed={is_allowed} own={is_own} silent={is_silent} repeats={} \
                 unread={} requests={} fixed={:.1} instances={}",
                call.facts.attempt_id,
                call.service,
                usage.repeats,
                usage.unread,
                usage.requests,
                self.fixed_repeats(),
                self.fleet_size(),
            ),
        );
        if !is_allowed {
            self.metrics.repeats_denied.inc();
        }
        is_allowed
    }

    /// `note_sent` takes in that a call is sent to an upstream, which may read it at any time.
    pub(crate) fn note_sent(&self, call: &Call, upstream: UpstreamId) {
        let now = self.now();
        self.traffic.borrow_mut().budget(&call.service).note_sent(upstream, now);
        call.unread.borrow_mut().push(upstream);
        self.update_unread(call);
    }

    /// `note_answered_by` takes in that the upstream to which a call was sent last has read it.
    pub(crate) fn note_answered_by(&self, call: &Call, upstream: UpstreamId) {
        let place = call.unread.borrow().iter().rposition(|unread| *unread == upstream);
        if let Some(place) = place {
            call.unread.borrow_mut().remove(place);
            return;
        }
        let now = self.now();
        self.traffic.borrow_mut().budget(&call.service).note_answered(upstream, now);
        call.unread_repeats.update(|repeats| repeats.saturating_sub(1));
        self.update_unread(call);
    }

    /// `update_unread` takes in which upstreams may not have read a call. All its attempts but one are repeats,
    /// whichever arrive first.
    fn update_unread(&self, call: &Call) {
        let now = self.now();
        while call.unread_repeats.get() + 1 < call.attempts.get() {
            let Some(upstream) = call.unread.borrow_mut().pop() else { return };
            self.traffic.borrow_mut().budget(&call.service).note_unread(upstream, now);
            call.unread_repeats.update(|repeats| repeats + 1);
        }
    }

    async fn ask_for_repeat(&self, service: &str) -> bool {
        let dispatcher = self.other_dispatcher().and_then(|id| self.beat_address_of(id));
        let Some(address) = dispatcher.filter(|_| self.options.admission.policy.retries) else {
            return false;
        };
        let number = self.fresh_number();
        let (sender, reply) = oneshot::channel();
        self.remote_repeats.pending.borrow_mut().insert(number, sender);
        let _pending = PendingRepeat { gateway: self, number };
        let request = RepeatRequest { number, service: id_of_name(service) };
        self.send_message(Body::RepeatRequest(request), address);
        let reply = tokio::time::timeout(REPLY_TIMEOUT, reply).await;
        matches!(reply, Ok(Ok(true)))
    }

    /// `handle_repeat_request` allows a repeat of another instance, or does not.
    pub(crate) fn handle_repeat_request(&self, sender: InstanceId, request: RepeatRequest) {
        let catalog = self.catalog();
        let service = catalog.as_ref().and_then(|known| known.service_of_id(request.service));
        let is_allowed =
            self.is_dispatcher() && service.is_some_and(|service| self.take_repeat(&service.name));
        if let Some(address) = self.beat_address_of(sender) {
            let reply = RepeatReply { number: request.number, is_allowed };
            self.send_message(Body::RepeatReply(reply), address);
        }
    }

    /// `handle_repeat_reply` takes in whether a repeat is allowed.
    pub(crate) fn handle_repeat_reply(&self, reply: RepeatReply) {
        let pending = self.remote_repeats.pending.borrow_mut().remove(&reply.number);
        if let Some(sender) = pending {
            // Whoever asked may have given up; what was allowed is then not used.
            let _ = sender.send(reply.is_allowed);
        }
    }

    /// `note_fleet_listed` takes in that all instances are among the peers, of a list that holds this one.
    pub fn note_fleet_listed(&self) {
        self.fleet_size.borrow_mut().note_listed(self.now());
    }

    /// `fleet_size` returns how many instances share what is allowed to the whole fleet.
    pub(crate) fn fleet_size(&self) -> usize {
        let known = self.peers.borrow().len() + 1;
        self.fleet_size.borrow_mut().largest(self.now(), known)
    }

    /// `update_fixed_parts` takes in who decides for the domain.
    pub(crate) fn update_fixed_parts(&self) {
        let holder = match self.role().dispatcher {
            None => Holder::Nobody,
            Some(dispatcher) if dispatcher == self.options.instance => Holder::This,
            Some(_) => Holder::Other,
        };
        let options = self.traffic.borrow().options.retries;
        self.fixed_parts.borrow_mut().update(holder, self.now(), &options);
    }

    /// How many repeats this instance may send whatever it received.
    fn fixed_repeats(&self) -> f64 {
        let options = self.traffic.borrow().options.retries;
        let domain = &self.options.admission.domain;
        let peers = self.peers.borrow();
        let others = peers.values().filter(|peer| peer.address.domain == *domain).count();
        drop(peers);
        let known_since = self.fleet_size.borrow().known_since();
        let parts = self.fixed_parts.borrow();
        let usable = parts.usable(others + 1, known_since, self.now(), &options);
        options.fixed * usable / self.fleet_size() as f64
    }
}

/// `PendingRepeat` forgets a question when it is dropped.
struct PendingRepeat<'a> {
    gateway: &'a Gateway,
    number: u64,
}

impl Drop for PendingRepeat<'_> {
    fn drop(&mut self) {
        self.gateway.remote_repeats.pending.borrow_mut().remove(&self.number);
    }
}

//! Asks: requests of this instance that the dispatcher of its domain decides on.
//!
//! The dispatcher is asked by one datagram and answers by another; the request itself does not pass
//! through it. Where no answer comes, the instance decides by itself from what it knows, so that a
//! dispatcher that was killed or cut off costs a request some tens of milliseconds.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::engine_loads::{Figures, RequestNumber};
use bergamotpitch_control::traffic::grants::{CONFIRM_INTERVAL, HeldGrant, HeldGrants};
use bergamotpitch_control::traffic::placement_requests::{Decision, Placement};
use bergamotpitch_control::traffic::registries::UpstreamKey;
use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{Incarnation, InstanceId, UpstreamId, id_of_name};
use bergamotpitch_core::units::Timestamp;
use tokio::sync::Notify;

use crate::calls::Call;
use crate::gateways::Gateway;
use crate::messages::{
    Body, GrantConfirmation, MESSAGE_BYTES, PlacementRequestBody, ProgressEvent, ProgressReport,
    Reply, ReplyOutcome, millis,
};

/// `REPLY_TIMEOUT` is the time for the first reply to an ask: many times the way within a domain, and
/// a tenth of the shortest targets.
const REPLY_TIMEOUT: Duration = Duration::from_millis(30);

/// `SENDS_MAX` is how often an ask is sent; single datagrams are lost.
const SENDS_MAX: u32 = 2;

/// `REPLY_WAIT_FRACTION` is the part of the target after which a request that waits at a dispatcher no longer
/// counts on its reply.
const REPLY_WAIT_FRACTION: f64 = 0.55;

/// `REPORTS_DELAY` is for how long notes are gathered before they are sent.
const REPORTS_DELAY: Duration = Duration::from_millis(3);

/// `REPORTS_MAX` bounds the notes in one message.
const REPORTS_MAX: usize = MESSAGE_BYTES / 16;

/// `CONFIRMED_GRANTS_MAX` bounds the grants that one message confirms.
const CONFIRMED_GRANTS_MAX: usize = MESSAGE_BYTES / 8;

/// `RemotePlacements` are the requests of this instance that others decide on.
#[derive(Debug, Default)]
pub struct RemotePlacements {
    pending: RefCell<HashMap<RequestNumber, Rc<PendingReply>>>,
    held: RefCell<HeldGrants>,
    reports: RefCell<HashMap<InstanceId, Vec<ProgressReport>>>,
    is_flush_scheduled: Cell<bool>,
    /// When a dispatcher last left an ask without any reply.
    unanswered: RefCell<HashMap<InstanceId, Timestamp>>,
    confirmed: Cell<Timestamp>,
}

#[derive(Debug, Default)]
struct PendingReply {
    waits: Cell<bool>,
    decided: Cell<Option<(Grantor, ReplyOutcome)>>,
    changed: Notify,
}

/// `Grantor` is one life of an instance that decides for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grantor {
    /// The instance.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// `RemoteDecision` is what another instance decided on a request.
#[derive(Debug, Clone, PartialEq)]
pub struct RemoteDecision {
    /// Who decided.
    pub grantor: Grantor,
    /// The decision.
    pub decision: Decision,
}

/// `PendingPlacement` forgets an ask when it is dropped. Where nobody took up its reply, the dispatcher is
/// told to free the place that it may have given.
struct PendingPlacement<'a> {
    gateway: &'a Rc<Gateway>,
    dispatcher: InstanceId,
    number: RequestNumber,
    is_resolved: bool,
}

impl Drop for PendingPlacement<'_> {
    fn drop(&mut self) {
        let remote_placements = &self.gateway.remote_placements;
        remote_placements.pending.borrow_mut().remove(&self.number);
        if !self.is_resolved {
            self.gateway.report_to_grantor(self.dispatcher, self.number, ProgressEvent::Dropped);
        }
    }
}

/// `ask` asks a dispatcher for a place; `None` when it did not decide.
pub async fn request_placement(
    gateway: &Rc<Gateway>,
    dispatcher: InstanceId,
    call: &Call,
    tried: &[UpstreamKey],
    number: RequestNumber,
    may_forward: bool,
) -> Option<RemoteDecision> {
    let address = gateway.beat_address_of(dispatcher)?;
    let asked = gateway.now();
    let pending = Rc::new(PendingReply::default());
    gateway.remote_placements.pending.borrow_mut().insert(number, Rc::clone(&pending));
    let mut ask = PendingPlacement { gateway, dispatcher, number, is_resolved: false };
    let body = gateway.placement_request_of_call(call, tried, number, may_forward);
    let outcome = wait_for_reply(gateway, &pending, address, call, body).await;
    ask.is_resolved = outcome.is_some();
    let Some((grantor, outcome)) = outcome else {
        gateway.metrics.unanswered_asks.inc();
        let now = gateway.now();
        gateway.remote_placements.unanswered.borrow_mut().insert(dispatcher, now);
        return None;
    };
    match gateway.decision_of_reply(&outcome, asked) {
        Some(decision) => Some(RemoteDecision { grantor, decision }),
        None => {
            gateway.report_to_grantor(grantor.instance, number, ProgressEvent::Dropped);
            None
        }
    }
}

async fn wait_for_reply(
    gateway: &Rc<Gateway>,
    pending: &PendingReply,
    address: SocketAddr,
    call: &Call,
    body: PlacementRequestBody,
) -> Option<(Grantor, ReplyOutcome)> {
    for _ in 0..SENDS_MAX {
        gateway.metrics.asks.inc();
        gateway.send_message(Body::PlacementRequest(body.clone()), address);
        pending.wait_for_change(REPLY_TIMEOUT).await;
        if let Some(decided) = pending.decided.get() {
            return Some(decided);
        }
        if pending.waits.get() {
            break;
        }
    }
    if !pending.waits.get() {
        return None;
    }
    let until = call.arrived + call.route.target_latency.mul_f64(REPLY_WAIT_FRACTION);
    loop {
        let left = until.saturating_sub(gateway.now());
        if left.is_zero() {
            return None;
        }
        pending.wait_for_change(left).await;
        if let Some(decided) = pending.decided.get() {
            return Some(decided);
        }
    }
}

impl PendingReply {
    async fn wait_for_change(&self, time: Duration) {
        if tokio::time::timeout(time, self.changed.notified()).await.is_err() {
            // In a process that is late the reply may lie unread beside the timer that is due.
            tokio::task::yield_now().await;
        }
    }
}

impl Gateway {
    fn placement_request_of_call(
        &self,
        call: &Call,
        tried: &[UpstreamKey],
        number: RequestNumber,
        may_forward: bool,
    ) -> PlacementRequestBody {
        let traffic = self.traffic.borrow();
        let upstream_of = |key: &UpstreamKey| traffic.registry.get(*key);
        let tried_incarnations =
            tried.iter().filter_map(upstream_of).map(|upstream| upstream.life_number);
        let facts = &call.facts;
        PlacementRequestBody {
            number,
            // What may not go on was counted by whoever looked for a place before.
            is_first: may_forward && tried.is_empty(),
            requester: None,
            may_forward,
            service: id_of_name(&call.service),
            team: call.team.as_ref().map(|team| id_of_name(&team.name)),
            prompt_tokens: facts.prompt_tokens,
            output_tokens: facts.output_tokens(),
            parts: facts.prefix.iter().map(|part| (part.id, part.tokens)).collect(),
            target_ms: millis(call.route.target_latency),
            target_gap_ms: call.route.target_gap.map(millis),
            elapsed_ms: millis(self.now().saturating_sub(call.arrived)),
            tried: tried_incarnations.collect(),
            regions: self.allowed_regions(call),
            software: call.bound_software.get(),
            digest: self.digest_to_compare(call),
            declined_by: Vec::new(),
        }
    }

    /// The decision as this instance can follow it; `None` when it knows better.
    fn decision_of_reply(&self, outcome: &ReplyOutcome, asked: Timestamp) -> Option<Decision> {
        let after = |after_ms: u32| Duration::from_millis(after_ms.into());
        match outcome {
            ReplyOutcome::Granted(line) => {
                let placement = line.placement(asked, &self.traffic.borrow().registry)?;
                Some(Decision::Send(placement))
            }
            ReplyOutcome::Full { after_ms, share_class, least_requests, refused_by } => {
                Some(Decision::Full {
                    retry_after: after(*after_ms),
                    share_class: *share_class,
                    least_requests: *least_requests,
                    refused_by: *refused_by,
                })
            }
            ReplyOutcome::NoUpstream { after_ms } => Some(Decision::NoUpstream(after(*after_ms))),
            ReplyOutcome::Blocked { after_ms } => Some(Decision::Blocked(after(*after_ms))),
            ReplyOutcome::Waits | ReplyOutcome::HandedOver { .. } | ReplyOutcome::Declined => None,
        }
    }

    /// `handle_reply` takes in a reply to an ask.
    pub(crate) fn handle_reply(self: &Rc<Self>, grantor: Grantor, reply: &Reply) {
        let pending = self.remote_placements.pending.borrow().get(&reply.number).cloned();
        let Some(pending) = pending else {
            self.handle_late_reply(grantor, reply);
            return;
        };
        match reply.outcome {
            ReplyOutcome::Waits => pending.waits.set(true),
            outcome => {
                // An ask that was sent twice is answered twice.
                if pending.decided.get().is_none() {
                    pending.decided.set(Some((grantor, outcome)));
                }
            }
        }
        pending.changed.notify_one();
    }

    /// A place that nobody waits for any more is given back.
    fn handle_late_reply(self: &Rc<Self>, grantor: Grantor, reply: &Reply) {
        let is_held = self.remote_placements.held.borrow().contains_key(&reply.number);
        if matches!(reply.outcome, ReplyOutcome::Granted(_)) && !is_held {
            self.report_to_grantor(grantor.instance, reply.number, ProgressEvent::Dropped);
        }
    }

    /// `hold_grant` takes in that a granted request is sent.
    pub(crate) fn hold_grant(&self, number: RequestNumber, grantor: Grantor, placement: Placement) {
        let Grantor { instance: grantor, incarnation: grantor_incarnation } = grantor;
        let grant = HeldGrant { grantor, grantor_incarnation, placement, has_begun: false };
        self.remote_placements.held.borrow_mut().insert(number, grant);
    }

    /// `grant_begun` takes in the first event of a granted request; it tells whether it was one.
    pub(crate) fn grant_begun(self: &Rc<Self>, number: RequestNumber) -> bool {
        let grantor = match self.remote_placements.held.borrow_mut().get_mut(&number) {
            Some(grant) => {
                grant.has_begun = true;
                grant.grantor
            }
            None => return false,
        };
        self.report_to_grantor(grantor, number, ProgressEvent::Begun);
        true
    }

    /// `grant_ended` takes in the end of a granted request; it tells whether it was one.
    pub(crate) fn grant_ended(
        self: &Rc<Self>,
        number: RequestNumber,
        event: ProgressEvent,
    ) -> bool {
        let ended = self.remote_placements.held.borrow_mut().remove(&number);
        let Some(grant) = ended else { return false };
        self.report_to_grantor(grant.grantor, number, event);
        true
    }

    /// `report_to_grantor` tells another instance what became of a request; notes that come within some
    /// milliseconds go together.
    pub(crate) fn report_to_grantor(
        self: &Rc<Self>,
        grantor: InstanceId,
        number: RequestNumber,
        event: ProgressEvent,
    ) {
        let remote_placements = &self.remote_placements;
        remote_placements.reports.borrow_mut().entry(grantor).or_default().push(ProgressReport {
            number,
            event,
            report: None,
        });
        if remote_placements.is_flush_scheduled.replace(true) {
            return;
        }
        let gateway = Rc::clone(self);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(REPORTS_DELAY).await;
            gateway.flush_reports();
        });
    }

    fn flush_reports(&self) {
        self.remote_placements.is_flush_scheduled.set(false);
        let reports = std::mem::take(&mut *self.remote_placements.reports.borrow_mut());
        for (grantor, reports) in reports {
            let Some(address) = self.beat_address_of(grantor) else { continue };
            for reports in reports.chunks(REPORTS_MAX) {
                self.send_message(Body::Progress(reports.to_vec()), address);
            }
        }
    }

    /// `confirm_grants` tells each granter which of its grants are in hand.
    pub(crate) fn confirm_grants(&self, now: Timestamp) {
        let remote_placements = &self.remote_placements;
        if now < remote_placements.confirmed.get() + CONFIRM_INTERVAL {
            return;
        }
        remote_placements.confirmed.set(now);
        let mut confirmations: HashMap<InstanceId, GrantConfirmation> = HashMap::default();
        let traffic = self.traffic.borrow();
        for (number, grant) in &*remote_placements.held.borrow() {
            let confirmation = confirmations.entry(grant.grantor).or_default();
            confirmation.numbers.push(*number);
            let key = grant.placement.upstream;
            let Some(upstream) = traffic.registry.get(key) else { continue };
            let life = upstream.life_number;
            if confirmation.last_byte_ages_ms.iter().all(|(known, _)| *known != life) {
                confirmation
                    .last_byte_ages_ms
                    .push((life, millis(traffic.time_since_last_byte(key, now))));
            }
        }
        for (grantor, confirmation) in confirmations {
            let Some(address) = self.beat_address_of(grantor) else { continue };
            for (index, numbers) in confirmation.numbers.chunks(CONFIRMED_GRANTS_MAX).enumerate() {
                let last_byte_ages_ms =
                    if index == 0 { confirmation.last_byte_ages_ms.clone() } else { Vec::new() };
                let confirmation =
                    GrantConfirmation { numbers: numbers.to_vec(), last_byte_ages_ms };
                self.send_message(Body::GrantConfirmation(confirmation), address);
            }
        }
    }

    /// `held_figures` returns what this instance has in hand by grants of others than those that are
    /// left out, by the lives of upstreams.
    pub(crate) fn held_figures(
        &self,
        is_left_out: impl Fn(Grantor) -> bool,
    ) -> HashMap<UpstreamId, Figures> {
        let traffic = self.traffic.borrow();
        let mut figures: HashMap<UpstreamId, Figures> = HashMap::default();
        for grant in self.remote_placements.held.borrow().values() {
            let HeldGrant { grantor, grantor_incarnation, placement, has_begun } = *grant;
            let Some(upstream) = traffic.registry.get(placement.upstream) else { continue };
            if is_left_out(Grantor { instance: grantor, incarnation: grantor_incarnation }) {
                continue;
            }
            let unread_tokens = if has_begun { 0.0 } else { placement.work.unread_tokens };
            let memory_tokens = placement.work.memory_tokens;
            let one = Figures { requests: 1, unread_tokens, memory_tokens };
            figures.entry(upstream.life_number).or_default().add(&one);
        }
        figures
    }

    /// `is_responsive` tells whether an instance has been heard since it last left an ask without a
    /// reply.
    pub(crate) fn is_responsive(&self, dispatcher: InstanceId) -> bool {
        let unanswered = self.remote_placements.unanswered.borrow().get(&dispatcher).copied();
        let last_seen = self.peers.borrow().get(&dispatcher).and_then(|peer| peer.last_seen);
        match unanswered {
            Some(unanswered) => last_seen.is_some_and(|last_seen| unanswered < last_seen),
            None => true,
        }
    }
}

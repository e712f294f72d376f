//! Dispatchers: the roles of the instances of a domain, and the decisions of its dispatcher on
//! requests of its own and of others.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::dispatchers::Role;
use bergamotpitch_control::traffic::engine_loads::RequestNumber;
use bergamotpitch_control::traffic::grants::{Grant, Grants};
use bergamotpitch_control::traffic::placement_queues::{
    OwnedPlacementRequest, PlacementQueue, place,
};
use bergamotpitch_control::traffic::placement_requests::{Decision, Headroom, Scope};
use bergamotpitch_control::traffic::warm_ups::Authorities;
use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{Incarnation, InstanceId, ServiceId};
use bergamotpitch_core::units::Timestamp;
use tokio::sync::oneshot;

use crate::gateways::Gateway;
use crate::messages::{
    Body, GrantConfirmation, PlacementRequestBody, ProgressEvent, ProgressReport, Reply,
    ReplyOutcome,
};
use crate::work_times::Work;

/// `PLACEMENT_RETRY_INTERVAL` is the time between two looks at requests that wait for a place: a fiftieth
/// of the shortest target.
const PLACEMENT_RETRY_INTERVAL: Duration = Duration::from_millis(8);

/// `LocalPlacements` are the requests on which this instance decides, its own and others'.
#[derive(Debug, Default)]
pub struct LocalPlacements {
    waiting: RefCell<PlacementQueue>,
    grants: RefCell<Grants>,
    replies: RefCell<HashMap<RequestNumber, ReplyTarget>>,
    /// What the dispatchers of other domains told of their room, less what was handed on since.
    pub(crate) headrooms: RefCell<HashMap<InstanceId, HashMap<ServiceId, Headroom>>>,
    load_changed: Cell<bool>,
    is_retrying: Cell<bool>,
    pub(crate) role: Cell<Role>,
    pub(crate) authorities: Cell<Authorities>,
    /// Whether this instance hears most of its domain.
    pub(crate) hears_most: Cell<bool>,
}

#[derive(Debug)]
enum ReplyTarget {
    Own(oneshot::Sender<Decision>),
    Peer { requester: InstanceId, number: RequestNumber, received: Timestamp },
}

/// `QueuedRequest` is a request of this instance that waits for its decision; dropping it frees the place
/// that it may have got meanwhile.
struct QueuedRequest<'a> {
    gateway: &'a Rc<Gateway>,
    number: RequestNumber,
    decision: oneshot::Receiver<Decision>,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        let local_placements = &self.gateway.local_placements;
        local_placements.replies.borrow_mut().remove(&self.number);
        local_placements.waiting.borrow_mut().remove(self.number);
        if let Ok(Decision::Send(placement)) = self.decision.try_recv() {
            self.gateway.traffic.borrow_mut().load(placement.upstream).ended(self.number);
        }
    }
}

impl Gateway {
    /// `place_locally` decides on a request of this instance by its own books.
    pub(crate) fn place_locally(
        &self,
        number: RequestNumber,
        ask: &OwnedPlacementRequest,
    ) -> Decision {
        place(number, ask, &mut self.traffic.borrow_mut(), self.now())
    }

    /// `decide` does so, and lets the request wait for a place for as long as it may.
    pub(crate) async fn decide(
        self: &Rc<Self>,
        number: RequestNumber,
        ask: OwnedPlacementRequest,
    ) -> Decision {
        let now = self.now();
        let decision = self.place_locally(number, &ask);
        if matches!(decision, Decision::Send(_)) || ask.wait_deadline(&decision) <= now {
            return decision;
        }
        let (sender, receiver) = oneshot::channel();
        self.enqueue(number, ask, decision.clone(), ReplyTarget::Own(sender));
        let mut queued = QueuedRequest { gateway: self, number, decision: receiver };
        // The sender is dropped unused when this process ends, and then nobody waits.
        (&mut queued.decision).await.unwrap_or(decision)
    }

    fn enqueue(
        self: &Rc<Self>,
        number: RequestNumber,
        ask: OwnedPlacementRequest,
        decision: Decision,
        reply_to: ReplyTarget,
    ) {
        let now = self.now();
        self.local_placements.replies.borrow_mut().insert(number, reply_to);
        self.local_placements.waiting.borrow_mut().enqueue(number, ask, decision, now);
        if !self.local_placements.is_retrying.replace(true) {
            tokio::task::spawn_local(retry_waiting_placements(Rc::clone(self)));
        }
    }

    /// `mark_load_changed` lets requests that wait for a place look again soon. Under high load
    /// something changes every few milliseconds and dozens wait; looking at each change took more
    /// time than all else.
    pub fn mark_load_changed(&self) {
        self.local_placements.load_changed.set(true);
    }

    /// `waiting_count` returns how many requests wait for a place here.
    pub fn waiting_count(&self) -> usize {
        self.local_placements.waiting.borrow().count()
    }

    fn retry_placements(self: &Rc<Self>) {
        let now = self.now();
        let mut traffic = self.traffic.borrow_mut();
        let mut waiting = self.local_placements.waiting.borrow_mut();
        let mut decided = waiting.expire(&mut traffic, now);
        if self.local_placements.load_changed.replace(false) {
            decided.extend(waiting.retry_placements(&mut traffic, now));
        }
        drop((traffic, waiting));
        for (number, decision) in decided {
            self.reply(number, decision);
        }
    }

    fn reply(self: &Rc<Self>, own_number: RequestNumber, decision: Decision) {
        match self.local_placements.replies.borrow_mut().remove(&own_number) {
            Some(ReplyTarget::Own(sender)) => {
                // The receiver frees the place when it is dropped, and none is left without one.
                let _ = sender.send(decision);
            }
            Some(ReplyTarget::Peer { requester, number, received }) => {
                let waited = self.now().saturating_sub(received);
                self.reply_to_peer(requester, number, own_number, &decision, waited);
            }
            None => {}
        }
    }

    fn reply_to_peer(
        &self,
        requester: InstanceId,
        number: RequestNumber,
        own_number: RequestNumber,
        decision: &Decision,
        waited: Duration,
    ) {
        if let Decision::Send(placement) = decision {
            let now = self.now();
            self.local_placements
                .grants
                .borrow_mut()
                .insert(requester, number, own_number, *placement, now);
        }
        let outcome = ReplyOutcome::new(decision, waited, &self.traffic.borrow().registry);
        self.send_reply(requester, number, outcome.unwrap_or(ReplyOutcome::Declined));
    }

    fn send_reply(&self, requester: InstanceId, number: RequestNumber, outcome: ReplyOutcome) {
        if let Some(address) = self.beat_address_of(requester) {
            self.send_message(Body::Reply(Reply { number, outcome }), address);
        }
    }

    /// `handle_placement_request` decides on a request of another instance.
    pub(crate) fn handle_placement_request(
        self: &Rc<Self>,
        sender: InstanceId,
        incarnation: Incarnation,
        body: PlacementRequestBody,
    ) {
        let (requester, incarnation) = body.requester.unwrap_or((sender, incarnation));
        self.update_requester_incarnation(requester, incarnation);
        let number = body.number;
        if let Some(outcome) = self.outcome_of_duplicate(requester, number) {
            self.send_reply(requester, number, outcome);
            return;
        }
        let Some(ask) = self.owned_placement_request(&body).filter(|_| !self.is_draining()) else {
            self.send_reply(requester, number, ReplyOutcome::Declined);
            return;
        };
        let now = self.now();
        if body.is_first && body.requester.is_none() {
            self.note_asked(&ask, now);
            self.note_request(&ask.service);
        }
        let own_number = self.fresh_number();
        let decision = place(own_number, &ask, &mut self.traffic.borrow_mut(), now);
        if matches!(decision, Decision::Send(_)) {
            self.reply_to_peer(requester, number, own_number, &decision, Duration::ZERO);
            return;
        }
        if body.may_forward
            && let Some(next) = self.reserve_remote_headroom(body.service, &decision, &body.regions)
        {
            let requester = Some((requester, incarnation));
            self.send_reply(sender, number, ReplyOutcome::Waits);
            self.forward(next, PlacementRequestBody { requester, may_forward: false, ..body });
            return;
        }
        if ask.wait_deadline(&decision) <= now {
            self.reply_to_peer(requester, number, own_number, &decision, Duration::ZERO);
            return;
        }
        self.send_reply(requester, number, ReplyOutcome::Waits);
        self.enqueue(
            own_number,
            ask,
            decision,
            ReplyTarget::Peer { requester, number, received: now },
        );
    }

    fn forward(&self, next: InstanceId, body: PlacementRequestBody) {
        if let Some(address) = self.beat_address_of(next) {
            self.send_message(Body::PlacementRequest(body), address);
        }
    }

    /// The outcome that an ask had already: a reply was lost, or the ask came twice.
    fn outcome_of_duplicate(
        &self,
        requester: InstanceId,
        number: RequestNumber,
    ) -> Option<ReplyOutcome> {
        let grants = self.local_placements.grants.borrow();
        if let Some(grant) = grants.get(requester, number) {
            let decision = Decision::Send(grant.placement);
            return ReplyOutcome::new(&decision, Duration::ZERO, &self.traffic.borrow().registry);
        }
        let is_this = |reply: &ReplyTarget| {
            matches!(reply, ReplyTarget::Peer { requester: other, number: at, .. }
                if (*other, *at) == (requester, number))
        };
        let replies = self.local_placements.replies.borrow();
        replies.values().any(is_this).then_some(ReplyOutcome::Waits)
    }

    fn owned_placement_request(
        &self,
        body: &PlacementRequestBody,
    ) -> Option<OwnedPlacementRequest> {
        let catalog = self.catalog()?;
        let service = catalog.service_of_id(body.service)?;
        let engine = service.engine.as_ref();
        let traffic = self.traffic.borrow();
        let tried = body.tried.iter().filter_map(|life| traffic.registry.key_of_life(*life));
        let elapsed = Duration::from_millis(body.elapsed_ms.into());
        Some(OwnedPlacementRequest {
            service: service.name.clone(),
            facts: body.facts(),
            team: body.team,
            target: Duration::from_millis(body.target_ms.into()),
            target_gap: body.target_gap_ms.map(|gap_ms| Duration::from_millis(gap_ms.into())),
            arrived: self.now().saturating_sub(elapsed),
            tried: tried.collect(),
            memory_tokens: engine.map_or(u64::MAX, |engine| engine.memory_tokens),
            pool_tokens_per_s: catalog.pool_tokens_per_s,
            cache_link: engine.and_then(|engine| engine.cache_link),
            scope: Scope::Domain,
            regions: body.regions.clone(),
            software: body.software,
            digest: body.digest,
        })
    }

    /// `note_asked` counts what a team asks.
    pub(crate) fn note_asked(&self, ask: &OwnedPlacementRequest, now: Timestamp) {
        if let Some(team) = ask.team
            && ask.facts.is_generation()
        {
            let windows = &mut self.traffic.borrow_mut().windows;
            windows.record_request(team, ask.facts.pool_tokens(), now);
        }
    }

    fn update_requester_incarnation(&self, requester: InstanceId, incarnation: Incarnation) {
        let ended =
            self.local_placements.grants.borrow_mut().update_incarnation(requester, incarnation);
        self.end_grants(&ended);
    }

    fn end_grants(&self, ended: &[Grant]) {
        let mut traffic = self.traffic.borrow_mut();
        for grant in ended {
            traffic.load(grant.placement.upstream).ended(grant.number);
        }
        drop(traffic);
        if !ended.is_empty() {
            self.mark_load_changed();
        }
    }

    /// `handle_progress` takes in what became of granted requests.
    pub(crate) fn handle_progress(
        self: &Rc<Self>,
        requester: InstanceId,
        reports: &[ProgressReport],
    ) {
        for report in reports {
            match report.event {
                ProgressEvent::Begun => self.handle_begun(requester, report.number),
                event => self.handle_ended(requester, report.number, event),
            }
        }
        self.mark_load_changed();
    }

    fn handle_begun(&self, requester: InstanceId, number: RequestNumber) {
        let grants = self.local_placements.grants.borrow();
        let Some(grant) = grants.get(requester, number) else { return };
        let key = grant.placement.upstream;
        self.traffic.borrow_mut().begun(key, grant.number, self.now());
        self.note_life(key);
    }

    fn handle_ended(
        self: &Rc<Self>,
        requester: InstanceId,
        number: RequestNumber,
        event: ProgressEvent,
    ) {
        let Some(grant) = self.local_placements.grants.borrow_mut().end(requester, number) else {
            self.drop_waiting(requester, number);
            return;
        };
        let now = self.now();
        let key = grant.placement.upstream;
        let mut traffic = self.traffic.borrow_mut();
        traffic.load(key).ended(grant.number);
        match event {
            ProgressEvent::Answered => {
                traffic.note_life(key, now, now);
                traffic.evidence(key).note_outcome(false, now);
            }
            ProgressEvent::Failed => traffic.evidence(key).note_outcome(true, now),
            ProgressEvent::Unreachable => traffic.note_unreachable(key, now),
            ProgressEvent::Begun | ProgressEvent::Dropped => {}
        }
    }

    fn drop_waiting(&self, requester: InstanceId, number: RequestNumber) {
        let mut replies = self.local_placements.replies.borrow_mut();
        let is_this = |reply: &ReplyTarget| {
            matches!(reply, ReplyTarget::Peer { requester: other, number: at, .. }
                if (*other, *at) == (requester, number))
        };
        let own_number = replies.iter().find(|(_, reply)| is_this(reply)).map(|(own, _)| *own);
        if let Some(own_number) = own_number {
            replies.remove(&own_number);
            self.local_placements.waiting.borrow_mut().remove(own_number);
        }
    }

    /// `handle_grant_confirmation` takes in which grants an asker has in hand.
    pub(crate) fn handle_grant_confirmation(
        &self,
        requester: InstanceId,
        confirmation: &GrantConfirmation,
    ) {
        let now = self.now();
        let mut grants = self.local_placements.grants.borrow_mut();
        confirmation.numbers.iter().for_each(|number| grants.confirm(requester, *number, now));
        let mut traffic = self.traffic.borrow_mut();
        for (life, last_byte_age_ms) in &confirmation.last_byte_ages_ms {
            let Some(key) = traffic.registry.key_of_life(*life) else { continue };
            let last_byte_age = Duration::from_millis((*last_byte_age_ms).into());
            if let Some(last_byte) = now.checked_sub(last_byte_age) {
                traffic.note_life(key, last_byte, now);
            }
        }
    }

    /// `drop_lapsed_grants` frees places that nobody confirms any more.
    pub(crate) fn drop_lapsed_grants(&self) {
        let lapsed = self.local_placements.grants.borrow_mut().remove_lapsed(self.now());
        if !lapsed.is_empty() {
            log::info!("event=grants_lapsed count={}", lapsed.len());
        }
        self.end_grants(&lapsed);
    }
}

async fn retry_waiting_placements(gateway: Rc<Gateway>) {
    while 0 < gateway.waiting_count() {
        tokio::time::sleep(PLACEMENT_RETRY_INTERVAL).await;
        let _scope = gateway.work_times.enter(Work::Placements);
        gateway.retry_placements();
    }
    gateway.local_placements.is_retrying.set(false);
}

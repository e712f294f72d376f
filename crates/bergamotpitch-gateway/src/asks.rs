//! Asks: requests of this instance that the dispatcher of its domain decides on.
//!
//! The dispatcher is asked by one datagram and answers by another; the request itself does not pass
//! through it. Where no answer comes, the instance decides by itself from what it knows, so that a
//! dispatcher that was killed or cut off costs a request some tens of milliseconds.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::admissions::{Decision, Placement};
use bergamotpitch_control::traffic::engine_loads::{Figures, RequestNumber};
use bergamotpitch_control::traffic::grants::{CONFIRM_INTERVAL, HeldGrant, HeldGrants};
use bergamotpitch_control::traffic::registries::UpstreamKey;
use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{Incarnation, InstanceId, UpstreamId, id_of_name};
use bergamotpitch_core::units::Timestamp;
use tokio::sync::Notify;

use crate::calls::Call;
use crate::gateways::Gateway;
use crate::messages::{
    AskBody, Body, Held, MESSAGE_BYTES, Note, NoteEvent, Reply, ReplyOutcome, millis,
};

/// `REPLY_TIMEOUT` is the time for the first reply to an ask: many times the way within a domain, and
/// a tenth of the shortest targets.
const REPLY_TIMEOUT: Duration = Duration::from_millis(30);

/// `SENDS_MAX` is how often an ask is sent; single datagrams are lost.
const SENDS_MAX: u32 = 2;

/// `WAIT_PART` is the part of the target after which a request that waits at a dispatcher no longer
/// counts on its reply.
const WAIT_PART: f64 = 0.55;

/// `NOTES_DELAY` is for how long notes are gathered before they are sent.
const NOTES_DELAY: Duration = Duration::from_millis(3);

/// `NOTES_MAX` bounds the notes in one message.
const NOTES_MAX: usize = MESSAGE_BYTES / 16;

/// `HELD_MAX` bounds the grants that one message confirms.
const HELD_MAX: usize = MESSAGE_BYTES / 8;

/// `Asks` are the requests of this instance that others decide on.
#[derive(Debug, Default)]
pub struct Asks {
    pending: RefCell<HashMap<RequestNumber, Rc<Pending>>>,
    held: RefCell<HeldGrants>,
    notes: RefCell<HashMap<InstanceId, Vec<Note>>>,
    flush_is_due: Cell<bool>,
    /// When a dispatcher last left an ask without any reply.
    unanswered: RefCell<HashMap<InstanceId, Timestamp>>,
    confirmed: Cell<Timestamp>,
}

#[derive(Debug, Default)]
struct Pending {
    waits: Cell<bool>,
    decided: Cell<Option<(Granter, ReplyOutcome)>>,
    changed: Notify,
}

/// `Granter` is one life of an instance that decides for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Granter {
    /// The instance.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// `Decided` is what another instance decided on a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Decided {
    /// Who decided.
    pub grantor: Granter,
    /// The decision.
    pub choice: Decision,
}

/// `PendingAsk` forgets an ask when it is dropped. Where nobody took up its reply, the dispatcher is
/// told to free the place that it may have given.
struct PendingAsk<'a> {
    gateway: &'a Rc<Gateway>,
    dispatcher: InstanceId,
    number: RequestNumber,
    is_settled: bool,
}

impl Drop for PendingAsk<'_> {
    fn drop(&mut self) {
        let asks = &self.gateway.asks;
        asks.pending.borrow_mut().remove(&self.number);
        if !self.is_settled {
            self.gateway.tell_granter(self.dispatcher, self.number, NoteEvent::Dropped);
        }
    }
}

/// `ask` asks a dispatcher for a place; `None` when it did not decide.
pub async fn ask(
    gateway: &Rc<Gateway>,
    dispatcher: InstanceId,
    call: &Call,
    tried: &[UpstreamKey],
    number: RequestNumber,
    may_go_on: bool,
) -> Option<Decided> {
    let address = gateway.beat_address_of(dispatcher)?;
    let pending = Rc::new(Pending::default());
    gateway.asks.pending.borrow_mut().insert(number, Rc::clone(&pending));
    let mut ask = PendingAsk { gateway, dispatcher, number, is_settled: false };
    let body = gateway.ask_of_call(call, tried, number, may_go_on);
    let outcome = wait_for_reply(gateway, &pending, address, call, body).await;
    ask.is_settled = outcome.is_some();
    let Some((grantor, outcome)) = outcome else {
        gateway.metrics.unanswered_asks.inc();
        let now = gateway.now();
        gateway.asks.unanswered.borrow_mut().insert(dispatcher, now);
        return None;
    };
    match gateway.choice_of_reply(&outcome) {
        Some(choice) => Some(Decided { grantor, choice }),
        None => {
            gateway.tell_granter(grantor.instance, number, NoteEvent::Dropped);
            None
        }
    }
}

async fn wait_for_reply(
    gateway: &Rc<Gateway>,
    pending: &Pending,
    address: SocketAddr,
    call: &Call,
    body: AskBody,
) -> Option<(Granter, ReplyOutcome)> {
    for _ in 0..SENDS_MAX {
        gateway.metrics.asks.inc();
        gateway.send_message(Body::Ask(body.clone()), address);
        pending.changed_within(REPLY_TIMEOUT).await;
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
    let until = call.arrived + call.route.target_latency.mul_f64(WAIT_PART);
    loop {
        let left = until.saturating_sub(gateway.now());
        if left.is_zero() {
            return None;
        }
        pending.changed_within(left).await;
        if let Some(decided) = pending.decided.get() {
            return Some(decided);
        }
    }
}

impl Pending {
    async fn changed_within(&self, time: Duration) {
        if tokio::time::timeout(time, self.changed.notified()).await.is_err() {
            // In a process that is late the reply may lie unread beside the timer that is due.
            tokio::task::yield_now().await;
        }
    }
}

impl Gateway {
    fn ask_of_call(
        &self,
        call: &Call,
        tried: &[UpstreamKey],
        number: RequestNumber,
        may_go_on: bool,
    ) -> AskBody {
        let traffic = self.traffic.borrow();
        let life_of = |key: &UpstreamKey| traffic.registry.get(*key);
        let tried_lives = tried.iter().filter_map(life_of).map(|upstream| upstream.life_number);
        let facts = &call.facts;
        AskBody {
            number,
            // What may not go on was counted by whoever looked for a place before.
            is_first: may_go_on && tried.is_empty(),
            requester: None,
            may_go_on,
            service: id_of_name(&call.service),
            team: call.team.as_ref().map(|team| id_of_name(&team.name)),
            prompt_tokens: facts.prompt_tokens,
            output_tokens: facts.output_tokens(),
            parts: facts.prefix.iter().map(|part| (part.id, part.tokens)).collect(),
            target_ms: millis(call.route.target_latency),
            target_gap_ms: call.route.target_gap.map(millis),
            elapsed_ms: millis(self.now().saturating_sub(call.arrived)),
            tried: tried_lives.collect(),
        }
    }

    /// The decision as this instance can follow it; `None` when it knows better.
    fn choice_of_reply(&self, outcome: &ReplyOutcome) -> Option<Decision> {
        let after = |after_ms: u32| Duration::from_millis(after_ms.into());
        match outcome {
            ReplyOutcome::Granted(line) => {
                let placement = line.placement(&self.traffic.borrow().registry)?;
                Some(Decision::Send(placement))
            }
            ReplyOutcome::Full { after_ms, share_class, least_requests } => Some(Decision::Full {
                retry_after: after(*after_ms),
                share_class: *share_class,
                least_requests: *least_requests,
            }),
            ReplyOutcome::NoUpstream { after_ms } => Some(Decision::NoUpstream(after(*after_ms))),
            ReplyOutcome::Waits | ReplyOutcome::Declined => None,
        }
    }

    /// `take_reply` takes in a reply to an ask.
    pub(crate) fn take_reply(self: &Rc<Self>, grantor: Granter, reply: &Reply) {
        let pending = self.asks.pending.borrow().get(&reply.number).cloned();
        let Some(pending) = pending else {
            self.take_late_reply(grantor, reply);
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
    fn take_late_reply(self: &Rc<Self>, grantor: Granter, reply: &Reply) {
        let is_in_hand = self.asks.held.borrow().contains_key(&reply.number);
        if matches!(reply.outcome, ReplyOutcome::Granted(_)) && !is_in_hand {
            self.tell_granter(grantor.instance, reply.number, NoteEvent::Dropped);
        }
    }

    /// `hold_grant` takes in that a granted request is sent.
    pub(crate) fn hold_grant(&self, number: RequestNumber, grantor: Granter, placement: Placement) {
        let Granter { instance: grantor, incarnation: grantor_incarnation } = grantor;
        let grant = HeldGrant { grantor, grantor_incarnation, placement, has_begun: false };
        self.asks.held.borrow_mut().insert(number, grant);
    }

    /// `grant_begun` takes in the first event of a granted request; it tells whether it was one.
    pub(crate) fn grant_begun(self: &Rc<Self>, number: RequestNumber) -> bool {
        let grantor = match self.asks.held.borrow_mut().get_mut(&number) {
            Some(grant) => {
                grant.has_begun = true;
                grant.grantor
            }
            None => return false,
        };
        self.tell_granter(grantor, number, NoteEvent::Begun);
        true
    }

    /// `grant_ended` takes in the end of a granted request; it tells whether it was one.
    pub(crate) fn grant_ended(self: &Rc<Self>, number: RequestNumber, event: NoteEvent) -> bool {
        let ended = self.asks.held.borrow_mut().remove(&number);
        let Some(grant) = ended else { return false };
        self.tell_granter(grant.grantor, number, event);
        true
    }

    /// `tell_granter` tells another instance what became of a request; notes that come within some
    /// milliseconds go together.
    pub(crate) fn tell_granter(
        self: &Rc<Self>,
        grantor: InstanceId,
        number: RequestNumber,
        event: NoteEvent,
    ) {
        let asks = &self.asks;
        asks.notes.borrow_mut().entry(grantor).or_default().push(Note { number, event });
        if asks.flush_is_due.replace(true) {
            return;
        }
        let gateway = Rc::clone(self);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(NOTES_DELAY).await;
            gateway.flush_notes();
        });
    }

    fn flush_notes(&self) {
        self.asks.flush_is_due.set(false);
        let notes = std::mem::take(&mut *self.asks.notes.borrow_mut());
        for (grantor, notes) in notes {
            let Some(address) = self.beat_address_of(grantor) else { continue };
            for notes in notes.chunks(NOTES_MAX) {
                self.send_message(Body::Progress(notes.to_vec()), address);
            }
        }
    }

    /// `confirm_grants` tells each granter which of its grants are in hand.
    pub(crate) fn confirm_grants(&self, now: Timestamp) {
        let asks = &self.asks;
        if now < asks.confirmed.get() + CONFIRM_INTERVAL {
            return;
        }
        asks.confirmed.set(now);
        let mut of_granter: HashMap<InstanceId, Held> = HashMap::default();
        let traffic = self.traffic.borrow();
        for (number, grant) in &*asks.held.borrow() {
            let held = of_granter.entry(grant.grantor).or_default();
            held.numbers.push(*number);
            let key = grant.placement.upstream;
            let Some(upstream) = traffic.registry.get(key) else { continue };
            let life = upstream.life_number;
            if held.silences.iter().all(|(known, _)| *known != life) {
                held.silences.push((life, millis(traffic.time_since_last_byte(key, now))));
            }
        }
        for (grantor, held) in of_granter {
            let Some(address) = self.beat_address_of(grantor) else { continue };
            for (index, numbers) in held.numbers.chunks(HELD_MAX).enumerate() {
                let silences = if index == 0 { held.silences.clone() } else { Vec::new() };
                let held = Held { numbers: numbers.to_vec(), silences };
                self.send_message(Body::Held(held), address);
            }
        }
    }

    /// `held_figures` returns what this instance has in hand by grants of others than those that are
    /// left out, by the lives of upstreams.
    pub(crate) fn held_figures(
        &self,
        is_left_out: impl Fn(Granter) -> bool,
    ) -> HashMap<UpstreamId, Figures> {
        let traffic = self.traffic.borrow();
        let mut figures: HashMap<UpstreamId, Figures> = HashMap::default();
        for grant in self.asks.held.borrow().values() {
            let HeldGrant { grantor, grantor_incarnation, placement, has_begun } = *grant;
            let Some(upstream) = traffic.registry.get(placement.upstream) else { continue };
            if is_left_out(Granter { instance: grantor, incarnation: grantor_incarnation }) {
                continue;
            }
            let unread_tokens = if has_begun { 0.0 } else { placement.work.unread_tokens };
            let memory_tokens = placement.work.memory_tokens;
            let one = Figures { requests: 1, unread_tokens, memory_tokens };
            figures.entry(upstream.life_number).or_default().add(&one);
        }
        figures
    }

    /// `is_answering` tells whether an instance has been heard since it last left an ask without a
    /// reply.
    pub(crate) fn is_answering(&self, dispatcher: InstanceId) -> bool {
        let unanswered = self.asks.unanswered.borrow().get(&dispatcher).copied();
        let heard = self.peers.borrow().get(&dispatcher).and_then(|peer| peer.heard);
        match unanswered {
            Some(unanswered) => heard.is_some_and(|heard| unanswered < heard),
            None => true,
        }
    }
}

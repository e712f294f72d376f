//! Dispatchers: the roles of the instances of a domain, and the decisions of its dispatcher on
//! requests of its own and of others.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::admissions::{Choice, Room, Scope};
use bergamotpitch_control::traffic::dispatchers::{Candidate, Role, role_of};
use bergamotpitch_control::traffic::engine_loads::RequestNumber;
use bergamotpitch_control::traffic::grants::{Grant, Grants};
use bergamotpitch_control::traffic::team_windows::Standing;
use bergamotpitch_control::traffic::waiting_asks::{OwnedAsk, WaitingAsks, place};
use bergamotpitch_core::HashMap;
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::{Incarnation, InstanceId, ServiceId, id_of_name};
use bergamotpitch_core::units::Timestamp;
use tokio::sync::oneshot;

use crate::gateways::Gateway;
use crate::logs::decision;
use crate::messages::{AskBody, Body, Held, Note, NoteEvent, Reply, ReplyOutcome, RoomLine};
use crate::peers::{Peer, SETTLED_TIME};

/// `LOOK_AGAIN_INTERVAL` is the time between two looks at requests that wait for a place: a fiftieth
/// of the shortest target.
const LOOK_AGAIN_INTERVAL: Duration = Duration::from_millis(8);

/// `ROOM_WAIT` is the time to a first event up to which an upstream counts as one with room, as other
/// domains are told: the shortest targets of prompts.
const ROOM_WAIT: Duration = Duration::from_millis(400);

/// `Dispatches` are the requests on which this instance decides, its own and others'.
#[derive(Debug, Default)]
pub struct Dispatches {
    waiting: RefCell<WaitingAsks>,
    grants: RefCell<Grants>,
    replies: RefCell<HashMap<RequestNumber, ReplyTo>>,
    /// What the dispatchers of other domains told of their room, less what was handed on since.
    rooms: RefCell<HashMap<InstanceId, HashMap<ServiceId, Room>>>,
    has_changed: Cell<bool>,
    is_looking: Cell<bool>,
    role: Cell<Role>,
}

#[derive(Debug)]
enum ReplyTo {
    Own(oneshot::Sender<Choice>),
    Peer { asker: InstanceId, number: RequestNumber },
}

/// `OwnWait` is a request of this instance that waits for its decision; dropping it frees the place
/// that it may have got meanwhile.
struct OwnWait<'a> {
    gateway: &'a Rc<Gateway>,
    number: RequestNumber,
    choice: oneshot::Receiver<Choice>,
}

impl Drop for OwnWait<'_> {
    fn drop(&mut self) {
        let dispatches = &self.gateway.dispatches;
        dispatches.replies.borrow_mut().remove(&self.number);
        dispatches.waiting.borrow_mut().remove(self.number);
        if let Ok(Choice::Send(placement)) = self.choice.try_recv() {
            self.gateway.traffic.borrow_mut().load(placement.upstream).ended(self.number);
        }
    }
}

impl Gateway {
    /// `role` returns what this instance does for its domain.
    pub fn role(&self) -> Role {
        self.dispatches.role.get()
    }

    /// `is_dispatcher` tells whether this instance decides for its domain.
    pub fn is_dispatcher(&self) -> bool {
        self.role().dispatcher == Some(self.options.instance)
    }

    /// `other_dispatcher` returns the instance that should decide on a request, unless it is this one.
    pub(crate) fn other_dispatcher(&self) -> Option<InstanceId> {
        let dispatcher = self.role().dispatcher.filter(|first| *first != self.options.instance)?;
        self.is_answering(dispatcher).then_some(dispatcher)
    }

    /// `scope` returns among which upstreams this instance places requests by itself.
    pub(crate) fn scope(&self) -> Scope {
        if self.role().dispatcher.is_some() { Scope::Domain } else { Scope::Fleet }
    }

    /// Decides anew what this instance does for its domain.
    pub(crate) fn note_dispatcher(&self) {
        let now = self.now();
        let own = Candidate {
            instance: self.options.instance,
            processor_millis: self.options.processor_millis,
            heard: now,
            is_able: self.is_able(),
            is_settled: SETTLED_TIME <= now,
        };
        let domain = &self.options.admission.domain;
        let peers = self.peers.borrow();
        let of_domain = peers.values().filter(|peer| peer.address.domain == *domain);
        let others: Vec<Candidate> = of_domain.map(Peer::candidate).collect();
        drop(peers);
        let before = self.role();
        let mut role = role_of(&own, &others, now, &self.options.dispatchers);
        if !self.options.admission.policy.dispatchers {
            role.dispatcher = None;
        }
        self.dispatches.role.set(role);
        if role.dispatcher == before.dispatcher {
            return;
        }
        decision(
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

    /// `is_able` tells whether this instance can be the dispatcher of its domain.
    pub(crate) fn is_able(&self) -> bool {
        self.knows_all() && !self.is_draining() && self.lateness.keeps_up()
    }

    /// `place_here` decides on a request of this instance by its own books.
    pub(crate) fn place_here(&self, number: RequestNumber, ask: &OwnedAsk) -> Choice {
        place(number, ask, &mut self.traffic.borrow_mut(), self.now())
    }

    /// `decide` does so, and lets the request wait for a place for as long as it may.
    pub(crate) async fn decide(self: &Rc<Self>, number: RequestNumber, ask: OwnedAsk) -> Choice {
        let now = self.now();
        let choice = self.place_here(number, &ask);
        if matches!(choice, Choice::Send(_)) || ask.hold_until(&choice) <= now {
            return choice;
        }
        let (sender, receiver) = oneshot::channel();
        self.wait(number, ask, choice.clone(), ReplyTo::Own(sender));
        let mut wait = OwnWait { gateway: self, number, choice: receiver };
        // The sender is dropped unused when this process ends, and then nobody waits.
        (&mut wait.choice).await.unwrap_or(choice)
    }

    fn wait(
        self: &Rc<Self>,
        number: RequestNumber,
        ask: OwnedAsk,
        choice: Choice,
        reply_to: ReplyTo,
    ) {
        let now = self.now();
        self.dispatches.replies.borrow_mut().insert(number, reply_to);
        self.dispatches.waiting.borrow_mut().wait(number, ask, choice, now);
        if !self.dispatches.is_looking.replace(true) {
            tokio::task::spawn_local(look_again(Rc::clone(self)));
        }
    }

    /// `note_change_of_load` lets requests that wait for a place look again soon. Under high load
    /// something changes every few milliseconds and dozens wait; looking at each change took more
    /// time than all else.
    pub fn note_change_of_load(&self) {
        self.dispatches.has_changed.set(true);
    }

    /// `waiting_count` returns how many requests wait for a place here.
    pub fn waiting_count(&self) -> usize {
        self.dispatches.waiting.borrow().count()
    }

    fn look(self: &Rc<Self>) {
        let now = self.now();
        let mut traffic = self.traffic.borrow_mut();
        let mut waiting = self.dispatches.waiting.borrow_mut();
        let mut decided = waiting.expire(&mut traffic, now);
        if self.dispatches.has_changed.replace(false) {
            decided.extend(waiting.look(&mut traffic, now));
        }
        drop((traffic, waiting));
        for (number, choice) in decided {
            self.reply(number, choice);
        }
    }

    fn reply(self: &Rc<Self>, own_number: RequestNumber, choice: Choice) {
        match self.dispatches.replies.borrow_mut().remove(&own_number) {
            Some(ReplyTo::Own(sender)) => {
                // The receiver frees the place when it is dropped, and none is left without one.
                let _ = sender.send(choice);
            }
            Some(ReplyTo::Peer { asker, number }) => {
                self.reply_to_peer(asker, number, own_number, &choice);
            }
            None => {}
        }
    }

    fn reply_to_peer(
        &self,
        asker: InstanceId,
        number: RequestNumber,
        own_number: RequestNumber,
        choice: &Choice,
    ) {
        if let Choice::Send(placement) = choice {
            let now = self.now();
            self.dispatches.grants.borrow_mut().note(asker, number, own_number, *placement, now);
        }
        let outcome = ReplyOutcome::new(choice, &self.traffic.borrow().registry);
        self.send_reply(asker, number, outcome.unwrap_or(ReplyOutcome::Declined));
    }

    fn send_reply(&self, asker: InstanceId, number: RequestNumber, outcome: ReplyOutcome) {
        if let Some(address) = self.beat_address_of(asker) {
            self.send_message(Body::Reply(Reply { number, outcome }), address);
        }
    }

    /// `take_ask` decides on a request of another instance.
    pub(crate) fn take_ask(
        self: &Rc<Self>,
        sender: InstanceId,
        incarnation: Incarnation,
        body: AskBody,
    ) {
        let (asker, incarnation) = body.asker.unwrap_or((sender, incarnation));
        self.take_asker_life(asker, incarnation);
        let number = body.number;
        if let Some(outcome) = self.outcome_of_repeat(asker, number) {
            self.send_reply(asker, number, outcome);
            return;
        }
        let Some(ask) = self.owned_ask(&body).filter(|_| !self.is_draining()) else {
            self.send_reply(asker, number, ReplyOutcome::Declined);
            return;
        };
        let now = self.now();
        if body.is_first && body.asker.is_none() {
            self.note_asked(&ask, now);
        }
        let own_number = self.fresh_number();
        let choice = place(own_number, &ask, &mut self.traffic.borrow_mut(), now);
        if matches!(choice, Choice::Send(_)) {
            self.reply_to_peer(asker, number, own_number, &choice);
            return;
        }
        if body.may_go_on
            && let Some(next) = self.take_room(body.service, &choice)
        {
            let asker = Some((asker, incarnation));
            self.send_reply(sender, number, ReplyOutcome::Waits);
            self.hand_on(next, AskBody { asker, may_go_on: false, ..body });
            return;
        }
        if ask.hold_until(&choice) <= now {
            self.reply_to_peer(asker, number, own_number, &choice);
            return;
        }
        self.send_reply(asker, number, ReplyOutcome::Waits);
        self.wait(own_number, ask, choice, ReplyTo::Peer { asker, number });
    }

    fn hand_on(&self, next: InstanceId, body: AskBody) {
        if let Some(address) = self.beat_address_of(next) {
            self.send_message(Body::Ask(body), address);
        }
    }

    /// The outcome that an ask had already: a reply was lost, or the ask came twice.
    fn outcome_of_repeat(&self, asker: InstanceId, number: RequestNumber) -> Option<ReplyOutcome> {
        let grants = self.dispatches.grants.borrow();
        if let Some(grant) = grants.get(asker, number) {
            let choice = Choice::Send(grant.placement);
            return ReplyOutcome::new(&choice, &self.traffic.borrow().registry);
        }
        let is_this = |reply: &ReplyTo| {
            matches!(reply, ReplyTo::Peer { asker: other, number: at }
                if (*other, *at) == (asker, number))
        };
        let replies = self.dispatches.replies.borrow();
        replies.values().any(is_this).then_some(ReplyOutcome::Waits)
    }

    fn owned_ask(&self, body: &AskBody) -> Option<OwnedAsk> {
        let catalog = self.catalog()?;
        let service = catalog.service_of_id(body.service)?;
        let engine = service.engine.as_ref();
        let traffic = self.traffic.borrow();
        let tried = body.tried.iter().filter_map(|life| traffic.registry.key_of_life(*life));
        let elapsed = Duration::from_millis(body.elapsed_ms.into());
        Some(OwnedAsk {
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
        })
    }

    /// `note_asked` counts what a team asks.
    pub(crate) fn note_asked(&self, ask: &OwnedAsk, now: Timestamp) {
        if let Some(team) = ask.team
            && ask.facts.is_generation()
        {
            let windows = &mut self.traffic.borrow_mut().windows;
            windows.note_asked(team, ask.facts.pool_tokens(), now);
        }
    }

    fn take_asker_life(&self, asker: InstanceId, incarnation: Incarnation) {
        let ended = self.dispatches.grants.borrow_mut().asker_heard(asker, incarnation);
        self.end_grants(&ended);
    }

    fn end_grants(&self, ended: &[Grant]) {
        let mut traffic = self.traffic.borrow_mut();
        for grant in ended {
            traffic.load(grant.placement.upstream).ended(grant.number);
        }
        drop(traffic);
        if !ended.is_empty() {
            self.note_change_of_load();
        }
    }

    /// `take_progress` takes in what became of granted requests.
    pub(crate) fn take_progress(self: &Rc<Self>, asker: InstanceId, notes: &[Note]) {
        for note in notes {
            match note.event {
                NoteEvent::Begun => self.take_begun(asker, note.number),
                event => self.take_ended(asker, note.number, event),
            }
        }
        self.note_change_of_load();
    }

    fn take_begun(&self, asker: InstanceId, number: RequestNumber) {
        let grants = self.dispatches.grants.borrow();
        let Some(grant) = grants.get(asker, number) else { return };
        let key = grant.placement.upstream;
        self.traffic.borrow_mut().begun(key, grant.number, self.now());
        self.note_life(key);
    }

    fn take_ended(self: &Rc<Self>, asker: InstanceId, number: RequestNumber, event: NoteEvent) {
        let Some(grant) = self.dispatches.grants.borrow_mut().end(asker, number) else {
            self.drop_waiting(asker, number);
            return;
        };
        let now = self.now();
        let key = grant.placement.upstream;
        let mut traffic = self.traffic.borrow_mut();
        traffic.load(key).ended(grant.number);
        match event {
            NoteEvent::Answered => {
                traffic.evidence(key).note_life(now);
                traffic.evidence(key).note_outcome(false, now);
            }
            NoteEvent::Failed => traffic.evidence(key).note_outcome(true, now),
            NoteEvent::Unreachable => traffic.evidence(key).note_unreachable(now),
            NoteEvent::Begun | NoteEvent::Dropped => {}
        }
    }

    fn drop_waiting(&self, asker: InstanceId, number: RequestNumber) {
        let mut replies = self.dispatches.replies.borrow_mut();
        let is_this = |reply: &ReplyTo| {
            matches!(reply, ReplyTo::Peer { asker: other, number: at }
                if (*other, *at) == (asker, number))
        };
        let own_number = replies.iter().find(|(_, reply)| is_this(reply)).map(|(own, _)| *own);
        if let Some(own_number) = own_number {
            replies.remove(&own_number);
            self.dispatches.waiting.borrow_mut().remove(own_number);
        }
    }

    /// `take_held` takes in which grants an asker has in hand.
    pub(crate) fn take_held(&self, asker: InstanceId, held: &Held) {
        let now = self.now();
        let mut grants = self.dispatches.grants.borrow_mut();
        held.numbers.iter().for_each(|number| grants.confirm(asker, *number, now));
        let mut traffic = self.traffic.borrow_mut();
        for (life, silence_ms) in &held.silences {
            let Some(key) = traffic.registry.key_of_life(*life) else { continue };
            let silence = Duration::from_millis((*silence_ms).into());
            if let Some(heard) = now.checked_sub(silence) {
                traffic.evidence(key).note_life(heard);
            }
        }
    }

    /// `drop_lapsed_grants` frees places that nobody confirms any more.
    pub(crate) fn drop_lapsed_grants(&self) {
        let lapsed = self.dispatches.grants.borrow_mut().lapsed(self.now());
        if !lapsed.is_empty() {
            log::info!("event=grants_lapsed count={}", lapsed.len());
        }
        self.end_grants(&lapsed);
    }

    /// `own_rooms` returns the room at the upstreams of the own domain.
    pub(crate) fn own_rooms(&self) -> Vec<RoomLine> {
        let Some(catalog) = self.catalog() else { return Vec::new() };
        let now = self.now();
        let traffic = self.traffic.borrow();
        let services = catalog.services.keys();
        let lines = services.map(|name| RoomLine {
            service: id_of_name(name),
            room: traffic.room(name, ROOM_WAIT, now),
        });
        lines.filter(|line| line.room != Room::default()).collect()
    }

    /// `rooms_heard` takes in the room at the upstreams of another domain.
    pub(crate) fn rooms_heard(&self, dispatcher: InstanceId, lines: &[RoomLine]) {
        let rooms = lines.iter().map(|line| (line.service, line.room)).collect();
        self.dispatches.rooms.borrow_mut().insert(dispatcher, rooms);
    }

    /// The dispatcher of another domain that has room for a request that fits nowhere in this one.
    pub(crate) fn take_room(&self, service: ServiceId, choice: &Choice) -> Option<InstanceId> {
        let is_within_share = match choice {
            Choice::Full { standing, .. } => {
                matches!(standing, Standing::WithinShare | Standing::Needy)
            }
            Choice::NoUpstream(_) => true,
            Choice::Send(_) => return None,
        };
        let now = self.now();
        let peers = self.peers.borrow();
        let near = &self.options.admission.near_domains;
        let mut rooms = self.dispatches.rooms.borrow_mut();
        let open = rooms.iter_mut().filter_map(|(instance, rooms)| {
            let peer = peers.get(instance).filter(|peer| peer.is_dispatching(now))?;
            let room = rooms.get_mut(&service)?;
            let count =
                if is_within_share { &mut room.within_share } else { &mut room.beyond_share };
            (0 < *count).then_some((near.contains(&peer.address.domain), *instance, count))
        });
        let (_, next, count) = open.max_by_key(|(is_near, _, count)| (*is_near, **count))?;
        *count -= 1;
        Some(next)
    }
}

async fn look_again(gateway: Rc<Gateway>) {
    while 0 < gateway.waiting_count() {
        tokio::time::sleep(LOOK_AGAIN_INTERVAL).await;
        gateway.look();
    }
    gateway.dispatches.is_looking.set(false);
}

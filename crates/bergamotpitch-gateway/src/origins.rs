//! Origins: what instances tell each other of the software versions at which streams began, and where
//! a stream that a caller takes up goes on.
//!
//! An origin is told when a request is sent, long before its first event comes, so that no event waits
//! for it. Nothing rests on its arrival: while versions are mixed, a stream whose origin nobody knows
//! goes on nowhere.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::catalogs::RouteKind;
use bergamotpitch_control::traffic::origin_records::RecordedOrigin;
use bergamotpitch_control::traffic::registries::UpstreamKey;
use bergamotpitch_control::traffic::software_versions::UNSTATED_SOFTWARE;
use bergamotpitch_control::traffic::stream_origins::{
    AttemptNumber, Knowledge, KnownOrigin, Origin, Resumption, attempt_number,
};
use bergamotpitch_core::HashMap;
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::{InstanceId, ServiceId, SoftwareId, id_of_name};
use bergamotpitch_core::refusals::RefusalReason;
use bergamotpitch_core::units::Timestamp;
use tokio::sync::Notify;

use crate::calls::Call;
use crate::gateways::Gateway;
use crate::logs::decision;
use crate::messages::{Body, MESSAGE_BYTES, OriginLine, OriginQuery, OriginReply, millis};
use crate::origin_records::Lookup;
use crate::peers::ISOLATED_RETURN;
use crate::refusals::Refusal;

/// `TELL_DELAY` is for how long origins are gathered before they are told; a first event takes several
/// times as long.
const TELL_DELAY: Duration = Duration::from_millis(3);

/// `LINES_MAX` bounds the origins in one message.
pub(crate) const LINES_MAX: usize = MESSAGE_BYTES / 28;

/// `RETENTION` is for how long an origin is kept after the deadline of its request: callers take up a
/// stream within the time that they had for it.
const RETENTION: Duration = Duration::from_secs(5);

/// `QUERY_TIMEOUT` is the time for the replies to a query: twice the way to the farthest region and back,
/// and as long again for instances that have little processor time.
const QUERY_TIMEOUT: Duration = Duration::from_millis(100);

/// `RECORD_TIMEOUT` is the same where those that are asked read the records.
const RECORD_TIMEOUT: Duration = Duration::from_millis(800);

/// `QUERIES_MAX` bounds the streams about which others are asked at the same time. Made-up attempts cost
/// their instance a few dozen datagrams each; beyond the bound they are answered unasked.
const QUERIES_MAX: usize = 64;

/// `Origins` is what this instance tells others of its streams and asks them about theirs.
#[derive(Debug, Default)]
pub struct Origins {
    pub(crate) untold: RefCell<HashMap<InstanceId, Vec<KnownOrigin>>>,
    is_flush_scheduled: Cell<bool>,
    queries: RefCell<HashMap<u64, Rc<Query>>>,
}

#[derive(Debug)]
struct Query {
    asked: usize,
    /// The version of the service, where this instance knows of no other one.
    only_software: Option<SoftwareId>,
    replies: Cell<usize>,
    found: Cell<Option<KnownOrigin>>,
    is_mixed: Cell<bool>,
    may_be_told: Cell<bool>,
    changed: Notify,
}

/// `Found` is what is known of a stream that a caller takes up.
#[derive(Debug, Default)]
struct Found {
    known: Option<KnownOrigin>,
    asked: usize,
    replies: usize,
    /// Whether one of those asked knows several versions of the service, or another one.
    is_mixed: bool,
    /// Whether it may be known later: one of them has just started and may yet be told, or the records cannot be read.
    may_be_told: bool,
    /// Whether the records told it.
    is_recorded: bool,
}

impl Found {
    /// Adds what the records say of a stream that nobody knew.
    fn or_recorded(self, recorded: Self) -> Self {
        let is_unanswered = 0 < recorded.asked && recorded.replies == 0;
        Self {
            known: recorded.known,
            may_be_told: self.may_be_told || recorded.may_be_told || is_unanswered,
            is_recorded: recorded.known.is_some(),
            ..self
        }
    }
}

impl Gateway {
    /// `are_versions_mixed` tells whether upstreams of more than one software version serve, or did
    /// lately.
    pub fn are_versions_mixed(&self, service: &str) -> bool {
        self.traffic.borrow().software.are_mixed(service)
    }

    /// `note_origin` takes in that a request is sent to an upstream, where its stream begins.
    pub(crate) fn note_origin(self: &Rc<Self>, call: &Call, upstream: UpstreamKey) {
        if call.route.kind != RouteKind::Streaming || !call.route.is_resumable {
            return;
        }
        let until = call.deadline + RETENTION;
        let attempt = attempt_number(&call.facts.attempt_id);
        let mut traffic = self.traffic.borrow_mut();
        let Some(listed) = traffic.registry.get(upstream) else { return };
        // A stream whose events were passed on began where it did, wherever it is tried again.
        if call.begun_software.get().is_some_and(|begun| begun != listed.software) {
            return;
        }
        let origin = Origin { service: id_of_name(&call.service), software: listed.software };
        let known = traffic.origins.sent(attempt, origin, upstream, until);
        drop(traffic);
        let is_mixed = self.are_versions_mixed(&call.service);
        if is_mixed || self.is_list_lost() {
            self.queue_origin(known);
            self.schedule_flush();
        }
        if is_mixed {
            self.record_origin(known);
        }
    }

    /// `forget_origin` takes in that the stream of a request ended in order.
    pub(crate) fn forget_origin(&self, call: &Call) {
        let attempt = attempt_number(&call.facts.attempt_id);
        self.traffic.borrow_mut().origins.forget(attempt);
    }

    /// `tell_mixed_services` tells the origins of all streams of services of which another software
    /// version has appeared.
    pub(crate) fn tell_mixed_services(&self, services: &[String]) {
        if services.is_empty() {
            return;
        }
        let now = self.now();
        for service in services {
            let untold = self.traffic.borrow().origins.untold(Some(id_of_name(service)), now);
            log::info!("event=versions_mixed service={service} untold_streams={}", untold.len());
            untold.into_iter().for_each(|known| self.queue_origin(known));
            self.version_records.write(service);
        }
        self.flush_origins();
        self.record_unfinished();
    }

    /// `note_list_lost` takes in that the store cannot be reached, so that nobody may know which versions serve: the
    /// origins of all streams are told until it is back.
    pub fn note_list_lost(&self) {
        if self.current_list.set_lost(true) {
            return;
        }
        let untold = self.traffic.borrow().origins.untold(None, self.now());
        log::info!("event=list_lost untold_streams={}", untold.len());
        untold.into_iter().for_each(|known| self.queue_origin(known));
        self.flush_origins();
    }

    /// `note_list_back` takes in that it is reached again.
    pub fn note_list_back(&self) {
        self.current_list.set_lost(false);
    }

    /// `is_list_lost` tells whether the store cannot be reached.
    pub(crate) fn is_list_lost(&self) -> bool {
        self.current_list.is_lost()
    }

    /// `doubt_origins` takes in that an upstream's id is listed with other software.
    pub(crate) fn doubt_origins(&self, upstream: UpstreamKey) {
        let doubted = self.traffic.borrow_mut().origins.doubt(upstream);
        log::info!("event=origins_doubted key={upstream} streams={}", doubted.len());
        for known in doubted {
            self.queue_origin(known);
            self.record_origin(known);
        }
        self.flush_origins();
    }

    pub(crate) fn queue_origin(&self, known: KnownOrigin) {
        let own_domain = id_of_name(&self.options.admission.domain);
        let keepers = self.members.borrow().keepers(known.attempt, own_domain);
        if keepers.is_empty() {
            return;
        }
        self.traffic.borrow_mut().origins.note_told(known.attempt);
        let mut untold = self.origins.untold.borrow_mut();
        keepers.into_iter().for_each(|keeper| untold.entry(keeper).or_default().push(known));
    }

    fn schedule_flush(self: &Rc<Self>) {
        if self.origins.is_flush_scheduled.replace(true) {
            return;
        }
        let gateway = Rc::clone(self);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(TELL_DELAY).await;
            gateway.origins.is_flush_scheduled.set(false);
            gateway.flush_origins();
        });
    }

    fn flush_origins(&self) {
        let untold = std::mem::take(&mut *self.origins.untold.borrow_mut());
        for (keeper, known) in untold {
            known.chunks(LINES_MAX).for_each(|known| self.send_origins(keeper, known));
        }
    }

    /// `send_origins` tells a keeper some origins in one message.
    pub(crate) fn send_origins(&self, keeper: InstanceId, known: &[KnownOrigin]) {
        let Some(address) = self.beat_address_of(keeper) else { return };
        let now = self.now();
        let lines = known.iter().map(|known| line_of_origin(known, now)).collect();
        self.send_message(Body::Origins(lines), address);
    }

    /// `handle_origins` keeps what another instance tells of its streams. One that is about to end hands
    /// it over at once: whoever told it did not know that yet.
    pub(crate) fn handle_origins(self: &Rc<Self>, lines: &[OriginLine]) {
        let now = self.now();
        let mut traffic = self.traffic.borrow_mut();
        let known = lines.iter().map(|line| origin_of_line(line, now));
        let news: Vec<KnownOrigin> = known.filter(|known| traffic.origins.told(*known)).collect();
        drop(traffic);
        if self.is_draining() && !news.is_empty() {
            news.into_iter().for_each(|known| self.queue_origin(known));
            self.schedule_flush();
        }
    }

    /// `handle_origin_query` tells another instance what is known of a stream.
    pub(crate) fn handle_origin_query(self: &Rc<Self>, peer: InstanceId, query: OriginQuery) {
        let known = self.traffic.borrow().origins.origin_of(query.attempt, self.now());
        if known.is_some() || !query.reads_records {
            return self.reply_to_query(peer, &query, known, false);
        }
        let gateway = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let lookup = gateway.look_up_origin(query.attempt).await;
            let known = gateway.known_of_lookup(lookup);
            gateway.reply_to_query(peer, &query, known, lookup == Lookup::Unreadable);
        });
    }

    fn reply_to_query(
        &self,
        peer: InstanceId,
        query: &OriginQuery,
        known: Option<KnownOrigin>,
        is_unreadable: bool,
    ) {
        let Some(address) = self.beat_address_of(peer) else { return };
        let traffic = self.traffic.borrow();
        let reply = OriginReply {
            number: query.number,
            line: known.map(|known| line_of_origin(&known, self.now())),
            is_mixed: traffic.software.are_mixed_of(query.service),
            only_software: traffic.software.only_version_of(query.service),
            may_be_told: is_unreadable || self.has_just_started(),
        };
        drop(traffic);
        self.send_message(Body::OriginReply(reply), address);
    }

    /// `handle_origin_reply` takes in a reply to a query.
    pub(crate) fn handle_origin_reply(&self, reply: &OriginReply) {
        let Some(query) = self.origins.queries.borrow().get(&reply.number).cloned() else { return };
        query.replies.set(query.replies.get() + 1);
        let is_other = reply.only_software.is_some_and(|only| Some(only) != query.only_software);
        query.is_mixed.set(query.is_mixed.get() || reply.is_mixed || is_other);
        query.may_be_told.set(query.may_be_told.get() || reply.may_be_told);
        if let Some(line) = &reply.line {
            let known = origin_of_line(line, self.now());
            let is_later = |before: KnownOrigin| before.revision <= known.revision;
            if query.found.get().is_none_or(is_later) {
                query.found.set(Some(known));
            }
        }
        query.changed.notify_one();
    }

    async fn find_origin(&self, attempt: AttemptNumber, service: ServiceId) -> Found {
        if let Some(known) = self.traffic.borrow().origins.origin_of(attempt, self.now()) {
            return Found { known: Some(known), ..Found::default() };
        }
        let addresses = {
            let keepers = self.members.borrow().likely_keepers(attempt);
            keepers.into_iter().filter_map(|keeper| self.beat_address_of(keeper)).collect()
        };
        self.ask_for_origin(addresses, attempt, service, false).await
    }

    /// Reads in the records where a stream began, by itself or by those that watch the store for it.
    async fn find_recorded_origin(
        self: &Rc<Self>,
        attempt: AttemptNumber,
        service: ServiceId,
    ) -> Found {
        let readers = self.record_readers();
        if !readers.is_empty() {
            return self.ask_for_origin(readers, attempt, service, true).await;
        }
        let lookup = self.look_up_origin(attempt).await;
        let may_be_told = lookup == Lookup::Unreadable;
        Found { known: self.known_of_lookup(lookup), may_be_told, ..Found::default() }
    }

    fn known_of_lookup(&self, lookup: Lookup) -> Option<KnownOrigin> {
        let Lookup::Found(RecordedOrigin { attempt, origin, revision }) = lookup else {
            return None;
        };
        Some(KnownOrigin { attempt, origin, revision, until: self.now() + RETENTION })
    }

    async fn ask_for_origin(
        &self,
        addresses: Vec<SocketAddr>,
        attempt: AttemptNumber,
        service: ServiceId,
        reads_records: bool,
    ) -> Found {
        if addresses.is_empty() || QUERIES_MAX <= self.origins.queries.borrow().len() {
            return Found::default();
        }
        let number = self.fresh_number();
        let only_software = self.traffic.borrow().software.only_version_of(service);
        let query = Rc::new(Query::new(addresses.len(), only_software));
        self.origins.queries.borrow_mut().insert(number, Rc::clone(&query));
        let _pending = PendingQuery { gateway: self, number };
        let body = Body::OriginQuery(OriginQuery { number, attempt, service, reads_records });
        addresses.into_iter().for_each(|address| self.send_message(body.clone(), address));
        let time = if reads_records { RECORD_TIMEOUT } else { QUERY_TIMEOUT };
        // What has come until then is what is known.
        let _ = tokio::time::timeout(time, query.answered()).await;
        Found {
            known: query.found.get(),
            asked: query.asked,
            replies: query.replies.get(),
            is_mixed: query.is_mixed.get(),
            may_be_told: query.may_be_told.get(),
            is_recorded: false,
        }
    }
}

impl Query {
    fn new(asked: usize, only_software: Option<SoftwareId>) -> Self {
        Self {
            asked,
            only_software,
            replies: Cell::new(0),
            found: Cell::new(None),
            is_mixed: Cell::new(false),
            may_be_told: Cell::new(false),
            changed: Notify::new(),
        }
    }

    async fn answered(&self) {
        while self.found.get().is_none() && self.replies.get() < self.asked {
            self.changed.notified().await;
        }
    }
}

struct PendingQuery<'a> {
    gateway: &'a Gateway,
    number: u64,
}

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        self.gateway.origins.queries.borrow_mut().remove(&self.number);
    }
}

/// `bind_resumption` decides where the stream that a call takes up may go on.
///
/// # Errors
///
/// Refuses the call when its stream can go on nowhere.
pub(crate) async fn bind_resumption(gateway: &Rc<Gateway>, call: &Call) -> Result<(), Refusal> {
    if !call.route.is_resumable || !call.facts.takes_up_stream() {
        return Ok(());
    }
    let resumed = call.facts.resumed_attempt_id.as_deref();
    let attempt = resumed.map(attempt_number);
    let service = id_of_name(&call.service);
    let mut found = match attempt {
        Some(attempt) => gateway.find_origin(attempt, service).await,
        None => Found::default(),
    };
    let is_needed = || {
        let is_mixed = found.is_mixed || gateway.are_versions_mixed(&call.service);
        found.known.is_none() && !is_mixed
    };
    let list_age = gateway.list_age();
    let is_list_needed = is_needed();
    let is_current = is_list_needed && gateway.make_list_current().await;
    let recorded = match is_current && is_needed() && !gateway.bears_witness(&call.service) {
        true => gateway.read_version_record(&call.service).await,
        false => None,
    };
    let mut knowledge = Knowledge {
        service,
        origin: found.known.map(|known| known.origin),
        is_mixed: found.is_mixed || gateway.are_versions_mixed(&call.service),
        only_software: gateway.traffic.borrow().software.only_version_of(service),
        is_current,
        has_witness: gateway.bears_witness(&call.service),
    };
    // A store of which the list was not read would not tell the records either.
    let is_store_away = is_list_needed && !is_current;
    let is_unknown = knowledge.origin.is_none() && knowledge.resumption() == Resumption::Nowhere;
    if let Some(attempt) = attempt.filter(|_| is_unknown && !is_store_away) {
        found = found.or_recorded(gateway.find_recorded_origin(attempt, service).await);
        knowledge.origin = found.known.map(|known| known.origin);
    }
    // Others may know more than an instance that nobody answers.
    let is_unanswered = 0 < found.asked && found.replies == 0;
    let may_be_told = knowledge.origin.is_none()
        && (found.may_be_told || is_unanswered || gateway.has_just_started());
    let resumption = knowledge.resumption();
    gateway.metrics.count_taken_up(resumption);
    decision(
        EventKind::StreamTakenUp,
        format_args!(
            "request={} resumes={:.64} decision={resumption} origin={:?} asked={} replies={} mixed={} \
             list_age_ms={} current={} witness={} recorded={recorded:?} in_records={} waited_ms={}",
            call.facts.attempt_id,
            resumed.unwrap_or("-"),
            knowledge.origin,
            found.asked,
            found.replies,
            knowledge.is_mixed,
            list_age.as_millis(),
            knowledge.is_current,
            knowledge.has_witness,
            found.is_recorded,
            gateway.now().saturating_sub(call.arrived).as_millis(),
        ),
    );
    match resumption {
        Resumption::Only(software) => {
            call.bound_software.set(Some(software));
            if let Some(known) = found.known {
                gateway.extend_origin(known, call.deadline + RETENTION);
            }
            Ok(())
        }
        Resumption::Nowhere if knowledge.is_mixed && !may_be_told => {
            Err(Refusal::not_resumable(RefusalReason::StreamVersionUnknown))
        }
        Resumption::Nowhere => {
            Err(Refusal::not_run(RefusalReason::StreamVersionUnknown, ISOLATED_RETURN))
        }
    }
}

impl Gateway {
    /// The caller may lose this attempt too, and then names the first one again.
    fn extend_origin(self: &Rc<Self>, known: KnownOrigin, until: Timestamp) {
        let known = KnownOrigin { until: until.max(known.until), ..known };
        self.traffic.borrow_mut().origins.told(known);
        self.queue_origin(known);
        self.schedule_flush();
        if self.traffic.borrow().software.are_mixed_of(known.origin.service) {
            self.record_origin(known);
        }
    }

    /// `bind_retry` lets a request that is sent again go only to the version at which others were told that its
    /// stream begins: whoever misses a second statement believes the first one. Where all upstreams of that version
    /// leave, no stream goes on there.
    pub(crate) fn bind_retry(&self, call: &Call) {
        let attempt = attempt_number(&call.facts.attempt_id);
        let told = self.traffic.borrow().origins.told_software(attempt);
        let Some(software) = told.filter(|software| *software != UNSTATED_SOFTWARE) else { return };
        if call.bound_software.get().is_none() {
            call.bound_software.set(Some(software));
            if !self.has_bound_upstream(call) {
                call.bound_software.set(None);
            }
        }
    }

    /// `bind_broken` lets the stream of a call go on only at the version of its events, where another one has appeared
    /// since it broke off; it tells whether that version is certain.
    pub(crate) fn bind_broken(&self, call: &Call) -> bool {
        let Some(begun) = call.begun_software.get() else { return true };
        if self.are_versions_mixed(&call.service) && call.bound_software.get().is_none() {
            call.bound_software.set(Some(begun));
            return begun != UNSTATED_SOFTWARE;
        }
        true
    }

    /// `software_of_stream` returns the version at which the stream of a call that this instance serves
    /// goes on, and `None` when it may be any.
    ///
    /// # Errors
    ///
    /// Fails when it is not certain at which version the stream began.
    pub(crate) fn software_of_stream(
        &self,
        call: &Call,
        has_events: bool,
    ) -> Result<Option<SoftwareId>, UnknownVersion> {
        if !has_events {
            self.bind_retry(call);
            return Ok(call.bound_software.get());
        }
        let attempt = attempt_number(&call.facts.attempt_id);
        let known = self.traffic.borrow().origins.origin_of(attempt, self.now());
        let software = known.map(|known| known.origin.software);
        call.begun_software.set(software);
        if !self.are_versions_mixed(&call.service) {
            return Ok(call.bound_software.get());
        }
        software.filter(|software| *software != UNSTATED_SOFTWARE).map(Some).ok_or(UnknownVersion)
    }
}

/// `UnknownVersion` tells that it is not certain at which software version a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct UnknownVersion;

pub(crate) fn line_of_origin(known: &KnownOrigin, now: Timestamp) -> OriginLine {
    OriginLine {
        attempt: known.attempt,
        service: known.origin.service,
        software: known.origin.software,
        revision: known.revision,
        valid_ms: millis(known.until.saturating_sub(now)),
    }
}

pub(crate) fn origin_of_line(line: &OriginLine, now: Timestamp) -> KnownOrigin {
    KnownOrigin {
        attempt: line.attempt,
        origin: Origin { service: line.service, software: line.software },
        revision: line.revision,
        until: now + Duration::from_millis(line.valid_ms.into()),
    }
}

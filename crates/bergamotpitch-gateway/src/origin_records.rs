//! Origin records: where streams began, kept in the platform's store while several software versions serve.
//!
//! What instances tell each other of streams ends with them. Where all are killed at the same moment, or the one
//! that began a stream and all that keep its origin, the record tells at which version it goes on. One instance of
//! each failure domain, its recorder, gathers what the domain's streams are and writes it some times a second, so
//! that calls grow neither with streams nor with instances. What was begun since its last write is lost with it, and
//! such a stream goes on nowhere.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::origin_records::{
    OriginGroup, RecordedOrigin, RecordedOrigins, groups_of,
};
use bergamotpitch_control::traffic::stream_origins::{AttemptNumber, KnownOrigin};
use bergamotpitch_core::ids::InstanceId;
use bergamotpitch_core::units::Timestamp;
use tokio::sync::Notify;

use crate::gateways::Gateway;
use crate::heartbeats::standby_peers;
use crate::messages::{Body, OriginLine};
use crate::origins::{LINES_MAX, line_of_origin, origin_of_line};
use crate::shared_readings::{Reading, SharedReading};

/// `WRITE_INTERVAL` is the pause after a write of a recorder. Streams last for a second and more; with
/// [`TELL_DELAY`], seventeen failure domains write 57 times a second, of 400 that the smallest platform allows.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// `LONGEST_PAUSE` bounds the pause after a write that failed, which doubles each time.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// `TELL_DELAY` is for how long an instance gathers origins for the recorder of its domain.
const TELL_DELAY: Duration = Duration::from_millis(50);

/// `PENDING_MAX` bounds the origins that wait to be written: those of a domain's streams of some minutes, at 40 bytes.
const PENDING_MAX: usize = 16_384;

/// `READ_TIMEOUT` bounds a reading of the records: two pages of a slow store.
const READ_TIMEOUT: Duration = Duration::from_millis(600);

/// `RETENTION` is for how long what was read is kept after the last reading.
const RETENTION: Duration = Duration::from_secs(60);

/// `ASKED_MAX` is how many instances that watch the store are asked to read the records.
const ASKED_MAX: usize = 2;

/// `Writing` tells whether a record was written.
pub type Writing = Pin<Box<dyn Future<Output = bool>>>;

/// `PageReading` is what was read; `None` when the store cannot be read.
pub type PageReading = Pin<Box<dyn Future<Output = Option<RecordPage>>>>;

/// `RecordPage` are the records that were written up to a revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecordPage {
    /// The records, as they were written.
    pub records: Vec<Vec<u8>>,
    /// Revision after which further ones are read.
    pub revision: u64,
}

/// `OriginStore` keeps the records.
pub struct OriginStore {
    /// Writes a record and keeps it for some time.
    pub write: Box<dyn Fn(Vec<u8>, Duration) -> Writing>,
    /// Reads the records that were written after a revision, or all.
    pub read: Box<dyn Fn(Option<u64>) -> PageReading>,
}

/// `OriginRecords` are the records, as far as this instance writes or has read them.
#[derive(Default)]
pub(crate) struct OriginRecords {
    store: RefCell<Option<Rc<OriginStore>>>,
    /// What this instance is to write.
    pending: RefCell<VecDeque<KnownOrigin>>,
    has_pending: Notify,
    /// What it is to tell the recorder of its domain.
    untold: RefCell<Vec<KnownOrigin>>,
    has_untold: Notify,
    recorder: Cell<Option<InstanceId>>,
    read: RefCell<RecordedOrigins>,
    read_to: Cell<Option<u64>>,
    last_read: Cell<Timestamp>,
    reading: SharedReading,
}

/// `Lookup` is what the records say of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Lookup {
    /// Where it began.
    Found(RecordedOrigin),
    /// Nothing.
    Unrecorded,
    /// They cannot be read now.
    Unreadable,
}

impl Gateway {
    /// `keep_origin_records` sets where the records are kept; without a store nothing is recorded.
    pub fn keep_origin_records(self: &Rc<Self>, store: OriginStore) {
        *self.origin_records.store.borrow_mut() = Some(Rc::new(store));
        tokio::task::spawn_local(tell_recorder(Rc::clone(self)));
        tokio::task::spawn_local(write_pending(Rc::clone(self)));
    }

    /// `record_origin` lets the recorder of the domain record where a stream began.
    pub(crate) fn record_origin(&self, known: KnownOrigin) {
        if self.origin_records.store.borrow().is_some() {
            self.origin_records.untold.borrow_mut().push(known);
            self.origin_records.has_untold.notify_one();
        }
    }

    /// `record_unfinished` lets the origins of all streams of this instance be recorded whose services run several
    /// versions: another one has appeared, or another recorder, which may not have been told.
    pub(crate) fn record_unfinished(&self) {
        let unfinished: Vec<KnownOrigin> = {
            let traffic = self.traffic.borrow();
            let all = traffic.origins.unfinished(self.now());
            all.filter(|known| traffic.software.are_mixed_of(known.origin.service)).collect()
        };
        unfinished.into_iter().for_each(|known| self.record_origin(known));
    }

    /// `check_origin_recorder` takes in which instance is the recorder now, and forgets what was read long ago.
    pub(crate) fn check_origin_recorder(&self) {
        let records = &self.origin_records;
        if records.read_to.get().is_some() && records.last_read.get() + RETENTION <= self.now() {
            records.read_to.set(None);
            records.read.take();
        }
        if !self.traffic.borrow().software.are_any_mixed() {
            records.recorder.set(None);
            return;
        }
        let recorder = self.origin_recorder();
        if records.recorder.replace(Some(recorder)) != Some(recorder) {
            log::info!("event=origin_recorder_changed recorder={recorder}");
            self.record_unfinished();
        }
    }

    /// The first instance of the domain that is heard and stays, as all of the domain see it.
    fn origin_recorder(&self) -> InstanceId {
        let (now, timeout) = (self.now(), self.options.dispatchers.heartbeat_timeout);
        let (peers, members) = (self.peers.borrow(), self.members.borrow());
        let domain = &self.options.admission.domain;
        let near = peers.values().filter(|peer| {
            peer.address.domain == *domain
                && peer.is_heard_within(timeout, now)
                && members.is_staying(&peer.address.instance)
        });
        let others = near.map(|peer| peer.candidate().order());
        let own = self.own_candidate().order();
        let first = others.chain((!self.is_draining()).then_some(own)).min();
        first.map_or(self.options.instance, |(_, instance)| instance)
    }

    /// `handle_recorded_origins` takes in what another instance lets this one record.
    pub(crate) fn handle_recorded_origins(&self, lines: &[OriginLine]) {
        let now = self.now();
        self.add_pending(lines.iter().map(|line| origin_of_line(line, now)));
    }

    fn add_pending(&self, origins: impl Iterator<Item = KnownOrigin>) {
        let records = &self.origin_records;
        let mut pending = records.pending.borrow_mut();
        pending.extend(origins);
        let surplus = pending.len().saturating_sub(PENDING_MAX);
        if surplus != 0 {
            log::info!("event=origins_not_recorded origins={surplus} reason=too_many");
            pending.drain(..surplus);
        }
        drop(pending);
        records.has_pending.notify_one();
    }

    /// `look_up_origin` reads in the records where a stream began.
    pub(crate) async fn look_up_origin(self: &Rc<Self>, attempt: AttemptNumber) -> Lookup {
        if self.origin_records.store.borrow().is_none() {
            return Lookup::Unrecorded;
        }
        if let Some(found) = self.read_origin(attempt) {
            return Lookup::Found(found);
        }
        if self.is_list_lost() {
            return Lookup::Unreadable;
        }
        if !self.share_reading(|own| &own.origin_records.reading, read_records).await {
            return Lookup::Unreadable;
        }
        self.read_origin(attempt).map_or(Lookup::Unrecorded, Lookup::Found)
    }

    fn read_origin(&self, attempt: AttemptNumber) -> Option<RecordedOrigin> {
        self.origin_records.read.borrow().origin_of(attempt)
    }

    /// `record_readers` returns which instances are asked to read the records, where this one leaves the store to
    /// others.
    pub(crate) fn record_readers(&self) -> Vec<SocketAddr> {
        if !self.relies_on_peers() {
            return Vec::new();
        }
        let watchers = standby_peers(self).into_iter().take(ASKED_MAX);
        watchers.map(|peer| peer.beat_address).collect()
    }
}

async fn tell_recorder(gateway: Rc<Gateway>) {
    loop {
        gateway.origin_records.has_untold.notified().await;
        tokio::time::sleep(TELL_DELAY).await;
        let untold = gateway.origin_records.untold.take();
        let Some(address) = gateway.beat_address_of(gateway.origin_recorder()) else {
            gateway.add_pending(untold.into_iter());
            continue;
        };
        let now = gateway.now();
        for known in untold.chunks(LINES_MAX) {
            let lines = known.iter().map(|known| line_of_origin(known, now)).collect();
            gateway.send_message(Body::RecordedOrigins(lines), address);
        }
    }
}

async fn write_pending(gateway: Rc<Gateway>) {
    let mut pause = WRITE_INTERVAL;
    loop {
        gateway.origin_records.has_pending.notified().await;
        // Where another version appears, all instances tell of their streams at the same moment.
        tokio::time::sleep(TELL_DELAY).await;
        let now = gateway.now();
        let mut batch = gateway.origin_records.pending.take();
        batch.retain(|known| now < known.until);
        let Some(until) = batch.iter().map(|known| known.until).max() else { continue };
        let Some(record) = encode(&batch) else { continue };
        let store = gateway.origin_records.store.borrow().clone();
        let Some(store) = store else { return };
        let is_written = (store.write)(record, until.saturating_sub(now)).await;
        log::info!("event=origins_recorded origins={} written={is_written}", batch.len());
        pause = match is_written {
            true => WRITE_INTERVAL,
            false => (2 * pause).min(LONGEST_PAUSE),
        };
        if !is_written {
            let newer = gateway.origin_records.pending.take();
            gateway.add_pending(batch.into_iter().chain(newer));
        }
        tokio::time::sleep(pause).await;
    }
}

fn read_records(gateway: Rc<Gateway>) -> Reading {
    Box::pin(async move {
        let begun = gateway.now();
        let records = &gateway.origin_records;
        let Some(store) = records.store.borrow().clone() else { return false };
        let reading = (store.read)(records.read_to.get());
        let page = tokio::time::timeout(READ_TIMEOUT, reading).await.ok().flatten();
        log::info!(
            "event=origin_records_read read={} records={} took_ms={}",
            page.is_some(),
            page.as_ref().map_or(0, |page| page.records.len()),
            gateway.now().saturating_sub(begun).as_millis(),
        );
        let Some(page) = page else { return false };
        let mut read = records.read.borrow_mut();
        page.records.iter().filter_map(|record| decode(record)).for_each(|groups| {
            read.insert(&groups);
        });
        records.read_to.set(Some(page.revision));
        records.last_read.set(gateway.now());
        true
    })
}

fn encode(origins: &VecDeque<KnownOrigin>) -> Option<Vec<u8>> {
    let recorded = origins.iter().map(|known| {
        let KnownOrigin { attempt, origin, revision, .. } = *known;
        RecordedOrigin { attempt, origin, revision }
    });
    match postcard::to_allocvec(&groups_of(recorded)) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            log::warn!("event=origins_not_recorded origins={} reason={error}", origins.len());
            None
        }
    }
}

fn decode(record: &[u8]) -> Option<Vec<OriginGroup>> {
    match postcard::from_bytes(record) {
        Ok(groups) => Some(groups),
        Err(error) => {
            log::warn!("event=origin_record_ignored bytes={} error={error}", record.len());
            None
        }
    }
}

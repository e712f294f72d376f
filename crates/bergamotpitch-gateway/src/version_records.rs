//! Version records: what is kept beyond the instances of the software versions that serve.
//!
//! Load pattern: at which version a stream began is known to a few instances, in their memory. All of
//! them end at once, and upstreams of another version take the place of the old ones meanwhile, or did so a
//! moment before. Those that start know one version and no origin, as after an outage in a calm time. The
//! record tells the two apart: it names the versions that served lately, and a stream of unknown origin goes
//! on only where that is the one that serves now.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::traffic::catalogs::{Route, RouteKind};
use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{SoftwareId, id_of_name};
use bergamotpitch_core::units::Timestamp;
use tokio::sync::Mutex;

use crate::gateways::Gateway;

/// `READ_TIMEOUT` bounds for how long a request waits for a record to be read.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// `RETRY_PAUSE` is for how long no request waits for a record after a reading that told nothing.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// `Recorded` are the versions of a service that a record names, in order; `None` where there is no record.
pub type Recorded = Option<Vec<SoftwareId>>;

/// `Reading` is what a record says; `None` when it cannot be read.
pub type Reading = Pin<Box<dyn Future<Output = Option<Recorded>>>>;

/// `RecordStore` keeps the records.
pub struct RecordStore {
    /// Records a service of which another version has appeared.
    pub write: Box<dyn Fn(&str)>,
    /// Reads the record of a service.
    pub read: Box<dyn Fn(&str) -> Reading>,
}

/// `VersionRecords` are the records of all services.
#[derive(Default)]
pub(crate) struct VersionRecords {
    store: RefCell<Option<RecordStore>>,
    /// What was read since this process started. Later changes are seen in the list of upstreams.
    read: Mutex<HashMap<String, (Timestamp, Vec<SoftwareId>)>>,
    /// Services whose record named the version that served, and no other one, and when it did.
    confirmed: RefCell<HashMap<String, Timestamp>>,
    failed: Cell<Option<Timestamp>>,
}

impl VersionRecords {
    /// `write` records a service.
    pub fn write(&self, service: &str) {
        if let Some(store) = &*self.store.borrow() {
            (store.write)(service);
        }
    }
}

impl Gateway {
    /// `keep_version_records` sets where the records are kept; without a store nobody bears witness of the
    /// time before this process.
    pub fn keep_version_records(&self, store: RecordStore) {
        *self.version_records.store.borrow_mut() = Some(store);
    }

    /// `resumable_services` returns the services at which a stream may be taken up.
    pub fn resumable_services(&self) -> Vec<String> {
        let Some(catalog) = self.catalog() else { return Vec::new() };
        let is_resumable =
            |route: &&Arc<Route>| route.kind == RouteKind::Streaming && route.is_resumable;
        let targets = catalog.routes().filter(is_resumable).flat_map(|route| &route.targets);
        let mut services: Vec<String> = targets.map(|target| target.service.clone()).collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// `versions_of` returns the software versions of a service that serve or did so lately, in order.
    pub fn versions_of(&self, service: &str) -> Vec<SoftwareId> {
        self.traffic.borrow().software.versions_of(service)
    }

    /// `is_version_recorder` tells whether this instance keeps the record of a service while nothing changes.
    pub fn is_version_recorder(&self, service: &str) -> bool {
        let own = self.options.instance;
        let draw = u64::from(id_of_name(service));
        let is_known = self.fleet_size.borrow().known_since().is_some();
        is_known && self.members.borrow().whose_turn(draw, 0, own) == own
    }

    /// `note_recorded` takes in which versions a record names. Those that are not listed any more served a moment
    /// ago, as far as this instance knows.
    pub fn note_recorded(&self, service: &str, versions: &[SoftwareId]) {
        let known = self.versions_of(service);
        if known == versions && known.len() == 1 {
            let confirmed = &self.version_records.confirmed;
            confirmed.borrow_mut().insert(service.to_owned(), self.now());
            return;
        }
        let now = self.now();
        let is_newly_mixed =
            self.traffic.borrow_mut().software.note_recorded(service, versions, now);
        if is_newly_mixed {
            self.tell_mixed_services(&[service.to_owned()]);
        }
    }

    /// `bears_witness` tells whether this instance knows all software versions of a service that served since any
    /// stream began that may be taken up now.
    pub(crate) fn bears_witness(&self, service: &str) -> bool {
        let confirmed = self.version_records.confirmed.borrow().get(service).copied();
        self.remembers_versions() || confirmed.is_some_and(|at| self.holds_since(at))
    }

    /// Whether what a record said at a time still tells all that this instance has not seen itself.
    fn holds_since(&self, at: Timestamp) -> bool {
        self.list_unbroken_from().is_none_or(|from| from <= at)
    }

    /// `read_version_record` tells which versions of a service served before this process started; `None` when
    /// that is not known.
    pub(crate) async fn read_version_record(&self, service: &str) -> Option<Vec<SoftwareId>> {
        let records = &self.version_records;
        let mut read = records.read.lock().await;
        if let Some((at, versions)) = read.get(service)
            && self.holds_since(*at)
        {
            return Some(versions.clone());
        }
        if records.failed.get().is_some_and(|failed| self.now() < failed + RETRY_PAUSE) {
            return None;
        }
        let reading = records.store.borrow().as_ref().map(|store| (store.read)(service))?;
        let recorded = tokio::time::timeout(READ_TIMEOUT, reading).await.ok().flatten();
        log::info!("event=version_record_read service={service} recorded={recorded:?}");
        match recorded.flatten() {
            Some(versions) => {
                self.note_recorded(service, &versions);
                read.insert(service.to_owned(), (self.now(), versions.clone()));
                Some(versions)
            }
            None => {
                records.failed.set(Some(self.now()));
                None
            }
        }
    }
}

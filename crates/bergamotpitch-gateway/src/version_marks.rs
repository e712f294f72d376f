//! Version marks: what is kept beyond the instances of a service that runs several software versions.
//!
//! Load pattern: at which version a stream began is known to a few instances, in their memory. When all
//! of them end at once and the last upstreams of a version leave meanwhile, those that start know one
//! version and no origin, as after an outage in a calm time. The mark tells the two apart. It is written
//! when versions begin to be mixed, and read only where nobody remembers: not while the fleet runs.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::units::Timestamp;
use tokio::sync::Mutex;

use crate::gateways::Gateway;

/// `READ_TIMEOUT` bounds for how long a request waits for the mark to be read.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// `RETRY_PAUSE` is for how long no request waits for the mark after a reading that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// `MarkReading` is whether a service is marked; `None` when that cannot be read.
pub type MarkReading = Pin<Box<dyn Future<Output = Option<bool>>>>;

/// `MarkStore` keeps the marks.
pub struct MarkStore {
    /// Marks a service from which on several versions serve.
    pub set: Box<dyn Fn(&str)>,
    /// Reads whether a service is marked.
    pub read: Box<dyn Fn(&str) -> MarkReading>,
}

/// `VersionMarks` are the marks of all services.
#[derive(Default)]
pub(crate) struct VersionMarks {
    store: RefCell<Option<MarkStore>>,
    /// What was read since this process started. Later changes are seen in the list of upstreams.
    read: Mutex<HashMap<String, bool>>,
    failed: Cell<Option<Timestamp>>,
}

impl VersionMarks {
    /// `set` marks a service.
    pub fn set(&self, service: &str) {
        if let Some(store) = &*self.store.borrow() {
            (store.set)(service);
        }
    }
}

impl Gateway {
    /// `keep_version_marks` sets where the marks are kept; without a store nobody bears witness of the
    /// time before this process.
    pub fn keep_version_marks(&self, store: MarkStore) {
        *self.version_marks.store.borrow_mut() = Some(store);
    }

    /// `read_version_mark` tells whether a service ran several software versions before this process
    /// started; `None` when that is not known.
    pub(crate) async fn read_version_mark(&self, service: &str) -> Option<bool> {
        let marks = &self.version_marks;
        let mut read = marks.read.lock().await;
        if let Some(is_marked) = read.get(service) {
            return Some(*is_marked);
        }
        if marks.failed.get().is_some_and(|failed| self.now() < failed + RETRY_PAUSE) {
            return None;
        }
        let reading = marks.store.borrow().as_ref().map(|store| (store.read)(service))?;
        let is_marked = tokio::time::timeout(READ_TIMEOUT, reading).await.ok().flatten();
        log::info!("event=version_mark_read service={service} marked={is_marked:?}");
        match is_marked {
            Some(is_marked) => {
                read.insert(service.to_owned(), is_marked);
            }
            None => marks.failed.set(Some(self.now())),
        }
        is_marked
    }
}

//! Current lists: up to when this instance knows the list of upstreams, and how it gets to know it as it is now.
//!
//! Load pattern: during a release one instance is cut off for some seconds, or stands still, and knows the list of
//! the time before. What it knows itself and what others that are cut off as well reply looks the same as in a calm
//! time. Where a decision needs the list of this moment, the store is asked; many such decisions together share one
//! reading.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_core::units::Timestamp;

use crate::gateways::Gateway;
use crate::shared_readings::{Reading, SharedReading};

/// `READ_TIMEOUT` bounds for how long a request waits for the list.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// `GAP_MIN` is the time without the list in which an upstream may have come and gone unseen: it announces that it
/// leaves for longer than this, or stays listed for as long after its end.
const GAP_MIN: Duration = Duration::from_secs(2);

/// `ReadList` begins a reading of what has changed in the list up to now.
pub type ReadList = Box<dyn Fn() -> Reading>;

/// `CurrentList` is up to when the list of upstreams is known.
#[derive(Default)]
pub(crate) struct CurrentList {
    read: RefCell<Option<ReadList>>,
    /// The list is known as it was at this time, or later.
    known_at: Cell<Timestamp>,
    /// Since when no change of it was missed.
    unbroken_from: Cell<Option<Timestamp>>,
    /// Whether the store that holds it cannot be reached.
    is_lost: Cell<bool>,
    reading: SharedReading,
}

impl CurrentList {
    /// `is_lost` tells whether the store cannot be reached.
    pub fn is_lost(&self) -> bool {
        self.is_lost.get()
    }

    /// `set_lost` notes whether it cannot; it returns what was known before.
    pub fn set_lost(&self, is_lost: bool) -> bool {
        self.is_lost.replace(is_lost)
    }
}

impl Gateway {
    /// `read_list_with` sets how the list is read; without, it is never known to be current.
    pub fn read_list_with(&self, read: ReadList) {
        *self.current_list.read.borrow_mut() = Some(read);
    }

    /// `note_list_current` takes in that all changes of the list were seen that came before a moment.
    pub fn note_list_current(&self, at: Timestamp) {
        let list = &self.current_list;
        list.known_at.set(list.known_at.get().max(at));
        if list.unbroken_from.get().is_none() {
            list.unbroken_from.set(Some(self.now()));
        }
    }

    /// `note_list_replaced` takes in that the list was taken in anew as a whole. What came and went since it was known
    /// last was not seen.
    pub fn note_list_replaced(&self) {
        let list = &self.current_list;
        let gap = self.list_age();
        if list.unbroken_from.get().is_some() && GAP_MIN <= gap {
            log::info!("event=list_gap gap_ms={}", gap.as_millis());
            list.unbroken_from.set(Some(self.now()));
        }
    }

    /// `list_unbroken_from` returns since when no change of the list was missed.
    pub(crate) fn list_unbroken_from(&self) -> Option<Timestamp> {
        self.current_list.unbroken_from.get()
    }

    /// `list_age` returns how old the list may be that this instance knows.
    pub(crate) fn list_age(&self) -> Duration {
        self.now().saturating_sub(self.current_list.known_at.get())
    }

    /// `make_list_current` reads what has changed in the list up to now; it tells whether that was possible.
    pub(crate) async fn make_list_current(self: &Rc<Self>) -> bool {
        self.share_reading(|own| &own.current_list.reading, |own| Box::pin(read_list(own))).await
    }
}

async fn read_list(gateway: Rc<Gateway>) -> bool {
    let begun = gateway.now();
    let reading = gateway.current_list.read.borrow().as_ref().map(|read| read());
    let is_read = match reading {
        Some(reading) => tokio::time::timeout(READ_TIMEOUT, reading).await == Ok(true),
        None => false,
    };
    log::info!(
        "event=list_asked read={is_read} took_ms={}",
        gateway.now().saturating_sub(begun).as_millis()
    );
    if is_read {
        gateway.note_list_current(begun);
    }
    is_read
}

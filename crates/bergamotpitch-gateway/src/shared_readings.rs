//! Shared readings: one reading of the store for all requests that need what it holds at this moment.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_core::units::Timestamp;
use tokio::sync::watch;

use crate::gateways::Gateway;

/// `READ_INTERVAL` is the least time between the beginnings of two readings; requests that need one meanwhile share
/// the next.
const READ_INTERVAL: Duration = Duration::from_millis(200);

/// `Reading` tells whether what is needed was read and taken in.
pub type Reading = Pin<Box<dyn Future<Output = bool>>>;

/// `SharedReading` is what requests share that need the same reading.
#[derive(Default)]
pub(crate) struct SharedReading {
    last_begun: Cell<Option<Timestamp>>,
    failed_at: Cell<Option<Timestamp>>,
    /// Outcome of the reading that begins next.
    next: RefCell<Option<watch::Receiver<Option<bool>>>>,
}

impl Gateway {
    /// `share_reading` waits for a reading that begins from now on; it tells whether that succeeded. `shared` finds
    /// what is shared, `read` begins a reading. Right after a failed one nobody waits.
    pub(crate) async fn share_reading(
        self: &Rc<Self>,
        shared: fn(&Self) -> &SharedReading,
        read: fn(Rc<Self>) -> Reading,
    ) -> bool {
        let failed_at = shared(self).failed_at.get();
        if failed_at.is_some_and(|failed| self.now() < failed + READ_INTERVAL) {
            return false;
        }
        let running = shared(self).next.borrow().clone();
        let mut outcome = running.unwrap_or_else(|| self.schedule_reading(shared, read));
        let known = outcome.wait_for(Option::is_some).await;
        known.is_ok_and(|known| *known == Some(true))
    }

    fn schedule_reading(
        self: &Rc<Self>,
        shared: fn(&Self) -> &SharedReading,
        read: fn(Rc<Self>) -> Reading,
    ) -> watch::Receiver<Option<bool>> {
        let (sender, outcome) = watch::channel(None);
        *shared(self).next.borrow_mut() = Some(outcome.clone());
        let gateway = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let state = shared(&gateway);
            let due = state.last_begun.get().map_or(Timestamp::ZERO, |last| last + READ_INTERVAL);
            tokio::time::sleep(due.saturating_sub(gateway.now())).await;
            // Requests that come from now on wait for the next one.
            state.next.borrow_mut().take();
            state.last_begun.set(Some(gateway.now()));
            let is_read = read(Rc::clone(&gateway)).await;
            state.failed_at.set((!is_read).then(|| gateway.now()));
            // Whoever waited may have left.
            let _ = sender.send(Some(is_read));
        });
        outcome
    }
}

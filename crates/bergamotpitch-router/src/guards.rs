//! Guards: what a request holds from its arrival to its end.

use std::sync::Arc;

use bergamotpitch_control::Input;
use bergamotpitch_control::inputs::AttemptOutcome;
use bergamotpitch_control::outputs::Event;
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::RequestId;
use bergamotpitch_core::units::CostUnits;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::mpsc::OwnedPermit;

use crate::contexts::{Context, ControlInput};

/// `CallGuard` reports the end of a request exactly once.
///
/// Without it, a caller that leaves while its request runs would leave the engine's slot and the
/// team's place in the queue taken for ever: the handler is dropped at any of its waits. The guard
/// holds an entry of the control channel from the start, so that the report cannot be lost to a
/// full channel.
pub struct CallGuard {
    context: Arc<Context>,
    request: RequestId,
    is_queued: bool,
    end: Option<OwnedPermit<ControlInput>>,
    _free_call: OwnedSemaphorePermit,
}

impl CallGuard {
    /// `open` makes the guard of a request; none when this instance holds too many.
    pub fn open(context: &Arc<Context>, request: RequestId) -> Option<Self> {
        let free_call = Arc::clone(&context.free_calls).try_acquire_owned().ok()?;
        let end = context.controls.clone().try_reserve_owned().ok()?;
        Some(Self {
            context: Arc::clone(context),
            request,
            is_queued: false,
            end: Some(end),
            _free_call: free_call,
        })
    }

    /// `mark_queued` notes that the control thread knows the request.
    pub fn mark_queued(&mut self) {
        self.is_queued = true;
    }

    /// `settle` reports the end of the last attempt.
    pub fn settle(mut self, outcome: AttemptOutcome, cost: CostUnits) {
        let request = self.request;
        if let Some(end) = self.end.take() {
            end.send(ControlInput::Observed(Input::AttemptEnded { request, outcome, cost }));
        }
    }

    /// `close` ends the guard of a request that the control thread itself has ended.
    pub fn close(mut self) {
        self.end = None;
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let Some(end) = self.end.take() else { return };
        let request = self.request;
        if self.is_queued {
            end.send(ControlInput::Observed(Input::CallerLeft { request }));
        } else {
            self.context.note(Event::of_kind(EventKind::CallerLeft).with_request(request));
        }
    }
}

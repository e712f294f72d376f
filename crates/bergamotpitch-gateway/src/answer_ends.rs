//! Answer ends: whether an answer that came without a length is whole.
//!
//! Such an answer ends with its connection, in order or not. Read by itself, an end in order tells only that
//! the upstream's system has ended its side: the process may have given up, or be gone. It counts where the very
//! process that wrote the answer still serves after it.

use std::rc::Rc;
use std::time::SystemTime;

use displaydoc::Display;

use crate::connections::Sender;
use crate::gateways::Gateway;
use crate::identities::{Identity, ListedUpstream};

/// `EndFlaw` is why an answer that ended with its connection is not whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum EndFlaw {
    /// it ended before the request was written
    Unwritten,
    /// its upstream ended with it
    UpstreamEnded,
    /// its end was held up, and another process may serve at the address of its upstream
    Unproven,
}

/// `AnswerEnd` is the end of an answer without a length, as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AnswerEnd {
    upstream: ListedUpstream,
    is_written: bool,
    /// Whether it may have been on its way for some time.
    is_held_up: bool,
}

impl AnswerEnd {
    /// `new` is an end that was read just now.
    pub fn new(gateway: &Gateway, upstream: ListedUpstream, sender: &Sender) -> Self {
        let stood_still = gateway.standstills.has_stood_still(gateway.now(), SystemTime::now());
        Self {
            upstream,
            is_written: sender.has_written_request(),
            is_held_up: sender.may_be_held_up() || stood_still,
        }
    }
}

impl Gateway {
    /// `check_end` tells why an answer that has ended in order is not whole. An upstream that has not taken the whole
    /// request cannot have answered it in full. Where the end comes at once after the bytes before, a process that
    /// has ended is not back yet and refuses connections; else it is asked who it is.
    pub(crate) async fn check_end(self: &Rc<Self>, end: AnswerEnd) -> Option<EndFlaw> {
        let AnswerEnd { upstream, is_written, is_held_up } = end;
        if !is_written {
            return Some(EndFlaw::Unwritten);
        }
        if is_held_up || self.is_relisted(&upstream) {
            return match self.identify(&upstream).await {
                Identity::Same => None,
                Identity::Other => Some(EndFlaw::UpstreamEnded),
                Identity::Unclear => Some(EndFlaw::Unproven),
            };
        }
        let ListedUpstream { key, address, .. } = upstream;
        let was_probed = self.is_probed(key);
        let mut has_ended = self.has_ended(key, address).await;
        if was_probed && !has_ended {
            // What was found may be older than this end.
            has_ended = self.has_ended(key, address).await;
        }
        has_ended.then_some(EndFlaw::UpstreamEnded)
    }
}

//! Receivers: what one process remembers of the datagrams that came in.

use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_control::Message;
use bergamotpitch_control::inputs::Sender;
use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{Incarnation, InstanceId};

use crate::counters::DropReason;
use crate::keys::KeyBytes;
use crate::seals::{Opened, Route, decode, open};
use crate::windows::Window;

/// `ReceiverOptions` are the constants of a receiver.
#[derive(Debug, Clone)]
pub struct ReceiverOptions {
    /// Address that peers reach this process at.
    pub address: SocketAddr,
    /// Wall-clock time at which this process started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Age, or lead over this process's clock, at which a datagram is stale. Clocks of instances
    /// must agree to within this.
    pub freshness: Duration,
}

/// Age at which a datagram is stale.
pub const FRESHNESS: Duration = Duration::from_secs(10);

/// `Receiver` is what one process remembers of the datagrams that came in.
#[derive(Debug)]
pub struct Receiver {
    options: ReceiverOptions,
    senders: HashMap<InstanceId, KnownSender>,
    swept_ms: u64,
}

#[derive(Debug, Default)]
struct KnownSender {
    incarnation: Incarnation,
    window: Window,
    newest_ms: u64,
    partial: Option<Partial>,
}

#[derive(Debug)]
struct Partial {
    first_sequence: u64,
    parts: Vec<Option<Vec<u8>>>,
}

impl Receiver {
    /// `with_options` makes a receiver that remembers nothing yet.
    pub fn with_options(options: ReceiverOptions) -> Self {
        Self { options, senders: HashMap::default(), swept_ms: 0 }
    }

    /// `known_senders` returns how many instances are remembered.
    pub fn known_senders(&self) -> usize {
        self.senders.len()
    }
}

/// `accept` takes in one datagram from an address; it returns a message when the datagram completes one.
///
/// # Errors
///
/// Tells why the datagram is dropped.
pub fn accept(
    receiver: &mut Receiver,
    key: &KeyBytes,
    now_ms: u64,
    from: SocketAddr,
    datagram: &[u8],
) -> Result<Option<(Sender, Message)>, DropReason> {
    let route = Route { from, to: receiver.options.address };
    let opened = open(key, route, datagram)?;
    check_freshness(&receiver.options, now_ms, opened.header.sealed_ms())?;
    forget_silent_senders(receiver, now_ms);
    let known = known_sender(&mut receiver.senders, &opened)?;
    if !known.window.admit(opened.header.sequence) {
        return Err(DropReason::Repeated);
    }
    known.newest_ms = known.newest_ms.max(opened.header.sealed_ms());
    let Some(encoded) = whole_message(&mut known.partial, &opened) else { return Ok(None) };
    Ok(Some((opened.sender(), decode(&encoded)?)))
}

// A process that restarts has lost its windows: a datagram recorded before would pass as new, and a
// peer that is gone would seem alive, or an old grant would be spent again. So nothing sealed before
// this process started is taken, and nothing older than the bound, after which windows are dropped.
fn check_freshness(
    options: &ReceiverOptions,
    now_ms: u64,
    sealed_ms: u64,
) -> Result<(), DropReason> {
    let bound_ms = options.freshness.as_millis() as u64;
    if sealed_ms < options.started_ms || bound_ms < now_ms.abs_diff(sealed_ms) {
        return Err(DropReason::Stale);
    }
    Ok(())
}

fn known_sender<'a>(
    senders: &'a mut HashMap<InstanceId, KnownSender>,
    opened: &Opened<'_>,
) -> Result<&'a mut KnownSender, DropReason> {
    let known = senders.entry(opened.header.instance).or_default();
    if opened.header.incarnation < known.incarnation {
        return Err(DropReason::EarlierLife);
    }
    if known.incarnation < opened.header.incarnation {
        *known = KnownSender { incarnation: opened.header.incarnation, ..KnownSender::default() };
    }
    Ok(known)
}

// Instances come and go by the thousand; without this the table of a process that lives for months
// would grow with every one of them. Twice the bound has passed: whatever was sealed is stale.
fn forget_silent_senders(receiver: &mut Receiver, now_ms: u64) {
    let bound_ms = receiver.options.freshness.as_millis() as u64;
    if now_ms < receiver.swept_ms + bound_ms {
        return;
    }
    receiver.swept_ms = now_ms;
    receiver.senders.retain(|_, known| now_ms <= known.newest_ms + 2 * bound_ms);
}

// One message is put together at a time for each sender, the newest: what a sender can make this
// process hold is one message of the largest size.
fn whole_message(partial: &mut Option<Partial>, opened: &Opened<'_>) -> Option<Vec<u8>> {
    let header = &opened.header;
    if header.parts == 1 {
        return Some(opened.payload.to_vec());
    }
    let part = usize::from(header.part);
    let parts = usize::from(header.parts);
    let first_sequence = header.sequence.checked_sub(u64::from(header.part))?;
    if partial.as_ref().is_some_and(|partial| first_sequence < partial.first_sequence) {
        return None;
    }
    let is_current = partial.as_ref().is_some_and(|partial| {
        partial.first_sequence == first_sequence && partial.parts.len() == parts
    });
    if !is_current {
        *partial = Some(Partial { first_sequence, parts: vec![None; parts] });
    }
    let current = partial.as_mut()?;
    current.parts[part] = Some(opened.payload.to_vec());
    let whole: Option<Vec<&[u8]>> = current.parts.iter().map(|part| part.as_deref()).collect();
    let encoded = whole?.concat();
    *partial = None;
    Some(encoded)
}

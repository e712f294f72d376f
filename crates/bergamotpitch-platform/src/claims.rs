//! Claims on idempotency keys: the task that commits them, and the tokens that their owners hold.
//!
//! The types keep an owner from running a request that it released: a [`ClaimToken`] is consumed
//! by its release, and only [`ClaimToken::hand_over`] gives the right to dispatch.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bergamotpitch_control::idempotency::claim_queues::{
    ClaimEffect, ClaimOptions, ClaimQueues, ClaimRequest, ReadResult, SegmentReadResult, Ticket,
    WriteResult, abandon_request, apply_read, apply_segment_read, apply_segment_write, apply_write,
    record_outcome, release_claim, request_claim, run,
};
use bergamotpitch_control::idempotency::claim_segments::SegmentName;
use bergamotpitch_control::idempotency::claims::{
    ClaimDecision, ClaimKey, Fingerprint, Nonce, Outcome, ShardId, may_dispatch,
};
use bergamotpitch_core::HashMap;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinHandle, JoinSet};

use crate::claim_calls::{read_segment, read_shard, segment_key, shard_key, write_value};
use crate::clients::Platform;
use crate::clocks::{process_time, unix_seconds};
use crate::nonces::fresh_number;

/// `ClaimResult` is what became of a wish to claim a key.
#[derive(Debug)]
pub enum ClaimResult {
    /// The key is claimed: the request may run, once.
    Won(ClaimToken),
    /// The key was claimed before, and this is how that request was answered.
    Answered(Outcome),
    /// The key was claimed before, and nobody recorded what became of that request.
    OutcomeUnknown,
    /// The key was claimed before by another request.
    Mismatch,
    /// No claim could be made; the request has not run.
    Unavailable,
}

/// `ClaimWriter` makes claims; copies share one task.
#[derive(Debug, Clone)]
pub struct ClaimWriter {
    commands: mpsc::UnboundedSender<Command>,
    next_ticket: Arc<AtomicU64>,
    task: Arc<JoinHandle<()>>,
}

// The channel has no bound of its own: each command belongs to a request that waits or runs at this
// router, and those are bounded.
#[derive(Debug)]
enum Command {
    Claim { wish: ClaimRequest, reply: oneshot::Sender<ClaimDecision> },
    Abandon { key: ClaimKey, ticket: Ticket },
    Record { key: ClaimKey, nonce: Nonce, outcome: Outcome },
    Release { key: ClaimKey, nonce: Nonce },
    Close { reply: oneshot::Sender<()> },
}

impl ClaimWriter {
    /// `start` starts the task that commits claims. It must be called within a tokio runtime.
    pub fn start(platform: Platform, options: ClaimOptions) -> Self {
        let (commands, receiver) = mpsc::unbounded_channel();
        let task = tokio::spawn(run_writer(platform, options, receiver));
        Self { commands, next_ticket: Arc::default(), task: Arc::new(task) }
    }

    /// `claim` claims a key for a request with the given fingerprint.
    ///
    /// When the future is dropped before it ends, a claim that it may have made is released.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// use bergamotpitch_control::idempotency::claim_queues::ClaimOptions;
    /// use bergamotpitch_control::idempotency::claims::{claim_key, request_fingerprint};
    /// use bergamotpitch_platform::{ClaimResult, ClaimWriter, Options, Platform};
    /// use bergamotpitch_standin::platforms::{PlatformOptions, start_platform};
    /// # let addresses = vec!["127.0.0.1:0".parse().unwrap()];
    /// # let options = PlatformOptions { addresses, rates: Default::default(), list_lag_ms: 0 };
    /// let standin = start_platform(options).await.unwrap();
    /// let address = standin.addresses[0];
    /// let platform = Platform::new(Options { address, ..Options::default() });
    /// let writer = ClaimWriter::start(platform, ClaimOptions::default());
    /// let key = claim_key("roses", "florist-crm-api", "order-7");
    /// let fingerprint = request_fingerprint("POST", "/orders", b"12 roses");
    /// let result = writer.claim(key, fingerprint).await;
    /// assert!(matches!(result, ClaimResult::Won(_)));
    /// # });
    /// ```
    pub async fn claim(&self, key: ClaimKey, fingerprint: Fingerprint) -> ClaimResult {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let wish = ClaimRequest { ticket, key, fingerprint, nonce: fresh_number() };
        let (reply, decision) = oneshot::channel();
        if self.commands.send(Command::Claim { wish, reply }).is_err() {
            return ClaimResult::Unavailable;
        }
        let mut waiter = Waiter { commands: &self.commands, wish, is_waiting: true };
        let decision = decision.await;
        waiter.is_waiting = false;
        match decision {
            Ok(ClaimDecision::Won { dispatch_until }) => {
                ClaimResult::Won(self.token(wish, dispatch_until))
            }
            Ok(ClaimDecision::Answered(outcome)) => ClaimResult::Answered(outcome),
            Ok(ClaimDecision::OutcomeUnknown) => ClaimResult::OutcomeUnknown,
            Ok(ClaimDecision::Mismatch) => ClaimResult::Mismatch,
            Ok(ClaimDecision::Unavailable) | Err(_) => ClaimResult::Unavailable,
        }
    }

    /// `close` waits until what is queued has been committed, for a given time at most, and stops
    /// the task. Claims whose release was not committed stay until they expire.
    pub async fn close(self, timeout: Duration) {
        let (reply, closed) = oneshot::channel();
        if self.commands.send(Command::Close { reply }).is_ok() {
            let _ = tokio::time::timeout(timeout, closed).await;
        }
        self.task.abort();
    }

    fn token(&self, wish: ClaimRequest, dispatch_until: Duration) -> ClaimToken {
        let commands = self.commands.clone();
        ClaimToken { claim: Some(Held { commands, wish, dispatch_until }) }
    }
}

#[derive(Debug)]
struct Held {
    commands: mpsc::UnboundedSender<Command>,
    wish: ClaimRequest,
    dispatch_until: Duration,
}

/// `ClaimToken` is a claim whose request has not been handed over. Dropping it releases the claim,
/// so that a request refused while it waited may be sent again.
///
/// A claim that was released cannot be handed over any more:
///
/// ```compile_fail,E0382
/// fn send_after_release(token: bergamotpitch_platform::ClaimToken) {
///     token.release();
///     token.hand_over();
/// }
/// ```
#[derive(Debug)]
pub struct ClaimToken {
    claim: Option<Held>,
}

impl ClaimToken {
    /// `release` gives the claim up, since its request did not run and never will.
    pub fn release(self) {
        drop(self);
    }

    /// `hand_over` gives the right to dispatch the request; it is called right before the request
    /// is sent. None means that the claim is too old, and that the request must not be sent.
    ///
    /// A router that was paused for longer than the claim's lifetime would otherwise send a request
    /// whose key another router may have claimed since.
    pub fn hand_over(mut self) -> Option<HandedOver> {
        let claim = self.claim.take()?;
        may_dispatch(claim.dispatch_until, process_time()).then_some(HandedOver { claim })
    }
}

impl Drop for ClaimToken {
    fn drop(&mut self) {
        let Some(claim) = self.claim.take() else { return };
        let ClaimRequest { key, nonce, .. } = claim.wish;
        let _ = claim.commands.send(Command::Release { key, nonce });
    }
}

/// `HandedOver` is a claim whose request may have run. Dropping it leaves the outcome unknown.
#[derive(Debug)]
pub struct HandedOver {
    claim: Held,
}

impl HandedOver {
    /// `record` notes what the request was answered with, for whoever uses the key next.
    pub fn record(self, outcome: Outcome) {
        let ClaimRequest { key, nonce, .. } = self.claim.wish;
        let _ = self.claim.commands.send(Command::Record { key, nonce, outcome });
    }

    /// `proved_unrun` takes the hand-over back, since the upstream or the refused connection
    /// proved that the request did not start.
    pub fn proved_unrun(self) -> ClaimToken {
        ClaimToken { claim: Some(self.claim) }
    }
}

// A caller that leaves while its claim is being made would otherwise leave the claim behind, and
// its next try would hear "outcome unknown" of a request that never ran.
struct Waiter<'a> {
    commands: &'a mpsc::UnboundedSender<Command>,
    wish: ClaimRequest,
    is_waiting: bool,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if self.is_waiting {
            let ClaimRequest { key, ticket, nonce, .. } = self.wish;
            let _ = self.commands.send(Command::Abandon { key, ticket });
            // The claim may have been won just before; the release finds it by its nonce.
            let _ = self.commands.send(Command::Release { key, nonce });
        }
    }
}

struct Writer {
    platform: Platform,
    queues: ClaimQueues,
    replies: HashMap<Ticket, oneshot::Sender<ClaimDecision>>,
    calls: JoinSet<CallResult>,
    closing: Option<oneshot::Sender<()>>,
}

enum CallResult {
    Read(ShardId, ReadResult),
    Wrote(ShardId, WriteResult),
    ReadSegment((ShardId, SegmentName), SegmentReadResult),
    WroteSegment(ShardId, WriteResult),
    Dropped,
}

async fn run_writer(
    platform: Platform,
    options: ClaimOptions,
    mut commands: mpsc::UnboundedReceiver<Command>,
) {
    // The names of segments come from this seed, and no two routers may choose the same.
    let options = ClaimOptions { seed: fresh_number() as u64, ..options };
    let queues = ClaimQueues::new(options);
    let mut writer = Writer {
        platform,
        queues,
        replies: HashMap::default(),
        calls: JoinSet::new(),
        closing: None,
    };
    loop {
        let mut effects = Vec::new();
        run(&mut writer.queues, process_time(), &mut effects);
        apply_effects(&mut writer, effects);
        if writer.queues.waiting_operations() == 0
            && let Some(closing) = writer.closing.take()
        {
            let _ = closing.send(());
            return;
        }
        let mut effects = Vec::new();
        tokio::select! {
            command = commands.recv() => {
                let Some(command) = command else { return };
                apply_command(&mut writer, command, &mut effects);
                while let Ok(command) = commands.try_recv() {
                    apply_command(&mut writer, command, &mut effects);
                }
            }
            Some(Ok(result)) = writer.calls.join_next() => {
                apply_result(&mut writer, result, &mut effects);
            }
            () = sleep_until_due(&writer.queues) => {}
        }
        apply_effects(&mut writer, effects);
    }
}

fn apply_command(writer: &mut Writer, command: Command, effects: &mut Vec<ClaimEffect>) {
    match command {
        Command::Claim { wish, reply } => {
            writer.replies.insert(wish.ticket, reply);
            request_claim(&mut writer.queues, process_time(), unix_seconds(), wish, effects);
        }
        Command::Abandon { key, ticket } => {
            writer.replies.remove(&ticket);
            abandon_request(&mut writer.queues, &key, ticket);
        }
        Command::Record { key, nonce, outcome } => {
            record_outcome(&mut writer.queues, process_time(), key, nonce, outcome);
        }
        Command::Release { key, nonce } => release_claim(&mut writer.queues, key, nonce),
        Command::Close { reply } => writer.closing = Some(reply),
    }
}

fn apply_result(writer: &mut Writer, result: CallResult, effects: &mut Vec<ClaimEffect>) {
    let now = process_time();
    match result {
        CallResult::Read(shard, result) => {
            apply_read(&mut writer.queues, now, unix_seconds(), shard, result, effects);
        }
        CallResult::Wrote(shard, result) => {
            apply_write(&mut writer.queues, now, shard, result, effects);
        }
        CallResult::ReadSegment(segment, result) => {
            apply_segment_read(&mut writer.queues, now, unix_seconds(), segment, result, effects);
        }
        CallResult::WroteSegment(shard, result) => {
            apply_segment_write(&mut writer.queues, now, shard, result, effects);
        }
        CallResult::Dropped => {}
    }
}

fn apply_effects(writer: &mut Writer, effects: Vec<ClaimEffect>) {
    for effect in effects {
        match effect {
            ClaimEffect::Read { shard } => {
                let platform = writer.platform.clone();
                writer.calls.spawn(async move {
                    CallResult::Read(shard, read_shard(&platform, shard).await)
                });
            }
            ClaimEffect::Write { shard, record, base_index } => {
                let platform = writer.platform.clone();
                writer.calls.spawn(async move {
                    let key = shard_key(shard);
                    let result = write_value(&platform, &key, &record, base_index).await;
                    CallResult::Wrote(shard, result)
                });
            }
            ClaimEffect::ReadSegment { shard, name } => {
                let platform = writer.platform.clone();
                writer.calls.spawn(async move {
                    let result = read_segment(&platform, shard, name).await;
                    CallResult::ReadSegment((shard, name), result)
                });
            }
            ClaimEffect::WriteSegment { shard, name, segment } => {
                let platform = writer.platform.clone();
                writer.calls.spawn(async move {
                    let key = segment_key(shard, name);
                    let result = write_value(&platform, &key, &segment, 0).await;
                    CallResult::WroteSegment(shard, result)
                });
            }
            ClaimEffect::DeleteSegment { shard, name } => {
                let platform = writer.platform.clone();
                writer.calls.spawn(async move {
                    // A segment that stays is never read again and only takes up room.
                    if let Err(error) = platform.delete(&segment_key(shard, name)).await {
                        log::debug!("a segment of shard {shard} was not surely deleted: {error}");
                    }
                    CallResult::Dropped
                });
            }
            ClaimEffect::Answer { ticket, decision } => {
                let Some(reply) = writer.replies.remove(&ticket) else { continue };
                // Whoever waited is gone when this fails; its waiter releases the claim.
                let _ = reply.send(decision);
            }
        }
    }
}

async fn sleep_until_due(queues: &ClaimQueues) {
    let Some(due) = queues.next_due() else { return std::future::pending().await };
    tokio::time::sleep(due.saturating_sub(process_time())).await;
}

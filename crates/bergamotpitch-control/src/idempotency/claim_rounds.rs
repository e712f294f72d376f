//! Claim rounds: what one read of a shard's record means for the operations that wait.

use bergamotpitch_core::units::Timestamp;

use crate::idempotency::claim_options::ClaimOptions;
use crate::idempotency::claim_queues::{ClaimEffect, ClaimRequest, Ticket};
use crate::idempotency::claims::{
    Claim, ClaimDecision, ClaimKey, Nonce, Outcome, ShardRecord, UnixSeconds, claim_size_bytes,
    drop_expired, find_claim, find_own_claim, outcome_size_bytes, record_size_bytes, remove_claim,
};

/// `PendingOperation` is an operation that is not settled.
#[derive(Debug)]
pub(crate) struct PendingOperation {
    operation: Operation,
    /// Where it stands in the present round.
    pub(crate) write_state: WriteState,
    /// Index on which the last write with this operation was based whose answer was lost. That
    /// write can still take effect for as long as the record has this index.
    unconfirmed_index: Option<u64>,
    /// Reads of the shard's record that had begun when it was queued.
    pub(crate) reads_before: u64,
    /// When it asks for a round of its own; a round that begins sooner takes it along.
    pub(crate) due_at: Timestamp,
}

/// `WriteState` tells whether the write under way carries an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteState {
    /// No write under way carries it.
    Waiting,
    /// The write under way carries it.
    InWrite {
        /// Index on which the write is based.
        base_index: u64,
    },
}

#[derive(Debug)]
enum Operation {
    Claim {
        request: ClaimRequest,
        expires_s: UnixSeconds,
        deadline: Timestamp,
        dispatch_until: Timestamp,
    },
    Record {
        key: ClaimKey,
        nonce: Nonce,
        outcome: Outcome,
    },
    Release {
        key: ClaimKey,
        nonce: Nonce,
    },
}

impl PendingOperation {
    /// `of_request` makes the operation of a wish to claim.
    pub(crate) fn of_request(
        request: ClaimRequest,
        now: Timestamp,
        now_s: UnixSeconds,
        options: &ClaimOptions,
    ) -> Self {
        let operation = Operation::Claim {
            request,
            expires_s: now_s + options.lifetime.as_secs(),
            deadline: now + options.claim_timeout,
            dispatch_until: now + options.lifetime,
        };
        Self::waiting(operation, now)
    }

    /// `of_outcome` makes the operation that records an outcome.
    pub(crate) fn of_outcome(
        key: ClaimKey,
        nonce: Nonce,
        outcome: Outcome,
        due_at: Timestamp,
    ) -> Self {
        Self::waiting(Operation::Record { key, nonce, outcome }, due_at)
    }

    /// `of_release` makes the operation that releases a claim.
    pub(crate) fn of_release(key: ClaimKey, nonce: Nonce) -> Self {
        Self::waiting(Operation::Release { key, nonce }, Timestamp::ZERO)
    }

    fn waiting(operation: Operation, due_at: Timestamp) -> Self {
        Self {
            operation,
            write_state: WriteState::Waiting,
            unconfirmed_index: None,
            reads_before: 0,
            due_at,
        }
    }

    /// `ticket` names the wish; other operations have none.
    pub(crate) fn ticket(&self) -> Option<Ticket> {
        match &self.operation {
            Operation::Claim { request, .. } => Some(request.ticket),
            Operation::Record { .. } | Operation::Release { .. } => None,
        }
    }

    /// `requested_key` is the key of a wish; other operations have none.
    pub(crate) fn requested_key(&self) -> Option<ClaimKey> {
        match &self.operation {
            Operation::Claim { request, .. } => Some(request.key),
            Operation::Record { .. } | Operation::Release { .. } => None,
        }
    }

    /// `deadline` tells when a wish is given up; other operations are not.
    pub(crate) fn deadline(&self) -> Option<Timestamp> {
        match &self.operation {
            Operation::Claim { deadline, .. } => Some(*deadline),
            Operation::Record { .. } | Operation::Release { .. } => None,
        }
    }

    /// `won_answer` makes the answer to a wish whose claim took effect.
    pub(crate) fn won_answer(&self) -> Option<ClaimEffect> {
        let Operation::Claim { request, dispatch_until, .. } = &self.operation else { return None };
        let decision = ClaimDecision::Won { dispatch_until: *dispatch_until };
        Some(ClaimEffect::Answer { ticket: request.ticket, decision })
    }

    /// `abandon` gives a wish up and tells whether something of it has to stay.
    ///
    /// A write that carried the claim may have taken effect or may yet do so. Its caller was told
    /// that the request did not run and may come back, so the claim must go: if it stayed, the
    /// caller's next try would hear "outcome unknown" of a request that never ran.
    pub(crate) fn abandon(&mut self, releases: bool) -> bool {
        let Operation::Claim { request, .. } = &self.operation else { return true };
        if let WriteState::InWrite { base_index } = self.write_state {
            self.unconfirmed_index = Some(base_index);
        }
        if self.unconfirmed_index.is_none() || !releases {
            return false;
        }
        self.operation = Operation::Release { key: request.key, nonce: request.nonce };
        self.write_state = WriteState::Waiting;
        true
    }

    /// `requeue` takes the operation out of a write that did not surely take effect.
    pub(crate) fn requeue(&mut self, is_unconfirmed: bool) {
        let WriteState::InWrite { base_index } = self.write_state else { return };
        self.write_state = WriteState::Waiting;
        if is_unconfirmed {
            self.unconfirmed_index = Some(base_index);
        }
    }
}

/// `UpdatedRecord` is a record that a round has changed.
#[derive(Debug)]
pub(crate) struct UpdatedRecord {
    /// The record to write.
    pub(crate) record: ShardRecord,
    /// Nonces of claims that the round adds.
    pub(crate) new_nonces: Vec<Nonce>,
}

/// `apply_operations` settles what a record and the claims found in its segments show to be settled, and
/// returns the record to write, if any operation still wants a change.
pub(crate) fn apply_operations(
    pending: &mut Vec<PendingOperation>,
    view: ShardView<'_>,
    now_s: UnixSeconds,
    options: &ClaimOptions,
    effects: &mut Vec<ClaimEffect>,
) -> Option<UpdatedRecord> {
    let ShardView { mut record, index, read_number, segment_claims } = view;
    drop_expired(&mut record, now_s, options.max_clock_skew.as_secs());
    let size_bytes = record_size_bytes(&record);
    let new_nonces = Vec::new();
    let mut round = Round {
        record,
        index,
        read_number,
        segment_claims,
        now_s,
        size_bytes,
        new_nonces,
        options,
        effects,
    };
    pending.retain_mut(|pending| {
        let status = apply_operation(pending, &mut round);
        if status == OperationStatus::Write {
            pending.write_state = WriteState::InWrite { base_index: index };
        }
        status != OperationStatus::Completed
    });
    let is_changed =
        pending.iter().any(|pending| matches!(pending.write_state, WriteState::InWrite { .. }));
    if !is_changed {
        return None;
    }
    round.record.revision += 1;
    Some(UpdatedRecord { record: round.record, new_nonces: round.new_nonces })
}

/// `ShardView` is what a round judges by.
#[derive(Debug)]
pub(crate) struct ShardView<'a> {
    /// The record that was read.
    pub(crate) record: ShardRecord,
    /// Index of its last change.
    pub(crate) index: u64,
    /// Number of that read among the reads of the shard's record by this router.
    pub(crate) read_number: u64,
    /// Claims on wished keys that were found in its segments.
    pub(crate) segment_claims: &'a [Claim],
}

struct Round<'a> {
    record: ShardRecord,
    index: u64,
    read_number: u64,
    segment_claims: &'a [Claim],
    now_s: UnixSeconds,
    size_bytes: usize,
    /// Nonces of claims that this round adds; they are not committed yet.
    new_nonces: Vec<Nonce>,
    options: &'a ClaimOptions,
    effects: &'a mut Vec<ClaimEffect>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OperationStatus {
    /// The operation has taken effect or never will.
    Completed,
    /// The operation goes into the write of this round.
    Write,
    /// The operation waits for the next round.
    Wait,
}

fn apply_operation(pending: &mut PendingOperation, round: &mut Round<'_>) -> OperationStatus {
    match &pending.operation {
        Operation::Claim { .. } => apply_claim(pending, round),
        Operation::Record { key, nonce, outcome } => apply_outcome(key, *nonce, outcome, round),
        Operation::Release { key, nonce } => {
            let (key, nonce) = (*key, *nonce);
            apply_release(key, nonce, pending.unconfirmed_index, round)
        }
    }
}

fn apply_claim(pending: &mut PendingOperation, round: &mut Round<'_>) -> OperationStatus {
    let Operation::Claim { request, expires_s, .. } = &pending.operation else {
        return OperationStatus::Wait;
    };
    let Some(held) =
        find_claim(&round.record, &request.key).or_else(|| find_in_segments(round, &request.key))
    else {
        return add_claim(*request, *expires_s, pending, round);
    };
    if round.new_nonces.contains(&held.nonce) {
        // Another wish of this round is ahead, but its claim is not committed: what is said of it
        // now could turn out wrong.
        return OperationStatus::Wait;
    }
    if held.nonce == request.nonce {
        round.effects.extend(pending.won_answer());
        return OperationStatus::Completed;
    }
    // The record was read before this wish came. Whoever held the key then may have released it or
    // recorded its outcome since, and the caller may know: it would be told of a state that is past.
    if round.options.guards.reads_after_request && round.read_number <= pending.reads_before {
        return OperationStatus::Wait;
    }
    let decision = if held.fingerprint != request.fingerprint {
        ClaimDecision::Mismatch
    } else {
        held.outcome.clone().map_or(ClaimDecision::OutcomeUnknown, ClaimDecision::Answered)
    };
    round.effects.push(ClaimEffect::Answer { ticket: request.ticket, decision });
    OperationStatus::Completed
}

// A claim that was released and made again may stand in a segment twice; none of them is older than
// the record, which goes first.
fn find_in_segments<'a>(round: &Round<'a>, key: &ClaimKey) -> Option<&'a Claim> {
    let margin_s = round.options.max_clock_skew.as_secs();
    round
        .segment_claims
        .iter()
        .find(|claim| claim.key == *key && round.now_s <= claim.expires_s.saturating_add(margin_s))
}

fn add_claim(
    request: ClaimRequest,
    expires_s: UnixSeconds,
    pending: &mut PendingOperation,
    round: &mut Round<'_>,
) -> OperationStatus {
    let claim = Claim {
        key: request.key,
        fingerprint: request.fingerprint,
        nonce: request.nonce,
        expires_s,
        outcome: None,
    };
    let size_bytes = claim_size_bytes(&claim);
    // A full shard takes no new claim; dropping a live one would let its request run twice.
    if round.options.shard_limit_bytes < round.size_bytes + size_bytes {
        let decision = ClaimDecision::Unavailable;
        round.effects.push(ClaimEffect::Answer { ticket: request.ticket, decision });
        let stays = pending.abandon(round.options.guards.releases_abandoned);
        return if stays { OperationStatus::Wait } else { OperationStatus::Completed };
    }
    round.size_bytes += size_bytes;
    round.new_nonces.push(request.nonce);
    round.record.claims.push(claim);
    OperationStatus::Write
}

fn apply_outcome(
    key: &ClaimKey,
    nonce: Nonce,
    outcome: &Outcome,
    round: &mut Round<'_>,
) -> OperationStatus {
    let free_bytes = round.options.shard_limit_bytes.saturating_sub(round.size_bytes);
    let Some(claim) = find_own_claim(&mut round.record, key, nonce) else {
        return OperationStatus::Completed;
    };
    if claim.outcome.is_some() {
        return OperationStatus::Completed;
    }
    let mut outcome = outcome.clone();
    if free_bytes < outcome_size_bytes(&outcome) {
        outcome = Outcome { headers: Vec::new(), body: None, ..outcome };
    }
    if free_bytes < outcome_size_bytes(&outcome) {
        // The claim stays without an outcome, and a second taker hears that it is unknown.
        return OperationStatus::Completed;
    }
    round.size_bytes += outcome_size_bytes(&outcome);
    claim.outcome = Some(outcome);
    OperationStatus::Write
}

fn apply_release(
    key: ClaimKey,
    nonce: Nonce,
    unconfirmed_index: Option<u64>,
    round: &mut Round<'_>,
) -> OperationStatus {
    if remove_claim(&mut round.record, &key, nonce) {
        return OperationStatus::Write;
    }
    // The claim is not there, but a copy of its write may still travel and take effect while the
    // record has the index that it was based on. A write of any kind moves the index past it.
    let may_take_effect =
        unconfirmed_index == Some(round.index) && round.options.guards.fences_unconfirmed;
    if may_take_effect { OperationStatus::Write } else { OperationStatus::Completed }
}

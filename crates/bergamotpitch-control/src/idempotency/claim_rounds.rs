//! Claim rounds: what one read of a shard's record means for the operations that wait.

use bergamotpitch_core::units::Timestamp;

use crate::idempotency::claim_options::ClaimOptions;
use crate::idempotency::claim_queues::{ClaimEffect, ClaimWish, Ticket};
use crate::idempotency::claims::{
    Claim, ClaimKey, Nonce, Outcome, ShardRecord, UnixSeconds, Verdict, claim_size_bytes,
    drop_expired, find_claim, find_own_claim, outcome_size_bytes, record_size_bytes, remove_claim,
};

/// `Pending` is an operation that is not settled.
#[derive(Debug)]
pub(crate) struct Pending {
    operation: Operation,
    /// Where it stands in the present round.
    pub(crate) standing: Standing,
    /// Index on which the last write with this operation was based whose answer was lost. That
    /// write can still take effect for as long as the record has this index.
    doubt_index: Option<u64>,
    /// Reads of the shard's record that had begun when it was queued.
    pub(crate) reads_before: u64,
    /// When it asks for a round of its own; a round that begins sooner takes it along.
    pub(crate) wanted_at: Timestamp,
}

/// `Standing` tells whether the write under way carries an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
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
        wish: ClaimWish,
        expires_s: UnixSeconds,
        give_up_at: Timestamp,
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

impl Pending {
    /// `of_wish` makes the operation of a wish to claim.
    pub(crate) fn of_wish(
        wish: ClaimWish,
        now: Timestamp,
        now_s: UnixSeconds,
        options: &ClaimOptions,
    ) -> Self {
        let operation = Operation::Claim {
            wish,
            expires_s: now_s + options.lifetime.as_secs(),
            give_up_at: now + options.claim_timeout,
            dispatch_until: now + options.lifetime,
        };
        Self::waiting(operation, now)
    }

    /// `of_outcome` makes the operation that records an outcome.
    pub(crate) fn of_outcome(
        key: ClaimKey,
        nonce: Nonce,
        outcome: Outcome,
        wanted_at: Timestamp,
    ) -> Self {
        Self::waiting(Operation::Record { key, nonce, outcome }, wanted_at)
    }

    /// `of_release` makes the operation that releases a claim.
    pub(crate) fn of_release(key: ClaimKey, nonce: Nonce) -> Self {
        Self::waiting(Operation::Release { key, nonce }, Timestamp::ZERO)
    }

    fn waiting(operation: Operation, wanted_at: Timestamp) -> Self {
        Self {
            operation,
            standing: Standing::Waiting,
            doubt_index: None,
            reads_before: 0,
            wanted_at,
        }
    }

    /// `ticket` names the wish; other operations have none.
    pub(crate) fn ticket(&self) -> Option<Ticket> {
        match &self.operation {
            Operation::Claim { wish, .. } => Some(wish.ticket),
            Operation::Record { .. } | Operation::Release { .. } => None,
        }
    }

    /// `wished_key` is the key of a wish; other operations have none.
    pub(crate) fn wished_key(&self) -> Option<ClaimKey> {
        match &self.operation {
            Operation::Claim { wish, .. } => Some(wish.key),
            Operation::Record { .. } | Operation::Release { .. } => None,
        }
    }

    /// `give_up_at` tells when a wish is given up; other operations are not.
    pub(crate) fn give_up_at(&self) -> Option<Timestamp> {
        match &self.operation {
            Operation::Claim { give_up_at, .. } => Some(*give_up_at),
            Operation::Record { .. } | Operation::Release { .. } => None,
        }
    }

    /// `won_answer` makes the answer to a wish whose claim took effect.
    pub(crate) fn won_answer(&self) -> Option<ClaimEffect> {
        let Operation::Claim { wish, dispatch_until, .. } = &self.operation else { return None };
        let verdict = Verdict::Won { dispatch_until: *dispatch_until };
        Some(ClaimEffect::Answer { ticket: wish.ticket, verdict })
    }

    /// `abandon` gives a wish up and tells whether something of it has to stay.
    ///
    /// A write that carried the claim may have taken effect or may yet do so. Its caller was told
    /// that the request did not run and may come back, so the claim must go: if it stayed, the
    /// caller's next try would hear "outcome unknown" of a request that never ran.
    pub(crate) fn abandon(&mut self, releases: bool) -> bool {
        let Operation::Claim { wish, .. } = &self.operation else { return true };
        if let Standing::InWrite { base_index } = self.standing {
            self.doubt_index = Some(base_index);
        }
        if self.doubt_index.is_none() || !releases {
            return false;
        }
        self.operation = Operation::Release { key: wish.key, nonce: wish.nonce };
        self.standing = Standing::Waiting;
        true
    }

    /// `leave_write` takes the operation out of a write that did not surely take effect.
    pub(crate) fn leave_write(&mut self, in_doubt: bool) {
        let Standing::InWrite { base_index } = self.standing else { return };
        self.standing = Standing::Waiting;
        if in_doubt {
            self.doubt_index = Some(base_index);
        }
    }
}

/// `Judged` is a record that a round has changed.
#[derive(Debug)]
pub(crate) struct Judged {
    /// The record to write.
    pub(crate) record: ShardRecord,
    /// Nonces of claims that the round adds.
    pub(crate) new_nonces: Vec<Nonce>,
}

/// `judge_record` settles what a record and the claims found in its segments show to be settled, and
/// returns the record to write, if any operation still wants a change.
pub(crate) fn judge_record(
    pending: &mut Vec<Pending>,
    seen: Seen<'_>,
    now_s: UnixSeconds,
    options: &ClaimOptions,
    effects: &mut Vec<ClaimEffect>,
) -> Option<Judged> {
    let Seen { mut record, index, read_number, found } = seen;
    drop_expired(&mut record, now_s, options.clock_margin.as_secs());
    let size_bytes = record_size_bytes(&record);
    let new_nonces = Vec::new();
    let mut round = Round {
        record,
        index,
        read_number,
        found,
        now_s,
        size_bytes,
        new_nonces,
        options,
        effects,
    };
    pending.retain_mut(|pending| {
        let judgement = judge_operation(pending, &mut round);
        if judgement == Judgement::Write {
            pending.standing = Standing::InWrite { base_index: index };
        }
        judgement != Judgement::Settled
    });
    let is_changed =
        pending.iter().any(|pending| matches!(pending.standing, Standing::InWrite { .. }));
    if !is_changed {
        return None;
    }
    round.record.revision += 1;
    Some(Judged { record: round.record, new_nonces: round.new_nonces })
}

/// `Seen` is what a round judges by.
#[derive(Debug)]
pub(crate) struct Seen<'a> {
    /// The record that was read.
    pub(crate) record: ShardRecord,
    /// Index of its last change.
    pub(crate) index: u64,
    /// Number of that read among the reads of the shard's record by this router.
    pub(crate) read_number: u64,
    /// Claims on wished keys that were found in its segments.
    pub(crate) found: &'a [Claim],
}

struct Round<'a> {
    record: ShardRecord,
    index: u64,
    read_number: u64,
    found: &'a [Claim],
    now_s: UnixSeconds,
    size_bytes: usize,
    /// Nonces of claims that this round adds; they are not committed yet.
    new_nonces: Vec<Nonce>,
    options: &'a ClaimOptions,
    effects: &'a mut Vec<ClaimEffect>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Judgement {
    /// The operation has taken effect or never will.
    Settled,
    /// The operation goes into the write of this round.
    Write,
    /// The operation waits for the next round.
    Wait,
}

fn judge_operation(pending: &mut Pending, round: &mut Round<'_>) -> Judgement {
    match &pending.operation {
        Operation::Claim { .. } => judge_claim(pending, round),
        Operation::Record { key, nonce, outcome } => judge_outcome(key, *nonce, outcome, round),
        Operation::Release { key, nonce } => {
            let (key, nonce) = (*key, *nonce);
            judge_release(key, nonce, pending.doubt_index, round)
        }
    }
}

fn judge_claim(pending: &mut Pending, round: &mut Round<'_>) -> Judgement {
    let Operation::Claim { wish, expires_s, .. } = &pending.operation else {
        return Judgement::Wait;
    };
    let Some(held) = find_claim(&round.record, &wish.key).or_else(|| find_moved(round, &wish.key))
    else {
        return add_claim(*wish, *expires_s, pending, round);
    };
    if round.new_nonces.contains(&held.nonce) {
        // Another wish of this round is ahead, but its claim is not committed: what is said of it
        // now could turn out wrong.
        return Judgement::Wait;
    }
    if held.nonce == wish.nonce {
        round.effects.extend(pending.won_answer());
        return Judgement::Settled;
    }
    // The record was read before this wish came. Whoever held the key then may have released it or
    // recorded its outcome since, and the caller may know: it would be told of a state that is past.
    if round.options.guards.reads_after_wish && round.read_number <= pending.reads_before {
        return Judgement::Wait;
    }
    let verdict = if held.fingerprint != wish.fingerprint {
        Verdict::Mismatch
    } else {
        held.outcome.clone().map_or(Verdict::OutcomeUnknown, Verdict::Answered)
    };
    round.effects.push(ClaimEffect::Answer { ticket: wish.ticket, verdict });
    Judgement::Settled
}

// A claim that was released and made again may stand in a segment twice; none of them is older than
// the record, which goes first.
fn find_moved<'a>(round: &Round<'a>, key: &ClaimKey) -> Option<&'a Claim> {
    let margin_s = round.options.clock_margin.as_secs();
    round
        .found
        .iter()
        .find(|claim| claim.key == *key && round.now_s <= claim.expires_s.saturating_add(margin_s))
}

fn add_claim(
    wish: ClaimWish,
    expires_s: UnixSeconds,
    pending: &mut Pending,
    round: &mut Round<'_>,
) -> Judgement {
    let claim = Claim {
        key: wish.key,
        fingerprint: wish.fingerprint,
        nonce: wish.nonce,
        expires_s,
        outcome: None,
    };
    let size_bytes = claim_size_bytes(&claim);
    // A full shard takes no new claim; dropping a live one would let its request run twice.
    if round.options.shard_limit_bytes < round.size_bytes + size_bytes {
        let verdict = Verdict::Unavailable;
        round.effects.push(ClaimEffect::Answer { ticket: wish.ticket, verdict });
        let stays = pending.abandon(round.options.guards.releases_abandoned);
        return if stays { Judgement::Wait } else { Judgement::Settled };
    }
    round.size_bytes += size_bytes;
    round.new_nonces.push(wish.nonce);
    round.record.claims.push(claim);
    Judgement::Write
}

fn judge_outcome(
    key: &ClaimKey,
    nonce: Nonce,
    outcome: &Outcome,
    round: &mut Round<'_>,
) -> Judgement {
    let free_bytes = round.options.shard_limit_bytes.saturating_sub(round.size_bytes);
    let Some(claim) = find_own_claim(&mut round.record, key, nonce) else {
        return Judgement::Settled;
    };
    if claim.outcome.is_some() {
        return Judgement::Settled;
    }
    let mut outcome = outcome.clone();
    if free_bytes < outcome_size_bytes(&outcome) {
        outcome = Outcome { headers: Vec::new(), body: None, ..outcome };
    }
    if free_bytes < outcome_size_bytes(&outcome) {
        // The claim stays without an outcome, and a second taker hears that it is unknown.
        return Judgement::Settled;
    }
    round.size_bytes += outcome_size_bytes(&outcome);
    claim.outcome = Some(outcome);
    Judgement::Write
}

fn judge_release(
    key: ClaimKey,
    nonce: Nonce,
    doubt_index: Option<u64>,
    round: &mut Round<'_>,
) -> Judgement {
    if remove_claim(&mut round.record, &key, nonce) {
        return Judgement::Write;
    }
    // The claim is not there, but a copy of its write may still travel and take effect while the
    // record has the index that it was based on. A write of any kind moves the index past it.
    let can_still_land = doubt_index == Some(round.index) && round.options.guards.fences_doubtful;
    if can_still_land { Judgement::Write } else { Judgement::Settled }
}

//! Claim histories: what callers, routers and the upstream saw of keyed requests, and the checks of
//! at most one run, true refusals, own answers and linearizable claims.

use bergamotpitch_core::units::Timestamp;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

/// `AttemptId` numbers the attempts of callers; each claims with a nonce of its own.
pub type AttemptId = usize;

/// `KeyId` numbers idempotency keys.
pub type KeyId = usize;

/// `ClaimRecord` is one thing that was seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimRecord {
    /// When.
    pub at: Timestamp,
    /// The key.
    pub key: KeyId,
    /// The attempt.
    pub attempt: AttemptId,
    /// What happened.
    pub step: ClaimStep,
}

/// `ClaimStep` is one kind of record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStep {
    /// A router began to claim the key for the attempt.
    Wished,
    /// The claim was won.
    Won,
    /// The key was taken, with the answer that this attempt got.
    Answered(AttemptId),
    /// The key was taken, with no outcome recorded.
    Unknown,
    /// No claim could be made.
    Unavailable,
    /// The owner began to release the claim.
    Released,
    /// The upstream ran the attempt.
    Ran,
    /// The owner began to record the answer.
    Recorded,
    /// The caller was told that the attempt did not run.
    ToldNotRun,
    /// The router of the attempt restarted without memory.
    Crashed,
}

/// `ClaimFault` is a promise that a history breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimFault {
    /// A key ran twice.
    RanTwice(KeyId),
    /// An attempt ran although its caller was told that it did not.
    FalseNotRun(AttemptId),
    /// A caller got an answer that no run of its key gave.
    ForeignAnswer(AttemptId),
    /// The claims on a key do not behave like one register.
    NotLinearizable(KeyId),
    /// A key stays claimed by an attempt that was told "not run" and whose router lives.
    StuckClaim(KeyId),
}

/// `check_claims` checks a history whose records stand in order of time; `held` lists, for each key
/// that is claimed at the end, the attempt that holds it and whether an outcome is recorded.
pub fn check_claims(records: &[ClaimRecord], held: &[(KeyId, AttemptId, bool)]) -> Vec<ClaimFault> {
    let mut faults = Vec::new();
    let key_count = records.iter().map(|record| record.key + 1).max().unwrap_or(0);
    for key in 0..key_count {
        let of_key: Vec<ClaimRecord> =
            records.iter().filter(|record| record.key == key).copied().collect();
        check_runs(key, &of_key, &mut faults);
        check_refusals(&of_key, &mut faults);
        check_answers(&of_key, &mut faults);
        if !is_linearizable(&of_key) {
            faults.push(ClaimFault::NotLinearizable(key));
        }
    }
    for (key, attempt, has_outcome) in held {
        let has =
            |step| records.iter().any(|record| record.attempt == *attempt && record.step == step);
        if !has_outcome && has(ClaimStep::ToldNotRun) && !has(ClaimStep::Crashed) {
            faults.push(ClaimFault::StuckClaim(*key));
        }
    }
    faults
}

/// `check_expiry` lists the attempts that ran after another attempt had won their key. Where claims
/// expire a key may run again, but never while the owner before may still send.
pub fn check_expiry(records: &[ClaimRecord]) -> Vec<AttemptId> {
    let place = |attempt: AttemptId, step: ClaimStep| {
        records.iter().position(|record| record.attempt == attempt && record.step == step)
    };
    let is_overtaken = |run: &ClaimRecord| {
        let (won, ran) = (place(run.attempt, ClaimStep::Won), place(run.attempt, ClaimStep::Ran));
        let (Some(won), Some(ran)) = (won, ran) else { return false };
        records[won..ran].iter().any(|record| {
            record.key == run.key && record.attempt != run.attempt && record.step == ClaimStep::Won
        })
    };
    records
        .iter()
        .filter(|record| record.step == ClaimStep::Ran && is_overtaken(record))
        .map(|record| record.attempt)
        .collect()
}

fn check_runs(key: KeyId, records: &[ClaimRecord], faults: &mut Vec<ClaimFault>) {
    let runs = records.iter().filter(|record| record.step == ClaimStep::Ran).count();
    if 1 < runs {
        faults.push(ClaimFault::RanTwice(key));
    }
}

fn check_refusals(records: &[ClaimRecord], faults: &mut Vec<ClaimFault>) {
    for told in records.iter().filter(|record| record.step == ClaimStep::ToldNotRun) {
        let ran = records
            .iter()
            .any(|record| record.attempt == told.attempt && record.step == ClaimStep::Ran);
        if ran {
            faults.push(ClaimFault::FalseNotRun(told.attempt));
        }
    }
}

fn check_answers(records: &[ClaimRecord], faults: &mut Vec<ClaimFault>) {
    for record in records {
        let ClaimStep::Answered(source) = record.step else { continue };
        let ran =
            records.iter().any(|other| other.attempt == source && other.step == ClaimStep::Ran);
        if !ran {
            faults.push(ClaimFault::ForeignAnswer(record.attempt));
        }
    }
}

/// State of one key: who holds it, and whether the outcome is recorded.
type Register = Option<(AttemptId, bool)>;

#[derive(Debug, Clone, Copy)]
enum Operation {
    Win(AttemptId),
    MeetAnswer(AttemptId),
    MeetUnknown(AttemptId),
    /// A claim of which it was never learned whether it took effect.
    MayWin(AttemptId),
    /// A release, which may come too late to take effect.
    MayRelease(AttemptId),
    /// A record of the outcome, which may come too late to take effect.
    MayRecord(AttemptId),
}

struct ClaimRegister;

impl Specification for ClaimRegister {
    type State = Register;
    type Operation = Operation;

    fn init() -> Register {
        None
    }

    fn apply(operation: &Operation, state: &Register) -> (bool, Register) {
        match (*operation, *state) {
            (Operation::Win(attempt), None) => (true, Some((attempt, false))),
            (Operation::Win(_), held) => (false, held),
            (Operation::MeetAnswer(source), held) => (held == Some((source, true)), held),
            (Operation::MeetUnknown(attempt), held) => {
                (held.is_some_and(|(holder, answered)| holder != attempt && !answered), held)
            }
            (Operation::MayWin(attempt), None) => (true, Some((attempt, false))),
            (Operation::MayRelease(attempt), Some((holder, false))) if holder == attempt => {
                (true, None)
            }
            (Operation::MayRecord(attempt), Some((holder, false))) if holder == attempt => {
                (true, Some((holder, true)))
            }
            (_, held) => (true, held),
        }
    }
}

// Each operation is a process of its own. One without a response ends after all others, so that
// the checker may place it anywhere after its call.
fn is_linearizable(records: &[ClaimRecord]) -> bool {
    let mut actions = Vec::new();
    let mut open = Vec::new();
    let mut process = 0;
    for record in records {
        match record.step {
            ClaimStep::Wished => {
                let response = response_of_wish(records, record.attempt);
                let operation = response.unwrap_or(Operation::MayWin(record.attempt));
                actions.push((process, Action::Call(operation)));
                open.push((process, record.attempt, operation, response.is_some()));
                process += 1;
                if has_step(records, record.attempt, ClaimStep::Unavailable) {
                    // What such a wish may have left behind is released at any later time.
                    let operation = Operation::MayRelease(record.attempt);
                    actions.push((process, Action::Call(operation)));
                    open.push((process, record.attempt, operation, false));
                    process += 1;
                }
            }
            ClaimStep::Won | ClaimStep::Answered(_) | ClaimStep::Unknown => {
                let ended = open.iter().position(|entry| entry.1 == record.attempt && entry.3);
                let Some(ended) = ended else { return false };
                let (process, _, operation, _) = open.remove(ended);
                actions.push((process, Action::Response(operation)));
            }
            ClaimStep::Released => {
                let operation = Operation::MayRelease(record.attempt);
                actions.push((process, Action::Call(operation)));
                open.push((process, record.attempt, operation, false));
                process += 1;
            }
            ClaimStep::Recorded => {
                let operation = Operation::MayRecord(record.attempt);
                actions.push((process, Action::Call(operation)));
                open.push((process, record.attempt, operation, false));
                process += 1;
            }
            ClaimStep::Unavailable
            | ClaimStep::Ran
            | ClaimStep::ToldNotRun
            | ClaimStep::Crashed => {}
        }
    }
    for (process, _, operation, _) in open {
        actions.push((process, Action::Response(operation)));
    }
    actions.is_empty()
        || WGLChecker::<ClaimRegister>::is_linearizable(History::from_actions(actions))
}

fn has_step(records: &[ClaimRecord], attempt: AttemptId, step: ClaimStep) -> bool {
    records.iter().any(|record| record.attempt == attempt && record.step == step)
}

fn response_of_wish(records: &[ClaimRecord], attempt: AttemptId) -> Option<Operation> {
    records.iter().filter(|record| record.attempt == attempt).find_map(|record| match record.step {
        ClaimStep::Won => Some(Operation::Win(attempt)),
        ClaimStep::Answered(source) => Some(Operation::MeetAnswer(source)),
        ClaimStep::Unknown => Some(Operation::MeetUnknown(attempt)),
        _ => None,
    })
}

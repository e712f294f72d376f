//! Callers and the upstream of claim runs: what they do with each verdict and each answer.

use std::time::Duration;

use bergamotpitch_control::idempotency::claim_queues::{
    ClaimRequest, record_outcome, release_claim, request_claim,
};
use bergamotpitch_control::idempotency::claims::{ClaimDecision, Outcome, may_dispatch};

use crate::claim_histories::{AttemptId, ClaimStep, KeyId};
use crate::claim_runs::{
    Attempt, Event, PATIENCE, Run, attempt_of_outcome, draw_router, draw_time, draws, is_alive,
    key_of, nonce_of, note, post, tick, unix_s,
};

/// `begin_attempt` lets a caller try, unless it has its answer or has tried often enough.
pub(crate) fn begin_attempt(run: &mut Run, key: KeyId, number: usize) {
    if run.options.attempt_limit <= number || run.answered[key] {
        return;
    }
    let router = draw_router(run);
    let attempt = run.attempts.len();
    let (wished, dispatch_until, is_told) = (run.now, Duration::ZERO, false);
    run.attempts.push(Attempt {
        key,
        number,
        router,
        life: usize::MAX,
        wished,
        dispatch_until,
        is_told,
    });
    let way = draw_time(run, Duration::from_millis(4));
    post(run, run.now + way, Event::Arrive { attempt });
    post(run, run.now + PATIENCE, Event::LosePatience { attempt });
}

/// `arrive` lets a router wish to claim the key of an attempt.
pub(crate) fn arrive(run: &mut Run, attempt: AttemptId) {
    let router = run.attempts[attempt].router;
    run.attempts[attempt].life = run.routers[router].life;
    run.attempts[attempt].wished = run.now;
    note(run, attempt, ClaimStep::Wished);
    let wish = ClaimRequest {
        ticket: attempt as u64,
        key: key_of(run.attempts[attempt].key),
        fingerprint: [7; 16],
        nonce: nonce_of(attempt),
    };
    let mut effects = Vec::new();
    let now_s = unix_s(run, router);
    request_claim(&mut run.routers[router].queues, run.now, now_s, wish, &mut effects);
    tick(run, router, effects);
}

/// `apply_verdict` tells the caller, or lets the request wait for its turn.
pub(crate) fn apply_verdict(run: &mut Run, attempt: AttemptId, decision: ClaimDecision) {
    match decision {
        ClaimDecision::Won { dispatch_until } => {
            note(run, attempt, ClaimStep::Won);
            run.attempts[attempt].dispatch_until = dispatch_until;
            let taken = run.now.saturating_sub(run.attempts[attempt].wished);
            run.claim_times.push(taken);
            let wait = draw_time(run, run.options.longest_wait);
            post(run, run.now + wait, Event::Decide { attempt });
        }
        ClaimDecision::Answered(outcome) => {
            let source = attempt_of_outcome(&outcome);
            note(run, attempt, ClaimStep::Answered(source));
            tell(run, attempt);
            run.answered[run.attempts[attempt].key] = true;
        }
        ClaimDecision::OutcomeUnknown | ClaimDecision::Mismatch => {
            note(run, attempt, ClaimStep::Unknown);
            tell(run, attempt);
            try_again(run, attempt);
        }
        ClaimDecision::Unavailable => {
            note(run, attempt, ClaimStep::Unavailable);
            tell_not_run(run, attempt);
        }
    }
}

/// `decide` refuses the request where it waits, or hands it over.
pub(crate) fn decide(run: &mut Run, attempt: AttemptId) {
    if !is_alive(run, attempt) {
        return;
    }
    let is_too_old =
        run.options.checks_age && !may_dispatch(run.attempts[attempt].dispatch_until, run.now);
    if is_too_old || draws(run, run.options.refused_percent) {
        release(run, attempt);
        return;
    }
    let way = draw_time(run, Duration::from_millis(2));
    post(run, run.now + way, Event::ReachUpstream { attempt });
}

/// `reach_upstream` lets the upstream run the request, or prove that it did not.
pub(crate) fn reach_upstream(run: &mut Run, attempt: AttemptId) {
    let way = draw_time(run, Duration::from_millis(2));
    if draws(run, run.options.unrun_percent) {
        post(run, run.now + way, Event::Refusal { attempt });
        return;
    }
    note(run, attempt, ClaimStep::Ran);
    if draws(run, run.options.lost_percent) {
        return;
    }
    let length = draw_time(run, Duration::from_millis(2_500));
    post(run, run.now + length + way, Event::Answer { attempt });
}

/// `refuse_unrun` takes in the upstream's proof that the request did not run.
pub(crate) fn refuse_unrun(run: &mut Run, attempt: AttemptId) {
    if is_alive(run, attempt) {
        release(run, attempt);
    }
}

fn release(run: &mut Run, attempt: AttemptId) {
    note(run, attempt, ClaimStep::Released);
    let Attempt { key, router, .. } = run.attempts[attempt];
    release_claim(&mut run.routers[router].queues, key_of(key), nonce_of(attempt));
    tick(run, router, Vec::new());
    tell_not_run(run, attempt);
}

/// `answer` takes in the upstream's answer and records it.
pub(crate) fn answer(run: &mut Run, attempt: AttemptId) {
    if !is_alive(run, attempt) {
        return;
    }
    note(run, attempt, ClaimStep::Recorded);
    let Attempt { key, router, .. } = run.attempts[attempt];
    let body = Some((attempt as u64).to_le_bytes().to_vec());
    let outcome = Outcome { status: 200, headers: Vec::new(), body };
    let queues = &mut run.routers[router].queues;
    record_outcome(queues, run.now, key_of(key), nonce_of(attempt), outcome);
    tick(run, router, Vec::new());
    if !run.attempts[attempt].is_told {
        run.answered[key] = true;
        tell(run, attempt);
    }
}

fn tell_not_run(run: &mut Run, attempt: AttemptId) {
    note(run, attempt, ClaimStep::ToldNotRun);
    tell(run, attempt);
    try_again(run, attempt);
}

fn tell(run: &mut Run, attempt: AttemptId) {
    run.attempts[attempt].is_told = true;
}

fn try_again(run: &mut Run, attempt: AttemptId) {
    let Attempt { key, number, .. } = run.attempts[attempt];
    let wait = Duration::from_millis(300) + draw_time(run, Duration::from_millis(900));
    post(run, run.now + wait, Event::Begin { key, number: number + 1 });
}

/// `lose_patience` lets the caller try elsewhere while the first try may still run.
pub(crate) fn lose_patience(run: &mut Run, attempt: AttemptId) {
    let Attempt { key, number, is_told, .. } = run.attempts[attempt];
    if !is_told {
        run.attempts[attempt].is_told = true;
        post(run, run.now, Event::Begin { key, number: number + 1 });
    }
}

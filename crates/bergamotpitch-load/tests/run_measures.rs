//! Every figure that must be 0 is seen when it is not, and the measures follow their formulas.

use bergamotpitch_core::HashMap;
use bergamotpitch_core::refusals::{Ran, RefusalReason};
use bergamotpitch_load::backlogs::Interval;
use bergamotpitch_load::measures::{Ground, Records, UpstreamGround, measure, must_be_zero};
use bergamotpitch_load::records::{CallerOutcome, CallerRecord, ServiceRun, Try, UpstreamRecord};

const SECOND_US: u64 = 1_000_000;

/// A router lost the answer of a register submission and sent it again. The office finds its order
/// filed twice.
#[test]
fn double_run() {
    let caller = caller("a", 1, CallerOutcome::Answered);
    let run =
        ServiceRun { upstream: "u".to_owned(), request: None, body_hash: caller.body_hash.clone() };
    let mut records =
        Records { callers: vec![caller], runs: vec![run.clone()], ..Records::default() };
    assert_eq!(measure(&records, &ground()).double_runs, 0);
    records.runs.push(run);
    let measures = measure(&records, &ground());
    assert_eq!(measures.double_runs, 1);
    assert_eq!(must_be_zero(&measures), ["double_runs is 1"]);
}

/// A router gave up a request that an upstream had already begun and said that it did not run. The
/// caller sends it again and pays twice.
#[test]
fn false_refusal() {
    let refused =
        CallerOutcome::Refused { reason: RefusalReason::UpstreamFailed, ran: Ran::NotRun };
    let caller = caller("a", 1, refused);
    let attempt = attempt("a", "1", 0, SECOND_US);
    let mut records = Records { callers: vec![caller], ..Records::default() };
    assert_eq!(measure(&records, &ground()).false_not_run, 0);
    records.upstreams.push(attempt);
    assert_eq!(measure(&records, &ground()).false_not_run, 1);
}

/// Two teams of the same share wait for ten seconds and one is given all the service.
#[test]
fn unfair_service() {
    let served = caller("a", 3, CallerOutcome::Answered);
    let callers = vec![waiting_caller("a", 1), waiting_caller("b", 2), served];
    let upstreams = vec![attempt("a", "3", 0, 10 * SECOND_US)];
    let records = Records { callers, upstreams, ..Records::default() };
    let measures = measure(&records, &ground());
    // The team that is served gains 1000 units in the 10 s, of which the first 0.1 s do not count
    // because nobody was backlogged yet.
    let gap = measures.services[0].fairness_gap;
    assert!((985.0..=990.0).contains(&gap), "{gap}");
    assert_eq!(measures.services[0].gap_teams, ["a", "b"]);
}

/// One of two slots is busy while a team waits.
#[test]
fn idle_slot() {
    let callers = vec![waiting_caller("a", 1)];
    let upstreams = vec![attempt("a", "3", 0, 10 * SECOND_US)];
    let records = Records { callers, upstreams, ..Records::default() };
    let used = measure(&records, &ground()).services[0].utilisation_percent;
    assert_eq!(used, Some(50.0));
}

#[test]
fn nothing_waits() {
    let records =
        Records { callers: vec![caller("a", 1, CallerOutcome::Answered)], ..Records::default() };
    let measures = measure(&records, &ground());
    assert_eq!(measures.services[0].utilisation_percent, None);
    assert_eq!(measures.services[0].fairness_gap, 0.0);
}

fn ground() -> Ground {
    let upstream = UpstreamGround { service: "s".to_owned(), slots: 2 };
    let mut upstreams = HashMap::default();
    upstreams.insert("u".to_owned(), upstream);
    Ground {
        shares: [("a".to_owned(), 1), ("b".to_owned(), 1)].into_iter().collect(),
        upstreams,
        span: Some(Interval { start_us: 0, end_us: 10 * SECOND_US }),
        backlog_us: 100_000,
    }
}

fn caller(team: &str, number: u64, outcome: CallerOutcome) -> CallerRecord {
    CallerRecord {
        number,
        team: team.to_owned(),
        service: "s".to_owned(),
        body_hash: format!("hash-{number}"),
        at_most_once: true,
        tries: vec![Try { request_id: number.to_string(), outcome }],
        sent_us: 0,
        first_byte_us: None,
        ended_us: 10,
        outcome,
        token_gaps_us: Vec::new(),
    }
}

fn waiting_caller(team: &str, number: u64) -> CallerRecord {
    let outcome =
        CallerOutcome::Refused { reason: RefusalReason::DeadlinePassed, ran: Ran::NotRun };
    CallerRecord { ended_us: 10 * SECOND_US, ..caller(team, number, outcome) }
}

fn attempt(team: &str, request: &str, started_us: u64, ended_us: u64) -> UpstreamRecord {
    UpstreamRecord {
        upstream: "u".to_owned(),
        request: Some(request.to_owned()),
        team: Some(team.to_owned()),
        started_us: Some(started_us),
        ended_us,
        cost: 1_000,
    }
}

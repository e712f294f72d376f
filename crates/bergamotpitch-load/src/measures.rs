//! Measures of a run; `docs/MEASURES.md` gives each formula.

use bergamotpitch_core::refusals::Ran;
use bergamotpitch_core::{HashMap, HashSet};
use serde::{Deserialize, Serialize};

use crate::backlogs::{Interval, Wait, backlogged_intervals, intersection, union};
use crate::gaps::{find_gap, runs_of_service, served_by_team};
use crate::records::{CallerOutcome, CallerRecord, ServiceRun, Try, UpstreamRecord};

/// `Ground` is what the measures need beside the records.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Ground {
    /// Share of each team.
    pub shares: HashMap<String, u32>,
    /// Service and slots of each upstream.
    pub upstreams: HashMap<String, UpstreamGround>,
    /// Span that counts: from the end of the warm-up to the last arrival.
    pub span: Option<Interval>,
    /// Wait that makes a team backlogged, in microseconds.
    pub backlog_us: u64,
}

/// `UpstreamGround` is what the sheet says of an upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpstreamGround {
    /// Service that it runs.
    pub service: String,
    /// Requests it can run at once.
    pub slots: u32,
}

/// `Measures` are the figures of one run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Measures {
    /// Figures of each service, in order of their names.
    pub services: Vec<ServiceMeasures>,
    /// Requests sent.
    pub sent_requests: u64,
    /// Requests answered in full.
    pub answered_requests: u64,
    /// Requests refused.
    pub refused_requests: u64,
    /// Answers that broke in a way that the caller could see.
    pub cut_seen_answers: u64,
    /// Answers that ended as if whole but were not; must be 0.
    pub cut_unseen_answers: u64,
    /// Answers to another request; must be 0.
    pub foreign_answers: u64,
    /// Connections lost before any answer.
    pub lost_requests: u64,
    /// Answers that were neither answer nor refusal; must be 0.
    pub malformed_answers: u64,
    /// Requests that may not be run twice but were; must be 0.
    pub double_runs: u64,
    /// Requests refused as not run that ran; must be 0.
    pub false_not_run: u64,
    /// Time to the first byte of an answer, in microseconds: median.
    pub first_byte_p50_us: u64,
    /// Time to the first byte of an answer, in microseconds: 95 in 100.
    pub first_byte_p95_us: u64,
    /// Time between two tokens, in microseconds: median.
    pub token_gap_p50_us: u64,
    /// Time between two tokens, in microseconds: 95 in 100.
    pub token_gap_p95_us: u64,
}

/// `ServiceMeasures` are the figures of one service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceMeasures {
    /// Name of the service.
    pub service: String,
    /// Fairness gap, in cost units per share.
    pub fairness_gap: f64,
    /// Teams between which the gap was largest.
    pub gap_teams: Vec<String>,
    /// Part of the time, in percent, for which two teams or more were backlogged.
    pub contended_percent: f64,
    /// Utilisation while work waited, in percent of paid slots; absent when nothing waited.
    pub utilisation_percent: Option<f64>,
}

/// `Records` are all records of one run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Records {
    /// What callers saw.
    pub callers: Vec<CallerRecord>,
    /// Attempts that upstreams recorded.
    pub upstreams: Vec<UpstreamRecord>,
    /// Calls that plain services ran.
    pub runs: Vec<ServiceRun>,
}

/// `measure` computes the figures of one run.
pub fn measure(records: &Records, ground: &Ground) -> Measures {
    let Records { callers, upstreams, runs } = records;
    let mut measures = Measures { sent_requests: callers.len() as u64, ..Measures::default() };
    count_outcomes(callers, &mut measures);
    count_double_runs(callers, runs, &mut measures);
    count_false_not_run(callers, upstreams, runs, &mut measures);
    measure_latency(callers, &mut measures);
    let mut services: Vec<&str> =
        ground.upstreams.values().map(|upstream| upstream.service.as_str()).collect();
    services.sort_unstable();
    services.dedup();
    measures.services = services
        .into_iter()
        .map(|service| measure_service(service, callers, upstreams, ground))
        .collect();
    measures
}

/// `must_be_zero` names each figure that must be 0 and is not.
pub fn must_be_zero(measures: &Measures) -> Vec<String> {
    let figures = [
        ("cut_unseen_answers", measures.cut_unseen_answers),
        ("foreign_answers", measures.foreign_answers),
        ("malformed_answers", measures.malformed_answers),
        ("double_runs", measures.double_runs),
        ("false_not_run", measures.false_not_run),
    ];
    figures
        .iter()
        .filter(|(_, value)| 0 < *value)
        .map(|(name, value)| format!("{name} is {value}"))
        .collect()
}

fn count_outcomes(callers: &[CallerRecord], measures: &mut Measures) {
    for record in callers {
        let counter = match record.outcome {
            CallerOutcome::Answered => &mut measures.answered_requests,
            CallerOutcome::Refused { .. } => &mut measures.refused_requests,
            CallerOutcome::CutUnseen => &mut measures.cut_unseen_answers,
            CallerOutcome::CutSeen => &mut measures.cut_seen_answers,
            CallerOutcome::Foreign => &mut measures.foreign_answers,
            CallerOutcome::Lost => &mut measures.lost_requests,
            CallerOutcome::Malformed => &mut measures.malformed_answers,
        };
        *counter += 1;
    }
}

fn count_double_runs(callers: &[CallerRecord], runs: &[ServiceRun], measures: &mut Measures) {
    let counts = runs_by_body(runs);
    let is_double = |record: &&CallerRecord| {
        record.at_most_once && 1 < counts.get(record.body_hash.as_str()).copied().unwrap_or(0)
    };
    measures.double_runs = callers.iter().filter(is_double).count() as u64;
}

fn count_false_not_run(
    callers: &[CallerRecord],
    upstreams: &[UpstreamRecord],
    runs: &[ServiceRun],
    measures: &mut Measures,
) {
    let starts = starts_by_request(upstreams);
    let ran_calls: HashSet<&str> = runs.iter().filter_map(|run| run.request.as_deref()).collect();
    let is_false = |one: &&Try| {
        let refused_as_not_run =
            matches!(one.outcome, CallerOutcome::Refused { ran: Ran::NotRun, .. });
        let request = one.request_id.as_str();
        refused_as_not_run && (ran_calls.contains(request) || starts.contains_key(request))
    };
    let tries = callers.iter().flat_map(|record| &record.tries);
    measures.false_not_run = tries.filter(is_false).count() as u64;
}

fn runs_by_body(runs: &[ServiceRun]) -> HashMap<&str, u64> {
    let mut counts: HashMap<&str, u64> = HashMap::default();
    for run in runs {
        *counts.entry(run.body_hash.as_str()).or_default() += 1;
    }
    counts
}

/// `starts_by_request` returns when the first slot began to work on each request.
fn starts_by_request(upstreams: &[UpstreamRecord]) -> HashMap<&str, u64> {
    let mut starts: HashMap<&str, u64> = HashMap::default();
    for record in upstreams {
        let (Some(request), Some(started_us)) = (&record.request, record.started_us) else {
            continue;
        };
        let start = starts.entry(request.as_str()).or_insert(started_us);
        *start = started_us.min(*start);
    }
    starts
}

fn measure_latency(callers: &[CallerRecord], measures: &mut Measures) {
    let answered = || callers.iter().filter(|record| record.outcome == CallerOutcome::Answered);
    let mut first_bytes: Vec<u64> = answered()
        .filter_map(|record| record.first_byte_us.map(|first| first.saturating_sub(record.sent_us)))
        .collect();
    let mut gaps: Vec<u64> = answered()
        .flat_map(|record| record.token_gaps_us.iter().map(|gap| u64::from(*gap)))
        .collect();
    first_bytes.sort_unstable();
    gaps.sort_unstable();
    measures.first_byte_p50_us = percentile(&first_bytes, 50);
    measures.first_byte_p95_us = percentile(&first_bytes, 95);
    measures.token_gap_p50_us = percentile(&gaps, 50);
    measures.token_gap_p95_us = percentile(&gaps, 95);
}

/// `percentile` returns the value below which a percentage of the sorted values lies; 0 when there
/// are none.
pub fn percentile(sorted: &[u64], percent: usize) -> u64 {
    if sorted.is_empty() {
        return 0;
    }
    let position = (sorted.len() * percent).div_ceil(100).max(1) - 1;
    sorted[position]
}

fn measure_service(
    service: &str,
    callers: &[CallerRecord],
    upstreams: &[UpstreamRecord],
    ground: &Ground,
) -> ServiceMeasures {
    let mut measures =
        ServiceMeasures { service: service.to_owned(), ..ServiceMeasures::default() };
    let Some(span) = ground.span else { return measures };
    let runs = runs_of_service(service, upstreams, ground);
    let waits = waits(service, callers, upstreams);
    let backlogs = clip(backlogged_intervals(&waits, ground.backlog_us), span);
    let served = served_by_team(callers, &runs);
    find_gap(&backlogs, &served, ground, span, &mut measures);
    measures.contended_percent = contended_percent(&backlogs, span);
    measures.utilisation_percent = utilisation_percent(service, &backlogs, &runs, ground);
    measures
}

fn waits(service: &str, callers: &[CallerRecord], attempts: &[UpstreamRecord]) -> Vec<Wait> {
    let starts = starts_by_request(attempts);
    let of_service = callers.iter().filter(|record| record.service == service);
    of_service
        .map(|record| {
            let start = record.tries.iter().find_map(|one| starts.get(one.request_id.as_str()));
            let end_us = start.copied().unwrap_or(record.ended_us);
            Wait {
                team: record.team.clone(),
                interval: Interval { start_us: record.sent_us, end_us },
            }
        })
        .collect()
}

fn clip(
    backlogs: HashMap<String, Vec<Interval>>,
    span: Interval,
) -> HashMap<String, Vec<Interval>> {
    backlogs
        .into_iter()
        .map(|(team, intervals)| (team, intersection(&intervals, &[span])))
        .collect()
}

fn contended_percent(backlogs: &HashMap<String, Vec<Interval>>, span: Interval) -> f64 {
    let mut edges: Vec<(u64, i32)> = Vec::new();
    for interval in backlogs.values().flatten() {
        edges.push((interval.start_us, 1));
        edges.push((interval.end_us, -1));
    }
    edges.sort_unstable();
    let (mut teams, mut since_us, mut contended_us) = (0, 0, 0);
    for (time_us, change) in edges {
        if 2 <= teams {
            contended_us += time_us - since_us;
        }
        teams += change;
        since_us = time_us;
    }
    100.0 * contended_us as f64 / (span.end_us - span.start_us).max(1) as f64
}

fn utilisation_percent(
    service: &str,
    backlogs: &HashMap<String, Vec<Interval>>,
    runs: &[&UpstreamRecord],
    ground: &Ground,
) -> Option<f64> {
    let all: Vec<Interval> = backlogs.values().flatten().copied().collect();
    let waiting = union(&all);
    let slots: u64 = ground
        .upstreams
        .values()
        .filter(|upstream| upstream.service == service)
        .map(|upstream| u64::from(upstream.slots))
        .sum();
    let waiting_us: u64 = waiting.iter().map(|interval| interval.end_us - interval.start_us).sum();
    if waiting_us == 0 || slots == 0 {
        return None;
    }
    let busy_us: u64 = runs
        .iter()
        .filter_map(|run| {
            run.started_us.map(|start_us| Interval { start_us, end_us: run.ended_us })
        })
        .flat_map(|run| intersection(&waiting, &[run]))
        .map(|busy| busy.end_us - busy.start_us)
        .sum();
    Some(100.0 * busy_us as f64 / (slots * waiting_us) as f64)
}

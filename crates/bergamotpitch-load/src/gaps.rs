//! Gaps: the service per share of each team over time, and how far two backlogged teams drift apart.

use bergamotpitch_core::HashMap;

use crate::backlogs::{Interval, intersection};
use crate::measures::{Ground, Records, ServiceMeasures};
use crate::records::{CallerRecord, UpstreamRecord};

/// Steps into which a common backlogged interval is cut when the gap is looked for.
const GAP_STEP_US: u64 = 20_000;

/// `TeamSeries` is the service per share that a team had received over time.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamSeries {
    /// The team.
    pub team: String,
    /// Seconds since the span began, and cost units per share received until then.
    pub points: Vec<(f64, f64)>,
}

/// `team_series` returns the series of every team that a service served, in order of their names.
pub fn team_series(service: &str, records: &Records, ground: &Ground) -> Vec<TeamSeries> {
    let Some(span) = ground.span else { return Vec::new() };
    let runs = runs_of_service(service, &records.upstreams, ground);
    let served = served_by_team(&records.callers, &runs);
    let mut teams: Vec<TeamSeries> = served
        .iter()
        .map(|(team, served)| {
            let share = ground.shares.get(team).copied().unwrap_or(1);
            let series = service_series(served, share, span);
            let seconds = |step: usize| step as f64 * GAP_STEP_US as f64 / 1e6;
            let points = series
                .into_iter()
                .enumerate()
                .map(|(step, value)| (seconds(step), value))
                .collect();
            TeamSeries { team: team.clone(), points }
        })
        .collect();
    teams.sort_by(|left, right| left.team.cmp(&right.team));
    teams
}

/// `runs_of_service` selects the attempts at a service's upstreams.
pub fn runs_of_service<'a>(
    service: &str,
    upstreams: &'a [UpstreamRecord],
    ground: &Ground,
) -> Vec<&'a UpstreamRecord> {
    let is_of_service = |record: &&UpstreamRecord| {
        ground.upstreams.get(&record.upstream).is_some_and(|known| known.service == service)
    };
    upstreams.iter().filter(is_of_service).collect()
}

/// `Served` is service that one attempt gave a team, spread evenly over its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Served {
    /// When a slot worked on it.
    pub interval: Interval,
    /// Its whole cost, in cost units.
    pub cost: f64,
}

/// `served_by_team` gathers what each team was served.
pub fn served_by_team(
    callers: &[CallerRecord],
    runs: &[&UpstreamRecord],
) -> HashMap<String, Vec<Served>> {
    let teams = teams_by_request(callers);
    let mut served: HashMap<String, Vec<Served>> = HashMap::default();
    for run in runs {
        let (Some(request), Some(start_us)) = (&run.request, run.started_us) else { continue };
        let Some(team) = teams.get(request.as_str()) else { continue };
        let interval = Interval { start_us, end_us: run.ended_us.max(start_us + 1) };
        served
            .entry((*team).to_owned())
            .or_default()
            .push(Served { interval, cost: run.cost as f64 });
    }
    served
}

/// `teams_by_request` returns which team sent each request, whatever the upstreams were told.
fn teams_by_request(callers: &[CallerRecord]) -> HashMap<&str, &str> {
    let requests =
        callers.iter().flat_map(|record| record.tries.iter().map(move |one| (one, record)));
    requests.map(|(one, record)| (one.request_id.as_str(), record.team.as_str())).collect()
}

/// `service_series` returns a team's service per share at every step of the span.
fn service_series(served: &[Served], share: u32, span: Interval) -> Vec<f64> {
    let steps = ((span.end_us - span.start_us) / GAP_STEP_US) as usize + 1;
    let mut series = vec![0.0; steps];
    for run in served {
        let length_us = (run.interval.end_us - run.interval.start_us) as f64;
        let first_step = run.interval.start_us.saturating_sub(span.start_us) / GAP_STEP_US;
        for (step, value) in series.iter_mut().enumerate().skip(first_step as usize) {
            let time_us = span.start_us + step as u64 * GAP_STEP_US;
            let done_us = time_us.saturating_sub(run.interval.start_us) as f64;
            *value += run.cost * (done_us / length_us).min(1.0) / f64::from(share);
        }
    }
    series
}

/// `find_gap` finds the largest fairness gap of a service and notes it in its measures.
pub fn find_gap(
    backlogs: &HashMap<String, Vec<Interval>>,
    served: &HashMap<String, Vec<Served>>,
    ground: &Ground,
    span: Interval,
    measures: &mut ServiceMeasures,
) {
    let mut teams: Vec<&String> = backlogs.keys().collect();
    teams.sort_unstable();
    let series: Vec<Vec<f64>> = teams
        .iter()
        .map(|team| {
            let share = ground.shares.get(*team).copied().unwrap_or(1);
            service_series(served.get(*team).map_or(&[], Vec::as_slice), share, span)
        })
        .collect();
    for (position, one) in teams.iter().enumerate() {
        for (other_position, other) in teams.iter().enumerate().skip(position + 1) {
            for interval in intersection(&backlogs[*one], &backlogs[*other]) {
                let gap = gap_over(interval, span, &series[position], &series[other_position]);
                if measures.fairness_gap < gap {
                    measures.fairness_gap = gap;
                    measures.gap_teams = vec![(*one).clone(), (*other).clone()];
                }
            }
        }
    }
}

fn gap_over(interval: Interval, span: Interval, one: &[f64], other: &[f64]) -> f64 {
    let first = (interval.start_us - span.start_us).div_ceil(GAP_STEP_US) as usize;
    let last = ((interval.end_us - span.start_us) / GAP_STEP_US) as usize;
    let (mut least, mut most) = (f64::INFINITY, f64::NEG_INFINITY);
    for step in first..=last.min(one.len() - 1) {
        let difference = one[step] - other[step];
        least = least.min(difference);
        most = most.max(difference);
    }
    if most < least { 0.0 } else { most - least }
}

//! Scenarios: the loads and faults that the policies are measured under.

use std::time::Duration;

use bergamotpitch_core::settings::Policy;
use bergamotpitch_core::units::Timestamp;

use crate::deployments::Deployment;
use crate::links::Spot;
use crate::loops::{Fleet, FleetOptions, fleet};
use crate::measures::{self, BoundTerms};
use crate::schedules::{Fault, Planned, at_ms, run_schedule};
use crate::workloads::{self, TeamLoad};

/// Time left out of the measures while the queues fill.
pub const WARM_UP: Duration = Duration::from_secs(5);

/// When faults begin, in milliseconds.
const BEGIN_MS: u64 = 20_000;

/// When faults end, in milliseconds.
const END_MS: u64 = 50_000;

/// When runs with faults end, in seconds.
const UNTIL_S: u64 = 90;

/// Requests a second of a steady overload; the engines serve about 90.
const OVERLOAD_PER_SECOND: f64 = 150.0;

/// Largest age of what a domain knows of another while all is well: the interval that the budget of
/// bytes allows, and the way.
const STALENESS: Duration = Duration::from_millis(2_000);

/// `Scenario` is a load and a schedule of faults.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name, for tables.
    pub name: String,
    /// Load of each team.
    pub loads: Vec<TeamLoad>,
    /// Faults.
    pub schedule: Vec<Planned>,
    /// When the last fault ends.
    pub healed: Timestamp,
    /// When the run ends.
    pub until: Timestamp,
    /// Longest time for which a domain may not hear of another.
    pub staleness: Duration,
}

/// `Figures` are the measures of one run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figures {
    /// Largest service gap, in cost units a share.
    pub gap: f64,
    /// The stated bound on it.
    pub bound: f64,
    /// Busy slots over usable slots, in [0, 1].
    pub utilisation: f64,
    /// The same from 5 s after the last fault on.
    pub utilisation_after: f64,
    /// Control bytes a second inside a domain, mean over the instances.
    pub domain_bytes: f64,
    /// Control bytes a second across regions, mean over the instances.
    pub cross_bytes: f64,
    /// Control bytes a second across regions, highest of any instance.
    pub cross_bytes_highest: f64,
    /// Part of them that the fair shares sent, highest of any instance.
    pub share_bytes_highest: f64,
    /// Longest time for which a team waited and got no service, in seconds.
    pub longest_wait_s: f64,
    /// Starts whose prefix was cached, in [0, 1].
    pub prefix_hits: f64,
    /// Time from hand-over to a slot that 95 in 100 requests stay under, in seconds.
    pub held_p95_s: f64,
    /// Requests that were answered.
    pub ended: usize,
}

/// `steady` is a steady overload with skewed teams.
pub fn steady(seconds: u64) -> Scenario {
    Scenario {
        name: "steady".to_owned(),
        loads: workloads::skewed_overload(16, 8, OVERLOAD_PER_SECOND),
        schedule: Vec::new(),
        healed: Duration::ZERO,
        until: Duration::from_secs(seconds),
        staleness: STALENESS,
    }
}

/// `all` lists the steady overload, each fault, and pairs of them.
pub fn all() -> Vec<Scenario> {
    let cut_off = [at_ms(BEGIN_MS, Fault::CutOff(0)), at_ms(END_MS, Fault::Heal)];
    let one_way =
        [at_ms(BEGIN_MS, Fault::Cut(Spot::Place(0), Spot::Place(1))), at_ms(END_MS, Fault::Heal)];
    let inside =
        [at_ms(BEGIN_MS, Fault::Cut(Spot::Router(0), Spot::Router(1))), at_ms(END_MS, Fault::Heal)];
    let inside_back =
        [at_ms(BEGIN_MS, Fault::Cut(Spot::Router(1), Spot::Router(0))), at_ms(END_MS, Fault::Heal)];
    let home = [at_ms(BEGIN_MS, Fault::StopHome(0)), at_ms(END_MS, Fault::StartStopped)];
    let restart = [
        at_ms(BEGIN_MS, Fault::Stop(1)),
        at_ms(BEGIN_MS, Fault::StartStopped),
        at_ms(BEGIN_MS + 10_000, Fault::StopHome(1)),
        at_ms(BEGIN_MS + 10_000, Fault::StartStopped),
    ];
    let loss = [at_ms(BEGIN_MS, Fault::Loss(10.0)), at_ms(END_MS, Fault::Loss(0.0))];
    let frozen = [at_ms(BEGIN_MS, Fault::Freeze(0)), at_ms(BEGIN_MS + 5_000, Fault::Thaw(0))];
    let platform = [at_ms(BEGIN_MS, Fault::Platform(false)), at_ms(END_MS, Fault::Platform(true))];
    let unheard = Duration::from_millis(END_MS - BEGIN_MS) + STALENESS;
    let late = |schedule: &[Planned]| -> Vec<Planned> {
        let shift = Duration::from_millis(10_000);
        schedule.iter().map(|planned| Planned { at: planned.at + shift, ..*planned }).collect()
    };
    let both = |left: &[Planned], right: &[Planned]| [left, right].concat();
    vec![
        steady(60),
        faulty("flood of one team", &[], true, STALENESS),
        faulty("home killed", &home, false, STALENESS),
        faulty("restarts without memory", &restart, false, STALENESS),
        faulty("instance frozen", &frozen, false, STALENESS),
        faulty("domain cut off", &cut_off, false, unheard),
        faulty("one-way cut", &one_way, false, unheard),
        faulty("one-way cut inside", &inside, false, STALENESS),
        faulty("one-way cut inside, back", &inside_back, false, STALENESS),
        faulty("loss 10%", &loss, false, STALENESS * 2),
        faulty("key-value service out", &platform, false, STALENESS),
        faulty("home killed + loss", &both(&home, &loss), false, STALENESS * 2),
        faulty("cut off + home killed", &both(&cut_off, &late(&home)), false, unheard),
        faulty("cut off + flood", &cut_off, true, unheard),
        faulty("one-way cut + restarts", &both(&one_way, &restart), false, unheard),
        faulty("flood + home killed", &home, true, STALENESS),
        faulty("loss + restarts", &both(&loss, &restart), false, STALENESS * 2),
    ]
}

fn faulty(name: &str, schedule: &[Planned], flood: bool, staleness: Duration) -> Scenario {
    let mut loads = workloads::skewed_overload(16, 8, OVERLOAD_PER_SECOND);
    if flood {
        loads.push(TeamLoad {
            team: 5,
            requests_per_second: 120.0,
            router_weights: vec![1.0; 8],
            begins: Duration::from_millis(BEGIN_MS),
            ends: Duration::from_millis(END_MS),
            ..TeamLoad::default()
        });
    }
    let end = Duration::from_millis(END_MS);
    let healed = schedule.iter().map(|planned| planned.at).max().unwrap_or(end);
    Scenario {
        name: name.to_owned(),
        loads,
        schedule: schedule.to_vec(),
        healed,
        until: Duration::from_secs(UNTIL_S),
        staleness,
    }
}

/// `run` runs a scenario and returns the fleet at its end.
pub fn run(
    scenario: &Scenario,
    deployment: &Deployment,
    policy: Policy,
    options: &FleetOptions,
) -> Fleet {
    let calls = workloads::calls(&scenario.loads, scenario.until, options.seed);
    let options = FleetOptions { policy, ..options.clone() };
    let mut fleet = fleet(deployment.clone(), calls, options);
    run_schedule(&mut fleet, &scenario.schedule, scenario.until);
    fleet
}

/// `figures` measures a fleet that has run a scenario, for the first service of its sheet.
pub fn figures(scenario: &Scenario, fleet: &Fleet) -> Figures {
    let samples = &fleet.history.samples[0];
    let shares: Vec<u32> = fleet.deployment.sheet.teams.iter().map(|team| team.share).collect();
    let until = scenario.until;
    let after = (scenario.healed + Duration::from_secs(5)).max(WARM_UP);
    let traffic = measures::traffic_rates(&fleet.history.traffic, fleet.now);
    let hits: u64 = fleet.engines.iter().map(|engine| engine.prefix_hits).sum();
    let misses: u64 = fleet.engines.iter().map(|engine| engine.prefix_misses).sum();
    Figures {
        gap: measures::fairness_gap(samples, &shares, WARM_UP, until).cost_per_share,
        bound: measures::gap_bound(&terms(scenario, fleet)),
        utilisation: measures::utilisation(samples, WARM_UP, until),
        utilisation_after: measures::utilisation(samples, after, until),
        domain_bytes: traffic.domain_bytes,
        cross_bytes: traffic.cross_region_bytes,
        cross_bytes_highest: traffic.cross_region_bytes_highest,
        share_bytes_highest: traffic.share_bytes_highest,
        longest_wait_s: measures::longest_wait(samples, WARM_UP, until).as_secs_f64(),
        prefix_hits: hits as f64 / (hits + misses).max(1) as f64,
        held_p95_s: measures::held_p95(&fleet.history.records).as_secs_f64(),
        ended: measures::ended(&fleet.history.records),
    }
}

/// `terms` are the terms of the stated bound for a scenario.
pub fn terms(scenario: &Scenario, fleet: &Fleet) -> BoundTerms {
    let service = &fleet.deployment.sheet.services[0];
    let engines = || fleet.engines.iter().filter(|engine| engine.name.starts_with(&service.name));
    let depth = fleet.options.control.window_depth_requests as usize;
    let largest = |load: &TeamLoad| {
        let tokens = f64::from(load.long_tokens) * 1.5 * service.generated_token_cost as f64;
        f64::from(load.prompt_tokens) * 1.5 * service.prompt_token_cost as f64 + tokens
    };
    let shares: u32 = fleet.deployment.sheet.teams.iter().map(|team| team.share).sum();
    let token_cost = service.generated_token_cost as f64;
    let slot_rate = token_cost / fleet.options.token_time.as_secs_f64();
    let places = fleet.deployment.places.len();
    let leanest = (0..places).map(|place| shares_in(scenario, fleet, place)).min().unwrap_or(1);
    let slots: usize = engines().map(|engine| engine.slots).sum();
    let estimate = mean_cost(scenario, fleet);
    BoundTerms {
        largest_request: scenario.loads.iter().map(largest).fold(0.0, f64::max),
        window_requests: engines().map(|engine| engine.slots + depth).sum::<usize>() as f64,
        backlogged_shares: f64::from(shares),
        slack: estimate * fleet.options.control.slack_requests,
        margin: estimate * fleet.options.control.spill_margin_requests,
        staleness_s: scenario.staleness.as_secs_f64(),
        domain_rate: slot_rate * slots as f64 / places as f64 / f64::from(leanest.max(1)),
    }
}

fn mean_cost(scenario: &Scenario, fleet: &Fleet) -> f64 {
    let service = &fleet.deployment.sheet.services[0];
    let Some(load) = scenario.loads.first() else { return 0.0 };
    let long = f64::from(load.long_percent) / 100.0;
    let tokens = f64::from(load.long_tokens) * long + f64::from(load.short_tokens) * (1.0 - long);
    tokens * service.generated_token_cost as f64
        + f64::from(load.prompt_tokens) * service.prompt_token_cost as f64
}

/// Shares of the teams that stand mostly before routers of a place.
fn shares_in(scenario: &Scenario, fleet: &Fleet, place: usize) -> u32 {
    let teams = &fleet.deployment.sheet.teams;
    let mut shares = vec![0; teams.len()];
    for load in &scenario.loads {
        let total: f64 = load.router_weights.iter().sum();
        let here: f64 = load
            .router_weights
            .iter()
            .zip(&fleet.routers)
            .filter(|(_, router)| router.place == place)
            .map(|(weight, _)| weight)
            .sum();
        if total < here * 2.0 {
            shares[load.team] = teams[load.team].share;
        }
    }
    shares.iter().sum()
}

//! Scenarios: the loads and faults that the policies are measured under.

use std::time::Duration;

use bergamotpitch_core::settings::Policy;
use bergamotpitch_core::units::Timestamp;

use crate::deployments::Deployment;
use crate::loops::{Fleet, FleetOptions, fleet};
use crate::measures;
use crate::schedules::{Planned, run_schedule};
use crate::workloads::{self, TeamLoad};

/// Time left out of the measures while the queues fill.
pub const WARM_UP: Duration = Duration::from_secs(5);

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
}

/// `Figures` are the measures of one run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figures {
    /// Largest service gap, in cost units a share.
    pub gap: f64,
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
    /// Longest time for which a team waited and got no service, in seconds.
    pub longest_wait_s: f64,
    /// Starts whose prefix was cached, in [0, 1].
    pub prefix_hits: f64,
}

/// `steady` is a steady overload with skewed teams.
pub fn steady(seconds: u64) -> Scenario {
    Scenario {
        name: "steady".to_owned(),
        loads: workloads::skewed_overload(16, 8, 150.0),
        schedule: Vec::new(),
        healed: Duration::ZERO,
        until: Duration::from_secs(seconds),
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
    let (domain_bytes, cross_bytes, cross_bytes_highest) =
        measures::bytes_per_second(&fleet.history.traffic, fleet.now);
    let hits: u64 = fleet.engines.iter().map(|engine| engine.prefix_hits).sum();
    let misses: u64 = fleet.engines.iter().map(|engine| engine.prefix_misses).sum();
    Figures {
        gap: measures::fairness_gap(samples, &shares, WARM_UP, until).cost_per_share,
        utilisation: measures::utilisation(samples, WARM_UP, until),
        utilisation_after: measures::utilisation(samples, after, until),
        domain_bytes,
        cross_bytes,
        cross_bytes_highest,
        longest_wait_s: measures::longest_wait(samples, WARM_UP, until).as_secs_f64(),
        prefix_hits: hits as f64 / (hits + misses).max(1) as f64,
    }
}

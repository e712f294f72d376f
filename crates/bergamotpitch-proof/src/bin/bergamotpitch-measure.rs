//! Measures the policies under each scenario and prints one table.

use bergamotpitch_core::settings::Policy;
use bergamotpitch_proof::loops::FleetOptions;
use bergamotpitch_proof::{deployments, scenarios};

fn main() {
    let deployment = deployments::blomakerfi();
    let scenario = scenarios::steady(60);
    for policy in [Policy::FirstCome, Policy::LocalFair, Policy::Fair] {
        let fleet = scenarios::run(&scenario, &deployment, policy, &FleetOptions::default());
        let figures = scenarios::figures(&scenario, &fleet);
        println!("{policy:<12} {figures:?}");
    }
}

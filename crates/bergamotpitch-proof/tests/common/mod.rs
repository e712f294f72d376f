//! Helpers of the tests of the shares.

use bergamotpitch_core::settings::Policy;
use bergamotpitch_proof::deployments::Deployment;
use bergamotpitch_proof::loops::FleetOptions;
use bergamotpitch_proof::scenarios::{self, Figures, Scenario};

/// `figures_of` runs a scenario under the chosen policy and measures it.
pub fn figures_of(scenario: &Scenario, deployment: &Deployment, options: &FleetOptions) -> Figures {
    let fleet = scenarios::run(scenario, deployment, Policy::Fair, options);
    scenarios::figures(scenario, &fleet)
}

//! Measures the policies under each scenario and prints one table.

use bergamotpitch_core::settings::Policy;
use bergamotpitch_proof::deployments::{self, Deployment};
use bergamotpitch_proof::loops::FleetOptions;
use bergamotpitch_proof::scenarios::{self, Figures, Scenario};

fn main() {
    for deployment in [deployments::blomakerfi(), deployments::verkeersbesluit()] {
        println!("{}", deployment.name);
        println!(
            "{:<26}{:>9}{:>9}{:>9}{:>9}{:>7}{:>7}{:>7}{:>7}{:>8}{:>8}{:>8}{:>8}{:>7}",
            "scenario",
            "gap fc",
            "gap lf",
            "gap fair",
            "bound",
            "ut fc",
            "ut lf",
            "ut fr",
            "after",
            "domain",
            "cross",
            "highest",
            "shares",
            "wait"
        );
        let rows: Vec<_> = scenarios::all()
            .into_iter()
            .map(|scenario| {
                let deployment = deployment.clone();
                std::thread::spawn(move || measure(&scenario, &deployment))
            })
            .collect();
        for row in rows {
            println!("{}", row.join().expect("a measurement does not panic"));
        }
    }
}

fn measure(scenario: &Scenario, deployment: &Deployment) -> String {
    let of = |policy| -> Figures {
        let fleet = scenarios::run(scenario, deployment, policy, &FleetOptions::default());
        scenarios::figures(scenario, &fleet)
    };
    let first = of(Policy::FirstCome);
    let local = of(Policy::LocalFair);
    let fair = of(Policy::Fair);
    format!(
        "{:<26}{:>9.0}{:>9.0}{:>9.0}{:>9.0}{:>7.1}{:>7.1}{:>7.1}{:>7.1}{:>8.0}{:>8.0}{:>8.0}{:>8.0}{:>7.1}",
        scenario.name,
        first.gap,
        local.gap,
        fair.gap,
        fair.bound,
        first.utilisation * 100.0,
        local.utilisation * 100.0,
        fair.utilisation * 100.0,
        fair.utilisation_after * 100.0,
        fair.domain_bytes,
        fair.cross_bytes,
        fair.cross_bytes_highest,
        fair.share_bytes_highest,
        fair.longest_wait_s,
    )
}

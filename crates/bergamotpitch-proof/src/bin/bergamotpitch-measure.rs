//! Measures the chosen policy beside the baselines under each scenario, prints one table for each
//! deployment, and fails when a promise of the table does not hold.

use std::process::ExitCode;
use std::time::Duration;

use bergamotpitch_core::settings::Policy;
use bergamotpitch_proof::deployments::{self, Deployment};
use bergamotpitch_proof::loops::FleetOptions;
use bergamotpitch_proof::scenarios::{self, Figures, Scenario};

/// Least utilisation, in [0, 1].
const UTILISATION: f64 = 0.97;

/// Most bytes a second that an instance may send across regions.
const CROSS_BYTES: f64 = 500.0;

/// Part of the local fair queue's gap that a steady overload may have.
const STEADY_PART: f64 = 0.25;

struct Row {
    scenario: Scenario,
    first: Figures,
    local: Figures,
    fair: Figures,
}

fn main() -> ExitCode {
    let flags = xflags::parse_or_exit! {
        /// Seed of workload and links; 1 unless given.
        optional --seed seed: u64
        /// Measures the depth of the windows and the placement by prefix instead.
        optional --curves
    };
    let options = FleetOptions { seed: flags.seed.unwrap_or(1), ..FleetOptions::default() };
    println!("seed {}", options.seed);
    if flags.curves {
        print_curves(&options);
        return ExitCode::SUCCESS;
    }
    let mut broken = Vec::new();
    for deployment in [deployments::blomakerfi(), deployments::verkeersbesluit()] {
        println!("\n{}", deployment.name);
        println!("{}", heading());
        let threads: Vec<_> = scenarios::all()
            .into_iter()
            .map(|scenario| {
                let (deployment, options) = (deployment.clone(), options.clone());
                std::thread::spawn(move || measure(scenario, &deployment, &options))
            })
            .collect();
        for thread in threads {
            let row = thread.join().expect("a measurement does not panic");
            println!("{}", line(&row));
            broken.extend(
                broken_promises(&row).map(|promise| {
                    format!("{}, {}: {promise}", deployment.name, row.scenario.name)
                }),
            );
        }
    }
    println!();
    for promise in &broken {
        println!("broken: {promise}");
    }
    if broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn measure(scenario: Scenario, deployment: &Deployment, options: &FleetOptions) -> Row {
    let of = |policy| {
        let fleet = scenarios::run(&scenario, deployment, policy, options);
        scenarios::figures(&scenario, &fleet)
    };
    let (first, local, fair) = (of(Policy::FirstCome), of(Policy::LocalFair), of(Policy::Fair));
    Row { scenario, first, local, fair }
}

fn broken_promises(row: &Row) -> impl Iterator<Item = &'static str> {
    let is_steady = row.scenario.schedule.is_empty();
    let fair = &row.fair;
    let promises = [
        (fair.gap <= fair.bound, "the gap is above its bound"),
        (
            !is_steady || fair.gap <= row.local.gap * STEADY_PART,
            "the gap is above a quarter of the local fair queue's",
        ),
        (!is_steady || UTILISATION <= fair.utilisation, "utilisation is below 97%"),
        (
            UTILISATION <= fair.utilisation_after,
            "utilisation is below 97% from 5 s after the last fault on",
        ),
        (
            fair.cross_bytes_highest < CROSS_BYTES,
            "an instance sends 500 B/s or more across regions",
        ),
    ];
    promises.into_iter().filter(|(holds, _)| !holds).map(|(_, promise)| promise)
}

fn heading() -> String {
    let gaps = "gap in cost units a share: first come, local fair, fair, bound";
    let uses = "utilisation in %: first come, local fair, fair, fair 5 s after";
    let bytes = "B/s an instance: in domain, across, highest";
    format!("{:<26} {gaps} | {uses} | {bytes} | longest wait in s", "scenario")
}

fn line(row: &Row) -> String {
    let (first, local, fair) = (&row.first, &row.local, &row.fair);
    format!(
        "{:<26}{:>9.0}{:>9.0}{:>9.0}{:>9.0} |{:>6.1}{:>6.1}{:>6.1}{:>6.1} |{:>6.0}{:>6.0}{:>6.0} |{:>5.1}",
        row.scenario.name,
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
        fair.longest_wait_s,
    )
}

fn print_curves(options: &FleetOptions) {
    let scenario = scenarios::steady(60);
    let deployment = deployments::blomakerfi();
    let run = |options: &FleetOptions| {
        let fleet = scenarios::run(&scenario, &deployment, Policy::Fair, options);
        scenarios::figures(&scenario, &fleet)
    };
    println!("\ndepth of the windows   gap  utilisation  wait inside p95 in s");
    for depth in [0, 1, 2, 3, 4, 8, 16] {
        let mut options = options.clone();
        options.control.window_depth_requests = depth;
        let figures = run(&options);
        println!(
            "{depth:>20}{:>7.0}{:>12.1}%{:>12.2}",
            figures.gap,
            figures.utilisation * 100.0,
            figures.held_p95_s
        );
    }
    println!("\nslots that the sheet declares, of 16   gap  utilisation");
    for slots in [8, 12, 16, 20, 24, 32] {
        let mut deployment = deployment.clone();
        for upstream in &mut deployment.sheet.upstreams {
            if upstream.slots == deployments::ENGINE_SLOTS {
                upstream.slots = slots;
            }
        }
        let options =
            FleetOptions { engine_slots: Some(deployments::ENGINE_SLOTS), ..options.clone() };
        let fleet = scenarios::run(&scenario, &deployment, Policy::Fair, &options);
        let figures = scenarios::figures(&scenario, &fleet);
        println!("{slots:>36}{:>7.0}{:>12.1}%", figures.gap, figures.utilisation * 100.0);
    }
    println!("\nplacement by prefix   hits   gap  utilisation  requests served");
    for prefix_placement in [false, true] {
        let mut options = options.clone();
        options.control.prefix_placement = prefix_placement;
        let figures = run(&options);
        println!(
            "{prefix_placement:>19}{:>6.1}%{:>7.0}{:>12.1}%{:>12}",
            figures.prefix_hits * 100.0,
            figures.gap,
            figures.utilisation * 100.0,
            figures.ended
        );
    }
    println!("\ntime between share messages in ms   gap  utilisation  B/s in domain");
    for interval_ms in [20, 50, 100, 200, 500, 1_000] {
        let mut options = options.clone();
        options.control.share_interval = Duration::from_millis(interval_ms);
        options.control.share_spacing = Duration::from_millis(interval_ms / 5);
        let figures = run(&options);
        println!(
            "{interval_ms:>33}{:>7.0}{:>12.1}%{:>12.0}",
            figures.gap,
            figures.utilisation * 100.0,
            figures.domain_bytes
        );
    }
    println!("\nbytes a second across regions   gap  utilisation");
    for budget in [100, 200, 400, 800, 1_600] {
        let mut options = options.clone();
        options.control.cross_bytes_per_second = budget;
        let figures = run(&options);
        println!("{budget:>29}{:>7.0}{:>12.1}%", figures.gap, figures.utilisation * 100.0);
    }
    println!("\nslack in requests   gap  utilisation  B/s in domain");
    for slack in [0.25, 0.5, 1.0, 2.0, 4.0] {
        let mut options = options.clone();
        options.control.slack_requests = slack;
        let figures = run(&options);
        println!(
            "{slack:>17}{:>7.0}{:>12.1}%{:>12.0}",
            figures.gap,
            figures.utilisation * 100.0,
            figures.domain_bytes
        );
    }
}

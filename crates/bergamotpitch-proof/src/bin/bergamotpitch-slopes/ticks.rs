//! Ticks: time of a control step and bytes sent, against the sizes of a failure domain.

use std::time::Duration;

use bergamotpitch_proof::slopes::{Point, Slope, repeated, slope_of};

use crate::scenes::{Cost, Scene, run};

const WARM_UP: Duration = Duration::from_millis(1_600);
const MEASURED: Duration = Duration::from_secs(3);

/// `Sweep` varies one size of a scene.
struct Sweep {
    variable: &'static str,
    sizes: [usize; 4],
    scene: fn(usize) -> Scene,
}

/// `measure` sweeps teams, backlogged teams, peers, engines, request rate and domains.
pub fn measure(limit: Duration) -> Vec<Slope> {
    let sweeps = [
        Sweep {
            variable: "teams",
            sizes: [812, 1_625, 3_250, 6_500],
            scene: |teams| Scene { teams, backlogged: 80, ..Scene::default() },
        },
        Sweep {
            variable: "backlogged",
            sizes: [81, 162, 325, 650],
            scene: |backlogged| Scene { backlogged, ..Scene::default() },
        },
        Sweep {
            variable: "peers",
            sizes: [6, 12, 24, 47],
            scene: |routers| Scene { routers, engines: 347 * routers / 47, ..Scene::default() },
        },
        Sweep {
            variable: "engines",
            sizes: [44, 87, 174, 347],
            scene: |engines| Scene { engines, ..Scene::default() },
        },
        Sweep {
            variable: "requests_per_second",
            sizes: [1, 2, 4, 8],
            scene: |parts| Scene {
                run_time: Duration::from_millis(8_700 * 8 / parts as u64),
                ..Scene::default()
            },
        },
        Sweep {
            variable: "domains",
            sizes: [2, 4, 8, 17],
            scene: |domains| Scene {
                domains,
                regions: domains.min(7),
                routers: 5,
                engines: 37,
                teams: 650,
                backlogged: 65,
                ..Scene::default()
            },
        },
    ];
    sweeps.iter().flat_map(|sweep| measure_sweep(sweep, limit)).collect()
}

fn measure_sweep(sweep: &Sweep, limit: Duration) -> Vec<Slope> {
    let mut steps = Vec::new();
    let mut tails = Vec::new();
    let mut bytes = Vec::new();
    let mut most = Vec::new();
    let mut far = Vec::new();
    for number in sweep.sizes {
        let scene = (sweep.scene)(number);
        let cost = run(&scene, WARM_UP, MEASURED, limit);
        tell(sweep.variable, number, &scene, &cost);
        let size = match sweep.variable {
            "requests_per_second" => scene.requests_per_second(),
            _ => number as f64,
        };
        let single = |value| Point { size, value, spread_percent: 0.0 };
        steps.push(repeated(size, cost.step_us.clone()));
        tails.push(single(cost.step_p99_us));
        bytes.push(single(cost.mean_bytes));
        most.push(single(cost.most_bytes));
        far.push(single(cost.far_bytes));
    }
    let fixed = fixed_of(sweep);
    let name = |what: &str| format!("{what}_by_{}", sweep.variable);
    let slope = |what: &str, unit: &str, points| {
        slope_of(&name(what), sweep.variable, unit, fixed.clone(), points)
    };
    vec![
        slope("step_us", "us", steps),
        slope("step_p99_us", "us", tails),
        slope("sent_bytes", "bytes/s", bytes),
        slope("most_sent_bytes", "bytes/s", most),
        slope("far_sent_bytes", "bytes/s", far),
    ]
}

fn fixed_of(sweep: &Sweep) -> String {
    let scene = (sweep.scene)(sweep.sizes[3]);
    format!(
        "at the largest: {} domains, {} routers and {} engines each, {} teams, {} backlogged",
        scene.domains, scene.routers, scene.engines, scene.teams, scene.backlogged
    )
}

fn tell(variable: &str, number: usize, scene: &Scene, cost: &Cost) {
    let kinds: Vec<String> =
        cost.kinds.iter().map(|(kind, bytes)| format!("{kind} {bytes:.0}")).collect();
    eprintln!(
        "{variable} {number}: step {:.1} us (99%: {:.0}), {:.0} B/s sent (most {:.0}, far {:.0}), \
         {:.1} messages/s, {:.1} of {:.1} requests/s, {} steps; {}",
        cost.step_us.iter().sum::<f64>() / cost.step_us.len().max(1) as f64,
        cost.step_p99_us,
        cost.mean_bytes,
        cost.most_bytes,
        cost.far_bytes,
        cost.messages,
        cost.ended,
        scene.requests_per_second(),
        cost.steps,
        kinds.join(", "),
    );
}

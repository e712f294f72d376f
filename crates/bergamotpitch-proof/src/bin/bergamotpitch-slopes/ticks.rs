//! Ticks: time of a control step and bytes sent, against the sizes of a failure domain.

use std::time::Duration;

use bergamotpitch_proof::slopes::{Point, Slope, repeated, slope_of};
use peak_alloc::PeakAlloc;

use crate::costs::Cost;
use crate::scenes::{Scene, run};

/// `Sweep` varies one size of a scene.
struct Sweep {
    variable: &'static str,
    sizes: [usize; 4],
    scene: fn(usize) -> Scene,
}

type Column = (&'static str, &'static str, fn(&Cost) -> Vec<f64>);

/// What is kept of each scene: name, unit and values.
const COLUMNS: [Column; 9] = [
    ("step_us", "us", |cost| cost.step_us.clone()),
    ("most_step_us", "us", |cost| vec![cost.most_step_us]),
    ("step_p99_us", "us", |cost| vec![cost.step_p99_us]),
    ("sent_bytes", "bytes/s", |cost| vec![cost.mean_bytes]),
    ("most_sent_bytes", "bytes/s", |cost| vec![cost.most_bytes]),
    ("most_received_bytes", "bytes/s", |cost| vec![cost.most_received_bytes]),
    ("far_sent_bytes", "bytes/s", |cost| vec![cost.far_bytes]),
    ("messages", "messages/s", |cost| vec![cost.messages]),
    ("tables_kb", "kB", |cost| vec![cost.tables_kb]),
];

/// `measure` sweeps teams, backlogged teams, peers, engines, request rate and domains.
pub fn measure(heap: &PeakAlloc, limit: Duration) -> Vec<Slope> {
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
    sweeps.iter().flat_map(|sweep| measure_sweep(sweep, heap, limit)).collect()
}

fn measure_sweep(sweep: &Sweep, heap: &PeakAlloc, limit: Duration) -> Vec<Slope> {
    let mut columns: Vec<Vec<Point>> = vec![Vec::new(); COLUMNS.len()];
    for number in sweep.sizes {
        let scene = (sweep.scene)(number);
        let cost = run(&scene, heap, limit);
        tell(sweep.variable, number, &scene, &cost);
        let size = match sweep.variable {
            "requests_per_second" => scene.requests_per_second(),
            _ => number as f64,
        };
        for (column, (_, _, values)) in columns.iter_mut().zip(COLUMNS) {
            column.push(repeated(size, values(&cost)));
        }
    }
    let fixed = fixed_of(sweep);
    COLUMNS
        .into_iter()
        .zip(columns)
        .map(|((what, unit, _), points)| {
            let name = format!("{what}_by_{}", sweep.variable);
            slope_of(&name, sweep.variable, unit, fixed.clone(), points)
        })
        .collect()
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
        "{variable} {number}: step {:.1} us (most {:.1}, 99%: {:.0}), {:.0} B/s sent (most {:.0}, far \
         {:.0}, most received {:.0}), {:.1} messages/s, {:.0} kB, {:.1} of {:.1} requests/s, {} steps; {}",
        cost.step_us.iter().sum::<f64>() / cost.step_us.len().max(1) as f64,
        cost.most_step_us,
        cost.step_p99_us,
        cost.mean_bytes,
        cost.most_bytes,
        cost.far_bytes,
        cost.most_received_bytes,
        cost.messages,
        cost.tables_kb,
        cost.ended,
        scene.requests_per_second(),
        cost.steps,
        kinds.join(", "),
    );
}

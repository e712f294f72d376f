//! Takeovers: what it costs when the home of some services is lost.

use std::time::Duration;

use bergamotpitch_proof::slopes::{Point, Slope, repeated, slope_of};

use crate::costs::Meter;
use crate::scenes::{Scene, TICK, begin, tick};

/// Time before the loss.
const WARM_UP: Duration = Duration::from_millis(1_600);

/// Time after the loss that is looked at.
const AFTERWARDS: Duration = Duration::from_secs(4);

struct Takeover {
    extra_bytes: f64,
    largest_bytes: usize,
    unsent_messages: usize,
    without_home: Duration,
}

/// `measure` loses the busiest home, when every router has served all teams, at several sizes.
pub fn measure() -> Vec<Slope> {
    let mut columns: Vec<Vec<Point>> = vec![Vec::new(); 4];
    for teams in [812, 1_625, 3_250, 6_500] {
        let takeover = run(teams);
        eprintln!(
            "{teams} teams: {:.0} bytes more, largest message {} bytes, {} not sent, {:.2} s \
             without a home",
            takeover.extra_bytes,
            takeover.largest_bytes,
            takeover.unsent_messages,
            takeover.without_home.as_secs_f64(),
        );
        let row = [
            takeover.extra_bytes,
            takeover.largest_bytes as f64,
            takeover.unsent_messages as f64,
            takeover.without_home.as_secs_f64(),
        ];
        for (column, value) in columns.iter_mut().zip(row) {
            column.push(repeated(teams as f64, vec![value]));
        }
    }
    let fixed = "8 routers, 59 engines, 9 services; the router with most homes is lost";
    let names = [
        ("takeover_bytes", "bytes"),
        ("takeover_largest_bytes", "bytes"),
        ("takeover_unsent", "messages"),
        ("takeover_s", "s"),
    ];
    names
        .into_iter()
        .zip(columns)
        .map(|((name, unit), points)| slope_of(name, "teams", unit, fixed, points))
        .collect()
}

fn run(teams: usize) -> Takeover {
    let scene =
        Scene { routers: 8, engines: 59, teams, backlogged: teams / 10, ..Scene::default() };
    let mut run = begin(&scene);
    while run.now < WARM_UP {
        tick(&mut run);
    }
    // After some hours each router has served every team.
    for router in &mut run.routers {
        for service in run.services.clone() {
            let known = router.tables.leases.entry(service).or_default();
            for team in &run.teams {
                known.teams.entry(*team).or_default();
            }
        }
    }
    let before = bytes_until(&mut run, AFTERWARDS);
    let lost = (0..run.routers.len())
        .max_by_key(|index| run.routers[*index].tables.coordinators.len())
        .expect("there are routers");
    run.routers[lost].is_lost = true;
    let coordinators: Vec<_> = run.routers[lost].tables.coordinators.keys().copied().collect();
    for router in &mut run.routers {
        router.meter = Meter::default();
    }
    let started = run.now;
    let mut without_home = AFTERWARDS;
    while run.now < started + AFTERWARDS {
        tick(&mut run);
        let has_home = |service| {
            let live = run.routers.iter().filter(|router| !router.is_lost);
            live.filter_map(|router| router.tables.coordinators.get(service))
                .any(|coordinator| coordinator.recovered)
        };
        if without_home == AFTERWARDS && coordinators.iter().all(has_home) {
            without_home = run.now - started;
        }
    }
    let meters = || run.routers.iter().map(|router| &router.meter);
    let after: usize = meters().map(|meter| meter.sent_bytes).sum();
    let expected = before as f64 * (scene.routers - 1) as f64 / scene.routers as f64;
    Takeover {
        extra_bytes: (after as f64 - expected).max(0.0),
        largest_bytes: meters().map(|meter| meter.largest_bytes).max().unwrap_or(0),
        unsent_messages: meters().map(|meter| meter.unsent_messages).sum(),
        without_home,
    }
}

fn bytes_until(run: &mut crate::scenes::Run, time: Duration) -> usize {
    for router in &mut run.routers {
        router.meter = Meter::default();
    }
    let end = run.now + time;
    while run.now + TICK <= end {
        tick(run);
    }
    run.routers.iter().map(|router| router.meter.sent_bytes).sum()
}

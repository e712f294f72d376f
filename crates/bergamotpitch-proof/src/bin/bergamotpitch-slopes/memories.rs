//! Memories: bytes that a control state holds, against teams, engines and requests.

use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::inputs::Arrival;
use bergamotpitch_control::{Input, Tables, step};
use bergamotpitch_core::ids::{TeamId, id_of_name};
use bergamotpitch_core::sheets::AcceptedSheet;
use bergamotpitch_proof::slopes::{Point, Slope, slope_of};
use peak_alloc::PeakAlloc;

use crate::scenes::Scene;
use crate::sheets::large_sheet;

/// `measure` measures the sheet and the tables at several sizes.
pub fn measure(heap: &PeakAlloc) -> Vec<Slope> {
    let teams = [812, 1_625, 3_250, 6_500];
    let engines = [737, 1_475, 2_950, 5_900];
    let waiting = [2_000, 4_000, 8_000, 16_000];
    let by_teams: Vec<Point> = teams.iter().map(|teams| point(heap, *teams, 0, *teams)).collect();
    let by_engines: Vec<Point> =
        engines.iter().map(|engines| point(heap, 0, *engines, *engines)).collect();
    let full = Scene::default();
    let fixed = format!("17 domains, {} services, the sheet and a control state", full.services);
    vec![
        slope_of("state_kb_by_teams", "teams", "kB", format!("{fixed}, no engine"), by_teams),
        slope_of("state_kb_by_engines", "engines", "kB", format!("{fixed}, no team"), by_engines),
        slope_of(
            "state_kb_by_waiting",
            "waiting requests",
            "kB",
            "650 teams, one engine; bodies are not counted",
            waiting.iter().map(|count| waiting_point(heap, *count)).collect(),
        ),
    ]
}

fn waiting_point(heap: &PeakAlloc, count: usize) -> Point {
    let sheet = large_sheet(1, 1, 1, 1, 650);
    let teams: Vec<TeamId> = sheet.teams.iter().map(|team| id_of_name(&team.name)).collect();
    let service = id_of_name(&sheet.services[0].name);
    let accepted = Arc::new(AcceptedSheet { version: 1, sheet });
    let mut tables = Tables::default();
    drop(step(&mut tables, Duration::ZERO, vec![Input::SheetLearned(accepted)]));
    let before = heap.current_usage();
    for number in 0..count {
        let arrival = Arrival {
            request: number as u64,
            team: teams[number % teams.len()],
            service,
            body_bytes: 1,
            known_cost: 400,
            prefix: number as u64,
            deadline: Duration::from_secs(600),
            repeatable: true,
        };
        drop(step(&mut tables, Duration::ZERO, vec![Input::Arrived(arrival)]));
    }
    let bytes = heap.current_usage() - before;
    assert!(count <= tables.requests.len() + 1, "requests were refused");
    Point { size: count as f64, value: bytes as f64 / 1e3, spread_percent: 0.0 }
}

fn point(heap: &PeakAlloc, teams: usize, engines: usize, size: usize) -> Point {
    let before = heap.current_usage();
    let sheet = large_sheet(17, 7, 9, engines, teams);
    let accepted = Arc::new(AcceptedSheet { version: 1, sheet });
    let mut tables = Tables::default();
    drop(step(&mut tables, Duration::ZERO, vec![Input::SheetLearned(accepted)]));
    let bytes = heap.current_usage() - before;
    drop(tables);
    Point { size: size as f64, value: bytes as f64 / 1e3, spread_percent: 0.0 }
}

//! Sheets: a sheet of any size, and what it costs to read, check, spread and put in force.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamotpitch_control::{Input, Tables, step};
use bergamotpitch_core::sheets::{
    AcceptedSheet, DomainEntry, ServiceEntry, ServiceKind, Sheet, TeamEntry, UpstreamEntry,
    parse_sheet,
};
use bergamotpitch_proof::slopes::{Point, Slope, repeated, slope_of};
use bergamotpitch_wire::histories::{SheetHistory, observe, packed_body, sheet_of_body};

const REPEATS: usize = 5;

/// `large_sheet` makes a sheet of a size, with names as operators would write them.
pub fn large_sheet(
    domains: usize,
    regions: usize,
    services: usize,
    engines: usize,
    teams: usize,
) -> Sheet {
    let domain = |index: usize| format!("failure-domain-{:02}", index % domains);
    let service = |index: usize| format!("drafting-model-{}", index % services);
    Sheet {
        domains: (0..domains)
            .map(|index| DomainEntry {
                name: domain(index),
                region: format!("r{}", index % regions),
            })
            .collect(),
        services: (0..services).map(|index| service_entry(service(index))).collect(),
        upstreams: (0..engines)
            .map(|index| UpstreamEntry {
                name: format!("engine-{index:05}"),
                // Each domain has engines of every service.
                service: service(index / domains),
                domain: domain(index),
                address: std::net::SocketAddr::from((
                    [10, 1, (index / 250) as u8, (index % 250) as u8],
                    8000,
                )),
                slots: 76,
                checks_fencing: index % 2 == 0,
                model: Some(format!("weights-of-model-{}", index % services)),
            })
            .collect(),
        teams: (0..teams).map(|index| team_entry(index, services, &service)).collect(),
    }
}

fn service_entry(name: String) -> ServiceEntry {
    ServiceEntry {
        name,
        kind: ServiceKind::Engine,
        prompt_token_cost: 1,
        generated_token_cost: 4,
        call_cost: 1,
        first_estimate_cost: 400,
        repeatable: true,
    }
}

fn team_entry(index: usize, services: usize, service: &dyn Fn(usize) -> String) -> TeamEntry {
    TeamEntry {
        name: format!("franchise-office-{index:04}"),
        share: 1 + (index % 7) as u32,
        key_hash: blake3::hash(&index.to_le_bytes()).to_hex().to_string(),
        services: (0..services).map(service).collect(),
        queue_limit_requests: 256,
        queue_limit_bytes: 16 << 20,
        retry_budget_percent: 10,
    }
}

/// `measure` measures sheets of several sizes, up to that of two years from now.
pub fn measure() -> Vec<Slope> {
    let sizes = [812, 1_625, 3_250, 6_500];
    let mut columns: Vec<Vec<Point>> = vec![Vec::new(); 9];
    for teams in sizes {
        let sheet = large_sheet(17, 7, 9, teams * 5_900 / 6_500, teams);
        let size = teams as f64;
        let text = serde_json::to_string(&sheet).expect("a sheet is JSON");
        let parse = timed(REPEATS, || parse_sheet("sheet.json", &text).map(drop).is_ok());
        let accepted = Arc::new(AcceptedSheet { version: 1, sheet });
        let in_force = timed(REPEATS, || {
            let mut tables = Tables::default();
            let input = Input::SheetLearned(Arc::clone(&accepted));
            !step(&mut tables, Duration::ZERO, vec![input]).is_empty()
        });
        let mut history = SheetHistory::default();
        observe(&mut history, Some(Arc::clone(&accepted)));
        let whole = packed_body(&mut history, 0).expect("a sheet can be encoded");
        let packed = timed(REPEATS, || {
            let mut history = SheetHistory::default();
            observe(&mut history, Some(Arc::clone(&accepted)));
            packed_body(&mut history, 0).is_ok()
        });
        let opened = timed(REPEATS, || sheet_of_body(&whole, None).is_ok());
        let changed = Arc::new(changed_sheet(&accepted));
        let observed = timed(REPEATS, || {
            let mut history = SheetHistory::default();
            observe(&mut history, Some(Arc::clone(&accepted)));
            observe(&mut history, Some(Arc::clone(&changed)));
            true
        });
        observe(&mut history, Some(Arc::clone(&changed)));
        let change = packed_body(&mut history, 1).expect("a change can be encoded");
        let applied = timed(REPEATS, || {
            sheet_of_body(&change, Some(&accepted)).is_ok_and(|sheet| sheet.version == 2)
        });
        let row = [
            repeated(size, vec![text.len() as f64 / 1e3]),
            repeated(size, vec![whole.len() as f64 / 1e3]),
            repeated(size, vec![change.len() as f64]),
            repeated(size, parse),
            repeated(size, packed),
            repeated(size, opened),
            repeated(size, observed),
            repeated(size, applied),
            repeated(size, in_force),
        ];
        for (column, point) in columns.iter_mut().zip(row) {
            column.push(point);
        }
    }
    let names = [
        ("sheet_text_kb", "kB"),
        ("sheet_packed_kb", "kB"),
        ("sheet_change_bytes", "bytes"),
        ("sheet_parse_ms", "ms"),
        ("sheet_pack_ms", "ms"),
        ("sheet_open_ms", "ms"),
        ("sheet_observe_change_ms", "ms"),
        ("sheet_apply_change_ms", "ms"),
        ("sheet_in_force_ms", "ms"),
    ];
    let fixed = "17 domains, 9 services, 0.91 upstreams for each team";
    names
        .into_iter()
        .zip(columns)
        .map(|((name, unit), points)| slope_of(name, "teams", unit, fixed, points))
        .collect()
}

// One change as operators make them: a team gets another share, another one joins.
fn changed_sheet(accepted: &AcceptedSheet) -> AcceptedSheet {
    let mut changed = AcceptedSheet { version: accepted.version + 1, ..accepted.clone() };
    let teams = &mut changed.sheet.teams;
    teams[7].share += 1;
    let mut joined = teams[8].clone();
    joined.name = "franchise-office-joined".to_owned();
    joined.key_hash = blake3::hash(b"joined").to_hex().to_string();
    teams.push(joined);
    changed
}

/// `timed` repeats work that must succeed and returns the time of each, in milliseconds.
pub fn timed(repeats: usize, mut work: impl FnMut() -> bool) -> Vec<f64> {
    (0..repeats)
        .map(|_| {
            let started = Instant::now();
            assert!(work(), "the measured work failed");
            started.elapsed().as_secs_f64() * 1e3
        })
        .collect()
}

//! Sheets: a sheet of any size, and what it costs to read, check, spread and put in force.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamotpitch_control::{Input, Tables, step};
use bergamotpitch_core::sheets::{
    AcceptedSheet, DomainEntry, ServiceEntry, ServiceKind, Sheet, TeamEntry, UpstreamEntry,
    parse_sheet,
};
use bergamotpitch_proof::slopes::{Point, Slope, repeated, slope_of};
use bergamotpitch_wire::Keys;
use bergamotpitch_wire::sheets::{answer_request, open_reply, seal_request};

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
pub fn measure(scale: usize) -> Vec<Slope> {
    let sizes = [812, 1_625, 3_250, 6_500];
    let mut columns: Vec<Vec<Point>> = vec![Vec::new(); 6];
    for teams in sizes {
        let sheet = large_sheet(17, 7, 9, teams * 5_900 / 6_500, teams);
        let size = teams as f64;
        let text = serde_json::to_string(&sheet).expect("a sheet is JSON");
        let repeats = (5 / scale).max(1);
        let parse = timed(repeats, || parse_sheet("sheet.json", &text).map(drop).is_ok());
        let accepted = Arc::new(AcceptedSheet { version: 1, sheet });
        let in_force = timed(repeats, || {
            let mut tables = Tables::default();
            let input = Input::SheetLearned(Arc::clone(&accepted));
            !step(&mut tables, Duration::ZERO, vec![input]).is_empty()
        });
        let keys = Keys::from_shared_key("a secret for the bench");
        let peer = std::net::SocketAddr::from(([127, 0, 0, 1], 7));
        let request = seal_request(&keys, peer, 1, 1, 1);
        let answer = || answer_request(&keys, peer, 1, &request, Some(&accepted));
        let reply = answer().expect("the sheet is small enough");
        let answered = timed(repeats, || answer().is_ok());
        let opened = timed(repeats, || open_reply(&keys, &request, &reply).is_ok());
        let row = [
            repeated(size, vec![text.len() as f64 / 1e3]),
            repeated(size, vec![reply.sheet.len() as f64 / 1e3]),
            repeated(size, parse),
            repeated(size, answered),
            repeated(size, opened),
            repeated(size, in_force),
        ];
        for (column, point) in columns.iter_mut().zip(row) {
            column.push(point);
        }
    }
    let names = [
        ("sheet_text_kb", "kB"),
        ("sheet_sent_kb", "kB"),
        ("sheet_parse_ms", "ms"),
        ("sheet_answer_ms", "ms"),
        ("sheet_open_ms", "ms"),
        ("sheet_in_force_ms", "ms"),
    ];
    let fixed = "17 domains, 9 services, 0.91 upstreams for each team";
    names
        .into_iter()
        .zip(columns)
        .map(|((name, unit), points)| slope_of(name, "teams", unit, fixed, points))
        .collect()
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

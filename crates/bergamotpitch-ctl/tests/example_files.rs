//! The committed files of both deployments pass their checks and fit each other.

use bergamotpitch_core::sheets::{ServiceKind, Sheet, parse_sheet};
use bergamotpitch_ctl::keys::hash_key;
use bergamotpitch_load::experiments::{Experiment, parse_experiment};
use bergamotpitch_standin::fleets::{FleetOptions, parse_fleet_options};

const DEPLOYMENTS: [&str; 2] = ["blomakerfi", "verkeersbesluit"];

fn example(kind: &str, deployment: &str) -> (String, String) {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    let file = format!("{folder}/{kind}.{deployment}.jsonc");
    let text = std::fs::read_to_string(&file).unwrap();
    (file, text)
}

fn sheet(deployment: &str) -> Sheet {
    let (file, text) = example("sheet", deployment);
    parse_sheet(&file, &text).unwrap()
}

fn fleet(deployment: &str) -> FleetOptions {
    let (file, text) = example("fleet", deployment);
    parse_fleet_options(&file, &text).unwrap()
}

fn experiment(deployment: &str) -> Experiment {
    let (file, text) = example("experiment", deployment);
    parse_experiment(&file, &text).unwrap()
}

#[test]
fn sizes_of_today() {
    for deployment in DEPLOYMENTS {
        let sheet = sheet(deployment);
        let count = |kind: ServiceKind| {
            let services = sheet.services.iter().filter(|service| service.kind == kind);
            let names: Vec<&str> = services.map(|service| service.name.as_str()).collect();
            sheet.upstreams.iter().filter(|one| names.contains(&one.service.as_str())).count()
        };
        assert_eq!((sheet.domains.len(), sheet.teams.len()), (3, 16), "{deployment}");
        assert_eq!((count(ServiceKind::Engine), count(ServiceKind::Plain)), (9, 3), "{deployment}");
        assert_eq!(experiment(deployment).routers.len(), 8, "{deployment}");
    }
}

#[test]
fn sheet_and_standins() {
    for deployment in DEPLOYMENTS {
        let fleet = fleet(deployment);
        let engines = fleet.engines.iter().map(|engine| {
            (engine.name.as_str(), engine.address, engine.domain.as_str(), engine.batch.slots)
        });
        let services = fleet.services.iter().map(|service| {
            (service.name.as_str(), service.address, service.domain.as_str(), service.slots)
        });
        let mut standins: Vec<_> = engines.chain(services).collect();
        let sheet = sheet(deployment);
        let mut declared: Vec<_> = sheet
            .upstreams
            .iter()
            .map(|one| (one.name.as_str(), one.address, one.domain.as_str(), one.slots))
            .collect();
        standins.sort_unstable();
        declared.sort_unstable();
        assert_eq!(standins, declared, "{deployment}");
    }
}

#[test]
fn sheet_and_load() {
    for deployment in DEPLOYMENTS {
        let sheet = sheet(deployment);
        for stream in experiment(deployment).streams {
            let team = sheet.teams.iter().find(|team| team.name == stream.team).unwrap();
            assert_eq!(team.share, stream.share, "{}", stream.team);
            assert_eq!(team.key_hash, hash_key(&stream.key), "{}", stream.team);
            assert!(team.services.contains(&stream.service), "{}", stream.team);
            let service = sheet.services.iter().find(|one| one.name == stream.service).unwrap();
            assert_eq!(service.kind, stream.kind, "{}", stream.team);
        }
    }
}

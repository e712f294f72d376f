//! Requests whose data must stay in some regions.

use std::time::Duration;

use bergamotpitch_control::traffic::admissions::{Options, Traffic};
use bergamotpitch_control::traffic::catalogs::{CacheLink, Catalog, Route, RouteKind, Team};
use bergamotpitch_control::traffic::facts::{PromptPart, RequestFacts};
use bergamotpitch_control::traffic::placement_requests::{Decision, PlacementRequest, Scope};
use bergamotpitch_control::traffic::registries::Registration;
use bergamotpitch_control::traffic::residencies::AllowedRegions;

const NOW: Duration = Duration::from_secs(1);

/// An instance in the south; `unnamed` stands in no region that the settings name.
fn traffic(domains: &[&str]) -> Traffic {
    let regions = [("north-a", "north"), ("north-b", "north"), ("south-a", "south")];
    let options = Options {
        domain: "south-a".to_owned(),
        regions: regions
            .iter()
            .map(|(domain, region)| ((*domain).to_owned(), (*region).to_owned()))
            .collect(),
        ..Options::default()
    };
    let mut traffic = Traffic::new(options);
    for domain in domains {
        traffic.registry.listed(Registration {
            id: format!("engine-{domain}"),
            born_ms: None,
            service: "engines".to_owned(),
            address: "127.0.0.1:1".parse().unwrap(),
            domain: (*domain).to_owned(),
            slots: 4,
            is_leaving: false,
            cold_left: Some(Duration::ZERO),
            software: None,
        });
    }
    traffic
}

fn placement_request<'a>(
    facts: &'a RequestFacts,
    regions: &'a AllowedRegions,
) -> PlacementRequest<'a> {
    PlacementRequest {
        service: "engines",
        facts,
        team: None,
        target: Duration::from_millis(400),
        elapsed: Duration::ZERO,
        tried: &[],
        memory_tokens: 500_000,
        pool_tokens_per_s: None,
        cache_link: Some(CacheLink { token_bytes: 250_000, megabits_per_s: 400_000.0 }),
        target_gap: None,
        regions,
        software: None,
        digest: None,
        scope: Scope::Fleet,
    }
}

/// Engines of the own failure domain are idle and may not have the request. Whatever is busy, it goes
/// to its own region or nowhere.
#[test]
fn own_region_only() {
    let mut traffic = traffic(&["north-a", "north-b", "south-a", "unnamed"]);
    let facts = RequestFacts { prompt_tokens: 900, ..RequestFacts::default() };
    let north = AllowedRegions::named(["north"]);
    let request = placement_request(&facts, &north);
    let mut sent = 0;
    for number in 0..40 {
        let decision = traffic.choose_upstream(&request, NOW);
        let Decision::Send(placement) = decision else {
            assert!(matches!(decision, Decision::Full { .. }), "{decision:?}");
            break;
        };
        let upstream = traffic.registry.get(placement.upstream).unwrap();
        assert!(upstream.registration.domain.starts_with("north"), "{upstream:?}");
        traffic.send(number, &placement, &request, NOW);
        sent += 1;
    }
    assert!((2..40).contains(&sent), "{sent}");
}

/// The region's upstreams are gone. A request that is served elsewhere then has left its region.
#[test]
fn region_without_upstreams() {
    let mut traffic = traffic(&["south-a", "unnamed"]);
    let facts = RequestFacts { prompt_tokens: 900, ..RequestFacts::default() };
    for regions in [AllowedRegions::named(["north"]), AllowedRegions::Only(Vec::new())] {
        let decision = traffic.choose_upstream(&placement_request(&facts, &regions), NOW);
        assert!(matches!(decision, Decision::NoUpstream(_)), "{decision:?}");
    }
}

/// An engine elsewhere read the start of the prompt. Fetched from there, parts of the prompt cross the
/// border of the region in an engine's memory.
#[test]
fn prefix_kept_elsewhere() {
    let mut traffic = traffic(&["north-a", "south-a"]);
    let prefix = vec![PromptPart { id: 1, tokens: 5_000 }, PromptPart { id: 2, tokens: 100 }];
    let facts = RequestFacts { prompt_tokens: 5_100, prefix, ..RequestFacts::default() };
    let south = AllowedRegions::named(["south"]);
    let first = placement_request(&facts, &south);
    let Decision::Send(placement) = traffic.choose_upstream(&first, NOW) else { panic!() };
    traffic.send(1, &placement, &first, NOW);

    let north = AllowedRegions::named(["north"]);
    let restricted = placement_request(&facts, &north);
    let Decision::Send(placement) = traffic.choose_upstream(&restricted, NOW) else { panic!() };
    assert_eq!(placement.fetch_from, None);
    let unrestricted = PlacementRequest { regions: &AllowedRegions::Any, ..restricted };
    let tried = [first_engine(&traffic)];
    let unrestricted = PlacementRequest { tried: &tried, ..unrestricted };
    let Decision::Send(placement) = traffic.choose_upstream(&unrestricted, NOW) else { panic!() };
    assert!(placement.fetch_from.is_some());
}

fn first_engine(traffic: &Traffic) -> u32 {
    traffic.registry.key_of("engine-south-a").unwrap()
}

/// A newer configuration narrows a route, then drops it. Requests that arrived before must not be sent
/// where the newer one forbids it, and a route that is gone must not become unrestricted.
#[test]
fn newer_configuration() {
    let catalog = |version, regions: Option<AllowedRegions>| {
        let routes = regions.into_iter().map(route).collect();
        let team = Team { allowed_regions: AllowedRegions::named(["north", "south"]), ..team() };
        Catalog::new(version, routes, vec![], vec![team])
    };
    let arrived = route(AllowedRegions::named(["north", "south"]));
    let narrowed = catalog(2, Some(AllowedRegions::named(["north"])));
    let north = AllowedRegions::named(["north"]);
    assert_eq!(narrowed.allowed_regions(&arrived, Some(&team())), north);
    let widened = catalog(3, Some(AllowedRegions::Any));
    let both = AllowedRegions::named(["north", "south"]);
    assert_eq!(widened.allowed_regions(&arrived, Some(&team())), both);
    assert_eq!(widened.allowed_regions(&arrived, None), AllowedRegions::Any);
    let dropped = catalog(4, None);
    assert_eq!(dropped.allowed_regions(&arrived, None), arrived.allowed_regions);
}

fn route(allowed_regions: AllowedRegions) -> Route {
    Route {
        name: "drafts".to_owned(),
        host: "florist.example".to_owned(),
        prefix: "/drafts/".to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(200),
        target_gap: None,
        priority: 1,
        attempts_max: 1,
        is_public: true,
        is_resumable: false,
        targets: vec![],
        allowed_regions,
    }
}

fn team() -> Team {
    let allowed_regions = AllowedRegions::Any;
    Team { name: "florists".to_owned(), priority: None, keys: vec![], allowed_regions }
}

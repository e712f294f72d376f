//! Routes are chosen by host and longest prefix, and split between services by weight.

use std::time::Duration;

use bergamotpitch_control::traffic::catalogs::{Catalog, Route, RouteKind, Target, Team};
use bergamotpitch_control::traffic::residencies::AllowedRegions;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(200),
        target_gap: None,
        priority: 1,
        attempts_max: 2,
        is_public: false,
        is_resumable: false,
        targets: vec![Target { service: "crm".to_owned(), weight: 1 }],
        allowed_regions: AllowedRegions::Any,
    }
}

fn team(name: &str, keys: &[&str]) -> Team {
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    Team { name: name.to_owned(), priority: None, keys, allowed_regions: AllowedRegions::Any }
}

#[test]
fn longest_prefix() {
    let routes = vec![
        route("a", "x.example", "/a/"),
        route("ab", "x.example", "/a/b/"),
        route("y", "y", "/"),
    ];
    let catalog = Catalog::new(1, routes, vec![], vec![]);
    let name = |host: &str, path: &str| {
        catalog.route_of(host, path).map(|route| route.name.as_str()).unwrap_or("none")
    };
    assert_eq!(name("x.example", "/a/b/c"), "ab");
    assert_eq!(name("X.Example:8080", "/a/c"), "a");
    assert_eq!(name("x.example", "/ab"), "none");
    assert_eq!(name("z.example", "/a/"), "none");
    assert_eq!(name("y", "/anything"), "y");
}

#[test]
fn stable_split() {
    let mut split = route("split", "x", "/");
    split.targets = vec![
        Target { service: "old".to_owned(), weight: 90 },
        Target { service: "none".to_owned(), weight: 0 },
        Target { service: "new".to_owned(), weight: 10 },
    ];
    let mut new = 0;
    for hash in 0..1_000 {
        let first = split.target_of(hash);
        assert_eq!(first, split.target_of(hash), "a retry goes to another service");
        assert_ne!(first, Some("none"));
        new += usize::from(first == Some("new"));
    }
    assert_eq!(new, 100);
    split.targets.clear();
    assert_eq!(split.target_of(1), None);
}

#[test]
fn several_keys() {
    let teams = vec![team("florists", &["old", "new"]), team("councils", &["third"])];
    let catalog = Catalog::new(1, vec![], vec![], teams);
    assert!(catalog.has_teams());
    for key in ["old", "new"] {
        assert_eq!(catalog.team_of(key).map(|team| team.name.as_str()), Some("florists"));
    }
    assert!(catalog.team_of("fourth").is_none());
}

#[test]
fn repeatable_kinds() {
    let mut route = route("a", "x", "/");
    assert!(route.is_repeatable());
    route.kind = RouteKind::Unsafe;
    assert!(!route.is_repeatable());
    route.kind = RouteKind::Streaming;
    assert!(!route.is_repeatable());
    route.is_resumable = true;
    assert!(route.is_repeatable());
}

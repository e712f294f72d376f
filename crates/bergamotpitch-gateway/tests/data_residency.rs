//! Requests whose data must stay in some regions, from the callers' port to the upstreams.

mod common;

use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::catalogs::{Catalog, RouteKind, Team};
use bergamotpitch_control::traffic::registries::Registration;
use bergamotpitch_control::traffic::residencies::AllowedRegions;
use bergamotpitch_gateway::{Gateway, Options};
use common::{
    FakeUpstream, ask, catalog, launch, prompt, registration, request, route, run, whole,
};

/// A gateway in the domain `a` of the region `north`; `b` stands in `south`.
async fn start(upstreams: &[(&FakeUpstream, &str)], catalog: Catalog) -> (Rc<Gateway>, String) {
    let mut options = Options::default();
    for (domain, region) in [("a", "north"), ("b", "south")] {
        options.admission.regions.insert(domain.to_owned(), region.to_owned());
    }
    let (gateway, address) = launch(&[], catalog, options).await;
    for (index, (upstream, domain)) in upstreams.iter().enumerate() {
        let listed = registration(&format!("u{index}"), upstream.address);
        gateway.upstream_listed(Registration { domain: (*domain).to_owned(), ..listed });
    }
    (gateway, address.to_string())
}

fn restricted(version: u64, of_route: &[&str], of_team: AllowedRegions) -> Catalog {
    let known = catalog(version);
    let mut routes = vec![route("/safe/", RouteKind::Safe), route("/closed/", RouteKind::Safe)];
    for route in &mut routes {
        route.allowed_regions = AllowedRegions::named(of_route.iter().copied());
    }
    let team = Team {
        name: "florists".to_owned(),
        priority: None,
        keys: vec!["secret".to_owned()],
        allowed_regions: of_team,
    };
    Catalog::new(version, routes, known.services.values().cloned().collect(), vec![team])
}

async fn upstream() -> FakeUpstream {
    FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await
}

/// The region of a route has no upstream. Sent to the idle one of the own domain, the body has left
/// its region.
#[test]
fn no_upstream_in_region() {
    run(async {
        let north = upstream().await;
        let catalog = restricted(1, &["south"], AllowedRegions::Any);
        let (_gateway, address) = start(&[(&north, "a")], catalog).await;
        let address = address.parse().unwrap();
        let refused = ask(address, request("GET", "/safe/", "a")).await.unwrap();
        assert_eq!(refused.status, 503, "{}", refused.body);
        assert!(refused.body.contains("not_run"), "{}", refused.body);
        assert!(refused.headers.contains_key("retry-after"));
        assert_eq!(north.count(), 0);
    });
}

/// A configuration moves a route to another region while requests go on. Each that comes after it goes
/// to the new region, and a route that allows it again goes to the own domain again.
#[test]
fn moved_route() {
    run(async {
        let (north, south) = (upstream().await, upstream().await);
        let catalog = restricted(1, &["north"], AllowedRegions::Any);
        let (gateway, address) = start(&[(&north, "a"), (&south, "b")], catalog).await;
        let address = address.parse().unwrap();
        for (version, region, counts) in [(1, "north", (1, 0)), (2, "south", (1, 1))] {
            gateway.put_catalog(restricted(version, &[region], AllowedRegions::Any), "test");
            let answer = ask(address, request("GET", "/safe/", "a")).await.unwrap();
            assert_eq!(answer.status, 200);
            assert_eq!((north.count(), south.count()), counts);
        }
    });
}

/// Route and team have no region in common. No upstream may ever get the request, so it is refused at
/// once and with the reason, and does not wait for a place.
#[test]
fn nothing_in_common() {
    run(async {
        let (north, south) = (upstream().await, upstream().await);
        let catalog = restricted(1, &["north"], AllowedRegions::named(["south"]));
        let (gateway, address) = start(&[(&north, "a"), (&south, "b")], catalog).await;
        let before = gateway.now();
        let refused = ask(address.parse().unwrap(), prompt("a")).await.unwrap();
        assert_eq!(refused.status, 503);
        assert!(refused.body.contains("no_allowed_region"), "{}", refused.body);
        assert!(gateway.now() - before < Duration::from_secs(1));
        assert_eq!((north.count(), south.count()), (0, 0));
    });
}

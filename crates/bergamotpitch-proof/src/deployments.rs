//! Deployments: the places, services, upstreams and teams that a fleet stands for.

use bergamotpitch_core::sheets::{
    DomainEntry, ServiceEntry, ServiceKind, Sheet, TeamEntry, UpstreamEntry,
};

/// `Deployment` is what a fleet is built from.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name, for tables.
    pub name: String,
    /// Failure domains; each stands in its own region.
    pub places: Vec<Place>,
    /// The sheet in force.
    pub sheet: Sheet,
}

/// `Place` is a failure domain.
#[derive(Debug, Clone)]
pub struct Place {
    /// Name of the failure domain.
    pub domain: String,
    /// Name of the region.
    pub region: String,
    /// Router instances that stand in it.
    pub routers: usize,
}

/// Slots of a fake engine.
pub const ENGINE_SLOTS: u32 = 16;

/// Slots of a fake plain service.
pub const PLAIN_SLOTS: u32 = 8;

/// `blomakerfi` is the deployment of Blómakerfi as of today.
pub fn blomakerfi() -> Deployment {
    let places = ["is-reykjavik-a", "eu-dublin-b", "us-boston-c"];
    let domains = [(places[0], 3), (places[1], 3), (places[2], 2)];
    deployment("blomakerfi", &domains, ("bergamot-llm", "florist-crm-api"), &FEW_LARGE_SHARES)
}

/// `verkeersbesluit` is the deployment of Verkeersbesluit Centraal as of today.
pub fn verkeersbesluit() -> Deployment {
    let places = ["randstad-a", "noord-oost-a", "zuid-a"];
    let domains = [(places[0], 3), (places[1], 3), (places[2], 2)];
    deployment("verkeersbesluit", &domains, ("drafting-models", "order-registry"), &EVEN_SHARES)
}

/// Shares of the 16 teams of Blómakerfi: a few are large.
const FEW_LARGE_SHARES: [u32; 16] = [4, 4, 3, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1];

/// Shares of the 16 offices of Verkeersbesluit.
const EVEN_SHARES: [u32; 16] = [2, 2, 2, 2, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1];

/// `deployment` lays out an engine service with three engines a domain and a plain service with one.
pub fn deployment(
    name: &str,
    domains: &[(&str, usize)],
    services: (&str, &str),
    shares: &[u32],
) -> Deployment {
    let mut upstreams = Vec::new();
    for (index, (domain, _)) in domains.iter().enumerate() {
        for engine in 0..3 {
            let name = format!("{}-{index}{engine}", services.0);
            upstreams.push(upstream(&name, services.0, domain, ENGINE_SLOTS));
        }
        let name = format!("{}-{index}", services.1);
        upstreams.push(upstream(&name, services.1, domain, PLAIN_SLOTS));
    }
    let teams =
        shares.iter().enumerate().map(|(index, share)| team(index, *share, services)).collect();
    let places = domains
        .iter()
        .map(|(domain, routers)| Place {
            domain: (*domain).to_owned(),
            region: format!("region-of-{domain}"),
            routers: *routers,
        })
        .collect::<Vec<_>>();
    let domains = places
        .iter()
        .map(|place| DomainEntry { name: place.domain.clone(), region: place.region.clone() })
        .collect();
    let services =
        vec![service(services.0, ServiceKind::Engine), service(services.1, ServiceKind::Plain)];
    let sheet = Sheet { domains, services, upstreams, teams };
    Deployment { name: name.to_owned(), places, sheet }
}

fn service(name: &str, kind: ServiceKind) -> ServiceEntry {
    ServiceEntry {
        name: name.to_owned(),
        kind,
        prompt_token_cost: 1,
        generated_token_cost: 4,
        call_cost: 100,
        first_estimate_cost: if kind == ServiceKind::Engine { 400 } else { 100 },
        repeatable: kind == ServiceKind::Engine,
    }
}

fn upstream(name: &str, service: &str, domain: &str, slots: u32) -> UpstreamEntry {
    UpstreamEntry {
        name: name.to_owned(),
        service: service.to_owned(),
        domain: domain.to_owned(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
        slots,
        checks_fencing: false,
        model: None,
    }
}

fn team(index: usize, share: u32, services: (&str, &str)) -> TeamEntry {
    TeamEntry {
        name: format!("team-{index:02}"),
        share,
        key_hash: "0".repeat(64),
        services: vec![services.0.to_owned(), services.1.to_owned()],
        queue_limit_requests: 256,
        queue_limit_bytes: 16 << 20,
        retry_budget_percent: 10,
    }
}

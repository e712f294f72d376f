//! Catalogs: one version of the operators' routes, services, teams and limits, indexed.

use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{ServiceId, id_of_name};
use strum::{Display, EnumString, IntoStaticStr};

use crate::traffic::residencies::AllowedRegions;
use crate::traffic::warm_ups::WarmUp;

/// `CatalogVersion` is the number that operators give to a configuration.
pub type CatalogVersion = u64;

/// `RouteKind` tells what may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// A call that may run more than once.
    Safe,
    /// A call that runs at most once.
    Unsafe,
    /// A stream of events; it may be repeated only where the route says that it can be resumed.
    Streaming,
}

/// `Route` sends the requests of one host and path prefix to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name that operators gave it.
    pub name: String,
    /// Host that it serves.
    pub host: String,
    /// Start of the paths that it serves; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or to a stream's first event, that callers aim at.
    pub target_latency: Duration,
    /// Longest pause between two events of a stream that callers aim at.
    pub target_gap: Option<Duration>,
    /// Rank; 0 goes first.
    pub priority: u32,
    /// Most upstreams to which one request is sent.
    pub attempts_max: u32,
    /// Whether a caller needs no key.
    pub is_public: bool,
    /// Whether a broken stream may go on at another upstream.
    pub is_resumable: bool,
    /// Services that share its requests.
    pub targets: Vec<Target>,
    /// Regions that its requests may enter.
    pub allowed_regions: AllowedRegions,
}

impl Route {
    /// `is_repeatable` tells whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.is_resumable,
        }
    }

    /// `target_of` picks the service of one request by weight. All attempts at one stream get the same
    /// answer, as it depends on `hash` alone.
    pub fn target_of(&self, hash: u64) -> Option<&str> {
        let weights: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        if weights == 0 {
            return None;
        }
        let mut left = hash % weights;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }
}

/// `Target` is one service of a route and its part of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Its part, against the sum of all weights of the route.
    pub weight: u32,
}

/// `Service` is what operators say of the upstreams of one kind.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Path at which its upstreams say whether they are healthy; empty when not stated.
    pub health_path: String,
    /// Connections that one upstream takes from all callers together.
    pub connections_max: u32,
    /// Set for services whose upstreams are slow for a time after their start.
    pub warm_up: Option<WarmUp>,
    /// Set for services whose upstreams are model engines.
    pub engine: Option<EngineService>,
}

/// `EngineService` is what operators say of model engines.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineService {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that one engine's memory holds, of running requests and of kept parts.
    pub memory_tokens: u64,
    /// Over what engines fetch parts of prompts from each other; `None` when they do not.
    pub cache_link: Option<CacheLink>,
}

/// `CacheLink` is over what the engines of a service fetch parts of prompts from each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CacheLink {
    /// Size of one token in an engine's memory, in bytes.
    pub token_bytes: u64,
    /// Rate of an engine's link, in megabits a second.
    pub megabits_per_s: f64,
}

impl CacheLink {
    /// `transfer_time` returns the time in which so many tokens go over an idle link.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bergamotpitch_control::traffic::catalogs::CacheLink;
    ///
    /// let link = CacheLink { token_bytes: 250_000, megabits_per_s: 400_000.0 };
    /// assert_eq!(link.transfer_time(4_000.0), Duration::from_millis(20));
    /// ```
    pub fn transfer_time(&self, tokens: f64) -> Duration {
        let megabits = tokens * self.token_bytes as f64 * 8.0 / 1e6;
        Duration::try_from_secs_f64(megabits / self.megabits_per_s).unwrap_or(Duration::MAX)
    }
}

/// `Team` is a team as its keys and requests see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Its name, which upstreams are told.
    pub name: String,
    /// Its rank; it goes before that of the route.
    pub priority: Option<u32>,
    /// Keys that its callers show.
    pub keys: Vec<String>,
    /// Regions that its requests may enter.
    pub allowed_regions: AllowedRegions,
}

/// `CallerLimits` bound what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head of a request, in bytes.
    pub header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time within which a head must be complete once it began.
    pub header_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // Limits of the sheets that operators write today.
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// `TeamIndex` is the place of a team in its catalog.
pub type TeamIndex = usize;

/// `Catalog` is one version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Its version.
    pub version: CatalogVersion,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Tokens that all engines together read and generate in a second; `None` when not stated.
    pub pool_tokens_per_s: Option<u64>,
    service_of_id: HashMap<ServiceId, String>,
    teams: Vec<Arc<Team>>,
    team_of_key: HashMap<String, TeamIndex>,
    routes_of_host: HashMap<String, Vec<Arc<Route>>>,
    route_count: usize,
}

impl Catalog {
    /// `new` indexes a configuration.
    pub fn new(
        version: CatalogVersion,
        routes: Vec<Route>,
        services: Vec<Service>,
        teams: Vec<Team>,
    ) -> Self {
        let route_count = routes.len();
        let mut routes_of_host: HashMap<String, Vec<Arc<Route>>> = HashMap::default();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            routes_of_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in routes_of_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut team_of_key = HashMap::default();
        for (index, team) in teams.iter().enumerate() {
            for key in &team.keys {
                team_of_key.insert(key.clone(), index);
            }
        }
        let service_of_id =
            services.iter().map(|service| (id_of_name(&service.name), service.name.clone()));
        let service_of_id = service_of_id.collect();
        let services = services.into_iter().map(|service| (service.name.clone(), service));
        Self {
            version,
            services: services.collect(),
            service_of_id,
            limits: CallerLimits::default(),
            pool_tokens_per_s: None,
            teams: teams.into_iter().map(Arc::new).collect(),
            team_of_key,
            routes_of_host,
            route_count,
        }
    }

    /// `route_of` finds the route of the longest prefix that begins `path`.
    ///
    /// ```
    /// use bergamotpitch_control::traffic::catalogs::Catalog;
    ///
    /// let empty = Catalog::new(1, vec![], vec![], vec![]);
    /// assert!(empty.route_of("a.example", "/b/").is_none());
    /// ```
    pub fn route_of(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host_name(host).to_ascii_lowercase();
        let routes = self.routes_of_host.get(&host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// `service_of_id` finds a service by the number that its name has among instances.
    pub fn service_of_id(&self, id: ServiceId) -> Option<&Service> {
        self.services.get(self.service_of_id.get(&id)?)
    }

    /// `has_teams` tells whether callers need a key at all.
    pub fn has_teams(&self) -> bool {
        !self.teams.is_empty()
    }

    /// `team_of` finds the team that holds a key.
    pub fn team_of(&self, key: &str) -> Option<&Arc<Team>> {
        self.team_of_key.get(key).map(|index| &self.teams[*index])
    }

    /// `allowed_regions` returns the regions that requests of a team on a route may enter by this
    /// configuration. A route or team that it no longer holds keeps what it had.
    pub fn allowed_regions(&self, route: &Route, team: Option<&Team>) -> AllowedRegions {
        let routes = self.routes_of_host.get(&route.host.to_ascii_lowercase());
        let mut routes = routes.into_iter().flatten().map(Arc::as_ref);
        let route = routes.find(|known| known.name == route.name).unwrap_or(route);
        let mut teams = self.teams.iter().map(Arc::as_ref);
        let team = team.map(|team| teams.find(|known| known.name == team.name).unwrap_or(team));
        let of_team = team.map_or(&AllowedRegions::Any, |team| &team.allowed_regions);
        route.allowed_regions.intersection(of_team)
    }

    /// `teams` visits all teams.
    pub fn teams(&self) -> impl Iterator<Item = &Arc<Team>> {
        self.teams.iter()
    }

    /// `routes` returns all routes, in no order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes_of_host.values().flatten()
    }

    /// `route_count` returns how many routes there are.
    pub fn route_count(&self) -> usize {
        self.route_count
    }

    /// `team_count` returns how many teams there are.
    pub fn team_count(&self) -> usize {
        self.teams.len()
    }
}

fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

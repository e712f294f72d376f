//! Snapshots: the sheet in force, indexed for the traffic threads.

use std::net::SocketAddr;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{
    DomainId, RegionId, ServiceId, SheetVersion, TeamId, UpstreamId, id_of_name,
};
use bergamotpitch_core::sheets::{AcceptedSheet, ServiceEntry, TeamEntry};

/// `Snapshot` is what the traffic threads know of the sheet in force.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Version of the sheet; 0 when there is none yet.
    pub version: SheetVersion,
    teams_by_key: HashMap<String, TeamId>,
    teams: HashMap<TeamId, TeamEntry>,
    services: HashMap<ServiceId, ServiceEntry>,
    upstreams: HashMap<UpstreamId, KnownUpstream>,
    regions: HashMap<DomainId, RegionId>,
}

/// `KnownUpstream` is where an upstream is reached and what it is called.
#[derive(Debug, Clone)]
pub struct KnownUpstream {
    /// Name of the upstream.
    pub name: String,
    /// Service that it runs.
    pub service: ServiceId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Name of the failure domain that it stands in.
    pub domain: String,
}

impl Snapshot {
    /// `of_sheet` indexes a sheet.
    pub fn of_sheet(accepted: &AcceptedSheet) -> Self {
        let sheet = &accepted.sheet;
        let teams_by_key = sheet
            .teams
            .iter()
            .map(|team| (team.key_hash.to_ascii_lowercase(), id_of_name(&team.name)))
            .collect();
        let teams = sheet.teams.iter().map(|team| (id_of_name(&team.name), team.clone())).collect();
        let services = sheet
            .services
            .iter()
            .map(|service| (id_of_name(&service.name), service.clone()))
            .collect();
        let upstreams = sheet.upstreams.iter().map(|upstream| {
            let known = KnownUpstream {
                name: upstream.name.clone(),
                service: id_of_name(&upstream.service),
                address: upstream.address,
                domain: upstream.domain.clone(),
            };
            (id_of_name(&upstream.name), known)
        });
        Self {
            version: accepted.version,
            teams_by_key,
            teams,
            services,
            upstreams: upstreams.collect(),
            regions: sheet
                .domains
                .iter()
                .map(|domain| (id_of_name(&domain.name), id_of_name(&domain.region)))
                .collect(),
        }
    }

    /// `team_of_key` finds the team whose bearer key this is.
    pub fn team_of_key(&self, key: &str) -> Option<TeamId> {
        let hash = blake3::hash(key.as_bytes()).to_hex();
        self.teams_by_key.get(hash.as_str()).copied()
    }

    /// `team` finds a team.
    pub fn team(&self, team: TeamId) -> Option<&TeamEntry> {
        self.teams.get(&team)
    }

    /// `service_of_name` finds a service by its name.
    pub fn service_of_name(&self, name: &str) -> Option<&ServiceEntry> {
        self.services.get(&id_of_name(name)).filter(|service| service.name == name)
    }

    /// `upstream` finds an upstream.
    pub fn upstream(&self, upstream: UpstreamId) -> Option<&KnownUpstream> {
        self.upstreams.get(&upstream)
    }

    /// `region_of` finds the region that a failure domain stands in.
    pub fn region_of(&self, domain: DomainId) -> Option<RegionId> {
        self.regions.get(&domain).copied()
    }

    /// `upstreams_of_domain` lists the upstreams of a failure domain.
    pub fn upstreams_of_domain(
        &self,
        domain: &str,
    ) -> impl Iterator<Item = (UpstreamId, &KnownUpstream)> {
        self.upstreams
            .iter()
            .filter(move |(_, upstream)| upstream.domain == domain)
            .map(|(id, upstream)| (*id, upstream))
    }
}

//! Sheet indexes: what the fair shares look up in the sheet in force, built once a version.

use std::collections::{BTreeMap, BTreeSet};

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{DomainId, ServiceId, SheetVersion, TeamId, UpstreamId, id_of_name};

use crate::tables::Tables;

/// `SheetIndex` is derived from the sheet in force.
#[derive(Debug, Clone, Default)]
pub struct SheetIndex {
    /// Version that it was built from.
    pub version: SheetVersion,
    /// Services, in order of their ids.
    pub services: Vec<ServiceId>,
    /// Services whose every call may be repeated.
    pub repeatable: BTreeSet<ServiceId>,
    /// Failure domains, in order of their ids.
    pub domains: Vec<DomainId>,
    /// Upstreams of this instance's domain, by service, in order of their ids.
    pub upstreams: BTreeMap<ServiceId, Vec<UpstreamId>>,
    /// Teams by the low half of their id; none where two share it.
    pub teams: HashMap<[u8; 2], Option<TeamId>>,
}

impl SheetIndex {
    /// `short_team_id` is the short form of a team's id, if no other team shares it.
    pub fn short_team_id(&self, team: TeamId) -> Option<[u8; 2]> {
        let short = shorten(team);
        let is_own = self.teams.get(&short).is_some_and(|known| *known == Some(team));
        is_own.then_some(short)
    }

    /// `team_of_short_id` is the team that a short id stands for.
    pub fn team_of_short_id(&self, short: [u8; 2]) -> Option<TeamId> {
        self.teams.get(&short).copied().flatten()
    }
}

fn shorten(team: TeamId) -> [u8; 2] {
    let bytes = team.to_le_bytes();
    [bytes[0], bytes[1]]
}

/// `run` rebuilds the index when another sheet came into force.
pub fn run(tables: &mut Tables) {
    let Some(accepted) = &tables.sheet else { return };
    if accepted.version == tables.index.version {
        return;
    }
    let own = tables.options.domain;
    let mut index = SheetIndex { version: accepted.version, ..SheetIndex::default() };
    for service in &accepted.sheet.services {
        let id = id_of_name(&service.name);
        index.services.push(id);
        if service.repeatable {
            index.repeatable.insert(id);
        }
    }
    index.services.sort_unstable();
    index.domains = accepted.sheet.domains.iter().map(|entry| id_of_name(&entry.name)).collect();
    index.domains.sort_unstable();
    for upstream in &accepted.sheet.upstreams {
        if id_of_name(&upstream.domain) == own {
            let service = id_of_name(&upstream.service);
            index.upstreams.entry(service).or_default().push(id_of_name(&upstream.name));
        }
    }
    index.upstreams.values_mut().for_each(|upstreams| upstreams.sort_unstable());
    for team in &accepted.sheet.teams {
        let id = id_of_name(&team.name);
        index.teams.entry(shorten(id)).and_modify(|known| *known = None).or_insert(Some(id));
    }
    tables.index = index;
}

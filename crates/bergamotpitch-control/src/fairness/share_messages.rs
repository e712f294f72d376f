//! Messages of the fair shares.
//!
//! Each carries the sender's present numbers, which only rise within an adoption or an epoch, so a
//! lost, repeated or late message is healed by the next one.

use std::net::SocketAddr;

use bergamotpitch_core::ids::{DomainId, Incarnation, InstanceId, ServiceId, TeamId, UpstreamId};
use bergamotpitch_core::units::CostUnits;
use serde::{Deserialize, Serialize};

use crate::fairness::levels::Level;

/// `ShareReport` tells the home of a service what waits and was served at one instance.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ShareReport {
    /// The service.
    pub service: ServiceId,
    /// Number of the sender's adoption of this home.
    pub registration: u32,
    /// Number of the report within the adoption.
    pub sequence: u32,
    /// Leased slots that run nothing.
    pub idle_slots: u32,
    /// Leases that changed since the last report that the home has seen.
    pub slots: Vec<SlotLine>,
    /// Teams that changed since then.
    pub teams: Vec<TeamLine>,
}

/// `SlotLine` counts the leases of one instance on one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotLine {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Slots held when the home was adopted.
    pub base: u32,
    /// Slots granted since, as far as seen.
    pub granted: u32,
    /// Slots given back since.
    pub returned: u32,
}

/// `TeamLine` is one team at one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamLine {
    /// The team.
    pub team: TeamId,
    /// Requests that wait.
    pub waiting_requests: u32,
    /// Service received in this life of the instance, in cost units.
    pub served_cost: CostUnits,
    /// Service received before the adoption; only until the home has seen the first line of the
    /// team.
    pub base_cost: Option<CostUnits>,
    /// Level as the last home told it; only in the first reports to a new home.
    pub level: Option<Level>,
}

/// `ShareGrant` tells an instance what it may hand over.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The service.
    pub service: ServiceId,
    /// Adoption that the numbers belong to.
    pub registration: u32,
    /// True when the home does not know this adoption; the instance adopts it anew.
    pub is_unknown: bool,
    /// Number of the last report that the home has seen.
    pub acknowledged_report: u32,
    /// Slots granted since the adoption, of the upstreams whose number was not yet confirmed.
    pub granted: Vec<GrantLine>,
    /// Lowest level of a team that waits in the domain; none when none waits.
    pub frontier: Option<Level>,
    /// How far below that a team lags elsewhere, beyond the margin.
    pub remote_lag: Level,
    /// Idle slots that the instance may keep while nobody waits.
    pub keep_slots: u32,
    /// Domains that want slots back that were borrowed from them.
    pub recalling: Vec<DomainId>,
    /// Levels, less the service received at the instance and less the frontier, that changed.
    pub levels: Vec<LevelLine>,
}

/// `RelayedReport` is a share report that came over another instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedReport {
    /// Instance that it is from.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The report.
    pub report: ShareReport,
}

/// `RelayedGrant` is a grant that goes over another instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedGrant {
    /// Instance that it is for.
    pub instance: InstanceId,
    /// The grant.
    pub grant: ShareGrant,
}

/// `RelayedDomainReport` is a domain report that reached an instance that is not the home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedDomainReport {
    /// Home that sent it.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The report.
    pub report: DomainReport,
}

/// `GrantLine` counts the slots granted on one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantLine {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Slots.
    pub count: u32,
}

/// `LevelLine` is the level of one team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelLine {
    /// The team.
    pub team: TeamId,
    /// The level.
    pub level: Level,
}

/// `DomainReport` tells the home of a service in another domain what was served and waits here, and
/// which slots are lent and borrowed.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DomainReport {
    /// The service.
    pub service: ServiceId,
    /// Life of the sending home.
    pub epoch: u32,
    /// Life of the receiving home as far as the sender knows; 0 when it has not heard it.
    pub peer_epoch: u32,
    /// Number of the report within the epoch.
    pub sequence: u32,
    /// Number of the last report of the receiver that the sender has seen.
    pub acknowledged_sequence: u32,
    /// Lowest level of a team that waits here; none when none waits.
    pub frontier: Option<Level>,
    /// Slots of the sender's domain that the receiver may hold in all.
    pub allowed_slots: u32,
    /// Teams that changed since the last report that the receiver has seen.
    pub teams: Vec<DomainTeamLine>,
    /// Slots lent to the receiver since its epoch, of the upstreams not yet confirmed.
    pub lent: Vec<GrantLine>,
    /// Slots borrowed from the receiver.
    pub borrowed: Vec<SlotLine>,
}

/// `DomainTeamLine` is one team in one domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainTeamLine {
    /// Low half of the team's id.
    pub short_team: [u8; 2],
    /// Service received since the sender's epoch, in units of [`SERVED_QUANTUM`].
    pub served: u32,
    /// Requests that wait.
    pub waiting_requests: u32,
    /// Level less the frontier, in cost units a share; only of a team that waits.
    pub level: i32,
    /// Part of the level that is repaid bit by bit, in cost units a share.
    pub debt: u32,
}

/// Cost units of one unit of [`DomainTeamLine::served`].
pub const SERVED_QUANTUM: u64 = 16;

//! Identifiers: numbers derived from the names that operators write.
//!
//! A name's id is the same in every process and under every version of the sheet, so that messages
//! between instances stay valid while the sheet changes. The check of a sheet rejects two names of
//! one kind that share an id.

/// `TeamId` identifies a team.
pub type TeamId = u32;

/// `ServiceId` identifies a service.
pub type ServiceId = u32;

/// `UpstreamId` identifies an upstream.
pub type UpstreamId = u32;

/// `SoftwareId` identifies a version of upstreams' software.
pub type SoftwareId = u32;

/// `DomainId` identifies a failure domain.
pub type DomainId = u32;

/// `RegionId` identifies a region.
pub type RegionId = u32;

/// `InstanceId` identifies an entry instance over all its restarts.
pub type InstanceId = u32;

/// `Incarnation` tells the lives of one instance apart; a later life has a larger number.
pub type Incarnation = u64;

/// `RequestId` identifies a request within the life of the router that received it.
pub type RequestId = u64;

/// `SheetVersion` counts accepted sheets; it only rises.
pub type SheetVersion = u64;

/// `id_of_name` derives the id of a name.
///
/// ```
/// use bergamotpitch_core::ids::id_of_name;
/// assert_eq!(id_of_name("florist-crm-api"), id_of_name("florist-crm-api"));
/// assert_ne!(id_of_name("bergamot-llm"), id_of_name("florist-crm-api"));
/// ```
pub fn id_of_name(name: &str) -> u32 {
    let hash = blake3::hash(name.as_bytes());
    let bytes = hash.as_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

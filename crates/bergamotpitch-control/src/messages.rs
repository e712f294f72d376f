//! Messages between instances.
//!
//! Each message carries state, not a change of it, so that a lost, repeated or reordered message
//! does no harm.

use std::net::SocketAddr;

use bergamotpitch_core::ids::{DomainId, Incarnation, InstanceId, SheetVersion, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::fairness::share_messages::{
    DomainReport, RelayedDomainReport, RelayedGrant, RelayedReport, ShareGrant, ShareReport,
};

/// `Message` is what one instance tells another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender is alive.
    Heartbeat(Heartbeat),
    /// What waits and was served at the sender, for the home of a service.
    ShareReport(ShareReport),
    /// What the receiver may hand over, from the home of a service.
    ShareGrant(ShareGrant),
    /// What one domain tells another of a service.
    DomainReport(DomainReport),
    /// A share report of another instance, passed on to the home.
    RelayedReport(RelayedReport),
    /// A grant for another instance, to be passed on to it.
    RelayedGrant(RelayedGrant),
    /// What another domain told, passed on to the home.
    RelayedDomainReport(RelayedDomainReport),
}

/// `Heartbeat` says that the sender is alive and what it knows.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Number by which the sender contradicts those who think it gone.
    pub version: u32,
    /// Version of the sheet in force at the sender; 0 when it has none.
    pub sheet_version: SheetVersion,
    /// True when the sender slept and nobody has confirmed its sheet since.
    pub sheet_doubtful: bool,
    /// True when the platform did not answer the sender last.
    pub platform_lost: bool,
    /// True when the sender is draining.
    pub draining: bool,
    /// Upstreams that the sender knows to be leaving.
    pub leaving_upstreams: Vec<LeavingLine>,
    /// Other instances that the sender knows.
    pub members: Vec<MemberLine>,
}

/// `MemberLine` tells of another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLine {
    /// The instance.
    pub instance: InstanceId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Failure domain that it stands in.
    pub domain: DomainId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Number by which it contradicts those who think it gone.
    pub version: u32,
    /// True when it is taken for gone.
    pub gone: bool,
    /// True when it is draining.
    pub draining: bool,
}

/// `LeavingLine` says that an upstream is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingLine {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Age of the latest evidence for it, in tenths of a second.
    pub age_ds: u16,
}

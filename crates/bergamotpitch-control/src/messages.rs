//! Messages between instances.
//!
//! Each message carries state, not a change of it, so that a lost, repeated or reordered message
//! does no harm.

use std::net::SocketAddr;

use bergamotpitch_core::ids::{DomainId, Incarnation, InstanceId, SheetVersion, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::share_messages::{
    DomainReport, PassedDomainReport, PassedGrant, PassedReport, ShareGrant, ShareReport,
};

/// `Message` is what one instance tells another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender is alive.
    Heartbeat(Heartbeat),
    /// The sender is alive and has not heard the receiver; it wants a heartbeat back.
    Greeting(Heartbeat),
    /// Instances of other domains that the sender heard, for an instance of its own domain.
    FarMembers(Vec<FarMember>),
    /// What waits and was served at the sender, for the home of a service.
    ShareReport(ShareReport),
    /// What the receiver may hand over, from the home of a service.
    ShareGrant(ShareGrant),
    /// What one domain tells another of a service.
    DomainReport(DomainReport),
    /// A share report of another instance, passed on to the home.
    PassedReport(PassedReport),
    /// A grant for another instance, to be passed on to it.
    PassedGrant(PassedGrant),
    /// What another domain told, passed on to the home.
    PassedDomainReport(PassedDomainReport),
}

/// `Heartbeat` says that the sender is alive and what it knows.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Heartbeat {
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
}

/// `LeavingLine` says that an upstream is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingLine {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Age of the latest evidence for it, in tenths of a second.
    pub age_ds: u16,
}

/// `FarMember` is an instance of another domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FarMember {
    /// The instance.
    pub instance: InstanceId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Failure domain that it stands in.
    pub domain: DomainId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// True when it is draining.
    pub draining: bool,
    /// Time since it was heard, in milliseconds.
    pub age_ms: u32,
}

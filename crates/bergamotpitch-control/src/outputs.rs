//! Outputs: what a control state asks its process to do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::{InstanceId, RequestId, SheetVersion, TeamId, UpstreamId};
use bergamotpitch_core::refusals::{Ran, RefusalReason};
use bergamotpitch_core::sheets::AcceptedSheet;

use crate::messages::Message;

/// `Output` is one thing to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Hand the request over to the upstream.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The upstream.
        upstream: UpstreamId,
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// Answer the caller with a refusal, at once.
    Refuse {
        /// The request.
        request: RequestId,
        /// The refusal.
        refusal: Refusal,
    },
    /// Send a message to another instance; it may be lost.
    Send {
        /// Where the instance is reached.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Put a sheet in force for the traffic threads.
    PutInForce(Arc<AcceptedSheet>),
    /// Watch the platform for new sheets, or leave that to others.
    WatchSheet {
        /// True when this instance has to watch.
        watching: bool,
    },
    /// Try to hold the domain's lease for orders, or leave it to another.
    LeadOrders {
        /// True when this instance should hold it.
        leading: bool,
    },
    /// Fetch a sheet from a peer that has a newer one.
    FetchSheet {
        /// Where the peer is reached.
        from: SocketAddr,
        /// Version that the peer has.
        version: SheetVersion,
    },
    /// Write an event.
    Emit(Event),
}

/// `Refusal` is the answer to a request that no upstream answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub ran: Ran,
    /// When the caller should come back.
    pub retry_after: Duration,
}

/// `Event` is an event with ids; the process turns ids into names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Kind of event.
    pub kind: EventKind,
    /// Request that it is about.
    pub request: Option<RequestId>,
    /// Team that it is about.
    pub team: Option<TeamId>,
    /// Upstream that it is about.
    pub upstream: Option<UpstreamId>,
    /// Instance that it is about.
    pub peer: Option<InstanceId>,
    /// Anything more.
    pub detail: Option<String>,
}

impl Event {
    /// `of_kind` makes an event that names nothing yet.
    pub fn of_kind(kind: EventKind) -> Self {
        Self { kind, request: None, team: None, upstream: None, peer: None, detail: None }
    }

    /// `with_request` names the request.
    pub fn with_request(mut self, request: RequestId) -> Self {
        self.request = Some(request);
        self
    }

    /// `with_team` names the team.
    pub fn with_team(mut self, team: TeamId) -> Self {
        self.team = Some(team);
        self
    }

    /// `with_upstream` names the upstream.
    pub fn with_upstream(mut self, upstream: UpstreamId) -> Self {
        self.upstream = Some(upstream);
        self
    }

    /// `with_peer` names the instance.
    pub fn with_peer(mut self, peer: InstanceId) -> Self {
        self.peer = Some(peer);
        self
    }

    /// `with_detail` adds a detail.
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }
}

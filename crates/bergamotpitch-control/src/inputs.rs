//! Inputs: what a control state is told.

use std::net::SocketAddr;
use std::sync::Arc;

use bergamotpitch_core::ids::{
    DomainId, Incarnation, InstanceId, RequestId, ServiceId, TeamId, UpstreamId,
};
use bergamotpitch_core::sheets::AcceptedSheet;
use bergamotpitch_core::units::{ByteCount, CostUnits, Timestamp};

use crate::messages::Message;

/// `Input` is one thing that happened.
#[derive(Debug, Clone)]
pub enum Input {
    /// A request was received in full and may be queued.
    Arrived(Arrival),
    /// The caller of a request left; a running attempt has been cancelled.
    CallerLeft {
        /// The request.
        request: RequestId,
    },
    /// The first byte of an answer came from the upstream.
    FirstByte {
        /// The request.
        request: RequestId,
    },
    /// An answer streams on.
    Progressed {
        /// The request.
        request: RequestId,
        /// Cost of the attempt so far, in cost units.
        cost: CostUnits,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Whole cost of the attempt, in cost units.
        cost: CostUnits,
    },
    /// A message from another instance came in; its seal was checked.
    Received {
        /// Who sent it.
        sender: Sender,
        /// The message.
        message: Message,
    },
    /// An upstream reported its load; the report may be old.
    LoadReported {
        /// The upstream.
        upstream: UpstreamId,
        /// What it said.
        report: LoadReport,
    },
    /// An upstream said in an answer that it is leaving.
    UpstreamLeaving {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The platform's instance list was read; it lags.
    Listed(Vec<ListedInstance>),
    /// A sheet was read from the platform.
    SheetLearned(Arc<AcceptedSheet>),
    /// A sheet was fetched from a peer.
    PeerSheetLearned(Arc<AcceptedSheet>),
    /// The key-value service answered, or failed to.
    PlatformReachable(bool),
    /// The operator, or a signal, asked this instance to leave.
    DrainBegun,
    /// The process stops soon; what still waits is given up.
    DrainEnding,
}

/// `Arrival` is what the control state knows of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// Team that sent it.
    pub team: TeamId,
    /// Service that it asks for.
    pub service: ServiceId,
    /// Bytes of the body that are held while it waits.
    pub body_bytes: ByteCount,
    /// Cost that is known beforehand, such as that of the prompt, in cost units.
    pub known_cost: CostUnits,
    /// Hash of the prompt's prefix, for placement; 0 when there is none.
    pub prefix: u64,
    /// Time by which the answer must have begun.
    pub deadline: Timestamp,
    /// True when it may be tried again after an attempt whose outcome is unknown.
    pub repeatable: bool,
}

/// `AttemptOutcome` is how one attempt at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer was delivered.
    Answered,
    /// The upstream, or the refused connection, proves that the request did not start.
    ProvedUnrun,
    /// The attempt failed before any byte of an answer was delivered; it may have run.
    FailedBeforeAnswer,
    /// The request's deadline passed before the answer began; it may have run.
    DeadlinePassed,
    /// The answer broke after some of it was delivered.
    AnswerCut,
    /// The upstream answered with something that is not an answer.
    Garbage,
}

/// `Sender` is the instance that sealed a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sender {
    /// The instance.
    pub instance: InstanceId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Failure domain that it stands in.
    pub domain: DomainId,
    /// Where it is reached.
    pub address: SocketAddr,
}

/// `LoadReport` is what an upstream says of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// Requests that run.
    pub running_requests: u32,
    /// Requests that wait inside the upstream.
    pub waiting_requests: u32,
    /// True when the upstream says that it is leaving.
    pub leaving: bool,
}

/// `ListedInstance` is one line of the platform's instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// Name of a router instance or of an upstream.
    pub name: String,
    /// Where it is reached: the peer address of a router, the service address of an upstream.
    pub address: SocketAddr,
    /// True for an entry instance of the system.
    pub is_router: bool,
    /// True when the platform says that it is leaving.
    pub leaving: bool,
}

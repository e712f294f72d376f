//! Numbered events: the catalogue that `docs/EVENTS.md` documents and the record written to event
//! files.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumMessage, EnumString, IntoStaticStr};

/// `EventKind` is one kind of event; its number never changes.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
    EnumMessage,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
#[repr(u16)]
pub enum EventKind {
    /// A process started.
    ProcessStarted = 1,
    /// A process stopped in good order.
    ProcessStopped = 2,
    /// A drain began.
    DrainBegan = 3,
    /// The settings were read again.
    SettingsReloaded = 4,
    /// The instance began or ceased to ask for new callers.
    ReadinessChanged = 5,
    /// A request arrived.
    RequestArrived = 100,
    /// A request was handed over to an upstream.
    RequestDispatched = 101,
    /// A request was answered in full.
    RequestAnswered = 102,
    /// A request was refused.
    RequestRefused = 103,
    /// The caller left before the answer ended.
    CallerLeft = 104,
    /// An attempt at an upstream failed.
    AttemptFailed = 105,
    /// A request is tried again.
    RequestRetried = 106,
    /// The stream of an answer broke and was closed as cut.
    AnswerCut = 107,
    /// A caller takes up a stream that broke off.
    StreamTakenUp = 108,
    /// It was decided whether a request may be sent to a second upstream.
    RepeatDecided = 109,
    /// A sheet came into force.
    SheetInForce = 200,
    /// A sheet with a lower version than that in force was passed over.
    SheetPassedOver = 201,
    /// The platform accepted a sheet that an operator applied.
    SheetAccepted = 202,
    /// An entry of the platform's store cannot be understood and is ignored.
    EntryIgnored = 203,
    /// A peer was heard for the first time, or with a new incarnation.
    PeerJoined = 300,
    /// A peer has been silent for longer than the timeout.
    PeerSuspected = 301,
    /// A message was dropped.
    MessageDropped = 302,
    /// Another instance decides on requests for the upstreams of the domain, or none does.
    DispatcherChanged = 303,
    /// An upstream is leaving and gets no new work.
    UpstreamLeaving = 400,
    /// An upstream is taken out because it fails.
    UpstreamFailing = 401,
    /// An upstream is back.
    UpstreamBack = 402,
    /// An upstream is listed and takes work.
    UpstreamJoined = 403,
    /// An upstream is no longer listed.
    UpstreamGone = 404,
    /// The upstreams of a failure domain get nothing new until the evacuation ends.
    DomainEvacuated = 405,
    /// The evacuation of a failure domain has ended; its upstreams count as just started.
    DomainReturned = 406,
    /// An upstream has ended while it answered requests.
    UpstreamCrashed = 407,
    /// A part of prompts is suspected of crashing upstreams, or blocked.
    PartSuspected = 408,
    /// A part of prompts is not suspected any more.
    PartCleared = 409,
    /// A request is refused, as upstreams crash under it.
    RequestBlocked = 410,
    /// A request is not refused any more.
    RequestCleared = 411,
    /// The key-value service is out of reach.
    PlatformLost = 500,
    /// The key-value service answers again.
    PlatformBack = 501,
    /// The instance begins or ceases to leave watching the key-value service to others of its domain.
    WatchRoleChanged = 502,
    /// A claim on an idempotency key was made.
    ClaimMade = 510,
    /// A claim on an idempotency key was found taken.
    ClaimTaken = 511,
    /// An order was sent to an engine.
    OrderSent = 600,
    /// The lease for orders was won.
    OrderLeaseWon = 601,
    /// The lease for orders was lost or given up.
    OrderLeaseLost = 602,
    /// What a team asked for and was given at this instance in the last second.
    TeamTallied = 700,
    /// A team that waits has had less than it asked, by the sums of the whole fleet.
    TeamWaits = 701,
    /// For what kinds of work the thread was used in the last second, where that was a quarter of it or more.
    WorkTallied = 702,
}

impl EventKind {
    /// `number` returns the number of this kind in the catalogue.
    ///
    /// ```
    /// use bergamotpitch_core::events::EventKind;
    /// assert_eq!(EventKind::RequestArrived.number(), 100);
    /// ```
    pub fn number(self) -> u16 {
        self as u16
    }
}

/// `EventRecord` is one line of an event file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EventRecord {
    /// Wall-clock time in microseconds since the Unix epoch.
    pub time_us: u64,
    /// Name of the process that wrote the event.
    pub process: String,
    /// Number of the event in the catalogue.
    pub number: u16,
    /// Name of the event in the catalogue.
    pub kind: EventKind,
    /// Request that the event is about, as the caller sees it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Team that the event is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// Service that the event is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Upstream that the event is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<String>,
    /// Peer instance that the event is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<String>,
    /// Refusal reason, version or another detail.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
}

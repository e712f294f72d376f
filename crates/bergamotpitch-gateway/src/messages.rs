//! Messages: the datagrams between instances.
//!
//! Each begins with the number of its format. Instances of two releases run side by side while a
//! fleet is being replaced; a message of another format is dropped, as if it were lost, and never
//! read as something else.

use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_control::traffic::catalogs::CatalogVersion;
use bergamotpitch_control::traffic::crash_suspects::SuspectId;
use bergamotpitch_control::traffic::engine_loads::{Figures, Report, RequestNumber, Work};
use bergamotpitch_control::traffic::evacuations::EvacuationVersion;
use bergamotpitch_control::traffic::facts::{PartId, PromptPart, RequestFacts};
use bergamotpitch_control::traffic::placement_requests::{Decision, Headroom, Placement};
use bergamotpitch_control::traffic::registries::Registry;
use bergamotpitch_control::traffic::request_digests::RequestDigest;
use bergamotpitch_control::traffic::residencies::AllowedRegions;
use bergamotpitch_control::traffic::stream_origins::AttemptNumber;
use bergamotpitch_control::traffic::team_windows::{ShareClass, TeamCounts};
use bergamotpitch_control::traffic::upstream_candidates::Limit;
use bergamotpitch_core::ids::{
    DomainId, Incarnation, InstanceId, ServiceId, SoftwareId, TeamId, UpstreamId,
};
use bergamotpitch_core::units::Timestamp;
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::gateways::Gateway;
use crate::options::Options;

/// `FORMAT` begins each message of this release.
const FORMAT: [u8; 4] = [0xb9, b'p', 0, 12];

/// `MESSAGE_BYTES` bounds a message: one datagram that is not cut on the way.
pub const MESSAGE_BYTES: usize = 1_400;

/// `Message` is one datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Who sends it.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// What it says.
    pub body: Body,
}

/// `Body` is what a message says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Sums, a few times a second.
    Heartbeat(Heartbeat),
    /// A request wants a place.
    PlacementRequest(PlacementRequestBody),
    /// Its place, or that there is none.
    Reply(Reply),
    /// What became of granted requests.
    Progress(Vec<ProgressReport>),
    /// Which granted requests are in hand.
    GrantConfirmation(GrantConfirmation),
    /// Where streams began.
    Origins(Vec<OriginLine>),
    /// Where streams began, for the instance that records it.
    RecordedOrigins(Vec<OriginLine>),
    /// Where did a stream begin?
    OriginQuery(OriginQuery),
    /// What is known of it.
    OriginReply(OriginReply),
    /// The sender is there, or is about to end.
    Presence(Presence),
    /// Crashes of upstreams that count against parts of prompts and requests.
    Crashes(Vec<CrashLine>),
    /// Parts of prompts and requests that were answered, or that operators let in again.
    Answered(Vec<AnsweredLine>),
    /// Lives of upstreams that were taken for crashed and are not.
    LivingUpstreams(Vec<UpstreamId>),
    /// May a request be sent to a second upstream?
    RepeatRequest(RepeatRequest),
    /// Whether it may.
    RepeatReply(RepeatReply),
}

/// `Heartbeat` is what one instance tells of itself.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Number of the beat within this life.
    pub sequence: u64,
    /// Number of this part of the beat.
    pub part: u8,
    /// Number of parts of the beat.
    pub parts: u8,
    /// Version of its configuration.
    pub version: CatalogVersion,
    /// Revision of the latest change of the list of upstreams that it has seen.
    pub list_change: u64,
    /// Version of the newest evacuation order that it knows.
    pub evacuation_version: EvacuationVersion,
    /// Whether it watches the store for its domain.
    pub watches: bool,
    /// Number of the latest change of its documents.
    pub relay_number: u64,
    /// Whether it can be the dispatcher of its domain.
    pub is_eligible: bool,
    /// Whether it is.
    pub is_dispatcher: bool,
    /// Whether it hears most of its domain.
    pub hears_most: bool,
    /// Whether it is about to end.
    pub is_leaving: bool,
    /// For how long it has counted what its teams asked.
    pub counted_ms: u64,
    /// What it has in hand at each upstream.
    pub loads: Vec<LoadLine>,
    /// What its teams asked and began; those of its whole domain when it is the dispatcher.
    pub teams: Vec<TeamLine>,
    /// What teams asked and began in all other domains, as a dispatcher tells its own domain.
    pub remote_teams: Vec<TeamLine>,
    /// Upstreams, by the numbers of their lives, of which it knows that they leave.
    pub leaving: Vec<UpstreamId>,
    /// Some of those that its list has lately ceased to hold and that had not said that they leave.
    pub gone: Vec<UpstreamId>,
    /// Where starts of prompts were sent lately.
    pub prefixes: Vec<PrefixLine>,
    /// Room at the upstreams of a dispatcher.
    pub headrooms: Vec<HeadroomLine>,
    /// State of the upstreams of a dispatcher, for requests that other domains hand over.
    pub offers: Vec<OfferLine>,
    /// Speeds that a dispatcher has learned, for those that stand by for it.
    pub speeds: Vec<SpeedLine>,
    /// How much of what the sender can take in is in use.
    pub ingress: IngressLine,
}

impl Heartbeat {
    /// `append` adds the tables of another part of the same beat.
    pub(crate) fn append(&mut self, part: Self) {
        self.loads.extend(part.loads);
        self.teams.extend(part.teams);
        self.remote_teams.extend(part.remote_teams);
        self.leaving.extend(part.leaving);
        self.gone.extend(part.gone);
        self.prefixes.extend(part.prefixes);
        self.headrooms.extend(part.headrooms);
        self.offers.extend(part.offers);
        self.speeds.extend(part.speeds);
    }

    /// `line_count` returns how many lines its tables have.
    pub(crate) fn line_count(&self) -> usize {
        let tables = [
            self.loads.len(),
            self.teams.len(),
            self.remote_teams.len(),
            self.leaving.len(),
            self.gone.len(),
            self.prefixes.len(),
            self.headrooms.len(),
            self.offers.len(),
            self.speeds.len(),
        ];
        tables.iter().sum()
    }
}

/// `LoadLine` is what one instance has in hand at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LoadLine {
    /// Number of the upstream's life.
    pub upstream: UpstreamId,
    requests: u32,
    unread_tokens: u32,
    memory_tokens: u64,
}

/// `TeamLine` is one team's sums.
pub type TeamLine = (TeamId, TeamCounts);

/// `PrefixLine` tells that an engine was sent a prompt with a start.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PrefixLine {
    /// The start, by its last part.
    pub prefix: PartId,
    /// Its length.
    pub tokens: u32,
    /// Number of the engine's life.
    pub upstream: UpstreamId,
    /// Time since it was sent.
    pub age_ms: u32,
}

/// `HeadroomLine` is the room at a domain's upstreams of one service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct HeadroomLine {
    /// The service.
    pub service: ServiceId,
    /// For how many more requests there is a place.
    pub headroom: Headroom,
}

/// `OfferLine` is the state of one upstream, as a dispatcher offers it to other domains.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct OfferLine {
    /// What its own domain and others have in hand there.
    pub load: LoadLine,
    /// By how much work takes longer there than the service's speed tells, in hundredths.
    pub time_factor_percent: u16,
}

/// `SpeedLine` is the learned speed of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedLine {
    /// Number of the upstream's life.
    pub upstream: UpstreamId,
    /// By how much work takes longer there than the service's speed tells, in hundredths.
    pub speed_percent: u16,
    /// The upstream's mean slowdown, in hundredths of the usual time.
    pub slowdown_percent: u16,
}

/// `IngressLine` is how much of what an instance can take in is in use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IngressLine {
    /// Part of its processor time that is in use, in hundredths.
    pub busy_percent: u8,
    /// Requests of callers a second.
    pub requests_per_s: u16,
    /// Callers' connections, in hundredths of their bound.
    pub connections_percent: u8,
    /// Whether it says that callers may come.
    pub is_ready: bool,
    /// Whether it does not say so because of its load.
    pub is_shedding: bool,
}

/// `PlacementRequestBody` is a request that wants a place.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequestBody {
    /// The asker's number of the request.
    pub number: RequestNumber,
    /// Whether it is the first ask for this request; later ones are not counted again.
    pub is_first: bool,
    /// Who wants it, with its life, when another instance hands the ask on.
    pub requester: Option<(InstanceId, Incarnation)>,
    /// Whether it may be handed on to the dispatcher of another domain.
    pub may_forward: bool,
    /// Service that it is for.
    pub service: ServiceId,
    /// Its team.
    pub team: Option<TeamId>,
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Expected length of the answer.
    pub output_tokens: u64,
    /// Parts of the prompt.
    pub parts: Vec<(PartId, u32)>,
    /// Its target latency.
    pub target_ms: u32,
    /// Longest pause between two events that callers aim at.
    pub target_gap_ms: Option<u32>,
    /// Time since it arrived.
    pub elapsed_ms: u32,
    /// Lives of upstreams that must not get it.
    pub tried: Vec<UpstreamId>,
    /// Regions that it may enter.
    pub regions: AllowedRegions,
    /// The version of software at which it goes on, when it takes up a stream of a service of several.
    pub software: Option<SoftwareId>,
    /// Name of its content, while requests are suspected of crashing upstreams.
    pub digest: Option<RequestDigest>,
    /// Failure domains that had no place for it.
    pub declined_by: Vec<DomainId>,
}

impl PlacementRequestBody {
    /// `facts` returns what a decision needs to know of the request.
    pub fn facts(&self) -> RequestFacts {
        let parts = self.parts.iter().map(|(id, tokens)| PromptPart { id: *id, tokens: *tokens });
        RequestFacts {
            prompt_tokens: self.prompt_tokens,
            output_tokens_max: self.output_tokens,
            output_tokens_hint: Some(self.output_tokens),
            prefix: parts.collect(),
            ..RequestFacts::default()
        }
    }
}

/// `Reply` tells an asker what became of its ask.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The asker's number of the request.
    pub number: RequestNumber,
    /// The decision.
    pub outcome: ReplyOutcome,
}

/// `ReplyOutcome` is the decision on an ask.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum ReplyOutcome {
    /// It waits for a place, or was handed on; another reply follows.
    Waits,
    /// The dispatcher of another domain decides on it and replies itself.
    HandedOver {
        /// Time after which its reply is not waited for any longer.
        timeout_ms: u32,
    },
    /// It has a place.
    Granted(GrantLine),
    /// It fits nowhere.
    Full {
        /// When it is worth asking again.
        after_ms: u32,
        /// How it stands against its team's share.
        share_class: ShareClass,
        /// Requests at the upstream that has fewest.
        least_requests: u32,
        /// What kept it from the upstream that is first worth asking again.
        refused_by: Limit,
    },
    /// No upstream of the domain takes work.
    NoUpstream {
        /// When it is worth asking again.
        after_ms: u32,
    },
    /// It goes nowhere, as it or a part of its prompt crashes upstreams.
    Blocked {
        /// When it may be let in again.
        after_ms: u32,
    },
    /// This instance cannot decide on it.
    Declined,
}

/// `GrantLine` is a [`Placement`] as it is told.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct GrantLine {
    upstream: UpstreamId,
    unread_tokens: u32,
    memory_tokens: u64,
    delay_ms: u32,
    predicted_ms: u32,
    requests: u32,
    share_class: ShareClass,
    fetch_from: Option<UpstreamId>,
    is_cold: bool,
    /// Time for which the request waited at whoever decided, at the least.
    waited_ms: u32,
}

/// `ProgressReport` is what became of one granted request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ProgressReport {
    /// The asker's number of the request.
    pub number: RequestNumber,
    /// What became of it.
    pub event: ProgressEvent,
    /// What the upstream's answer said of its load.
    pub report: Option<ReportLine>,
}

/// `ReportLine` is a [`Report`] as it is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportLine {
    running: u16,
    waiting: u16,
    slots: Option<u16>,
    slowdown_percent: Option<u16>,
}

impl ReportLine {
    /// `new` tells of a report.
    pub fn new(report: &Report) -> Self {
        let short = |number: u32| u16::try_from(number).unwrap_or(u16::MAX);
        Self {
            running: short(report.running),
            waiting: short(report.waiting),
            slots: report.slots.map(short),
            slowdown_percent: report.slowdown.map(|ratio| (100.0 * ratio).round() as u16),
        }
    }

    /// `report` returns the report.
    pub fn report(&self) -> Report {
        Report {
            running: self.running.into(),
            waiting: self.waiting.into(),
            slots: self.slots.map(u32::from),
            slowdown: self.slowdown_percent.map(|percent| f64::from(percent) / 100.0),
        }
    }
}

/// `ProgressEvent` is what became of a granted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProgressEvent {
    /// Its first event or its answer came.
    Begun,
    /// It ended well.
    Answered,
    /// The upstream failed it.
    Failed,
    /// The upstream took no connection.
    Unreachable,
    /// It ended without a word on the upstream, or was never sent.
    Dropped,
}

/// `GrantConfirmation` tells which granted requests are in hand, and how long their upstreams have been silent.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct GrantConfirmation {
    /// The asker's numbers of the requests.
    pub numbers: Vec<RequestNumber>,
    /// Upstreams that run some of them, with the time since the last byte of each.
    pub last_byte_ages_ms: Vec<(UpstreamId, u32)>,
}

/// `OriginLine` tells at which version of software the stream of an attempt began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginLine {
    /// The attempt.
    pub attempt: AttemptNumber,
    /// Its service.
    pub service: ServiceId,
    /// The version.
    pub software: SoftwareId,
    /// Number of the statement; a later one counts.
    pub revision: u32,
    /// For how much longer the stream may be taken up.
    pub valid_ms: u32,
}

/// `OriginQuery` asks where the stream of an attempt began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuery {
    /// The asker's number of the query.
    pub number: u64,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// Service at which it is taken up.
    pub service: ServiceId,
    /// Whether the asked instance is to read the records where it does not know.
    pub reads_records: bool,
}

/// `OriginReply` tells what an instance knows of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReply {
    /// The asker's number of the query.
    pub number: u64,
    /// Where it began; `None` when the instance does not know.
    pub line: Option<OriginLine>,
    /// Whether the service runs several software versions, or did lately, as far as the instance knows.
    pub is_mixed: bool,
    /// The version of the service, where the instance knows of no other one.
    pub only_software: Option<SoftwareId>,
    /// Whether it may know later: it has just started, and others may not have told it yet what it is to keep, or
    /// it cannot read the records.
    pub may_be_told: bool,
}

/// `Presence` tells an instance's failure domain that it has started, or that it is about to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Whether it is about to end.
    pub is_leaving: bool,
}

/// `RepeatRequest` asks a dispatcher to allow a request to a second upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepeatRequest {
    /// The asker's number of the question.
    pub number: u64,
    /// Service whose retry budget it is taken from.
    pub service: ServiceId,
}

/// `RepeatReply` tells whether it is allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepeatReply {
    /// The asker's number of the question.
    pub number: u64,
    /// Whether it was taken out of the budget.
    pub is_allowed: bool,
}

/// `CrashLine` is one crash that counts against one suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashLine {
    /// The suspect.
    pub suspect: SuspectId,
    /// The life of the upstream that crashed.
    pub life: UpstreamId,
    /// Whether the evidence is strong.
    pub is_strong: bool,
    /// Requests without a part that were answered at the sender since the first crash under it.
    pub answers: u16,
    /// Time since the crash.
    pub age_ms: u32,
    /// Time between the sending of the request and the crash.
    pub run_ms: u32,
}

/// `AnsweredLine` tells that a suspect was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnsweredLine {
    /// The suspect.
    pub suspect: SuspectId,
    /// Time since it was answered.
    pub age_ms: u32,
    /// Whether an operator let it in again instead; it may crash upstreams all the same.
    pub is_lifted: bool,
}

/// `MessageError` tells why a datagram is no message.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum MessageError {
    /// it has another format
    Format,
    /// it cannot be read: {0}
    Malformed(String),
}

/// `encode` writes a message.
pub fn encode(message: &Message) -> Option<Vec<u8>> {
    match postcard::to_extend(message, FORMAT.to_vec()) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            log::warn!("event=message_not_encoded error={error}");
            None
        }
    }
}

/// `decode` reads a message.
///
/// # Errors
///
/// Fails on a datagram of another format, and on one that is cut or garbled.
///
/// ```
/// use bergamotpitch_gateway::messages::{Body, Message, MessageError, decode, encode};
///
/// let message = Message { instance: 7, incarnation: 1, body: Body::Progress(Vec::new()) };
/// assert_eq!(decode(&encode(&message).unwrap()), Ok(message));
/// assert_eq!(decode(&[1, 2, 3, 4, 5]), Err(MessageError::Format));
/// ```
pub fn decode(bytes: &[u8]) -> Result<Message, MessageError> {
    let body = bytes.strip_prefix(&FORMAT).ok_or(MessageError::Format)?;
    postcard::from_bytes(body).map_err(|error| MessageError::Malformed(error.to_string()))
}

impl Gateway {
    /// `send_message` sends a message to an instance. What is lost on the way is made up for by
    /// later messages or by timeouts.
    pub fn send_message(&self, body: Body, receiver: SocketAddr) {
        let Options { instance, incarnation, .. } = self.options;
        if let Some(bytes) = encode(&Message { instance, incarnation, body }) {
            self.send_datagram(&bytes, receiver);
        }
    }

    /// `send_datagram` sends an encoded message.
    pub fn send_datagram(&self, bytes: &[u8], receiver: SocketAddr) {
        if let Err(error) = self.datagrams.try_send_to(bytes, receiver) {
            log::debug!("event=datagram_not_sent receiver={receiver} error={error}");
        }
    }
}

impl LoadLine {
    /// `new` tells of an upstream's life.
    pub fn new(upstream: UpstreamId, figures: &Figures) -> Self {
        Self {
            upstream,
            requests: figures.requests,
            unread_tokens: figures.unread_tokens.max(0.0) as u32,
            memory_tokens: figures.memory_tokens,
        }
    }

    /// `figures` returns the sums.
    pub fn figures(&self) -> Figures {
        Figures {
            requests: self.requests,
            unread_tokens: f64::from(self.unread_tokens),
            memory_tokens: self.memory_tokens,
        }
    }
}

impl GrantLine {
    /// `new` tells of a placement; `None` when its upstream was forgotten meanwhile.
    pub fn new(placement: &Placement, waited: Duration, registry: &Registry) -> Option<Self> {
        let incarnation_of = |key| registry.get(key).map(|upstream| upstream.life_number);
        Some(Self {
            upstream: incarnation_of(placement.upstream)?,
            unread_tokens: placement.work.unread_tokens as u32,
            memory_tokens: placement.work.memory_tokens,
            delay_ms: placement.work.delay_ms as u32,
            predicted_ms: millis(placement.predicted),
            requests: placement.requests,
            share_class: placement.share_class,
            fetch_from: placement.fetch_from.and_then(incarnation_of),
            is_cold: placement.is_cold,
            waited_ms: millis(waited),
        })
    }

    /// `placement` returns the placement on a request that was asked for at `asked`; `None` when this
    /// instance does not know its upstream, or knows that it leaves.
    pub fn placement(&self, asked: Timestamp, registry: &Registry) -> Option<Placement> {
        let upstream = registry.key_of_life(self.upstream)?;
        if !registry.get(upstream).is_some_and(|upstream| upstream.takes_work()) {
            return None;
        }
        Some(Placement {
            upstream,
            work: Work {
                unread_tokens: f64::from(self.unread_tokens),
                memory_tokens: self.memory_tokens,
                delay_ms: f64::from(self.delay_ms),
            },
            predicted: Duration::from_millis(self.predicted_ms.into()),
            requests: self.requests,
            share_class: self.share_class,
            rank: None,
            fetch_from: self.fetch_from.and_then(|life| registry.key_of_life(life)),
            decided: asked + Duration::from_millis(self.waited_ms.into()),
            is_cold: self.is_cold,
        })
    }
}

impl ReplyOutcome {
    /// `new` tells of a choice, and for how long the request waited for it at the least; `None` when
    /// its upstream was forgotten meanwhile.
    pub fn new(decision: &Decision, waited: Duration, registry: &Registry) -> Option<Self> {
        Some(match decision {
            Decision::Send(placement) => {
                Self::Granted(GrantLine::new(placement, waited, registry)?)
            }
            Decision::Full { retry_after: after, share_class, least_requests, refused_by } => {
                Self::Full {
                    after_ms: millis(*after),
                    share_class: *share_class,
                    least_requests: *least_requests,
                    refused_by: *refused_by,
                }
            }
            Decision::NoUpstream(after) => Self::NoUpstream { after_ms: millis(*after) },
            Decision::Blocked(after) => Self::Blocked { after_ms: millis(*after) },
        })
    }
}

/// `millis` returns a duration in whole milliseconds, as messages tell it.
pub fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

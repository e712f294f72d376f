//! Refusals: why a request was not answered by an upstream, and whether it may have run.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumMessage, EnumString, IntoStaticStr};

/// `Ran` tells whether a refused request may have run at an upstream.
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
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The request did not run and never will.
    NotRun,
    /// The request was handed over and its outcome is unknown.
    Unknown,
}

/// `RefusalReason` is the code that a refusal carries.
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
    EnumIter,
    EnumMessage,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No bearer key, or one that the sheet does not hold.
    UnknownTeam,
    /// The service does not exist, or the team may not reach it.
    ServiceNotAllowed,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The request itself is malformed.
    BadRequest,
    /// The team's queue is full.
    QueueFull,
    /// The request cannot be served before its deadline.
    DeadlineUnreachable,
    /// The deadline passed.
    DeadlinePassed,
    /// No live upstream serves the service.
    NoUpstream,
    /// The route and the team have no region in common that the request may enter.
    NoAllowedRegion,
    /// It is not known which software version began the stream that the request takes up.
    StreamVersionUnknown,
    /// No upstream runs the software version that began the stream that the request takes up.
    StreamVersionGone,
    /// A part of the prompt crashes upstreams.
    PromptPartBlocked,
    /// Upstreams crash under the request.
    RequestBlocked,
    /// The instance is draining.
    Draining,
    /// The instance has no configuration yet.
    NotReady,
    /// The platform's key-value service is out of reach, so a claim cannot be made.
    ClaimUnavailable,
    /// The idempotency key was claimed before and the outcome is not recorded.
    ClaimOutcomeUnknown,
    /// The idempotency key was used with another request.
    ClaimMismatch,
    /// The upstream failed after the request was handed over.
    UpstreamFailed,
    /// The upstream answered with something that is not an answer.
    UpstreamGarbage,
    /// The retry budget is spent.
    RetryBudgetSpent,
    /// The instance has no processor time for the request.
    InstanceBusy,
    /// The instance has no memory for the request.
    InstanceFull,
    /// The instance is overloaded.
    Overloaded,
}

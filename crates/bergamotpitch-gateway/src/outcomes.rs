//! Outcomes: what the head of an upstream's answer tells of the request that it answers.
//!
//! After some statuses callers and their libraries repeat a request without asking, even one that must not
//! run twice. Such a status reaches a caller only as a refusal of the gateway's own, which is true: where the
//! upstream states that it did not run the request, or where it was never sent.

use http::StatusCode;

use crate::dialects::AnswerFacts;

/// `Outcome` is what is known of a request once the head of its answer is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream states that it did not run it.
    NotRun,
    /// The upstream has run it or denies it, and its answer is passed on.
    Answered,
    /// The status invites the caller to repeat it, and nothing proves that it did not run.
    Unproven,
    /// What came answers another request, or is no final answer: it may have run.
    Foreign,
}

/// `Asked` is what an answer is held against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Asked<'a> {
    /// Id of the attempt.
    pub attempt_id: &'a str,
    /// Whether the caller wants a part of the body alone.
    pub has_range: bool,
}

/// `outcome_of` tells what an answer means for a request.
///
/// ```
/// use bergamotpitch_gateway::dialects::AnswerFacts;
/// use bergamotpitch_gateway::outcomes::{Asked, Outcome, outcome_of};
/// use http::StatusCode;
///
/// let asked = Asked { attempt_id: "a1", has_range: false };
/// let mut facts = AnswerFacts { attempt_id: Some("a1".to_owned()), ..AnswerFacts::default() };
/// assert_eq!(outcome_of(StatusCode::OK, &facts, asked), Outcome::Answered);
/// assert_eq!(outcome_of(StatusCode::PARTIAL_CONTENT, &facts, asked), Outcome::Foreign);
/// assert_eq!(outcome_of(StatusCode::SERVICE_UNAVAILABLE, &facts, asked), Outcome::Unproven);
/// facts.is_not_run = true;
/// assert_eq!(outcome_of(StatusCode::SERVICE_UNAVAILABLE, &facts, asked), Outcome::NotRun);
/// facts.attempt_id = Some("a2".to_owned());
/// assert_eq!(outcome_of(StatusCode::OK, &facts, asked), Outcome::Foreign);
/// ```
pub fn outcome_of(status: StatusCode, facts: &AnswerFacts, asked: Asked<'_>) -> Outcome {
    let is_unasked_part = status == StatusCode::PARTIAL_CONTENT && !asked.has_range;
    if !is_final(status) || is_unasked_part || !is_answer_to(status, facts, asked.attempt_id) {
        return Outcome::Foreign;
    }
    if facts.is_not_run {
        return Outcome::NotRun;
    }
    if permits_repeat(status) { Outcome::Unproven } else { Outcome::Answered }
}

/// Statuses beyond 599 are invalid (RFC 9110, section 15), and those below 200 end no request.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// An answer that echoes another id was meant for an earlier request on this connection. Only the
/// refusals of an upstream that read no further than the head may come without one.
fn is_answer_to(status: StatusCode, facts: &AnswerFacts, attempt_id: &str) -> bool {
    match &facts.attempt_id {
        Some(echoed) => echoed == attempt_id,
        None => facts.is_not_run || status.is_client_error(),
    }
}

/// Statuses after which a request is repeated without regard to what it does (RFC 9110, sections 15.5.9, 15.5.20 and
/// 15.6.4; RFC 6585, section 4; RFC 8470, section 5.2).
fn permits_repeat(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_EARLY
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

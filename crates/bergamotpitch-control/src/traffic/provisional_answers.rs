//! Provisional answers: answers that their upstreams may still crash of.
//!
//! Load pattern: an upstream writes an answer on a bad part of a prompt, all of it or its first events, and
//! crashes a moment later. Taken at once for proof that the part is sound, each such answer would clear
//! what the crash before it had shown.

use std::collections::VecDeque;

use bergamotpitch_core::HashSet;
use bergamotpitch_core::ids::{ServiceId, UpstreamId};

use crate::traffic::crash_suspects::PartKey;
use crate::traffic::facts::PartId;
use crate::traffic::sound_parts::Moment;

/// `OUTLIVED_MS` is the time from the beginning of an answer for which its upstream must live until the answer
/// shows that the parts of its prompt are sound.
pub const OUTLIVED_MS: Moment = 700;

/// `LASTING_MS` is the same for parts under which upstreams have ended later than that.
pub const LASTING_MS: Moment = 6_000;

/// `ANSWERS_MAX` bounds the answers that are remembered; the oldest ones count as outlived beyond it.
const ANSWERS_MAX: usize = 4_096;

/// `Answer` is what an upstream answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The service.
    pub service: ServiceId,
    /// Parts of the prompt that other requests may hold too.
    pub parts: Vec<PartId>,
    /// When the request was sent.
    pub sent_at: Moment,
    /// When the answer began.
    pub begun_at: Moment,
    /// Until when it had gone on.
    pub at: Moment,
}

impl Answer {
    /// `keys` returns its parts with their service.
    pub fn keys(&self) -> impl Iterator<Item = PartKey> {
        self.parts.iter().map(|part| (self.service, *part))
    }
}

/// `ProvisionalAnswers` are the answers whose upstreams have not outlived them.
#[derive(Debug)]
pub struct ProvisionalAnswers {
    outlived_after: Moment,
    answers: VecDeque<(UpstreamId, Answer)>,
    doubted: HashSet<UpstreamId>,
}

impl ProvisionalAnswers {
    /// `new` takes the time from the beginning of an answer for which its upstream must live.
    pub fn new(outlived_after: Moment) -> Self {
        Self { outlived_after, answers: VecDeque::new(), doubted: HashSet::default() }
    }

    /// `note` takes in an answer of an upstream.
    ///
    /// ```
    /// use bergamotpitch_control::traffic::provisional_answers::{
    ///     Answer, OUTLIVED_MS, ProvisionalAnswers,
    /// };
    ///
    /// let answer = Answer { service: 1, parts: vec![7], sent_at: 0, begun_at: 50, at: 450 };
    /// let mut answers = ProvisionalAnswers::new(OUTLIVED_MS);
    /// answers.note(3, answer.clone());
    /// assert_eq!(answers.answered_at((1, 7)), Some(450));
    /// assert_eq!(answers.take_ended(3, 49 + OUTLIVED_MS), [answer.clone()]);
    /// answers.note(3, answer.clone());
    /// assert_eq!(answers.take_outlived(50 + OUTLIVED_MS), [answer]);
    /// assert_eq!(answers.answered_at((1, 7)), None);
    /// ```
    pub fn note(&mut self, upstream: UpstreamId, answer: Answer) {
        self.answers.push_back((upstream, answer));
    }

    /// `answered_at` returns until when the last answer on a part had gone on.
    pub fn answered_at(&self, part: PartKey) -> Option<Moment> {
        let on_part =
            self.answers.iter().filter(|(_, answer)| answer.keys().any(|key| key == part));
        on_part.map(|(_, answer)| answer.at).max()
    }

    /// `holds_any_of` tells whether there are any of an upstream.
    pub fn holds_any_of(&self, upstream: UpstreamId) -> bool {
        self.answers.iter().any(|(life, _)| *life == upstream)
    }

    /// `doubt` takes in that an answer of an upstream broke off, so that it may be about to end.
    pub fn doubt(&mut self, upstream: UpstreamId) {
        self.doubted.insert(upstream);
    }

    /// `trust` takes in that it is not.
    pub fn trust(&mut self, upstream: UpstreamId) {
        self.doubted.remove(&upstream);
    }

    /// `take_ended` takes the answers that an upstream did not outlive, as it ended at a time.
    pub fn take_ended(&mut self, upstream: UpstreamId, at: Moment) -> Vec<Answer> {
        self.doubted.remove(&upstream);
        let outlived_after = self.outlived_after;
        let is_ended =
            |answer: &Answer| answer.begun_at <= at && at < answer.begun_at + outlived_after;
        self.take(|life, answer| life == upstream && is_ended(answer))
    }

    /// `take_outlived` takes the answers that their upstreams have outlived.
    pub fn take_outlived(&mut self, now: Moment) -> Vec<Answer> {
        let doubted = std::mem::take(&mut self.doubted);
        let surplus = self.answers.len().saturating_sub(ANSWERS_MAX);
        let mut outlived: Vec<Answer> =
            self.answers.drain(..surplus).map(|(_, answer)| answer).collect();
        let outlived_after = self.outlived_after;
        outlived.extend(self.take(|life, answer| {
            answer.begun_at + outlived_after <= now && !doubted.contains(&life)
        }));
        self.doubted = doubted;
        outlived
    }

    fn take(&mut self, is_taken: impl Fn(UpstreamId, &Answer) -> bool) -> Vec<Answer> {
        let mut taken = Vec::new();
        self.answers.retain_mut(|(upstream, answer)| {
            let is_taken = is_taken(*upstream, answer);
            if is_taken {
                let Answer { service, sent_at, begun_at, at, .. } = *answer;
                let parts = std::mem::take(&mut answer.parts);
                taken.push(Answer { service, parts, sent_at, begun_at, at });
            }
            !is_taken
        });
        taken
    }
}

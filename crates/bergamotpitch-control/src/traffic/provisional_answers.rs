//! Provisional answers: answers that their upstreams may still crash of.
//!
//! Load pattern: an upstream writes an answer on a bad part of a prompt, all of it or its first events, and
//! crashes a moment later. Taken at once for proof that the part is sound, each such answer would clear
//! what the crash before it had shown.

use std::collections::{BTreeMap, VecDeque};

use bergamotpitch_core::ids::{ServiceId, UpstreamId};
use bergamotpitch_core::{HashMap, HashSet};

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
    /// How many of them are from each upstream.
    counts: HashMap<UpstreamId, usize>,
    /// Until when those on each part had gone on, with how many went on until then.
    ends: HashMap<PartKey, BTreeMap<Moment, usize>>,
    doubted: HashSet<UpstreamId>,
}

impl ProvisionalAnswers {
    /// `new` takes the time from the beginning of an answer for which its upstream must live.
    pub fn new(outlived_after: Moment) -> Self {
        Self {
            outlived_after,
            answers: VecDeque::new(),
            counts: HashMap::default(),
            ends: HashMap::default(),
            doubted: HashSet::default(),
        }
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
        *self.counts.entry(upstream).or_default() += 1;
        for part in answer.keys() {
            *self.ends.entry(part).or_default().entry(answer.at).or_default() += 1;
        }
        self.answers.push_back((upstream, answer));
    }

    /// `answered_at` returns until when the last answer on a part had gone on.
    pub fn answered_at(&self, part: PartKey) -> Option<Moment> {
        self.ends.get(&part)?.last_key_value().map(|(at, _)| *at)
    }

    /// `holds_any_of` tells whether there are any of an upstream.
    pub fn holds_any_of(&self, upstream: UpstreamId) -> bool {
        self.counts.contains_key(&upstream)
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
        if !self.holds_any_of(upstream) {
            return Vec::new();
        }
        let outlived_after = self.outlived_after;
        let is_ended =
            |answer: &Answer| answer.begun_at <= at && at < answer.begun_at + outlived_after;
        self.take(|life, answer| life == upstream && is_ended(answer))
    }

    /// `take_outlived` takes the answers that their upstreams have outlived.
    pub fn take_outlived(&mut self, now: Moment) -> Vec<Answer> {
        let doubted = std::mem::take(&mut self.doubted);
        let surplus = self.answers.len().saturating_sub(ANSWERS_MAX);
        let mut outlived = Vec::new();
        for (upstream, answer) in self.answers.drain(..surplus).collect::<Vec<_>>() {
            self.discount(upstream, &answer);
            outlived.push(answer);
        }
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
                taken.push((*upstream, Answer { service, parts, sent_at, begun_at, at }));
            }
            !is_taken
        });
        taken.iter().for_each(|(upstream, answer)| self.discount(*upstream, answer));
        taken.into_iter().map(|(_, answer)| answer).collect()
    }

    /// Takes an answer that is remembered no more out of the counts.
    fn discount(&mut self, upstream: UpstreamId, answer: &Answer) {
        if let Some(count) = self.counts.get_mut(&upstream) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&upstream);
            }
        }
        for part in answer.keys() {
            let Some(ends) = self.ends.get_mut(&part) else { continue };
            if let Some(count) = ends.get_mut(&answer.at) {
                *count -= 1;
                if *count == 0 {
                    ends.remove(&answer.at);
                }
            }
            if ends.is_empty() {
                self.ends.remove(&part);
            }
        }
    }
}

//! Crash evidence: what counts against one part of prompts or one request, and from when on it is blocked.

use bergamotpitch_core::ids::{ServiceId, UpstreamId, id_of_name};
use serde::{Deserialize, Serialize};

use crate::traffic::facts::PartId;
use crate::traffic::request_digests::RequestDigest;
use crate::traffic::sound_parts::Moment;

/// `CLUSTER_MS` is the time within which upstreams that end count as one crash: what ended them
/// together is not a prompt.
const CLUSTER_MS: Moment = 100;

/// `TOLD_TOLERANCE_MS` is by how much the times of two crashes may differ from those of whoever saw them, as
/// they were told by messages.
const TOLD_TOLERANCE_MS: Moment = 10;

/// `STRONG_WEIGHT` is what strong evidence weighs, and [`WEAK_WEIGHT`] what other evidence does.
pub const STRONG_WEIGHT: u32 = 2;

/// `WEAK_WEIGHT` see [`STRONG_WEIGHT`].
pub const WEAK_WEIGHT: u32 = 1;

/// `REQUEST_CRASHES_MIN` is how many crashes with strong evidence block a request.
const REQUEST_CRASHES_MIN: u32 = 2;

/// `REQUEST_CRASHES_MAX` is how many crashes block a request at any rate.
const REQUEST_CRASHES_MAX: usize = 3;

/// `CRASHES_MIN` is how many crashes a part must have been in hand at before it is blocked.
const CRASHES_MIN: u32 = 2;

/// `CERTAINTY_BITS` is how unlikely it must be, as a power of a half, that a sound part was in hand at all of
/// them and none of its requests was answered.
const CERTAINTY_BITS: f64 = 6.0;

/// `CRASHES_MAX` is how many crashes block a part at any rate, also where it only waited at all of them: where
/// nothing else is answered, there is nothing to compare with, and an upstream may end before it has written
/// a byte.
const CRASHES_MAX: usize = 5;

/// `SOUND_CRASHES_MIN` is the least number of crashes for a part that was answered before: it may have gone
/// bad.
const SOUND_CRASHES_MIN: u32 = 4;

/// `SOUND_CERTAINTY_BITS` is the certainty that is needed for it.
const SOUND_CERTAINTY_BITS: f64 = 2.0 * CERTAINTY_BITS;

/// `SOUND_SPAN_MS` is the least time between the first and the last of them. Requests that hold the part
/// are answered elsewhere meanwhile, if it is sound.
const SOUND_SPAN_MS: Moment = 1_000;

/// `FIRST_BLOCK_MS` is for how long a suspect is blocked at first: longer than callers come back after.
const FIRST_BLOCK_MS: Moment = 30_000;

/// `BLOCK_GROWTH` is how many times as long a block is after each crash that comes as long after the one before
/// as the first block lasted: the crash of a trial.
const BLOCK_GROWTH: Moment = 4;

/// `LONGEST_BLOCK_MS` bounds it.
const LONGEST_BLOCK_MS: Moment = 32 * 60_000;

/// `LATE_SPREAD_MS` is by how much the times from the beginnings of answers on a part to the crashes may differ that
/// come late.
const LATE_SPREAD_MS: Moment = 500;

/// `LATE_CRASHES_MAX` is how many late crashes block a part whatever those times are, where no upstream has outlived
/// an answer on it meanwhile, and it was in hand at [`LATE_PART_OF_CRASHES`] of all crashes.
const LATE_CRASHES_MAX: usize = 8;

/// `LATE_SPAN_MS` is the least time between the first and the last of them: upstreams need time to outlive an answer
/// on a sound part.
const LATE_SPAN_MS: Moment = 4_500;

/// `LATE_PART_OF_CRASHES` is at which part of all crashes such a part was in hand. One that is seldom asked for is in
/// hand at some crashes by chance, and not answered between them.
const LATE_PART_OF_CRASHES: f64 = 2.0 / 3.0;

/// `EVIDENCE_MAX` bounds the crashes that are kept of one suspect; the first ones tell nothing more.
const EVIDENCE_MAX: usize = 16;

/// `SuspectId` names what may crash upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SuspectId {
    /// A part of the prompts for a service, whatever else a prompt holds.
    Part(ServiceId, PartId),
    /// One request, at whichever service.
    Request(RequestDigest),
    /// A part of the prompts for a service, under which upstreams end seconds after an answer began.
    LatePart(ServiceId, PartId),
}

impl SuspectId {
    /// `number` returns a number to draw by.
    pub fn number(self) -> u64 {
        match self {
            Self::Part(_, part) | Self::LatePart(_, part) => part,
            Self::Request(digest) => digest,
        }
    }

    /// `is_request` tells whether it is one request.
    pub fn is_request(self) -> bool {
        matches!(self, Self::Request(_))
    }
}

/// `Evidence` is one crash that counts against one suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// The suspect.
    pub suspect: SuspectId,
    /// The life of the upstream that crashed: seen by several instances, it is one crash.
    pub life: UpstreamId,
    /// Whether an answer on the part had begun there, as far as its instance could see; and of a request, that
    /// it had not been answered for long, as the upstream would have crashed sooner.
    pub is_strong: bool,
    /// When the upstream crashed.
    pub at: Moment,
    /// When the request was sent there; against a late part, when its answer began.
    pub sent_at: Moment,
}

/// `recorded_block` returns what counts against a part that was blocked before the start of this process, at time
/// zero: as many crashes as block a part at any rate, of a block that is over. What cleared the part since then may
/// not be known, so that it is tried before it is refused again.
pub fn recorded_block(service: ServiceId, part: PartId) -> Vec<Evidence> {
    let crash = |number: Moment| {
        // The same at each instance, so that it counts once.
        let life = id_of_name(&format!("{service}/{part:x}/{number}"));
        let at = -FIRST_BLOCK_MS - number * CLUSTER_MS;
        let suspect = SuspectId::Part(service, part);
        Evidence { suspect, life, is_strong: true, at, sent_at: at }
    };
    (1..=CRASHES_MAX as Moment).map(crash).collect()
}

/// `Meanwhile` is what has happened besides since the first crash that counts against a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Meanwhile {
    /// Requests without it that were answered.
    pub answers: u64,
    /// Upstreams that crashed, whatever was in hand there.
    pub crashes: usize,
}

/// `CrashRecord` is all that counts against one suspect.
#[derive(Debug, Clone)]
pub struct CrashRecord {
    /// In order of time.
    evidence: Vec<Evidence>,
    suspect: SuspectId,
    /// Whether the part was answered before the first crash.
    pub was_sound: bool,
}

impl CrashRecord {
    /// `new` holds nothing against a suspect that was answered before, or was not.
    pub fn new(suspect: SuspectId, was_sound: bool) -> Self {
        Self { evidence: Vec::new(), suspect, was_sound }
    }

    /// `evidence` returns the crashes, in order of time.
    pub fn evidence(&self) -> &[Evidence] {
        &self.evidence
    }

    /// `add` takes in a crash; it tells whether that was news.
    pub fn add(&mut self, evidence: Evidence) -> bool {
        if let Some(known) = self.evidence.iter_mut().find(|known| known.life == evidence.life) {
            let is_news = evidence.is_strong && !known.is_strong;
            known.is_strong |= evidence.is_strong;
            return is_news;
        }
        let place = self.evidence.partition_point(|known| known.at <= evidence.at);
        self.evidence.insert(place, evidence);
        if EVIDENCE_MAX < self.evidence.len() {
            self.evidence.remove(0);
        }
        true
    }

    /// `retain` keeps the crashes for which a predicate holds; it tells whether any is gone.
    pub fn retain(&mut self, predicate: impl Fn(&Evidence) -> bool) -> bool {
        let before = self.evidence.len();
        self.evidence.retain(predicate);
        self.evidence.len() < before
    }

    /// `take_until` takes the crashes up to a time out.
    pub fn take_until(&mut self, at: Moment) -> Vec<Evidence> {
        let end = self.evidence.partition_point(|evidence| evidence.at <= at);
        self.evidence.drain(..end).collect()
    }

    /// `is_strong_at` tells whether the crash of an upstream is strong evidence.
    pub fn is_strong_at(&self, life: UpstreamId) -> bool {
        self.evidence.iter().any(|evidence| evidence.life == life && evidence.is_strong)
    }

    /// `last_at` returns the time of the last crash.
    pub fn last_at(&self) -> Moment {
        self.evidence.last().map_or(0, |evidence| evidence.at)
    }

    /// `blocked_until` returns until when the suspect is blocked; `None` while it is only suspected.
    pub fn blocked_until(&self, meanwhile: Meanwhile) -> Option<Moment> {
        let is_blocked = match self.suspect {
            SuspectId::Request(_) => self.is_certain_of_request(),
            SuspectId::Part(..) => self.is_certain_of_part(meanwhile.answers),
            SuspectId::LatePart(..) => self.is_certain_of_late_part(meanwhile.crashes),
        };
        if !is_blocked {
            return None;
        }
        let gaps = self.evidence.windows(2).map(|pair| pair[1].at - pair[0].at);
        let trials = gaps.filter(|gap| FIRST_BLOCK_MS <= *gap).count();
        let growth = BLOCK_GROWTH.saturating_pow(trials as u32);
        Some(self.last_at() + FIRST_BLOCK_MS.saturating_mul(growth).min(LONGEST_BLOCK_MS))
    }

    /// A sound request may be in hand at one upstream that ends, and at another one in seconds of many ends;
    /// with each further one it costs others more than it is worth itself.
    fn is_certain_of_request(&self) -> bool {
        STRONG_WEIGHT * REQUEST_CRASHES_MIN <= self.weight()
            || REQUEST_CRASHES_MAX <= self.clusters().count()
    }

    fn is_certain_of_part(&self, answers: u64) -> bool {
        let Some(first) = self.evidence.first() else { return false };
        let (crashes_min, bits_min) = match self.was_sound {
            true => (SOUND_CRASHES_MIN, SOUND_CERTAINTY_BITS),
            false => (CRASHES_MIN, CERTAINTY_BITS),
        };
        let weight = self.weight();
        let is_compared = STRONG_WEIGHT * crashes_min <= weight
            && bits_min <= self.certainty_bits(answers)
            && (!self.was_sound || first.at + SOUND_SPAN_MS <= self.last_at());
        is_compared || CRASHES_MAX <= self.clusters().count()
    }

    /// Many parts are in hand at an upstream for some seconds before it ends by chance. One that crashes it does so
    /// after much the same time, or each time.
    fn is_certain_of_late_part(&self, crashes: usize) -> bool {
        let firsts: Vec<&Evidence> = self.clusters().filter_map(<[Evidence]>::first).collect();
        let is_usual = LATE_PART_OF_CRASHES * crashes as f64 <= self.evidence.len() as f64;
        let is_long = firsts.first().is_some_and(|first| first.at + LATE_SPAN_MS <= self.last_at());
        if LATE_CRASHES_MAX <= firsts.len() && is_usual && is_long {
            return true;
        }
        let Some(start) = firsts.len().checked_sub(CRASHES_MAX) else { return false };
        let delays = firsts.iter().skip(start).map(|crash| crash.at - crash.sent_at);
        let (least, most) = (delays.clone().min(), delays.max());
        least.zip(most).is_some_and(|(least, most)| most <= least + LATE_SPREAD_MS)
    }

    /// `weight` returns the sum over crashes; upstreams that ended together count once.
    pub fn weight(&self) -> u32 {
        let weight_of = |evidence: &Evidence| match evidence.is_strong {
            true => STRONG_WEIGHT,
            false => WEAK_WEIGHT,
        };
        self.clusters().map(|cluster| cluster.iter().map(weight_of).max().unwrap_or(0)).sum()
    }

    /// Crashes of upstreams that ended together. A request that was sent on after one of them had ended had a
    /// further one to itself. Where answers have begun, it is not sent on.
    fn clusters(&self) -> impl Iterator<Item = &[Evidence]> {
        let mut rest = self.evidence.as_slice();
        std::iter::from_fn(move || {
            let first = rest.first()?;
            let is_apart = |evidence: &Evidence| {
                let may_be_sent_on = self.suspect.is_request() || !evidence.is_strong;
                let is_sent_on = may_be_sent_on && first.at <= evidence.sent_at + TOLD_TOLERANCE_MS;
                is_sent_on || first.at + CLUSTER_MS <= evidence.at
            };
            let end = rest.iter().skip(1).position(is_apart).map_or(rest.len(), |end| end + 1);
            let (cluster, after) = rest.split_at(end);
            rest = after;
            Some(cluster)
        })
    }

    /// How unlikely these crashes are for a sound part: each request that ended did so by a crash, where of
    /// all that ended one in `1 + answers / crashes` did. Before anything is answered they tell nothing.
    fn certainty_bits(&self, answers: u64) -> f64 {
        let crashes = f64::from(self.weight()) / f64::from(STRONG_WEIGHT);
        if crashes <= 0.0 { 0.0 } else { crashes * (1.0 + answers as f64 / crashes).log2() }
    }
}

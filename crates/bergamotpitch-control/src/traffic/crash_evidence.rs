//! Crash evidence: what counts against one part of prompts, and from when on it is blocked.

use crate::traffic::crash_suspects::PartKey;
use crate::traffic::sound_parts::Moment;
use bergamotpitch_core::ids::UpstreamId;

/// `CLUSTER_MS` is the time within which upstreams that end count as one crash: what ended them
/// together is not a prompt.
const CLUSTER_MS: Moment = 100;

/// `BEGUN_WEIGHT` is what a crash weighs against a part whose answer had just begun there, and
/// [`WAITING_WEIGHT`] against one that still waited, as far as its instance could see.
pub const BEGUN_WEIGHT: u32 = 2;

/// `WAITING_WEIGHT` see [`BEGUN_WEIGHT`].
pub const WAITING_WEIGHT: u32 = 1;

/// `CRASHES_MIN` is how many crashes a part must have been in hand at before it is blocked.
const CRASHES_MIN: u32 = 2;

/// `CERTAINTY_BITS` is how unlikely it must be, as a power of a half, that a sound part was in hand at all of
/// them and none of its requests was answered.
const CERTAINTY_BITS: f64 = 6.0;

/// `CRASHES_MAX` is how many crashes block a part at any rate: where nothing else is answered, there is nothing
/// to compare with.
const CRASHES_MAX: u32 = 5;

/// `SOUND_CRASHES_MIN` is the least number of crashes for a part that was answered before: it may have gone
/// bad.
const SOUND_CRASHES_MIN: u32 = 4;

/// `SOUND_CERTAINTY_BITS` is the certainty that is needed for it.
const SOUND_CERTAINTY_BITS: f64 = 2.0 * CERTAINTY_BITS;

/// `SOUND_SPAN_MS` is the least time between the first and the last of them. Requests that hold the part
/// are answered elsewhere meanwhile, if it is sound.
const SOUND_SPAN_MS: Moment = 1_000;

/// `FIRST_BLOCK_MS` is for how long a part is blocked at first; each crash that comes as long after the one
/// before, as a trial does, makes it [`BLOCK_GROWTH`] times as long.
const FIRST_BLOCK_MS: Moment = 30_000;

/// `BLOCK_GROWTH` see [`FIRST_BLOCK_MS`].
const BLOCK_GROWTH: Moment = 4;

/// `LONGEST_BLOCK_MS` bounds it.
const LONGEST_BLOCK_MS: Moment = 32 * 60_000;

/// `EVIDENCE_MAX` bounds the crashes that are kept of one part; the first ones tell nothing more.
const EVIDENCE_MAX: usize = 16;

/// `Evidence` is one crash that counts against one part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// The part.
    pub part: PartKey,
    /// The life of the upstream that crashed: seen by several instances, it is one crash.
    pub life: UpstreamId,
    /// Whether its answer had begun there.
    pub has_begun: bool,
    /// When the upstream crashed.
    pub at: Moment,
}

/// `CrashRecord` is all that counts against one part.
#[derive(Debug, Clone)]
pub struct CrashRecord {
    /// In order of time.
    evidence: Vec<Evidence>,
    /// Whether the part was answered before the first crash.
    pub was_sound: bool,
}

impl CrashRecord {
    /// `new` holds nothing against a part that was answered before, or was not.
    pub fn new(was_sound: bool) -> Self {
        Self { evidence: Vec::new(), was_sound }
    }

    /// `evidence` returns the crashes, in order of time.
    pub fn evidence(&self) -> &[Evidence] {
        &self.evidence
    }

    /// `add` takes in a crash; it tells whether that was news.
    pub fn add(&mut self, evidence: Evidence) -> bool {
        if let Some(known) = self.evidence.iter_mut().find(|known| known.life == evidence.life) {
            let is_news = evidence.has_begun && !known.has_begun;
            known.has_begun |= evidence.has_begun;
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

    /// `has_begun_at` tells whether an answer on the part had begun at an upstream that crashed.
    pub fn has_begun_at(&self, life: UpstreamId) -> bool {
        self.evidence.iter().any(|evidence| evidence.life == life && evidence.has_begun)
    }

    /// `last_at` returns the time of the last crash.
    pub fn last_at(&self) -> Moment {
        self.evidence.last().map_or(0, |evidence| evidence.at)
    }

    /// `blocked_until` returns until when the part is blocked, where `answers` requests without it have been
    /// answered since the first crash; `None` while it is only suspected.
    pub fn blocked_until(&self, answers: u64) -> Option<Moment> {
        let (crashes_min, bits_min) = match self.was_sound {
            true => (SOUND_CRASHES_MIN, SOUND_CERTAINTY_BITS),
            false => (CRASHES_MIN, CERTAINTY_BITS),
        };
        let (first, last) = (self.evidence.first()?.at, self.last_at());
        let weight = self.weight();
        let is_compared = BEGUN_WEIGHT * crashes_min <= weight
            && bits_min <= self.certainty_bits(answers)
            && (!self.was_sound || first + SOUND_SPAN_MS <= last);
        if !is_compared && weight < BEGUN_WEIGHT * CRASHES_MAX {
            return None;
        }
        let gaps = self.evidence.windows(2).map(|pair| pair[1].at - pair[0].at);
        let trials = gaps.filter(|gap| FIRST_BLOCK_MS <= *gap).count();
        let growth = BLOCK_GROWTH.saturating_pow(trials as u32);
        Some(last + FIRST_BLOCK_MS.saturating_mul(growth).min(LONGEST_BLOCK_MS))
    }

    /// `weight` returns the sum over crashes; upstreams that ended together count once.
    pub fn weight(&self) -> u32 {
        let mut weight = 0;
        let mut cluster: Option<(Moment, u32)> = None;
        for evidence in &self.evidence {
            let own = if evidence.has_begun { BEGUN_WEIGHT } else { WAITING_WEIGHT };
            match &mut cluster {
                Some((first, most)) if evidence.at < *first + CLUSTER_MS => *most = own.max(*most),
                _ => {
                    weight += cluster.map_or(0, |(_, most)| most);
                    cluster = Some((evidence.at, own));
                }
            }
        }
        weight + cluster.map_or(0, |(_, most)| most)
    }

    /// How unlikely these crashes are for a sound part: each request that ended did so by a crash, where of
    /// all that ended one in `1 + answers / crashes` did. Before anything is answered they tell nothing.
    fn certainty_bits(&self, answers: u64) -> f64 {
        let crashes = f64::from(self.weight()) / f64::from(BEGUN_WEIGHT);
        if crashes <= 0.0 { 0.0 } else { crashes * (1.0 + answers as f64 / crashes).log2() }
    }
}

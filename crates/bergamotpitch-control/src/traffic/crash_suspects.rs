//! Crash suspects: parts of prompts under which upstreams crash.
//!
//! Load pattern: each engine that begins to answer a prompt with a certain part crashes, and takes the
//! streams of all others with it. Such prompts come at any instance, beside sound ones that share all of
//! their other parts. One crash tells little: dozens of requests were in hand there. A part is found by
//! what upstreams that crashed one after the other had begun to answer, and by what none has ever
//! answered; a part that is answered once is sound.

use std::time::Duration;

use bergamotpitch_core::ids::{ServiceId, UpstreamId};
use bergamotpitch_core::{HashMap, HashSet};

use crate::traffic::facts::PartId;
use crate::traffic::sound_parts::{Moment, SoundParts};

/// `PartKey` names a part of the prompts for one service.
pub type PartKey = (ServiceId, PartId);

/// `CLUSTER_MS` is the time within which upstreams that end count as one crash: what ended them
/// together is not a prompt.
const CLUSTER_MS: Moment = 100;

/// `BEGUN_WEIGHT` is what a crash weighs against a part whose answer had just begun there, and
/// [`WAITING_WEIGHT`] against one that still waited, as far as its instance could see.
const BEGUN_WEIGHT: u32 = 2;

/// `WAITING_WEIGHT` see [`BEGUN_WEIGHT`].
const WAITING_WEIGHT: u32 = 1;

/// `BLOCK_WEIGHT` is the weight at which a part is blocked that no upstream answered lately.
const BLOCK_WEIGHT: u32 = 2 * BEGUN_WEIGHT;

/// `BLOCK_WEIGHT_OF_SOUND` is the same for a part that was answered before: it may have gone bad, or may
/// have been in hand at each of several crashes, as many requests hold it.
const BLOCK_WEIGHT_OF_SOUND: u32 = 4 * BEGUN_WEIGHT;

/// `SOUND_SPAN_MS` is the least time between the first and the last crash under such a part. Requests that
/// hold it are answered elsewhere meanwhile, if it is sound.
const SOUND_SPAN_MS: Moment = 1_000;

/// `FIRST_BLOCK_MS` is for how long a part is blocked at first; each further crash makes it
/// [`BLOCK_GROWTH`] times as long.
const FIRST_BLOCK_MS: Moment = 30_000;

/// `BLOCK_GROWTH` see [`FIRST_BLOCK_MS`].
const BLOCK_GROWTH: Moment = 4;

/// `LONGEST_BLOCK_MS` bounds it.
const LONGEST_BLOCK_MS: Moment = 32 * 60_000;

/// `TRIAL_WINDOW_MS` is for how long one instance may try a part whose block is over, before the next one
/// may: it may be gone, or get no request with the part.
pub const TRIAL_WINDOW_MS: Moment = 5_000;

/// `EVIDENCE_MEMORY_MS` is for how long a crash counts after the block that it led to.
const EVIDENCE_MEMORY_MS: Moment = 10 * 60_000;

/// `WAITING_MEMORY_MS` is the same for a part that only waited at an upstream which crashed once.
const WAITING_MEMORY_MS: Moment = 60_000;

/// `SUSPECTS_MAX` bounds the table; parts with the least evidence give way.
const SUSPECTS_MAX: usize = 1_024;

/// `EVIDENCE_MAX` bounds the crashes that are kept of one part; the first ones tell nothing more.
const EVIDENCE_MAX: usize = 16;

/// `RETRACTION_DELAY_MS` is the time after which a byte of an upstream shows that it did not crash; what was
/// under way may be read until then.
const RETRACTION_DELAY_MS: Moment = 250;

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

/// `Verdict` tells where a request may go because of the parts of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Anywhere.
    Admit,
    /// To the upstream that all requests with this part prefer, so that they crash one together.
    Confine(PartId),
    /// As [`Verdict::Confine`], and only from the instance whose turn it is, one at a time.
    Try(Turn),
    /// Nowhere, for this time.
    Block(Duration),
}

/// `Turn` tells whose turn it is to try a part whose block is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    /// The part.
    pub part: PartId,
    /// Number of the block that is over; each one begins with another instance.
    pub round: u32,
    /// Place of the instance in the order of the round.
    pub place: usize,
}

/// `Suspicion` is what is known against one part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspicion {
    /// The part.
    pub part: PartKey,
    /// Crashes that count against it.
    pub crashes: usize,
    /// Until when it is blocked; `None` while it is only suspected.
    pub blocked_until: Option<Moment>,
}

/// `CrashSuspects` is the table of parts under which upstreams have crashed.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    /// Parts that were answered lately.
    pub sound: SoundParts,
    suspects: HashMap<PartKey, Suspect>,
    crashed: HashSet<UpstreamId>,
    /// When operators let parts in again, and when upstreams showed that they live: what others tell
    /// of the time before counts no more.
    lifted: HashMap<PartKey, Moment>,
    alive: HashMap<UpstreamId, Moment>,
}

#[derive(Debug, Default)]
struct Suspect {
    /// In order of time.
    evidence: Vec<Evidence>,
    was_sound: bool,
}

impl CrashSuspects {
    /// `is_empty` tells whether no part is suspected at all.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// `note_crash` takes in a crash that counts against a part; it tells whether that was news.
    pub fn note_crash(&mut self, evidence: Evidence) -> bool {
        let Evidence { part, life, has_begun, at } = evidence;
        let sound_at = self.sound.answered_at(part);
        let refuted_at =
            [sound_at, self.lifted.get(&part).copied(), self.alive.get(&life).copied()];
        if refuted_at.into_iter().flatten().any(|refuted_at| at <= refuted_at) {
            return false;
        }
        if !self.suspects.contains_key(&part) && SUSPECTS_MAX <= self.suspects.len() {
            self.drop_weakest();
        }
        let suspect = self.suspects.entry(part).or_default();
        suspect.was_sound |= suspect.evidence.is_empty() && sound_at.is_some();
        if let Some(known) = suspect.evidence.iter_mut().find(|known| known.life == life) {
            let is_news = has_begun && !known.has_begun;
            known.has_begun |= has_begun;
            return is_news;
        }
        self.crashed.insert(life);
        let place = suspect.evidence.partition_point(|known| known.at <= at);
        suspect.evidence.insert(place, evidence);
        if EVIDENCE_MAX < suspect.evidence.len() {
            suspect.evidence.remove(0);
        }
        true
    }

    /// `note_answered` takes in that requests with these parts were answered, up to a time; it returns the
    /// parts that were suspected.
    pub fn note_answered(
        &mut self,
        service: ServiceId,
        parts: impl Iterator<Item = PartId>,
        at: Moment,
    ) -> Vec<PartKey> {
        let mut cleared = Vec::new();
        for part in parts.map(|part| (service, part)) {
            self.sound.note(part, at);
            if !self.suspects.is_empty() && self.clear(part, at) {
                cleared.push(part);
            }
        }
        cleared
    }

    /// `lift` lets a part in again until upstreams crash under it anew; it tells whether anything counted
    /// against it.
    pub fn lift(&mut self, part: PartKey, at: Moment) -> bool {
        self.lifted.insert(part, at);
        self.clear(part, at)
    }

    /// `clear` drops what counts against a part up to a time; it tells whether there was anything.
    fn clear(&mut self, part: PartKey, at: Moment) -> bool {
        let Some(suspect) = self.suspects.get_mut(&part) else { return false };
        let before = suspect.evidence.len();
        suspect.evidence.retain(|evidence| at < evidence.at);
        let is_cleared = suspect.evidence.len() < before;
        suspect.was_sound = true;
        if suspect.evidence.is_empty() {
            self.suspects.remove(&part);
        }
        is_cleared
    }

    /// `retract` takes in that bytes come from an upstream at a time; it tells whether it had counted as
    /// crashed before.
    pub fn retract(&mut self, life: UpstreamId, now: Moment) -> bool {
        if !self.crashed.contains(&life) {
            return false;
        }
        let is_refuted =
            |evidence: &Evidence| evidence.life == life && evidence.at + RETRACTION_DELAY_MS <= now;
        let mut was_crashed = false;
        self.suspects.retain(|_, suspect| {
            was_crashed |= suspect.evidence.iter().any(is_refuted);
            suspect.evidence.retain(|evidence| !is_refuted(evidence));
            !suspect.evidence.is_empty()
        });
        if was_crashed {
            self.crashed.remove(&life);
            self.alive.insert(life, now);
        }
        was_crashed
    }

    /// `verdict` tells where a request with these parts may go. A part counts as blocked only where the
    /// request holds all parts that may have crashed the same upstreams instead: sound requests that share
    /// one of them are let in, and clear it.
    pub fn verdict(
        &self,
        service: ServiceId,
        parts: impl Iterator<Item = PartId>,
        now: Moment,
    ) -> Verdict {
        let suspected: Vec<(PartId, &Suspect)> =
            parts.filter_map(|part| Some((part, self.suspects.get(&(service, part))?))).collect();
        let verdicts = suspected.iter().map(|(part, suspect)| {
            let verdict = suspect.verdict(*part, now);
            match verdict {
                Verdict::Block(_) | Verdict::Try(_)
                    if self.has_other_cause(service, suspect, &suspected) =>
                {
                    Verdict::Confine(*part)
                }
                _ => verdict,
            }
        });
        verdicts.max_by_key(Verdict::severity).unwrap_or(Verdict::Admit)
    }

    /// Whether a part that a request does not hold was in hand wherever the suspect was.
    fn has_other_cause(
        &self,
        service: ServiceId,
        suspect: &Suspect,
        held: &[(PartId, &Suspect)],
    ) -> bool {
        let others = self.suspects.iter().filter(|((of_service, part), _)| {
            *of_service == service && held.iter().all(|(other, _)| other != part)
        });
        let is_in_hand = |other: &Suspect, life: UpstreamId| {
            other.evidence.iter().any(|evidence| evidence.life == life && evidence.has_begun)
        };
        let mut others = others.map(|(_, other)| other);
        others.any(|other| suspect.evidence.iter().all(|evidence| is_in_hand(other, evidence.life)))
    }

    /// `suspicions` returns what is known against each part, in no order.
    pub fn suspicions(&self) -> Vec<Suspicion> {
        let suspicion = |(part, suspect): (&PartKey, &Suspect)| Suspicion {
            part: *part,
            crashes: suspect.evidence.len(),
            blocked_until: suspect.blocked_until(),
        };
        self.suspects.iter().map(suspicion).collect()
    }

    /// `suspicion_of` returns what is known against one part.
    pub fn suspicion_of(&self, part: PartKey) -> Option<Suspicion> {
        let suspect = self.suspects.get(&part)?;
        let (crashes, blocked_until) = (suspect.evidence.len(), suspect.blocked_until());
        Some(Suspicion { part, crashes, blocked_until })
    }

    /// `begun_evidence` returns the crashes that other instances are told again and again.
    pub fn begun_evidence(&self) -> impl Iterator<Item = &Evidence> {
        let all = self.suspects.values().flat_map(|suspect| &suspect.evidence);
        all.filter(|evidence| evidence.has_begun)
    }

    /// `step` forgets crashes that are long past.
    pub fn step(&mut self, now: Moment) {
        self.sound.step(now);
        let is_recent = |at: &Moment| now < at + EVIDENCE_MEMORY_MS;
        self.lifted.retain(|_, at| is_recent(at));
        self.alive.retain(|_, at| is_recent(at));
        if self.suspects.is_empty() {
            self.crashed.clear();
            return;
        }
        self.suspects.retain(|_, suspect| !suspect.is_forgotten(now));
    }

    fn drop_weakest(&mut self) {
        let weakest = self
            .suspects
            .iter()
            .min_by_key(|(part, suspect)| (suspect.weight(), suspect.last_at(), **part));
        if let Some(part) = weakest.map(|(part, _)| *part) {
            self.suspects.remove(&part);
        }
    }
}

impl Verdict {
    fn severity(&self) -> u8 {
        match self {
            Self::Admit => 0,
            Self::Confine(_) => 1,
            Self::Try(_) => 2,
            Self::Block(_) => 3,
        }
    }
}

impl Suspect {
    fn verdict(&self, part: PartId, now: Moment) -> Verdict {
        let Some(blocked_until) = self.blocked_until() else {
            let is_confined = !self.was_sound && BEGUN_WEIGHT <= self.weight();
            return if is_confined { Verdict::Confine(part) } else { Verdict::Admit };
        };
        if now < blocked_until {
            return Verdict::Block(Duration::from_millis((blocked_until - now) as u64));
        }
        let place = ((now - blocked_until) / TRIAL_WINDOW_MS) as usize;
        Verdict::Try(Turn { part, round: self.weight(), place })
    }

    fn blocked_until(&self) -> Option<Moment> {
        let weight = self.weight();
        let (first, last) = (self.evidence.first()?.at, self.evidence.last()?.at);
        let block_weight = match self.was_sound {
            true if last < first + SOUND_SPAN_MS => return None,
            true => BLOCK_WEIGHT_OF_SOUND,
            false => BLOCK_WEIGHT,
        };
        let further = weight.checked_sub(block_weight)? / BEGUN_WEIGHT;
        let growth = BLOCK_GROWTH.saturating_pow(further);
        Some(last + FIRST_BLOCK_MS.saturating_mul(growth).min(LONGEST_BLOCK_MS))
    }

    /// The sum over crashes; upstreams that ended together count once.
    fn weight(&self) -> u32 {
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

    fn last_at(&self) -> Moment {
        self.evidence.last().map_or(0, |evidence| evidence.at)
    }

    fn is_forgotten(&self, now: Moment) -> bool {
        let memory =
            if self.weight() <= WAITING_WEIGHT { WAITING_MEMORY_MS } else { EVIDENCE_MEMORY_MS };
        self.blocked_until().unwrap_or(self.last_at()) + memory < now
    }
}

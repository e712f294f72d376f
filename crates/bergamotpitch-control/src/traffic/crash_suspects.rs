//! Crash suspects: parts of prompts under which upstreams crash.
//!
//! Load pattern: each engine that begins to answer a prompt with a certain part crashes, and takes the
//! streams of all others with it. Such prompts come at any instance, beside sound ones that share all of
//! their other parts. One crash tells little: dozens of requests were in hand there. A part is found by
//! what upstreams that crashed one after the other had begun to answer, while requests without it were
//! answered; a part that is answered once is sound.

use std::time::Duration;

use bergamotpitch_core::ids::{ServiceId, UpstreamId};
use bergamotpitch_core::{HashMap, HashSet};

pub use crate::traffic::crash_evidence::Evidence;
use crate::traffic::crash_evidence::{BEGUN_WEIGHT, CrashRecord, WAITING_WEIGHT};
use crate::traffic::facts::PartId;
use crate::traffic::sound_parts::{Moment, SoundParts};

/// `PartKey` names a part of the prompts for one service.
pub type PartKey = (ServiceId, PartId);

/// `TRIAL_WINDOW_MS` is for how long one instance may try a part whose block is over, before the next one
/// may: it may be gone, or get no request with the part.
pub const TRIAL_WINDOW_MS: Moment = 5_000;

/// `EVIDENCE_MEMORY_MS` is for how long a crash counts after the block that it led to.
const EVIDENCE_MEMORY_MS: Moment = 10 * 60_000;

/// `WAITING_MEMORY_MS` is the same for a part that only waited at an upstream which crashed once.
const WAITING_MEMORY_MS: Moment = 60_000;

/// `SUSPECTS_MAX` bounds the table; parts with the least evidence give way.
const SUSPECTS_MAX: usize = 1_024;

/// `RETRACTION_DELAY_MS` is the time after which a byte of an upstream shows that it did not crash; what was
/// under way may be read until then.
const RETRACTION_DELAY_MS: Moment = 250;

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
    /// Whether an answer on it had begun at one of them.
    pub has_begun: bool,
    /// The upstream of the last of them.
    pub last_life: UpstreamId,
    /// When that was.
    pub last_at: Moment,
    /// Requests without it that were answered since the first of them.
    pub answers: u64,
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
    /// Requests that were answered here, by service.
    answers: HashMap<ServiceId, u64>,
}

#[derive(Debug)]
struct Suspect {
    record: CrashRecord,
    /// Requests that had been answered here before the first crash.
    answers_before: u64,
    /// Requests that were answered since then at another instance.
    answers_told: u64,
}

impl CrashSuspects {
    /// `is_empty` tells whether no part is suspected at all.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// `note_crash` takes in a crash that counts against a part, and how many requests without the part have
    /// been answered since the first one at whoever tells of it; it tells whether the crash was news.
    pub fn note_crash(&mut self, evidence: Evidence, answers: u64) -> bool {
        let Evidence { part, life, at, .. } = evidence;
        let sound_at = self.sound.answered_at(part);
        let lifted_at = self.lifted.get(&part).copied();
        let alive_at = self.alive.get(&life).copied();
        let refuted_at = [sound_at, lifted_at, alive_at];
        if refuted_at.into_iter().flatten().any(|refuted_at| at <= refuted_at) {
            return false;
        }
        if !self.suspects.contains_key(&part) && SUSPECTS_MAX <= self.suspects.len() {
            self.drop_weakest();
        }
        let answers_before = self.answers.get(&part.0).copied().unwrap_or_default();
        let suspect = self.suspects.entry(part).or_insert_with(|| {
            let record = CrashRecord::new(sound_at.is_some());
            Suspect { record, answers_before, answers_told: 0 }
        });
        suspect.answers_told = suspect.answers_told.max(answers);
        self.crashed.insert(life);
        suspect.record.add(evidence)
    }

    /// `note_answered` takes in that a request with these parts was answered, up to a time; it returns the
    /// parts that were suspected.
    pub fn note_answered(
        &mut self,
        service: ServiceId,
        parts: impl Iterator<Item = PartId>,
        at: Moment,
    ) -> Vec<PartKey> {
        *self.answers.entry(service).or_default() += 1;
        let parts = parts.map(|part| (service, part));
        parts.filter(|part| self.note_sound(*part, at)).collect()
    }

    /// `note_sound` takes in that a part was answered up to a time; it tells whether it was suspected.
    pub fn note_sound(&mut self, part: PartKey, at: Moment) -> bool {
        self.sound.note(part, at);
        !self.suspects.is_empty() && self.clear(part, at)
    }

    /// `lift` lets a part in again until upstreams crash under it anew; it tells whether anything counted
    /// against it.
    pub fn lift(&mut self, part: PartKey, at: Moment) -> bool {
        self.lifted.insert(part, at);
        self.clear(part, at)
    }

    fn clear(&mut self, part: PartKey, at: Moment) -> bool {
        let answers = self.answers.get(&part.0).copied().unwrap_or_default();
        let Some(suspect) = self.suspects.get_mut(&part) else { return false };
        let is_cleared = suspect.record.retain(|evidence| at < evidence.at);
        suspect.record.was_sound = true;
        (suspect.answers_before, suspect.answers_told) = (answers, 0);
        if suspect.record.evidence().is_empty() {
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
            was_crashed |= suspect.record.retain(|evidence| !is_refuted(evidence));
            !suspect.record.evidence().is_empty()
        });
        if was_crashed {
            self.crashed.remove(&life);
            self.alive.insert(life, now);
        }
        was_crashed
    }

    /// `verdict` tells where a request with these parts may go. Crashes that a blocked part explains which
    /// the request does not hold do not count against its own: sound requests that share all other parts
    /// are let in, and clear them.
    pub fn verdict(
        &self,
        service: ServiceId,
        parts: impl Iterator<Item = PartId>,
        now: Moment,
    ) -> Verdict {
        let suspected: Vec<(PartId, &Suspect)> =
            parts.filter_map(|part| Some((part, self.suspects.get(&(service, part))?))).collect();
        let verdicts = suspected.iter().map(|(part, suspect)| {
            let answers = self.answers_since(service, suspect);
            if suspect.record.blocked_until(answers).is_none() {
                return verdict_of(&suspect.record, answers, *part, now);
            }
            let mut unexplained = suspect.record.clone();
            unexplained.retain(|evidence| !self.is_explained(service, evidence.life, &suspected));
            verdict_of(&unexplained, answers, *part, now)
        });
        verdicts.max_by_key(Verdict::severity).unwrap_or(Verdict::Admit)
    }

    /// Whether a blocked part that a request does not hold had begun to be answered at an upstream that
    /// crashed.
    fn is_explained(
        &self,
        service: ServiceId,
        life: UpstreamId,
        held: &[(PartId, &Suspect)],
    ) -> bool {
        self.suspects.iter().any(|((of_service, part), other)| {
            *of_service == service
                && held.iter().all(|(held, _)| held != part)
                && other.record.has_begun_at(life)
                && other.record.blocked_until(self.answers_since(service, other)).is_some()
        })
    }

    fn answers_since(&self, service: ServiceId, suspect: &Suspect) -> u64 {
        let answers = self.answers.get(&service).copied().unwrap_or_default();
        answers.saturating_sub(suspect.answers_before).max(suspect.answers_told)
    }

    /// `suspicions` returns what is known against each part, in no order.
    pub fn suspicions(&self) -> Vec<Suspicion> {
        self.suspects.iter().map(|(part, suspect)| self.suspicion(*part, suspect)).collect()
    }

    /// `suspicion_of` returns what is known against one part.
    pub fn suspicion_of(&self, part: PartKey) -> Option<Suspicion> {
        self.suspects.get(&part).map(|suspect| self.suspicion(part, suspect))
    }

    fn suspicion(&self, part: PartKey, suspect: &Suspect) -> Suspicion {
        let answers = self.answers_since(part.0, suspect);
        let evidence = suspect.record.evidence();
        Suspicion {
            part,
            crashes: evidence.len(),
            has_begun: evidence.iter().any(|evidence| evidence.has_begun),
            last_life: evidence.last().map_or(0, |evidence| evidence.life),
            last_at: suspect.record.last_at(),
            answers,
            blocked_until: suspect.record.blocked_until(answers),
        }
    }

    /// `begun_evidence` returns the crashes that other instances are told again and again, with how many
    /// requests without the part were answered since the first one.
    pub fn begun_evidence(&self) -> Vec<(Evidence, u64)> {
        let all = self.suspects.iter().flat_map(|((service, _), suspect)| {
            let answers = self.answers_since(*service, suspect);
            suspect.record.evidence().iter().map(move |evidence| (*evidence, answers))
        });
        all.filter(|(evidence, _)| evidence.has_begun).collect()
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
        let answers = &self.answers;
        self.suspects.retain(|(service, _), suspect| {
            let answers = answers.get(service).copied().unwrap_or_default();
            now <= suspect.forgotten_at(answers)
        });
    }

    fn drop_weakest(&mut self) {
        let weakest = self.suspects.iter().min_by_key(|(part, suspect)| {
            (suspect.record.weight(), suspect.record.last_at(), **part)
        });
        if let Some(part) = weakest.map(|(part, _)| *part) {
            self.suspects.remove(&part);
        }
    }
}

impl Suspect {
    fn forgotten_at(&self, answers: u64) -> Moment {
        let answers = answers.saturating_sub(self.answers_before).max(self.answers_told);
        let is_weak = self.record.weight() <= WAITING_WEIGHT;
        let memory = if is_weak { WAITING_MEMORY_MS } else { EVIDENCE_MEMORY_MS };
        self.record.blocked_until(answers).unwrap_or(self.record.last_at()) + memory
    }
}

fn verdict_of(record: &CrashRecord, answers: u64, part: PartId, now: Moment) -> Verdict {
    let Some(blocked_until) = record.blocked_until(answers) else {
        let is_confined = !record.was_sound && BEGUN_WEIGHT <= record.weight();
        return if is_confined { Verdict::Confine(part) } else { Verdict::Admit };
    };
    if now < blocked_until {
        return Verdict::Block(Duration::from_millis((blocked_until - now) as u64));
    }
    let place = ((now - blocked_until) / TRIAL_WINDOW_MS) as usize;
    Verdict::Try(Turn { part, round: record.weight(), place })
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

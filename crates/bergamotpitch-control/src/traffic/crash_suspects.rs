//! Crash suspects: parts of prompts, and requests, under which upstreams crash.
//!
//! Load pattern: each engine that begins to answer a prompt with a certain part crashes, and takes the
//! streams of all others with it. Such prompts come at any instance, beside sound ones that share all of
//! their other parts. One crash tells little: dozens of requests were in hand there. A part is found by
//! what upstreams that crashed one after the other had begun to answer, while requests without it were
//! answered; a part that is answered once is sound.
//!
//! Some parts crash their upstreams seconds after an answer began, when it has cleared them already. They are
//! suspects of their own, which only an upstream clears that outlives an answer by far.
//!
//! Besides, each engine that runs a certain request crashes, and its caller sends it again, at any instance,
//! at once and several times. It is found by the upstreams that crashed under its attempts.

use std::cmp::Reverse;
use std::time::Duration;

use bergamotpitch_core::ids::{ServiceId, UpstreamId};
use bergamotpitch_core::{HashMap, HashSet};

use crate::traffic::crash_evidence::{CrashRecord, Meanwhile, STRONG_WEIGHT, WEAK_WEIGHT};
pub use crate::traffic::crash_evidence::{Evidence, SuspectId};
use crate::traffic::facts::PartId;
use crate::traffic::provisional_answers::{Answer, LASTING_MS, OUTLIVED_MS, ProvisionalAnswers};
use crate::traffic::request_digests::RequestDigest;
use crate::traffic::sound_parts::{Moment, SoundParts};
use crate::traffic::suspect_tables::{Suspect, SuspectTable};

/// `PartKey` names a part of the prompts for one service.
pub type PartKey = (ServiceId, PartId);

/// `TRIAL_WINDOW_MS` is for how long one instance may try a suspect whose block is over, before the next one
/// may: it may be gone, or get no request with a part.
pub const TRIAL_WINDOW_MS: Moment = 5_000;

/// `LONE_TURNS` is how many instances in turn try a suspect with requests that hold no other one to be tried: a crash
/// would count against both.
const LONE_TURNS: usize = 1;

/// `EVIDENCE_MEMORY_MS` is for how long a crash counts after the block that it led to.
const EVIDENCE_MEMORY_MS: Moment = 10 * 60_000;

/// `WEAK_MEMORY_MS` is the same for a part that only waited at an upstream which crashed once, and for a
/// request that is not blocked: its caller waits no longer.
const WEAK_MEMORY_MS: Moment = 60_000;

/// `FRESH_ANSWER_MS` is the time after which a part that was answered counts as answered just now: it is in
/// use all the time, and the next answer on it tells more than a crash.
const FRESH_ANSWER_MS: Moment = 1_000;

/// `RETRACTION_DELAY_MS` is the time after which a byte of an upstream shows that it did not crash; what was
/// under way may be read until then.
const RETRACTION_DELAY_MS: Moment = 250;

/// `Verdict` tells where a request may go because of what is held against it or the parts of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Anywhere.
    Admit,
    /// To the upstream that all requests with this part, or all attempts of this request, prefer, so that they
    /// crash one together.
    Confine(SuspectId),
    /// As [`Verdict::Confine`], and only from the instance whose turn it is, one at a time.
    Try(Turn),
    /// Nowhere, for this time.
    Block(Duration),
}

/// `Turn` tells whose turn it is to try a suspect whose block is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    /// The suspect.
    pub suspect: SuspectId,
    /// Number of the block that is over; each one begins with another instance.
    pub round: u32,
    /// Place of the instance in the order of the round.
    pub place: usize,
}

/// `Suspicion` is what is known against one suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspicion {
    /// The suspect.
    pub suspect: SuspectId,
    /// Crashes that count against it.
    pub crashes: usize,
    /// Whether one of them is strong evidence.
    pub is_strong: bool,
    /// The upstream of the last of them.
    pub last_life: UpstreamId,
    /// When that was.
    pub last_at: Moment,
    /// Requests without it that were answered since the first of them.
    pub answers: u64,
    /// Until when it is blocked; `None` while it is only suspected.
    pub blocked_until: Option<Moment>,
}

/// `CrashSuspects` is the table of parts and requests under which upstreams have crashed.
#[derive(Debug)]
pub struct CrashSuspects {
    /// Parts that were answered lately.
    sound: SoundParts,
    /// Parts of answers that their upstreams have outlived by far.
    lastingly_sound: SoundParts,
    /// Answers that their upstreams may still crash of.
    provisional: ProvisionalAnswers,
    /// Those that they may crash of late.
    lasting: ProvisionalAnswers,
    suspects: SuspectTable,
    /// What counted against parts that were answered since, as long as those answers are provisional.
    set_aside: HashMap<PartKey, Suspect>,
    /// Upstreams that crashed, and when.
    crashed: HashMap<UpstreamId, Moment>,
    /// When operators let suspects in again or requests were answered, and when upstreams showed that they
    /// live: what others tell of the time before counts no more.
    lifted: HashMap<SuspectId, Moment>,
    alive: HashMap<UpstreamId, Moment>,
    /// Requests that were answered here, by service.
    answers: HashMap<ServiceId, u64>,
}

impl Default for CrashSuspects {
    fn default() -> Self {
        Self {
            sound: SoundParts::default(),
            lastingly_sound: SoundParts::default(),
            provisional: ProvisionalAnswers::new(OUTLIVED_MS),
            lasting: ProvisionalAnswers::new(LASTING_MS),
            suspects: SuspectTable::default(),
            set_aside: HashMap::default(),
            crashed: HashMap::default(),
            lifted: HashMap::default(),
            alive: HashMap::default(),
            answers: HashMap::default(),
        }
    }
}

impl CrashSuspects {
    /// `is_empty` tells whether nothing is suspected at all.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// `note_crash` takes in a crash that counts against a suspect, and how many requests without a part have
    /// been answered since the first one at whoever tells of it; it tells whether the crash was news.
    pub fn note_crash(&mut self, evidence: Evidence, answers: u64) -> bool {
        let Evidence { suspect, life, at, .. } = evidence;
        let sound_at = self.sound_at(suspect);
        let lifted_at = self.lifted.get(&suspect).copied();
        let alive_at = self.alive.get(&life).copied();
        let refuted_at = [sound_at, lifted_at, alive_at];
        if refuted_at.into_iter().flatten().any(|refuted_at| at <= refuted_at) {
            return false;
        }
        let answers_before = self.answers_of(suspect);
        if let SuspectId::Part(service, part) = suspect
            && self.provisional.answered_at((service, part)).is_some_and(|answered| at <= answered)
        {
            let is_sound = sound_at.is_some();
            let aside = self.set_aside.entry((service, part));
            let aside = aside.or_insert_with(|| Suspect::new(suspect, is_sound, answers_before));
            aside.record.add(evidence);
            return false;
        }
        self.crashed.entry(life).or_insert(at);
        let was_sound = self.answered_at(suspect).is_some();
        let new = || Suspect::new(suspect, was_sound, answers_before);
        self.suspects.add(evidence, answers, new)
    }

    /// `sound_at` returns when a part was last shown to be sound.
    pub fn sound_at(&self, suspect: SuspectId) -> Option<Moment> {
        match suspect {
            SuspectId::Part(service, part) => self.sound.answered_at((service, part)),
            SuspectId::LatePart(service, part) => self.lastingly_sound.answered_at((service, part)),
            SuspectId::Request(_) => None,
        }
    }

    /// `is_answered_elsewhere` tells whether a crash counts for nothing, as what was in hand there was answered by
    /// others a moment before.
    pub fn is_answered_elsewhere(&self, crash: &Evidence) -> bool {
        let fresh_ms = match crash.suspect {
            SuspectId::LatePart(..) => LASTING_MS + FRESH_ANSWER_MS,
            SuspectId::Part(..) | SuspectId::Request(_) => FRESH_ANSWER_MS,
        };
        let answered_at = self.answered_at(crash.suspect);
        answered_at.is_some_and(|answered_at| crash.at < answered_at + fresh_ms)
    }

    /// `has_answered` tells whether an upstream has answered lately, so that it matters whether it lives.
    pub fn has_answered(&self, life: UpstreamId) -> bool {
        self.lasting.holds_any_of(life)
    }

    /// `doubt` takes in that an upstream may be about to end.
    pub fn doubt(&mut self, life: UpstreamId) {
        self.provisional.doubt(life);
        self.lasting.doubt(life);
    }

    /// `trust` takes in that it is not.
    pub fn trust(&mut self, life: UpstreamId) {
        self.provisional.trust(life);
        self.lasting.trust(life);
    }

    /// `answered_at` returns when a part was answered last, also where its upstream has not outlived that yet.
    pub fn answered_at(&self, suspect: SuspectId) -> Option<Moment> {
        let sound_at = self.sound_at(suspect);
        let SuspectId::Part(service, part) = suspect else { return sound_at };
        sound_at.max(self.provisional.answered_at((service, part)))
    }

    /// Requests that were answered here for the service of a part.
    fn answers_of(&self, suspect: SuspectId) -> u64 {
        match suspect {
            SuspectId::Part(service, _) | SuspectId::LatePart(service, _) => {
                self.answers.get(&service).copied().unwrap_or_default()
            }
            SuspectId::Request(_) => 0,
        }
    }

    /// `note_provisional` takes in an answer of an upstream that it has not outlived; it returns the parts that
    /// are not suspected any more as long as it lives.
    pub fn note_provisional(&mut self, upstream: UpstreamId, answer: Answer) -> Vec<PartKey> {
        *self.answers.entry(answer.service).or_default() += 1;
        let cleared = answer.keys().filter(|key| self.put_aside(*key, answer.at)).collect();
        self.lasting.note(upstream, answer.clone());
        self.provisional.note(upstream, answer);
        cleared
    }

    /// Sets what counts against a part up to a time aside; it tells whether anything did.
    fn put_aside(&mut self, part: PartKey, at: Moment) -> bool {
        let id = SuspectId::Part(part.0, part.1);
        let answers = self.answers_of(id);
        let Some(known) = self.suspects.get_mut(id) else { return false };
        let evidence = known.record.take_until(at);
        if evidence.is_empty() {
            return false;
        }
        let (was_sound, answers_before) = (known.record.was_sound, known.answers_before);
        let aside = self.set_aside.entry(part);
        let aside = aside.or_insert_with(|| Suspect::new(id, was_sound, answers_before));
        aside.answers_told = aside.answers_told.max(known.answers_told);
        evidence.into_iter().for_each(|evidence| {
            aside.record.add(evidence);
        });
        known.record.was_sound = true;
        (known.answers_before, known.answers_told) = (answers, 0);
        if known.record.evidence().is_empty() {
            self.suspects.remove(id);
        }
        true
    }

    /// `note_outlived` takes in which upstreams have outlived their answers by now; it returns the parts that
    /// were suspected before these.
    pub fn note_outlived(&mut self, now: Moment) -> Vec<SuspectId> {
        let mut cleared = Vec::new();
        for answer in self.lasting.take_outlived(now) {
            let parts = answer.keys().map(|(service, part)| SuspectId::LatePart(service, part));
            cleared.extend(parts.filter(|part| self.note_sound(*part, answer.at)));
        }
        for answer in self.provisional.take_outlived(now) {
            for part in answer.keys() {
                self.sound.note(part, answer.at);
                let Some(aside) = self.set_aside.get_mut(&part) else { continue };
                if !aside.record.take_until(answer.at).is_empty() {
                    cleared.push(SuspectId::Part(part.0, part.1));
                }
                if aside.record.evidence().is_empty() {
                    self.set_aside.remove(&part);
                }
            }
        }
        cleared
    }

    /// `note_ended` takes in that an upstream crashed at a time. Answers that it did not outlive show nothing;
    /// it returns the crash as evidence against their parts: weak, as most crash their upstream sooner.
    pub fn note_ended(&mut self, life: UpstreamId, at: Moment) -> Vec<Evidence> {
        let mut evidence = Vec::new();
        for answer in self.lasting.take_ended(life, at) {
            let sent_at = answer.begun_at;
            evidence.extend(answer.keys().map(|(service, part)| {
                let suspect = SuspectId::LatePart(service, part);
                Evidence { suspect, life, is_strong: true, at, sent_at }
            }));
        }
        for answer in self.provisional.take_ended(life, at) {
            for part in answer.keys() {
                self.take_back(part);
                let suspect = SuspectId::Part(part.0, part.1);
                let sent_at = answer.sent_at;
                evidence.push(Evidence { suspect, life, is_strong: false, at, sent_at });
            }
        }
        evidence
    }

    /// Lets what was set aside count again, as far as no other answer on the part came after it.
    fn take_back(&mut self, part: PartKey) {
        let Some(mut aside) = self.set_aside.remove(&part) else { return };
        let id = SuspectId::Part(part.0, part.1);
        let answered = self.answered_at(id).unwrap_or(Moment::MIN);
        let refuted = aside.record.take_until(answered);
        let evidence = aside.record.take_until(Moment::MAX);
        if !refuted.is_empty() {
            let (was_sound, before) = (aside.record.was_sound, aside.answers_before);
            let mut rest = Suspect::new(id, was_sound, before);
            refuted.into_iter().for_each(|evidence| {
                rest.record.add(evidence);
            });
            self.set_aside.insert(part, rest);
        }
        if evidence.is_empty() {
            return;
        }
        let new = || Suspect::new(id, aside.record.was_sound, aside.answers_before);
        let known = self.suspects.get_or_insert_with(id, new);
        known.record.was_sound = aside.record.was_sound;
        known.answers_before = known.answers_before.min(aside.answers_before);
        known.answers_told = known.answers_told.max(aside.answers_told);
        evidence.into_iter().for_each(|evidence| {
            known.record.add(evidence);
        });
    }

    /// `note_sound` takes in that a part was answered up to a time; it tells whether it was suspected.
    pub fn note_sound(&mut self, suspect: SuspectId, at: Moment) -> bool {
        match suspect {
            SuspectId::Part(service, part) => {
                self.sound.note((service, part), at);
                if let Some(aside) = self.set_aside.get_mut(&(service, part)) {
                    aside.record.take_until(at);
                }
            }
            SuspectId::LatePart(service, part) => self.lastingly_sound.note((service, part), at),
            SuspectId::Request(_) => return false,
        }
        !self.suspects.is_empty() && self.clear(suspect, at)
    }

    /// `lift` lets a suspect in again until upstreams crash under it anew, as operators want it or as a request
    /// was answered in full; it tells whether anything counted against it.
    pub fn lift(&mut self, suspect: SuspectId, at: Moment) -> bool {
        self.lifted.insert(suspect, at);
        if let SuspectId::Part(service, part) = suspect {
            self.set_aside.remove(&(service, part));
        }
        self.clear(suspect, at)
    }

    fn clear(&mut self, suspect: SuspectId, at: Moment) -> bool {
        let answers = self.answers_of(suspect);
        let Some(known) = self.suspects.get_mut(suspect) else { return false };
        let is_cleared = known.record.retain(|evidence| at < evidence.at);
        known.record.was_sound = true;
        (known.answers_before, known.answers_told) = (answers, 0);
        if known.record.evidence().is_empty() {
            self.suspects.remove(suspect);
        }
        is_cleared
    }

    /// `retract` takes in that bytes come from an upstream at a time; it tells whether it had counted as
    /// crashed before.
    pub fn retract(&mut self, life: UpstreamId, now: Moment) -> bool {
        if !self.crashed.contains_key(&life) {
            return false;
        }
        let is_refuted =
            |evidence: &Evidence| evidence.life == life && evidence.at + RETRACTION_DELAY_MS <= now;
        for aside in self.set_aside.values_mut() {
            aside.record.retain(|evidence| !is_refuted(evidence));
        }
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

    /// `holds_requests` tells whether any request is suspected, so that others must be compared with it.
    pub fn holds_requests(&self) -> bool {
        self.suspects.iter().any(|(id, _)| id.is_request())
    }

    /// `verdict` tells where a request with these parts may go; `digest` names it, where it is known. Crashes
    /// that a blocked part explains which the request does not hold count neither against it nor against its
    /// own parts: sound requests that share all other parts are let in, and clear them.
    pub fn verdict(
        &self,
        service: ServiceId,
        parts: impl Iterator<Item = PartId>,
        digest: Option<RequestDigest>,
        now: Moment,
    ) -> Verdict {
        let request = digest.map(SuspectId::Request);
        let parts: Vec<PartId> = parts.collect();
        let of_parts = parts.iter().flat_map(|part| {
            [SuspectId::Part(service, *part), SuspectId::LatePart(service, *part)]
        });
        let held = request.into_iter().chain(of_parts);
        let suspected: Vec<(SuspectId, &Suspect)> =
            held.filter_map(|held| Some((held, self.suspects.get(held)?))).collect();
        let verdicts = suspected.iter().map(|(id, suspect)| {
            let meanwhile = self.meanwhile(*id, suspect);
            if suspect.record.blocked_until(meanwhile).is_none() {
                return verdict_of(&suspect.record, meanwhile, *id, now);
            }
            let explained = self.explained_crashes(service, &suspect.record, &suspected);
            let mut unexplained = suspect.record.clone();
            unexplained.retain(|evidence| !explained.contains(&evidence.life));
            verdict_of(&unexplained, meanwhile, *id, now)
        });
        let verdicts: Vec<Verdict> = verdicts.collect();
        let verdict = verdicts.iter().copied().max_by_key(Verdict::severity);
        match verdict {
            Some(Verdict::Try(turn)) if turn.place < LONE_TURNS => {
                let mut tried = verdicts.iter().filter_map(Verdict::turn);
                let is_other = |part: &&PartId| **part != turn.suspect.number();
                let mut others = parts.iter().filter(is_other);
                let is_alone = tried.all(|other| other.suspect.number() == turn.suspect.number())
                    && !others.any(|part| self.is_block_set_aside((service, *part)));
                match is_alone {
                    true => Verdict::Try(turn),
                    false => Verdict::Block(Duration::from_millis(TRIAL_WINDOW_MS as u64)),
                }
            }
            verdict => verdict.unwrap_or(Verdict::Admit),
        }
    }

    /// Whether a part was blocked until it was answered a moment ago. It is again, if the upstream of that answer
    /// crashes.
    fn is_block_set_aside(&self, part: PartKey) -> bool {
        let (service, id) = part;
        self.set_aside.get(&part).is_some_and(|aside| {
            let meanwhile = self.meanwhile(SuspectId::Part(service, id), aside);
            aside.record.blocked_until(meanwhile).is_some()
        })
    }

    /// Crashes of one suspect that are explained by blocked parts which a request does not hold: parts that had
    /// begun to be answered there and at most of its other crashes. As dozens of requests are in hand at an
    /// upstream, some blocked part is found for each crash; one that was answered lately explains none of a part
    /// that was not.
    fn explained_crashes(
        &self,
        service: ServiceId,
        record: &CrashRecord,
        held: &[(SuspectId, &Suspect)],
    ) -> HashSet<UpstreamId> {
        let mut explained = HashSet::default();
        for (id, other) in self.suspects.iter() {
            let is_of_service = match id {
                SuspectId::Part(of_service, _) | SuspectId::LatePart(of_service, _) => {
                    of_service == service
                }
                SuspectId::Request(_) => false,
            };
            if !is_of_service
                || held.iter().any(|(held, _)| *held == id)
                || other.record.was_sound && !record.was_sound
                || other.record.blocked_until(self.meanwhile(id, other)).is_none()
            {
                continue;
            }
            let lives = record.evidence().iter().map(|evidence| evidence.life);
            let common: Vec<UpstreamId> =
                lives.filter(|life| other.record.is_strong_at(*life)).collect();
            if 2 * record.evidence().len() <= 3 * common.len() {
                explained.extend(common);
            }
        }
        explained
    }

    fn meanwhile(&self, id: SuspectId, suspect: &Suspect) -> Meanwhile {
        let answers = self.answers_of(id).saturating_sub(suspect.answers_before);
        let first = suspect.record.evidence().first().map_or(Moment::MAX, |crash| crash.at);
        let crashes = match id {
            SuspectId::LatePart(..) => self.crashed.values().filter(|at| first <= **at).count(),
            SuspectId::Part(..) | SuspectId::Request(_) => 0,
        };
        Meanwhile { answers: answers.max(suspect.answers_told), crashes }
    }

    /// `suspicions` returns what is known against each suspect, in no order.
    pub fn suspicions(&self) -> Vec<Suspicion> {
        self.suspects.iter().map(|(id, suspect)| self.suspicion(id, suspect)).collect()
    }

    /// `suspicion_of` returns what is known against one suspect.
    pub fn suspicion_of(&self, id: SuspectId) -> Option<Suspicion> {
        self.suspects.get(id).map(|suspect| self.suspicion(id, suspect))
    }

    fn suspicion(&self, id: SuspectId, suspect: &Suspect) -> Suspicion {
        let meanwhile = self.meanwhile(id, suspect);
        let evidence = suspect.record.evidence();
        Suspicion {
            suspect: id,
            crashes: evidence.len(),
            is_strong: evidence.iter().any(|evidence| evidence.is_strong),
            last_life: evidence.last().map_or(0, |evidence| evidence.life),
            last_at: suspect.record.last_at(),
            answers: meanwhile.answers,
            blocked_until: suspect.record.blocked_until(meanwhile),
        }
    }

    /// `evidence_of` returns the crashes that count against one suspect, in order of time.
    pub fn evidence_of(&self, id: SuspectId) -> Vec<Evidence> {
        let known = self.suspects.get(id);
        known.map_or_else(Vec::new, |known| known.record.evidence().to_vec())
    }

    /// `evidence_to_tell` returns the crashes that other instances are told again and again, with how many
    /// requests without a part were answered since the first one: at most so many, those of what is blocked
    /// first, and of these parts before requests.
    pub fn evidence_to_tell(&self, most: usize) -> Vec<(Evidence, u64)> {
        let mut ordered = Vec::new();
        for (id, suspect) in self.suspects.iter() {
            let meanwhile = self.meanwhile(id, suspect);
            let answers = meanwhile.answers;
            let is_blocked = suspect.record.blocked_until(meanwhile).is_some();
            // A part that only waited at one crash is told once; a request may be at the next instance by
            // then.
            let told = suspect.record.evidence().iter();
            let is_repeated = id.is_request() || WEAK_WEIGHT < suspect.record.weight();
            let told = told.filter(|evidence| evidence.is_strong || is_repeated);
            ordered.extend(told.map(|evidence| {
                let order = (!is_blocked, id.is_request(), Reverse(evidence.at), id);
                (order, (*evidence, answers))
            }));
        }
        ordered.sort_unstable_by_key(|(order, _)| *order);
        ordered.into_iter().map(|(_, evidence)| evidence).take(most).collect()
    }

    /// `step` forgets crashes that are long past.
    pub fn step(&mut self, now: Moment) {
        self.suspects.step();
        self.sound.step(now);
        self.lastingly_sound.step(now);
        let is_recent = |at: &Moment| now < at + EVIDENCE_MEMORY_MS;
        self.lifted.retain(|_, at| is_recent(at));
        self.set_aside.retain(|_, aside| is_recent(&aside.record.last_at()));
        self.alive.retain(|_, at| is_recent(at));
        if self.suspects.is_empty() {
            if self.set_aside.is_empty() {
                self.crashed.clear();
            }
            return;
        }
        let mut suspects = std::mem::take(&mut self.suspects);
        suspects.retain(|id, suspect| now <= self.forgotten_at(*id, suspect));
        self.suspects = suspects;
    }

    fn forgotten_at(&self, id: SuspectId, suspect: &Suspect) -> Moment {
        let record = &suspect.record;
        match record.blocked_until(self.meanwhile(id, suspect)) {
            Some(until) => until + EVIDENCE_MEMORY_MS,
            None if id.is_request() || record.weight() <= WEAK_WEIGHT => {
                record.last_at() + WEAK_MEMORY_MS
            }
            None => record.last_at() + EVIDENCE_MEMORY_MS,
        }
    }
}

fn verdict_of(record: &CrashRecord, meanwhile: Meanwhile, id: SuspectId, now: Moment) -> Verdict {
    let Some(blocked_until) = record.blocked_until(meanwhile) else {
        let is_confined = match id {
            SuspectId::Part(..) => !record.was_sound && STRONG_WEIGHT <= record.weight(),
            SuspectId::LatePart(..) => false,
            SuspectId::Request(_) => !record.evidence().is_empty(),
        };
        return if is_confined { Verdict::Confine(id) } else { Verdict::Admit };
    };
    if now < blocked_until {
        return Verdict::Block(Duration::from_millis((blocked_until - now) as u64));
    }
    let place = ((now - blocked_until) / TRIAL_WINDOW_MS) as usize;
    Verdict::Try(Turn { suspect: id, round: record.weight(), place })
}

impl Verdict {
    fn turn(&self) -> Option<&Turn> {
        if let Self::Try(turn) = self { Some(turn) } else { None }
    }

    fn severity(&self) -> u8 {
        match self {
            Self::Admit => 0,
            Self::Confine(_) => 1,
            Self::Try(_) => 2,
            Self::Block(_) => 3,
        }
    }
}

//! Crashes: which requests are refused because of parts of their prompts under which upstreams crash, and
//! what instances tell each other of them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::crash_suspects::{
    Evidence, PartKey, Suspicion, TRIAL_WINDOW_MS, Verdict,
};
use bergamotpitch_control::traffic::facts::PartId;
use bergamotpitch_control::traffic::registries::UpstreamKey;
use bergamotpitch_control::traffic::sound_parts::{Moment, moment_of};
use bergamotpitch_core::HashMap;
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::{UpstreamId, id_of_name};
use bergamotpitch_core::refusals::RefusalReason;
use bergamotpitch_core::units::Timestamp;
use serde::Serialize;

use crate::calls::Call;
use crate::crash_probes::Probe;
use crate::gateways::Gateway;
use crate::heartbeats::{domain_peers, remote_deciders, standby_peers};
use crate::logs::decision;
use crate::messages::{AnsweredLine, Body, CrashLine, MESSAGE_BYTES};
use crate::refusals::Refusal;

/// `ANSWERED_TIME` is for how long the events of a stream come until its parts count as answered. An
/// upstream that a part crashes ends within a tenth of a second of the first one.
pub(crate) const ANSWERED_TIME: Duration = Duration::from_millis(400);

/// `FRESH_ANSWER_MS` is the time after which a part that was answered counts as answered just now: it is in
/// use all the time, and the next answer on it tells more than a crash.
const FRESH_ANSWER_MS: Moment = 1_000;

/// `TRIAL_WINDOW` is the time for one instance to try a part whose block is over.
const TRIAL_WINDOW: Duration = Duration::from_millis(TRIAL_WINDOW_MS as u64);

/// `LINES_MAX` bounds the lines of one message.
const LINES_MAX: usize = MESSAGE_BYTES / 30;

/// `TOLD_LINES_MAX` bounds what is told again with beats.
const TOLD_LINES_MAX: usize = 3 * LINES_MAX;

/// `TELL_BEATS` is how many beats go by until crashes are told again, for instances that have started
/// or were cut off.
const TELL_BEATS: u64 = 8;

/// `ANSWER_TELL_INTERVAL` is the least time between two messages that one part was answered.
const ANSWER_TELL_INTERVAL: Duration = Duration::from_secs(2);

/// `Crashes` is what this instance knows of upstreams that crashed.
#[derive(Debug, Default)]
pub struct Crashes {
    pub(crate) probes: RefCell<HashMap<UpstreamKey, Rc<Probe>>>,
    /// Parts whose block is over, and when this instance let a request with them pass.
    trials: RefCell<HashMap<PartKey, Timestamp>>,
    answers_told: RefCell<HashMap<PartKey, Timestamp>>,
    /// Parts that were logged as suspected, and whether as blocked.
    logged: RefCell<HashMap<PartKey, bool>>,
}

/// `PartReport` is a part of prompts that is suspected of crashing upstreams, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PartReport {
    /// The service.
    pub service: String,
    /// Id of the part, in hexadecimal.
    pub part: String,
    /// Upstreams that crashed under it.
    pub crashes: usize,
    /// Whether it is refused.
    pub is_blocked: bool,
    /// For how much longer; 0 when one request at a time may try it.
    pub blocked_for_ms: i64,
}

impl Gateway {
    /// `check_parts` refuses a call with a part that crashes upstreams. Of those whose block is over it lets
    /// one pass at a time, when it is this instance's turn.
    ///
    /// # Errors
    ///
    /// Refuses the call as not run until its block is over.
    pub(crate) fn check_parts(&self, call: &Call) -> Result<(), Refusal> {
        if self.traffic.borrow().crash_suspects.is_empty() {
            return Ok(());
        }
        let now = self.now();
        let verdict = self.traffic.borrow().part_verdict(&call.service, &call.facts, now);
        let blocked_for = match verdict {
            Verdict::Admit | Verdict::Confine(_) => return Ok(()),
            Verdict::Block(time) => time,
            Verdict::Try(turn) => {
                let part = (id_of_name(&call.service), turn.part);
                let draw = turn.part ^ u64::from(turn.round);
                let own = self.options.instance;
                let is_own_turn = self.members.borrow().whose_turn(draw, turn.place, own) == own;
                if is_own_turn && self.begin_trial(part, now) {
                    return Ok(());
                }
                TRIAL_WINDOW
            }
        };
        Err(Refusal::not_run(RefusalReason::PromptPartBlocked, blocked_for))
    }

    fn begin_trial(&self, part: PartKey, now: Timestamp) -> bool {
        let mut trials = self.crashes.trials.borrow_mut();
        if trials.get(&part).is_some_and(|begun| now < *begun + TRIAL_WINDOW) {
            return false;
        }
        log::info!("event=part_tried service={} part={:x}", part.0, part.1);
        trials.insert(part, now);
        true
    }

    /// `is_part_blocked` tells whether a call that was placed may not be sent any more.
    pub(crate) fn is_part_blocked(&self, call: &Call) -> bool {
        if self.traffic.borrow().crash_suspects.is_empty() {
            return false;
        }
        let now = self.now();
        let verdict = self.traffic.borrow().part_verdict(&call.service, &call.facts, now);
        matches!(verdict, Verdict::Block(_))
    }

    /// `note_answered` takes in that a call was answered, up to a time.
    pub(crate) fn note_answered(&self, call: &Call, at: Timestamp) {
        if !call.facts.is_generation() {
            return;
        }
        let service = id_of_name(&call.service);
        let cleared = {
            let suspects = &mut self.traffic.borrow_mut().crash_suspects;
            suspects.note_answered(service, call.facts.shared_parts(), moment_of(at))
        };
        self.note_cleared(&cleared, "answered");
        self.tell_answered(&cleared);
    }

    /// `note_broken` takes in that the answer to a call broke off at an upstream; it tells whether the call
    /// may be sent to another one. It may not, where the upstream has crashed and the call holds a part
    /// that no other one has answered lately: it would crash the next.
    pub(crate) async fn note_broken(
        self: &Rc<Self>,
        call: &Call,
        upstream: UpstreamKey,
        has_begun: bool,
    ) -> bool {
        if !self.options.admission.policy.crash_suspects {
            return true;
        }
        let at = moment_of(self.now());
        let parts = self.reportable_parts(call, at);
        let Some((life, address)) = self.life_that_stays(upstream) else { return true };
        if !self.has_ended(upstream, address).await || parts.is_empty() {
            return true;
        }
        let service = id_of_name(&call.service);
        let evidence = |part| Evidence { part: (service, part), life, has_begun, at };
        let evidence: Vec<Evidence> = parts.into_iter().map(evidence).collect();
        self.note_crashes(&evidence, 0);
        self.tell_crashes(&self.with_answers(evidence));
        let verdict = self.traffic.borrow().part_verdict(&call.service, &call.facts, self.now());
        match verdict {
            Verdict::Admit => true,
            Verdict::Confine(_) => !has_begun,
            Verdict::Try(_) | Verdict::Block(_) => false,
        }
    }

    /// The parts of a call that may have crashed an upstream: all that other requests may hold too and that
    /// were not answered a moment ago.
    fn reportable_parts(&self, call: &Call, now: Moment) -> Vec<PartId> {
        let service = id_of_name(&call.service);
        let traffic = self.traffic.borrow();
        let sound = &traffic.crash_suspects.sound;
        let is_fresh = |part: &PartId| {
            sound.answered_at((service, *part)).is_some_and(|at| now < at + FRESH_ANSWER_MS)
        };
        call.facts.shared_parts().filter(|part| !is_fresh(part)).collect()
    }

    fn with_answers(&self, evidence: Vec<Evidence>) -> Vec<(Evidence, u64)> {
        let traffic = self.traffic.borrow();
        let answers_of = |evidence: &Evidence| {
            let suspicion = traffic.crash_suspects.suspicion_of(evidence.part);
            suspicion.map_or(0, |suspicion| suspicion.answers)
        };
        evidence.into_iter().map(|evidence| (evidence, answers_of(&evidence))).collect()
    }

    fn note_crashes(&self, evidence: &[Evidence], answers: u64) {
        let mut is_news = false;
        for evidence in evidence {
            let mut traffic = self.traffic.borrow_mut();
            is_news |= traffic.crash_suspects.note_crash(*evidence, answers);
        }
        if is_news {
            self.log_suspicions();
        }
    }

    /// `log_suspicions` logs parts that are suspected or blocked since it did so last. A part is blocked by
    /// answers to requests without it as well as by a crash.
    pub(crate) fn log_suspicions(&self) {
        let suspicions = {
            let traffic = self.traffic.borrow();
            match traffic.crash_suspects.is_empty() {
                true => return,
                false => traffic.crash_suspects.suspicions(),
            }
        };
        let now = moment_of(self.now());
        let blocked = suspicions.iter().filter(|known| known.blocked_until.is_some()).count();
        self.metrics.note_suspects(suspicions.len(), blocked);
        // Parts that only waited at an upstream are no news for operators.
        for known in suspicions.iter().filter(|known| known.has_begun) {
            let is_blocked = known.blocked_until.is_some();
            let logged = self.crashes.logged.borrow_mut().insert(known.part, is_blocked);
            if logged == Some(is_blocked) {
                continue;
            }
            let (service, part) = known.part;
            decision(
                EventKind::PartSuspected,
                format_args!(
                    "service={service} part={part:x} blocked={is_blocked} crashes={} answers={} \
                     last_upstream={} age_ms={} blocked_for_ms={}",
                    known.crashes,
                    known.answers,
                    known.last_life,
                    now - known.last_at,
                    known.blocked_until.map_or(0, |until| until - now),
                ),
            );
        }
    }

    fn note_cleared(&self, parts: &[PartKey], reason: &str) {
        for part in parts {
            self.crashes.trials.borrow_mut().remove(part);
            if self.crashes.logged.borrow_mut().remove(part).is_some() {
                decision(
                    EventKind::PartCleared,
                    format_args!("service={} part={:x} reason={reason}", part.0, part.1),
                );
            }
        }
        if !parts.is_empty() {
            self.log_suspicions();
        }
    }

    /// `note_alive` takes in that bytes came from an upstream; others that take it for crashed are told.
    pub(crate) fn note_alive(&self, upstream: UpstreamKey, now: Timestamp) {
        let mut traffic = self.traffic.borrow_mut();
        if traffic.crash_suspects.is_empty() {
            return;
        }
        let Some(life) = traffic.registry.get(upstream).map(|known| known.life_number) else {
            return;
        };
        if traffic.crash_suspects.retract(life, moment_of(now)) {
            drop(traffic);
            self.forget_probe(upstream);
            self.log_suspicions();
            log::info!("event=crash_retracted upstream={:?}", self.id_of(upstream));
            self.tell(&Body::LivingUpstreams(vec![life]));
        }
    }

    /// `handle_living_upstreams` takes in that upstreams did not crash.
    pub(crate) fn handle_living_upstreams(&self, lives: &[UpstreamId]) {
        let now = moment_of(self.now());
        for life in lives {
            self.traffic.borrow_mut().crash_suspects.retract(*life, now);
        }
        self.log_suspicions();
    }

    /// `handle_crashes` takes in crashes that another instance saw. Parts that were answered here are
    /// told to all: whoever has not seen that would take them for guilty sooner.
    pub(crate) fn handle_crashes(&self, lines: &[CrashLine]) {
        let now = moment_of(self.now());
        let mut answered = Vec::new();
        for line in lines {
            let part = (line.service, line.part);
            let at = now - Moment::from(line.age_ms);
            if self.traffic.borrow().crash_suspects.sound.answered_at(part).is_some() {
                answered.push(part);
            }
            let CrashLine { life, has_begun, answers, .. } = *line;
            self.note_crashes(&[Evidence { part, life, has_begun, at }], answers.into());
        }
        self.tell_answered(&answered);
    }

    /// `handle_answered_parts` takes in parts that were answered at another instance.
    pub(crate) fn handle_answered_parts(&self, lines: &[AnsweredLine]) {
        let now = moment_of(self.now());
        for line in lines {
            let at = now - Moment::from(line.age_ms);
            if line.is_lifted {
                self.lift((line.service, line.part), at);
                continue;
            }
            let part = (line.service, line.part);
            let is_cleared = self.traffic.borrow_mut().crash_suspects.note_sound(part, at);
            if is_cleared {
                self.note_cleared(&[part], "answered_elsewhere");
            }
        }
    }

    /// `part_reports` returns the parts that are suspected or blocked, for operators.
    pub fn part_reports(&self) -> Vec<PartReport> {
        let now = moment_of(self.now());
        let catalog = self.catalog();
        let report = |known: Suspicion| {
            let (service, part) = known.part;
            let named = catalog.as_ref().and_then(|catalog| catalog.service_of_id(service));
            PartReport {
                service: named.map_or_else(|| service.to_string(), |named| named.name.clone()),
                part: format!("{part:x}"),
                crashes: known.crashes,
                is_blocked: known.blocked_until.is_some(),
                blocked_for_ms: known.blocked_until.map_or(0, |until| (until - now).max(0)),
            }
        };
        let mut reports: Vec<PartReport> =
            self.traffic.borrow().crash_suspects.suspicions().into_iter().map(report).collect();
        reports.sort_by(|one, other| one.part.cmp(&other.part));
        reports
    }

    /// `lift_part` lets a part in again, here and at all other instances, until it crashes upstreams anew;
    /// it tells whether anything was known against it here.
    pub fn lift_part(&self, service: &str, part: PartId) -> bool {
        let key = (id_of_name(service), part);
        let is_known = self.lift(key, moment_of(self.now()));
        let line = AnsweredLine { service: key.0, part, age_ms: 0, is_lifted: true };
        self.tell(&Body::AnsweredParts(vec![line]));
        is_known
    }

    fn lift(&self, part: PartKey, at: Moment) -> bool {
        let is_known = self.traffic.borrow_mut().crash_suspects.lift(part, at);
        if is_known {
            self.note_cleared(&[part], "lifted");
        }
        is_known
    }

    fn tell_answered(&self, parts: &[PartKey]) {
        if parts.is_empty() {
            return;
        }
        let now = self.now();
        let mut told = self.crashes.answers_told.borrow_mut();
        told.retain(|_, at| now < *at + ANSWER_TELL_INTERVAL);
        let traffic = self.traffic.borrow();
        let due = parts.iter().filter(|part| told.insert(**part, now).is_none());
        let lines: Vec<AnsweredLine> = due
            .filter_map(|part| {
                let at = traffic.crash_suspects.sound.answered_at(*part)?;
                let age_ms = age_of(at, moment_of(now));
                Some(AnsweredLine { service: part.0, part: part.1, age_ms, is_lifted: false })
            })
            .collect();
        drop((told, traffic));
        for lines in lines.chunks(LINES_MAX) {
            self.tell(&Body::AnsweredParts(lines.to_vec()));
        }
    }

    fn tell_crashes(&self, evidence: &[(Evidence, u64)]) {
        let now = moment_of(self.now());
        for evidence in evidence.chunks(LINES_MAX) {
            let lines = evidence.iter().map(|evidence| line_of_evidence(evidence, now)).collect();
            self.tell(&Body::Crashes(lines));
        }
    }

    /// `tell_suspects` tells the crashes that count against parts again, with some of the beats.
    pub(crate) fn tell_suspects(&self, sequence: u64) {
        if !sequence.is_multiple_of(TELL_BEATS) || self.traffic.borrow().crash_suspects.is_empty() {
            return;
        }
        self.tell_crashes(&self.evidence_to_tell());
    }

    /// `tell_suspects_to` tells them to an instance that has just started.
    pub(crate) fn tell_suspects_to(&self, receiver: SocketAddr) {
        let now = moment_of(self.now());
        for evidence in self.evidence_to_tell().chunks(LINES_MAX) {
            let lines = evidence.iter().map(|evidence| line_of_evidence(evidence, now)).collect();
            self.send_message(Body::Crashes(lines), receiver);
        }
    }

    fn evidence_to_tell(&self) -> Vec<(Evidence, u64)> {
        let mut evidence = self.traffic.borrow().crash_suspects.begun_evidence();
        evidence.sort_unstable_by_key(|(evidence, _)| std::cmp::Reverse(evidence.at));
        evidence.truncate(TOLD_LINES_MAX);
        evidence
    }

    /// Sends a message to all that decide, and from those that stand by for a dispatcher to their domain.
    fn tell(&self, body: &Body) {
        let mut receivers = match self.role().dispatcher {
            None => {
                let peers = self.peers.borrow();
                peers.values().map(|peer| peer.address.beat_address).collect()
            }
            Some(_) if self.role().is_standby => {
                let domain = domain_peers(self).into_iter().map(|peer| peer.beat_address);
                domain.chain(remote_deciders(self)).collect::<Vec<_>>()
            }
            Some(_) => standby_peers(self).into_iter().map(|peer| peer.beat_address).collect(),
        };
        receivers.sort_unstable();
        receivers.dedup();
        receivers.into_iter().for_each(|receiver| self.send_message(body.clone(), receiver));
    }
}

fn age_of(at: Moment, now: Moment) -> u32 {
    u32::try_from(now - at).unwrap_or_default()
}

fn line_of_evidence((evidence, answers): &(Evidence, u64), now: Moment) -> CrashLine {
    let Evidence { part: (service, part), life, has_begun, at } = *evidence;
    let answers = u16::try_from(*answers).unwrap_or(u16::MAX);
    CrashLine { service, part, life, has_begun, answers, age_ms: age_of(at, now) }
}

//! Crash messages: what instances tell each other of upstreams that crashed, and of parts and requests that
//! were answered.
//!
//! What one instance alone knows goes with it when it ends, and its callers are elsewhere a millisecond later.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::crash_suspects::{Evidence, SuspectId};
use bergamotpitch_control::traffic::sound_parts::{Moment, moment_of};
use bergamotpitch_core::ids::UpstreamId;

use crate::gateways::Gateway;
use crate::heartbeats::{domain_peers, remote_deciders, standby_peers};
use crate::messages::{AnsweredLine, Body, CrashLine, MESSAGE_BYTES, Message, encode};
use crate::options::Options;
use crate::work_times::Work;

/// `LINES_MAX` bounds the lines of one message.
const LINES_MAX: usize = MESSAGE_BYTES / 36;

/// `TOLD_LINES_MAX` bounds what is told again with beats.
const TOLD_LINES_MAX: usize = 3 * LINES_MAX;

/// `TELL_BEATS` is how many beats go by until crashes are told again, for instances that have started
/// or were cut off.
const TELL_BEATS: u64 = 8;

/// `RETELL_DELAY` is the time after which a crash is told once more, as single datagrams are lost.
const RETELL_DELAY: Duration = Duration::from_millis(10);

/// `TELL_TIME` is the time in which a crash is known to all that were told: the way of the second datagram
/// to the farthest region.
pub(crate) const TELL_TIME: Duration = Duration::from_millis(30);

/// `ANSWER_TELL_INTERVAL` is the least time between two messages that one suspect was answered.
const ANSWER_TELL_INTERVAL: Duration = Duration::from_secs(2);

impl Gateway {
    /// `handle_crashes` takes in crashes that another instance saw. Parts that were answered here are
    /// told to all: whoever has not seen that would take them for guilty sooner.
    pub(crate) fn handle_crashes(self: &Rc<Self>, lines: &[CrashLine]) {
        let now = moment_of(self.now());
        let mut answered = Vec::new();
        for line in lines {
            let CrashLine { suspect, life, is_strong, answers, age_ms, run_ms } = *line;
            let at = now - Moment::from(age_ms);
            let sent_at = at - Moment::from(run_ms);
            // What is known here of answers at that upstream counts differently from now on.
            self.note_own_crashes(life, at, Vec::new());
            if self.sound_at(suspect).is_some() {
                answered.push(suspect);
            }
            let evidence = Evidence { suspect, life, is_strong, at, sent_at };
            let was_blocked = self.is_blocked_request(suspect);
            self.note_crashes(&[evidence], answers.into());
            if !was_blocked && self.is_blocked_request(suspect) {
                self.forward_block(suspect);
            }
        }
        self.tell_answered(&answered);
    }

    fn is_blocked_request(&self, suspect: SuspectId) -> bool {
        let known = self.traffic.borrow().crash_suspects.suspicion_of(suspect);
        suspect.is_request() && known.is_some_and(|known| known.blocked_until.is_some())
    }

    /// Tells a block on at once, as an instance that has just started is known to some of the others only.
    fn forward_block(&self, suspect: SuspectId) {
        let evidence = self.traffic.borrow().crash_suspects.evidence_of(suspect);
        let evidence: Vec<(Evidence, u64)> = evidence.into_iter().map(|crash| (crash, 0)).collect();
        self.tell_crashes(&evidence, &self.crash_receivers());
    }

    /// `handle_answered` takes in suspects that were answered at another instance, or let in by operators.
    pub(crate) fn handle_answered(&self, lines: &[AnsweredLine]) {
        let now = moment_of(self.now());
        for line in lines {
            let at = now - Moment::from(line.age_ms);
            match line.suspect {
                part @ (SuspectId::Part(..) | SuspectId::LatePart(..)) if !line.is_lifted => {
                    let is_cleared = self.traffic.borrow_mut().crash_suspects.note_sound(part, at);
                    if is_cleared {
                        self.note_cleared(&[part], "answered_elsewhere");
                    }
                }
                suspect => {
                    let reason = if line.is_lifted { "lifted" } else { "answered_elsewhere" };
                    self.lift(suspect, at, reason);
                }
            }
        }
    }

    /// `handle_living_upstreams` takes in that upstreams did not crash.
    pub(crate) fn handle_living_upstreams(&self, lives: &[UpstreamId]) {
        let now = moment_of(self.now());
        for life in lives {
            self.traffic.borrow_mut().crash_suspects.retract(*life, now);
        }
    }

    /// `tell_answered` tells that suspects were answered.
    pub(crate) fn tell_answered(&self, suspects: &[SuspectId]) {
        if suspects.is_empty() {
            return;
        }
        let now = self.now();
        let mut due = Vec::new();
        let mut told = self.crashes.answers_told.borrow_mut();
        for suspect in suspects {
            let told_at = told.get(suspect);
            if told_at.is_none_or(|at| *at + ANSWER_TELL_INTERVAL <= now) {
                told.insert(*suspect, now);
                due.push(*suspect);
            }
        }
        drop(told);
        let lines: Vec<AnsweredLine> = due
            .into_iter()
            .map(|suspect| {
                let answered_at = self.sound_at(suspect).unwrap_or(moment_of(now));
                let age_ms = age_of(answered_at, moment_of(now));
                AnsweredLine { suspect, age_ms, is_lifted: false }
            })
            .collect();
        for lines in lines.chunks(LINES_MAX) {
            self.tell(Body::Answered(lines.to_vec()), &self.crash_receivers());
        }
    }

    /// When a part was last shown to be sound; of a request only its suspicion is known.
    fn sound_at(&self, suspect: SuspectId) -> Option<Moment> {
        self.traffic.borrow().crash_suspects.sound_at(suspect)
    }

    /// `tell_lifted` tells that operators let a suspect in again.
    pub(crate) fn tell_lifted(&self, suspect: SuspectId) {
        let line = AnsweredLine { suspect, age_ms: 0, is_lifted: true };
        self.tell(Body::Answered(vec![line]), &self.crash_receivers());
    }

    /// `tell_living` tells that an upstream was taken for crashed and is not.
    pub(crate) fn tell_living(&self, life: UpstreamId) {
        self.tell(Body::LivingUpstreams(vec![life]), &self.crash_receivers());
    }

    /// `tell_crashes_at_once` tells crashes to the whole domain and to those that decide in others, and a
    /// moment later once more.
    pub(crate) fn tell_crashes_at_once(self: &Rc<Self>, evidence: &[Evidence]) {
        let answers_of = |evidence: &Evidence| {
            let traffic = self.traffic.borrow();
            let suspicion = traffic.crash_suspects.suspicion_of(evidence.suspect);
            suspicion.map_or(0, |suspicion| suspicion.answers)
        };
        let evidence: Vec<(Evidence, u64)> =
            evidence.iter().map(|evidence| (*evidence, answers_of(evidence))).collect();
        let domain = domain_peers(self).into_iter().map(|peer| peer.beat_address);
        let receivers: Vec<SocketAddr> = domain.chain(remote_deciders(self)).collect();
        self.tell_crashes(&evidence, &receivers);
        let gateway = Rc::clone(self);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(RETELL_DELAY).await;
            gateway.tell_crashes(&evidence, &receivers);
        });
    }

    /// `tell_suspects` tells the crashes that count against suspects again, with some of the beats.
    pub(crate) fn tell_suspects(&self, sequence: u64) {
        if !sequence.is_multiple_of(TELL_BEATS) {
            return;
        }
        let now = self.now();
        let mut answers_told = self.crashes.answers_told.borrow_mut();
        answers_told.retain(|_, at| now < *at + ANSWER_TELL_INTERVAL);
        drop(answers_told);
        if self.traffic.borrow().crash_suspects.is_empty() {
            return;
        }
        let _scope = self.work_times.enter(Work::Crashes);
        self.tell_crashes(&self.evidence_to_tell(), &self.crash_receivers());
    }

    /// `tell_suspects_to` tells them to an instance that has just started.
    pub(crate) fn tell_suspects_to(&self, receiver: SocketAddr) {
        self.tell_crashes(&self.evidence_to_tell(), &[receiver]);
    }

    fn evidence_to_tell(&self) -> Vec<(Evidence, u64)> {
        self.traffic.borrow().crash_suspects.evidence_to_tell(TOLD_LINES_MAX)
    }

    fn tell_crashes(&self, evidence: &[(Evidence, u64)], receivers: &[SocketAddr]) {
        let now = moment_of(self.now());
        for evidence in evidence.chunks(LINES_MAX) {
            let lines = evidence.iter().map(|evidence| line_of_evidence(evidence, now)).collect();
            self.tell(Body::Crashes(lines), receivers);
        }
    }

    /// Who is told again and again: all that decide, and by those that stand by for a dispatcher their domain.
    fn crash_receivers(&self) -> Vec<SocketAddr> {
        let mut receivers: Vec<SocketAddr> = match self.role().dispatcher {
            None => {
                let peers = self.peers.borrow();
                peers.values().map(|peer| peer.address.beat_address).collect()
            }
            Some(_) if self.role().is_standby => {
                let domain = domain_peers(self).into_iter().map(|peer| peer.beat_address);
                domain.chain(remote_deciders(self)).collect()
            }
            Some(_) => standby_peers(self).into_iter().map(|peer| peer.beat_address).collect(),
        };
        receivers.sort_unstable();
        receivers.dedup();
        receivers
    }

    fn tell(&self, body: Body, receivers: &[SocketAddr]) {
        let Options { instance, incarnation, .. } = self.options;
        let Some(bytes) = encode(&Message { instance, incarnation, body }) else { return };
        receivers.iter().for_each(|receiver| self.send_datagram(&bytes, *receiver));
    }
}

fn age_of(at: Moment, now: Moment) -> u32 {
    u32::try_from(now - at).unwrap_or_default()
}

fn line_of_evidence((evidence, answers): &(Evidence, u64), now: Moment) -> CrashLine {
    let Evidence { suspect, life, is_strong, at, sent_at } = *evidence;
    let answers = u16::try_from(*answers).unwrap_or(u16::MAX);
    let (age_ms, run_ms) = (age_of(at, now), age_of(sent_at, at));
    CrashLine { suspect, life, is_strong, answers, age_ms, run_ms }
}

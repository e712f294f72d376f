//! Crashes: which requests are refused because upstreams crash under them or under parts of their prompts.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::crash_suspects::{
    Evidence, PartKey, SuspectId, TRIAL_WINDOW_MS, Verdict,
};
use bergamotpitch_control::traffic::facts::PartId;
use bergamotpitch_control::traffic::provisional_answers::Answer;
use bergamotpitch_control::traffic::registries::UpstreamKey;
use bergamotpitch_control::traffic::request_digests::RequestDigest;
use bergamotpitch_control::traffic::sound_parts::{Moment, moment_of};
use bergamotpitch_core::ids::{UpstreamId, id_of_name};
use bergamotpitch_core::refusals::RefusalReason;
use bergamotpitch_core::units::Timestamp;
use bergamotpitch_core::{HashMap, HashSet};

use crate::calls::{BUSY_RETURN, Call};
use crate::crash_messages::TELL_TIME;
use crate::crash_probes::Probe;
use crate::gateways::Gateway;
use crate::peers::ISOLATED_RETURN;
use crate::refusals::Refusal;
use crate::work_times::Work;

/// `ANSWERED_TIME` is for how long the events of a stream come until its parts count as answered. An
/// upstream that a part crashes ends within a tenth of a second of the first one.
pub(crate) const ANSWERED_TIME: Duration = Duration::from_millis(400);

/// `TRIAL_WINDOW` is the time for one instance to try a suspect whose block is over.
const TRIAL_WINDOW: Duration = Duration::from_millis(TRIAL_WINDOW_MS as u64);

/// `Crashes` is what this instance knows of upstreams that crashed.
#[derive(Debug, Default)]
pub struct Crashes {
    pub(crate) probes: RefCell<HashMap<UpstreamKey, Rc<Probe>>>,
    /// Upstreams whose answers broke off, while they are watched whether they end.
    pub(crate) watched: RefCell<HashSet<UpstreamKey>>,
    /// What counts against suspects if these upstreams end.
    pub(crate) undecided: RefCell<HashMap<UpstreamKey, Vec<Evidence>>>,
    /// Suspects whose block is over, and when this instance let a request with them pass.
    pub(crate) trials: RefCell<HashMap<SuspectId, Timestamp>>,
    pub(crate) answers_told: RefCell<HashMap<SuspectId, Timestamp>>,
    /// Suspects that were logged, and whether as blocked.
    pub(crate) logged: RefCell<HashMap<SuspectId, bool>>,
    /// Whether metrics show any suspects.
    pub(crate) is_suspected: Cell<bool>,
    /// Suspected requests of which an attempt is under way here.
    under_way: RefCell<HashSet<RequestDigest>>,
}

/// `SoleAttempt` is the only attempt of a suspected request that is under way at this instance, until it is
/// dropped.
#[derive(Debug)]
pub struct SoleAttempt {
    gateway: Rc<Gateway>,
    digest: RequestDigest,
}

impl Drop for SoleAttempt {
    fn drop(&mut self) {
        self.gateway.crashes.under_way.borrow_mut().remove(&self.digest);
    }
}

/// `BrokenAttempt` is an attempt whose answer broke off.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BrokenAttempt {
    /// Where.
    pub upstream: UpstreamKey,
    /// When it was sent.
    pub sent: Timestamp,
    /// How far its answer had come.
    pub progress: AnswerProgress,
}

/// `GivenAnswer` is how far an upstream has answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GivenAnswer {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// When the request was sent there.
    pub sent: Timestamp,
    /// When the answer began.
    pub begun: Timestamp,
    /// Until when it has gone on.
    pub at: Timestamp,
}

/// `AnswerProgress` is how far an upstream's answer had come when it broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerProgress {
    /// Nothing had come.
    Waiting,
    /// It had begun a moment ago.
    Begun,
    /// Its events had come for [`ANSWERED_TIME`].
    Answered,
}

impl Gateway {
    /// `check_suspects` refuses a call that crashes upstreams, or a part of its prompt. Of those whose block
    /// is over it lets one pass at a time, when it is this instance's turn, and of a request that is suspected
    /// one attempt.
    ///
    /// # Errors
    ///
    /// Refuses the call as not run until its block is over.
    pub(crate) fn check_suspects(self: &Rc<Self>, call: &Call) -> Result<(), Refusal> {
        let now = self.now();
        let blocked_for = match self.verdict_on(call) {
            Verdict::Admit => return Ok(()),
            Verdict::Confine(_) if !self.is_suspected(call) => return Ok(()),
            // Others may know of further upstreams that crashed under it.
            Verdict::Confine(_) if self.is_out_of_touch() => ISOLATED_RETURN,
            Verdict::Confine(_) if self.is_sole_attempt(call) => return Ok(()),
            Verdict::Confine(_) => BUSY_RETURN,
            Verdict::Block(time) => time,
            Verdict::Try(_) if self.is_out_of_touch() => ISOLATED_RETURN,
            Verdict::Try(turn) => {
                let draw = turn.suspect.number() ^ u64::from(turn.round);
                let own = self.options.instance;
                let is_own_turn = self.members.borrow().whose_turn(draw, turn.place, own) == own;
                if is_own_turn && self.begin_trial(turn.suspect, now) {
                    return Ok(());
                }
                TRIAL_WINDOW
            }
        };
        Err(self.refusal_of_suspect(call, blocked_for))
    }

    /// `refusal_of_suspect` refuses a call that is blocked, as not run.
    pub(crate) fn refusal_of_suspect(&self, call: &Call, blocked_for: Duration) -> Refusal {
        let reason = match self.is_suspected(call) {
            true => RefusalReason::RequestBlocked,
            false => RefusalReason::PromptPartBlocked,
        };
        Refusal::not_run(reason, blocked_for)
    }

    /// Whether no other attempt of the same request is under way here.
    fn is_sole_attempt(self: &Rc<Self>, call: &Call) -> bool {
        if call.sole_attempt.get().is_some() {
            return true;
        }
        let digest = call.digest();
        let is_sole = self.crashes.under_way.borrow_mut().insert(digest);
        if is_sole {
            let attempt = SoleAttempt { gateway: Rc::clone(self), digest };
            // It was empty a moment ago.
            let _ = call.sole_attempt.set(attempt);
        }
        is_sole
    }

    fn begin_trial(&self, suspect: SuspectId, now: Timestamp) -> bool {
        let mut trials = self.crashes.trials.borrow_mut();
        if trials.get(&suspect).is_some_and(|begun| now < *begun + TRIAL_WINDOW) {
            return false;
        }
        match suspect {
            SuspectId::Part(service, part) | SuspectId::LatePart(service, part) => {
                log::info!("event=part_tried service={service} part={part:x}");
            }
            SuspectId::Request(digest) => log::info!("event=request_tried digest={digest:016x}"),
        }
        trials.insert(suspect, now);
        true
    }

    /// `is_blocked` tells whether a call that was placed may not be sent any more.
    pub(crate) fn is_blocked(&self, call: &Call) -> bool {
        matches!(self.verdict_on(call), Verdict::Block(_))
    }

    /// `is_suspected` tells whether an upstream has ended under an attempt of the same request.
    pub(crate) fn is_suspected(&self, call: &Call) -> bool {
        let Some(digest) = self.digest_to_compare(call) else { return false };
        let traffic = self.traffic.borrow();
        traffic.crash_suspects.suspicion_of(SuspectId::Request(digest)).is_some()
    }

    /// `digest_to_compare` returns the name of a call's content while requests are suspected. At other times
    /// it is not worked out.
    pub(crate) fn digest_to_compare(&self, call: &Call) -> Option<RequestDigest> {
        let is_needed = self.traffic.borrow().crash_suspects.holds_requests();
        is_needed.then(|| call.digest())
    }

    fn verdict_on(&self, call: &Call) -> Verdict {
        if self.traffic.borrow().crash_suspects.is_empty() {
            return Verdict::Admit;
        }
        let digest = self.digest_to_compare(call);
        self.traffic.borrow().suspect_verdict(&call.service, &call.facts, digest, self.now())
    }

    /// `note_answered` takes in how far an upstream has answered a call. Others are told once it has outlived
    /// that.
    pub(crate) fn note_answered(&self, call: &Call, given: GivenAnswer) {
        let shared: Vec<PartId> = call.facts.shared_parts().collect();
        if !call.facts.is_generation() || shared.is_empty() {
            return;
        }
        let answer = Answer {
            service: id_of_name(&call.service),
            parts: shared,
            sent_at: moment_of(given.sent),
            begun_at: moment_of(given.begun),
            at: moment_of(given.at),
        };
        let mut traffic = self.traffic.borrow_mut();
        let Some(upstream) = traffic.registry.get(given.upstream) else { return };
        let life = upstream.life_number;
        let cleared = traffic.crash_suspects.note_provisional(life, answer);
        drop(traffic);
        self.note_cleared(&suspects_of(&cleared), "answered");
    }

    /// `note_outlived` takes in which upstreams have outlived their answers, and tells the others of the parts
    /// that are sound therefore.
    pub(crate) fn note_outlived(&self) {
        let now = moment_of(self.now());
        let cleared = self.traffic.borrow_mut().crash_suspects.note_outlived(now);
        self.tell_answered(&cleared);
    }

    /// `note_completed` takes in that a call was answered to the end, so that it crashes nothing.
    pub(crate) fn note_completed(&self, call: &Call) {
        if self.is_suspected(call) {
            let request = SuspectId::Request(call.digest());
            self.lift(request, moment_of(self.now()), "answered");
            self.tell_answered(&[request]);
        }
    }

    /// `note_broken` takes in that the answer to a call broke off at an upstream; it tells whether the call
    /// may be sent to another one. It may not, where the upstream has crashed and the call is blocked by that,
    /// or holds a part that no other one has answered lately: it would crash the next. What was found out is
    /// told to other instances also where the caller leaves meanwhile.
    pub(crate) async fn note_broken(
        self: &Rc<Self>,
        call: &Rc<Call>,
        broken: BrokenAttempt,
    ) -> bool {
        let (gateway, call) = (Rc::clone(self), Rc::clone(call));
        let noted = tokio::task::spawn_local(async move {
            let look = gateway.look_for_crash(&call, broken);
            gateway.work_times.time(Work::Crashes, look).await
        });
        noted.await.unwrap_or(true)
    }

    async fn look_for_crash(
        self: &Rc<Self>,
        call: &Call,
        BrokenAttempt { upstream, sent, progress }: BrokenAttempt,
    ) -> bool {
        if !self.options.admission.policy.crash_suspects {
            return true;
        }
        let (at, sent_at) = (moment_of(self.now()), moment_of(sent));
        let Some((life, address)) = self.life_that_stays(upstream) else { return true };
        let has_ended = self.has_ended(upstream, address).await;
        let service = id_of_name(&call.service);
        let of_part = |part| {
            let is_strong = progress != AnswerProgress::Waiting;
            Evidence { suspect: SuspectId::Part(service, part), life, is_strong, at, sent_at }
        };
        let mut evidence: Vec<Evidence> = call.facts.shared_parts().map(of_part).collect();
        let is_strong = progress != AnswerProgress::Answered;
        let request = SuspectId::Request(call.digest());
        evidence.push(Evidence { suspect: request, life, is_strong, at, sent_at });
        if !has_ended {
            if self.crashes.watched.borrow().contains(&upstream) {
                self.traffic.borrow_mut().crash_suspects.doubt(life);
                let mut undecided = self.crashes.undecided.borrow_mut();
                undecided.entry(upstream).or_default().extend(evidence);
            }
            return true;
        }
        self.note_own_crashes(life, at, evidence);
        call.told_until.set(self.now() + TELL_TIME);
        match self.verdict_on(call) {
            Verdict::Admit | Verdict::Confine(_) if self.is_out_of_touch() => false,
            Verdict::Admit | Verdict::Confine(SuspectId::Request(_)) => true,
            Verdict::Confine(SuspectId::Part(..) | SuspectId::LatePart(..)) => {
                progress == AnswerProgress::Waiting
            }
            Verdict::Try(_) | Verdict::Block(_) => false,
        }
    }

    /// `note_own_crashes` takes in that an upstream crashed at a time, with what broke off there, and tells the
    /// others. Answers that it did not outlive count as well, but for parts that were answered elsewhere a
    /// moment ago.
    pub(crate) fn note_own_crashes(
        self: &Rc<Self>,
        life: UpstreamId,
        at: Moment,
        mut evidence: Vec<Evidence>,
    ) {
        let mut traffic = self.traffic.borrow_mut();
        let suspects = &mut traffic.crash_suspects;
        evidence.extend(suspects.note_ended(life, at));
        evidence.retain(|crash| !suspects.is_answered_elsewhere(crash));
        drop(traffic);
        if !evidence.is_empty() {
            self.note_crashes(&evidence, 0);
            self.tell_crashes_at_once(&evidence);
        }
    }

    /// `wait_until_told` waits until other instances know of the crashes under a call. Its caller sends it
    /// again as soon as it has failed, to any of them.
    pub(crate) async fn wait_until_told(&self, call: &Call) {
        let left = call.told_until.get().saturating_sub(self.now());
        if !left.is_zero() {
            tokio::time::sleep(left).await;
        }
    }

    /// `note_crashes` takes in crashes, and how many requests without a part were answered since the first
    /// one at whoever tells of them.
    pub(crate) fn note_crashes(&self, evidence: &[Evidence], answers: u64) {
        for evidence in evidence {
            let mut traffic = self.traffic.borrow_mut();
            let is_news = traffic.crash_suspects.note_crash(*evidence, answers);
            let known = traffic.crash_suspects.suspicion_of(evidence.suspect);
            drop(traffic);
            if let Some(known) = known.filter(|_| is_news) {
                self.note_suspicion(&known);
            }
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
            log::info!("event=crash_retracted upstream={:?}", self.id_of(upstream));
            self.tell_living(life);
        }
    }

    /// `lift` lets a suspect in again, here; it tells whether anything was known against it.
    pub(crate) fn lift(&self, suspect: SuspectId, at: Moment, reason: &str) -> bool {
        let is_known = self.traffic.borrow_mut().crash_suspects.lift(suspect, at);
        if is_known {
            self.note_cleared(&[suspect], reason);
        }
        is_known
    }
}

fn suspects_of(parts: &[PartKey]) -> Vec<SuspectId> {
    parts.iter().map(|(service, part)| SuspectId::Part(*service, *part)).collect()
}

//! Crash reports: what operators see of parts and requests that crash upstreams, and how they let one in again.

use std::time::Duration;

use bergamotpitch_control::traffic::crash_suspects::{SuspectId, Suspicion};
use bergamotpitch_control::traffic::facts::PartId;
use bergamotpitch_control::traffic::request_digests::RequestDigest;
use bergamotpitch_control::traffic::sound_parts::moment_of;
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::{ServiceId, id_of_name};
use serde::Serialize;

use crate::gateways::Gateway;
use crate::logs::decision;

/// `PartReport` is a part of prompts that is suspected of crashing upstreams, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PartReport {
    /// The service.
    pub service: String,
    /// Id of the part, in hexadecimal.
    pub part: String,
    /// What is known against it.
    #[serde(flatten)]
    pub state: SuspectState,
}

/// `RequestReport` is a request that is blocked, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RequestReport {
    /// Digest of its content, in hexadecimal.
    pub digest: String,
    /// What is known against it.
    #[serde(flatten)]
    pub state: SuspectState,
}

/// `SuspectState` is what is known against a suspect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SuspectState {
    /// Upstreams that crashed under it.
    pub crashes: usize,
    /// Whether it is refused.
    pub is_blocked: bool,
    /// For how much longer; 0 when one request at a time may try it.
    pub blocked_for_ms: i64,
}

impl Gateway {
    /// `part_reports` returns the parts that are suspected or blocked, for operators.
    pub fn part_reports(&self) -> Vec<PartReport> {
        let report = |known: &Suspicion| match known.suspect {
            SuspectId::Part(service, part) | SuspectId::LatePart(service, part) => {
                Some(PartReport {
                    service: self.name_of_service(service),
                    part: format!("{part:x}"),
                    state: self.state_of(known),
                })
            }
            SuspectId::Request(_) => None,
        };
        let mut reports: Vec<PartReport> = self.suspicions().iter().filter_map(report).collect();
        let order = |report: &PartReport| {
            let state = &report.state;
            (report.part.clone(), report.service.clone(), !state.is_blocked, !state.crashes)
        };
        reports.sort_by_cached_key(order);
        // What is known of late crashes is a second report on the same part.
        reports
            .dedup_by(|next, first| (&next.part, &next.service) == (&first.part, &first.service));
        reports
    }

    /// `request_reports` returns the requests that are blocked, for operators. Others were in hand at one
    /// upstream that ended, and are many.
    pub fn request_reports(&self) -> Vec<RequestReport> {
        let report = |known: &Suspicion| match known.suspect {
            SuspectId::Request(digest) if known.blocked_until.is_some() => {
                let digest = format!("{digest:016x}");
                Some(RequestReport { digest, state: self.state_of(known) })
            }
            _ => None,
        };
        let mut reports: Vec<RequestReport> = self.suspicions().iter().filter_map(report).collect();
        reports.sort_by(|one, other| one.digest.cmp(&other.digest));
        reports
    }

    fn suspicions(&self) -> Vec<Suspicion> {
        self.traffic.borrow().crash_suspects.suspicions()
    }

    fn name_of_service(&self, service: ServiceId) -> String {
        let catalog = self.catalog();
        let named = catalog.as_ref().and_then(|catalog| catalog.service_of_id(service));
        named.map_or_else(|| service.to_string(), |named| named.name.clone())
    }

    fn state_of(&self, known: &Suspicion) -> SuspectState {
        let now = moment_of(self.now());
        SuspectState {
            crashes: known.crashes,
            is_blocked: known.blocked_until.is_some(),
            blocked_for_ms: known.blocked_until.map_or(0, |until| (until - now).max(0)),
        }
    }

    /// `lift_part` lets a part in again, here and at all other instances, until it crashes upstreams anew;
    /// it tells whether anything was known against it here.
    pub fn lift_part(&self, service: &str, part: PartId) -> bool {
        let service = id_of_name(service);
        let is_known = self.lift_everywhere(SuspectId::Part(service, part));
        self.lift_everywhere(SuspectId::LatePart(service, part)) || is_known
    }

    /// `lift_request` does so with a request.
    pub fn lift_request(&self, digest: RequestDigest) -> bool {
        self.lift_everywhere(SuspectId::Request(digest))
    }

    fn lift_everywhere(&self, suspect: SuspectId) -> bool {
        let is_known = self.lift(suspect, moment_of(self.now()), "lifted");
        self.tell_lifted(suspect);
        is_known
    }

    /// `note_suspicions` notes all suspects, with some of the beats: a part is blocked by answers to requests
    /// without it as well as by a crash.
    pub(crate) fn note_suspicions(&self) {
        let suspicions = self.suspicions();
        // Metrics tell once that there are none any more.
        let was_suspected = self.crashes.is_suspected.replace(!suspicions.is_empty());
        if suspicions.is_empty() && !was_suspected {
            return;
        }
        self.metrics.note_suspects(&suspicions);
        suspicions.iter().for_each(|known| self.note_suspicion(known));
    }

    /// `note_suspicion` logs a part that is suspected or blocked, or a request that is blocked, unless it was
    /// logged as that, and records a block.
    pub(crate) fn note_suspicion(&self, known: &Suspicion) {
        let is_blocked = known.blocked_until.is_some();
        // Parts that only waited at an upstream are no news for operators.
        let is_shown = match known.suspect {
            SuspectId::Part(..) => known.is_strong,
            SuspectId::LatePart(..) | SuspectId::Request(_) => is_blocked,
        };
        if !is_shown {
            return;
        }
        let logged = self.crashes.logged.borrow_mut().insert(known.suspect, is_blocked);
        if logged != Some(is_blocked) {
            self.log_suspicion(known);
        }
        if is_blocked {
            let blocked_for = self.state_of(known).blocked_for_ms;
            self.record_block(known.suspect, Duration::from_millis(blocked_for as u64));
        }
    }

    fn log_suspicion(&self, known: &Suspicion) {
        let now = moment_of(self.now());
        let is_blocked = known.blocked_until.is_some();
        let blocked_for_ms = known.blocked_until.map_or(0, |until| until - now);
        let (crashes, age_ms) = (known.crashes, now - known.last_at);
        let (answers, last_upstream) = (known.answers, known.last_life);
        match known.suspect {
            SuspectId::Part(service, part) | SuspectId::LatePart(service, part) => decision(
                EventKind::PartSuspected,
                format_args!(
                    "service={service} part={part:x} blocked={is_blocked} late={} crashes={crashes} \
                     answers={answers} last_upstream={last_upstream} age_ms={age_ms} \
                     blocked_for_ms={blocked_for_ms}",
                    matches!(known.suspect, SuspectId::LatePart(..)),
                ),
            ),
            SuspectId::Request(digest) => decision(
                EventKind::RequestBlocked,
                format_args!(
                    "digest={digest:016x} crashes={crashes} last_upstream={last_upstream} \
                     age_ms={age_ms} blocked_for_ms={blocked_for_ms}",
                ),
            ),
        }
    }

    /// `note_cleared` takes in that suspects are none any more.
    pub(crate) fn note_cleared(&self, suspects: &[SuspectId], reason: &str) {
        for suspect in suspects {
            self.crashes.trials.borrow_mut().remove(suspect);
            let Some(was_blocked) = self.crashes.logged.borrow_mut().remove(suspect) else {
                continue;
            };
            if was_blocked {
                self.forget_block(*suspect);
            }
            match suspect {
                SuspectId::Part(service, part) | SuspectId::LatePart(service, part) => decision(
                    EventKind::PartCleared,
                    format_args!("service={service} part={part:x} reason={reason}"),
                ),
                SuspectId::Request(digest) => decision(
                    EventKind::RequestCleared,
                    format_args!("digest={digest:016x} reason={reason}"),
                ),
            }
        }
    }
}

//! Placements: waiting a moment for a place, and the books of a request that runs.

use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::admissions::{Ask, Choice, Placement};
use bergamotpitch_control::traffic::registries::UpstreamKey;
use bergamotpitch_control::traffic::team_windows::Standing;
use bergamotpitch_core::ids::id_of_name;
use bergamotpitch_core::refusals::RefusalReason;
use bergamotpitch_core::units::Timestamp;

use crate::calls::Call;
use crate::gateways::Gateway;
use crate::refusals::Refusal;

/// `HOLD_PART` is the part of a request's target latency for which it may wait for a place.
/// Arrivals come in bunches of a few, and a place that comes within this time still makes the
/// target; a longer wait only puts off the answer that it does not fit.
const HOLD_PART: f64 = 0.1;

/// `HOLD_PART_WITHIN_SHARE` is the same for a request within its team's share or of a needy team, for
/// which the next
/// place that comes free is meant; what is left of the target suffices for most first events.
const HOLD_PART_WITHIN_SHARE: f64 = 0.4;

/// `RETURN_SPREAD` is the part by which the times to come back differ, so that what was refused
/// together does not come back together.
const RETURN_SPREAD: f64 = 0.5;

/// `place` finds an upstream for a call and takes the place there.
///
/// # Errors
///
/// Refuses the call as not run when none has room in time.
pub async fn place(
    gateway: &Rc<Gateway>,
    call: &Call,
    tried: &[UpstreamKey],
) -> Result<Placement, Refusal> {
    loop {
        let changed = gateway.changed.notified();
        let now = gateway.now();
        let choice = try_place(gateway, call, tried, now);
        let (reason, after, hold_part) = match choice {
            Choice::Send(placement) => return Ok(placement),
            Choice::Full { after, standing: Standing::WithinShare | Standing::Needy, .. } => {
                (RefusalReason::Overloaded, after, HOLD_PART_WITHIN_SHARE)
            }
            Choice::Full { after, .. } => (RefusalReason::QueueFull, after, HOLD_PART),
            Choice::NoUpstream(after) => (RefusalReason::NoUpstream, after, HOLD_PART),
        };
        let hold_until = call.arrived + call.route.target_latency.mul_f64(hold_part);
        if hold_until <= now {
            log::info!(
                "event=no_place request={} service={} choice={choice:?}",
                call.facts.attempt_id,
                call.service
            );
            return Err(Refusal::not_run(reason, spread(after, call.number)));
        }
        let _waiting = Waiting::enter(gateway);
        // Running out of time is no failure here: the next round decides.
        let _ = tokio::time::timeout(hold_until - now, changed).await;
    }
}

/// `Waiting` counts a request as waiting for a place for as long as it lives.
struct Waiting<'a>(&'a Gateway);

impl<'a> Waiting<'a> {
    fn enter(gateway: &'a Gateway) -> Self {
        gateway.waiting.set(gateway.waiting.get() + 1);
        Self(gateway)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}

fn try_place(gateway: &Gateway, call: &Call, tried: &[UpstreamKey], now: Timestamp) -> Choice {
    let ask = ask_of_call(call, tried, now);
    let mut traffic = gateway.traffic.borrow_mut();
    let choice = traffic.choose(&ask, now);
    if let Choice::Send(placement) = &choice {
        traffic.send(call.number, placement, &ask, now);
    }
    choice
}

/// `ask_of_call` states what a call asks of the tables.
pub fn ask_of_call<'a>(call: &'a Call, tried: &'a [UpstreamKey], now: Timestamp) -> Ask<'a> {
    Ask {
        service: &call.service,
        facts: &call.facts,
        team: call.team.as_ref().map(|team| id_of_name(&team.name)),
        target: call.route.target_latency,
        elapsed: now.saturating_sub(call.arrived),
        tried,
        memory_tokens: call.memory_tokens,
        cache_link: call.cache_link,
        pool_tokens_per_s: call.catalog.pool_tokens_per_s,
    }
}

fn spread(after: Duration, number: u64) -> Duration {
    // The golden ratio's multiples are spread evenly whatever the numbers are.
    let fraction = (number as f64 * 0.618_033_988_75).fract();
    after.mul_f64(1.0 + RETURN_SPREAD * fraction)
}

/// `Run` is a request that has a place at an upstream; dropping it frees the place.
#[derive(Debug)]
pub struct Run {
    gateway: Rc<Gateway>,
    number: u64,
    key: UpstreamKey,
    sent: Timestamp,
    has_begun: bool,
    is_settled: bool,
}

/// `LEFT_UNANSWERED` is the time without an answer after which a caller that leaves is held against
/// the upstream.
const LEFT_UNANSWERED: Duration = Duration::from_millis(1_500);

impl Run {
    /// `open` follows a request that was placed.
    pub fn open(gateway: &Rc<Gateway>, call: &Call, placement: &Placement) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            number: call.number,
            key: placement.upstream,
            sent: gateway.now(),
            has_begun: false,
            is_settled: false,
        }
    }

    /// `key` returns the upstream.
    pub fn key(&self) -> UpstreamKey {
        self.key
    }

    /// `begun` takes in the first event or the answer; it returns how long it took.
    pub fn begun(&mut self) -> Duration {
        let now = self.gateway.now();
        if !self.has_begun {
            self.has_begun = true;
            let mut traffic = self.gateway.traffic.borrow_mut();
            traffic.begun(self.key, self.number, now);
            drop(traffic);
            self.gateway.note_change_of_load();
        }
        now.saturating_sub(self.sent)
    }

    /// `settle` ends the run with its outcome.
    pub fn settle(mut self, failed: bool) {
        self.end(Some(failed));
    }

    fn end(&mut self, failed: Option<bool>) {
        if self.is_settled {
            return;
        }
        self.is_settled = true;
        let now = self.gateway.now();
        let mut traffic = self.gateway.traffic.borrow_mut();
        traffic.load(self.key).ended(self.number);
        if let Some(failed) = failed {
            traffic.evidence(self.key).note_outcome(failed, now);
        }
        drop(traffic);
        self.gateway.note_change_of_load();
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let waited = self.gateway.now().saturating_sub(self.sent);
        let is_unanswered = !self.has_begun && LEFT_UNANSWERED <= waited;
        self.end(is_unanswered.then_some(true));
    }
}

//! Placements: waiting a moment for a place, and the books of a request that runs.

use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::admissions::{Decision, Placement, Scope};
use bergamotpitch_control::traffic::engine_loads::RequestNumber;
use bergamotpitch_control::traffic::placement_queues::OwnedPlacementRequest;
use bergamotpitch_control::traffic::registries::UpstreamKey;
use bergamotpitch_control::traffic::team_windows::ShareClass;
use bergamotpitch_core::ids::id_of_name;
use bergamotpitch_core::refusals::RefusalReason;
use bergamotpitch_core::units::Timestamp;

use crate::asks::{self, Decided, Granter};
use crate::calls::Call;
use crate::gateways::Gateway;
use crate::messages::NoteEvent;
use crate::refusals::{Inputs, Refusal};

/// `RETURN_SPREAD` is the part by which the times to come back differ, so that what was refused
/// together does not come back together.
const RETURN_SPREAD: f64 = 0.5;

/// `Placed` is a request that has a place at an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Placed {
    /// Its number in the books of whoever placed it.
    pub number: RequestNumber,
    /// The place.
    pub placement: Placement,
    /// Who placed it, when it was not this instance.
    pub grantor: Option<Granter>,
}

/// `place` finds an upstream for a call and takes the place there.
///
/// # Errors
///
/// Refuses the call as not run when none has room in time.
pub async fn place(
    gateway: &Rc<Gateway>,
    call: &Call,
    tried: &[UpstreamKey],
) -> Result<Placed, Refusal> {
    let (number, grantor, choice) = decide(gateway, call, tried).await;
    let granter_id = grantor.map(|grantor| grantor.instance);
    let (reason, after, inputs) = match choice {
        Decision::Send(placement) => return Ok(Placed { number, placement, grantor }),
        Decision::Full { retry_after: after, share_class, least_requests } => {
            let inputs = Inputs {
                share_class: Some(share_class),
                least_requests: Some(least_requests),
                grantor: granter_id,
            };
            (reason_of_standing(share_class), after, inputs)
        }
        Decision::NoUpstream(after) => {
            let inputs = Inputs { grantor: granter_id, ..Inputs::default() };
            (RefusalReason::NoUpstream, after, inputs)
        }
    };
    Err(Refusal::not_run(reason, spread(after, call.number)).decided_on(inputs))
}

fn reason_of_standing(share_class: ShareClass) -> RefusalReason {
    match share_class {
        ShareClass::WithinShare | ShareClass::Underserved => RefusalReason::Overloaded,
        ShareClass::EvenSurplus | ShareClass::BeyondEven => RefusalReason::QueueFull,
    }
}

async fn decide(
    gateway: &Rc<Gateway>,
    call: &Call,
    tried: &[UpstreamKey],
) -> (RequestNumber, Option<Granter>, Decision) {
    if let Some(dispatcher) = gateway.other_dispatcher() {
        for may_go_on in [true, false] {
            let number = gateway.fresh_number();
            let decided = asks::ask(gateway, dispatcher, call, tried, number, may_go_on).await;
            let Some(Decided { grantor, choice }) = decided else { break };
            // The dispatcher of another domain had less room than it told.
            let is_final = matches!(choice, Decision::Send(_)) || grantor.instance == dispatcher;
            if is_final {
                return (number, Some(grantor), choice);
            }
        }
    }
    decide_here(gateway, call, tried).await
}

/// Decides on a call by the own books. What fits nowhere in the own domain goes to one that has room.
async fn decide_here(
    gateway: &Rc<Gateway>,
    call: &Call,
    tried: &[UpstreamKey],
) -> (RequestNumber, Option<Granter>, Decision) {
    let now = gateway.now();
    let ask = owned_ask(call, tried, gateway.scope());
    if tried.is_empty() {
        gateway.note_asked(&ask, now);
    }
    let number = gateway.fresh_number();
    let choice = gateway.place_here(number, &ask);
    if matches!(choice, Decision::Send(_)) {
        return (number, None, choice);
    }
    if gateway.is_dispatcher()
        && let Some(next) = gateway.take_room(id_of_name(&call.service), &choice)
    {
        let number = gateway.fresh_number();
        let decided = asks::ask(gateway, next, call, tried, number, false).await;
        if let Some(Decided { grantor, choice: choice @ Decision::Send(_) }) = decided {
            return (number, Some(grantor), choice);
        }
    }
    let ask = match choice {
        Decision::NoUpstream(_) => OwnedPlacementRequest { scope: Scope::Fleet, ..ask },
        _ => ask,
    };
    let choice = gateway.decide(number, ask).await;
    (number, None, choice)
}

fn owned_ask(call: &Call, tried: &[UpstreamKey], scope: Scope) -> OwnedPlacementRequest {
    OwnedPlacementRequest {
        service: call.service.clone(),
        facts: call.facts.clone(),
        team: call.team.as_ref().map(|team| id_of_name(&team.name)),
        target: call.route.target_latency,
        target_gap: call.route.target_gap,
        arrived: call.arrived,
        tried: tried.to_vec(),
        memory_tokens: call.memory_tokens,
        pool_tokens_per_s: call.catalog.pool_tokens_per_s,
        cache_link: call.cache_link,
        scope,
    }
}

/// `has_place` tells whether an upstream other than those that were tried has room for a call, as far
/// as this instance knows.
pub fn has_place(gateway: &Gateway, call: &Call, tried: &[UpstreamKey]) -> bool {
    let now = gateway.now();
    let ask = owned_ask(call, tried, gateway.scope());
    matches!(gateway.traffic.borrow_mut().choose_upstream(&ask.as_of(now), now), Decision::Send(_))
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
    number: RequestNumber,
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
    pub fn open(gateway: &Rc<Gateway>, placed: &Placed) -> Self {
        let Placed { number, placement, grantor } = *placed;
        if let Some(grantor) = grantor {
            gateway.hold_grant(number, grantor, placement);
        }
        Self {
            gateway: Rc::clone(gateway),
            number,
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
            if !self.gateway.grant_begun(self.number) {
                self.gateway.traffic.borrow_mut().begun(self.key, self.number, now);
                self.gateway.note_change_of_load();
            }
        }
        now.saturating_sub(self.sent)
    }

    /// `settle` ends the run with its outcome.
    pub fn settle(mut self, failed: bool) {
        self.end(if failed { NoteEvent::Failed } else { NoteEvent::Answered });
    }

    /// `unreachable` ends the run at an upstream that took no connection.
    pub fn unreachable(mut self) {
        self.gateway.note_unreachable(self.key);
        self.end(NoteEvent::Unreachable);
    }

    fn end(&mut self, event: NoteEvent) {
        if self.is_settled {
            return;
        }
        self.is_settled = true;
        let now = self.gateway.now();
        let mut traffic = self.gateway.traffic.borrow_mut();
        match event {
            NoteEvent::Answered => traffic.evidence(self.key).note_outcome(false, now),
            NoteEvent::Failed => traffic.evidence(self.key).note_outcome(true, now),
            NoteEvent::Begun | NoteEvent::Unreachable | NoteEvent::Dropped => {}
        }
        if !self.gateway.grant_ended(self.number, event) {
            traffic.load(self.key).ended(self.number);
            self.gateway.note_change_of_load();
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let waited = self.gateway.now().saturating_sub(self.sent);
        let is_unanswered = !self.has_begun && LEFT_UNANSWERED <= waited;
        self.end(if is_unanswered { NoteEvent::Failed } else { NoteEvent::Dropped });
    }
}

//! Placements: waiting a moment for a place, and the books of a request that runs.

use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::engine_loads::RequestNumber;
use bergamotpitch_control::traffic::placement_queues::OwnedPlacementRequest;
use bergamotpitch_control::traffic::placement_requests::{Decision, Placement, Scope};
use bergamotpitch_control::traffic::registries::UpstreamKey;
use bergamotpitch_control::traffic::residencies::AllowedRegions;
use bergamotpitch_control::traffic::team_windows::ShareClass;
use bergamotpitch_core::ids::id_of_name;
use bergamotpitch_core::refusals::RefusalReason;
use bergamotpitch_core::units::Timestamp;

use crate::calls::Call;
use crate::gateways::Gateway;
use crate::messages::ProgressEvent;
use crate::refusals::{Inputs, Refusal};
use crate::remote_placements::{self, Grantor, RemoteDecision};

/// `RETRY_AFTER_JITTER` is the part by which the times to come back differ, so that what was refused
/// together does not come back together.
const RETRY_AFTER_JITTER: f64 = 0.5;

/// `PlacedRequest` is a request that has a place at an upstream.
#[derive(Debug, Clone, Copy)]
pub struct PlacedRequest {
    /// Its number in the books of whoever placed it.
    pub number: RequestNumber,
    /// The place.
    pub placement: Placement,
    /// Who placed it, when it was not this instance.
    pub grantor: Option<Grantor>,
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
) -> Result<PlacedRequest, Refusal> {
    let (number, grantor, decision) = decide(gateway, call, tried).await;
    let grantor_id = grantor.map(|grantor| grantor.instance);
    let (reason, after, inputs) = match decision {
        Decision::Send(placement) => return Ok(PlacedRequest { number, placement, grantor }),
        Decision::Full { retry_after: after, share_class, least_requests, refused_by } => {
            let inputs = Inputs {
                share_class: Some(share_class),
                least_requests: Some(least_requests),
                refused_by: Some(refused_by),
                grantor: grantor_id,
            };
            (refusal_reason(share_class), after, inputs)
        }
        Decision::Blocked(after) => return Err(gateway.refusal_of_suspect(call, after)),
        Decision::NoUpstream(_) if !gateway.has_bound_upstream(call) => {
            return Err(Refusal::not_resumable(RefusalReason::StreamVersionGone));
        }
        Decision::NoUpstream(after) => {
            let inputs = Inputs { grantor: grantor_id, ..Inputs::default() };
            (RefusalReason::NoUpstream, after, inputs)
        }
    };
    Err(Refusal::not_run(reason, with_jitter(after, call.number)).decided_on(inputs))
}

fn refusal_reason(share_class: ShareClass) -> RefusalReason {
    match share_class {
        ShareClass::WithinShare | ShareClass::Underserved => RefusalReason::Overloaded,
        ShareClass::EvenSurplus | ShareClass::BeyondEven => RefusalReason::QueueFull,
    }
}

async fn decide(
    gateway: &Rc<Gateway>,
    call: &Call,
    tried: &[UpstreamKey],
) -> (RequestNumber, Option<Grantor>, Decision) {
    if let Some(dispatcher) = gateway.other_dispatcher() {
        let mut is_counted = !tried.is_empty();
        for may_forward in [true, false] {
            let number = gateway.fresh_number();
            let decided = remote_placements::request_placement(
                gateway,
                dispatcher,
                call,
                tried,
                number,
                may_forward,
            )
            .await;
            let Some(RemoteDecision { grantor, decision }) = decided else { break };
            is_counted = true;
            // The dispatcher of another domain had less room than it told.
            let is_placed = matches!(decision, Decision::Send(_));
            // Upstreams of a stream's version may stand in any domain.
            if !is_placed && call.bound_software.get().is_some() {
                break;
            }
            if is_placed || grantor.instance == dispatcher {
                return (number, Some(grantor), decision);
            }
        }
        if !is_counted {
            gateway.note_request(&call.service);
        }
    }
    decide_locally(gateway, call, tried).await
}

/// Decides on a call by the own books. What fits nowhere in the own domain goes to one that has room.
async fn decide_locally(
    gateway: &Rc<Gateway>,
    call: &Call,
    tried: &[UpstreamKey],
) -> (RequestNumber, Option<Grantor>, Decision) {
    let now = gateway.now();
    let ask = owned_placement_request(gateway, call, tried);
    if ask.software.is_some() {
        let number = gateway.fresh_number();
        let ask = OwnedPlacementRequest { scope: Scope::Fleet, ..ask };
        return (number, None, gateway.decide(number, ask).await);
    }
    if tried.is_empty() {
        gateway.note_asked(&ask, now);
    }
    let number = gateway.fresh_number();
    let decision = gateway.place_locally(number, &ask);
    if matches!(decision, Decision::Send(_)) {
        return (number, None, decision);
    }
    if gateway.is_dispatcher()
        && let Some(next) =
            gateway.reserve_remote_headroom(id_of_name(&call.service), &decision, &ask.regions)
    {
        let number = gateway.fresh_number();
        let decided =
            remote_placements::request_placement(gateway, next, call, tried, number, false).await;
        if let Some(RemoteDecision { grantor, decision: decision @ Decision::Send(_) }) = decided {
            return (number, Some(grantor), decision);
        }
    }
    let ask = match decision {
        Decision::NoUpstream(_) => OwnedPlacementRequest { scope: Scope::Fleet, ..ask },
        _ => ask,
    };
    let decision = gateway.decide(number, ask).await;
    (number, None, decision)
}

fn owned_placement_request(
    gateway: &Gateway,
    call: &Call,
    tried: &[UpstreamKey],
) -> OwnedPlacementRequest {
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
        scope: gateway.scope(),
        regions: gateway.allowed_regions(call),
        software: call.bound_software.get(),
        digest: gateway.digest_to_compare(call),
    }
}

impl Gateway {
    /// `allowed_regions` returns the regions that a call may enter by the configuration in force, which
    /// may be newer than the one under which it arrived.
    pub(crate) fn allowed_regions(&self, call: &Call) -> AllowedRegions {
        match self.catalog() {
            Some(catalog) => catalog.allowed_regions(&call.route, call.team.as_deref()),
            None => call.catalog.allowed_regions(&call.route, call.team.as_deref()),
        }
    }

    /// `may_send` tells whether a call may still be sent where it was placed.
    pub(crate) fn may_send(&self, call: &Call, placement: &Placement) -> bool {
        if placement.has_lapsed(self.now()) || self.is_blocked(call) {
            return false;
        }
        let regions = self.allowed_regions(call);
        let traffic = self.traffic.borrow();
        let upstream = traffic.registry.get(placement.upstream);
        let versions = [call.bound_software.get(), call.begun_software.get()];
        upstream.is_some_and(|upstream| {
            upstream.takes_work()
                && traffic.allows(&regions, upstream.domain_number)
                && versions.iter().flatten().all(|only| upstream.software == *only)
        })
    }

    /// `has_bound_upstream` tells whether an upstream may take the call some time: always, unless it takes up a stream of a version
    /// whose last upstreams leave or are gone.
    pub(crate) fn has_bound_upstream(&self, call: &Call) -> bool {
        let Some(software) = call.bound_software.get() else { return true };
        let traffic = self.traffic.borrow();
        let keys = traffic.registry.of_service(&call.service).iter();
        let mut upstreams = keys.filter_map(|key| traffic.registry.get(*key));
        upstreams.any(|upstream| upstream.software == software && upstream.leaving.is_none())
    }
}

/// `has_place` tells whether an upstream other than those that were tried has room for a call, as far
/// as this instance knows.
pub fn has_place(gateway: &Gateway, call: &Call, tried: &[UpstreamKey]) -> bool {
    let now = gateway.now();
    let ask = owned_placement_request(gateway, call, tried);
    matches!(gateway.traffic.borrow_mut().choose_upstream(&ask.as_of(now), now), Decision::Send(_))
}

fn with_jitter(after: Duration, number: u64) -> Duration {
    // The golden ratio's multiples are spread evenly whatever the numbers are.
    let fraction = (number as f64 * 0.618_033_988_75).fract();
    after.mul_f64(1.0 + RETRY_AFTER_JITTER * fraction)
}

/// `Run` is a request that has a place at an upstream; dropping it frees the place.
#[derive(Debug)]
pub struct Run {
    gateway: Rc<Gateway>,
    number: RequestNumber,
    key: UpstreamKey,
    sent: Timestamp,
    has_begun: bool,
    has_ended: bool,
}

/// `ABANDONED_FAILURE_TIME` is the time without an answer after which a caller that leaves is held against
/// the upstream.
const ABANDONED_FAILURE_TIME: Duration = Duration::from_millis(1_500);

impl Run {
    /// `open` follows a request that was placed.
    pub fn open(gateway: &Rc<Gateway>, placed: &PlacedRequest) -> Self {
        let PlacedRequest { number, placement, grantor } = *placed;
        if let Some(grantor) = grantor {
            gateway.hold_grant(number, grantor, placement);
        }
        Self {
            gateway: Rc::clone(gateway),
            number,
            key: placement.upstream,
            sent: gateway.now(),
            has_begun: false,
            has_ended: false,
        }
    }

    /// `key` returns the upstream.
    pub fn key(&self) -> UpstreamKey {
        self.key
    }

    /// `sent` returns when the request was sent there.
    pub fn sent(&self) -> Timestamp {
        self.sent
    }

    /// `begun` takes in the first event or the answer; it returns how long it took.
    pub fn begun(&mut self) -> Duration {
        let now = self.gateway.now();
        if !self.has_begun {
            self.has_begun = true;
            if !self.gateway.grant_begun(self.number) {
                self.gateway.traffic.borrow_mut().begun(self.key, self.number, now);
                self.gateway.mark_load_changed();
            }
        }
        now.saturating_sub(self.sent)
    }

    /// `complete` ends the run with its outcome.
    pub fn complete(mut self, failed: bool) {
        self.end(if failed { ProgressEvent::Failed } else { ProgressEvent::Answered });
    }

    /// `unreachable` ends the run at an upstream that took no connection.
    pub fn unreachable(mut self) {
        self.gateway.note_unreachable(self.key);
        self.end(ProgressEvent::Unreachable);
    }

    fn end(&mut self, event: ProgressEvent) {
        if self.has_ended {
            return;
        }
        self.has_ended = true;
        let now = self.gateway.now();
        let mut traffic = self.gateway.traffic.borrow_mut();
        match event {
            ProgressEvent::Answered => traffic.evidence(self.key).note_outcome(false, now),
            ProgressEvent::Failed => traffic.evidence(self.key).note_outcome(true, now),
            ProgressEvent::Begun | ProgressEvent::Unreachable | ProgressEvent::Dropped => {}
        }
        if !self.gateway.grant_ended(self.number, event) {
            traffic.load(self.key).ended(self.number);
            self.gateway.mark_load_changed();
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let waited = self.gateway.now().saturating_sub(self.sent);
        let is_unanswered = !self.has_begun && ABANDONED_FAILURE_TIME <= waited;
        self.end(if is_unanswered { ProgressEvent::Failed } else { ProgressEvent::Dropped });
    }
}

//! The loop: control states and fake engines in virtual time, with links that delay, lose, repeat
//! and cut, and instances that stop, restart without memory and freeze.

use std::time::Duration;

use bergamotpitch_control::inputs::{Arrival, AttemptOutcome};
use bergamotpitch_control::{Input, Output, step};
use bergamotpitch_core::ids::{RequestId, UpstreamId, id_of_name};
use bergamotpitch_core::sheets::ServiceKind;
use bergamotpitch_core::units::Timestamp;

use crate::engines::{self, EngineEvent, Job, News};
use crate::fleets::Delivery;
pub use crate::fleets::{
    Fleet, FleetOptions, Pending, Router, accept_sheet, fleet, freeze, set_platform, start, stop,
    tell, thaw,
};
use crate::histories::Record;
pub use crate::links::{Spot, cut, cut_off, heal, reaches};
use crate::links::{delay, fetch_sheet, send};
use crate::observers::{count_service, list_instances, report_loads, sample};
use crate::workloads::Call;

/// Time after which a connection through a cut link is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two looks at the answers that a cut link holds back.
const HELD_BACK_PAUSE: Duration = Duration::from_millis(50);

/// `run_until` ticks until a time.
pub fn run_until(fleet: &mut Fleet, time: Timestamp) {
    while fleet.now < time {
        tick(fleet);
    }
}

/// `tick` lets one tick of virtual time pass.
pub fn tick(fleet: &mut Fleet) {
    let before = fleet.now;
    fleet.now += fleet.options.tick;
    deliver(fleet);
    advance_engines(fleet, before);
    arrive(fleet);
    report_loads(fleet);
    list_instances(fleet);
    for instance in 0..fleet.routers.len() {
        step_router(fleet, instance);
    }
    if fleet.next_sample <= fleet.now {
        fleet.next_sample = fleet.now + Duration::from_millis(10);
        sample(fleet);
    }
}

pub(crate) fn post(fleet: &mut Fleet, at: Timestamp, delivery: Delivery) {
    fleet.next_delivery += 1;
    fleet.deliveries.insert((at, fleet.next_delivery), delivery);
}

fn deliver(fleet: &mut Fleet) {
    while let Some(entry) = fleet.deliveries.first_entry() {
        if fleet.now < entry.key().0 {
            return;
        }
        match entry.remove() {
            Delivery::ToRouter { instance, incarnation, input } => {
                let router = &mut fleet.routers[instance];
                if router.tables.is_some() && router.incarnation == incarnation {
                    router.inputs.push(input);
                }
            }
            Delivery::FromEngine { engine, event } => deliver_event(fleet, engine, event),
            Delivery::Admit { engine, job } => {
                let at = fleet.now;
                if fleet.routers[job.instance].incarnation != job.incarnation {
                    continue;
                }
                let upstream = fleet.engines[engine].upstream;
                let request = job.request;
                fleet.history.records.push(Record::Admitted { at, request, upstream });
                engines::admit(&mut fleet.engines[engine], job);
            }
        }
    }
}

fn deliver_event(fleet: &mut Fleet, engine: usize, event: EngineEvent) {
    let place = fleet.engines[engine].place;
    // A stream waits behind a cut link and is resumed where it broke.
    if !reaches(fleet, event.instance, place) {
        let at = fleet.now + HELD_BACK_PAUSE;
        post(fleet, at, Delivery::FromEngine { engine, event });
        return;
    }
    let request = event.request;
    let input = match event.news {
        News::Started => return,
        News::FirstByte => Input::FirstByte { request },
        News::Progressed(cost) => Input::Progressed { request, cost },
        News::Ended(cost) => {
            Input::AttemptEnded { request, outcome: AttemptOutcome::Answered, cost }
        }
    };
    let router = &mut fleet.routers[event.instance];
    if router.tables.is_some() && router.incarnation == event.incarnation {
        router.inputs.push(input);
    }
}

fn advance_engines(fleet: &mut Fleet, before: Timestamp) {
    for index in 0..fleet.engines.len() {
        if fleet.engines[index].down {
            continue;
        }
        let events = engines::advance(&mut fleet.engines[index], before, fleet.now);
        let (place, upstream) = (fleet.engines[index].place, fleet.engines[index].upstream);
        for event in events {
            note_event(fleet, upstream, &event);
            let at =
                event.at.max(before) + delay(fleet, place, fleet.routers[event.instance].place);
            post(fleet, at, Delivery::FromEngine { engine: index, event });
        }
    }
}

fn note_event(fleet: &mut Fleet, upstream: UpstreamId, event: &EngineEvent) {
    let (at, request) = (event.at, event.request);
    match event.news {
        News::Started => {
            fleet.history.records.push(Record::Started { at, request, upstream });
            if let Some(pending) = fleet.pending.get_mut(&request) {
                pending.started = true;
            }
        }
        News::Ended(cost) => {
            fleet.history.records.push(Record::Ended { at, request, cost });
            count_service(fleet, request, cost);
            fleet.pending.remove(&request);
        }
        News::FirstByte | News::Progressed(_) => {}
    }
}

fn arrive(fleet: &mut Fleet) {
    while let Some(call) = fleet.calls.get(fleet.next_call).copied() {
        if fleet.now < call.at {
            return;
        }
        fleet.next_call += 1;
        let Some(instance) = balance(fleet, call.instance) else { continue };
        let request = fleet.next_request;
        fleet.next_request += 1;
        let job = job_of(fleet, call, request, instance);
        let service = &fleet.deployment.sheet.services[call.service];
        let arrival = Arrival {
            request,
            team: id_of_name(&fleet.deployment.sheet.teams[call.team].name),
            service: id_of_name(&service.name),
            body_bytes: u64::from(call.prompt_tokens) * 4,
            known_cost: job.prompt_cost,
            prefix: job.prefix,
            deadline: fleet.now + fleet.options.deadline,
            repeatable: service.repeatable,
        };
        let (at, team) = (fleet.now, call.team);
        fleet.history.records.push(Record::Arrived { at, request, instance, team });
        let pending =
            Pending { job, service: call.service, started: false, held: false, counted_cost: 0 };
        fleet.pending.insert(request, pending);
        fleet.routers[instance].inputs.push(Input::Arrived(arrival));
    }
}

fn job_of(fleet: &Fleet, call: Call, request: RequestId, instance: usize) -> Job {
    let service = &fleet.deployment.sheet.services[call.service];
    let is_engine = service.kind == ServiceKind::Engine;
    let prompt_cost = if is_engine {
        u64::from(call.prompt_tokens) * service.prompt_token_cost
    } else {
        service.call_cost
    };
    let answer_cost =
        if is_engine { u64::from(call.answer_tokens) * service.generated_token_cost } else { 0 };
    let options = &fleet.options;
    Job {
        request,
        team: call.team,
        instance,
        incarnation: fleet.routers[instance].incarnation,
        prompt_cost,
        prompt_time: if is_engine {
            options.prompt_token_time * call.prompt_tokens
        } else {
            options.plain_call_time
        },
        answer_cost,
        answer_time: if is_engine {
            options.token_time * call.answer_tokens
        } else {
            Duration::ZERO
        },
        prefix: if is_engine { call.prefix } else { 0 },
        arrived: fleet.now,
    }
}

/// `balance` is the platform's balancer: the wanted router when it is ready, else one in its place.
fn balance(fleet: &Fleet, wanted: usize) -> Option<usize> {
    let is_ready = |instance: &usize| {
        fleet.routers[*instance].tables.as_ref().is_some_and(|tables| !tables.draining)
    };
    let count = fleet.routers.len();
    let place = fleet.routers[wanted].place;
    let mut others = (0..count).map(|step| (wanted + step) % count).filter(is_ready);
    others.clone().find(|other| fleet.routers[*other].place == place).or_else(|| others.next())
}

fn step_router(fleet: &mut Fleet, instance: usize) {
    let now = fleet.now;
    let router = &mut fleet.routers[instance];
    if router.frozen {
        return;
    }
    let Some(tables) = router.tables.as_mut() else { return };
    let inputs = std::mem::take(&mut router.inputs);
    let outputs = step(tables, now, inputs);
    for output in outputs {
        digest(&mut fleet.history.trace_digest, &output);
        apply_output(fleet, instance, output);
    }
}

fn digest(state: &mut u64, output: &Output) {
    for byte in format!("{output:?}").bytes() {
        *state = (*state ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
}

fn apply_output(fleet: &mut Fleet, instance: usize, output: Output) {
    match output {
        Output::Dispatch { request, upstream, attempt: _ } => {
            dispatch(fleet, instance, request, upstream);
        }
        Output::Refuse { request, refusal } => {
            fleet.history.records.push(Record::Refused { at: fleet.now, request, refusal });
            fleet.pending.remove(&request);
        }
        Output::Send { to, message } => send(fleet, instance, to, message),
        Output::FetchSheet { from, version } => fetch_sheet(fleet, instance, from, version),
        _ => {}
    }
}

fn dispatch(fleet: &mut Fleet, instance: usize, request: RequestId, upstream: UpstreamId) {
    let Some(engine) = fleet.engines.iter().position(|engine| engine.upstream == upstream) else {
        return;
    };
    let (place, here) = (fleet.engines[engine].place, fleet.routers[instance].place);
    let incarnation = fleet.routers[instance].incarnation;
    let way = delay(fleet, here, place);
    let failure = if !reaches(fleet, instance, place) {
        Some((AttemptOutcome::FailedBeforeAnswer, CONNECT_TIMEOUT))
    } else if fleet.engines[engine].down {
        Some((AttemptOutcome::ProvedUnrun, way * 2))
    } else {
        None
    };
    if let Some((outcome, wait)) = failure {
        let input = Input::AttemptEnded { request, outcome, cost: 0 };
        post(fleet, fleet.now + wait, Delivery::ToRouter { incarnation, instance, input });
        return;
    }
    let Some(pending) = fleet.pending.get_mut(&request) else { return };
    pending.started = false;
    pending.held = true;
    let job = pending.job.clone();
    post(fleet, fleet.now + way, Delivery::Admit { engine, job });
}

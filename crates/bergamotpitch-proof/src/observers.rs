//! Observers: load reports, the instance list, and the samples of the history.

use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_control::Input;
use bergamotpitch_control::inputs::{ListedInstance, LoadReport};
use bergamotpitch_core::ids::{RequestId, id_of_name};
use bergamotpitch_core::units::CostUnits;

use crate::engines;
use crate::fleets::{Delivery, Fleet};
use crate::histories::Sample;
use crate::links::reaches;
use crate::loops::post;

pub(crate) fn count_service(fleet: &mut Fleet, request: RequestId, cost: CostUnits) {
    let Some(pending) = fleet.pending.get_mut(&request) else { return };
    let more = cost.saturating_sub(pending.counted_cost);
    pending.counted_cost += more;
    fleet.service_cost[pending.service][pending.job.team] += more;
}

pub(crate) fn report_loads(fleet: &mut Fleet) {
    if fleet.now < fleet.next_load {
        return;
    }
    fleet.next_load = fleet.now + fleet.options.load_interval;
    for index in 0..fleet.engines.len() {
        let engine = &fleet.engines[index];
        if engine.down {
            continue;
        }
        let report = LoadReport {
            running_requests: engine.running.len() as u32,
            waiting_requests: engine.waiting.len() as u32,
            leaving: engine.leaving,
        };
        let (place, upstream) = (engine.place, engine.upstream);
        let at = fleet.now + fleet.options.load_lag;
        for instance in 0..fleet.routers.len() {
            if fleet.routers[instance].place == place && fleet.routers[instance].tables.is_some() {
                let incarnation = fleet.routers[instance].incarnation;
                let input = Input::LoadReported { upstream, report };
                post(fleet, at, Delivery::ToRouter { incarnation, instance, input });
            }
        }
    }
}

pub(crate) fn list_instances(fleet: &mut Fleet) {
    if fleet.now < fleet.next_list || !fleet.platform_reachable {
        return;
    }
    fleet.next_list = fleet.now + Duration::from_secs(1);
    let mut list: Vec<ListedInstance> = fleet
        .routers
        .iter()
        .filter(|router| router.tables.is_some())
        .map(|router| ListedInstance {
            name: router.name.clone(),
            address: router.address,
            is_router: true,
            leaving: false,
        })
        .collect();
    list.extend(fleet.engines.iter().map(|engine| ListedInstance {
        name: engine.name.clone(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        is_router: false,
        leaving: engine.leaving,
    }));
    let at = fleet.now + fleet.options.list_lag;
    for instance in 0..fleet.routers.len() {
        let incarnation = fleet.routers[instance].incarnation;
        let input = Input::Listed(list.clone());
        post(fleet, at, Delivery::ToRouter { incarnation, instance, input });
    }
}

pub(crate) fn sample(fleet: &mut Fleet) {
    let now = fleet.now;
    let counts: Vec<(RequestId, CostUnits)> = fleet
        .engines
        .iter()
        .filter(|engine| !engine.down)
        .flat_map(|engine| &engine.running)
        .map(|running| (running.job.request, engines::cost_at(running, now)))
        .collect();
    for (request, cost) in counts {
        count_service(fleet, request, cost);
    }
    let places = fleet.deployment.places.len();
    for service in 0..fleet.service_cost.len() {
        let teams = fleet.service_cost[service].len();
        let mut sample = Sample {
            at: now,
            service_cost: fleet.service_cost[service].clone(),
            waiting_requests: vec![0; teams],
            held_requests: vec![0; teams],
            busy_slots: 0,
            usable_slots: 0,
        };
        let mut usable = vec![false; places];
        for pending in fleet.pending.values().filter(|pending| pending.service == service) {
            if pending.held {
                sample.held_requests[pending.job.team] += 1;
            }
            if pending.started {
                continue;
            }
            if !pending.held {
                sample.waiting_requests[pending.job.team] += 1;
            }
            if !fleet.routers[pending.job.instance].frozen {
                for (place, usable) in usable.iter_mut().enumerate() {
                    *usable |= reaches(fleet, pending.job.instance, place);
                }
            }
        }
        let id = id_of_name(&fleet.deployment.sheet.services[service].name);
        for engine in fleet.engines.iter().filter(|engine| engine.service == id) {
            if usable[engine.place] && !engine.down && !engine.leaving {
                sample.busy_slots += engine.running.len() as u32;
                sample.usable_slots += engine.slots as u32;
            }
        }
        fleet.history.samples[service].push(sample);
    }
}

//! Schedules: faults at fixed times.

use std::time::Duration;

use bergamotpitch_core::ids::id_of_name;
use bergamotpitch_core::units::Timestamp;

use crate::links::{Spot, cut, cut_off, heal};
use crate::loops::{Fleet, freeze, run_until, set_platform, start, stop, thaw};

/// `Fault` is one change of the surroundings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// A router is killed.
    Stop(usize),
    /// A killed router starts again without memory.
    Start(usize),
    /// The router that holds the duty for the first service in a place is killed.
    StopHome(usize),
    /// Every killed router starts again without memory.
    StartStopped,
    /// A router's process is paused.
    Freeze(usize),
    /// A paused process goes on.
    Thaw(usize),
    /// A link is cut one way.
    Cut(Spot, Spot),
    /// A place is cut off from all others.
    CutOff(usize),
    /// Every link is mended.
    Heal,
    /// The key-value service answers, or fails.
    Platform(bool),
    /// So many messages are lost, in percent.
    Loss(f64),
    /// An upstream refuses connections, or accepts them again.
    EngineDown(usize, bool),
}

/// `Planned` is a fault and its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Planned {
    /// When.
    pub at: Timestamp,
    /// What.
    pub fault: Fault,
}

/// `at_ms` plans a fault at a time in milliseconds.
pub fn at_ms(at_ms: u64, fault: Fault) -> Planned {
    Planned { at: Duration::from_millis(at_ms), fault }
}

/// `run_schedule` runs a fleet through a schedule and up to a time.
pub fn run_schedule(fleet: &mut Fleet, schedule: &[Planned], until: Timestamp) {
    let mut schedule = schedule.to_vec();
    schedule.sort_by_key(|planned| planned.at);
    for planned in schedule {
        run_until(fleet, planned.at);
        apply(fleet, planned.fault);
    }
    run_until(fleet, until);
}

/// `apply` lets a fault happen now.
pub fn apply(fleet: &mut Fleet, fault: Fault) {
    match fault {
        Fault::Stop(instance) => stop(fleet, instance),
        Fault::Start(instance) => start(fleet, instance),
        Fault::StopHome(place) => {
            if let Some(instance) = home_in(fleet, place) {
                stop(fleet, instance);
            }
        }
        Fault::StartStopped => {
            for instance in 0..fleet.routers.len() {
                if fleet.routers[instance].tables.is_none() {
                    start(fleet, instance);
                }
            }
        }
        Fault::Freeze(instance) => freeze(fleet, instance),
        Fault::Thaw(instance) => thaw(fleet, instance),
        Fault::Cut(from, to) => cut(fleet, from, to),
        Fault::CutOff(place) => cut_off(fleet, place),
        Fault::Heal => heal(fleet),
        Fault::Platform(reachable) => set_platform(fleet, reachable),
        Fault::Loss(percent) => fleet.options.loss_percent = percent,
        Fault::EngineDown(engine, down) => fleet.engines[engine].down = down,
    }
}

/// `home_in` is the router of a place that holds the duty for the first service of the sheet.
pub fn home_in(fleet: &Fleet, place: usize) -> Option<usize> {
    let service = id_of_name(&fleet.deployment.sheet.services[0].name);
    fleet.routers.iter().position(|router| {
        router.place == place
            && router
                .tables
                .as_ref()
                .is_some_and(|tables| tables.coordinators.contains_key(&service))
    })
}

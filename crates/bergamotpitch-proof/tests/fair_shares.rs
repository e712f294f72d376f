//! Shares are fair over the whole fleet, and paid slots are busy while work waits.

use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::settings::Policy;
use bergamotpitch_proof::deployments::{blomakerfi, verkeersbesluit};
use bergamotpitch_proof::histories::Record;
use bergamotpitch_proof::loops::FleetOptions;
use bergamotpitch_proof::scenarios::{self, Figures, Scenario};
use bergamotpitch_proof::workloads;

mod common;

/// Large teams stand before the routers of one crowded domain and small ones before another. With a
/// queue in each router the small ones fall behind without end, and slots stand idle where nobody
/// waits; over the fleet the gap is bounded and the slots are busy.
#[test]
fn steady_overload() {
    for deployment in [blomakerfi(), verkeersbesluit()] {
        let scenario = scenarios::steady(40);
        let of = |policy| {
            let fleet = scenarios::run(&scenario, &deployment, policy, &FleetOptions::default());
            scenarios::figures(&scenario, &fleet)
        };
        let (local, fair) = (of(Policy::LocalFair), of(Policy::Fair));
        assert!(fair.gap <= fair.bound, "{fair:?}");
        assert!(fair.gap * 4.0 <= local.gap, "{fair:?} {local:?}");
        assert!(0.97 <= fair.utilisation, "{fair:?}");
        assert!(fair.cross_bytes_highest < 500.0, "{fair:?}");
    }
}

/// One domain is overloaded and the two others have nothing to do. Its teams must get the idle slots
/// of the others; without spill two thirds of what is paid for would stand idle while florists wait.
#[test]
fn idle_domains() {
    let scenario = crowded();
    let with = figures_of(&scenario, &FleetOptions::default());
    assert!(0.95 <= with.utilisation, "{with:?}");
    let mut options = FleetOptions::default();
    options.control.spill = false;
    let without = figures_of(&scenario, &options);
    assert!(without.utilisation < 0.5, "{without:?}");
}

/// Prompts of a team share prefixes. Where they are placed is a hint only: more of them are found in
/// a cache, and neither the gap nor the utilisation pays for it.
#[test]
fn prefix_hits() {
    let scenario = scenarios::steady(30);
    let placed = figures_of(&scenario, &FleetOptions::default());
    let mut options = FleetOptions::default();
    options.control.prefix_placement = false;
    let unplaced = figures_of(&scenario, &options);
    assert!(unplaced.prefix_hits * 1.2 < placed.prefix_hits, "{placed:?} {unplaced:?}");
    assert!(placed.gap <= placed.bound, "{placed:?}");
    assert!(0.97 <= placed.utilisation, "{placed:?}");
}

/// The sheet declares twice, or half, of what the engines can run. A window that trusted the sheet
/// would leave half of the slots idle, or give the order away to the engine.
#[test]
fn wrong_slots() {
    for declared in [8, 32] {
        let mut deployment = blomakerfi();
        for upstream in &mut deployment.sheet.upstreams {
            upstream.slots = if upstream.slots == 16 { declared } else { upstream.slots };
        }
        let options = FleetOptions { engine_slots: Some(16), ..FleetOptions::default() };
        let scenario = scenarios::steady(40);
        let fleet = scenarios::run(&scenario, &deployment, Policy::Fair, &options);
        let figures = scenarios::figures(&scenario, &fleet);
        assert!(0.95 <= figures.utilisation, "{declared}: {figures:?}");
        assert!(figures.gap <= figures.bound, "{declared}: {figures:?}");
    }
}

/// When nobody waits, a request must not pay a trip to the home before it is handed over: a florist's
/// card message would be late for no reason. Slots are leased ahead, so it leaves in the same step.
#[test]
fn no_round_trip() {
    let mut scenario = scenarios::steady(20);
    scenario.loads = workloads::skewed_overload(16, 8, 20.0);
    let options = FleetOptions::default();
    let fleet = scenarios::run(&scenario, &blomakerfi(), Policy::Fair, &options);
    let mut arrived = HashMap::default();
    let (mut at_once, mut all) = (0, 0);
    for record in &fleet.history.records {
        match record {
            Record::Arrived { at, request, .. } if Duration::from_secs(3) < *at => {
                arrived.insert(*request, *at);
            }
            Record::Admitted { at, request, .. } => {
                let Some(since) = arrived.get(request) else { continue };
                all += 1;
                at_once += u32::from(*at <= *since + options.tick);
            }
            _ => {}
        }
    }
    assert!(200 < all, "{all} requests were admitted");
    assert!(all * 99 <= at_once * 100, "{at_once} of {all} left at once");
}

fn crowded() -> Scenario {
    let mut scenario = scenarios::steady(30);
    scenario.loads = workloads::skewed_overload(16, 8, 150.0);
    for load in &mut scenario.loads {
        load.router_weights = vec![1.0, 1.0, 1.0, 0.0, 0.0, 0.0, 0.0, 0.0];
    }
    scenario
}

fn figures_of(scenario: &Scenario, options: &FleetOptions) -> Figures {
    assert!(Duration::ZERO < scenario.until);
    common::figures_of(scenario, &blomakerfi(), options)
}

//! Slots that a domain borrowed stay in use while its home changes.

use std::time::Duration;

use bergamotpitch_core::settings::Policy;
use bergamotpitch_proof::deployments::blomakerfi;
use bergamotpitch_proof::loops::FleetOptions;
use bergamotpitch_proof::schedules::{Fault, at_ms};
use bergamotpitch_proof::{measures, scenarios, workloads};

/// When the home is killed.
const KILLED: Duration = Duration::from_secs(20);

/// When it is back without memory, and takes the duty over again.
const RESTARTED: Duration = Duration::from_secs(22);

/// All work stands before one crowded domain, which borrows the slots of the two others. Its home is
/// killed, another instance takes over, and the first comes back without memory. Each time the new
/// home has not yet heard of the other domains; if it took them to be cut off, it would have every
/// borrowed slot given back, and two thirds of what is paid for would stand idle while florists wait.
#[test]
fn borrowed_slots() {
    let mut scenario = scenarios::steady(40);
    scenario.loads = workloads::skewed_overload(16, 8, 150.0);
    for load in &mut scenario.loads {
        load.router_weights = vec![1.0, 1.0, 1.0, 0.0, 0.0, 0.0, 0.0, 0.0];
    }
    let killed_ms = KILLED.as_millis() as u64;
    let back_ms = RESTARTED.as_millis() as u64;
    scenario.schedule =
        vec![at_ms(killed_ms, Fault::StopHome(0)), at_ms(back_ms, Fault::StartStopped)];
    for seed in 1..=4 {
        let options = FleetOptions { seed, ..FleetOptions::default() };
        let fleet = scenarios::run(&scenario, &blomakerfi(), Policy::Fair, &options);
        let between = |from: Duration, seconds: u64| {
            let to = from + Duration::from_secs(seconds);
            measures::utilisation(&fleet.history.samples[0], from, to)
        };
        let before = between(KILLED - Duration::from_secs(5), 5);
        assert!(0.95 <= before, "seed {seed}: {before}");
        // Requests are lost with the killed instance, and its leases until it is taken for gone.
        let taken_over = between(KILLED, 5);
        assert!(0.85 <= taken_over, "seed {seed}: {taken_over}");
        let returned = between(RESTARTED, 5);
        assert!(0.93 <= returned, "seed {seed}: {returned}");
    }
}

//! Each rule of the fair shares is needed: switched off, a fixed scenario breaks a promise.

use bergamotpitch_control::fairness::shares::ShareGuards;
use bergamotpitch_proof::deployments::{Deployment, blomakerfi, verkeersbesluit};
use bergamotpitch_proof::loops::FleetOptions;
use bergamotpitch_proof::scenarios::{self, Figures};

mod common;

/// A team comes back from a pause, or begins to flood. If it came in where it left off, it would have
/// saved up credit and take the slots of all others until it has caught up.
#[test]
fn idle_team() {
    let guards = ShareGuards { raises_idle: false, ..ShareGuards::default() };
    let (with, without) = with_and_without("flood of one team", &verkeersbesluit(), guards);
    assert!(with.gap <= with.bound, "{with:?}");
    assert!(without.bound < without.gap, "{without:?}");
}

/// An instance freezes for five seconds and wakes. Its home took it for gone and does not know its
/// leases any more; if it did not say so, the teams before that instance would get nothing but the
/// slots that it still holds, for good.
#[test]
fn frozen_instance() {
    let guards = ShareGuards { refuses_unknown: false, ..ShareGuards::default() };
    let (with, without) = with_and_without("instance frozen", &verkeersbesluit(), guards);
    assert!(with.gap <= with.bound, "{with:?}");
    assert!(without.bound < without.gap, "{without:?}");
}

/// A domain is cut off for 30 s and comes back with teams that received far more than others. If the
/// order went by what each has received, they would get nothing for many seconds, which their callers
/// see as an outage.
#[test]
fn rejoined_domain() {
    let guards = ShareGuards { caps_leads: false, ..ShareGuards::default() };
    let (with, without) = with_and_without("domain cut off", &blomakerfi(), guards);
    assert!(with.gap <= with.bound, "{with:?}");
    assert!(with.longest_wait_s < 3.0, "{with:?}");
    assert!(0.97 <= with.utilisation_after, "{with:?}");
    assert!(6.0 < without.longest_wait_s, "{without:?}");
}

/// Inside a domain messages pass from one instance to another but not back. If the instance that does
/// not hear the home took the duty itself, two homes would grant the same slots, each by half of what
/// is known. Two rules keep it from that, reports over a third instance and what others tell of the
/// home; with one of them the gap stays within its bound, without both it does not.
#[test]
fn one_way_link() {
    for seed in [1, 2] {
        let mut without = FleetOptions { seed, ..FleetOptions::default() };
        without.control.share_guards.uses_relays = false;
        without.control.member_guards.accepts_peer_reports = false;
        let (with, without) = with_and_options("one-way cut inside", &blomakerfi(), &without);
        assert!(with.gap <= with.bound, "{with:?}");
        assert!(with.gap * 3.0 < without.gap, "{with:?} {without:?}");
        // With seed 1 the gap stays just below the bound, since a new home begins from what others
        // know; with seed 2 it does not.
        assert!(seed == 1 || without.bound < without.gap, "{without:?}");
    }
}

fn with_and_without(
    name: &str,
    deployment: &Deployment,
    guards: ShareGuards,
) -> (Figures, Figures) {
    let mut options = FleetOptions::default();
    options.control.share_guards = guards;
    with_and_options(name, deployment, &options)
}

fn with_and_options(
    name: &str,
    deployment: &Deployment,
    options: &FleetOptions,
) -> (Figures, Figures) {
    let scenario = scenarios::all()
        .into_iter()
        .find(|scenario| scenario.name == name)
        .expect("the scenario is listed");
    let plain = FleetOptions { seed: options.seed, ..FleetOptions::default() };
    let with = common::figures_of(&scenario, deployment, &plain);
    (with, common::figures_of(&scenario, deployment, options))
}

//! Orders to engines under a lease whose holders pause, and engines that check fencing numbers or
//! ignore them.

use std::time::Duration;

use bergamotpitch_control::engine_orders::order_leases::OrderGuards;
use bergamotpitch_proof::order_histories::{OrderTaken, check_orders, check_pace};
use bergamotpitch_proof::order_runs::{new_fleet, run_for};
use bergamotpitch_proof::soaks::order_schedule;

/// Runs, one for each seed.
const SEEDS: std::ops::Range<u64> = 1..31;

/// The holder of the lease is paused past its lapse, again and again, also between its decision and
/// the sending of an order. Another instance orders a newer model meanwhile. If the old order took
/// effect after the new one, teams would get answers of a model that was taken out of service.
#[test]
fn paused_holders() {
    for checks_fencing in [true, false] {
        for seed in SEEDS {
            let fleet = order_schedule(checks_fencing, OrderGuards::default(), seed);
            assert_eq!(check_orders(&fleet.history), [], "seed {seed}, checks {checks_fencing}");
            assert!(fleet.history.iter().map(|order| order.fencing).max() > Some(3), "{seed}");
        }
    }
}

/// After the last pause every engine has the model that the sheet names.
#[test]
fn right_model() {
    for seed in SEEDS {
        let fleet = order_schedule(false, OrderGuards::default(), seed);
        let wanted = format!("model-{}", fleet.wanted);
        assert!(
            fleet.engines.iter().all(|engine| engine.model.as_ref() == Some(&wanted)),
            "{seed}"
        );
    }
}

/// A holder that does not look at its clock before it sends wakes from its pause and overwrites the
/// newer order at an engine that does not check numbers.
#[test]
fn without_expiry_check() {
    let guards = OrderGuards { stops_before_expiry: false, ..OrderGuards::default() };
    assert!(SEEDS.into_iter().any(|seed| has_late_order(false, guards, seed)));
}

/// A new holder that orders at once is overtaken by the last order of the holder before.
#[test]
fn without_in_flight_wait() {
    let guards = OrderGuards { waits_for_orders_in_flight: false, ..OrderGuards::default() };
    assert!(SEEDS.into_iter().any(|seed| has_late_order(false, guards, seed)));
}

/// An engine that checks numbers is safe also without both rules.
#[test]
fn checking_engine() {
    let guards = OrderGuards { stops_before_expiry: false, waits_for_orders_in_flight: false };
    assert!(!SEEDS.into_iter().any(|seed| has_late_order(true, guards, seed)));
}

/// All engines of a domain are to load another model. If they began at once, the weight store would
/// refuse loads of the other domains.
#[test]
fn rate_limited_loads() {
    let mut fleet = new_fleet(2, 12, false, OrderGuards::default(), 3);
    run_for(&mut fleet, Duration::from_secs(30));
    // 180 loads a minute for three domains are one a second in this one. An order may be under way
    // for six seconds, which moves orders closer together by so much.
    assert!(12 <= fleet.history.len());
    let mut history = fleet.history.clone();
    history.sort_by_key(|order| order.at);
    assert_eq!(check_pace(&history, 9, Duration::from_secs(2)), []);
}

/// The check of orders fails on a history in which an old order takes effect after a newer one.
#[test]
fn broken_history() {
    let order = |at, fencing| OrderTaken {
        at: Duration::from_secs(at),
        engine: 0,
        fencing,
        number: 1,
        model: String::new(),
    };
    assert_eq!(check_orders(&[order(1, 1), order(2, 2)]), []);
    assert_eq!(check_orders(&[order(1, 2), order(2, 1)]), [order(2, 1)]);
    assert_eq!(check_pace(&[order(1, 1), order(2, 1)], 1, Duration::from_secs(1)), []);
    assert_eq!(check_pace(&[order(1, 1), order(2, 1)], 1, Duration::from_secs(2)), [order(2, 1)]);
}

fn has_late_order(checks_fencing: bool, guards: OrderGuards, seed: u64) -> bool {
    !check_orders(&order_schedule(checks_fencing, guards, seed).history).is_empty()
}

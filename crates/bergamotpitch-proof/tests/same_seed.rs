//! The same seed gives the same history.

use std::time::Duration;

use bergamotpitch_proof::histories::History;
use bergamotpitch_proof::loops::{self, FleetOptions, Spot};
use bergamotpitch_proof::{deployments, measures, workloads};

#[test]
fn same_trace() {
    let first = run(7);
    let second = run(7);
    assert!(!first.records.is_empty());
    assert_eq!(first.trace_digest, second.trace_digest);
    assert_eq!(first, second);
    assert_ne!(first.trace_digest, run(8).trace_digest);
}

/// Two teams wait all the time and one gets everything; a gap that is not seen here would never be
/// seen by the measure that the operators justify their shares with.
#[test]
fn broken_shares() {
    let history = run(3);
    let mut samples = history.samples[0].clone();
    for (index, sample) in samples.iter_mut().enumerate() {
        sample.waiting_requests.fill(1);
        sample.service_cost.fill(0);
        sample.service_cost[1] = index as u64 * 10;
    }
    let last = (samples.len() - 1) as f64 * 10.0;
    let shares = vec![1; samples[0].service_cost.len()];
    let end = Duration::from_secs(100);
    let gap = measures::fairness_gap(&samples, &shares, Duration::ZERO, end);
    assert_eq!(gap.cost_per_share, last);
    assert_eq!(gap.teams, (0, 1));
    // The gap counts only while both wait.
    let middle = samples.len() / 2;
    samples[middle].waiting_requests[1] = 0;
    let gap = measures::fairness_gap(&samples, &shares, Duration::ZERO, end);
    assert!(gap.cost_per_share < last);
}

fn run(seed: u64) -> History {
    let loads = workloads::skewed_overload(16, 8, 120.0);
    let until = Duration::from_secs(6);
    let calls = workloads::calls(&loads, until, seed);
    let options =
        FleetOptions { seed, loss_percent: 5.0, duplicate_percent: 2.0, ..FleetOptions::default() };
    let mut fleet = loops::fleet(deployments::blomakerfi(), calls, options);
    loops::run_until(&mut fleet, Duration::from_secs(2));
    loops::cut(&mut fleet, Spot::Place(0), Spot::Place(1));
    loops::stop(&mut fleet, 1);
    loops::freeze(&mut fleet, 2);
    loops::run_until(&mut fleet, Duration::from_secs(4));
    loops::heal(&mut fleet);
    loops::start(&mut fleet, 1);
    loops::thaw(&mut fleet, 2);
    loops::run_until(&mut fleet, until);
    fleet.history
}

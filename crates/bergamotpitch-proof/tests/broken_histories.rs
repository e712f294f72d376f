//! Each measure sees a history that breaks its promise.

use std::time::Duration;

use bergamotpitch_proof::histories::{Sample, Traffic};
use bergamotpitch_proof::measures;

const END: Duration = Duration::from_secs(100);

/// Half of the slots stand idle while a request waits.
#[test]
fn idle_slots() {
    let busy: Vec<Sample> = (0..100).map(|index| sample(index, 16)).collect();
    assert_eq!(measures::utilisation(&busy, Duration::ZERO, END), 1.0);
    let idle: Vec<Sample> = (0..100).map(|index| sample(index, 8)).collect();
    assert_eq!(measures::utilisation(&idle, Duration::ZERO, END), 0.5);
}

/// A team waits and gets nothing from a time on.
#[test]
fn starved_team() {
    let mut samples: Vec<Sample> = (0..100).map(|index| sample(index, 16)).collect();
    assert!(measures::longest_wait(&samples, Duration::ZERO, END) < Duration::from_millis(20));
    for sample in &mut samples[50..] {
        sample.service_cost[1] = 500;
    }
    let wait = measures::longest_wait(&samples, Duration::ZERO, END);
    assert_eq!(wait, Duration::from_millis(490));
}

/// One instance pays for all the traffic; the mean alone would hide it.
#[test]
fn costly_instance() {
    let mut traffic = vec![Traffic::default(); 10];
    traffic[3].cross_region_bytes = 10_000;
    let rates = measures::traffic_rates(&traffic, Duration::from_secs(10));
    assert_eq!(rates.cross_region_bytes, 100.0);
    assert_eq!(rates.cross_region_bytes_highest, 1_000.0);
}

fn sample(index: u64, busy_slots: u32) -> Sample {
    Sample {
        at: Duration::from_millis(index * 10),
        service_cost: vec![index * 10, index * 10],
        waiting_requests: vec![1, 1],
        held_requests: vec![0, 0],
        busy_slots,
        usable_slots: 16,
    }
}

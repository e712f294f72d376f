//! Homes of services spread over the instances of a large domain.

use std::collections::BTreeSet;
use std::time::Duration;

use bergamotpitch_control::fairness::coordinators::coordinator_of;
use bergamotpitch_control::tables::Member;
use bergamotpitch_control::{Options, Tables};
use bergamotpitch_core::ids::{InstanceId, ServiceId, id_of_name};

const SERVICES: std::ops::Range<ServiceId> = 0..9;

/// Chance makes one of 47 instances the home of four of nine services. It sends four times what the
/// others do and falls behind, and the teams of four services wait for its grants.
#[test]
fn distinct_coordinators() {
    for first in 0..20 {
        let instances = instances(first, 47);
        let coordinators: BTreeSet<InstanceId> =
            SERVICES.map(|service| coordinator_of(&view(&instances, 0), service)).collect();
        assert_eq!(coordinators.len(), SERVICES.len());
    }
}

/// Two instances that name different homes would report to one and wait for grants of the other.
#[test]
fn same_view() {
    for count in [1, 3, 20, 47] {
        let instances = instances(7, count);
        for service in SERVICES {
            let coordinators: BTreeSet<InstanceId> =
                (0..count).map(|own| coordinator_of(&view(&instances, own), service)).collect();
            assert_eq!(coordinators.len(), 1, "{count} instances, service {service}");
        }
    }
}

fn instances(first: usize, count: usize) -> Vec<InstanceId> {
    (0..count).map(|index| id_of_name(&format!("router-{first}-{index}"))).collect()
}

fn view(instances: &[InstanceId], own: usize) -> Tables {
    let options = Options { instance: instances[own], domain: 1, ..Options::default() };
    let mut tables = Tables { options, ..Tables::default() };
    tables.index.services = SERVICES.collect();
    for instance in instances.iter().filter(|instance| **instance != instances[own]) {
        let member = Member {
            incarnation: 1,
            domain: 1,
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 7)),
            heard: Duration::ZERO,
            suspected: false,
            draining: false,
            direct: None,
            version: 0,
            patience: 0,
        };
        tables.members.insert(*instance, member);
    }
    tables
}

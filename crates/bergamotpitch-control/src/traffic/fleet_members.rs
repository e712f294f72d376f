//! Fleet members: the other instances, and which of them keep or try something for all.
//!
//! Each instance finds the same ones by rendezvous hashing, as long as it knows the same fleet.

use bergamotpitch_core::ids::{DomainId, InstanceId};

use crate::traffic::stream_origins::AttemptNumber;

/// `OWN_DOMAIN_KEEPERS` is how many instances of the own failure domain keep an origin: callers mostly
/// come back within it, and links there are short.
const OWN_DOMAIN_KEEPERS: usize = 2;

/// `KEEPERS` is how many instances keep an origin in all; one of them at least is of another failure
/// domain, as a whole one may be lost.
const KEEPERS: usize = 3;

/// `ASKED_PER_DOMAIN` is how many instances of each failure domain are asked for an origin. The domain in
/// which it began is not known.
const ASKED_PER_DOMAIN: usize = 2;

/// `Members` are the other instances of the fleet, by failure domain.
#[derive(Debug, Default)]
pub struct Members {
    of_domain: Vec<(DomainId, Vec<InstanceId>)>,
}

impl Members {
    /// `new` groups instances by their failure domains.
    pub fn new(instances: impl Iterator<Item = (InstanceId, DomainId)>) -> Self {
        let mut members = Self::default();
        for (instance, domain) in instances {
            let of_domain = &mut members.of_domain;
            match of_domain.iter_mut().find(|(known, _)| *known == domain) {
                Some((_, instances)) => instances.push(instance),
                None => of_domain.push((domain, vec![instance])),
            }
        }
        members
    }

    /// `keepers` returns which instances keep the origin of a stream that begins in a failure domain.
    pub fn keepers(&self, attempt: AttemptNumber, own_domain: DomainId) -> Vec<InstanceId> {
        let near = self.of_domain.iter().filter(|(domain, _)| *domain == own_domain);
        let mut keepers: Vec<InstanceId> = near
            .flat_map(|(_, instances)| first_by_weight(attempt, instances, OWN_DOMAIN_KEEPERS))
            .collect();
        let far = self.of_domain.iter().filter(|(domain, _)| *domain != own_domain);
        let far: Vec<Vec<InstanceId>> = far
            .map(|(_, instances)| first_by_weight(attempt, instances, ASKED_PER_DOMAIN))
            .collect();
        // A second one of a domain only where there are too few domains.
        for place in 0..ASKED_PER_DOMAIN {
            let nth: Vec<InstanceId> =
                far.iter().filter_map(|instances| instances.get(place).copied()).collect();
            keepers.extend(first_by_weight(attempt, &nth, KEEPERS - keepers.len()));
        }
        keepers
    }

    /// `likely_keepers` returns which instances are asked for the origin of a stream: those that would
    /// keep it if it began in their failure domain or in another one.
    pub fn likely_keepers(&self, attempt: AttemptNumber) -> Vec<InstanceId> {
        let domains = self.of_domain.iter();
        domains
            .flat_map(|(_, instances)| first_by_weight(attempt, instances, ASKED_PER_DOMAIN))
            .collect()
    }
}

impl Members {
    /// `whose_turn` returns which instance comes at a place in the order of a draw, this one among them; the
    /// order begins anew after the last one.
    pub fn whose_turn(&self, draw: u64, place: usize, own: InstanceId) -> InstanceId {
        let others = self.of_domain.iter().flat_map(|(_, instances)| instances).copied();
        let mut all: Vec<InstanceId> = others.chain([own]).collect();
        all.sort_unstable_by_key(|instance| std::cmp::Reverse(weight(draw, *instance)));
        all[place % all.len()]
    }
}

fn first_by_weight(
    attempt: AttemptNumber,
    instances: &[InstanceId],
    count: usize,
) -> Vec<InstanceId> {
    let mut first: Vec<(u64, InstanceId)> = Vec::with_capacity(count + 1);
    for instance in instances {
        let weight = weight(attempt, *instance);
        let place = first.partition_point(|(other, _)| weight < *other);
        if place < count {
            first.insert(place, (weight, *instance));
            first.truncate(count);
        }
    }
    first.into_iter().map(|(_, instance)| instance).collect()
}

/// Two rounds of a multiplicative mix, as draws may be small numbers.
fn weight(draw: u64, instance: InstanceId) -> u64 {
    let hash = (draw ^ u64::from(instance)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53)
}

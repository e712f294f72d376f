//! Fleet members: the other instances, and which of them keep or try something for all.
//!
//! Each instance finds the same ones by rendezvous hashing, as long as it knows the same fleet. Instances
//! that are about to end keep nothing new: a restart in turn would take what they keep away.

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{DomainId, InstanceId};
use bergamotpitch_core::units::Timestamp;

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
    /// Instances that are about to end, and until when they count as such.
    leaving: HashMap<InstanceId, Timestamp>,
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

    /// `relist` takes in which instances there are now.
    pub fn relist(&mut self, instances: impl Iterator<Item = (InstanceId, DomainId)>) {
        let leaving = std::mem::take(&mut self.leaving);
        *self = Self { leaving, ..Self::new(instances) };
    }

    /// `leaves` takes in that an instance is about to end; `until` bounds for how long it counts as such,
    /// as its next life may not be heard.
    pub fn leaves(&mut self, instance: InstanceId, until: Timestamp) {
        self.leaving.insert(instance, until);
    }

    /// `stays` takes in that an instance is not about to end.
    pub fn stays(&mut self, instance: InstanceId) {
        self.leaving.remove(&instance);
    }

    /// `step` forgets instances that have ended.
    pub fn step(&mut self, now: Timestamp) {
        self.leaving.retain(|_, until| now < *until);
    }

    /// `keepers` returns which instances keep the origin of a stream that begins in a failure domain. Where
    /// all are about to end, these do, until another one starts.
    pub fn keepers(&self, attempt: AttemptNumber, own_domain: DomainId) -> Vec<InstanceId> {
        let is_any = |_: &InstanceId| true;
        let keepers = self.keepers_among(attempt, own_domain, |instance| self.is_staying(instance));
        if keepers.is_empty() { self.keepers_among(attempt, own_domain, is_any) } else { keepers }
    }

    fn keepers_among(
        &self,
        attempt: AttemptNumber,
        own_domain: DomainId,
        is_eligible: impl Fn(&InstanceId) -> bool,
    ) -> Vec<InstanceId> {
        let first = |instances: &[InstanceId], count| {
            let eligible = instances.iter().copied().filter(&is_eligible);
            first_by_weight(attempt, eligible, count)
        };
        let near = self.of_domain.iter().filter(|(domain, _)| *domain == own_domain);
        let mut keepers: Vec<InstanceId> =
            near.flat_map(|(_, instances)| first(instances, OWN_DOMAIN_KEEPERS)).collect();
        let far = self.of_domain.iter().filter(|(domain, _)| *domain != own_domain);
        let far: Vec<Vec<InstanceId>> =
            far.map(|(_, instances)| first(instances, ASKED_PER_DOMAIN)).collect();
        // A second one of a domain only where there are too few domains.
        for place in 0..ASKED_PER_DOMAIN {
            let nth: Vec<InstanceId> =
                far.iter().filter_map(|instances| instances.get(place).copied()).collect();
            keepers.extend(first_by_weight(attempt, nth.into_iter(), KEEPERS - keepers.len()));
        }
        keepers
    }

    /// `likely_keepers` returns which instances are asked for the origin of a stream: those that would
    /// keep it if it began in their failure domain or in another one. Those that are about to end answer
    /// still, and others may not know of it yet.
    pub fn likely_keepers(&self, attempt: AttemptNumber) -> Vec<InstanceId> {
        let mut likely = Vec::new();
        for (_, instances) in &self.of_domain {
            let staying = instances.iter().copied().filter(|instance| self.is_staying(instance));
            let first = first_by_weight(attempt, staying, ASKED_PER_DOMAIN);
            let of_all = first_by_weight(attempt, instances.iter().copied(), ASKED_PER_DOMAIN);
            likely.extend(of_all.into_iter().filter(|instance| !first.contains(instance)));
            likely.extend(first);
        }
        likely
    }

    /// `is_likely_keeper` tells whether an instance is among those of its failure domain that are asked for
    /// the origin of a stream once it stays.
    pub fn is_likely_keeper(&self, attempt: AttemptNumber, instance: InstanceId) -> bool {
        let domains = self.of_domain.iter().map(|(_, instances)| instances);
        let Some(own) = domains.into_iter().find(|instances| instances.contains(&instance)) else {
            return false;
        };
        let staying =
            own.iter().copied().filter(|other| *other == instance || self.is_staying(other));
        first_by_weight(attempt, staying, ASKED_PER_DOMAIN).contains(&instance)
    }

    /// `is_staying` tells whether an instance is not about to end.
    pub fn is_staying(&self, instance: &InstanceId) -> bool {
        !self.leaving.contains_key(instance)
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
    instances: impl Iterator<Item = InstanceId>,
    count: usize,
) -> Vec<InstanceId> {
    let mut first: Vec<(u64, InstanceId)> = Vec::with_capacity(count + 1);
    for instance in instances {
        let weight = weight(attempt, instance);
        let place = first.partition_point(|(other, _)| weight < *other);
        if place < count {
            first.insert(place, (weight, instance));
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

//! Registries: which upstreams there are, and which of them take new work.
//!
//! The registry learns of an upstream from the platform's list, from its own answers and from
//! peers. The first source that says "leaving" wins; only a new incarnation comes back, an upstream that
//! is still listed long after another one answered at its address, and one that a peer's later list lacked and
//! that is listed again.

use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_core::ids::{DomainId, SoftwareId, UpstreamId, id_of_name};
use bergamotpitch_core::units::Timestamp;
use bergamotpitch_core::{HashMap, HashSet};

use crate::traffic::evacuations::{EvacuationOrder, Evacuations};
use crate::traffic::software_versions::software_id;

/// `UpstreamKey` is a number for one incarnation of an upstream within this process. It is never
/// used again, so that late news of an earlier incarnation cannot touch the next.
pub type UpstreamKey = u32;

/// `Registration` is what the platform's list says of one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// Its id, which it checks on each request.
    pub id: String,
    /// Start of its process, by its own clock: another value is another incarnation.
    pub born_ms: Option<u64>,
    /// Service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain that it stands in.
    pub domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it announced that it leaves.
    pub is_leaving: bool,
    /// How much longer it is slow after its start; `None` when it does not say.
    pub cold_left: Option<Duration>,
    /// Version of its software; `None` when it does not say.
    pub software: Option<String>,
}

/// `Upstream` is one incarnation of a registered upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Its number in this process.
    pub key: UpstreamKey,
    /// Its number among all upstreams, derived from its id.
    pub id_number: UpstreamId,
    /// The number of this incarnation among instances, derived from its id and start.
    pub life_number: UpstreamId,
    /// Number of its failure domain, which is compared for each request and upstream.
    pub domain_number: DomainId,
    /// Number of its software's version.
    pub software: SoftwareId,
    /// What the list says.
    pub registration: Registration,
    /// Who said that it leaves; `None` while it stays.
    pub leaving: Option<LeavingSource>,
    /// Whether its failure domain is evacuated.
    pub is_evacuated: bool,
    /// Set while its entry is missing from a list that may have lapsed in an outage.
    lapsed: Option<Timestamp>,
}

impl Upstream {
    /// `takes_work` tells whether a request may be sent there.
    pub fn takes_work(&self) -> bool {
        self.leaving.is_none() && !self.is_evacuated
    }
}

/// `LeavingSource` tells who said first that an upstream leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum LeavingSource {
    /// The platform's list.
    List,
    /// An answer of the upstream itself.
    Answer,
    /// Another instance.
    Peer,
    /// Another instance, which has seen a later list without it.
    LaterList,
}

/// `Change` is what a step made of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A new incarnation takes work.
    Joined(UpstreamKey),
    /// It gets nothing new.
    Left(UpstreamKey, LeavingSource),
    /// It is forgotten: nothing of it is kept but its id, for the log.
    Gone(UpstreamKey, String),
    /// Its id is listed with another version of software: what was sent to it lately was run by either.
    SoftwareChanged(UpstreamKey),
}

/// `LAPSE_GRACE` is the time after the end of an outage for which a vanished entry is kept: live
/// upstreams are listed again within about two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_200);

/// `DOUBT_GRACE` is the same for entries that vanished together although no outage was seen, from the
/// last moment on at which the list was heard. Where they have left after all, they must get nothing
/// new 2.5 s after they vanished, and others hear of it from those that watch.
const DOUBT_GRACE: Duration = Duration::from_millis(2_000);

/// `LEAVING_NEWS_TIME` is for how long peers are told that an upstream leaves or is gone: some of their
/// heartbeats. With all that leave in each heartbeat, a release of a service of thousands fills the links and the processor
/// time of those that stand by.
const LEAVING_NEWS_TIME: Duration = Duration::from_secs(4);

/// `MISDIRECTED_TIME` is for how long an upstream that is listed gets nothing after another one answered at its
/// address. Entries of those that have left are gone by then, unless the list is out of reach.
const MISDIRECTED_TIME: Duration = Duration::from_secs(10);

/// `Registry` is the table of upstreams.
#[derive(Debug, Default)]
pub struct Registry {
    upstreams: HashMap<UpstreamKey, Upstream>,
    key_of_id: HashMap<String, UpstreamKey>,
    key_of_life: HashMap<UpstreamId, UpstreamKey>,
    of_service: HashMap<String, Vec<UpstreamKey>>,
    of_domain: HashMap<String, HashMap<DomainId, Vec<UpstreamKey>>>,
    /// Those of which the platform's list has said lately that they leave, with the time from which on that
    /// is known; `None` until the next step.
    leaving_lately: HashMap<UpstreamKey, Option<Timestamp>>,
    /// Lives that were forgotten within the last seconds without having said that they leave, and when that was
    /// noticed.
    gone_lately: HashMap<UpstreamId, Option<Timestamp>>,
    /// Those at whose addresses others answered, with the time from which on that is known; `None` until the
    /// next step.
    misdirected: HashMap<UpstreamKey, Option<Timestamp>>,
    software_counts: HashMap<String, HashMap<SoftwareId, usize>>,
    evacuations: Evacuations,
    last_key: UpstreamKey,
    outage: Outage,
}

#[derive(Debug, Default, Clone, Copy, PartialEq)]
enum Outage {
    #[default]
    None,
    Lasting,
    /// What vanished may only have lapsed until then.
    GraceUntil(Timestamp),
}

impl Registry {
    /// `get` returns an upstream by its number.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(&key)
    }

    /// `key_of` returns the number of an id's present incarnation.
    pub fn key_of(&self, id: &str) -> Option<UpstreamKey> {
        self.key_of_id.get(id).copied()
    }

    /// `key_of_life` returns the number in this process of one life of an upstream, by its number
    /// among instances.
    pub fn key_of_life(&self, life: UpstreamId) -> Option<UpstreamKey> {
        self.key_of_life.get(&life).copied()
    }

    /// `of_service` returns the upstreams of a service, also those that leave.
    pub fn of_service(&self, service: &str) -> &[UpstreamKey] {
        self.of_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// `of_domain` returns the upstreams of a service in one failure domain, in the same order.
    pub fn of_domain(&self, service: &str, domain: DomainId) -> &[UpstreamKey] {
        let of_service = self.of_domain.get(service);
        of_service.and_then(|domains| domains.get(&domain)).map_or(&[], Vec::as_slice)
    }

    /// `leaving_lately` returns the upstreams of which the platform's list has said within the last seconds
    /// that they leave, in no order. Whoever has not heard of it by then learns it from the list.
    pub fn leaving_lately(&self) -> impl Iterator<Item = &Upstream> {
        self.leaving_lately.keys().filter_map(|key| self.upstreams.get(key))
    }

    /// `gone_lately` returns the lives of upstreams that were forgotten within the last seconds without having
    /// said that they leave, in no order.
    pub fn gone_lately(&self) -> impl Iterator<Item = UpstreamId> {
        self.gone_lately.keys().copied()
    }

    /// `staying` returns how many upstreams of a service do not leave, evacuated ones among them.
    pub fn staying(&self, service: &str) -> usize {
        let upstreams = self.of_service(service).iter().filter_map(|key| self.get(*key));
        upstreams.filter(|upstream| upstream.leaving.is_none()).count()
    }

    /// `all` returns every upstream, in no order.
    pub fn all(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// `software_in_service` visits the versions of software of each service's upstreams, also of those
    /// that leave.
    pub fn software_in_service(&self) -> impl Iterator<Item = (&str, SoftwareId)> {
        self.software_counts.iter().flat_map(|(service, counts)| {
            counts.keys().map(|software| (service.as_str(), *software))
        })
    }

    /// `evacuations` returns which failure domains get nothing new.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// `evacuate` takes in an order; it tells whether the failure domain's state has changed.
    pub fn evacuate(&mut self, order: &EvacuationOrder) -> bool {
        let has_changed = self.evacuations.apply(order);
        let domain = id_of_name(&order.domain);
        let of_domain =
            self.upstreams.values_mut().filter(|upstream| upstream.domain_number == domain);
        of_domain.for_each(|upstream| {
            upstream.is_evacuated = self.evacuations.is_evacuated(domain);
        });
        has_changed
    }

    /// `list_lost` notes that the platform's list is out of reach.
    pub fn list_lost(&mut self) {
        self.outage = Outage::Lasting;
    }

    /// `list_back` notes that the list is read again.
    pub fn list_back(&mut self, now: Timestamp) {
        if self.outage == Outage::Lasting {
            self.outage = Outage::GraceUntil(now + LAPSE_GRACE);
        }
    }

    /// `removals_doubted` takes in that several entries of upstreams that announced nothing vanished
    /// together. A short outage can end before any call has failed; what it let lapse is told all
    /// at once, and dropping it would leave a service without upstreams until they are listed
    /// again. `heard` is when the list was heard last: they may have vanished right after it.
    pub fn removals_doubted(&mut self, heard: Timestamp) {
        if self.outage == Outage::None {
            self.outage = Outage::GraceUntil(heard + DOUBT_GRACE);
        }
    }

    /// `listed` takes in one entry of the list.
    pub fn listed(&mut self, registration: Registration) -> Vec<Change> {
        let mut changes = Vec::new();
        let known = self.key_of(&registration.id).and_then(|key| self.upstreams.get_mut(&key));
        if let Some(known) = known {
            // A write of an earlier life may arrive late; it says nothing on the present one.
            if registration.born_ms < known.registration.born_ms {
                return changes;
            }
            if is_same_life(&known.registration, &registration) {
                let (key, before) = (known.key, known.domain_number);
                known.lapsed = None;
                known.domain_number = id_of_name(&registration.domain);
                known.is_evacuated = self.evacuations.is_evacuated(known.domain_number);
                known.registration = registration;
                let is_missed = known.leaving == Some(LeavingSource::LaterList);
                if is_missed && !known.registration.is_leaving {
                    known.leaving = None;
                    changes.push(Change::Joined(key));
                }
                let stays =
                    is_missed || matches!(known.leaving, None | Some(LeavingSource::Answer));
                let has_left = known.registration.is_leaving && stays;
                if has_left {
                    known.leaving = Some(LeavingSource::List);
                    changes.push(Change::Left(key, LeavingSource::List));
                }
                let (service, domain) = (known.registration.service.clone(), known.domain_number);
                if has_left {
                    self.leaving_lately.insert(key, None);
                }
                if before != domain {
                    self.move_to_domain(key, &service, before, domain);
                }
                return changes;
            }
            let key = known.key;
            if known.registration.software != registration.software {
                changes.push(Change::SoftwareChanged(key));
            }
            self.forget(key, &mut changes);
        }
        let is_leaving = registration.is_leaving;
        let key = self.add(registration);
        if is_leaving {
            changes.push(Change::Left(key, LeavingSource::List));
        } else {
            changes.push(Change::Joined(key));
        }
        changes
    }

    /// `unlisted` takes in that the list no longer holds an id.
    ///
    /// An entry that vanishes while the list is out of reach, or shortly after, may only have
    /// lapsed; dropping a sound upstream then would leave its capacity idle.
    pub fn unlisted(&mut self, id: &str, now: Timestamp) -> Vec<Change> {
        let mut changes = Vec::new();
        let Some(key) = self.key_of(id) else { return changes };
        let may_have_lapsed = match self.outage {
            Outage::None => false,
            Outage::Lasting => true,
            Outage::GraceUntil(end) => now < end,
        };
        let Some(upstream) = self.upstreams.get_mut(&key) else { return changes };
        if may_have_lapsed && upstream.leaving.is_none() {
            upstream.lapsed.get_or_insert(now);
            return changes;
        }
        self.forget(key, &mut changes);
        changes
    }

    /// `list_replaced` takes in that the list was read in full and holds only `ids`.
    pub fn list_replaced(&mut self, ids: &[&str], now: Timestamp) -> Vec<Change> {
        let listed: HashSet<&str> = ids.iter().copied().collect();
        let missing: Vec<String> =
            self.key_of_id.keys().filter(|id| !listed.contains(id.as_str())).cloned().collect();
        missing.iter().flat_map(|id| self.unlisted(id, now)).collect()
    }

    /// `step` forgets entries that are still missing when the grace after an outage is over.
    pub fn step(&mut self, now: Timestamp) -> Vec<Change> {
        let mut changes = self.end_misdirections(now);
        self.leaving_lately.retain(|_, known| now < *known.get_or_insert(now) + LEAVING_NEWS_TIME);
        self.gone_lately.retain(|_, known| now < *known.get_or_insert(now) + LEAVING_NEWS_TIME);
        let Outage::GraceUntil(end) = self.outage else { return changes };
        if now < end {
            return changes;
        }
        self.outage = Outage::None;
        let lapsed: Vec<UpstreamKey> = self
            .upstreams
            .values()
            .filter(|upstream| upstream.lapsed.is_some())
            .map(|upstream| upstream.key)
            .collect();
        for key in lapsed {
            self.forget(key, &mut changes);
        }
        changes
    }

    /// Lets upstreams back in that are still listed so long after another one answered at their addresses.
    fn end_misdirections(&mut self, now: Timestamp) -> Vec<Change> {
        let mut over = Vec::new();
        self.misdirected.retain(|key, known| {
            let is_lasting = now < *known.get_or_insert(now) + MISDIRECTED_TIME;
            if !is_lasting {
                over.push(*key);
            }
            is_lasting
        });
        let mut changes = Vec::new();
        for key in over {
            let Some(upstream) = self.upstreams.get_mut(&key) else { continue };
            if upstream.leaving == Some(LeavingSource::Answer) {
                upstream.leaving = None;
                changes.push(Change::Joined(key));
            }
        }
        changes
    }

    /// `gone` takes in from a peer, which has waited for what lapsed, that an id is gone.
    pub fn gone(&mut self, id: &str) -> Vec<Change> {
        let mut changes = Vec::new();
        if let Some(key) = self.key_of(id) {
            self.forget(key, &mut changes);
        }
        changes
    }

    /// `left` takes in from another source than the list that an upstream leaves.
    pub fn left(&mut self, key: UpstreamKey, source: LeavingSource) -> Option<Change> {
        let upstream = self.upstreams.get_mut(&key)?;
        if upstream.leaving.is_some() {
            return None;
        }
        upstream.leaving = Some(source);
        if source == LeavingSource::Answer {
            self.misdirected.insert(key, None);
        }
        Some(Change::Left(key, source))
    }

    fn add(&mut self, registration: Registration) -> UpstreamKey {
        self.last_key += 1;
        let key = self.last_key;
        self.key_of_id.insert(registration.id.clone(), key);
        self.of_service.entry(registration.service.clone()).or_default().push(key);
        let software = software_id(registration.software.as_deref());
        let counts = self.software_counts.entry(registration.service.clone()).or_default();
        *counts.entry(software).or_default() += 1;
        let leaving = registration.is_leaving.then_some(LeavingSource::List);
        let id_number = id_of_name(&registration.id);
        let domain_number = id_of_name(&registration.domain);
        let of_domain = self.of_domain.entry(registration.service.clone()).or_default();
        of_domain.entry(domain_number).or_default().push(key);
        if leaving.is_some() {
            self.leaving_lately.insert(key, None);
        }
        let life_number = life_number(&registration);
        self.key_of_life.insert(life_number, key);
        self.gone_lately.remove(&life_number);
        let upstream = Upstream {
            key,
            id_number,
            life_number,
            domain_number,
            software,
            registration,
            leaving,
            is_evacuated: self.evacuations.is_evacuated(domain_number),
            lapsed: None,
        };
        self.upstreams.insert(key, upstream);
        key
    }

    fn forget(&mut self, key: UpstreamKey, changes: &mut Vec<Change>) {
        let Some(upstream) = self.upstreams.remove(&key) else { return };
        self.key_of_id.remove(&upstream.registration.id);
        self.key_of_life.remove(&upstream.life_number);
        self.leaving_lately.remove(&key);
        if upstream.leaving.is_none() {
            self.gone_lately.insert(upstream.life_number, None);
        }
        self.misdirected.remove(&key);
        let service = &upstream.registration.service;
        remove_key(&mut self.of_domain, service, upstream.domain_number, key);
        if let Some(keys) = self.of_service.get_mut(&upstream.registration.service) {
            keys.retain(|other| *other != key);
        }
        self.uncount_software(&upstream);
        changes.push(Change::Gone(key, upstream.registration.id));
    }
}

impl Registry {
    fn move_to_domain(
        &mut self,
        key: UpstreamKey,
        service: &str,
        before: DomainId,
        domain: DomainId,
    ) {
        remove_key(&mut self.of_domain, service, before, key);
        let domains = self.of_domain.entry(service.to_owned()).or_default();
        domains.entry(domain).or_default().push(key);
    }

    fn uncount_software(&mut self, upstream: &Upstream) {
        let service = &upstream.registration.service;
        let Some(counts) = self.software_counts.get_mut(service) else { return };
        if let Some(count) = counts.get_mut(&upstream.software) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&upstream.software);
            }
        }
        if counts.is_empty() {
            self.software_counts.remove(service);
        }
    }
}

fn remove_key(
    of_domain: &mut HashMap<String, HashMap<DomainId, Vec<UpstreamKey>>>,
    service: &str,
    domain: DomainId,
    key: UpstreamKey,
) {
    let keys = of_domain.get_mut(service).and_then(|domains| domains.get_mut(&domain));
    if let Some(keys) = keys {
        keys.retain(|other| *other != key);
    }
}

/// An upstream may start again under the id that it had. What peers say of the life before, that it
/// leaves and what it has in hand, must not be taken for the present one: it would get no work for
/// as long as it lives.
fn life_number(registration: &Registration) -> UpstreamId {
    id_of_name(&format!("{}@{}", registration.id, registration.born_ms.unwrap_or_default()))
}

fn is_same_life(known: &Registration, listed: &Registration) -> bool {
    let is_same_start = match (known.born_ms, listed.born_ms) {
        (Some(known), Some(listed)) => known == listed,
        _ => true,
    };
    is_same_start
        && known.address == listed.address
        && known.service == listed.service
        && known.software == listed.software
}

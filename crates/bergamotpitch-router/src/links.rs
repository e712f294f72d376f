//! Links: which messages stay in the failure domain, and which cross domains or regions and are paid.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::DomainId;
use strum::{Display, IntoStaticStr};

use crate::snapshots::Snapshot;

/// Addresses that are remembered at most.
const ADDRESS_LIMIT: usize = 4_096;

/// `LinkClass` is how far a message goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LinkClass {
    /// It stays inside the failure domain.
    InsideDomain,
    /// It goes to another failure domain of the region.
    AcrossDomains,
    /// It goes to another region; such traffic is paid by volume.
    AcrossRegions,
    /// The instance at the address has not been heard yet.
    Unheard,
}

/// `Links` remembers which failure domain the instance at an address stands in.
#[derive(Debug, Default)]
pub struct Links {
    domains: Mutex<HashMap<SocketAddr, DomainId>>,
}

impl Links {
    /// `note` notes the failure domain of an instance that was heard.
    pub fn note(&self, address: SocketAddr, domain: DomainId) {
        let mut domains = self.domains.lock().unwrap_or_else(PoisonError::into_inner);
        // Instances come and go at new addresses. A table that kept them all would grow for as long
        // as the process lives; those that still talk are noted again at once.
        if ADDRESS_LIMIT <= domains.len() && !domains.contains_key(&address) {
            domains.clear();
        }
        domains.insert(address, domain);
    }

    /// `class` tells how far a message from a failure domain to an address goes.
    ///
    /// ```
    /// use bergamotpitch_router::links::{LinkClass, Links};
    /// use bergamotpitch_router::snapshots::Snapshot;
    /// let links = Links::default();
    /// let peer = "127.0.0.1:9000".parse().unwrap();
    /// assert_eq!(links.class(&Snapshot::default(), 1, peer), LinkClass::Unheard);
    /// links.note(peer, 1);
    /// assert_eq!(links.class(&Snapshot::default(), 1, peer), LinkClass::InsideDomain);
    /// ```
    pub fn class(&self, snapshot: &Snapshot, own_domain: DomainId, to: SocketAddr) -> LinkClass {
        let domains = self.domains.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(domain) = domains.get(&to).copied() else { return LinkClass::Unheard };
        if domain == own_domain {
            return LinkClass::InsideDomain;
        }
        // A domain that the sheet does not hold counts as another region: what is paid must not be
        // taken for free.
        let same_region = snapshot.region_of(domain).is_some()
            && snapshot.region_of(domain) == snapshot.region_of(own_domain);
        if same_region { LinkClass::AcrossDomains } else { LinkClass::AcrossRegions }
    }
}

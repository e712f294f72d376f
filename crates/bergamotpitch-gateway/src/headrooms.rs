//! Headrooms: for how many more requests a failure domain has a place, as its dispatcher tells others.

use std::time::Duration;

use bergamotpitch_control::traffic::placement_requests::{Decision, Headroom};
use bergamotpitch_control::traffic::residencies::AllowedRegions;
use bergamotpitch_control::traffic::team_windows::ShareClass;
use bergamotpitch_core::ids::{InstanceId, ServiceId, id_of_name};

use crate::gateways::Gateway;
use crate::messages::HeadroomLine;

/// `HEADROOM_WAIT_LIMIT` is the time to a first event up to which an upstream counts as one with room, as other
/// domains are told: the shortest targets of prompts.
const HEADROOM_WAIT_LIMIT: Duration = Duration::from_millis(400);

impl Gateway {
    /// `own_headrooms` returns the room at the upstreams of the own domain.
    pub(crate) fn own_headrooms(&self) -> Vec<HeadroomLine> {
        let Some(catalog) = self.catalog() else { return Vec::new() };
        let now = self.now();
        let traffic = self.traffic.borrow();
        let services = catalog.services.keys();
        let lines = services.map(|name| HeadroomLine {
            service: id_of_name(name),
            headroom: traffic.headroom(name, HEADROOM_WAIT_LIMIT, now),
        });
        lines.filter(|line| line.headroom != Headroom::default()).collect()
    }

    /// `update_remote_headrooms` takes in the room at the upstreams of another domain.
    pub(crate) fn update_remote_headrooms(&self, dispatcher: InstanceId, lines: &[HeadroomLine]) {
        let headrooms = lines.iter().map(|line| (line.service, line.headroom)).collect();
        self.local_placements.headrooms.borrow_mut().insert(dispatcher, headrooms);
    }

    /// The dispatcher of another domain that has room for a request that fits nowhere in this one.
    pub(crate) fn reserve_remote_headroom(
        &self,
        service: ServiceId,
        decision: &Decision,
        regions: &AllowedRegions,
    ) -> Option<InstanceId> {
        let is_within_share = match decision {
            Decision::Full { share_class, .. } => {
                matches!(share_class, ShareClass::WithinShare | ShareClass::Underserved)
            }
            Decision::NoUpstream(_) => true,
            Decision::Send(_) | Decision::Blocked(_) => return None,
        };
        let now = self.now();
        let peers = self.peers.borrow();
        let near = &self.options.admission.near_domains;
        let traffic = self.traffic.borrow();
        let mut headrooms = self.local_placements.headrooms.borrow_mut();
        let open = headrooms.iter_mut().filter_map(|(instance, headrooms)| {
            let peer = peers.get(instance).filter(|peer| peer.is_dispatching(now))?;
            let domain = id_of_name(&peer.address.domain);
            if !traffic.allows(regions, domain) {
                return None;
            }
            let headroom = headrooms.get_mut(&service)?;
            let count = if is_within_share {
                &mut headroom.within_share
            } else {
                &mut headroom.beyond_share
            };
            (0 < *count).then_some((near.contains(&peer.address.domain), *instance, count))
        });
        let (_, next, count) = open.max_by_key(|(is_near, _, count)| (*is_near, **count))?;
        *count -= 1;
        Some(next)
    }
}

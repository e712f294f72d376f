//! Grants: requests of other instances that a dispatcher has placed at upstreams, until they end.
//!
//! A grant is advice on room: the instance that asked sends the request, and whether it may run a
//! second time is decided there. A message that is lost must not take a place for good, so a grant
//! lapses unless the asker confirms from time to time that it still has it in hand.

use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{Incarnation, InstanceId};
use bergamotpitch_core::units::Timestamp;

use crate::traffic::engine_loads::RequestNumber;
use crate::traffic::placement_requests::Placement;

/// `CONFIRM_INTERVAL` is the time between two confirmations of an asker.
pub const CONFIRM_INTERVAL: Duration = Duration::from_millis(360);

/// `GRANT_TIMEOUT` is for how long a grant holds without any confirmation: some of them may be lost.
const GRANT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// `Grant` is one request that was placed for another instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Grant {
    /// Its number in the dispatcher's own books.
    pub number: RequestNumber,
    /// Where it was placed.
    pub placement: Placement,
    confirmed: Timestamp,
}

/// `Grants` is the table of all grants, by the asker and its number of the request.
#[derive(Debug, Default)]
pub struct Grants {
    requesters: HashMap<InstanceId, Requester>,
}

#[derive(Debug, Default)]
struct Requester {
    incarnation: Incarnation,
    grants: HashMap<RequestNumber, Grant>,
}

impl Grants {
    /// `count` returns how many grants are in hand.
    pub fn count(&self) -> usize {
        self.requesters.values().map(|requester| requester.grants.len()).sum()
    }

    /// `update_incarnation` takes in a message of one life of an asker; it returns the grants of the life
    /// before, which have ended with it.
    pub fn update_incarnation(
        &mut self,
        requester: InstanceId,
        incarnation: Incarnation,
    ) -> Vec<Grant> {
        let requester = self.requesters.entry(requester).or_default();
        if incarnation <= requester.incarnation {
            return Vec::new();
        }
        requester.incarnation = incarnation;
        std::mem::take(&mut requester.grants).into_values().collect()
    }

    /// `get` returns a grant.
    pub fn get(&self, requester: InstanceId, number: RequestNumber) -> Option<&Grant> {
        self.requesters.get(&requester)?.grants.get(&number)
    }

    /// `insert` takes in that the asker's request `number` was placed, as `own_number` in the books.
    pub fn insert(
        &mut self,
        requester: InstanceId,
        number: RequestNumber,
        own_number: RequestNumber,
        placement: Placement,
        now: Timestamp,
    ) {
        let grant = Grant { number: own_number, placement, confirmed: now };
        self.requesters.entry(requester).or_default().grants.insert(number, grant);
    }

    /// `end` takes in that a request has ended.
    pub fn end(&mut self, requester: InstanceId, number: RequestNumber) -> Option<Grant> {
        self.requesters.get_mut(&requester)?.grants.remove(&number)
    }

    /// `confirm` takes in that an asker has a request in hand.
    pub fn confirm(&mut self, requester: InstanceId, number: RequestNumber, now: Timestamp) {
        let grants = self.requesters.get_mut(&requester).map(|requester| &mut requester.grants);
        if let Some(grant) = grants.and_then(|grants| grants.get_mut(&number)) {
            grant.confirmed = now;
        }
    }

    /// `remove_lapsed` drops the grants that nobody confirms any more, and returns them.
    pub fn remove_lapsed(&mut self, now: Timestamp) -> Vec<Grant> {
        let mut lapsed = Vec::new();
        for requester in self.requesters.values_mut() {
            let is_lapsed = |grant: &Grant| grant.confirmed + GRANT_TIMEOUT <= now;
            let grants = requester.grants.extract_if(|_, grant| is_lapsed(grant));
            lapsed.extend(grants.map(|(_, grant)| grant));
        }
        lapsed
    }
}

/// `HeldGrant` is a request of this instance that another one has placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeldGrant {
    /// Who placed it.
    pub grantor: InstanceId,
    /// The granter's life; a later one knows nothing of the grant.
    pub grantor_incarnation: Incarnation,
    /// Where it was placed.
    pub placement: Placement,
    /// Whether its first event came.
    pub has_begun: bool,
}

/// `HeldGrants` are the grants that an instance has in hand, by its own numbers.
pub type HeldGrants = HashMap<RequestNumber, HeldGrant>;

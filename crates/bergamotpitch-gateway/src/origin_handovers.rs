//! Hand-overs of origins: how what is known of streams outlives the instances that know it.
//!
//! Load pattern: all instances are stopped and started in turn, several at a time, while upstreams of
//! several software versions serve. Within the life of one stream the instance that began it and all its
//! keepers may start anew. An instance that is about to end hands what it knows to instances that stay; one
//! that has started is told by all others what it keeps from now on.

use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::stream_origins::KnownOrigin;
use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{Incarnation, InstanceId, id_of_name};

use crate::gateways::Gateway;
use crate::heartbeats::domain_peers;
use crate::messages::{Body, Presence};
use crate::origins::LINES_MAX;

/// `BURST` is how many messages are sent at once; more would overflow the receivers' buffers.
const BURST: usize = 16;

/// `BURST_PAUSE` is the time between two bursts.
const BURST_PAUSE: Duration = Duration::from_millis(4);

/// `RESTART_TIME` is for how long an instance counts as leaving after the end of its grace, until its next
/// life is heard or it is taken off the list.
const RESTART_TIME: Duration = Duration::from_secs(2);

impl Gateway {
    /// `hand_over_origins` hands what this instance keeps or has told to keepers that stay.
    pub(crate) async fn hand_over_origins(self: &Rc<Self>) {
        self.send_presence(true);
        let shared: Vec<KnownOrigin> = self.traffic.borrow().origins.shared(self.now()).collect();
        self.hand_over(&shared).await;
    }

    /// `hand_over_unfinished` hands over the origins of streams that break off as this instance ends,
    /// whether or not versions are mixed yet.
    pub(crate) async fn hand_over_unfinished(self: &Rc<Self>) {
        let own: Vec<KnownOrigin> = self.traffic.borrow().origins.unfinished(self.now()).collect();
        self.hand_over(&own).await;
    }

    async fn hand_over(self: &Rc<Self>, origins: &[KnownOrigin]) {
        if origins.is_empty() {
            return;
        }
        let own_domain = id_of_name(&self.options.admission.domain);
        let mut of_keeper: HashMap<InstanceId, Vec<KnownOrigin>> = HashMap::default();
        for known in origins {
            for keeper in self.members.borrow().keepers(known.attempt, own_domain) {
                of_keeper.entry(keeper).or_default().push(*known);
            }
        }
        log::info!(
            "event=origins_handed_over origins={} keepers={}",
            origins.len(),
            of_keeper.len()
        );
        self.send_paced(of_keeper).await;
    }

    async fn send_paced(self: &Rc<Self>, of_keeper: HashMap<InstanceId, Vec<KnownOrigin>>) {
        let mut sent = 0;
        for (keeper, origins) in &of_keeper {
            for origins in origins.chunks(LINES_MAX) {
                self.send_origins(*keeper, origins);
                sent += 1;
                if sent % BURST == 0 {
                    tokio::time::sleep(BURST_PAUSE).await;
                }
            }
        }
    }

    /// `announce_start` tells the own domain once that this instance has started, where not all hear all and
    /// there is something to be told in return.
    pub(crate) fn announce_start(&self) {
        let has_dispatcher = self.role().dispatcher.is_some();
        let is_needed = has_dispatcher && self.traffic.borrow().software.are_any_mixed();
        if is_needed && !self.options.is_fleet_start && !self.is_start_announced.replace(true) {
            self.send_presence(false);
        }
    }

    fn send_presence(&self, is_leaving: bool) {
        for peer in domain_peers(self) {
            self.send_message(Body::Presence(Presence { is_leaving }), peer.beat_address);
        }
    }

    /// `note_presence` takes in that a peer is there or about to end, and tells a new life of it what it
    /// keeps.
    pub(crate) fn note_presence(
        self: &Rc<Self>,
        peer: InstanceId,
        incarnation: Incarnation,
        is_leaving: bool,
    ) {
        let mut peers = self.peers.borrow_mut();
        let Some(known) = peers.get_mut(&peer) else { return };
        if incarnation < known.origins_told {
            return;
        }
        let has_started = known.origins_told < incarnation;
        known.origins_told = incarnation;
        drop(peers);
        if is_leaving {
            let until = self.now() + self.options.grace + RESTART_TIME;
            self.members.borrow_mut().leaves(peer, until);
            return;
        }
        self.members.borrow_mut().stays(peer);
        if has_started {
            self.tell_origins_to(peer);
        }
    }

    fn tell_origins_to(self: &Rc<Self>, peer: InstanceId) {
        let members = self.members.borrow();
        let traffic = self.traffic.borrow();
        let shared = traffic.origins.shared(self.now());
        let kept: Vec<KnownOrigin> =
            shared.filter(|known| members.is_likely_keeper(known.attempt, peer)).collect();
        if kept.is_empty() {
            return;
        }
        log::info!("event=origins_told peer={peer} origins={}", kept.len());
        let gateway = Rc::clone(self);
        tokio::task::spawn_local(async move {
            gateway.send_paced(std::iter::once((peer, kept)).collect()).await;
        });
    }
}

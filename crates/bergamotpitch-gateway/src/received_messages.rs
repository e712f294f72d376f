//! Received messages: the datagrams of other instances, and what this one learns from heartbeats.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::starts::StartNote;
use bergamotpitch_core::ids::{Incarnation, InstanceId};
use bergamotpitch_core::units::Timestamp;
use tokio::net::UdpSocket;

use crate::gateways::Gateway;
use crate::messages::{Body, Heartbeat, MESSAGE_BYTES, Message, PrefixLine, decode};
use crate::remote_placements::Grantor;
use crate::work_times::Work;

/// `receive` takes in messages of other instances until it is dropped.
pub async fn receive(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; 2 * MESSAGE_BYTES];
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // A port that is closed at a peer comes back as an error here.
                log::debug!("event=beat_not_received error={error}");
                continue;
            }
        };
        match decode(&buffer[..length]) {
            Ok(message) => handle_message(&gateway, message, sender),
            Err(error) => {
                log::info!("event=302 name=message_dropped peer={sender} error={error:?}");
            }
        }
    }
}

fn handle_message(gateway: &Rc<Gateway>, message: Message, sender: SocketAddr) {
    let Message { instance, incarnation, body } = message;
    let known = gateway.peers.borrow().get(&instance).map(|peer| peer.address.beat_address);
    if known != Some(sender) {
        gateway.unknown_peers.record(instance);
        return;
    }
    let _scope = gateway.work_times.enter(work_of(&body));
    match body {
        Body::Heartbeat(heartbeat) => {
            handle_heartbeat_part(gateway, instance, incarnation, heartbeat)
        }
        Body::PlacementRequest(body) => {
            gateway.handle_placement_request(instance, incarnation, body)
        }
        Body::Reply(reply) => gateway.handle_reply(Grantor { instance, incarnation }, &reply),
        Body::Progress(reports) => gateway.handle_progress(instance, &reports),
        Body::GrantConfirmation(confirmation) => {
            gateway.handle_grant_confirmation(instance, &confirmation)
        }
        Body::Origins(lines) => gateway.handle_origins(&lines),
        Body::RecordedOrigins(lines) => gateway.handle_recorded_origins(&lines),
        Body::OriginQuery(query) => gateway.handle_origin_query(instance, query),
        Body::OriginReply(reply) => gateway.handle_origin_reply(&reply),
        Body::Presence(presence) => {
            gateway.note_presence(instance, incarnation, presence.is_leaving)
        }
        Body::Crashes(lines) => gateway.handle_crashes(&lines),
        Body::Answered(lines) => gateway.handle_answered(&lines),
        Body::LivingUpstreams(lives) => gateway.handle_living_upstreams(&lives),
        Body::RepeatRequest(request) => gateway.handle_repeat_request(instance, request),
        Body::RepeatReply(reply) => gateway.handle_repeat_reply(reply),
    }
}

fn work_of(body: &Body) -> Work {
    match body {
        Body::Heartbeat(_) | Body::Presence(_) => Work::Heartbeats,
        Body::PlacementRequest(_)
        | Body::Reply(_)
        | Body::Progress(_)
        | Body::GrantConfirmation(_) => Work::Placements,
        Body::Origins(_)
        | Body::RecordedOrigins(_)
        | Body::OriginQuery(_)
        | Body::OriginReply(_) => Work::Origins,
        Body::Crashes(_) | Body::Answered(_) | Body::LivingUpstreams(_) => Work::Crashes,
        Body::RepeatRequest(_) | Body::RepeatReply(_) => Work::Repeats,
    }
}

/// Takes in one part of a beat; a beat of which a part is lost counts as lost.
fn handle_heartbeat_part(
    gateway: &Rc<Gateway>,
    instance: InstanceId,
    incarnation: Incarnation,
    heartbeat: Heartbeat,
) {
    let mut peers = gateway.peers.borrow_mut();
    let Some(peer) = peers.get_mut(&instance) else { return };
    if (incarnation, heartbeat.sequence) <= peer.latest {
        return;
    }
    let Some(heartbeat) = peer.parts.add(incarnation, heartbeat) else { return };
    let has_joined = peer.latest.0 != incarnation;
    let address = peer.address.beat_address;
    let now = gateway.now();
    peer.update(incarnation, &heartbeat, now);
    drop(peers);
    if has_joined {
        log::info!("event=300 name=peer_joined peer={instance} incarnation={incarnation}");
        gateway.tell_suspects_to(address);
    }
    gateway.note_presence(instance, incarnation, heartbeat.is_leaving);
    apply_heartbeat(gateway, instance, &heartbeat, now);
}

fn apply_heartbeat(gateway: &Gateway, instance: InstanceId, heartbeat: &Heartbeat, now: Timestamp) {
    let figures = heartbeat.loads.iter().map(|line| (line.upstream, line.figures())).collect();
    gateway.update_peer_loads(instance, &figures, now);
    gateway.mark_leaving_upstreams(&heartbeat.leaving);
    gateway.mark_gone_upstreams(&heartbeat.gone, heartbeat.list_change);
    gateway.update_prefixes(&heartbeat.prefixes, now);
    let counted = Duration::from_millis(heartbeat.counted_ms);
    let mut traffic = gateway.traffic.borrow_mut();
    traffic.windows.set_peer_counts(instance, heartbeat.teams.iter().copied(), counted, now);
    if heartbeat.is_dispatcher && gateway.is_of_own_domain(instance) {
        traffic.windows.set_remote_domains(heartbeat.remote_teams.iter().copied(), counted, now);
    }
    drop(traffic);
    if heartbeat.is_dispatcher && !gateway.is_of_own_domain(instance) {
        gateway.update_remote_dispatcher(instance, heartbeat);
    }
}

impl Gateway {
    /// Takes in what the dispatcher of another domain tells. Of one domain only the latest dispatcher
    /// counts: the one before told of the same requests.
    fn update_remote_dispatcher(&self, dispatcher: InstanceId, heartbeat: &Heartbeat) {
        self.update_remote_headrooms(dispatcher, &heartbeat.headrooms);
        let mut traffic = self.traffic.borrow_mut();
        traffic.windows.clear_remote_domains();
        let peers = self.peers.borrow();
        let Some(domain) = peers.get(&dispatcher).map(|peer| &peer.address.domain) else { return };
        let others = peers.values().filter(|peer| peer.address.domain == *domain);
        for other in others.map(|peer| peer.address.instance).filter(|id| *id != dispatcher) {
            traffic.windows.forget_peer(other);
        }
    }

    /// `is_of_own_domain` tells whether a peer stands in the failure domain of this instance.
    pub(crate) fn is_of_own_domain(&self, peer: InstanceId) -> bool {
        let peers = self.peers.borrow();
        peers.get(&peer).is_some_and(|peer| peer.address.domain == self.options.admission.domain)
    }

    fn update_prefixes(&self, lines: &[PrefixLine], now: Timestamp) {
        let mut traffic = self.traffic.borrow_mut();
        for line in lines {
            let used = now.saturating_sub(Duration::from_millis(line.age_ms.into()));
            let PrefixLine { prefix: start, tokens, upstream, .. } = *line;
            traffic.starts.heard(StartNote { start, tokens, upstream, used });
        }
    }
}

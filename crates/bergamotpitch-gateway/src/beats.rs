//! Beats: what instances tell each other, in one datagram each some times a second.
//!
//! A beat may be lost; each holds whole sums, so that the next one makes up for it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::catalogs::CatalogVersion;
use bergamotpitch_control::traffic::engine_loads::Figures;
use bergamotpitch_control::traffic::facts::PartId;
use bergamotpitch_control::traffic::registries::LeavingSource;
use bergamotpitch_control::traffic::starts::StartNote;
use bergamotpitch_control::traffic::team_windows::TeamSums;
use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{Incarnation, InstanceId, TeamId, UpstreamId};
use bergamotpitch_core::units::Timestamp;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::gateways::Gateway;
use crate::peers::PeerAddress;

/// `BEAT_INTERVAL` is the time between two beats to peers of the own domain. Two instances see the
/// same free place at an engine for about as long as this.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(120);

/// `REMOTE_BEATS` is how many beats of the own domain go by for one to other domains, over links
/// that are paid.
const REMOTE_BEATS: u64 = 3;

/// `PEERS_A_BEAT` bounds how many peers get one beat: a datagram takes some 20 microseconds of a
/// core at each end, of which a small router has an eighth. Larger fleets are told in turns.
const PEERS_A_BEAT: usize = 12;

/// `BEAT_BYTES` bounds a beat: one datagram that is not cut on the way.
const BEAT_BYTES: usize = 1_400;

/// `Beat` is what one instance tells.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// Who tells.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Number of the beat within this life.
    pub sequence: u64,
    /// Version of its configuration.
    pub version: CatalogVersion,
    /// Revision of the latest change of the list of upstreams that it has seen.
    pub list_change: u64,
    /// Whether it watches the store for its domain.
    pub watches: bool,
    /// Number of the latest change of its documents.
    pub relay_number: u64,
    /// For how long it has counted what its teams asked.
    pub counted_ms: u64,
    /// What it has in hand at each upstream.
    pub loads: Vec<LoadLine>,
    /// What its teams asked and began.
    pub teams: Vec<TeamLine>,
    /// Upstreams, by the numbers of their lives, of which it knows that they leave.
    pub leaving: Vec<UpstreamId>,
    /// Where it sent starts of prompts lately.
    pub starts: Vec<StartLine>,
}

/// `LoadLine` is what one instance has in hand at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LoadLine {
    /// Number of the upstream's life.
    upstream: UpstreamId,
    requests: u32,
    unread_tokens: u32,
    memory_tokens: u64,
}

/// `TeamLine` is one team's sums at one instance.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TeamLine {
    team: TeamId,
    asked_tokens: u64,
    begun_tokens: u64,
}

/// `StartLine` tells that an engine was sent a prompt with a start.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct StartLine {
    start: PartId,
    tokens: u32,
    /// Number of the engine's life.
    upstream: UpstreamId,
    age_ms: u32,
}

/// `send_beat` sends one beat to the peers that are due.
pub async fn send_beat(gateway: &Rc<Gateway>, socket: &UdpSocket, sequence: u64) {
    let receivers = receivers(gateway, sequence);
    if receivers.is_empty() {
        return;
    }
    let Some(bytes) = encode(make_beat(gateway, sequence)) else { return };
    for receiver in receivers {
        // A beat that is not sent is made up for by the next one.
        let _ = socket.try_send_to(&bytes, receiver);
    }
}

/// The peers whose turn it is: those of the own domain with each beat, the others with every third,
/// and of both no more than [`PEERS_A_BEAT`] at a time.
fn receivers(gateway: &Gateway, sequence: u64) -> Vec<SocketAddr> {
    let own_domain = &gateway.options.admission.domain;
    let peers = gateway.peers.borrow();
    let (own, remote): (Vec<&PeerAddress>, Vec<&PeerAddress>) =
        peers.values().map(|peer| &peer.address).partition(|address| address.domain == *own_domain);
    let mut receivers = turn(own, sequence);
    if sequence.is_multiple_of(REMOTE_BEATS) {
        receivers.extend(turn(remote, sequence / REMOTE_BEATS));
    }
    receivers
}

/// `turn_interval` is the time between two beats to one of `count` peers of the own domain.
pub fn turn_interval(count: usize) -> Duration {
    let turns = u32::try_from(turns_of(count)).unwrap_or(u32::MAX);
    BEAT_INTERVAL.saturating_mul(turns)
}

fn turns_of(count: usize) -> usize {
    count.div_ceil(PEERS_A_BEAT).max(1)
}

fn turn(mut addresses: Vec<&PeerAddress>, round: u64) -> Vec<SocketAddr> {
    addresses.sort_by_key(|address| address.instance);
    let turns = turns_of(addresses.len());
    let current = (round % turns as u64) as usize;
    let due = addresses.iter().enumerate().filter(|(index, _)| index % turns == current);
    due.map(|(_, address)| address.beat_address).collect()
}

/// `receive` takes in peers' beats until it is dropped.
pub async fn receive(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; 2 * BEAT_BYTES];
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // A port that is closed at a peer comes back as an error here.
                log::debug!("event=beat_not_received error={error}");
                continue;
            }
        };
        match postcard::from_bytes::<Beat>(&buffer[..length]) {
            Ok(beat) => take_in(&gateway, beat, sender),
            Err(error) => log::info!("event=302 name=message_dropped peer={sender} error={error}"),
        }
    }
}

fn make_beat(gateway: &Gateway, sequence: u64) -> Beat {
    let now = gateway.now();
    let mut traffic = gateway.traffic.borrow_mut();
    let teams = traffic.windows.own_sums(now);
    let loads = traffic.loads().filter_map(|(key, load)| {
        let figures = load.own_figures();
        let upstream = traffic.registry.get(key)?;
        (figures != Figures::default()).then(|| LoadLine {
            upstream: upstream.life_number,
            requests: figures.requests,
            unread_tokens: figures.unread_tokens.max(0.0) as u32,
            memory_tokens: figures.memory_tokens,
        })
    });
    let loads: Vec<LoadLine> = loads.collect();
    let mut notes = traffic.starts.own_notes(now);
    if !traffic.options.policy.start_notes {
        notes.clear();
    }
    let starts = notes.into_iter().map(|note| StartLine {
        start: note.start,
        tokens: note.tokens,
        upstream: note.upstream,
        age_ms: u32::try_from(now.saturating_sub(note.used).as_millis()).unwrap_or(u32::MAX),
    });
    let starts = starts.collect();
    let leaving = traffic
        .registry
        .all()
        .filter(|upstream| upstream.leaving == Some(LeavingSource::List))
        .map(|upstream| upstream.life_number);
    Beat {
        instance: gateway.options.instance,
        incarnation: gateway.options.incarnation,
        sequence,
        version: gateway.version(),
        list_change: gateway.list_change(),
        watches: !gateway.relies_on_peers(),
        relay_number: gateway.store_news.relay.borrow().last_number(),
        counted_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
        loads,
        starts,
        leaving: leaving.collect(),
        teams: teams
            .into_iter()
            .map(|(team, sums)| TeamLine {
                team,
                asked_tokens: sums.asked_tokens,
                begun_tokens: sums.begun_tokens,
            })
            .collect(),
    }
}

fn encode(mut beat: Beat) -> Option<Vec<u8>> {
    loop {
        match postcard::to_stdvec(&beat) {
            Ok(bytes) if bytes.len() <= BEAT_BYTES => return Some(bytes),
            // The shortest starts are read again soonest.
            Ok(_) if 1 < beat.starts.len() => {
                beat.starts.sort_by_key(|line| std::cmp::Reverse(line.tokens));
                beat.starts.truncate(3 * beat.starts.len() / 4);
            }
            // The smallest lines say least.
            Ok(_) if 1 < beat.teams.len() => {
                beat.teams.sort_by_key(|line| std::cmp::Reverse(line.asked_tokens));
                beat.teams.truncate(beat.teams.len() / 2);
            }
            Ok(_) if 1 < beat.loads.len() => {
                beat.loads.sort_by_key(|line| std::cmp::Reverse(line.requests));
                beat.loads.truncate(beat.loads.len() / 2);
            }
            Ok(_) => return None,
            Err(error) => {
                log::warn!("event=beat_not_encoded error={error}");
                return None;
            }
        }
    }
}

fn take_in(gateway: &Gateway, beat: Beat, sender: SocketAddr) {
    let now = gateway.now();
    let mut peers = gateway.peers.borrow_mut();
    let known = peers.get_mut(&beat.instance);
    let Some(peer) = known.filter(|peer| peer.address.beat_address == sender) else {
        gateway.unknown_peers.heard(beat.instance);
        return;
    };
    if (beat.incarnation, beat.sequence) <= peer.latest {
        return;
    }
    if peer.latest.0 != beat.incarnation {
        log::info!(
            "event=300 name=peer_joined peer={} incarnation={}",
            beat.instance,
            beat.incarnation
        );
    }
    peer.latest = (beat.incarnation, beat.sequence);
    peer.heard = Some(now);
    peer.version = beat.version;
    peer.list_change = beat.list_change;
    peer.watches = beat.watches;
    peer.relay_number = beat.relay_number;
    drop(peers);
    gateway.take_in_loads(beat.instance, &figures_of_beat(&beat), now);
    gateway.take_in_leaving(&beat.leaving);
    gateway.take_in_starts(&beat.starts, now);
    let teams = beat.teams.iter().map(|line| {
        let sums = TeamSums { asked_tokens: line.asked_tokens, begun_tokens: line.begun_tokens };
        (line.team, sums)
    });
    let counted = Duration::from_millis(beat.counted_ms);
    gateway.traffic.borrow_mut().windows.peer_heard(beat.instance, teams, counted, now);
}

impl Gateway {
    fn take_in_starts(&self, lines: &[StartLine], now: Timestamp) {
        let mut traffic = self.traffic.borrow_mut();
        for line in lines {
            let used = now.saturating_sub(Duration::from_millis(line.age_ms.into()));
            let StartLine { start, tokens, upstream, .. } = *line;
            traffic.starts.heard(StartNote { start, tokens, upstream, used });
        }
    }
}

fn figures_of_beat(beat: &Beat) -> HashMap<UpstreamId, Figures> {
    let figures = beat.loads.iter().map(|line| {
        let figures = Figures {
            requests: line.requests,
            unread_tokens: f64::from(line.unread_tokens),
            memory_tokens: line.memory_tokens,
        };
        (line.upstream, figures)
    });
    figures.collect()
}

//! Beats: what instances tell each other of themselves, some times a second.
//!
//! Load pattern: under load the sums of teams and engines change within a tenth of a second, and
//! what an instance tells costs processor time at both ends and bytes between regions. In a domain
//! with a dispatcher the others tell only those that stand by for that role, and the domains'
//! dispatchers tell each other, so that what an instance sends and receives does not grow with the
//! fleet. In a domain without one, where each instance decides by itself, all tell all.

use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_control::traffic::engine_loads::Figures;
use bergamotpitch_control::traffic::starts::StartNote;
use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{InstanceId, UpstreamId};
use bergamotpitch_core::units::Timestamp;

use crate::gateways::Gateway;
use crate::messages::{Body, Heartbeat, LoadLine, Message, PrefixLine, TeamLine, encode, millis};
use crate::peers::{Peer, PeerAddress};
use crate::remote_placements::Grantor;
use crate::work_times::Work;

/// `HEARTBEAT_INTERVAL` is the time between two beats to peers of the own domain. Two instances that decide
/// by themselves see the same free place at an engine for about as long as this.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(120);

/// `DOMAIN_HEARTBEATS` is how many beats go by between two to an instance of the own domain that has a
/// dispatcher.
const DOMAIN_HEARTBEATS: u64 = 2;

/// `REMOTE_HEARTBEATS` is how many beats go by between two to other domains, over links that are paid.
const REMOTE_HEARTBEATS: u64 = 3;

/// `STANDBY_HEARTBEATS` is the same for an instance that only stands by: it has nothing to tell there but
/// that it lives, and which configuration it knows.
const STANDBY_HEARTBEATS: u64 = 9;

/// `PEERS_PER_HEARTBEAT` bounds how many peers get one beat where all tell all: a datagram takes some 20
/// microseconds of a core at each end, of which a small router has an eighth. Larger fleets are told
/// in turns.
const PEERS_PER_HEARTBEAT: usize = 12;

/// `LINES_PER_PART` bounds the lines in one part of a beat, of up to 23 bytes each.
const LINES_PER_PART: usize = 56;

/// `send_heartbeat` sends one beat to the peers that are due.
pub fn send_heartbeat(gateway: &Gateway, sequence: u64) {
    let _scope = gateway.work_times.enter(Work::Heartbeats);
    gateway.confirm_grants(gateway.now());
    gateway.drop_lapsed_grants();
    gateway.tell_suspects(sequence);
    if gateway.role().dispatcher.is_none() {
        let receivers = round_robin_peers(gateway, sequence);
        send_to(gateway, &receivers, || heartbeat_to_all(gateway), sequence);
        if gateway.options.dispatchers.heartbeat_timeout <= domain_round(gateway) {
            tell_presence(gateway, sequence);
        }
    } else if gateway.role().is_standby {
        send_as_standby(gateway, sequence);
    } else if sequence.is_multiple_of(DOMAIN_HEARTBEATS) {
        for standby in standby_peers(gateway) {
            let heartbeat = || heartbeat_to_standby(gateway, standby.instance);
            send_to(gateway, &[standby.beat_address], heartbeat, sequence);
        }
    }
}

/// The time between two heartbeats to one instance of the own domain where all tell all.
fn domain_round(gateway: &Gateway) -> Duration {
    round_interval(domain_peers(gateway).len())
}

/// Tells that this instance is there, in a domain that is too large for all to hear all in time while
/// nobody can decide for it yet: without that each takes itself for the first.
fn tell_presence(gateway: &Gateway, sequence: u64) {
    let standbys = standby_peers(gateway);
    let mut receivers: Vec<SocketAddr> = Vec::new();
    if sequence.is_multiple_of(DOMAIN_HEARTBEATS) {
        receivers.extend(standbys.iter().map(|peer| peer.beat_address));
    }
    if gateway.role().is_standby {
        receivers.extend(domain_turn(gateway, &standbys, sequence));
    }
    send_to(gateway, &receivers, || base_heartbeat(gateway), sequence);
}

/// The instances of the own domain that do not stand by and whose turn it is.
fn domain_turn(gateway: &Gateway, standbys: &[PeerAddress], sequence: u64) -> Vec<SocketAddr> {
    let others = domain_peers(gateway).into_iter();
    let mut others: Vec<PeerAddress> = others.filter(|peer| !standbys.contains(peer)).collect();
    others.sort_by_key(|address| address.instance);
    let turns = others.iter().enumerate();
    let due =
        turns.filter(|(index, _)| (*index as u64 + sequence).is_multiple_of(DOMAIN_HEARTBEATS));
    due.map(|(_, peer)| peer.beat_address).collect()
}

fn send_as_standby(gateway: &Gateway, sequence: u64) {
    let interval = if gateway.is_dispatcher() { REMOTE_HEARTBEATS } else { STANDBY_HEARTBEATS };
    let is_remote_due = sequence.is_multiple_of(interval);
    let prefixes = match gateway.is_dispatcher() && is_remote_due {
        true => unannounced_prefixes(gateway),
        false => Vec::new(),
    };
    let standbys = standby_peers(gateway);
    for standby in &standbys {
        let prefixes = prefixes.clone();
        let heartbeat =
            || Heartbeat { prefixes, ..heartbeat_to_standby(gateway, standby.instance) };
        send_to(gateway, &[standby.beat_address], heartbeat, sequence);
    }
    let due = domain_turn(gateway, &standbys, sequence);
    send_to(gateway, &due, || heartbeat_to_domain(gateway), sequence);
    if is_remote_due {
        let remote = remote_deciders(gateway);
        let heartbeat = || Heartbeat { prefixes, ..heartbeat_to_dispatchers(gateway) };
        send_to(gateway, &remote, heartbeat, sequence);
    }
}

fn send_to(
    gateway: &Gateway,
    receivers: &[SocketAddr],
    heartbeat: impl FnOnce() -> Heartbeat,
    sequence: u64,
) {
    if receivers.is_empty() {
        return;
    }
    let parts = encode_parts(gateway, Heartbeat { sequence, ..heartbeat() });
    for receiver in receivers {
        parts.iter().for_each(|bytes| gateway.send_datagram(bytes, *receiver));
    }
}

/// The peers whose turn it is where all tell all: those of the own domain with each beat, the others
/// with every third, and of both no more than [`PEERS_PER_HEARTBEAT`] at a time.
fn round_robin_peers(gateway: &Gateway, sequence: u64) -> Vec<SocketAddr> {
    let mut receivers = round_robin(domain_peers(gateway), sequence);
    if sequence.is_multiple_of(REMOTE_HEARTBEATS) {
        let peers = gateway.peers.borrow();
        let remote = remote_peers(gateway, &peers.values().collect::<Vec<_>>());
        receivers.extend(round_robin(remote, sequence / REMOTE_HEARTBEATS));
    }
    receivers
}

/// `remote_deciders` returns where the instances of other domains that decide there are told of load.
pub(crate) fn remote_deciders(gateway: &Gateway) -> Vec<SocketAddr> {
    let peers = gateway.peers.borrow();
    let remote = remote_peers(gateway, &peers.values().collect::<Vec<_>>());
    remote.into_iter().map(|peer| peer.beat_address).collect()
}

/// The instances of other domains that decide there: all of a small domain, and those of a large one
/// that stand by for its dispatcher, as far as is known here.
fn remote_peers(gateway: &Gateway, peers: &[&Peer]) -> Vec<PeerAddress> {
    let own_domain = &gateway.options.admission.domain;
    let now = gateway.now();
    let options = gateway.dispatcher_options();
    let mut domains: HashMap<&str, Vec<&Peer>> = HashMap::default();
    for peer in peers.iter().filter(|peer| peer.address.domain != *own_domain) {
        domains.entry(&peer.address.domain).or_default().push(peer);
    }
    let mut deciders = Vec::new();
    for mut domain in domains.into_values() {
        if gateway.options.admission.policy.dispatchers && options.instances_min <= domain.len() {
            domain.sort_by_key(|peer| (!peer.is_alive(now), peer.candidate().order()));
            domain.truncate(options.standbys);
        }
        deciders.extend(domain.into_iter().map(|peer| peer.address.clone()));
    }
    deciders
}

/// `own_domain` returns the peers of the own domain.
pub(crate) fn domain_peers(gateway: &Gateway) -> Vec<PeerAddress> {
    let domain = &gateway.options.admission.domain;
    let peers = gateway.peers.borrow();
    let own = peers.values().filter(|peer| peer.address.domain == *domain);
    own.map(|peer| peer.address.clone()).collect()
}

/// `standby_peers` returns the peers of the own domain that stand by for its dispatcher, as far as is
/// known here.
pub(crate) fn standby_peers(gateway: &Gateway) -> Vec<PeerAddress> {
    let domain = &gateway.options.admission.domain;
    let now = gateway.now();
    let peers = gateway.peers.borrow();
    let mut own: Vec<&Peer> =
        peers.values().filter(|peer| peer.address.domain == *domain).collect();
    let heartbeat_timeout = gateway.options.dispatchers.heartbeat_timeout;
    own.sort_by_key(|peer| {
        let candidate = peer.candidate();
        (candidate.last_seen + heartbeat_timeout <= now, candidate.order())
    });
    let standbys = own.into_iter().take(gateway.options.dispatchers.standbys);
    standbys.map(|peer| peer.address.clone()).collect()
}

/// `round_interval` is the time between two beats to one of `count` peers of the own domain.
pub fn round_interval(count: usize) -> Duration {
    let rounds = u32::try_from(rounds_of(count)).unwrap_or(u32::MAX);
    HEARTBEAT_INTERVAL.saturating_mul(rounds)
}

fn rounds_of(count: usize) -> usize {
    count.div_ceil(PEERS_PER_HEARTBEAT).max(1)
}

fn round_robin(mut addresses: Vec<PeerAddress>, round: u64) -> Vec<SocketAddr> {
    addresses.sort_by_key(|address| address.instance);
    let rounds = rounds_of(addresses.len());
    let current = (round % rounds as u64) as usize;
    let due = addresses.iter().enumerate().filter(|(index, _)| index % rounds == current);
    due.map(|(_, address)| address.beat_address).collect()
}

/// Of upstreams that are gone it tells one part's lines: when many of a service of thousands crash, all of them
/// would fill the links.
fn base_heartbeat(gateway: &Gateway) -> Heartbeat {
    let traffic = gateway.traffic.borrow();
    let leaving = traffic.registry.leaving_lately();
    Heartbeat {
        version: gateway.version(),
        list_change: gateway.list_change(),
        evacuation_version: traffic.registry.evacuations().version(),
        watches: !gateway.relies_on_peers(),
        relay_number: gateway.store_updates.relay.borrow().last_number(),
        is_eligible: gateway.is_eligible(),
        is_dispatcher: gateway.is_dispatcher(),
        hears_most: gateway.local_placements.hears_most.get(),
        is_leaving: gateway.is_draining(),
        counted_ms: u64::try_from(gateway.now().as_millis()).unwrap_or(u64::MAX),
        leaving: leaving.map(|upstream| upstream.life_number).collect(),
        gone: traffic.registry.gone_lately().take(LINES_PER_PART).collect(),
        ..Heartbeat::default()
    }
}

/// Of the starts it tells as many as its last part has room for, the longest first: the shortest are
/// read again soonest.
fn heartbeat_to_all(gateway: &Gateway) -> Heartbeat {
    let mut heartbeat = Heartbeat {
        loads: load_lines(gateway, &HashMap::default()),
        teams: own_teams(gateway),
        ..base_heartbeat(gateway)
    };
    let left = LINES_PER_PART - heartbeat.line_count() % LINES_PER_PART;
    heartbeat.prefixes = prefix_lines(gateway);
    heartbeat.prefixes.sort_by_key(|line| std::cmp::Reverse(line.tokens));
    heartbeat.prefixes.truncate(left);
    heartbeat
}

/// Requests that the receiver granted are in its own books, and those that the dispatcher granted are
/// told by it.
fn heartbeat_to_standby(gateway: &Gateway, receiver: InstanceId) -> Heartbeat {
    let dispatcher = gateway.role().dispatcher;
    let is_known = |grantor: Grantor| {
        let is_reported = [Some(receiver), dispatcher].contains(&Some(grantor.instance));
        is_reported && gateway.incarnation_of(grantor.instance) == Some(grantor.incarnation)
    };
    let is_dispatcher = gateway.is_dispatcher();
    Heartbeat {
        loads: load_lines(gateway, &gateway.held_figures(is_known)),
        teams: if is_dispatcher { domain_teams(gateway) } else { own_teams(gateway) },
        remote_teams: if is_dispatcher { remote_domain_teams(gateway) } else { Vec::new() },
        ..base_heartbeat(gateway)
    }
}

fn heartbeat_to_domain(gateway: &Gateway) -> Heartbeat {
    if !gateway.is_dispatcher() {
        return base_heartbeat(gateway);
    }
    Heartbeat {
        loads: load_lines(gateway, &HashMap::default()),
        teams: domain_teams(gateway),
        remote_teams: remote_domain_teams(gateway),
        ..base_heartbeat(gateway)
    }
}

fn heartbeat_to_dispatchers(gateway: &Gateway) -> Heartbeat {
    if !gateway.is_dispatcher() {
        return base_heartbeat(gateway);
    }
    Heartbeat {
        teams: domain_teams(gateway),
        headrooms: gateway.own_headrooms(),
        ..base_heartbeat(gateway)
    }
}

fn load_lines(gateway: &Gateway, others: &HashMap<UpstreamId, Figures>) -> Vec<LoadLine> {
    let traffic = gateway.traffic.borrow();
    let mut all = others.clone();
    for (key, load) in traffic.loads() {
        if let Some(upstream) = traffic.registry.get(key) {
            all.entry(upstream.life_number).or_default().add(&load.own_figures());
        }
    }
    let lines = all.iter().filter(|(_, figures)| **figures != Figures::default());
    lines.map(|(upstream, figures)| LoadLine::new(*upstream, figures)).collect()
}

fn own_teams(gateway: &Gateway) -> Vec<TeamLine> {
    let now = gateway.now();
    gateway.traffic.borrow_mut().windows.own_sums(now)
}

fn domain_teams(gateway: &Gateway) -> Vec<TeamLine> {
    teams_with(gateway, true, |peer| gateway.is_of_own_domain(peer))
}

fn remote_domain_teams(gateway: &Gateway) -> Vec<TeamLine> {
    teams_with(gateway, false, |peer| !gateway.is_of_own_domain(peer))
}

fn teams_with(
    gateway: &Gateway,
    with_own: bool,
    is_included: impl Fn(InstanceId) -> bool,
) -> Vec<TeamLine> {
    let now = gateway.now();
    let sums = gateway.traffic.borrow_mut().windows.combined_sums(with_own, is_included, now);
    sums.into_iter().collect()
}

fn prefix_lines(gateway: &Gateway) -> Vec<PrefixLine> {
    let now = gateway.now();
    let mut traffic = gateway.traffic.borrow_mut();
    let notes = traffic.starts.own_notes(now);
    if !traffic.options.policy.start_notes {
        return Vec::new();
    }
    lines_of_prefixes(&notes, now)
}

fn unannounced_prefixes(gateway: &Gateway) -> Vec<PrefixLine> {
    let now = gateway.now();
    let mut traffic = gateway.traffic.borrow_mut();
    let notes = traffic.starts.take_untold(now);
    if !traffic.options.policy.start_notes {
        return Vec::new();
    }
    lines_of_prefixes(&notes, now)
}

fn lines_of_prefixes(notes: &[StartNote], now: Timestamp) -> Vec<PrefixLine> {
    let lines = notes.iter().map(|note| PrefixLine {
        prefix: note.start,
        tokens: note.tokens,
        upstream: note.upstream,
        age_ms: millis(now.saturating_sub(note.used)),
    });
    lines.collect()
}

/// Writes a beat as one datagram or several.
fn encode_parts(gateway: &Gateway, heartbeat: Heartbeat) -> Vec<Vec<u8>> {
    let (instance, incarnation) = (gateway.options.instance, gateway.options.incarnation);
    let messages = split(heartbeat).into_iter().map(|part| Message {
        instance,
        incarnation,
        body: Body::Heartbeat(part),
    });
    messages.filter_map(|message| encode(&message)).collect()
}

fn split(mut heartbeat: Heartbeat) -> Vec<Heartbeat> {
    let mut parts = Vec::new();
    loop {
        let mut left = LINES_PER_PART;
        let part = Heartbeat {
            loads: take_lines(&mut heartbeat.loads, &mut left),
            teams: take_lines(&mut heartbeat.teams, &mut left),
            remote_teams: take_lines(&mut heartbeat.remote_teams, &mut left),
            leaving: take_lines(&mut heartbeat.leaving, &mut left),
            gone: take_lines(&mut heartbeat.gone, &mut left),
            headrooms: take_lines(&mut heartbeat.headrooms, &mut left),
            prefixes: take_lines(&mut heartbeat.prefixes, &mut left),
            offers: take_lines(&mut heartbeat.offers, &mut left),
            speeds: take_lines(&mut heartbeat.speeds, &mut left),
            ..heartbeat.clone()
        };
        parts.push(part);
        if heartbeat.line_count() == 0 {
            break;
        }
    }
    let count = u8::try_from(parts.len()).unwrap_or(u8::MAX);
    for (index, part) in parts.iter_mut().enumerate() {
        part.part = u8::try_from(index).unwrap_or(u8::MAX);
        part.parts = count;
    }
    parts
}

fn take_lines<T>(lines: &mut Vec<T>, left: &mut usize) -> Vec<T> {
    let taken = lines.len().min(*left);
    *left -= taken;
    lines.drain(..taken).collect()
}

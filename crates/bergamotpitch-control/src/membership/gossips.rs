//! Gossip: to whom heartbeats go and what they tell of others.
//!
//! Within a failure domain each instance sends to its successors at the distances 1, 2, 4, … in the
//! ring of instance ids, so that its cost grows with the logarithm of the domain. Between two domains
//! one instance of each, the relay, sends to the relay of the other. Whatever is new travels on at
//! once, and a few older lines with each heartbeat make up for lost ones.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_core::ids::{DomainId, InstanceId, UpstreamId};
use bergamotpitch_core::units::Timestamp;

use crate::capacity::upstreams;
use crate::fairness::coordinators::weight;
use crate::messages::{Heartbeat, LeavingLine, MemberLine, Message};
use crate::outputs::Output;
use crate::tables::{Member, Tables};

/// Time that each further receiver adds to the time between two heartbeats, so that the bytes sent a
/// second stay the same.
const TIME_PER_TARGET: Duration = Duration::from_millis(80);

/// Shortest time between two heartbeats when there is news.
const MIN_HEARTBEAT_SPACING: Duration = Duration::from_millis(20);

/// Heartbeats in which news is told; more than one, since each may be lost.
const UPDATE_ROUNDS: u32 = 4;

/// Lines of news in one heartbeat.
const MAX_UPDATE_LINES: usize = 12;

/// Lines of other members in one heartbeat.
const REFRESH_LINES: usize = 1;

/// Lines of other leaving upstreams in one heartbeat.
const LEAVING_REFRESH_LINES: usize = 4;

/// Lines of the answer to an instance that was not known.
const JOIN_REPLY_LINES: usize = 64;

/// Time between two heartbeats to the relay of another domain.
const RELAY_INTERVAL: Duration = Duration::from_secs(2);

/// The same when it is news that an upstream leaves.
const URGENT_RELAY_INTERVAL: Duration = Duration::from_millis(200);

/// Lines of members of the own domain in one heartbeat to a relay.
const RELAY_LINES: usize = 2;

/// Silence of another domain after which its other members are tried.
const RELAY_TIMEOUT: Duration = Duration::from_secs(7);

/// Time for which an instance that fell silent still gets heartbeats.
const SUSPECTED_TARGET_TIME: Duration = Duration::from_secs(60);

/// Time between two heartbeats to addresses where an instance may be.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Addresses that are probed at once while no instance is known.
const ISOLATED_PROBES: usize = 16;

/// `Gossip` is what this instance has to tell.
#[derive(Debug, Default)]
pub struct Gossip {
    /// Number by which this instance contradicts those who think it gone.
    pub version: u32,
    /// Addresses of the platform's list.
    pub listed: Vec<SocketAddr>,
    /// When it was last looked at who is silent.
    pub last_check: Option<Timestamp>,
    /// When a domain was last heard.
    pub heard_domains: BTreeMap<DomainId, Timestamp>,
    member_updates: BTreeMap<InstanceId, u32>,
    leaving_updates: BTreeMap<UpstreamId, u32>,
    is_urgent: bool,
    next_refresh: usize,
    next_relay_refresh: usize,
    next_leaving: usize,
    next_probe: usize,
    next_relay: usize,
    last_probe: Option<Timestamp>,
    relayed: Option<Timestamp>,
}

/// `announce` has a member's line told in the next heartbeats, the first of them at once.
pub fn announce(tables: &mut Tables, instance: InstanceId) {
    tables.gossip.member_updates.insert(instance, UPDATE_ROUNDS);
    tables.gossip.is_urgent = true;
}

/// `run` sends heartbeats when they are due.
pub fn run(tables: &mut Tables, outputs: &mut Vec<Output>) {
    for upstream in std::mem::take(&mut tables.health.unannounced) {
        tables.gossip.leaving_updates.insert(upstream, UPDATE_ROUNDS);
        tables.gossip.is_urgent = true;
    }
    let since = tables.heartbeat_sent.map(|sent| tables.now.saturating_sub(sent));
    let waited = |time: Duration| since.is_none_or(|since| time <= since);
    if !waited(MIN_HEARTBEAT_SPACING) {
        return;
    }
    let mut targets = successors(tables);
    if !waited(interval(tables, targets.len())) && !tables.gossip.is_urgent {
        return;
    }
    tables.heartbeat_sent = Some(tables.now);
    targets.extend(probe_targets(tables));
    targets.sort_unstable();
    targets.dedup();
    let relays = relay_targets(tables);
    if !relays.is_empty() {
        let heartbeat = relay_heartbeat(tables);
        send(&relays, &heartbeat, outputs);
    }
    let heartbeat = next_heartbeat(tables);
    send(&targets, &heartbeat, outputs);
}

fn send(targets: &[SocketAddr], heartbeat: &Heartbeat, outputs: &mut Vec<Output>) {
    for to in targets {
        outputs.push(Output::Send { to: *to, message: Message::Heartbeat(heartbeat.clone()) });
    }
}

/// `interval` is the time between two heartbeats to one of some receivers.
pub fn interval(tables: &Tables, targets: usize) -> Duration {
    tables.options.heartbeat_interval.max(TIME_PER_TARGET * targets as u32)
}

/// `timeout` is the silence after which a member that should send here is taken for gone.
pub fn timeout(tables: &Tables, domain_members: usize) -> Duration {
    let targets = (domain_members + 1).max(2).ilog2() as usize + 1;
    let stretch = interval(tables, targets).as_secs_f64()
        / tables.options.heartbeat_interval.as_secs_f64().max(0.001);
    tables.options.peer_timeout.mul_f64(stretch)
}

/// `ring` lists the live instances of the domain, this one among them, in order.
pub fn ring(tables: &Tables) -> Vec<InstanceId> {
    let others = tables
        .members
        .iter()
        .filter(|(_, member)| member.domain == tables.options.domain && !member.suspected);
    let mut ring: Vec<InstanceId> = others.map(|(instance, _)| *instance).collect();
    ring.push(tables.options.instance);
    ring.sort_unstable();
    ring
}

/// An instance that was heard until a short time ago gets heartbeats still: it may hear this one
/// although it is not heard, and would take this one for gone too.
fn successors(tables: &Tables) -> Vec<SocketAddr> {
    let own = tables.options.domain;
    let mut targets = successors_in(tables, &ring(tables));
    let is_recent = |member: &Member| tables.now < member.heard + SUSPECTED_TARGET_TIME;
    let suspected_members = tables.members.iter().filter(|(_, member)| member.suspected);
    let suspected_members =
        suspected_members.filter(|(_, member)| member.domain == own && is_recent(member));
    let mut wider = ring(tables);
    wider.extend(suspected_members.map(|(instance, _)| *instance));
    wider.sort_unstable();
    targets.extend(successors_in(tables, &wider));
    targets.sort_unstable();
    targets.dedup();
    targets
}

fn successors_in(tables: &Tables, ring: &[InstanceId]) -> Vec<SocketAddr> {
    let own = ring.binary_search(&tables.options.instance).unwrap_or(0);
    let mut targets = Vec::new();
    let mut distance = 1;
    while distance < ring.len() {
        let instance = ring[(own + distance) % ring.len()];
        targets.extend(tables.members.get(&instance).map(|member| member.address));
        distance *= 2;
    }
    targets
}

fn relay_targets(tables: &mut Tables) -> Vec<SocketAddr> {
    let now = tables.now;
    // That an upstream leaves must be known in all domains within seconds.
    let has_updates = !tables.gossip.leaving_updates.is_empty();
    let interval = if has_updates { URGENT_RELAY_INTERVAL } else { RELAY_INTERVAL };
    if tables.gossip.relayed.is_some_and(|relayed| now < relayed + interval) {
        return Vec::new();
    }
    tables.gossip.relayed = Some(now);
    tables.gossip.next_relay = tables.gossip.next_relay.wrapping_add(1);
    let ring = ring(tables);
    // Domains are taken from the members, not from the sheet: an instance that has no sheet yet gets
    // it over this way.
    let domains: BTreeSet<DomainId> = tables.members.values().map(|member| member.domain).collect();
    let others = domains.into_iter().filter(|domain| *domain != tables.options.domain);
    let relayed = others.filter(|domain| {
        let relay = ring.iter().max_by_key(|instance| weight(**instance, *domain));
        relay == Some(&tables.options.instance)
    });
    relayed.filter_map(|domain| relay_of_domain(tables, domain)).collect()
}

fn relay_of_domain(tables: &Tables, domain: DomainId) -> Option<SocketAddr> {
    let own = tables.options.domain;
    let mut members: Vec<(u64, SocketAddr)> = tables
        .members
        .iter()
        .filter(|(_, member)| member.domain == domain && !member.suspected)
        .map(|(instance, member)| (weight(*instance, own), member.address))
        .collect();
    members.sort_unstable_by(|left, right| right.cmp(left));
    let heard = tables.gossip.heard_domains.get(&domain);
    let is_unresponsive = heard.is_none_or(|heard| *heard + RELAY_TIMEOUT < tables.now);
    // The relay may have died together with those who would have told of it.
    let place = if is_unresponsive { tables.gossip.next_relay % members.len().max(1) } else { 0 };
    members.get(place).map(|(_, address)| *address)
}

/// `probe_targets` are addresses where an instance may be that is not known, or was taken for gone:
/// without them two halves of a partition would never find each other again.
fn probe_targets(tables: &mut Tables) -> Vec<SocketAddr> {
    let now = tables.now;
    let is_isolated = tables.members.values().all(|member| member.suspected);
    let is_due =
        tables.gossip.last_probe.is_none_or(|last_probe| last_probe + PROBE_INTERVAL <= now);
    if !is_isolated && !is_due {
        return Vec::new();
    }
    tables.gossip.last_probe = Some(now);
    let live = |address: &SocketAddr| {
        tables.members.values().any(|member| !member.suspected && member.address == *address)
    };
    let gone = tables.members.values().filter(|member| member.suspected);
    let mut addresses: Vec<SocketAddr> = gone.map(|member| member.address).collect();
    addresses.extend(&tables.options.first_peers);
    addresses.extend(&tables.gossip.listed);
    addresses.sort_unstable();
    addresses.dedup();
    addresses.retain(|address| !live(address));
    let count = if is_isolated { ISOLATED_PROBES } else { 1 };
    let first = tables.gossip.next_probe;
    tables.gossip.next_probe = first.wrapping_add(count);
    let length = addresses.len();
    (0..count.min(length)).map(|index| addresses[(first + index) % length]).collect()
}

/// `base_heartbeat` is a heartbeat without lines.
pub fn base_heartbeat(tables: &Tables) -> Heartbeat {
    Heartbeat {
        version: tables.gossip.version,
        sheet_version: tables.sheet.as_ref().map_or(0, |sheet| sheet.version),
        sheet_doubtful: tables.sheet_sync.unconfirmed.is_some(),
        platform_lost: tables.sheet_sync.platform_lost,
        draining: tables.draining,
        leaving_upstreams: Vec::new(),
        members: Vec::new(),
    }
}

/// `join_reply` is the answer to an instance that was not known: most of what this one knows.
pub fn join_reply(tables: &Tables) -> Heartbeat {
    let own = tables.options.domain;
    let mut known: Vec<(&InstanceId, &Member)> =
        tables.members.iter().filter(|(_, member)| !member.suspected).collect();
    known.sort_unstable_by_key(|(instance, member)| (member.domain != own, **instance));
    let members = known.into_iter().take(JOIN_REPLY_LINES).map(|(id, member)| line(*id, member));
    let leaving = tables.health.leaving.keys().take(JOIN_REPLY_LINES);
    Heartbeat {
        members: members.collect(),
        leaving_upstreams: leaving
            .filter_map(|upstream| upstreams::leaving_line(tables, *upstream))
            .collect(),
        ..base_heartbeat(tables)
    }
}

/// `line` tells of a member.
pub fn line(instance: InstanceId, member: &Member) -> MemberLine {
    MemberLine {
        instance,
        incarnation: member.incarnation,
        domain: member.domain,
        address: member.address,
        version: member.version,
        gone: member.suspected,
        draining: member.draining,
    }
}

fn next_heartbeat(tables: &mut Tables) -> Heartbeat {
    let mut heartbeat = base_heartbeat(tables);
    let instances = next_members(tables);
    heartbeat.members = instances
        .iter()
        .filter_map(|instance| Some(line(*instance, tables.members.get(instance)?)))
        .collect();
    heartbeat.leaving_upstreams = next_leaving(tables);
    tables.gossip.is_urgent =
        !tables.gossip.member_updates.is_empty() && MAX_UPDATE_LINES <= instances.len();
    heartbeat
}

/// `relay_heartbeat` has a count of its own for older lines. With the one of the other heartbeats,
/// a relay that gets each fifth of them would hear of each fifth member only.
fn relay_heartbeat(tables: &mut Tables) -> Heartbeat {
    let own = tables.options.domain;
    let mut members: Vec<(InstanceId, MemberLine)> = tables
        .members
        .iter()
        .filter(|(_, member)| member.domain == own)
        .map(|(instance, member)| (*instance, line(*instance, member)))
        .collect();
    members.sort_unstable_by_key(|(instance, _)| *instance);
    let mut lines = Vec::new();
    for _ in 0..RELAY_LINES.min(members.len()) {
        lines.push(members[tables.gossip.next_relay_refresh % members.len()].1);
        tables.gossip.next_relay_refresh = tables.gossip.next_relay_refresh.wrapping_add(1);
    }
    let announced = tables.gossip.leaving_updates.keys().copied().collect::<Vec<_>>();
    let announced = announced.into_iter().chain(leaving_refresh(tables));
    let leaving_upstreams = announced.take(MAX_UPDATE_LINES).collect::<BTreeSet<_>>();
    Heartbeat {
        members: lines,
        leaving_upstreams: leaving_upstreams
            .into_iter()
            .filter_map(|upstream| upstreams::leaving_line(tables, upstream))
            .collect(),
        ..base_heartbeat(tables)
    }
}

fn next_members(tables: &mut Tables) -> Vec<InstanceId> {
    let mut announced: Vec<InstanceId> =
        tables.gossip.member_updates.keys().copied().take(MAX_UPDATE_LINES).collect();
    for instance in &announced {
        count_round(&mut tables.gossip.member_updates, instance);
    }
    let mut others: Vec<InstanceId> = tables.members.keys().copied().collect();
    others.sort_unstable();
    for _ in 0..REFRESH_LINES.min(others.len()) {
        let instance = others[tables.gossip.next_refresh % others.len()];
        tables.gossip.next_refresh = tables.gossip.next_refresh.wrapping_add(1);
        if !announced.contains(&instance) {
            announced.push(instance);
        }
    }
    announced
}

fn next_leaving(tables: &mut Tables) -> Vec<LeavingLine> {
    let mut announced: Vec<UpstreamId> = tables.gossip.leaving_updates.keys().copied().collect();
    announced.truncate(MAX_UPDATE_LINES);
    for upstream in &announced {
        count_round(&mut tables.gossip.leaving_updates, upstream);
    }
    for upstream in leaving_refresh(tables) {
        if !announced.contains(&upstream) {
            announced.push(upstream);
        }
    }
    announced.into_iter().filter_map(|upstream| upstreams::leaving_line(tables, upstream)).collect()
}

fn leaving_refresh(tables: &mut Tables) -> Vec<UpstreamId> {
    let known = upstreams::leaving(tables);
    let count = LEAVING_REFRESH_LINES.min(known.len());
    let first = tables.gossip.next_leaving;
    tables.gossip.next_leaving = first.wrapping_add(count);
    (0..count).map(|index| known[(first + index) % known.len()]).collect()
}

fn count_round(member_updates: &mut BTreeMap<u32, u32>, id: &u32) {
    let Some(rounds) = member_updates.get_mut(id) else { return };
    *rounds -= 1;
    if *rounds == 0 {
        member_updates.remove(id);
    }
}

//! Membership: who is alive, in the own failure domain and in others.
//!
//! Whether an instance is gone is judged only by those of its domain to which it should send. Each
//! judgement names the version of the instance that it is about; an instance that hears of its own
//! end raises its version, and the later version wins everywhere.

use std::collections::BTreeSet;
use std::time::Duration;

use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::{DomainId, InstanceId};
use bergamotpitch_core::units::Timestamp;

use crate::capacity::upstreams;
use crate::configuration::sheet_syncs;
use crate::inputs::{ListedInstance, Sender};
use crate::membership::gossips;
use crate::messages::{Heartbeat, MemberLine, Message};
use crate::outputs::{Event, Output};
use crate::tables::{Member, Tables};

/// Time for which an instance that is gone is still asked for.
const SUSPECTED_RETENTION: Duration = Duration::from_secs(900);

/// Instances that are gone and still asked for, at most.
const MAX_SUSPECTED_MEMBERS: usize = 256;

/// Time after which an instance of another domain of which nothing is heard is forgotten.
const UNSEEN_RETENTION: Duration = Duration::from_secs(600);

/// Time between two looks at who is silent; a step for each message would spend itself on it.
const SUSPICION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Doublings of the timeout of an instance that contradicted its end.
const MAX_TIMEOUT_DOUBLINGS: u32 = 5;

/// `MemberGuards` are the rules that a proof switches off; all are on by default.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberGuards {
    /// What others say of an instance of the domain counts, not only what is heard here.
    pub accepts_peer_reports: bool,
}

impl Default for MemberGuards {
    fn default() -> Self {
        Self { accepts_peer_reports: true }
    }
}

/// `apply_list` notes where the platform says that instances are. The list lags: it is a hint where
/// to ask, and nobody is taken for alive or gone because of it.
pub fn apply_list(tables: &mut Tables, list: &[ListedInstance]) {
    let routers = list.iter().filter(|listed| listed.is_router && !listed.leaving);
    tables.gossip.listed = routers.map(|listed| listed.address).collect();
}

/// `apply_heartbeat` notes that a peer is alive and takes over what it knows.
pub fn apply_heartbeat(
    tables: &mut Tables,
    sender: Sender,
    heartbeat: Heartbeat,
    outputs: &mut Vec<Output>,
) {
    if sender.instance == tables.options.instance {
        return;
    }
    let known = tables.members.get(&sender.instance);
    // A message of an earlier life that arrives late must not bring that life back.
    if known.is_some_and(|member| sender.incarnation < member.incarnation) {
        return;
    }
    record_sender(tables, sender, &heartbeat, outputs);
    tables.gossip.heard_domains.insert(sender.domain, tables.now);
    for line in &heartbeat.members {
        apply_line(tables, line, outputs);
    }
    upstreams::apply_leaving_lines(tables, &heartbeat.leaving_upstreams, outputs);
    sheet_syncs::apply_heartbeat(tables, sender, &heartbeat, outputs);
}

fn record_sender(
    tables: &mut Tables,
    sender: Sender,
    heartbeat: &Heartbeat,
    outputs: &mut Vec<Output>,
) {
    let known = tables.members.get(&sender.instance);
    let same_incarnation = known.filter(|member| member.incarnation == sender.incarnation);
    let is_new = same_incarnation.is_none();
    let was_gone = same_incarnation.is_some_and(|member| member.suspected);
    let version = same_incarnation.map_or(0, |member| member.version).max(heartbeat.version);
    let has_updates = same_incarnation.is_none_or(|member| {
        member.suspected || member.version < version || member.draining != heartbeat.draining
    });
    let member = Member {
        incarnation: sender.incarnation,
        domain: sender.domain,
        address: sender.address,
        heard: tables.now,
        direct: Some(tables.now),
        suspected: false,
        draining: heartbeat.draining,
        version,
        patience: same_incarnation.map_or(0, |member| member.patience),
    };
    if was_gone && heartbeat.version <= version {
        // Others hold it for gone as well. It learns so from this line, raises its version, and is
        // believed everywhere.
        let gone = MemberLine { gone: true, ..gossips::line(sender.instance, &member) };
        let heartbeat = Heartbeat { members: vec![gone], ..gossips::base_heartbeat(tables) };
        outputs.push(Output::Send { to: sender.address, message: Message::Heartbeat(heartbeat) });
    }
    tables.members.insert(sender.instance, member);
    if has_updates {
        gossips::announce(tables, sender.instance);
    }
    if is_new || was_gone {
        emit(EventKind::PeerJoined, sender.instance, outputs);
    }
    if is_new {
        let message = Message::Heartbeat(gossips::join_reply(tables));
        outputs.push(Output::Send { to: sender.address, message });
    }
}

fn apply_line(tables: &mut Tables, line: &MemberLine, outputs: &mut Vec<Output>) {
    if line.instance == tables.options.instance {
        let is_own_incarnation = line.incarnation == tables.options.incarnation;
        if is_own_incarnation && line.gone && tables.gossip.version <= line.version {
            tables.gossip.version = line.version + 1;
            tables.heartbeat_sent = None;
        }
        return;
    }
    let now = tables.now;
    let Some(known) = tables.members.get_mut(&line.instance) else {
        if !line.gone {
            add_reported_member(tables, line, outputs);
        }
        return;
    };
    let order = |incarnation, version, gone: bool| (incarnation, version, gone);
    let reported = order(line.incarnation, line.version, line.gone);
    let current = order(known.incarnation, known.version, known.suspected);
    if reported == current && !line.gone {
        known.heard = now;
    }
    if reported <= current {
        return;
    }
    if known.incarnation < line.incarnation {
        if !line.gone {
            add_reported_member(tables, line, outputs);
        }
        return;
    }
    let was_gone = known.suspected;
    // An instance that cannot hear its home would otherwise take the duty itself, for as long as a
    // link is cut one way, although all others hear both.
    if known.domain == tables.options.domain && !tables.options.member_guards.accepts_peer_reports {
        return;
    }
    known.version = line.version;
    known.draining = line.draining;
    known.suspected = line.gone;
    known.heard = now;
    known.direct = None;
    if was_gone && !line.gone {
        known.patience = (known.patience + 1).min(MAX_TIMEOUT_DOUBLINGS);
    }
    gossips::announce(tables, line.instance);
    if was_gone != line.gone {
        let kind = if line.gone { EventKind::PeerSuspected } else { EventKind::PeerJoined };
        emit(kind, line.instance, outputs);
    }
}

fn add_reported_member(tables: &mut Tables, line: &MemberLine, outputs: &mut Vec<Output>) {
    let member = Member {
        incarnation: line.incarnation,
        domain: line.domain,
        address: line.address,
        heard: tables.now,
        direct: None,
        suspected: false,
        draining: line.draining,
        version: line.version,
        patience: 0,
    };
    tables.members.insert(line.instance, member);
    gossips::announce(tables, line.instance);
    emit(EventKind::PeerJoined, line.instance, outputs);
}

/// `run` suspects silent peers, forgets those that are long gone, and sends heartbeats.
pub fn run(tables: &mut Tables, outputs: &mut Vec<Output>) {
    let is_due =
        tables.gossip.last_check.is_none_or(|at| at + SUSPICION_CHECK_INTERVAL <= tables.now);
    if is_due {
        tables.gossip.last_check = Some(tables.now);
        suspect_unresponsive_members(tables, outputs);
        evict_members(tables);
    }
    gossips::run(tables, outputs);
}

/// An instance is watched by those to which it should send: its predecessors in the ring are watched
/// here. One that was only told of is watched from now on.
fn suspect_unresponsive_members(tables: &mut Tables, outputs: &mut Vec<Output>) {
    let ring = gossips::ring(tables);
    let timeout = gossips::timeout(tables, ring.len());
    let Ok(own) = ring.binary_search(&tables.options.instance) else { return };
    let now = tables.now;
    let mut unresponsive = Vec::new();
    let mut distance = 1;
    while distance < ring.len() {
        let instance = ring[(own + ring.len() - distance) % ring.len()];
        distance *= 2;
        let Some(member) = tables.members.get_mut(&instance) else { continue };
        let direct = *member.direct.get_or_insert(now);
        if has_timed_out(direct, now, timeout * 2_u32.pow(member.patience)) {
            member.suspected = true;
            member.direct = None;
            unresponsive.push(instance);
        }
    }
    for instance in unresponsive {
        gossips::announce(tables, instance);
        emit(EventKind::PeerSuspected, instance, outputs);
    }
}

fn has_timed_out(direct: Timestamp, now: Timestamp, timeout: Duration) -> bool {
    direct + timeout < now
}

/// Without this the table, and the addresses that are asked, would grow with every instance that was
/// ever replaced.
fn evict_members(tables: &mut Tables) {
    let now = tables.now;
    let own = tables.options.domain;
    let heard = tables.members.values().filter(|member| now < member.heard + UNSEEN_RETENTION);
    let heard_domains: BTreeSet<DomainId> = heard.map(|member| member.domain).collect();
    // A domain of which nobody is heard may only be cut off. Forgotten on both sides, two domains
    // would go on as two fleets after the link is mended, until the platform's list is read again.
    tables.members.retain(|_, member| {
        let retention = if member.suspected { SUSPECTED_RETENTION } else { UNSEEN_RETENTION };
        let is_partitioned = member.domain != own && !heard_domains.contains(&member.domain);
        member.domain == own && !member.suspected
            || now < member.heard + retention
            || is_partitioned
    });
    let members = &tables.members;
    tables.sheet_sync.offers.retain(|instance, _| members.contains_key(instance));
    let gone = tables.members.values().filter(|member| member.suspected).count();
    if gone <= MAX_SUSPECTED_MEMBERS {
        return;
    }
    let mut oldest: Vec<(Timestamp, InstanceId)> = tables
        .members
        .iter()
        .filter(|(_, member)| member.suspected)
        .map(|(instance, member)| (member.heard, *instance))
        .collect();
    oldest.sort_unstable();
    for (_, instance) in oldest.into_iter().take(gone - MAX_SUSPECTED_MEMBERS) {
        tables.members.remove(&instance);
    }
}

fn emit(kind: EventKind, peer: InstanceId, outputs: &mut Vec<Output>) {
    outputs.push(Output::Emit(Event::of_kind(kind).with_peer(peer)));
}

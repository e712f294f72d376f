//! Members of other domains: one heartbeat a domain, and what the instances of a domain tell each
//! other of them.
//!
//! Traffic between regions is paid by volume, so an instance does not send a heartbeat to every
//! instance elsewhere. It picks one in each other domain, at a slower pace, and at once when what it
//! has to say has changed. Inside the domain the instances tell each other whom they heard.

use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::{DomainId, InstanceId};
use bergamotpitch_core::units::Timestamp;

use crate::homes::weight;
use crate::inputs::Sender;
use crate::members;
use crate::messages::{FarMember, Heartbeat, Message};
use crate::outputs::{Event, Output};
use crate::tables::{Member, Tables};

/// Time between two heartbeats to another domain.
const INTERVAL: Duration = Duration::from_millis(2_000);

/// Silence after which an instance of another domain is taken for gone.
pub const TIMEOUT: Duration = Duration::from_millis(9_000);

/// Time for which unknown instances are greeted at the pace of the domain after the start.
const GREETING_TIME: Duration = Duration::from_millis(2_000);

/// Bytes a second that one instance spends on telling its domain whom it heard elsewhere.
const TELLING_BYTES_PER_SECOND: u64 = 150;

/// Bytes of one line, and of what is around the lines.
const LINE_BYTES: u64 = 16;

/// Bytes around the lines.
const TELLING_BYTES: u64 = 64;

/// `FarDuty` is what an instance remembers of its heartbeats to other domains.
#[derive(Debug, Default)]
pub struct FarDuty {
    /// When the first heartbeat was sent.
    pub begun: Option<Timestamp>,
    /// When one was last sent to another domain.
    pub sent: Option<Timestamp>,
    /// What it said.
    pub said: Option<Heartbeat>,
    /// When unknown instances were last greeted.
    pub greeted: Option<Timestamp>,
    /// When the domain may be told again.
    pub tell_at: Timestamp,
}

/// `run` sends heartbeats to other domains, greets instances that were not heard yet, and tells the
/// domain who was heard.
pub fn run(tables: &mut Tables, heartbeat: Heartbeat, outputs: &mut Vec<Output>) {
    let now = tables.now;
    let begun = *tables.far_duty.begun.get_or_insert(now);
    let is_fresh = now < begun + GREETING_TIME;
    let is_due = |at: Option<Timestamp>| at.is_none_or(|at| at + INTERVAL <= now);
    if is_fresh || is_due(tables.far_duty.greeted) {
        tables.far_duty.greeted = Some(now);
        for to in unknown_addresses(tables) {
            outputs.push(Output::Send { to, message: Message::Greeting(heartbeat.clone()) });
        }
    }
    let is_news = tables.far_duty.said.as_ref() != Some(&heartbeat);
    if is_news || is_due(tables.far_duty.sent) {
        tables.far_duty.sent = Some(now);
        for to in chosen_addresses(tables) {
            outputs.push(Output::Send { to, message: Message::Heartbeat(heartbeat.clone()) });
        }
        tables.far_duty.said = Some(heartbeat);
    }
    if tables.far_duty.tell_at <= now {
        tell_domain(tables, outputs);
    }
}

fn unknown_addresses(tables: &Tables) -> Vec<SocketAddr> {
    let is_known = |address: &SocketAddr| {
        tables.members.values().any(|member| member.address == *address && !member.suspected)
    };
    let mut unknown: Vec<SocketAddr> =
        tables.options.first_peers.iter().filter(|address| !is_known(address)).copied().collect();
    // A member of another domain that fell silent is greeted until it is heard again, so that two
    // domains that were cut off find each other.
    let silent = tables.members.values().filter(|member| {
        member.suspected
            && member.domain != tables.options.domain
            && !tables.options.first_peers.contains(&member.address)
    });
    unknown.extend(silent.map(|member| member.address));
    unknown.sort_unstable();
    unknown.dedup();
    unknown
}

/// The member of each other domain that this instance sends its heartbeats to.
fn chosen_addresses(tables: &Tables) -> Vec<SocketAddr> {
    let own = tables.options.instance;
    let mut chosen: HashMap<DomainId, (u64, InstanceId, SocketAddr)> = HashMap::default();
    for (instance, member) in &tables.members {
        if member.domain == tables.options.domain || member.suspected {
            continue;
        }
        let entry = (weight(own, *instance), *instance, member.address);
        let best = chosen.entry(member.domain).or_insert(entry);
        *best = (*best).max(entry);
    }
    let mut addresses: Vec<SocketAddr> =
        chosen.into_values().map(|(_, _, address)| address).collect();
    addresses.sort_unstable();
    addresses
}

fn tell_domain(tables: &mut Tables, outputs: &mut Vec<Output>) {
    let now = tables.now;
    let own = tables.options.domain;
    let mut members: Vec<FarMember> = tables
        .members
        .iter()
        .filter(|(_, member)| member.domain != own && member.is_heard_here && !member.suspected)
        .map(|(instance, member)| FarMember {
            instance: *instance,
            incarnation: member.incarnation,
            domain: member.domain,
            address: member.address,
            draining: member.draining,
            age_ms: now.saturating_sub(member.heard).as_millis() as u32,
        })
        .collect();
    members.sort_unstable_by_key(|member| member.instance);
    let mut to: Vec<SocketAddr> = tables
        .members
        .values()
        .filter(|member| member.domain == own && !member.suspected)
        .map(|member| member.address)
        .collect();
    to.sort_unstable();
    let bytes = (TELLING_BYTES + LINE_BYTES * members.len() as u64) * to.len() as u64;
    let pause = Duration::from_secs_f64(bytes as f64 / TELLING_BYTES_PER_SECOND as f64);
    tables.far_duty.tell_at = now + pause.max(INTERVAL);
    if members.is_empty() {
        return;
    }
    for to in to {
        outputs.push(Output::Send { to, message: Message::FarMembers(members.clone()) });
    }
}

/// `apply_greeting` takes a heartbeat of an instance that does not know this one, and answers it.
pub fn apply_greeting(
    tables: &mut Tables,
    sender: Sender,
    heartbeat: Heartbeat,
    outputs: &mut Vec<Output>,
) {
    members::apply_heartbeat(tables, sender, heartbeat, outputs);
    let message = Message::Heartbeat(members::heartbeat(tables));
    outputs.push(Output::Send { to: sender.address, message });
}

/// `apply_lines` takes over whom another instance of the domain heard elsewhere.
pub fn apply_lines(
    tables: &mut Tables,
    sender: Sender,
    lines: Vec<FarMember>,
    outputs: &mut Vec<Output>,
) {
    if sender.domain != tables.options.domain {
        return;
    }
    for line in lines.into_iter().filter(|line| line.domain != tables.options.domain) {
        let heard = tables.now.saturating_sub(Duration::from_millis(u64::from(line.age_ms)));
        let known = tables.members.get(&line.instance);
        let is_older = known.is_some_and(|member| {
            line.incarnation < member.incarnation
                || line.incarnation == member.incarnation && heard <= member.heard
        });
        if is_older || heard + TIMEOUT < tables.now {
            continue;
        }
        if known.is_none_or(|member| member.suspected || member.incarnation < line.incarnation) {
            let event = Event::of_kind(EventKind::PeerJoined).with_peer(line.instance);
            outputs.push(Output::Emit(event));
        }
        let is_heard_here = known.is_some_and(|member| {
            member.is_heard_here && member.incarnation == line.incarnation && !member.suspected
        });
        let member = Member {
            incarnation: line.incarnation,
            domain: line.domain,
            address: line.address,
            heard,
            suspected: false,
            draining: line.draining,
            is_heard_here: is_heard_here && tables.now < heard + INTERVAL * 2,
        };
        tables.members.insert(line.instance, member);
    }
}

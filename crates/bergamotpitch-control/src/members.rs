//! Membership: heartbeats between instances, and who is alive.

use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::DomainId;

use crate::inputs::Sender;
use crate::messages::{Heartbeat, Message};
use crate::outputs::{Event, Output};
use crate::tables::{Member, Tables};
use crate::{far_members, paces, sheet_duties, upstreams};

/// Time between two looks for members that are gone.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Silence after which a member of the domain is forgotten. A rack whose switch is out comes back
/// within it, or its instances have been replaced.
const DOMAIN_MEMORY: Duration = Duration::from_secs(3_600);

/// Silence after which a member of another domain is forgotten, if others of that domain are heard.
const FAR_MEMORY: Duration = Duration::from_secs(60);

/// Members of another domain that must be heard before a silent one is forgotten.
const LIVE_WITNESSES: usize = 2;

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
    let is_new =
        known.is_none_or(|member| member.suspected || member.incarnation < sender.incarnation);
    if is_new {
        outputs
            .push(Output::Emit(Event::of_kind(EventKind::PeerJoined).with_peer(sender.instance)));
    }
    let member = Member {
        incarnation: sender.incarnation,
        domain: sender.domain,
        address: sender.address,
        heard: tables.now,
        suspected: false,
        draining: heartbeat.draining,
        is_heard_here: true,
    };
    tables.members.insert(sender.instance, member);
    upstreams::apply_leaving_lines(tables, &heartbeat.leaving_upstreams, outputs);
    sheet_duties::apply_heartbeat(tables, sender, &heartbeat, outputs);
}

/// `run` sends heartbeats and suspects silent peers.
pub fn run(tables: &mut Tables, outputs: &mut Vec<Output>) {
    suspect_silent_members(tables, outputs);
    forget_gone_members(tables);
    let interval = paces::slowed(tables, tables.options.heartbeat_interval);
    let is_due = tables.heartbeat_sent.is_none_or(|sent| sent + interval <= tables.now);
    if !is_due {
        return;
    }
    tables.heartbeat_sent = Some(tables.now);
    let heartbeat = heartbeat(tables);
    for to in domain_addresses(tables) {
        outputs.push(Output::Send { to, message: Message::Heartbeat(heartbeat.clone()) });
    }
    far_members::run(tables, heartbeat, outputs);
}

/// `heartbeat` is what this instance says of itself.
pub fn heartbeat(tables: &Tables) -> Heartbeat {
    Heartbeat {
        sheet_version: tables.sheet.as_ref().map_or(0, |sheet| sheet.version),
        sheet_doubtful: tables.sheet_duty.doubt.is_some(),
        platform_lost: tables.sheet_duty.platform_lost,
        draining: tables.draining,
        leaving_upstreams: upstreams::leaving(tables)
            .into_iter()
            .filter_map(|upstream| upstreams::leaving_line(tables, upstream))
            .collect(),
    }
}

fn suspect_silent_members(tables: &mut Tables, outputs: &mut Vec<Output>) {
    let now = tables.now;
    let domain_timeout = paces::slowed(tables, tables.options.peer_timeout);
    for (instance, member) in &mut tables.members {
        let timeout = if member.domain == tables.options.domain {
            domain_timeout
        } else {
            far_members::TIMEOUT
        };
        if !member.suspected && member.heard + timeout < now {
            member.suspected = true;
            outputs
                .push(Output::Emit(Event::of_kind(EventKind::PeerSuspected).with_peer(*instance)));
        }
    }
}

// 1,100 instances are replaced a day. Kept for ever, each would go on to be sent heartbeats, until the
// instances talk to no one but the dead. A domain that is silent as a whole may only be cut off, and
// is kept: forgotten on both sides, two domains would never find each other again.
fn forget_gone_members(tables: &mut Tables) {
    let now = tables.now;
    let own = tables.options.domain;
    let is_due = tables.members_swept.is_none_or(|at| at + SWEEP_INTERVAL <= now);
    if !is_due {
        return;
    }
    tables.members_swept = Some(now);
    let mut live: HashMap<DomainId, usize> = HashMap::default();
    for member in tables.members.values().filter(|member| !member.suspected) {
        *live.entry(member.domain).or_default() += 1;
    }
    tables.members.retain(|_, member| {
        let kept = if member.domain == own { DOMAIN_MEMORY } else { FAR_MEMORY };
        let is_cut_off = live.get(&member.domain).copied().unwrap_or(0) < LIVE_WITNESSES;
        !member.suspected || now < member.heard + kept || is_cut_off && member.domain != own
    });
    let members = &tables.members;
    tables.sheet_duty.offers.retain(|instance, _| members.contains_key(instance));
}

fn domain_addresses(tables: &Tables) -> Vec<SocketAddr> {
    let mut addresses: Vec<SocketAddr> = tables
        .members
        .values()
        .filter(|member| member.domain == tables.options.domain)
        .map(|member| member.address)
        .collect();
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}

//! Membership: heartbeats between instances, and who is alive.

use std::net::SocketAddr;

use bergamotpitch_core::events::EventKind;

use crate::inputs::Sender;
use crate::messages::{Heartbeat, Message};
use crate::outputs::{Event, Output};
use crate::tables::{Member, Tables};
use crate::{far_members, sheet_duties, upstreams};

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
    let interval = tables.options.heartbeat_interval;
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
    for (instance, member) in &mut tables.members {
        let timeout = if member.domain == tables.options.domain {
            tables.options.peer_timeout
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

//! Detours: reports and grants that go over a third instance, because a link inside the domain lets
//! messages through one way only, or because instances disagree for a moment on who is the home.

use std::time::Duration;

use bergamotpitch_core::ids::{InstanceId, ServiceId};

use crate::fairness::leases::Leases;
use crate::fairness::share_messages::{RelayedGrant, RelayedReport, ShareReport};
use crate::fairness::{coordinators, share_reports};
use crate::inputs::Sender;
use crate::membership::intervals;
use crate::messages::Message;
use crate::outputs::Output;
use crate::tables::Tables;

/// Time without an answer from the home after which reports go over another instance.
const RELAY_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which the straight way is tried again.
const DIRECT_RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// `apply_report` takes a report as the home, or passes it on to the home.
///
/// Without this an instance that cannot hear the home would report to one that is not the home and
/// get no slots, and its teams would wait on the few that it still holds.
pub fn apply_report(
    tables: &mut Tables,
    sender: Sender,
    report: ShareReport,
    outputs: &mut Vec<Output>,
) {
    if tables.coordinators.contains_key(&report.service) {
        share_reports::apply_report(tables, sender, report, None);
        return;
    }
    let coordinator_id = coordinators::coordinator_of(tables, report.service);
    if coordinator_id == sender.instance || coordinator_id == tables.options.instance {
        return;
    }
    let Some(member) = tables.members.get(&coordinator_id) else { return };
    let relayed =
        RelayedReport { instance: sender.instance, incarnation: sender.incarnation, report };
    outputs.push(Output::Send { to: member.address, message: Message::RelayedReport(relayed) });
}

/// `apply_relayed_report` takes a report that came over another instance; it goes no further.
pub fn apply_relayed_report(tables: &mut Tables, sender: Sender, relayed: RelayedReport) {
    let from = Sender { instance: relayed.instance, incarnation: relayed.incarnation, ..sender };
    share_reports::apply_report(tables, from, relayed.report, Some(sender.instance));
}

/// `apply_relayed_grant` hands a grant on to the instance that it is for.
pub fn apply_relayed_grant(tables: &Tables, relayed: RelayedGrant, outputs: &mut Vec<Output>) {
    let Some(member) = tables.members.get(&relayed.instance) else { return };
    let message = Message::ShareGrant(relayed.grant);
    outputs.push(Output::Send { to: member.address, message });
}

/// `relayed_coordinator` is the home that is not heard straight, but answers over another instance.
///
/// Without this an instance behind a link that is cut one way would take the duty itself, and two
/// homes would grant the same slots for as long as the cut lasts.
pub fn relayed_coordinator(tables: &Tables, service: ServiceId) -> Option<InstanceId> {
    if !tables.options.share_guards.uses_relays {
        return None;
    }
    let leases = tables.leases.get(&service)?;
    let coordinator_id = leases.coordinator?;
    let member = tables.members.get(&coordinator_id)?;
    let is_responsive = leases.last_seen.is_some_and(|last_seen| {
        tables.now < last_seen + intervals::scaled(tables, RELAY_TIMEOUT) * 2
    });
    let is_same_incarnation =
        member.incarnation == leases.coordinator_incarnation && !member.draining;
    (member.suspected && is_same_incarnation && is_responsive).then_some(coordinator_id)
}

/// `update_relay` decides over which instance the next reports go.
pub fn update_relay(tables: &Tables, service: ServiceId, leases: &mut Leases) {
    let Some(coordinator_id) = leases.coordinator else { return };
    if coordinator_id == tables.options.instance || !tables.options.share_guards.uses_relays {
        return;
    }
    let Some(changed_at) = leases.relay_changed else {
        leases.relay_changed = Some(tables.now);
        return;
    };
    // Grants that still come say nothing of the reports; only a report that was seen does.
    let relay_timeout = intervals::scaled(tables, RELAY_TIMEOUT);
    let is_acknowledged = leases.acknowledged_at.is_some_and(|at| tables.now < at + relay_timeout);
    let wait_limit = if is_acknowledged { DIRECT_RETRY_INTERVAL } else { relay_timeout };
    let is_suspected = tables.members.get(&coordinator_id).is_none_or(|member| member.suspected);
    let keeps_route = is_acknowledged && (leases.relay.is_none() || is_suspected);
    if tables.now < changed_at + wait_limit || keeps_route {
        return;
    }
    leases.relay_changed = Some(tables.now);
    leases.relay = if is_acknowledged {
        None
    } else {
        next_relay(tables, service, coordinator_id, leases.relay)
    };
}

/// The detours are tried in turn, with the straight way between.
fn next_relay(
    tables: &Tables,
    service: ServiceId,
    coordinator_id: InstanceId,
    before: Option<InstanceId>,
) -> Option<InstanceId> {
    let mut others: Vec<InstanceId> = tables
        .members
        .iter()
        .filter(|(instance, member)| {
            **instance != coordinator_id
                && member.domain == tables.options.domain
                && !member.suspected
        })
        .map(|(instance, _)| *instance)
        .collect();
    others.sort_unstable_by_key(|instance| (coordinators::weight(*instance, service), *instance));
    let next = before.and_then(|before| others.iter().position(|other| *other == before));
    match next {
        Some(index) => others.get(index + 1).copied(),
        None => others.first().copied(),
    }
}

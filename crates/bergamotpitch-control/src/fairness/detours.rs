//! Detours: reports and grants that go over a third instance, because a link inside the domain lets
//! messages through one way only, or because instances disagree for a moment on who is the home.

use std::time::Duration;

use bergamotpitch_core::ids::{InstanceId, ServiceId};

use crate::fairness::leases::Leases;
use crate::fairness::share_messages::{PassedGrant, PassedReport, ShareReport};
use crate::fairness::{home_reports, homes};
use crate::inputs::Sender;
use crate::membership::intervals;
use crate::messages::Message;
use crate::outputs::Output;
use crate::tables::Tables;

/// Time without an answer from the home after which reports go over another instance.
const DETOUR_TIME: Duration = Duration::from_millis(700);

/// Time after which the straight way is tried again.
const STRAIGHT_TIME: Duration = Duration::from_secs(10);

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
    if tables.homes.contains_key(&report.service) {
        home_reports::apply_report(tables, sender, report, None);
        return;
    }
    let holder = homes::home_of(tables, report.service);
    if holder == sender.instance || holder == tables.options.instance {
        return;
    }
    let Some(member) = tables.members.get(&holder) else { return };
    let passed =
        PassedReport { instance: sender.instance, incarnation: sender.incarnation, report };
    outputs.push(Output::Send { to: member.address, message: Message::PassedReport(passed) });
}

/// `apply_passed_report` takes a report that came over another instance; it goes no further.
pub fn apply_passed_report(tables: &mut Tables, sender: Sender, passed: PassedReport) {
    let from = Sender { instance: passed.instance, incarnation: passed.incarnation, ..sender };
    home_reports::apply_report(tables, from, passed.report, Some(sender.instance));
}

/// `apply_passed_grant` hands a grant on to the instance that it is for.
pub fn apply_passed_grant(tables: &Tables, passed: PassedGrant, outputs: &mut Vec<Output>) {
    let Some(member) = tables.members.get(&passed.instance) else { return };
    let message = Message::ShareGrant(passed.grant);
    outputs.push(Output::Send { to: member.address, message });
}

/// `reached_home` is the home that is not heard straight, but answers over another instance.
///
/// Without this an instance behind a link that is cut one way would take the duty itself, and two
/// homes would grant the same slots for as long as the cut lasts.
pub fn reached_home(tables: &Tables, service: ServiceId) -> Option<InstanceId> {
    if !tables.options.share_guards.takes_detours {
        return None;
    }
    let known = tables.leases.get(&service)?;
    let holder = known.home?;
    let member = tables.members.get(&holder)?;
    let is_answered = known
        .heard
        .is_some_and(|heard| tables.now < heard + intervals::scaled(tables, DETOUR_TIME) * 2);
    let is_same = member.incarnation == known.home_incarnation && !member.draining;
    (member.suspected && is_same && is_answered).then_some(holder)
}

/// `settle` decides over which instance the next reports go.
pub fn settle(tables: &Tables, service: ServiceId, known: &mut Leases) {
    let Some(holder) = known.home else { return };
    if holder == tables.options.instance || !tables.options.share_guards.takes_detours {
        return;
    }
    let Some(settled) = known.detoured else {
        known.detoured = Some(tables.now);
        return;
    };
    // Grants that still come say nothing of the reports; only a report that was seen does.
    let detour_time = intervals::scaled(tables, DETOUR_TIME);
    let is_answered = known.answered.is_some_and(|at| tables.now < at + detour_time);
    let patience = if is_answered { STRAIGHT_TIME } else { detour_time };
    let is_unheard = tables.members.get(&holder).is_none_or(|member| member.suspected);
    let is_good = is_answered && (known.detour.is_none() || is_unheard);
    if tables.now < settled + patience || is_good {
        return;
    }
    known.detoured = Some(tables.now);
    known.detour =
        if is_answered { None } else { next_detour(tables, service, holder, known.detour) };
}

/// The detours are tried in turn, with the straight way between.
fn next_detour(
    tables: &Tables,
    service: ServiceId,
    holder: InstanceId,
    before: Option<InstanceId>,
) -> Option<InstanceId> {
    let mut others: Vec<InstanceId> = tables
        .members
        .iter()
        .filter(|(instance, member)| {
            **instance != holder && member.domain == tables.options.domain && !member.suspected
        })
        .map(|(instance, _)| *instance)
        .collect();
    others.sort_unstable_by_key(|instance| (homes::weight(*instance, service), *instance));
    let next = before.and_then(|before| others.iter().position(|other| *other == before));
    match next {
        Some(index) => others.get(index + 1).copied(),
        None => others.first().copied(),
    }
}

//! Fair shares: the systems that run each tick under the policy `fair`.

use std::time::Duration;

use bergamotpitch_core::ids::{InstanceId, ServiceId, TeamId};

use crate::admission::dispatches;
use crate::fairness::coordinators::{self, Coordinator};
use crate::fairness::leases::{self, Leases, held};
use crate::fairness::share_messages::ShareReport;
use crate::fairness::{accounts, domain_reports, grants, relays, share_reports, spills};
use crate::inputs::Sender;
use crate::membership::intervals;
use crate::messages::Message;
use crate::outputs::Output;
use crate::tables::{QueueKey, Tables};

/// `ShareGuards` are the rules that a proof switches off one by one; all are on by default.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareGuards {
    /// A team that was idle comes in at the lowest level of those that wait.
    pub raises_idle: bool,
    /// A home tells an instance that it does not know its adoption.
    pub refuses_unknown: bool,
    /// A lead beyond a limit becomes debt.
    pub caps_leads: bool,
    /// Reports that are not seen go over another instance.
    pub uses_relays: bool,
}

impl Default for ShareGuards {
    fn default() -> Self {
        Self { raises_idle: true, refuses_unknown: true, caps_leads: true, uses_relays: true }
    }
}

/// Time between two looks at who holds each duty.
const ASSIGNMENT_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a started instance listens for others before it holds a duty.
const LISTENING_TIME: Duration = Duration::from_millis(350);

/// Time between two steps from which on this instance was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// Time after which a report that was not seen is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);

/// An instance of a domain that is larger by this many than one of the full pace tells the home of a
/// team each time it has received the service of a mean request; one of a smaller domain tells in
/// proportion more often, and one of a domain of the full pace at each news.
///
/// Every running request has news several times a second. Told at each, a domain of 47 would send
/// its homes 140,000 lines a second, which is more than they have the time to read.
const INSTANCES_PER_REPORT_STEP: u64 = 64;

/// `run` hands over, reports, grants, and hands over what was granted to this instance itself.
pub fn run(tables: &mut Tables, outputs: &mut Vec<Output>) {
    let last = tables.shares_run.replace(tables.now);
    // An instance that wakes from a pause has heard nobody for a while. It would take itself for
    // the only one left and grant itself every slot, so it listens first, like a fresh one.
    if last.is_some_and(|last| last + PAUSE_THRESHOLD < tables.now) {
        tables.started = Some(tables.now);
        tables.coordinators.clear();
    }
    let started = *tables.started.get_or_insert(tables.now);
    // A restarted instance that has heard nobody would take itself for the home and grant every
    // slot a second time.
    let is_listening =
        !tables.options.first_peers.is_empty() && tables.now < started + LISTENING_TIME;
    if is_listening {
        return;
    }
    assign_coordinators(tables);
    record_charges(tables);
    let services = tables.index.services.clone();
    for service in services {
        run_service(tables, service, outputs);
    }
}

fn run_service(tables: &mut Tables, service: ServiceId, outputs: &mut Vec<Output>) {
    dispatches::run_leased(tables, service, outputs);
    report(tables, service, outputs);
    let Some(mut coordinator) = tables.coordinators.remove(&service) else { return };
    recover(tables, service, &mut coordinator);
    spills::extrapolate(tables, service, &mut coordinator);
    grants::run(tables, service, &mut coordinator, outputs);
    domain_reports::run(tables, service, &mut coordinator, outputs);
    let own = tables.options.instance;
    let grant = coordinator
        .routers
        .contains_key(&own)
        .then(|| grants::build_grant(tables, service, &mut coordinator, own));
    tables.coordinators.insert(service, coordinator);
    if let Some(grant) = grant {
        leases::apply_grant(tables, own, grant);
        dispatches::run_leased(tables, service, outputs);
    }
}

fn assign_coordinators(tables: &mut Tables) {
    let is_due = tables.duties_checked.is_none_or(|at| at + ASSIGNMENT_INTERVAL <= tables.now);
    if !is_due {
        return;
    }
    tables.duties_checked = Some(tables.now);
    intervals::count_instances(tables);
    let own = tables.options.instance;
    for service in tables.index.services.clone() {
        let coordinator_id = relays::relayed_coordinator(tables, service)
            .unwrap_or_else(|| coordinators::coordinator_of(tables, service));
        let incarnation = if coordinator_id == own {
            tables.options.incarnation
        } else {
            tables.members.get(&coordinator_id).map_or(0, |member| member.incarnation)
        };
        let own_incarnation = tables.options.incarnation;
        let leases = tables.leases.entry(service).or_default();
        let takes_over = coordinator_id == own && !tables.coordinators.contains_key(&service);
        if takes_over
            || leases.coordinator != Some(coordinator_id)
            || leases.coordinator_incarnation != incarnation
        {
            leases::register(leases, coordinator_id, incarnation, own_incarnation);
        }
        if coordinator_id != own {
            tables.coordinators.remove(&service);
        } else if takes_over {
            let coordinator = new_coordinator(tables, service);
            tables.coordinators.insert(service, coordinator);
        }
    }
}

fn new_coordinator(tables: &Tables, service: ServiceId) -> Coordinator {
    let now_ms = tables.now.as_millis() as u32;
    let incarnation_hash =
        coordinators::weight(tables.options.instance, tables.options.incarnation as u32);
    let epoch = (coordinators::weight(incarnation_hash as u32 ^ service, now_ms) as u32).max(1);
    Coordinator { epoch, since: tables.now, ..Coordinator::default() }
}

/// A new home hears what each member holds before it grants, so that slots are not granted twice.
fn recover(tables: &Tables, service: ServiceId, coordinator: &mut Coordinator) {
    if coordinator.recovered {
        return;
    }
    let mut members = tables
        .members
        .iter()
        .filter(|(_, member)| member.domain == tables.options.domain && !member.suspected);
    let all_heard = members.all(|(instance, _)| coordinator.routers.contains_key(instance));
    if all_heard
        || coordinator.since + intervals::scaled(tables, coordinators::RECOVERY_TIME) <= tables.now
    {
        let limit = tables.options.lead_limit_requests;
        coordinators::end_recovery(coordinator, grants::requests_level(tables, service, limit));
        let estimate = accounts::service_estimate(tables, service);
        for team in coordinator.teams.keys().copied().collect::<Vec<TeamId>>() {
            coordinators::reindex(coordinator, &tables.teams, team, estimate);
        }
    }
    coordinator.changed = true;
}

/// Only teams that were charged are looked at; a tick costs nothing for the thousands that rest. A
/// charge that is small against a request is told with the next larger one: told one by one, the
/// progress of each running request would be most of the traffic inside a domain.
fn record_charges(tables: &mut Tables) {
    let charged = std::mem::take(&mut tables.charged);
    for key in charged {
        let estimate = accounts::service_estimate(tables, key.service);
        let excess_instances =
            tables.domain_instances.saturating_sub(intervals::INSTANCES_PER_SCALE_STEP);
        let scaled_step_cost = estimate * u64::from(excess_instances) / INSTANCES_PER_REPORT_STEP;
        let step_cost = (estimate as f64 * tables.options.report_step_requests) as u64;
        let step_cost = step_cost.max(scaled_step_cost);
        let leases = tables.leases.entry(key.service).or_default();
        let next = leases.sequence + 1;
        let team = leases.teams.entry(key.team).or_default();
        team.base_cost.get_or_insert(team.recorded_cost);
        team.recorded_cost = tables.accounts.get(&key).copied().unwrap_or(0);
        if step_cost <= team.recorded_cost.abs_diff(team.reported_cost) {
            team.changed = next;
            leases.changed = true;
        }
    }
}

fn report(tables: &mut Tables, service: ServiceId, outputs: &mut Vec<Output>) {
    let Some(mut leases) = tables.leases.remove(&service) else { return };
    record_waiting(tables, service, &mut leases);
    relays::update_relay(tables, service, &mut leases);
    let own = tables.options.instance;
    if let Some(coordinator_id) = leases.coordinator
        && is_due(tables, &leases, coordinator_id)
    {
        let idle = idle_slots(tables, &leases);
        let report = leases::report(tables, service, &mut leases, idle);
        send_report(tables, leases.relay.unwrap_or(coordinator_id), report, outputs);
        if coordinator_id == own {
            leases.acknowledged_sequence = leases.sequence;
        }
    }
    tables.leases.insert(service, leases);
}

fn is_due(tables: &Tables, leases: &Leases, coordinator_id: InstanceId) -> bool {
    if coordinator_id == tables.options.instance {
        return leases.changed || leases.urgent || leases.sequence == 0;
    }
    let waited = |time: Duration| leases.sent.is_none_or(|sent| sent + time <= tables.now);
    let is_unacknowledged = leases.acknowledged_sequence < leases.sequence;
    leases.urgent && waited(intervals::scaled(tables, tables.options.share_spacing))
        || leases.changed && waited(intervals::scaled(tables, tables.options.share_interval))
        || (is_unacknowledged || leases.sequence == 0)
            && waited(intervals::scaled(tables, RESEND_INTERVAL))
}

fn send_report(
    tables: &mut Tables,
    coordinator_id: InstanceId,
    report: ShareReport,
    outputs: &mut Vec<Output>,
) {
    if coordinator_id == tables.options.instance {
        let options = &tables.options;
        let address = std::net::SocketAddr::from(([0, 0, 0, 0], 0));
        let sender = Sender {
            instance: options.instance,
            incarnation: options.incarnation,
            domain: options.domain,
            address,
        };
        share_reports::apply_report(tables, sender, report, None);
        return;
    }
    let Some(member) = tables.members.get(&coordinator_id) else { return };
    let to = member.address;
    outputs.push(Output::Send { to, message: Message::ShareReport(report) });
}

/// `idle_slots` counts leased slots that run nothing.
pub fn idle_slots(tables: &Tables, leases: &Leases) -> u32 {
    leases
        .slots
        .iter()
        .map(|(upstream, lease)| {
            let running = tables.upstreams.get(upstream).map_or(0, |entry| entry.running_requests);
            held(lease).saturating_sub(running)
        })
        .sum()
}

fn record_waiting(tables: &Tables, service: ServiceId, leases: &mut Leases) {
    let next = leases.sequence + 1;
    let now_waiting: Vec<(TeamId, u32)> = tables
        .queues
        .iter()
        .filter(|(key, queue)| key.service == service && !queue.is_empty())
        .map(|(key, queue)| (key.team, queue.len() as u32))
        .collect();
    let ended: Vec<TeamId> = leases
        .waiting
        .iter()
        .filter(|team| {
            let key = QueueKey { service, team: **team };
            tables.queues.get(&key).is_none_or(|queue| queue.is_empty())
        })
        .copied()
        .collect();
    for team in ended {
        leases.waiting.remove(&team);
        let entry = leases.teams.entry(team).or_default();
        entry.waiting_requests = 0;
        entry.changed = next;
        leases.changed = true;
    }
    for (team, count) in now_waiting {
        let entry = leases.teams.entry(team).or_default();
        let reported = entry.waiting_requests;
        // The home needs to know that a team waits and roughly how deep its queue is.
        let is_significant = reported == 0 || reported / 4 < reported.abs_diff(count);
        if is_significant && reported != count {
            entry.waiting_requests = count;
            entry.changed = next;
            leases.changed = true;
            leases.urgent |= reported == 0;
        }
        leases.waiting.insert(team);
    }
}

//! Fair shares: the systems that run each tick under the policy `fair`.

use std::time::Duration;

use bergamotpitch_core::ids::{InstanceId, ServiceId, TeamId};

use crate::admission::dispatches;
use crate::fairness::homes::{self, Home};
use crate::fairness::leases::{self, Leases, held};
use crate::fairness::share_messages::ShareReport;
use crate::fairness::{accounts, detours, domain_reports, grants, home_reports, spills};
use crate::inputs::Sender;
use crate::membership::intervals;
use crate::messages::Message;
use crate::outputs::Output;
use crate::tables::{QueueKey, Tables};

/// `ShareGuards` are the rules that a proof switches off one by one; all are on by default.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareGuards {
    /// A team that was idle comes in at the lowest level of those that wait.
    pub lifts_idle: bool,
    /// A home tells an instance that it does not know its adoption.
    pub refuses_unknown: bool,
    /// A lead beyond a limit becomes debt.
    pub caps_leads: bool,
    /// Reports that are not seen go over another instance.
    pub takes_detours: bool,
}

impl Default for ShareGuards {
    fn default() -> Self {
        Self { lifts_idle: true, refuses_unknown: true, caps_leads: true, takes_detours: true }
    }
}

/// Time between two looks at who holds each duty.
const DUTY_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a started instance listens for others before it holds a duty.
const LISTENING_TIME: Duration = Duration::from_millis(350);

/// Time between two steps from which on this instance was paused.
const PAUSE_TIME: Duration = Duration::from_millis(500);

/// Time after which a report that was not seen is sent again.
const REPEAT_TIME: Duration = Duration::from_millis(300);

/// An instance of a domain that is larger by this many than one of the full pace tells the home of a
/// team each time it has received the service of a mean request; one of a smaller domain tells in
/// proportion more often, and one of a domain of the full pace at each news.
///
/// Every running request has news several times a second. Told at each, a domain of 47 would send
/// its homes 140,000 lines a second, which is more than they have the time to read.
const TOLD_ROUTERS: u64 = 64;

/// `run` hands over, reports, grants, and hands over what was granted to this instance itself.
pub fn run(tables: &mut Tables, outputs: &mut Vec<Output>) {
    let last = tables.shares_run.replace(tables.now);
    // An instance that wakes from a pause has heard nobody for a while. It would take itself for
    // the only one left and grant itself every slot, so it listens first, like a fresh one.
    if last.is_some_and(|last| last + PAUSE_TIME < tables.now) {
        tables.started = Some(tables.now);
        tables.homes.clear();
    }
    let started = *tables.started.get_or_insert(tables.now);
    // A restarted instance that has heard nobody would take itself for the home and grant every
    // slot a second time.
    let is_listening =
        !tables.options.first_peers.is_empty() && tables.now < started + LISTENING_TIME;
    if is_listening {
        return;
    }
    assign_duties(tables);
    note_charges(tables);
    let services = tables.index.services.clone();
    for service in services {
        run_service(tables, service, outputs);
    }
}

fn run_service(tables: &mut Tables, service: ServiceId, outputs: &mut Vec<Output>) {
    dispatches::run_leased(tables, service, outputs);
    report(tables, service, outputs);
    let Some(mut home) = tables.homes.remove(&service) else { return };
    recover(tables, service, &mut home);
    spills::extrapolate(tables, service, &mut home);
    grants::run(tables, service, &mut home, outputs);
    domain_reports::run(tables, service, &mut home, outputs);
    let own = tables.options.instance;
    let grant = home
        .routers
        .contains_key(&own)
        .then(|| grants::build_grant(tables, service, &mut home, own));
    tables.homes.insert(service, home);
    if let Some(grant) = grant {
        leases::apply_grant(tables, own, grant);
        dispatches::run_leased(tables, service, outputs);
    }
}

fn assign_duties(tables: &mut Tables) {
    let is_due = tables.duties_checked.is_none_or(|at| at + DUTY_INTERVAL <= tables.now);
    if !is_due {
        return;
    }
    tables.duties_checked = Some(tables.now);
    intervals::count_instances(tables);
    let own = tables.options.instance;
    for service in tables.index.services.clone() {
        let holder = detours::reached_home(tables, service)
            .unwrap_or_else(|| homes::home_of(tables, service));
        let incarnation = if holder == own {
            tables.options.incarnation
        } else {
            tables.members.get(&holder).map_or(0, |member| member.incarnation)
        };
        let own_incarnation = tables.options.incarnation;
        let known = tables.leases.entry(service).or_default();
        let begins = holder == own && !tables.homes.contains_key(&service);
        if begins || known.home != Some(holder) || known.home_incarnation != incarnation {
            leases::adopt(known, holder, incarnation, own_incarnation);
        }
        if holder != own {
            tables.homes.remove(&service);
        } else if begins {
            let home = begin(tables, service);
            tables.homes.insert(service, home);
        }
    }
}

fn begin(tables: &Tables, service: ServiceId) -> Home {
    let now_ms = tables.now.as_millis() as u32;
    let life = homes::weight(tables.options.instance, tables.options.incarnation as u32);
    let epoch = (homes::weight(life as u32 ^ service, now_ms) as u32).max(1);
    Home { epoch, since: tables.now, ..Home::default() }
}

/// A new home hears what each member holds before it grants, so that slots are not granted twice.
fn recover(tables: &Tables, service: ServiceId, home: &mut Home) {
    if home.recovered {
        return;
    }
    let mut members = tables
        .members
        .iter()
        .filter(|(_, member)| member.domain == tables.options.domain && !member.suspected);
    let all_heard = members.all(|(instance, _)| home.routers.contains_key(instance));
    if all_heard || home.since + intervals::scaled(tables, homes::RECOVERY_TIME) <= tables.now {
        let limit = tables.options.lead_limit_requests;
        homes::end_recovery(home, grants::requests_level(tables, service, limit));
        let estimate = accounts::service_estimate(tables, service);
        for team in home.teams.keys().copied().collect::<Vec<TeamId>>() {
            homes::reindex(home, &tables.teams, team, estimate);
        }
    }
    home.changed = true;
}

/// Only teams that were charged are looked at; a tick costs nothing for the thousands that rest. A
/// charge that is small against a request is told with the next larger one: told one by one, the
/// progress of each running request would be most of the traffic inside a domain.
fn note_charges(tables: &mut Tables) {
    let charged = std::mem::take(&mut tables.charged);
    for key in charged {
        let estimate = accounts::service_estimate(tables, key.service);
        let crowd = tables.domain_instances.saturating_sub(intervals::INSTANCES_PER_SCALE_STEP);
        let crowd_step_cost = estimate * u64::from(crowd) / TOLD_ROUTERS;
        let step_cost = (estimate as f64 * tables.options.report_step_requests) as u64;
        let step_cost = step_cost.max(crowd_step_cost);
        let known = tables.leases.entry(key.service).or_default();
        let next = known.sequence + 1;
        let team = known.teams.entry(key.team).or_default();
        team.base_cost.get_or_insert(team.noted_cost);
        team.noted_cost = tables.accounts.get(&key).copied().unwrap_or(0);
        if step_cost <= team.noted_cost.abs_diff(team.told_cost) {
            team.changed = next;
            known.changed = true;
        }
    }
}

fn report(tables: &mut Tables, service: ServiceId, outputs: &mut Vec<Output>) {
    let Some(mut known) = tables.leases.remove(&service) else { return };
    note_waiting(tables, service, &mut known);
    detours::settle(tables, service, &mut known);
    let own = tables.options.instance;
    if let Some(holder) = known.home
        && is_due(tables, &known, holder)
    {
        let idle = idle_slots(tables, &known);
        let report = leases::report(tables, service, &mut known, idle);
        send_report(tables, known.detour.unwrap_or(holder), report, outputs);
        if holder == own {
            known.seen = known.sequence;
        }
    }
    tables.leases.insert(service, known);
}

fn is_due(tables: &Tables, known: &Leases, holder: InstanceId) -> bool {
    if holder == tables.options.instance {
        return known.changed || known.urgent || known.sequence == 0;
    }
    let waited = |time: Duration| known.sent.is_none_or(|sent| sent + time <= tables.now);
    let is_unseen = known.seen < known.sequence;
    known.urgent && waited(intervals::scaled(tables, tables.options.share_spacing))
        || known.changed && waited(intervals::scaled(tables, tables.options.share_interval))
        || (is_unseen || known.sequence == 0) && waited(intervals::scaled(tables, REPEAT_TIME))
}

fn send_report(
    tables: &mut Tables,
    holder: InstanceId,
    report: ShareReport,
    outputs: &mut Vec<Output>,
) {
    if holder == tables.options.instance {
        let options = &tables.options;
        let address = std::net::SocketAddr::from(([0, 0, 0, 0], 0));
        let sender = Sender {
            instance: options.instance,
            incarnation: options.incarnation,
            domain: options.domain,
            address,
        };
        home_reports::apply_report(tables, sender, report, None);
        return;
    }
    let Some(member) = tables.members.get(&holder) else { return };
    let to = member.address;
    outputs.push(Output::Send { to, message: Message::ShareReport(report) });
}

/// `idle_slots` counts leased slots that run nothing.
pub fn idle_slots(tables: &Tables, known: &Leases) -> u32 {
    known
        .slots
        .iter()
        .map(|(upstream, lease)| {
            let running = tables.upstreams.get(upstream).map_or(0, |entry| entry.running_requests);
            held(lease).saturating_sub(running)
        })
        .sum()
}

fn note_waiting(tables: &Tables, service: ServiceId, known: &mut Leases) {
    let next = known.sequence + 1;
    let now_waiting: Vec<(TeamId, u32)> = tables
        .queues
        .iter()
        .filter(|(key, queue)| key.service == service && !queue.is_empty())
        .map(|(key, queue)| (key.team, queue.len() as u32))
        .collect();
    let ended: Vec<TeamId> = known
        .waiting
        .iter()
        .filter(|team| {
            let key = QueueKey { service, team: **team };
            tables.queues.get(&key).is_none_or(|queue| queue.is_empty())
        })
        .copied()
        .collect();
    for team in ended {
        known.waiting.remove(&team);
        let entry = known.teams.entry(team).or_default();
        entry.waiting_requests = 0;
        entry.changed = next;
        known.changed = true;
    }
    for (team, count) in now_waiting {
        let entry = known.teams.entry(team).or_default();
        let told = entry.waiting_requests;
        // The home needs to know that a team waits and roughly how deep its queue is.
        let is_news = told == 0 || told / 4 < told.abs_diff(count);
        if is_news && told != count {
            entry.waiting_requests = count;
            entry.changed = next;
            known.changed = true;
            known.urgent |= told == 0;
        }
        known.waiting.insert(team);
    }
}

//! Statuses: what an operator is shown of the control state.

use std::collections::VecDeque;

use bergamotpitch_control::Tables;
use bergamotpitch_control::outputs::Event;
use bergamotpitch_control::tables::RequestState;
use bergamotpitch_core::events::EventRecord;
use bergamotpitch_core::ids::RequestId;
use bergamotpitch_core::units::{CostUnits, Timestamp};
use serde::Serialize;

use crate::contexts::{Context, unix_time_us};
use crate::events::record_of_event;

/// Events that are kept to explain requests.
const RECENT_EVENTS: usize = 20_000;

/// `Status` is the state of a router.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: String,
    /// Its present life.
    pub incarnation: u64,
    /// Name of the failure domain that it stands in.
    pub domain: String,
    /// Version of the sheet in force; 0 when there is none.
    pub sheet_version: u64,
    /// True when the balancer should send requests here.
    pub ready: bool,
    /// True when the instance is leaving.
    pub draining: bool,
    /// Requests that wait here.
    pub queued_requests: usize,
    /// Requests that run here.
    pub running_requests: usize,
    /// Bytes of the bodies that are held here.
    pub held_bytes: u64,
    /// Events that did not get into the event file.
    pub dropped_events: u64,
    /// Other instances.
    pub members: Vec<MemberStatus>,
    /// Upstreams of the sheet in force.
    pub upstreams: Vec<UpstreamStatus>,
    /// Teams that wait here or were served here.
    pub teams: Vec<TeamStatus>,
}

/// `MemberStatus` is what is known of another instance.
#[derive(Debug, Clone, Serialize)]
pub struct MemberStatus {
    /// Id of the instance.
    pub instance: u32,
    /// Where it is reached.
    pub address: String,
    /// Time since it was last heard, in milliseconds.
    pub silent_ms: u64,
    /// True when it has been silent for longer than the timeout.
    pub suspected: bool,
    /// True when it is draining.
    pub draining: bool,
}

/// `UpstreamStatus` is what is known of an upstream.
#[derive(Debug, Clone, Serialize)]
pub struct UpstreamStatus {
    /// Name of the upstream.
    pub name: String,
    /// Requests it can run at once.
    pub slots: u32,
    /// Requests that this instance has handed to it.
    pub running_requests: u32,
    /// True when it gets no new work because it is leaving.
    pub leaving: bool,
    /// True when it gets no new work because it failed.
    pub failing: bool,
}

/// `TeamStatus` is what is known of a team here.
#[derive(Debug, Clone, Serialize)]
pub struct TeamStatus {
    /// Name of the team.
    pub name: String,
    /// Requests that wait here.
    pub waiting_requests: u32,
    /// Bytes of bodies that wait here.
    pub waiting_bytes: u64,
    /// Service received here, in cost units.
    pub service_cost: CostUnits,
}

/// `Explanation` is what became of a request.
#[derive(Debug, Clone, Serialize)]
pub struct Explanation {
    /// The request, as callers see it.
    pub request: String,
    /// What happened to it, oldest first; empty when it is not known here, or no longer.
    pub events: Vec<EventRecord>,
}

/// `status_of_tables` shows the control state.
pub fn status_of_tables(context: &Context, tables: &Tables) -> Status {
    let queued =
        tables.requests.values().filter(|request| request.state == RequestState::Queued).count();
    Status {
        instance: context.settings.instance.clone(),
        incarnation: context.incarnation,
        domain: context.settings.domain.clone(),
        sheet_version: tables.sheet.as_ref().map_or(0, |sheet| sheet.version),
        ready: context.is_ready(),
        draining: tables.draining,
        queued_requests: queued,
        running_requests: tables.requests.len() - queued,
        held_bytes: context.held_bytes(),
        dropped_events: context.events.dropped(),
        members: members(tables),
        upstreams: upstreams(context, tables),
        teams: teams(context, tables),
    }
}

fn members(tables: &Tables) -> Vec<MemberStatus> {
    let mut members: Vec<MemberStatus> = tables
        .members
        .iter()
        .map(|(instance, member)| MemberStatus {
            instance: *instance,
            address: member.address.to_string(),
            silent_ms: tables.now.saturating_sub(member.heard).as_millis() as u64,
            suspected: member.suspected,
            draining: member.draining,
        })
        .collect();
    members.sort_by_key(|member| member.instance);
    members
}

fn upstreams(context: &Context, tables: &Tables) -> Vec<UpstreamStatus> {
    let snapshot = context.snapshot.load();
    let mut upstreams: Vec<UpstreamStatus> = tables
        .upstreams
        .iter()
        .map(|(id, upstream)| UpstreamStatus {
            name: snapshot.upstream(*id).map_or_else(|| id.to_string(), |known| known.name.clone()),
            slots: upstream.slots,
            running_requests: upstream.running_requests,
            leaving: upstream.leaving,
            failing: upstream.failing_until.is_some_and(|until| tables.now < until),
        })
        .collect();
    upstreams.sort_by(|left, right| left.name.cmp(&right.name));
    upstreams
}

fn teams(context: &Context, tables: &Tables) -> Vec<TeamStatus> {
    let snapshot = context.snapshot.load();
    let mut teams: Vec<TeamStatus> = tables
        .teams
        .iter()
        .map(|(id, team)| TeamStatus {
            name: snapshot.team(*id).map_or_else(|| id.to_string(), |known| known.name.clone()),
            waiting_requests: team.waiting_requests,
            waiting_bytes: team.waiting_bytes,
            service_cost: tables
                .accounts
                .iter()
                .filter(|(key, _)| key.team == *id)
                .map(|(_, cost)| *cost)
                .sum(),
        })
        .filter(|team| team.waiting_requests != 0 || team.service_cost != 0)
        .collect();
    teams.sort_by(|left, right| left.name.cmp(&right.name));
    teams
}

/// `Recent` keeps the latest events, from which requests are explained.
#[derive(Debug, Default)]
pub struct Recent {
    events: VecDeque<(u64, Event)>,
}

impl Recent {
    /// `note` keeps an event of a request.
    pub fn note(&mut self, _now: Timestamp, event: &Event) {
        if event.request.is_none() {
            return;
        }
        if RECENT_EVENTS <= self.events.len() {
            self.events.pop_front();
        }
        self.events.push_back((unix_time_us(), event.clone()));
    }

    /// `explain` tells what became of a request.
    pub fn explain(&self, context: &Context, request: RequestId) -> Explanation {
        let events = self
            .events
            .iter()
            .filter(|(_, event)| event.request == Some(request))
            .map(|(time_us, event)| record_of_event(context, *time_us, event.clone()))
            .collect();
        Explanation { request: context.request_name(request), events }
    }
}

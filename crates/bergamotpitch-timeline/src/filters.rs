//! Filters: which events a time line shows.

use bergamotpitch_core::events::{EventKind, EventRecord};

/// `Filter` keeps the events that match every part that is given.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Filter {
    /// Request that the event is about.
    pub request: Option<String>,
    /// Team that the event is about, or whose request it is about.
    pub team: Option<String>,
    /// Process that wrote the event, or upstream or peer that it is about.
    pub instance: Option<String>,
    /// Kind of the event.
    pub kind: Option<EventKind>,
}

/// `filter_events` returns the events that a filter keeps.
///
/// An event that names a request but no team belongs to the team that another event of the same
/// process names for that request; otherwise a team's time line would lack the ends of its requests.
///
/// ```
/// use bergamotpitch_timeline::filters::{Filter, filter_events};
/// assert!(filter_events(Vec::new(), &Filter::default()).is_empty());
/// ```
pub fn filter_events(events: Vec<EventRecord>, filter: &Filter) -> Vec<EventRecord> {
    let requests = team_requests(&events, filter);
    events.into_iter().filter(|event| keeps(filter, &requests, event)).collect()
}

type TeamRequests = bergamotpitch_core::HashSet<(String, String)>;

fn team_requests(events: &[EventRecord], filter: &Filter) -> TeamRequests {
    let Some(team) = &filter.team else { return TeamRequests::default() };
    events
        .iter()
        .filter(|event| event.team.as_ref() == Some(team))
        .filter_map(|event| Some((event.process.clone(), event.request.clone()?)))
        .collect()
}

fn keeps(filter: &Filter, requests: &TeamRequests, event: &EventRecord) -> bool {
    let is_request = filter.request.is_none() || event.request == filter.request;
    let is_kind = filter.kind.is_none_or(|kind| event.kind == kind);
    is_request && is_kind && keeps_team(filter, requests, event) && keeps_instance(filter, event)
}

fn keeps_team(filter: &Filter, requests: &TeamRequests, event: &EventRecord) -> bool {
    if filter.team.is_none() || event.team == filter.team {
        return true;
    }
    let Some(request) = &event.request else { return false };
    event.team.is_none() && requests.contains(&(event.process.clone(), request.clone()))
}

fn keeps_instance(filter: &Filter, event: &EventRecord) -> bool {
    let Some(instance) = &filter.instance else { return true };
    event.process == *instance
        || event.upstream.as_ref() == Some(instance)
        || event.peer.as_ref() == Some(instance)
}

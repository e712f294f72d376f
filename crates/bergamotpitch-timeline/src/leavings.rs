//! Leaving upstreams: how long they still got new work.

use std::collections::BTreeMap;
use std::fmt::Write;

use bergamotpitch_core::events::{EventKind, EventRecord};

/// `Leaving` is one leave of an upstream, from its first notice until it is back or the events end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leaving {
    /// The upstream.
    pub upstream: String,
    /// When the first process knew of it, in microseconds since the Unix epoch.
    pub first_us: u64,
    /// When the last process knew of it.
    pub last_us: u64,
    /// Processes that knew of it.
    pub processes: u32,
    /// When it was last given a request after the first notice; absent when it never was.
    pub last_request_us: Option<u64>,
}

/// `leavings` finds every leave in merged events.
pub fn leavings(events: &[EventRecord]) -> Vec<Leaving> {
    let mut open: BTreeMap<&str, Leaving> = BTreeMap::new();
    let mut ended = Vec::new();
    for event in events {
        let Some(upstream) = event.upstream.as_deref() else { continue };
        match event.kind {
            EventKind::UpstreamLeaving => {
                let leaving = open.entry(upstream).or_insert_with(|| Leaving {
                    upstream: upstream.to_owned(),
                    first_us: event.time_us,
                    last_us: event.time_us,
                    processes: 0,
                    last_request_us: None,
                });
                leaving.last_us = event.time_us;
                leaving.processes += 1;
            }
            EventKind::RequestDispatched => {
                if let Some(leaving) = open.get_mut(upstream) {
                    leaving.last_request_us = Some(event.time_us);
                }
            }
            EventKind::UpstreamBack => ended.extend(open.remove(upstream)),
            _ => {}
        }
    }
    ended.extend(open.into_values());
    ended
}

/// `render_leavings` writes one leave a line.
///
/// ```
/// use bergamotpitch_timeline::leavings::render_leavings;
/// assert_eq!(render_leavings(&[]), "no upstream left\n");
/// ```
pub fn render_leavings(events: &[EventRecord]) -> String {
    let leavings = leavings(events);
    if leavings.is_empty() {
        return "no upstream left\n".to_owned();
    }
    let mut text = String::new();
    for leaving in leavings {
        let since_first = |time_us: u64| (time_us - leaving.first_us) as f64 / 1e6;
        let request = match leaving.last_request_us {
            None => "no request after the first notice".to_owned(),
            Some(time_us) => format!("last request after {:.3} s", since_first(time_us)),
        };
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "{}: {request}; known at {} processes, the last after {:.3} s",
            leaving.upstream,
            leaving.processes,
            since_first(leaving.last_us)
        );
    }
    text
}

//! Cache events: what an engine tells of its prefix cache, late and with gaps.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::bodies::query_value;
use crate::prefixes::CacheChange;

/// Events that an engine keeps for those who ask late.
const EVENT_LIMIT: usize = 4_096;

/// `CacheOptions` say how an engine publishes changes of its prefix cache.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CacheOptions {
    /// Age at which an event is published, in milliseconds.
    pub event_lag_ms: u64,
    /// One event in this many is never published; 0 means that none is missing.
    pub gap_every: u64,
}

/// `CacheEvents` are the events that an engine has published or will publish.
#[derive(Debug, Default)]
pub struct CacheEvents {
    events: Vec<(Instant, CacheEvent)>,
    last_number: u64,
}

/// `CacheEvent` is one published change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the change; a missing number is a gap.
    pub number: u64,
    /// The change.
    pub change: CacheChange,
}

/// `publish_changes` adds changes to those that will be published.
pub fn publish_changes(
    events: &mut CacheEvents,
    options: &CacheOptions,
    changes: &[CacheChange],
    now: Instant,
) {
    for change in changes {
        events.last_number += 1;
        let number = events.last_number;
        let is_gap = 0 < options.gap_every && number.is_multiple_of(options.gap_every);
        if !is_gap {
            events.events.push((now, CacheEvent { number, change: *change }));
        }
    }
    if EVENT_LIMIT * 2 < events.events.len() {
        events.events.drain(..EVENT_LIMIT);
    }
}

/// `visible_events` returns the published events after the number that the query's `after` names.
pub fn visible_events(
    events: &CacheEvents,
    options: &CacheOptions,
    query: &str,
    now: Instant,
) -> Vec<CacheEvent> {
    let after = query_value(query, "after").and_then(|text| text.parse().ok()).unwrap_or(0);
    let lag = Duration::from_millis(options.event_lag_ms);
    events
        .events
        .iter()
        .filter(|(time, event)| *time + lag <= now && after < event.number)
        .map(|(_, event)| *event)
        .collect()
}

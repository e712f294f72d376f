//! Upstreams: which are live, leaving or failing, and which may be given work.
//!
//! That an upstream is leaving is learned from the platform's list, from its own answers and load
//! reports, or from a peer, whichever comes first. It is believed for a time after the latest
//! evidence, so that it is withdrawn by itself when no evidence comes any more: a single report that
//! says otherwise may be older than the notice and withdraws nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::{ServiceId, SheetVersion, UpstreamId, id_of_name};
use bergamotpitch_core::units::Timestamp;

use crate::admission::limits::jitter;
use crate::inputs::{ListedInstance, LoadReport};
use crate::messages::LeavingLine;
use crate::outputs::{Event, Output};
use crate::tables::{Tables, Upstream};

/// Time for which an upstream that failed gets no new work; it doubles with each failure in a row.
/// It is longer than the pause before a first retry, so that the retry goes elsewhere.
const FAILING_PAUSE: Duration = Duration::from_millis(250);

/// Longest time for which an upstream that failed gets no new work.
const FAILING_PAUSE_LIMIT: Duration = Duration::from_secs(5);

/// Time for which an upstream is taken to be leaving after the latest evidence.
pub const LEAVING_HOLD: Duration = Duration::from_secs(30);

/// Difference by which a peer's evidence must be newer to count. A mark that travels between
/// instances gains the time of the way; without this margin two of them could keep it for ever.
const PEER_NOTICE_MARGIN: Duration = Duration::from_secs(1);

/// Marks kept at most; a peer that names upstreams without end must not fill the memory.
const LEAVING_LIMIT: usize = 8_192;

/// `HealthTable` is what is known of upstreams beside the sheet.
#[derive(Debug, Default)]
pub struct HealthTable {
    /// Failures in a row, by upstream.
    pub failures: HashMap<UpstreamId, u32>,
    /// When an upstream last sent some of an answer to this instance.
    pub last_answer: HashMap<UpstreamId, Timestamp>,
    /// Time of the latest evidence that an upstream is leaving.
    pub leaving: BTreeMap<UpstreamId, Timestamp>,
    /// Marks that became known and have not been told to peers.
    pub unannounced: Vec<UpstreamId>,
    applied_version: SheetVersion,
}

/// `apply_load_report` takes over what an upstream says of itself.
pub fn apply_load_report(
    tables: &mut Tables,
    upstream: UpstreamId,
    report: LoadReport,
    outputs: &mut Vec<Output>,
) {
    if report.leaving {
        mark_leaving(tables, upstream, outputs);
    }
}

/// `apply_list` takes over what the platform's instance list says.
pub fn apply_list(tables: &mut Tables, list: &[ListedInstance], outputs: &mut Vec<Output>) {
    for listed in list.iter().filter(|listed| listed.leaving && !listed.is_router) {
        mark_leaving(tables, id_of_name(&listed.name), outputs);
    }
}

/// `apply_leaving_lines` takes over what a peer knows.
pub fn apply_leaving_lines(tables: &mut Tables, lines: &[LeavingLine], outputs: &mut Vec<Output>) {
    for line in lines {
        let age = Duration::from_millis(u64::from(line.age_ds) * 100);
        record_notice(tables, line.upstream, age, PEER_NOTICE_MARGIN, outputs);
    }
}

/// `mark_leaving` stops new work for an upstream of which there is evidence now.
pub fn mark_leaving(tables: &mut Tables, upstream: UpstreamId, outputs: &mut Vec<Output>) {
    record_notice(tables, upstream, Duration::ZERO, Duration::ZERO, outputs);
}

fn record_notice(
    tables: &mut Tables,
    upstream: UpstreamId,
    age: Duration,
    margin: Duration,
    outputs: &mut Vec<Output>,
) {
    // Evidence from before this process started is as good as of its start.
    let observed = tables.now.saturating_sub(age);
    if LEAVING_HOLD <= age {
        return;
    }
    let known = tables.health.leaving.get(&upstream).copied();
    if known.is_some_and(|known| observed < known + margin) {
        return;
    }
    if known.is_none() && LEAVING_LIMIT <= tables.health.leaving.len() {
        return;
    }
    tables.health.leaving.insert(upstream, observed);
    if known.is_none() {
        tables.health.unannounced.push(upstream);
        set_leaving(tables, upstream, true, outputs);
    }
}

fn set_leaving(
    tables: &mut Tables,
    upstream: UpstreamId,
    leaving: bool,
    outputs: &mut Vec<Output>,
) {
    let Some(entry) = tables.upstreams.get_mut(&upstream) else { return };
    if entry.leaving == leaving {
        return;
    }
    entry.leaving = leaving;
    let kind = if leaving { EventKind::UpstreamLeaving } else { EventKind::UpstreamBack };
    outputs.push(Output::Emit(Event::of_kind(kind).with_upstream(upstream)));
}

/// `run` withdraws marks without fresh evidence, and applies marks to upstreams that a new sheet
/// brings.
pub fn run(tables: &mut Tables, outputs: &mut Vec<Output>) {
    let version = tables.sheet.as_ref().map_or(0, |sheet| sheet.version);
    if tables.health.applied_version != version {
        tables.health.applied_version = version;
        for upstream in leaving(tables) {
            set_leaving(tables, upstream, true, outputs);
        }
        let HealthTable { failures, last_answer, .. } = &mut tables.health;
        failures.retain(|upstream, _| tables.upstreams.contains_key(upstream));
        last_answer.retain(|upstream, _| tables.upstreams.contains_key(upstream));
    }
    let now = tables.now;
    let expired: Vec<UpstreamId> = tables
        .health
        .leaving
        .iter()
        .filter(|(_, observed)| **observed + LEAVING_HOLD <= now)
        .map(|(upstream, _)| *upstream)
        .collect();
    for upstream in expired {
        tables.health.leaving.remove(&upstream);
        set_leaving(tables, upstream, false, outputs);
    }
}

/// `mark_failing` pauses new work for an upstream that failed.
pub fn mark_failing(tables: &mut Tables, upstream: UpstreamId, outputs: &mut Vec<Output>) {
    let Some(entry) = tables.upstreams.get(&upstream) else { return };
    // Requests that fail together are one failure: counted one by one, a single crash would keep a
    // restarted upstream without work for the longest pause.
    if entry.failing_until.is_some_and(|until| tables.now < until) {
        return;
    }
    let failures = tables.health.failures.entry(upstream).or_default();
    *failures += 1;
    let count = *failures;
    let doubled = FAILING_PAUSE * 2_u32.pow((count - 1).min(8));
    let spread = 0.75 + 0.5 * jitter(tables, u64::from(upstream), count);
    let until = tables.now + doubled.min(FAILING_PAUSE_LIMIT).mul_f64(spread);
    if let Some(entry) = tables.upstreams.get_mut(&upstream) {
        entry.failing_until = Some(until);
    }
    outputs.push(Output::Emit(Event::of_kind(EventKind::UpstreamFailing).with_upstream(upstream)));
}

/// `record_answer` notes that an upstream sends some of an answer.
pub fn record_answer(tables: &mut Tables, upstream: UpstreamId) {
    tables.health.last_answer.insert(upstream, tables.now);
}

/// `has_answered_since` tells whether an upstream has sent any of an answer here since a time.
pub fn has_answered_since(tables: &Tables, upstream: UpstreamId, since: Timestamp) -> bool {
    tables.health.last_answer.get(&upstream).is_some_and(|last_answer| since < *last_answer)
}

/// `mark_healthy` notes that an upstream answered.
pub fn mark_healthy(tables: &mut Tables, upstream: UpstreamId, outputs: &mut Vec<Output>) {
    record_answer(tables, upstream);
    if tables.health.failures.remove(&upstream).is_none() {
        return;
    }
    if let Some(entry) = tables.upstreams.get_mut(&upstream) {
        entry.failing_until = None;
    }
    outputs.push(Output::Emit(Event::of_kind(EventKind::UpstreamBack).with_upstream(upstream)));
}

/// `leaving` lists the upstreams that are known to be leaving, in order of their ids.
pub fn leaving(tables: &Tables) -> Vec<UpstreamId> {
    tables.health.leaving.keys().copied().collect()
}

/// `leaving_line` is what a peer is told of an upstream that is leaving.
pub fn leaving_line(tables: &Tables, upstream: UpstreamId) -> Option<LeavingLine> {
    let observed = tables.health.leaving.get(&upstream)?;
    let age_ds = tables.now.saturating_sub(*observed).as_millis() / 100;
    Some(LeavingLine { upstream, age_ds: u16::try_from(age_ds).unwrap_or(u16::MAX) })
}

/// `has_live` tells whether any upstream of a service may be given work, now or soon.
pub fn has_live(tables: &Tables, service: ServiceId) -> bool {
    let is_live = |entry: &Upstream| entry.service == service && !entry.leaving;
    // Those of the own domain come first: a scan of the whole fleet's upstreams for each request
    // would be felt at the fleet's size.
    let own = tables.index.upstreams.get(&service).into_iter().flatten();
    let mut own = own.filter_map(|upstream| tables.upstreams.get(upstream));
    own.any(is_live) || tables.upstreams.values().any(is_live)
}

//! Versions of the sheet: how long each took to come into force, and whether any process went back.

use std::collections::BTreeMap;
use std::fmt::Write;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::events::{EventKind, EventRecord};
use bergamotpitch_core::ids::SheetVersion;

/// `VersionTimes` are the moments of one version, in microseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionTimes {
    /// When the platform accepted it; absent when no event file tells.
    pub accepted_us: Option<u64>,
    /// When the first process had it in force.
    pub first_us: Option<u64>,
    /// When the last process had it in force.
    pub last_us: Option<u64>,
    /// Processes that had it in force.
    pub processes: u32,
}

/// `Revert` is a process that put a version in force that was not newer than its last one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Revert {
    /// The process.
    pub process: String,
    /// Version that was in force.
    pub from: SheetVersion,
    /// Version that came into force after it.
    pub to: SheetVersion,
}

/// `version_times` gathers the moments of each version from merged events.
pub fn version_times(events: &[EventRecord]) -> BTreeMap<SheetVersion, VersionTimes> {
    let mut versions: BTreeMap<SheetVersion, VersionTimes> = BTreeMap::new();
    for event in events {
        let Some(version) = version_of(event) else { continue };
        let times = versions.entry(version).or_default();
        if event.kind == EventKind::SheetAccepted {
            times.accepted_us.get_or_insert(event.time_us);
        } else {
            times.first_us.get_or_insert(event.time_us);
            times.last_us = times.last_us.max(Some(event.time_us));
            times.processes += 1;
        }
    }
    versions
}

/// `reverts` finds every process that went back within one of its lives, or put a version in force
/// twice. A new life begins without a sheet, so that its first version is no revert.
pub fn reverts(events: &[EventRecord]) -> Vec<Revert> {
    let mut in_force: HashMap<&str, SheetVersion> = HashMap::default();
    let mut reverts = Vec::new();
    for event in events {
        if event.kind == EventKind::ProcessStarted {
            in_force.remove(event.process.as_str());
        }
        if event.kind != EventKind::SheetInForce {
            continue;
        }
        let Some(to) = version_of(event) else { continue };
        if let Some(from) = in_force.insert(&event.process, to)
            && to <= from
        {
            reverts.push(Revert { process: event.process.clone(), from, to });
        }
    }
    reverts
}

/// `render_versions` writes one version a line, and one revert a line.
///
/// ```
/// use bergamotpitch_timeline::versions::render_versions;
/// assert_eq!(render_versions(&[]), "0 reverts\n");
/// ```
pub fn render_versions(events: &[EventRecord]) -> String {
    let mut text = String::new();
    for (version, times) in version_times(events) {
        let since = times.accepted_us.or(times.first_us);
        let passed_us = times.last_us.unwrap_or(0).saturating_sub(since.unwrap_or(0));
        let from = if times.accepted_us.is_some() { "acceptance" } else { "the first process" };
        // Writing to a string does not fail.
        let _ = match times.last_us {
            None => writeln!(text, "version {version}: in force nowhere"),
            Some(_) => writeln!(
                text,
                "version {version}: in force at {} processes, the last {:.3} s after {from}",
                times.processes,
                passed_us as f64 / 1e6
            ),
        };
    }
    let reverts = reverts(events);
    for revert in &reverts {
        let Revert { process, from, to } = revert;
        let _ = writeln!(text, "revert at {process}: version {to} after version {from}");
    }
    let _ = writeln!(text, "{} reverts", reverts.len());
    text
}

fn version_of(event: &EventRecord) -> Option<SheetVersion> {
    if !matches!(event.kind, EventKind::SheetAccepted | EventKind::SheetInForce) {
        return None;
    }
    event.detail.as_deref()?.strip_prefix("version ")?.parse().ok()
}

//! Windows: how many requests may be with an upstream at once.
//!
//! An upstream admits whatever it is sent. Too shallow a window leaves paid slots idle while the
//! next request is under way; too deep a window queues inside the upstream, which knows no shares.

use std::time::Duration;

use bergamotpitch_core::ids::UpstreamId;
use bergamotpitch_core::units::Timestamp;

use crate::inputs::LoadReport;
use crate::tables::Tables;

/// Shortest time between two changes of one window; a report is older than the change it follows.
const SETTLING_TIME: Duration = Duration::from_millis(1_000);

/// Requests waiting inside an upstream above which its window shrinks, beyond the depth.
const WAITING_TOLERANCE_REQUESTS: u32 = 1;

/// `Window` is the admission window of one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Window {
    /// Requests that the upstream is taken to run at once.
    pub slots: u32,
    /// When it last changed.
    pub changed: Option<Timestamp>,
}

/// `window` is how many requests may be with an upstream.
pub fn window(tables: &Tables, upstream: UpstreamId) -> u32 {
    let Some(entry) = tables.upstreams.get(&upstream) else { return 0 };
    if entry.leaving {
        return 0;
    }
    let slots = tables.windows.get(&upstream).map_or(entry.slots, |window| window.slots);
    slots + tables.options.window_depth_requests
}

/// `apply_report` moves a window after a load report, which may be old.
pub fn apply_report(tables: &mut Tables, upstream: UpstreamId, report: LoadReport) {
    let now = tables.now;
    let depth = tables.options.window_depth_requests;
    let Some(entry) = tables.upstreams.get(&upstream) else { return };
    let declared = entry.slots;
    let window =
        tables.windows.entry(upstream).or_insert(Window { slots: declared, changed: None });
    // A report shows the upstream as it was before the last change took effect. Acting on it twice
    // would swing the window between too shallow and too deep.
    if window.changed.is_some_and(|changed| now < changed + SETTLING_TIME) {
        return;
    }
    let slots = next_slots(window.slots, declared, depth, report);
    if slots != window.slots {
        *window = Window { slots, changed: Some(now) };
    }
}

fn next_slots(slots: u32, declared: u32, depth: u32, report: LoadReport) -> u32 {
    let tolerated = depth + WAITING_TOLERANCE_REQUESTS;
    if tolerated < report.waiting_requests {
        // More waits inside than was meant: the upstream runs fewer at once than was thought.
        let excess = report.waiting_requests - tolerated;
        return slots.saturating_sub(excess).max(report.running_requests).max(1);
    }
    if report.waiting_requests == 0 && slots + depth <= report.running_requests {
        // All that was sent runs at once, so more would too.
        return (slots + depth.max(1)).min(declared.saturating_mul(4));
    }
    if report.waiting_requests <= depth && slots < declared && slots <= report.running_requests {
        return slots + 1;
    }
    slots
}

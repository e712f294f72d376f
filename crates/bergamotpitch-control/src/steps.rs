//! The step: inputs are applied to the tables, then every system runs once.

use bergamotpitch_core::settings::Policy;
use bergamotpitch_core::units::Timestamp;

use crate::admission::{dispatches, requests};
use crate::capacity::{upstreams, windows};
use crate::configuration::{platforms, sheet_indexes, sheet_syncs, sheets};
use crate::fairness::{domain_reports, leases, relays, shares};
use crate::inputs::Input;
use crate::membership::members;
use crate::messages::Message;
use crate::outputs::Output;
use crate::tables::Tables;

/// `step` applies inputs at a time and runs every system over the tables.
///
/// Time may stand still between two steps but never goes back.
///
/// ```
/// use std::time::Duration;
/// use bergamotpitch_control::{step, Tables};
/// let mut tables = Tables::default();
/// let outputs = step(&mut tables, Duration::from_millis(5), Vec::new());
/// assert!(outputs.is_empty());
/// ```
pub fn step(tables: &mut Tables, now: Timestamp, inputs: Vec<Input>) -> Vec<Output> {
    let mut outputs = Vec::new();
    sheet_syncs::detect_pause(tables, now);
    tables.now = tables.now.max(now);
    for input in inputs {
        apply_input(tables, input, &mut outputs);
    }
    sheet_syncs::run(tables, &mut outputs);
    members::run(tables, &mut outputs);
    upstreams::run(tables, &mut outputs);
    requests::run(tables, &mut outputs);
    sheet_indexes::run(tables);
    match tables.options.policy {
        Policy::Fair => shares::run(tables, &mut outputs),
        Policy::LocalFair | Policy::FirstCome => dispatches::run(tables, &mut outputs),
    }
    outputs
}

fn apply_input(tables: &mut Tables, input: Input, outputs: &mut Vec<Output>) {
    match input {
        Input::Arrived(arrival) => requests::apply_arrival(tables, arrival, outputs),
        Input::CallerLeft { request } => requests::apply_caller_left(tables, request, outputs),
        Input::FirstByte { request } => requests::apply_first_byte(tables, request),
        Input::Progressed { request, cost } => requests::apply_progress(tables, request, cost),
        Input::AttemptEnded { request, outcome, cost } => {
            requests::apply_attempt_end(tables, request, outcome, cost, outputs);
        }
        Input::Received { sender, message } => match message {
            Message::Heartbeat(heartbeat) => {
                members::apply_heartbeat(tables, sender, heartbeat, outputs)
            }
            Message::ShareReport(report) => {
                relays::apply_report(tables, sender, report, outputs);
            }
            Message::RelayedReport(relayed) => {
                relays::apply_relayed_report(tables, sender, relayed)
            }
            Message::RelayedGrant(relayed) => relays::apply_relayed_grant(tables, relayed, outputs),
            Message::ShareGrant(grant) => leases::apply_grant(tables, sender.instance, grant),
            Message::DomainReport(report) => {
                domain_reports::apply(tables, sender, report, outputs);
            }
            Message::RelayedDomainReport(relayed) => domain_reports::apply_relayed(tables, relayed),
        },
        Input::LoadReported { upstream, report } => {
            upstreams::apply_load_report(tables, upstream, report, outputs);
            windows::apply_report(tables, upstream, report);
        }
        Input::UpstreamLeaving { upstream } => {
            upstreams::mark_leaving(tables, upstream, outputs);
        }
        Input::Listed(list) => {
            upstreams::apply_list(tables, &list, outputs);
            members::apply_list(tables, &list);
        }
        Input::SheetLearned(sheet) => {
            sheet_syncs::record_confirmation(tables, sheet.version);
            sheets::apply_sheet(tables, sheet, outputs);
        }
        Input::PeerSheetLearned(sheet) => sheets::apply_sheet(tables, sheet, outputs),
        Input::PlatformReachable(reachable) => {
            platforms::apply_reachable(tables, reachable, outputs);
        }
        Input::DrainBegun => requests::apply_drain(tables, outputs),
        Input::DrainEnding => requests::apply_drain_end(tables, outputs),
    }
}

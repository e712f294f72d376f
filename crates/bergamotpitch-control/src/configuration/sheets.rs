//! Sheets: which version is in force, and the tables that follow from it.

use std::sync::Arc;

use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::{SheetVersion, id_of_name};
use bergamotpitch_core::sheets::AcceptedSheet;

use crate::configuration::sheet_syncs;
use crate::outputs::{Event, Output};
use crate::tables::{Tables, Team, Upstream};

/// `apply_sheet` puts a sheet in force when its version is newer than the one in force.
pub fn apply_sheet(tables: &mut Tables, sheet: Arc<AcceptedSheet>, outputs: &mut Vec<Output>) {
    let in_force = tables.sheet.as_ref().map_or(0, |sheet| sheet.version);
    // A peer with an older sheet, or a late answer, must not bring an old version back: operators
    // would see a setting revert. Versions only rise.
    let is_older = sheet.version <= in_force && tables.options.sheet_guards.requires_newer_version;
    if is_older {
        emit_ignored_sheet(sheet.version, in_force, outputs);
        return;
    }
    if !sheet_syncs::may_adopt_first(tables, sheet.version) {
        return;
    }
    fill_upstreams(tables, &sheet);
    fill_teams(tables, &sheet);
    tables.sheet_sync.outdated_since = None;
    tables.sheet = Some(Arc::clone(&sheet));
    let event =
        Event::of_kind(EventKind::SheetInForce).with_detail(format!("version {}", sheet.version));
    outputs.push(Output::Emit(event));
    outputs.push(Output::PutInForce(sheet));
}

/// The version in force is read again all the time; only an older one is worth a word.
fn emit_ignored_sheet(offered: SheetVersion, in_force: SheetVersion, outputs: &mut Vec<Output>) {
    if offered == in_force {
        return;
    }
    let detail = format!("version {offered}, while version {in_force} is in force");
    outputs.push(Output::Emit(Event::of_kind(EventKind::SheetPassedOver).with_detail(detail)));
}

fn fill_upstreams(tables: &mut Tables, accepted: &AcceptedSheet) {
    let mut old = std::mem::take(&mut tables.upstreams);
    for entry in &accepted.sheet.upstreams {
        let id = id_of_name(&entry.name);
        let known = old.remove(&id);
        let upstream = Upstream {
            service: id_of_name(&entry.service),
            domain: id_of_name(&entry.domain),
            slots: entry.slots,
            running_requests: known.as_ref().map_or(0, |known| known.running_requests),
            leaving: known.as_ref().is_some_and(|known| known.leaving),
            failing_until: known.and_then(|known| known.failing_until),
        };
        tables.upstreams.insert(id, upstream);
    }
}

fn fill_teams(tables: &mut Tables, accepted: &AcceptedSheet) {
    let mut old = std::mem::take(&mut tables.teams);
    for entry in &accepted.sheet.teams {
        let id = id_of_name(&entry.name);
        let known = old.remove(&id);
        let team = Team {
            share: entry.share,
            queue_limit_requests: entry.queue_limit_requests,
            queue_limit_bytes: entry.queue_limit_bytes,
            retry_budget_percent: entry.retry_budget_percent,
            waiting_bytes: known.as_ref().map_or(0, |known| known.waiting_bytes),
            waiting_requests: known.as_ref().map_or(0, |known| known.waiting_requests),
        };
        tables.teams.insert(id, team);
    }
}

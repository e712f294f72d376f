//! Histories: the sheet in force and the changes that led to it, packed once for all who ask.

use std::collections::VecDeque;
use std::sync::Arc;

use bergamotpitch_core::packing::{pack, unpack};
use bergamotpitch_core::sheet_changes::{SheetChange, apply_change, change_between};
use bergamotpitch_core::sheets::{AcceptedSheet, check_sheet};
use serde::{Deserialize, Serialize};

use crate::errors::{Error, Result, bad_sheet_error, encoding_error};

/// Changes that are kept; an instance that is further behind gets the whole sheet.
pub const KEPT_CHANGES: usize = 32;

/// Entries that a change may set and still be kept; the whole sheet is as good as a larger one.
const KEPT_CHANGE_ENTRIES: usize = 500;

/// `SheetBody` is what one instance tells another of its sheet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SheetBody {
    /// The whole sheet.
    Whole(AcceptedSheet),
    /// What changed since the version that the other holds, in order.
    Changes(Vec<SheetChange>),
}

/// `SheetHistory` is the sheet in force and the changes that led to it.
#[derive(Debug, Default)]
pub struct SheetHistory {
    newest: Option<Arc<AcceptedSheet>>,
    changes: VecDeque<SheetChange>,
    packed_whole: Option<Arc<Vec<u8>>>,
}

/// `observe` takes note of the sheet in force.
pub fn observe(history: &mut SheetHistory, current: Option<Arc<AcceptedSheet>>) {
    let Some(current) = current else { return };
    let known = history.newest.as_ref().map_or(0, |newest| newest.version);
    if current.version <= known {
        return;
    }
    if let Some(newest) = history.newest.take() {
        match change_between(&newest, &current)
            .filter(|change| set_entries(change) <= KEPT_CHANGE_ENTRIES)
        {
            Some(change) => history.changes.push_back(change),
            None => history.changes.clear(),
        }
    }
    while KEPT_CHANGES < history.changes.len() {
        history.changes.pop_front();
    }
    history.packed_whole = None;
    history.newest = Some(current);
}

/// `packed_body` makes the packed answer for an instance that holds a version, 0 for none; it is
/// empty when there is no sheet.
///
/// # Errors
///
/// Fails when the sheet cannot be encoded.
pub fn packed_body(history: &mut SheetHistory, held_version: u64) -> Result<Arc<Vec<u8>>> {
    let Some(newest) = &history.newest else { return Ok(Arc::default()) };
    let first = history.changes.iter().position(|change| change.from_version == held_version);
    if let Some(first) = first {
        let changes = history.changes.iter().skip(first).cloned().collect();
        return pack_body(&SheetBody::Changes(changes));
    }
    if let Some(packed) = &history.packed_whole {
        return Ok(Arc::clone(packed));
    }
    // Some dozens of peers ask at once when an instance is the first with a new sheet; packing a
    // large one takes tens of milliseconds, so it is done once.
    let packed = pack_body(&SheetBody::Whole(AcceptedSheet::clone(newest)))?;
    history.packed_whole = Some(Arc::clone(&packed));
    Ok(packed)
}

/// `sheet_of_body` reads a packed answer, given the sheet that is held.
///
/// # Errors
///
/// Fails when there is no sheet in it, or it is not valid, or its changes do not fit what is held.
pub fn sheet_of_body(packed: &[u8], held: Option<&AcceptedSheet>) -> Result<AcceptedSheet> {
    if packed.is_empty() {
        return Err(Error::NoSheet);
    }
    let body = unpack("sheet of a peer", packed).map_err(bad_sheet_error)?;
    match serde_json::from_slice(&body).map_err(bad_sheet_error)? {
        SheetBody::Whole(accepted) => {
            check_sheet("sheet of a peer", &accepted.sheet).map_err(bad_sheet_error)?;
            Ok(accepted)
        }
        SheetBody::Changes(changes) => {
            let mut changes = changes.iter();
            let (Some(held), Some(first)) = (held, changes.next()) else {
                return Err(bad_sheet_error("changes of a sheet that is not held"));
            };
            let mut sheet = apply_change(held, first).map_err(bad_sheet_error)?;
            for change in changes {
                sheet = apply_change(&sheet, change).map_err(bad_sheet_error)?;
            }
            Ok(sheet)
        }
    }
}

fn pack_body(body: &SheetBody) -> Result<Arc<Vec<u8>>> {
    Ok(Arc::new(pack(&serde_json::to_vec(body).map_err(encoding_error)?)))
}

fn set_entries(change: &SheetChange) -> usize {
    change.domains.set.len()
        + change.services.set.len()
        + change.upstreams.set.len()
        + change.teams.set.len()
}

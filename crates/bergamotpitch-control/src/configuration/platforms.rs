//! The platform: whether its key-value service is in reach of this instance.

use bergamotpitch_core::events::EventKind;

use crate::outputs::{Event, Output};
use crate::tables::Tables;

/// `apply_reachable` notes whether the key-value service answered, and tells when that changed.
pub fn apply_reachable(tables: &mut Tables, reachable: bool, outputs: &mut Vec<Output>) {
    if tables.sheet_sync.platform_lost != reachable {
        return;
    }
    tables.sheet_sync.platform_lost = !reachable;
    let kind = if reachable { EventKind::PlatformBack } else { EventKind::PlatformLost };
    outputs.push(Output::Emit(Event::of_kind(kind)));
}

//! Events that this tool writes for the time line.

use std::fs::OpenOptions;
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use bergamotpitch_core::events::{EventKind, EventRecord};
use bergamotpitch_core::ids::SheetVersion;

use crate::errors::{Error, Result};

/// Name under which this tool writes events.
const PROCESS: &str = "bergamotpitch-ctl";

/// `note_accepted` appends the event of an accepted sheet to a file.
///
/// # Errors
///
/// The file cannot be written; the sheet is accepted all the same.
pub fn note_accepted(file: &str, version: SheetVersion) -> Result<()> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let event = EventRecord {
        time_us: since_epoch.as_micros() as u64,
        process: PROCESS.to_owned(),
        number: EventKind::SheetAccepted.number(),
        kind: EventKind::SheetAccepted,
        request: None,
        team: None,
        service: None,
        upstream: None,
        peer: None,
        detail: Some(format!("version {version}")),
    };
    let mut line = serde_json::to_vec(&event).unwrap_or_default();
    line.push(b'\n');
    let opened = OpenOptions::new().create(true).append(true).open(file);
    opened.and_then(|mut opened| opened.write_all(&line)).map_err(|reason| Error::EventFile {
        version,
        file: file.to_owned(),
        reason,
    })
}

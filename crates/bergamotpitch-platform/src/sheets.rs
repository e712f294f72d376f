//! The sheet in the key-value service: read, watched, and written by compare-and-swap.

use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_core::ids::SheetVersion;
use bergamotpitch_core::packing::{pack, unpack};
use bergamotpitch_core::sheets::{AcceptedSheet, Sheet, check_sheet, parse_sheet};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::clients::Platform;
use crate::entries::Entry;
use crate::errors::{Error, Result, malformed_error};
use crate::nonces::fresh_nonce;

/// Key that holds the sheet.
pub const SHEET_KEY: &str = "bergamotpitch/sheet";

/// Nonces of earlier versions that the record keeps, so that a writer whose answer was lost finds
/// its own version also after others wrote newer ones.
const KEPT_NONCES: usize = 64;

/// `SheetRecord` is the value of [`SHEET_KEY`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SheetRecord {
    /// Version; it only rises.
    pub version: SheetVersion,
    /// Nonce of the write that made this version.
    pub nonce: String,
    /// Nonces of the versions before, the latest first.
    #[serde(default)]
    pub earlier_nonces: Vec<String>,
    /// The sheet itself.
    pub sheet: Sheet,
}

/// `Applied` is what became of a sheet that was to be applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// The sheet was accepted.
    Applied {
        /// Its version.
        version: SheetVersion,
    },
    /// Another sheet was accepted since the base version; this one was not and never will be.
    Conflict {
        /// Version that the platform holds.
        version: SheetVersion,
    },
    /// The platform took the write but stayed out of reach before it could say what became of it.
    Unknown,
}

/// `WatchedSheet` is what a watch of the sheet saw.
#[derive(Debug, Clone, PartialEq)]
pub struct WatchedSheet {
    /// The sheet; none when nothing has been applied yet.
    pub sheet: Option<Arc<AcceptedSheet>>,
    /// Index to name in the next watch.
    pub index: u64,
}

impl Platform {
    /// `read_sheet` reads the accepted sheet; none when nothing has been applied yet.
    ///
    /// # Errors
    ///
    /// `Unreachable`, `RateLimited` or `Malformed`.
    pub async fn read_sheet(&self) -> Result<Option<AcceptedSheet>> {
        let record = record_of_entry(self.get(SHEET_KEY).await?.as_ref())?;
        Ok(record.map(|record| AcceptedSheet { version: record.version, sheet: record.sheet }))
    }

    /// `watch_sheet` waits until the sheet changes from the given index; index 0 returns at once.
    ///
    /// # Errors
    ///
    /// `Unreachable`, `RateLimited` or `Malformed`.
    pub async fn watch_sheet(&self, index: u64) -> Result<WatchedSheet> {
        let watched = self.watch(SHEET_KEY, index).await?;
        let record = record_of_entry(watched.entry.as_ref())?;
        let sheet = record
            .map(|record| Arc::new(AcceptedSheet { version: record.version, sheet: record.sheet }));
        Ok(WatchedSheet { sheet, index: watched.index })
    }

    /// `apply_sheet` writes a sheet if the platform still holds the base version, 0 for none.
    ///
    /// A write whose answer was lost is looked into until the resolve timeout of the options.
    ///
    /// # Errors
    ///
    /// `Sheet` names the fault of a sheet that is not valid; `Unreachable` and `RateLimited` mean
    /// that nothing was written.
    pub async fn apply_sheet(
        &self,
        file: &str,
        sheet_text: &str,
        base_version: SheetVersion,
    ) -> Result<Applied> {
        let sheet = parse_sheet(file, sheet_text).map_err(Error::Sheet)?;
        let entry = self.get(SHEET_KEY).await?;
        let held = record_of_entry(entry.as_ref())?;
        let version = held.as_ref().map_or(0, |record| record.version);
        if version != base_version {
            return Ok(Applied::Conflict { version });
        }
        let record = SheetRecord {
            version: base_version + 1,
            nonce: fresh_nonce(),
            earlier_nonces: earlier_nonces(held),
            sheet,
        };
        let base_index = entry.map_or(0, |entry| entry.modify_index);
        self.write_record(&record, base_index).await
    }

    async fn write_record(&self, record: &SheetRecord, base_index: u64) -> Result<Applied> {
        let value = serde_json::to_vec(record)
            .map_err(|error| malformed_error(SHEET_KEY, error.to_string()))?;
        // Unpacked, the sheet of some thousand teams is larger than a value may be.
        let value = Bytes::from(pack(&value));
        let deadline = Instant::now() + self.options().resolve_timeout;
        let mut pause = self.options().retry_pause;
        let mut in_doubt = false;
        loop {
            // The same write is sent again: the base index lets it take effect once at most.
            let error = match self.put_cas(SHEET_KEY, value.clone(), base_index).await {
                Ok(()) => return Ok(Applied::Applied { version: record.version }),
                Err(Error::Conflict { .. }) => match self.find_nonce(record).await {
                    Ok(applied) => return Ok(applied),
                    // The write is settled, yet which way cannot be read now.
                    Err(error) => {
                        in_doubt = true;
                        error
                    }
                },
                Err(error @ Error::LostAnswer { .. }) => {
                    in_doubt = true;
                    error
                }
                Err(error @ (Error::RateLimited | Error::Unreachable { .. })) => error,
                Err(error) => return Err(error),
            };
            if deadline < Instant::now() + pause {
                return if in_doubt { Ok(Applied::Unknown) } else { Err(error) };
            }
            tokio::time::sleep(pause).await;
            pause = longer_pause(pause, self.options().retry_pause);
        }
    }

    // After a conflict the base index has passed, so that no copy of the write that still travels
    // can take effect: what is read now is final.
    async fn find_nonce(&self, written: &SheetRecord) -> Result<Applied> {
        let held = record_of_entry(self.get(SHEET_KEY).await?.as_ref())?;
        // Nobody deletes the sheet; if it is gone all the same, nothing true can be said.
        let Some(held) = held else { return Ok(Applied::Unknown) };
        let is_ours = held.nonce == written.nonce || held.earlier_nonces.contains(&written.nonce);
        if is_ours {
            return Ok(Applied::Applied { version: written.version });
        }
        Ok(Applied::Conflict { version: held.version })
    }
}

fn longer_pause(pause: Duration, first: Duration) -> Duration {
    (pause * 2).min(first * 10)
}

fn earlier_nonces(held: Option<SheetRecord>) -> Vec<String> {
    let Some(held) = held else { return Vec::new() };
    let mut nonces = vec![held.nonce];
    nonces.extend(held.earlier_nonces);
    nonces.truncate(KEPT_NONCES);
    nonces
}

fn record_of_entry(entry: Option<&Entry>) -> Result<Option<SheetRecord>> {
    let Some(entry) = entry else { return Ok(None) };
    let value = unpack(&entry.key, &entry.value).map_err(Error::Sheet)?;
    let record: SheetRecord = serde_json::from_slice(&value)
        .map_err(|error| malformed_error(&entry.key, error.to_string()))?;
    check_sheet(&entry.key, &record.sheet).map_err(Error::Sheet)?;
    Ok(Some(record))
}

//! Errors of this crate.

use bergamotpitch_core::ids::SheetVersion;
use displaydoc::Display;
use thiserror::Error as ThisError;

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what can go wrong in a decision.
#[derive(Debug, Clone, PartialEq, Eq, Display, ThisError)]
pub enum Error {
    /// sheet version {offered} does not follow version {in_force}
    VersionNotNewer {
        /// Version that was offered.
        offered: SheetVersion,
        /// Version in force.
        in_force: SheetVersion,
    },
}

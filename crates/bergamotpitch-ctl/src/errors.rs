//! Errors of this crate, and the exit code that each has.

use bergamotpitch_core::ids::SheetVersion;
use displaydoc::Display;
use thiserror::Error as ThisError;

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what can keep a command from doing what it was asked for.
#[derive(Debug, Display, ThisError)]
pub enum Error {
    /// {0}
    Document(#[from] bergamotpitch_core::Error),
    /// nothing was applied: the sheet was to follow version {base}, but version {held} was accepted meanwhile; look at `sheet diff {file}` and apply again
    Conflict {
        /// File that was to be applied.
        file: String,
        /// Version that the sheet was to follow.
        base: SheetVersion,
        /// Version that the platform holds.
        held: SheetVersion,
    },
    /// it is not known whether {file} was applied: the platform took the write and did not answer any more; run `sheet diff {file}` once it answers
    OutcomeUnknown {
        /// File that was to be applied.
        file: String,
    },
    /// {0}; nothing was changed
    Platform(bergamotpitch_platform::Error),
    /// no address of the platform is known; give --platform or "platform_address" in the settings
    NoPlatform,
    /// no router is known; give --router NAME=IP:PORT or "routers" in the settings
    NoRouters,
    /// no router is named "{name}"; known are: {known}
    UnknownRouter {
        /// Name that was asked for.
        name: String,
        /// Names that are known.
        known: String,
    },
    /// {router}: {address}{path}: {reason}
    Router {
        /// Name of the router.
        router: String,
        /// Its operator address.
        address: std::net::SocketAddr,
        /// Path that was called.
        path: String,
        /// What failed.
        reason: String,
    },
    /// no router that answers knows the request "{request}"{silent}
    UnknownRequest {
        /// Request that was asked for.
        request: String,
        /// Routers that did not answer, in words; empty when all did.
        silent: String,
    },
    /// version {version} was accepted, but {file} cannot be written: {reason}
    EventFile {
        /// Version that was accepted.
        version: SheetVersion,
        /// Event file.
        file: String,
        /// What the system said.
        reason: std::io::Error,
    },
    /// {what}
    Usage {
        /// What is wrong with the command line, and the remedy.
        what: String,
    },
}

/// `exit_code` returns the code with which the process ends.
///
/// ```
/// use bergamotpitch_ctl::errors::{Error, exit_code};
/// assert_eq!(exit_code(&Error::NoPlatform), 2);
/// ```
pub fn exit_code(error: &Error) -> u8 {
    match error {
        Error::Document(_) | Error::UnknownRequest { .. } | Error::EventFile { .. } => 1,
        Error::NoPlatform
        | Error::NoRouters
        | Error::UnknownRouter { .. }
        | Error::Usage { .. } => 2,
        Error::Conflict { .. } => 3,
        Error::Platform(_) | Error::Router { .. } => 4,
        Error::OutcomeUnknown { .. } => 5,
    }
}

/// `platform_error` turns an error of the platform's client into one of this crate.
pub fn platform_error(error: bergamotpitch_platform::Error) -> Error {
    match error {
        bergamotpitch_platform::Error::Sheet(error) => Error::Document(error),
        other => Error::Platform(other),
    }
}

/// `usage_error` makes the error of a command line that cannot be followed.
pub fn usage_error(what: impl Into<String>) -> Error {
    Error::Usage { what: what.into() }
}

//! Errors of this crate.

use std::net::SocketAddr;

use displaydoc::Display;
use thiserror::Error as ThisError;

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what keeps a router from starting or from stopping in good order.
#[derive(Debug, Display, ThisError)]
pub enum Error {
    /// {0}
    Settings(bergamotpitch_core::Error),
    /// {address} ({field}) cannot be served: {reason}; choose an address of this machine that is free
    Address {
        /// The field of the settings.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system said.
        reason: String,
    },
    /// the event file {file} cannot be written: {reason}
    EventFile {
        /// The file.
        file: String,
        /// What the system said.
        reason: String,
    },
    /// the process cannot start its parts: {reason}
    Start {
        /// What failed.
        reason: String,
    },
}

/// `address_error` makes the error of an address that cannot be served.
pub fn address_error(field: &'static str, address: SocketAddr, reason: impl ToString) -> Error {
    Error::Address { field, address, reason: reason.to_string() }
}

/// `event_file_error` makes the error of an event file that cannot be written.
pub fn event_file_error(file: &str, reason: impl ToString) -> Error {
    Error::EventFile { file: file.to_owned(), reason: reason.to_string() }
}

/// `start_error` makes the error of a part that cannot be started.
pub fn start_error(reason: impl ToString) -> Error {
    Error::Start { reason: reason.to_string() }
}

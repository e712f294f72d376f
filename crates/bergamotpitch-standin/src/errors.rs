//! Errors of this crate.

use std::net::SocketAddr;

use displaydoc::Display;
use thiserror::Error as ThisError;

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what can keep a stand-in from running.
#[derive(Debug, Display, ThisError)]
pub enum Error {
    /// {0}
    Settings(#[from] bergamotpitch_core::Error),
    /// {address}: cannot be listened on: {reason}; choose a free address
    Address {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        reason: std::io::Error,
    },
    /// {file}: cannot be written: {reason}
    Unwritable {
        /// The file.
        file: String,
        /// What the system said.
        reason: std::io::Error,
    },
    /// platform: no address was given; add --address IP:PORT
    NoAddress,
    /// the runtime does not start: {0}
    Runtime(std::io::Error),
}

/// `address_error` makes the error of an address that cannot be listened on.
pub fn address_error(address: SocketAddr, reason: std::io::Error) -> Error {
    Error::Address { address, reason }
}

/// `unwritable_error` makes the error of a file that cannot be written.
pub fn unwritable_error(file: &str, reason: std::io::Error) -> Error {
    Error::Unwritable { file: file.to_owned(), reason }
}

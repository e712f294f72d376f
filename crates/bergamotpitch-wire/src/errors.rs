//! Errors of this crate.

use displaydoc::Display;
use thiserror::Error as ThisError;

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what can go wrong when a message is sent or a sheet is fetched.
#[derive(Debug, Clone, PartialEq, Eq, Display, ThisError)]
pub enum Error {
    /// a message of {bytes} bytes is larger than the {limit_bytes} bytes that are sent
    Oversize {
        /// Size of the encoded message, in bytes.
        bytes: usize,
        /// Largest size, in bytes.
        limit_bytes: usize,
    },
    /// cannot encode: {reason}
    Encoding {
        /// What the codec said.
        reason: String,
    },
    /// {address}: {reason}
    Network {
        /// Address that was to be bound or reached.
        address: String,
        /// What the system said.
        reason: String,
    },
    /// the peer's reply is not sealed for this request
    ForeignReply,
    /// the peer has no sheet, or did not trust the request
    NoSheet,
    /// the peer's sheet cannot be read: {reason}
    BadSheet {
        /// What is wrong with it.
        reason: String,
    },
}

/// `network_error` makes the error of a socket.
pub fn network_error(address: impl ToString, reason: impl ToString) -> Error {
    Error::Network { address: address.to_string(), reason: reason.to_string() }
}

/// `encoding_error` makes the error of a codec.
pub fn encoding_error(reason: impl ToString) -> Error {
    Error::Encoding { reason: reason.to_string() }
}

/// `bad_sheet_error` makes the error of a sheet that cannot be read.
pub fn bad_sheet_error(reason: impl ToString) -> Error {
    Error::BadSheet { reason: reason.to_string() }
}

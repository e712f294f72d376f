//! Errors of this crate.

use displaydoc::Display;
use thiserror::Error as ThisError;

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what can go wrong between this process and the platform.
#[derive(Debug, Clone, PartialEq, Eq, Display, ThisError)]
pub enum Error {
    /// the platform is out of reach, and the call had no effect: {reason}
    Unreachable {
        /// What failed.
        reason: String,
    },
    /// the platform is over its rate of calls, and the call had no effect
    RateLimited,
    /// the answer was lost, and the write may or may not have taken effect: {reason}
    LostAnswer {
        /// What failed.
        reason: String,
    },
    /// the key {key} changed since it was read, and the write had no effect
    Conflict {
        /// The key.
        key: String,
    },
    /// the platform holds or said something unexpected about {what}: {reason}
    Malformed {
        /// The key or path.
        what: String,
        /// What is wrong with it.
        reason: String,
    },
    /// the sheet is not valid: {0}
    Sheet(bergamotpitch_core::Error),
    /// the value for {key} has {size_bytes} bytes; the platform takes {limit_bytes}
    TooLarge {
        /// The key.
        key: String,
        /// Bytes of the value.
        size_bytes: usize,
        /// Largest value that the platform takes, in bytes.
        limit_bytes: usize,
    },
}

/// `unreachable_error` makes the error of a call that had no effect.
pub fn unreachable_error(reason: impl Into<String>) -> Error {
    Error::Unreachable { reason: reason.into() }
}

/// `lost_answer_error` makes the error of a write that may have taken effect.
pub fn lost_answer_error(reason: impl Into<String>) -> Error {
    Error::LostAnswer { reason: reason.into() }
}

/// `malformed_error` makes the error of an answer that is not understood.
pub fn malformed_error(what: &str, reason: impl Into<String>) -> Error {
    Error::Malformed { what: what.to_owned(), reason: reason.into() }
}

/// `conflict_error` makes the error of a write that lost against another.
pub fn conflict_error(key: &str) -> Error {
    Error::Conflict { key: key.to_owned() }
}

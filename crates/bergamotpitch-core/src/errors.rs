//! Errors of this crate.

use displaydoc::Display;
use thiserror::Error as ThisError;

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what can be wrong with a document that an operator wrote.
#[derive(Debug, Clone, PartialEq, Eq, Display, ThisError)]
pub enum Error {
    /// {file}: {field}: {reason}
    Field {
        /// The file that was read.
        file: String,
        /// The path of the field within the file.
        field: String,
        /// What is wrong, with the value found and the remedy.
        reason: String,
    },
    /// {file}: cannot be read: {reason}
    Unreadable {
        /// The file that was to be read.
        file: String,
        /// What the system said.
        reason: String,
    },
}

/// `field_error` makes the error of one bad field.
pub fn field_error(file: &str, field: &str, reason: impl Into<String>) -> Error {
    Error::Field { file: file.to_owned(), field: field.to_owned(), reason: reason.into() }
}

/// `unreadable_error` makes the error of a file that cannot be read.
pub fn unreadable_error(file: &str, reason: impl Into<String>) -> Error {
    Error::Unreadable { file: file.to_owned(), reason: reason.into() }
}

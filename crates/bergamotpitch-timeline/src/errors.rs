//! Errors of this crate.

use displaydoc::Display;
use thiserror::Error as ThisError;

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what can keep a time line from being made.
#[derive(Debug, Display, ThisError)]
pub enum Error {
    /// {file}: cannot be read: {reason}; name event files that routers wrote
    Unreadable {
        /// The file.
        file: String,
        /// What the system said.
        reason: std::io::Error,
    },
    /// {file}: cannot be drawn: {reason}
    Undrawable {
        /// The file.
        file: String,
        /// What the drawing library said.
        reason: String,
    },
    /// no event file was given; name one or more
    NoFiles,
    /// the sheet went back {count} times\n{text}
    Reverts {
        /// How often.
        count: usize,
        /// Versions and reverts, one a line.
        text: String,
    },
    /// {lines} lines are cut or malformed
    BadLines {
        /// How many.
        lines: usize,
    },
}

/// `unreadable_error` makes the error of a file that cannot be read.
pub fn unreadable_error(file: &str, reason: std::io::Error) -> Error {
    Error::Unreadable { file: file.to_owned(), reason }
}

/// `undrawable_error` makes the error of a picture that cannot be written.
pub fn undrawable_error(file: &str, reason: impl ToString) -> Error {
    Error::Undrawable { file: file.to_owned(), reason: reason.to_string() }
}

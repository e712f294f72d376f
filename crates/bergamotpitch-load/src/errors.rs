//! Errors of this crate.

use displaydoc::Display;
use thiserror::Error as ThisError;

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what can stop a run or its report.
#[derive(Debug, Display, ThisError)]
pub enum Error {
    /// {0}
    Document(#[from] bergamotpitch_core::Error),
    /// {address}{path} does not answer as expected: {reason}
    Fetch {
        /// Address that was asked.
        address: String,
        /// Path that was asked for.
        path: String,
        /// What went wrong.
        reason: String,
    },
    /// {file}: {reason}
    File {
        /// File that was to be read or written.
        file: String,
        /// What the system said.
        reason: String,
    },
    /// the plot {file} cannot be drawn: {reason}
    Plot {
        /// File that was to be drawn.
        file: String,
        /// What the plotting library said.
        reason: String,
    },
}

/// `fetch_error` makes the error of a stand-in or router that does not answer as expected.
pub fn fetch_error(address: impl ToString, path: &str, reason: impl ToString) -> Error {
    Error::Fetch { address: address.to_string(), path: path.to_owned(), reason: reason.to_string() }
}

/// `file_error` makes the error of a file that cannot be read or written.
pub fn file_error(file: &str, reason: impl ToString) -> Error {
    Error::File { file: file.to_owned(), reason: reason.to_string() }
}

/// `plot_error` makes the error of a plot that cannot be drawn.
pub fn plot_error(file: &str, reason: impl ToString) -> Error {
    Error::Plot { file: file.to_owned(), reason: reason.to_string() }
}

//! The time line: event files of all processes, merged, filtered and drawn.

pub mod commands;
pub mod errors;
pub mod files;
pub mod filters;
pub mod leavings;
pub mod pictures;
pub mod texts;
pub mod versions;

pub use crate::errors::{Error, Result};

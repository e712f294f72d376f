//! Commands for operators: sheets, the status of the fleet, explanations, drains and key hashes.

pub mod commands;
pub mod diffs;
pub mod errors;
pub mod events;
pub mod keys;
pub mod operators;
pub mod settings;
pub mod sheets;
pub mod suspects;

pub use crate::errors::{Error, Result};

//! Types that every bergamotpitch crate shares; this crate does no I/O.

pub mod checks;
pub mod collections;
pub mod documents;
pub mod errors;
pub mod events;
pub mod ids;
pub mod packing;
pub mod ranges;
pub mod refusals;
pub mod settings;
pub mod sheet_changes;
pub mod sheets;
pub mod units;

pub use crate::collections::{HashMap, HashSet};
pub use crate::errors::{Error, Result};

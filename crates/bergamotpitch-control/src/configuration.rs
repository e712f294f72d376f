//! Configuration: the sheet in force, how it spreads, and what is known of the platform.

pub mod platforms;
pub mod sheet_indexes;
pub mod sheet_syncs;
pub mod sheets;

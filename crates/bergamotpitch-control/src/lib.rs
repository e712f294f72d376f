//! Every decision of a router: tables, and the systems that run over them each tick.
//!
//! The crate has no I/O, no clock, no thread and no random source of its own. Time, the seed,
//! messages and observations come in as [`Input`]s; messages, dispatches, refusals and events go
//! out as [`Output`]s. A test can drive hundreds of control states in one thread with virtual time.

pub mod accounts;
mod claim_calls;
pub mod claim_options;
mod claim_paces;
pub mod claim_queues;
mod claim_rounds;
pub mod claim_segments;
pub mod claims;
pub mod detours;
pub mod dispatches;
pub mod domain_reports;
pub mod errors;
pub mod gossips;
pub mod grants;
pub mod home_reports;
pub mod homes;
pub mod inputs;
pub mod leases;
pub mod levels;
pub mod limits;
pub mod members;
pub mod messages;
pub mod order_leases;
pub mod orders;
pub mod outputs;
pub mod paces;
pub mod placements;
pub mod platforms;
pub mod requests;
pub mod share_messages;
pub mod shares;
pub mod sheet_duties;
pub mod sheet_indexes;
pub mod sheets;
pub mod spills;
pub mod steps;
pub mod tables;
pub mod traffic;
pub mod upstreams;
pub mod windows;

pub use crate::errors::{Error, Result};
pub use crate::inputs::Input;
pub use crate::messages::Message;
pub use crate::outputs::Output;
pub use crate::steps::step;
pub use crate::tables::{Options, Tables};

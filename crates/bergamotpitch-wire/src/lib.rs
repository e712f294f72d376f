//! Sealed messages between instances, and their transport.
//!
//! Control messages travel as sealed datagrams ([`Endpoint`]); a sheet, which is larger than a
//! datagram, is fetched from a peer over TCP ([`fetch_sheet`]).

pub mod counters;
pub mod endpoints;
pub mod errors;
pub mod histories;
pub mod keys;
pub mod receivers;
pub mod seals;
pub mod sheets;
pub mod windows;

pub use crate::counters::{DropCounters, DropReason};
pub use crate::endpoints::{Endpoint, Options, Received};
pub use crate::errors::{Error, Result};
pub use crate::keys::Keys;
pub use crate::sheets::{SheetServer, fetch_sheet, fetch_sheet_since, sheet_server};

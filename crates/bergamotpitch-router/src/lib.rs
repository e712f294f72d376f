//! The router: the one process of an entry instance.
//!
//! One control thread owns the tables of `bergamotpitch_control` and steps over them; traffic
//! threads carry requests and answers. They meet only in bounded channels and in a read-only
//! snapshot of the sheet.

pub mod answers;
pub mod arrivals;
pub mod attempts;
pub mod callers;
pub mod calls;
pub mod claims;
pub mod commands;
pub mod contexts;
pub mod controls;
pub mod drains;
pub mod drops;
pub mod errors;
pub mod events;
pub mod guards;
pub mod headers;
pub mod links;
pub mod loads;
pub mod metrics;
pub mod operators;
pub mod options;
pub mod orders;
pub mod peers;
pub mod platforms;
pub mod refusals;
pub mod routers;
pub mod snapshots;
pub mod statuses;
pub mod streams;
pub mod transports;
pub mod usages;

pub use crate::errors::{Error, Result};
pub use crate::options::Options;
pub use crate::routers::Router;

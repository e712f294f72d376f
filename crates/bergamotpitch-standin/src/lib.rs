//! Stand-ins for what surrounds a router fleet: the platform's key-value service and instance
//! list, model engines and plain services, with faults that are set over HTTP.
//!
//! They are for tests and demonstrations alone and are never linked into a router.

pub mod admins;
pub mod answers;
pub mod batches;
pub mod bodies;
pub mod caches;
pub mod calls;
pub mod chats;
pub mod clocks;
pub mod commands;
pub mod engines;
pub mod errors;
pub mod faults;
pub mod fleets;
pub mod instances;
pub mod keys;
pub mod lags;
pub mod locks;
pub mod orders;
pub mod platforms;
pub mod prefixes;
pub mod records;
pub mod servers;
pub mod services;
pub mod sessions;
pub mod stores;
pub mod upstreams;

pub use crate::errors::{Error, Result};

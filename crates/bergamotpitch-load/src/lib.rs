//! Open-loop load against a running fleet, the measures of a run and their plots.
//!
//! Measures are computed from what upstreams recorded and what callers saw, never from what
//! routers say of themselves; only control traffic is read from the routers' counters.

pub mod arrivals;
pub mod backlogs;
pub mod balancers;
pub mod callers;
pub mod checks;
pub mod errors;
pub mod experiments;
pub mod fetches;
pub mod gaps;
pub mod measures;
pub mod plots;
pub mod records;
pub mod reports;
pub mod runs;

pub use crate::errors::{Error, Result};

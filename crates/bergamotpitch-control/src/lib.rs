//! Every decision of a router: tables, and the systems that run over them each tick.
//!
//! The crate has no I/O, no clock, no thread and no random source of its own. Time, the seed,
//! messages and observations come in as [`Input`]s; messages, dispatches, refusals and events go
//! out as [`Output`]s. A test can drive hundreds of control states in one thread with virtual time.

pub mod admission;
pub mod capacity;
pub mod configuration;
pub mod engine_orders;
pub mod errors;
pub mod fairness;
pub mod idempotency;
pub mod inputs;
pub mod membership;
pub mod messages;
pub mod outputs;
pub mod steps;
pub mod tables;
pub mod traffic;

pub use crate::errors::{Error, Result};
pub use crate::inputs::Input;
pub use crate::messages::Message;
pub use crate::outputs::Output;
pub use crate::steps::step;
pub use crate::tables::{Options, Tables};

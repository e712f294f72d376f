//! Client of the platform's key-value service and instance list.
//!
//! The platform speaks a part of the Consul HTTP API. Every rule about answers that get lost lives
//! here, once: a write whose answer did not come is never taken for done or for undone before the
//! service itself has said which.

pub mod calls;
mod claim_calls;
pub mod claims;
pub mod clients;
mod clocks;
pub mod entries;
pub mod errors;
pub mod instances;
pub mod nonces;
pub mod orders;
pub mod sessions;
pub mod sheets;

pub use crate::claims::{ClaimResult, ClaimToken, ClaimWriter, HandedOver};
pub use crate::clients::{Options, Platform};
pub use crate::entries::{Entry, Watched};
pub use crate::errors::{Error, Result};
pub use crate::orders::{OrderDriver, OrderNotice, OrderTarget, OrderWish};
pub use crate::sheets::Applied;

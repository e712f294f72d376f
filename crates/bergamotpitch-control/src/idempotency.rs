//! Idempotency: claims on keys of calls that may run at most once.

mod claim_calls;
pub mod claim_options;
pub mod claim_queues;
mod claim_rate_limiters;
mod claim_rounds;
pub mod claim_segments;
pub mod claims;

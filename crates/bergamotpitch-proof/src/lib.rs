//! Proof of the decisions: a few control states that exchange messages in virtual time, small fakes
//! of what surrounds them, and the measures taken from their histories. The router never links it.
//!
//! The same options, seed and calls give the same history.

pub mod capacity_pages;
mod claim_callers;
mod claim_ends;
mod claim_fills;
pub mod claim_histories;
mod claim_kv_calls;
pub mod claim_runs;
pub mod deployments;
pub mod engines;
pub mod fake_kvs;
pub mod fleets;
pub mod histories;
pub mod links;
pub mod loops;
pub mod measures;
pub mod observers;
pub mod order_histories;
pub mod order_runs;
pub mod randoms;
pub mod scenarios;
pub mod schedules;
pub mod sheet_histories;
pub mod sheet_runs;
pub mod slopes;
pub mod soaks;
pub mod workloads;

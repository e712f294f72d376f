//! Engine orders: which engine loads what, decided under one lease.

pub mod order_leases;
pub mod orders;

//! Admission: requests that wait, the bounds of their queues, retries, and their dispatch.

pub mod dispatches;
pub mod limits;
pub mod requests;

//! The way of a request between a caller and an upstream.
//!
//! A [`Gateway`](gateways::Gateway) takes callers' requests on one port, decides on each with the
//! tables of [`bergamotpitch_control::traffic`], and passes the upstream's answer on as it comes.
//! It runs on one thread: a router has a fraction of one core, on which a second thread only adds
//! switches, and all state is then reached without locks.
//!
//! How requests and answers are spelled is no matter of this crate: a [`Dialect`](dialects::Dialect)
//! reads and writes headers, and whoever starts the gateway hands it catalogs, upstreams and peers.

mod answer_ends;
pub mod arrivals;
pub mod attempts;
pub mod block_records;
pub mod bodies;
pub mod callers;
pub mod calls;
pub mod connections;
mod crash_messages;
mod crash_probes;
pub mod crash_reports;
pub mod crashes;
pub mod current_lists;
pub mod dialects;
pub mod dispatchers;
pub mod drains;
pub mod errors;
pub mod exchanges;
pub mod gateways;
pub mod headers;
pub mod headrooms;
pub mod heartbeats;
pub mod held_bytes;
pub mod identities;
pub mod logs;
pub mod loop_lags;
pub mod messages;
pub mod metrics;
pub mod options;
mod origin_handovers;
pub mod origin_records;
pub mod origins;
pub mod outcomes;
pub mod peers;
pub mod placements;
pub mod probes;
pub mod received_messages;
pub mod refusals;
pub mod relays;
pub mod remote_placements;
pub mod retries;
pub mod roles;
pub mod served_streams;
pub mod shared_readings;
pub mod sse;
pub mod standstills;
pub mod store_updates;
pub mod team_counters;
pub mod upstreams;
pub mod version_records;
pub mod watched_streams;
pub mod work_times;

pub use crate::errors::{Error, Result};
pub use crate::gateways::Gateway;
pub use crate::options::Options;

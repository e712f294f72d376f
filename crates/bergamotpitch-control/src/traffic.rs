//! Traffic: where a request may go, whether it is admitted, and to which upstream it is sent.
//!
//! Every module here is a table or a decision without I/O and without a clock: the caller hands
//! over the time as a [`Timestamp`](bergamotpitch_core::units::Timestamp). The arrows point one
//! way: [`admissions`] reads the tables, none of which knows another, and [`placement_queues`] asks it.

pub mod admissions;
pub mod answer_times;
pub mod catalogs;
pub mod concurrency_limits;
pub mod crash_evidence;
pub mod crash_suspects;
pub mod dispatchers;
pub mod engine_loads;
pub mod engine_speeds;
pub mod evacuations;
pub mod evidences;
pub mod facts;
pub mod fleet_members;
pub mod fleet_sizes;
pub mod grants;
pub mod origin_records;
pub mod placement_queues;
pub mod placement_requests;
pub mod policies;
pub mod prefixes;
pub mod provisional_answers;
pub mod registries;
pub mod request_demands;
pub mod request_digests;
pub mod residencies;
pub mod retry_budgets;
pub mod software_versions;
pub mod sound_parts;
pub mod starts;
pub mod stream_origins;
mod suspect_tables;
pub mod team_windows;
pub mod upstream_candidates;
pub mod warm_ups;
pub mod watch_roles;

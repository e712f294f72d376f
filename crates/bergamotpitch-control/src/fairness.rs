//! Fairness: the order of teams over the fleet, the homes that keep it, and the leases on slots that
//! they grant.

pub mod accounts;
pub mod coordinators;
pub mod domain_reports;
pub mod grants;
pub mod leases;
pub mod levels;
pub mod relays;
pub mod share_messages;
pub mod share_reports;
pub mod shares;
pub mod spills;

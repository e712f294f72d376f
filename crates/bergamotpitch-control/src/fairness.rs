//! Fairness: the order of teams over the fleet, the homes that keep it, and the leases on slots that
//! they grant.

pub mod accounts;
pub mod detours;
pub mod domain_reports;
pub mod grants;
pub mod home_reports;
pub mod homes;
pub mod leases;
pub mod levels;
pub mod share_messages;
pub mod shares;
pub mod spills;

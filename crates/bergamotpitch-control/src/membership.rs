//! Membership: which instances there are, what they tell each other, and how often.

pub mod gossips;
pub mod intervals;
pub mod members;

//! Capacity: what upstreams there are, how much each takes at once, and where a prompt is placed.

pub mod placements;
pub mod upstreams;
pub mod windows;

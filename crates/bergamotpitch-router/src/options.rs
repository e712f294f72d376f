//! Options: the times and bounds that a router keeps to; tests choose shorter ones.

use std::time::Duration;

/// `Options` are the times and bounds of one router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Requests held at once, whatever their state.
    pub call_limit_requests: usize,
    /// Bytes of bodies held at once.
    pub held_limit_bytes: usize,
    /// Time for a connection to an upstream to be made; one that takes longer is as good as gone.
    pub connect_timeout: Duration,
    /// Silence after which an engine's stream is taken for broken.
    pub stall_timeout: Duration,
    /// Time for which a caller may take nothing of its answer before it is taken for gone.
    pub delivery_timeout: Duration,
    /// Time for the answer to a resume to begin.
    pub resume_timeout: Duration,
    /// Shortest drain: the balancer notices within it that this instance is not ready, and what it
    /// still sends meanwhile is refused in clear words instead of by a closed port.
    pub shortest_drain: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            call_limit_requests: 16_384,
            held_limit_bytes: 256 << 20,
            connect_timeout: Duration::from_secs(1),
            stall_timeout: Duration::from_secs(30),
            delivery_timeout: Duration::from_secs(30),
            resume_timeout: Duration::from_secs(5),
            shortest_drain: Duration::from_secs(1),
        }
    }
}

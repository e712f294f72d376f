//! Options: what a gateway is told when it starts.

use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_control::traffic::{admissions, dispatchers};
use bergamotpitch_core::ids::{Incarnation, InstanceId};

/// `Options` of a gateway.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of this instance, for logs.
    pub instance_name: String,
    /// Number of this instance among its peers.
    pub instance: InstanceId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Whether the whole fleet starts for the first time, so that no stream began before.
    pub is_fleet_start: bool,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the balancer asks whether this instance takes callers.
    pub ready_address: SocketAddr,
    /// Where peers' datagrams come in.
    pub beat_address: SocketAddr,
    /// Where peers and fresh instances fetch the documents that this instance knows.
    pub relay_addresses: Vec<SocketAddr>,
    /// Connections of callers from which on idle ones are ended, and others turned away when none is
    /// idle.
    pub caller_connections_max: usize,
    /// Connections of callers and to upstreams from which on no idle one to an upstream is kept.
    pub connections_max: usize,
    /// Bytes that the bodies of all requests in flight may take, and answers that are read in full as many.
    pub body_bytes_max: usize,
    /// Thousandths of a core that this process may use.
    pub processor_millis: u32,
    /// Decisions.
    pub admission: admissions::Options,
    /// Who decides for a failure domain.
    pub dispatchers: dispatchers::Options,
    /// Time between SIGTERM and the end of the process.
    pub grace: Duration,
}

impl Default for Options {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            instance_name: String::new(),
            instance: 0,
            incarnation: 0,
            is_fleet_start: true,
            caller_address: any_port,
            ready_address: any_port,
            beat_address: any_port,
            relay_addresses: vec![any_port],
            caller_connections_max: 2_000,
            connections_max: 5_000,
            body_bytes_max: 64 << 20,
            processor_millis: 1_000,
            admission: admissions::Options::default(),
            dispatchers: dispatchers::Options::default(),
            grace: Duration::from_secs(8),
        }
    }
}

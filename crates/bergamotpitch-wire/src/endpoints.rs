//! Endpoints: the datagram socket of a process.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bergamotpitch_control::Message;
use bergamotpitch_control::inputs::Sender;
use bergamotpitch_core::ids::{DomainId, Incarnation, InstanceId};
use tokio::net::UdpSocket;

use crate::counters::{DropCounters, DropReason};
use crate::errors::{Result, network_error};
use crate::keys::Keys;
use crate::receivers::{FRESHNESS, Receiver, ReceiverOptions, accept};
use crate::seals::{DATAGRAM_BYTES, MESSAGE_PARTS, encode, seal_message};

/// `Options` are what an endpoint is told.
#[derive(Clone)]
pub struct Options {
    /// Address to bind; peers reach this process by this very number, and hear from it by the same.
    pub address: SocketAddr,
    /// This instance.
    pub instance: InstanceId,
    /// Its present life; the wall-clock time of the start in milliseconds serves well.
    pub incarnation: Incarnation,
    /// Failure domain that it stands in.
    pub domain: DomainId,
    /// Keys of the fleet.
    pub keys: Keys,
    /// Age at which a datagram is stale.
    pub freshness: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            instance: 0,
            incarnation: 0,
            domain: 0,
            keys: Keys::from_shared_key(""),
            freshness: FRESHNESS,
        }
    }
}

/// `Received` is a message that came in.
#[derive(Debug, Clone, PartialEq)]
pub struct Received {
    /// The instance that sealed it.
    pub sender: Sender,
    /// The message.
    pub message: Message,
    /// Size of its last datagram, in bytes.
    pub datagram_bytes: usize,
}

/// `Endpoint` is the datagram socket of a process; it is shared by reference.
pub struct Endpoint {
    socket: UdpSocket,
    sender: Sender,
    keys: Keys,
    sequence: AtomicU64,
    receiver: Mutex<Receiver>,
    dropped: DropCounters,
}

impl Endpoint {
    /// `bind` opens the socket.
    ///
    /// # Errors
    ///
    /// Fails when the address names no single number, or cannot be bound.
    ///
    /// ```
    /// use bergamotpitch_wire::{Endpoint, Options};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// let endpoint = Endpoint::bind(Options::default()).await.unwrap();
    /// assert_ne!(endpoint.address().port(), 0);
    /// endpoint.close();
    /// # }
    /// ```
    pub async fn bind(options: Options) -> Result<Self> {
        // The code covers the number that peers see. Bound to all numbers, this process would not
        // know which one that is, and each of its datagrams would be dropped as a stranger's.
        if options.address.ip().is_unspecified() {
            return Err(network_error(options.address, "is not the number of one interface"));
        }
        let socket = UdpSocket::bind(options.address)
            .await
            .map_err(|error| network_error(options.address, error))?;
        let address = socket.local_addr().map_err(|error| network_error(options.address, error))?;
        let receiver = Receiver::with_options(ReceiverOptions {
            address,
            started_ms: wall_clock_ms(),
            freshness: options.freshness,
        });
        let Options { instance, incarnation, domain, keys, .. } = options;
        Ok(Self {
            socket,
            sender: Sender { instance, incarnation, domain, address },
            keys,
            sequence: AtomicU64::new(1),
            receiver: Mutex::new(receiver),
            dropped: DropCounters::default(),
        })
    }

    /// `address` returns the address that peers reach this process at.
    pub fn address(&self) -> SocketAddr {
        self.sender.address
    }

    /// `dropped` returns the counters of dropped datagrams.
    pub fn dropped(&self) -> &DropCounters {
        &self.dropped
    }

    /// `send` seals a message and sends it; it returns the bytes sent, without those of the IP and
    /// UDP headers. The message may be lost on the way.
    ///
    /// # Errors
    ///
    /// Fails when the message is too large or the system refuses to send.
    pub async fn send(&self, to: SocketAddr, message: &Message) -> Result<usize> {
        let parts = encode(message)?.len().div_ceil(crate::seals::PART_BYTES);
        debug_assert!(parts <= MESSAGE_PARTS);
        let mut sequence = self.sequence.fetch_add(parts as u64, Ordering::Relaxed);
        let datagrams = seal_message(
            &self.keys.datagram,
            &self.sender,
            to,
            &mut sequence,
            wall_clock_ms(),
            message,
        )?;
        let mut sent_bytes = 0;
        for datagram in &datagrams {
            sent_bytes += self
                .socket
                .send_to(datagram, to)
                .await
                .map_err(|error| network_error(to, error))?;
        }
        Ok(sent_bytes)
    }

    /// `receive` waits for the next message; datagrams that are not part of one are counted and
    /// dropped.
    ///
    /// # Errors
    ///
    /// Fails when the socket fails.
    pub async fn receive(&self) -> Result<Received> {
        // One byte more than the largest datagram, so that a larger one shows as such.
        let mut buffer = [0; DATAGRAM_BYTES + 1];
        loop {
            let (datagram_bytes, from) = self
                .socket
                .recv_from(&mut buffer)
                .await
                .map_err(|error| network_error(self.sender.address, error))?;
            match self.accept(from, &buffer[..datagram_bytes]) {
                Ok(None) => {}
                Ok(Some((sender, message))) => {
                    return Ok(Received { sender, message, datagram_bytes });
                }
                Err(reason) => self.dropped.count(reason),
            }
        }
    }

    /// `close` closes the socket.
    pub fn close(self) {
        drop(self.socket);
    }

    fn accept(
        &self,
        from: SocketAddr,
        datagram: &[u8],
    ) -> std::result::Result<Option<(Sender, Message)>, DropReason> {
        // A panic while the lock was held would have left the receiver in a usable state: each
        // step of it completes or changes nothing.
        let mut receiver = self.receiver.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        accept(&mut receiver, &self.keys.datagram, wall_clock_ms(), from, datagram)
    }
}

/// `wall_clock_ms` returns the wall-clock time in milliseconds since the Unix epoch.
pub fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}

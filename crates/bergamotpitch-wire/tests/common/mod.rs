//! Senders and keys that the tests of this crate share.
//!
//! Each test file uses some of them.
#![allow(dead_code)]

use std::net::SocketAddr;

use bergamotpitch_control::Message;
use bergamotpitch_control::inputs::Sender;
use bergamotpitch_control::messages::{Heartbeat, LeavingLine};
use bergamotpitch_wire::Keys;
use bergamotpitch_wire::receivers::{FRESHNESS, Receiver, ReceiverOptions};
use bergamotpitch_wire::seals::seal_message;

/// Wall-clock time at which the tests play, in milliseconds.
pub const NOW_MS: u64 = 1_790_000_000_000;

/// `keys` returns the keys of the fleet under test.
pub fn keys() -> Keys {
    Keys::from_shared_key("the secret of the fleet under test")
}

/// `address` returns the address of the instance with a number.
pub fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + number))
}

/// `sender` returns the instance with a number, in a life.
pub fn sender(number: u16, incarnation: u64) -> Sender {
    Sender { instance: u32::from(number), incarnation, domain: 3, address: address(number) }
}

/// `heartbeat` returns a heartbeat that names some leaving upstreams.
pub fn heartbeat(leaving: std::ops::Range<u32>) -> Message {
    let leaving_upstreams = leaving.map(|upstream| LeavingLine { upstream, age_ds: 3 }).collect();
    Message::Heartbeat(Heartbeat { leaving_upstreams, ..Heartbeat::default() })
}

/// `receiver` returns a receiver at an address that started at a time.
pub fn receiver(number: u16, started_ms: u64) -> Receiver {
    Receiver::with_options(ReceiverOptions {
        address: address(number),
        started_ms,
        freshness: FRESHNESS,
    })
}

/// `sealed` seals a message of instance 1 for instance 2.
pub fn sealed(sequence: u64, sealed_ms: u64, message: &Message) -> Vec<Vec<u8>> {
    let mut sequence = sequence;
    let from = sender(1, 5);
    seal_message(&keys().datagram, &from, address(2), &mut sequence, sealed_ms, message)
        .expect("the message is small enough")
}

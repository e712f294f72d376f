//! Wires: time and bytes of one message, sealed and sent, and the bytes that a call would take.

use std::net::{SocketAddr, UdpSocket};
use std::pin::Pin;
use std::time::Instant;

use bergamotpitch_control::Message;
use bergamotpitch_control::inputs::Sender;
use bergamotpitch_control::messages::{Heartbeat, LeavingLine};
use bergamotpitch_proof::slopes::{Point, Slope, repeated, slope_of};
use bergamotpitch_wire::receivers::{FRESHNESS, Receiver, ReceiverOptions, accept};
use bergamotpitch_wire::seals::{encode, seal_message};
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_serde::formats::Bincode;

use crate::scenes::IP_UDP_BYTES;

const KEY: [u8; 32] = [7; 32];
const ROUNDS: usize = 4_000;
const NOW_MS: u64 = 1_790_000_000_000;

/// Bytes of the IP and TCP headers of a segment, with the usual time stamps.
const IP_TCP_BYTES: usize = 52;

/// Bytes of the length before each frame of a call.
const FRAME_BYTES: usize = 4;

/// `measure` measures messages of several sizes.
pub fn measure() -> Vec<Slope> {
    let entries = [0, 25, 50, 100, 200];
    let mut columns: Vec<Vec<Point>> = vec![Vec::new(); 5];
    for count in entries {
        let message = message_of(count);
        let size = encode(&message).expect("it is small enough").len() as f64;
        let datagrams = sealed(&message, &mut 1);
        let sent: usize = datagrams.iter().map(|datagram| datagram.len() + IP_UDP_BYTES).sum();
        let row = [
            repeated(size, vec![sent as f64]),
            repeated(size, vec![call_bytes(&message) as f64]),
            repeated(size, (0..5).map(|_| seal_us(&message)).collect()),
            repeated(size, (0..5).map(|_| open_us(&message)).collect()),
            repeated(size, (0..5).map(|_| loopback_us(&message)).collect()),
        ];
        for (column, point) in columns.iter_mut().zip(row) {
            column.push(point);
        }
    }
    let names = [
        ("datagram_bytes", "bytes", "with IP and UDP headers, one way"),
        (
            "call_bytes",
            "bytes",
            "the same message as a tarpc call with its answer and one bare ACK",
        ),
        ("seal_us", "us", "encode and seal"),
        ("open_us", "us", "open, check and decode"),
        ("loopback_us", "us", "send and receive on loopback, both calls to the system"),
    ];
    names
        .into_iter()
        .zip(columns)
        .map(|((name, unit, fixed), points)| {
            slope_of(&format!("{name}_by_message"), "bytes of message", unit, fixed, points)
        })
        .collect()
}

fn message_of(entries: u32) -> Message {
    let leaving_upstreams = (0..entries)
        .map(|entry| LeavingLine { upstream: entry * 20_000_000 + 300_000_000, age_ds: 3 })
        .collect();
    Message::Heartbeat(Heartbeat { leaving_upstreams, ..Heartbeat::default() })
}

fn sender() -> Sender {
    Sender { instance: 900_000_001, incarnation: NOW_MS, domain: 900_000_002, address: address(1) }
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}

fn sealed(message: &Message, sequence: &mut u64) -> Vec<Vec<u8>> {
    seal_message(&KEY, &sender(), address(2), sequence, NOW_MS + 9, message)
        .expect("it is small enough")
}

fn seal_us(message: &Message) -> f64 {
    let mut sequence = 1;
    let started = Instant::now();
    for _ in 0..ROUNDS {
        std::hint::black_box(sealed(message, &mut sequence));
    }
    started.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64
}

fn open_us(message: &Message) -> f64 {
    let mut sequence = 1;
    let datagrams: Vec<Vec<u8>> =
        (0..ROUNDS).flat_map(|_| sealed(message, &mut sequence)).collect();
    let mut receiver = Receiver::with_options(ReceiverOptions {
        address: address(2),
        started_ms: NOW_MS,
        freshness: FRESHNESS,
    });
    let started = Instant::now();
    for datagram in &datagrams {
        let accepted = accept(&mut receiver, &KEY, NOW_MS + 10, address(1), datagram);
        assert!(accepted.is_ok(), "{accepted:?}");
    }
    started.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64
}

fn loopback_us(message: &Message) -> f64 {
    let bind = || UdpSocket::bind("127.0.0.1:0").expect("a free port can be bound");
    let (left, right) = (bind(), bind());
    let to = right.local_addr().expect("it is bound");
    let datagrams = sealed(message, &mut 1);
    let mut buffer = [0; 2_000];
    let started = Instant::now();
    for _ in 0..ROUNDS {
        for datagram in &datagrams {
            left.send_to(datagram, to).expect("loopback takes it");
            right.recv_from(&mut buffer).expect("loopback gives it");
        }
    }
    started.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64
}

// A call carries a context with a deadline and a trace, a request id, and is answered.
fn call_bytes(message: &Message) -> usize {
    let request = tarpc::ClientMessage::Request(tarpc::Request {
        context: tarpc::context::current(),
        id: 1,
        message: message.clone(),
    });
    let response = tarpc::Response { request_id: 1, message: Ok(()) };
    let mut requests = Bincode::<(), tarpc::ClientMessage<Message>>::default();
    let request = Pin::new(&mut requests).serialize(&request).expect("it can be encoded");
    let mut responses = Bincode::<(), tarpc::Response<()>>::default();
    let response = Pin::new(&mut responses).serialize(&response).expect("it can be encoded");
    let framed = request.len() + response.len() + 2 * FRAME_BYTES;
    framed + bergamotpitch_wire::keys::CODE_BYTES + 3 * IP_TCP_BYTES
}

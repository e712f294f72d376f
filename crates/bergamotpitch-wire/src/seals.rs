//! Seals: a datagram is a version byte, a header, a part of a message, and a code over all of it.
//!
//! The code also covers the addresses that the datagram is from and for, which are not sent a second
//! time: a datagram that someone on the network redirects to another instance, or sends on from
//! another address, does not open.

use std::net::SocketAddr;

use bergamotpitch_control::Message;
use bergamotpitch_control::inputs::Sender;
use bergamotpitch_core::ids::{DomainId, Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

use crate::counters::DropReason;
use crate::errors::{Error, Result, encoding_error};
use crate::keys::{CODE_BYTES, Code, KeyBytes, code_of, codes_agree};

/// Version of the datagram format; other versions are dropped.
pub const FORMAT_VERSION: u8 = 1;

/// Bytes of a message that one datagram carries, so that it fits every usual path unfragmented.
pub const PART_BYTES: usize = 1_200;

/// Datagrams that one message may take.
pub const MESSAGE_PARTS: usize = 32;

/// Largest encoded message, in bytes.
pub const MESSAGE_BYTES: usize = PART_BYTES * MESSAGE_PARTS;

/// Largest datagram, in bytes: a part, its header and its code.
pub const DATAGRAM_BYTES: usize = PART_BYTES + 80;

/// `Route` is where a datagram goes from and to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route {
    /// Address of the instance that seals it.
    pub from: SocketAddr,
    /// Address of the instance that opens it.
    pub to: SocketAddr,
}

/// `Header` is what a datagram says of its sender and of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Instance that sealed it.
    #[serde(with = "postcard::fixint::le")]
    pub instance: InstanceId,
    /// Life of that instance.
    pub incarnation: Incarnation,
    /// Failure domain of that instance.
    #[serde(with = "postcard::fixint::le")]
    pub domain: DomainId,
    /// Number of the datagram within the sender's life.
    pub sequence: u64,
    /// Wall-clock time of sealing, in milliseconds after the incarnation's number, which is short
    /// when that number is the wall-clock time of the start.
    pub age_ms: i64,
    /// Position of this part in its message, from 0.
    pub part: u8,
    /// Parts of the message.
    pub parts: u8,
}

impl Header {
    /// `sealed_ms` returns the wall-clock time of sealing, in milliseconds since the Unix epoch.
    pub fn sealed_ms(&self) -> u64 {
        self.incarnation.wrapping_add_signed(self.age_ms)
    }
}

/// `Opened` is a datagram whose code is right.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opened<'a> {
    /// Where it came from.
    pub from: SocketAddr,
    /// The header.
    pub header: Header,
    /// Part of the encoded message.
    pub payload: &'a [u8],
}

impl Opened<'_> {
    /// `sender` returns the instance that sealed the datagram.
    pub fn sender(&self) -> Sender {
        let Header { instance, incarnation, domain, .. } = self.header;
        Sender { instance, incarnation, domain, address: self.from }
    }
}

/// `seal` makes a datagram.
///
/// # Errors
///
/// Fails when the payload is larger than [`PART_BYTES`].
pub fn seal(key: &KeyBytes, header: &Header, route: Route, payload: &[u8]) -> Result<Vec<u8>> {
    if PART_BYTES < payload.len() {
        return Err(Error::Oversize { bytes: payload.len(), limit_bytes: PART_BYTES });
    }
    let mut datagram = postcard::to_extend(header, vec![FORMAT_VERSION]).map_err(encoding_error)?;
    datagram.extend_from_slice(payload);
    let code = code_of(key, &[&route_bytes(route), &datagram]);
    datagram.extend_from_slice(&code);
    Ok(datagram)
}

/// `open` checks and takes apart a datagram that came by a route.
///
/// # Errors
///
/// Tells why the datagram is to be dropped.
pub fn open<'a>(
    key: &KeyBytes,
    route: Route,
    datagram: &'a [u8],
) -> std::result::Result<Opened<'a>, DropReason> {
    if DATAGRAM_BYTES < datagram.len() {
        return Err(DropReason::Oversize);
    }
    let Some((sealed, code)) = datagram.split_last_chunk::<CODE_BYTES>() else {
        return Err(DropReason::Malformed);
    };
    if sealed.first() != Some(&FORMAT_VERSION) {
        return Err(DropReason::Malformed);
    }
    let expected: Code = code_of(key, &[&route_bytes(route), sealed]);
    if !codes_agree(&expected, code) {
        return Err(DropReason::Stranger);
    }
    let (header, payload): (Header, &[u8]) =
        postcard::take_from_bytes(&sealed[1..]).map_err(|_| DropReason::Undecodable)?;
    let is_whole = header.part < header.parts && usize::from(header.parts) <= MESSAGE_PARTS;
    if !is_whole || PART_BYTES < payload.len() {
        return Err(DropReason::Undecodable);
    }
    Ok(Opened { from: route.from, header, payload })
}

/// `seal_message` makes the datagrams of a message; `sequence` is the number of the first of them
/// and is advanced by as many as there are.
///
/// # Errors
///
/// Fails when the message is larger than [`MESSAGE_BYTES`].
///
/// ```
/// use bergamotpitch_control::Message;
/// use bergamotpitch_control::inputs::Sender;
/// use bergamotpitch_control::messages::Heartbeat;
/// use bergamotpitch_wire::seals::{self, Route};
/// use bergamotpitch_wire::Keys;
///
/// let keys = Keys::from_shared_key("a secret of the whole fleet");
/// let sender = Sender {
///     instance: 1,
///     incarnation: 1,
///     domain: 1,
///     address: "127.0.0.1:7000".parse().unwrap(),
/// };
/// let to = "127.0.0.1:7001".parse().unwrap();
/// let message = Message::Heartbeat(Heartbeat::default());
/// let mut sequence = 1;
/// let datagrams =
///     seals::seal_message(&keys.datagram, &sender, to, &mut sequence, 0, &message).unwrap();
/// assert_eq!(datagrams.len(), 1);
/// let route = Route { from: sender.address, to };
/// assert_eq!(seals::open(&keys.datagram, route, &datagrams[0]).unwrap().sender(), sender);
/// let elsewhere = Route { from: sender.address, to: sender.address };
/// assert!(seals::open(&keys.datagram, elsewhere, &datagrams[0]).is_err());
/// ```
pub fn seal_message(
    key: &KeyBytes,
    sender: &Sender,
    to: SocketAddr,
    sequence: &mut u64,
    sealed_ms: u64,
    message: &Message,
) -> Result<Vec<Vec<u8>>> {
    let encoded = encode(message)?;
    let parts: Vec<&[u8]> = encoded.chunks(PART_BYTES).collect();
    let route = Route { from: sender.address, to };
    let mut datagrams = Vec::with_capacity(parts.len());
    for (part, payload) in parts.iter().enumerate() {
        let header = Header {
            instance: sender.instance,
            incarnation: sender.incarnation,
            domain: sender.domain,
            sequence: *sequence,
            age_ms: sealed_ms.wrapping_sub(sender.incarnation) as i64,
            part: part as u8,
            parts: parts.len() as u8,
        };
        datagrams.push(seal(key, &header, route, payload)?);
        *sequence += 1;
    }
    Ok(datagrams)
}

/// `encode` encodes a message.
///
/// # Errors
///
/// Fails when the message is larger than [`MESSAGE_BYTES`].
pub fn encode(message: &Message) -> Result<Vec<u8>> {
    let encoded = postcard::to_stdvec(message).map_err(encoding_error)?;
    if MESSAGE_BYTES < encoded.len() {
        return Err(Error::Oversize { bytes: encoded.len(), limit_bytes: MESSAGE_BYTES });
    }
    Ok(encoded)
}

/// `decode` decodes a whole message.
///
/// # Errors
///
/// Fails when the bytes are not exactly one message.
pub fn decode(encoded: &[u8]) -> std::result::Result<Message, DropReason> {
    match postcard::take_from_bytes(encoded) {
        Ok((message, [])) => Ok(message),
        _ => Err(DropReason::Undecodable),
    }
}

fn route_bytes(route: Route) -> [u8; 36] {
    let mut bytes = [0; 36];
    bytes[..18].copy_from_slice(&address_bytes(route.from));
    bytes[18..].copy_from_slice(&address_bytes(route.to));
    bytes
}

fn address_bytes(address: SocketAddr) -> [u8; 18] {
    let mut bytes = [0; 18];
    let number = match address.ip() {
        std::net::IpAddr::V4(number) => number.to_ipv6_mapped(),
        std::net::IpAddr::V6(number) => number,
    };
    bytes[..16].copy_from_slice(&number.octets());
    bytes[16..].copy_from_slice(&address.port().to_le_bytes());
    bytes
}

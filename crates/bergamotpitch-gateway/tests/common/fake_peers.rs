//! Other instances, of which a test writes the messages.

use std::net::SocketAddr;

use bergamotpitch_control::traffic::engine_loads::RequestNumber;
use bergamotpitch_core::ids::InstanceId;
use bergamotpitch_gateway::Gateway;
use bergamotpitch_gateway::messages::{
    Body, Message, PlacementRequestBody, ProgressEvent, Reply, ReplyOutcome, decode, encode,
};
use bergamotpitch_gateway::peers::PeerAddress;
use tokio::net::UdpSocket;

/// `FakePeer` is another instance, of which a test writes the messages.
pub struct FakePeer {
    instance: InstanceId,
    socket: UdpSocket,
    gateway: SocketAddr,
}

impl FakePeer {
    /// `start` opens its port.
    pub async fn start(instance: InstanceId, gateway: &Gateway) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        Self { instance, socket, gateway: gateway.options.beat_address }
    }

    /// `address` returns where it is found.
    pub fn address(&self, domain: &str) -> PeerAddress {
        let address = self.socket.local_addr().unwrap();
        PeerAddress {
            instance: self.instance,
            domain: domain.to_owned(),
            beat_address: address,
            relay_address: address,
            processor_millis: 1_000,
        }
    }

    /// `next` returns the next message in which something is found; the others are passed over.
    pub async fn next<T>(&self, find: impl Fn(Body) -> Option<T>) -> T {
        let mut buffer = [0; 4_000];
        loop {
            let length = self.socket.recv(&mut buffer).await.unwrap();
            if let Some(found) = find(decode(&buffer[..length]).unwrap().body) {
                return found;
            }
        }
    }

    /// `next_placement_request` returns the next request that wants a place.
    pub async fn next_placement_request(&self) -> PlacementRequestBody {
        self.next(|body| if let Body::PlacementRequest(ask) = body { Some(ask) } else { None })
            .await
    }

    /// `next_event` returns what becomes next of a granted request.
    pub async fn next_event(&self, number: RequestNumber) -> ProgressEvent {
        let event_of = |body| {
            let Body::Progress(reports) = body else { return None };
            reports.iter().find(|report| report.number == number).map(|report| report.event)
        };
        self.next(event_of).await
    }

    /// `reply` decides on one.
    pub async fn reply(&self, number: RequestNumber, outcome: ReplyOutcome) {
        self.send(Body::Reply(Reply { number, outcome })).await;
    }

    /// `send` sends any message.
    pub async fn send(&self, body: Body) {
        let bytes = encode(&Message { instance: self.instance, incarnation: 1, body }).unwrap();
        self.socket.send_to(&bytes, self.gateway).await.unwrap();
    }
}

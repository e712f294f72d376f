//! An instance that knows of a newer configuration than the one it has.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_gateway::Gateway;
use bergamotpitch_gateway::messages::{Body, Heartbeat, Message, encode};
use bergamotpitch_gateway::peers::PeerAddress;
use common::{FakeUpstream, ask, catalog, closed_port, request, run, start, whole};
use tokio::net::UdpSocket;

const PEER: u32 = 7;

/// Puts a peer beside the gateway that can't be asked for anything, and lets it tell of a version.
async fn receive_version(gateway: &Rc<Gateway>, relay_address: SocketAddr, version: u64) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    gateway.replace_peers(vec![PeerAddress {
        instance: PEER,
        domain: "b".to_owned(),
        beat_address: socket.local_addr().unwrap(),
        relay_address,
        processor_millis: 1_000,
    }]);
    let heartbeat = Heartbeat { sequence: 1, version, parts: 1, ..Heartbeat::default() };
    let message = Message { instance: PEER, incarnation: 1, body: Body::Heartbeat(heartbeat) };
    let address = gateway.options.beat_address;
    socket.send_to(&encode(&message).unwrap(), address).await.unwrap();
    while gateway.peers.borrow()[&PEER].version != version {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against requests that are denied for good by an instance which hears its peers and can't
/// fetch the configuration that allows them.
#[test]
fn denied_by_old_version() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (gateway, address) = start(&[&upstream]).await;
        let (_closed, relay_address) = closed_port();
        let statuses = async || {
            let new_route = ask(address, request("GET", "/new/", "a")).await.unwrap();
            let new_team = ask(address, request("GET", "/closed/", "b")).await.unwrap();
            let allowed = ask(address, request("GET", "/safe/", "c")).await.unwrap();
            [new_route.status, new_team.status, allowed.status]
        };
        receive_version(&gateway, relay_address, 1).await;
        assert_eq!(statuses().await, [404, 401, 200]);
        receive_version(&gateway, relay_address, 2).await;
        assert_eq!(statuses().await, [503, 503, 200]);
        let refused = ask(address, request("GET", "/new/", "d")).await.unwrap();
        assert!(refused.body.contains("not_ready"), "{}", refused.body);
        assert!(refused.headers.contains_key("retry-after"));
        gateway.put_catalog(catalog(2), "test");
        assert_eq!(statuses().await, [404, 401, 200]);
    });
}

//! What peers say of an upstream counts for the life of it that they mean.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;

use bergamotpitch_control::traffic::engine_loads::{Capacity, Figures, Work};
use bergamotpitch_control::traffic::engine_speeds::EngineSpeed;
use bergamotpitch_control::traffic::starts::StartNote;
use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::UpstreamId;
use bergamotpitch_gateway::Gateway;
use bergamotpitch_gateway::heartbeats;
use bergamotpitch_gateway::messages::{Body, Heartbeat, decode};
use bergamotpitch_gateway::peers::PeerAddress;
use common::{FakeUpstream, registration, run, start, whole};
use tokio::net::UdpSocket;

fn life_number(gateway: &Rc<Gateway>) -> UpstreamId {
    let traffic = gateway.traffic.borrow();
    let key = traffic.registry.key_of("u0").unwrap();
    traffic.registry.get(key).unwrap().life_number
}

fn takes_work(gateway: &Rc<Gateway>) -> bool {
    let traffic = gateway.traffic.borrow();
    let key = traffic.registry.key_of("u0").unwrap();
    traffic.registry.get(key).unwrap().takes_work()
}

/// An upstream leaves and starts again under the id that it had. A peer that has not read of the new
/// start goes on saying that it leaves, and what it had in hand there. Taken for the new life, this
/// would keep a sound upstream idle for good.
#[test]
fn earlier_incarnation() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (gateway, _) = start(&[&upstream]).await;
        let before = life_number(&gateway);
        let mut again = registration("u0", upstream.address);
        again.born_ms = Some(2);
        gateway.upstream_listed(again);
        let figures = Figures { requests: 4, ..Figures::default() };
        let lines: HashMap<UpstreamId, Figures> = [(before, figures)].into_iter().collect();
        gateway.update_peer_loads(7, &lines, gateway.now());
        gateway.mark_leaving_upstreams(&[before]);
        assert!(takes_work(&gateway));
        let options = gateway.options.admission.loads;
        let now = gateway.now();
        let in_flight: u32 = {
            let traffic = gateway.traffic.borrow();
            traffic.loads().map(|(_, load)| load.figures(now, &options).requests).sum()
        };
        assert_eq!(in_flight, 0);
        gateway.mark_leaving_upstreams(&[life_number(&gateway)]);
        assert!(!takes_work(&gateway));
    });
}

/// Guards against requests to an upstream that is long gone, at an instance that hears its peers and cannot read
/// the list.
#[test]
fn later_list() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (gateway, _) = start(&[&upstream]).await;
        gateway.list_read(7, 7);
        let life = life_number(&gateway);
        gateway.mark_gone_upstreams(&[life], 7);
        assert!(takes_work(&gateway), "the own list is as late");
        gateway.mark_gone_upstreams(&[life], 8);
        assert!(!takes_work(&gateway));
        gateway.upstream_listed(registration("u0", upstream.address));
        assert!(takes_work(&gateway), "it is listed again");
    });
}

/// What an instance's list has ceased to hold is told to the others for some seconds, unless it is back.
#[test]
fn gone_is_told() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (gateway, _) = start(&[&upstream]).await;
        let life = life_number(&gateway);
        let told = || gateway.traffic.borrow().registry.gone_lately().collect::<Vec<_>>();
        assert!(told().is_empty());
        gateway.traffic.borrow_mut().registry.gone("u0");
        assert_eq!(told(), [life]);
        gateway.upstream_listed(registration("u0", upstream.address));
        assert!(told().is_empty());
    });
}

/// A peer that listens at `address`.
fn peer(instance: u32, address: SocketAddr) -> PeerAddress {
    let domain = "a".to_owned();
    PeerAddress {
        instance,
        domain,
        beat_address: address,
        relay_address: address,
        processor_millis: 1_000,
    }
}

/// The next beat that arrives.
async fn heartbeat_from(socket: &UdpSocket) -> Heartbeat {
    let mut buffer = [0; 4_000];
    let length = socket.recv(&mut buffer).await.unwrap();
    assert!(length <= 1_400, "{length} bytes are cut on the way");
    let Body::Heartbeat(heartbeat) = decode(&buffer[..length]).unwrap().body else {
        panic!("no beat")
    };
    heartbeat
}

/// Callers of a flooding team reach one instance, which sends more starts of prompts than one
/// datagram tells. If the beat were left out or cut anywhere, peers would not learn what runs where,
/// and fill the same engines.
#[test]
fn oversized_heartbeat() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (gateway, _) = start(&[&upstream]).await;
        let listener = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        gateway.replace_peers(vec![peer(7, listener.local_addr().unwrap())]);
        let life = life_number(&gateway);
        let now = gateway.now();
        {
            let mut traffic = gateway.traffic.borrow_mut();
            let key = traffic.registry.key_of("u0").unwrap();
            let options = traffic.options.loads;
            let capacity = Capacity { slots: 4, speed: EngineSpeed::default() };
            traffic.load(key).send(1, Work::default(), &capacity, now, &options);
            for start in 1..=500 {
                let tokens = start as u32;
                traffic.starts.sent(StartNote { start, tokens, upstream: life, used: now });
            }
        }
        heartbeats::send_heartbeat(&gateway, 1);
        let heartbeat = heartbeat_from(&listener).await;
        assert_eq!(heartbeat.loads.len(), 1);
        let prefixes = heartbeat.prefixes.len();
        assert!((40..500).contains(&prefixes), "{prefixes}");
    });
}

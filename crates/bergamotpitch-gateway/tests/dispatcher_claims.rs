//! Which claims to decide for a failure domain make its dispatcher doubt that it alone decides.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::registries::Registration;
use bergamotpitch_control::traffic::warm_ups::WarmUp;
use bergamotpitch_core::ids::InstanceId;
use bergamotpitch_gateway::messages::{Body, Heartbeat};
use bergamotpitch_gateway::peers::PeerAddress;
use bergamotpitch_gateway::{Gateway, Options};
use common::fake_peers::FakePeer;
use common::{FakeUpstream, ask, catalog, launch, prompt, registration, run, start_small, whole};

/// Time between two beats of a peer.
const BEAT: Duration = Duration::from_millis(100);

/// The time that an instance takes to count as one that has run for long, and then to be sure of its role.
const SURE_TIME: Duration = Duration::from_millis(8_200);

/// Peers of the domain, and what they tell of themselves besides that they are there.
struct Domain {
    peers: Vec<FakePeer>,
    sequence: u64,
}

impl Domain {
    async fn start(gateway: &Rc<Gateway>, instances: &[InstanceId], processor_millis: u32) -> Self {
        let mut peers = Vec::new();
        for instance in instances {
            peers.push(FakePeer::start(*instance, gateway).await);
        }
        let address = |peer: &FakePeer| PeerAddress { processor_millis, ..peer.address("a") };
        gateway.replace_peers(peers.iter().map(address).collect());
        Self { peers, sequence: 0 }
    }

    /// All peers tell of themselves for some time, the first one with what it claims.
    async fn beat(&mut self, time: Duration, first: &Heartbeat) {
        let beats = time.as_millis() / BEAT.as_millis();
        for _ in 0..beats {
            self.sequence += 1;
            let sequence = self.sequence;
            for (index, peer) in self.peers.iter().enumerate() {
                let claims = if index == 0 { first.clone() } else { Heartbeat::default() };
                let beat = Heartbeat { sequence, parts: 1, is_eligible: true, ..claims };
                peer.send(Body::Heartbeat(beat)).await;
            }
            tokio::time::sleep(BEAT).await;
        }
    }
}

/// Lets operators bound what upstreams get that are cold.
fn bound_arrivals(gateway: &Gateway) {
    let mut bounded = catalog(2);
    let warm_up = WarmUp { time: Duration::from_secs(60), requests_per_s: 20.0 };
    bounded.services.values_mut().for_each(|service| service.warm_up = Some(warm_up));
    gateway.put_catalog(bounded, "test");
}

fn list_cold(gateway: &Rc<Gateway>, upstream: &FakeUpstream) {
    let cold_left = Some(Duration::from_secs(60));
    let listed = registration("u0", upstream.address);
    gateway.upstream_listed(Registration { cold_left, domain: "a".to_owned(), ..listed });
}

/// How many of some requests, one after the other, are served.
async fn served(address: SocketAddr, requests: usize) -> usize {
    let mut served = 0;
    for number in 0..requests {
        let answer = ask(address, prompt(&format!("r{number}"))).await.unwrap();
        served += usize::from(answer.status == 200);
    }
    served
}

/// Guards against cold engines that idle for seconds beside requests that are refused, as an instance that
/// is late takes all others for silent and says that it decides.
#[test]
fn late_claim() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (gateway, address) = start_small(&[]).await;
        bound_arrivals(&gateway);
        list_cold(&gateway, &upstream);
        let mut domain = Domain::start(&gateway, &[1, 2, 3, 4], 60).await;
        domain.beat(SURE_TIME, &Heartbeat::default()).await;
        assert_eq!(served(address, 4).await, 4);
        let claim = Heartbeat { is_dispatcher: true, ..Heartbeat::default() };
        domain.beat(Duration::from_millis(300), &claim).await;
        domain.beat(Duration::from_millis(200), &Heartbeat::default()).await;
        assert_eq!(served(address, 4).await, 4, "it doubts that it alone decides");
    });
}

/// Guards against two instances that both send to cold engines, as each takes itself for the only one that
/// decides.
#[test]
fn rival_claim() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (gateway, address) = start_small(&[]).await;
        bound_arrivals(&gateway);
        list_cold(&gateway, &upstream);
        let mut domain = Domain::start(&gateway, &[1, 2, 3, 4], 60).await;
        domain.beat(SURE_TIME, &Heartbeat::default()).await;
        let claim = Heartbeat { is_dispatcher: true, hears_most: true, ..Heartbeat::default() };
        domain.beat(Duration::from_millis(300), &claim).await;
        assert_eq!(served(address, 4).await, 0);
    });
}

/// Guards against the same where a dispatcher that was killed is back, and takes its role over from an
/// instance of the same kind that has decided meanwhile.
#[test]
fn returned_dispatcher() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let options = Options { instance: 5, ..Options::default() };
        let (gateway, address) = launch(&[], catalog(1), options).await;
        bound_arrivals(&gateway);
        list_cold(&gateway, &upstream);
        let processor_millis = gateway.options.processor_millis;
        let mut domain = Domain::start(&gateway, &[4, 6, 7], processor_millis).await;
        domain.beat(SURE_TIME, &Heartbeat::default()).await;
        assert_eq!(served(address, 4).await, 4);
        let returned = Heartbeat { counted_ms: 6_000, ..Heartbeat::default() };
        domain.beat(Duration::from_millis(500), &returned).await;
        assert!(gateway.is_dispatcher());
        assert_eq!(served(address, 4).await, 4, "it doubts that it alone decides");
    });
}

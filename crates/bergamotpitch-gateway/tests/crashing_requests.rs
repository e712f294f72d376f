//! One request under which upstreams crash is found, and reaches few of them.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_control::traffic::registries::Registration;
use bergamotpitch_gateway::peers::PeerAddress;
use bytes::Bytes;
use common::crashes::{BAD_SUBJECT, CrashingUpstream, EARLY_SUBJECT, Ending};
use common::instances::{Instance, introduce};
use common::{Got, ask, closed_port, prompt_of, registration, request, run, start};
use http::Request;
use http_body_util::Full;

/// Once three upstreams have crashed under a request, it may reach no other one.
const CRASHES_MAX: usize = 3;

/// The time in seconds after which no caller comes back: a third of what the most patient ones wait for.
const LATEST_RETURN_S: f64 = 20.0;

/// How often a caller sends a request that fails.
const ATTEMPTS: usize = 8;

/// Failure domains; each instance prefers the upstreams of its own.
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// The time in which a datagram reaches the farthest region.
const WAY_BETWEEN_REGIONS: Duration = Duration::from_millis(15);

/// The kinds of requests that callers send again after any failure.
const REPEATED_KINDS: [&str; 2] = ["safe", "resumed"];

/// One attempt of a caller's request: its content is the same each time, its id another one.
fn attempt(kind: &str, subject: &str, number: usize) -> Request<Full<Bytes>> {
    let id = format!("{subject}-{number}");
    let mut attempt = match kind {
        "safe" => request("GET", "/", &id),
        "once" => request("POST", "/", &id),
        _ => prompt_of(&id, &[1, 100, 10_000]),
    };
    *attempt.uri_mut() = format!("/{kind}/{subject}").parse().unwrap();
    attempt
}

async fn upstreams(count: usize) -> Vec<CrashingUpstream> {
    let mut upstreams = Vec::new();
    for _ in 0..count {
        upstreams.push(CrashingUpstream::start_ending(Ending::Request).await);
    }
    upstreams
}

fn listed(upstreams: &[CrashingUpstream]) -> Vec<Registration> {
    let registration = |(index, upstream): (usize, &CrashingUpstream)| Registration {
        domain: DOMAINS[index % DOMAINS.len()].to_owned(),
        ..registration(&format!("e{index}"), upstream.address)
    };
    upstreams.iter().enumerate().map(registration).collect()
}

fn crashed(upstreams: &[CrashingUpstream]) -> usize {
    upstreams.iter().filter(|upstream| upstream.has_crashed()).count()
}

/// Instances that know each other, one in each domain, before the same upstreams.
async fn instances_before(upstreams: &[CrashingUpstream]) -> Vec<Instance> {
    let instances: Vec<Instance> = DOMAINS.into_iter().map(Instance::start_in).collect();
    introduce(&instances.iter().collect::<Vec<_>>()).await;
    for instance in &instances {
        instance.list(&listed(upstreams)).await;
    }
    instances
}

/// Sends attempts of one request to several instances at the same moment.
async fn ask_at_once(
    addresses: &[SocketAddr],
    kind: &'static str,
    first: usize,
) -> Vec<Option<Got>> {
    let asked: Vec<_> = (addresses.iter().enumerate())
        .map(|(index, address)| ask(*address, attempt(kind, BAD_SUBJECT, first + index)))
        .map(tokio::task::spawn_local)
        .collect();
    let mut got = Vec::new();
    for asked in asked {
        got.push(asked.await.unwrap());
    }
    got
}

/// How many requests an instance knows under which upstreams crashed.
async fn suspected(instance: &Instance) -> usize {
    let count = |gateway: &std::rc::Rc<bergamotpitch_gateway::Gateway>| {
        let suspicions = gateway.traffic.borrow().crash_suspects.suspicions();
        suspicions.iter().filter(|known| known.suspect.is_request()).count()
    };
    instance.with(count).await
}

/// Guards against upstream after upstream that crashes under one request, as its caller sends it again at
/// other instances.
#[test]
fn repeated_request() {
    run(async {
        let kinds = ["safe", "resumed", "once", "stream"].map(|kind| (kind, BAD_SUBJECT));
        for (kind, subject) in kinds.into_iter().chain([("resumed", EARLY_SUBJECT)]) {
            let upstreams = upstreams(8).await;
            let instances = instances_before(&upstreams).await;
            let mut last = None;
            for number in 0..ATTEMPTS {
                let address = instances[number % instances.len()].address;
                last = ask(address, attempt(kind, subject, number)).await;
            }
            assert!(crashed(&upstreams) <= CRASHES_MAX, "{kind}: {} crashed", crashed(&upstreams));
            let last = last.unwrap();
            let return_s: f64 = last.headers["retry-after"].to_str().unwrap().parse().unwrap();
            assert!(last.status == 503 && last.body.contains("request_blocked"), "{last:?}");
            assert!(LATEST_RETURN_S < return_s, "its caller comes back in vain: {return_s} s");
            let sound = ask(instances[0].address, attempt(kind, "sound", 0)).await.unwrap();
            assert_eq!((sound.status, sound.is_whole), (200, true), "{kind}");
        }
    });
}

/// Guards against copies of a request that crash an upstream each: a caller whose first attempt failed sends
/// it to all instances at once.
#[test]
fn repeated_at_once() {
    run(async {
        for kind in ["safe", "resumed", "once", "stream"] {
            let upstreams = upstreams(8).await;
            let instances = instances_before(&upstreams).await;
            let addresses: Vec<_> = instances.iter().map(|instance| instance.address).collect();
            ask(addresses[0], attempt(kind, BAD_SUBJECT, 0)).await;
            for burst in 1..4 {
                ask_at_once(&[addresses.as_slice(); 2].concat(), kind, 10 * burst).await;
            }
            assert!(crashed(&upstreams) <= CRASHES_MAX, "{kind}: {} crashed", crashed(&upstreams));
        }
    });
}

/// Guards against copies that crash an upstream each, as the one that all prefer has no room for more than
/// one of them.
#[test]
fn full_upstreams() {
    run(async {
        for kind in ["resumed", "stream"] {
            let upstreams = upstreams(8).await;
            let (gateway, address) = start(&[]).await;
            let small = |upstream| Registration { slots: 1, ..upstream };
            listed(&upstreams).into_iter().map(small).for_each(|it| gateway.upstream_listed(it));
            ask(address, attempt("once", BAD_SUBJECT, 0)).await;
            ask(address, attempt(kind, BAD_SUBJECT, 0)).await;
            let before = crashed(&upstreams);
            ask_at_once(&[address; 6], kind, 10).await;
            assert!(crashed(&upstreams) <= 1 + before, "{kind}: {} crashed", crashed(&upstreams));
        }
    });
}

/// Guards against a block that reaches an instance late, as the witness is not known to it but to others.
#[test]
fn unknown_witness() {
    run(async {
        let upstreams = upstreams(8).await;
        let instances = instances_before(&upstreams).await;
        // The last one has not read where the witness is, nor the witness where it is.
        let (witness, last) = (instances[0].peer.clone(), instances[2].peer.clone());
        let known = vec![instances[1].peer.clone()];
        let to_last = known.clone();
        instances[0].with(move |gateway| gateway.replace_peers(known)).await;
        instances[2].with(move |gateway| gateway.replace_peers(to_last)).await;
        assert_ne!(witness.instance, last.instance);
        ask(instances[0].address, attempt("safe", BAD_SUBJECT, 0)).await;
        // The news takes two hops, for which a busy machine may need longer than the caller waits.
        let blocked = |gateway: &std::rc::Rc<bergamotpitch_gateway::Gateway>| {
            let suspicions = gateway.traffic.borrow().crash_suspects.suspicions();
            suspicions.iter().any(|known| known.blocked_until.is_some())
        };
        while !instances[2].with(blocked).await {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let refused = ask(instances[2].address, attempt("safe", BAD_SUBJECT, 1)).await.unwrap();
        assert!(refused.body.contains("request_blocked"), "{}", refused.body);
        assert_eq!(crashed(&upstreams), 2);
    });
}

/// Guards against a request that crashes further upstreams, as the instance that saw it crash the first ones
/// is killed.
#[test]
fn killed_witness() {
    run(async {
        for kind in REPEATED_KINDS {
            let upstreams = upstreams(8).await;
            let mut instances = instances_before(&upstreams).await;
            let witness = instances.remove(0);
            ask(witness.address, attempt(kind, BAD_SUBJECT, 0)).await;
            witness.kill();
            for number in 1..ATTEMPTS {
                let address = instances[number % instances.len()].address;
                ask(address, attempt(kind, BAD_SUBJECT, number)).await;
            }
            assert!(crashed(&upstreams) <= CRASHES_MAX, "{kind}: {} crashed", crashed(&upstreams));
        }
    });
}

/// Guards against a request that crashes two upstreams at each instance that hears no other one: what those
/// know cannot be told to it.
#[test]
fn isolated_instances() {
    run(async {
        let (_kept, dead_address) = closed_port();
        let dead_peer = PeerAddress {
            instance: 99,
            domain: "a".to_owned(),
            beat_address: dead_address,
            relay_address: dead_address,
            processor_millis: 1_000,
        };
        for kind in REPEATED_KINDS {
            let upstreams = upstreams(8).await;
            let instances = [Instance::start(), Instance::start()];
            for instance in &instances {
                let peers = vec![dead_peer.clone()];
                instance.with(move |gateway| gateway.replace_peers(peers)).await;
                instance.list(&listed(&upstreams)).await;
            }
            for number in 0..ATTEMPTS {
                ask(instances[number % 2].address, attempt(kind, BAD_SUBJECT, number)).await;
            }
            assert_eq!(crashed(&upstreams), instances.len(), "{kind}");
        }
    });
}

/// Guards against a sound request that is held responsible for an upstream which ended for another reason: it
/// is served elsewhere, and no instance holds anything against it then.
#[test]
fn sound_request() {
    run(async {
        let upstreams = upstreams(4).await;
        let instances = instances_before(&upstreams).await;
        let asked = tokio::task::spawn_local(ask(instances[0].address, attempt("safe", "it", 0)));
        while upstreams.iter().all(|upstream| upstream.count() == 0) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        upstreams.iter().filter(|upstream| upstream.count() != 0).for_each(CrashingUpstream::crash);
        assert_eq!(asked.await.unwrap().unwrap().status, 200);
        tokio::time::sleep(Duration::from_millis(100)).await;
        for instance in &instances {
            assert_eq!(suspected(instance).await, 0);
        }
        let again = ask(instances[1].address, attempt("safe", "it", 1)).await.unwrap();
        assert_eq!(again.status, 200);
    });
}

/// Guards against an instance that takes itself for cut off as it hears only those that stand by to decide for
/// its domain, and refuses a sound request that was in hand at an upstream which ended.
#[test]
fn large_domain() {
    run(async {
        let upstreams = upstreams(4).await;
        let instances: Vec<Instance> = (0..9).map(|_| Instance::start()).collect();
        let peers: Vec<PeerAddress> =
            instances.iter().map(|instance| instance.peer.clone()).collect();
        for instance in &instances {
            let peers = peers.clone();
            instance.with(move |gateway| gateway.replace_peers(peers)).await;
            instance.list(&listed(&upstreams)).await;
        }
        let last = instances.iter().max_by_key(|instance| instance.peer.instance).unwrap();
        // Long enough for the silence of those that do not stand by to count.
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        assert!(!last.with(|gateway| gateway.role().is_standby).await);
        let asked = tokio::task::spawn_local(ask(last.address, attempt("safe", "it", 0)));
        while upstreams.iter().all(|upstream| upstream.count() == 0) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        upstreams.iter().filter(|upstream| upstream.count() != 0).for_each(CrashingUpstream::crash);
        assert_eq!(asked.await.unwrap().unwrap().status, 200);
    });
}

/// Guards against an instance that knows no other one and takes what it knows of a request for all that is known:
/// several that start together would each send it to some upstreams.
#[test]
fn unlisted_instance() {
    run(async {
        let upstreams = upstreams(8).await;
        let instance = Instance::start_unlisted();
        instance.list(&listed(&upstreams)).await;
        for number in 0..ATTEMPTS {
            ask(instance.address, attempt("safe", BAD_SUBJECT, number)).await;
        }
        assert_eq!(crashed(&upstreams), 1);
    });
}

/// Guards against a caller that sends a request again before other instances can know that it crashed an
/// upstream.
#[test]
fn early_failure() {
    run(async {
        for kind in ["once", "stream"] {
            let upstreams = upstreams(4).await;
            let instances = instances_before(&upstreams).await;
            let address = instances[0].address;
            let asked = tokio::task::spawn_local(ask(address, attempt(kind, BAD_SUBJECT, 0)));
            while crashed(&upstreams) == 0 {
                tokio::task::yield_now().await;
            }
            let crashed = std::time::Instant::now();
            asked.await.unwrap();
            assert!(WAY_BETWEEN_REGIONS < crashed.elapsed(), "{kind}: {:?}", crashed.elapsed());
            assert_eq!(suspected(&instances[2]).await, 1);
        }
    });
}

/// Guards against a crash of which nobody hears, as the caller leaves while the instance looks whether the
/// upstream has ended.
#[test]
fn departed_caller() {
    run(async {
        let upstreams = [CrashingUpstream::start_ending(Ending::LatePort).await];
        let instances = instances_before(&upstreams).await;
        let address = instances[0].address;
        let asked = tokio::task::spawn_local(ask(address, attempt("stream", BAD_SUBJECT, 0)));
        while connections_opened(&instances[0]).await < 2 {
            tokio::task::yield_now().await;
        }
        asked.abort();
        tokio::time::sleep(Duration::from_millis(150)).await;
        assert_eq!(suspected(&instances[2]).await, 1);
    });
}

/// Connections to upstreams: for requests, and to see whether one has ended.
async fn connections_opened(instance: &Instance) -> u64 {
    let metrics = instance.with(|gateway| gateway.metrics.text()).await;
    let name = "bergamotpitch_connections_opened";
    let line = metrics.lines().find(|line| line.starts_with(name));
    line.map_or(0, |line| line.rsplit(' ').next().unwrap().parse().unwrap())
}

/// Guards against an upstream that counts as crashed under a request although it had ended before: its kept
/// connections are not known to be closed yet.
#[test]
fn ended_before() {
    run(async {
        let upstreams = upstreams(2).await;
        let (gateway, address) = start(&[]).await;
        listed(&upstreams).into_iter().for_each(|upstream| gateway.upstream_listed(upstream));
        // More than one of them takes.
        let sound = (0..20).map(|number| ask(address, attempt("safe", "sound", number)));
        let sound: Vec<_> = sound.map(tokio::task::spawn_local).collect();
        for sound in sound {
            sound.await.unwrap();
        }
        let asked = tokio::task::spawn_local(ask(address, attempt("safe", "it", 0)));
        tokio::time::sleep(Duration::from_millis(10)).await;
        // Both end in the same moment, with the request in hand at one of them.
        let counts: Vec<usize> = upstreams.iter().map(CrashingUpstream::count).collect();
        assert!(counts.iter().all(|count| 0 < *count), "both have kept connections: {counts:?}");
        upstreams.iter().for_each(CrashingUpstream::close_port);
        tokio::time::sleep(Duration::from_millis(2)).await;
        upstreams.iter().filter(|upstream| upstream.is_busy()).for_each(CrashingUpstream::crash);
        assert_ne!(asked.await.unwrap().unwrap().status, 200);
        let suspicions = gateway.traffic.borrow().crash_suspects.suspicions();
        let crashes: Vec<usize> = suspicions.iter().map(|known| known.crashes).collect();
        assert_eq!(crashes, [1]);
    });
}

/// Guards against ends of plain upstreams that no line and no counter shows.
#[test]
fn plain_upstream() {
    run(async {
        let upstream = CrashingUpstream::start_ending(Ending::Request).await;
        let (gateway, address) = start(&[]).await;
        gateway.upstream_listed(registration("e0", upstream.address));
        ask(address, attempt("once", BAD_SUBJECT, 0)).await;
        assert!(upstream.has_crashed());
        let metrics = gateway.metrics.text();
        let counted =
            metrics.lines().find(|line| line.starts_with("bergamotpitch_upstream_crashes"));
        assert!(counted.is_some_and(|line| line.ends_with(" 1")), "{counted:?}");
    });
}

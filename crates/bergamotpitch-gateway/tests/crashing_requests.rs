//! One request under which upstreams crash is found, and reaches few of them.

mod common;

use std::net::SocketAddr;

use bergamotpitch_control::traffic::registries::Registration;
use bytes::Bytes;
use common::crashes::{BAD_SUBJECT, CrashingUpstream, Ending};
use common::instances::{Instance, introduce};
use common::{Got, ask, prompt_of, registration, request, run, start};
use http::Request;
use http_body_util::Full;

/// Once three upstreams have crashed under a request, it may reach no other one.
const CRASHES_MAX: usize = 3;

/// How often a caller sends a request that fails.
const ATTEMPTS: usize = 8;

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
    let listed = upstreams.iter().enumerate();
    listed.map(|(index, one)| registration(&format!("e{index}"), one.address)).collect()
}

fn crashed(upstreams: &[CrashingUpstream]) -> usize {
    upstreams.iter().filter(|upstream| upstream.has_crashed()).count()
}

/// Three instances that know each other, before the same upstreams.
async fn instances_before(upstreams: &[CrashingUpstream]) -> Vec<Instance> {
    let instances = vec![Instance::start(), Instance::start(), Instance::start()];
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

/// Guards against upstream after upstream that crashes under one request, as its caller sends it again at
/// other instances.
#[test]
fn repeated_request() {
    run(async {
        for kind in ["safe", "resumed", "once", "stream"] {
            let upstreams = upstreams(8).await;
            let instances = instances_before(&upstreams).await;
            for number in 0..ATTEMPTS {
                let address = instances[number % instances.len()].address;
                ask(address, attempt(kind, BAD_SUBJECT, number)).await;
            }
            assert!(crashed(&upstreams) <= CRASHES_MAX, "{kind}: {} crashed", crashed(&upstreams));
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
        for kind in REPEATED_KINDS {
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

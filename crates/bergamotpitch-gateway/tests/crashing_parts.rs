//! A part of prompts that crashes upstreams is found, and reaches few of them.

mod common;

use std::time::Duration;

use bergamotpitch_control::traffic::registries::Registration;
use common::crashes::{BAD_PART, CrashingUpstream};
use common::instances::{Instance, introduce};
use common::{ask, prompt_of, registration, run, start};

/// The rule allows few requests more once five engines have crashed under a part.
const CRASHES_MAX: usize = 5;

/// Parts that all requests share, and one of a few subjects.
fn sound_parts(number: u64) -> Vec<u64> {
    vec![1, 100 + number % 3, 10_000 + number]
}

fn bad_parts(number: u64, place: usize) -> Vec<u64> {
    let mut parts = sound_parts(20_000 + number);
    parts.insert(place, BAD_PART);
    parts
}

async fn engines(count: usize) -> Vec<CrashingUpstream> {
    let mut engines = Vec::new();
    for _ in 0..count {
        engines.push(CrashingUpstream::start().await);
    }
    engines
}

fn listed(engines: &[CrashingUpstream]) -> Vec<Registration> {
    let registration = |(index, engine): (usize, &CrashingUpstream)| Registration {
        slots: 16,
        ..registration(&format!("e{index}"), engine.address)
    };
    engines.iter().enumerate().map(registration).collect()
}

fn crashed(engines: &[CrashingUpstream]) -> usize {
    engines.iter().filter(|engine| engine.has_crashed()).count()
}

/// Guards against engine after engine that crashes under requests with one part in common, wherever in
/// the prompt it stands and at whichever instance they arrive, and against sound requests that are refused
/// with them.
#[test]
fn engine_after_engine() {
    run(async {
        for place in 0..3 {
            let engines = engines(12).await;
            let instances = [Instance::start(), Instance::start(), Instance::start()];
            introduce(&[&instances[0], &instances[1], &instances[2]]).await;
            for instance in &instances {
                instance.list(&listed(&engines)).await;
            }
            let mut served = 0;
            for number in 0..24 {
                let address = instances[number as usize % 3].address;
                let sound = prompt_of(&format!("s{number}"), &sound_parts(number));
                served += usize::from(ask(address, sound).await.is_some_and(|got| got.is_whole));
                let bad = prompt_of(&format!("b{number}"), &bad_parts(number, place));
                ask(address, bad).await;
                tokio::time::sleep(Duration::from_millis(40)).await;
            }
            let crashed = crashed(&engines);
            assert!(crashed <= CRASHES_MAX, "{crashed} engines crashed, part in place {place}");
            assert_eq!(served, 24, "sound requests were not served");
        }
    });
}

/// Guards against one request that crashes two engines, as it is sent on within its answer.
#[test]
fn repeated_crash() {
    run(async {
        let engines = engines(4).await;
        let (gateway, address) = start(&[]).await;
        listed(&engines).into_iter().for_each(|engine| gateway.upstream_listed(engine));
        ask(address, prompt_of("bad", &bad_parts(1, 1))).await;
        assert_eq!(crashed(&engines), 1);
    });
}

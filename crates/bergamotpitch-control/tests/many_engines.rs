//! Decisions before a service of thousands of engines.

use std::time::Duration;

use bergamotpitch_control::traffic::admissions::{Options, Traffic};
use bergamotpitch_control::traffic::facts::{PromptPart, RequestFacts};
use bergamotpitch_control::traffic::placement_requests::{Decision, PlacementRequest, Scope};
use bergamotpitch_control::traffic::registries::{Registration, UpstreamKey};
use bergamotpitch_control::traffic::residencies::AllowedRegions;

const DOMAINS: usize = 6;

/// The engines of a fleet, in six domains in turn.
fn traffic(engines: usize) -> Traffic {
    let mut traffic = Traffic::new(Options { domain: "d0".to_owned(), ..Options::default() });
    for number in 0..engines {
        traffic.registry.listed(Registration {
            id: format!("engine-{number}"),
            born_ms: None,
            service: "engines".to_owned(),
            address: "127.0.0.1:1".parse().unwrap(),
            domain: format!("d{}", number % DOMAINS),
            slots: 16,
            is_leaving: false,
            cold_left: Some(Duration::ZERO),
            software: None,
        });
    }
    traffic
}

fn facts(subject: u64) -> RequestFacts {
    let prefix = vec![
        PromptPart { id: subject, tokens: 2_000 },
        PromptPart { id: 1_000_000 + subject, tokens: 500 },
    ];
    RequestFacts { prompt_tokens: 2_500, prefix, ..RequestFacts::default() }
}

fn request(facts: &RequestFacts, scope: Scope) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "engines",
        facts,
        team: None,
        target: Duration::from_millis(500),
        elapsed: Duration::ZERO,
        tried: &[],
        memory_tokens: 500_000,
        pool_tokens_per_s: None,
        cache_link: None,
        target_gap: None,
        scope,
        regions: &AllowedRegions::Any,
        software: None,
        digest: None,
    }
}

fn place(traffic: &mut Traffic, number: u64, subject: u64, scope: Scope) -> Option<UpstreamKey> {
    let facts = facts(subject);
    let request = request(&facts, scope);
    let Decision::Send(placement) = traffic.choose_upstream(&request, Duration::ZERO) else {
        return None;
    };
    traffic.send(number, &placement, &request, Duration::ZERO);
    Some(placement.upstream)
}

/// How many upstreams the mean decision on 100 requests looks at, with so many engines busy already.
fn mean_considered(engines: usize, busy: u64, scope: Scope) -> f64 {
    let mut traffic = traffic(engines);
    for number in 0..busy {
        place(&mut traffic, number, number, scope).unwrap();
    }
    let before = traffic.candidates_considered();
    for number in 0..100 {
        place(&mut traffic, busy + number, busy + number, scope).unwrap();
    }
    (traffic.candidates_considered() - before) as f64 / 100.0
}

/// Guards against decisions that take longer the more engines a service has: most of thousands are idle, and
/// each was looked at for each request.
#[test]
fn idle_engines() {
    for scope in [Scope::Domain, Scope::Fleet] {
        let considered = [1_200, 9_600, 19_200].map(|engines| mean_considered(engines, 0, scope));
        assert!(considered[2] <= 1.1 * considered[0], "{scope:?}: {considered:?}");
    }
}

/// The same while engines read prompts: what is looked at follows those, not the size of the service.
#[test]
fn busy_engines() {
    let considered =
        [2_400, 9_600, 19_200].map(|engines| mean_considered(engines, 100, Scope::Domain));
    assert!(considered[2] <= 1.1 * considered[0], "{considered:?}");
}

/// Guards against requests that are refused while an engine is idle that comes late in the list.
#[test]
fn last_idle_engine() {
    for scope in [Scope::Domain, Scope::Fleet] {
        let mut traffic = traffic(1_200);
        let keys = traffic.registry.of_service("engines").to_vec();
        let last =
            *traffic.registry.of_domain("engines", keys_domain(&traffic, keys[0])).last().unwrap();
        for (number, key) in keys.iter().enumerate().filter(|(_, key)| **key != last) {
            let facts = RequestFacts { prompt_tokens: 400_000, ..RequestFacts::default() };
            let request = request(&facts, scope);
            let Decision::Send(placement) = traffic.choose_upstream(&request, Duration::ZERO)
            else {
                panic!("no place for {number}");
            };
            let placement = bergamotpitch_control::traffic::placement_requests::Placement {
                upstream: *key,
                ..placement
            };
            traffic.send(number as u64, &placement, &request, Duration::ZERO);
        }
        assert_eq!(place(&mut traffic, 99_999, 7, scope), Some(last), "{scope:?}");
        assert_eq!(place(&mut traffic, 100_000, 8, Scope::Domain), Some(last), "its next slot");
    }
}

/// Guards against prompts that are read again as the engine that holds their start is not among those that are
/// looked at.
#[test]
fn holder_of_prefix() {
    let mut traffic = traffic(9_600);
    let first = place(&mut traffic, 0, 7, Scope::Domain).unwrap();
    for number in 1..400 {
        place(&mut traffic, number, 1_000 + number, Scope::Domain).unwrap();
    }
    // Its first event has come, and it is idle again.
    traffic.load(first).begun(0, Duration::from_millis(50));
    traffic.load(first).ended(0);
    assert_eq!(place(&mut traffic, 1_000, 7, Scope::Domain), Some(first));
}

fn keys_domain(traffic: &Traffic, key: UpstreamKey) -> bergamotpitch_core::ids::DomainId {
    traffic.registry.get(key).unwrap().domain_number
}

//! Where a request goes when the engines of its own failure domain are full.

use std::time::Duration;

use bergamotpitch_control::traffic::admissions::{Options, Traffic};
use bergamotpitch_control::traffic::facts::{PromptPart, RequestFacts};
use bergamotpitch_control::traffic::placement_requests::{Decision, PlacementRequest, Scope};
use bergamotpitch_control::traffic::registries::Registration;
use bergamotpitch_control::traffic::residencies::AllowedRegions;

fn traffic() -> Traffic {
    let options = Options {
        domain: "north-a".to_owned(),
        near_domains: vec!["north-b".to_owned()],
        ..Options::default()
    };
    let mut traffic = Traffic::new(options);
    for domain in ["south-a", "north-b", "north-a"] {
        traffic.registry.listed(Registration {
            id: format!("engine-{domain}"),
            born_ms: None,
            service: "engines".to_owned(),
            address: "127.0.0.1:1".parse().unwrap(),
            domain: domain.to_owned(),
            slots: 16,
            is_leaving: false,
            cold_left: Some(Duration::ZERO),
            software: None,
        });
    }
    traffic
}

fn placement_request(facts: &RequestFacts) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "engines",
        facts,
        team: None,
        target: Duration::from_millis(400),
        elapsed: Duration::ZERO,
        tried: &[],
        memory_tokens: 500_000,
        pool_tokens_per_s: None,
        cache_link: None,
        target_gap: None,
        scope: Scope::Fleet,
        regions: &AllowedRegions::Any,
        software: None,
        digest: None,
    }
}

/// A domain's engines are full, and its region has another domain over a cheap, short link. Sent to
/// another region instead, the answer comes 24 ms later at each turn and its bytes are paid for.
#[test]
fn own_region() {
    let mut traffic = traffic();
    let facts = RequestFacts { prompt_tokens: 900, ..RequestFacts::default() };
    let placement_request = placement_request(&facts);
    let mut order = Vec::new();
    for number in 0..40 {
        let Decision::Send(placement) = traffic.choose_upstream(&placement_request, Duration::ZERO)
        else {
            break;
        };
        traffic.send(number, &placement, &placement_request, Duration::ZERO);
        let upstream = traffic.registry.get(placement.upstream).unwrap();
        let domain = upstream.registration.domain.clone();
        if !order.contains(&domain) {
            order.push(domain);
        }
    }
    assert_eq!(order, ["north-a", "north-b", "south-a"]);
}

/// Prompts on many subjects begin with long starts that nobody has told of yet. Most callers of a
/// subject reach one domain, so that a start that is kept in another region costs bytes there and back
/// for each of its prompts, and callers wait for the longer way.
#[test]
fn unknown_prefixes() {
    let mut traffic = traffic();
    for subject in 0..40 {
        let start = PromptPart { id: subject, tokens: 6_000 };
        let own = PromptPart { id: 1_000 + subject, tokens: 1_000 };
        let prefix = vec![start, own];
        let facts = RequestFacts { prompt_tokens: 7_000, prefix, ..Default::default() };
        let Decision::Send(placement) =
            traffic.choose_upstream(&placement_request(&facts), Duration::ZERO)
        else {
            panic!("no place for {subject}");
        };
        let upstream = traffic.registry.get(placement.upstream).unwrap();
        assert_eq!(upstream.registration.domain, "north-a", "{subject}");
    }
}

//! Where a request goes when the engines of its own failure domain are full.

use std::time::Duration;

use bergamotpitch_control::traffic::admissions::{Ask, Choice, Options, Traffic};
use bergamotpitch_control::traffic::facts::RequestFacts;
use bergamotpitch_control::traffic::registries::Registration;

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
            cold_left: Duration::ZERO,
        });
    }
    traffic
}

/// A domain's engines are full, and its region has another domain over a cheap, short link. Sent to
/// another region instead, the answer comes 24 ms later at each turn and its bytes are paid for.
#[test]
fn own_region() {
    let mut traffic = traffic();
    let facts = RequestFacts { prompt_tokens: 900, ..RequestFacts::default() };
    let ask = Ask {
        service: "engines",
        facts: &facts,
        team: None,
        target: Duration::from_millis(400),
        elapsed: Duration::ZERO,
        tried: &[],
        memory_tokens: 500_000,
        pool_tokens_per_s: None,
        cache_link: None,
    };
    let mut order = Vec::new();
    for number in 0..40 {
        let Choice::Send(placement) = traffic.choose(&ask, Duration::ZERO) else { break };
        traffic.send(number, &placement, &ask, Duration::ZERO);
        let upstream = traffic.registry.get(placement.upstream).unwrap();
        let domain = upstream.registration.domain.clone();
        if !order.contains(&domain) {
            order.push(domain);
        }
    }
    assert_eq!(order, ["north-a", "north-b", "south-a"]);
}

//! Plain services that seem slow are still asked while they have free slots.

use std::time::Duration;

use bergamotpitch_control::traffic::admissions::{Options, Traffic};
use bergamotpitch_control::traffic::facts::RequestFacts;
use bergamotpitch_control::traffic::placement_requests::{Decision, PlacementRequest, Scope};
use bergamotpitch_control::traffic::registries::Registration;
use bergamotpitch_control::traffic::residencies::AllowedRegions;

const TARGET: Duration = Duration::from_millis(400);

fn traffic() -> Traffic {
    let mut traffic = Traffic::new(Options { domain: "a".to_owned(), ..Options::default() });
    for id in ["one", "two"] {
        traffic.registry.listed(Registration {
            id: id.to_owned(),
            born_ms: None,
            service: "orders".to_owned(),
            address: "127.0.0.1:1".parse().unwrap(),
            domain: "a".to_owned(),
            slots: 6,
            is_leaving: false,
            cold_left: Some(Duration::ZERO),
            software: None,
        });
    }
    traffic
}

fn ask(facts: &RequestFacts) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "orders",
        facts,
        team: None,
        target: TARGET,
        elapsed: Duration::ZERO,
        tried: &[],
        memory_tokens: u64::MAX,
        pool_tokens_per_s: None,
        cache_link: None,
        target_gap: None,
        scope: Scope::Fleet,
        regions: &AllowedRegions::Any,
        software: None,
        digest: None,
    }
}

/// Sends calls that are answered after `answered`, as far as they are sent.
fn send(traffic: &mut Traffic, calls: std::ops::Range<u64>, answered: Duration) {
    let facts = RequestFacts::default();
    let mut sent = Vec::new();
    for call in calls {
        let Decision::Send(placement) = traffic.choose_upstream(&ask(&facts), Duration::ZERO)
        else {
            break;
        };
        traffic.send(call, &placement, &ask(&facts), Duration::ZERO);
        sent.push((call, placement.upstream));
    }
    for (call, upstream) in sent {
        traffic.begun(upstream, call, answered);
        traffic.load(upstream).ended(call);
    }
}

/// An instance is stopped for two seconds while it has calls in hand. All of their answers look late
/// afterwards. Taken for the services' own time, beyond any target, that made the instance refuse
/// every call to idle services, and as none was sent any more, it never learned better.
#[test]
fn stopped_instance() {
    let mut traffic = traffic();
    send(&mut traffic, 0..8, Duration::from_millis(2_000));
    let facts = RequestFacts::default();
    let choice = traffic.choose_upstream(&ask(&facts), Duration::from_millis(2_100));
    assert!(matches!(choice, Decision::Send(_)), "{choice:?}");
}

/// A full service is not sent more than a short queue, however slow it is.
#[test]
fn full_service() {
    let mut traffic = traffic();
    let facts = RequestFacts::default();
    let mut sent = 0;
    while let Decision::Send(placement) = traffic.choose_upstream(&ask(&facts), Duration::ZERO) {
        traffic.send(sent, &placement, &ask(&facts), Duration::ZERO);
        sent += 1;
    }
    assert!((12..=36).contains(&sent), "{sent}");
}

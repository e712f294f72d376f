//! Upstreams that have just started get no more requests in any second than operators allow, whoever
//! sends them.

use std::collections::VecDeque;
use std::time::Duration;

use bergamotpitch_control::traffic::admissions::{Options, Traffic};
use bergamotpitch_control::traffic::catalogs::{Catalog, Service};
use bergamotpitch_control::traffic::evacuations::EvacuationOrder;
use bergamotpitch_control::traffic::facts::RequestFacts;
use bergamotpitch_control::traffic::placement_requests::{Decision, PlacementRequest, Scope};
use bergamotpitch_control::traffic::policies::Policy;
use bergamotpitch_control::traffic::registries::Registration;
use bergamotpitch_control::traffic::residencies::AllowedRegions;
use bergamotpitch_control::traffic::team_windows::TeamSums;
use bergamotpitch_control::traffic::upstream_candidates::Limit;
use bergamotpitch_control::traffic::warm_ups::{self, Authority, GRANT_VALIDITY, WarmUp};

const WARM_UP: WarmUp = WarmUp { time: Duration::from_secs(3), requests_per_s: 15.0 };
const LIMITS: (f64, f64) = (1.5, 5.0);
/// What the operators of [`WARM_UP`] allow in one second.
const BOUND: usize = 27;
const STEP: Duration = Duration::from_millis(5);

/// One instance of a domain with engines of its own and one elsewhere, with these mechanisms in force.
fn traffic(authority: Authority, policy: Policy) -> Traffic {
    let mut traffic = starting_traffic(policy);
    traffic.authority = authority;
    traffic.fleet_size = 78;
    traffic
}

/// The same as it starts, before it knows any other instance.
fn starting_traffic(policy: Policy) -> Traffic {
    let (overshoot, slack) = LIMITS;
    let warm_ups = warm_ups::Options { overshoot, slack, ..warm_ups::Options::default() };
    let options = Options { domain: "a".to_owned(), policy, warm_ups, ..Options::default() };
    let mut traffic = Traffic::new(options);
    let service = Service {
        health_path: String::new(),
        name: "engines".to_owned(),
        connections_max: 100,
        warm_up: Some(WARM_UP),
        engine: None,
    };
    traffic.set_services(&Catalog::new(1, vec![], vec![service], vec![]));
    traffic
}

fn registration(domain: &str, born_ms: u64, cold_left: Option<Duration>) -> Registration {
    Registration {
        id: format!("engine-{domain}"),
        born_ms: Some(born_ms),
        service: "engines".to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: domain.to_owned(),
        slots: 32,
        is_leaving: false,
        cold_left,
        software: None,
    }
}

fn short_request(facts: &RequestFacts) -> PlacementRequest<'_> {
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
        scope: Scope::Domain,
        regions: &AllowedRegions::Any,
        software: None,
        digest: None,
    }
}

/// Sends short prompts for as long as one is taken at once, at each step, and returns when each went.
/// They end after half a second.
fn flood(traffic: &mut Traffic, from: Duration, length: Duration) -> Vec<Duration> {
    let facts = RequestFacts { prompt_tokens: 60, ..RequestFacts::default() };
    let request = short_request(&facts);
    let mut running: VecDeque<(Duration, u32, u64)> = VecDeque::new();
    let mut sent = Vec::new();
    let mut now = from;
    while now < from + length {
        while let Some((_, key, number)) = running.front().filter(|(ends, ..)| *ends <= now) {
            traffic.load(*key).begun(*number, now);
            traffic.load(*key).ended(*number);
            running.pop_front();
        }
        while let Decision::Send(placement) = traffic.choose_upstream(&request, now) {
            let number = sent.len() as u64 + now.as_millis() as u64 * 1_000;
            traffic.send(number, &placement, &request, now);
            running.push_back((now + Duration::from_millis(500), placement.upstream, number));
            sent.push(now);
        }
        now += STEP;
    }
    sent
}

/// Most of these times that lie within one second.
fn most_in_a_second(times: &[Duration]) -> usize {
    let in_second = |from: &Duration| {
        times
            .iter()
            .filter(|time| *from <= **time && **time < *from + Duration::from_secs(1))
            .count()
    };
    times.iter().map(in_second).max().unwrap_or_default()
}

/// Guards against engines that fall over when they come back: all that waits was sent to them within
/// two tenths of a second, as they looked idle.
#[test]
fn engine_back() {
    let mut traffic = traffic(Authority::Sole, Policy::default());
    traffic.listed(registration("a", 1, Some(WARM_UP.time)), Duration::ZERO);
    let sent = flood(&mut traffic, Duration::ZERO, WARM_UP.time);
    assert!(most_in_a_second(&sent) <= BOUND, "{}", most_in_a_second(&sent));
    // What the bound allows is used, less what is kept for requests that were held up on their way.
    assert!(15 * 3 <= sent.len(), "{}", sent.len());

    let unbound = Policy { warm_up_limits: false, ..Policy::default() };
    let mut traffic = self::traffic(Authority::Sole, unbound);
    traffic.listed(registration("a", 1, Some(WARM_UP.time)), Duration::ZERO);
    let sent = flood(&mut traffic, Duration::ZERO, WARM_UP.time);
    assert!(BOUND < most_in_a_second(&sent), "the load does not test the bound");
}

/// An engine becomes cold and nobody hears of it for a second or two. It must not have got more than
/// a cold one may get meanwhile.
#[test]
fn unannounced() {
    let mut traffic = traffic(Authority::Sole, Policy::default());
    traffic.listed(registration("a", 1, Some(Duration::ZERO)), Duration::ZERO);
    let mut sent = flood(&mut traffic, Duration::ZERO, Duration::from_secs(2));
    let heard = Duration::from_secs(2);
    traffic.listed(registration("a", 1, Some(WARM_UP.time)), heard);
    sent.extend(flood(&mut traffic, heard, Duration::from_secs(2)));
    assert!(most_in_a_second(&sent) <= BOUND, "{}", most_in_a_second(&sent));
}

/// An instance that cannot reach its dispatcher, or that is one and not sure of it, sends nothing to a
/// cold engine: others may use up what the engine may get.
#[test]
fn without_authority() {
    for authority in [Authority::Shared(14), Authority::Unconfirmed] {
        let mut traffic = traffic(authority, Policy::default());
        traffic.listed(registration("a", 1, Some(WARM_UP.time)), Duration::ZERO);
        assert_eq!(flood(&mut traffic, Duration::ZERO, WARM_UP.time), []);
        let sent = flood(&mut traffic, WARM_UP.time, Duration::from_secs(4));
        assert!(!sent.is_empty(), "{authority:?}: it is warm");
    }
}

/// Guards against instances that start together and each take what all may send: none knows another one, and an
/// upstream has become cold unannounced.
#[test]
fn unknown_others() {
    let mut sent = Vec::new();
    for domain in ["a", "b"] {
        for _ in 0..20 {
            let mut traffic = starting_traffic(Policy::default());
            traffic.listed(registration(domain, 1, Some(Duration::ZERO)), Duration::ZERO);
            sent.extend(flood(&mut traffic, Duration::ZERO, Duration::from_secs(1)));
        }
        assert!(most_in_a_second(&sent) <= BOUND, "{}", most_in_a_second(&sent));
        sent.clear();
    }
}

/// All instances of a domain lose their dispatcher and decide by themselves. Together they must send an
/// engine that became cold unannounced no more than it may get.
#[test]
fn each_by_itself() {
    let instances = 14;
    let mut all = Vec::new();
    for _ in 0..instances {
        let mut traffic = traffic(Authority::Shared(instances), Policy::default());
        traffic.listed(registration("a", 1, Some(Duration::ZERO)), Duration::ZERO);
        all.extend(flood(&mut traffic, Duration::ZERO, Duration::from_secs(3)));
    }
    let most = most_in_a_second(&all);
    assert!((instances..=BOUND).contains(&most), "{most}");
}

/// What is not known is cold: an engine that took no connection, was silent, or stood in an evacuated
/// domain may have started again, and its entry of before says that it is warm.
#[test]
fn back_from_unknown() {
    let cases: [fn(&mut Traffic, u32, Duration); 3] = [
        |traffic, key, now| traffic.note_unreachable(key, now),
        |traffic, key, now| {
            traffic.note_unreachable(key, now - Duration::from_secs(9));
            traffic.note_life(key, now, now);
        },
        |traffic, _, now| {
            for (version, is_evacuated) in [(7, true), (8, false)] {
                let order = EvacuationOrder { domain: "a".to_owned(), version, is_evacuated };
                traffic.evacuate(&order, now);
            }
        },
    ];
    for (index, back) in cases.iter().enumerate() {
        let mut traffic = traffic(Authority::Shared(14), Policy::default());
        traffic.listed(registration("a", 1, Some(Duration::ZERO)), Duration::ZERO);
        let key = traffic.registry.key_of("engine-a").unwrap();
        let now = Duration::from_secs(20);
        back(&mut traffic, key, now);
        // The same entry is read again from a peer that has not heard of anything.
        traffic.listed(registration("a", 1, Some(Duration::ZERO)), now);
        let sent = flood(&mut traffic, now, WARM_UP.time);
        assert_eq!(sent, [], "case {index}");
        assert!(!flood(&mut traffic, now + WARM_UP.time, WARM_UP.time).is_empty(), "case {index}");
    }
}

/// An engine starts again and its entry does not say for how long it is cold.
#[test]
fn unstated_time() {
    let mut traffic = traffic(Authority::Shared(14), Policy::default());
    traffic.listed(registration("a", 1, None), Duration::ZERO);
    assert_eq!(flood(&mut traffic, Duration::ZERO, WARM_UP.time), []);
    let warm = Duration::from_secs(10);
    assert!(!flood(&mut traffic, warm, Duration::from_secs(2)).is_empty());
    // A change of the entry is no start.
    traffic.listed(registration("a", 1, None), warm);
    assert!(!flood(&mut traffic, warm + Duration::from_secs(2), WARM_UP.time).is_empty());
    traffic.listed(registration("a", 2, None), Duration::from_secs(30));
    assert_eq!(flood(&mut traffic, Duration::from_secs(30), WARM_UP.time), []);
}

/// A granted request is held up at an instance without processor time. Sent with those that were
/// granted since, it is one too many for a cold engine.
#[test]
fn held_up_grants() {
    let mut traffic = traffic(Authority::Sole, Policy::default());
    traffic.listed(registration("a", 1, Some(WARM_UP.time)), Duration::ZERO);
    let granted = flood(&mut traffic, Duration::ZERO, WARM_UP.time);
    // Each is sent as late as it may be, or at once, whichever brings most of them together.
    let together = |from: Duration| {
        let until = from + Duration::from_secs(1);
        granted.iter().filter(|at| from <= **at + GRANT_VALIDITY && **at < until).count()
    };
    let most = granted.iter().map(|at| together(*at)).max().unwrap();
    assert!(most <= BOUND, "{most}");
}

/// Guards against small teams that are refused beside engines with free slots: a team that floods had
/// used up what each engine may get in a second.
#[test]
fn flood_beside_small_team() {
    const FLOODING: u32 = 7;
    const SMALL: u32 = 8;
    let mut traffic = traffic(Authority::Sole, Policy::default());
    traffic.listed(registration("a", 1, Some(Duration::ZERO)), Duration::ZERO);
    let small = TeamSums { requested_tokens: 500_000, dispatched_tokens: 500_000 };
    let flooding = TeamSums { requested_tokens: 30_000_000, dispatched_tokens: 2_200_000 };
    let others = (100..120).map(|team| (team, small));
    let now = Duration::from_secs(20);
    traffic.windows.set_peer_sums(1, others.chain([(FLOODING, flooding)]), now, now);
    let facts = RequestFacts { prompt_tokens: 60, ..RequestFacts::default() };
    let mut place = |team: u32, number: u64, at: Duration| {
        let request = PlacementRequest {
            team: Some(team),
            pool_tokens_per_s: Some(2_000_000),
            ..short_request(&facts)
        };
        traffic.windows.record_request(team, 60, at);
        let Decision::Send(placement) = traffic.choose_upstream(&request, at) else { return false };
        traffic.send(number, &placement, &request, at);
        traffic.load(placement.upstream).begun(number, at);
        traffic.load(placement.upstream).ended(number);
        true
    };
    let mut number = 0;
    let mut refused = 0;
    for step in 0..400 {
        let at = now + STEP * step;
        for _ in 0..4 {
            number += 1;
            place(FLOODING, number, at);
        }
        if step % 100 == 50 {
            number += 1;
            refused += u32::from(!place(SMALL, number, at));
        }
    }
    assert_eq!(refused, 0);
}

/// Guards against refusals beside idle engines of which nobody can tell why.
#[test]
fn refusal_names_bound() {
    let mut traffic = traffic(Authority::Shared(78), Policy::default());
    traffic.listed(registration("a", 1, Some(Duration::ZERO)), Duration::ZERO);
    assert_eq!(flood(&mut traffic, Duration::ZERO, STEP).len(), 1);
    let facts = RequestFacts { prompt_tokens: 60, ..RequestFacts::default() };
    let decision = traffic.choose_upstream(&short_request(&facts), Duration::from_millis(900));
    let Decision::Full { refused_by, least_requests, .. } = decision else {
        panic!("{decision:?}");
    };
    assert_eq!((refused_by, least_requests), (Limit::Arrivals, 1));
}

//! Operators turn mechanisms of the decision off one by one.

use std::time::Duration;

use bergamotpitch_control::traffic::admissions::{self, Traffic};
use bergamotpitch_control::traffic::engine_loads::Figures;
use bergamotpitch_control::traffic::facts::RequestFacts;
use bergamotpitch_control::traffic::placement_requests::{Decision, PlacementRequest, Scope};
use bergamotpitch_control::traffic::policies::Policy;
use bergamotpitch_control::traffic::registries::{Registration, UpstreamKey};
use bergamotpitch_control::traffic::residencies::AllowedRegions;
use bergamotpitch_control::traffic::team_windows::{Options, ShareClass, TeamSums, TeamWindows};

const NOW: Duration = Duration::from_secs(5);
const LARGE: u32 = 9;
const SMALL: u32 = 1;
const RATE: Option<u64> = Some(1_000);

fn traffic_under(policy: Policy) -> (Traffic, Vec<UpstreamKey>) {
    let options = admissions::Options { domain: "a".to_owned(), policy, ..Default::default() };
    let mut traffic = Traffic::new(options);
    let keys = (0..3).map(|index| {
        let id = format!("engine-{index}");
        traffic.registry.listed(Registration {
            id: id.clone(),
            born_ms: None,
            service: "engines".to_owned(),
            address: "127.0.0.1:1".parse().unwrap(),
            domain: "a".to_owned(),
            slots: 64,
            is_leaving: false,
            cold_left: Some(Duration::ZERO),
            software: None,
        });
        traffic.registry.key_of(&id).unwrap()
    });
    let keys = keys.collect();
    (traffic, keys)
}

fn prompt(prompt_tokens: u64) -> RequestFacts {
    RequestFacts { prompt_tokens, ..RequestFacts::default() }
}

fn choose_upstream(traffic: &mut Traffic, facts: &RequestFacts) -> Decision {
    let placement_request = PlacementRequest {
        service: "engines",
        facts,
        team: Some(LARGE),
        target: Duration::from_millis(600),
        elapsed: Duration::ZERO,
        tried: &[],
        memory_tokens: 700_000,
        pool_tokens_per_s: Some(120_000),
        cache_link: None,
        target_gap: None,
        scope: Scope::Fleet,
        regions: &AllowedRegions::Any,
        software: None,
        digest: None,
    };
    traffic.choose_upstream(&placement_request, NOW)
}

fn is_sent(traffic: &mut Traffic, facts: &RequestFacts) -> bool {
    matches!(choose_upstream(traffic, facts), Decision::Send(_))
}

/// A peer has this in hand at each of the engines.
fn load(traffic: &mut Traffic, keys: &[UpstreamKey], requests: u32, unread_tokens: f64) {
    let figures = Figures { requests, unread_tokens, memory_tokens: 500 };
    keys.iter().for_each(|key| traffic.load(*key).peer_heard(7, figures, NOW));
}

fn windows_under(policy: Policy) -> TeamWindows {
    let mut windows = TeamWindows::new(Options { policy, ..Options::default() });
    windows.record_request(SMALL, 9_000, NOW);
    windows.record_request(LARGE, 90_000, NOW);
    windows
}

fn share_class(windows: &mut TeamWindows, team: u32) -> ShareClass {
    windows.share_class(team, 100, RATE, NOW)
}

/// Without shares a team that had nearly all is sent on like any other, while engines have room.
#[test]
fn team_shares() {
    let decide = |policy| {
        let (mut traffic, keys) = traffic_under(policy);
        traffic.windows.record_request(SMALL, 900_000, NOW);
        traffic.windows.record_request(LARGE, 9_000_000, NOW);
        traffic.windows.record_dispatch(LARGE, 900_000, NOW);
        load(&mut traffic, &keys, 10, 8_000.0);
        is_sent(&mut traffic, &prompt(2_000))
    };
    assert!(!decide(Policy::default()));
    assert!(decide(Policy { team_shares: false, ..Policy::default() }));
}

/// A prompt that takes longer than its target to read is late wherever it goes; without room for it
/// beside its own work it is never sent to an engine that has anything to do.
#[test]
fn long_prompts() {
    let decide = |policy| {
        let (mut traffic, keys) = traffic_under(policy);
        load(&mut traffic, &keys, 2, 500.0);
        is_sent(&mut traffic, &prompt(40_000))
    };
    assert!(decide(Policy::default()));
    assert!(!decide(Policy { long_prompts: false, ..Policy::default() }));
}

/// Without peers' sums each instance gives a flooding team a whole share.
#[test]
fn peer_sums() {
    let decide = |policy| {
        let mut windows = windows_under(policy);
        let begun = TeamSums { requested_tokens: 9_000, dispatched_tokens: 8_000 };
        windows.set_peer_sums(7, [(LARGE, begun)], NOW, NOW);
        windows.record_dispatch(LARGE, 100, NOW);
        share_class(&mut windows, LARGE)
    };
    assert_ne!(decide(Policy::default()), ShareClass::WithinShare);
    assert_eq!(decide(Policy { peer_sums: false, ..Policy::default() }), ShareClass::WithinShare);
}

/// A team that waits and had next to nothing counts as needy only while that is on; what lies beyond
/// the even part is told apart only while the surplus is divided.
#[test]
fn share_classes() {
    let decide = |policy| {
        let mut windows = windows_under(policy);
        windows.record_dispatch(SMALL, 2_100, NOW);
        windows.record_dispatch(LARGE, 8_000, NOW);
        (share_class(&mut windows, SMALL), share_class(&mut windows, LARGE))
    };
    let enabled = Policy::default();
    assert_eq!(decide(enabled), (ShareClass::Underserved, ShareClass::BeyondEven));
    let without = decide(Policy { needy_teams: false, ..enabled });
    assert_eq!(without, (ShareClass::EvenSurplus, ShareClass::BeyondEven));
    let without = decide(Policy { even_surplus: false, ..enabled });
    assert_eq!(without, (ShareClass::Underserved, ShareClass::EvenSurplus));
}

/// Without growing shares an instance that has just started gives a whole window's share at once.
#[test]
fn growing_shares() {
    let decide = |policy| {
        let mut windows = TeamWindows::new(Options { policy, ..Options::default() });
        let soon = Duration::from_millis(500);
        windows.record_request(LARGE, 50_000, soon);
        windows.level(RATE, soon)
    };
    assert_eq!(decide(Policy::default()), 500.0);
    assert_eq!(decide(Policy { growing_shares: false, ..Policy::default() }), 4_000.0);
}

/// An engine that fails most requests is passed over only while outcomes count.
#[test]
fn evidence() {
    let decide = |policy| {
        let (mut traffic, keys) = traffic_under(policy);
        let failing = keys[0];
        (0..12).for_each(|_| traffic.evidence(failing).note_outcome(true, NOW));
        traffic.evidence(failing).note_trial(NOW);
        load(&mut traffic, &keys[1..], 20, 2_000.0);
        let Decision::Send(placement) = choose_upstream(&mut traffic, &prompt(2_000)) else {
            panic!("no place");
        };
        placement.upstream == failing
    };
    assert!(!decide(Policy::default()));
    assert!(decide(Policy { evidence: false, ..Policy::default() }));
}

/// An instance whose policy is not stated has all mechanisms in force.
#[test]
fn all_on() {
    let traffic = Traffic::new(admissions::Options::default());
    assert_eq!(traffic.options.policy, Policy::default());
}

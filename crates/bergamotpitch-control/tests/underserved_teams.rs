//! Teams that wait while others have much more.

use std::time::Duration;

use bergamotpitch_control::traffic::admissions::{Options, Traffic};
use bergamotpitch_control::traffic::engine_loads::Work;
use bergamotpitch_control::traffic::facts::RequestFacts;
use bergamotpitch_control::traffic::placement_requests::{
    Decision, Placement, PlacementRequest, Scope,
};
use bergamotpitch_control::traffic::registries::Registration;
use bergamotpitch_control::traffic::residencies::AllowedRegions;
use bergamotpitch_control::traffic::team_windows::{ShareClass, TeamSums};

const NOW: Duration = Duration::from_secs(10);
const FLOODING: u32 = 9;
const UNDERSERVED: u32 = 8;

/// One engine of 16 slots of which 12 are taken, and what a peer tells of two teams among 20 small
/// ones that get what they ask for.
fn traffic(underserved: TeamSums) -> Traffic {
    let mut traffic = Traffic::new(Options { domain: "a".to_owned(), ..Options::default() });
    traffic.registry.listed(Registration {
        id: "engine".to_owned(),
        born_ms: None,
        service: "engines".to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: "a".to_owned(),
        slots: 16,
        is_leaving: false,
        cold_left: Some(Duration::ZERO),
        software: None,
    });
    let upstream = traffic.registry.key_of("engine").unwrap();
    let short = RequestFacts { prompt_tokens: 50, ..RequestFacts::default() };
    for number in 0..12 {
        let work = Work { unread_tokens: 50.0, memory_tokens: 50, delay_ms: 0.0 };
        let placement = Placement {
            upstream,
            work,
            predicted: Duration::ZERO,
            requests: 0,
            share_class: ShareClass::WithinShare,
            rank: None,
            fetch_from: None,
            decided: NOW,
            is_cold: false,
        };
        traffic.send(number, &placement, &placement_request(&short, None), NOW);
        traffic.begun(upstream, number, NOW);
    }
    let flooding = TeamSums { requested_tokens: 30_000_000, dispatched_tokens: 2_200_000 };
    let small = TeamSums { requested_tokens: 500_000, dispatched_tokens: 500_000 };
    let others = (100..120).map(|team| (team, small));
    let teams = others.chain([(FLOODING, flooding), (UNDERSERVED, underserved)]);
    traffic.windows.set_peer_sums(1, teams, NOW, NOW);
    traffic
}

/// What the engines are stated to give in a second.
const STATED: u64 = 1_000_000;

fn placement_request(facts: &RequestFacts, team: Option<u32>) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "engines",
        facts,
        team,
        target: Duration::from_millis(400),
        elapsed: Duration::ZERO,
        tried: &[],
        memory_tokens: 500_000,
        pool_tokens_per_s: Some(STATED),
        cache_link: None,
        target_gap: None,
        scope: Scope::Fleet,
        regions: &AllowedRegions::Any,
        software: None,
        digest: None,
    }
}

fn is_sent(traffic: &mut Traffic, team: u32) -> bool {
    is_sent_stated(traffic, team, Some(STATED))
}

fn is_sent_stated(traffic: &mut Traffic, team: u32, pool_tokens_per_s: Option<u64>) -> bool {
    let facts = RequestFacts { prompt_tokens: 500, ..RequestFacts::default() };
    let placement_request =
        PlacementRequest { pool_tokens_per_s, ..placement_request(&facts, Some(team)) };
    matches!(traffic.choose_upstream(&placement_request, NOW), Decision::Send(_))
}

/// A team floods many instances and gets 2.2 million tokens, while another asks for 5 million and
/// gets 1, as its prompts are long and its callers reach one instance. Both are below the even level
/// and were given what room there was alike, and whoever asked at more places found it first.
#[test]
fn starved_beside_flood() {
    let underserved = TeamSums { requested_tokens: 5_000_000, dispatched_tokens: 1_000_000 };
    let mut traffic = traffic(underserved);
    assert!(is_sent(&mut traffic, UNDERSERVED));
    assert!(!is_sent(&mut traffic, FLOODING), "the last slots are for the other");
}

/// Whoever got nearly all of what it asked beyond its share, or asked for little in vain, is not needy:
/// the last slots of the engines are kept for those within their share.
#[test]
fn nobody_underserved() {
    let served = TeamSums { requested_tokens: 3_000_000, dispatched_tokens: 2_700_000 };
    assert!(!is_sent(&mut traffic(served), UNDERSERVED));
    let little = TeamSums { requested_tokens: 800_000, dispatched_tokens: 500_000 };
    assert!(!is_sent(&mut traffic(little), UNDERSERVED), "it asked for 300,000 tokens in vain");
}

/// Guards against shares by a stated rate that the engines do not reach: all teams are within them, and
/// whoever asks most gets most.
#[test]
fn stated_too_high() {
    let underserved = TeamSums { requested_tokens: 900_000, dispatched_tokens: 200_000 };
    for pool_tokens_per_s in [Some(5 * STATED), Some(100 * STATED), None] {
        let mut traffic = traffic(underserved);
        assert!(is_sent_stated(&mut traffic, UNDERSERVED, pool_tokens_per_s));
        assert!(
            !is_sent_stated(&mut traffic, FLOODING, pool_tokens_per_s),
            "{pool_tokens_per_s:?}: the last slots are for the other"
        );
    }
}

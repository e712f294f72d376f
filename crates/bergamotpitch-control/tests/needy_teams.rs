//! Teams that wait while others have much more.

use std::time::Duration;

use bergamotpitch_control::traffic::admissions::{Ask, Choice, Options, Placement, Traffic};
use bergamotpitch_control::traffic::engine_loads::Work;
use bergamotpitch_control::traffic::facts::RequestFacts;
use bergamotpitch_control::traffic::registries::Registration;
use bergamotpitch_control::traffic::team_windows::{Standing, TeamSums};

const NOW: Duration = Duration::from_secs(10);
const FLOODING: u32 = 9;
const NEEDY: u32 = 8;

/// One engine of 16 slots of which 6 are taken, and what a peer tells of two teams.
fn traffic(needy: TeamSums) -> Traffic {
    let mut traffic = Traffic::new(Options { domain: "a".to_owned(), ..Options::default() });
    traffic.registry.listed(Registration {
        id: "engine".to_owned(),
        born_ms: None,
        service: "engines".to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: "a".to_owned(),
        slots: 16,
        is_leaving: false,
        cold_left: Duration::ZERO,
    });
    let upstream = traffic.registry.key_of("engine").unwrap();
    let short = RequestFacts { prompt_tokens: 50, ..RequestFacts::default() };
    for number in 0..6 {
        let work = Work { unread_tokens: 50.0, memory_tokens: 50 };
        let placement = Placement {
            upstream,
            work,
            predicted: Duration::ZERO,
            requests: 0,
            standing: Standing::WithinShare,
            rank: None,
            fetch_from: None,
        };
        traffic.send(number, &placement, &ask(&short, None), NOW);
        traffic.load(upstream).begun(number, NOW);
    }
    let flooding = TeamSums { asked_tokens: 30_000_000, begun_tokens: 9_000_000 };
    traffic.windows.peer_heard(1, [(FLOODING, flooding), (NEEDY, needy)], NOW);
    traffic
}

fn ask(facts: &RequestFacts, team: Option<u32>) -> Ask<'_> {
    Ask {
        service: "engines",
        facts,
        team,
        target: Duration::from_millis(400),
        elapsed: Duration::ZERO,
        tried: &[],
        memory_tokens: 500_000,
        pool_tokens_per_s: Some(1_000_000),
        cache_link: None,
    }
}

fn is_sent(traffic: &mut Traffic, team: u32) -> bool {
    let facts = RequestFacts { prompt_tokens: 500, ..RequestFacts::default() };
    matches!(traffic.choose(&ask(&facts, Some(team)), NOW), Choice::Send(_))
}

/// A team floods many instances and gets 9 million tokens, while another asks for 5 million and gets
/// 2, as its prompts are long and its callers reach one instance. Both were given what room there
/// was alike, and whoever asked at more places found it first.
#[test]
fn starved_beside_flood() {
    let needy = TeamSums { asked_tokens: 5_000_000, begun_tokens: 2_000_000 };
    let mut traffic = traffic(needy);
    assert!(!is_sent(&mut traffic, FLOODING), "it leaves the room to the other");
    assert!(is_sent(&mut traffic, NEEDY));
}

/// Nobody waits who had much less: what the flooding team asks for must not be refused while an
/// engine has room.
#[test]
fn nobody_needy() {
    let served = TeamSums { asked_tokens: 5_000_000, begun_tokens: 4_500_000 };
    assert!(is_sent(&mut traffic(served), FLOODING));
    let single = TeamSums { asked_tokens: 60_000, begun_tokens: 0 };
    assert!(is_sent(&mut traffic(single), FLOODING), "one large request found no place");
}

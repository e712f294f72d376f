//! A new home hears of every team that matters, however many teams an instance has served.

use bergamotpitch_control::fairness::coordinators::Coordinator;
use bergamotpitch_control::fairness::leases::{self, Leases};
use bergamotpitch_control::fairness::share_messages::{ShareReport, TeamLine};
use bergamotpitch_control::fairness::share_reports;
use bergamotpitch_control::inputs::Sender;
use bergamotpitch_control::{Message, Tables};

const SERVICE: u32 = 3;

/// Three datagrams of the transport.
const REPORT_BYTES: usize = 3_600;

/// After some hours an instance has served all 6,500 teams. The home is lost, and the instance tells
/// the next one of them. Named all at once they make a message that is too large to be sent: the new
/// home never hears of the instance, and its callers wait until they are refused.
#[test]
fn many_teams() {
    let tables = Tables::default();
    let mut known = Leases::default();
    for team in 0..6_500 {
        let entry = known.teams.entry(team).or_default();
        entry.waiting_requests = u32::from(team % 10 == 0);
    }
    leases::register(&mut known, 7, 1, 1);
    let mut reported = std::collections::BTreeSet::new();
    for _ in 0..5 {
        let report = leases::report(&tables, SERVICE, &mut known, 0);
        reported.extend(report.teams.iter().map(|line| line.team));
        known.acknowledged_sequence = report.sequence;
        let size = postcard::to_stdvec(&Message::ShareReport(report)).map(|bytes| bytes.len());
        assert!(size.as_ref().is_ok_and(|size| *size <= REPORT_BYTES), "{size:?}");
    }
    assert!(reported.into_iter().eq((0..6_500).filter(|team| team % 10 == 0)));
    assert!(!known.changed);
}

/// The home is lost, and a team that had received a lot of service and rested comes back after
/// that. Counted from zero, its whole past would be added to its level a second time, and its
/// requests would wait for hours.
#[test]
fn rested_team() {
    let mut tables = Tables::default();
    tables.coordinators.insert(SERVICE, Coordinator::default());
    let line = |served_cost, base_cost| TeamLine {
        team: 1,
        waiting_requests: 1,
        served_cost,
        base_cost,
        level: None,
    };
    // The second report repeats the first line, since its seeing was not yet heard of.
    let lines = [line(10_400, Some(10_000)), line(10_400, Some(10_000)), line(10_900, None)];
    for (index, line) in lines.into_iter().enumerate() {
        let report = ShareReport {
            service: SERVICE,
            registration: 1,
            sequence: index as u32 + 1,
            teams: vec![line],
            ..ShareReport::default()
        };
        share_reports::apply_report(&mut tables, sender(), report, None);
    }
    assert_eq!(tables.coordinators[&SERVICE].teams[&1].served_cost, 900);
}

fn sender() -> Sender {
    Sender {
        instance: 9,
        incarnation: 1,
        domain: 1,
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 7_000)),
    }
}

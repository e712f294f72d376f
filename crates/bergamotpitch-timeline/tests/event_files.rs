//! Event files are merged in order of time, filtered, and read although a line is cut.

use bergamotpitch_core::events::{EventKind, EventRecord};
use bergamotpitch_timeline::files::{EventFile, merge_events, parse_events};
use bergamotpitch_timeline::filters::{Filter, filter_events};
use bergamotpitch_timeline::pictures::draw;
use bergamotpitch_timeline::texts::{render_json_lines, render_text};

fn event(time_us: u64, process: &str, kind: EventKind, request: Option<&str>) -> EventRecord {
    EventRecord {
        time_us,
        process: process.to_owned(),
        number: kind.number(),
        kind,
        request: request.map(str::to_owned),
        team: None,
        service: None,
        upstream: None,
        peer: None,
        detail: None,
    }
}

fn two_routers() -> Vec<EventFile> {
    let arrived = EventRecord {
        team: Some("tulip-lane".to_owned()),
        ..event(10, "router-1", EventKind::RequestArrived, Some("r1"))
    };
    let refused = EventRecord {
        detail: Some("queue_full".to_owned()),
        ..event(30, "router-1", EventKind::RequestRefused, Some("r1"))
    };
    let suspected = EventRecord {
        peer: Some("router-1".to_owned()),
        ..event(20, "router-2", EventKind::PeerSuspected, None)
    };
    let other = event(40, "router-2", EventKind::RequestRefused, Some("r1"));
    let of = |events| EventFile { events, bad_lines: Vec::new() };
    vec![of(vec![arrived, refused]), of(vec![suspected, other])]
}

fn times(events: &[EventRecord]) -> Vec<u64> {
    events.iter().map(|event| event.time_us).collect()
}

#[test]
fn merged_order() {
    let events = merge_events(two_routers());
    assert_eq!(times(&events), [10, 20, 30, 40]);
    let text = render_text(&events);
    assert_eq!(
        text.lines().nth(2),
        Some("    0.000020 router-1   103 request_refused request=r1 detail=queue_full")
    );
    assert_eq!(parse_events(&render_json_lines(&events)).events, events);
}

/// A refusal names its request but no team. Were it left out of the team's time line, the team
/// would see its request arrive and never end.
#[test]
fn team_of_request() {
    let filter = Filter { team: Some("tulip-lane".to_owned()), ..Filter::default() };
    assert_eq!(times(&filter_events(merge_events(two_routers()), &filter)), [10, 30]);
}

#[test]
fn other_filters() {
    let events = merge_events(two_routers());
    let by_request = Filter { request: Some("r1".to_owned()), ..Filter::default() };
    assert_eq!(times(&filter_events(events.clone(), &by_request)), [10, 30, 40]);
    let by_instance = Filter { instance: Some("router-1".to_owned()), ..Filter::default() };
    assert_eq!(times(&filter_events(events.clone(), &by_instance)), [10, 20, 30]);
    let by_kind = Filter { kind: Some(EventKind::PeerSuspected), ..Filter::default() };
    assert_eq!(times(&filter_events(events, &by_kind)), [20]);
}

/// A router is killed while it writes an event, and its next life appends to the same file. The
/// half line must not take the rest of the file with it.
#[test]
fn cut_lines() {
    let whole = render_json_lines(&[event(1, "router-1", EventKind::ProcessStarted, None)]);
    let text = format!("{whole}{}\n{whole}{}", &whole[..25], &whole[..30]);
    let file = parse_events(&text);
    assert_eq!(file.events.len(), 2);
    let bad: Vec<(usize, bool)> =
        file.bad_lines.iter().map(|line| (line.line, line.is_cut)).collect();
    assert_eq!(bad, [(2, false), (4, true)]);
}

#[test]
fn lane_for_each_process() {
    let svg = draw("timeline.svg", &merge_events(two_routers())).unwrap();
    for label in ["router-1", "router-2", "103 request_refused", "301 peer_suspected"] {
        assert!(svg.contains(label), "{label}");
    }
    // Two lanes, four marks, and one mark for each of three kinds in the legend.
    assert_eq!(svg.matches("<circle").count(), 4 + 3);
}

/// A run of an hour has millions of events. A picture with as many marks cannot be opened.
#[test]
fn many_events() {
    let events: Vec<EventRecord> = (0..100_000)
        .map(|time_us| event(time_us, "router-1", EventKind::RequestArrived, None))
        .collect();
    let svg = draw("timeline.svg", &events).unwrap();
    assert!(svg.matches("<circle").count() <= 702);
}

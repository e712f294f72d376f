//! A small instance that the callers of a flooding team all reach, in virtual time.

use std::collections::VecDeque;
use std::time::Duration;

use bergamotpitch_control::traffic::concurrency_limits::{ConcurrencyLimit, Options};
use bergamotpitch_control::traffic::team_windows::ShareClass;

const FLOODING: u32 = 1;
const CALM: u32 = 2;

/// Processor time of one core for a refusal, for taking a stream on and for each of its events.
const REFUSAL_MS: f64 = 0.03;
const STREAM_START_MS: f64 = 0.15;
const EVENT_MS: f64 = 0.016;
/// Part of a core that the instance has.
const PROCESSOR_SHARE: f64 = 0.12;

const EVENTS: u32 = 14;
const FIRST_EVENT_MS: f64 = 120.0;
const EVENT_INTERVAL_MS: f64 = 80.0;
const TARGET_MS: f64 = 400.0;
/// A caller whose request was not read for so long has left.
const CALLER_TIMEOUT_MS: f64 = 1_000.0;
const END_MS: f64 = 8_000.0;

struct Caller {
    team: u32,
    arrived_ms: f64,
}

struct Stream {
    team: u32,
    arrived_ms: f64,
    next_event_ms: f64,
    events_left: u32,
    is_late: bool,
}

/// What became of each team's requests.
#[derive(Debug, Default)]
struct Outcome {
    in_time: [u32; 3],
    late: [u32; 3],
    refused: [u32; 3],
    left: [u32; 3],
    /// Streams in time that ended after other work was done.
    after_other_work: u32,
}

/// The flood and a calm team beside it.
fn callers() -> VecDeque<Caller> {
    let every = |team: u32, interval_ms: f64| {
        let count = (END_MS / interval_ms) as usize;
        (0..count).map(move |index| Caller { team, arrived_ms: index as f64 * interval_ms })
    };
    let mut callers: Vec<Caller> = every(FLOODING, 0.7).chain(every(CALM, 50.0)).collect();
    callers.sort_by(|one, other| one.arrived_ms.total_cmp(&other.arrived_ms));
    callers.into()
}

/// Runs the instance turn by turn: it reads all requests and passes on all events that have come.
fn flooded(admits: impl FnMut(&ConcurrencyLimit, u32) -> bool) -> Outcome {
    flooded_beside(|_| 0.0, admits)
}

/// The same beside other work, which takes a part of the processor.
fn flooded_beside(
    other_part: impl Fn(f64) -> f64,
    mut admits: impl FnMut(&ConcurrencyLimit, u32) -> bool,
) -> Outcome {
    let mut limit = ConcurrencyLimit::new(Options::default());
    let mut outcome = Outcome::default();
    let mut waiting = callers();
    let mut streams: Vec<Stream> = Vec::new();
    let mut now_ms = 0.0;
    while now_ms < END_MS {
        let mut work_ms = 0.0;
        let due = waiting.partition_point(|caller| caller.arrived_ms <= now_ms);
        for caller in waiting.drain(..due) {
            let team = caller.team as usize;
            if CALLER_TIMEOUT_MS < now_ms - caller.arrived_ms {
                outcome.left[team] += 1;
            } else if admits(&limit, caller.team) {
                work_ms += STREAM_START_MS;
                limit.stream_started(caller.team);
                streams.push(Stream {
                    team: caller.team,
                    arrived_ms: caller.arrived_ms,
                    next_event_ms: now_ms + FIRST_EVENT_MS,
                    events_left: EVENTS,
                    is_late: false,
                });
            } else {
                work_ms += REFUSAL_MS;
                outcome.refused[team] += 1;
            }
        }
        for stream in streams.iter_mut().filter(|stream| stream.next_event_ms <= now_ms) {
            work_ms += EVENT_MS;
            let is_first = stream.events_left == EVENTS;
            stream.is_late |= is_first && TARGET_MS < now_ms - stream.arrived_ms;
            stream.is_late |= TARGET_MS < now_ms - stream.next_event_ms;
            stream.events_left -= 1;
            stream.next_event_ms += EVENT_INTERVAL_MS;
        }
        for stream in streams.extract_if(.., |stream| stream.events_left == 0) {
            limit.stream_ended(stream.team);
            let served = if stream.is_late { &mut outcome.late } else { &mut outcome.in_time };
            served[stream.team as usize] += 1;
            let is_after = !stream.is_late && AFTER_MS.contains(&now_ms);
            outcome.after_other_work += u32::from(is_after);
        }
        let turn_ms = (work_ms / (PROCESSOR_SHARE * (1.0 - other_part(now_ms)))).max(0.2);
        now_ms += turn_ms;
        limit.record_delay(
            Duration::from_secs_f64(turn_ms / 1_000.0),
            Duration::from_secs_f64(now_ms / 1_000.0),
        );
    }
    outcome
}

/// Streams a second that the processor has time for beside refusing all others.
fn capacity() -> f64 {
    let requests = callers().len() as f64 / END_MS * 1_000.0;
    let left_ms = 1_000.0 * PROCESSOR_SHARE - requests * REFUSAL_MS;
    left_ms / (STREAM_START_MS + f64::from(EVENTS) * EVENT_MS - REFUSAL_MS)
}

fn share_class_of(team: u32, of_flood: ShareClass) -> ShareClass {
    if team == CALM { ShareClass::WithinShare } else { of_flood }
}

/// Guards against an instance that serves nobody in time, as it takes on all that a team within its
/// share, or behind others, sends there.
#[test]
fn flood_at_one_instance() {
    let capacity_streams = capacity() * END_MS / 1_000.0;
    for share_class in [ShareClass::WithinShare, ShareClass::Underserved, ShareClass::EvenSurplus] {
        let outcome = flooded(|limit, team| limit.admits(team, share_class_of(team, share_class)));
        println!("{share_class}: {outcome:?}, could serve {capacity_streams:.0}");
        let [_, flooding, calm] = outcome.in_time;
        assert!(0.7 * capacity_streams <= f64::from(flooding), "{share_class}: {outcome:?}");
        assert_eq!(outcome.late, [0, 0, 0], "{share_class}");
        assert_eq!((outcome.refused[2], outcome.left[2]), (0, 0), "{share_class}: the calm team");
        assert!(130 <= calm, "{share_class}: {outcome:?}");
    }
    let unlimited = flooded(|_, _| true);
    assert_eq!(unlimited.in_time, [0, 0, 0], "the load no longer shows what the limit is for");
}

/// Whoever has had most at the fleet is refused first: the limit leaves room for a team that is behind.
#[test]
fn most_served_first() {
    let mut limit = ConcurrencyLimit::new(Options::default());
    (0..100).for_each(|_| limit.stream_started(FLOODING));
    limit.record_delay(Duration::from_millis(80), Duration::from_secs(1));
    let admitted = |limit: &ConcurrencyLimit| {
        let share_classes = [
            ShareClass::BeyondEven,
            ShareClass::EvenSurplus,
            ShareClass::Underserved,
            ShareClass::WithinShare,
        ];
        share_classes.map(|share_class| limit.admits(FLOODING, share_class))
    };
    assert_eq!(admitted(&limit), [false, false, false, false]);
    (0..15).for_each(|_| limit.stream_ended(FLOODING));
    assert_eq!(admitted(&limit), [false, false, true, true]);
    (0..10).for_each(|_| limit.stream_ended(FLOODING));
    assert_eq!(admitted(&limit), [false, true, true, true]);
    (0..20).for_each(|_| limit.stream_ended(FLOODING));
    assert_eq!(admitted(&limit), [true, true, true, true]);
}

/// An instance that keeps up refuses nothing, however many streams it serves, and one that was late
/// comes back to what it can serve.
#[test]
fn short_waits() {
    let mut limit = ConcurrencyLimit::new(Options::default());
    let interval = Options::default().interval;
    (0..400).for_each(|_| limit.stream_started(FLOODING));
    limit.record_delay(Duration::from_millis(5), interval);
    assert!(limit.admits_all());
    limit.record_delay(Duration::from_millis(400), 2 * interval);
    assert!(!limit.admits(FLOODING, ShareClass::WithinShare));
    (0..200).for_each(|_| limit.stream_ended(FLOODING));
    let mut active = 200;
    for change in 3..30 {
        while active < 400 && limit.admits(FLOODING, ShareClass::WithinShare) {
            limit.stream_started(FLOODING);
            active += 1;
        }
        limit.record_delay(Duration::from_millis(5), change * interval);
    }
    assert_eq!(active, 400, "{limit}");
    assert!(limit.admits_all());
    assert!(limit.to_string().starts_with("turn_ms=5 streams="), "{limit}");
}

/// When other work takes most of the processor, and when the instance must serve as before.
const OTHER_WORK_MS: std::ops::Range<f64> = 2_000.0..3_000.0;
const AFTER_MS: std::ops::Range<f64> = 3_500.0..5_500.0;

/// Guards against an instance that refuses streams for seconds after it was busy with something else, although it
/// keeps up again.
#[test]
fn after_other_work() {
    let other_part = |now_ms: f64| if OTHER_WORK_MS.contains(&now_ms) { 0.5 } else { 0.0 };
    let outcome = flooded_beside(other_part, |limit, team| {
        limit.admits(team, share_class_of(team, ShareClass::Underserved))
    });
    let served = outcome.after_other_work;
    let capacity_streams = capacity() * (AFTER_MS.end - AFTER_MS.start) / 1_000.0;
    println!("{served} of {capacity_streams:.0}");
    assert!(0.7 * capacity_streams <= f64::from(served), "{served} of {capacity_streams:.0}");
}

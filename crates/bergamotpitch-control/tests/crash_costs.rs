//! What evidence of crashes costs, against what else is known.

use std::time::{Duration, Instant};

use bergamotpitch_control::traffic::crash_suspects::{CrashSuspects, Evidence, SuspectId};
use bergamotpitch_control::traffic::provisional_answers::Answer;

/// How much longer a crash may take to be taken in when a hundred times as much is known.
const GROWTH_MAX: u32 = 4;

/// Crashes that are timed together, and how often; the least counts, as the thread may have to wait for a
/// processor.
const BATCH: u64 = 50;
const BATCHES: u64 = 8;

fn crash(part: u64) -> Evidence {
    let suspect = SuspectId::Part(1, part);
    Evidence {
        suspect,
        life: 90_000 + (part % 35) as u32,
        is_strong: true,
        at: 1_000,
        sent_at: 700,
    }
}

/// Takes in crashes under parts that were not suspected, beginning with one; returns the least time.
fn time_of_crashes(suspects: &mut CrashSuspects, first: u64) -> Duration {
    let batch = |number: u64| {
        let from = first + number * BATCH;
        let began = Instant::now();
        for part in from..from + BATCH {
            suspects.note_ended(crash(part).life, 1_000);
            suspects.note_crash(crash(part), 0);
        }
        began.elapsed()
    };
    (0..BATCHES).map(batch).min().unwrap()
}

/// Guards against each crash that is told being compared with all answers of the last seconds, and with
/// all suspects once there are many.
#[test]
fn many_known() {
    let mut few = CrashSuspects::default();
    let at_first = time_of_crashes(&mut few, 1);
    let mut many = CrashSuspects::default();
    for number in 0..4_000 {
        let parts = vec![500_000 + number % 3, 600_000 + number % 400];
        let answer = Answer { service: 1, parts, sent_at: 500, begun_at: 600, at: 900 };
        many.note_provisional((number % 140) as u32, answer);
    }
    (0..1_100).for_each(|part| {
        many.note_crash(crash(10_000 + part), 0);
    });
    let at_last = time_of_crashes(&mut many, 1);
    assert!(at_last <= at_first * GROWTH_MAX, "{at_first:?} at first, {at_last:?} at last");
}

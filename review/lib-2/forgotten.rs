//! All routers are killed while two versions of the engines' software serve. Callers take their streams up when
//! the routers have been back for longer than `stable-window-ms`.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::callers::{Question, ask};
use crate::fleets::{Fleet, KEY, Plan, fresh_attempt, route};
use crate::record::Record;
use crate::routers::wait_until_ready;

/// For how long the routers are down; the site file has 2.0 s for a kill of many.
const DOWN: Duration = Duration::from_millis(1_100);

/// After it the routers count as in touch again.
const STABLE_WINDOW: Duration = Duration::from_millis(4_000);

const CALLERS: usize = 60;
const EVENTS: u64 = 140;

/// How long a caller waits in all.
const BUDGET: Duration = Duration::from_millis(12_000);

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> bool {
    let plan = Plan {
        engines: 9,
        version: "v1",
        events: EVENTS,
        event_pause: Duration::from_millis(50),
        routes: route("stream", "streaming", true, 3, 12_000),
        tenants: format!("{{\"name\":\"review\",\"api-keys\":[\"{KEY}\"]}}"),
    };
    let mut fleet = Fleet::start(&plan, record, folder);
    // Four engines of the next version serve beside five of the first one, long before the kill.
    for engine in &fleet.engines[5..] {
        engine.crash();
        thread::sleep(Duration::from_millis(200));
        engine.start("v2");
    }
    thread::sleep(Duration::from_secs(6));
    let addresses = fleet.callers_addresses();
    let taken: Arc<Mutex<Vec<bool>>> = Arc::default();
    let new: Arc<Mutex<Vec<bool>>> = Arc::default();
    // Until the streams break off with the routers, or with one of them where there is no trouble.
    let wait = DOWN + STABLE_WINDOW + Duration::from_millis(600);
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, addresses) = (record.clone(), addresses.clone());
            let (taken, new) = (Arc::clone(&taken), Arc::clone(&new));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(15 * caller as u64));
                let question = |takes_up, budget| Question {
                    attempt: fresh_attempt(),
                    method: "POST",
                    target: "/stream/x".to_owned(),
                    key: KEY.to_owned(),
                    budget,
                    takes_up,
                    body: b"prompt".to_vec(),
                };
                let first = question(None, BUDGET);
                let seen = ask(addresses[caller % addresses.len()], &first, &record);
                if seen.is_whole {
                    return;
                }
                let Some((last, _)) = seen.events.last() else { return };
                thread::sleep(wait);
                let left = BUDGET - wait - Duration::from_millis(2_500);
                let again = question(Some((first.attempt, *last)), left);
                let address = addresses[(caller + 1) % addresses.len()];
                let seen = ask(address, &again, &record);
                taken.lock().expect("streams").push(!seen.events.is_empty());
                // A new stream at the same router at the same time.
                let seen = ask(address, &question(None, left), &record);
                new.lock().expect("streams").push(!seen.events.is_empty());
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(2_000));
    let killed = if has_trouble { 0..7 } else { 0..3 };
    record.line(&format!("routers {killed:?} are killed"));
    fleet.routers[killed.clone()].iter_mut().for_each(|router| router.kill());
    thread::sleep(DOWN);
    fleet.routers[killed].iter_mut().for_each(|router| router.start(false));
    record.line("they start again");
    wait_until_ready(&fleet.routers);
    record.line("all routers are ready");
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let share = |list: &[bool]| {
        list.iter().filter(|begins| **begins).count() as f64 / list.len().max(1) as f64
    };
    let (taken, new) = (taken.lock().expect("streams"), new.lock().expect("streams"));
    record.say(&format!(
        "{} streams were taken up at routers in touch, {:.2} of them went on; of {} new ones {:.2} began",
        taken.len(),
        share(&taken),
        new.len(),
        share(&new)
    ));
    12 <= taken.len() && share(&taken) < share(&new) / 2.0
}

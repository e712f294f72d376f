//! Engines hand out wrong bytes: one answer of fifty has one in the name of its seal.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::callers::{Question, ask};
use crate::fleets::{Fleet, KEY, Plan, fresh_attempt, route};
use crate::record::Record;

/// For how long a third of the engines spoils 0.02 of its answers; the site file has a share of 0.35, 0.02 and
/// 5.5 s.
const SPOILING: Duration = Duration::from_millis(5_500);

const CALLERS: usize = 21;

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> bool {
    let plan = Plan {
        engines: 3,
        version: "v1",
        events: 0,
        event_pause: Duration::ZERO,
        routes: route("safe", "safe", false, 2, 1_200),
        tenants: format!("{{\"name\":\"review\",\"api-keys\":[\"{KEY}\"]}}"),
    };
    let fleet = Fleet::start(&plan, record, folder);
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let unsealed: Arc<Mutex<Vec<String>>> = Arc::default();
    let addresses = fleet.callers_addresses();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, address) = (record.clone(), addresses[caller % addresses.len()]);
            let (is_over, unsealed) = (Arc::clone(&is_over), Arc::clone(&unsealed));
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let question = Question {
                        attempt: fresh_attempt(),
                        method: "GET",
                        target: "/safe/order".to_owned(),
                        key: KEY.to_owned(),
                        budget: Duration::from_millis(1_200),
                        takes_up: None,
                        body: Vec::new(),
                    };
                    let seen = ask(address, &question, &record);
                    if seen.status == 200 && !seen.has_seal {
                        unsealed.lock().expect("answers").push(question.attempt);
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    fleet.engines[0].is_spoiling.store(has_trouble, Ordering::Relaxed);
    thread::sleep(SPOILING);
    fleet.engines[0].is_spoiling.store(false, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let unsealed = unsealed.lock().expect("answers");
    unsealed.iter().for_each(|id| record.line(&format!("UNSEALED {id} got a success without a seal")));
    record.say(&format!("{} successes came without the engine's seal", unsealed.len()));
    !unsealed.is_empty()
}

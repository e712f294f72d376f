//! An engine fails part of the requests that it has run, with a bare 503. To callers 503 promises that the
//! request has not run, and they send it again.

use std::collections::HashSet;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::callers::{Question, ask};
use crate::fleets::{Fleet, KEY, Plan, fresh_attempt, route};
use crate::record::Record;

/// For how long the engine fails 0.45 of its requests; the site file has 6.5 s.
const FAILING: Duration = Duration::from_millis(6_500);

const CALLERS: usize = 14;

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> bool {
    let plan = Plan {
        engines: 3,
        version: "v1",
        events: 0,
        event_pause: Duration::ZERO,
        routes: route("once", "unsafe", false, 1, 1_200),
        tenants: format!("{{\"name\":\"review\",\"api-keys\":[\"{KEY}\"]}}"),
    };
    let fleet = Fleet::start(&plan, record, folder);
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let refused: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let addresses = fleet.callers_addresses();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, address) = (record.clone(), addresses[caller % addresses.len()]);
            let (is_over, refused) = (Arc::clone(&is_over), Arc::clone(&refused));
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let question = Question {
                        attempt: fresh_attempt(),
                        method: "POST",
                        target: "/once/order".to_owned(),
                        key: KEY.to_owned(),
                        budget: Duration::from_millis(1_200),
                        takes_up: None,
                        body: b"charge".to_vec(),
                    };
                    let seen = ask(address, &question, &record);
                    if matches!(seen.status, 408 | 421 | 429 | 503) {
                        refused.lock().expect("refusals").push((question.attempt, seen.status));
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    fleet.engines[0].is_failing.store(has_trouble, Ordering::Relaxed);
    thread::sleep(FAILING);
    fleet.engines[0].is_failing.store(false, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let runs = fleet.runs.lock().expect("runs");
    let ran: HashSet<&str> = runs.iter().map(|run| run.attempt.as_str()).collect();
    let refused = refused.lock().expect("refusals");
    let untrue: Vec<_> = refused.iter().filter(|(id, _)| ran.contains(id.as_str())).collect();
    for (attempt, status) in &untrue {
        record.line(&format!("UNTRUE {attempt} was answered {status} and has run"));
    }
    record.say(&format!(
        "{} runs; {} requests were told that they had not run, and {} of these had",
        runs.len(),
        refused.len(),
        untrue.len()
    ));
    !untrue.is_empty()
}

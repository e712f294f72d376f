//! Two engines are cut off, crash behind the cut and start again. Their streams have neither a length nor
//! chunks, so that only the router can tell that they have not ended in order.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::callers::{Question, Seen, ask};
use crate::children::ChildEngine;
use crate::fleets::{DOMAINS, KEY, Plan, configuration, fresh_attempt, route, start_routers};
use crate::record::Record;
use crate::store::Store;

const EVENTS: u64 = 60;
const PAUSE: Duration = Duration::from_millis(50);

/// For how long the engines are cut off; callers of these routes leave after a gap of 3.2 s.
const CUT: Duration = Duration::from_millis(2_200);

/// Engines that are cut off, of nine: the site file has a share of 0.17.
const ENGINES: usize = 9;
const CUT_OFF: usize = 2;

/// When they crash after the beginning of the cut, and for how long they are down.
const CRASH: Duration = Duration::from_millis(200);
const DOWN: Duration = Duration::from_millis(1_000);

const CALLERS: usize = 70;

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> bool {
    let store = Store::start();
    let plan = Plan {
        engines: ENGINES,
        version: "v1",
        events: EVENTS,
        event_pause: PAUSE,
        routes: route("stream", "streaming", true, 3, 12_000),
        tenants: format!("{{\"name\":\"review\",\"api-keys\":[\"{KEY}\"]}}"),
    };
    store.put("op/config", &configuration(4, &plan));
    let id = |number: usize, life: usize| format!("i-{life:02x}51a{number:03x}");
    let mut engines: Vec<ChildEngine> =
        (0..ENGINES).map(|number| ChildEngine::new(DOMAINS[number % 3], folder)).collect();
    for (number, engine) in engines.iter_mut().enumerate() {
        engine.start(&id(number, 1), EVENTS, PAUSE, &store, record);
    }
    let routers = start_routers(&store, folder);
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let cut_short: Arc<Mutex<Vec<String>>> = Arc::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, address) = (record.clone(), routers[caller % routers.len()].settings.callers);
            let (is_over, cut_short) = (Arc::clone(&is_over), Arc::clone(&cut_short));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(45 * caller as u64));
                while !is_over.load(Ordering::Relaxed) {
                    let question = Question {
                        attempt: fresh_attempt(),
                        method: "POST",
                        target: "/stream/x".to_owned(),
                        key: KEY.to_owned(),
                        budget: Duration::from_millis(10_000),
                        takes_up: None,
                        body: b"prompt".to_vec(),
                    };
                    let Seen { status, events, is_whole, .. } = ask(address, &question, &record);
                    let last = events.last().map_or(0, |(id, _)| *id);
                    if status == 200 && is_whole && last != EVENTS {
                        let text = format!("{} ended as complete after event {last}", question.attempt);
                        cut_short.lock().expect("streams").push(text);
                    }
                    if status != 200 {
                        thread::sleep(Duration::from_millis(200));
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    let cut_off = &mut engines[..CUT_OFF];
    if has_trouble {
        record.line("two engines are cut off");
        cut_off.iter().for_each(|engine| engine.link.cut(true));
    }
    thread::sleep(CRASH);
    cut_off.iter_mut().for_each(|engine| engine.kill(has_trouble, &store, record));
    thread::sleep(DOWN);
    for (number, engine) in cut_off.iter_mut().enumerate() {
        engine.start(&id(number, 2), EVENTS, PAUSE, &store, record);
    }
    thread::sleep(CUT - CRASH - DOWN);
    if has_trouble {
        cut_off.iter().for_each(|engine| engine.link.cut(false));
        record.line("the cut has healed");
    }
    thread::sleep(Duration::from_secs(5));
    is_over.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let cut_short = cut_short.lock().expect("streams");
    cut_short.iter().for_each(|text| record.line(&format!("CUT SHORT {text}")));
    record.say(&format!("{} streams ended as complete before their last event", cut_short.len()));
    !cut_short.is_empty()
}

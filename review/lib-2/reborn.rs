//! Engines crash one after the other and are back under their ids with the next version of their software
//! while the store is down. A stream may go on only at the version that began it.

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::callers::{Question, Seen, ask};
use crate::fleets::{Fleet, KEY, Plan, fresh_attempt, route};
use crate::record::Record;

/// For how long the store is silent; a day of the small site files has 8.0 s.
const OUTAGE: Duration = Duration::from_millis(8_000);

/// How many streams the rule allows to hold events of two versions.
const MIXED_MAX: usize = 2;

const CALLERS: usize = 80;

/// Engines that crash, of nine, two at a time (a share of 0.22; the site files have up to 0.25), and for how
/// long each pair is down (2.0 s there).
const PAIRS: usize = 3;
const DOWN: Duration = Duration::from_millis(2_000);

/// One stream of a caller, over its tries.
struct Stream {
    versions: BTreeSet<String>,
    text: String,
}

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> bool {
    let plan = Plan {
        engines: 9,
        version: "v1",
        events: 60,
        event_pause: Duration::from_millis(50),
        routes: route("stream", "streaming", true, 3, 12_000),
        tenants: format!("{{\"name\":\"review\",\"api-keys\":[\"{KEY}\"]}}"),
    };
    let fleet = Fleet::start(&plan, record, folder);
    // The routers read the list of each other in their first seconds.
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let streams: Arc<Mutex<Vec<Stream>>> = Arc::default();
    let addresses = fleet.callers_addresses();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, addresses) = (record.clone(), addresses.clone());
            let (is_over, streams) = (Arc::clone(&is_over), Arc::clone(&streams));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(60 * caller as u64));
                let mut turn = caller;
                while !is_over.load(Ordering::Relaxed) {
                    let stream = follow(&addresses, &mut turn, &record);
                    streams.lock().expect("streams").push(stream);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    let begun = Instant::now();
    if has_trouble {
        record.line("the store falls silent");
        fleet.store.set_silent(true);
    }
    thread::sleep(Duration::from_millis(500));
    for pair in 0..PAIRS {
        let engines = &fleet.engines[2 * pair..2 * pair + 2];
        engines.iter().for_each(|engine| engine.crash());
        thread::sleep(DOWN);
        engines.iter().for_each(|engine| engine.start("v2"));
        thread::sleep(Duration::from_millis(600));
    }
    thread::sleep(OUTAGE.saturating_sub(begun.elapsed()));
    fleet.store.set_silent(false);
    record.line("the store is back");
    thread::sleep(Duration::from_secs(6));
    is_over.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let streams = streams.lock().expect("streams");
    let mixed: Vec<&Stream> = streams.iter().filter(|stream| 1 < stream.versions.len()).collect();
    mixed.iter().for_each(|stream| record.line(&format!("MIXED {}", stream.text)));
    record.say(&format!(
        "{} streams, {} of them hold events of two versions (at most {MIXED_MAX} may)",
        streams.len(),
        mixed.len()
    ));
    MIXED_MAX < mixed.len()
}

/// Follows one stream; where it breaks off, the caller takes it up once, at another router.
fn follow(addresses: &[std::net::SocketAddr], turn: &mut usize, record: &Record) -> Stream {
    let first = fresh_attempt();
    let mut stream = Stream { versions: BTreeSet::new(), text: String::new() };
    let mut takes_up = None;
    for attempt in [first.clone(), fresh_attempt()] {
        *turn += 1;
        let question = Question {
            attempt,
            method: "POST",
            target: "/stream/x".to_owned(),
            key: KEY.to_owned(),
            budget: Duration::from_millis(10_000),
            takes_up: takes_up.clone(),
            body: b"prompt".to_vec(),
        };
        let seen: Seen = ask(addresses[*turn % addresses.len()], &question, record);
        for (_, data) in &seen.events {
            let mut words = data.split(' ');
            let (version, engine) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            stream.versions.insert(version.to_owned());
            if !stream.text.ends_with(&format!("{version}@{engine} ")) {
                stream.text += &format!("{}:{version}@{engine} ", question.attempt);
            }
        }
        let Some((last, _)) = seen.events.last() else { break };
        if seen.is_whole {
            break;
        }
        takes_up = Some((first.clone(), *last));
    }
    if stream.versions.is_empty() {
        thread::sleep(Duration::from_millis(200));
    }
    stream
}

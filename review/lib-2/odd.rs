//! Another writer leaves an entry among those of the engines in which fields are missing. What listens at its
//! address is no engine: it answers each request with 404.

use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::callers::{Question, ask};
use crate::fleets::{Fleet, KEY, Plan, fresh_attempt, route};
use crate::http::Connection;
use crate::record::Record;

const CALLERS: usize = 70;

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> bool {
    let plan = Plan {
        engines: 9,
        version: "v1",
        events: 20,
        event_pause: Duration::from_millis(50),
        routes: route("stream", "streaming", false, 1, 12_000),
        tenants: format!("{{\"name\":\"review\",\"api-keys\":[\"{KEY}\"]}}"),
    };
    let fleet = Fleet::start(&plan, record, folder);
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let asked = Arc::new(AtomicUsize::new(0));
    let denied: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let addresses = fleet.callers_addresses();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, address) = (record.clone(), addresses[caller % addresses.len()]);
            let (is_over, asked, denied) = (is_over.clone(), asked.clone(), denied.clone());
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let question = Question {
                        attempt: fresh_attempt(),
                        method: "POST",
                        target: "/stream/draft".to_owned(),
                        key: KEY.to_owned(),
                        budget: Duration::from_millis(12_000),
                        takes_up: None,
                        body: b"prompt".to_vec(),
                    };
                    let seen = ask(address, &question, &record);
                    asked.fetch_add(1, Ordering::Relaxed);
                    let is_denied = (300..500).contains(&seen.status);
                    if is_denied && !matches!(seen.status, 408 | 421 | 429) && !seen.has_seal {
                        denied.lock().expect("answers").push((question.attempt, seen.status));
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                thread::spawn(move || serve(Connection::new(stream)));
            }
        });
        let entry = format!(
            "{{\"service\":\"pool\",\"address\":\"{address}\",\"zone\":\"a\",\"slots\":64,\
             \"state\":\"ready\"}}"
        );
        fleet.store.put("servers/web-console", &entry);
        record.line(&format!("another writer leaves servers/web-console: {entry}"));
    }
    thread::sleep(Duration::from_secs(8));
    is_over.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let denied = denied.lock().expect("answers");
    for (attempt, status) in denied.iter() {
        record.line(&format!("DENIED {attempt} was answered {status} without any engine's seal"));
    }
    let asked = asked.load(Ordering::Relaxed);
    let allowed = 5 + asked / 500;
    record.say(&format!("{asked} proper requests, {} of them denied (at most {allowed} may)", denied.len()));
    allowed < denied.len()
}

fn serve(mut connection: Connection) {
    loop {
        let Ok(head) = connection.head() else { return };
        let is_answered = connection
            .request_body(&head)
            .and_then(|_| connection.write_answer("404 Not Found", "Server: console\r\n", b"no such page"));
        if is_answered.is_err() {
            return;
        }
    }
}

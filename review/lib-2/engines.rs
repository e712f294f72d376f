//! Engines: servers that register in the store, check for whom a request is, and stream events.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::Connection;
use crate::record::Record;
use crate::store::Store;

/// A request that an engine began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub attempt: String,
}

#[derive(Clone)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub events: u64,
    pub event_pause: Duration,
}

#[derive(Clone)]
pub struct Engine {
    pub options: Options,
    pub address: SocketAddr,
    store: Store,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    life: Arc<Mutex<Option<Life>>>,
    /// While it is set, the engine runs requests that may not be repeated and then fails nine of twenty.
    pub is_failing: Arc<AtomicBool>,
    failing_count: Arc<AtomicU64>,
}

/// One life of an engine.
struct Life {
    is_over: Arc<AtomicBool>,
    listener: Arc<Mutex<Option<TcpListener>>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

/// The time of day, as engines state their start.
pub fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}

impl Engine {
    pub fn new(options: Options, store: &Store, record: &Record, runs: &Arc<Mutex<Vec<Run>>>) -> Engine {
        let address = crate::routers::free_address();
        let (store, record, runs) = (store.clone(), record.clone(), Arc::clone(runs));
        Engine {
            options,
            address,
            store,
            record,
            runs,
            life: Arc::default(),
            is_failing: Arc::default(),
            failing_count: Arc::default(),
        }
    }

    /// Starts with a version of the software: it listens, and registers as soon as the store takes it.
    pub fn start(&self, version: &str) {
        let listener = TcpListener::bind(self.address).expect("the engine's address");
        listener.set_nonblocking(true).expect("a listener");
        let life = Life {
            is_over: Arc::default(),
            listener: Arc::new(Mutex::new(Some(listener))),
            connections: Arc::default(),
        };
        self.record.line(&format!("engine {} starts version={version}", self.options.id));
        let (engine, listener) = (self.clone(), Arc::clone(&life.listener));
        let (connections, version_served) = (Arc::clone(&life.connections), version.to_owned());
        thread::spawn(move || loop {
            let accepted = match &*listener.lock().expect("a listener") {
                Some(listener) => listener.accept(),
                None => return,
            };
            let Ok((stream, _)) = accepted else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(copy) = stream.try_clone() {
                connections.lock().expect("connections").push(copy);
            }
            let (engine, version) = (engine.clone(), version_served.clone());
            thread::spawn(move || engine.serve(Connection::new(stream), &version));
        });
        let (engine, is_over) = (self.clone(), Arc::clone(&life.is_over));
        let (version, born) = (version.to_owned(), now_ms());
        thread::spawn(move || {
            while engine.store.is_silent() {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                thread::sleep(Duration::from_millis(20));
            }
            if !is_over.load(Ordering::Relaxed) {
                engine.register(&version, born, "ready");
            }
        });
        *self.life.lock().expect("a life") = Some(life);
    }

    fn register(&self, version: &str, born: u128, state: &str) {
        let Options { id, service, zone, .. } = &self.options;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"slots\":64,\"state\":\"{state}\",\"cold-left-ms\":0,\
             \"seq\":1,\"born\":{born}}}",
            self.address
        );
        self.store.put(&format!("servers/{id}"), &entry);
        self.record.line(&format!("engine {id} registers version={version} born={born}"));
    }

    /// Ends at once, with all connections.
    pub fn crash(&self) {
        let Some(life) = self.life.lock().expect("a life").take() else { return };
        self.record.line(&format!("engine {} crashes", self.options.id));
        life.is_over.store(true, Ordering::Relaxed);
        drop(life.listener.lock().expect("a listener").take());
        for stream in life.connections.lock().expect("connections").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut connection: Connection, version: &str) {
        while self.answer(&mut connection, version).is_ok() {}
    }

    fn answer(&self, connection: &mut Connection, version: &str) -> std::io::Result<()> {
        let head = connection.head()?;
        connection.request_body(&head)?;
        let Options { id, events, event_pause, .. } = &self.options;
        let attempt = head.text("bergamotpitch-attempt-id").unwrap_or_default();
        let echo = format!("Bergamotpitch-Attempt-Id: {attempt}\r\n");
        if head.text("bergamotpitch-expect-instance").is_some_and(|expected| expected != *id) {
            self.record.line(&format!("engine {id} does not run {attempt}: another is expected"));
            let headers = format!("{echo}Bergamotpitch-Not-Executed: 1\r\n");
            return connection.write_answer("421 Misdirected Request", &headers, b"");
        }
        let target = head.second_word().to_owned();
        let after = head.text("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0_u64);
        self.record.line(&format!(
            "engine {id} version={version} runs {attempt} {target} after={after}"
        ));
        self.runs.lock().expect("runs").push(Run { attempt: attempt.clone() });
        let sealed = format!("{echo}Bergamotpitch-Server-Seal: {id}.{attempt}\r\n");
        if !target.contains("/stream") {
            thread::sleep(Duration::from_millis(30));
            if self.is_failing.load(Ordering::Relaxed)
                && self.failing_count.fetch_add(1, Ordering::Relaxed) % 20 < 9
            {
                // It has run, and the answer does not state otherwise.
                self.record.line(&format!("engine {id} fails {attempt} with 503 after its run"));
                return connection.write_answer("503 Service Unavailable", &sealed, b"failed");
            }
            return connection.write_answer("200 OK", &sealed, format!("answer to {attempt}").as_bytes());
        }
        let first = format!(
            "HTTP/1.1 200 OK\r\n{sealed}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        connection.write(first.as_bytes())?;
        for event in after + 1..=*events {
            thread::sleep(*event_pause);
            let text = format!("id: {event}\ndata: {version} {id} {event}\n\n");
            connection.write_chunk(text.as_bytes())?;
        }
        connection.write_chunk(b"")
    }
}

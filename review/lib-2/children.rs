//! Engines as processes of their own, so that a signal ends them as it does in production. Their streams
//! have neither a length nor chunks and end with their connections.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use crate::engines::now_ms;
use crate::http::Connection;
use crate::links::Link;
use crate::record::Record;
use crate::routers::{free_address, note_process};
use crate::store::Store;

/// The program of an engine: `engine ID ADDRESS EVENTS PAUSE_MS`.
pub fn serve(words: &[String]) {
    let [id, address, events, pause_ms] = words else { panic!("engine ID ADDRESS EVENTS PAUSE_MS") };
    let events: u64 = events.parse().expect("a number");
    let pause = Duration::from_millis(pause_ms.parse().expect("a number"));
    let listener = TcpListener::bind(address).expect("the engine's address");
    say(&format!("listening {address}"));
    for stream in listener.incoming().flatten() {
        let id = id.clone();
        thread::spawn(move || answer(Connection::new(stream), &id, events, pause));
    }
}

fn say(text: &str) {
    let mut output = std::io::stdout().lock();
    let _ = writeln!(output, "{text}");
    let _ = output.flush();
}

/// Answers one request; the connection ends with the answer.
fn answer(mut connection: Connection, id: &str, events: u64, pause: Duration) -> std::io::Result<()> {
    let head = connection.head()?;
    connection.request_body(&head)?;
    let attempt = head.text("bergamotpitch-attempt-id").unwrap_or_default();
    let echo = format!("Bergamotpitch-Attempt-Id: {attempt}\r\n");
    if head.text("bergamotpitch-expect-instance").is_some_and(|expected| expected != id) {
        say(&format!("does not run {attempt}: another engine is expected"));
        let headers = format!("{echo}Bergamotpitch-Not-Executed: 1\r\n");
        return connection.write_answer("421 Misdirected Request", &headers, b"");
    }
    let after = head.text("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0_u64);
    say(&format!("runs {attempt} after={after}"));
    let first = format!(
        "HTTP/1.1 200 OK\r\n{echo}Bergamotpitch-Server-Seal: {id}.{attempt}\r\n\
         Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    );
    connection.write(first.as_bytes())?;
    for event in after + 1..=events {
        thread::sleep(pause);
        connection.write(format!("id: {event}\ndata: v1 {id} {event}\n\n").as_bytes())?;
    }
    say(&format!("ends {attempt} after event {events}"));
    Ok(())
}

/// An engine through all of its lives at one address, behind a link that can be cut.
pub struct ChildEngine {
    pub link: Link,
    address: SocketAddr,
    id: String,
    zone: String,
    folder: PathBuf,
    process: Option<Child>,
}

impl ChildEngine {
    pub fn new(zone: &str, folder: &Path) -> ChildEngine {
        let address = free_address();
        ChildEngine {
            link: Link::new(address),
            address,
            id: String::new(),
            zone: zone.to_owned(),
            folder: folder.to_owned(),
            process: None,
        }
    }

    /// Starts the next life under an id, and registers it once it listens.
    pub fn start(&mut self, id: &str, events: u64, pause: Duration, store: &Store, record: &Record) {
        let program = std::env::current_exe().expect("this program");
        let mut process = Command::new(program)
            .args(["engine", id, &self.address.to_string()])
            .args([events.to_string(), pause.as_millis().to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("an engine");
        note_process(&self.folder, process.id());
        let mut lines = BufReader::new(process.stdout.take().expect("its output")).lines();
        let listening = lines.next().and_then(Result::ok).unwrap_or_default();
        record.line(&format!("engine {id} {listening}"));
        let (copy, name) = (record.clone(), id.to_owned());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                copy.line(&format!("engine {name} {line}"));
            }
        });
        self.link.open();
        let entry = format!(
            "{{\"service\":\"pool\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":1,\"born\":{}}}",
            self.link.address,
            self.zone,
            now_ms()
        );
        store.put(&format!("servers/{id}"), &entry);
        self.id = id.to_owned();
        self.process = Some(process);
    }

    /// Ends it with SIGKILL. Nobody notices behind a link that is cut; else its port refuses connections. Its
    /// entry is gone after three heartbeats of silence.
    pub fn kill(&mut self, is_link_cut: bool, store: &Store, record: &Record) {
        let Some(mut process) = self.process.take() else { return };
        if !is_link_cut {
            self.link.refuse();
        }
        let _ = process.kill();
        let _ = process.wait();
        record.line(&format!("engine {} was killed", self.id));
        let (store, key) = (store.clone(), format!("servers/{}", self.id));
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(3_600));
            store.remove(&key);
        });
    }
}

impl Drop for ChildEngine {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

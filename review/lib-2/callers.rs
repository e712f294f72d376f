//! Callers: one request on one connection, and what came of it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;

#[derive(Debug, Clone)]
pub struct Question {
    pub attempt: String,
    pub method: &'static str,
    pub target: String,
    pub key: String,
    pub budget: Duration,
    /// The attempt that brought the first event of a stream that is taken up, and its last event here.
    pub takes_up: Option<(String, u64)>,
    pub body: Vec<u8>,
}

#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// 0 where no answer came.
    pub status: u16,
    pub body: Vec<u8>,
    pub has_seal: bool,
    /// Events by their ids, with their data.
    pub events: Vec<(u64, String)>,
    pub is_whole: bool,
}

/// Sends a question to a router and reads its answer for as long as the caller waits.
pub fn ask(router: SocketAddr, question: &Question, record: &Record) -> Seen {
    let mut seen = Seen::default();
    let result = exchange(router, question, &mut seen);
    record.line(&format!(
        "caller {} {} takes_up={:?} to {router}: status={} events={} whole={} {}",
        question.attempt,
        question.target,
        question.takes_up,
        seen.status,
        seen.events.len(),
        seen.is_whole,
        result.err().map(|error| error.to_string()).unwrap_or_default()
    ));
    seen
}

fn exchange(router: SocketAddr, question: &Question, seen: &mut Seen) -> std::io::Result<()> {
    let until = Instant::now() + question.budget;
    let mut connection = Connection::connect(router, Duration::from_secs(1))?;
    let Question { attempt, method, target, key, budget, takes_up, body } = question;
    let mut head = format!(
        "{method} {target} HTTP/1.1\r\nHost: review.example\r\nBergamotpitch-Attempt-Id: {attempt}\r\n\
         Bergamotpitch-Time-Budget-Ms: {}\r\nAuthorization: Token {key}\r\nContent-Length: {}\r\n",
        budget.as_millis(),
        body.len()
    );
    if target.contains("/stream") {
        head += "Bergamotpitch-Model: m\r\nBergamotpitch-Token-Count: 60,80\r\n";
        head += &format!("Bergamotpitch-Prompt-Prefix: 5c1e07a2:40,{}:20\r\n", &attempt[..8]);
    }
    if let Some((resumed, after)) = takes_up {
        head += &format!("Resumes: {resumed}\r\nLast-Event-Id: {after}\r\n");
    }
    connection.write(&[head.as_bytes(), b"\r\n", body].concat())?;
    let wait = |connection: &Connection| {
        let left = until.saturating_duration_since(Instant::now());
        connection.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))
    };
    wait(&connection)?;
    let head = connection.head()?;
    seen.status = head.second_word().parse().unwrap_or(0);
    seen.has_seal = head.text("bergamotpitch-server-seal").is_some();
    if !head.is_chunked() {
        seen.body = connection.exactly(head.length().unwrap_or(0))?;
        seen.is_whole = true;
        return Ok(());
    }
    let mut pending = String::new();
    loop {
        wait(&connection)?;
        let data = connection.chunk()?;
        if data.is_empty() {
            seen.is_whole = pending.is_empty();
            return Ok(());
        }
        pending += &String::from_utf8_lossy(&data);
        while let Some(end) = pending.find("\n\n") {
            let event: String = pending.drain(..end + 2).collect();
            let field = |name: &str| {
                let line = event.lines().find_map(|line| line.strip_prefix(name));
                line.unwrap_or_default().trim().to_owned()
            };
            seen.events.push((field("id:").parse().unwrap_or(0), field("data:")));
        }
    }
}

//! What engines and plain services have in common: a name, faults, records and admin paths.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Method, Response, StatusCode};

use crate::bodies::{
    Answer, Body, BrokenConnection, bytes_answer, header_text, json_answer, json_lines_answer,
    text_answer,
};
use crate::clocks::wall_clock_us;
use crate::faults::{UpstreamFaults, take_turn};
use crate::locks::lock;
use crate::records::{Outcome, Record};
use crate::servers::{Crashes, Server};

/// Header that carries the request id.
pub const REQUEST_ID: &str = "x-request-id";

/// Header that carries the team's name.
pub const TEAM: &str = "bergamotpitch-team";

/// Header that carries a caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header by which an answer proves that the request did not start.
pub const RAN: &str = "bergamotpitch-ran";

/// Header by which an answer says that the upstream is leaving.
pub const LEAVING: &str = "bergamotpitch-leaving";

/// Records that an upstream keeps; the oldest go first.
const RECORD_LIMIT: usize = 1_000_000;

/// `Upstream` is a running stand-in engine or service.
#[derive(Debug)]
pub struct Upstream {
    /// Its name.
    pub name: String,
    /// Where it listens, with the port that the system chose for 0.
    pub address: SocketAddr,
    /// What it shares with its handler.
    pub shared: Arc<Shared>,
    pub(crate) server: Server,
    pub(crate) worker: Option<tokio::task::JoinHandle<()>>,
}

impl Upstream {
    /// `close` stops listening and breaks the open connections.
    pub async fn close(self) {
        self.server.close().await;
        if let Some(worker) = self.worker {
            worker.abort();
        }
    }
}

/// `Shared` is the state of any upstream.
#[derive(Debug)]
pub struct Shared {
    /// Its name.
    pub name: String,
    /// Failure domain that it stands in.
    pub domain: String,
    faults: Mutex<UpstreamFaults>,
    records: Mutex<Vec<Record>>,
    crashes: Crashes,
}

/// `new_shared` makes the state of an upstream without faults or records.
pub fn new_shared(name: &str, domain: &str, crashes: Crashes) -> Shared {
    Shared {
        name: name.to_owned(),
        domain: domain.to_owned(),
        faults: Mutex::new(UpstreamFaults::default()),
        records: Mutex::new(Vec::new()),
        crashes,
    }
}

/// `is_leaving` tells whether the upstream says that it is leaving.
pub fn is_leaving(shared: &Shared) -> bool {
    lock(&shared.faults).leaving
}

/// `set_faults` replaces the faults.
pub fn set_faults(shared: &Shared, faults: UpstreamFaults) {
    if 0 < faults.down_ms {
        // The server lives as long as its handler, so the order always arrives.
        let _ = shared.crashes.send(Duration::from_millis(faults.down_ms));
    }
    *lock(&shared.faults) = faults;
}

/// `add_record` keeps a record.
pub fn add_record(shared: &Shared, record: Record) {
    let mut records = lock(&shared.records);
    if RECORD_LIMIT <= records.len() {
        records.drain(..RECORD_LIMIT / 10);
    }
    records.push(record);
}

/// `records` returns every record that is kept.
pub fn records(shared: &Shared) -> Vec<Record> {
    lock(&shared.records).clone()
}

/// `begin_record` opens the record of a request.
pub fn begin_record(shared: &Shared, parts: &Parts) -> Record {
    Record {
        upstream: shared.name.clone(),
        domain: shared.domain.clone(),
        request: header_text(parts, REQUEST_ID),
        team: header_text(parts, TEAM),
        arrived_us: wall_clock_us(),
        started_us: None,
        first_token_us: None,
        ended_us: 0,
        prompt_tokens: 0,
        cached_tokens: 0,
        generated_tokens: 0,
        cost: 0,
        slot_us: 0,
        outcome: Outcome::Cancelled,
    }
}

/// `answer_admin` answers the admin paths that all upstreams have.
pub fn answer_admin(shared: &Shared, method: &Method, path: &str, body: &Bytes) -> Response<Body> {
    match (method, path) {
        (&Method::GET, "/_faults") => json_answer(StatusCode::OK, &*lock(&shared.faults)),
        (&Method::POST, "/_faults") => match serde_json::from_slice(body) {
            Ok(faults) => {
                set_faults(shared, faults);
                text_answer(StatusCode::OK, "set")
            }
            Err(error) => text_answer(StatusCode::BAD_REQUEST, error.to_string()),
        },
        (&Method::GET, "/_records") => json_lines_answer(&records(shared)),
        (&Method::DELETE, "/_records") => {
            lock(&shared.records).clear();
            text_answer(StatusCode::OK, "cleared")
        }
        _ => text_answer(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// `meet_faults` does to a request what the faults ask for before it starts, and returns those that
/// it meets later on.
///
/// # Errors
///
/// `Err` holds the answer when the request ends here.
pub async fn meet_faults(shared: &Shared, record: &Record) -> Result<UpstreamFaults, Answer> {
    let faults = take_turn(&mut lock(&shared.faults));
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.half_open {
        return futures::future::pending().await;
    }
    if faults.refuse {
        add_record(
            shared,
            Record { ended_us: wall_clock_us(), outcome: Outcome::Refused, ..record.clone() },
        );
        return Err(Ok(refusal(shared)));
    }
    if faults.garbage {
        add_record(
            shared,
            Record { ended_us: wall_clock_us(), outcome: Outcome::Broken, ..record.clone() },
        );
        return Err(Ok(garbage()));
    }
    Ok(faults)
}

/// `refusal` is the answer to a request that did not start.
pub fn refusal(shared: &Shared) -> Response<Body> {
    let mut response = text_answer(StatusCode::SERVICE_UNAVAILABLE, "not taken");
    response.headers_mut().insert(RAN, HeaderValue::from_static("not_run"));
    mark_leaving(shared, &mut response);
    response
}

/// `mark_leaving` adds the header of a leaving upstream to an answer.
pub fn mark_leaving(shared: &Shared, response: &mut Response<Body>) {
    if is_leaving(shared) {
        response.headers_mut().insert(LEAVING, HeaderValue::from_static("true"));
    }
}

/// `broken` closes the connection without an answer.
pub fn broken() -> Answer {
    Err(BrokenConnection)
}

fn garbage() -> Response<Body> {
    bytes_answer(StatusCode::OK, "text/event-stream", &b"\x00\xff{\"choices\": <<<\r\n\r\n"[..])
}

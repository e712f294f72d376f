//! Probes: the small ports beside the callers' one: readiness, metrics, and documents for peers.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bergamotpitch_control::traffic::facts::PartId;
use bergamotpitch_control::traffic::request_digests::RequestDigest;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

use crate::gateways::Gateway;
use crate::heartbeats::domain_peers;
use crate::work_times::Work;

/// `DOCUMENTS_PATH` is where peers fetch what this instance knows.
pub const DOCUMENTS_PATH: &str = "/documents";

/// `METRICS_PATH` is where metrics are read.
pub const METRICS_PATH: &str = "/metrics";

/// `PARTS_PATH` is where operators see which parts of prompts are suspected of crashing upstreams.
pub const PARTS_PATH: &str = "/parts";

/// `LIFT_PART_PATH` is where operators let one in again, named in the query by `service` and `part`.
pub const LIFT_PART_PATH: &str = "/parts/lift";

/// `REQUESTS_PATH` is where operators see which requests are blocked, as upstreams crash under them.
pub const REQUESTS_PATH: &str = "/requests";

/// `LIFT_REQUEST_PATH` is where operators let one in again, named in the query by `digest`.
pub const LIFT_REQUEST_PATH: &str = "/requests/lift";

/// `HEAD_TIMEOUT` is the time for a head to come, and for which a connection may ask nothing; metrics are read
/// each few seconds.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// `HEAD_BYTES_MAX` bounds a head, and what a connection holds unread.
const HEAD_BYTES_MAX: usize = 8 << 10;

/// `CONNECTIONS_MIN` is how many connections a port has for all but the peers of the own domain.
const CONNECTIONS_MIN: usize = 64;

/// `CONNECTIONS_PER_PEER` is how many it has besides for each of these, which fetch documents at the same moment.
const CONNECTIONS_PER_PEER: usize = 2;

/// `ASKING_TIME` is for how long a connection without a request stays open while others wait for its place.
const ASKING_TIME: Duration = Duration::from_millis(250);

/// `ANSWERING_TIME` is the same since its last request: the time for documents to be fetched.
const ANSWERING_TIME: Duration = Duration::from_secs(2);

/// `ROOM_PAUSE` is the time between two looks for a place.
const ROOM_PAUSE: Duration = Duration::from_millis(5);

/// `Connection` is an open connection of a port.
#[derive(Debug)]
struct Connection {
    task: AbortHandle,
    opened: Instant,
    asked: Rc<Cell<Option<Instant>>>,
}

impl Connection {
    fn may_end(&self) -> bool {
        match self.asked.get() {
            Some(asked) => ANSWERING_TIME <= asked.elapsed(),
            None => ASKING_TIME <= self.opened.elapsed(),
        }
    }
}

/// `Port` tells what a port serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Port {
    /// Readiness, whatever the path.
    Ready,
    /// Metrics and documents.
    Inner,
}

/// `serve` answers on one port until it is dropped. When too many connections are open, others wait until some
/// end or have asked nothing for too long.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener, port: Port) {
    let mut connections: Vec<Connection> = Vec::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("event=accept_failed port={port:?} error={error}");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                continue;
            }
        };
        make_room(&gateway, &mut connections).await;
        let asked: Rc<Cell<Option<Instant>>> = Rc::default();
        let last_asked = Rc::clone(&asked);
        let gateway = Rc::clone(&gateway);
        let work = if port == Port::Ready { Work::Probes } else { Work::Documents };
        let task = tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                last_asked.set(Some(Instant::now()));
                let response = respond(&gateway, port, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let serving = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .max_buf_size(HEAD_BYTES_MAX)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = gateway.work_times.time(work, serving).await {
                log::debug!("event=probe_ended port={port:?} error={error}");
            }
        });
        let task = task.abort_handle();
        connections.push(Connection { task, opened: Instant::now(), asked });
    }
}

/// Waits until one more connection may be open; the oldest that may end does.
async fn make_room(gateway: &Gateway, connections: &mut Vec<Connection>) {
    loop {
        connections.retain(|connection| !connection.task.is_finished());
        let connections_max = CONNECTIONS_MIN + CONNECTIONS_PER_PEER * domain_peers(gateway).len();
        if connections.len() < connections_max {
            return;
        }
        if let Some(oldest) = connections.iter().position(Connection::may_end) {
            connections.remove(oldest).task.abort();
            return;
        }
        tokio::time::sleep(ROOM_PAUSE).await;
    }
}

fn respond(gateway: &Gateway, port: Port, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    match (port, request.uri().path()) {
        (Port::Ready, _) if gateway.is_ready() => respond_with(StatusCode::OK, Bytes::new()),
        (Port::Ready, _) => respond_with(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        (Port::Inner, METRICS_PATH) => {
            respond_with(StatusCode::OK, Bytes::from(gateway.metrics.text()))
        }
        (Port::Inner, DOCUMENTS_PATH) => gateway.answer_of_query(request.uri().query()).response(),
        (Port::Inner, PARTS_PATH) => respond_with_json(&gateway.part_reports()),
        (Port::Inner, REQUESTS_PATH) => respond_with_json(&gateway.request_reports()),
        (Port::Inner, LIFT_PART_PATH) if request.method() == Method::POST => {
            lift_part(gateway, request.uri().query().unwrap_or_default())
        }
        (Port::Inner, LIFT_REQUEST_PATH) if request.method() == Method::POST => {
            lift_request(gateway, request.uri().query().unwrap_or_default())
        }
        (Port::Inner, _) => respond_with(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn respond_with_json(reports: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_vec(reports) {
        Ok(body) => respond_with(StatusCode::OK, Bytes::from(body)),
        Err(error) => {
            log::warn!("event=reports_not_encoded error={error}");
            respond_with(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

fn lift_part(gateway: &Gateway, query: &str) -> Response<Full<Bytes>> {
    let part = value_of(query, "part").and_then(|part| PartId::from_str_radix(part, 16).ok());
    let (Some(service), Some(part)) = (value_of(query, "service"), part) else {
        let body = Bytes::from_static(b"name service=NAME and part=HEX in the query");
        return respond_with(StatusCode::BAD_REQUEST, body);
    };
    respond_lifted(gateway.lift_part(service, part))
}

fn lift_request(gateway: &Gateway, query: &str) -> Response<Full<Bytes>> {
    let digest = value_of(query, "digest");
    let digest = digest.and_then(|digest| RequestDigest::from_str_radix(digest, 16).ok());
    let Some(digest) = digest else {
        let body = Bytes::from_static(b"name digest=HEX in the query");
        return respond_with(StatusCode::BAD_REQUEST, body);
    };
    respond_lifted(gateway.lift_request(digest))
}

fn respond_lifted(is_known: bool) -> Response<Full<Bytes>> {
    let body = match is_known {
        true => "lifted",
        false => "nothing was known against it here; all instances are told",
    };
    respond_with(StatusCode::OK, Bytes::from_static(body.as_bytes()))
}

fn value_of<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

fn respond_with(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

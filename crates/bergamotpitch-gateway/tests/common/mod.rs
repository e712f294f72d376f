//! A gateway before scripted upstreams, and callers of it, over loopback sockets.

#![allow(dead_code)]

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::catalogs::{
    Catalog, EngineService, Route, RouteKind, Service, Target, Team,
};
use bergamotpitch_control::traffic::facts::{PromptPart, RequestFacts};
use bergamotpitch_control::traffic::registries::Registration;
use bergamotpitch_control::traffic::residencies::AllowedRegions;
use bergamotpitch_gateway::dialects::{
    AnswerFacts, BadHeader, Dialect, StatedIdentity, UpstreamHeaders,
};
use bergamotpitch_gateway::version_records::RecordStore;
use bergamotpitch_gateway::{Gateway, Options};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

pub mod crashes;
pub mod fake_peers;
pub mod instances;
pub mod links;

/// `run` runs a test on one thread with local tasks.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(Duration::from_secs(60), test).await.expect("the test hangs");
    });
}

/// `DIALECT` spells headers in a way of its own.
pub const DIALECT: Dialect = Dialect {
    caller_key: |headers| headers.get("x-key").and_then(|value| value.to_str().ok()),
    request_facts,
    strip_caller_headers: |headers| {
        headers.remove("x-key");
        headers.remove("x-team");
    },
    write_upstream_headers,
    answer_facts: |headers| AnswerFacts {
        attempt_id: text(headers, "x-id"),
        is_not_run: headers.contains_key("x-not-run"),
        load: None,
        cold_left: None,
    },
    write_own_headers: |headers, id| {
        headers.insert("x-id", HeaderValue::from_str(id).unwrap());
    },
    identity_request: |_, upstream_id| {
        let request = Request::get(IDENTITY_PATH).header("x-upstream", upstream_id);
        request.body(Bytes::new()).ok()
    },
    stated_identity: |status, headers, _| {
        let is_other = status == StatusCode::MISDIRECTED_REQUEST;
        let id = text(headers, "x-upstream");
        let born_ms = text(headers, "x-born").and_then(|born| born.parse().ok());
        (is_other || id.is_some()).then_some(StatedIdentity { is_other, id, born_ms })
    },
};

/// `IDENTITY_PATH` is where upstreams say who they are.
pub const IDENTITY_PATH: &str = "/who";

fn request_facts(headers: &HeaderMap) -> Result<RequestFacts, BadHeader> {
    let number = |name| text(headers, name).and_then(|text| text.parse().ok());
    Ok(RequestFacts {
        attempt_id: text(headers, "x-id").ok_or(BadHeader { name: "id" })?,
        time_budget: number("x-budget-ms").map(Duration::from_millis),
        prompt_tokens: number("x-prompt-tokens").unwrap_or_default(),
        prefix: text(headers, "x-prefix").map(|list| prompt_parts(&list)).unwrap_or_default(),
        resume_after: text(headers, "last-event-id"),
        resumed_attempt_id: text(headers, "x-resumes"),
        has_condition: headers.contains_key("x-expect"),
        ..RequestFacts::default()
    })
}

/// Ids of parts of ten tokens each.
fn prompt_parts(list: &str) -> Vec<PromptPart> {
    list.split(',').map(|id| PromptPart { id: id.parse().unwrap(), tokens: 10 }).collect()
}

fn write_upstream_headers(headers: &mut HeaderMap, written: &UpstreamHeaders<'_>) {
    let mut set = |name: &'static str, value: &str| {
        headers.insert(name, HeaderValue::from_str(value).unwrap());
    };
    set("x-budget-ms", &written.time_left.as_millis().to_string());
    set("x-upstream", written.upstream_id);
    if let Some(team) = written.team {
        set("x-team", team);
    }
    if let Some(last) = written.resume_after {
        set("last-event-id", last);
    }
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// `Act` is one step of an upstream's answer.
#[derive(Debug, Clone)]
pub enum Act {
    /// It writes these bytes; `{id}` stands for the request's id.
    Write(String),
    /// It waits.
    Pause(Duration),
    /// It closes the connection with a reset.
    Reset,
    /// It closes the connection in order.
    Close,
    /// It waits until the other side closes.
    Hang,
    /// It writes these bytes again and again until the other side closes.
    Repeat(String),
}

/// `REPEATED_BYTES` is how much of what is written without end goes out at once.
const REPEATED_BYTES: usize = 16 << 10;

/// `Script` tells how an upstream answers its requests, by their number from 0.
pub type Script = Box<dyn Fn(usize) -> Vec<Act>>;

/// `Reader` tells how an upstream answers a request.
pub type Reader = Box<dyn Fn(&Seen) -> Vec<Act>>;

/// `Seen` is a request as an upstream saw it.
#[derive(Debug, Clone)]
pub struct Seen {
    /// Head, in lower case names.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
}

impl Seen {
    /// `header` returns a header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }
}

/// `FakeUpstream` answers by script.
pub struct FakeUpstream {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it was asked.
    pub seen: Rc<RefCell<Vec<Seen>>>,
    /// How many connections were closed by the other side while it worked.
    pub abandoned: Rc<RefCell<usize>>,
    /// How many bytes it has written without end.
    pub repeated: Rc<Cell<usize>>,
}

impl FakeUpstream {
    /// `start` listens.
    pub async fn start(script: Script) -> Self {
        let number = Cell::new(0);
        Self::start_reading(Box::new(move |_| script(number.replace(number.get() + 1)))).await
    }

    /// `start_reading` listens, and answers by what the requests hold.
    pub async fn start_reading(script: Reader) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let seen: Rc<RefCell<Vec<Seen>>> = Rc::default();
        let abandoned: Rc<RefCell<usize>> = Rc::default();
        let script = Rc::new(script);
        let repeated: Rc<Cell<usize>> = Rc::default();
        let (all, left) = (Rc::clone(&seen), Rc::clone(&abandoned));
        let written = Rc::clone(&repeated);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let counts = (Rc::clone(&left), Rc::clone(&written));
                let work = work(stream, Rc::clone(&script), Rc::clone(&all), counts);
                tokio::task::spawn_local(work);
            }
        });
        Self { address, seen, abandoned, repeated }
    }

    /// `count` returns how many requests came.
    pub fn count(&self) -> usize {
        self.seen.borrow().len()
    }
}

async fn work(
    mut stream: TcpStream,
    script: Rc<Reader>,
    seen: Rc<RefCell<Vec<Seen>>>,
    (abandoned, repeated): (Rc<RefCell<usize>>, Rc<Cell<usize>>),
) {
    let mut buffer = Vec::new();
    loop {
        let Some(request) = read_request(&mut stream, &mut buffer).await else { return };
        let id = request.header("x-id").unwrap_or("-").to_owned();
        let acts = script(&request);
        seen.borrow_mut().push(request);
        for act in acts {
            match act {
                Act::Write(text) => {
                    if stream.write_all(text.replace("{id}", &id).as_bytes()).await.is_err() {
                        *abandoned.borrow_mut() += 1;
                        return;
                    }
                }
                Act::Pause(time) => tokio::time::sleep(time).await,
                Act::Reset => {
                    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                    return;
                }
                Act::Close => return,
                Act::Repeat(text) => {
                    let bytes = text.repeat(REPEATED_BYTES.div_ceil(text.len()));
                    while stream.write_all(bytes.as_bytes()).await.is_ok() {
                        repeated.set(repeated.get() + bytes.len());
                    }
                    *abandoned.borrow_mut() += 1;
                    return;
                }
                Act::Hang => {
                    // Whatever ends the reading, the other side has left.
                    let _ = stream.read(&mut [0; 16]).await;
                    *abandoned.borrow_mut() += 1;
                    return;
                }
            }
        }
    }
}

pub async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Seen> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(buffer[..end].to_vec()).unwrap().replace("\r\n", "\n");
    let mut seen = Seen { head, body: Vec::new() };
    let length: usize =
        seen.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    while buffer.len() < end + length {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
    seen.body = buffer[end..end + length].to_vec();
    buffer.drain(..end + length);
    Some(seen)
}

/// `whole` is a plain answer.
pub fn whole(status: &str, body: &str) -> Act {
    Act::Write(format!(
        "HTTP/1.1 {status}\r\nx-id: {{id}}\r\nx-seal: s\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// `not_run` is the refusal of an upstream that proves that it did not run the request.
pub fn not_run() -> Act {
    not_run_with("503 Service Unavailable")
}

/// `not_run_with` is such a refusal with a status.
pub fn not_run_with(status: &str) -> Act {
    Act::Write(format!(
        "HTTP/1.1 {status}\r\nx-id: {{id}}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
    ))
}

/// `stream_head` begins a stream of events.
pub fn stream_head() -> Act {
    Act::Write(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
            .to_owned(),
    )
}

/// `event` is one event in a chunk of its own.
pub fn event(id: u32) -> Act {
    let event = format!("id: {id}\ndata: piece {id}\n\n");
    Act::Write(format!("{:x}\r\n{event}\r\n", event.len()))
}

/// `events_text` is the events of some ids, as a caller reads them.
pub fn events_text(from: u32, to: u32) -> String {
    (from..=to).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect()
}

/// `stream_end` ends a stream in order.
pub fn stream_end() -> Act {
    Act::Write("0\r\n\r\n".to_owned())
}

/// `route` is a route to the service `all` under its own prefix.
pub fn route(prefix: &str, kind: RouteKind) -> Route {
    Route {
        name: prefix.trim_matches('/').to_owned(),
        host: "test.example".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout: Duration::from_secs(4),
        target_latency: Duration::from_millis(500),
        target_gap: None,
        priority: 1,
        attempts_max: 2,
        is_public: true,
        is_resumable: false,
        targets: vec![Target { service: "all".to_owned(), weight: 1 }],
        allowed_regions: AllowedRegions::Any,
    }
}

/// `service` is a service of small engines.
pub fn service(name: &str) -> Service {
    Service {
        name: name.to_owned(),
        health_path: "/health".to_owned(),
        connections_max: 10,
        warm_up: None,
        engine: Some(EngineService { slots: 4, memory_tokens: 1_000, cache_link: None }),
    }
}

/// `catalog` has one route of each kind.
pub fn catalog(version: u64) -> Catalog {
    let mut resumable = route("/resumed/", RouteKind::Streaming);
    resumable.is_resumable = true;
    let mut closed = route("/closed/", RouteKind::Safe);
    closed.is_public = false;
    let routes = vec![
        route("/safe/", RouteKind::Safe),
        route("/once/", RouteKind::Unsafe),
        route("/stream/", RouteKind::Streaming),
        resumable,
        closed,
    ];
    let service = service("all");
    let team = Team {
        name: "florists".to_owned(),
        priority: None,
        keys: vec!["secret".to_owned()],
        allowed_regions: AllowedRegions::Any,
    };
    Catalog::new(version, routes, vec![service], vec![team])
}

/// `start` starts a gateway before upstreams.
pub async fn start(upstreams: &[&FakeUpstream]) -> (Rc<Gateway>, SocketAddr) {
    start_with(upstreams, catalog(1)).await
}

/// `start_with` starts a gateway with a configuration.
pub async fn start_with(
    upstreams: &[&FakeUpstream],
    catalog: Catalog,
) -> (Rc<Gateway>, SocketAddr) {
    launch(upstreams, catalog, Options::default()).await
}

/// `start_bounded` starts a gateway that keeps only so many connections of callers.
pub async fn start_bounded(
    upstreams: &[&FakeUpstream],
    connections_max: usize,
) -> (Rc<Gateway>, SocketAddr) {
    let options = Options { caller_connections_max: connections_max, ..Options::default() };
    launch(upstreams, catalog(1), options).await
}

/// `start_with_memory` starts a gateway that holds only so many bytes of bodies.
pub async fn start_with_memory(
    upstreams: &[&FakeUpstream],
    body_bytes_max: usize,
) -> (Rc<Gateway>, SocketAddr) {
    let options = Options { body_bytes_max, ..Options::default() };
    launch(upstreams, catalog(1), options).await
}

/// `start_small` starts a gateway with an eighth of a core, in a domain of which any two instances have
/// a dispatcher.
pub async fn start_small(upstreams: &[&FakeUpstream]) -> (Rc<Gateway>, SocketAddr) {
    let mut options = Options { processor_millis: 125, ..Options::default() };
    options.dispatchers.instances_min = 2;
    launch(upstreams, catalog(1), options).await
}

/// Records of a fleet that has run in calm for long: the versions that serve now, and no other ones.
fn records_of(gateway: &Rc<Gateway>) -> RecordStore {
    let known = Rc::clone(gateway);
    RecordStore {
        write: Box::new(|_| {}),
        read: Box::new(move |service| {
            let versions = known.versions_of(service);
            Box::pin(async move { Some(Some(versions)) })
        }),
    }
}

/// `launch` starts a gateway with options.
pub async fn launch(
    upstreams: &[&FakeUpstream],
    catalog: Catalog,
    mut options: Options,
) -> (Rc<Gateway>, SocketAddr) {
    options.admission.domain = "a".to_owned();
    options.admission.retries.fixed = 100.0;
    options.admission.retries.fixed_after = Duration::ZERO;
    let gateway = Gateway::start(options, DIALECT).await.unwrap();
    gateway.note_fleet_listed();
    gateway.keep_version_records(records_of(&gateway));
    gateway.read_list_with(Box::new(|| Box::pin(async { true })));
    gateway.put_catalog(catalog, "test");
    for (index, upstream) in upstreams.iter().enumerate() {
        gateway.upstream_listed(registration(&format!("u{index}"), upstream.address));
    }
    gateway.upstreams_known();
    let caller_address = gateway.options.caller_address;
    (gateway, caller_address)
}

/// `registration` lists an upstream of the service `all`.
pub fn registration(id: &str, address: SocketAddr) -> Registration {
    Registration {
        id: id.to_owned(),
        born_ms: Some(1),
        service: "all".to_owned(),
        address,
        domain: "a".to_owned(),
        slots: 4,
        is_leaving: false,
        cold_left: Some(Duration::ZERO),
        software: None,
    }
}

/// `closed_port` is a port that refuses connections for as long as the result is kept: nobody else
/// can take it meanwhile.
pub fn closed_port() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

/// `Got` is what a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Got {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, as far as it came.
    pub body: String,
    /// Whether it ended in order.
    pub is_whole: bool,
}

/// `connect` opens a caller's connection.
pub async fn connect(address: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address).await.unwrap();
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::task::spawn_local(async move {
        // How it ends is seen in the answer.
        let _ = connection.await;
    });
    sender
}

/// `request` is a caller's request.
pub fn request(method: &str, path: &str, id: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "test.example")
        .header("x-id", id)
        .header("x-budget-ms", "3000")
        .body(Full::new(Bytes::from(if method == "POST" { "a body" } else { "" })))
        .unwrap()
}

/// `prompt` is a team's request for a generation.
pub fn prompt(id: &str) -> Request<Full<Bytes>> {
    let mut request = request("POST", "/closed/", id);
    request.headers_mut().insert("x-key", HeaderValue::from_static("secret"));
    request.headers_mut().insert("x-prompt-tokens", HeaderValue::from_static("10"));
    request
}

/// `prompt_of` is a request for a stream that may be resumed, with the parts of its prompt.
pub fn prompt_of(id: &str, parts: &[u64]) -> Request<Full<Bytes>> {
    let mut request = request("POST", "/resumed/", id);
    let list: Vec<String> = parts.iter().map(u64::to_string).collect();
    let headers = request.headers_mut();
    headers.insert("x-prefix", HeaderValue::from_str(&list.join(",")).unwrap());
    headers.insert("x-prompt-tokens", HeaderValue::from(10 * parts.len()));
    request
}

/// `ask` sends one request on a connection of its own; `None` when no answer came.
pub async fn ask(address: SocketAddr, request: Request<Full<Bytes>>) -> Option<Got> {
    let mut sender = connect(address).await;
    ask_on(&mut sender, request).await
}

/// `ask_on` sends one request on a kept connection.
pub async fn ask_on(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Option<Got> {
    sender.ready().await.ok()?;
    let response = sender.send_request(request).await.ok()?;
    let (parts, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let mut is_whole = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data)),
            Err(_) => {
                is_whole = false;
                break;
            }
        }
    }
    Some(Got {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: String::from_utf8(bytes).unwrap(),
        is_whole,
    })
}

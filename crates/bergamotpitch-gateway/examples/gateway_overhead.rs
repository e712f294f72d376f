//! Measures what one gateway adds: the same calls and streams go straight to upstreams and through
//! a gateway, in turns, in one run.
//!
//! The gateway runs on a thread of its own, whose processor time is read apart from that of the
//! callers and of the upstreams. `--upstreams N` lists N upstreams that share one listener: the
//! cost of a decision grows with the list, and the fleets that operators run have up to a hundred.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bergamotpitch_control::traffic::catalogs::{
    Catalog, EngineService, Route, RouteKind, Service, Target, Team,
};
use bergamotpitch_control::traffic::engine_loads::Report;
use bergamotpitch_control::traffic::facts::{PromptPart, RequestFacts};
use bergamotpitch_control::traffic::registries::Registration;
use bergamotpitch_control::traffic::residencies::AllowedRegions;
use bergamotpitch_gateway::dialects::{AnswerFacts, BadHeader, Dialect, UpstreamHeaders};
use bergamotpitch_gateway::{Gateway, Options};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response};
use http_body_util::channel::Channel;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

/// Callers that each wait for an answer before they ask again.
const CALLERS: usize = 16;

/// Time of one turn.
const TURN: Duration = Duration::from_secs(2);

/// Turns of each kind.
const TURNS: usize = 2;

/// Events of a stream.
const EVENTS: usize = 64;

const DIALECT: Dialect = Dialect {
    caller_key: |headers| headers.get("x-key").and_then(|value| value.to_str().ok()),
    request_facts,
    strip_caller_headers: |headers| {
        headers.remove("x-key");
    },
    write_upstream_headers,
    answer_facts: |headers| AnswerFacts {
        attempt_id: text(headers, "x-id").map(str::to_owned),
        is_not_run: false,
        load: Some(Report { running: 1, ..Report::default() }),
        cold_left: None,
    },
    write_own_headers: |_, _| {},
    identity_request: |_, _| None,
    stated_identity: |_, _, _| None,
};

/// `Measured` is one kind of requests, straight and through the gateway.
#[derive(Default)]
struct Measured {
    straight: Vec<Duration>,
    routed: Vec<Duration>,
    gateway_time: Duration,
}

fn main() {
    let upstreams = count_of_arguments();
    let load = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("a runtime");
    let upstream = load.block_on(serve());
    let (address, thread) = start_gateway(upstream, upstreams, Processor::Free);
    println!("upstreams listed      {upstreams:9}");
    for (name, path) in [("call", "/call/"), ("stream", "/stream/")] {
        let mut measured = Measured::default();
        for _ in 0..TURNS {
            measured.straight.extend(load.block_on(turn(upstream, path)));
            let before = cpu_time(&thread);
            measured.routed.extend(load.block_on(turn(address, path)));
            measured.gateway_time += cpu_time(&thread) - before;
        }
        report(name, &mut measured);
    }
    let (late_address, late_thread) = start_gateway(upstream, upstreams, Processor::Late);
    for (name, address, thread, reuse) in [
        ("on a kept connection", address, &thread, Reuse::Kept),
        ("on a fresh one", address, &thread, Reuse::Fresh),
        ("on a fresh one, from the head", late_address, &late_thread, Reuse::Fresh),
    ] {
        let before = cpu_time(thread);
        let count = load.block_on(refused_turn(address, reuse));
        let each_us = (cpu_time(thread) - before).as_secs_f64() * 1e6 / count as f64;
        println!("refusal {name}, processor time of the gateway {each_us:.0} us, {count} refused");
    }
}

/// Whether the gateway has processor time, as far as it is told.
#[derive(Clone, Copy, PartialEq)]
enum Processor {
    Free,
    Late,
}

/// Time between two times at which a gateway is told that it is late.
const LATE_INTERVAL: Duration = Duration::from_millis(20);

async fn stay_late(gateway: Rc<Gateway>) {
    loop {
        gateway.loop_lag.note(Duration::from_secs(1));
        tokio::time::sleep(LATE_INTERVAL).await;
    }
}

/// Whether callers that are refused ask again on the same connection.
#[derive(Clone, Copy, PartialEq)]
enum Reuse {
    Kept,
    Fresh,
}

/// Body of a request that is refused: as long as that of a long prompt.
const REFUSED_BODY: &[u8] = &[b'x'; 12_000];

/// `refused_turn` has all callers ask for a service without upstreams, and returns how often.
async fn refused_turn(address: SocketAddr, reuse: Reuse) -> usize {
    let end = Instant::now() + TURN;
    let callers: Vec<_> =
        (0..CALLERS).map(|caller| tokio::spawn(be_refused(address, reuse, caller, end))).collect();
    let mut count = 0;
    for caller in callers {
        count += caller.await.expect("a caller asks to the end");
    }
    count
}

async fn be_refused(address: SocketAddr, reuse: Reuse, caller: usize, end: Instant) -> usize {
    let mut count = 0;
    let mut kept = None;
    while Instant::now() < end {
        let mut sender = match kept.take() {
            Some(sender) => sender,
            None => connect(address).await,
        };
        let request = request_to("/refused/", caller, caller + CALLERS * count, REFUSED_BODY);
        sender.ready().await.expect("a connection");
        let response = sender.send_request(request).await.expect("an answer");
        assert_eq!(response.status(), http::StatusCode::SERVICE_UNAVAILABLE);
        response.into_body().collect().await.expect("a whole answer");
        count += 1;
        kept = (reuse == Reuse::Kept).then_some(sender);
    }
    count
}

fn count_of_arguments() -> usize {
    let mut arguments = std::env::args().skip(1);
    match (arguments.next().as_deref(), arguments.next()) {
        (Some("--upstreams"), Some(count)) => count.parse().expect("a number of upstreams"),
        _ => 1,
    }
}

fn start_gateway(
    upstream: SocketAddr,
    upstreams: usize,
    processor: Processor,
) -> (SocketAddr, String) {
    let (send, receive) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let gateway = Gateway::start(Options::default(), DIALECT).await.expect("it starts");
            list(&gateway, upstream, upstreams);
            if processor == Processor::Late {
                tokio::task::spawn_local(stay_late(Rc::clone(&gateway)));
            }
            let task = std::fs::read_link("/proc/thread-self").expect("a thread");
            let thread = format!("/proc/{}/stat", task.display());
            send.send((gateway.options.caller_address, thread)).expect("somebody waits");
            std::future::pending::<()>().await;
        });
    });
    receive.recv().expect("the gateway starts")
}

fn list(gateway: &Rc<Gateway>, upstream: SocketAddr, upstreams: usize) {
    let route = |prefix: &str, kind| Route {
        name: prefix.to_owned(),
        host: "measured.example".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout: Duration::from_secs(4),
        target_latency: Duration::from_millis(500),
        target_gap: None,
        priority: 1,
        attempts_max: 2,
        is_public: false,
        is_resumable: false,
        targets: vec![Target { service: "all".to_owned(), weight: 1 }],
        allowed_regions: AllowedRegions::Any,
    };
    let service = Service {
        health_path: String::new(),
        name: "all".to_owned(),
        warm_up: None,
        connections_max: 1_000,
        engine: Some(EngineService { slots: 64, memory_tokens: 1_000_000, cache_link: None }),
    };
    let teams = (0..30).map(|number| Team {
        name: format!("team-{number}"),
        priority: None,
        keys: vec![format!("key-{number}")],
        allowed_regions: AllowedRegions::Any,
    });
    let mut refused = route("/refused/", RouteKind::Streaming);
    refused.targets = vec![Target { service: "none".to_owned(), weight: 1 }];
    // What is not placed at once is refused.
    refused.target_latency = Duration::ZERO;
    let routes =
        vec![route("/call/", RouteKind::Safe), route("/stream/", RouteKind::Streaming), refused];
    let none = Service { name: "none".to_owned(), ..service.clone() };
    gateway.put_catalog(Catalog::new(1, routes, vec![service, none], teams.collect()), "measure");
    for number in 0..upstreams {
        gateway.upstream_listed(Registration {
            id: format!("u{number}"),
            born_ms: Some(1),
            service: "all".to_owned(),
            address: upstream,
            domain: String::new(),
            slots: 64,
            is_leaving: false,
            cold_left: Some(Duration::ZERO),
            software: None,
        });
    }
    gateway.upstreams_known();
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn request_facts(headers: &HeaderMap) -> Result<RequestFacts, BadHeader> {
    let id = text(headers, "x-id").ok_or(BadHeader { name: "x-id" })?;
    let number: u64 = id.parse().map_err(|_| BadHeader { name: "x-id" })?;
    let is_generation = text(headers, "x-prompt").is_some();
    let part = |id, tokens| PromptPart { id, tokens };
    Ok(RequestFacts {
        attempt_id: id.to_owned(),
        time_budget: Some(Duration::from_secs(3)),
        prompt_tokens: if is_generation { 1_500 } else { 0 },
        output_tokens_max: if is_generation { 100 } else { 0 },
        prefix: match is_generation {
            true => vec![part(number % 8, 300), part(100 + number % 80, 200), part(number, 1_000)],
            false => Vec::new(),
        },
        ..RequestFacts::default()
    })
}

fn write_upstream_headers(headers: &mut HeaderMap, written: &UpstreamHeaders<'_>) {
    headers.insert("x-budget-ms", HeaderValue::from(written.time_left.as_millis() as u64));
}

async fn serve() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            // A connection that ends early is seen by the callers.
            let _ = stream.set_nodelay(true);
            tokio::spawn(async move {
                let builder = hyper::server::conn::http1::Builder::new();
                let _ = builder.serve_connection(TokioIo::new(stream), service_fn(answer)).await;
            });
        }
    });
    address
}

type Answer = Response<BoxBody<Bytes, std::convert::Infallible>>;

async fn answer(request: Request<Incoming>) -> Result<Answer, hyper::Error> {
    let id = request.headers().get("x-id").cloned();
    let is_stream = request.uri().path() == "/stream/";
    request.into_body().collect().await?;
    let mut response = if is_stream {
        let (mut sender, body) = Channel::new(4);
        tokio::spawn(async move {
            for event in 1..=EVENTS {
                let data = Bytes::from(format!("id: {event}\ndata: some tokens of an answer\n\n"));
                // A caller that left needs no more events.
                if sender.send_data(data).await.is_err() {
                    return;
                }
                tokio::task::yield_now().await;
            }
        });
        let mut response = Response::new(body.boxed());
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(http::header::CONTENT_TYPE, kind);
        response
    } else {
        Response::new(Full::from("filed").boxed())
    };
    if let Some(id) = id {
        response.headers_mut().insert("x-id", id);
    }
    Ok(response)
}

/// `turn` has all callers ask for the time of a turn and returns the times of their requests.
async fn turn(address: SocketAddr, path: &'static str) -> Vec<Duration> {
    let end = Instant::now() + TURN;
    let callers: Vec<_> =
        (0..CALLERS).map(|caller| tokio::spawn(ask(address, path, caller, end))).collect();
    let mut times = Vec::new();
    for caller in callers {
        times.extend(caller.await.expect("a caller asks to the end"));
    }
    times
}

async fn ask(
    address: SocketAddr,
    path: &'static str,
    caller: usize,
    end: Instant,
) -> Vec<Duration> {
    let mut sender = connect(address).await;
    let mut times = Vec::new();
    while Instant::now() < end {
        let request = request_to(path, caller, caller + CALLERS * times.len(), &[b'x'; 1_000]);
        let begun = Instant::now();
        sender.ready().await.expect("a kept connection");
        let response = sender.send_request(request).await.expect("an answer");
        assert!(response.status().is_success(), "{}", response.status());
        response.into_body().collect().await.expect("a whole answer");
        times.push(begun.elapsed());
    }
    times
}

async fn connect(address: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address).await.expect("a connection");
    stream.set_nodelay(true).expect("a socket option");
    let (sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.expect("a connection");
    // How it ends is seen in the answers.
    tokio::spawn(connection);
    sender
}

fn request_to(
    path: &str,
    caller: usize,
    number: usize,
    body: &'static [u8],
) -> Request<Full<Bytes>> {
    Request::post(path)
        .header("host", "measured.example")
        .header("x-id", number.to_string())
        .header("x-key", format!("key-{caller}"))
        .header("x-prompt", "1")
        .body(Full::new(Bytes::from_static(body)))
        .expect("a request")
}

fn cpu_time(thread: &str) -> Duration {
    let text = std::fs::read_to_string(thread).unwrap_or_default();
    let Some((_, rest)) = text.rsplit_once(')') else { return Duration::ZERO };
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let field = |index: usize| fields[index].parse::<u64>().unwrap_or(0);
    // The kernel counts in hundredths of a second on every machine that this runs on.
    Duration::from_millis((field(11) + field(12)) * 10)
}

fn report(name: &str, measured: &mut Measured) {
    let Measured { straight, routed, gateway_time } = measured;
    straight.sort_unstable();
    routed.sort_unstable();
    let at = |times: &[Duration], part: f64| {
        times[((times.len() - 1) as f64 * part) as usize].as_secs_f64() * 1_000.0
    };
    let seconds = TURN.as_secs_f64() * TURNS as f64;
    println!(
        "{name}s straight, routed  {:9.0} {:9.0} /s",
        straight.len() as f64 / seconds,
        routed.len() as f64 / seconds
    );
    let each_us = gateway_time.as_secs_f64() * 1e6 / routed.len() as f64;
    println!("{name}, processor time of the gateway {each_us:.0} us");
    if name == "stream" {
        println!("event, at most                       {:.1} us", each_us / EVENTS as f64);
    }
    for (quantile, part) in [("p50", 0.5), ("p99", 0.99)] {
        let (straight, routed) = (at(straight, part), at(routed, part));
        println!(
            "{name} {quantile} straight, routed  {straight:.3} {routed:.3} ms, added {:.3} ms",
            routed - straight
        );
    }
}

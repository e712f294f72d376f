//! Measures what one router adds to a call: the same calls go straight to an upstream and through a
//! router, in turns, in one run.
//!
//! The router runs on threads of its own, so that its processor time is known apart from that of
//! the callers and of the upstream.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bergamotpitch_core::settings::parse_router_settings;
use bergamotpitch_platform::{Options, Platform};
use bergamotpitch_router::Router;
use bergamotpitch_standin::platforms::{PlatformOptions, start_platform};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::TcpListener;

const KEY: &str = "overhead-key";

/// Callers that each wait for an answer before they ask again.
const CALLERS: usize = 16;

/// Time of one turn.
const TURN: Duration = Duration::from_secs(3);

/// Turns of each kind.
const TURNS: usize = 2;

fn main() {
    let load = runtime("load", 4);
    let traffic = runtime("traffic", 2);
    let (platform, upstream) = load.block_on(async { (start_stage().await, serve().await) });
    load.block_on(apply(platform, upstream));
    let router = traffic.block_on(start_router(platform));
    let address = router.caller_address();
    let mut straight = Vec::new();
    let mut routed = Vec::new();
    let mut router_time = Duration::ZERO;
    for _ in 0..TURNS {
        straight.extend(load.block_on(turn(format!("http://{upstream}/order"))));
        let before = router_cpu_time();
        routed.extend(load.block_on(turn(format!("http://{address}/crm/order"))));
        router_time += router_cpu_time() - before;
    }
    report(&mut straight, &mut routed, router_time);
    traffic.block_on(router.close());
}

fn runtime(name: &str, threads: usize) -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .expect("a runtime")
}

async fn start_stage() -> SocketAddr {
    let addresses = vec![SocketAddr::from(([127, 0, 0, 1], 0))];
    let options = PlatformOptions { addresses, rates: Default::default(), list_lag_ms: 0 };
    let platform = start_platform(options).await.expect("the stand-in listens");
    let address = platform.addresses[0];
    // It serves until the process ends.
    std::mem::forget(platform);
    address
}

async fn apply(platform: SocketAddr, upstream: SocketAddr) {
    let sheet = format!(
        r#"{{ "domains": [{{ "name": "a", "region": "r" }}],
              "services": [{{ "name": "crm", "kind": "plain" }}],
              "upstreams": [{{ "name": "u", "service": "crm", "domain": "a",
                               "address": "{upstream}", "slots": 64 }}],
              "teams": [{{ "name": "t", "share": 1, "key_hash": "{}", "services": ["crm"] }}] }}"#,
        blake3::hash(KEY.as_bytes()).to_hex()
    );
    let client = Platform::new(Options { address: platform, ..Options::default() });
    client.apply_sheet("sheet.json", &sheet, 0).await.expect("the sheet is applied");
}

async fn start_router(platform: SocketAddr) -> Router {
    let text = format!(
        r#"{{ "instance": "overhead", "domain": "a", "caller_address": "127.0.0.1:0",
              "peer_address": "127.0.0.1:0", "operator_address": "127.0.0.1:0",
              "platform_address": "{platform}", "shared_key": "a key for measures only" }}"#
    );
    let settings = parse_router_settings("router.json", &text).expect("the settings are valid");
    let router = Router::start(settings).await.expect("the router starts");
    while !router.context().is_ready() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    router
}

async fn serve() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::spawn(async move {
                let builder = auto::Builder::new(TokioExecutor::new());
                let _ = builder.serve_connection(TokioIo::new(stream), service_fn(answer)).await;
            });
        }
    });
    address
}

async fn answer(request: Request<Incoming>) -> Result<Response<Full<Bytes>>, hyper::Error> {
    request.into_body().collect().await?;
    Ok(Response::new(Full::from("filed")))
}

/// `turn` has all callers ask for the time of a turn and returns the times of their calls.
async fn turn(url: String) -> Vec<Duration> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client = Client::builder(TokioExecutor::new()).build(connector);
    let end = Instant::now() + TURN;
    let callers = (0..CALLERS).map(|_| tokio::spawn(call(client.clone(), url.clone(), end)));
    futures::future::join_all(callers).await.into_iter().flatten().flatten().collect()
}

async fn call(
    client: Client<HttpConnector, Full<Bytes>>,
    url: String,
    end: Instant,
) -> Vec<Duration> {
    let mut times = Vec::new();
    while Instant::now() < end {
        let request = Request::post(&url)
            .header("authorization", format!("Bearer {KEY}"))
            .body(Full::from("x".repeat(500)))
            .expect("a request");
        let begun = Instant::now();
        let response = client.request(request).await.expect("an answer");
        assert!(response.status().is_success(), "{}", response.status());
        response.into_body().collect().await.expect("a whole answer");
        times.push(begun.elapsed());
    }
    times
}

/// `router_cpu_time` sums the processor time of the router's threads.
fn router_cpu_time() -> Duration {
    let mut ticks = 0;
    let tasks = std::fs::read_dir("/proc/self/task").expect("the threads are listed");
    for task in tasks.flatten() {
        let text = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
        let Some((name, rest)) = text.rsplit_once(')') else { continue };
        if ["(traffic", "(control", "(events"].iter().any(|own| name.ends_with(own)) {
            let fields: Vec<&str> = rest.split_whitespace().collect();
            let field = |index: usize| fields[index].parse::<u64>().unwrap_or(0);
            ticks += field(11) + field(12);
        }
    }
    // The kernel counts in hundredths of a second on every machine that this runs on.
    Duration::from_millis(ticks * 10)
}

fn report(straight: &mut [Duration], routed: &mut [Duration], router_time: Duration) {
    straight.sort_unstable();
    routed.sort_unstable();
    let at = |times: &[Duration], part: f64| {
        times[((times.len() - 1) as f64 * part) as usize].as_secs_f64() * 1_000.0
    };
    let seconds = TURN.as_secs_f64() * TURNS as f64;
    println!("calls straight        {:9.0} /s", straight.len() as f64 / seconds);
    println!("calls routed          {:9.0} /s", routed.len() as f64 / seconds);
    println!("calls a router core   {:9.0} /s", routed.len() as f64 / router_time.as_secs_f64());
    for (name, part) in [("p50", 0.5), ("p99", 0.99)] {
        let (straight, routed) = (at(straight, part), at(routed, part));
        println!(
            "{name} straight, routed  {straight:.3} {routed:.3} ms, added {:.3} ms",
            routed - straight
        );
    }
}

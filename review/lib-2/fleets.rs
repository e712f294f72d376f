//! Fleets: a small deployment of routers, engines and a store.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::engines::{Engine, Options, Run};
use crate::record::Record;
use crate::routers::{Router, wait_until_ready};
use crate::store::Store;

pub const KEY: &str = "review-key";

pub struct Fleet {
    pub store: Store,
    pub routers: Vec<Router>,
    pub engines: Vec<Engine>,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

/// What a fleet is made of.
pub struct Plan {
    pub engines: usize,
    pub version: &'static str,
    pub events: u64,
    pub event_pause: Duration,
    pub routes: String,
    pub tenants: String,
}

pub const DOMAINS: [&str; 3] = ["a", "b", "c"];

impl Fleet {
    /// Starts a store with a configuration, engines and seven routers, and waits until these are ready.
    pub fn start(plan: &Plan, record: &Record, folder: &Path) -> Fleet {
        let store = Store::start();
        store.put("op/config", &configuration(4, plan));
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let engines: Vec<Engine> = (0..plan.engines)
            .map(|number| {
                let options = Options {
                    id: format!("i-{:08x}", 0x51a0_0000 + number),
                    service: "pool".to_owned(),
                    zone: DOMAINS[number % 3].to_owned(),
                    events: plan.events,
                    event_pause: plan.event_pause,
                };
                Engine::new(options, &store, record, &runs)
            })
            .collect();
        engines.iter().for_each(|engine| engine.start(plan.version));
        let routers = start_routers(&store, folder);
        record.line("the routers are ready");
        Fleet { store, routers, engines, runs }
    }

    pub fn callers_addresses(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(|router| router.settings.callers).collect()
    }
}

/// Starts seven routers in three zones and waits until they are ready.
pub fn start_routers(store: &Store, folder: &Path) -> Vec<Router> {
    let mut routers: Vec<Router> = (0..7)
        .map(|number| {
            let name = format!("front-{number}");
            Router::new(&name, DOMAINS[number % 3], store.address, folder)
        })
        .collect();
    routers.iter_mut().for_each(|router| router.start(true));
    wait_until_ready(&routers);
    routers
}

/// A configuration of one service.
pub fn configuration(version: u64, plan: &Plan) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"pool\",\
         \"health-path\":\"/health\",\"max-conns\":360,\
         \"engine\":{{\"slots\":64,\"kv-capacity-tokens\":231906}}}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{}]}}",
        plan.routes, plan.tenants
    )
}

pub fn route(name: &str, kind: &str, is_resumable: bool, attempts: u32, timeout_ms: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"review.example\",\"prefix\":\"/{name}/\",\
         \"kind\":\"{kind}\",\"timeout-ms\":{timeout_ms},\"target-latency-ms\":800,\"priority\":1,\
         \"service\":\"pool\",\"max-attempts\":{attempts},\"public\":false,\
         \"resumable\":{is_resumable},\"gap-aim-ms\":400}}"
    )
}

static LAST_ATTEMPT: AtomicU64 = AtomicU64::new(0);

/// An id that no other attempt has.
pub fn fresh_attempt() -> String {
    let number = LAST_ATTEMPT.fetch_add(1, Ordering::Relaxed) + 1;
    // Multiples of an odd number differ in all digits.
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

//! The stand-in platform: key-value service and instance list behind one or more addresses.
//!
//! Every address has faults of its own, so that one failure domain can be cut off from the platform
//! while another still reaches it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, watch};

use crate::admins::answer_admin;
use crate::bodies::{Answer, Body, BrokenConnection, read_whole, text_answer};
use crate::calls::{Bucket, CallCounts, RateLimits};
use crate::errors::Result;
use crate::faults::PlatformFaults;
use crate::instances::InstanceChange;
use crate::lags::Lagged;
use crate::locks::lock;
use crate::servers::{Crashes, Server, serve};
use crate::stores::Store;
use crate::{keys, sessions};

/// `PlatformOptions` describe a stand-in platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformOptions {
    /// Addresses that it listens on.
    pub addresses: Vec<SocketAddr>,
    /// Call rates above which it answers 429.
    #[serde(default)]
    pub rates: RateLimits,
    /// Time after which a change of the instance list is seen, in milliseconds.
    #[serde(default)]
    pub list_lag_ms: u64,
}

/// `Platform` is a running stand-in platform.
#[derive(Debug)]
pub struct Platform {
    /// Addresses that it listens on, with the ports that the system chose for 0.
    pub addresses: Vec<SocketAddr>,
    servers: Vec<Server>,
}

impl Platform {
    /// `close` stops listening and breaks the open connections.
    pub async fn close(self) {
        for server in self.servers {
            server.close().await;
        }
    }
}

/// `Shared` is the state that all addresses of a platform share.
#[derive(Debug)]
pub struct Shared {
    state: Mutex<State>,
    /// Index of the last change, for those who watch.
    pub changed: watch::Sender<u64>,
}

/// `State` is what the platform knows.
#[derive(Debug, Default)]
pub struct State {
    /// Keys, sessions and locks.
    pub store: Store,
    /// Instances as they are.
    pub instances: Vec<InstanceChange>,
    /// Instances as they are seen.
    pub listed: Lagged<Vec<InstanceChange>>,
    /// Calls taken.
    pub counts: CallCounts,
    /// Rates above which calls are refused.
    pub rates: RateLimits,
    /// Time after which a change of the instance list is seen, in milliseconds.
    pub list_lag_ms: u64,
    /// Writes that may be made now.
    pub write_bucket: Bucket,
    /// Reads that may be made now.
    pub read_bucket: Bucket,
}

/// `lock_state` gives access to the state.
pub fn lock_state(shared: &Shared) -> MutexGuard<'_, State> {
    lock(&shared.state)
}

/// `start_platform` starts a stand-in platform.
///
/// # Errors
///
/// An address cannot be listened on.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// use bergamotpitch_standin::platforms::{PlatformOptions, start_platform};
/// let addresses = vec!["127.0.0.1:0".parse().unwrap()];
/// let options = PlatformOptions { addresses, rates: Default::default(), list_lag_ms: 0 };
/// let platform = start_platform(options).await.unwrap();
/// platform.close().await;
/// # });
/// ```
pub async fn start_platform(options: PlatformOptions) -> Result<Platform> {
    // Reads answer index 1 while nothing was written, so the first write must get a higher one: a
    // watch from index 1 would miss it.
    let store = Store { index: 1, ..Store::default() };
    let (rates, list_lag_ms) = (options.rates, options.list_lag_ms);
    let state = State { store, rates, list_lag_ms, ..State::default() };
    let shared = Arc::new(Shared { state: Mutex::new(state), changed: watch::Sender::new(0) });
    let mut servers = Vec::new();
    for address in options.addresses {
        servers.push(start_address(address, Arc::clone(&shared)).await?);
    }
    let addresses = servers.iter().map(|server| server.address).collect();
    Ok(Platform { addresses, servers })
}

async fn start_address(address: SocketAddr, shared: Arc<Shared>) -> Result<Server> {
    let (crashes, crash_orders) = mpsc::unbounded_channel();
    let entrance =
        Arc::new(Entrance { shared, faults: Mutex::default(), frozen: Mutex::default(), crashes });
    let handler = Arc::new(move |request| answer(Arc::clone(&entrance), request).boxed());
    serve(address, handler, crash_orders).await
}

/// `Entrance` is one address of the platform.
#[derive(Debug)]
pub struct Entrance {
    /// What it shares with the other addresses.
    pub shared: Arc<Shared>,
    /// Its faults.
    pub faults: Mutex<PlatformFaults>,
    /// Copy of the keys that reads are answered from.
    pub frozen: Mutex<Option<Store>>,
    /// Way to its server.
    pub crashes: Crashes,
}

/// `Call` is a call to the platform, read whole.
#[derive(Debug)]
pub struct Call {
    /// Method of the call.
    pub method: Method,
    /// Path of the call.
    pub path: String,
    /// Query of the call.
    pub query: String,
    /// Body of the call.
    pub body: Bytes,
}

async fn answer(entrance: Arc<Entrance>, request: Request<Incoming>) -> Answer {
    let (parts, body) = read_whole(request).await?;
    let call = Call {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or("").to_owned(),
        body,
    };
    if call.path.starts_with("/_") {
        return Ok(answer_admin(&entrance, &call));
    }
    if call.method == Method::GET {
        return answer_with_faults(entrance, call).await;
    }
    // A write goes on when its caller has given it up: it lands late, as at a slow service.
    let written = tokio::spawn(answer_with_faults(entrance, call));
    written.await.unwrap_or(Err(BrokenConnection))
}

async fn answer_with_faults(entrance: Arc<Entrance>, call: Call) -> Answer {
    let faults = lock(&entrance.faults).clone();
    if faults.hang {
        lock_state(&entrance.shared).counts.failed += 1;
        return futures::future::pending().await;
    }
    tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    if faults.outage {
        lock_state(&entrance.shared).counts.failed += 1;
        return Ok(text_answer(StatusCode::INTERNAL_SERVER_ERROR, "No cluster leader"));
    }
    let frozen = lock(&entrance.frozen).clone();
    if let (Some(store), &Method::GET, Some(key)) =
        (frozen, &call.method, call.path.strip_prefix("/v1/kv/"))
    {
        return Ok(keys::answer_frozen(&entrance.shared, store, &call, key).await);
    }
    let response = answer_call(&entrance.shared, &call).await;
    if call.method != Method::GET && response.status().is_success() && loses_answer(&entrance) {
        lock_state(&entrance.shared).counts.lost_answers += 1;
        return Err(BrokenConnection);
    }
    Ok(response)
}

async fn answer_call(shared: &Shared, call: &Call) -> Response<Body> {
    if let Some(key) = call.path.strip_prefix("/v1/kv/") {
        return keys::answer_key(shared, call, key).await;
    }
    if call.path.starts_with("/v1/session/") {
        return sessions::answer_session(shared, call);
    }
    if let Some(list) = call.path.strip_prefix("/v1/health/service/") {
        return keys::answer_list(shared, list);
    }
    text_answer(StatusCode::NOT_FOUND, "no such path")
}

/// Percentages are met exactly over each hundred writes, so that a run can be repeated.
fn loses_answer(entrance: &Entrance) -> bool {
    let mut faults = lock(&entrance.faults);
    if 0 < faults.lose_next_answers {
        faults.lose_next_answers -= 1;
        return true;
    }
    let percent = u64::from(faults.lose_answers_percent.min(100));
    let state = lock_state(&entrance.shared);
    let writes = state.counts.writes + state.counts.sessions;
    writes * percent / 100 != writes.saturating_sub(1) * percent / 100
}

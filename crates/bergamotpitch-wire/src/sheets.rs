//! Sheets: a peer's sheet is fetched over TCP.
//!
//! The request and the reply are sealed; the reply's code covers the request, so that a reply to an
//! earlier request does not pass. Nothing is encrypted. An instance that holds a sheet gets only what
//! has changed since.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bergamotpitch_core::ids::{Incarnation, InstanceId, SheetVersion};
use bergamotpitch_core::sheets::AcceptedSheet;
use futures::StreamExt;
use serde::{Deserialize, Serialize};
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::task::JoinHandle;

use crate::endpoints::wall_clock_ms;
use crate::errors::{Error, Result, network_error};
use crate::histories::{SheetHistory, observe, packed_body, sheet_of_body};
use crate::keys::{Code, Keys, code_of, codes_agree};
use crate::receivers::FRESHNESS;

/// Largest sheet that is sent to a peer, in bytes as sent.
pub const SHEET_BYTES: usize = 8 << 20;

/// Time that a fetch may take.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Connections that are served at once; more are closed unanswered.
const CONNECTIONS: usize = 32;

/// Time between two looks at the sheet in force, for the history of its changes.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(250);

const REQUEST_BYTES: usize = 1 << 10;

/// `SheetRequest` asks for a peer's sheet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetRequest {
    /// Instance that asks.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Version of the sheet that it holds; 0 for none.
    pub held_version: SheetVersion,
    /// Number of the request within that life.
    pub number: u64,
    /// Wall-clock time of sealing, in milliseconds since the Unix epoch.
    pub sealed_ms: u64,
    /// Code over the fields above and the address asked.
    pub code: Code,
}

/// `SheetReply` is the answer to a [`SheetRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SheetReply {
    /// The packed answer; empty when there is no sheet, or the request is not trusted.
    pub sheet: Vec<u8>,
    /// Code over the request's code and the sheet.
    pub code: Code,
}

/// `SheetExchange` is the service by which instances fetch sheets from each other.
#[tarpc::service]
pub trait SheetExchange {
    /// `fetch` returns the sheet in force at the peer.
    async fn fetch(request: SheetRequest) -> SheetReply;
}

/// `SheetServer` answers peers that fetch the sheet.
pub struct SheetServer {
    address: SocketAddr,
    answers: JoinHandle<()>,
    observer: JoinHandle<()>,
}

impl SheetServer {
    /// `address` returns the address that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// `close` stops answering.
    pub fn close(self) {
        self.answers.abort();
        self.observer.abort();
    }
}

/// `sheet_server` starts to answer peers that fetch the sheet; `current` returns the sheet in force.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn sheet_server(
    address: SocketAddr,
    keys: Keys,
    current: impl Fn() -> Option<Arc<AcceptedSheet>> + Send + Sync + 'static,
) -> Result<SheetServer> {
    let mut incoming = tarpc::serde_transport::tcp::listen(address, Bincode::default)
        .await
        .map_err(|error| network_error(address, error))?;
    incoming.config_mut().max_frame_length(REQUEST_BYTES);
    let address = incoming.local_addr();
    let exchange = Exchange { keys, address, current: Arc::new(current), history: Arc::default() };
    let observer = tokio::spawn(observe_always(exchange.clone()));
    let slots = Arc::new(tokio::sync::Semaphore::new(CONNECTIONS));
    let answers = tokio::spawn(async move {
        while let Some(connection) = incoming.next().await {
            let Ok(connection) = connection else { continue };
            // A stranger who opens connections and says nothing must not use up memory or
            // descriptors: connections are few and short-lived.
            let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else { continue };
            let channel = BaseChannel::with_defaults(connection);
            let calls = channel.execute(exchange.clone().serve()).for_each(|call| call);
            tokio::spawn(async move {
                let _slot = slot;
                let _ = tokio::time::timeout(FETCH_TIMEOUT, calls).await;
            });
        }
    });
    Ok(SheetServer { address, answers, observer })
}

/// `fetch_sheet` fetches the whole sheet in force at a peer.
///
/// # Errors
///
/// Fails when the peer cannot be reached in time, has no sheet, or its reply is not sealed for this
/// request or holds no valid sheet.
pub async fn fetch_sheet(
    from: SocketAddr,
    keys: &Keys,
    instance: InstanceId,
    incarnation: Incarnation,
) -> Result<AcceptedSheet> {
    fetch(from, keys, seal_request(keys, from, (instance, incarnation), 0, wall_clock_ms()), None)
        .await
}

/// `fetch_sheet_since` fetches what changed at a peer since the sheet that is held, or the whole
/// sheet when that is not possible.
///
/// # Errors
///
/// As those of [`fetch_sheet`].
pub async fn fetch_sheet_since(
    from: SocketAddr,
    keys: &Keys,
    instance: InstanceId,
    incarnation: Incarnation,
    held: &AcceptedSheet,
) -> Result<AcceptedSheet> {
    let life = (instance, incarnation);
    let request = seal_request(keys, from, life, held.version, wall_clock_ms());
    match fetch(from, keys, request, Some(held)).await {
        Err(Error::BadSheet { .. }) => fetch_sheet(from, keys, instance, incarnation).await,
        result => result,
    }
}

async fn fetch(
    from: SocketAddr,
    keys: &Keys,
    request: SheetRequest,
    held: Option<&AcceptedSheet>,
) -> Result<AcceptedSheet> {
    let reply = tokio::time::timeout(FETCH_TIMEOUT, exchange_once(from, request.clone()))
        .await
        .map_err(|_| network_error(from, "timeout"))??;
    open_reply(keys, &request, &reply, held)
}

/// `seal_request` makes a request for the sheet of a peer, of one life of an instance that holds a
/// version.
pub fn seal_request(
    keys: &Keys,
    to: SocketAddr,
    (instance, incarnation): (InstanceId, Incarnation),
    held_version: SheetVersion,
    sealed_ms: u64,
) -> SheetRequest {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let code = Code::default();
    let mut request = SheetRequest { instance, incarnation, held_version, number, sealed_ms, code };
    request.code = request_code(keys, to, &request);
    request
}

/// `answer_request` makes the reply of a peer at an address.
///
/// # Errors
///
/// Fails when the sheet cannot be encoded or is larger than [`SHEET_BYTES`].
pub fn answer_request(
    keys: &Keys,
    at: SocketAddr,
    now_ms: u64,
    request: &SheetRequest,
    history: &mut SheetHistory,
) -> Result<SheetReply> {
    let is_fresh = now_ms.abs_diff(request.sealed_ms) <= FRESHNESS.as_millis() as u64;
    let is_sealed = codes_agree(&request_code(keys, at, request), &request.code);
    if !is_fresh || !is_sealed {
        return Ok(SheetReply::default());
    }
    let sheet = packed_body(history, request.held_version)?.to_vec();
    if SHEET_BYTES < sheet.len() {
        return Err(Error::Oversize { bytes: sheet.len(), limit_bytes: SHEET_BYTES });
    }
    let code = code_of(&keys.sheet_reply, &[&request.code, &sheet]);
    Ok(SheetReply { sheet, code })
}

/// `open_reply` checks and reads a reply, given the sheet that is held.
///
/// # Errors
///
/// Fails when the reply is empty, is not sealed for this request or holds no valid sheet.
pub fn open_reply(
    keys: &Keys,
    request: &SheetRequest,
    reply: &SheetReply,
    held: Option<&AcceptedSheet>,
) -> Result<AcceptedSheet> {
    let expected = code_of(&keys.sheet_reply, &[&request.code, &reply.sheet]);
    if !reply.sheet.is_empty() && !codes_agree(&expected, &reply.code) {
        return Err(Error::ForeignReply);
    }
    sheet_of_body(&reply.sheet, held)
}

#[derive(Clone)]
struct Exchange {
    keys: Keys,
    address: SocketAddr,
    current: Arc<dyn Fn() -> Option<Arc<AcceptedSheet>> + Send + Sync>,
    history: Arc<Mutex<SheetHistory>>,
}

impl SheetExchange for Exchange {
    async fn fetch(self, _: tarpc::context::Context, request: SheetRequest) -> SheetReply {
        // Packing a large sheet takes tens of milliseconds, which a thread that also carries
        // answers to callers must not be held for.
        let answer = tokio::task::spawn_blocking(move || answer(&self, &request)).await;
        answer.unwrap_or_default()
    }
}

fn answer(exchange: &Exchange, request: &SheetRequest) -> SheetReply {
    let mut history = exchange.history.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    observe(&mut history, (exchange.current)());
    answer_request(&exchange.keys, exchange.address, wall_clock_ms(), request, &mut history)
        .unwrap_or_else(|error| {
            log::error!("the sheet is not sent to instance {}: {error}", request.instance);
            SheetReply::default()
        })
}

// Without a regular look, two changes between two fetches would show as one, and a peer that
// holds the version between them would need the whole sheet.
async fn observe_always(exchange: Exchange) {
    loop {
        let exchange = exchange.clone();
        let observed = tokio::task::spawn_blocking(move || {
            let mut history =
                exchange.history.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            observe(&mut history, (exchange.current)());
        });
        if observed.await.is_err() {
            return;
        }
        tokio::time::sleep(OBSERVE_INTERVAL).await;
    }
}

async fn exchange_once(from: SocketAddr, request: SheetRequest) -> Result<SheetReply> {
    let mut connecting = tarpc::serde_transport::tcp::connect(from, Bincode::default);
    connecting.config_mut().max_frame_length(SHEET_BYTES + REQUEST_BYTES);
    let connection = connecting.await.map_err(|error| network_error(from, error))?;
    let client = SheetExchangeClient::new(tarpc::client::Config::default(), connection).spawn();
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + FETCH_TIMEOUT;
    client.fetch(context, request).await.map_err(|error| network_error(from, error))
}

fn request_code(keys: &Keys, to: SocketAddr, request: &SheetRequest) -> Code {
    let address = to.to_string();
    let parts: [&[u8]; 6] = [
        &request.instance.to_le_bytes(),
        &request.incarnation.to_le_bytes(),
        &request.held_version.to_le_bytes(),
        &request.number.to_le_bytes(),
        &request.sealed_ms.to_le_bytes(),
        address.as_bytes(),
    ];
    code_of(&keys.sheet_request, &parts)
}

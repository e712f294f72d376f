//! Connections to upstreams: warm ones are used again, doubtful ones are closed.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bergamotpitch_control::traffic::registries::UpstreamKey;
use bergamotpitch_core::HashMap;
use bergamotpitch_core::units::Timestamp;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::work_times::{Work, WorkTimes};

/// `CONNECT_TIMEOUT` is the time for a connection to be made: a lost opening packet is sent again
/// only after a second, by which time another upstream has long answered.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// `KEEP_ALIVE_PROBE` is the time between two probes on a silent connection; a link that has gone
/// dark is noticed after about three of them and not at the deadline.
const KEEP_ALIVE_PROBE: Duration = Duration::from_millis(1_000);

/// `USER_TIMEOUT` is the time for which sent bytes may stay unacknowledged; it is longer than a few
/// retransmissions on a link that loses packets.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// `UNSENT_BYTES` is how much the system takes of what it cannot send yet. A request counts as written that it has
/// taken, whether or not its upstream has room for it.
const UNSENT_BYTES: u32 = 16 << 10;

/// `UNSTATED_IDLE` is the time for which an idle connection is used again when the upstream does
/// not say when it closes it.
const UNSTATED_IDLE: Duration = Duration::from_secs(4);

/// `IDLE_MARGIN` is left before the time at which the upstream closes an idle connection: a request
/// that crosses the close is lost, and may not be repeated.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);

/// `DOUBT` is the time for which connections to an upstream are used only once after one of them
/// carried bytes that belong to no request: the next answer on another may be foreign as well.
const DOUBT: Duration = Duration::from_secs(5);

/// `READ_BUFFER_BYTES` bounds what is read of a connection ahead of whoever takes it; the head of an answer is no
/// longer.
pub const READ_BUFFER_BYTES: usize = 32 << 10;

/// `FRUITLESS_BYTES_MAX` bounds what an upstream sends without bringing an answer on. One that is faulty may
/// send for as long as its connection is open, and each of its requests would take memory and processor
/// time until its deadline.
pub const FRUITLESS_BYTES_MAX: usize = 256 << 10;

/// `Sender` sends requests on one connection.
#[derive(Debug)]
pub struct Sender {
    requests: SendRequest<Full<Bytes>>,
    fruitless: FruitlessBytes,
    writes: Writes,
    arrivals: Arrivals,
    connection: AbortHandle,
}

impl Drop for Sender {
    /// What is left of a request is not sent to an upstream that has answered it, or that is given up.
    fn drop(&mut self) {
        if !self.has_written_request() {
            self.connection.abort();
        }
    }
}

/// `HOLD_UP_MIN` is the least silence of a connection after which what comes may have been held up on the way: no
/// process ends and another one listens at its address in less.
const HOLD_UP_MIN: Duration = Duration::from_millis(250);

/// `HOLD_UP_END` is for how long after such a silence held up bytes may come.
const HOLD_UP_END: Duration = Duration::from_secs(1);

/// `Arrivals` is when bytes came on a connection.
#[derive(Debug, Clone)]
struct Arrivals(Rc<Cell<ArrivalTimes>>);

#[derive(Debug, Clone, Copy)]
struct ArrivalTimes {
    last: Instant,
    /// When the last silence of [`HOLD_UP_MIN`] was over.
    resumed: Option<Instant>,
}

impl Arrivals {
    fn new() -> Self {
        Self(Rc::new(Cell::new(ArrivalTimes { last: Instant::now(), resumed: None })))
    }

    fn restart(&self) {
        self.0.set(ArrivalTimes { last: Instant::now(), resumed: None });
    }

    fn note(&self) {
        let ArrivalTimes { last, resumed } = self.0.get();
        let now = Instant::now();
        let resumed = if HOLD_UP_MIN <= now - last { Some(now) } else { resumed };
        self.0.set(ArrivalTimes { last: now, resumed });
    }
}

/// `Writes` is what became of the last write on a connection.
#[derive(Debug, Clone, Default)]
struct Writes(Rc<Cell<LastWrite>>);

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum LastWrite {
    /// The system took all that was to be written.
    #[default]
    Taken,
    /// The system has no room for it yet.
    Waiting,
    /// The connection broke. A reset that a write meets is not met by the reads after it, which see an end in order.
    Failed,
}

impl Writes {
    fn note<T>(&self, written: &Poll<io::Result<T>>) {
        self.0.set(match written {
            _ if self.0.get() == LastWrite::Failed => LastWrite::Failed,
            Poll::Ready(Ok(_)) => LastWrite::Taken,
            Poll::Ready(Err(_)) => LastWrite::Failed,
            Poll::Pending => LastWrite::Waiting,
        });
    }
}

/// `FruitlessBytes` counts what came on a connection since the answer there went on last.
#[derive(Debug, Clone, Default)]
struct FruitlessBytes(Rc<Cell<usize>>);

impl Sender {
    /// `send` sends a request and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// Fails when there is none; the error holds the request where nothing of it was written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.progress();
        self.arrivals.restart();
        let response = self.requests.try_send_request(request).await;
        self.progress();
        response
    }

    /// `progress` takes in that the answer goes on: its head came, or a part of its body is used.
    pub fn progress(&self) {
        self.fruitless.0.set(0);
    }

    /// `has_written_request` tells whether all of the last request was written.
    pub fn has_written_request(&self) -> bool {
        self.writes.0.get() == LastWrite::Taken
    }

    /// `may_be_held_up` tells whether what has come last may have been on its way for some time.
    pub fn may_be_held_up(&self) -> bool {
        self.arrivals.0.get().resumed.is_some_and(|resumed| resumed.elapsed() < HOLD_UP_END)
    }

    /// `is_ready` tells whether the connection can take a request.
    pub fn is_ready(&self) -> bool {
        self.requests.is_ready()
    }

    /// `is_closed` tells whether the connection was closed.
    pub fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }
}

/// `BoundedStream` is a connection on which reading fails once too much came in vain.
struct BoundedStream {
    stream: TcpStream,
    fruitless: FruitlessBytes,
    writes: Writes,
    arrivals: Arrivals,
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if FRUITLESS_BYTES_MAX < self.fruitless.0.get() {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!("over {FRUITLESS_BYTES_MAX} bytes that bring no answer on"),
            )));
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = &self.fruitless.0;
        count.set(count.get() + buffer.filled().len() - before);
        if read.is_ready() {
            self.arrivals.note();
        }
        read
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.writes.note(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.writes.note(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// `Pools` holds the idle connections to all upstreams.
#[derive(Debug, Default)]
pub struct Pools {
    idle: RefCell<HashMap<UpstreamKey, Vec<Idle>>>,
    doubted_until: RefCell<HashMap<UpstreamKey, Timestamp>>,
}

#[derive(Debug)]
struct Idle {
    sender: Sender,
    usable_until: Timestamp,
}

impl Pools {
    /// `take` returns a warm connection that is safe to use.
    pub fn take(&self, key: UpstreamKey, now: Timestamp) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&key)?;
        while let Some(connection) = connections.pop() {
            if now < connection.usable_until && connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }

    /// `put` keeps a connection whose answer was read to its end.
    pub fn put(
        &self,
        key: UpstreamKey,
        sender: Sender,
        stated_idle: Option<Duration>,
        now: Timestamp,
    ) {
        if self.is_doubted(key, now) {
            return;
        }
        let idle = stated_idle.unwrap_or(UNSTATED_IDLE);
        let usable_until = now + idle.saturating_sub(IDLE_MARGIN).max(idle / 4);
        self.idle.borrow_mut().entry(key).or_default().push(Idle { sender, usable_until });
    }

    /// `count` returns how many idle connections are kept.
    pub fn count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// `doubt` takes in that a connection to an upstream carried bytes that belong to no request.
    pub fn doubt(&self, key: UpstreamKey, now: Timestamp) {
        self.doubted_until.borrow_mut().insert(key, now + DOUBT);
        self.idle.borrow_mut().remove(&key);
    }

    /// `close_all_of` closes the idle connections to an upstream that is gone.
    pub fn close_all_of(&self, key: UpstreamKey) {
        self.idle.borrow_mut().remove(&key);
        self.doubted_until.borrow_mut().remove(&key);
    }

    /// `take_closed` forgets idle connections that their upstreams have closed, and returns these.
    pub fn take_closed(&self) -> Vec<UpstreamKey> {
        let mut closed = Vec::new();
        for (key, connections) in self.idle.borrow_mut().iter_mut() {
            if connections.extract_if(.., |idle| idle.sender.is_closed()).count() != 0 {
                closed.push(*key);
            }
        }
        closed
    }

    /// `sweep` closes connections that are too old to be used again.
    pub fn sweep(&self, now: Timestamp) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|idle| now < idle.usable_until && !idle.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn is_doubted(&self, key: UpstreamKey, now: Timestamp) -> bool {
        self.doubted_until.borrow().get(&key).is_some_and(|until| now < *until)
    }
}

/// `connect` opens a connection to an upstream and serves it on this thread.
///
/// # Errors
///
/// Fails when the upstream does not take the connection within [`CONNECT_TIMEOUT`]; nothing was
/// sent then.
pub async fn connect(address: SocketAddr, work_times: &WorkTimes) -> std::io::Result<Sender> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    tune(&stream)?;
    if let Err(error) = SockRef::from(&stream).set_tcp_notsent_lowat(UNSENT_BYTES) {
        log::debug!("event=option_not_set option=tcp_notsent_lowat error={error}");
    }
    let fruitless = FruitlessBytes::default();
    let writes = Writes::default();
    let arrivals = Arrivals::new();
    let bounded = BoundedStream {
        stream,
        fruitless: fruitless.clone(),
        writes: writes.clone(),
        arrivals: arrivals.clone(),
    };
    let (requests, connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(bounded))
        .await
        .map_err(std::io::Error::other)?;
    let work_times = work_times.clone();
    let connection = tokio::task::spawn_local(async move {
        if let Err(error) = work_times.time(Work::Upstreams, connection).await {
            log::debug!("event=connection_ended address={address} error={error}");
        }
    });
    Ok(Sender { requests, fruitless, writes, arrivals, connection: connection.abort_handle() })
}

/// `tune` makes a socket send at once and notice a dead link.
///
/// # Errors
///
/// Fails when the system refuses an option.
pub fn tune(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_PROBE)
        .with_interval(KEEP_ALIVE_PROBE)
        .with_retries(3);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

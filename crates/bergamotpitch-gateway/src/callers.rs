//! Callers: the port on which requests come in.
//!
//! The port is built on `hyper` itself and not on a framework: limits on heads, on the time of a
//! head and of an idle connection are then the library's own, a kept connection ends between two
//! requests and never within one, and an event of a stream costs one read and one write.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_core::units::Timestamp;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;

use crate::bodies::AnswerBody;
use crate::calls;
use crate::connections::tune;
use crate::gateways::Gateway;
use crate::watched_streams::WatchedStream;
use crate::work_times::Work;

/// `LEAST_BUFFER_BYTES` is the smallest buffer that the library takes.
const LEAST_BUFFER_BYTES: usize = 8 << 10;

/// `ENDED_AT_ONCE` is how many idle connections are ended when there are too many.
const ENDED_AT_ONCE: usize = 32;

/// `SURPLUS_PART` is how many connections may be open besides, as a part of those that serve, while
/// their callers are told to come back.
const SURPLUS_PART: f64 = 0.125;

/// `ACCEPTED_AT_ONCE` is how many callers are taken in before streams that run get their turn.
const ACCEPTED_AT_ONCE: usize = 2;

/// `ACCEPT_QUEUE` is how many callers may wait to be taken in. Behind a longer queue an instance that
/// falls behind takes in none but callers that have given up.
const ACCEPT_QUEUE: u32 = 64;

/// `ACCEPT_PAUSE` is the time between two looks for room while not even callers to be turned away
/// are taken in.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// `CallerConnection` is one open connection of a caller.
#[derive(Debug)]
pub struct CallerConnection {
    stream: Rc<TcpStream>,
    head_began: Cell<Option<Timestamp>>,
    is_in_request: Cell<bool>,
    is_ending: Cell<bool>,
    is_surplus: bool,
    wake: Notify,
}

impl CallerConnection {
    /// `new` follows a connection that was just accepted. One that is surplus is only told to come
    /// back: all others carry requests, and there is no memory for more.
    pub fn new(stream: Rc<TcpStream>, is_surplus: bool) -> Self {
        Self {
            stream,
            is_surplus,
            head_began: Cell::new(None),
            is_in_request: Cell::new(false),
            is_ending: Cell::new(false),
            wake: Notify::new(),
        }
    }

    /// `stream` returns its socket.
    pub fn stream(&self) -> &Rc<TcpStream> {
        &self.stream
    }

    /// `note_bytes` takes in that bytes came in; between two requests they begin a head.
    pub fn note_bytes(&self, now: Timestamp) {
        if !self.is_in_request.get() && self.head_began.get().is_none() {
            self.head_began.set(Some(now));
        }
    }

    /// `is_idle` tells whether it carries no request.
    pub fn is_idle(&self) -> bool {
        !self.is_in_request.get() && self.head_began.get().is_none() && !self.is_ending.get()
    }

    /// `is_serving` tells whether it carries or may carry requests; one that was ended while idle does
    /// not, and is about to close.
    pub fn is_serving(&self) -> bool {
        let is_closing = self.is_ending.get() && !self.is_in_request.get();
        !self.is_surplus && !is_closing
    }

    /// `is_surplus` tells whether its requests are turned away.
    pub fn is_surplus(&self) -> bool {
        self.is_surplus
    }

    /// `is_left` tells whether the caller has closed it.
    pub fn is_left(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&*self.stream).peek(&mut byte) {
            Ok(received) => received == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// `end` lets the connection close after the request that it carries, or at once when idle.
    pub fn end(&self) {
        self.is_ending.set(true);
        self.wake.notify_one();
    }

    /// `reset_when_closed` lets the connection end with a reset, where its caller could not tell otherwise that what
    /// came is not all.
    pub fn reset_when_closed(&self) {
        if let Err(error) = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO)) {
            log::warn!("event=caller_not_reset error={error}");
        }
    }

    /// `head_began` returns when the head that is not complete yet began.
    pub fn head_began(&self) -> Option<Timestamp> {
        if self.is_in_request.get() { None } else { self.head_began.get() }
    }
}

/// `InRequest` marks a connection as one that carries a request, until the answer was written. Between
/// the head of a stream and its end it would otherwise count as idle, and be ended for another one.
#[derive(Debug)]
pub struct InRequest {
    connection: Rc<CallerConnection>,
    version: Version,
}

impl InRequest {
    fn begin(connection: &Rc<CallerConnection>, version: Version) -> Self {
        connection.is_in_request.set(true);
        Self { connection: Rc::clone(connection), version }
    }

    /// `cut` takes in that the stream which answers it ends before its time. To a caller of HTTP/1.0 the end of the
    /// connection is the end of the answer.
    pub fn cut(&self) {
        if self.version < Version::HTTP_11 {
            self.connection.reset_when_closed();
        }
    }
}

impl Drop for InRequest {
    fn drop(&mut self) {
        self.connection.is_in_request.set(false);
        self.connection.head_began.set(None);
    }
}

/// `listen` opens the port on which callers come in.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE)
}

/// `serve` accepts callers until it is dropped.
///
/// When a flood reaches one instance, all of its connections carry requests, and it would grow with
/// each further one until the system ends it with all that it serves. Further callers are therefore
/// told at once to come back. Beyond some of these, callers are left in the system's queue until
/// others have been told, or were ended as they asked nothing.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    let serving_max = gateway.options.caller_connections_max;
    let surplus_max = (SURPLUS_PART * serving_max as f64).ceil() as usize;
    let mut accepted = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let is_surplus = !has_room(&gateway, serving_max);
                if is_surplus {
                    gateway.metrics.callers_turned_away.inc();
                }
                let connection = gateway.open_connection(Rc::new(stream), is_surplus);
                tokio::task::spawn_local(serve_connection(Rc::clone(&gateway), connection));
                accepted = (accepted + 1) % ACCEPTED_AT_ONCE;
                if accepted == 0 {
                    tokio::task::yield_now().await;
                }
                while is_surplus && surplus_max <= gateway.surplus_count() {
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    gateway.end_idle_connections(ENDED_AT_ONCE);
                }
            }
            Err(error) => {
                // No descriptor is left, and callers wait in the system's queue until they give up.
                log::warn!("event=accept_failed error={error}");
                gateway.end_idle_connections(ENDED_AT_ONCE);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Tells whether one more connection may carry requests; when there are too many, idle ones are ended.
fn has_room(gateway: &Gateway, serving_max: usize) -> bool {
    if gateway.connection_count() < serving_max {
        return true;
    }
    if serving_max <= gateway.serving_count() {
        gateway.end_idle_connections(ENDED_AT_ONCE);
    }
    gateway.serving_count() < serving_max
}

async fn serve_connection(gateway: Rc<Gateway>, connection: Rc<CallerConnection>) {
    gateway.work_times.time(Work::Callers, serve_requests(&gateway, &connection)).await;
    gateway.close_connection(&connection);
}

async fn serve_requests(gateway: &Rc<Gateway>, connection: &Rc<CallerConnection>) {
    let limits = gateway.limits();
    let watched = WatchedStream::new(gateway, connection);
    let service = service_fn(|request: Request<Incoming>| {
        let in_request = InRequest::begin(connection, request.version());
        serve_request(Rc::clone(gateway), in_request, request)
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(LEAST_BUFFER_BYTES))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(watched), service);
    tokio::pin!(serving);
    loop {
        let ended = tokio::select! {
            biased;
            ended = serving.as_mut() => Some(ended),
            () = connection.wake.notified() => None,
        };
        match ended {
            Some(Ok(())) => break,
            Some(Err(error)) => {
                log::debug!("event=caller_connection_ended error={error}");
                break;
            }
            None if connection.is_ending.get() => serving.as_mut().graceful_shutdown(),
            // The head took too long.
            None => break,
        }
    }
}

async fn serve_request(
    gateway: Rc<Gateway>,
    in_request: InRequest,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let mut response = calls::answer(Rc::clone(&gateway), &in_request.connection, request).await;
    if let AnswerBody::Stream(stream) = response.body_mut() {
        // Other answers go out at once and whole, and a caller that is refused need not be tuned to.
        if let Err(error) = tune(in_request.connection.stream()) {
            log::info!("event=caller_not_tuned error={error}");
        }
        stream.hold(in_request);
    }
    if gateway.is_draining() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// `drop_slow_heads` closes connections whose head takes longer than the limit. A caller that
/// sends a byte now and then would otherwise hold a descriptor for ever.
pub fn drop_slow_heads(gateway: &Gateway) {
    let now = gateway.now();
    let limit = gateway.limits().header_timeout;
    gateway.each_connection(|connection| {
        if connection.head_began().is_some_and(|began| began + limit <= now) {
            connection.wake.notify_one();
        }
    });
}

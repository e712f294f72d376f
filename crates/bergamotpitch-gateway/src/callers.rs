//! Callers: the port on which requests come in.
//!
//! The port is built on `hyper` itself and not on a framework: limits on heads, on the time of a
//! head and of an idle connection are then the library's own, a kept connection ends between two
//! requests and never within one, and an event of a stream costs one read and one write.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bergamotpitch_core::units::Timestamp;
use http::header::CONNECTION;
use http::{HeaderValue, Request};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use crate::calls;
use crate::connections::tune;
use crate::gateways::Gateway;

/// `LEAST_BUFFER_BYTES` is the smallest buffer that the library takes.
const LEAST_BUFFER_BYTES: usize = 8 << 10;

/// `ENDED_AT_ONCE` is how many idle connections are ended when there are too many.
const ENDED_AT_ONCE: usize = 32;

/// `CallerConnection` is one open connection of a caller.
#[derive(Debug)]
pub struct CallerConnection {
    stream: Rc<TcpStream>,
    head_began: Cell<Option<Timestamp>>,
    is_in_request: Cell<bool>,
    is_ending: Cell<bool>,
    wake: Notify,
}

impl CallerConnection {
    /// `new` follows a connection that was just accepted.
    pub fn new(stream: Rc<TcpStream>) -> Self {
        Self {
            stream,
            head_began: Cell::new(None),
            is_in_request: Cell::new(false),
            is_ending: Cell::new(false),
            wake: Notify::new(),
        }
    }

    /// `is_idle` tells whether it carries no request.
    pub fn is_idle(&self) -> bool {
        !self.is_in_request.get() && self.head_began.get().is_none() && !self.is_ending.get()
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

    /// `head_began` returns when the head that is not complete yet began.
    pub fn head_began(&self) -> Option<Timestamp> {
        if self.is_in_request.get() { None } else { self.head_began.get() }
    }
}

/// `serve` accepts callers until it is dropped.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if gateway.options.caller_connections_max <= gateway.connection_count() {
                    gateway.end_idle_connections(ENDED_AT_ONCE);
                }
                tokio::task::spawn_local(serve_connection(Rc::clone(&gateway), stream));
            }
            Err(error) => {
                // No descriptor is left, and callers wait in the system's queue until they give up.
                log::warn!("event=accept_failed error={error}");
                gateway.end_idle_connections(ENDED_AT_ONCE);
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream) {
    if let Err(error) = tune(&stream) {
        log::info!("event=caller_lost error={error}");
        return;
    }
    let stream = Rc::new(stream);
    let connection = gateway.open_connection(Rc::clone(&stream));
    let limits = gateway.limits();
    let watched =
        WatchedStream { stream, connection: Rc::clone(&connection), gateway: Rc::clone(&gateway) };
    let service = service_fn(|request: Request<Incoming>| {
        connection.is_in_request.set(true);
        serve_request(Rc::clone(&gateway), Rc::clone(&connection), request)
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
    gateway.close_connection(&connection);
}

async fn serve_request(
    gateway: Rc<Gateway>,
    connection: Rc<CallerConnection>,
    request: Request<Incoming>,
) -> Result<http::Response<crate::bodies::AnswerBody>, Infallible> {
    let mut response = calls::answer(Rc::clone(&gateway), &connection, request).await;
    connection.is_in_request.set(false);
    connection.head_began.set(None);
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

/// `WatchedStream` notes when the first byte of a head comes in.
struct WatchedStream {
    stream: Rc<TcpStream>,
    connection: Rc<CallerConnection>,
    gateway: Rc<Gateway>,
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = loop {
            if let Err(error) = ready!(self.stream.poll_read_ready(context)) {
                return Poll::Ready(Err(error));
            }
            match self.stream.try_read_buf(buffer) {
                Ok(_) => break Poll::Ready(Ok(())),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        };
        let is_head = !self.connection.is_in_request.get();
        if is_head && before < buffer.filled().len() && self.connection.head_began.get().is_none() {
            self.connection.head_began.set(Some(self.gateway.now()));
        }
        result
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        write_with(&self.stream, context, || self.stream.try_write(data))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        write_with(&self.stream, context, || self.stream.try_write_vectored(data))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}

fn write_with(
    stream: &TcpStream,
    context: &mut Context<'_>,
    write: impl Fn() -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match write() {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            written => return Poll::Ready(written),
        }
    }
}

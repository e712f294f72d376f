//! Watched streams: callers' connections that note when the first byte of a head comes in.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::callers::CallerConnection;
use crate::gateways::Gateway;

/// `WatchedStream` notes when the first byte of a head comes in.
pub struct WatchedStream {
    stream: Rc<TcpStream>,
    connection: Rc<CallerConnection>,
    gateway: Rc<Gateway>,
}

impl WatchedStream {
    /// `new` watches the stream of a connection.
    pub fn new(gateway: &Rc<Gateway>, connection: &Rc<CallerConnection>) -> Self {
        Self {
            stream: Rc::clone(connection.stream()),
            connection: Rc::clone(connection),
            gateway: Rc::clone(gateway),
        }
    }
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
        if before < buffer.filled().len() {
            self.connection.note_bytes(self.gateway.now());
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

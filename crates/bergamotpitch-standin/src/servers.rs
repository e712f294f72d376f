//! Servers: one listening address whose requests go to one handler.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use http::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::bodies::Answer;
use crate::errors::{Result, address_error};

/// `Handler` answers one request.
pub type Handler = Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, Answer> + Send + Sync>;

/// Pause between two tries to listen again after a crash.
const LISTEN_RETRY: Duration = Duration::from_millis(20);

/// Time from the order to crash to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// `Server` is a listening address that is being served.
#[derive(Debug)]
pub struct Server {
    /// The address, with the port that the system chose when 0 was asked for.
    pub address: SocketAddr,
    stopped: CancellationToken,
    task: JoinHandle<()>,
}

impl Server {
    /// `close` stops listening and breaks the open connections.
    pub async fn close(self) {
        self.stopped.cancel();
        // The task ends by itself; a panic in it was printed already.
        let _ = self.task.await;
    }
}

/// `Crashes` makes a server break its connections and refuse new ones for a while.
pub type Crashes = mpsc::UnboundedSender<Duration>;

/// `CrashOrders` is the server's end of [`Crashes`].
pub type CrashOrders = mpsc::UnboundedReceiver<Duration>;

/// `serve` listens on an address and gives each request to the handler.
///
/// # Errors
///
/// The address cannot be listened on.
pub async fn serve(address: SocketAddr, handler: Handler, crashes: CrashOrders) -> Result<Server> {
    let listener =
        TcpListener::bind(address).await.map_err(|reason| address_error(address, reason))?;
    let address = listener.local_addr().map_err(|reason| address_error(address, reason))?;
    let stopped = CancellationToken::new();
    let task = tokio::spawn(listen(listener, address, handler, crashes, stopped.clone()));
    Ok(Server { address, stopped, task })
}

async fn listen(
    first: TcpListener,
    address: SocketAddr,
    handler: Handler,
    mut crashes: CrashOrders,
    stopped: CancellationToken,
) {
    let mut listener = first;
    loop {
        let connections = stopped.child_token();
        let crash = tokio::select! {
            () = stopped.cancelled() => None,
            Some(pause) = next_crash(&mut crashes) => Some(pause),
            () = accept_all(&listener, &handler, &connections) => None,
        };
        connections.cancel();
        let Some(pause) = crash else { return };
        // A closed listener makes the system refuse connections, as after a real crash.
        drop(listener);
        tokio::time::sleep(pause).await;
        listener = listen_again(address).await;
    }
}

async fn next_crash(crashes: &mut CrashOrders) -> Option<Duration> {
    let pause = crashes.recv().await;
    // Whoever asked for the crash has to get the answer to that.
    tokio::time::sleep(CRASH_DELAY).await;
    pause
}

async fn listen_again(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(LISTEN_RETRY).await,
        }
    }
}

async fn accept_all(listener: &TcpListener, handler: &Handler, connections: &CancellationToken) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(LISTEN_RETRY).await;
            continue;
        };
        // Without this small chunks of a stream would wait for the peer's acknowledgement.
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve_connection(stream, Arc::clone(handler), connections.clone()));
    }
}

async fn serve_connection(stream: TcpStream, handler: Handler, connections: CancellationToken) {
    let service = service_fn(move |request| handler(request));
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = connections.cancelled() => {}
        // A caller that leaves, or a break that a fault asked for, ends the connection alone.
        _ = connection => {}
    }
}

//! Links: what stands between a gateway and an upstream, and can be cut. A cut is silent: bytes and ends of
//! connections are held up, and arrive when it heals.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use super::{IDENTITY_PATH, read_request};

/// `Link` passes connections on to whoever listens behind it.
pub struct Link {
    /// Where it takes connections.
    pub address: SocketAddr,
    state: Rc<State>,
}

struct State {
    target: Cell<SocketAddr>,
    is_cut: Cell<bool>,
    healed: Notify,
}

impl Link {
    /// `start` listens.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state =
            State { target: Cell::new(target), is_cut: Cell::new(false), healed: Notify::new() };
        let state = Rc::new(state);
        let passing = Rc::clone(&state);
        tokio::task::spawn_local(async move {
            while let Ok((near, _)) = listener.accept().await {
                let state = Rc::clone(&passing);
                tokio::task::spawn_local(async move {
                    state.wait_while_cut().await;
                    let Ok(far) = TcpStream::connect(state.target.get()).await else { return };
                    let ((near_in, near_out), (far_in, far_out)) =
                        (near.into_split(), far.into_split());
                    tokio::task::spawn_local(pass(near_in, far_out, Rc::clone(&state)));
                    pass(far_in, near_out, state).await;
                });
            }
        });
        Self { address, state }
    }

    /// `cut` holds up what comes from now on.
    pub fn cut(&self) {
        self.state.is_cut.set(true);
    }

    /// `heal` passes it on.
    pub fn heal(&self) {
        self.state.is_cut.set(false);
        self.state.healed.notify_waiters();
    }

    /// `lead_to` passes new connections to another process.
    pub fn lead_to(&self, target: SocketAddr) {
        self.state.target.set(target);
    }
}

impl State {
    async fn wait_while_cut(&self) {
        while self.is_cut.get() {
            self.healed.notified().await;
        }
    }
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, state: Rc<State>) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let read = from.read(&mut buffer).await;
        state.wait_while_cut().await;
        match read {
            Ok(count) if count != 0 => {
                if to.write_all(&buffer[..count]).await.is_err() {
                    return;
                }
            }
            // The other side has ended, however that was.
            _ => {
                let _ = to.shutdown().await;
                return;
            }
        }
    }
}

/// `Life` is one process of an upstream, which says who it is and writes answers without a length.
pub struct Life {
    /// Where it listens.
    pub address: SocketAddr,
    state: Rc<LifeState>,
}

struct LifeState {
    id: &'static str,
    born_ms: Option<u64>,
    /// What its answers hold, but for their end.
    body: String,
    kind: &'static str,
    count: Cell<usize>,
    is_over: Cell<bool>,
    over: Notify,
    finished: Notify,
}

impl Life {
    /// `start` listens; answers are of a kind and begin with `body`.
    pub async fn start(
        id: &'static str,
        born_ms: Option<u64>,
        kind: &'static str,
        body: &str,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Rc::new(LifeState {
            id,
            born_ms,
            body: body.to_owned(),
            kind,
            count: Cell::new(0),
            is_over: Cell::new(false),
            over: Notify::new(),
            finished: Notify::new(),
        });
        let serving = Rc::clone(&state);
        tokio::task::spawn_local(async move {
            while !serving.is_over.get() {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { return };
                        tokio::task::spawn_local(serve(stream, Rc::clone(&serving)));
                    }
                    () = serving.over.notified() => return,
                }
            }
        });
        Self { address, state }
    }

    /// `count` returns how many answers it has begun.
    pub fn count(&self) -> usize {
        self.state.count.get()
    }

    /// `finish` ends its answers in order.
    pub fn finish(&self) {
        self.state.finished.notify_waiters();
    }

    /// `end` ends it with all of its connections, as a process that crashes.
    pub fn end(&self) {
        self.state.is_over.set(true);
        self.state.over.notify_waiters();
    }
}

async fn serve(mut stream: TcpStream, state: Rc<LifeState>) {
    let answering = Rc::clone(&state);
    tokio::select! {
        () = answer(&mut stream, &answering) => {}
        () = state.over.notified() => {}
    }
}

async fn answer(stream: &mut TcpStream, state: &LifeState) {
    let mut buffer = Vec::new();
    while let Some(request) = read_request(stream, &mut buffer).await {
        let is_other = request.header("x-upstream").is_some_and(|id| id != state.id);
        let is_question = request.head.contains(IDENTITY_PATH);
        let id = request.header("x-id").unwrap_or("-").to_owned();
        let born = state.born_ms.map_or(String::new(), |born| format!("x-born: {born}\r\n"));
        let text = match (is_other, is_question) {
            (true, _) => "HTTP/1.1 421 No\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n".to_owned(),
            (false, true) => format!(
                "HTTP/1.1 200 OK\r\nx-upstream: {}\r\n{born}content-length: 0\r\n\r\n",
                state.id
            ),
            (false, false) => format!(
                "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ncontent-type: {}\r\n\r\n{}",
                state.kind, state.body
            ),
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        if !is_other && !is_question {
            state.count.set(state.count.get() + 1);
            state.finished.notified().await;
            return;
        }
    }
}

//! A fake upstream whose behaviour towards each request is a function.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http::{HeaderMap, Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::TcpListener;

/// `FakeBody` is the body of a fake answer.
pub type FakeBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// `FakeAnswer` is the answer to one request, to come.
pub type FakeAnswer = Pin<Box<dyn Future<Output = Response<FakeBody>> + Send>>;

/// `Seen` is a request that a fake upstream got.
#[derive(Debug, Clone)]
pub struct Seen {
    pub method: http::Method,
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// `FakeUpstream` is a fake upstream and what it got.
pub struct FakeUpstream {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl FakeUpstream {
    /// `start` serves requests other than those for the load by a function of the request and of
    /// its number, from 0.
    pub async fn start(answer: impl Fn(Seen, usize) -> FakeAnswer + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let seen = Arc::new(Mutex::new(Vec::new()));
        let noted = Arc::clone(&seen);
        let answer = Arc::new(answer);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (noted, answer) = (Arc::clone(&noted), Arc::clone(&answer));
                let service = service_fn(move |request| {
                    let (noted, answer) = (Arc::clone(&noted), Arc::clone(&answer));
                    async move { Ok::<_, std::io::Error>(serve(request, &noted, &*answer).await) }
                });
                tokio::spawn(async move {
                    let builder = auto::Builder::new(TokioExecutor::new());
                    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Self { address, seen }
    }

    /// `seen` lists the requests that were got, those for the load left out.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().expect("no holder panicked").clone()
    }
}

async fn serve(
    request: Request<Incoming>,
    noted: &Mutex<Vec<Seen>>,
    answer: &(dyn Fn(Seen, usize) -> FakeAnswer + Send + Sync),
) -> Response<FakeBody> {
    if request.uri().path() == "/load" {
        return plain(r#"{"running_requests":0,"waiting_requests":0,"slots":2,"leaving":false}"#);
    }
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let path = parts.uri.path_and_query().map_or(String::new(), ToString::to_string);
    let seen = Seen { method: parts.method, path, headers: parts.headers, body };
    let number = {
        let mut noted = noted.lock().expect("no holder panicked");
        noted.push(seen.clone());
        noted.len() - 1
    };
    answer(seen, number).await
}

/// `plain` is a whole answer.
pub fn plain(text: &str) -> Response<FakeBody> {
    let body = Full::from(text.to_owned()).map_err(|never| match never {}).boxed_unsync();
    Response::new(body)
}

/// `events` is a stream of events; an error among them breaks the connection.
pub fn events(
    events: impl Stream<Item = Result<String, std::io::Error>> + Send + 'static,
) -> Response<FakeBody> {
    let frames = events.then(|event| async {
        if event.is_err() {
            // What came before is on its way when the connection breaks.
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        event.map(|event| Frame::data(Bytes::from(event)))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let kind = http::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert("content-type", kind);
    response
}

/// `token` is the event of one token.
pub fn token(id: u64) -> String {
    format!("id: {id}\ndata: {{\"choices\":[{{\"delta\":{{\"content\":\"t{id} \"}}}}]}}\n\n")
}

/// `last_events` are the usage and the end of an answer.
pub fn last_events(id: u64) -> String {
    format!(
        "id: {id}\ndata: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":7,\"completion_tokens\":{}}}}}\n\n\
         data: [DONE]\n\n",
        id - 1
    )
}

/// `whole_events` is an answer of some tokens.
pub fn whole_events(tokens: u64) -> Response<FakeBody> {
    let list: Vec<Result<String, std::io::Error>> =
        (1..=tokens).map(token).chain([last_events(tokens + 1)]).map(Ok).collect();
    events(futures::stream::iter(list))
}

/// `broken` is the error that breaks a connection.
pub fn broken() -> std::io::Error {
    std::io::Error::other("broken on purpose")
}

//! Bodies and headers of HTTP answers.

use std::convert::Infallible;

use bytes::Bytes;
use futures::Stream;
use http::{Request, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::Serialize;

/// `Body` is the body of an answer; an error in it breaks the connection.
pub type Body = UnsyncBoxBody<Bytes, BrokenConnection>;

/// `Answer` is an answer, or the wish to close the connection without one.
pub type Answer = Result<Response<Body>, BrokenConnection>;

/// `BrokenConnection` makes the server close the connection at once.
#[derive(Debug, Clone, Copy, displaydoc::Display, thiserror::Error)]
pub struct BrokenConnection;

/// `bytes_answer` makes an answer of bytes.
pub fn bytes_answer(
    status: StatusCode,
    content_type: &str,
    bytes: impl Into<Bytes>,
) -> Response<Body> {
    let body = Full::new(bytes.into()).map_err(|never: Infallible| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    if let Ok(value) = content_type.parse() {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response
}

/// `json_answer` makes an answer of a JSON document.
pub fn json_answer<T: Serialize>(status: StatusCode, document: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(document).unwrap_or_default();
    bytes_answer(status, "application/json", bytes)
}

/// `text_answer` makes an answer of plain text.
pub fn text_answer(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    bytes_answer(status, "text/plain; charset=utf-8", text.into())
}

/// `json_lines_answer` makes an answer of one JSON document a line.
pub fn json_lines_answer<T: Serialize>(documents: &[T]) -> Response<Body> {
    let mut bytes = Vec::new();
    for document in documents {
        bytes.extend(serde_json::to_vec(document).unwrap_or_default());
        bytes.push(b'\n');
    }
    bytes_answer(StatusCode::OK, "application/jsonl", bytes)
}

/// `stream_answer` makes an answer of server-sent events.
pub fn stream_answer(
    events: impl Stream<Item = Result<Bytes, BrokenConnection>> + Send + 'static,
) -> Response<Body> {
    let frames = futures::StreamExt::map(events, |event| event.map(Frame::data));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, http::HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, http::HeaderValue::from_static("no-cache"));
    response
}

/// `header_text` returns a header of a request as text; names of teams may hold any letter.
pub fn header_text(request: &http::request::Parts, name: &str) -> Option<String> {
    let value = request.headers.get(name)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

/// `query_value` returns one parameter of a query, undecoded; `Some("")` when it has no value.
///
/// ```
/// use bergamotpitch_standin::bodies::query_value;
/// assert_eq!(query_value("cas=7&recurse", "recurse"), Some(""));
/// ```
pub fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// `read_whole` reads the whole body of a request.
///
/// # Errors
///
/// The connection broke before the body ended.
pub async fn read_whole(
    request: Request<Incoming>,
) -> Result<(http::request::Parts, Bytes), BrokenConnection> {
    let (parts, body) = request.into_parts();
    let collected = body.collect().await.map_err(|_| BrokenConnection)?;
    Ok((parts, collected.to_bytes()))
}

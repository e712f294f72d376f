//! Helpers of this crate's tests: HTTP calls to a stand-in on the loopback.
#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

/// `HttpClient` is the client that the tests call with.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// `LOOPBACK` is an address with a port that the system chooses.
pub const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// `client` makes a client.
pub fn client() -> HttpClient {
    Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http()
}

/// `call` sends a request and returns the answer's head and body.
pub async fn call(address: SocketAddr, method: Method, path: &str, body: &str) -> (u16, String) {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
        .unwrap();
    let response = client().request(request).await.unwrap();
    let status = response.status().as_u16();
    (status, text_of(response).await)
}

/// `get` fetches a path.
pub async fn get(address: SocketAddr, path: &str) -> String {
    call(address, Method::GET, path, "").await.1
}

/// `post` posts a body and asserts that it was taken.
pub async fn post(address: SocketAddr, path: &str, body: &str) -> String {
    let (status, text) = call(address, Method::POST, path, body).await;
    assert_eq!(status, 200, "{text}");
    text
}

/// `json_lines` reads one document a line.
pub fn json_lines<T: DeserializeOwned>(text: &str) -> Vec<T> {
    text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

/// `text_of` reads the whole body.
pub async fn text_of(response: Response<Incoming>) -> String {
    let bytes = response.into_body().collect().await.unwrap().to_bytes();
    String::from_utf8_lossy(&bytes).into_owned()
}

//! Fetches over HTTP: records of the stand-ins, counters of the routers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::errors::{Result, fetch_error};

/// Longest wait for one fetch.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);

/// `HttpClient` is the client that all callers share.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// `http_client` makes a client that never sends a request twice by itself.
pub fn http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    // A client that repeats requests by itself would make double runs that no router caused.
    Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector)
}

/// `fetch_text` reads a whole answer as text.
///
/// # Errors
///
/// Names the address and path when nothing answers in time or the status is not a success.
pub async fn fetch_text(client: &HttpClient, address: SocketAddr, path: &str) -> Result<String> {
    let fetch = async {
        let request = Request::get(format!("http://{address}{path}"))
            .body(Full::default())
            .map_err(|error| fetch_error(address, path, error))?;
        let response =
            client.request(request).await.map_err(|error| fetch_error(address, path, error))?;
        let status = response.status();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|error| fetch_error(address, path, error))?;
        if !status.is_success() {
            return Err(fetch_error(address, path, status));
        }
        Ok(String::from_utf8_lossy(&body.to_bytes()).into_owned())
    };
    match tokio::time::timeout(FETCH_TIMEOUT, fetch).await {
        Ok(answer) => answer,
        Err(_) => Err(fetch_error(address, path, "no answer in time")),
    }
}

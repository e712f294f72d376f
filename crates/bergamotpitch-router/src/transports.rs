//! Transports: the HTTP client towards upstreams.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::options::Options;

/// `UpstreamClient` sends requests to upstreams over pooled connections.
pub type UpstreamClient = Client<HttpConnector, Full<Bytes>>;

/// Time for which a connection that carries nothing is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// `client` makes the client towards upstreams.
pub fn client(options: &Options) -> UpstreamClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(options.connect_timeout));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        // The client would by itself send a request again when a pooled connection closes under
        // it. Whether and where a request is tried again is decided by the control thread alone,
        // which counts it against the retry budget.
        .retry_canceled_requests(false)
        .build(connector)
}

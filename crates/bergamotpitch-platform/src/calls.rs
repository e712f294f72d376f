//! Calls: one HTTP call to a key-value service, its time limits, and what is known of its effect.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use thiserror::Error;

/// `KEEP_ALIVE_PROBE` is the time between two probes on a silent connection. Without them a watch
/// on a connection that has gone dark is noticed only at the end of its wait.
const KEEP_ALIVE_PROBE: Duration = Duration::from_secs(1);

/// `KEEP_ALIVE_RETRIES` is after how many unanswered probes a connection is given up.
const KEEP_ALIVE_RETRIES: u32 = 2;

/// `CallOptions` say where a service is and how long to wait for it.
#[derive(Debug, Clone)]
pub struct CallOptions {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Time for a connection to be made.
    pub connect_timeout: Duration,
    /// Time for a call to be answered in full.
    pub call_timeout: Duration,
    /// Largest answer that is read, in bytes.
    pub answer_limit_bytes: usize,
    /// What bodies are said to be.
    pub content_type: HeaderValue,
}

/// `Answer` is an answer that was read in full, whatever its status.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// `CallError` is why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum CallError {
    /// nothing was sent: {reason}
    NotSent {
        /// What failed.
        reason: String,
    },
    /// the answer was lost, and the call may have had its effect: {reason}
    AnswerLost {
        /// What failed.
        reason: String,
    },
}

/// `Caller` makes calls; copies share their connections.
#[derive(Debug, Clone)]
pub struct Caller {
    options: CallOptions,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// `new` makes a client; nothing is sent yet. It must be called within a tokio runtime.
    pub fn new(options: CallOptions) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(options.connect_timeout));
        connector.set_nodelay(true);
        connector.set_keepalive(Some(KEEP_ALIVE_PROBE));
        connector.set_keepalive_interval(Some(KEEP_ALIVE_PROBE));
        connector.set_keepalive_retries(Some(KEEP_ALIVE_RETRIES));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { options, client }
    }

    /// `call` makes one call; one that waits on purpose may take `extra_wait` longer.
    ///
    /// # Errors
    ///
    /// Says whether anything was sent. A call without an answer may have had its effect, or may have
    /// it later.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        extra_wait: Duration,
    ) -> Result<Answer, CallError> {
        let time = self.options.call_timeout + extra_wait;
        match tokio::time::timeout(time, self.exchange(method, path, body)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::AnswerLost { reason: format!("no answer within {time:?}") }),
        }
    }

    async fn exchange(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, CallError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.options.address))
            .header(CONTENT_TYPE, self.options.content_type.clone())
            .body(Full::new(body))
            .map_err(|error| CallError::NotSent { reason: error.to_string() })?;
        let response = self.client.request(request).await.map_err(|error| {
            let reason = error.to_string();
            // Without a connection nothing was sent; any later failure leaves the effect in doubt.
            if error.is_connect() {
                CallError::NotSent { reason }
            } else {
                CallError::AnswerLost { reason }
            }
        })?;
        let (parts, body) = response.into_parts();
        let limited = Limited::new(body, self.options.answer_limit_bytes);
        let body = limited
            .collect()
            .await
            .map_err(|error| CallError::AnswerLost { reason: error.to_string() })?
            .to_bytes();
        Ok(Answer { status: parts.status, headers: parts.headers, body })
    }
}

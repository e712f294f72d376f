//! Clients: the platform as this project speaks with it, with its errors.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode};

use crate::calls::{self, CallError, CallOptions, Caller};
use crate::errors::{Error, Result, lost_answer_error, unreachable_error};

/// Largest value that the platform takes, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1_000_000;

/// Largest answer that is read, in bytes: a value in base64 and what surrounds it.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;

/// `Options` say where the platform is and how long to wait for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Where the platform is reached.
    pub address: SocketAddr,
    /// Time for a connection to be made.
    pub connect_timeout: Duration,
    /// Time for a call to be answered in full.
    pub call_timeout: Duration,
    /// Time that a watch waits for a change; its call may take this and the call timeout.
    pub watch_wait: Duration,
    /// Time for which a write whose answer was lost is looked into.
    pub resolve_timeout: Duration,
    /// Pause before a failed call is made again; it doubles up to ten times itself.
    pub retry_pause: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 8500)),
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_millis(1_000),
            // A watch that hangs is noticed after this and the call timeout, and only then another
            // instance takes over; a shorter wait costs more calls.
            watch_wait: Duration::from_secs(3),
            resolve_timeout: Duration::from_secs(5),
            retry_pause: Duration::from_millis(50),
        }
    }
}

/// `Platform` is a client of the platform; copies share their connections.
#[derive(Debug, Clone)]
pub struct Platform {
    options: Arc<Options>,
    caller: Caller,
}

impl Platform {
    /// `new` makes a client; nothing is sent yet. It must be called within a tokio runtime.
    ///
    /// ```
    /// use bergamotpitch_platform::{Options, Platform};
    /// # let runtime = tokio::runtime::Runtime::new().unwrap();
    /// # let _guard = runtime.enter();
    /// let platform = Platform::new(Options::default());
    /// assert_eq!(platform.options().address.port(), 8500);
    /// ```
    pub fn new(options: Options) -> Self {
        let caller = Caller::new(CallOptions {
            address: options.address,
            connect_timeout: options.connect_timeout,
            call_timeout: options.call_timeout,
            answer_limit_bytes: ANSWER_LIMIT_BYTES,
            content_type: HeaderValue::from_static("application/octet-stream"),
        });
        Self { options: Arc::new(options), caller }
    }

    /// `options` returns what the client was made with.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// `read` makes a call that changes nothing.
    pub(crate) async fn read(&self, path: &str, extra_wait: Duration) -> Result<Answer> {
        let answer = self.call(Method::GET, path, Bytes::new(), extra_wait).await;
        answer.map_err(|error| match error {
            // A read has no effect that could be in doubt.
            Error::LostAnswer { reason } => unreachable_error(reason),
            other => other,
        })
    }

    /// `write` makes a call that may change something.
    pub(crate) async fn write(&self, method: Method, path: &str, body: Bytes) -> Result<Answer> {
        self.call(method, path, body, Duration::ZERO).await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        extra_wait: Duration,
    ) -> Result<Answer> {
        let answer = self.caller.call(method, path, body, extra_wait).await;
        let answer = answer.map_err(|error| match error {
            CallError::NotSent { reason } => unreachable_error(reason),
            CallError::AnswerLost { reason } => lost_answer_error(reason),
        })?;
        judge_answer(answer)
    }
}

/// `Answer` is an answer of the platform that was read in full.
#[derive(Debug)]
pub(crate) struct Answer {
    /// 200 or 404.
    pub status: StatusCode,
    /// Index of the change that the answer reflects; 0 when it names none.
    pub index: u64,
    /// Body.
    pub body: Bytes,
}

fn judge_answer(answer: calls::Answer) -> Result<Answer> {
    let calls::Answer { status, headers, body } = answer;
    let index = headers
        .get("x-consul-index")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    match status {
        StatusCode::TOO_MANY_REQUESTS => Err(Error::RateLimited),
        StatusCode::OK | StatusCode::NOT_FOUND => Ok(Answer { status, index, body }),
        // A failing service may have applied the write before it failed.
        _ => Err(lost_answer_error(format!("status {status}"))),
    }
}

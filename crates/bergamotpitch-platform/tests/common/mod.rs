//! A stand-in platform on a free port and a client of it.

use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_platform::{Options, Platform};
use bergamotpitch_standin::platforms::{self, PlatformOptions, start_platform};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

/// `Stage` is a stand-in platform with a client.
pub struct Stage {
    /// The stand-in.
    pub standin: platforms::Platform,
    /// Its client.
    pub platform: Platform,
}

/// `start` starts a stand-in without faults.
pub async fn start() -> Stage {
    let addresses = vec![SocketAddr::from(([127, 0, 0, 1], 0))];
    let options = PlatformOptions { addresses, rates: Default::default(), list_lag_ms: 0 };
    let standin = start_platform(options).await.expect("the stand-in listens");
    let platform = client(standin.addresses[0]);
    Stage { standin, platform }
}

/// `client` makes a client with short timeouts.
pub fn client(address: SocketAddr) -> Platform {
    Platform::new(Options {
        address,
        call_timeout: Duration::from_millis(300),
        resolve_timeout: Duration::from_secs(2),
        retry_pause: Duration::from_millis(5),
        ..Options::default()
    })
}

/// `set_faults` sets the faults of the stand-in.
pub async fn set_faults(stage: &Stage, faults: &str) {
    post_to(stage.standin.addresses[0], "/_faults", faults).await;
}

/// `post_to` posts to a stand-in.
pub async fn post_to(address: SocketAddr, path: &str, body: &str) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::post(format!("http://{address}{path}"))
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("the request is well formed");
    let response = client.request(request).await.expect("the stand-in answers");
    assert!(response.status().is_success(), "{path}: {}", response.status());
}

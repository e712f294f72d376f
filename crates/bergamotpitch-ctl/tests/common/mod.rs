//! Helpers of this crate's tests: a stand-in platform, its client and sheet files.
#![allow(dead_code, reason = "each test file uses a part of the helpers")]

pub mod fields;
pub mod pages;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use bergamotpitch_platform::{Options, Platform};
use bergamotpitch_standin::calls::RateLimits;
use bergamotpitch_standin::platforms::{self, PlatformOptions, start_platform};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

/// `LOOPBACK` is an address with a port that the system chooses.
pub const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// `start` starts a stand-in platform and makes a client of it.
pub async fn start() -> (platforms::Platform, Platform) {
    let options =
        PlatformOptions { addresses: vec![LOOPBACK], rates: RateLimits::default(), list_lag_ms: 0 };
    let standin = start_platform(options).await.unwrap();
    let client = Platform::new(Options {
        address: standin.addresses[0],
        resolve_timeout: Duration::from_millis(200),
        ..Options::default()
    });
    (standin, client)
}

/// `set_faults` sets the faults of a stand-in.
pub async fn set_faults(address: SocketAddr, faults: &str) {
    let request = Request::post(format!("http://{address}/_faults"))
        .body(Full::new(Bytes::copy_from_slice(faults.as_bytes())))
        .unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    assert_eq!(client.request(request).await.unwrap().status(), 200);
}

/// `sheet_file` writes a sheet with one team of a share, and returns the file's path.
pub fn sheet_file(test: &str, share: u32) -> String {
    let hash = "ab".repeat(32);
    let text = format!(
        r#"{{ // One team.
            "domains": [{{ "name": "zuid-a", "region": "zuid" }}],
            "services": [{{ "name": "order-registry", "kind": "plain" }}],
            "upstreams": [{{ "name": "registry-1", "service": "order-registry",
                "domain": "zuid-a", "address": "127.0.0.1:9000", "slots": 4 }}],
            "teams": [{{ "name": "goes", "share": {share}, "key_hash": "{hash}",
                "services": ["order-registry"] }}] }}"#
    );
    let file = format!("{}/{test}-{share}.jsonc", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&file, text).unwrap();
    file
}

//! The stand-in platform with a sheet applied.

use std::net::SocketAddr;

use bergamotpitch_platform::{Applied, Options, Platform};
use bergamotpitch_standin::platforms::{self, PlatformOptions, start_platform};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

/// `FakePlatform` is a stand-in platform that holds version 1 of a sheet.
pub struct FakePlatform {
    standin: platforms::Platform,
}

impl FakePlatform {
    /// `start` starts it and applies a sheet.
    pub async fn start(sheet: &str) -> Self {
        let addresses = vec![SocketAddr::from(([127, 0, 0, 1], 0))];
        let options = PlatformOptions { addresses, rates: Default::default(), list_lag_ms: 0 };
        let standin = start_platform(options).await.expect("the stand-in listens");
        let address = standin.addresses[0];
        let platform = Platform::new(Options { address, ..Options::default() });
        let applied = platform.apply_sheet("sheet.json", sheet, 0).await.expect("it is applied");
        assert_eq!(applied, Applied::Applied { version: 1 });
        Self { standin }
    }

    /// `address` is where the platform is reached.
    pub fn address(&self) -> SocketAddr {
        self.standin.addresses[0]
    }

    /// `set_faults` sets the faults of the platform.
    pub async fn set_faults(&self, faults: &str) {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let request = Request::post(format!("http://{}/_faults", self.address()))
            .body(Full::new(Bytes::from(faults.to_owned())))
            .expect("a request");
        let response = client.request(request).await.expect("the stand-in answers");
        assert!(response.status().is_success(), "{}", response.status());
    }
}

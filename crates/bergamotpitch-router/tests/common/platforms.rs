//! A fake platform: one sheet in the key-value service and an instance list.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::TcpListener;

/// `FakePlatform` answers the calls of a router to the platform.
pub struct FakePlatform {
    address: SocketAddr,
    list: Arc<Mutex<String>>,
}

impl FakePlatform {
    /// `start` holds version 1 of a sheet.
    pub async fn start(sheet: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let list = Arc::new(Mutex::new("[]".to_owned()));
        let record = format!(r#"{{"version":1,"nonce":"n","sheet":{sheet}}}"#);
        let value = STANDARD.encode(record);
        let entry = format!(
            r#"[{{"Key":"bergamotpitch/sheet","Value":"{value}","ModifyIndex":1,"CreateIndex":1,"LockIndex":0}}]"#
        );
        let held = Arc::clone(&list);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (entry, list) = (entry.clone(), Arc::clone(&held));
                let service =
                    service_fn(move |request| answer(request, entry.clone(), Arc::clone(&list)));
                tokio::spawn(async move {
                    let builder = auto::Builder::new(TokioExecutor::new());
                    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Self { address, list }
    }

    /// `address` is where the platform is reached.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// `list_upstream` puts one upstream into the instance list.
    pub fn list_upstream(&self, name: &str, address: SocketAddr, leaving: bool) {
        let line = format!(
            r#"[{{"Service":{{"ID":"{name}","Address":"{}","Port":{},"Meta":{{"leaving":"{leaving}"}}}}}}]"#,
            address.ip(),
            address.port()
        );
        *self.list.lock().expect("no holder panicked") = line;
    }
}

async fn answer(
    request: Request<Incoming>,
    entry: String,
    list: Arc<Mutex<String>>,
) -> Result<Response<Full<Bytes>>, http::Error> {
    let path = request.uri().path();
    let text = if path.ends_with("bergamotpitch-upstream") {
        list.lock().expect("no holder panicked").clone()
    } else if path.starts_with("/v1/health") {
        "[]".to_owned()
    } else {
        // A watch that names the present index waits for a change that never comes.
        if request.uri().query().is_some_and(|query| query.contains("index=1")) {
            tokio::time::sleep(Duration::from_secs(10)).await;
        }
        entry
    };
    Response::builder().header("x-consul-index", "1").body(Full::from(text))
}

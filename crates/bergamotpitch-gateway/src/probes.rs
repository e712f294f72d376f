//! Probes: the small ports beside the callers' one: readiness, metrics, and documents for peers.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::gateways::Gateway;

/// `DOCUMENTS_PATH` is where peers fetch what this instance knows.
pub const DOCUMENTS_PATH: &str = "/documents";

/// `METRICS_PATH` is where metrics are read.
pub const METRICS_PATH: &str = "/metrics";

/// `Port` tells what a port serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Port {
    /// Readiness, whatever the path.
    Ready,
    /// Metrics and documents.
    Inner,
}

/// `serve` answers on one port until it is dropped.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener, port: Port) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("event=accept_failed port={port:?} error={error}");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                continue;
            }
        };
        let gateway = Rc::clone(&gateway);
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let response = respond(&gateway, port, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = serving.await {
                log::debug!("event=probe_ended port={port:?} error={error}");
            }
        });
    }
}

fn respond(gateway: &Gateway, port: Port, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    match (port, request.uri().path()) {
        (Port::Ready, _) if gateway.is_ready() => respond_with(StatusCode::OK, Bytes::new()),
        (Port::Ready, _) => respond_with(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        (Port::Inner, METRICS_PATH) => {
            respond_with(StatusCode::OK, Bytes::from(gateway.metrics.text()))
        }
        (Port::Inner, DOCUMENTS_PATH) => gateway.answer_of_query(request.uri().query()).response(),
        (Port::Inner, _) => respond_with(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn respond_with(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

//! Operators: the port on which operators and the balancer ask.

use std::sync::Arc;

use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, ConfigDropshot, HttpError, HttpServer, Path,
    RequestContext, ServerBuilder, endpoint,
};
use http::{Response, StatusCode, header};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::callers::logger;
use crate::contexts::{Context, ControlInput};
use crate::errors::{self, address_error, start_error};

/// `serve` opens the operators' port.
///
/// # Errors
///
/// `Address` when the port cannot be opened.
pub fn serve(context: &Arc<Context>) -> errors::Result<HttpServer<Arc<Context>>> {
    let address = context.settings.operator_address;
    let config = ConfigDropshot { bind_address: address, ..ConfigDropshot::default() };
    let api = description().map_err(start_error)?;
    ServerBuilder::new(api, Arc::clone(context), logger())
        .config(config)
        .start()
        .map_err(|error| address_error("operator_address", address, error))
}

fn description() -> Result<ApiDescription<Arc<Context>>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(live)?;
    api.register(ready)?;
    api.register(drain)?;
    api.register(metrics)?;
    api.register(status)?;
    api.register(explain)?;
    Ok(api)
}

type Answer = Result<Response<Body>, HttpError>;

/// Tells that the process runs.
#[endpoint { method = GET, path = "/live" }]
async fn live(_context: RequestContext<Arc<Context>>) -> Answer {
    text(StatusCode::OK, "live\n")
}

/// Tells whether the balancer should send requests here.
#[endpoint { method = GET, path = "/ready" }]
async fn ready(context: RequestContext<Arc<Context>>) -> Answer {
    let context = context.context();
    if context.is_draining() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "draining\n");
    }
    if !context.is_ready() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n");
    }
    text(StatusCode::OK, "ready\n")
}

/// Begins a drain; the process ends after it.
#[endpoint { method = POST, path = "/drain" }]
async fn drain(context: RequestContext<Arc<Context>>) -> Answer {
    context.context().begin_drain().await;
    text(StatusCode::ACCEPTED, "draining\n")
}

/// Shows the metrics in the Prometheus text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(context: RequestContext<Arc<Context>>) -> Answer {
    text(StatusCode::OK, context.context().metrics.text())
}

/// Shows the control state.
#[endpoint { method = GET, path = "/status" }]
async fn status(context: RequestContext<Arc<Context>>) -> Answer {
    let (sender, receiver) = oneshot::channel();
    let _ = context.context().controls.send(ControlInput::AskStatus(sender)).await;
    json(receiver.await.ok())
}

#[derive(Deserialize, JsonSchema)]
struct ExplainPath {
    request: String,
}

/// Tells what became of a request, named as its answer names it.
#[endpoint { method = GET, path = "/explain/{request}" }]
async fn explain(context: RequestContext<Arc<Context>>, path: Path<ExplainPath>) -> Answer {
    let context = context.context();
    let name = path.into_inner().request;
    let number = name.rsplit('.').next().and_then(|number| number.parse().ok());
    let known = number.filter(|number| context.request_name(*number) == name);
    let Some(request) = known else {
        return text(StatusCode::NOT_FOUND, "the request did not arrive at this instance\n");
    };
    let (sender, receiver) = oneshot::channel();
    let _ = context.controls.send(ControlInput::AskExplanation(request, sender)).await;
    json(receiver.await.ok())
}

fn text(code: StatusCode, text: impl Into<String>) -> Answer {
    let response = Response::builder()
        .status(code)
        .header(header::CONTENT_TYPE, "text/plain; charset=utf-8")
        .body(Body::from(text.into()))?;
    Ok(response)
}

fn json(value: Option<impl Serialize>) -> Answer {
    let Some(value) = value else {
        return text(StatusCode::SERVICE_UNAVAILABLE, "the control thread has ended\n");
    };
    let body = serde_json::to_vec_pretty(&value)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    let response = Response::builder()
        .header(header::CONTENT_TYPE, "application/json")
        .body(Body::from(body))?;
    Ok(response)
}

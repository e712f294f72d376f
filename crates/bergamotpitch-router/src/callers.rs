//! Callers: the port on which callers are served, any method and any path.

use std::sync::Arc;

use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, ConfigDropshot, HandlerTaskMode, HttpError,
    HttpServer, Path, RawRequest, RequestContext, ServerBuilder, endpoint,
};
use http::Response;
use schemars::JsonSchema;
use serde::Deserialize;
use slog::Drain;

use crate::calls;
use crate::contexts::Context;
use crate::errors::{self, address_error, start_error};

/// `serve` opens the callers' port.
///
/// # Errors
///
/// `Address` when the port cannot be opened.
pub fn serve(context: &Arc<Context>) -> errors::Result<HttpServer<Arc<Context>>> {
    let address = context.settings.caller_address;
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: context.settings.body_limit_bytes,
        // A caller that leaves must free what its request holds: its handler is dropped.
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    let api = description().map_err(start_error)?;
    ServerBuilder::new(api, Arc::clone(context), logger())
        .config(config)
        .start()
        .map_err(|error| address_error("caller_address", address, error))
}

/// `logger` passes what `dropshot` has to say on to `log`, without a line for each request.
pub fn logger() -> slog::Logger {
    let drain = slog::LevelFilter::new(slog_stdlog::StdLog, slog::Level::Warning);
    slog::Logger::root(drain.fuse(), slog::o!())
}

fn description() -> Result<ApiDescription<Arc<Context>>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(get)?;
    api.register(post)?;
    api.register(put)?;
    api.register(delete)?;
    api.register(patch)?;
    api.register(head)?;
    api.register(options)?;
    Ok(api)
}

#[derive(Deserialize, JsonSchema)]
struct AnyPath {
    #[serde(rename = "path")]
    _path: Vec<String>,
}

type Answer = Result<Response<Body>, HttpError>;

/// Any call by GET.
#[endpoint { method = GET, path = "/{path:.*}", unpublished = true }]
async fn get(
    context: RequestContext<Arc<Context>>,
    _path: Path<AnyPath>,
    request: RawRequest,
) -> Answer {
    answer(context, request).await
}

/// Any call by POST.
#[endpoint { method = POST, path = "/{path:.*}", unpublished = true }]
async fn post(
    context: RequestContext<Arc<Context>>,
    _path: Path<AnyPath>,
    request: RawRequest,
) -> Answer {
    answer(context, request).await
}

/// Any call by PUT.
#[endpoint { method = PUT, path = "/{path:.*}", unpublished = true }]
async fn put(
    context: RequestContext<Arc<Context>>,
    _path: Path<AnyPath>,
    request: RawRequest,
) -> Answer {
    answer(context, request).await
}

/// Any call by DELETE.
#[endpoint { method = DELETE, path = "/{path:.*}", unpublished = true }]
async fn delete(
    context: RequestContext<Arc<Context>>,
    _path: Path<AnyPath>,
    request: RawRequest,
) -> Answer {
    answer(context, request).await
}

/// Any call by PATCH.
#[endpoint { method = PATCH, path = "/{path:.*}", unpublished = true }]
async fn patch(
    context: RequestContext<Arc<Context>>,
    _path: Path<AnyPath>,
    request: RawRequest,
) -> Answer {
    answer(context, request).await
}

/// Any call by HEAD.
#[endpoint { method = HEAD, path = "/{path:.*}", unpublished = true }]
async fn head(
    context: RequestContext<Arc<Context>>,
    _path: Path<AnyPath>,
    request: RawRequest,
) -> Answer {
    answer(context, request).await
}

/// Any call by OPTIONS.
#[endpoint { method = OPTIONS, path = "/{path:.*}", unpublished = true }]
async fn options(
    context: RequestContext<Arc<Context>>,
    _path: Path<AnyPath>,
    request: RawRequest,
) -> Answer {
    answer(context, request).await
}

async fn answer(context: RequestContext<Arc<Context>>, request: RawRequest) -> Answer {
    Ok(calls::answer(context.context(), request.into_inner()).await)
}

//! Drains: the end of a process that cuts nothing.

use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::Input;
use dropshot::HttpServer;
use tokio::signal::unix::{SignalKind, signal};

use crate::contexts::Context;

/// Time for refusals to reach their callers at the end of a drain that took too long.
const LAST_WORDS: Duration = Duration::from_millis(500);

/// Time between two looks at whether a drain was begun by an operator.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// `wait_for_signal_or_drain` waits for SIGTERM, SIGINT or a drain begun by an operator.
pub async fn wait_for_signal_or_drain(context: &Context) {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        log::error!("signals cannot be waited for; only an operator can begin a drain");
        return wait_for_drain(context).await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = wait_for_drain(context) => {}
    }
}

async fn wait_for_drain(context: &Context) {
    while !context.is_draining() {
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

/// `drain` stops being ready and waits until the last request has ended.
pub async fn drain(context: &Context) {
    context.begin_drain().await;
    let limit = Duration::from_millis(context.settings.drain_limit_ms);
    let mut drained = context.drained.subscribe();
    let mut watched = drained.clone();
    let ended = async {
        tokio::time::sleep(context.options.shortest_drain.min(limit)).await;
        let _ = watched.wait_for(|drained| *drained).await;
    };
    if tokio::time::timeout(limit, ended).await.is_err() {
        log::error!("requests are still in flight after {limit:?}; they are cut");
        // What still waits is told that it did not run before the process goes.
        context.observe(Input::DrainEnding).await;
        let _ = tokio::time::timeout(LAST_WORDS, drained.wait_for(|drained| *drained)).await;
    }
}

/// `close_callers` closes the callers' port once every answer has reached its caller.
pub async fn close_callers(context: &Context, callers: HttpServer<Arc<Context>>) {
    let limit = Duration::from_millis(context.settings.drain_limit_ms);
    if tokio::time::timeout(limit, callers.close()).await.is_err() {
        log::error!("callers are still connected after {limit:?}; they are cut");
    }
}

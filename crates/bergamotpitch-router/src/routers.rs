//! Routers: the start and the end of all parts of one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use bergamotpitch_control::outputs::Event;
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::settings::RouterSettings;
use dropshot::HttpServer;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::contexts::{Context, ControlInput};
use crate::errors::Result;
use crate::events::{ContextCell, EventWriter};
use crate::metrics::Metrics;
use crate::options::Options;
use crate::peers::PeerPorts;
use crate::{callers, controls, drains, loads, operators, orders, peers, platforms};

/// Time for outcomes of claims to be recorded when the process stops.
const CLAIMS_TIMEOUT: Duration = Duration::from_secs(2);

/// `Router` is a running router.
pub struct Router {
    context: Arc<Context>,
    callers: HttpServer<Arc<Context>>,
    operators: HttpServer<Arc<Context>>,
    peer_address: SocketAddr,
    control: JoinHandle<()>,
    tasks: JoinSet<()>,
    events: EventWriter,
    context_cell: ContextCell,
}

impl Router {
    /// `start` starts all parts of a router; it must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// `Address` when an address cannot be served, `EventFile` when events cannot be written.
    pub async fn start(settings: RouterSettings) -> Result<Self> {
        Self::start_with(settings, Options::default()).await
    }

    /// `start_with` does so with given times and bounds.
    ///
    /// # Errors
    ///
    /// The same as of `start`.
    pub async fn start_with(settings: RouterSettings, options: Options) -> Result<Self> {
        let context_cell = ContextCell::default();
        let events = EventWriter::open(settings.event_file.as_deref(), Arc::clone(&context_cell))?;
        let (sender, receiver) = mpsc::channel(control_channel_entries(&options));
        let context =
            Context::of_settings(settings, options, sender, events.sender(), Metrics::register()?);
        let context = Arc::new(context);
        context_cell.store(Some(Arc::clone(&context)));
        let ports = PeerPorts::open(&context).await?;
        let peer_address = ports.address();
        let callers = callers::serve(&context)?;
        let operators = operators::serve(&context)?;
        let mut tasks = JoinSet::new();
        let sends = peers::spawn(&context, ports, &mut tasks);
        platforms::spawn(&context, &mut tasks);
        loads::spawn(&context, &mut tasks);
        orders::spawn(&context, &mut tasks);
        context.emit(Event::of_kind(EventKind::ProcessStarted));
        let control = controls::spawn(Arc::clone(&context), receiver, sends)?;
        Ok(Self { context, callers, operators, peer_address, control, tasks, events, context_cell })
    }

    /// `context` is what the router's threads share.
    pub fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// `caller_address` is where callers are served.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.local_addr()
    }

    /// `operator_address` is where operators are served.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.local_addr()
    }

    /// `peer_address` is where other instances reach this one.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// `close` drains the router, then stops all of its parts.
    pub async fn close(self) {
        let Self { context, callers, operators, control, mut tasks, events, context_cell, .. } =
            self;
        drains::drain(&context).await;
        drains::close_callers(&context, callers).await;
        context.emit(Event::of_kind(EventKind::ProcessStopped));
        // What was answered under a claim is recorded before the process goes.
        context.claims.clone().close(CLAIMS_TIMEOUT).await;
        let _ = operators.close().await;
        let _ = context.controls.send(ControlInput::Close).await;
        let _ = tokio::task::spawn_blocking(move || control.join()).await;
        tasks.shutdown().await;
        let _ = tokio::task::spawn_blocking(move || events.close()).await;
        context_cell.store(None);
    }
}

/// `control_channel_entries` sizes the channel to the control thread: each request holds one entry
/// for its end, so that the end of a request is never lost to a full channel; the rest is for all
/// else.
fn control_channel_entries(options: &Options) -> usize {
    2 * options.call_limit_requests + 1_024
}

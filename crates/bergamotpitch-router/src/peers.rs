//! Peers: messages to and from other instances, and the sheet that they fetch from each other.

use std::net::SocketAddr;
use std::sync::Arc;

use bergamotpitch_control::inputs::Sender;
use bergamotpitch_control::{Input, Message};
use bergamotpitch_core::sheets::AcceptedSheet;
use bergamotpitch_wire::{
    Endpoint, Keys, Options, SheetServer, fetch_sheet, fetch_sheet_since, sheet_server,
};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::contexts::Context;
use crate::drops;
use crate::errors::{Result, address_error};

/// Messages that may wait to be sent; more are dropped, as the network drops them.
const SEND_CHANNEL_ENTRIES: usize = 4_096;

/// Times that a port is chosen by the system before that is given up.
const PORT_TRIES: u32 = 32;

/// `PeerOutput` is one thing to do towards other instances.
#[derive(Debug)]
pub enum PeerOutput {
    /// Send a message.
    Send {
        /// Where the instance is reached.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Fetch the sheet of a peer.
    FetchSheet {
        /// Where the peer is reached.
        from: SocketAddr,
    },
}

/// `PeerPorts` are the open ports towards other instances.
pub struct PeerPorts {
    endpoint: Endpoint,
    sheets: SheetServer,
    keys: Keys,
}

impl PeerPorts {
    /// `open` opens the datagram port, and the port of the same number that sheets are fetched from.
    ///
    /// # Errors
    ///
    /// `Address` when a port cannot be opened.
    pub async fn open(context: &Arc<Context>) -> Result<Self> {
        let is_any_port = context.settings.peer_address.port() == 0;
        let mut tries = 1;
        loop {
            let opened = Self::open_once(context).await;
            // A port that the system chose for datagrams may be in use for connections.
            if opened.is_ok() || !is_any_port || PORT_TRIES <= tries {
                return opened;
            }
            tries += 1;
        }
    }

    async fn open_once(context: &Arc<Context>) -> Result<Self> {
        let address = context.settings.peer_address;
        let keys = Keys::from_shared_key(&context.settings.shared_key);
        let options = Options {
            address,
            instance: context.instance,
            incarnation: context.incarnation,
            domain: context.domain,
            keys: keys.clone(),
            ..Options::default()
        };
        let endpoint = Endpoint::bind(options)
            .await
            .map_err(|error| address_error("peer_address", address, error))?;
        let held = Arc::clone(context);
        let current = move || -> Option<Arc<AcceptedSheet>> { held.accepted.load_full() };
        let sheets = sheet_server(endpoint.address(), keys.clone(), current)
            .await
            .map_err(|error| address_error("peer_address", address, error))?;
        Ok(Self { endpoint, sheets, keys })
    }

    /// `address` is where other instances reach this one.
    pub fn address(&self) -> SocketAddr {
        self.endpoint.address()
    }
}

/// `spawn` starts the exchange with other instances; it returns the way for what is to be sent.
pub fn spawn(
    context: &Arc<Context>,
    ports: PeerPorts,
    tasks: &mut JoinSet<()>,
) -> mpsc::Sender<PeerOutput> {
    let PeerPorts { endpoint, sheets, keys } = ports;
    let endpoint = Arc::new(endpoint);
    let (sender, receiver) = mpsc::channel(SEND_CHANNEL_ENTRIES);
    tasks.spawn(receive(Arc::clone(context), Arc::clone(&endpoint)));
    tasks.spawn(drops::report(Arc::clone(context), Arc::clone(&endpoint)));
    tasks.spawn(send(Arc::clone(context), endpoint, keys, receiver, sheets));
    sender
}

async fn receive(context: Arc<Context>, endpoint: Arc<Endpoint>) {
    loop {
        match endpoint.receive().await {
            Ok(received) => {
                let Sender { address, domain, .. } = received.sender;
                context.links.note(address, domain);
                let class = context.links.class(&context.snapshot.load(), context.domain, address);
                context.metrics.count_received_bytes(class, received.datagram_bytes);
                let input = Input::Received { sender: received.sender, message: received.message };
                context.observe(input).await;
            }
            Err(error) => {
                log::warn!("receiving from peers failed: {error}");
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        }
    }
}

async fn send(
    context: Arc<Context>,
    endpoint: Arc<Endpoint>,
    keys: Keys,
    mut receiver: mpsc::Receiver<PeerOutput>,
    sheets: SheetServer,
) {
    let mut fetches = JoinSet::new();
    while let Some(output) = receiver.recv().await {
        match output {
            PeerOutput::Send { to, message } => match endpoint.send(to, &message).await {
                Ok(bytes) => {
                    let class = context.links.class(&context.snapshot.load(), context.domain, to);
                    context.metrics.count_sent_bytes(class, bytes);
                }
                Err(error) => log::debug!("a message to {to} was not sent: {error}"),
            },
            PeerOutput::FetchSheet { from } => {
                while fetches.try_join_next().is_some() {}
                // Each heartbeat of a peer with a newer sheet asks for a fetch; one at a time is
                // enough, for its end is followed by further heartbeats.
                if fetches.is_empty() {
                    fetches.spawn(fetch(Arc::clone(&context), keys.clone(), from));
                }
            }
        }
    }
    sheets.close();
}

async fn fetch(context: Arc<Context>, keys: Keys, from: SocketAddr) {
    let (instance, incarnation) = (context.instance, context.incarnation);
    let fetched = match context.accepted.load_full() {
        Some(held) => fetch_sheet_since(from, &keys, instance, incarnation, &held).await,
        None => fetch_sheet(from, &keys, instance, incarnation).await,
    };
    match fetched {
        Ok(accepted) => context.observe(Input::PeerSheetLearned(Arc::new(accepted))).await,
        Err(error) => log::warn!("the sheet could not be fetched from {from}: {error}"),
    }
}

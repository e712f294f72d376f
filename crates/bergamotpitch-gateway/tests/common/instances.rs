//! Instances that can be killed: gateways on threads of their own, which know each other.

use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;

use bergamotpitch_control::traffic::registries::Registration;
use bergamotpitch_core::ids::InstanceId;
use bergamotpitch_gateway::peers::PeerAddress;
use bergamotpitch_gateway::{Gateway, Options};
use tokio::sync::{mpsc, oneshot};

use super::{DIALECT, catalog};

type Task = Box<dyn FnOnce(&Rc<Gateway>) + Send>;

/// `Instance` is one instance; its port is closed and its memory gone once it was killed.
pub struct Instance {
    /// Where callers reach it.
    pub address: SocketAddr,
    /// How its peers know it.
    pub peer: PeerAddress,
    tasks: mpsc::UnboundedSender<Task>,
    thread: JoinHandle<()>,
}

impl Instance {
    /// `start` starts an instance of the failure domain `a` that knows no upstream.
    pub fn start() -> Self {
        Self::start_in("a")
    }

    /// `start_in` starts an instance of a failure domain.
    pub fn start_in(domain: &str) -> Self {
        Self::launch(options(domain), true)
    }

    /// `start_deciding` starts an instance of a failure domain without a dispatcher.
    pub fn start_deciding(domain: &str) -> Self {
        let mut options = options(domain);
        options.admission.policy.dispatchers = false;
        Self::launch(options, true)
    }

    /// `start_unlisted` starts one that has read no list of instances which holds it.
    pub fn start_unlisted() -> Self {
        Self::launch(options("a"), false)
    }

    fn launch(options: Options, is_listed: bool) -> Self {
        let (started, starts) = std::sync::mpsc::channel();
        let (tasks, mut queue) = mpsc::unbounded_channel::<Task>();
        let thread = std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            tokio::task::LocalSet::new().block_on(&runtime, async {
                let gateway = Gateway::start(options, DIALECT).await.unwrap();
                gateway.put_catalog(catalog(1), "test");
                if is_listed {
                    gateway.note_fleet_listed();
                }
                started.send((gateway.options.caller_address, peer_of(&gateway))).unwrap();
                while let Some(task) = queue.recv().await {
                    task(&gateway);
                }
            });
        });
        let (address, peer) = starts.recv().unwrap();
        Self { address, peer, tasks, thread }
    }

    /// `with` runs a function on the instance's gateway.
    pub async fn with<T: Send + 'static>(
        &self,
        function: impl FnOnce(&Rc<Gateway>) -> T + Send + 'static,
    ) -> T {
        let (sender, receiver) = oneshot::channel();
        let task: Task = Box::new(move |gateway| {
            // The receiver waits below.
            let _ = sender.send(function(gateway));
        });
        assert!(self.tasks.send(task).is_ok(), "the instance was killed");
        receiver.await.unwrap()
    }

    /// `list` lists upstreams, one after the other.
    pub async fn list(&self, registrations: &[Registration]) {
        let registrations = registrations.to_vec();
        self.with(move |gateway| {
            registrations.into_iter().for_each(|listed| gateway.upstream_listed(listed));
            gateway.upstreams_known();
        })
        .await;
    }

    /// `kill` ends the instance at once.
    pub fn kill(self) {
        drop(self.tasks);
        self.thread.join().unwrap();
    }
}

/// `introduce` lets instances know each other, and waits until they have heard each other.
pub async fn introduce(instances: &[&Instance]) {
    let peers: Vec<PeerAddress> = instances.iter().map(|instance| instance.peer.clone()).collect();
    for instance in instances {
        let peers = peers.clone();
        instance.with(move |gateway| gateway.replace_peers(peers)).await;
    }
    for instance in instances {
        let has_heard_all = |gateway: &Rc<Gateway>| {
            gateway.peers.borrow().values().all(|peer| peer.last_seen.is_some())
        };
        while !instance.with(has_heard_all).await {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    }
}

fn options(domain: &str) -> Options {
    let mut options = Options::default();
    options.admission.domain = domain.to_owned();
    options.admission.retries.fixed = 100.0;
    options.admission.retries.fixed_after = Duration::ZERO;
    options.instance = next_instance();
    options.incarnation = 1;
    options
}

fn next_instance() -> InstanceId {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(1);
    NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed)
}

fn peer_of(gateway: &Gateway) -> PeerAddress {
    PeerAddress {
        instance: gateway.options.instance,
        domain: gateway.options.admission.domain.clone(),
        beat_address: gateway.options.beat_address,
        relay_address: gateway.options.relay_addresses[0],
        processor_millis: 1_000,
    }
}

//! Crash probes: how this instance notices that an upstream has ended.
//!
//! An answer that breaks off is no crash: connections are reset, links are cut and upstreams leave. An
//! upstream that does not leave has crashed when it refuses connections right after; bytes that come
//! from it later show that it has not.

use std::cell::Cell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::registries::UpstreamKey;
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::UpstreamId;
use tokio::sync::Notify;

use crate::connections::connect;
use crate::gateways::Gateway;
use crate::logs::decision;

/// `PROBES_MAX` is how many connections are made to an upstream to find out whether it has ended.
const PROBES_MAX: usize = 2;

/// `PROBE_HOLD` is for how long such a connection must stay open.
const PROBE_HOLD: Duration = Duration::from_millis(20);

/// `Probe` is a connection to an upstream whose answers broke off.
#[derive(Debug, Default)]
pub(crate) struct Probe {
    has_ended: Cell<Option<bool>>,
    ended: Notify,
}

impl Probe {
    async fn outcome(&self) -> bool {
        loop {
            let ended = self.ended.notified();
            match self.has_ended.get() {
                Some(has_ended) => return has_ended,
                None => ended.await,
            }
        }
    }
}

impl Gateway {
    /// `life_that_stays` returns the life and the address of an upstream that does not leave. One that leaves
    /// ends without a crash.
    pub(crate) fn life_that_stays(
        &self,
        upstream: UpstreamKey,
    ) -> Option<(UpstreamId, SocketAddr)> {
        let traffic = self.traffic.borrow();
        let known = traffic.registry.get(upstream)?;
        known.leaving.is_none().then_some((known.life_number, known.registration.address))
    }

    /// `has_ended` tells whether an upstream whose answer ended with its connection refuses others.
    pub(crate) async fn has_ended(
        self: &Rc<Self>,
        upstream: UpstreamKey,
        address: SocketAddr,
    ) -> bool {
        let known = self.crashes.probes.borrow().get(&upstream).cloned();
        let probe = match known {
            Some(probe) => probe,
            None => {
                let probe = Rc::new(Probe::default());
                self.crashes.probes.borrow_mut().insert(upstream, Rc::clone(&probe));
                let (gateway, pending) = (Rc::clone(self), Rc::clone(&probe));
                tokio::task::spawn_local(async move {
                    gateway.probe(upstream, address, &pending).await;
                });
                probe
            }
        };
        probe.outcome().await
    }

    async fn probe(&self, upstream: UpstreamKey, address: SocketAddr, probe: &Probe) {
        let has_ended = self.refuses_connections(upstream, address).await;
        log::info!(
            "event=upstream_probed upstream={} address={address} has_ended={has_ended}",
            self.id_of(upstream).unwrap_or_default()
        );
        let has_crashed = has_ended && self.life_that_stays(upstream).is_some();
        if has_crashed {
            self.metrics.upstream_crashes.inc();
            self.note_unreachable(upstream);
            decision(
                EventKind::UpstreamCrashed,
                format_args!(
                    "upstream={} address={address}",
                    self.id_of(upstream).unwrap_or_default()
                ),
            );
        }
        if !has_crashed {
            // Its next answer that breaks off is looked at anew.
            self.forget_probe(upstream);
        }
        probe.has_ended.set(Some(has_ended));
        probe.ended.notify_waiters();
    }

    /// A process that ends closes its port a moment before or after its connections; one that is made in
    /// between is closed at once.
    async fn refuses_connections(&self, upstream: UpstreamKey, address: SocketAddr) -> bool {
        for _ in 0..PROBES_MAX {
            self.metrics.connections_opened.inc();
            let sender = match connect(address).await {
                Ok(sender) => sender,
                Err(error) => return error.kind() == ErrorKind::ConnectionRefused,
            };
            tokio::time::sleep(PROBE_HOLD).await;
            if !sender.is_closed() {
                self.keep_connection(upstream, sender, None);
                return false;
            }
        }
        false
    }

    /// `forget_probe` forgets an upstream that is gone.
    pub(crate) fn forget_probe(&self, upstream: UpstreamKey) {
        self.crashes.probes.borrow_mut().remove(&upstream);
    }
}

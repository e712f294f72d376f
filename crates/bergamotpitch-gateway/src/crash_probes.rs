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
use bergamotpitch_control::traffic::sound_parts::moment_of;
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::UpstreamId;
use tokio::sync::Notify;

use crate::connections::{Sender, connect};
use crate::gateways::Gateway;
use crate::logs::decision;

/// `PROBES_MAX` is how many connections are made to an upstream to find out whether it has ended.
const PROBES_MAX: usize = 2;

/// `PROBE_HOLD` is for how long such a connection must stay open.
const PROBE_HOLD: Duration = Duration::from_millis(20);

/// `WATCH_TIME` is for how long an upstream that does not refuse connections is watched after an answer of it broke
/// off, and [`WATCH_INTERVAL`] the time between two looks at the connection to it; it doubles with each further
/// connection that is made.
const WATCH_TIME: Duration = Duration::from_secs(2);

/// `WATCH_INTERVAL` see [`WATCH_TIME`].
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// `Found` is what an upstream did with a connection.
#[derive(Debug, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum Found {
    /// It took it and keeps it open.
    Connection(Sender),
    /// It refused it.
    Refusal,
    /// Neither: it closed each at once, or did not answer.
    Nothing,
}

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

    /// `is_probed` tells whether a connection to an upstream is being made to find that out.
    pub(crate) fn is_probed(&self, upstream: UpstreamKey) -> bool {
        self.crashes.probes.borrow().contains_key(&upstream)
    }

    /// `look_at_closed` looks at upstreams that have answered lately and now closed an idle connection: some crash of
    /// what they have answered in full.
    pub(crate) fn look_at_closed(self: &Rc<Self>) {
        for upstream in self.pools.take_closed() {
            let Some((life, address)) = self.life_that_stays(upstream) else { continue };
            if self.traffic.borrow().crash_suspects.has_answered(life) {
                let gateway = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    gateway.has_ended(upstream, address).await;
                });
            }
        }
    }

    async fn probe(self: &Rc<Self>, upstream: UpstreamKey, address: SocketAddr, probe: &Probe) {
        let found = self.look_at(upstream, address).await;
        let has_ended = matches!(found, Found::Refusal);
        if !(has_ended && self.note_end(upstream, address)) {
            // Its next answer that breaks off is looked at anew.
            self.forget_probe(upstream);
        }
        probe.has_ended.set(Some(has_ended));
        probe.ended.notify_waiters();
        if !has_ended {
            self.watch(upstream, address, found).await;
        }
    }

    /// A process that ends closes its port a moment before or after its connections; one that is made in
    /// between is closed at once.
    async fn look_at(&self, upstream: UpstreamKey, address: SocketAddr) -> Found {
        let found = self.connect_to(address).await;
        log::info!(
            "event=upstream_probed upstream={} address={address} found={found}",
            self.id_of(upstream).unwrap_or_default()
        );
        found
    }

    async fn connect_to(&self, address: SocketAddr) -> Found {
        for _ in 0..PROBES_MAX {
            self.metrics.connections_opened.inc();
            match connect(address, &self.work_times).await {
                Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                    return Found::Refusal;
                }
                // A link that is cut takes long to tell.
                Err(error) if error.kind() == ErrorKind::TimedOut => return Found::Nothing,
                Err(_) => tokio::time::sleep(PROBE_HOLD).await,
                Ok(sender) => {
                    tokio::time::sleep(PROBE_HOLD).await;
                    if !sender.is_closed() {
                        return Found::Connection(sender);
                    }
                }
            }
        }
        Found::Nothing
    }

    /// Some processes go on for a while after their answers have broken off, and then end; others take connections
    /// meanwhile and close them.
    async fn watch(self: &Rc<Self>, upstream: UpstreamKey, address: SocketAddr, mut found: Found) {
        if !self.crashes.watched.borrow_mut().insert(upstream) {
            if let Found::Connection(sender) = found {
                self.keep_connection(upstream, sender, None);
            }
            return;
        }
        let until = self.now() + WATCH_TIME;
        let mut pause = WATCH_INTERVAL;
        while !matches!(found, Found::Refusal) && self.now() < until {
            tokio::time::sleep(pause).await;
            let is_open = matches!(&found, Found::Connection(sender) if !sender.is_closed());
            if !is_open {
                found = self.look_at(upstream, address).await;
                pause *= 2;
            }
        }
        self.crashes.watched.borrow_mut().remove(&upstream);
        if !matches!(found, Found::Refusal) {
            let traffic = &mut *self.traffic.borrow_mut();
            let life = traffic.registry.get(upstream).map(|known| known.life_number);
            life.into_iter().for_each(|life| traffic.crash_suspects.trust(life));
        }
        match found {
            Found::Refusal => {
                self.note_end(upstream, address);
            }
            Found::Connection(sender) => self.keep_connection(upstream, sender, None),
            Found::Nothing => {}
        }
        self.crashes.undecided.borrow_mut().remove(&upstream);
    }

    /// `note_end` takes in that an upstream has ended; it tells whether it crashed, as it did not leave. What
    /// broke off there before counts now.
    pub(crate) fn note_end(self: &Rc<Self>, upstream: UpstreamKey, address: SocketAddr) -> bool {
        let Some((life, _)) = self.life_that_stays(upstream) else { return false };
        self.metrics.upstream_crashes.inc();
        self.note_unreachable(upstream);
        self.traffic.borrow_mut().note_read(upstream, self.now());
        decision(
            EventKind::UpstreamCrashed,
            format_args!("upstream={} address={address}", self.id_of(upstream).unwrap_or_default()),
        );
        let evidence = self.crashes.undecided.borrow_mut().remove(&upstream).unwrap_or_default();
        let first = evidence.iter().map(|crash| crash.at).min();
        self.note_own_crashes(life, first.unwrap_or(moment_of(self.now())), evidence);
        true
    }

    /// `forget_probe` forgets an upstream that is gone.
    pub(crate) fn forget_probe(&self, upstream: UpstreamKey) {
        self.crashes.probes.borrow_mut().remove(&upstream);
    }
}

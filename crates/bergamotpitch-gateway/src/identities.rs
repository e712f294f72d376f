//! Identities: which process listens at an upstream's address.
//!
//! Load pattern: a process crashes behind a link that is cut, or while this instance stands still, and another one
//! listens at its address by the time that this is noticed. A connection that is made there tells nothing; what the
//! process says of itself does.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::registries::{Upstream, UpstreamKey};
use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::UpstreamId;
use http::HeaderValue;
use http::header::HOST;
use http_body_util::Full;
use tokio::sync::watch;

use crate::bodies::read_whole;
use crate::connections::connect;
use crate::dialects::StatedIdentity;
use crate::gateways::Gateway;

/// `PROBE_TIMEOUT` is the time for an upstream to say who it is: a connection and an answer over the longest link, a
/// few times.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);

/// `ListedUpstream` is an upstream as it was listed when a request was sent there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedUpstream {
    /// Its number at this instance.
    pub key: UpstreamKey,
    /// Number of its life.
    pub life: UpstreamId,
    /// Its id.
    pub id: String,
    /// When its process started, as Unix time in milliseconds.
    pub born_ms: Option<u64>,
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// `Identity` is who answers at an upstream's address, compared with whom a request was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Identity {
    /// The same process.
    Same,
    /// Another one.
    Other,
    /// It does not tell.
    Unclear,
}

/// `Identities` are the probes under way that begin from now on.
#[derive(Debug, Default)]
pub(crate) struct Identities {
    next: RefCell<HashMap<UpstreamId, watch::Receiver<Option<Identity>>>>,
}

impl Gateway {
    /// `listed_upstream` returns an upstream as it is listed now.
    pub(crate) fn listed_upstream(&self, key: UpstreamKey) -> Option<ListedUpstream> {
        let traffic = self.traffic.borrow();
        let known = traffic.registry.get(key)?;
        let listed = &known.registration;
        Some(ListedUpstream {
            key,
            life: known.life_number,
            id: listed.id.clone(),
            born_ms: listed.born_ms,
            service: listed.service.clone(),
            address: listed.address,
        })
    }

    /// `is_relisted` tells whether the list holds a later life of an upstream by now, or another upstream that has
    /// started later at its address.
    pub(crate) fn is_relisted(&self, upstream: &ListedUpstream) -> bool {
        let traffic = self.traffic.borrow();
        let registry = &traffic.registry;
        let present = registry.key_of(&upstream.id).and_then(|key| registry.get(key));
        let is_reborn = present.is_some_and(|present| present.life_number != upstream.life);
        let is_later = |known: &Upstream| match (known.registration.born_ms, upstream.born_ms) {
            (Some(born_ms), Some(before_ms)) => before_ms < born_ms,
            _ => upstream.key < known.key,
        };
        let mut at_address = registry.all().filter(|known| {
            known.registration.address == upstream.address && known.life_number != upstream.life
        });
        is_reborn || at_address.any(is_later)
    }

    /// `identify` asks the process at an upstream's address who it is, from now on.
    pub(crate) async fn identify(self: &Rc<Self>, upstream: &ListedUpstream) -> Identity {
        let running = self.identities.next.borrow().get(&upstream.life).cloned();
        let mut outcome = running.unwrap_or_else(|| self.schedule_probe(upstream.clone()));
        let known = outcome.wait_for(Option::is_some).await;
        known.map_or(Identity::Unclear, |known| known.unwrap_or(Identity::Unclear))
    }

    fn schedule_probe(
        self: &Rc<Self>,
        upstream: ListedUpstream,
    ) -> watch::Receiver<Option<Identity>> {
        let (sender, outcome) = watch::channel(None);
        self.identities.next.borrow_mut().insert(upstream.life, outcome.clone());
        let gateway = Rc::clone(self);
        tokio::task::spawn_local(async move {
            // What asks from now on waits for the next probe.
            gateway.identities.next.borrow_mut().remove(&upstream.life);
            let asked = gateway.ask_identity(&upstream);
            let stated = tokio::time::timeout(PROBE_TIMEOUT, asked).await.ok().flatten();
            let identity = gateway.compare(&upstream, stated.as_ref()).await;
            log::info!(
                "event=upstream_identified upstream={} address={} identity={identity} stated={stated:?}",
                upstream.id,
                upstream.address,
            );
            // Whoever waited may have left.
            let _ = sender.send(Some(identity));
        });
        outcome
    }

    async fn ask_identity(self: &Rc<Self>, upstream: &ListedUpstream) -> Option<StatedIdentity> {
        let catalog = self.catalog()?;
        let service = catalog.services.get(&upstream.service)?;
        let mut request = (self.dialect.identity_request)(service, &upstream.id)?;
        let host = HeaderValue::from_str(&upstream.address.to_string()).ok()?;
        request.headers_mut().insert(HOST, host);
        self.metrics.connections_opened.inc();
        self.metrics.identity_probes.inc();
        let mut sender = connect(upstream.address, &self.work_times).await.ok()?;
        let response = sender.send(request.map(Full::new)).await.ok()?;
        let (parts, body) = response.into_parts();
        let body = read_whole(body, &sender, self.answer_bytes.open()).await.unwrap_or_default();
        (self.dialect.stated_identity)(parts.status, &parts.headers, &body)
    }

    /// One that does not say when it started may have started anew under its id: then the list says so, or will once
    /// it is read.
    async fn compare(
        self: &Rc<Self>,
        upstream: &ListedUpstream,
        stated: Option<&StatedIdentity>,
    ) -> Identity {
        let Some(stated) = stated else { return Identity::Unclear };
        if stated.is_other || stated.id.as_ref().is_some_and(|id| *id != upstream.id) {
            return Identity::Other;
        }
        match (stated.born_ms, upstream.born_ms) {
            (Some(stated), Some(listed)) if stated == listed => Identity::Same,
            (Some(_), Some(_)) => Identity::Other,
            _ if stated.id.is_none() || !self.make_list_current().await => Identity::Unclear,
            _ if self.is_relisted(upstream) => Identity::Other,
            _ => Identity::Same,
        }
    }
}

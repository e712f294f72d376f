//! Store news: which instances watch the platform's store for their failure domain, and what the
//! others fetch from them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::watch_roles::{WATCHERS_PER_DOMAIN, is_watcher};
use bergamotpitch_core::HashMap;
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::{Incarnation, InstanceId};
use bergamotpitch_core::units::Timestamp;
use tokio::sync::Notify;

use crate::gateways::Gateway;
use crate::heartbeats::{domain_peers, standby_peers};
use crate::logs::decision;
use crate::peers::{ISOLATION_TIME, Peer, Peers};
use crate::relays::{self, Answer, Cursor, Extent, FetchError, Relay, RelayUpdate, SharedAnswers};

/// `LIST_TOLERANCE` is how long peers may know a newer list of upstreams before the own watch is
/// given up: the store tells all watches within some milliseconds.
const LIST_TOLERANCE: Duration = Duration::from_millis(800);

/// `DISTRUST_TIME` is for how long a peer is not asked after it did not hand over what it knows.
const DISTRUST_TIME: Duration = Duration::from_secs(5);

/// `DISTRUSTED_MAX` is from how many such peers on an instance reads the store itself. After one, all that rely
/// on a watcher which was killed would read the whole list at once.
const DISTRUSTED_MAX: usize = 2;

/// `STARTUP_FETCH_INTERVAL` is the time between two questions to watchers until then.
const STARTUP_FETCH_INTERVAL: Duration = Duration::from_millis(120);

/// `STARTUP_PEERS_TIMEOUT` is for how long an instance that starts waits to know its peers before it reads the store
/// for all that it needs. While it is cut off from the store it can read neither; hundreds that are back at
/// once would all read the whole list before they know that others do so for them.
const STARTUP_PEERS_TIMEOUT: Duration = Duration::from_secs(5);

/// `LIST_CHECK_INTERVAL` is the time after which one of the instances of a domain that rely on peers looks at
/// the list by itself: should all watchers of a fleet have lost the store at once, nobody else would
/// notice.
const LIST_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// `LAG_TOLERANCE` is how long a peer may know more before it is asked: the platform's own notice
/// mostly comes first, or that of a peer of the own domain.
const LAG_TOLERANCE: Duration = Duration::from_millis(400);

/// `FETCH_INTERVAL` is the least time between two questions to peers: a quarter of the shortest time
/// within which a change must be in force.
const FETCH_INTERVAL: Duration = Duration::from_millis(600);

/// `WATCHER_FETCH_INTERVAL` is the same for questions to the watchers of the own domain, over a link
/// that is short and not paid.
const WATCHER_FETCH_INTERVAL: Duration = Duration::from_millis(250);

/// `UpdateHandler` hands what a peer sent to whoever understands it.
pub type UpdateHandler = Box<dyn Fn(RelayUpdate)>;

/// `OwnEntry` is an instance's own entry in the list of instances.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OwnEntry {
    /// It keeps none.
    #[default]
    NotKept,
    /// It was not written yet.
    Missing,
    /// It was written at a revision of the store.
    WrittenAt(u64),
}

/// `StoreUpdates` is what this instance knows of the store, and by whom.
#[derive(Default)]
pub struct StoreUpdates {
    /// Documents for peers.
    pub relay: RefCell<Relay>,
    /// Told when this instance begins or ceases to rely on what peers read of the store.
    pub role_changed: Notify,
    /// Told when peers know more of the platform's list than this instance, whose watch must have
    /// gone silent.
    pub list_behind: Notify,
    /// Told when peers were listed for the first time.
    peers_listed: Notify,
    /// When peers were listed for the first time.
    peers_listed_at: Cell<Option<Timestamp>>,
    update_handler: RefCell<Option<UpdateHandler>>,
    shared_answers: RefCell<SharedAnswers>,
    /// Up to where the changes of each peer, by its address, were taken in.
    cursors: RefCell<HashMap<SocketAddr, Cursor>>,
    /// This instance's own entry in the list of instances.
    pub own_entry: Cell<OwnEntry>,
    is_relying: Cell<bool>,
    /// Until when peers, by their addresses, are not asked, as they did not hand over what they know.
    distrusted: RefCell<HashMap<SocketAddr, Timestamp>>,
    /// Up to where the own watch has read the list.
    list_watched: Cell<u64>,
    /// Up to where it is known, by the own watch or by peers.
    list_known: Cell<u64>,
    list_change: Cell<u64>,
    /// Up to where the list of instances is known; 0 while only a part of it may be.
    members_known: Cell<u64>,
    list_behind_since: Cell<Option<Timestamp>>,
    lagging_since: Cell<Option<Timestamp>>,
    next_fetch: Cell<Timestamp>,
}

impl StoreUpdates {
    /// `new` knows nothing, in one life of an instance.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { relay: RefCell::new(Relay::new(incarnation)), ..Self::default() }
    }

    /// `reset_lag` takes in a newer configuration: a peer that is still ahead has been for no time.
    pub(crate) fn reset_lag(&self) {
        self.lagging_since.set(None);
    }
}

impl Gateway {
    /// `on_update` sets who takes in what peers send.
    pub fn on_update(&self, handler: UpdateHandler) {
        *self.store_updates.update_handler.borrow_mut() = Some(handler);
    }

    /// `list_known` returns the revision of the store up to which this instance knows the list of upstreams.
    pub fn list_known(&self) -> u64 {
        self.store_updates.list_known.get()
    }

    /// `list_change` returns the revision of the latest change of the list of upstreams that this
    /// instance has seen.
    pub fn list_change(&self) -> u64 {
        self.store_updates.list_change.get()
    }

    /// `list_read` notes that the own watch has read the list up to a revision of the store, and the
    /// latest change that was seen in it.
    pub fn list_read(&self, known: u64, change: u64) {
        self.store_updates.list_watched.set(self.store_updates.list_watched.get().max(known));
        self.list_reported(known, change);
    }

    /// `members_known` returns the revision of the store up to which this instance knows the list of instances; 0
    /// while it may know only a part of it.
    pub fn members_known(&self) -> u64 {
        self.store_updates.members_known.get()
    }

    /// `members_read` notes that the list of instances is known up to a revision of the store.
    pub fn members_read(&self, known: u64) {
        self.store_updates.members_known.set(self.members_known().max(known));
    }

    /// `list_reported` notes the same of what a peer has told.
    pub fn list_reported(&self, known: u64, change: u64) {
        self.store_updates.list_known.set(self.store_updates.list_known.get().max(known));
        self.store_updates.list_change.set(self.store_updates.list_change.get().max(change));
    }

    /// `relies_on_peers` tells whether this instance leaves watching the store to others of its
    /// domain, and fetches from them what has changed.
    pub fn relies_on_peers(&self) -> bool {
        self.store_updates.is_relying.get()
    }

    /// Decides anew whether others watch the store; the beats of a watcher that ended cease.
    pub(crate) fn update_watch_role(&self) {
        let role = self.role();
        let now = self.now();
        let is_trusted = self.distrusted_count() < DISTRUSTED_MAX;
        let listed = self.store_updates.peers_listed_at.get();
        let starting_for = match (self.knows_all(), listed) {
            (true, _) => None,
            (false, Some(listed)) => Some(now.saturating_sub(listed)),
            (false, None) => Some(Duration::MAX),
        };
        let relies = is_trusted && !is_watcher(&role, starting_for);
        if self.store_updates.is_relying.replace(relies) == relies {
            return;
        }
        decision(
            EventKind::WatchRoleChanged,
            format_args!(
                "relies_on_peers={relies} rank={} place={} trusted={is_trusted}",
                role.rank, role.place,
            ),
        );
        self.store_updates.role_changed.notify_waiters();
    }

    /// Takes in that peers were listed. Where others of the domain watch the store, this instance asks
    /// them for all that it needs to know.
    pub(crate) fn note_peers_listed(self: &Rc<Self>) {
        if self.store_updates.peers_listed_at.get().is_some() {
            return;
        }
        self.store_updates.peers_listed_at.set(Some(self.now()));
        self.update_watch_role();
        self.store_updates.peers_listed.notify_waiters();
        if self.relies_on_peers() {
            tokio::task::spawn_local(fetch_from_watchers(Rc::clone(self)));
        }
    }

    /// `list_check_interval` returns the time after which this instance looks at the list by itself while it
    /// relies on peers. Instances take different times, so that a domain's do not look together.
    pub fn list_check_interval(&self) -> Duration {
        let relying = domain_peers(self).len().saturating_sub(WATCHERS_PER_DOMAIN - 1).max(1);
        let spread = 0.5 + f64::from(self.options.instance % 1_000) / 1_000.0;
        LIST_CHECK_INTERVAL.mul_f64(relying as f64 * spread)
    }

    /// `knows_peers` tells whether peers were listed.
    pub fn knows_peers(&self) -> bool {
        self.store_updates.peers_listed_at.get().is_some()
    }

    /// `wait_for_peer_list` waits for a moment until this instance knows whether others watch the store for it.
    pub async fn wait_for_peer_list(&self) {
        let listed = self.store_updates.peers_listed.notified();
        if !self.knows_peers() {
            // The store may be out of reach; the watches will tell.
            let _ = tokio::time::timeout(STARTUP_PEERS_TIMEOUT, listed).await;
        }
    }

    /// `is_first_of_domain` tells whether this instance is the first of its domain that is heard.
    pub fn is_first_of_domain(&self) -> bool {
        self.role().rank == 0
    }

    /// `is_first_of_fleet` tells whether this instance is the first of its domain, and that one the first of
    /// those that are heard.
    pub fn is_first_of_fleet(&self) -> bool {
        let now = self.now();
        let own = &self.options.admission.domain;
        let peers = self.peers.borrow();
        let is_before = |peer: &Peer| peer.address.domain < *own && peer.is_alive(now);
        self.is_first_of_domain() && !peers.values().any(is_before)
    }

    /// `updates_since` returns what this instance knows, or what has changed since a cursor.
    pub fn updates_since(&self, cursor: Cursor) -> RelayUpdate {
        RelayUpdate {
            list_known: self.store_updates.list_known.get(),
            list_change: self.store_updates.list_change.get(),
            members_known: self.members_known(),
            ..self.store_updates.relay.borrow().updates_since(cursor)
        }
    }

    /// `answer_of_query` returns the answer to a peer that asks with a query.
    pub(crate) fn answer_of_query(&self, query: Option<&str>) -> Answer {
        let cursor = relays::cursor_of_query(query);
        if !relays::may_pack(query) {
            return Answer::Plain(relays::encode(&self.updates_since(cursor)));
        }
        let relay = self.store_updates.relay.borrow();
        let mut answers = self.store_updates.shared_answers.borrow_mut();
        let known = Extent {
            number: relay.last_number(),
            list_known: self.store_updates.list_known.get(),
            list_change: self.store_updates.list_change.get(),
            members_known: self.members_known(),
        };
        let Extent { number, list_known, list_change, members_known } =
            answers.extent(known, self.now());
        if !relay.needs_everything(cursor) {
            return answers.changes(cursor.number, || RelayUpdate {
                list_known,
                list_change,
                members_known,
                ..relay.changes_between(cursor.number, number.max(cursor.number))
            });
        }
        if answers.is_busy() {
            return Answer::Busy;
        }
        answers.whole(|| self.updates_since(cursor))
    }

    /// `fetch_updates` asks another instance for what it knows and this one does not.
    pub async fn fetch_updates(&self, from: SocketAddr) {
        let cursor = self.store_updates.cursors.borrow().get(&from).copied().unwrap_or_default();
        match relays::fetch(from, cursor, &self.work_times).await {
            Ok(update) => {
                log::info!(
                    "event=news_fetched peer={from} whole={} documents={} removals={} known={}",
                    update.is_whole,
                    update.documents.len(),
                    update.removals.len(),
                    update.list_known,
                );
                self.store_updates.cursors.borrow_mut().insert(from, update.cursor);
                self.store_updates.distrusted.borrow_mut().remove(&from);
                if let Some(handler) = self.store_updates.update_handler.borrow().as_ref() {
                    handler(update);
                }
            }
            Err(error) => {
                log::info!("event=news_not_fetched peer={from} error={error}");
                if self.knows_all() && error != FetchError::Busy {
                    let until = self.now() + DISTRUST_TIME;
                    self.store_updates.distrusted.borrow_mut().insert(from, until);
                }
            }
        }
    }

    /// How many peers did not hand over what they know lately.
    fn distrusted_count(&self) -> usize {
        let now = self.now();
        let mut distrusted = self.store_updates.distrusted.borrow_mut();
        distrusted.retain(|_, until| now < *until);
        distrusted.len()
    }

    /// Gives the own watch up once a peer has known more of the list for some time, also when that
    /// peer has told of it: a watch that misses one change will miss the next.
    pub(crate) fn check_list_lag(&self) {
        let now = self.now();
        let known = self.store_updates.list_watched.get();
        // The watch of an instance that relies on peers rests, and reads nothing meanwhile.
        if self.relies_on_peers()
            || self.peers.borrow().values().all(|peer| peer.list_change <= known)
        {
            self.store_updates.list_behind_since.set(None);
            return;
        }
        let since = self.store_updates.list_behind_since.get().unwrap_or(now);
        self.store_updates.list_behind_since.set(Some(since));
        if since + LIST_TOLERANCE <= now {
            self.store_updates.list_behind_since.set(Some(now));
            log::info!("event=list_behind revision={known}");
            self.store_updates.list_behind.notify_waiters();
        }
    }

    /// The peer that should be asked for news: one that has known more for some time, or at once
    /// while this instance relies on peers.
    pub(crate) fn peer_to_fetch_from(&self) -> Option<SocketAddr> {
        let now = self.now();
        let peers = self.peers.borrow();
        let first_watcher = self.first_watcher(&peers, now);
        let is_ahead = |peer: &&Peer| {
            self.is_behind(peer)
                || first_watcher.is_some_and(|first| self.has_unfetched_changes(first, peer))
        };
        let distrusted = self.store_updates.distrusted.borrow();
        let is_trusted = |peer: &&Peer| {
            distrusted.get(&peer.address.relay_address).is_none_or(|until| *until <= now)
        };
        let alive = peers.values().filter(|peer| peer.is_alive(now));
        let ahead = alive.filter(is_trusted).filter(is_ahead).max_by_key(|peer| {
            (self.is_of_domain(peer), peer.version, peer.list_change, peer.last_seen)
        });
        let Some(ahead) = ahead else {
            self.store_updates.lagging_since.set(None);
            return None;
        };
        let since = self.store_updates.lagging_since.get().unwrap_or(now);
        self.store_updates.lagging_since.set(Some(since));
        let (tolerance, interval) = match self.relies_on_peers() && self.is_of_domain(ahead) {
            true => (Duration::ZERO, WATCHER_FETCH_INTERVAL),
            false => (LAG_TOLERANCE, FETCH_INTERVAL),
        };
        if now < since + tolerance || now < self.store_updates.next_fetch.get() {
            return None;
        }
        self.store_updates.next_fetch.set(now + interval);
        Some(ahead.address.relay_address)
    }

    fn is_of_domain(&self, peer: &Peer) -> bool {
        peer.address.domain == self.options.admission.domain
    }

    fn is_behind(&self, peer: &Peer) -> bool {
        let evacuations = self.traffic.borrow().registry.evacuations().version();
        self.version() < peer.version
            || self.store_updates.list_known.get() < peer.list_change
            || evacuations < peer.evacuation_version
    }

    /// `follows_watcher` tells whether this instance relies on a watcher that it has heard lately, and has all that
    /// that one has told.
    pub(crate) fn follows_watcher(&self) -> bool {
        let now = self.now();
        let peers = self.peers.borrow();
        let first = self.first_watcher(&peers, now).and_then(|first| peers.get(&first));
        first.is_some_and(|first| {
            let is_heard = first.is_heard_within(ISOLATION_TIME, now);
            is_heard
                && !self.is_behind(first)
                && !self.has_unfetched_changes(first.address.instance, first)
        })
    }

    /// The watcher whose every change this instance follows while it relies on peers.
    fn first_watcher(&self, peers: &Peers, now: Timestamp) -> Option<InstanceId> {
        if !self.relies_on_peers() {
            return None;
        }
        let watchers = peers.values().filter(|peer| peer.is_alive(now) && peer.watches);
        let of_domain = watchers.filter(|peer| self.is_of_domain(peer));
        of_domain.map(|peer| peer.address.instance).min()
    }

    /// Whether a peer is the watcher that is followed and has changes that were not taken in. What
    /// it forgets after an outage changes no revision of the store.
    fn has_unfetched_changes(&self, first_watcher: InstanceId, peer: &Peer) -> bool {
        let cursors = self.store_updates.cursors.borrow();
        let cursor = cursors.get(&peer.address.relay_address).copied().unwrap_or_default();
        peer.address.instance == first_watcher
            && (cursor.incarnation != peer.incarnation() || cursor.number < peer.relay_number)
    }
}

/// Asks the watchers of the own domain in turn until one of them has told all that is needed.
async fn fetch_from_watchers(gateway: Rc<Gateway>) {
    // Instances that start together do not all ask the same one.
    let mut round = gateway.options.instance as usize;
    while gateway.relies_on_peers() && !gateway.knows_all() {
        let watchers = standby_peers(&gateway);
        let Some(watcher) = watchers.get(round % watchers.len().max(1)) else { return };
        gateway.fetch_updates(watcher.relay_address).await;
        round = round.wrapping_add(1);
        tokio::time::sleep(STARTUP_FETCH_INTERVAL).await;
    }
}

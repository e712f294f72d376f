//! The platform's store, as far as the system and the engines use it.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, query};
use crate::json::{Json, from_base64, parse, to_base64};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    revision: u64,
    key: String,
    value: Option<Vec<u8>>,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<Change>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    /// While it is set, calls are taken and not answered, and nothing is done.
    is_silent: bool,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = State { revision: 7, ..State::default() };
        let store = Store { address, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        let ageing = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(50));
            ageing.end_leases();
        });
        store
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("the store's state")
    }

    pub fn put(&self, key: &str, value: &str) {
        self.state().put(key, Some(value.as_bytes().to_vec()), 0);
        self.shared.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.state().put(key, None, 0);
        self.shared.1.notify_all();
    }

    pub fn is_silent(&self) -> bool {
        self.state().is_silent
    }

    /// Lets the store be silent, or be back.
    pub fn set_silent(&self, is_silent: bool) {
        let mut state = self.state();
        if state.is_silent && !is_silent {
            // Leases pause while the store is down.
            let now = Instant::now();
            for lease in state.leases.values_mut() {
                lease.ends = now + lease.ttl;
            }
        }
        state.is_silent = is_silent;
        drop(state);
        self.shared.1.notify_all();
    }

    fn end_leases(&self) {
        let now = Instant::now();
        let mut state = self.state();
        if state.is_silent {
            return;
        }
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, lease)| lease.ends <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            state.leases.remove(&lease);
            let of_lease = |item: &Item| item.lease == lease;
            let keys: Vec<String> = state
                .items
                .iter()
                .filter(|(_, item)| of_lease(item))
                .map(|(key, _)| key.clone())
                .collect();
            keys.iter().for_each(|key| state.put(key, None, 0));
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, mut connection: Connection) {
        loop {
            let Ok(head) = connection.head() else { return };
            let Ok(body) = connection.request_body(&head) else { return };
            if self.is_silent() {
                self.hold(connection);
                return;
            }
            let method = head.first_line.split(' ').next().unwrap_or_default().to_owned();
            let target = head.second_word().to_owned();
            let Some((status, answer)) = self.act(&method, &target, &body) else {
                self.hold(connection);
                return;
            };
            if connection.write_answer(status, "", answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// A connection whose answer is lost brings nothing further.
    fn hold(&self, connection: Connection) {
        thread::sleep(Duration::from_secs(20));
        drop(connection);
    }

    fn act(&self, method: &str, target: &str, body: &[u8]) -> Option<(&'static str, String)> {
        let path = target.split('?').next().unwrap_or_default();
        let document = parse(&String::from_utf8_lossy(body));
        match (method, path) {
            ("GET", "/api/kv-range") => Some(self.range(target)),
            ("GET", "/api/kv-watch") => self.watch(target),
            ("POST", "/api/kv-txn") => Some(self.transact(&document)),
            ("POST", "/api/kv-lease") => {
                let ttl_ms = document.get("ttl-ms").number().clamp(1_000, 600_000);
                let ttl = Duration::from_millis(ttl_ms);
                let mut state = self.state();
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, Lease { ttl, ends: Instant::now() + ttl });
                Some(("200 OK", format!("{{\"lease\":{lease},\"ttl-ms\":{ttl_ms}}}")))
            }
            ("POST", _) if path.starts_with("/api/kv-keep/") => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                match self.state().leases.get_mut(&lease) {
                    Some(lease) => {
                        lease.ends = Instant::now() + lease.ttl;
                        let ttl_ms = lease.ttl.as_millis();
                        Some(("200 OK", format!("{{\"ttl-ms\":{ttl_ms}}}")))
                    }
                    None => Some(("404 Not Found", "{}".to_owned())),
                }
            }
            _ => Some(("400 Bad Request", "{}".to_owned())),
        }
    }

    fn range(&self, target: &str) -> (&'static str, String) {
        let prefix = query(target, "prefix").unwrap_or_default();
        let after = query(target, "after").unwrap_or_default();
        let state = self.state();
        let matching = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && after.as_str() < key.as_str());
        let items: Vec<String> = matching
            .clone()
            .take(500)
            .map(|(key, item)| {
                let value = to_base64(&item.value);
                let Item { revision, created, lease, .. } = item;
                format!(
                    "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
                     \"created-rev\":{created},\"lease\":{lease}}}"
                )
            })
            .collect();
        let has_more = items.len() < matching.count();
        let answer = format!(
            "{{\"items\":[{}],\"more-pages\":{has_more},\"store-revision\":{}}}",
            items.join(","),
            state.revision
        );
        ("200 OK", answer)
    }

    fn watch(&self, target: &str) -> Option<(&'static str, String)> {
        let number = |name| query(target, name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let prefix = query(target, "prefix").unwrap_or_default();
        let (after, wait_ms): (u64, u64) = (number("after"), number("wait-ms"));
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state();
        loop {
            if state.is_silent {
                return None;
            }
            let fresh =
                state.changes.iter().filter(|change| after < change.revision && change.key.starts_with(&prefix));
            let events: Vec<String> = fresh
                .map(|Change { key, revision, value }| match value {
                    Some(value) => format!(
                        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision}}}",
                        to_base64(value)
                    ),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || until <= now {
                let revision = state.revision;
                let answer =
                    format!("{{\"events\":[{}],\"store-revision\":{revision}}}", events.join(","));
                return Some(("200 OK", answer));
            }
            state = self.shared.1.wait_timeout(state, until - now).expect("the store's state").0;
        }
    }

    fn transact(&self, document: &Json) -> (&'static str, String) {
        let mut state = self.state();
        for row in document.get("precondition").list() {
            let known = state.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            if known != row.get("revision").number() {
                return ("412 Precondition Failed", "{\"items\":[]}".to_owned());
            }
        }
        let writes = document.get("writes").list();
        let is_missing = |write: &Json| {
            let lease = write.get("lease").number();
            lease != 0 && !state.leases.contains_key(&lease)
        };
        if writes.iter().any(is_missing) {
            return ("404 Not Found", "{}".to_owned());
        }
        for write in writes {
            let value = from_base64(write.get("value").text());
            state.put(write.get("key").text(), Some(value), write.get("lease").number());
        }
        for key in document.get("remove").list() {
            state.put(key.text(), None, 0);
        }
        let revision = state.revision;
        drop(state);
        self.shared.1.notify_all();
        ("200 OK", format!("{{\"revision\":{revision}}}"))
    }
}

impl State {
    fn put(&mut self, key: &str, value: Option<Vec<u8>>, lease: u64) {
        if value.is_none() && !self.items.contains_key(key) {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        match &value {
            Some(value) => {
                let created = self.items.get(key).map_or(revision, |item| item.created);
                let item = Item { value: value.clone(), revision, created, lease };
                self.items.insert(key.to_owned(), item);
            }
            None => {
                self.items.remove(key);
            }
        }
        self.changes.push(Change { revision, key: key.to_owned(), value });
    }
}

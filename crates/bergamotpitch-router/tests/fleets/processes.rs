//! Routers as processes of their own, which can be killed.

use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

use serde_json::json;

use super::stages::Place;
use super::{HANG_LIMIT, LOOPBACK, is_ready};

/// `Process` is a router that runs as a process; it is killed when it is dropped.
pub struct Process {
    /// Where it is reached; the same in each of its lives.
    pub place: Place,
    /// Where other routers reach it.
    pub peer_address: SocketAddr,
    /// File that it writes events to; all its lives write to one.
    pub event_file: String,
    settings_file: String,
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        kill(self);
    }
}

/// `start_process` starts a router on ports that are free; `name` tells its files apart.
pub fn start_process(
    name: &str,
    domain: &str,
    platform: SocketAddr,
    first_peers: &[SocketAddr],
) -> Process {
    let [caller_address, operator_address, peer_address] = free_addresses();
    let folder = env!("CARGO_TARGET_TMPDIR");
    let event_file = format!("{folder}/{name}.jsonl");
    // A file of an earlier run would mix its lives in.
    let _ = std::fs::remove_file(&event_file);
    let settings = json!({
        "instance": name, "domain": domain, "caller_address": caller_address,
        "peer_address": peer_address, "operator_address": operator_address,
        "platform_address": platform, "first_peers": first_peers,
        "shared_key": "a key for tests only", "event_file": event_file,
    });
    let settings_file = format!("{folder}/{name}.json");
    std::fs::write(&settings_file, settings.to_string()).unwrap();
    let child = spawn(&settings_file);
    let place = Place { caller_address, operator_address };
    Process { place, peer_address, event_file, settings_file, child }
}

/// `kill` ends a process at once, as the loss of its instance does.
pub fn kill(process: &mut Process) {
    // A process that has ended already needs no end.
    let _ = process.child.kill();
    let _ = process.child.wait();
}

/// `signal` sends a signal, such as `STOP` and `CONT`, to one process.
pub fn signal(process: &Process, name: &str) {
    let pid = process.child.id().to_string();
    let sent = Command::new("kill").args([format!("-{name}"), pid]).status().unwrap();
    assert!(sent.success());
}

/// `restart` starts the next life of a process that was killed.
pub fn restart(process: &mut Process) {
    process.child = spawn(&process.settings_file);
}

/// `wait_ready` waits until the balancer would send requests to every process.
pub async fn wait_ready(processes: &mut [Process]) {
    for process in processes {
        let waiting = async {
            while !is_ready(process.place.operator_address).await {
                // Another program may have taken a port before this one did.
                if process.child.try_wait().unwrap().is_some() {
                    restart(process);
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        assert!(tokio::time::timeout(HANG_LIMIT, waiting).await.is_ok(), "a router is not ready");
    }
}

fn spawn(settings_file: &str) -> Child {
    Command::new(env!("CARGO_BIN_EXE_bergamotpitch-router"))
        .args(["--settings", settings_file])
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

/// Addresses that were given to a process. One that is given back before its process has bound it may
/// be free for the next as well, and whoever binds it second never becomes ready.
static GIVEN: Mutex<Vec<SocketAddr>> = Mutex::new(Vec::new());

/// `free_addresses` returns addresses that were not given to any process of this test before.
pub fn free_addresses() -> [SocketAddr; 3] {
    let mut given = GIVEN.lock().unwrap();
    // All are held before any is given back, so that they differ.
    let mut held = Vec::new();
    let mut fresh = Vec::new();
    while fresh.len() < 3 {
        let listener = TcpListener::bind(LOOPBACK).unwrap();
        let address = listener.local_addr().unwrap();
        held.push(listener);
        if !given.contains(&address) {
            fresh.push(address);
        }
    }
    given.extend(&fresh);
    fresh.try_into().unwrap()
}

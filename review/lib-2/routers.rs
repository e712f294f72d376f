//! Routers: the project's program, as the deploy file starts it, on loopback addresses.

use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::http::Connection;

/// The command of the deploy file, from the project's root.
const PROGRAM: &str = "target/release/bergamotpitch-adapter";

/// Ports that are tried: the system gives them to no connection that goes out, so that an engine or a router finds
/// its port free when it starts again.
const FIRST_PORT: u16 = 20_000;
const PORTS: u32 = 12_000;

static TRIED: AtomicU32 = AtomicU32::new(0);

/// An address whose port is free for TCP and UDP, and that no other call returns.
pub fn free_address() -> SocketAddr {
    // Scripts that run at the same time begin at different ports.
    let start = std::process::id().wrapping_mul(211);
    loop {
        let tried = TRIED.fetch_add(1, Ordering::Relaxed);
        assert!(tried < PORTS, "no port is free");
        let port = FIRST_PORT + (start.wrapping_add(tried) % PORTS) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

pub struct Settings {
    pub name: String,
    pub domain: String,
    pub store: SocketAddr,
    pub callers: SocketAddr,
    ready: SocketAddr,
    seed: SocketAddr,
    inner: SocketAddr,
    metrics: SocketAddr,
    path: PathBuf,
    folder: PathBuf,
}

pub struct Router {
    pub settings: Settings,
    pub process: Option<Child>,
    lives: usize,
}

impl Router {
    pub fn new(name: &str, domain: &str, store: SocketAddr, folder: &Path) -> Router {
        let settings = Settings {
            name: name.to_owned(),
            domain: domain.to_owned(),
            store,
            callers: free_address(),
            ready: free_address(),
            seed: free_address(),
            inner: free_address(),
            metrics: free_address(),
            path: folder.join(format!("{name}.json")),
            folder: folder.to_owned(),
        };
        Router { settings, process: None, lives: 0 }
    }

    /// Starts the next life. The settings are those of `deploy/settings.template.jsonc`, with the figures
    /// of a small deployment.
    pub fn start(&mut self, is_fleet_start: bool) {
        let Settings { name, domain, store, callers, ready, seed, inner, metrics, path, folder } =
            &self.settings;
        let text = format!(
            "{{\"instance\":\"{name}\",\"domain\":\"{domain}\",\
             \"regions\":{{\"a\":\"ra\",\"b\":\"rb\",\"c\":\"rc\"}},\
             \"caller_address\":\"{callers}\",\"ready_address\":\"{ready}\",\
             \"seed_address\":\"{seed}\",\"beat_address\":\"{inner}\",\"relay_address\":\"{inner}\",\
             \"metrics_address\":\"{metrics}\",\"seed_addresses\":[],\"store_address\":\"{store}\",\
             \"descriptors_max\":4100,\"processor_share\":0.25,\"processor_cores\":1,\
             \"memory_mb\":260,\"is_fleet_start\":{is_fleet_start},\"grace_s\":8,\
             \"retry_ratio\":0.2,\"retry_fixed\":54,\"retry_window_s\":10,\"team_window_s\":4}}"
        );
        fs::write(path, text).expect("the settings are written");
        self.lives += 1;
        let log = fs::File::create(folder.join(format!("{name}-{}.log", self.lives)));
        let process = Command::new(PROGRAM)
            .env("BERGAMOTPITCH_SETTINGS", path)
            .stdin(Stdio::null())
            .stdout(log.expect("a log"))
            .stderr(Stdio::inherit())
            .spawn();
        match process {
            Ok(process) => {
                note_process(folder, process.id());
                self.process = Some(process);
            }
            Err(error) => panic!("{PROGRAM}: {error}"),
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::connect(self.settings.ready, Duration::from_secs(1))
        else {
            return false;
        };
        let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = "GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        connection.write(request.as_bytes()).is_ok()
            && connection.head().is_ok_and(|head| head.second_word() == "200")
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Notes a process for the script, which ends all of them whatever happens to this program.
pub fn note_process(folder: &Path, pid: u32) {
    let file = fs::File::options().create(true).append(true).open(folder.join("pids"));
    let _ = file.and_then(|mut file| writeln!(file, "{pid}"));
}

/// Waits until all routers are ready; a case that does not get so far cannot run.
pub fn wait_until_ready(routers: &[Router]) {
    let until = Instant::now() + Duration::from_secs(15);
    while !routers.iter().all(Router::is_ready) {
        assert!(Instant::now() < until, "the routers do not become ready");
        std::thread::sleep(Duration::from_millis(50));
    }
}

//! The project's entry daemon as a process, with settings as the platform renders them.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{LazyLock, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;

/// Longest time from the start of a daemon to its readiness.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Processes that the watchdog has to end.
static STARTED: LazyLock<Mutex<Vec<u32>>> = LazyLock::new(Mutex::default);

/// Sends a signal, by its name, to a process that this program started.
fn send_signal(process: u32, signal: &str) {
    let command = format!("kill -{signal} {process}");
    let status = Command::new("sh").arg("-c").arg(command).status();
    assert!(
        status.is_ok_and(|status| status.success()),
        "signal is sent"
    );
}

/// Ends all daemons; for a case that takes too long.
pub fn kill_all() {
    let started = STARTED.lock().expect("no writer panics").clone();
    for process in started {
        let command = format!("kill -KILL {process} 2>/dev/null");
        let _ = Command::new("sh").arg("-c").arg(command).status();
    }
}

/// An address of the loopback network for this process.
pub fn address(number: u8) -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(
        127,
        64 + (process & 0x3f) as u8,
        (process >> 6) as u8,
        number,
    )
}

/// Folder for settings and logs.
#[derive(Debug)]
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let name = format!("berylknot-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a temporary folder can be made");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            // Left over otherwise.
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// A running daemon; killed on drop.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
}

impl Daemon {
    /// Starts the daemon number `number`; lower numbers have lower addresses.
    pub fn start(folder: &Path, number: u8, seeds: &[u8], store: SocketAddr) -> Self {
        let ip = address(number);
        let name = format!("edge-north-{number}");
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!(r#""{}:8367""#, address(*seed)))
            .collect();
        let seeds = seeds.join(",");
        let settings = format!(
            r#"{{
  "host": "{name}", "data_centre": "north", "address": "{ip}", "first_start": true,
  "listen": {{ "callers": "{ip}:8360", "ready": "{ip}:8365", "peer_port": 7500, "metrics_port": 7515 }},
  "seeds": [{seeds}],
  "store": {{ "address": "{store}" }},
  "bounds": {{ "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 54, "quota_window_s": 8,
    "drain_ms": 2000, "grace_s": 8, "lease_ms": 3000 }},
  "log": {{ "json": true }}
}}"#
        );
        let file = folder.join(format!("{name}.jsonc"));
        std::fs::write(&file, settings).expect("the settings are written");
        let log = std::fs::File::create(folder.join(format!("{name}.log")));
        let child = Command::new("target/release/berylknot-entry")
            .env("BERYLKNOT_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log.expect("the log is writable"))
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the daemon starts; build it with the command of the deploy file");
        STARTED.lock().expect("no writer panics").push(child.id());
        Self {
            child,
            name,
            callers: SocketAddr::new(ip.into(), 8_360),
            ready: SocketAddr::new(ip.into(), 8_365),
        }
    }

    pub fn is_ready(&self) -> bool {
        let Some(mut connection) = Connection::open(self.ready, Duration::from_secs(1)) else {
            return false;
        };
        connection.send(b"GET /-/readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        connection
            .read()
            .is_some_and(|answer| answer.head.status == 200)
    }

    pub fn await_ready(&self) {
        let started = Instant::now();
        while !self.is_ready() {
            assert!(
                started.elapsed() < READY_TIMEOUT,
                "{} is not ready",
                self.name
            );
            thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn signal(&self, signal: &str) {
        send_signal(self.child.id(), signal);
    }

    /// Time until the process exits, at most `timeout`; `None` if it still runs then.
    pub fn wait(&mut self, timeout: Duration) -> Option<Duration> {
        let started = Instant::now();
        while started.elapsed() < timeout {
            if self.child.try_wait().is_ok_and(|status| status.is_some()) {
                return Some(started.elapsed());
            }
            thread::sleep(Duration::from_millis(5));
        }
        None
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let process = self.child.id();
        let mut started = STARTED.lock().expect("no writer panics");
        started.retain(|known| *known != process);
    }
}

//! The project's own program, started with the command of the deploy file.

use std::fs::{self, File};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::http::Head;

/// Command of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/berylknot-entry";

/// A host of the system; killed on drop.
pub struct Daemon {
    pub name: String,
    child: Child,
    pub frontend: SocketAddr,
    ready: SocketAddr,
}

/// Where the hosts of a deployment are.
pub struct Site<'a> {
    pub hosts: &'a [(Ipv4Addr, &'static str)],
    pub ports: [u16; 4],
    pub store: SocketAddr,
    pub folder: &'a Path,
}

/// Four ports that are free on all addresses.
pub fn free_ports(hosts: &[(Ipv4Addr, &str)]) -> std::io::Result<[u16; 4]> {
    let first = hosts
        .first()
        .map_or(Ipv4Addr::LOCALHOST, |(address, _)| *address);
    let mut listeners = Vec::new();
    let mut ports = [0; 4];
    for port in &mut ports {
        let listener = TcpListener::bind((first, 0))?;
        *port = listener.local_addr()?.port();
        listeners.push(listener);
    }
    Ok(ports)
}

impl Site<'_> {
    /// Settings as the template of the deploy file gives them for a small deployment.
    fn settings(&self, index: usize, first_start: bool) -> String {
        let (address, zone) = self.hosts[index];
        let [callers, ready, peer, metrics] = self.ports;
        let seeds: Vec<String> = self
            .hosts
            .iter()
            .map(|(address, _)| format!("\"{address}:{peer}\""))
            .collect();
        let (seeds, store) = (seeds.join(","), self.store);
        format!(
            r#"{{
  "host": "edge-{zone}-{index}", "data_centre": "{zone}",
  "regions": {{"cordoba-a": "ar-centro", "rosario-b": "ar-centro", "santafe-c": "ar-centro"}},
  "address": "{address}", "first_start": {first_start},
  "listen": {{ "callers": "{address}:{callers}", "ready": "{address}:{ready}", "peer_port": {peer}, "metrics_port": {metrics} }},
  "seeds": [{seeds}],
  "store": {{ "address": "{store}" }},
  "bounds": {{ "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 54, "quota_window_s": 8,
    "drain_ms": 2000, "grace_s": 8, "lease_ms": 3000, "config_apply_ms": 2000 }},
  "capabilities": ["base","drain","config","cost","retry","recover","split","stream","engine","tenants","quota","platform"],
  "resources": {{ "memory_mb": 110, "max_files": 4100 }},
  "log": {{ "json": true }}
}}"#
        )
    }

    /// Starts a host; `first_start` is whether the whole system starts for the first time.
    pub fn start(&self, index: usize, first_start: bool) -> std::io::Result<Daemon> {
        let path = self.folder.join(format!("host-{index}.jsonc"));
        fs::write(&path, self.settings(index, first_start))?;
        let log = File::create(self.folder.join(format!("host-{index}.log")))?;
        let child = Command::new(PROGRAM)
            .env("BERYLKNOT_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let (address, zone) = self.hosts[index];
        Ok(Daemon {
            name: format!("edge-{zone}-{index}"),
            child,
            frontend: SocketAddr::from((address, self.ports[0])),
            ready: SocketAddr::from((address, self.ports[1])),
        })
    }
}

impl Daemon {
    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) -> std::io::Result<()> {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status()?;
        if status.success() {
            return Ok(());
        }
        Err(std::io::Error::other("the signal was not sent"))
    }

    /// Whether the host says that it is ready.
    pub fn is_ready(&self) -> bool {
        let ask = || {
            let mut stream = TcpStream::connect(self.ready).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
            stream
                .write_all(b"GET /-/readyz HTTP/1.1\r\nHost: h\r\n\r\n")
                .ok()?;
            Head::read(&mut BufReader::new(stream))
        };
        ask().is_some_and(|head| head.status() == 200)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

//! A whole deployment on loopback: platform, engines, services and entry hosts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use berylknot_border::platform::{HostList, HostState, ListedHost, ReadResponse};
use berylknot_coordination::record::{Id, Incarnation, Position, Publish, Record};
use berylknot_coordination::replica::Replica;
use berylknot_settings::key::{Hash, Pepper};
use berylknot_wire::entry;
use serde_json::{Value, json};

use crate::caller;
use crate::process::{Process, free_address};

/// Longest wait for something to come about.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Key of the customer that the plan creates first.
pub const KEY: &str = "bk-demo-key-of-a-breeder";

/// Key that is withdrawn from the start.
pub const WITHDRAWN_KEY: &str = "bk-demo-key-withdrawn";

/// Pepper of the key hashes.
pub const PEPPER: &[u8] = b"pepper for tests";
const SECRET: &[u8] = b"secret for tests";

/// Sizes of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Entry hosts.
    pub hosts: usize,
    /// Prefill engines.
    pub prefills: usize,
    /// Decode engines.
    pub decodes: usize,
    /// Counter servers.
    pub services: usize,
    /// Lease of a shard in milliseconds.
    pub lease_ms: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            hosts: 3,
            prefills: 2,
            decodes: 2,
            services: 2,
            // Shorter than in production, so that a dead host's shards are taken within seconds.
            lease_ms: 3_000,
        }
    }
}

/// A stand-in.
#[derive(Debug)]
pub struct Standin {
    /// Its process.
    pub process: Process,
    /// Its address.
    pub address: SocketAddr,
}

/// An entry host with its two daemons.
#[derive(Debug)]
pub struct Host {
    /// Name.
    pub name: String,
    /// The control plane.
    pub coordinator: Process,
    /// The data plane.
    pub gateway: Process,
    /// Address of the coordinator.
    pub coordinator_address: SocketAddr,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for the operator.
    pub operator_address: SocketAddr,
    folder: PathBuf,
}

impl Host {
    /// Adds a section to the settings of the gateway, for its next start.
    ///
    /// # Errors
    /// Fails when the settings cannot be read or written.
    pub fn set_gateway(&self, section: &str, value: Value) -> eyre::Result<()> {
        let path = self.folder.join(format!("{}-gateway.json", self.name));
        let mut settings: Value = serde_json::from_slice(&std::fs::read(&path)?)?;
        settings[section] = value;
        Ok(std::fs::write(path, settings.to_string())?)
    }

    /// Starts the gateway again, on the same addresses.
    ///
    /// # Errors
    /// Fails when the process cannot be started.
    pub fn restart_gateway(&mut self) -> eyre::Result<()> {
        self.gateway = start_daemon(&self.folder, &self.name, "gateway")?;
        Ok(())
    }

    /// Starts a second gateway beside the first, on the same addresses, and returns the first.
    ///
    /// # Errors
    /// Fails when the process cannot be started.
    pub fn start_second_gateway(&mut self) -> eyre::Result<Process> {
        let second = start_daemon(&self.folder, &self.name, "gateway")?;
        Ok(std::mem::replace(&mut self.gateway, second))
    }

    /// Starts the coordinator again, on the same address.
    ///
    /// # Errors
    /// Fails when the process cannot be started.
    pub fn restart_coordinator(&mut self) -> eyre::Result<()> {
        self.coordinator = start_daemon(&self.folder, &self.name, "coordinator")?;
        Ok(())
    }
}

/// A running deployment; all its processes end when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// The platform.
    pub platform: Standin,
    /// Prefill engines.
    pub prefills: Vec<Standin>,
    /// Decode engines.
    pub decodes: Vec<Standin>,
    /// Counter servers.
    pub services: Vec<Standin>,
    /// Entry hosts.
    pub hosts: Vec<Host>,
    /// Settings that were published last.
    pub settings: Value,
    published: u64,
    folder: tempfile::TempDir,
}

impl Deployment {
    /// Starts everything, publishes the settings and waits until all hosts are ready.
    ///
    /// # Errors
    /// Fails when a process cannot be started or does not become ready.
    pub async fn start(plan: Plan) -> eyre::Result<Self> {
        let folder = tempfile::tempdir()?;
        let start = |kind: &str, index: usize| {
            let name = format!("{kind}-{index}");
            let binary = match kind {
                "prefill" | "decode" => "standin-engine",
                "counter" => "standin-service",
                _ => "standin-platform",
            };
            let (process, address) = Process::start_standin(folder.path(), &name, binary, None)?;
            Ok::<_, eyre::Report>(Standin { process, address })
        };
        let several = |kind: &str, count: usize| {
            (0..count)
                .map(|index| start(kind, index))
                .collect::<eyre::Result<Vec<_>>>()
        };
        let platform = start("platform", 0)?;
        let prefills = several("prefill", plan.prefills)?;
        let decodes = several("decode", plan.decodes)?;
        let services = several("counter", plan.services)?;
        std::fs::write(folder.path().join("pepper"), PEPPER)?;
        std::fs::write(folder.path().join("secret"), SECRET)?;
        let names: Vec<String> = (0..plan.hosts)
            .map(|index| format!("host-{index}"))
            .collect();
        let mut places = Vec::new();
        for name in &names {
            places.push(Place::reserve(name)?);
        }
        list_hosts(platform.address, &places).await?;
        let mut hosts = Vec::new();
        for place in places {
            hosts.push(start_host(
                folder.path(),
                place,
                &names,
                &platform,
                plan.lease_ms,
            )?);
        }
        let mut deployment = Self {
            platform,
            prefills,
            decodes,
            services,
            hosts,
            settings: Value::Null,
            published: 0,
            folder,
        };
        deployment.settings = deployment.initial_settings();
        deployment.publish().await?;
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Folder with the logs and settings of all processes.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    fn initial_settings(&self) -> Value {
        let pepper = Pepper::new(PEPPER);
        let mut endpoints = serde_json::Map::new();
        for (kind, standins) in [
            ("prefill", &self.prefills),
            ("decode", &self.decodes),
            ("service", &self.services),
        ] {
            for standin in standins {
                let mut endpoint = json!({
                    "kind": kind,
                    "address": standin.address.to_string(),
                    "data_centre": "rosario",
                });
                if kind != "service" {
                    endpoint["model"] = json!("dossier-reader");
                }
                endpoints.insert(standin.process.name().to_owned(), endpoint);
            }
        }
        let counters: Vec<&str> = self
            .services
            .iter()
            .map(|standin| standin.process.name())
            .collect();
        json!({
            "customers": { "breeder": { "rate": 20_000_000, "burst": 40_000_000 } },
            "keys": {
                "breeder-1": { "customer": "breeder", "hash": Hash::of(KEY, &pepper).to_hex() },
                "breeder-0": {
                    "customer": "breeder",
                    "hash": Hash::of(WITHDRAWN_KEY, &pepper).to_hex(),
                    "withdrawn": true,
                },
            },
            "models": { "dossier-reader": { "bytes_per_token": 4 } },
            "endpoints": endpoints,
            "routes": { "counter": { "endpoints": counters } },
            "quota": { "planned_hosts": self.hosts.len() },
        })
    }

    /// State that the log describes now.
    ///
    /// # Errors
    /// Fails when the log cannot be read.
    pub async fn replica(&self) -> eyre::Result<Replica> {
        let mut replica = Replica::default();
        loop {
            let path = format!("/log/read?from={}", replica.next_offset());
            let read: ReadResponse =
                serde_json::from_value(caller::get(self.platform.address, &path).await?)?;
            for raw in &read.entries {
                replica.apply(&entry::decode(raw)?);
            }
            if read.entries.is_empty() || replica.next_offset() >= read.next {
                return Ok(replica);
            }
        }
    }

    /// Publishes the current settings and returns the new version.
    ///
    /// # Errors
    /// Fails when the log does not accept them.
    pub async fn publish(&mut self) -> eyre::Result<u64> {
        let base_version = self.replica().await?.configuration().version();
        self.published += 1;
        let id = Id {
            incarnation: Incarnation(1),
            sequence: self.published,
        };
        let document = self.settings.to_string();
        let record = Record::Publish(Publish {
            id,
            base_version,
            document,
        });
        let body = serde_json::to_value(entry::encode(&[record])?)?;
        let platform = self.platform.address;
        let answer = caller::send(platform, "POST", "/log/append", None, &[], Some(&body)).await?;
        let offset = answer.body["offset"].as_u64().unwrap_or_default();
        eyre::ensure!(offset > 0, "the log did not accept the settings");
        Ok(Position::new(offset, 0).as_u64())
    }

    async fn wait_until_ready(&self) -> eyre::Result<()> {
        for host in &self.hosts {
            wait_for("host is ready", || async {
                for address in [host.coordinator_address, host.operator_address] {
                    let answer = caller::send(address, "GET", "/ready", None, &[], None).await;
                    if !answer.is_ok_and(|answer| answer.status == 200) {
                        return false;
                    }
                }
                true
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until all hosts have a version of the settings in force.
    ///
    /// # Errors
    /// Fails when a host does not get there.
    pub async fn wait_for_version(&self, version: u64) -> eyre::Result<()> {
        for host in &self.hosts {
            wait_for("the version is in force", || async {
                let name = "berylknot_gateway_configuration_version";
                let found = caller::metric(host.operator_address, name, "").await;
                found.is_ok_and(|found| found as u64 >= version)
            })
            .await?;
        }
        Ok(())
    }

    /// Requests that run at all engines.
    ///
    /// # Errors
    /// Fails when an engine does not answer.
    pub async fn running(&self) -> eyre::Result<u64> {
        let mut running = 0;
        for engine in self.prefills.iter().chain(&self.decodes) {
            running += caller::get(engine.address, "/stats").await?["running"]
                .as_u64()
                .unwrap_or(0);
        }
        Ok(running)
    }
}

/// Waits until a condition holds, at most for [`PATIENCE`].
///
/// # Errors
/// Fails when the condition does not come about.
pub async fn wait_for<F, C>(what: &str, mut condition: F) -> eyre::Result<()>
where
    F: FnMut() -> C,
    C: Future<Output = bool>,
{
    const INTERVAL: Duration = Duration::from_millis(20);
    let started = Instant::now();
    while !condition().await {
        eyre::ensure!(
            started.elapsed() < PATIENCE,
            "{what}: not within {PATIENCE:?}"
        );
        actix_rt::time::sleep(INTERVAL).await;
    }
    Ok(())
}

/// Name and addresses of a host that is about to start.
#[derive(Debug)]
struct Place {
    name: String,
    coordinator: SocketAddr,
    callers: SocketAddr,
    operator: SocketAddr,
}

impl Place {
    fn reserve(name: &str) -> eyre::Result<Self> {
        let (coordinator, callers, operator) = (free_address()?, free_address()?, free_address()?);
        Ok(Self {
            name: name.to_owned(),
            coordinator,
            callers,
            operator,
        })
    }
}

async fn list_hosts(platform: SocketAddr, places: &[Place]) -> eyre::Result<()> {
    let mut list = HostList { hosts: Vec::new() };
    for place in places {
        list.hosts.push(ListedHost {
            name: place.name.clone(),
            address: place.coordinator.to_string(),
            state: HostState::Live,
        });
    }
    caller::put(platform, "/hosts", &list).await
}

fn start_host(
    folder: &Path,
    place: Place,
    names: &[String],
    platform: &Standin,
    lease_ms: u64,
) -> eyre::Result<Host> {
    let Place {
        name,
        coordinator,
        callers,
        operator,
    } = place;
    let file = |name: &str| folder.join(name).display().to_string();
    let settings = json!({
        "host": name,
        "data_centre": "rosario",
        "listen": coordinator.to_string(),
        "secret_file": file("secret"),
        "configured_hosts": names,
        "platform": {
            "url": format!("http://{}", platform.address),
            "poll_ms": 50,
            // A snapshot is due each second, so that tests need not wait for one.
            "retention_ms": 4_000,
        },
        // Shorter than in production, so that a deployment is ready within seconds.
        "lease": { "shard_ms": lease_ms, "renew_ms": 700 },
    });
    std::fs::write(
        folder.join(format!("{name}-coordinator.json")),
        settings.to_string(),
    )?;
    let settings = json!({
        "host": name,
        "listen": callers.to_string(),
        "operator_listen": operator.to_string(),
        "coordinator": coordinator.to_string(),
        "secret_file": file("secret"),
        "pepper_file": file("pepper"),
    });
    std::fs::write(
        folder.join(format!("{name}-gateway.json")),
        settings.to_string(),
    )?;
    Ok(Host {
        coordinator: start_daemon(folder, &name, "coordinator")?,
        gateway: start_daemon(folder, &name, "gateway")?,
        name,
        coordinator_address: coordinator,
        address: callers,
        operator_address: operator,
        folder: folder.to_owned(),
    })
}

fn start_daemon(folder: &Path, host: &str, daemon: &str) -> eyre::Result<Process> {
    let name = format!("{host}-{daemon}");
    let settings = folder.join(format!("{name}.json")).display().to_string();
    Process::start(
        folder,
        &name,
        &format!("berylknot-{daemon}"),
        &["--settings", &settings],
    )
}

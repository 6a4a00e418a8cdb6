//! Complete deployment on loopback: platform, engines, services and entry hosts.

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

/// Timeout of [`wait_for`].
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// API key of the customer `breeder` in the initial settings.
pub const KEY: &str = "bk-demo-key-of-a-breeder";

/// API key of the customer `breeder` that the initial settings mark as withdrawn.
pub const WITHDRAWN_KEY: &str = "bk-demo-key-withdrawn";

/// Pepper for the API key hashes.
pub const PEPPER: &[u8] = b"pepper for tests";
const SECRET: &[u8] = b"secret for tests";

/// Sizes of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of prefill engines.
    pub prefills: usize,
    /// Number of decode engines.
    pub decodes: usize,
    /// Number of servers of the plain service `counter`.
    pub services: usize,
    /// Lifetime of a shard lease in milliseconds.
    pub lease_ms: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            hosts: 3,
            prefills: 2,
            decodes: 2,
            services: 2,
            // Shorter than in production, so that other hosts take over a failed host's shards within
            // seconds.
            lease_ms: 3_000,
        }
    }
}

/// Running stand-in.
#[derive(Debug)]
pub struct Standin {
    /// Child process, killed on drop.
    pub process: Process,
    /// Address that the stand-in listens on.
    pub address: SocketAddr,
}

/// Entry host with its two daemons.
#[derive(Debug)]
pub struct Host {
    /// Host name in the settings and in log records.
    pub name: String,
    /// Control plane daemon.
    pub coordinator: Process,
    /// Data plane daemon.
    pub gateway: Process,
    /// Address of the coordinator, which also serves its status and metrics.
    pub coordinator_address: SocketAddr,
    /// Address at which the gateway serves callers.
    pub address: SocketAddr,
    /// Address at which the gateway serves readiness and metrics to the operator.
    pub operator_address: SocketAddr,
    folder: PathBuf,
}

impl Host {
    /// Sets a section of the gateway's settings file; takes effect at the next start.
    ///
    /// # Errors
    /// Fails when the settings file cannot be read or written.
    pub fn set_gateway(&self, section: &str, value: Value) -> eyre::Result<()> {
        let path = self.folder.join(format!("{}-gateway.json", self.name));
        let mut settings: Value = serde_json::from_slice(&std::fs::read(&path)?)?;
        settings[section] = value;
        Ok(std::fs::write(path, settings.to_string())?)
    }

    /// Starts a new gateway process on the same addresses; kills the previous one if it still runs.
    ///
    /// # Errors
    /// Fails when the process cannot be started.
    pub fn restart_gateway(&mut self) -> eyre::Result<()> {
        self.gateway = start_daemon(&self.folder, &self.name, "gateway")?;
        Ok(())
    }

    /// Starts a second gateway on the same addresses and returns the first, which goes on running.
    ///
    /// # Errors
    /// Fails when the process cannot be started.
    pub fn start_second_gateway(&mut self) -> eyre::Result<Process> {
        let second = start_daemon(&self.folder, &self.name, "gateway")?;
        Ok(std::mem::replace(&mut self.gateway, second))
    }

    /// Starts a new coordinator process on the same address, after the previous one has exited.
    ///
    /// # Errors
    /// Fails when the process cannot be started.
    pub fn restart_coordinator(&mut self) -> eyre::Result<()> {
        self.coordinator = start_daemon(&self.folder, &self.name, "coordinator")?;
        Ok(())
    }
}

/// Running deployment; all its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// Platform with the shared log, the host list and the weight store.
    pub platform: Standin,
    /// Engines that start in the prefill pool.
    pub prefills: Vec<Standin>,
    /// Engines that start in the decode pool.
    pub decodes: Vec<Standin>,
    /// Servers of the plain service `counter`.
    pub services: Vec<Standin>,
    /// Entry hosts, named `host-0`, `host-1` and so on.
    pub hosts: Vec<Host>,
    /// Fleet settings; changes take effect with the next [`Self::publish`].
    pub settings: Value,
    publish_count: u64,
    folder: tempfile::TempDir,
}

impl Deployment {
    /// Starts all processes, publishes the settings and waits until all hosts are ready.
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
        let start_all = |kind: &str, count: usize| {
            (0..count)
                .map(|index| start(kind, index))
                .collect::<eyre::Result<Vec<_>>>()
        };
        let platform = start("platform", 0)?;
        let prefills = start_all("prefill", plan.prefills)?;
        let decodes = start_all("decode", plan.decodes)?;
        let services = start_all("counter", plan.services)?;
        std::fs::write(folder.path().join("pepper"), PEPPER)?;
        std::fs::write(folder.path().join("secret"), SECRET)?;
        let names: Vec<String> = (0..plan.hosts)
            .map(|index| format!("host-{index}"))
            .collect();
        let mut reservations = Vec::new();
        for name in &names {
            reservations.push(Reservation::reserve(name)?);
        }
        list_hosts(platform.address, &reservations).await?;
        let mut hosts = Vec::new();
        for reservation in reservations {
            hosts.push(start_host(
                folder.path(),
                reservation,
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
            publish_count: 0,
            folder,
        };
        deployment.settings = deployment.initial_settings();
        deployment.publish().await?;
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Temporary folder with the log and settings files of all processes.
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

    /// Replica built from all entries of the platform log.
    ///
    /// # Errors
    /// Fails when the log cannot be read or contains an invalid entry.
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

    /// Publishes [`Self::settings`] and returns the version that they get when accepted.
    ///
    /// # Errors
    /// Fails when the platform log does not store the record.
    pub async fn publish(&mut self) -> eyre::Result<u64> {
        let base_version = self.replica().await?.configuration().version();
        self.publish_count += 1;
        let id = Id {
            incarnation: Incarnation(1),
            sequence: self.publish_count,
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
        eyre::ensure!(
            offset > 0,
            "the platform log did not store the settings record"
        );
        Ok(Position::new(offset, 0).as_u64())
    }

    async fn wait_until_ready(&self) -> eyre::Result<()> {
        for host in &self.hosts {
            wait_for("the host is ready", || async {
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

    /// Waits until the gateways of all hosts apply at least this version of the settings.
    ///
    /// # Errors
    /// Fails when a gateway does not apply the version in time.
    pub async fn wait_for_version(&self, version: u64) -> eyre::Result<()> {
        for host in &self.hosts {
            wait_for("the gateway applies the settings version", || async {
                let name = "berylknot_gateway_configuration_version";
                let found = caller::metric(host.operator_address, name, "").await;
                found.is_ok_and(|found| found as u64 >= version)
            })
            .await?;
        }
        Ok(())
    }

    /// Number of requests that occupy a slot, over all engines.
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

/// Polls a condition until it holds, for at most [`WAIT_TIMEOUT`]; `what` names it in the error.
///
/// # Errors
/// Fails when the timeout expires first.
pub async fn wait_for<F, C>(what: &str, mut condition: F) -> eyre::Result<()>
where
    F: FnMut() -> C,
    C: Future<Output = bool>,
{
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    let started = Instant::now();
    while !condition().await {
        eyre::ensure!(
            started.elapsed() < WAIT_TIMEOUT,
            "{what}: condition not met within {WAIT_TIMEOUT:?}"
        );
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Name and reserved addresses of a host that is about to start.
#[derive(Debug)]
struct Reservation {
    name: String,
    coordinator: SocketAddr,
    callers: SocketAddr,
    operator: SocketAddr,
}

impl Reservation {
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

async fn list_hosts(platform: SocketAddr, reservations: &[Reservation]) -> eyre::Result<()> {
    let mut list = HostList { hosts: Vec::new() };
    for reservation in reservations {
        list.hosts.push(ListedHost {
            name: reservation.name.clone(),
            address: reservation.coordinator.to_string(),
            state: HostState::Live,
        });
    }
    caller::put(platform, "/hosts", &list).await
}

fn start_host(
    folder: &Path,
    reservation: Reservation,
    names: &[String],
    platform: &Standin,
    lease_ms: u64,
) -> eyre::Result<Host> {
    let Reservation {
        name,
        coordinator,
        callers,
        operator,
    } = reservation;
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
            // Short, so that hosts write a snapshot each second and tests need not wait for one.
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

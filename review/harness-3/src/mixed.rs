//! ORDER: streams of a service with two software versions, whose leader freezes while they begin, and whose host
//! is killed later.

use std::error::Error;
use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::client::{self, Outcome, Request};
use crate::daemon::{Daemon, Site, free_ports};
use crate::engine::{Engine, Framing, Kind};
use crate::record::Record;
use crate::store::Store;
use crate::{Result, Trouble, wait_until};

const HOSTS: [(Ipv4Addr, &str); 3] = [
    (Ipv4Addr::new(127, 91, 0, 1), "cordoba-a"),
    (Ipv4Addr::new(127, 91, 0, 2), "rosario-b"),
    (Ipv4Addr::new(127, 91, 0, 3), "santafe-c"),
];
const PLATFORM: Ipv4Addr = Ipv4Addr::new(127, 91, 0, 9);
const SERVERS: Ipv4Addr = Ipv4Addr::new(127, 91, 1, 1);
const ZONES: [&str; 3] = ["cordoba-a", "rosario-b", "santafe-c"];
/// Streams that begin, and the time between them: the sheet's rate in a burst.
const STREAMS: usize = 10;
const INTERVAL: Duration = Duration::from_millis(40);
/// Length of the freeze.
const FREEZE: Duration = Duration::from_millis(1_000);
/// Time from the first stream to the kill of their host.
const KILL_AFTER: Duration = Duration::from_millis(3_000);
const PAUSE_STEP: Duration = Duration::from_millis(330);
/// How often a freeze and a kill come, at most.
const ROUNDS: usize = 6;
/// Largest number of streams that may hold events of two versions.
const MOST_MIXED: usize = 2;

pub const CONFIGURATION: &str = r#"{"version":3,"routes":[
{"name":"review","host":"registro.example","pathPrefix":"/lector/","kind":"streaming","timeoutMs":14000,"targetLatencyMs":900,"priority":1,"service":"lector","maxAttempts":2,"resumable":true,"sticky":true,"gapTargetMs":300}],
"services":[{"name":"lector","maxConnections":150,"engine":{"slots":12,"kvCapacity":71518,"stride":1,"kvHoldS":0.8,"roleSwitchS":6.0}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"vivero","apiKeys":["key1"],"plainTokens":200,"ratePerS":0,"burst":0}]}"#;

pub fn run(record: &Arc<Record>, trouble: Trouble) -> Result {
    crate::in_folder("mixed", |folder| play(record, trouble, folder))
}

fn play(record: &Arc<Record>, trouble: Trouble, folder: &Path) -> Result {
    let store = Store::start(PLATFORM)?;
    store.put("keyed.op", "config", CONFIGURATION);
    let mut engines = Vec::new();
    for index in 0..8 {
        let kind = Kind {
            id: format!("i-{index}{index}f3a9"),
            service: "lector",
            zone: ZONES[index % 3],
            version: if index % 2 == 0 { "v1" } else { "v2" },
            stage: Some(if index < 2 { "prefill" } else { "decode" }),
        };
        engines.push(Engine::start(
            kind,
            Framing::default(),
            SERVERS,
            &store,
            record,
        )?);
    }
    let site = Site {
        hosts: &HOSTS,
        ports: free_ports(&HOSTS)?,
        store: store.address,
        folder,
    };
    let leader = site.start(0, true)?;
    let second = site.start(1, true)?;
    let mut third = site.start(2, true)?;
    let mut mixed = 0;
    for round in 0..ROUNDS {
        let hosts = [&leader, &second, &third];
        wait_until("the hosts", Duration::from_secs(15), || {
            hosts.iter().all(|host| host.is_ready())
        })?;
        // Traffic starts some seconds after the hosts, and a restarted host is in touch after 3 s.
        // The pause differs, so that the leader is in another part of its cycle of reads.
        let pause = Duration::from_secs(if round == 0 { 8 } else { 4 });
        thread::sleep(pause + PAUSE_STEP * round as u32);
        let freezes = (trouble == Trouble::All).then_some(&leader);
        let clients = begin_streams(record, round, freezes, &third, &second)?;
        if trouble == Trouble::None {
            mixed += count_mixed(record, clients);
            continue;
        }
        record.note(format!("{} is killed", third.name));
        drop(third);
        mixed += count_mixed(record, clients);
        if mixed > MOST_MIXED {
            return Ok(false);
        }
        third = site.start(2, false)?;
    }
    Ok(true)
}

/// Begins streams at a host, while the leader freezes and wakes.
fn begin_streams(
    record: &Arc<Record>,
    round: usize,
    freezes: Option<&Daemon>,
    host: &Daemon,
    other: &Daemon,
) -> std::result::Result<Vec<JoinHandle<Outcome>>, Box<dyn Error>> {
    let warm_up = Request {
        id: format!("{round:x}0000000000000a"),
        key: "key1",
        hosts: vec![host.frontend, other.frontend],
        output: 20,
    };
    if !client::run(&warm_up, record).is_complete {
        return Err("a stream in calm was not served".into());
    }
    if let Some(leader) = freezes {
        record.note(format!("{} freezes", leader.name));
        leader.signal("-STOP")?;
    }
    let clients = (0..STREAMS)
        .map(|index| {
            let request = Request {
                id: format!("{round:x}c41d07be2a3{index:03x}"),
                output: 100,
                ..warm_up.clone()
            };
            let record = Arc::clone(record);
            let client = thread::spawn(move || client::run(&request, &record));
            thread::sleep(INTERVAL);
            client
        })
        .collect();
    thread::sleep(FREEZE.saturating_sub(INTERVAL * STREAMS as u32));
    if let Some(leader) = freezes {
        leader.signal("-CONT")?;
        record.note(format!("{} wakes", leader.name));
    }
    thread::sleep(KILL_AFTER - FREEZE);
    Ok(clients)
}

/// Waits for the clients; the number of streams that hold events of two versions.
fn count_mixed(record: &Record, clients: Vec<JoinHandle<Outcome>>) -> usize {
    let outcomes = clients
        .into_iter()
        .map(|client| client.join().unwrap_or_default());
    let outcomes: Vec<Outcome> = outcomes.collect();
    let mixed = outcomes.iter().filter(|outcome| outcome.versions.len() > 1);
    let mixed = mixed.count();
    let complete = outcomes.iter().filter(|outcome| outcome.is_complete);
    record.note(format!(
        "{mixed} of {STREAMS} streams hold events of two versions; {} are complete",
        complete.count()
    ));
    mixed
}

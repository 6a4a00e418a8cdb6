//! ORDER: streams without a length, of which some servers break a few off between two events, while the retry budget
//! is used up.

use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Request};
use crate::daemon::{Site, free_ports};
use crate::engine::{Engine, Framing, Kind};
use crate::record::Record;
use crate::store::Store;
use crate::{Result, Trouble, wait_until};

const HOSTS: [(Ipv4Addr, &str); 3] = [
    (Ipv4Addr::new(127, 93, 0, 1), "cordoba-a"),
    (Ipv4Addr::new(127, 93, 0, 2), "rosario-b"),
    (Ipv4Addr::new(127, 93, 0, 3), "santafe-c"),
];
const PLATFORM: Ipv4Addr = Ipv4Addr::new(127, 93, 0, 9);
const SERVERS: Ipv4Addr = Ipv4Addr::new(127, 93, 1, 1);
/// Time between two streams: twice the sheet's rate.
const INTERVAL: Duration = Duration::from_millis(50);
const EVENTS: u64 = 40;
/// Time before the first breaks, length of a time with breaks, and time between the beginnings of two.
const CALM: Duration = Duration::from_secs(12);
const BREAKS: Duration = Duration::from_secs(5);
const PERIOD: Duration = Duration::from_secs(10);
const LENGTH: Duration = Duration::from_secs(62);

pub fn run(record: &Arc<Record>, trouble: Trouble) -> Result {
    crate::in_folder("unproven", |folder| play(record, trouble, folder))
}

fn play(record: &Arc<Record>, trouble: Trouble, folder: &Path) -> Result {
    let store = Store::start(PLATFORM)?;
    store.put("keyed.op", "config", crate::mixed::CONFIGURATION);
    let mut engines = Vec::new();
    for index in 0..8 {
        let kind = Kind {
            id: format!("i-{index}{index}f3a9"),
            service: "lector",
            zone: HOSTS[index % 3].1,
            version: "v1",
            stage: Some(if index < 2 { "prefill" } else { "decode" }),
        };
        engines.push(Engine::start(
            kind,
            Framing::open(),
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
    let hosts = [
        site.start(0, true)?,
        site.start(1, true)?,
        site.start(2, true)?,
    ];
    wait_until("the hosts", Duration::from_secs(15), || {
        hosts.iter().all(|host| host.is_ready())
    })?;
    thread::sleep(Duration::from_secs(5));
    let started = Instant::now();
    let mut clients = Vec::new();
    for number in 0.. {
        let elapsed = started.elapsed();
        if elapsed >= LENGTH {
            break;
        }
        // Half of the decode engines are faulty.
        let is_due =
            elapsed >= CALM && elapsed.as_millis() % PERIOD.as_millis() < BREAKS.as_millis();
        for engine in &engines[5..] {
            let breaks = is_due && trouble == Trouble::All;
            engine.framing.breaks.store(breaks, Ordering::SeqCst);
        }
        let request = Request {
            id: format!("5c41d07be2{number:05x}"),
            key: "key1",
            hosts: (0..2)
                .map(|next| hosts[(number + next) % 3].frontend)
                .collect(),
            output: EVENTS,
        };
        let record = Arc::clone(record);
        clients.push(thread::spawn(move || client::run(&request, &record)));
        thread::sleep(INTERVAL);
    }
    let count = clients.len();
    let (mut whole, mut short) = (0, 0);
    for client in clients {
        let outcome = client.join().unwrap_or_default();
        whole += usize::from(outcome.is_complete && outcome.last == EVENTS);
        short += usize::from(outcome.is_complete && outcome.last < EVENTS);
    }
    record.note(format!(
        "{short} of {count} streams end as complete before their last event; {whole} are whole"
    ));
    Ok(short == 0)
}

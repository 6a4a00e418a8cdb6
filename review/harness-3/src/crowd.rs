//! RECOVER: a crowd of clients that nobody controls send chunked bodies in very small chunks, stop just short of the end
//! and stay open. They take all connections, so that ordinary callers get no answer.

use std::error::Error;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::{Daemon, Site, free_ports};
use crate::engine::{Engine, Framing, Kind};
use crate::http::Head;
use crate::record::Record;
use crate::store::Store;
use crate::{Result, Trouble, wait_until};

const HOSTS: [(Ipv4Addr, &str); 1] = [(Ipv4Addr::new(127, 92, 0, 1), "cordoba-a")];
const PLATFORM: Ipv4Addr = Ipv4Addr::new(127, 92, 0, 9);
const SERVERS: Ipv4Addr = Ipv4Addr::new(127, 92, 1, 1);
/// Clients of the crowd.
const CROWD: usize = 700;
/// Bytes of a body, in chunks of one byte.
const BODY_BYTES: usize = 16_383;
/// Length of the crowd's stay.
const STAY: Duration = Duration::from_secs(25);
const STACK_BYTES: usize = 64 * 1_024;
/// Time without a new channel that breaks the rule (`stableWindowMs`), and the clients that try meanwhile. Each ordinary
/// call is made by another client.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
const TRIES: usize = 7;
/// A channel that is open for so long was taken, whoever opened it.
const KEPT: Duration = Duration::from_millis(1_000);

/// What clients and the platform have seen, by the time of each.
#[derive(Default)]
struct Seen {
    /// Openings of channels that the host took, those of the crowd too.
    taken: Mutex<Vec<Instant>>,
    /// Ordinary calls.
    tries: Mutex<Vec<Instant>>,
    /// Answers of the host that it is not ready.
    not_ready: Mutex<Vec<Instant>>,
}

/// Adds a time, also after another thread has failed.
fn add(times: &Mutex<Vec<Instant>>, time: Instant) {
    times
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(time);
}

impl Seen {
    /// Longest time in which the host took no channel, though enough clients tried and it said that it was ready.
    fn longest(&self, start: Instant, end: Instant) -> Duration {
        let list = |times: &Mutex<Vec<Instant>>| {
            let times = times.lock().unwrap_or_else(PoisonError::into_inner);
            times.clone()
        };
        let mut breaks = [list(&self.taken), list(&self.not_ready), vec![start, end]].concat();
        breaks.retain(|time| (start..=end).contains(time));
        breaks.sort();
        let tries = list(&self.tries);
        let enough = |from: Instant, to: Instant| {
            tries
                .iter()
                .filter(|time| (from..to).contains(time))
                .count()
                >= TRIES
        };
        let gaps = breaks.windows(2).filter(|pair| enough(pair[0], pair[1]));
        gaps.map(|pair| pair[1] - pair[0]).max().unwrap_or_default()
    }
}

const CONFIGURATION: &str = r#"{"version":3,"routes":[
{"name":"reserve","host":"registro.example","pathPrefix":"/reserve/","kind":"non_idempotent","timeoutMs":1000,"targetLatencyMs":100,"priority":2,"service":"mostrador","maxAttempts":1}],
"services":[{"name":"mostrador","maxConnections":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"vivero","apiKeys":["key1"],"plainTokens":200,"ratePerS":0,"burst":0}]}"#;

/// Whether a host that says it is ready takes channels.
pub fn room(record: &Arc<Record>, trouble: Trouble) -> Result {
    let play = |folder: &Path| play(record, trouble, folder);
    crate::in_folder("room", |folder| Ok(play(folder)? < STABLE_WINDOW))
}

fn play(
    record: &Arc<Record>,
    trouble: Trouble,
    folder: &Path,
) -> std::result::Result<Duration, Box<dyn Error>> {
    let store = Store::start(PLATFORM)?;
    store.put("keyed.op", "config", CONFIGURATION);
    for index in 0..2 {
        let kind = Kind {
            id: format!("i-{index}{index}f3a9"),
            service: "mostrador",
            zone: "cordoba-a",
            version: "v1",
            stage: None,
        };
        Engine::start(kind, Framing::default(), SERVERS, &store, record)?;
    }
    let site = Site {
        hosts: &HOSTS,
        ports: free_ports(&HOSTS)?,
        store: store.address,
        folder,
    };
    let host = site.start(0, true)?;
    wait_until("the host", Duration::from_secs(15), || host.is_ready())?;
    thread::sleep(Duration::from_secs(3));
    let (ends, seen) = (Arc::new(AtomicBool::new(false)), Arc::new(Seen::default()));
    let mut clients = Vec::new();
    if trouble == Trouble::All {
        record.note(format!("{CROWD} clients come"));
        for number in 0..CROWD {
            let (frontend, ends, seen) = (host.frontend, Arc::clone(&ends), Arc::clone(&seen));
            let client = thread::Builder::new().stack_size(STACK_BYTES);
            clients.push(client.spawn(move || stay(frontend, number, &ends, &seen))?);
        }
    }
    let started = Instant::now();
    watch(record, &host, &seen);
    let ended = Instant::now();
    ends.store(true, Ordering::SeqCst);
    for client in clients {
        // A client that failed has left before.
        let _ = client.join();
    }
    let longest = seen.longest(started, ended);
    record.note(format!(
        "longest time without a channel taken, of the crowd or an ordinary caller, while ready: {} ms",
        longest.as_millis()
    ));
    Ok(longest)
}

/// Makes ordinary calls beside the crowd, each on a new channel.
fn watch(record: &Record, host: &Daemon, seen: &Seen) {
    let started = Instant::now();
    let (mut asked, mut answered) = (0, 0);
    while started.elapsed() < STAY {
        asked += 1;
        let opened = Instant::now();
        add(&seen.tries, opened);
        let status = call(host.frontend, asked);
        record.note(format!("ordinary call {asked}: {status:?}"));
        if status.is_some() || opened.elapsed() >= KEPT {
            add(&seen.taken, opened);
        }
        answered += usize::from(status.is_some());
        if !host.is_ready() {
            record.note(format!("{} says that it is not ready", host.name));
            add(&seen.not_ready, Instant::now());
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.note(format!(
        "{answered} of {asked} ordinary calls got an answer"
    ));
}

/// Sends requests without their ends until the crowd leaves.
fn stay(host: SocketAddr, number: usize, ends: &AtomicBool, seen: &Seen) {
    let head = format!(
        "POST /reserve/x HTTP/1.1\r\nHost: registro.example\r\nRequest-Id: {number:016x}\r\nAuthorization: Bearer key1\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut text = head.into_bytes();
    text.extend_from_slice(&b"1\r\nz\r\n".repeat(BODY_BYTES));
    while !ends.load(Ordering::SeqCst) {
        let opened = Instant::now();
        let Ok(mut stream) = TcpStream::connect(host) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let timeout = Some(Duration::from_millis(200));
        let _ = stream.set_read_timeout(timeout);
        let _ = stream.set_write_timeout(Some(Duration::from_secs(2)));
        let mut is_open = stream.write_all(&text).is_ok();
        // Stays open until the host closes the connection.
        let mut buffer = [0; 512];
        while is_open && !ends.load(Ordering::SeqCst) {
            match stream.read(&mut buffer) {
                Ok(length) => is_open = length > 0,
                Err(error) => is_open = error.kind() == std::io::ErrorKind::WouldBlock,
            }
        }
        if is_open || opened.elapsed() >= KEPT {
            add(&seen.taken, opened);
        }
    }
}

/// Status of an ordinary call.
fn call(host: SocketAddr, number: usize) -> Option<u16> {
    let mut stream = TcpStream::connect(host).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let text = format!(
        "POST /reserve/y HTTP/1.1\r\nHost: registro.example\r\nRequest-Id: {:016x}\r\nDeadline-Ms: 1000\r\nAuthorization: Bearer key1\r\nContent-Length: 2\r\n\r\nxy",
        0xa000 + number
    );
    stream.write_all(text.as_bytes()).ok()?;
    let head = Head::read(&mut std::io::BufReader::new(stream))?;
    Some(head.status())
}

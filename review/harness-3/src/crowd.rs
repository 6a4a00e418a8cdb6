//! Fault: a crowd of clients that nobody controls sends chunked bodies in very small chunks, and some large bodies.
//! Each client stops just short of the end and stays open.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::{MEMORY_BYTES, Site, free_ports};
use crate::engine::{Engine, Kind};
use crate::http::Head;
use crate::record::Record;
use crate::store::Store;
use crate::{Result, Trouble, wait_until};

const HOSTS: [(Ipv4Addr, &str); 1] = [(Ipv4Addr::new(127, 92, 0, 1), "cordoba-a")];
const PLATFORM: Ipv4Addr = Ipv4Addr::new(127, 92, 0, 9);
const SERVERS: Ipv4Addr = Ipv4Addr::new(127, 92, 1, 1);
/// Clients of the crowd.
const CROWD: usize = 550;
/// Headers of the crowd's requests beside the usual ones; the whole head stays below `maxHeaderBytes`.
const HEADERS: usize = 90;
const HEADER_BYTES: usize = 160;
const MAX_HEAD_BYTES: usize = 16_384;
/// Bytes of a body, in chunks of one byte.
const BODY_BYTES: usize = 16_383;
/// One client in this many sends a body of the largest legal size instead, with a length.
const LARGE_BODIES: usize = 12;
const LARGE_BYTES: usize = 4_194_304;
/// Length of the crowd's stay.
const STAY: Duration = Duration::from_secs(25);
const STACK_BYTES: usize = 64 * 1_024;

const CONFIGURATION: &str = r#"{"version":3,"routes":[
{"name":"reserve","host":"registro.example","pathPrefix":"/reserve/","kind":"non_idempotent","timeoutMs":1000,"targetLatencyMs":100,"priority":2,"service":"mostrador","maxAttempts":1}],
"services":[{"name":"mostrador","maxConnections":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"vivero","apiKeys":["key1"],"plainTokens":200,"ratePerS":0,"burst":0}]}"#;

pub fn run(record: &Arc<Record>, trouble: Trouble) -> Result {
    crate::in_folder("crowd", |folder| play(record, trouble, folder))
}

fn play(record: &Arc<Record>, trouble: Trouble, folder: &Path) -> Result {
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
        Engine::start(kind, SERVERS, &store, record)?;
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
    let ends = Arc::new(AtomicBool::new(false));
    let mut crowd = Vec::new();
    if trouble == Trouble::All {
        record.note(format!(
            "{CROWD} clients come, with heads of {} bytes",
            head(0, "").len()
        ));
        for number in 0..CROWD {
            let (frontend, ends) = (host.frontend, Arc::clone(&ends));
            let client = thread::Builder::new().stack_size(STACK_BYTES);
            crowd.push(client.spawn(move || stay(frontend, number, &ends))?);
        }
    }
    let until = Instant::now() + STAY;
    let (mut most, mut answered, mut asked) = (0, 0, 0);
    while Instant::now() < until {
        let used = host.own_memory()?;
        if used > most {
            most = used;
            record.note(format!("{} uses {used} bytes of memory", host.name));
        }
        asked += 1;
        answered += usize::from(call(host.frontend, asked).is_some_and(|status| status == 200));
        thread::sleep(Duration::from_millis(100));
    }
    ends.store(true, Ordering::SeqCst);
    for client in crowd {
        // A client that failed has left before.
        let _ = client.join();
    }
    record.note(format!(
        "the resident size of the process was up to {} bytes",
        host.peak_memory()?
    ));
    record.note(format!(
        "the machine has {MEMORY_BYTES} bytes of memory; the process used up to {most} of its own, without code, files and socket buffers"
    ));
    record.note(format!(
        "{answered} of {asked} ordinary calls got an answer"
    ));
    Ok(most <= MEMORY_BYTES)
}

/// Head of a request of the crowd.
fn head(number: usize, framing: &str) -> String {
    let value = "v".repeat(HEADER_BYTES);
    let headers: String = (0..HEADERS)
        .map(|header| format!("h{header:02}: {value}\r\n"))
        .collect();
    let head = format!(
        "POST /reserve/x HTTP/1.1\r\nHost: registro.example\r\nRequest-Id: {number:016x}\r\nAuthorization: Bearer key1\r\n{headers}{framing}\r\n\r\n"
    );
    assert!(head.len() < MAX_HEAD_BYTES, "the head is legal");
    head
}

/// Sends requests without their ends until the crowd leaves.
fn stay(host: SocketAddr, number: usize, ends: &AtomicBool) {
    let text = if number.is_multiple_of(LARGE_BODIES) {
        let framing = format!("Content-Length: {LARGE_BYTES}");
        let mut text = head(number, &framing).into_bytes();
        text.resize(text.len() + LARGE_BYTES - 1, b'z');
        text
    } else {
        let mut text = head(number, "Transfer-Encoding: chunked").into_bytes();
        text.extend_from_slice(&b"1\r\nz\r\n".repeat(BODY_BYTES));
        text
    };
    while !ends.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(host) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let timeout = Some(Duration::from_millis(200));
        let _ = stream.set_read_timeout(timeout);
        let _ = stream.set_write_timeout(Some(Duration::from_secs(2)));
        if stream.write_all(&text).is_err() {
            continue;
        }
        // Stays open until the host closes the connection.
        let mut buffer = [0; 512];
        while !ends.load(Ordering::SeqCst) {
            match stream.read(&mut buffer) {
                Ok(0) => break,
                Ok(_) => {}
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
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

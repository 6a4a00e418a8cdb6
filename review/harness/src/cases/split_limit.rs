//! While the leader is frozen, the other hosts together exceed the limit that a server states.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{Setup, Verdict, sleep_until};
use crate::client::Request;
use crate::http::Connection;
use crate::server::Properties;

const HOSTS: u8 = 7;
/// Requests a second that the server takes from all hosts together.
const LIMIT: f64 = 1.0;
/// Clients at each host, and the pause of each between two requests.
const CLIENTS: u8 = 8;
const PAUSE: Duration = Duration::from_millis(250);
/// Time from the first request to the freeze, and to the end.
const FREEZE_AT: Duration = Duration::from_secs(25);
const FREEZE: Duration = Duration::from_millis(3_500);
const END_AT: Duration = Duration::from_secs(34);
/// `stableWindowMs`, and the window and the excess of the rule.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
const FACTOR: f64 = 1.5;
const EXCESS: f64 = 5.0;
const NOTICE: Duration = Duration::from_millis(500);

/// First times at which each host had passed on an answer with the limit.
type Noticed = Arc<Mutex<Vec<Option<Instant>>>>;

fn visit(host: u8, client: u8, address: std::net::SocketAddr, end: Instant, noticed: &Noticed) {
    let mut connection = None;
    let mut number = 0_u64;
    while Instant::now() < end {
        thread::sleep(PAUSE);
        number += 1;
        let request = Request {
            method: "GET",
            path: "/lookup/2f",
            // The first two digits tell the host.
            id: format!("{host:02x}{client:02x}{number:012x}"),
            deadline_ms: 1_000,
            headers: String::new(),
        };
        let mut open = connection
            .take()
            .or_else(|| Connection::open(address, Duration::from_secs(1)));
        let answer = open.as_mut().and_then(|open| {
            open.send(&request.bytes());
            open.read()
        });
        let Some(answer) = answer else {
            continue;
        };
        if answer.head.header("server-limit").is_some() {
            let mut noticed = noticed.lock().expect("no writer panics");
            noticed[usize::from(host)].get_or_insert(Instant::now());
        }
        if answer.head.header("connection") != Some("close") {
            connection = open;
        }
    }
}

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let server = setup.server(Properties {
        limit: Some(LIMIT),
        ..Properties::service("i-counter-1", "counter")
    });
    let daemons = setup.daemons(HOSTS);
    let start = Instant::now();
    let noticed: Noticed = Arc::new(Mutex::new(vec![None; usize::from(HOSTS) + 1]));
    let mut clients = Vec::new();
    for host in 1..=HOSTS {
        for client in 0..CLIENTS {
            let address = daemons[usize::from(host) - 1].callers;
            let noticed = Arc::clone(&noticed);
            clients.push(thread::spawn(move || {
                // The clients of a host are spread over the pause.
                thread::sleep(PAUSE * u32::from(client) / u32::from(CLIENTS));
                visit(host, client, address, start + END_AT, &noticed);
            }));
        }
    }
    sleep_until(start, FREEZE_AT);
    if setup.has_trouble {
        record.line(&format!("{} is frozen", daemons[0].name));
        daemons[0].signal("STOP");
        thread::sleep(FREEZE);
        daemons[0].signal("CONT");
        record.line(&format!("{} goes on", daemons[0].name));
    }
    for client in clients {
        if client.join().is_err() {
            return Verdict::NotRun("a client panicked".to_owned());
        }
    }
    let noticed = noticed.lock().expect("no writer panics").clone();
    let arrivals = server.arrivals();
    let Some(first) = arrivals.first() else {
        return Verdict::NotRun("no request reached the server".to_owned());
    };
    let begin = first.at + STABLE_WINDOW;
    // The freeze excuses the first host in any case.
    let counted: Vec<Instant> = arrivals
        .iter()
        .filter(|arrival| {
            let host = u8::from_str_radix(&arrival.id[..2], 16).unwrap_or(0);
            let knows = noticed[usize::from(host)];
            let knows = knows.is_some_and(|at| at + NOTICE <= arrival.at);
            host != 1 && knows && arrival.at >= begin
        })
        .map(|arrival| arrival.at)
        .collect();
    let allowed = FACTOR * LIMIT * WINDOW.as_secs_f64() + EXCESS;
    let in_window = |from: &Instant| {
        counted
            .iter()
            .filter(|at| *at >= from && **at < *from + WINDOW)
            .count()
    };
    let most = counted.iter().max_by_key(|from| in_window(from));
    let Some(from) = most else {
        return Verdict::NotRun("no host knew the limit".to_owned());
    };
    let (count, at) = (in_window(from), from.duration_since(start).as_secs_f64());
    let hosts = noticed.iter().flatten().count();
    let text = format!(
        "{count} requests in the 4 s from {at:.2} s on, {allowed} allowed; {hosts} hosts had passed on the limit"
    );
    if count as f64 > allowed {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}

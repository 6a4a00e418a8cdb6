//! With 790 customers the reports between hosts exceed what a host receives: each host then enforces the
//! customers' limits alone.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{Setup, Verdict, sleep_until};
use crate::client::{Request, stream_with};
use crate::http::Connection;
use crate::server::{Properties, Server};

const HOSTS: u8 = 3;
/// Customers in steady use, of the size to design for.
const CUSTOMERS: usize = 790;
/// Limit of each customer in tokens per second, and its burst.
const RATE: u64 = 30_000;
const BURST: u64 = 30_000;
/// Tokens of a generation, prompt and output together.
const TOKENS: (u64, u64) = (4_970, 30);
/// Usual load of the customer that later sends many times as much: its limit is 1.8 times that.
const QUOTA_OF_USUAL: f64 = 1.8;
/// Times its usual load that it sends.
const HOT: f64 = 7.5;
/// Time from the calls of all customers to the hot customer, and how long that lasts.
const HOT_AFTER: Duration = Duration::from_secs(24);
const HOT_TIME: Duration = Duration::from_secs(11);
/// Window, overshoot and slack of the rule.
const WINDOW: Duration = Duration::from_secs(8);
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 120_000.0;
/// The customer that becomes hot.
const HOT_CUSTOMER: usize = 17;

/// What the clients of the hot customer have sent.
#[derive(Debug, Default)]
struct Sent {
    at: HashMap<String, Instant>,
    /// Number of answers 429.
    refused: usize,
}

fn key(customer: usize) -> String {
    format!("key{customer:04}x3d3zji9n73")
}

/// The configuration with all customers instead of the only one.
fn configuration() -> String {
    let customers: Vec<String> = (0..CUSTOMERS)
        .map(|customer| {
            let key = key(customer);
            format!(
                r#"{{"name":"huka{customer:03}","apiKeys":["{key}"],"plainTokens":200,"ratePerS":{RATE},"burst":{BURST}}}"#
            )
        })
        .collect();
    let known = crate::client::CONFIGURATION.replace('\n', "");
    let (head, _) = known.split_once(r#""tenants":["#).unwrap_or((&known, ""));
    let head = head.replacen(r#""version":3"#, r#""version":4"#, 1);
    format!(r#"{head}"tenants":[{}]}}"#, customers.join(","))
}

/// Calls the plain service once for every customer.
fn call_for_all(host: u8, address: SocketAddr) -> usize {
    let mut connection = Connection::open(address, Duration::from_secs(1));
    let mut answered = 0;
    for customer in 0..CUSTOMERS {
        let request = Request {
            method: "GET",
            path: "/lookup/2f",
            id: format!("{host:02x}0000000a{customer:06x}"),
            deadline_ms: 1_000,
            headers: String::new(),
        };
        let bytes = request.bytes_with(&key(customer));
        let answer = connection.as_mut().and_then(|open| {
            open.send(&bytes);
            open.read()
        });
        match answer {
            Some(answer) => answered += usize::from(answer.head.status == 200),
            None => connection = Connection::open(address, Duration::from_secs(1)),
        }
    }
    answered
}

/// Sends generations of the hot customer to a host, `per_s` of them a second.
fn press(host: u8, address: SocketAddr, per_s: f64, end: Instant, sent: &Arc<Mutex<Sent>>) {
    let mut number = 0_u64;
    let start = Instant::now();
    let mut clients = Vec::new();
    while Instant::now() < end {
        let request = Request {
            method: "POST",
            path: "/review/2f",
            id: format!("{host:02x}0000000b{number:06x}"),
            deadline_ms: 14_000,
            headers: format!(
                "Model: m\r\nToken-Count: {},{}\r\nPrefix-Hash: 5c1e07a2:200,{host:x}{number:x}:4770\r\n",
                TOKENS.0, TOKENS.1
            ),
        };
        let outcome = Arc::clone(sent);
        let mut times = sent.lock().expect("no writer panics");
        times.at.insert(request.id.clone(), Instant::now());
        drop(times);
        clients.push(thread::spawn(move || {
            let streamed = stream_with(address, &request, &key(HOT_CUSTOMER));
            if streamed.head.is_some_and(|head| head.status == 429) {
                outcome.lock().expect("no writer panics").refused += 1;
            }
        }));
        number += 1;
        sleep_until(start, Duration::from_secs_f64(number as f64 / per_s));
    }
    for client in clients {
        // A client that panicked counts as one without an answer.
        let _ = client.join();
    }
}

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let servers: Vec<Server> = (1..=3)
        .map(|number| {
            setup.server(Properties::service(
                &format!("i-counter-{number}"),
                "counter",
            ))
        })
        .collect();
    let engines: Vec<Server> = [
        ("prefill", 1),
        ("prefill", 2),
        ("decode", 1),
        ("decode", 2),
        ("decode", 3),
    ]
    .map(|(stage, number)| {
        setup.server(Properties {
            work: Duration::from_millis(10),
            ..Properties::engine(&format!("i-{stage}-{number}"), stage, "v1")
        })
    })
    .into();
    setup.store.put("keyed.op", "config", &configuration());
    let daemons = setup.daemons(HOSTS);
    let addresses: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.callers).collect();
    let calls: Vec<_> = (1..=HOSTS)
        .map(|host| {
            let address = addresses[usize::from(host) - 1];
            thread::spawn(move || call_for_all(host, address))
        })
        .collect();
    for call in calls {
        let answered = call.join().unwrap_or(0);
        record.line(&format!(
            "{answered} of {CUSTOMERS} customers were answered at a host"
        ));
    }
    thread::sleep(HOT_AFTER);
    let usual = RATE as f64 / QUOTA_OF_USUAL;
    let load = usual * if setup.has_trouble { HOT } else { 1.0 };
    let per_s = load / (TOKENS.0 + TOKENS.1) as f64;
    record.line(&format!(
        "huka{HOT_CUSTOMER:03} sends {per_s:.1} generations a second"
    ));
    let sent: Arc<Mutex<Sent>> = Arc::default();
    let end = Instant::now() + HOT_TIME;
    let presses: Vec<_> = (1..=HOSTS)
        .map(|host| {
            let address = addresses[usize::from(host) - 1];
            let sent = Arc::clone(&sent);
            thread::spawn(move || press(host, address, per_s / f64::from(HOSTS), end, &sent))
        })
        .collect();
    for press in presses {
        if press.join().is_err() {
            return Verdict::NotRun("a client panicked".to_owned());
        }
    }
    let sent = sent.lock().expect("no writer panics");
    // Times at which each generation was sent and arrived at an engine that ran it.
    let runs: Vec<(Instant, Instant)> = engines
        .iter()
        .flat_map(Server::runs)
        .filter_map(|arrival| Some((*sent.at.get(&arrival.id)?, arrival.at)))
        .collect();
    let count = |from: Instant| {
        let inside = runs
            .iter()
            .filter(|(sent, arrived)| *sent >= from && *arrived < from + WINDOW);
        inside.count()
    };
    let most = runs.iter().map(|(from, _)| count(*from)).max().unwrap_or(0);
    let tokens = most as f64 * (TOKENS.0 + TOKENS.1) as f64;
    let limit = RATE as f64 * WINDOW.as_secs_f64() + BURST as f64;
    let allowed = limit * (1.0 + OVERSHOOT) + SLACK;
    let calls: usize = servers.iter().map(|server| server.runs().len()).sum();
    let text = format!(
        "{tokens} tokens of one customer ran in 8 s, {allowed} allowed; {} generations ran, {} got 429, {calls} plain calls ran",
        runs.len(),
        sent.refused
    );
    if tokens > allowed {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}

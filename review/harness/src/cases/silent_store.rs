//! After a silent outage of the store no host takes a new configuration over.

use std::thread;
use std::time::{Duration, Instant};

use super::{Setup, Verdict, sleep_until};
use crate::client::{CONFIGURATION, KEY, Request};
use crate::daemon::Daemon;
use crate::http::Connection;
use crate::server::Properties;

const HOSTS: u8 = 3;
/// Times after the first change of the configuration.
const OUTAGE_AT: Duration = Duration::from_millis(23_500);
const OUTAGE: Duration = Duration::from_millis(4_500);
const CHANGE_AT: Duration = Duration::from_millis(33_000);
const END_AT: Duration = Duration::from_millis(38_000);
/// Bound from the ack of a configuration to its effect.
const APPLY: Duration = Duration::from_millis(2_000);
const PAUSE: Duration = Duration::from_millis(200);
/// Key that replaces the only one.
const NEW_KEY: &str = "9wu3fe77hh2b3d3zji9n";

/// Status of a call with a key at a host.
fn call(daemon: &Daemon, key: &str, number: u32) -> Option<u16> {
    let request = Request {
        method: "GET",
        path: "/lookup/2f",
        id: format!("00000000000e{number:04x}"),
        deadline_ms: 1_000,
        headers: String::new(),
    };
    let mut connection = Connection::open(daemon.callers, Duration::from_secs(1))?;
    connection.send(&request.bytes_with(key));
    Some(connection.read()?.head.status)
}

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let _servers = ["i-counter-1", "i-counter-2", "i-counter-3"]
        .map(|id| setup.server(Properties::service(id, "counter")));
    let daemons = setup.daemons(HOSTS);
    let second = CONFIGURATION
        .replace('\n', "")
        .replacen(r#""version":3"#, r#""version":5"#, 1)
        .replace(r#""idleTimeoutMs":15000"#, r#""idleTimeoutMs":14000"#);
    setup.store.put("keyed.op", "config", &second);
    let start = Instant::now();
    record.line("configuration 5 (a changed limit) is acked");
    sleep_until(start, OUTAGE_AT);
    if setup.has_trouble {
        record.line("the store is silent");
        setup.store.set_silent(true);
        sleep_until(start, OUTAGE_AT + OUTAGE);
        setup.store.set_silent(false);
        record.line("the store answers again");
    }
    sleep_until(start, CHANGE_AT);
    if !daemons.iter().all(Daemon::is_ready) {
        return Verdict::NotRun("a host is not ready".to_owned());
    }
    let third = second
        .replacen(r#""version":5"#, r#""version":8"#, 1)
        .replace(KEY, NEW_KEY);
    setup.store.put("keyed.op", "config", &third);
    let acked = Instant::now();
    record.line("configuration 8 (another key) is acked");
    let (mut number, mut stale, mut calls) = (0, 0, 0);
    while start.elapsed() < END_AT {
        thread::sleep(PAUSE);
        for daemon in &daemons {
            let is_due = acked.elapsed() > APPLY;
            number += 2;
            let old = call(daemon, KEY, number);
            let new = call(daemon, NEW_KEY, number + 1);
            record.line(&format!(
                "client: {}: status {old:?} with the old key, {new:?} with the new one",
                daemon.name
            ));
            if is_due {
                calls += 2;
                stale += usize::from(old == Some(200)) + usize::from(new == Some(401));
            }
        }
    }
    let text = format!(
        "{stale} of {calls} calls later than 2 s after the ack were handled as only the older configuration allows"
    );
    if stale > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}

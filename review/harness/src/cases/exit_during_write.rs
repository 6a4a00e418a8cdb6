//! A stopping host exits while it still writes an answer that it has read from the server.

use std::thread;
use std::time::{Duration, Instant};

use super::{Setup, Verdict, sleep_until};
use crate::client::Request;
use crate::http::Connection;
use crate::server::Properties;

/// Time from SIGTERM to the request, which a kept connection carries.
const REQUEST_AT: Duration = Duration::from_millis(2_200);
const ANSWER_BYTES: usize = 7_500_000;
/// Pause of the client after each 64 KiB that it reads: a link of about 50 Mbit/s.
const READ_PAUSE: Duration = Duration::from_millis(10);

fn export(id: &str) -> Request {
    Request {
        method: "GET",
        path: "/export/2f",
        id: id.to_owned(),
        deadline_ms: 5_000,
        headers: String::new(),
    }
}

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let _servers = ["i-counter-1", "i-counter-2"].map(|id| {
        setup.server(Properties {
            answer_bytes: ANSWER_BYTES,
            ..Properties::service(id, "counter")
        })
    });
    let daemons = setup.daemons(2);
    let Some(mut kept) = Connection::open(daemons[1].callers, Duration::from_secs(5)) else {
        return Verdict::NotRun("no connection".to_owned());
    };
    kept.narrow();
    let first = kept.send(&export("00000000000000d0").bytes());
    if !first || !kept.read().is_some_and(|answer| answer.is_complete) {
        return Verdict::NotRun("the first request on the kept connection failed".to_owned());
    }
    let stop = Instant::now();
    if setup.has_trouble {
        record.line(&format!("SIGTERM to {}", daemons[1].name));
        daemons[1].signal("TERM");
    }
    sleep_until(stop, REQUEST_AT);
    record.line("client: request 00000000000000d1 on the kept connection");
    if !kept.send(&export("00000000000000d1").bytes()) {
        return Verdict::NotRun("the kept connection was closed before the request".to_owned());
    }
    let Some(head) = kept.read_head() else {
        return Verdict::Broken("the connection ended without an answer".to_owned());
    };
    let mut received = 0;
    let is_complete = kept.read_body(&head, |piece| {
        received += piece.len();
        thread::sleep(READ_PAUSE);
    });
    let took = stop.elapsed().saturating_sub(REQUEST_AT).as_millis();
    let status = head.status;
    let text = format!(
        "request 00000000000000d1: status {status}, {received} of {ANSWER_BYTES} bytes after {took} ms, complete: {is_complete}"
    );
    record.line(&format!("client: {text}"));
    if is_complete {
        Verdict::Held(text)
    } else {
        Verdict::Broken(text)
    }
}

//! A generation that a stopping host has read waits for a busy engine when the host exits.

use std::thread;
use std::time::{Duration, Instant};

use super::{Setup, Verdict, sleep_until};
use crate::client::{self, Request, read_stream};
use crate::http::Connection;
use crate::server::Properties;

/// Grace period from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(8);
/// Time from SIGTERM to the request, which a kept connection carries.
const REQUEST_AT: Duration = Duration::from_millis(5_000);
/// Time from the start of the long streams to SIGTERM. They last for 10.1 s.
const LEAD: Duration = Duration::from_millis(3_400);
/// Slots of the only decode engine, all taken by the long streams.
const SLOTS: u32 = 4;
const LOSS_SLACK: Duration = Duration::from_millis(200);

fn generation(id: &str, output: u32) -> Request {
    Request {
        method: "POST",
        path: "/review/2f",
        id: id.to_owned(),
        deadline_ms: 14_000,
        headers: format!(
            "Model: m\r\nToken-Count: 400,{output}\r\nPrefix-Hash: 5c1e07a2:200,{id}:200\r\n"
        ),
    }
}

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let _prefill = setup.server(Properties::engine("i-prefill", "prefill", "v1"));
    let decode = setup.server(Properties {
        slots: SLOTS,
        ..Properties::engine("i-decode", "decode", "v1")
    });
    let mut daemons = setup.daemons(2);
    let (other, stopped) = (daemons[0].callers, daemons[1].callers);

    let Some(mut kept) = Connection::open(stopped, Duration::from_secs(14)) else {
        return Verdict::NotRun("no connection".to_owned());
    };
    kept.send(&generation("00000000000000a0", 5).bytes());
    let warm = read_stream(&mut kept);
    if !warm.is_complete {
        return Verdict::NotRun("the first request on the kept connection failed".to_owned());
    }
    let busy: Vec<_> = (0..SLOTS)
        .map(|number| {
            let id = format!("00000000000000b{number}");
            // One of them keeps the stopping host up until its grace period is almost over.
            let host = if number == 0 { stopped } else { other };
            thread::spawn(move || client::stream(host, &generation(&id, 205)))
        })
        .collect();
    thread::sleep(LEAD);
    let stop = Instant::now();
    if setup.has_trouble {
        record.line(&format!("SIGTERM to {}", daemons[1].name));
        daemons[1].signal("TERM");
    }
    sleep_until(stop, REQUEST_AT);
    let request = generation("00000000000000c0", 20);
    record.line("client: request 00000000000000c0 on the kept connection");
    if !kept.send(&request.bytes()) {
        return Verdict::NotRun("the kept connection was closed before the request".to_owned());
    }
    let sent = Instant::now();
    let streamed = read_stream(&mut kept);
    let ended = Instant::now();
    let status = streamed.head.as_ref().map(|head| head.status);
    record.line(&format!(
        "client: request 00000000000000c0 ended: status {status:?}, {} events, complete: {}",
        streamed.events.len(),
        streamed.is_complete
    ));
    if setup.has_trouble {
        let exited = daemons[1].wait(GRACE);
        record.line(&format!(
            "{} has exited: {}",
            daemons[1].name,
            exited.is_some()
        ));
    }
    for stream in busy {
        let Ok(stream) = stream.join() else {
            return Verdict::NotRun("a client panicked".to_owned());
        };
        record.line(&format!(
            "client: a long stream ended: {} events, complete: {}",
            stream.events.len(),
            stream.is_complete
        ));
    }
    let arrivals = decode.arrivals();
    let was_passed_on = arrivals.iter().any(|arrival| arrival.id == request.id);
    let has_answer = status.is_some_and(|status| status != 200) || streamed.is_complete;
    if has_answer {
        return Verdict::Held(format!("the request was answered with status {status:?}"));
    }
    let is_late = ended.duration_since(sent) > LOSS_SLACK;
    if was_passed_on || is_late {
        return Verdict::Broken(format!(
            "the connection ended {} ms after the request, without a complete answer; passed on: {was_passed_on}",
            ended.duration_since(sent).as_millis()
        ));
    }
    Verdict::Held("the request was cut off unread".to_owned())
}

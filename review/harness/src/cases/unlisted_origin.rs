//! The leader dies while the store is down: streams go on at another software version.

use std::thread;
use std::time::{Duration, Instant};

use super::{Setup, Verdict, sleep_until};
use crate::client::{Request, Streamed, stream};
use crate::server::Properties;

const STREAMS: u32 = 12;
/// Events of each stream; 49 ms lie between them.
const EVENTS: u32 = 160;
/// Time from the first engines to those of the new version; no engine changes its stage by then.
const RELEASE_AT: Duration = Duration::from_secs(6);
/// Time in which the hosts learn of the new version.
const LEARN_TIME: Duration = Duration::from_secs(3);
/// Time from the outage of the store to the start of the streams, to the kill, and to its end.
const START_AFTER: Duration = Duration::from_millis(300);
const KILL_AFTER: Duration = Duration::from_millis(4_200);
const OUTAGE: Duration = Duration::from_millis(4_500);
/// Number of mixed streams that the rule allows.
const ALLOWED: usize = 2;
/// Tries of a client after the first one, within its time limit.
const RETRIES: u32 = 4;
/// Pause of a client before each further try.
const RETRY_PAUSE: Duration = Duration::from_millis(900);

fn review(id: &str, headers: &str) -> Request {
    Request {
        method: "POST",
        path: "/review/2f",
        id: id.to_owned(),
        deadline_ms: 14_000,
        headers: format!(
            "Model: m\r\nToken-Count: 400,{EVENTS}\r\nPrefix-Hash: 5c1e07a2:200,{id}:200\r\n{headers}"
        ),
    }
}

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let mut servers = vec![
        setup.server(Properties::engine("i-prefill-v1", "prefill", "v1")),
        setup.server(Properties::engine("i-decode-v1", "decode", "v1")),
    ];
    let mut daemons = setup.daemons(2);
    thread::sleep(RELEASE_AT);
    servers.push(setup.server(Properties::engine("i-prefill-v2", "prefill", "v2")));
    servers.push(setup.server(Properties::engine("i-decode-v2", "decode", "v2")));
    thread::sleep(LEARN_TIME);
    let (leader, other) = (daemons[0].callers, daemons[1].callers);
    let outage = Instant::now();
    if setup.has_trouble {
        record.line("the store is down");
        setup.store.set_down(true);
    }
    thread::sleep(START_AFTER);
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                // Streams do not start all at once.
                thread::sleep(Duration::from_millis(u64::from(number) * 60));
                let id = format!("00000000000001{number:02x}");
                let first = stream(leader, &review(&id, ""));
                let mut tries = vec![first];
                for retry in 0..RETRIES {
                    let last = tries.last().cloned().unwrap_or_default();
                    let Some((event, server)) = last_event(&tries) else {
                        break;
                    };
                    if last.is_complete && last.head.is_some_and(|head| head.status == 200) {
                        break;
                    }
                    record.line(&format!(
                        "client: stream {id} broke off after event {event} of {server}; taken up at the other host"
                    ));
                    thread::sleep(RETRY_PAUSE);
                    let headers = format!("Last-Event-Id: {event}\r\nResumes: {id}\r\n");
                    let next = format!("00000000000002{:02x}", number * 8 + retry);
                    tries.push(stream(other, &review(&next, &headers)));
                }
                (id, tries)
            })
        })
        .collect();
    if setup.has_trouble {
        sleep_until(outage, KILL_AFTER);
        record.line(&format!("SIGKILL to {}", daemons[0].name));
        daemons[0].signal("KILL");
        daemons[0].wait(Duration::from_secs(1));
        sleep_until(outage, OUTAGE);
        setup.store.set_down(false);
        record.line("the store is back");
    }
    let mut mixed = 0;
    let mut finished = 0;
    for client in clients {
        let Ok((id, tries)) = client.join() else {
            return Verdict::NotRun("a client panicked".to_owned());
        };
        let mut versions: Vec<&str> = tries
            .iter()
            .flat_map(|streamed| &streamed.events)
            .filter_map(|(_, server)| server.rsplit('-').next())
            .collect();
        let events = versions.len();
        versions.dedup();
        let statuses: Vec<_> = tries
            .iter()
            .map(|streamed| streamed.head.as_ref().map(|head| head.status))
            .collect();
        record.line(&format!(
            "client: stream {id}: {events} events of versions {versions:?}, statuses {statuses:?}"
        ));
        finished += usize::from(events == EVENTS as usize);
        mixed += usize::from(versions.len() > 1);
    }
    let text = format!(
        "{mixed} of {STREAMS} streams hold events of two software versions, {ALLOWED} allowed; {finished} streams have all events"
    );
    if mixed > ALLOWED {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}

/// Last event over all tries, and the server that made it.
fn last_event(tries: &[Streamed]) -> Option<(u64, String)> {
    let events = tries.iter().flat_map(|streamed| &streamed.events);
    events.last().cloned()
}

//! An engine sends a second copy of its answer after a stream without a length; the last events are lost.

use super::{Setup, Verdict};
use crate::client::{Request, stream};
use crate::server::Properties;

/// Events of the stream.
const EVENTS: u64 = 20;
const STREAMS: u32 = 6;

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let _prefill = setup.server(Properties::engine("i-prefill", "prefill", "v1"));
    let _engines = ["i-decode-1", "i-decode-2"].map(|id| {
        setup.server(Properties {
            is_faulty: setup.has_trouble && id == "i-decode-1",
            ..Properties::engine(id, "decode", "v1")
        })
    });
    let daemons = setup.daemons(2);
    let mut broken = Vec::new();
    for number in 0..STREAMS {
        let id = format!("00000000000003{number:02x}");
        let request = Request {
            method: "POST",
            path: "/review/2f",
            id: id.clone(),
            deadline_ms: 14_000,
            headers: format!(
                "Model: m\r\nToken-Count: 400,{EVENTS}\r\nPrefix-Hash: 5c1e07a2:200,{id}:200\r\n"
            ),
        };
        let streamed = stream(daemons[1].callers, &request);
        let status = streamed.head.map(|head| head.status);
        let numbers: Vec<u64> = streamed.events.iter().map(|(number, _)| *number).collect();
        let is_whole = numbers.iter().copied().eq(1..=EVENTS);
        let is_complete = streamed.is_complete && status == Some(200);
        record.line(&format!(
            "client: stream {id}: status {status:?}, {} of {EVENTS} events, last {:?}, complete: {is_complete}",
            numbers.len(),
            numbers.last()
        ));
        let has_gap = !numbers.iter().copied().eq(1..=numbers.len() as u64);
        if has_gap || is_complete && !is_whole {
            broken.push(id);
        }
    }
    let text = format!(
        "{} of {STREAMS} streams lack events but ended as complete",
        broken.len()
    );
    if broken.is_empty() {
        Verdict::Held(text)
    } else {
        Verdict::Broken(text)
    }
}

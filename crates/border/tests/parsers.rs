//! Parsers of external input: arbitrary bytes never panic, and events do not depend on how a stream
//! is split into packets.

use berylknot_border::event::Event;
use berylknot_border::sse::{Decoder, EVENT_LIMIT_BYTES, TooLong};
use berylknot_border::{batch, caller, engine, platform};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

fn runner() -> TestRunner {
    TestRunner::new(Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    })
}

fn decode(packets: &[Vec<u8>]) -> Vec<Vec<u8>> {
    let mut decoder = Decoder::default();
    let mut found = Vec::new();
    for packet in packets {
        decoder.feed(packet).expect("the events are short");
        while let Some(data) = decoder.next_data() {
            found.push(data.to_vec());
        }
    }
    found
}

/// Guards against tokens lost or joined where a packet ends inside an event.
#[test]
fn events_do_not_depend_on_packet_boundaries() {
    let lines = vec("(data: [a-z{}]{0,12}|: comment|event: x|)", 0..20);
    let inputs = (lines, vec(1_usize..9, 1..40));
    runner()
        .run(&inputs, |(lines, lengths)| {
            let text = lines.join("\n") + "\n";
            let mut rest = text.as_bytes();
            let mut packets = Vec::new();
            for length in lengths.iter().cycle() {
                if rest.is_empty() {
                    break;
                }
                let (packet, remaining) = rest.split_at((*length).min(rest.len()));
                packets.push(packet.to_vec());
                rest = remaining;
            }
            let whole = decode(&[text.clone().into_bytes()]);
            prop_assert_eq!(decode(&packets), whole.clone());
            let expected = lines
                .iter()
                .filter(|line| line.starts_with("data:"))
                .count();
            prop_assert_eq!(whole.len(), expected);
            Ok(())
        })
        .expect("events do not depend on packet boundaries");
}

/// Guards against input from callers, engines or the platform that crashes the process.
#[test]
fn arbitrary_bytes_never_panic() {
    let inputs = vec(any::<u8>(), 0..300);
    runner()
        .run(&inputs, |bytes| {
            let mut decoder = Decoder::default();
            let _ = decoder.feed(&bytes);
            while decoder.next_data().is_some() {}
            let _ = Event::try_from(bytes.as_slice());
            let _ = batch::decode(&String::from_utf8_lossy(&bytes));
            let _ = serde_json::from_slice::<caller::CompletionRequest>(&bytes);
            let _ = serde_json::from_slice::<caller::ChatRequest>(&bytes);
            let _ = serde_json::from_slice::<engine::LoadReport>(&bytes);
            let _ = serde_json::from_slice::<platform::ReadResponse>(&bytes);
            Ok(())
        })
        .expect("no input panics");
}

/// Guards against unbounded memory use when an engine sends an event without a line end.
#[test]
fn decoder_rejects_an_event_over_the_limit() {
    let mut decoder = Decoder::default();
    let part = vec![b'x'; EVENT_LIMIT_BYTES / 2];
    assert_eq!(decoder.feed(&part), Ok(()));
    assert_eq!(decoder.feed(&part), Ok(()));
    assert_eq!(decoder.feed(b"y"), Err(TooLong));
}

/// Guards against accepting an event that is both a token and an end, or neither.
#[yare::parameterized(
    both = { r#"{"request_id":"r","attempt":0,"index":1,"text":"a","count":2,"finish_reason":"length"}"# },
    neither = { r#"{"request_id":"r","attempt":0}"# },
    no_text = { r#"{"request_id":"r","attempt":0,"index":1}"# },
    negative = { r#"{"request_id":"r","attempt":0,"index":-1,"text":"a"}"# },
)]
fn ambiguous_events_are_rejected(data: &str) {
    assert!(Event::try_from(data.as_bytes()).is_err());
}

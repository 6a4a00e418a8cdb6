//! Encoding of log entries: records round-trip, and foreign data is an error, not a panic.

use berylknot_border::platform::LogEntry;
use berylknot_coordination::record::{Id, Incarnation, Position, Publish, Record};
use berylknot_wire::entry;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn publish(document: String) -> Record {
    Record::Publish(Publish {
        id: Id {
            incarnation: Incarnation(u64::MAX),
            sequence: 1,
        },
        base_version: Position::new(7, 3),
        document,
    })
}

fn stored(data: String) -> LogEntry {
    LogEntry {
        offset: 9,
        appended_at_ms: 5,
        data,
    }
}

/// Guards against record positions that overlap those of the next entry.
#[test]
fn encode_rejects_too_many_records() {
    let records = vec![publish(String::new()); Position::RECORDS_PER_ENTRY + 1];
    assert!(entry::encode(&records).is_err());
    assert!(entry::encode(&records[1..]).is_ok());
}

proptest! {
    // A fixed seed keeps the result of CI reproducible.
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against records that change on their way through the log.
    #[test]
    fn records_round_trip(documents in prop::collection::vec(".{0,40}", 0..5)) {
        let records = documents.into_iter().map(publish).collect::<Vec<_>>();
        let data = entry::encode(&records).unwrap().data;
        let decoded = entry::decode(&stored(data)).unwrap();
        prop_assert_eq!(decoded.records, records);
        prop_assert_eq!((decoded.offset, decoded.appended_at_ms), (9, 5));
    }

    /// Guards against a foreign or corrupted entry that crashes every process reading the log.
    #[test]
    fn foreign_data_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..200), text in ".{0,40}") {
        let _ = entry::decode(&stored(berylknot_border::batch::encode(&bytes)));
        let _ = entry::decode(&stored(text));
    }
}

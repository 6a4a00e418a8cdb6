//! Log entries survive the way through the platform's log; foreign data is an error, not a panic.

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

/// Guards against positions of one entry running into those of the next.
#[test]
fn too_many_records_are_refused() {
    let records = vec![publish(String::new()); Position::RECORDS_PER_ENTRY + 1];
    assert!(entry::encode(&records).is_err());
    assert!(entry::encode(&records[1..]).is_ok());
}

proptest! {
    // Fixed seed, so that CI's verdict does not vary.
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn round_trip(documents in prop::collection::vec(".{0,40}", 0..5)) {
        let records = documents.into_iter().map(publish).collect::<Vec<_>>();
        let data = entry::encode(&records).unwrap().data;
        let decoded = entry::decode(&stored(data)).unwrap();
        prop_assert_eq!(decoded.records, records);
        prop_assert_eq!((decoded.offset, decoded.appended_at_ms), (9, 5));
    }

    /// Guards against a foreign or damaged entry ending the process that reads it.
    #[test]
    fn foreign_data_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..200), text in ".{0,40}") {
        let _ = entry::decode(&stored(berylknot_border::batch::encode(&bytes)));
        let _ = entry::decode(&stored(text));
    }
}

//! Guards against hosts that copy all records from peers although the store answers them.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_entry::contact::is_overdue;

const PERIOD: Duration = Duration::from_millis(1_300);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn the_pause_between_calls_is_no_silence() {
    for age in [0, 900, 1_300, 1_600] {
        assert!(
            !is_overdue(at(10_000), Some(at(10_000 - age)), PERIOD),
            "{age} ms"
        );
    }
}

#[test]
fn a_missing_answer_is() {
    assert!(is_overdue(at(10_000), Some(at(8_000)), PERIOD));
    assert!(is_overdue(at(10_000), None, PERIOD));
}

//! Guards against a process that ends when its log exceeds the rate limit.

use berylknot_telemetry::log::Log;

#[test]
fn lines_beyond_the_limit_are_dropped_and_counted() {
    let log = Log {
        lines_per_s: 1,
        ..Log::default()
    };
    let guard = log.install().expect("no other log is installed");
    let lines = 1_000;
    for line in 0..lines {
        tracing::info!(line, "test: line");
    }
    // One line a second is written; the loop takes less than a hundred seconds.
    assert!(guard.dropped().count() >= lines - 100);
}

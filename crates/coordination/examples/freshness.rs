//! A host loses the log, learns the tail from a peer, and then detects a general log outage.

use std::time::Duration;

use berylknot_coordination::clock::{Drift, Instant};
use berylknot_coordination::freshness::{Status, Tail, Tracker};

fn main() {
    let mut tracker = Tracker::new(3, Drift::default());
    let applied = 42;
    let mut now = Instant::from_millis(100_000);
    // The age of a tail counts from the time at which the read was sent.
    tracker.record_read(now, 42, applied);
    println!("after a log read: {:?}", tracker.verdict(now, applied));

    now = now + Duration::from_secs(9);
    let fresh = Status {
        ready: true,
        reaches_log: true,
        next_offset: 42,
        tail: Some(Tail {
            age_ms: 500,
            next_offset: 42,
        }),
    };
    tracker.record_status("peer-1", now, fresh, applied);
    println!("after a peer's status: {:?}", tracker.verdict(now, applied));

    now = now + Duration::from_secs(11);
    println!("11 s later: {:?}", tracker.verdict(now, applied));
    println!("polls all hosts: {}", tracker.needs_majority(now));
    let without_log = Status {
        reaches_log: false,
        tail: None,
        ..fresh
    };
    tracker.record_status("peer-1", now, without_log, applied);
    println!(
        "no host of a majority reaches the log: {:?}",
        tracker.verdict(now, applied)
    );
}

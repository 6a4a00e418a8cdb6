//! A host loses the log, hears a fresh peer, and then finds itself in a general outage.

use std::time::Duration;

use berylknot_coordination::clock::{Drift, Instant};
use berylknot_coordination::freshness::{Status, Tail, Tracker};

fn main() {
    let mut line = Tracker::new(3, Drift::default());
    let applied = 42;
    let mut now = Instant::from_millis(100_000);
    // The read was sent before its answer came; the time of sending counts.
    line.record_read(now, 42, applied);
    println!("after an own read: {:?}", line.verdict(now, applied));

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
    line.record_status("peer-1", now, fresh, applied);
    println!("after a peer's word: {:?}", line.verdict(now, applied));

    now = now + Duration::from_secs(11);
    println!("11 s later: {:?}", line.verdict(now, applied));
    println!("asks all hosts: {}", line.needs_majority(now));
    let cut_off = Status {
        reaches_log: false,
        tail: None,
        ..fresh
    };
    line.record_status("peer-1", now, cut_off, applied);
    println!(
        "no host of a majority reaches the log: {:?}",
        line.verdict(now, applied)
    );
}

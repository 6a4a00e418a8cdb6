//! A host loses the log, hears a fresh peer, and then finds itself in a general outage.

use std::time::Duration;

use berylknot_coordination::clock::{Drift, Instant};
use berylknot_coordination::freshness::{Line, Tail, Word};

fn main() {
    let mut line = Line::new(3, Drift::default());
    let applied = 42;
    let mut now = Instant::from_millis(100_000);
    // The read was sent before its answer came; the time of sending counts.
    line.read_tail(now, 42, applied);
    println!("after an own read: {:?}", line.verdict(now, applied));

    now = now + Duration::from_secs(9);
    let fresh = Word {
        ready: true,
        reaches_log: true,
        next_offset: 42,
        tail: Some(Tail {
            age_ms: 500,
            next_offset: 42,
        }),
    };
    line.heard("peer-1", now, fresh, applied);
    println!("after a peer's word: {:?}", line.verdict(now, applied));

    now = now + Duration::from_secs(11);
    println!("11 s later: {:?}", line.verdict(now, applied));
    println!("asks all hosts: {}", line.needs_majority(now));
    let cut_off = Word {
        reaches_log: false,
        tail: None,
        ..fresh
    };
    line.heard("peer-1", now, cut_off, applied);
    println!(
        "no host of a majority reaches the log: {:?}",
        line.verdict(now, applied)
    );
}

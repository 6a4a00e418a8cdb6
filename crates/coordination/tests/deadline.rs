//! Connections that go silent, with processes that notice late.

mod history;

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::deadline::Idle;
use proptest::prelude::*;

const LIMIT_MS: u64 = 100;

/// Plays pauses, each followed by data or by a check, and returns an error when data was used
/// after a silence of the limit or when a busy connection was closed.
fn run(latched: bool, pauses: &[(u64, bool)]) -> Result<(), String> {
    let limit = Duration::from_millis(LIMIT_MS);
    let mut now = Instant::from_millis(0);
    let mut idle = Idle::new(now, limit);
    let (mut used, mut silent) = (now, false);
    for (pause, data) in pauses {
        now = now + Duration::from_millis(*pause);
        silent |= now.since(used) >= limit;
        if !latched && idle.closed() {
            // The fault: a connection that timed out is taken from the pool again.
            idle = Idle::new(now, limit);
        }
        if !data {
            idle.expire(now);
        } else if idle.accept_data(now) {
            used = now;
            if silent {
                return Err("a connection that timed out was used".into());
            }
        } else if !silent {
            return Err("a busy connection was closed".into());
        }
    }
    Ok(())
}

fn histories() -> impl Strategy<Value = Vec<(u64, bool)>> {
    prop::collection::vec((0..150_u64, any::<bool>()), 1..20)
}

/// Guards against data of a silent connection that is used because nobody checked in between.
#[test]
fn a_connection_that_timed_out_is_never_used_again() {
    history::holds(2_000, histories(), |pauses| run(true, pauses));
}

/// Guards against an oracle that cannot see the fault it is for.
#[test]
fn the_oracle_reports_reuse() {
    history::fails(2_000, histories(), |pauses| run(false, pauses));
}

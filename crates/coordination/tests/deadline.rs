//! Idle timeouts of connections in processes that check them late.

mod history;

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::deadline::Idle;
use proptest::prelude::*;

const TIMEOUT_MS: u64 = 100;

/// Runs a sequence of pauses, each followed by data or by an expiry check. Returns an error when
/// data is accepted after an idle period of the timeout, or when an active connection is closed.
fn run(stays_closed: bool, pauses: &[(u64, bool)]) -> Result<(), String> {
    let timeout = Duration::from_millis(TIMEOUT_MS);
    let mut now = Instant::from_millis(0);
    let mut idle = Idle::new(now, timeout);
    let (mut used, mut silent) = (now, false);
    for (pause, data) in pauses {
        now = now + Duration::from_millis(*pause);
        silent |= now.since(used) >= timeout;
        if !stays_closed && idle.closed() {
            // Injected fault: a connection that timed out is reused.
            idle = Idle::new(now, timeout);
        }
        if !data {
            idle.expire(now);
        } else if idle.accept_data(now) {
            used = now;
            if silent {
                return Err("data was accepted on a connection that had timed out".into());
            }
        } else if !silent {
            return Err("an active connection was closed".into());
        }
    }
    Ok(())
}

fn histories() -> impl Strategy<Value = Vec<(u64, bool)>> {
    prop::collection::vec((0..150_u64, any::<bool>()), 1..20)
}

/// Guards against accepting data on a connection whose timeout passed without an expiry check.
#[test]
fn timed_out_connection_is_never_reused() {
    history::holds(2_000, histories(), |pauses| run(true, pauses));
}

/// Guards against a check that does not detect the reuse of a timed-out connection.
#[test]
fn check_detects_connection_reuse() {
    history::fails(2_000, histories(), |pauses| run(false, pauses));
}

//! Guards against requests that are accepted after SIGTERM and cut off by the exit of the process.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_entry::shutdown::Shutdown;

const GRACE: Duration = Duration::from_secs(8);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn accepts_long_requests_before_the_signal() {
    assert!(Shutdown::new(GRACE).accepts(at(0), Duration::from_secs(3_600)));
}

#[test]
fn rejects_requests_that_may_outlast_the_grace_period() {
    let mut shutdown = Shutdown::new(GRACE);
    shutdown.start(at(1_000));
    assert!(shutdown.accepts(at(1_000), Duration::from_secs(5)));
    assert!(!shutdown.accepts(at(5_000), Duration::from_secs(5)));
    let exit = shutdown.exit_at().expect("stopping");
    assert!(exit < at(1_000) + GRACE, "the process exits before SIGKILL");
}

#[test]
fn repeated_signal_does_not_extend_the_shutdown() {
    let mut shutdown = Shutdown::new(GRACE);
    shutdown.start(at(1_000));
    let exit = shutdown.exit_at();
    shutdown.start(at(4_000));
    assert_eq!(shutdown.exit_at(), exit);
}

#[test]
fn a_run_that_starts_at_the_latest_time_is_answered_before_the_exit() {
    let mut shutdown = Shutdown::new(GRACE);
    let run = Duration::from_secs(3);
    assert_eq!(shutdown.latest_start(run), None);
    shutdown.start(at(1_000));
    let latest = shutdown.latest_start(run).expect("stopping");
    assert_eq!(Some(latest + run), shutdown.answer_by());
    assert!(shutdown.answer_by() < shutdown.exit_at());
    assert!(shutdown.accepts(latest, run));
    assert!(!shutdown.accepts(latest + Duration::from_millis(1), run));
    assert!(shutdown.ends_in_time(latest + run));
    assert!(!shutdown.ends_in_time(latest + run + Duration::from_millis(1)));
}

#[test]
fn callers_are_late_when_the_load_balancer_knows_that_the_host_stops() {
    let mut shutdown = Shutdown::new(GRACE);
    assert!(!shutdown.is_late(at(1_000)));
    shutdown.start(at(1_000));
    assert!(!shutdown.is_late(at(3_499)));
    assert!(shutdown.is_late(at(3_500)));
}

/// Guards against log lines that state a wrong time since the signal.
#[test]
fn the_time_since_the_signal_is_known_after_it_only() {
    let mut shutdown = Shutdown::new(GRACE);
    assert_eq!(shutdown.started_before(at(1_000)), None);
    shutdown.start(at(1_000));
    assert_eq!(shutdown.started_before(at(999)), None);
    let since = shutdown.started_before(at(3_500));
    assert_eq!(since, Some(Duration::from_millis(2_500)));
}

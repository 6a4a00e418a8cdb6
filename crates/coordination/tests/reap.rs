//! Simulation of the cancellation of orphaned requests: two hosts and a coordinating host with
//! clock drift, process pauses, crashes and restarts, and faults of the links and the log.

#[path = "reap/world.rs"]
mod world;

mod history;

use std::time::Duration;

use berylknot_coordination::reap::{Cause, Evidence, Gateways, Limits, Permit, Report, Watch};
use berylknot_coordination::{clock::Instant, record::Incarnation};
use proptest::prelude::*;
use world::{Fault, Step, World};

fn step() -> impl Strategy<Value = Step> {
    let host = || 0..2_usize;
    let long = || 1..90_u64;
    prop_oneof![
        6 => (1..30_u64).prop_map(Step::Run),
        2 => (host(), long()).prop_map(|(host, ticks)| Step::PauseGateway(host, ticks)),
        2 => (host(), long()).prop_map(|(host, ticks)| Step::PauseCoordinator(host, ticks)),
        1 => long().prop_map(Step::PauseWatch),
        1 => Just(Step::RestartWatch),
        1 => host().prop_map(Step::KillGateway),
        1 => host().prop_map(Step::KillCoordinator),
        3 => host().prop_map(Step::Restart),
        2 => (host(), long()).prop_map(|(host, ticks)| Step::CutLog(host, ticks)),
        1 => long().prop_map(Step::CutWatchLog),
        2 => (host(), long()).prop_map(|(host, ticks)| Step::CutPeer(host, ticks)),
        1 => (0..60_u8).prop_map(Step::Lose),
    ]
}

fn histories() -> impl Strategy<Value = (Vec<Step>, Vec<u8>, [i64; 3])> {
    let drift = || -1_000..=1_000_i64;
    (
        prop::collection::vec(step(), 5..40),
        prop::collection::vec(any::<u8>(), 64),
        [drift(), drift(), drift()],
    )
}

fn run(
    fault: Fault,
    (steps, random, drifts): &(Vec<Step>, Vec<u8>, [i64; 3]),
) -> Result<(), String> {
    let mut world = World::new(fault, random.clone(), *drifts);
    for step in steps {
        world.step(*step)?;
    }
    world.check_recovery()
}

/// Guards against cancelling a stream that a live, slow or paused gateway forwards, and against
/// engine memory that stays in use after its gateway is gone.
#[test]
fn gone_gateways_are_reaped_and_forwarding_ones_are_not() {
    history::holds(1_500, histories(), |history| run(Fault::None, history));
}

/// Guards against an oracle that does not detect a missing mechanism.
#[yare::parameterized(
    heartbeat_alone = { Fault::HeartbeatAlone },
    lease_alone = { Fault::LeaseAlone },
    no_permit = { Fault::NoPermit },
    stale_log = { Fault::StaleLog },
    expiry_ignored = { Fault::ExpiryIgnored },
    extended_from_receipt = { Fault::ExtendedFromReceipt },
    incarnation_kept = { Fault::IncarnationKept },
    silence_before_start = { Fault::SilenceBeforeStart },
    never_reaped = { Fault::NeverReaped },
    unregistered = { Fault::UnregisteredStreams },
)]
fn oracle_reports_fault(fault: Fault) {
    history::fails(6_000, histories(), |history| run(fault, history));
}

/// Guards against cancelling requests that other software runs at a shared engine.
#[test]
fn foreign_request_ids_are_ignored() {
    let watch = Watch::new(Limits::default());
    let late = Instant::from_millis(1_000_000);
    let running = ["", "job-17", "a..1", "a.00000000000000zz.1"];
    let evidence = |_: &str| Evidence {
        renewal_read: None,
        known_until: late,
    };
    assert!(
        watch
            .scan(late, Instant::from_millis(0), running, evidence)
            .is_empty()
    );
}

/// Guards against cancellations by a host that has just become an endpoint's coordinating host: the
/// heartbeats went to its predecessor, which may have acknowledged one just before the change.
#[test]
fn heartbeat_timeout_starts_at_the_takeover_of_an_endpoint() {
    let limits = Limits::default();
    let at = |seconds: u64| Instant::from_millis(seconds * 1_000);
    let report = Gateways::new(at(0), Incarnation(0), limits).report();
    let mut watch = Watch::new(limits);
    watch.heartbeat(at(1), "a", &report);
    let reaped = |second: u64| {
        let now = at(second);
        let evidence = |_: &str| Evidence {
            renewal_read: Some(at(1)),
            known_until: now,
        };
        watch
            .scan(now, at(100), ["a.0000000000000001.7"], evidence)
            .len()
    };
    assert_eq!((reaped(101), reaped(110), reaped(111)), (0, 0, 1));
}

/// Guards against a stream that continues after its permit expired during a process pause, because
/// the first event after the pause extends the permit.
#[test]
fn unobserved_expiry_ends_the_epoch() {
    let at = Instant::from_millis;
    let silence = Duration::from_secs(10);
    let mut permit = Permit::new();
    permit.extend(at(0), at(15_000));
    let epoch = permit.epoch(at(0)).expect("the permit was extended");
    permit.acknowledged(at(14_999), at(14_000), silence);
    assert!(permit.allows(at(23_999), epoch));
    permit.acknowledged(at(24_000), at(23_000), silence);
    assert!(!permit.allows(at(24_001), epoch));
    assert!(permit.epoch(at(24_001)).is_some());
}

/// Guards against a gateway that starts after the Unix clock was set back: reports have already
/// declared all incarnations below the coordinator's as ended.
#[test]
fn gateway_below_complete_reports_is_refused() {
    let limits = Limits::default();
    let mut gateways = Gateways::new(Instant::from_millis(0), Incarnation(9), limits);
    assert!(gateways.heartbeat(Instant::from_millis(0), Incarnation(5)));
    let later = Instant::from_millis(9_000);
    assert!(gateways.heartbeat(later, Incarnation(5)));
    let complete = Instant::from_millis(12_000);
    assert!(!gateways.heartbeat(complete, Incarnation(4)));
    assert!(gateways.heartbeat(complete, Incarnation(5)));
    assert!(gateways.heartbeat(complete, Incarnation(10)));
}

/// Guards against orphaned requests of a gateway that ended before its host restarted and that no
/// process knows: they must be cancelled although the host sends heartbeats and holds a lease.
#[test]
fn unknown_gateway_is_reaped_once_the_report_is_complete() {
    let mut watch = Watch::new(Limits::default());
    let now = Instant::from_millis(1_000_000);
    let evidence = |_: &str| Evidence {
        renewal_read: Some(now),
        known_until: now,
    };
    let running = ["a.0000000000000001.7"];
    for (complete_below, reaped) in [(0, 0), (2, 1)] {
        let report = Report {
            live: vec![Incarnation(3)],
            ended: Vec::new(),
            complete_below: Incarnation(complete_below),
        };
        watch.heartbeat(now, "a", &report);
        let causes = watch.scan(now, now, running, evidence);
        assert_eq!(causes.len(), reaped);
        assert!(
            causes
                .iter()
                .all(|(_, cause)| *cause == Cause::GatewayEnded)
        );
    }
}

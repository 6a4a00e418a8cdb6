//! Two hosts and a coordinating host with drifting clocks, which pause, die and restart, over
//! links and a log that fail.

#[path = "reap/world.rs"]
mod world;

mod history;

use berylknot_coordination::reap::{Cause, Evidence, Limits, Report, Watch};
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

fn run(fault: Fault, (steps, dice, drifts): &(Vec<Step>, Vec<u8>, [i64; 3])) -> Result<(), String> {
    let mut world = World::new(fault, dice.clone(), *drifts);
    for step in steps {
        world.step(*step)?;
    }
    world.finally()
}

/// Guards against reaping a stream that a live, slow or paused gateway forwards, and against
/// memory that stays held after its gateway is gone.
#[test]
fn gone_gateways_are_reaped_and_forwarding_ones_are_not() {
    history::holds(1_500, histories(), |history| run(Fault::None, history));
}

/// Guards against an oracle that cannot see the faults it is for.
#[yare::parameterized(
    heartbeat_alone = { Fault::HeartbeatAlone },
    lease_alone = { Fault::LeaseAlone },
    no_permit = { Fault::NoPermit },
    stale_log = { Fault::StaleLogTaken },
    lapse_forgotten = { Fault::LapseForgotten },
    acknowledged_from_receipt = { Fault::AcknowledgedFromReceipt },
    incarnation_kept = { Fault::IncarnationKept },
    silence_before_start = { Fault::SilenceBeforeStart },
    never_reaped = { Fault::NeverReaped },
    unregistered = { Fault::UnregisteredStreams },
)]
fn the_oracle_reports(fault: Fault) {
    history::fails(6_000, histories(), |history| run(fault, history));
}

/// Guards against cancelling requests of other software at a shared engine.
#[test]
fn foreign_ids_are_left_alone() {
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

/// Guards against a restarted host whose earlier gateway nobody remembers: its host sends
/// heartbeats and holds a lease, and still the old requests must be reaped.
#[test]
fn a_forgotten_gateway_is_reaped_once_the_report_is_complete() {
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

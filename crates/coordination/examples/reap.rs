//! A gateway dies; its coordinator reports the end, and the coordinating host cancels its requests.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::reap::{Evidence, Gateways, Limits, Permit, Watch};
use berylknot_coordination::record::Incarnation;

fn main() {
    let limits = Limits::default();
    let gateway = Incarnation(0x2a);
    let running = ["entry-1.000000000000002a.7"];

    // On the entry host.
    let mut now = Instant::from_millis(0);
    let permit = Permit::starting(now, limits.silence);
    let stream = permit.epoch(now).expect("the permit starts at once");
    let mut gateways = Gateways::new(now, Incarnation(1), limits);
    println!("registered: {}", gateways.heartbeat(now, gateway));

    // On the coordinating host, which in practice has a clock of its own.
    let mut watch = Watch::new(limits);
    for second in 0..12 {
        now = Instant::from_millis(second * 1_000);
        gateways.tick(now);
        watch.heartbeat(now, "entry-1", &gateways.report());
        let evidence = |_: &str| Evidence {
            renewal_read: Some(now),
            known_until: now,
        };
        let reaped = watch.scan(now, Instant::from_millis(0), running, evidence);
        let allowed = permit.allows(now, stream);
        println!("{second} s: the gateway may forward: {allowed}, reaped: {reaped:?}");
    }
    let wait = limits.drift.safe_wait(limits.lease) + Duration::from_secs(1);
    println!("a dead host is reaped within {wait:?}");
}

//! Benchmarks of the answer assembler and the membership view.

use std::num::NonZeroU32;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::member::{self, Listed, Load, Piggyback, View};
use berylknot_coordination::stream::{Assembler, Body, Event, Limits};
use divan::{Bencher, black_box, counter::ItemsCount};

/// Numbers of hosts and endpoints of the fleets in section 1 of the design.
const FLEETS: [(usize, usize); 3] = [(7, 16), (60, 400), (360, 3_100)];

fn main() {
    divan::main();
}

#[divan::bench]
fn assembler_per_token(bencher: Bencher<'_, '_>) {
    const TOKENS: u32 = 10_000;
    const ID: &str = "entry-001.example.0000019aefcd1234.1234567";
    let limits = Limits {
        max_tokens: NonZeroU32::new(TOKENS).expect("not zero"),
        max_attempts: NonZeroU32::MIN,
        idle: Duration::from_secs(5),
    };
    let now = Instant::from_millis(1);
    bencher
        .counter(ItemsCount::new(TOKENS))
        .with_inputs(|| {
            let mut assembler = Assembler::new(ID, limits);
            assembler.begin(now);
            assembler
        })
        .bench_local_refs(|assembler| {
            for index in 0..TOKENS {
                let event = Event {
                    request: black_box(ID),
                    attempt: 1,
                    body: Body::Token { index },
                };
                let _ = black_box(assembler.event(now, &event));
            }
        });
}

fn view((hosts, endpoints): (usize, usize)) -> (View, Instant) {
    let now = Instant::from_millis(1_000_000);
    let hosts: Vec<String> = (0..hosts)
        .map(|index| format!("entry-{index:03}"))
        .collect();
    let engines: Vec<String> = (0..endpoints)
        .map(|index| format!("engine-{index:04}"))
        .collect();
    let mut view = View::new(now, &hosts[0], member::Limits::default());
    view.set_hosts(now, hosts.iter().map(|name| (name.as_str(), Listed::Live)));
    view.set_endpoints(
        now,
        engines.iter().map(|name| (name.as_str(), Listed::Live)),
    );
    for name in engines.iter().take(9) {
        view.record_load(
            now,
            name,
            Load {
                running: 18,
                waiting: 2,
                slots: 20,
            },
        );
    }
    for name in engines.iter().skip(9).take(5) {
        view.mark_leaving(now, name);
    }
    (view, now)
}

#[divan::bench(args = FLEETS)]
fn coordinator_of_an_endpoint(bencher: Bencher<'_, '_>, fleet: (usize, usize)) {
    let (view, now) = view(fleet);
    bencher.bench_local(|| view.coordinator(now, black_box("engine-0003")).is_some());
}

#[divan::bench(args = FLEETS)]
fn health_of_an_endpoint(bencher: Bencher<'_, '_>, fleet: (usize, usize)) {
    let (view, now) = view(fleet);
    bencher.bench_local(|| view.endpoint_health(now, black_box("engine-0003")));
}

/// One gossip round: chooses targets, makes and encodes the digest. Each host does this every
/// second.
#[divan::bench(args = FLEETS)]
fn digest_of_a_round(bencher: Bencher<'_, '_>, fleet: (usize, usize)) {
    let (mut view, now) = view(fleet);
    let mut round = 0;
    bencher.bench_local(|| {
        round += 1;
        black_box(view.targets(now, round).len());
        rmp_serde::to_vec(&view.digest(now, round, Piggyback::default())).expect("can be encoded")
    });
}

/// Decodes and merges one digest. Each host does this three times per second.
#[divan::bench(args = FLEETS)]
fn merge_of_a_digest(bencher: Bencher<'_, '_>, fleet: (usize, usize)) {
    let (mut view, now) = view(fleet);
    let digest = view.digest(now, 1, Piggyback::default());
    let bytes = rmp_serde::to_vec(&digest).expect("can be encoded");
    bencher.bench_local(|| {
        let digest = rmp_serde::from_slice(&bytes).expect("can be decoded");
        view.merge(now, "entry-001", &digest);
    });
}

//! Benchmarks of admission and placement decisions.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::placement::{CacheChange, Candidate, Chooser, Prompt, Role, Settings};
use berylknot_coordination::queue::{Fair, Limits, Request};
use berylknot_coordination::slot::{End, Ledger};
use divan::{Bencher, black_box};

fn main() {
    divan::main();
}

const PIECES: u64 = 10;

/// Places a prompt of ten pieces; about four prefill endpoints hold each piece.
#[divan::bench(args = [16, 400, 3_100])]
fn placement(bencher: Bencher<'_, '_>, endpoints: usize) {
    let mut chooser = Chooser::new(Settings {
        data_centre: 0,
        delay_us: vec![vec![100; 8]; 8],
        hosts: 360,
        piece_tokens: 2_000,
        prefill_ns_per_token: 30_000,
        kv_bytes_per_token: 40_000,
        cross_link_bytes_per_ms: 2_500_000,
        local_link_bytes_per_ms: 5_000_000,
    });
    for number in 0..endpoints {
        let role = if number % 3 == 0 {
            Role::Prefill
        } else {
            Role::Decode
        };
        let key = chooser.add(Candidate {
            role,
            data_centre: number % 8,
            slots: 20,
        });
        // Every endpoint holds 150 pieces, and about four prefill endpoints hold each piece.
        for piece in 0..150 {
            let piece = (number as u64 * 37 + piece) % (endpoints as u64 * 13);
            chooser.cache_event(key, piece, CacheChange::Stored, piece);
        }
    }
    let pieces: Vec<u64> = (0..PIECES).collect();
    let mut draw = 0_u64;
    bencher.bench_local(move || {
        draw = draw.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let prompt = Prompt {
            pieces: &pieces,
            tokens: 20_500,
        };
        chooser.choose(Instant::from_millis(1_000), black_box(prompt), draw)
    });
}

/// Dequeues one request and queues another, with two waiting requests per customer.
#[divan::bench(args = [5, 100, 790])]
fn admission(bencher: Bencher<'_, '_>, customers: u32) {
    let mut queue = Fair::new(Limits {
        per_customer: 64,
        total: 4_096,
    });
    let request = |customer, now: u64| Request {
        customer,
        tokens: 2_000 + u64::from(customer),
        start_by: Instant::from_millis(now + 600),
        deadline: Instant::from_millis(now + 7_500),
    };
    for customer in 0..customers * 2 {
        let _ = queue.push(Instant::from_millis(0), request(customer % customers, 0));
    }
    let mut now = 0_u64;
    bencher.bench_local(move || {
        now += 1;
        let at = Instant::from_millis(now);
        let turn = queue.pop(at);
        if let Some(turn) = &turn {
            let _ = black_box(queue.push(at, request(turn.request.customer, now)));
        }
        turn
    });
}

/// Reserves, starts and ends one stream at an endpoint with 18 of 20 slots reserved.
#[divan::bench]
fn reservation(bencher: Bencher<'_, '_>) {
    let mut ledger = Ledger::<u64, u32>::new(20);
    for request in 0..18 {
        let _ = ledger.reserve(Instant::from_millis(0), request, 1, Duration::ZERO);
    }
    let mut request = 100;
    bencher.bench_local(move || {
        request += 1;
        let now = Instant::from_millis(1);
        let granted = ledger.reserve(now, request, 1, Duration::from_millis(100));
        ledger.start(now, request);
        ledger.end(now, request, End::Released);
        granted
    });
}

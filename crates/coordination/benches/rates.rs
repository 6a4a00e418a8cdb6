//! Benchmarks of quota grants, quota returns and lease renewals; prints the memory use of their
//! state.

use std::hint::black_box;

use berylknot_coordination::clock::{Drift, Instant};
use berylknot_coordination::lease::{Holder, Seat, Shard, Subject, Table, Timing};
use berylknot_coordination::quota::{Floor, Limits, Pool, Split};
use berylknot_coordination::record::{Claim, Entry, Id, Incarnation, Position, Record, Renew};
use berylknot_coordination::replica::{Change, Replica};
use divan::Bencher;

const CUSTOMERS: u64 = 790;
/// Tokens granted per request.
const REQUEST_TOKENS: u64 = 1_000;

fn main() {
    for hosts in [7, 60, 360] {
        let (replica, _) = fleet(hosts);
        println!(
            "lease table at {hosts} hosts: {} bytes",
            replica.leases().memory_bytes()
        );
    }
    let mut pools = pools();
    let idle: usize = pools.iter().map(Pool::memory_bytes).sum();
    println!("{CUSTOMERS} idle pools: {idle} bytes");
    let floors: usize = floors().iter().map(Floor::memory_bytes).sum();
    println!("{CUSTOMERS} idle floors: {floors} bytes");
    // 22,000 requests/s over 360 hosts are 61 requests/s at each pool owner; a hold stays open for
    // 10 s.
    for number in 0..610 {
        let pool = &mut pools[number % CUSTOMERS as usize];
        pool.acquire(Instant::from_millis(10_000), 1)
            .expect("a full pool");
    }
    let busy: usize = pools.iter().map(Pool::memory_bytes).sum();
    println!("{CUSTOMERS} pools with 610 open holds: {busy} bytes");
    divan::main();
}

fn limits() -> Limits {
    Limits::new(1_000_000, 10_000_000).expect("valid limits")
}

fn split() -> Split {
    let seats = Seat::count(360);
    Split::new(Split::FLOOR_PER_MILLE, seats, Drift::default()).expect("a valid split")
}

fn pools() -> Vec<Pool> {
    (0..CUSTOMERS)
        .map(|customer| {
            let shard = Shard::of(&customer.to_le_bytes());
            let since = Position::new(1, 0);
            Pool::new(Instant::from_millis(0), limits(), split(), shard, since)
        })
        .collect()
}

fn floors() -> Vec<Floor> {
    let since = Position::new(1, 0);
    (0..CUSTOMERS)
        .map(|_| Floor::new(Instant::from_millis(0), limits(), split(), Seat(0), since))
        .collect()
}

fn renewal(hosts: u64, number: u64) -> Entry {
    let host = number % hosts;
    let id = Id {
        incarnation: Incarnation(host + 1),
        sequence: number / hosts + 1,
    };
    let configuration_version = Position::default();
    let renew = Renew {
        id,
        host: format!("host-{host}"),
        configuration_version,
    };
    Entry {
        offset: number + 1,
        appended_at_ms: number,
        records: vec![Record::Renew(renew)],
    }
}

/// A replica and a lease holder that have applied a renewal and a claim of each host: every host
/// holds a seat and an equal part of the shards.
fn fleet(hosts: u64) -> (Replica, Holder) {
    let start = Instant::from_millis(0);
    let host = String::from("host-0");
    let mut holder = Holder::new(start, Incarnation(1), host, 450, Timing::default());
    let mut replica = Replica::default();
    holder.tick(start, replica.leases());
    for number in 0..hosts {
        apply_entry(&mut replica, &mut holder, &renewal(hosts, number));
    }
    let shards: Vec<_> = Shard::all().map(Subject::Shard).collect();
    for host in 0..hosts {
        let id = Id {
            incarnation: Incarnation(host + 1),
            sequence: 1_000_000,
        };
        let seat = Subject::Seat(Seat(u16::try_from(host).expect("a small fleet")));
        let shards = shards.iter().skip(host as usize).step_by(hosts as usize);
        let subjects = shards.copied().chain([seat]);
        let subjects = subjects
            .map(|subject| (subject, Position::default()))
            .collect();
        let claim = Record::Claim(Claim { id, subjects });
        let entry = Entry {
            offset: hosts + host + 1,
            appended_at_ms: 0,
            records: vec![claim],
        };
        apply_entry(&mut replica, &mut holder, &entry);
    }
    (replica, holder)
}

fn apply_entry(replica: &mut Replica, holder: &mut Holder, entry: &Entry) {
    let now = Instant::from_millis(entry.offset / 1_000);
    for change in replica.apply(entry) {
        if let Change::Lease(change) = change {
            holder.observe(now, &change);
        }
    }
}

/// Applies one renewal, which each host does 72 times per second at 360 hosts.
#[divan::bench(args = [7, 60, 360])]
fn apply_renewal(bencher: Bencher, hosts: u64) {
    let (mut replica, mut holder) = fleet(hosts);
    let mut number = 2 * hosts;
    bencher
        .with_inputs(|| {
            number += 1;
            renewal(hosts, number - 1)
        })
        .bench_local_values(|entry| apply_entry(&mut replica, &mut holder, &entry));
}

/// A lease holder's tick with nothing to claim or release.
#[divan::bench(args = [7, 60, 360])]
fn idle_tick(bencher: Bencher, hosts: u64) {
    let (replica, mut holder) = fleet(hosts);
    let table: &Table = replica.leases();
    // After the initial listening period, before the next renewal is due.
    let now = Instant::from_millis(5_001);
    holder.tick(now, table);
    bencher.bench_local(|| black_box(holder.tick(now, table)));
}

/// Grants tokens and returns half of them at once, over the pools of all customers.
#[divan::bench]
fn grant_and_return(bencher: Bencher) {
    let mut pools = pools();
    let mut now = 10_000;
    let mut next = 0;
    bencher.bench_local(|| {
        next = (next + 1) % pools.len();
        now += u64::from(next == 0);
        let pool = &mut pools[next];
        let at = Instant::from_millis(now);
        if let Ok(approval) = pool.acquire(at, REQUEST_TOKENS) {
            black_box(pool.give_back(at, approval.hold, REQUEST_TOKENS / 2));
        }
    });
}

/// The same for one customer's pool with 1,000 open holds.
#[divan::bench]
fn grant_and_return_with_open_holds(bencher: Bencher) {
    let mut pool = pools().swap_remove(0);
    let at = Instant::from_millis(60_000);
    for _ in 0..1_000 {
        pool.acquire(at, 1).expect("a full pool");
    }
    bencher.bench_local(|| {
        if let Ok(approval) = pool.acquire(at, 1) {
            black_box(pool.give_back(at, approval.hold, 1));
        }
    });
}

//! Validity rules of the lease table, and shard balancing in a fleet without faults.

use std::time::Duration;

use berylknot_coordination::clock::{Drift, Instant};
use berylknot_coordination::lease::{Holder, Seat, Shard, Subject, Timing};
use berylknot_coordination::record::{
    Claim, Entry, Id, Incarnation, Position, Record, Release, Renew,
};
use berylknot_coordination::replica::{Change, Replica};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use yare::parameterized;

const SUBJECT: Subject = Subject::Shard(Shard::CONTROLLER);

fn renew(host: u64, sequence: u64) -> Record {
    let id = Id {
        incarnation: Incarnation(host),
        sequence,
    };
    let configuration_version = Position::default();
    Record::Renew(Renew {
        id,
        host: format!("host-{host}"),
        configuration_version,
    })
}

fn claim(host: u64, expected: Position) -> Record {
    let id = Id {
        incarnation: Incarnation(host),
        sequence: 100,
    };
    Record::Claim(Claim {
        id,
        subjects: vec![(SUBJECT, expected)],
    })
}

fn release(host: u64, since: Position, successor: Option<u64>) -> Record {
    let id = Id {
        incarnation: Incarnation(host),
        sequence: 200,
    };
    let successor = successor.map(Incarnation);
    Record::Release(Release {
        id,
        subjects: vec![(SUBJECT, since)],
        successor,
        leaving: false,
    })
}

/// Position of the record at `index` of entry 1.
fn at(index: u8) -> Position {
    Position::new(1, index)
}

/// Guards against replicas that accept a claim or a release whose expected position is stale, whose
/// sender has no session or is not the owner, or that is a duplicate.
#[parameterized(
    first_claim_wins = { vec![claim(1, at(0)), claim(2, Position::default()), claim(1, Position::default())], Some(2) },
    claim_at_stale_position_is_void = {
        vec![claim(1, Position::default()), renew(1, 2), claim(2, at(2))], Some(1)
    },
    claim_after_reading_the_renewal_is_valid = {
        vec![claim(1, Position::default()), renew(1, 2), claim(2, at(3))], Some(2)
    },
    repeated_renewal_is_ignored = {
        vec![claim(1, Position::default()), renew(1, 2), renew(1, 2), claim(2, at(3))], Some(2)
    },
    delayed_duplicate_release_is_void = {
        vec![
            claim(1, Position::default()), release(1, at(2), None),
            claim(1, at(3)), release(1, at(2), None),
        ], Some(1)
    },
    release_by_non_owner_is_void = {
        vec![claim(1, Position::default()), release(2, at(2), None)], Some(1)
    },
    release_hands_over_to_successor = {
        vec![claim(1, Position::default()), release(1, at(2), Some(2))], Some(2)
    },
    unknown_successor_is_ignored = {
        vec![claim(1, Position::default()), release(1, at(2), Some(9))], None
    },
    claim_without_a_session_is_void = { vec![claim(9, Position::default())], None },
)]
fn table_applies_only_valid_records(records: Vec<Record>, owner: Option<u64>) {
    let mut replica = Replica::default();
    let mut all = vec![renew(1, 1), renew(2, 1)];
    all.extend(records);
    replica.apply(&Entry {
        offset: 1,
        appended_at_ms: 0,
        records: all,
    });
    assert_eq!(
        replica.leases().holding(SUBJECT).owner,
        owner.map(Incarnation)
    );
}

/// Guards against corrupt records that name a nonexistent seat.
#[test]
fn claim_of_nonexistent_seat_is_ignored() {
    let mut replica = Replica::default();
    let id = Id {
        incarnation: Incarnation(1),
        sequence: 2,
    };
    let subjects = vec![(Subject::Seat(Seat(Seat::LIMIT)), Position::default())];
    let records = vec![renew(1, 1), Record::Claim(Claim { id, subjects })];
    let changes = replica.apply(&Entry {
        offset: 1,
        appended_at_ms: 0,
        records,
    });
    assert_eq!(changes.len(), 1);
}

/// Guards against completing a change of the seat count before every seat holder has acknowledged
/// the configuration.
#[test]
fn lowest_seat_version_covers_every_seat_holder() {
    let versioned = |host: u64, sequence: u64, offset: u64| {
        let id = Id {
            incarnation: Incarnation(host),
            sequence,
        };
        let configuration_version = Position::new(offset, 0);
        Record::Renew(Renew {
            id,
            host: String::new(),
            configuration_version,
        })
    };
    let seat = |host: u64, seat: u16| {
        let id = Id {
            incarnation: Incarnation(host),
            sequence: 100,
        };
        let subjects = vec![(Subject::Seat(Seat(seat)), Position::default())];
        Record::Claim(Claim { id, subjects })
    };
    let mut replica = Replica::default();
    let mut lowest = |offset: u64, records: Vec<Record>| {
        replica.apply(&Entry {
            offset,
            appended_at_ms: 0,
            records,
        });
        replica.leases().lowest_seat_version().map(Position::offset)
    };
    assert_eq!(
        lowest(1, vec![versioned(1, 1, 3), versioned(2, 1, 4)]),
        None
    );
    assert_eq!(lowest(2, vec![seat(1, 0), seat(2, 1)]), Some(3));
    assert_eq!(lowest(3, vec![versioned(1, 2, 9)]), Some(4));
    assert_eq!(lowest(4, vec![versioned(2, 2, 9)]), Some(9));
}

/// Guards against a wait that is shorter than another host's lease at the maximum clock drift.
///
/// Clocks have microsecond resolution here; the approximation 1 + 2 x drift in place of the exact
/// factor fails.
#[test]
fn safe_wait_covers_drift_of_both_clocks() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config {
        cases: 20_000,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (
        1..4_000_000_u64,
        0..100_000_u64,
        0..1_000_u128,
        0..1_000_u128,
    );
    let result = runner.run(&strategy, |(millis, drift, holder_phase, waiter_phase)| {
        let lease = Duration::from_millis(millis);
        let bound = Drift::from_parts_per_million(u32::try_from(drift).expect("small"));
        let waited = bound.safe_wait(lease).as_millis();
        // Both clocks start at real time zero; readings are rounded down to milliseconds.
        let (slow, fast) = (1_000_000 - u128::from(drift), 1_000_000 + u128::from(drift));
        let waiter_true = (waited * 1_000 - waiter_phase) * 1_000_000 / fast;
        let holder = (waiter_true * slow / 1_000_000 + holder_phase) / 1_000;
        assert!(
            holder >= u128::from(millis),
            "{holder} ms of {millis} ms passed"
        );
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}

struct Fleet {
    now: u64,
    log: Vec<Entry>,
    hosts: Vec<(u64, Replica, Holder)>,
    claims: usize,
}

impl Fleet {
    /// Interval between ticks of a host.
    const TICK_MS: u64 = 250;

    /// Creates hosts whose starts are spread evenly over `spread` milliseconds.
    fn new(hosts: u64, spread: u64) -> Self {
        let seats = Seat::count(u16::try_from(hosts).expect("a small fleet"));
        let host = |number: u64| {
            let start = spread * number / hosts;
            let name = format!("host-{number}");
            let timing = Timing::default();
            let incarnation = Incarnation(start << 20 | number);
            let holder = Holder::new(
                Instant::from_millis(start),
                incarnation,
                name,
                seats,
                timing,
            );
            (start, Replica::default(), holder)
        };
        Self {
            now: 0,
            log: Vec::new(),
            hosts: (0..hosts).map(host).collect(),
            claims: 0,
        }
    }

    fn run(&mut self, until: u64) {
        while self.now < until {
            self.now += Self::TICK_MS;
            let now = Instant::from_millis(self.now);
            for (start, replica, holder) in &mut self.hosts {
                if *start > self.now {
                    continue;
                }
                let from = usize::try_from(replica.next_offset().max(1) - 1).expect("a small log");
                for entry in &self.log[from..] {
                    for change in replica.apply(entry) {
                        if let Change::Lease(change) = change {
                            holder.observe(now, &change);
                        }
                    }
                }
                let records = holder.tick(now, replica.leases());
                self.claims += records
                    .iter()
                    .filter(|record| matches!(record, Record::Claim(_)))
                    .count();
                if !records.is_empty() {
                    let offset = self.log.len() as u64 + 1;
                    self.log.push(Entry {
                        offset,
                        appended_at_ms: self.now,
                        records,
                    });
                }
            }
        }
    }

    /// Number of valid shard leases and seat leases of each host.
    fn held(&self) -> Vec<(usize, usize)> {
        let now = Instant::from_millis(self.now);
        let held = self
            .hosts
            .iter()
            .map(|(_, replica, holder)| holder.held(now, replica.leases()));
        held.map(|held| {
            let seats = held
                .iter()
                .filter(|(s, _)| matches!(s, Subject::Seat(_)))
                .count();
            (held.len() - seats, seats)
        })
        .collect()
    }
}

/// Guards against slow startup, unbalanced shards and conflicting claims in a fleet without faults.
///
/// Bounds in milliseconds: when all hosts start together, the initial claim delay and two renewal
/// intervals; for staggered starts also the time until the list of live hosts is stable and one
/// round of releases.
#[parameterized(
    seven_at_once = { 7, 0, 15_000 },
    seven_staggered = { 7, 20_000, 55_000 },
    sixty_staggered = { 60, 30_000, 65_000 },
    full_fleet_at_once = { 360, 0, 15_000 },
)]
fn fleet_spreads_shards_evenly(hosts: u64, spread: u64, bound: u64) {
    let mut fleet = Fleet::new(hosts, spread);
    fleet.run(bound);
    let held = fleet.held();
    let shards = || held.iter().map(|(shards, _)| *shards);
    assert_eq!(
        shards().sum::<usize>(),
        Shard::COUNT,
        "each shard has one owner"
    );
    let (least, most) = (shards().min().unwrap(), shards().max().unwrap());
    assert!(most - least <= 1, "between {least} and {most} shards");
    assert!(
        held.iter().all(|(_, seats)| *seats == 1),
        "each host has one seat"
    );
    let hosts = usize::try_from(hosts).expect("a small fleet");
    assert!(fleet.claims <= 2 * hosts, "{} claims", fleet.claims);
}

/// Guards against a graceful shutdown after which shards stay unowned until the lease expires.
#[test]
fn leaving_host_hands_its_shards_over_at_once() {
    let mut fleet = Fleet::new(7, 0);
    fleet.run(20_000);
    fleet.hosts[3].2.leave();
    fleet.run(22_000);
    let held = fleet.held();
    assert_eq!(held[3], (0, 0));
    assert_eq!(
        held.iter().map(|(shards, _)| shards).sum::<usize>(),
        Shard::COUNT
    );
    let (_, replica, holder) = &fleet.hosts[3];
    assert!(holder.released(replica.leases()));
}

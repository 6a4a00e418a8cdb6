//! Guards against store calls that grow with the number of hosts, and against entries that grow old or
//! get lost because another host reads them.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::history::{Era, Position};
use berylknot_entry::gossip::{Report, View};
use berylknot_entry::readers::{self, Change, Changes};
use berylknot_entry::refresh::Refresh;
use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn change(offset: u64) -> Change {
    Change {
        offset,
        key: format!("engine-{offset}"),
        value: Some(Bytes::from_static(b"entry")),
    }
}

fn position(offset: u64) -> Position {
    Position::new(Era(0), offset)
}

fn offsets(changes: &Changes, from: u64) -> Option<Vec<u64>> {
    let since = changes.since(position(from))?;
    Some(since.iter().map(|change| change.offset).collect())
}

#[test]
fn a_host_gets_just_what_has_changed_since_its_offset() {
    let mut changes = Changes::default();
    changes.restart(position(100));
    // The heartbeats 101 and 103 change nothing.
    changes.add(position(104), [change(100), change(102)]);
    changes.add(position(110), [change(107)]);
    assert_eq!(changes.end(), position(110));
    assert_eq!(offsets(&changes, 100), Some(vec![100, 102, 107]));
    // Another removal and registration of one key in a read must not be repeated.
    assert_eq!(offsets(&changes, 101), Some(vec![102, 107]));
    assert_eq!(offsets(&changes, 108), Some(vec![]));
    assert_eq!(offsets(&changes, 110), Some(vec![]));
}

#[test]
fn a_host_that_lags_or_is_ahead_reads_the_store() {
    let mut changes = Changes::default();
    changes.restart(position(100));
    assert_eq!(offsets(&changes, 99), None);
    assert_eq!(offsets(&changes, 101), None);
    changes.add(position(3_000), (100..3_000).map(change));
    assert_eq!(offsets(&changes, 100), None, "the oldest are dropped");
    let kept = offsets(&changes, 2_900).expect("the newest are kept");
    assert_eq!(kept.len(), 100);
}

#[test]
fn a_host_does_not_get_changes_across_a_restore_of_the_store() {
    let mut changes = Changes::default();
    changes.restart(Position::new(Era(1), 90));
    changes.add(Position::new(Era(1), 110), [change(95), change(104)]);
    assert_eq!(offsets(&changes, 100), None);
    let since = changes.since(Position::new(Era(1), 100));
    assert_eq!(since.map(|since| since.len()), Some(1));
}

/// A late answer of a reader brought older changes behind newer ones. The hosts that read here then got an
/// older removal last, or missed changes, since the search for their position needs rising offsets.
#[test]
fn changes_that_were_read_before_are_not_kept_again() {
    let mut changes = Changes::default();
    changes.restart(position(100));
    changes.add(position(110), [change(104), change(108)]);
    changes.add(position(106), [change(101), change(104)]);
    assert_eq!(changes.end(), position(110));
    assert_eq!(offsets(&changes, 100), Some(vec![104, 108]));
    changes.add(position(112), [change(108), change(111)]);
    assert_eq!(offsets(&changes, 100), Some(vec![104, 108, 111]));
    // Nor those of the store before its restore.
    changes.restart(Position::new(Era(1), 90));
    changes.add(position(120), [change(113)]);
    assert_eq!(changes.end(), Position::new(Era(1), 90));
    let since = changes.since(Position::new(Era(1), 90));
    assert_eq!(since.map(|since| since.len()), Some(0));
}

fn address(host: u16) -> SocketAddr {
    let [high, low] = host.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7_500))
}

fn view(own: u16, hosts: u16) -> View {
    let mut view = View::default();
    for host in (0..hosts).filter(|host| *host != own) {
        view.apply(at(0), address(host), Report::new(1, 1));
    }
    view
}

#[parameterized(
    grown = { 65, 3 },
    large = { 295, 6 },
    two_years = { 360, 7 },
)]
fn all_hosts_agree_on_a_few_readers(hosts: u16, readers: usize) {
    let mut chosen = std::collections::BTreeSet::new();
    let mut own_readers = 0;
    for own in 0..hosts {
        let view = view(own, hosts);
        for draw in 0..10 {
            match view.reader(at(10), address(own), f64::from(draw) / 10.0) {
                Some(reader) => drop(chosen.insert(reader)),
                None => own_readers += 1,
            }
        }
    }
    assert_eq!(chosen.len(), readers);
    assert_eq!(own_readers, readers * 10);
    assert!(!chosen.contains(&address(0)), "the leader has enough to do");
}

#[test]
fn each_of_a_few_hosts_reads_the_store() {
    assert_eq!(readers::count(8), None);
    assert_eq!(view(0, 8).reader(at(10), address(0), 0.5), None);
}

/// Plays hosts that ask readers, of which the first `dead` do not answer; returns the reads of the store
/// per second and the greatest age of the entries at a host.
fn play(hosts: usize, drain_ms: u64, dead: usize) -> (f64, u64) {
    const END_MS: u64 = 20_000;
    const STEP_MS: u64 = 5;
    let mut random = ChaCha8Rng::seed_from_u64(hosts as u64);
    let readers = readers::count(hosts).expect("readers");
    let drain = Duration::from_millis(drain_ms);
    let mut refreshes = vec![Refresh::new(drain); hosts];
    let (mut reads, mut worst) = (0, 0);
    for refresh in &mut refreshes {
        refresh.confirm(at(random.random_range(0..500)));
    }
    for now in (1_000..END_MS).step_by(STEP_MS as usize) {
        for host in 0..hosts {
            let age = refreshes[host]
                .confirmed_at()
                .map_or(0, |confirmed_at| now - confirmed_at.as_millis());
            worst = worst.max(age);
            if !refreshes[host].pause(at(now)).is_zero() {
                continue;
            }
            let reader = random.random_range(0..readers);
            if host < readers || reader < dead {
                reads += 1;
                refreshes[host].confirm(at(now));
                continue;
            }
            let age = refreshes[reader].reader_age();
            if refreshes[reader].is_older_than(at(now), age) {
                reads += 1;
                refreshes[reader].confirm(at(now));
            }
            let as_of = refreshes[reader].confirmed_at().expect("just confirmed");
            assert!(refreshes[host].accepts(at(now), as_of));
            refreshes[host].confirm(as_of);
        }
    }
    let seconds = (END_MS - 1_000) as f64 / 1_000.0;
    (f64::from(reads) / seconds, worst)
}

#[parameterized(
    grown = { 65, 3_000 },
    large = { 295, 4_000 },
    two_years = { 360, 4_000 },
)]
fn a_few_readers_replace_most_reads_and_the_entries_stay_young(hosts: usize, drain_ms: u64) {
    let period = Refresh::new(Duration::from_millis(drain_ms)).period();
    let alone = hosts as f64 / period.as_secs_f64();
    let (reads, worst) = play(hosts, drain_ms, 0);
    assert!(reads * 2.0 < alone, "{reads} in place of {alone} a second");
    // As old as with reads of their own.
    assert!(
        worst <= period.as_millis() as u64 + 20,
        "entries of {worst} ms"
    );
    let (_, worst) = play(hosts, drain_ms, 1);
    assert!(
        worst <= period.as_millis() as u64 + 20,
        "with a dead reader: entries of {worst} ms"
    );
}

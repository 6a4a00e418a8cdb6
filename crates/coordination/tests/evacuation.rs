//! Guards against hosts that go on sending to an evacuated data centre because a peer's knowledge is older
//! or newer than theirs, and against records of other writers.

use berylknot_coordination::evacuation::{Change, Evacuations, MAX_DATA_CENTRES, Notice};
use berylknot_coordination::history::{Era, Position};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const fn at(offset: u64) -> Position {
    Position::new(Era(0), offset)
}

#[test]
fn a_request_holds_until_it_is_taken_back() {
    let mut evacuations = Evacuations::default();
    assert_eq!(evacuations.notice(), None);
    assert_eq!(evacuations.apply(at(3), "north", true), Change::Changed);
    assert_eq!(evacuations.apply(at(4), "north", true), Change::None);
    assert!(evacuations.contains("north") && !evacuations.contains("south"));
    assert_eq!(evacuations.apply(at(5), "south", false), Change::None);
    assert_eq!(evacuations.apply(at(6), "north", false), Change::Changed);
    assert!(evacuations.is_empty());
    // Peers that have not heard of the end have to learn of it.
    let notice = evacuations.notice().expect("an evacuation was seen");
    assert_eq!((notice.read_to, notice.data_centres), (at(7), Vec::new()));
}

#[test]
fn a_peer_that_has_read_less_changes_nothing() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(at(3), "north", true);
    let older = Notice {
        read_to: at(2),
        data_centres: Vec::new(),
    };
    assert_eq!(evacuations.adopt(&older), Change::None);
    assert_eq!(evacuations.list(at(2), std::iter::empty()), Change::None);
    assert!(evacuations.contains("north"));
}

/// Offsets are given out again after a restore.
#[test]
fn a_restored_store_counts_as_newer() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(at(30), "north", true);
    let restored = Position::new(Era(1), 4);
    assert_eq!(
        evacuations.list(restored, std::iter::empty()),
        Change::Changed
    );
    assert!(evacuations.is_empty());
}

#[test]
fn records_of_another_writer_stay_bounded() {
    let mut evacuations = Evacuations::default();
    for index in 0..MAX_DATA_CENTRES as u64 {
        evacuations.apply(at(index), &index.to_string(), true);
    }
    let next = at(MAX_DATA_CENTRES as u64);
    assert_eq!(evacuations.apply(next, "north", true), Change::Ignored);
    assert_eq!(evacuations.iter().count(), MAX_DATA_CENTRES);
}

/// Hosts read the feed in pieces, lose polls and hear each other in any order.
#[test]
fn hosts_agree_with_the_feed_once_one_of_them_has_read_it() {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let names = ["north", "south", "west"];
        let feed: Vec<(&str, bool)> = (0..20)
            .map(|_| (names[random.random_range(0..3)], random.random_bool(0.5)))
            .collect();
        let mut hosts = vec![(Evacuations::default(), 0_usize); 4];
        for _ in 0..60 {
            let host = random.random_range(0..4);
            if random.random_bool(0.5) {
                let (evacuations, read) = &mut hosts[host];
                let end = (*read + random.random_range(0..6)).min(feed.len());
                for (offset, (name, is_evacuated)) in feed.iter().enumerate().take(end).skip(*read)
                {
                    evacuations.apply(at(offset as u64), name, *is_evacuated);
                }
                *read = end;
            } else if let Some(notice) = hosts[random.random_range(0..4)].0.notice() {
                hosts[host].0.adopt(&notice);
            }
        }
        let mut expected = Evacuations::default();
        for (offset, (name, is_evacuated)) in feed.iter().enumerate() {
            expected.apply(at(offset as u64), name, *is_evacuated);
        }
        let Some(notice) = expected.notice() else {
            continue;
        };
        for (mut evacuations, _) in hosts {
            evacuations.adopt(&notice);
            assert!(evacuations.iter().eq(expected.iter()), "seed {seed}");
        }
    }
}

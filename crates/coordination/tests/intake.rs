//! Guards against crowds of clients that stop short of the end and keep the memory of a host from others, and
//! against bounds that end clients which leave room.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::intake::{
    Budget, IDLE_TIME, MIN_PACE, PACE_TIME, STALL_TIME, Uploads, idlest,
};

const START: Instant = Instant::from_millis(1_000);

#[test]
fn the_upload_that_has_stalled_for_longest_ends_first() {
    let mut uploads = Uploads::default();
    let first = uploads.begin(START);
    let second = uploads.begin(START);
    uploads.received(START + Duration::from_millis(10), first, 1);
    let now = START + STALL_TIME + Duration::from_millis(20);
    assert_eq!(uploads.end_slowest(now), Some(second));
    assert_eq!(uploads.end_slowest(now), Some(first));
    assert_eq!(uploads.end_slowest(now), None, "each ends once");
}

#[test]
fn uploads_that_go_on_do_not_end() {
    let mut uploads = Uploads::default();
    let ticket = uploads.begin(START);
    let mut now = START;
    let step = Duration::from_millis(500);
    for _ in 0..60 {
        now = now + step;
        uploads.received(now, ticket, (MIN_PACE * step.as_secs_f64()) as usize);
        assert_eq!(uploads.end_slowest(now), None);
    }
}

#[test]
fn an_upload_below_the_pace_ends_although_it_never_stalls() {
    let mut uploads = Uploads::default();
    let ticket = uploads.begin(START);
    let mut now = START;
    while now < START + PACE_TIME {
        assert_eq!(uploads.end_slowest(now), None);
        now = now + Duration::from_millis(100);
        uploads.received(now, ticket, 1);
    }
    assert_eq!(uploads.end_slowest(now), Some(ticket));
}

#[test]
fn the_wait_for_memory_does_not_count_against_an_upload() {
    let mut uploads = Uploads::default();
    let ticket = uploads.begin(START);
    uploads.wait(ticket);
    let later = START + Duration::from_secs(60);
    assert_eq!(uploads.end_slowest(later), None);
    uploads.go_on(later, ticket);
    assert_eq!(uploads.end_slowest(later + Duration::from_secs(1)), None);
    assert_eq!(uploads.end_slowest(later + STALL_TIME), Some(ticket));
}

#[test]
fn only_a_connection_that_has_been_idle_gives_way() {
    let now = START + IDLE_TIME;
    let recent = START + Duration::from_millis(1);
    assert_eq!(idlest(now, [(1, START), (2, recent)].into_iter()), Some(1));
    assert_eq!(idlest(now, [(2, recent)].into_iter()), None);
    assert_eq!(idlest::<u32>(now, std::iter::empty()), None);
}

/// The smallest host of the users' sites, and one whose operator allows bodies beyond its share.
#[test]
fn two_of_the_largest_bodies_always_have_room() {
    let largest = 4 << 20;
    let budget = Budget::new(88_000_000, 4_100, largest);
    assert!(budget.large_bodies >= 2 * largest);
    let connections = budget.connections * 48 * 1_024;
    assert!(budget.large_bodies + budget.medium_bodies + connections < 88_000_000 / 2);
    assert_eq!(
        Budget::new(88_000_000, 4_100, 32 << 20).large_bodies,
        64 << 20
    );
    assert_eq!(Budget::new(0, 0, 0).connections, 1);
}

//! Guards against lost links that are taken for failing endpoints, failing endpoints that are taken for
//! lost links, and short silences that are taken for either.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::link::{Change, Fault, Link, Reach, Step};
use yare::parameterized;

const START: Instant = Instant::from_millis(10_000);

/// Steps a link every 10 ms until `end`; each probe finds `reach` after 20 ms. Returns the changes.
fn play(
    link: &mut Link,
    end: Instant,
    reach: impl Fn(Instant) -> Reach,
) -> Vec<(Duration, Change)> {
    let mut changes = Vec::new();
    let mut now = START;
    while now < end {
        if link.step(now) == Step::Probe {
            let started = now;
            now = now + Duration::from_millis(20);
            let change = link.probed(now, started, reach(now));
            changes.extend(change.map(|change| (now.since(START), change)));
        }
        now = now + Duration::from_millis(10);
    }
    changes
}

#[test]
fn sound_links_are_not_probed() {
    let mut link = Link::default();
    link.answered(START, START);
    assert_eq!(link.step(START + Duration::from_secs(1)), Step::Idle);
}

#[test]
fn an_endpoint_that_crashes_is_not_taken_for_lost_links() {
    let mut link = Link::default();
    link.closed(START);
    assert_eq!(link.fault(START), None);
    let later = START + Duration::from_millis(50);
    link.answered(later, Instant::from_millis(1));
    assert_eq!(link.step(later), Step::Idle);
    assert_eq!(link.fault(START), Some(Fault::Endpoint));
    assert!(!link.is_lost());
}

#[test]
fn an_answer_that_was_received_before_the_loss_proves_nothing() {
    let mut link = Link::default();
    link.closed(START);
    link.answered(START + Duration::from_millis(1), START);
    assert_eq!(link.fault(START), None);
}

/// Guards against a loss during a round of probes that no later round settles: without other answers it
/// stays unconfirmed for seconds, or counts against its endpoint although the links are lost.
#[parameterized(
    sound_links = { Reach::Answered, Fault::Endpoint },
    links_lost_after_the_answer = { Reach::Refused, Fault::Link },
)]
fn a_loss_just_before_the_answer_to_a_probe_is_settled_by_the_next_round(
    next: Reach,
    fault: Fault,
) {
    let mut link = Link::default();
    link.closed(START);
    let first_round = START + Duration::from_millis(60);
    assert_eq!(link.step(first_round), Step::Probe);
    let closed_at = first_round + Duration::from_millis(1);
    link.closed(closed_at);
    let answered_at = first_round + Duration::from_millis(2);
    assert_eq!(link.probed(answered_at, first_round, Reach::Answered), None);
    assert_eq!(link.fault(START), Some(Fault::Endpoint));
    assert_eq!(link.fault(closed_at), None, "the answer may be older");
    let end = START + Duration::from_secs(1);
    play(&mut link, end, |_| next);
    assert_eq!(link.fault(closed_at), Some(fault));
}

#[test]
fn reset_connections_do_not_count_against_endpoints_when_none_can_be_reached() {
    let mut link = Link::default();
    link.closed(START);
    let changes = play(&mut link, START + Duration::from_millis(500), |_| {
        Reach::Refused
    });
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].1, Change::Lost);
    assert!(link.is_lost());
    assert_eq!(link.fault(START), Some(Fault::Link));
    let later = START + Duration::from_millis(400);
    assert_eq!(link.fault(later), Some(Fault::Link), "losses while lost");
}

#[test]
fn losses_before_the_links_were_lost_stay_the_links_fault_after_their_return() {
    let mut link = Link::default();
    link.closed(START);
    let back = START + Duration::from_millis(200);
    let changes = play(&mut link, START + Duration::from_secs(1), |now| {
        if now < back {
            Reach::Refused
        } else {
            Reach::Answered
        }
    });
    let changes: Vec<Change> = changes.into_iter().map(|(_, change)| change).collect();
    assert_eq!(changes, [Change::Lost, Change::Regained]);
    assert_eq!(link.fault(START), Some(Fault::Link));
    assert!(!link.is_lost());
}

#[test]
fn open_connections_that_answer_do_not_hide_that_new_ones_are_refused() {
    let mut link = Link::default();
    let opened_before = Instant::from_millis(1);
    link.unopened(START);
    link.answered(START + Duration::from_millis(50), opened_before);
    let changes = play(&mut link, START + Duration::from_millis(300), |_| {
        Reach::Refused
    });
    assert_eq!(changes.len(), 1, "{changes:?}");
    let now = START + Duration::from_millis(300);
    link.answered(now, opened_before);
    assert!(link.is_lost() && link.keeps_open(now));
    assert!(!link.keeps_open(now + Duration::from_secs(1)), "hanging");
}

#[parameterized(
    second = { 1_000, false },
    second_or_so = { 1_200, false },
    lost = { 12_000, true },
)]
fn a_silence_counts_as_a_loss_only_after_more_than_a_second(millis: u64, is_lost: bool) {
    let mut link = Link::default();
    link.closed(START);
    let back = START + Duration::from_millis(millis);
    let changes = play(&mut link, back + Duration::from_secs(1), |now| {
        if now < back {
            Reach::Silent
        } else {
            Reach::Answered
        }
    });
    let lost = changes.iter().find(|(_, change)| *change == Change::Lost);
    assert_eq!(lost.is_some(), is_lost, "{changes:?}");
    // Callers of a host that has lost its links are to be served from 3 s after the cut began.
    assert!(lost.is_none_or(|(after, _)| *after < Duration::from_secs(2)));
    let end = changes.last().map(|(_, change)| *change);
    let expected = if is_lost {
        Change::Regained
    } else {
        Change::Resumed
    };
    assert_eq!(end, Some(expected));
}

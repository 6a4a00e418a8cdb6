//! Property tests of the placement on endpoints.

mod policy_support;

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::placement::{
    CacheChange, Candidate, Chooser, Key, Prompt, Role, Settings,
};
use policy_support::{Check, search};
use proptest::collection::vec;
use proptest::prelude::Strategy;

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// All hosts draw the same number and do not record what they sent.
    SameDraw,
    /// The chooser is not told that an endpoint is unavailable.
    AvailabilityUnknown,
}

fn chooser(data_centre: usize, prefill: usize, decode: usize) -> (Chooser, Vec<Key>, Vec<Key>) {
    let mut chooser = Chooser::new(Settings {
        data_centre,
        delay_us: vec![
            vec![100, 500, 500],
            vec![500, 100, 500],
            vec![500, 500, 100],
        ],
        hosts: 7,
        piece_tokens: 2_000,
        prefill_ns_per_token: 30_000,
        kv_bytes_per_token: 40_000,
        cross_link_bytes_per_ms: 2_500_000,
        local_link_bytes_per_ms: 5_000_000,
    });
    let mut add = |role, count: usize| -> Vec<Key> {
        (0..count)
            .map(|number| {
                chooser.add(Candidate {
                    role,
                    data_centre: number % 3,
                    slots: 20,
                })
            })
            .collect()
    };
    let prefill = add(Role::Prefill, prefill);
    let decode = add(Role::Decode, decode);
    (chooser, prefill, decode)
}

const fn prompt(pieces: &[u64], tokens: u32) -> Prompt<'_> {
    Prompt { pieces, tokens }
}

/// Guards against herding: seven hosts with equal load reports that send all requests between two
/// reports to the same endpoint.
fn check_herding(draws: &[u64], fault: Fault) -> Check {
    let mut hosts: Vec<_> = (0..7).map(|host| chooser(host % 3, 4, 7)).collect();
    let now = Instant::from_millis(1_000);
    let mut counts = [0_u32; 4];
    for (number, draw) in draws.iter().enumerate() {
        let (chooser, prefill, _) = &mut hosts[number % 7];
        for (rank, key) in (0_u32..).zip(prefill.iter()) {
            chooser.report(now, *key, rank / 3, Duration::from_millis(150));
        }
        let draw = if fault == Fault::SameDraw { 0 } else { *draw };
        let choice = chooser
            .choose(now, prompt(&[], 2_000), draw)
            .ok_or("no endpoint was chosen")?;
        if fault != Fault::SameDraw {
            let decode = choice.decode[0].ok_or("no decode endpoint was chosen")?;
            chooser.sent(now, &choice, decode, 2_000);
        }
        let index = prefill.iter().position(|key| *key == choice.prefill);
        counts[index.ok_or("the chosen endpoint is not a prefill endpoint")?] += 1;
    }
    let most = counts.iter().max().copied().unwrap_or(0);
    // Three endpoints are equally loaded, the fourth has one more request.
    if most as usize * 100 > draws.len() * 55 {
        return Err(format!(
            "one endpoint got more than 55 % of the requests: {counts:?}"
        ));
    }
    Ok(())
}

/// Guards against herding of hosts with equal load reports.
#[test]
fn hosts_with_equal_reports_spread() {
    let draws = vec(proptest::num::u64::ANY, 70);
    let found = search(&draws, |draws| check_herding(&draws, Fault::None));
    assert_eq!(found, Ok(()));
}

/// Guards against a herding check that cannot fail.
#[test]
fn herding_check_rejects_equal_draws() {
    let draws = vec(proptest::num::u64::ANY, 70);
    assert!(search(&draws, |draws| check_herding(&draws, Fault::SameDraw)).is_err());
}

/// Guards against placing a request on an endpoint that is dead, leaving or ejected.
fn check_availability(input: (Vec<bool>, u64, Vec<u64>), fault: Fault) -> Check {
    let (unavailable, draw, pieces) = input;
    let (mut chooser, prefill, decode) = chooser(0, 40, 40);
    let keys: Vec<Key> = prefill.into_iter().chain(decode).collect();
    for (key, unavailable) in keys.iter().zip(&unavailable) {
        for (sequence, piece) in (0..).zip(&pieces) {
            chooser.cache_event(*key, sequence, CacheChange::Stored, *piece);
        }
        if fault != Fault::AvailabilityUnknown {
            chooser.set_available(*key, !unavailable);
        }
    }
    let now = Instant::from_millis(0);
    let Some(choice) = chooser.choose(now, prompt(&pieces, 9_000), draw) else {
        return Ok(());
    };
    for chosen in choice.decode.into_iter().flatten().chain([choice.prefill]) {
        let place = keys.iter().position(|key| *key == chosen);
        if place.is_none_or(|place| unavailable[place]) {
            return Err(format!("{chosen:?} was chosen although it is unavailable"));
        }
    }
    Ok(())
}

fn fleets() -> impl Strategy<Value = (Vec<bool>, u64, Vec<u64>)> {
    let pieces = vec(0_u64..50, 0..5);
    (
        vec(proptest::bool::ANY, 80),
        proptest::num::u64::ANY,
        pieces,
    )
}

/// Guards against placing a request on an unavailable endpoint.
#[test]
fn only_available_endpoints_are_chosen() {
    let found = search(&fleets(), |input| check_availability(input, Fault::None));
    assert_eq!(found, Ok(()));
}

/// Guards against an availability check that cannot fail.
#[test]
fn availability_check_rejects_unavailable_endpoint() {
    let found = search(&fleets(), |input| {
        check_availability(input, Fault::AvailabilityUnknown)
    });
    assert!(found.is_err());
}

/// Guards against prefix cache misses in a large fleet in which only one endpoint holds the prefix.
#[test]
fn prefix_holder_is_found_in_large_fleet() {
    let (mut chooser, prefill, _) = chooser(0, 1_500, 1_600);
    let pieces: Vec<u64> = (0..8).collect();
    for (sequence, piece) in (0..).zip(&pieces) {
        chooser.cache_event(prefill[777], sequence, CacheChange::Stored, *piece);
    }
    let now = Instant::from_millis(0);
    let mut hits = 0;
    for draw in 0..100 {
        let choice = chooser.choose(now, prompt(&pieces, 16_500), draw);
        hits += u32::from(choice.is_some_and(|choice| choice.prefill == prefill[777]));
    }
    assert!(hits >= 95, "{hits} of 100 placements chose the holder");
}

/// Guards against a popular prefix that loads only the first of its many holders.
#[test]
fn requests_for_popular_prefix_spread_over_its_holders() {
    let (mut chooser, prefill, _) = chooser(0, 400, 400);
    let pieces: Vec<u64> = (0..8).collect();
    for key in &prefill[100..140] {
        for (sequence, piece) in (0..).zip(&pieces) {
            chooser.cache_event(*key, sequence, CacheChange::Stored, *piece);
        }
    }
    let now = Instant::from_millis(0);
    let mut chosen: Vec<Key> = (0..200)
        .filter_map(|draw| chooser.choose(now, prompt(&pieces, 16_500), draw))
        .map(|choice| choice.prefill)
        .filter(|key| prefill[100..140].contains(key))
        .collect();
    let hits = chosen.len();
    chosen.sort();
    chosen.dedup();
    assert!(
        hits >= 190 && chosen.len() >= 30,
        "{hits} of 200 placements chose {} different holders",
        chosen.len()
    );
}

/// Guards against a stale prefix cache index after lost, repeated and late events.
#[test]
fn prefill_corrects_lost_and_late_events() {
    let (mut chooser, prefill, _) = chooser(0, 2, 2);
    let pieces: Vec<u64> = (0..8).collect();
    for (sequence, piece) in (0..).zip(&pieces) {
        chooser.cache_event(prefill[1], sequence, CacheChange::Stored, *piece);
    }
    let now = Instant::from_millis(0);
    let cached = |chooser: &Chooser| {
        let choice = chooser.choose(now, prompt(&pieces, 16_500), 1)?;
        Some((choice.prefill, choice.cached))
    };
    assert_eq!(cached(&chooser), Some((prefill[1], 8)));
    // A repeated event is ignored; a gap lowers the confidence, not the cached depth.
    chooser.cache_event(prefill[1], 3, CacheChange::Removed, 0);
    assert_eq!(cached(&chooser), Some((prefill[1], 8)));
    chooser.cache_event(prefill[1], 9, CacheChange::Removed, 4);
    assert_eq!(cached(&chooser), Some((prefill[1], 4)));
    chooser.prefilled(prefill[1], &pieces[..2], 0);
    assert_eq!(cached(&chooser), Some((prefill[1], 4)));
    chooser.forget_cache(prefill[1]);
    assert_eq!(cached(&chooser).map(|one| one.1), Some(0));
}

/// Guards against KV transfers that all queue on one link between data centres.
#[test]
fn congested_link_is_avoided() {
    let (mut chooser, prefill, decode) = chooser(0, 1, 2);
    let now = Instant::from_millis(0);
    chooser.set_available(decode[0], false);
    for draw in 0..5 {
        let choice = chooser
            .choose(now, prompt(&[], 20_000), draw)
            .expect("the endpoint behind the link is available");
        assert_eq!(choice.prefill, prefill[0]);
        assert_eq!(choice.decode[0], Some(decode[1]));
        chooser.sent(now, &choice, decode[1], 20_000);
    }
    chooser.set_available(decode[0], true);
    // Even with fifteen more requests, the endpoint in the same data centre is the better choice.
    chooser.report(now, decode[0], 15, Duration::ZERO);
    let chosen: Vec<_> = (0..20)
        .filter_map(|draw| chooser.choose(now, prompt(&[], 20_000), draw))
        .map(|choice| choice.decode[0])
        .collect();
    assert_eq!(chosen, vec![Some(decode[0]); 20]);
}

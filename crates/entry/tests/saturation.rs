//! Guards against an engine that refuses request after request since the forecast shows it as empty.

use berylknot_coordination::clock::Instant;
use berylknot_entry::directory::Key;
use berylknot_entry::ledger::{Capacity, Run, peak};
use berylknot_entry::saturation::Saturation;
use slotmap::SlotMap;

const CAPACITY: Capacity = Capacity {
    slots: 64,
    kv_tokens: 65_258,
};
const RUN: Run = Run {
    held: 5_200,
    left: 518,
};
/// Decode time of a generation, and the interval between arrivals in a burst.
const RUN_MS: u64 = 3_600;
const ARRIVAL_MS: u64 = 40;
const ENGINES: usize = 6;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Plays a burst over engines of which the first refuses everything; returns the refusals and the
/// generations served.
fn play(believes_refusals: bool) -> (u32, u32) {
    let mut keys: SlotMap<Key, ()> = SlotMap::with_key();
    let keys: Vec<Key> = (0..ENGINES).map(|_| keys.insert(())).collect();
    let mut saturation = Saturation::default();
    // Ends of the running generations of each engine.
    let mut running: Vec<Vec<u64>> = vec![Vec::new(); ENGINES];
    let (mut refused, mut served) = (0, 0);
    for now in (0..11_000).step_by(ARRIVAL_MS as usize) {
        for ends in &mut running {
            ends.retain(|end| *end > now);
        }
        let cost = |engine: usize| {
            let mut runs = vec![RUN; running[engine].len() + 1];
            let share = CAPACITY.share(&mut runs)?;
            let limit = saturation.limit(at(now), keys[engine]);
            let exceeds = believes_refusals && limit.is_some_and(|limit| peak(&mut runs) > limit);
            (!exceeds).then_some(share)
        };
        let chosen = (0..ENGINES)
            .filter_map(|engine| Some((cost(engine)?, engine)))
            .min_by(|one, other| one.0.total_cmp(&other.0));
        let Some((_, engine)) = chosen else {
            continue;
        };
        if engine == 0 {
            refused += 1;
            saturation.refused(at(now), keys[0], 0);
            continue;
        }
        running[engine].push(now + RUN_MS);
        served += 1;
    }
    (refused, served)
}

#[test]
fn an_engine_that_refuses_everything_is_asked_less_and_less() {
    let (refused, served) = play(true);
    let (refused_before, served_before) = play(false);
    // Bounds of 0.5, 1, 2, 4 and 8 s follow each other within 11 s.
    assert!(refused <= 5, "{refused} refusals");
    assert!(
        refused_before > 100,
        "{refused_before} refusals without the bound"
    );
    assert!(served > served_before, "{served} against {served_before}");
}

#[test]
fn an_engine_that_is_full_for_one_size_still_gets_smaller_requests() {
    let mut saturation = Saturation::default();
    let key = Key::default();
    saturation.refused(at(0), key, 40_000);
    let limit = saturation.limit(at(100), key).expect("a bound");
    let small = Run {
        held: 500,
        left: 50,
    };
    // Two of the running generations have ended since.
    let mut runs = vec![RUN; 5];
    runs.push(small);
    assert!(peak(&mut runs) <= limit);
    assert!(peak(&mut [RUN; 8]) > limit);
}

#[test]
fn refusals_of_requests_on_their_way_do_not_prolong_the_bound() {
    let mut saturation = Saturation::default();
    let key = Key::default();
    for now in 0..20 {
        saturation.refused(at(now), key, 40_000 - now);
    }
    assert_eq!(saturation.limit(at(499), key), Some(40_000 - 19));
    assert_eq!(saturation.limit(at(500), key), None);
}

#[test]
fn a_bound_ends_and_is_short_again_after_a_calm_time() {
    let mut saturation = Saturation::default();
    let key = Key::default();
    for now in [0, 500, 1_500, 3_500] {
        assert_eq!(saturation.limit(at(now), key), None, "at {now}");
        saturation.refused(at(now), key, 100);
    }
    assert_eq!(saturation.limit(at(7_400), key), Some(100));
    saturation.expire(at(20_000));
    saturation.refused(at(20_000), key, 100);
    assert_eq!(saturation.limit(at(20_500), key), None);
    saturation.remove(key);
    assert_eq!(saturation.limit(at(20_100), key), None);
}

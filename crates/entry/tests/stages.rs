//! Guards against a split in which one stage is the bottleneck while engines of the other are idle, and
//! against engines that change stage back and forth.

use berylknot_coordination::clock::Instant;
use berylknot_entry::directory::{Key, Stage};
use berylknot_entry::fleet::Engine as Properties;
use berylknot_entry::mix::Mix;
use berylknot_entry::stages::{
    Debounce, Demand, Engine, Throughput, debounce_time, max_changing, next_change,
};
use slotmap::SlotMap;
use std::time::Duration;

fn engines(prefill: usize, decode: usize) -> Vec<Engine> {
    let mut keys: SlotMap<Key, ()> = SlotMap::with_key();
    (0..prefill + decode)
        .map(|index| Engine {
            key: keys.insert(()),
            stage: if index < prefill {
                Stage::Prefill
            } else {
                Stage::Decode
            },
            data_centre: index % 3,
            requests: 0,
            can_change: true,
        })
        .collect()
}

fn registry_throughput() -> Throughput {
    let engine = Properties {
        slots: 12,
        capacity: 71_518,
        tokens_per_event: 58,
        kv_retention: Duration::from_millis(500),
        stage_change: Duration::from_secs(6),
    };
    Mix::new(engine.tokens_per_event).throughput(&engine)
}

fn settle(engines: &mut [Engine], throughput: Throughput) -> (usize, usize) {
    let mut changes = 0;
    while let Some((key, stage)) = next_change(engines, throughput, f64::INFINITY) {
        for engine in engines.iter_mut().filter(|engine| engine.key == key) {
            engine.stage = stage;
        }
        changes += 1;
        assert!(
            changes <= engines.len(),
            "engines change stage back and forth"
        );
    }
    (
        engines
            .iter()
            .filter(|engine| engine.stage == Stage::Prefill)
            .count(),
        changes,
    )
}

#[test]
fn the_registry_workload_moves_one_engine_from_prefill_to_decode() {
    let mut engines = engines(4, 7);
    let (prefill, changes) = settle(&mut engines, registry_throughput());
    assert_eq!((prefill, changes), (3, 1));
}

#[test]
fn a_stage_without_engines_gets_one() {
    let mut all_decode = engines(0, 6);
    assert_eq!(settle(&mut all_decode, registry_throughput()).0, 1);
    let mut all_prefill = engines(6, 0);
    assert!(settle(&mut all_prefill, registry_throughput()).0 <= 2);
}

#[test]
fn a_single_engine_keeps_its_stage() {
    assert_eq!(
        next_change(&engines(0, 1), registry_throughput(), f64::INFINITY),
        None
    );
    assert_eq!(
        next_change(&engines(1, 0), registry_throughput(), f64::INFINITY),
        None
    );
}

#[test]
fn a_balanced_split_is_kept() {
    assert_eq!(
        next_change(&engines(3, 8), registry_throughput(), f64::INFINITY),
        None
    );
}

#[test]
fn the_data_centre_with_most_engines_of_a_stage_changes_one() {
    let mut engines = engines(4, 7);
    let (key, _) = next_change(&engines, registry_throughput(), f64::INFINITY).expect("a change");
    let changed = engines
        .iter_mut()
        .find(|engine| engine.key == key)
        .expect("known");
    assert_eq!(
        changed.data_centre, 0,
        "data centre 0 has two of the four prefill engines"
    );
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Delay of a change of 6 s with generations of 3.5 s.
const DEBOUNCE_TIME: Duration = Duration::from_millis(9_500);

#[test]
fn a_short_absence_of_engines_causes_no_change() {
    let mut debounce = Debounce::default();
    let engines = engines(2, 6);
    assert!(!debounce.is_due(at(0), Some(Stage::Prefill), &engines, DEBOUNCE_TIME));
    assert!(!debounce.is_due(at(3_000), Some(Stage::Prefill), &engines, DEBOUNCE_TIME));
    assert!(!debounce.is_due(at(3_500), None, &engines, DEBOUNCE_TIME));
    assert!(!debounce.is_due(at(5_000), Some(Stage::Prefill), &engines, DEBOUNCE_TIME));
    assert!(!debounce.is_due(at(9_000), Some(Stage::Prefill), &engines, DEBOUNCE_TIME));
    assert!(debounce.is_due(at(14_500), Some(Stage::Prefill), &engines, DEBOUNCE_TIME));
}

#[test]
fn a_stage_without_engines_is_filled_without_delay() {
    let mut debounce = Debounce::default();
    assert!(debounce.is_due(at(0), Some(Stage::Prefill), &engines(0, 6), DEBOUNCE_TIME));
}

#[test]
fn a_split_that_serves_the_demand_is_kept() {
    let throughput = Throughput {
        prefill: 10.0,
        decode: 3.0,
    };
    let engines = engines(4, 6);
    // Six decode engines serve 18 a second, seven would serve 21.
    assert_eq!(next_change(&engines, throughput, 15.0), None);
    assert_eq!(next_change(&engines, throughput, 18.5), None);
    assert!(next_change(&engines, throughput, 25.0).is_some());
    assert!(next_change(&engines, throughput, f64::INFINITY).is_some());
}

#[test]
fn an_engine_that_was_ordered_recently_is_not_changed() {
    let mut engines = engines(4, 7);
    for engine in &mut engines {
        engine.can_change = engine.stage == Stage::Decode;
    }
    let change = next_change(&engines, registry_throughput(), f64::INFINITY);
    assert_eq!(change, None);
}

#[test]
fn a_burst_that_ends_before_the_change_would_causes_none() {
    let throughput = Throughput {
        prefill: 10.0,
        decode: 3.0,
    };
    let engines = engines(1, 9);
    let delay = debounce_time(Duration::from_secs(6), Duration::from_millis(3_500));
    let (mut demand, mut debounce) = (Demand::default(), Debounce::default());
    let mut due_at = None;
    // Two bursts of 4 s at 40 a second, then a lasting shift from 30 s on.
    for now in (0..60_000).step_by(10) {
        let is_burst = (5_000..9_000).contains(&now) || (15_000..19_000).contains(&now);
        let per_second = if is_burst || now >= 30_000 { 40 } else { 10 };
        if now % (1_000 / per_second) < 10 {
            demand.count(at(now));
        }
        if now % 500 > 0 {
            continue;
        }
        let change = next_change(&engines, throughput, demand.per_second(at(now)));
        let wanted = change.map(|(_, stage)| stage);
        if debounce.is_due(at(now), wanted, &engines, delay) {
            due_at = due_at.or(Some(now));
        }
    }
    let due_at = due_at.expect("a lasting shift is followed");
    assert!((39_500..45_000).contains(&due_at), "{due_at}");
}

#[test]
fn only_a_small_part_of_a_large_service_changes_at_a_time() {
    assert_eq!(max_changing(2), 1);
    assert_eq!(max_changing(11), 1);
    assert_eq!(max_changing(90), 5);
}

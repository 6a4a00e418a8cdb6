//! Guards against fleets in which one stage binds while engines of the other idle, and against
//! engines that change back and forth.

use berylknot_coordination::clock::Instant;
use berylknot_entry::directory::{Key, Stage};
use berylknot_entry::fleet::Engine as Properties;
use berylknot_entry::mix::Mix;
use berylknot_entry::stages::{DEBOUNCE_TIME, Debounce, Engine, Throughput, next};
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
        })
        .collect()
}

fn registry() -> Throughput {
    let engine = Properties {
        slots: 12,
        capacity: 71_518,
        tokens_per_event: 58,
        kv_retention: Duration::from_millis(500),
        stage_change: Duration::from_secs(6),
    };
    Mix::default().throughput(&engine)
}

fn settle(engines: &mut [Engine], throughput: Throughput) -> (usize, usize) {
    let mut changes = 0;
    while let Some((key, stage)) = next(engines, throughput) {
        for engine in engines.iter_mut().filter(|engine| engine.key == key) {
            engine.stage = stage;
        }
        changes += 1;
        assert!(changes <= engines.len(), "engines change back and forth");
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
fn the_registry_needs_fewer_prefill_engines_than_it_starts_with() {
    let mut engines = engines(4, 7);
    let (prefill, changes) = settle(&mut engines, registry());
    assert_eq!((prefill, changes), (3, 1));
}

#[test]
fn a_lost_stage_is_filled_again() {
    let mut all_decode = engines(0, 6);
    assert_eq!(settle(&mut all_decode, registry()).0, 1);
    let mut all_prefill = engines(6, 0);
    assert!(settle(&mut all_prefill, registry()).0 <= 2);
}

#[test]
fn a_single_engine_stays_as_it_is() {
    assert_eq!(next(&engines(0, 1), registry()), None);
    assert_eq!(next(&engines(1, 0), registry()), None);
}

#[test]
fn a_good_split_stays() {
    assert_eq!(next(&engines(3, 8), registry()), None);
}

#[test]
fn the_data_centre_with_most_of_a_stage_gives_one_up() {
    let mut engines = engines(4, 7);
    let (key, _) = next(&engines, registry()).expect("a change");
    let changed = engines
        .iter_mut()
        .find(|engine| engine.key == key)
        .expect("known");
    assert_eq!(
        changed.data_centre, 0,
        "it has two of the four prefill engines"
    );
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn engines_that_are_away_for_a_moment_change_nothing() {
    let mut debounce = Debounce::default();
    let engines = engines(2, 6);
    assert!(!debounce.is_due(at(0), Some(Stage::Prefill), &engines, DEBOUNCE_TIME));
    assert!(!debounce.is_due(at(3_000), Some(Stage::Prefill), &engines, DEBOUNCE_TIME));
    assert!(!debounce.is_due(at(3_500), None, &engines, DEBOUNCE_TIME));
    assert!(!debounce.is_due(at(5_000), Some(Stage::Prefill), &engines, DEBOUNCE_TIME));
    assert!(debounce.is_due(at(9_000), Some(Stage::Prefill), &engines, DEBOUNCE_TIME));
}

#[test]
fn a_stage_without_any_engine_is_filled_at_once() {
    let mut debounce = Debounce::default();
    assert!(debounce.is_due(at(0), Some(Stage::Prefill), &engines(0, 6), DEBOUNCE_TIME));
}

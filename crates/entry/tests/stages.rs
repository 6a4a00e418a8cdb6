//! Guards against a split in which one stage is the bottleneck while engines of the other are idle, and
//! against engines that change stage back and forth.

use berylknot_coordination::clock::Instant;
use berylknot_entry::directory::{Key, Stage};
use berylknot_entry::fleet::Engine as Properties;
use berylknot_entry::mix::Mix;
use berylknot_entry::stages::{DEBOUNCE_TIME, Debounce, Engine, Throughput, next_change};
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
    while let Some((key, stage)) = next_change(engines, throughput) {
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
    assert_eq!(next_change(&engines(0, 1), registry_throughput()), None);
    assert_eq!(next_change(&engines(1, 0), registry_throughput()), None);
}

#[test]
fn a_balanced_split_is_kept() {
    assert_eq!(next_change(&engines(3, 8), registry_throughput()), None);
}

#[test]
fn the_data_centre_with_most_engines_of_a_stage_changes_one() {
    let mut engines = engines(4, 7);
    let (key, _) = next_change(&engines, registry_throughput()).expect("a change");
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

#[test]
fn a_short_absence_of_engines_causes_no_change() {
    let mut debounce = Debounce::default();
    let engines = engines(2, 6);
    assert!(!debounce.is_due(at(0), Some(Stage::Prefill), &engines, DEBOUNCE_TIME));
    assert!(!debounce.is_due(at(3_000), Some(Stage::Prefill), &engines, DEBOUNCE_TIME));
    assert!(!debounce.is_due(at(3_500), None, &engines, DEBOUNCE_TIME));
    assert!(!debounce.is_due(at(5_000), Some(Stage::Prefill), &engines, DEBOUNCE_TIME));
    assert!(debounce.is_due(at(9_000), Some(Stage::Prefill), &engines, DEBOUNCE_TIME));
}

#[test]
fn a_stage_without_engines_is_filled_without_delay() {
    let mut debounce = Debounce::default();
    assert!(debounce.is_due(at(0), Some(Stage::Prefill), &engines(0, 6), DEBOUNCE_TIME));
}

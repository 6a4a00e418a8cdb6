//! Guards against repeated prefills of prompts that an engine has cached, and against engines chosen
//! from an outdated index.

use berylknot_coordination::clock::Instant;
use berylknot_entry::directory::Key;
use berylknot_entry::parts::{CachedPart, Part, Parts};
use slotmap::SlotMap;

const PART: Part = Part(7);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn cached(tokens: u32) -> Vec<CachedPart> {
    vec![CachedPart { part: PART, tokens }]
}

fn keys() -> (Key, Key) {
    let mut keys: SlotMap<Key, ()> = SlotMap::with_key();
    (keys.insert(()), keys.insert(()))
}

#[test]
fn the_engine_with_the_most_cached_tokens_is_found() {
    let (one, two) = keys();
    let mut parts = Parts::default();
    parts.replace(at(0), [(one, cached(16)), (two, cached(660))]);
    assert_eq!(parts.find(PART), Some(two));
    assert_eq!(parts.find(Part(8)), None);
}

#[test]
fn a_part_without_cached_tokens_is_not_found() {
    let (one, _) = keys();
    let mut parts = Parts::default();
    parts.replace(at(0), [(one, cached(0))]);
    assert_eq!(parts.find(PART), None);
}

#[test]
fn a_stale_index_is_replaced_by_new_lists() {
    let (one, two) = keys();
    let mut parts = Parts::default();
    assert!(parts.is_stale(at(0)));
    parts.replace(at(0), [(one, cached(660))]);
    assert!(!parts.is_stale(at(900)));
    assert!(parts.is_stale(at(1_000)));
    parts.replace(at(1_000), [(two, cached(16))]);
    assert_eq!(parts.find(PART), Some(two));
}

//! Guards against prompts that are read again although an engine keeps them, and against engines that
//! are chosen for what they kept long ago.

use berylknot_coordination::clock::Instant;
use berylknot_entry::directory::Key;
use berylknot_entry::parts::{CachedPart, Part, Parts};
use slotmap::SlotMap;

const PART: Part = Part(7);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn kept(tokens: u32) -> Vec<CachedPart> {
    vec![CachedPart { part: PART, tokens }]
}

fn keys() -> (Key, Key) {
    let mut keys: SlotMap<Key, ()> = SlotMap::with_key();
    (keys.insert(()), keys.insert(()))
}

#[test]
fn the_engine_that_keeps_most_is_found() {
    let (one, two) = keys();
    let mut parts = Parts::default();
    parts.replace(at(0), [(one, kept(16)), (two, kept(660))]);
    assert_eq!(parts.find(PART), Some(two));
    assert_eq!(parts.find(Part(8)), None);
}

#[test]
fn a_part_without_tokens_is_not_kept() {
    let (one, _) = keys();
    let mut parts = Parts::default();
    parts.replace(at(0), [(one, kept(0))]);
    assert_eq!(parts.find(PART), None);
}

#[test]
fn lists_are_read_again_and_replace_those_before() {
    let (one, two) = keys();
    let mut parts = Parts::default();
    assert!(parts.is_stale(at(0)));
    parts.replace(at(0), [(one, kept(660))]);
    assert!(!parts.is_stale(at(900)));
    assert!(parts.is_stale(at(1_000)));
    parts.replace(at(1_000), [(two, kept(16))]);
    assert_eq!(parts.find(PART), Some(two));
}

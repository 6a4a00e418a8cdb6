//! Guards against a split of engines, or an admission bound, that assumes the decode speed of another
//! model: with it, decode engines were ordered to prefill in the middle of a burst.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_entry::directory::{Key, Stage};
use berylknot_entry::fleet::Engine as Properties;
use berylknot_entry::mix::{Mix, Pace};
use berylknot_entry::stages::{Engine, next_change};
use slotmap::SlotMap;
use yare::parameterized;

fn properties(slots: u32, capacity: u32, tokens_per_event: u32) -> Properties {
    Properties {
        slots,
        capacity,
        tokens_per_event,
        kv_retention: Duration::from_millis(500),
        stage_change: Duration::from_secs(6),
    }
}

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
            data_centre: index % 4,
            requests: 0,
            can_change: true,
        })
        .collect()
}

/// Pace of a stream with an event each `interval_ms`.
fn pace(events: u32, interval_ms: u64, tokens_per_event: u32) -> Option<f64> {
    let mut pace = Pace::default();
    for event in 1..=events {
        pace.record(Instant::from_millis(u64::from(event) * interval_ms), event);
    }
    pace.ms_per_token(tokens_per_event)
}

#[parameterized(
    large_model = { 9, 64, 65_258, 7, 49, 2 },
    large_model_grown = { 90, 64, 45_005, 7, 49, 15 },
    small_model = { 11, 12, 71_518, 58, 49, 3 },
)]
fn a_split_that_fits_the_load_is_kept_after_many_generations(
    total: usize,
    slots: u32,
    capacity: u32,
    tokens_per_event: u32,
    interval_ms: u64,
    prefill: usize,
) {
    let mut mix = Mix::new(tokens_per_event);
    for _ in 0..500 {
        let pace = pace(74, interval_ms, tokens_per_event);
        mix.add(5_200, 74 * tokens_per_event, pace);
    }
    let throughput = mix.throughput(&properties(slots, capacity, tokens_per_event));
    let change = next_change(
        &engines(prefill, total - prefill),
        throughput,
        f64::INFINITY,
    );
    assert_eq!(change, None, "{throughput:?}");
}

#[test]
fn engines_of_half_the_speed_get_half_the_throughput() {
    let properties = properties(64, 65_258, 7);
    let mut slow = Mix::new(7);
    let mut fast = Mix::new(7);
    for _ in 0..500 {
        slow.add(5_200, 518, Some(14.0));
        fast.add(5_200, 518, Some(7.0));
    }
    let ratio = fast.throughput(&properties).decode / slow.throughput(&properties).decode;
    assert!((1.95..2.05).contains(&ratio), "{ratio}");
}

#[test]
fn decode_time_follows_the_measured_pace() {
    let mut mix = Mix::new(7);
    for _ in 0..500 {
        mix.add(5_200, 518, pace(74, 70, 7));
    }
    let longest = mix.decode_time(1_260);
    assert!(
        (12_000..13_000).contains(&longest.as_millis()),
        "{longest:?}"
    );
}

#[test]
fn a_few_generations_change_the_initial_averages_little() {
    let mut mix = Mix::new(7);
    let before = mix.duration();
    mix.add(5_200, 20, None);
    let after = mix.duration();
    assert!(after * 10 > before * 9, "{before:?} to {after:?}");
}

#[test]
fn a_stream_of_few_events_has_no_pace() {
    assert_eq!(pace(3, 49, 7), None);
    assert_eq!(Pace::default().ms_per_token(7), None);
}

/// Guards against an estimate that half of the streams outlast, as at a planned stop.
#[test]
fn the_longest_decode_time_covers_the_slowest_recent_stream() {
    let mut mix = Mix::new(1);
    for index in 0..200 {
        let pace = if index % 10 == 0 { 90.0 } else { 30.0 };
        mix.add(5_000, 70, Some(pace));
    }
    assert!(mix.longest_decode_time(100) >= Duration::from_millis(8_000));
    assert!(mix.decode_time(100) < Duration::from_millis(4_500));
    for _ in 0..400 {
        mix.add(5_000, 70, Some(30.0));
    }
    assert!(mix.longest_decode_time(100) < Duration::from_millis(3_200));
}

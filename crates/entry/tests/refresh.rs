//! Guards against requests to an endpoint after its drain deadline: a host that had just regained the
//! store sent one 2.4 s after the endpoint had announced its leaving, with a deadline of 2 s.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_entry::refresh::Refresh;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

/// Longest time from a send to its arrival at the endpoint: a new connection over a lossy link.
const SEND_MS: u64 = 250;
const END_MS: u64 = 60_000;
/// Timeout of a read of the store, and the pause after a failed one.
const READ_TIMEOUT_MS: u64 = 1_200;
const RETRY_PAUSE_MS: u64 = 1_000;
const PEER_REPORT_MS: u64 = 120;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// How the store treats a read of the host.
#[derive(Clone, Copy, Debug)]
enum Store {
    Answers,
    /// Answers late, up to the slowest that deployments show.
    Slow,
    /// Refuses at once.
    Refuses,
    /// Does not answer.
    Silent,
    /// One of the above at random for each read.
    Mixed,
}

#[derive(Clone, Copy, Debug)]
enum Policy {
    /// Reads a fixed pause after the end of the last read and asks a peer half a second after a missed
    /// one: the policy that [`Refresh`] replaced.
    PauseAfterRead,
    Refresh,
}

/// Plays a host and its peers; returns the greatest age of the entries with which it sent a request,
/// and the share of the time in which it could send.
fn play(policy: Policy, store: Store, has_peers: bool, drain_ms: u64, seed: u64) -> (u64, f64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut refresh = Refresh::new(Duration::from_millis(drain_ms));
    refresh.confirm(at(0));
    let period = refresh.period().as_millis() as u64;
    let query_pause = refresh.query_pause().as_millis() as u64;
    // End of the read under way, its start, and whether it succeeds.
    let mut read: Option<(u64, u64, bool)> = None;
    let (mut next_read, mut next_query, mut answered) = (period, 0, 0);
    // The store answers the peers, which read at the same interval.
    let peer_phase = random.random_range(0..period);
    let peer_as_of = |now: u64| (now + peer_phase) / period * period;
    let (mut worst, mut sends) = (0, 0);
    for now in 1..END_MS {
        let peer = peer_as_of(now / PEER_REPORT_MS * PEER_REPORT_MS).saturating_sub(peer_phase);
        let peer = has_peers.then_some(at(peer));
        if let Some((end, started, succeeds)) = read
            && now >= end
        {
            read = None;
            if succeeds {
                refresh.confirm(at(started));
                answered = now;
            }
            next_read = match (succeeds, policy) {
                (false, _) => now + RETRY_PAUSE_MS,
                (true, Policy::PauseAfterRead) => now + period,
                (true, Policy::Refresh) => now + refresh.pause(at(now)).as_millis() as u64,
            };
        }
        if read.is_none() && now >= next_read {
            let kind = match store {
                Store::Mixed => random.random_range(0..4),
                Store::Answers => 0,
                Store::Slow => 1,
                Store::Refuses => 2,
                Store::Silent => 3,
            };
            let (takes, succeeds) = match kind {
                0 => (4, true),
                1 => (random.random_range(100..250), true),
                2 => (4, false),
                _ => (READ_TIMEOUT_MS, false),
            };
            read = Some((now + takes, now, succeeds));
        }
        let asks = match policy {
            Policy::PauseAfterRead => has_peers && now - answered > period + 500,
            Policy::Refresh => refresh.asks_peer(at(now), peer),
        };
        if asks && now >= next_query {
            next_query = now
                + match policy {
                    Policy::PauseAfterRead => 500,
                    Policy::Refresh => query_pause,
                };
            // Each third query fails.
            if random.random_range(0..3) > 0
                && let Some(peer) = peer
            {
                refresh.confirm(peer);
            }
        }
        let sends_now = match policy {
            Policy::PauseAfterRead => true,
            Policy::Refresh => !refresh.is_expired(at(now), peer),
        };
        if sends_now {
            sends += 1;
            let confirmed_at = refresh.confirmed_at().map_or(0, Instant::as_millis);
            worst = worst.max(now - confirmed_at);
        }
    }
    (worst, f64::from(sends) / END_MS as f64)
}

#[parameterized(
    answers = { Store::Answers },
    slow = { Store::Slow },
    refuses = { Store::Refuses },
    silent = { Store::Silent },
    mixed = { Store::Mixed },
)]
fn entries_in_use_are_younger_than_the_drain_deadline_while_a_peer_has_fresh_ones(store: Store) {
    for drain_ms in [1_000, 2_000, 3_000, 10_000] {
        for seed in 0..10 {
            let (worst, share) = play(Policy::Refresh, store, true, drain_ms, seed);
            assert!(
                worst + SEND_MS <= drain_ms,
                "seed {seed}, deadline {drain_ms}: used after {worst} ms"
            );
            assert!(
                share > 0.95,
                "seed {seed}, deadline {drain_ms}: sent in {share} of the time"
            );
        }
    }
}

#[test]
fn a_pause_after_each_read_exceeds_the_deadline() {
    let late = (0..10).filter(|seed| {
        let (worst, _) = play(Policy::PauseAfterRead, Store::Mixed, true, 2_000, *seed);
        worst + SEND_MS > 2_000
    });
    assert_eq!(late.count(), 10);
}

#[test]
fn entries_stay_in_use_when_the_store_is_away_for_all_hosts() {
    let (_, share) = play(Policy::Refresh, Store::Silent, false, 2_000, 0);
    assert!(share > 0.99, "{share}");
}

#[test]
fn a_peer_with_older_entries_is_not_asked() {
    let mut refresh = Refresh::new(Duration::from_secs(2));
    refresh.confirm(at(5_000));
    assert!(!refresh.asks_peer(at(9_000), Some(at(4_900))));
    assert!(refresh.asks_peer(at(9_000), Some(at(5_100))));
    assert!(!refresh.asks_peer(at(6_000), Some(at(5_900))));
}

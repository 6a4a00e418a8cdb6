//! Guards against requests that go from one dark endpoint to the next while they could wait for a sound one, and
//! against a host with lost links that takes all endpoints from the others.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::trial::{BARRED_TIME, TRIAL_TIME, Trials, Witness};

const START: Instant = Instant::from_millis(10_000);
const ENDPOINTS: usize = 10;

fn barred_at(now: Instant) -> Trials<u32> {
    let mut trials = Trials::default();
    assert!(!trials.silent(now, 1, Witness(1)));
    assert!(trials.silent(now, 1, Witness(2)));
    trials
}

#[test]
fn an_endpoint_that_two_hosts_find_silent_gets_one_request_at_a_time() {
    let mut trials = barred_at(START);
    assert!(trials.bars(START, 1, ENDPOINTS));
    assert!(!trials.bars(START, 2, ENDPOINTS));
    let now = START + BARRED_TIME;
    assert!(!trials.bars(now, 1, ENDPOINTS));
    trials.assigned(now, 1);
    assert!(trials.bars(now, 1, ENDPOINTS), "the trial is under way");
    // It fails: barred again, until the next trial.
    let failed = now + Duration::from_millis(260);
    trials.silent(failed, 1, Witness(3));
    assert!(trials.bars(failed + TRIAL_TIME, 1, ENDPOINTS));
    let next = failed + BARRED_TIME;
    trials.assigned(next, 1);
    let passed = next + TRIAL_TIME;
    assert!(!trials.bars(passed, 1, ENDPOINTS), "no report: it answers");
    trials.assigned(passed, 1);
    assert!(!trials.bars(passed, 1, ENDPOINTS), "and gets any number");
}

#[test]
fn the_word_of_one_host_bars_nothing() {
    let mut trials = Trials::default();
    for millis in 0..100 {
        let now = START + Duration::from_millis(millis * 20);
        assert!(!trials.silent(now, 1, Witness(1)));
        assert!(!trials.bars(now, 1, ENDPOINTS));
    }
    // Nor do those of two hosts at different times.
    let mut trials = Trials::default();
    trials.silent(START, 1, Witness(1));
    let later = START + Duration::from_secs(5);
    assert!(!trials.silent(later, 1, Witness(2)));
    assert!(!trials.bars(later, 1, ENDPOINTS));
}

#[test]
fn hosts_with_lost_links_do_not_bar_the_endpoints_of_all() {
    let mut trials = Trials::default();
    for key in 0..ENDPOINTS as u32 {
        for host in 0..5 {
            trials.silent(START, key, Witness(host));
        }
    }
    assert!((0..ENDPOINTS as u32).all(|key| !trials.bars(START, key, ENDPOINTS)));
}

#[test]
fn a_restarted_endpoint_is_not_barred() {
    let mut trials = barred_at(START);
    trials.remove(1);
    assert!(!trials.bars(START, 1, ENDPOINTS));
    let mut trials = barred_at(START);
    trials.expire(START + Duration::from_secs(20));
    assert!(!trials.silent(START + Duration::from_secs(20), 1, Witness(1)));
}

/// Two of ten endpoints are dark, the others are full half of the time, and a request arrives every 10 ms; a host
/// finds a dark endpoint silent after 250 ms. Returns the requests that went to dark endpoints.
fn play(has_breaker: bool) -> u32 {
    let mut trials: Trials<u32> = Trials::default();
    // Without a breaker a suspicion of 0.8 s makes an endpoint the last choice.
    let mut suspected_until = [START; 2];
    let mut reports: Vec<(Instant, u32, u64)> = Vec::new();
    let mut dark = 0;
    for step in 0..500_u64 {
        let now = START + Duration::from_millis(step * 10);
        for (at, key, host) in &reports {
            if *at == now {
                trials.silent(now, *key, Witness(*host));
                suspected_until[*key as usize] = now + BARRED_TIME;
            }
        }
        let is_full = step / 25 % 2 == 0;
        let choice = (0..2_u32).find(|key| {
            if has_breaker {
                !trials.bars(now, *key, ENDPOINTS)
            } else {
                is_full || now >= suspected_until[*key as usize]
            }
        });
        let Some(key) = choice else {
            continue;
        };
        trials.assigned(now, key);
        dark += 1;
        reports.push((now + Duration::from_millis(250), key, step % 7));
    }
    dark
}

#[test]
fn a_burst_does_not_go_to_dark_endpoints() {
    let (with, without) = (play(true), play(false));
    println!("{with} requests to dark endpoints, {without} without the breaker");
    assert!(with * 4 < without, "{with}, {without} without the breaker");
}

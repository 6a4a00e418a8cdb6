//! Guards against prompt parts that crash engine after engine in ever new requests, and against refusing
//! prompts that merely share something with them.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_entry::parts::Part;
use berylknot_entry::strikes::{Fingerprint, Strikes};
use berylknot_entry::suspects::{Clearance, Crash, Source, Suspects};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

const LETHAL: u64 = 666;
/// Time from the start of a run to its first event, or to the crash of its engine.
const START_MS: u64 = 400;
/// Time until a crashed engine is back.
const RETURN_MS: u64 = 3_000;
/// Time until the other hosts have a finding.
const DELAY_MS: u64 = 40;
/// Time after the fifth crash from which on the users allow three further requests.
const STABLE_MS: u64 = 3_000;
const SECONDS: u64 = 30;

fn at(millis: u64) -> Instant {
    Instant::from_millis(1_000_000 + millis)
}

fn parts(ids: &[u64]) -> Vec<Part> {
    ids.iter().copied().map(Part).collect()
}

fn crash(endpoint: &str, ids: &[u64], run_ms: u64) -> Crash {
    Crash {
        endpoint: endpoint.to_owned(),
        parts: parts(ids),
        age_ms: 0,
        run_ms,
    }
}

/// Requests of a fleet, some of them with the lethal part.
#[derive(Clone, Copy)]
struct Load {
    hosts: usize,
    engines: usize,
    lethal_per_s: f64,
    sound_per_s: f64,
    /// Whether all lethal prompts have the first part of the sound ones in common.
    common_first_part: bool,
}

struct Run {
    host: usize,
    engine: usize,
    parts: Vec<Part>,
    sent: u64,
    attempt: u32,
}

/// What callers and engines saw.
#[derive(Debug, Default)]
struct Outcome {
    crashes: Vec<u64>,
    /// Lethal requests that reached engines after the allowed time.
    further: usize,
    sound_begun: usize,
    sound_refused: usize,
}

/// Plays a load with the hosts' findings, or with the strikes of exact requests alone.
fn play(load: Load, seed: u64, by_parts: bool) -> Outcome {
    let mut arrivals = StdRng::seed_from_u64(seed);
    let mut random = StdRng::seed_from_u64(seed);
    let mut hosts: Vec<Suspects> = (0..load.hosts).map(|_| Suspects::default()).collect();
    let mut exact = Strikes::default();
    let mut back_at = vec![0; load.engines];
    let mut runs: Vec<Run> = Vec::new();
    let mut messages: Vec<(u64, usize, Result<Crash, Part>)> = Vec::new();
    let mut requests: Vec<(u64, Vec<Part>, u32)> = Vec::new();
    let mut outcome = Outcome::default();
    let mut next_prompt = 10_000;
    for now in 0..SECONDS * 1_000 {
        for (rate, is_lethal) in [(load.lethal_per_s, true), (load.sound_per_s, false)] {
            if arrivals.random_bool(rate / 1_000.0) {
                next_prompt += 1;
                let common = load.common_first_part && arrivals.random_bool(0.5);
                let first = if is_lethal && load.common_first_part || common {
                    1
                } else {
                    arrivals.random_range(1_000..3_000)
                };
                let prompt = if is_lethal {
                    parts(&[first, LETHAL, next_prompt])
                } else {
                    parts(&[first, next_prompt])
                };
                requests.push((now, prompt, 0));
            }
        }
        let arrived: Vec<_> = messages.extract_if(.., |(due, _, _)| *due <= now).collect();
        for (_, from, finding) in arrived {
            for (index, host) in hosts.iter_mut().enumerate() {
                if index == from {
                    continue;
                }
                let age_ms = DELAY_MS;
                match &finding {
                    Ok(crash) => {
                        let crash = Crash {
                            age_ms,
                            ..crash.clone()
                        };
                        host.crashed(at(now), &crash, false);
                    }
                    Err(part) => host.clear(
                        at(now),
                        Clearance {
                            part: *part,
                            age_ms,
                        },
                    ),
                }
            }
        }
        let ended: Vec<Run> = runs
            .extract_if(.., |run| run.sent + START_MS <= now)
            .collect();
        for run in ended {
            let is_lethal = run.parts.contains(&Part(LETHAL));
            if back_at[run.engine] > run.sent {
                // The engine has crashed during the run.
                let seen = crash_of(&run, back_at[run.engine] - RETURN_MS);
                let age_ms = now + RETURN_MS - back_at[run.engine];
                hosts[run.host].crashed(at(now), &Crash { age_ms, ..seen }, true);
                requests.push((now, run.parts, run.attempt + 1));
                continue;
            }
            if !is_lethal {
                outcome.sound_begun += 1;
                if hosts[run.host].began(at(now), &run.parts) {
                    messages.push((now + DELAY_MS, run.host, Err(run.parts[0])));
                }
                continue;
            }
            outcome.crashes.push(now);
            back_at[run.engine] = now + RETURN_MS;
            let seen = crash_of(&run, now);
            hosts[run.host].crashed(at(now), &seen, true);
            messages.push((now + DELAY_MS, run.host, Ok(seen)));
            let fingerprint = Fingerprint::of(None, "/", &run.parts[2].0.to_be_bytes());
            exact.strike(at(now), fingerprint, &run.engine.to_string(), true);
            requests.push((now, run.parts, run.attempt + 1));
        }
        let due: Vec<_> = requests
            .extract_if(.., |(from, _, _)| *from <= now)
            .collect();
        for (_, prompt, attempt) in due {
            let is_lethal = prompt.contains(&Part(LETHAL));
            if attempt > 3 {
                continue;
            }
            let free: Vec<usize> = (0..load.engines)
                .filter(|engine| back_at[*engine] <= now)
                .collect();
            if free.is_empty() {
                continue;
            }
            let id = format!("{:?}", prompt.last());
            let is_admitted = if by_parts {
                hosts[0].admit(at(now), &id, &prompt, attempt == 0).is_ok()
            } else {
                let own = prompt.last().map_or(0, |part| part.0);
                let fingerprint = Fingerprint::of(None, "/", &own.to_be_bytes());
                !exact.is_refused(at(now), fingerprint)
            };
            if !is_admitted {
                outcome.sound_refused += usize::from(!is_lethal);
                continue;
            }
            let fifth = outcome.crashes.get(4).copied();
            if is_lethal && fifth.is_some_and(|fifth| now > fifth + STABLE_MS) {
                outcome.further += 1;
            }
            runs.push(Run {
                host: random.random_range(0..load.hosts),
                engine: free[random.random_range(0..free.len())],
                parts: prompt,
                sent: now,
                attempt,
            });
        }
    }
    outcome
}

fn crash_of(run: &Run, crashed: u64) -> Crash {
    Crash {
        endpoint: run.engine.to_string(),
        parts: run.parts.clone(),
        age_ms: 0,
        run_ms: crashed - run.sent,
    }
}

#[parameterized(
    seven_hosts = { 7, 11, 0.5, 10.0, true },
    seven_hosts_many_first_parts = { 7, 11, 0.5, 10.0, false },
    few_engines = { 8, 6, 0.6, 11.0, true },
    hundreds_of_hosts = { 295, 66, 3.0, 60.0, true },
    hundreds_of_hosts_many_first_parts = { 295, 66, 3.0, 60.0, false },
    one_in_three_lethal = { 75, 80, 10.0, 20.0, true },
)]
fn new_requests_with_a_lethal_part_stop_crashing_engines(
    hosts: usize,
    engines: usize,
    lethal_per_s: f64,
    sound_per_s: f64,
    common_first_part: bool,
) {
    let load = Load {
        hosts,
        engines,
        lethal_per_s,
        sound_per_s,
        common_first_part,
    };
    for seed in 0..5 {
        let before = play(load, seed, false);
        assert!(before.further > 3, "the load is harmless: {before:?}");
        let after = play(load, seed, true);
        assert!(after.further <= 3, "seed {seed}: {after:?}");
        assert_eq!(after.sound_refused, 0, "seed {seed}: {after:?}");
        assert!(after.sound_begun >= before.sound_begun, "seed {seed}");
    }
}

/// Findings on four crashes that all have the parts 1 and 666 in common.
fn implicated() -> Suspects {
    let mut suspects = Suspects::default();
    for (index, second) in (0..4).enumerate() {
        let lost = crash(&format!("e{index}"), &[1, LETHAL, 100 + index as u64], 300);
        assert!(suspects.crashed(at(second * 1_000), &lost, true));
    }
    suspects
}

#[test]
fn prompt_with_only_some_of_the_suspected_parts_is_admitted_and_tells_them_apart() {
    let mut suspects = implicated();
    assert!(suspects.refused(&parts(&[1, LETHAL, 7])).is_some());
    assert_eq!(suspects.refused(&parts(&[1, 8])), None);
    assert_eq!(suspects.refused(&parts(&[LETHAL, 9])), None);
    assert!(suspects.began(at(4_000), &parts(&[1, 8])));
    assert_eq!(suspects.refused(&parts(&[LETHAL, 9])), Some(Part(LETHAL)));
    assert_eq!(suspects.refused(&parts(&[1, 10])), None);
}

#[test]
fn part_is_refused_alone_after_crashes_without_its_companion() {
    let mut suspects = implicated();
    for second in 5..7 {
        let lost = crash(&format!("f{second}"), &[LETHAL, second], 300);
        suspects.crashed(at(second * 1_000), &lost, true);
    }
    assert_eq!(suspects.refused(&parts(&[LETHAL, 9])), Some(Part(LETHAL)));
    assert_eq!(suspects.refused(&parts(&[1, 8])), None);
}

#[test]
fn repeats_of_one_prompt_do_not_implicate_its_shared_parts() {
    let mut suspects = Suspects::default();
    for second in 0..5 {
        let lost = crash(&format!("e{second}"), &[1, 2, 100], 300);
        suspects.crashed(at(second * 1_000), &lost, true);
    }
    assert_eq!(suspects.refused(&parts(&[1, 2, 101])), None);
}

#[test]
fn engines_that_fail_together_implicate_nothing() {
    let mut suspects = Suspects::default();
    for engine in 0..11 {
        // All of them hold a prompt with the same first part, and crash within 11 ms.
        let lost = crash(&format!("e{engine}"), &[1, 100 + engine], 300);
        suspects.crashed(at(engine), &lost, true);
    }
    assert_eq!(suspects.refused(&parts(&[1, 7])), None);
}

#[test]
fn crash_seen_by_several_hosts_counts_once() {
    let mut suspects = Suspects::default();
    for prompt in 0..6 {
        let lost = crash("e1", &[1, LETHAL, 100 + prompt], 300);
        suspects.crashed(at(prompt), &lost, prompt == 0);
    }
    assert_eq!(suspects.refused(&parts(&[1, LETHAL, 7])), None);
}

#[test]
fn one_request_at_a_time_tries_a_refused_part_and_its_first_event_clears_it() {
    let mut suspects = implicated();
    let prompt = parts(&[1, LETHAL, 7]);
    let after = |seconds: u64| at(3_000 + seconds * 1_000);
    assert!(suspects.admit(after(119), "r1", &prompt, true).is_err());
    assert!(suspects.admit(after(121), "r1", &prompt, false).is_err());
    assert!(suspects.admit(after(121), "r1", &prompt, true).is_ok());
    assert!(suspects.admit(after(121), "r1", &prompt, true).is_ok());
    assert!(suspects.admit(after(122), "r2", &prompt, true).is_err());
    assert!(suspects.began(after(122), &prompt));
    assert!(suspects.admit(after(122), "r2", &prompt, true).is_ok());
}

#[test]
fn trials_that_crash_engines_become_rare() {
    let mut suspects = implicated();
    let mut trials = 0;
    for second in 4..600 {
        suspects.expire(at(second * 1_000));
        let prompt = parts(&[1, LETHAL, 1_000 + second]);
        if suspects
            .admit(at(second * 1_000), &second.to_string(), &prompt, true)
            .is_ok()
        {
            trials += 1;
            let lost = crash("e1", &[1, LETHAL, 1_000 + second], 300);
            suspects.crashed(at(second * 1_000 + 300), &lost, true);
        }
    }
    assert!((1..=3).contains(&trials), "{trials}");
}

#[test]
fn findings_reach_a_restarted_host_and_clearances_reach_peers() {
    let one = implicated();
    let mut restarted = Suspects::default();
    for lost in one.report(at(60_000), true) {
        restarted.crashed(at(60_000), &lost, false);
    }
    assert!(restarted.refused(&parts(&[1, LETHAL, 7])).is_some());
    assert!(
        one.report(at(60_000), false).is_empty(),
        "no finding is recent"
    );
    let mut peer = implicated();
    assert!(peer.began(at(61_000), &parts(&[1, LETHAL, 8])));
    for clearance in peer.report_cleared(at(61_500)) {
        restarted.clear(at(61_500), clearance);
    }
    assert_eq!(restarted.refused(&parts(&[1, LETHAL, 7])), None);
    // A repeated report does not bring the crashes back.
    for lost in one.report(at(62_000), true) {
        restarted.crashed(at(62_000), &lost, false);
    }
    assert_eq!(restarted.refused(&parts(&[1, LETHAL, 7])), None);
}

/// Guards against crashes that no longer count as independent at the host that reads them, so that it admits
/// the part: each request was sent in the millisecond of the crash before.
#[test]
fn crashes_in_quick_succession_stay_independent_at_a_host_that_reads_the_report() {
    let mut found = Suspects::default();
    for index in 0..3 {
        let lost = crash(&format!("engine-{index}"), &[LETHAL, 50 + index], 2);
        found.crashed(at(2 * index), &lost, true);
    }
    let fresh = parts(&[LETHAL, 60]);
    assert_eq!(found.refused(&fresh), Some(Part(LETHAL)));
    let report = found.report(at(500), true);
    assert_eq!(report.len(), 3);
    let mut reader = Suspects::default();
    for lost in &report {
        reader.record(at(700), lost, Source::Peer);
    }
    assert_eq!(reader.refused(&fresh), Some(Part(LETHAL)));
    // A time of its own for each crash, as the clock is read, moves an older one past the next run's start.
    let mut misreader = Suspects::default();
    for (lost, read_at) in report.iter().zip(700..) {
        misreader.record(at(read_at), lost, Source::Peer);
    }
    assert_eq!(misreader.refused(&fresh), None);
}

#[test]
fn findings_on_long_prompts_leave_room_for_the_rest_of_a_report() {
    let mut suspects = Suspects::default();
    for prompt in 0..16 {
        let ids: Vec<u64> = (0..200)
            .map(|part| u64::MAX - 1_000 * prompt - part)
            .collect();
        let lost = crash(&format!("e{prompt}"), &ids, 300);
        suspects.crashed(at(prompt * 300), &lost, true);
    }
    let bytes = rmp_serde::to_vec(&suspects.report(at(4_800), true)).expect("findings are encoded");
    // A report is dropped by its receivers from 8 KiB on.
    assert!(bytes.len() < 4_096, "{} bytes", bytes.len());
}

#[test]
fn findings_are_bounded_and_forgotten() {
    let mut suspects = implicated();
    suspects.expire(at(604_000));
    assert_eq!(suspects.refused(&parts(&[1, LETHAL, 7])), None);
    for index in 0..5_000 {
        let lost = crash(&format!("e{index}"), &[index, LETHAL, index], 300);
        suspects.crashed(at(604_000 + index), &lost, true);
    }
    let now = at(609_000);
    assert!(suspects.report(now, true).len() <= 16);
    suspects.expire(now + Duration::from_secs(601));
    assert!(
        suspects
            .report(now + Duration::from_secs(601), true)
            .is_empty()
    );
}

#[test]
fn crashes_that_lost_links_made_up_are_taken_back_and_were_never_reported() {
    let mut suspects = Suspects::default();
    let lost: Vec<Crash> = (0..4)
        .map(|index| crash(&format!("e{index}"), &[1, 10 + index], START_MS))
        .collect();
    for (index, crash) in lost.iter().enumerate() {
        let now = at(index as u64 * 500);
        assert!(suspects.record(now, crash, Source::Unconfirmed));
    }
    let now = at(2_000);
    let sound = parts(&[1, 99]);
    assert!(suspects.refused(&sound).is_some(), "counted here at once");
    assert!(suspects.report(now, true).is_empty());
    for crash in &lost {
        suspects.retract(crash);
    }
    assert!(suspects.refused(&sound).is_none());
    assert!(suspects.report(now, true).is_empty());
}

#[test]
fn retracting_one_run_keeps_what_others_showed_of_the_same_crash() {
    let mut suspects = Suspects::default();
    let mut doubtful = Vec::new();
    for index in 0..3 {
        let now = at(index * 500);
        let endpoint = format!("e{index}");
        let unconfirmed = crash(&endpoint, &[1, 2, 20 + index], START_MS);
        suspects.record(now, &unconfirmed, Source::Unconfirmed);
        suspects.crashed(now, &crash(&endpoint, &[1, 30 + index], START_MS), false);
        doubtful.push(unconfirmed);
    }
    for crash in &doubtful {
        suspects.retract(crash);
    }
    assert_eq!(suspects.refused(&parts(&[1, 99])), Some(Part(1)));
    assert_eq!(suspects.refused(&parts(&[2, 99])), None);
}

#[test]
fn a_confirmed_crash_is_reported_and_no_longer_taken_back() {
    let mut suspects = Suspects::default();
    let lost = crash("e0", &[1, 10], START_MS);
    suspects.record(at(0), &lost, Source::Unconfirmed);
    suspects.confirm(&lost);
    suspects.retract(&lost);
    assert_eq!(suspects.report(at(100), false).len(), 1);
}

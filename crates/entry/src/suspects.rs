//! Detection of prompt parts that crash the engines which begin an answer on them.
//!
//! Requests with such a part may differ in everything else, so the crashes of each request for itself do
//! not add up. A crash therefore counts against the shared parts of every prompt whose answer the engine
//! had not begun, and the first event of an answer clears its parts. A request is refused if it has a
//! part that explains several crashes, and every rival of that part: a prompt that shares only some of
//! these parts is admitted, and its outcome tells them apart.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::parts::Part;

slotmap::new_key_type! {
    /// Key of a crash of an engine.
    struct CrashKey;
}

/// Independent crashes after which a part is suspected.
const MIN_CRASHES: usize = 3;
/// Different prompts among them; the repeats of one prompt implicate all of its parts alike.
const MIN_PROMPTS: usize = 2;
/// Independent crashes without another part that rule the other part out as their cause. A single one
/// may be a crash for another reason.
const MIN_EXCLUSIVE_CRASHES: usize = 2;
/// Interval between two crashes that makes them independent. Engines that fail together, such as those
/// of a rack, crash within milliseconds.
const MIN_CRASH_INTERVAL: Duration = Duration::from_millis(200);
/// Interval within which the reports of different hosts on one engine are about the same crash; a
/// crashed engine takes seconds to return.
const SAME_CRASH_INTERVAL: Duration = Duration::from_secs(1);
/// Retention of crashes (design page, section 5.10).
const RETENTION: Duration = Duration::from_secs(600);
/// Largest number of tracked crashes; the oldest are dropped first.
const MAX_CRASHES: usize = 256;
/// Largest number of prompts kept of a crash; an engine holds few whose answer has not begun.
const MAX_PROMPTS: usize = 32;
/// Largest number of parts of a prompt that count.
const MAX_PARTS: usize = 64;
/// Time until one request may try a refused part again, after the last of [`MIN_CRASHES`] crashes. Each
/// trial of a part that is rightly refused costs an engine.
const FIRST_TRIAL: Duration = Duration::from_secs(30);
/// Growth of that time with each further crash.
const TRIAL_GROWTH: u32 = 4;
/// Largest number of crashes for which it grows; it exceeds [`RETENTION`] by then.
const MAX_GROWTHS: u32 = 4;
/// Time in which a trial has an outcome.
const TRIAL_TIME: Duration = Duration::from_secs(5);
/// Time in which own findings are repeated in reports, so that a lost report does no harm.
const REPORT_DURATION: Duration = Duration::from_secs(5);
/// Largest number of crashed runs, and of cleared parts, in a report.
const MAX_REPORTED: usize = 16;
/// Largest number of parts in the crashed runs of a report: at most 9 bytes each, so that they take less
/// than half of a datagram.
const MAX_REPORTED_PARTS: usize = 320;

/// A run that an engine's crash broke off before its first event.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Crash {
    /// Id of the engine.
    pub endpoint: String,
    /// Parts of the prompt; the last one identifies it.
    pub parts: Vec<Part>,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Time from the start of the run to the crash, in milliseconds.
    pub run_ms: u64,
}

/// A part on which an engine has begun an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Clearance {
    /// The part.
    pub part: Part,
    /// Time since the first event of the answer, in milliseconds.
    pub age_ms: u64,
}

/// What a crash says about one part.
#[derive(Clone, Copy, Debug)]
struct Strike {
    crash: CrashKey,
    /// Last part of the struck prompt.
    prompt: Part,
    sent_at: Instant,
    at: Instant,
}

/// Who observed a loss, and how far it is known to be the endpoint's fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Another host.
    Peer,
    /// This host.
    Own,
    /// This host, which may have lost its own links to the endpoints.
    Unconfirmed,
}

/// A prompt whose answer had not begun when its engine crashed.
#[derive(Clone, Debug)]
struct Prompt {
    parts: Vec<Part>,
    sent_at: Instant,
    source: Source,
}

/// A crash of an engine, as all hosts together saw it.
#[derive(Clone, Debug)]
struct Record {
    endpoint: String,
    at: Instant,
    prompts: Vec<Prompt>,
}

/// Permission of one request to run with a refused part.
#[derive(Clone, Debug)]
struct Trial {
    request: String,
    until: Instant,
}

/// Recent crashes of engines and the prompt parts that they count against.
#[derive(Debug, Default)]
pub struct Suspects {
    crashes: SlotMap<CrashKey, Record>,
    /// Strikes of each part in the order of time; one for each crash.
    strikes: HashMap<Part, Vec<Strike>>,
    /// Parts that this host has cleared.
    cleared: Vec<(Part, Instant)>,
    trials: HashMap<Part, Trial>,
    /// Number of changes of the crashes that implicate a part.
    revision: u64,
}

impl Suspects {
    /// Records a crashed run; `own` is true if this host observed it. Returns whether it is new.
    pub fn crashed(&mut self, now: Instant, crash: &Crash, own: bool) -> bool {
        let source = if own { Source::Own } else { Source::Peer };
        self.record(now, crash, source)
    }

    /// Records a crashed run by its source. Returns whether it is new. An unconfirmed one is not reported.
    ///
    /// The runs of one report are recorded with the same `now`: a run may be sent in the millisecond of the
    /// crash before, and is then independent of it only if the time between them is exact.
    pub fn record(&mut self, now: Instant, crash: &Crash, source: Source) -> bool {
        let at = before(now, crash.age_ms);
        let parts = shared(&crash.parts);
        let Some(prompt) = crash.parts.last().copied() else {
            return false;
        };
        if parts.is_empty() || now.since(at) >= RETENTION {
            return false;
        }
        let known = self.crashes.iter().find(|(_, record)| {
            record.endpoint == crash.endpoint
                && at.since(record.at).max(record.at.since(at)) < SAME_CRASH_INTERVAL
        });
        let key = if let Some((key, record)) = known {
            let is_known = |known: &Prompt| known.parts.last() == Some(&prompt);
            if record.prompts.iter().any(is_known) || record.prompts.len() >= MAX_PROMPTS {
                return false;
            }
            key
        } else {
            self.drop_oldest();
            self.crashes.insert(Record {
                endpoint: crash.endpoint.clone(),
                at,
                prompts: Vec::new(),
            })
        };
        let sent_at = before(at, crash.run_ms);
        for part in parts {
            let strikes = self.strikes.entry(*part).or_default();
            if strikes.iter().any(|strike| strike.crash == key) {
                continue;
            }
            strikes.push(Strike {
                crash: key,
                prompt,
                sent_at,
                at,
            });
            strikes.sort_by_key(|strike| strike.at);
        }
        if parts.iter().any(|part| self.is_implicated(*part)) {
            self.revision += 1;
        }
        self.crashes[key].prompts.push(Prompt {
            parts: parts.iter().copied().chain([prompt]).collect(),
            sent_at,
            source,
        });
        true
    }

    /// Confirms an unconfirmed crashed run.
    pub fn confirm(&mut self, crash: &Crash) {
        let Some((key, index)) = self.find_unconfirmed(crash) else {
            return;
        };
        self.crashes[key].prompts[index].source = Source::Own;
        // What is reported and stored has changed as well.
        let parts = shared(&crash.parts);
        self.revision += u64::from(parts.iter().any(|part| self.is_implicated(*part)));
    }

    /// Removes an unconfirmed crashed run, and what it counts against.
    pub fn retract(&mut self, crash: &Crash) {
        let Some((key, index)) = self.find_unconfirmed(crash) else {
            return;
        };
        let record = &mut self.crashes[key];
        let retracted = record.prompts.remove(index);
        let was_implicated = shared(&retracted.parts)
            .iter()
            .any(|part| self.is_implicated(*part));
        for part in shared(&retracted.parts) {
            let record = &self.crashes[key];
            let mut prompts = record.prompts.iter();
            let other = prompts.find(|prompt| shared(&prompt.parts).contains(part));
            let Some(strikes) = self.strikes.get_mut(part) else {
                continue;
            };
            match other {
                None => strikes.retain(|strike| strike.crash != key),
                Some(other) => {
                    let mut known = strikes.iter_mut();
                    let known = known.find(|strike| strike.crash == key);
                    if let (Some(strike), Some(prompt)) = (known, other.parts.last()) {
                        strike.prompt = *prompt;
                        strike.sent_at = other.sent_at;
                    }
                }
            }
        }
        if self.crashes[key].prompts.is_empty() {
            self.crashes.remove(key);
        }
        self.prune();
        self.revision += u64::from(was_implicated);
    }

    fn find_unconfirmed(&self, crash: &Crash) -> Option<(CrashKey, usize)> {
        let is_same = |prompt: &Prompt| {
            prompt.source == Source::Unconfirmed && prompt.parts.last() == crash.parts.last()
        };
        self.crashes.iter().find_map(|(key, record)| {
            let index = record.prompts.iter().position(is_same)?;
            (record.endpoint == crash.endpoint).then_some((key, index))
        })
    }

    fn drop_oldest(&mut self) {
        if self.crashes.len() < MAX_CRASHES {
            return;
        }
        let oldest = self.crashes.iter().min_by_key(|(_, record)| record.at);
        if let Some(key) = oldest.map(|(key, _)| key) {
            self.crashes.remove(key);
            self.prune();
        }
    }

    /// Removes the strikes of forgotten crashes.
    fn prune(&mut self) {
        let crashes = &self.crashes;
        self.strikes.retain(|_, strikes| {
            strikes.retain(|strike| crashes.contains_key(strike.crash));
            !strikes.is_empty()
        });
    }

    /// Records that an engine has begun an answer on a prompt. Returns whether that clears a part.
    pub fn began(&mut self, now: Instant, parts: &[Part]) -> bool {
        let mut has_cleared = false;
        for part in shared(parts) {
            let Some(strikes) = self.strikes.remove(part) else {
                continue;
            };
            self.revision += u64::from(is_implicated(&strikes));
            self.trials.remove(part);
            self.cleared.retain(|(cleared, _)| cleared != part);
            self.cleared.push((*part, now));
            has_cleared = true;
        }
        has_cleared
    }

    /// Applies the clearance of a peer: crashes before it no longer count against the part.
    pub fn clear(&mut self, now: Instant, clearance: Clearance) {
        let began_at = before(now, clearance.age_ms);
        let was_implicated = self.is_implicated(clearance.part);
        let Some(strikes) = self.strikes.get_mut(&clearance.part) else {
            return;
        };
        strikes.retain(|strike| strike.at > began_at);
        if strikes.is_empty() {
            self.strikes.remove(&clearance.part);
            self.trials.remove(&clearance.part);
        }
        self.revision += u64::from(was_implicated && !self.is_implicated(clearance.part));
    }

    fn is_implicated(&self, part: Part) -> bool {
        let strikes = self.strikes.get(&part);
        strikes.is_some_and(|strikes| is_implicated(strikes))
    }

    /// Number of changes of the crashes that implicate a part, as the leader reports them.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The part for which a prompt is refused, if any.
    #[must_use]
    pub fn refused(&self, parts: &[Part]) -> Option<Part> {
        let shared = shared(parts);
        let refuses = |part: &&Part| {
            self.strikes.get(part).is_some_and(|strikes| {
                is_implicated(strikes) && self.has_all_rivals(strikes, shared)
            })
        };
        shared.iter().find(refuses).copied()
    }

    /// Whether a prompt has every part that may have caused the crashes of these strikes.
    fn has_all_rivals(&self, strikes: &[Strike], prompt: &[Part]) -> bool {
        self.strikes.iter().all(|(rival, others)| {
            let others: HashSet<CrashKey> = others.iter().map(|strike| strike.crash).collect();
            let exclusive = strikes
                .iter()
                .filter(|strike| !others.contains(&strike.crash));
            count_independent(exclusive) >= MIN_EXCLUSIVE_CRASHES || prompt.contains(rival)
        })
    }

    /// Decides on the first run of a request; `may_try` is whether this host may let one request at a
    /// time try a refused part.
    ///
    /// # Errors
    /// Fails with the part for which the request is refused.
    pub fn admit(
        &mut self,
        now: Instant,
        request: &str,
        parts: &[Part],
        may_try: bool,
    ) -> Result<(), Part> {
        let Some(part) = self.refused(parts) else {
            return Ok(());
        };
        let running = self.trials.get(&part).filter(|trial| now < trial.until);
        let is_due = match running {
            Some(trial) => trial.request == request,
            None => may_try && self.trial_at(part).is_some_and(|at| now >= at),
        };
        if !is_due {
            return Err(part);
        }
        if running.is_none() {
            let trial = Trial {
                request: request.to_owned(),
                until: now + TRIAL_TIME,
            };
            self.trials.insert(part, trial);
        }
        Ok(())
    }

    /// Time from which on a request may try a refused part.
    fn trial_at(&self, part: Part) -> Option<Instant> {
        let strikes = self.strikes.get(&part)?;
        let further = count_independent(strikes).saturating_sub(MIN_CRASHES) as u32;
        let pause = FIRST_TRIAL * TRIAL_GROWTH.pow(further.min(MAX_GROWTHS));
        Some(strikes.last()?.at + pause)
    }

    /// Crashed runs for the report to peers: own ones for a while, and `with_implicating` all that
    /// implicate a part, so that a host which has restarted learns of them.
    pub fn report(&self, now: Instant, with_implicating: bool) -> Vec<Crash> {
        let mut runs: Vec<(Instant, Crash)> = Vec::new();
        for record in self.crashes.values() {
            for prompt in &record.prompts {
                if prompt.source == Source::Unconfirmed {
                    continue;
                }
                let is_own = prompt.source == Source::Own;
                let is_recent = is_own && now.since(record.at) < REPORT_DURATION;
                let is_due = is_recent || with_implicating && self.implicates(prompt);
                if !is_due {
                    continue;
                }
                let crash = Crash {
                    endpoint: record.endpoint.clone(),
                    parts: prompt.parts.clone(),
                    age_ms: now.since(record.at).as_millis() as u64,
                    run_ms: record.at.since(prompt.sent_at).as_millis() as u64,
                };
                runs.push((record.at, crash));
            }
        }
        runs.sort_by_key(|(at, _)| Reverse(*at));
        let mut parts_left = MAX_REPORTED_PARTS;
        let fits = |(_, crash): &(Instant, Crash)| {
            let left = parts_left.checked_sub(crash.parts.len());
            parts_left = left.unwrap_or_default();
            left.is_some()
        };
        let newest = runs.into_iter().take(MAX_REPORTED).take_while(fits);
        newest.map(|(_, crash)| crash).collect()
    }

    fn implicates(&self, prompt: &Prompt) -> bool {
        let parts = shared(&prompt.parts);
        parts.iter().any(|part| self.is_implicated(*part))
    }

    /// Parts that this host has cleared recently, for the report to peers.
    pub fn report_cleared(&self, now: Instant) -> Vec<Clearance> {
        let recent = self.cleared.iter().rev();
        recent
            .take(MAX_REPORTED)
            .map(|(part, at)| Clearance {
                part: *part,
                age_ms: now.since(*at).as_millis() as u64,
            })
            .collect()
    }

    /// Forgets old crashes and clearances.
    pub fn expire(&mut self, now: Instant) {
        self.cleared
            .retain(|(_, at)| now.since(*at) < REPORT_DURATION);
        self.trials.retain(|_, trial| now < trial.until);
        let known = self.crashes.len();
        self.crashes
            .retain(|_, record| now.since(record.at) < RETENTION);
        if self.crashes.len() < known {
            self.prune();
        }
    }
}

/// Parts of a prompt that other prompts may share.
fn shared(parts: &[Part]) -> &[Part] {
    let shared = parts.len().saturating_sub(1).min(MAX_PARTS);
    &parts[..shared]
}

fn before(instant: Instant, millis: u64) -> Instant {
    Instant::from_millis(instant.as_millis().saturating_sub(millis))
}

fn is_implicated(strikes: &[Strike]) -> bool {
    let prompts: HashSet<Part> = strikes.iter().map(|strike| strike.prompt).collect();
    prompts.len() >= MIN_PROMPTS && count_independent(strikes) >= MIN_CRASHES
}

/// Number of independent crashes, in the order of time: a crash is independent of the one before if its
/// run was sent after that one, or if it came some time later.
fn count_independent<'a>(strikes: impl IntoIterator<Item = &'a Strike>) -> usize {
    let mut count = 0;
    let mut last: Option<Instant> = None;
    for strike in strikes {
        let is_independent =
            last.is_none_or(|at| strike.sent_at >= at || strike.at >= at + MIN_CRASH_INTERVAL);
        if is_independent {
            count += 1;
            last = Some(strike.at);
        }
    }
    count
}

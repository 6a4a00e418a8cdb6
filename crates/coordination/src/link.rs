//! Whether a host still reaches the endpoints over its own links.
//!
//! A connection that is closed, refused or silent says either that its endpoint failed or that the links
//! of the host did. The other endpoints tell which: an answer after the loss shows that the links are sound,
//! and when no endpoint can be reached, the losses say nothing about the endpoints. An endpoint may fall
//! silent for about a second, so silence counts only after that time.

use std::time::Duration;

use crate::clock::Instant;

/// Time from a loss to the first probe, in which the answers of other endpoints may settle it.
const SETTLE_TIME: Duration = Duration::from_millis(60);
/// Least time from a loss to an answer that proves the links sound. Answers that the host had received
/// before the loss, but read after it, are read by then.
const PROOF_DELAY: Duration = Duration::from_millis(30);
/// Interval between the probes while the links are in doubt or lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Time without any answer after which silent links are lost; a sound endpoint may fall silent for a second
/// or so.
const MAX_SILENCE: Duration = Duration::from_millis(1_250);
/// Time since the last answer within which open connections are still used while no new one can be opened.
const OPEN_LIFETIME: Duration = Duration::from_millis(300);

/// What a round of probes on new connections to several endpoints found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// An endpoint answered, or there were too few endpoints to tell.
    Answered,
    /// All connections were refused or closed.
    Refused,
    /// None was answered, and some were silent.
    Silent,
}

/// What the host does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait for a loss.
    Idle,
    /// Wait for that time.
    Wait(Duration),
    /// Probe several endpoints.
    Probe,
}

/// Change of the state of the links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No endpoint can be reached on a new connection.
    Lost,
    /// Endpoints are reached again.
    Regained,
    /// The links were silent for a while, but not for long enough to count as lost.
    Resumed,
}

/// Whose fault the loss of a connection was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The endpoint's: others were reached after the loss.
    Endpoint,
    /// That of the host's own links.
    Link,
}

/// The links of one host to the endpoints.
#[derive(Clone, Debug, Default)]
pub struct Link {
    lost_at: Option<Instant>,
    /// First loss since the links were last known to be sound.
    doubted_at: Option<Instant>,
    /// Last loss of an open connection.
    closed_at: Option<Instant>,
    /// Last failure to open a connection.
    unopened_at: Option<Instant>,
    was_silent: bool,
    /// Last answer on any connection.
    answered_at: Option<Instant>,
    /// Opening time of the newest connection that has brought an answer.
    opened_at: Option<Instant>,
    /// Last time at which the links were declared lost.
    declared_at: Option<Instant>,
    next_probe: Instant,
}

impl Link {
    /// Records an answer, or a part of one, on a connection that was opened at `opened_at`.
    pub fn answered(&mut self, now: Instant, opened_at: Instant) {
        self.answered_at = Some(now);
        self.opened_at = self.opened_at.max(Some(opened_at));
    }

    /// Records that an open connection was closed before the end of an answer, or is silent.
    pub fn closed(&mut self, now: Instant) {
        self.closed_at = Some(now);
        self.doubt(now);
    }

    /// Records that a connection could not be opened.
    pub fn unopened(&mut self, now: Instant) {
        self.unopened_at = Some(now);
        self.doubt(now);
    }

    fn doubt(&mut self, now: Instant) {
        if self.lost_at.is_some() || self.doubted_at.is_some() {
            return;
        }
        self.doubted_at = Some(now);
        self.next_probe = self.next_probe.max(now + SETTLE_TIME);
    }

    /// Next step of the host.
    pub fn step(&mut self, now: Instant) -> Step {
        if self.lost_at.is_none() && (self.doubted_at.is_none() || self.is_proved()) {
            self.settle();
            return Step::Idle;
        }
        if now >= self.next_probe {
            return Step::Probe;
        }
        Step::Wait(self.next_probe.since(now))
    }

    /// Whether an answer shows that the last losses were the endpoints' faults.
    fn is_proved(&self) -> bool {
        let follows = |proof: Option<Instant>, loss: Option<Instant>| {
            loss.is_none_or(|loss| proof.is_some_and(|proof| proof >= loss + PROOF_DELAY))
        };
        !self.was_silent
            && follows(self.answered_at, self.closed_at)
            && follows(self.opened_at, self.unopened_at)
    }

    fn settle(&mut self) {
        self.lost_at = None;
        self.doubted_at = None;
        self.closed_at = None;
        self.unopened_at = None;
        self.was_silent = false;
    }

    /// Records the outcome of a round of probes that began at `started`.
    pub fn probed(&mut self, now: Instant, started: Instant, reach: Reach) -> Option<Change> {
        self.next_probe = now + PROBE_INTERVAL;
        match reach {
            Reach::Answered => {
                let change = if self.lost_at.is_some() {
                    Some(Change::Regained)
                } else {
                    self.was_silent.then_some(Change::Resumed)
                };
                self.answered(now, started);
                self.lost_at = None;
                self.doubted_at = None;
                self.unopened_at = None;
                self.was_silent = false;
                // An answer this soon after the last loss does not settle it: the next round does.
                if !self.is_proved() {
                    self.doubted_at = Some(now);
                }
                return change;
            }
            Reach::Refused => {}
            Reach::Silent => {
                self.was_silent = true;
                let doubted_at = self.doubted_at.unwrap_or(started);
                if now.since(doubted_at) < MAX_SILENCE {
                    return None;
                }
            }
        }
        if self.lost_at.is_some() {
            return None;
        }
        self.lost_at = Some(now);
        self.declared_at = Some(now);
        Some(Change::Lost)
    }

    /// Whether no endpoint can be reached on a new connection.
    #[must_use]
    pub const fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Whether connections that are open still bring answers.
    #[must_use]
    pub fn keeps_open(&self, now: Instant) -> bool {
        let answers = |at: Instant| now.since(at) < OPEN_LIFETIME;
        self.lost_at.is_none() || self.answered_at.is_some_and(answers)
    }

    /// Whose fault the loss of an open connection at `closed_at` was; `None` until that is known.
    #[must_use]
    pub fn fault(&self, closed_at: Instant) -> Option<Fault> {
        if self.lost_at.is_some() || self.declared_at.is_some_and(|at| at >= closed_at) {
            return Some(Fault::Link);
        }
        let is_proof = |at: Instant| at >= closed_at + PROOF_DELAY;
        self.answered_at
            .is_some_and(is_proof)
            .then_some(Fault::Endpoint)
    }
}

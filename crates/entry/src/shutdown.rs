//! Admission of requests between SIGTERM and the exit of the process.
//!
//! Callers go on using open connections until the process exits. A request that the exit could cut
//! off is rejected as not run, so that its caller can retry at another host. What it waits for before it
//! runs counts as well, so the time is checked again until the request is passed on. What is open shortly
//! before the exit is answered then.

use std::time::Duration;

use berylknot_coordination::clock::Instant;

/// Time between the exit of the process and the SIGKILL of the platform.
const EXIT_MARGIN: Duration = Duration::from_millis(600);
/// Time between the last answers and the exit of the process: a wake-up of a busy process and the write of
/// a small answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Time after the signal within which the load balancer still sends new connections: two checks of the
/// readiness, one second apart, and their answers. Callers that come later use open connections and can go
/// elsewhere.
pub const UNREADY_DETECTION: Duration = Duration::from_millis(2_500);

/// Progress of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    grace: Duration,
    started: Option<Instant>,
}

impl Shutdown {
    /// State of a process that is not stopping; `grace` is the period from SIGTERM to SIGKILL.
    #[must_use]
    pub const fn new(grace: Duration) -> Self {
        Self {
            grace,
            started: None,
        }
    }

    /// Starts the shutdown at the signal; a repeated signal does not extend it.
    pub fn start(&mut self, now: Instant) {
        self.started.get_or_insert(now);
    }

    /// Whether the termination signal was received.
    #[must_use]
    pub const fn is_started(&self) -> bool {
        self.started.is_some()
    }

    /// Time from the signal to `now`; `None` before the signal.
    #[must_use]
    pub fn started_before(&self, now: Instant) -> Option<Duration> {
        let started = self.started.filter(|started| *started <= now)?;
        Some(now.since(started))
    }

    /// Time at which the process exits even if requests are open; `None` before the signal.
    #[must_use]
    pub fn exit_at(&self) -> Option<Instant> {
        Some(self.started? + self.grace.saturating_sub(EXIT_MARGIN))
    }

    /// Time by which each request has its answer; `None` before the signal.
    #[must_use]
    pub fn answer_by(&self) -> Option<Instant> {
        Some(self.exit_at()? - ANSWER_MARGIN)
    }

    /// Latest start of a run that takes at most `max_duration` and is answered before the exit; `None` before
    /// the signal.
    #[must_use]
    pub fn latest_start(&self, max_duration: Duration) -> Option<Instant> {
        Some(self.answer_by()? - max_duration)
    }

    /// Whether only callers with open connections still come.
    #[must_use]
    pub fn is_late(&self, now: Instant) -> bool {
        self.started
            .is_some_and(|started| now.since(started) >= UNREADY_DETECTION)
    }

    /// Whether a run that ends at `deadline` at the latest is answered before the exit.
    #[must_use]
    pub fn ends_in_time(&self, deadline: Instant) -> bool {
        self.answer_by().is_none_or(|latest| deadline <= latest)
    }

    /// Whether a run that takes at most `max_duration` and starts now ends before the exit.
    #[must_use]
    pub fn accepts(&self, now: Instant, max_duration: Duration) -> bool {
        self.latest_start(max_duration)
            .is_none_or(|latest| now <= latest)
    }
}

//! Admission, endpoint choice, retries and clean-up of requests at the simulated entry hosts.

use berylknot_coordination::retry::Reason;
use berylknot_coordination::slot;
use rand::Rng;

use crate::fakes::Key;
use crate::model::SECOND;
use crate::policy::{Admission, Placement};
use crate::world::{BALANCER_EJECTION_DELAY, End, Event, Job, Simulation, Stage};

/// Queue depth at which a host refuses further requests.
pub(crate) const QUEUE_LIMIT: usize = 64;
/// Attempts of a request, including the first.
const MAX_ATTEMPTS: u32 = 2;

impl Simulation<'_> {
    pub(crate) fn arrive(&mut self, index: usize, resent: Option<Key>) {
        let arrival = &self.workload.arrivals[index];
        let mut host = arrival.host;
        let ejected = self.now >= crate::model::FAULT_START + BALANCER_EJECTION_DELAY;
        if !self.hosts[host].alive && ejected {
            host = 1 + index % (self.fleet.hosts - 1);
        }
        let job = self.jobs.len();
        self.jobs.push(Job {
            arrival: index,
            at: self.now,
            host,
            resent: resent.is_some(),
            stage: Stage::Queued,
            attempt: 0,
            prefill: 0,
            decode: 0,
            computed_tokens: 0,
            batched_at: 0,
            first_token_at: None,
            last_token_at: 0,
            tokens: 0,
            end: None,
            ticket: None,
            turn: None,
            choice: None,
            candidate: 0,
            reserved: false,
            tpot_sample_start: 0,
        });
        if !self.hosts[host].alive {
            self.finish(job, End::Failed);
            return;
        }
        if !arrival.within_rate_limit {
            self.finish(job, End::OverRate);
            return;
        }
        let first_token_timeout = self.model.first_token_timeout;
        let leaves_after = arrival
            .cancel_after
            .map_or(first_token_timeout, |after| after.min(first_token_timeout));
        self.schedule(self.now + leaves_after, Event::CallerLeaves(job));
        if let Some(after) = arrival.cancel_after {
            self.schedule(self.now + after, Event::CallerLeaves(job));
        }
        self.hosts[host].budget.record_request();
        self.enqueue(job);
    }

    pub(crate) fn enqueue(&mut self, job: Key) {
        let host = self.jobs[job].host;
        match self.policy.admission {
            Admission::Immediate => {
                let (prefill, decode) = self.place(job);
                self.send(job, prefill, decode);
            }
            Admission::Fifo if self.hosts[host].queue.len() >= QUEUE_LIMIT => {
                self.finish(job, End::Refused);
            }
            Admission::Fifo => {
                self.hosts[host].queue.push_back(job);
                self.dispatch(host);
            }
            Admission::Fair => self.push_fair(job),
        }
    }

    /// Sends queued requests to engines while the admission policy allows it.
    pub(crate) fn dispatch(&mut self, host: usize) {
        if !self.hosts[host].alive {
            return;
        }
        if self.policy.admission == Admission::Fair {
            self.dispatch_fair(host);
        }
        while self.policy.admission == Admission::Fifo && self.free_slots(host) > 0 {
            let Some(job) = self.hosts[host].queue.pop_front() else {
                return;
            };
            let (prefill, decode) = self.place(job);
            self.send(job, prefill, decode);
        }
    }

    /// Free decode slots on live engines, from load reports and this host's unreported requests.
    pub(crate) fn free_slots(&self, host: usize) -> usize {
        let host = &self.hosts[host];
        (0..self.fleet.decode)
            .filter(|&server| host.decode_load[server].alive)
            .map(|server| {
                let load = host.decode_load[server];
                let used = load.running + load.waiting + host.decode_unreported[server].len();
                self.model.slots.saturating_sub(used)
            })
            .sum()
    }

    pub(crate) fn place(&mut self, job: Key) -> (usize, usize) {
        let host = self.jobs[job].host;
        let prefills = self.fleet.prefill;
        let alive: Vec<usize> = (0..self.fleet.decode)
            .filter(|&server| self.hosts[host].decode_load[server].alive)
            .collect();
        match self.policy.placement {
            Placement::Chooser => self.place_by_chooser(job),
            Placement::RoundRobin => {
                self.hosts[host].round_robin += 1;
                let turn = self.hosts[host].round_robin;
                (turn % prefills, alive[turn % alive.len()])
            }
            Placement::LeastOutstanding => {
                let shift = self.random.random_range(0..1_000_usize);
                let host_state = &self.hosts[host];
                let prefill = (0..prefills)
                    .map(|server| (server + shift) % prefills)
                    .min_by_key(|&server| host_state.prefill_outstanding[server])
                    .unwrap_or(0);
                let decode = (0..alive.len())
                    .map(|index| alive[(index + shift) % alive.len()])
                    .min_by_key(|&server| host_state.decode_outstanding[server])
                    .unwrap_or(0);
                (prefill, decode)
            }
            Placement::TwoChoices => {
                let host_state = &self.hosts[host];
                let prefill = [0; 2]
                    .map(|_| self.random.random_range(0..prefills))
                    .into_iter()
                    .min_by_key(|&server| {
                        host_state.prefill_load[server].running
                            + host_state.prefill_load[server].waiting
                    })
                    .unwrap_or(0);
                let decode = [0; 2]
                    .map(|_| alive[self.random.random_range(0..alive.len())])
                    .into_iter()
                    .min_by_key(|&server| {
                        host_state.decode_load[server].running
                            + host_state.decode_load[server].waiting
                            + host_state.decode_unreported[server].len()
                    })
                    .unwrap_or(0);
                (prefill, decode)
            }
        }
    }

    pub(crate) fn send(&mut self, job: Key, prefill: usize, decode: usize) {
        let host = self.jobs[job].host;
        self.jobs[job].stage = Stage::Sent;
        self.jobs[job].attempt += 1;
        self.jobs[job].prefill = prefill;
        self.jobs[job].decode = decode;
        self.hosts[host].prefill_outstanding[prefill] += 1;
        self.hosts[host].decode_outstanding[decode] += 1;
        self.hosts[host].decode_unreported[decode].push_back(self.now);
        self.record_sent(job);
        let attempt = self.jobs[job].attempt;
        let arrives = self.now + self.delay(host, prefill);
        self.schedule(arrives, Event::PrefillSubmit { job, attempt });
    }

    pub(crate) fn slot_started(&mut self, job: Key) {
        let (host, prefill) = (self.jobs[job].host, self.jobs[job].prefill);
        let sent = &mut self.hosts[host].prefill_outstanding[prefill];
        *sent = sent.saturating_sub(1);
        self.report_slot_started(job);
    }

    /// Removes an attempt from the chooser's load and the outstanding counts of its endpoints.
    fn clear_outstanding(&mut self, job: Key) {
        let state = &self.jobs[job];
        if matches!(state.stage, Stage::Queued | Stage::Reserving | Stage::Done) {
            return;
        }
        let now = self.instant();
        let state = &self.jobs[job];
        let host = &mut self.hosts[state.host];
        host.chooser.ended(now, host.decode_keys[state.decode]);
        if matches!(state.stage, Stage::Sent | Stage::Prefilling) {
            host.chooser.ended(now, host.prefill_keys[state.prefill]);
        }
        let sent = &mut host.decode_outstanding[state.decode];
        *sent = sent.saturating_sub(1);
        if !matches!(state.stage, Stage::Transferring | Stage::Decoding) {
            let sent = &mut host.prefill_outstanding[state.prefill];
            *sent = sent.saturating_sub(1);
        }
    }

    /// Requeues a request after a failed attempt if attempts and the retry budget allow it.
    pub(crate) fn attempt_failed(&mut self, job: Key, reason: Reason) {
        let end = match reason {
            Reason::KvExpired => slot::End::EngineFull,
            _ => slot::End::Failed,
        };
        self.release(job, end);
        self.clear_outstanding(job);
        self.cancel_engine_work(job);
        self.jobs[job].stage = Stage::Queued;
        if self.jobs[job].end.is_some() {
            self.jobs[job].stage = Stage::Done;
            return;
        }
        let attempts_left = self.jobs[job].attempt < MAX_ATTEMPTS;
        if !attempts_left || !self.hosts[self.jobs[job].host].budget.try_retry(reason) {
            self.finish(job, End::Failed);
            return;
        }
        self.retries += 1;
        self.enqueue(job);
    }

    pub(crate) fn caller_leaves(&mut self, job: Key) {
        if self.jobs[job].end.is_some() {
            return;
        }
        let arrival = &self.workload.arrivals[self.jobs[job].arrival];
        let waited = self.now - self.jobs[job].at;
        if arrival.cancel_after.is_some_and(|after| waited >= after) {
            self.finish(job, End::Cancelled);
        } else if self.jobs[job].first_token_at.is_none() {
            self.finish(job, End::GaveUp);
        }
    }

    /// Records how a job ended, schedules a possible resend by its caller and cleans up.
    pub(crate) fn finish(&mut self, job: Key, end: End) {
        if self.jobs[job].end.is_none() {
            self.jobs[job].end = Some(end);
            let may_resend = matches!(end, End::GaveUp | End::Refused | End::Failed);
            if may_resend
                && !self.jobs[job].resent
                && self.random.random::<f64>() < self.model.resend
            {
                self.schedule(self.now + SECOND, Event::Resend(job));
            }
        }
        self.stop(job);
    }

    /// Removes a job from the queue, the slot ledger and the engines.
    pub(crate) fn stop(&mut self, job: Key) {
        let host = self.jobs[job].host;
        if self.jobs[job].stage == Stage::Queued {
            self.hosts[host].queue.retain(|queued| *queued != job);
            if let Some(ticket) = self.jobs[job].ticket.take() {
                self.hosts[host].fair.remove(ticket);
                self.hosts[host].tickets.remove(&ticket);
            }
        }
        self.release(job, slot::End::Released);
        self.clear_outstanding(job);
        self.cancel_engine_work(job);
        self.jobs[job].stage = Stage::Done;
        if self.policy.admission == Admission::Fair {
            self.dispatch_soon(host);
        }
    }
}

//! Events at the entry hosts of a run.

use rand::Rng;

use crate::fakes::Key;
use crate::model::SECOND;
use crate::policy::{Admit, Place};
use crate::world::{BALANCER_LAG, End, Event, Job, Stage, World};

/// Requests that wait at a host before it refuses.
const QUEUE_BOUND: usize = 64;
/// Share of requests that a host may retry.
const RETRY_SHARE: u64 = 10;

impl World<'_> {
    pub(crate) fn arrive(&mut self, index: usize, resent: Option<Key>) {
        let arrival = &self.workload.arrivals[index];
        let mut host = arrival.host;
        let noticed = self.now >= crate::model::FAULT_START + BALANCER_LAG;
        if !self.hosts[host].alive && noticed {
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
            computed: 0,
            joined: 0,
            first: None,
            last: 0,
            tokens: 0,
            end: None,
        });
        if !self.hosts[host].alive {
            self.finish(job, End::Failed);
            return;
        }
        if !arrival.inside_rate {
            self.finish(job, End::OverRate);
            return;
        }
        let patience = self.model.patience;
        let leaves = arrival
            .leaves_after
            .map_or(patience, |after| after.min(patience));
        self.schedule(self.now + leaves, Event::Leave(job));
        if let Some(after) = arrival.leaves_after {
            self.schedule(self.now + after, Event::Leave(job));
        }
        self.enqueue(job);
    }

    fn enqueue(&mut self, job: Key) {
        let host = self.jobs[job].host;
        match self.policy.admit {
            Admit::AtOnce => {
                let (prefill, decode) = self.place(host);
                self.send(job, prefill, decode, self.now);
            }
            Admit::Fifo if self.hosts[host].queue.len() >= QUEUE_BOUND => {
                self.finish(job, End::Refused);
            }
            Admit::Fifo => {
                self.hosts[host].queue.push_back(job);
                self.pump(host);
            }
        }
    }

    /// Sends waiting requests on while there is room.
    pub(crate) fn pump(&mut self, host: usize) {
        if self.policy.admit == Admit::Fifo {
            while !self.hosts[host].queue.is_empty() && self.free_slots(host) > 0 {
                let Some(job) = self.hosts[host].queue.pop_front() else {
                    return;
                };
                let (prefill, decode) = self.place(host);
                self.send(job, prefill, decode, self.now);
            }
        }
    }

    /// Free decode slots by load reports and the own count.
    fn free_slots(&self, host: usize) -> usize {
        let host = &self.hosts[host];
        (0..self.fleet.decode)
            .filter(|&server| host.decode_load[server].alive)
            .map(|server| {
                let load = host.decode_load[server];
                let used = load.running + load.waiting + host.decode_unseen[server].len();
                self.model.slots.saturating_sub(used)
            })
            .sum()
    }

    fn place(&mut self, host: usize) -> (usize, usize) {
        let prefills = self.fleet.prefill;
        let alive: Vec<usize> = (0..self.fleet.decode)
            .filter(|&server| self.hosts[host].decode_load[server].alive)
            .collect();
        match self.policy.place {
            Place::RoundRobin => {
                self.hosts[host].turn += 1;
                let turn = self.hosts[host].turn;
                (turn % prefills, alive[turn % alive.len()])
            }
            Place::LeastOutstanding => {
                let shift = self.random.random_range(0..1_000_usize);
                let one = &self.hosts[host];
                let prefill = (0..prefills)
                    .map(|server| (server + shift) % prefills)
                    .min_by_key(|&server| one.prefill_sent[server])
                    .unwrap_or(0);
                let decode = (0..alive.len())
                    .map(|place| alive[(place + shift) % alive.len()])
                    .min_by_key(|&server| one.decode_sent[server])
                    .unwrap_or(0);
                (prefill, decode)
            }
            Place::TwoChoices => {
                let one = &self.hosts[host];
                let prefill = [0; 2]
                    .map(|_| self.random.random_range(0..prefills))
                    .into_iter()
                    .min_by_key(|&server| {
                        one.prefill_load[server].running + one.prefill_load[server].waiting
                    })
                    .unwrap_or(0);
                let decode = [0; 2]
                    .map(|_| alive[self.random.random_range(0..alive.len())])
                    .into_iter()
                    .min_by_key(|&server| {
                        one.decode_load[server].running
                            + one.decode_load[server].waiting
                            + one.decode_unseen[server].len()
                    })
                    .unwrap_or(0);
                (prefill, decode)
            }
        }
    }

    fn send(&mut self, job: Key, prefill: usize, decode: usize, at: u64) {
        let host = self.jobs[job].host;
        self.jobs[job].stage = Stage::Sent;
        self.jobs[job].attempt += 1;
        self.jobs[job].prefill = prefill;
        self.jobs[job].decode = decode;
        self.hosts[host].prefill_sent[prefill] += 1;
        self.hosts[host].decode_sent[decode] += 1;
        self.hosts[host].decode_unseen[decode].push_back(self.now);
        let attempt = self.jobs[job].attempt;
        let arrives = at.max(self.now) + self.delay(host, prefill);
        self.schedule(arrives, Event::PrefillSubmit { job, attempt });
    }

    pub(crate) fn slot_started(&mut self, job: Key) {
        let (host, prefill) = (self.jobs[job].host, self.jobs[job].prefill);
        let sent = &mut self.hosts[host].prefill_sent[prefill];
        *sent = sent.saturating_sub(1);
    }

    pub(crate) fn slot_missed(&mut self, _job: Key) {}

    /// Forgets the endpoints of a job that no longer runs there.
    fn forget(&mut self, job: Key) {
        let one = &self.jobs[job];
        if one.attempt == 0 || matches!(one.stage, Stage::Queued | Stage::Done) {
            return;
        }
        let host = &mut self.hosts[one.host];
        let sent = &mut host.decode_sent[one.decode];
        *sent = sent.saturating_sub(1);
        if !matches!(one.stage, Stage::Joining | Stage::Decoding) {
            let sent = &mut host.prefill_sent[one.prefill];
            *sent = sent.saturating_sub(1);
        }
    }

    /// Tries a request again elsewhere when the budget allows and no token was delivered.
    pub(crate) fn attempt_failed(&mut self, job: Key) {
        self.withdraw(job);
        self.forget(job);
        self.jobs[job].stage = Stage::Queued;
        if self.jobs[job].end.is_some() {
            self.jobs[job].stage = Stage::Done;
            return;
        }
        let allowed = self.retries * RETRY_SHARE < self.jobs.len() as u64;
        if !allowed || self.jobs[job].attempt >= 2 {
            self.finish(job, End::Failed);
            return;
        }
        self.retries += 1;
        self.enqueue(job);
    }

    pub(crate) fn leave(&mut self, job: Key) {
        if self.jobs[job].end.is_some() {
            return;
        }
        let arrival = &self.workload.arrivals[self.jobs[job].arrival];
        let waited = self.now - self.jobs[job].at;
        if arrival.leaves_after.is_some_and(|after| waited >= after) {
            self.finish(job, End::Cancelled);
        } else if self.jobs[job].first.is_none() {
            self.finish(job, End::GaveUp);
        }
    }

    /// Ends a job and frees what it holds.
    pub(crate) fn finish(&mut self, job: Key, end: End) {
        if self.jobs[job].end.is_none() {
            self.jobs[job].end = Some(end);
            let again = matches!(end, End::GaveUp | End::Refused | End::Failed);
            if again && !self.jobs[job].resent && self.random.random::<f64>() < self.model.resend {
                self.schedule(self.now + SECOND, Event::Resend(job));
            }
        }
        self.stop(job);
    }

    /// Frees what a job holds.
    pub(crate) fn stop(&mut self, job: Key) {
        let host = self.jobs[job].host;
        if self.jobs[job].stage == Stage::Queued {
            self.hosts[host].queue.retain(|one| *one != job);
        }
        self.forget(job);
        self.withdraw_and_close(job);
    }

    fn withdraw_and_close(&mut self, job: Key) {
        self.withdraw(job);
        self.jobs[job].stage = Stage::Done;
    }

    pub(crate) fn lookup(&mut self, index: usize) {
        let lookup = self.workload.lookups[index];
        let server = match self.policy.place {
            Place::RoundRobin => index % self.fleet.services,
            _ => self.random.random_range(0..self.fleet.services),
        };
        let delay = self.delay(lookup.host, server);
        let answered = self.services[server].call(self.now + delay, lookup.work) + delay;
        self.lookup_times.push(answered - self.now);
    }
}

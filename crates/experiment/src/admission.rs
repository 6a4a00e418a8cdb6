//! Events at the entry hosts of a run.

use berylknot_coordination::retry::Reason;
use berylknot_coordination::slot;
use rand::Rng;

use crate::fakes::Key;
use crate::model::SECOND;
use crate::policy::{Admit, Place};
use crate::world::{BALANCER_LAG, End, Event, Job, Stage, World};

/// Requests that wait at a host before it refuses.
pub(crate) const QUEUE_BOUND: usize = 64;
/// Attempts of a request.
const MOST_ATTEMPTS: u32 = 2;

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
            ticket: None,
            turn: None,
            choice: None,
            asked: 0,
            reserved: false,
            gap_from: 0,
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
        self.hosts[host].budget.record_request();
        self.enqueue(job);
    }

    pub(crate) fn enqueue(&mut self, job: Key) {
        let host = self.jobs[job].host;
        match self.policy.admit {
            Admit::AtOnce => {
                let (prefill, decode) = self.place(job);
                self.send(job, prefill, decode);
            }
            Admit::Fifo if self.hosts[host].queue.len() >= QUEUE_BOUND => {
                self.finish(job, End::Refused);
            }
            Admit::Fifo => {
                self.hosts[host].queue.push_back(job);
                self.pump(host);
            }
            Admit::Fair => self.push_fair(job),
        }
    }

    /// Sends waiting requests on while there is room.
    pub(crate) fn pump(&mut self, host: usize) {
        if !self.hosts[host].alive {
            return;
        }
        if self.policy.admit == Admit::Fair {
            self.pump_fair(host);
        }
        while self.policy.admit == Admit::Fifo && self.free_slots(host) > 0 {
            let Some(job) = self.hosts[host].queue.pop_front() else {
                return;
            };
            let (prefill, decode) = self.place(job);
            self.send(job, prefill, decode);
        }
    }

    /// Free decode slots by load reports and the own count.
    pub(crate) fn free_slots(&self, host: usize) -> usize {
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

    pub(crate) fn place(&mut self, job: Key) -> (usize, usize) {
        let host = self.jobs[job].host;
        let prefills = self.fleet.prefill;
        let alive: Vec<usize> = (0..self.fleet.decode)
            .filter(|&server| self.hosts[host].decode_load[server].alive)
            .collect();
        match self.policy.place {
            Place::Chooser => self.place_by_chooser(job),
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

    pub(crate) fn send(&mut self, job: Key, prefill: usize, decode: usize) {
        let host = self.jobs[job].host;
        self.jobs[job].stage = Stage::Sent;
        self.jobs[job].attempt += 1;
        self.jobs[job].prefill = prefill;
        self.jobs[job].decode = decode;
        self.hosts[host].prefill_sent[prefill] += 1;
        self.hosts[host].decode_sent[decode] += 1;
        self.hosts[host].decode_unseen[decode].push_back(self.now);
        self.note_sent(job);
        let attempt = self.jobs[job].attempt;
        let arrives = self.now + self.delay(host, prefill);
        self.schedule(arrives, Event::PrefillSubmit { job, attempt });
    }

    pub(crate) fn slot_started(&mut self, job: Key) {
        let (host, prefill) = (self.jobs[job].host, self.jobs[job].prefill);
        let sent = &mut self.hosts[host].prefill_sent[prefill];
        *sent = sent.saturating_sub(1);
        self.tell_started(job);
    }

    /// Forgets the endpoints of a job that no longer runs there.
    fn forget(&mut self, job: Key) {
        let one = &self.jobs[job];
        if matches!(one.stage, Stage::Queued | Stage::Reserving | Stage::Done) {
            return;
        }
        let now = self.instant();
        let one = &self.jobs[job];
        let host = &mut self.hosts[one.host];
        host.chooser.ended(now, host.decode_keys[one.decode]);
        if matches!(one.stage, Stage::Sent | Stage::Prefilling) {
            host.chooser.ended(now, host.prefill_keys[one.prefill]);
        }
        let sent = &mut host.decode_sent[one.decode];
        *sent = sent.saturating_sub(1);
        if !matches!(one.stage, Stage::Joining | Stage::Decoding) {
            let sent = &mut host.prefill_sent[one.prefill];
            *sent = sent.saturating_sub(1);
        }
    }

    /// Tries a request again elsewhere when the budget allows.
    pub(crate) fn attempt_failed(&mut self, job: Key, reason: Reason) {
        let end = match reason {
            Reason::KvExpired => slot::End::EngineFull,
            _ => slot::End::Failed,
        };
        self.release(job, end);
        self.forget(job);
        self.withdraw(job);
        self.jobs[job].stage = Stage::Queued;
        if self.jobs[job].end.is_some() {
            self.jobs[job].stage = Stage::Done;
            return;
        }
        let again = self.jobs[job].attempt < MOST_ATTEMPTS;
        if !again || !self.hosts[self.jobs[job].host].budget.try_retry(reason) {
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
            if let Some(ticket) = self.jobs[job].ticket.take() {
                self.hosts[host].fair.remove(ticket);
                self.hosts[host].tickets.remove(&ticket);
            }
        }
        self.release(job, slot::End::Released);
        self.forget(job);
        self.withdraw(job);
        self.jobs[job].stage = Stage::Done;
        if self.policy.admit == Admit::Fair {
            self.pump_soon(host);
        }
    }
}

//! Events at the simulated prefill and decode engines.

use rand::Rng;

use berylknot_coordination::retry::Reason;

use crate::fakes::{Key, Running, Waiter};
use crate::world::{End, Event, Simulation, Stage, TRANSFER_TIMEOUT};

/// Share of KV transfers that never finish during [`Scenario::StalledTransfers`].
///
/// [`Scenario::StalledTransfers`]: crate::scenario::Scenario::StalledTransfers
const STALLED_SHARE: f64 = 0.2;

/// Tokens in one sample of the time between tokens.
const TPOT_SAMPLE_TOKENS: u32 = 16;

impl Simulation<'_> {
    fn is_current(&self, job: Key, attempt: u32, stage: Stage) -> bool {
        self.jobs[job].attempt == attempt && self.jobs[job].stage == stage
    }

    pub(crate) fn prefill_submit(&mut self, job: Key, attempt: u32) {
        if !self.is_current(job, attempt, Stage::Sent) {
            return;
        }
        let server = self.jobs[job].prefill;
        self.jobs[job].stage = Stage::Prefilling;
        self.prefills[server].waiting.push_back(job);
        self.start_prefill(server);
    }

    pub(crate) fn start_prefill(&mut self, server: usize) {
        if self.prefills[server].running.is_some() {
            return;
        }
        let Some(job) = self.prefills[server].waiting.pop_front() else {
            return;
        };
        let arrival = &self.workload.arrivals[self.jobs[job].arrival];
        let cached = self.prefills[server].cached(&arrival.pieces) as u32 * self.model.piece_tokens;
        let tokens = arrival.prompt_tokens - cached.min(arrival.prompt_tokens);
        let duration =
            self.model.prefill_base + u64::from(tokens) * self.model.prefill_per_token_ns / 1_000;
        let engine = &mut self.prefills[server];
        engine.running = Some(Running {
            request: job,
            started: self.now,
            ends: self.now + duration,
            tokens,
        });
        engine.epoch += 1;
        let epoch = engine.epoch;
        self.schedule(self.now + duration, Event::PrefillEnd { server, epoch });
    }

    pub(crate) fn prefill_end(&mut self, server: usize, epoch: u64) {
        if self.prefills[server].epoch != epoch {
            return;
        }
        let Some(running) = self.prefills[server].running.take() else {
            return;
        };
        let job = running.request;
        self.prefilled_tokens += u64::from(running.tokens);
        self.jobs[job].computed_tokens = running.tokens;
        self.jobs[job].stage = Stage::Handover;
        let pieces = &self.workload.arrivals[self.jobs[job].arrival].pieces;
        let mut events = self.prefills[server].store(pieces, self.model.cache_pieces);
        events.retain(|_| self.random.random::<f64>() >= self.model.event_loss);
        self.schedule(
            self.now + self.model.event_lag,
            Event::Cached { server, events },
        );
        self.prefill_finished(job, running.tokens);
        let delay = self.delay(server, self.jobs[job].decode);
        let attempt = self.jobs[job].attempt;
        self.schedule(self.now + delay, Event::DecodeSubmit { job, attempt });
        self.schedule(
            self.now + self.model.kv_lifetime,
            Event::KvExpire { job, attempt },
        );
        self.start_prefill(server);
    }

    pub(crate) fn decode_submit(&mut self, job: Key, attempt: u32) {
        if !self.is_current(job, attempt, Stage::Handover) {
            return;
        }
        let server = self.jobs[job].decode;
        if !self.decodes[server].alive {
            self.decode_failed(job);
            self.attempt_failed(job, Reason::EndpointFailed);
            return;
        }
        self.decodes[server].waiting.push_back(Waiter {
            request: job,
            attempt,
        });
        self.fill_slots(server);
    }

    /// Assigns free slots to waiting requests and starts their KV transfers.
    pub(crate) fn fill_slots(&mut self, server: usize) {
        while self.decodes[server].used() < self.model.slots {
            let Some(waiter) = self.decodes[server].waiting.pop_front() else {
                return;
            };
            let job = waiter.request;
            let attempt = waiter.attempt;
            self.decodes[server].transferring.push(job);
            self.jobs[job].stage = Stage::Transferring;
            self.jobs[job].computed_tokens = 0;
            let prompt = self.workload.arrivals[self.jobs[job].arrival].prompt_tokens;
            let bytes = u64::from(prompt) * self.model.kv_bytes_per_token;
            let from = self.jobs[job].prefill % self.fleet.data_centres;
            let to = server % self.fleet.data_centres;
            let arrives_at = if from == to {
                self.local_links[self.jobs[job].prefill].send(
                    self.now,
                    bytes,
                    self.model.local_link_bytes_per_us,
                )
            } else {
                let link = from * self.fleet.data_centres + to;
                self.cross_links[link].send(self.now, bytes, self.model.cross_link_bytes_per_us)
            };
            self.slot_started(job);
            if self.stall_transfers && self.random.random::<f64>() < STALLED_SHARE {
                let deadline = self.now + TRANSFER_TIMEOUT;
                self.schedule(deadline, Event::TransferTimeout { job, attempt });
                continue;
            }
            self.schedule(arrives_at, Event::TransferDone { job, attempt });
        }
    }

    pub(crate) fn kv_expire(&mut self, job: Key, attempt: u32) {
        if !self.is_current(job, attempt, Stage::Handover) {
            return;
        }
        self.attempt_failed(job, Reason::KvExpired);
    }

    pub(crate) fn transfer_timeout(&mut self, job: Key, attempt: u32) {
        if !self.is_current(job, attempt, Stage::Transferring) {
            return;
        }
        self.attempt_failed(job, Reason::TransferTimeout);
    }

    pub(crate) fn transfer_done(&mut self, job: Key, attempt: u32) {
        if !self.is_current(job, attempt, Stage::Transferring) {
            return;
        }
        let server = self.jobs[job].decode;
        self.decodes[server]
            .transferring
            .retain(|other| *other != job);
        self.decodes[server].batch.push(job);
        self.jobs[job].stage = Stage::Decoding;
        self.jobs[job].batched_at = self.now;
        self.start_step(server);
    }

    fn start_step(&mut self, server: usize) {
        let engine = &mut self.decodes[server];
        if engine.stepping || engine.batch.is_empty() {
            return;
        }
        engine.stepping = true;
        engine.step_started = self.now;
        engine.epoch += 1;
        let epoch = engine.epoch;
        let duration = engine.step_duration(self.model);
        self.schedule(self.now + duration, Event::Step { server, epoch });
    }

    pub(crate) fn step(&mut self, server: usize, epoch: u64) {
        if self.decodes[server].epoch != epoch {
            return;
        }
        self.decodes[server].stepping = false;
        for job in self.decodes[server].batch.clone() {
            // A request that entered the batch during this step gets its first token in the next step.
            if self.jobs[job].batched_at > self.decodes[server].step_started {
                continue;
            }
            let arrives_at = self.now + self.delay(server, self.jobs[job].host);
            let state = &mut self.jobs[job];
            state.first_token_at.get_or_insert(arrives_at);
            state.last_token_at = arrives_at;
            state.tokens += 1;
            if state.tokens.is_multiple_of(TPOT_SAMPLE_TOKENS) {
                self.record_tpot(job);
            }
            let state = &self.jobs[job];
            if state.tokens >= self.workload.arrivals[state.arrival].answer_tokens {
                self.finish(job, End::Finished);
            }
        }
        self.start_step(server);
    }

    pub(crate) fn crash_decode(&mut self, server: usize) {
        let engine = &mut self.decodes[server];
        engine.alive = false;
        engine.stepping = false;
        engine.epoch += 1;
        let mut lost: Vec<Key> = engine
            .batch
            .drain(..)
            .chain(engine.transferring.drain(..))
            .collect();
        lost.extend(engine.waiting.drain(..).map(|waiter| waiter.request));
        for job in lost {
            self.decode_failed(job);
            self.attempt_failed(job, Reason::EndpointFailed);
        }
    }

    /// Cancels a job's work at the engines and counts wasted prefill; its end is set elsewhere.
    pub(crate) fn cancel_engine_work(&mut self, job: Key) {
        let prefill = self.jobs[job].prefill;
        match self.jobs[job].stage {
            Stage::Prefilling => {
                let engine = &mut self.prefills[prefill];
                engine.waiting.retain(|other| *other != job);
                if let Some(running) = engine.running
                    && running.request == job
                {
                    let duration = (running.ends - running.started).max(1);
                    let done = u64::from(running.tokens) * (self.now - running.started) / duration;
                    self.prefilled_tokens += done;
                    self.wasted_tokens += done;
                    engine.running = None;
                    engine.epoch += 1;
                    self.start_prefill(prefill);
                }
            }
            Stage::Handover => {
                self.wasted_tokens += u64::from(self.jobs[job].computed_tokens);
                let server = self.jobs[job].decode;
                self.decodes[server].remove(job);
            }
            Stage::Transferring | Stage::Decoding => {
                let server = self.jobs[job].decode;
                self.decodes[server].remove(job);
                self.fill_slots(server);
            }
            Stage::Queued | Stage::Reserving | Stage::Sent | Stage::Done => {}
        }
    }
}

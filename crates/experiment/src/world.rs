//! A run: events in virtual time, jobs, hosts and engines.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::Micros;
use berylknot_coordination::clock::Instant;
use berylknot_coordination::eject::Detector;
use berylknot_coordination::placement::{self, Candidate, Choice, Chooser};
use berylknot_coordination::queue::{Fair, Limits, Ticket, Turn};
use berylknot_coordination::retry::{Budget, Hedge};
use berylknot_coordination::slot::{self, Ledger};

use crate::admission::QUEUE_BOUND;
use crate::fakes::{CacheEvent, Decode, Key, Link, Prefill, Service};
use crate::model::{FAULT_END, FAULT_START, Fleet, LOCAL_DELAY, MILLISECOND, Model, RUN, SECOND};
use crate::policy::Policy;
use crate::scenario::Scenario;
use crate::workload::Workload;

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer was delivered.
    Finished,
    /// The caller left of its own accord.
    Cancelled,
    /// The caller left because no token had come within its patience.
    GaveUp,
    /// Refused as not run.
    Refused,
    /// Refused because the customer was over its rate.
    OverRate,
    /// An engine or host failed, or the KV result expired and no retry was left.
    Failed,
}

/// Progress of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    Queued,
    Reserving,
    Sent,
    Prefilling,
    Handover,
    Joining,
    Decoding,
    Done,
}

/// A model request under way.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index of the arrival.
    pub(crate) arrival: usize,
    /// Time at the entry host.
    pub(crate) at: Micros,
    pub(crate) host: usize,
    /// Whether the caller had sent it before.
    pub(crate) resent: bool,
    pub(crate) stage: Stage,
    pub(crate) attempt: u32,
    pub(crate) prefill: usize,
    pub(crate) decode: usize,
    /// Tokens prefilled for the current attempt.
    pub(crate) computed: u32,
    pub(crate) joined: Micros,
    pub(crate) first: Option<Micros>,
    pub(crate) last: Micros,
    pub(crate) tokens: u32,
    pub(crate) end: Option<End>,
    pub(crate) ticket: Option<Ticket>,
    pub(crate) turn: Option<Turn<usize>>,
    pub(crate) choice: Option<Choice>,
    /// Place of the decode endpoint that was asked last among those of the choice.
    pub(crate) asked: usize,
    /// Whether the job holds a reservation or slot in the ledger of its decode engine.
    pub(crate) reserved: bool,
    /// Start of the sample of the time between tokens.
    pub(crate) gap_from: Micros,
}

/// Load of an endpoint as its reports give it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
    pub(crate) alive: bool,
}

/// An entry host.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) alive: bool,
    pub(crate) queue: VecDeque<Key>,
    pub(crate) turn: usize,
    pub(crate) prefill_sent: Vec<usize>,
    pub(crate) decode_sent: Vec<usize>,
    /// Requests that this host sent to a decode engine and that its reports cannot show yet.
    pub(crate) decode_unseen: Vec<VecDeque<Micros>>,
    pub(crate) prefill_load: Vec<Load>,
    pub(crate) decode_load: Vec<Load>,
    pub(crate) fair: Fair<usize>,
    pub(crate) tickets: BTreeMap<Ticket, Key>,
    /// Reservations asked for and not answered.
    pub(crate) pending: usize,
    pub(crate) blocked_until: Micros,
    pub(crate) pump_at: Option<Micros>,
    pub(crate) chooser: Chooser,
    pub(crate) prefill_keys: Vec<placement::Key>,
    pub(crate) decode_keys: Vec<placement::Key>,
    pub(crate) budget: Budget,
    pub(crate) decode_detector: Detector<usize>,
    pub(crate) service_detector: Detector<usize>,
    pub(crate) hedge: Hedge,
}

/// Answer of a coordinating host; `None` when it cannot be reached.
pub(crate) type Answer = Option<slot::Result<slot::Reservation>>;

#[derive(Clone, Debug)]
pub(crate) enum Event {
    Arrive(usize),
    Lookup(usize),
    Resend(Key),
    Leave(Key),
    Pump(usize),
    Reserve {
        job: Key,
        attempt: u32,
        server: usize,
    },
    Reserved {
        job: Key,
        attempt: u32,
        server: usize,
        answer: Answer,
    },
    SlotStarted {
        job: Key,
        server: usize,
    },
    SlotEnded {
        job: Key,
        server: usize,
        end: slot::End,
    },
    Confirm,
    MoveLedgers,
    Cached {
        server: usize,
        events: Vec<CacheEvent>,
    },
    LookupDone {
        host: usize,
        server: usize,
        asked: Micros,
    },
    Hedge {
        index: usize,
        first: usize,
        answered: Micros,
    },
    PrefillSubmit {
        job: Key,
        attempt: u32,
    },
    PrefillEnd {
        server: usize,
        epoch: u64,
    },
    DecodeSubmit {
        job: Key,
        attempt: u32,
    },
    KvExpire {
        job: Key,
        attempt: u32,
    },
    Join {
        job: Key,
        attempt: u32,
    },
    TransferTimeout {
        job: Key,
        attempt: u32,
    },
    Step {
        server: usize,
        epoch: u64,
    },
    Report,
    Reported {
        prefill: Vec<Load>,
        decode: Vec<Load>,
    },
    Fault {
        start: bool,
    },
    Reap,
}

/// State of a run.
#[derive(Debug)]
pub struct World<'a> {
    pub(crate) fleet: &'a Fleet,
    pub(crate) model: &'a Model,
    pub(crate) policy: Policy,
    pub(crate) scenario: Scenario,
    pub(crate) workload: &'a Workload,
    pub(crate) random: ChaCha8Rng,
    pub(crate) now: Micros,
    sequence: u64,
    events: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    bodies: Vec<Option<Event>>,
    free: Vec<usize>,
    /// All jobs of the run.
    pub jobs: Vec<Job>,
    pub(crate) hosts: Vec<Host>,
    /// Ledger of each decode engine and the host that keeps it.
    pub(crate) ledgers: Vec<(usize, Ledger<Key, usize>)>,
    pub(crate) prefills: Vec<Prefill>,
    pub(crate) decodes: Vec<Decode>,
    pub(crate) local_links: Vec<Link>,
    pub(crate) cross_links: Vec<Link>,
    pub(crate) services: Vec<Service>,
    /// Tokens prefilled.
    pub prefilled_tokens: u64,
    /// Tokens prefilled whose request never got a decode slot.
    pub wasted_tokens: u64,
    /// Retries by the hosts.
    pub retries: u64,
    /// Time from a lookup's arrival to its answer.
    pub lookup_times: Vec<Micros>,
    pub(crate) stalling: bool,
    pub(crate) slots_used: f64,
    pub(crate) peak_samples: u64,
}

/// Time after which a host that died is out of the load balancer.
pub(crate) const BALANCER_LAG: Micros = SECOND;
/// Time after which the work of a dead host is cancelled at the engines (design page, section 5.4).
const REAP_AFTER: Micros = 16 * SECOND;
/// Deadline of a KV transfer.
pub(crate) const TRANSFER_DEADLINE: Micros = 500 * MILLISECOND;

/// Time after which another host keeps the ledgers of a dead one.
const LEDGER_MOVE: Micros = 3 * SECOND;
/// Bounds of a host's queue, the same for all policies with a queue.
const LIMITS: Limits = Limits {
    per_customer: 48,
    total: QUEUE_BOUND,
};

pub(crate) fn new_ledger(model: &Model) -> Ledger<Key, usize> {
    Ledger::new(model.slots as u32)
}

fn new_host(fleet: &Fleet, model: &Model, number: usize) -> Host {
    let alive = Load {
        alive: true,
        ..Load::default()
    };
    let centres = fleet.data_centres;
    let delay = |from, to| {
        if from == to {
            LOCAL_DELAY
        } else {
            fleet.cross_delay
        }
    };
    let mut chooser = Chooser::new(placement::Settings {
        data_centre: number % centres,
        delay_us: (0..centres)
            .map(|from| (0..centres).map(|to| delay(from, to)).collect())
            .collect(),
        hosts: fleet.hosts as u32,
        piece_tokens: model.piece_tokens,
        prefill_ns_per_token: model.prefill_per_token_ns,
        kv_bytes_per_token: model.kv_bytes_per_token,
        cross_link_bytes_per_ms: model.cross_link * MILLISECOND,
        local_link_bytes_per_ms: model.local_link * MILLISECOND,
    });
    let mut keys = |role, count: usize| -> Vec<placement::Key> {
        (0..count)
            .map(|server| {
                chooser.add(Candidate {
                    role,
                    data_centre: server % centres,
                    slots: model.slots as u32,
                })
            })
            .collect()
    };
    let prefill_keys = keys(placement::Role::Prefill, fleet.prefill);
    let decode_keys = keys(placement::Role::Decode, fleet.decode);
    let detector = |count| {
        let mut detector = Detector::new();
        for server in 0..count {
            detector.add(server);
        }
        detector
    };
    Host {
        alive: true,
        queue: VecDeque::new(),
        turn: number,
        prefill_sent: vec![0; fleet.prefill],
        decode_sent: vec![0; fleet.decode],
        decode_unseen: vec![VecDeque::new(); fleet.decode],
        prefill_load: vec![alive; fleet.prefill],
        decode_load: vec![alive; fleet.decode],
        fair: Fair::new(LIMITS),
        tickets: BTreeMap::new(),
        pending: 0,
        blocked_until: 0,
        pump_at: None,
        chooser,
        prefill_keys,
        decode_keys,
        budget: Budget::default(),
        decode_detector: detector(fleet.decode),
        service_detector: detector(fleet.services),
        hedge: Hedge::default(),
    }
}

impl<'a> World<'a> {
    /// Time as the decision code sees it.
    pub(crate) fn instant(&self) -> Instant {
        Instant::from_millis(self.now / MILLISECOND)
    }

    /// Runs a workload to its end.
    #[must_use]
    pub fn run(
        fleet: &'a Fleet,
        model: &'a Model,
        policy: Policy,
        scenario: Scenario,
        workload: &'a Workload,
        seed: u64,
    ) -> Self {
        let mut world = Self::new(fleet, model, policy, scenario, workload, seed);
        for index in 0..workload.arrivals.len() {
            world.schedule(workload.arrivals[index].at, Event::Arrive(index));
        }
        for index in 0..workload.lookups.len() {
            world.schedule(workload.lookups[index].at, Event::Lookup(index));
        }
        world.schedule(0, Event::Report);
        world.schedule(SECOND, Event::Confirm);
        if scenario != Scenario::Steady && scenario != Scenario::OverloadPulse {
            world.schedule(FAULT_START, Event::Fault { start: true });
            world.schedule(FAULT_END, Event::Fault { start: false });
        }
        while let Some(Reverse((at, _, body))) = world.events.pop() {
            if at > RUN + 10 * SECOND {
                break;
            }
            world.now = at;
            world.free.push(body);
            if let Some(event) = world.bodies[body].take() {
                world.handle(event);
            }
        }
        world
    }

    fn new(
        fleet: &'a Fleet,
        model: &'a Model,
        policy: Policy,
        scenario: Scenario,
        workload: &'a Workload,
        seed: u64,
    ) -> Self {
        let host = |turn| new_host(fleet, model, turn);
        Self {
            fleet,
            model,
            policy,
            scenario,
            workload,
            random: ChaCha8Rng::seed_from_u64(seed ^ 0x005e_ed0f_0a11_u64),
            now: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            bodies: Vec::new(),
            free: Vec::new(),
            jobs: Vec::new(),
            hosts: (0..fleet.hosts).map(host).collect(),
            ledgers: (0..fleet.decode)
                .map(|server| (server % fleet.hosts, new_ledger(model)))
                .collect(),
            prefills: (0..fleet.prefill).map(|_| Prefill::default()).collect(),
            decodes: (0..fleet.decode).map(|_| Decode::new()).collect(),
            local_links: vec![Link::default(); fleet.prefill],
            cross_links: vec![Link::default(); fleet.data_centres * fleet.data_centres],
            services: (0..fleet.services).map(|_| Service::default()).collect(),
            prefilled_tokens: 0,
            wasted_tokens: 0,
            retries: 0,
            lookup_times: Vec::new(),
            stalling: false,
            slots_used: 0.0,
            peak_samples: 0,
        }
    }

    pub(crate) fn schedule(&mut self, at: Micros, event: Event) {
        let body = self.free.pop().unwrap_or_else(|| {
            self.bodies.push(None);
            self.bodies.len() - 1
        });
        self.bodies[body] = Some(event);
        self.sequence += 1;
        self.events
            .push(Reverse((at.max(self.now), self.sequence, body)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => self.arrive(index, None),
            Event::Resend(job) => self.arrive(self.jobs[job].arrival, Some(job)),
            Event::Lookup(index) => self.lookup(index),
            Event::Leave(job) => self.leave(job),
            Event::Pump(host) => {
                self.hosts[host].pump_at = None;
                self.pump(host);
            }
            Event::Reserve {
                job,
                attempt,
                server,
            } => self.reserve(job, attempt, server),
            Event::Reserved {
                job,
                attempt,
                server,
                answer,
            } => self.reserved(job, attempt, server, answer),
            Event::SlotStarted { job, server } => {
                let now = self.instant();
                self.ledgers[server].1.start(now, job);
            }
            Event::SlotEnded { job, server, end } => {
                let now = self.instant();
                self.ledgers[server].1.end(now, job, end);
            }
            Event::Confirm => self.confirm(),
            Event::MoveLedgers => self.move_ledgers(),
            Event::Cached { server, events } => self.cached(server, &events),
            Event::LookupDone {
                host,
                server,
                asked,
            } => self.lookup_done(host, server, asked),
            Event::Hedge {
                index,
                first,
                answered,
            } => self.hedge(index, first, answered),
            Event::PrefillSubmit { job, attempt } => self.prefill_submit(job, attempt),
            Event::PrefillEnd { server, epoch } => self.prefill_end(server, epoch),
            Event::DecodeSubmit { job, attempt } => self.decode_submit(job, attempt),
            Event::KvExpire { job, attempt } => self.kv_expire(job, attempt),
            Event::Join { job, attempt } => self.join(job, attempt),
            Event::TransferTimeout { job, attempt } => self.transfer_timeout(job, attempt),
            Event::Step { server, epoch } => self.step(server, epoch),
            Event::Report => self.report(),
            Event::Reported { prefill, decode } => self.reported(&prefill, &decode),
            Event::Fault { start } => self.fault(start),
            Event::Reap => self.reap(),
        }
    }

    /// One-way delay between data centres.
    pub(crate) fn delay(&self, from: usize, to: usize) -> Micros {
        if from % self.fleet.data_centres == to % self.fleet.data_centres {
            LOCAL_DELAY
        } else {
            self.fleet.cross_delay
        }
    }

    fn fault(&mut self, start: bool) {
        match self.scenario {
            Scenario::EndpointCrash if start => self.crash_decode(0),
            Scenario::EndpointCrash => self.decodes[0].alive = true,
            Scenario::SlowEndpoint => {
                self.decodes[0].slowness = if start { 3 } else { 1 };
                self.services[0].slowness = if start { 10 } else { 1 };
            }
            Scenario::StalledTransfers => self.stalling = start,
            Scenario::HostCrash if start => {
                self.hosts[0] = new_host(self.fleet, self.model, 0);
                self.hosts[0].alive = false;
                self.schedule(self.now + LEDGER_MOVE, Event::MoveLedgers);
                for job in 0..self.jobs.len() {
                    if self.jobs[job].host == 0 && self.jobs[job].end.is_none() {
                        self.jobs[job].end = Some(End::Failed);
                    }
                }
                self.schedule(self.now + REAP_AFTER, Event::Reap);
            }
            Scenario::HostCrash => self.hosts[0].alive = true,
            Scenario::Steady | Scenario::OverloadPulse => {}
        }
    }

    fn reap(&mut self) {
        for job in 0..self.jobs.len() {
            if self.jobs[job].end == Some(End::Failed) && self.jobs[job].stage != Stage::Done {
                self.stop(job);
            }
        }
    }

    fn report(&mut self) {
        let prefill = self
            .prefills
            .iter()
            .map(|server| Load {
                running: usize::from(server.running.is_some()),
                waiting: server.waiting.len(),
                alive: true,
            })
            .collect();
        let decode = self
            .decodes
            .iter()
            .map(|server| Load {
                running: server.used(),
                waiting: server.waiting.len(),
                alive: server.alive,
            })
            .collect();
        self.schedule(
            self.now + self.model.report_lag,
            Event::Reported { prefill, decode },
        );
        self.schedule(self.now + self.model.report_period, Event::Report);
        if (20 * SECOND..50 * SECOND).contains(&self.now) {
            let used: usize = self.decodes.iter().map(Decode::used).sum();
            self.slots_used += used as f64 / (self.model.slots * self.decodes.len()) as f64;
            self.peak_samples += 1;
        }
    }

    fn reported(&mut self, prefill: &[Load], decode: &[Load]) {
        let measured = self.now - self.model.report_lag;
        let (now, age) = (self.instant(), Duration::from_micros(self.model.report_lag));
        for (server, load) in decode.iter().enumerate() {
            self.ledgers[server].1.report(now, load.running as u32, age);
        }
        for host in 0..self.hosts.len() {
            self.tell_chooser(host, prefill, decode);
            self.hosts[host].prefill_load.copy_from_slice(prefill);
            self.hosts[host].decode_load.copy_from_slice(decode);
            for sent in &mut self.hosts[host].decode_unseen {
                // A request shows in the decode load only after its prefill.
                while sent
                    .front()
                    .is_some_and(|at| *at + 150 * MILLISECOND < measured)
                {
                    sent.pop_front();
                }
            }
            self.pump(host);
        }
    }
}

//! State of the daemon, shared by its tasks on one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::eject::Change;
use rand::Rng;
use tokio::sync::{Mutex, Notify};

use crate::admission::Waitlist;
use crate::backlog::Backlogs;
use crate::budget::Budgets;
use crate::contact::Outage;
use crate::directory::{self, Directory, Endpoint, Key, Stage};
use crate::fleet::Fleet;
use crate::gossip::View;
use crate::health::{Group, Health, Suspicion};
use crate::http::Pool;
use crate::ledger::{Grant, Ledger, Run, Ticket};
use crate::metrics::Metrics;
use crate::mix::Mix;
use crate::options::Options;
use crate::parts::Parts;
use crate::platform::AnswerHead;
use crate::quota::{self, Class, Quotas};
use crate::request::{Call, Classification};
use crate::shutdown::Shutdown;
use crate::strikes::Strikes;

/// Pause between reads of the endpoints' entries, as a part of the time after which a leaving
/// endpoint must not get requests. Entries are written again at every heartbeat, so waiting reads
/// would return at once each time.
const ENDPOINT_PERIOD_SHARE: f64 = 0.65;
/// Cost of another data centre against load, as a share of an endpoint's slots.
const DISTANCE: f64 = 0.35;
/// Age of the last sign of a current configuration at which keys are no longer honoured (design
/// page, section 5.7).
const FRESHNESS: Duration = Duration::from_secs(10);

/// Time after its start in which a host learns the others' places before it gives any; several
/// reports of each peer.
const LEARNING: Duration = Duration::from_millis(2_500);
/// Stands for a place that was not granted by a leader.
pub(crate) const NO_GRANT: Grant = 0;

/// Monotonic time since a fixed origin that counts suspended time.
pub(crate) fn now() -> Instant {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Instant::from_millis(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}

/// State of the daemon. `D` is the caller and endpoint dialect, `S` the platform's store.
pub(crate) struct Host<D, S> {
    pub(crate) options: Options,
    pub(crate) store: S,
    pub(crate) pool: Pool,
    pub(crate) metrics: Metrics,
    pub(crate) incarnation: u64,
    pub(crate) fleet: RefCell<Option<Rc<Fleet>>>,
    /// The configuration as it was read, for peers without the store.
    pub(crate) document: RefCell<bytes::Bytes>,
    pub(crate) directory: RefCell<Directory>,
    /// Endpoint entries as they were read, for peers without the store.
    pub(crate) entries: RefCell<HashMap<String, bytes::Bytes>>,
    pub(crate) ledger: RefCell<Ledger>,
    pub(crate) quotas: RefCell<Quotas>,
    pub(crate) budgets: RefCell<Budgets>,
    pub(crate) view: RefCell<View>,
    pub(crate) strikes: RefCell<Strikes>,
    pub(crate) waitlists: RefCell<HashMap<String, Waitlist>>,
    pub(crate) health: RefCell<Health>,
    /// Time of the last answer of the store.
    pub(crate) store_answered: Cell<Option<Instant>>,
    /// Time of the last sign that the configuration is current, from the store or a peer.
    pub(crate) configuration_confirmed: Cell<Option<Instant>>,
    pub(crate) directory_known: Cell<bool>,
    pub(crate) outage: Cell<Outage>,
    /// Whether the announcements of the other hosts were read.
    pub(crate) hosts_known: Cell<bool>,
    pub(crate) shutdown: Cell<Shutdown>,
    pub(crate) open_requests: Cell<usize>,
    /// Prompts at each prefill engine.
    pub(crate) backlogs: RefCell<Backlogs>,
    /// Parts that the engines of each service keep; locked while the engines are asked.
    pub(crate) parts: RefCell<HashMap<String, Rc<Mutex<Parts>>>>,
    /// Hosts that did not answer a question for a place, and until when they are not asked.
    pub(crate) leader_cooldowns: RefCell<HashMap<SocketAddr, Instant>>,
    started: Instant,
    /// Whether a peer reported since its places were counted.
    pub(crate) peers_changed: Cell<bool>,
    /// Wakes the sender of reports when a place was taken or freed.
    pub(crate) load_changed: Notify,
    /// Average of the generations seen.
    pub(crate) mix: Cell<Mix>,
    /// Wakes the dispatcher of waiting generations.
    pub(crate) capacity_freed: Notify,
    dialect: PhantomData<D>,
}

impl<D, S> Host<D, S> {
    pub(crate) fn new(
        options: Options,
        store: S,
        pool: Pool,
        incarnation: u64,
        metrics: Metrics,
    ) -> Self {
        let bounds = &options.bounds;
        let budgets = Budgets::new(
            bounds.retry_ratio,
            bounds.retry_slack,
            (bounds.retry_window_s * 1_000.0) as u64,
        );
        let mut ledger = Ledger::default();
        ledger.number_grants_from(incarnation);
        Self {
            quotas: RefCell::new(Quotas::new(options.first_start, bounds.quota_window_ms())),
            shutdown: Cell::new(Shutdown::new(bounds.grace())),
            options,
            store,
            pool,
            metrics,
            incarnation,
            fleet: RefCell::new(None),
            document: RefCell::default(),
            directory: RefCell::default(),
            entries: RefCell::default(),
            ledger: RefCell::new(ledger),
            budgets: RefCell::new(budgets),
            view: RefCell::default(),
            strikes: RefCell::default(),
            waitlists: RefCell::default(),
            health: RefCell::default(),
            store_answered: Cell::new(None),
            configuration_confirmed: Cell::new(None),
            directory_known: Cell::new(false),
            outage: Cell::default(),
            hosts_known: Cell::new(false),
            open_requests: Cell::new(0),
            backlogs: RefCell::default(),
            parts: RefCell::default(),
            leader_cooldowns: RefCell::default(),
            started: now(),
            peers_changed: Cell::new(false),
            load_changed: Notify::new(),
            mix: Cell::default(),
            capacity_freed: Notify::new(),
            dialect: PhantomData,
        }
    }

    /// Whether the host may serve: it knows a configuration and the endpoints, neither is stale, and it
    /// knows the other hosts. One that has met nobody takes all of each limit for itself, and has
    /// nobody to ask when the store goes away.
    pub(crate) fn is_ready(&self) -> bool {
        let met = self.hosts_known.get() || self.view.borrow().live(now()).next().is_some();
        met && self.fleet.borrow().is_some()
            && self.directory_known.get()
            && !self.is_stopping()
            && self.is_fresh(now())
    }

    /// Pause between reads of the endpoints' entries.
    pub(crate) fn endpoint_period(&self) -> Duration {
        self.options.bounds.drain().mul_f64(ENDPOINT_PERIOD_SHARE)
    }

    pub(crate) fn uptime(&self, now: Instant) -> Duration {
        now.since(self.started)
    }

    /// Whether this host has heard the others for long enough to give places.
    pub(crate) fn leads(&self, now: Instant) -> bool {
        self.uptime(now) >= LEARNING && !self.is_stopping() && self.directory_known.get()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.shutdown.get().is_started()
    }

    /// Whether keys are still honoured: the configuration was current recently, or most of the
    /// peers are heard and none of them has a newer one.
    pub(crate) fn is_fresh(&self, now: Instant) -> bool {
        let confirmed = self
            .configuration_confirmed
            .get()
            .is_some_and(|at| now.since(at) < FRESHNESS);
        if confirmed {
            return true;
        }
        let view = self.view.borrow();
        let (silent, known) = view.silent(now);
        (known - silent + 1) * 2 > known + 1
    }

    /// Puts a configuration in force unless a newer one is; returns whether it was.
    pub(crate) fn configure(&self, fleet: Fleet, document: bytes::Bytes) -> bool {
        let known = self.fleet.borrow().as_ref().map(|known| known.version);
        if known.is_some_and(|known| known >= fleet.version) {
            return false;
        }
        let now = now();
        for customer in &fleet.customers {
            self.quotas
                .borrow_mut()
                .configure(now, &customer.name, customer.rate, customer.burst);
            tracing::info!(
                customer = customer.name,
                rate = customer.rate,
                burst = customer.burst,
                "config: limit"
            );
        }
        tracing::info!(version = fleet.version, before = known, "config: in force");
        *self.fleet.borrow_mut() = Some(Rc::new(fleet));
        *self.document.borrow_mut() = document;
        true
    }

    /// Tells the limits how many hosts there are and how many of them are heard.
    pub(crate) fn count_hosts(&self, now: Instant) {
        let (hosts, unreachable) = self.view.borrow().hosts(now);
        let mut quotas = self.quotas.borrow_mut();
        let was_partitioned = quotas.is_partitioned();
        quotas.set_hosts(now, hosts, unreachable);
        if quotas.is_partitioned() != was_partitioned {
            let apart = quotas.is_partitioned();
            tracing::info!(hosts, unheard = unreachable, apart, "quota: hosts heard");
        }
    }

    /// Charges a customer, or tells when its tokens will be there.
    ///
    /// # Errors
    /// Fails with the time until the request would be admitted.
    pub(crate) fn charge(
        &self,
        now: Instant,
        customer: &str,
        tokens: u64,
        class: Class,
    ) -> quota::Result<()> {
        self.count_hosts(now);
        self.quotas.borrow_mut().take(now, customer, tokens, class)
    }

    /// Follows a change of the directory.
    pub(crate) fn directory_changed(&self, change: directory::Change) {
        let directory = self.directory.borrow();
        match change {
            directory::Change::None => {}
            directory::Change::Started(key) | directory::Change::Changed(key) => {
                let Some(endpoint) = directory.get(key) else {
                    return;
                };
                let mut health = self.health.borrow_mut();
                if matches!(change, directory::Change::Started(_)) {
                    self.pool.close_idle(endpoint.address);
                    health.restarted(key);
                }
                health.add(key, Group::of(endpoint));
                tracing::info!(
                    endpoint = endpoint.id,
                    service = endpoint.service,
                    address = %endpoint.address,
                    state = ?endpoint.state,
                    stage = ?endpoint.stage,
                    sequence = endpoint.sequence,
                    "directory: endpoint changed"
                );
            }
            directory::Change::Removed(key) => {
                tracing::info!(?key, "directory: endpoint gone");
                self.health.borrow_mut().remove(key);
            }
        }
    }

    /// Has an endpoint chosen later than others for a while.
    pub(crate) fn suspect(&self, key: Key, suspicion: Suspicion) {
        self.health.borrow_mut().suspect(now(), key, suspicion);
    }

    /// Ids of the endpoints that this host suspects, for the host that gives the places.
    pub(crate) fn suspected(&self) -> Vec<(String, Suspicion)> {
        let directory = self.directory.borrow();
        let health = self.health.borrow();
        let suspected = health.suspected(now());
        suspected
            .filter_map(|(key, suspicion)| Some((directory.get(key)?.id.clone(), suspicion)))
            .collect()
    }

    /// Takes a repeated send from the budget that all hosts share.
    pub(crate) fn may_retry(&self, call: &Call) -> bool {
        let granted = self.budgets.borrow_mut().try_retry(now(), &call.service);
        if !granted {
            self.metrics.retry("denied");
            tracing::info!(id = call.head.id, service = call.service, "retry: denied");
        }
        granted
    }

    /// Counts that an endpoint broke off a request.
    pub(crate) fn strike(&self, call: &Call, endpoint: &Endpoint) {
        self.strikes
            .borrow_mut()
            .strike(now(), call.fingerprint, &endpoint.id, true);
    }

    /// Notes what the head of an answer says about its endpoint.
    pub(crate) fn note_answer(
        &self,
        key: Key,
        answer: &AnswerHead,
        classification: Classification,
    ) {
        if classification == Classification::Mismatched {
            return;
        }
        let mut health = self.health.borrow_mut();
        if let Some(load) = answer.load {
            health.record_load(now(), key, load);
        }
        if answer.misdirected {
            health.misdirected(now(), key);
        }
    }

    /// Counts a request that an endpoint answered in that many milliseconds.
    pub(crate) fn answered(&self, key: Key, millis: f64) {
        self.judge(key, |health, group| {
            health.answered(now(), key, group, millis)
        });
    }

    /// Counts a request that failed at an endpoint.
    pub(crate) fn failed(&self, key: Key, suspicion: Suspicion) {
        self.judge(key, |health, group| {
            health.failed(now(), key, group, suspicion)
        });
    }

    /// Counts an error of an endpoint's own.
    pub(crate) fn server_error(&self, key: Key) {
        self.judge(key, |health, group| health.server_error(now(), key, group));
    }

    fn judge(&self, key: Key, judge: impl FnOnce(&mut Health, &Group) -> Option<Change>) {
        let directory = self.directory.borrow();
        let Some(endpoint) = directory.get(key) else {
            return;
        };
        let change = judge(&mut self.health.borrow_mut(), &Group::of(endpoint));
        if let Some(change) = change {
            let ejected = change == Change::Ejected;
            tracing::info!(endpoint = endpoint.id, ejected, "eject: endpoint changed");
        }
    }

    /// The best endpoint of a service by a cost; `None` as cost excludes an endpoint.
    pub(crate) fn choose(
        &self,
        service: &str,
        stage: Option<Stage>,
        tried: &[Key],
        cost: impl Fn(Key, &Endpoint, Option<Suspicion>) -> Option<f64>,
    ) -> Option<(Key, Endpoint)> {
        let now = now();
        let directory = self.directory.borrow();
        let health = self.health.borrow();
        let mut best: Option<(f64, Key, &Endpoint)> = None;
        for (key, endpoint) in directory.ready(service) {
            if tried.contains(&key) || stage.is_some() && endpoint.stage != stage {
                continue;
            }
            let suspicion = health.suspicion(now, key, &Group::of(endpoint));
            let Some(cost) = cost(key, endpoint, suspicion) else {
                continue;
            };
            if best.is_none_or(|(lowest, _, _)| cost < lowest) {
                best = Some((cost, key, endpoint));
            }
        }
        best.map(|(_, key, endpoint)| (key, endpoint.clone()))
    }

    /// An ejected endpoint whose turn for a probe has come.
    pub(crate) fn probe(&self, service: &str, stage: Option<Stage>) -> Option<Key> {
        let group = Group {
            service: service.to_owned(),
            stage,
        };
        self.health.borrow_mut().probe(now(), &group)
    }

    /// Cost of the distance to an endpoint.
    pub(crate) fn distance_cost(&self, endpoint: &Endpoint) -> f64 {
        if endpoint.data_centre == self.options.data_centre {
            0.0
        } else {
            DISTANCE
        }
    }
}

/// Cost that puts an endpoint behind all others; it exceeds every load.
pub(crate) const LAST_RESORT_COST: f64 = 1_000.0;

/// A small random cost, so that hosts with the same knowledge do not all choose the same endpoint.
pub(crate) fn jitter(largest: f64) -> f64 {
    rand::rng().random_range(0.0..largest)
}

/// Load of a request on an endpoint, for as long as it is held.
pub(crate) struct Reservation<D, S> {
    host: Rc<Host<D, S>>,
    pub(crate) key: Key,
    ticket: Ticket,
}

impl<D, S> Reservation<D, S> {
    pub(crate) fn acquire(host: &Rc<Host<D, S>>, key: Key, run: Run, grant: Grant) -> Self {
        let ticket = host.ledger.borrow_mut().add(key, run, grant);
        host.ledger.borrow_mut().settle(grant);
        host.load_changed.notify_one();
        Self {
            host: Rc::clone(host),
            key,
            ticket,
        }
    }

    /// Notes output tokens of a generation.
    pub(crate) fn progress(&self, tokens: u32, most: u32) {
        self.host
            .ledger
            .borrow_mut()
            .progress(self.ticket, tokens, most);
    }
}

impl<D, S> Drop for Reservation<D, S> {
    fn drop(&mut self) {
        self.host.ledger.borrow_mut().release(self.ticket);
        self.host.capacity_freed.notify_one();
        self.host.load_changed.notify_one();
    }
}

//! Shared state of the daemon. All its tasks run on one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::contention::Contention;
use berylknot_coordination::eject::Change;
use berylknot_coordination::ending::Framing;
use berylknot_coordination::forecast::{self, Forecast};
use berylknot_coordination::prefix::Prefixes;
use berylknot_coordination::returns::Returns;
use berylknot_coordination::trial::{Trials, Witness};
use rand::Rng;
use tokio::sync::{Mutex, Notify};

use crate::admission::{self, Line, Waitlist};
use crate::archive::Archive;
use crate::backlog::Backlogs;
use crate::budget::Budgets;
use crate::contact::Outage;
use crate::directory::{self, Directory, Endpoint, Key, Stage};
use crate::entries::Entries;
use crate::fleet::{Fleet, Service};
use crate::gossip::{INTRODUCTION_TIME, Rank, View};
use crate::health::{Group, Health, Suspicion};
use crate::http::Pool;
use crate::intake::Intake;
use crate::ledger::{Grant, Ledger, Run, Ticket};
use crate::limits::Limits;
use crate::metrics::{self, Metrics};
use crate::mix::Mix;
use crate::offers::Offers;
use crate::options::Options;
use crate::orders::Orders;
use crate::outbox::Outbox;
use crate::parts::{Part, Parts};
use crate::places::Places;
use crate::platform::{AnswerHead, Store};
use crate::quota::{self, Class, Quotas};
use crate::readers::Changes;
use crate::refresh::Refresh;
use crate::request::{Call, Classification};
use crate::saturation::Saturation;
use crate::server::DEFAULT_MAX_BODY_BYTES;
use crate::stages::Demand;
use crate::strikes::Strikes;
use crate::suspects::{Crash, Source, Suspects};
use crate::termination::Termination;
use crate::versions::Published;

/// Cost of an endpoint in another data centre, as a share of its slots.
const REMOTE_COST: f64 = 0.35;
/// Largest staleness of the configuration at which API keys are still accepted (design page, section
/// 5.7).
const MAX_CONFIGURATION_AGE: Duration = Duration::from_secs(10);

/// Where this host has learned that an endpoint is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ColdSource {
    Entry,
    Answer,
    Peer,
}

/// Grant number of a reservation without a grant of a leader.
pub(crate) const NO_GRANT: Grant = 0;

/// Monotonic time since boot, including time in suspend.
pub(crate) fn now() -> Instant {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Instant::from_millis(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}

/// State of a host's daemon. `D` is the protocol dialect of callers and endpoints, `S` the platform's
/// store.
pub(crate) struct Host<D, S> {
    pub(crate) options: Options,
    pub(crate) store: Archive<S>,
    pub(crate) pool: Pool,
    pub(crate) metrics: Metrics,
    /// Memory for the bodies of requests.
    pub(crate) intake: Intake,
    /// Memory for what callers have not read.
    pub(crate) outbox: Rc<Outbox>,
    pub(crate) incarnation: u64,
    pub(crate) fleet: RefCell<Option<Rc<Fleet>>>,
    /// Raw document of the current configuration, for peers that cannot reach the store.
    pub(crate) document: RefCell<bytes::Bytes>,
    pub(crate) directory: RefCell<Directory>,
    /// Raw endpoint entries, for peers that cannot reach the store.
    pub(crate) entries: RefCell<Entries>,
    pub(crate) ledger: RefCell<Ledger>,
    pub(crate) quotas: RefCell<Quotas>,
    pub(crate) budgets: RefCell<Budgets>,
    pub(crate) view: RefCell<View>,
    pub(crate) strikes: RefCell<Strikes>,
    pub(crate) suspects: RefCell<Suspects>,
    /// Limits that endpoints state, and those of cold endpoints.
    pub(crate) limits: RefCell<Limits>,
    /// Loads that endpoints of services with a pace state.
    pub(crate) forecast: RefCell<Forecast<Key, String>>,
    /// Calls of customers to services whose callers compete.
    pub(crate) contention: RefCell<Contention<String, String, SocketAddr>>,
    /// When refused callers of each service and customer return.
    pub(crate) returns: RefCell<Returns<(String, Option<usize>)>>,
    /// Prompt parts that engines probably hold.
    pub(crate) prefixes: RefCell<Prefixes<Key, Part>>,
    /// Endpoints that hosts have found silent.
    pub(crate) trials: RefCell<Trials<Key>>,
    /// Regions and evacuations.
    pub(crate) places: RefCell<Places>,
    /// Services whose limited endpoints take no call of this host until the given time.
    pub(crate) denials: RefCell<HashMap<String, Instant>>,
    pub(crate) waitlists: RefCell<HashMap<Line, Waitlist>>,
    pub(crate) health: RefCell<Health>,
    /// Time of the store's last answer.
    pub(crate) store_answered: Cell<Option<Instant>>,
    /// Time at which the store or a peer last confirmed that the configuration is current.
    pub(crate) configuration_confirmed: Cell<Option<Instant>>,
    pub(crate) directory_known: Cell<bool>,
    /// Age of the endpoint entries.
    pub(crate) refresh: Cell<Refresh>,
    /// Recent changes of the entries; `None` before the whole list has been read.
    pub(crate) changes: RefCell<Option<Changes>>,
    /// Failed reads of the entries since the last successful one; locked during a read.
    pub(crate) failed_reads: Mutex<u32>,
    pub(crate) outage: Cell<Outage>,
    /// Whether the announcements of the other hosts have been read from the store.
    pub(crate) hosts_known: Cell<bool>,
    pub(crate) shutdown: Termination,
    pub(crate) open_requests: Cell<usize>,
    /// Stage changes under way.
    pub(crate) orders: RefCell<Orders>,
    /// Number of full reports so far, each of which carries the next part of the orders.
    pub(crate) order_page: Cell<u64>,
    /// Engines that have refused work.
    pub(crate) saturation: RefCell<Saturation>,
    /// Engines that refused work since the last query to the leader, with the tokens refused.
    pub(crate) refused: RefCell<Vec<(String, u32)>>,
    /// Rate of granted generations by service, at the leader.
    pub(crate) demand: RefCell<HashMap<String, Demand>>,
    /// Prefill backlog of each engine.
    pub(crate) backlogs: RefCell<Backlogs>,
    /// Cached prompt parts by service; locked while the engines are queried.
    pub(crate) parts: RefCell<HashMap<String, Rc<Mutex<Parts>>>>,
    /// Queries for places under way, given up, and granted to other hosts.
    pub(crate) offers: Offers,
    /// Hosts that did not answer a placement query, and the end of their cooldown.
    pub(crate) leader_cooldowns: RefCell<HashMap<SocketAddr, Instant>>,
    started: Instant,
    /// Whether a peer has reported since the peers' requests were last counted.
    pub(crate) peers_changed: Cell<bool>,
    /// Whether a report to all peers is due before the end of the interval.
    pub(crate) full_report_due: Cell<bool>,
    /// What the hosts keep in the store beyond their announcements.
    pub(crate) published: Published,
    /// Number of the last report.
    pub(crate) report_sequence: Cell<u64>,
    /// Wakes the sender of reports when a reservation was made or released.
    pub(crate) load_changed: Notify,
    /// Average generations by service.
    pub(crate) mixes: RefCell<HashMap<String, Mix>>,
    /// Wakes the dispatcher of queued generations.
    pub(crate) capacity_freed: Notify,
    dialect: PhantomData<D>,
}

impl<D, S: Store> Host<D, S> {
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
        let refresh = Refresh::new(bounds.drain());
        let places = Places::new(options.regions.clone(), &options.data_centre);
        let mut ledger = Ledger::default();
        ledger.number_grants_from(incarnation);
        Self {
            intake: Intake::new(options.resources, DEFAULT_MAX_BODY_BYTES),
            outbox: Outbox::new(options.resources),
            quotas: RefCell::new(Quotas::new(options.first_start, bounds.quota_window_ms())),
            shutdown: Termination::new(bounds.grace()),
            options,
            store: Archive::new(store),
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
            suspects: RefCell::default(),
            limits: RefCell::default(),
            forecast: RefCell::default(),
            contention: RefCell::default(),
            returns: RefCell::default(),
            prefixes: RefCell::default(),
            trials: RefCell::default(),
            places: RefCell::new(places),
            denials: RefCell::default(),
            waitlists: RefCell::default(),
            health: RefCell::default(),
            store_answered: Cell::new(None),
            configuration_confirmed: Cell::new(None),
            directory_known: Cell::new(false),
            refresh: Cell::new(refresh),
            changes: RefCell::default(),
            failed_reads: Mutex::new(0),
            outage: Cell::default(),
            hosts_known: Cell::new(false),
            open_requests: Cell::new(0),
            orders: RefCell::default(),
            order_page: Cell::new(0),
            saturation: RefCell::default(),
            refused: RefCell::default(),
            demand: RefCell::default(),
            backlogs: RefCell::default(),
            parts: RefCell::default(),
            offers: Offers::default(),
            leader_cooldowns: RefCell::default(),
            started: now(),
            peers_changed: Cell::new(false),
            full_report_due: Cell::new(false),
            published: Published::default(),
            report_sequence: Cell::new(0),
            load_changed: Notify::new(),
            mixes: RefCell::default(),
            capacity_freed: Notify::new(),
            dialect: PhantomData,
        }
    }
}

impl<D, S> Host<D, S> {
    /// Readiness: the host knows the configuration and the endpoints, neither is stale, and it knows the
    /// other hosts. Without its peers it would use all of each customer's limit, and could not fetch
    /// records when the store is down.
    pub(crate) fn is_ready(&self) -> bool {
        self.knows_hosts()
            && self.fleet.borrow().is_some()
            && self.directory_known.get()
            && !self.is_stopping()
            && self.is_fresh(now())
    }

    /// Records that the endpoint entries include all changes up to `as_of`.
    pub(crate) fn confirm_entries(&self, as_of: Instant) {
        let mut refresh = self.refresh.get();
        refresh.confirm(as_of);
        self.refresh.set(refresh);
        self.published.confirm(as_of, self.options.bounds.drain());
    }

    /// Whether the endpoint entries are too old for new work. A peer that has fresher ones is being
    /// asked for them.
    pub(crate) fn is_directory_expired(&self, now: Instant) -> bool {
        let refresh = self.refresh.get();
        refresh.is_late(now) && refresh.is_expired(now, self.view.borrow().freshest_entries(now))
    }

    pub(crate) fn uptime(&self, now: Instant) -> Duration {
        now.since(self.started)
    }

    /// Whether this host knows what it needs to place requests.
    pub(crate) fn is_able(&self) -> bool {
        self.directory_known.get() && self.published.is_restored()
    }

    /// How far this host is able to act as leader.
    pub(crate) fn rank(&self, now: Instant) -> Rank {
        let is_able = self.is_able() && !self.is_stopping();
        Rank::new(is_able, self.uptime(now))
    }

    /// Whether this host knows the other hosts: from the store, or from a report.
    pub(crate) fn knows_hosts(&self) -> bool {
        self.hosts_known.get() || self.view.borrow().live(now()).next().is_some()
    }

    /// Whether this host has just started, has not heard from most of the hosts that it knows, and knows
    /// no leader that could decide for it.
    pub(crate) fn is_introducing(&self, now: Instant) -> bool {
        self.uptime(now) < INTRODUCTION_TIME
            && (!self.knows_hosts() || self.quotas.borrow().is_partitioned())
            && !self.view.borrow().has_full_leader(now)
    }

    /// Time since the restart of this host; `None` if the deployment has started for the first time.
    pub(crate) fn since_restart(&self, now: Instant) -> Option<Duration> {
        (!self.options.first_start).then(|| self.uptime(now))
    }

    /// Makes the sender of reports send the next one at once and to all peers.
    pub(crate) fn report_to_all(&self) {
        self.full_report_due.set(true);
        self.load_changed.notify_one();
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.shutdown.get().is_started()
    }

    /// Whether API keys are still accepted: the configuration was confirmed recently, or this host and
    /// its reachable peers form a majority, which would know of a newer one.
    pub(crate) fn is_fresh(&self, now: Instant) -> bool {
        let confirmed = self
            .configuration_confirmed
            .get()
            .is_some_and(|at| now.since(at) < MAX_CONFIGURATION_AGE);
        if confirmed {
            return true;
        }
        let view = self.view.borrow();
        let (unreachable, known) = view.count_unreachable(now);
        (known - unreachable + 1) * 2 > known + 1
    }

    /// Applies a configuration if it is newer than the current one; returns whether it was applied.
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
        if known.is_none() {
            // What cold endpoints tolerate was not known when their entries came. Later the entries may be old:
            // readers do not pass on heartbeats.
            let directory = self.directory.borrow();
            for (_, endpoint) in directory.iter() {
                if let Some(left) = endpoint.cold {
                    self.note_cold(endpoint, left, ColdSource::Entry);
                }
            }
        }
        true
    }

    /// Average generation of a service; the initial one before any has finished.
    pub(crate) fn mix(&self, service: &str) -> Mix {
        let known = self.mixes.borrow().get(service).copied();
        known.unwrap_or_else(|| {
            let engine = admission::engine(self, service);
            Mix::new(engine.map_or(1, |engine| engine.tokens_per_event))
        })
    }

    /// Updates the number of hosts and the share of unreachable ones in the quotas.
    pub(crate) fn count_hosts(&self, now: Instant) {
        if !self.knows_hosts() {
            return;
        }
        let (hosts, unreachable) = self.view.borrow().hosts(now);
        let mut quotas = self.quotas.borrow_mut();
        let was_partitioned = quotas.is_partitioned();
        quotas.set_hosts(now, hosts, unreachable);
        if quotas.is_partitioned() != was_partitioned {
            let is_partitioned = quotas.is_partitioned();
            tracing::info!(
                hosts,
                unheard = unreachable,
                apart = is_partitioned,
                "quota: hosts heard"
            );
        }
    }

    /// Charges a customer's quota.
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

    /// Updates health and connections after a directory change.
    pub(crate) fn directory_changed(&self, change: directory::Change) {
        let directory = self.directory.borrow();
        match change {
            directory::Change::None => {}
            directory::Change::Started(key) | directory::Change::Changed(key) => {
                let Some(endpoint) = directory.get(key) else {
                    return;
                };
                let mut health = self.health.borrow_mut();
                self.prefixes.borrow_mut().remove(key);
                if matches!(change, directory::Change::Started(_)) {
                    self.pool.close_idle(endpoint.address);
                    health.restarted(key);
                    self.saturation.borrow_mut().remove(key);
                    self.limits.borrow_mut().remove(&endpoint.id);
                    self.forecast.borrow_mut().remove(key);
                    self.trials.borrow_mut().remove(key);
                }
                if endpoint.state == directory::State::Draining
                    && let Some(ready_at) = self.refresh.get().confirmed_at()
                {
                    health.leaves(key, ready_at);
                }
                self.orders.borrow_mut().observe(endpoint);
                health.add(key, Group::of(endpoint));
                tracing::info!(
                    endpoint = endpoint.id,
                    service = endpoint.service,
                    address = %endpoint.address,
                    state = ?endpoint.state,
                    stage = ?endpoint.stage,
                    version = endpoint.version,
                    sequence = endpoint.sequence,
                    "directory: endpoint changed"
                );
            }
            directory::Change::Removed(key) => {
                tracing::info!(?key, "directory: endpoint gone");
                self.health.borrow_mut().remove(key);
                self.saturation.borrow_mut().remove(key);
                self.forecast.borrow_mut().remove(key);
                self.trials.borrow_mut().remove(key);
                self.prefixes.borrow_mut().remove(key);
            }
        }
    }

    /// Records that an endpoint stays cold for `left`. Returns whether it was not known to be cold.
    pub(crate) fn note_cold(
        &self,
        endpoint: &Endpoint,
        left: Duration,
        source: ColdSource,
    ) -> bool {
        let rate = self.service(&endpoint.service, |service| service.cold_rate);
        let rate = rate.unwrap_or_default();
        let mut limits = self.limits.borrow_mut();
        let is_own = source != ColdSource::Peer;
        if !limits.chill(now(), &endpoint.id, rate, left, is_own) {
            return false;
        }
        self.metrics.cold.inc();
        tracing::info!(
            endpoint = endpoint.id,
            service = endpoint.service,
            left_ms = left.as_millis() as u64,
            tolerated_per_s = rate,
            ?source,
            "cold: endpoint gets few requests"
        );
        true
    }

    /// A property of a service in the configuration in force.
    pub(crate) fn service<T>(&self, name: &str, read: impl FnOnce(&Service) -> T) -> Option<T> {
        let fleet = self.fleet.borrow();
        fleet.as_ref()?.services.get(name).map(read)
    }

    /// Ids of the endpoints of a service in data centres that are evacuated, or no home of a request, for the
    /// leader, which may not have heard of an evacuation yet.
    pub(crate) fn misplaced(&self, call: &Call) -> Vec<String> {
        let places = self.places.borrow();
        let homes = call.homes();
        if places.evacuations().is_empty() && homes.iter().all(|homes| homes.is_empty()) {
            return Vec::new();
        }
        let directory = self.directory.borrow();
        let misplaced = directory.ready(&call.service).filter(|(_, endpoint)| {
            !places.is_open(&endpoint.data_centre) || !places.is_home(homes, &endpoint.data_centre)
        });
        misplaced.map(|(_, endpoint)| endpoint.id.clone()).collect()
    }

    /// Whether all ready endpoints of a request's service are in places where it may not run.
    pub(crate) fn has_no_place(&self, service: &str, homes: [&[String]; 2]) -> bool {
        let directory = self.directory.borrow();
        let places = self.places.borrow();
        let mut data_centres = directory
            .ready(service)
            .map(|(_, endpoint)| &endpoint.data_centre)
            .peekable();
        data_centres.peek().is_some()
            && data_centres.all(|at| !places.is_open(at) || !places.is_home(homes, at))
    }

    /// Whether new work may go to an endpoint: its data centre is not evacuated.
    pub(crate) fn is_open(&self, endpoint: &Endpoint) -> bool {
        self.places.borrow().is_open(&endpoint.data_centre)
    }

    /// Records that this host or a peer has found an endpoint silent.
    pub(crate) fn found_silent(&self, key: Key, host: &str) {
        let mut hasher = DefaultHasher::new();
        host.hash(&mut hasher);
        let witness = Witness(hasher.finish());
        if self.trials.borrow_mut().silent(now(), key, witness) {
            self.metrics.trials.inc();
            let directory = self.directory.borrow();
            tracing::info!(
                endpoint = directory.get(key).map(|endpoint| endpoint.id.as_str()),
                host,
                "trial: hosts find the endpoint silent; it gets one request at a time"
            );
        }
    }

    /// Suspects an endpoint for a short time.
    pub(crate) fn suspect(&self, key: Key, suspicion: Suspicion) {
        self.health.borrow_mut().suspect(now(), key, suspicion);
    }

    /// Ids of the endpoints that this host suspects, for the leader.
    pub(crate) fn suspected(&self) -> Vec<(String, Suspicion)> {
        let directory = self.directory.borrow();
        let health = self.health.borrow();
        let suspected = health.suspected(now());
        suspected
            .filter_map(|(key, suspicion)| Some((directory.get(key)?.id.clone(), suspicion)))
            .collect()
    }

    /// Takes a retry from the shared retry budget; returns `false` and counts the denial if exhausted.
    pub(crate) fn may_retry(&self, call: &Call) -> bool {
        let granted = self.budgets.borrow_mut().try_retry(now(), &call.service);
        if !granted {
            self.metrics.retry("denied");
            tracing::info!(id = call.head.id, service = call.service, "retry: denied");
        }
        granted
    }

    /// Whether a request, or a part of its prompt, has crashed too many endpoints to be sent again.
    /// Repeats of a run are decided here too, since the leader may not have the last findings yet.
    pub(crate) fn is_crashing(&self, call: &Call) -> bool {
        let part = self.suspects.borrow().refused(&call.head.parts);
        let is_crashing =
            part.is_some() || self.strikes.borrow().is_refused(now(), call.fingerprint);
        if is_crashing {
            tracing::info!(
                id = call.head.id,
                part = part.map(tracing::field::display),
                "retry: not sent again; endpoints crash on the request"
            );
        }
        is_crashing
    }

    /// Applies a crashed run that this host or a peer observed. Those of one report are applied with the
    /// same `now`.
    pub(crate) fn learn_crash(&self, now: Instant, crash: &Crash, source: Source) {
        let mut suspects = self.suspects.borrow_mut();
        let was_refused = suspects.refused(&crash.parts).is_some();
        suspects.record(now, crash, source);
        if let Some(part) = suspects.refused(&crash.parts).filter(|_| !was_refused) {
            tracing::warn!(%part, endpoint = crash.endpoint, ?source, "suspects: engines crash on a prompt part; its requests are refused");
        }
    }

    /// Records that an engine has begun an answer on the prompt of a request.
    pub(crate) fn began(&self, call: &Call) {
        if self.suspects.borrow_mut().began(now(), &call.head.parts) {
            tracing::info!(
                id = call.head.id,
                parts = call.parts(),
                "suspects: parts cleared"
            );
            self.report_findings();
        }
    }

    /// Reports findings on endpoints to the leader at once, since it decides on admission. The others get
    /// them with the regular reports: reports to all at each finding would flood hundreds of hosts.
    pub(crate) fn report_findings(&self) {
        self.load_changed.notify_one();
    }

    /// Records the load, the limit and the misdirection that a response head reports.
    pub(crate) fn note_answer(
        &self,
        key: Key,
        answer: &AnswerHead,
        classification: Classification,
        sent_at: Instant,
    ) {
        if classification == Classification::Mismatched {
            return;
        }
        self.note_limit(key, answer, sent_at);
        self.note_load(key, answer);
        let mut health = self.health.borrow_mut();
        if let Some(load) = answer.load {
            health.record_load(now(), key, load);
        }
        if answer.misdirected {
            health.misdirected(now(), key);
            return;
        }
        if let Some(pause) = answer.pause {
            health.notices_mut().pause(now(), key, pause);
        }
        let is_new = answer.leaving && health.notices_mut().leaving(key);
        if is_new || answer.pause.is_some() {
            let directory = self.directory.borrow();
            tracing::info!(
                endpoint = directory.get(key).map(|endpoint| endpoint.id.as_str()),
                leaving = answer.leaving,
                pause_ms = answer.pause.map(|pause| pause.as_millis() as u64),
                "notice: endpoint wants no requests of this host"
            );
        }
    }

    /// Whether an endpoint wants requests of this host.
    pub(crate) fn admits(&self, key: Key) -> bool {
        self.health.borrow().notices().admits(now(), key)
    }

    /// Ids of the endpoints that want no requests of this host, for the leader.
    pub(crate) fn barred(&self) -> Vec<String> {
        let directory = self.directory.borrow();
        let health = self.health.borrow();
        let barred = health.notices().barred(now());
        barred
            .filter_map(|key| Some(directory.get(key)?.id.clone()))
            .collect()
    }

    /// Time until the first pause of a service's ready endpoints ends.
    pub(crate) fn pause_left(&self, service: &str) -> Option<Duration> {
        let directory = self.directory.borrow();
        let health = self.health.borrow();
        let ready = directory.ready(service);
        ready
            .filter_map(|(key, _)| health.notices().pause_left(now(), key))
            .min()
    }

    /// Learns the usual time of a call from one that an endpoint has answered in `took`.
    pub(crate) fn learn_usual_time(&self, key: Key, service: &str, took: Duration) {
        let mut forecast = self.forecast.borrow_mut();
        if let Some(load) = forecast.own(now(), key) {
            forecast.answered(&service.to_owned(), took, load);
        }
    }

    /// Records the pace that an endpoint states with its load, and for how long it stays cold.
    fn note_load(&self, key: Key, answer: &AnswerHead) {
        if answer.misdirected {
            return;
        }
        // A plain service without a pace has the usual one.
        let is_plain = || {
            let directory = self.directory.borrow();
            directory
                .get(key)
                .is_some_and(|endpoint| endpoint.stage.is_none())
        };
        let usual = (self.options.features.competing_callers && is_plain()).then_some(1.0);
        let load = answer.load.zip(answer.pace.or(usual));
        let load = load.and_then(|((running, waiting, slots), pace)| {
            let load = forecast::Load {
                running,
                waiting,
                slots,
                pace,
            };
            load.checked()
        });
        if let Some(load) = load {
            self.forecast.borrow_mut().stated(key, load, now(), true);
        }
        if let Some(left) = answer.cold {
            let endpoint = self.directory.borrow().get(key).cloned();
            let is_new = endpoint
                .is_some_and(|endpoint| self.note_cold(&endpoint, left, ColdSource::Answer));
            if is_new {
                self.report_findings();
            }
        }
    }

    fn note_limit(&self, key: Key, answer: &AnswerHead, sent_at: Instant) {
        let directory = self.directory.borrow();
        let Some(endpoint) = directory.get(key).filter(|_| !answer.misdirected) else {
            return;
        };
        let mut limits = self.limits.borrow_mut();
        if limits.heard(now(), &endpoint.id, answer.limit, sent_at) {
            tracing::info!(
                endpoint = endpoint.id,
                per_s = answer.limit,
                "limit: endpoint states how many requests it takes"
            );
            self.report_findings();
        }
    }

    /// Share of the endpoints' limits that this host may use when it decides for all that it hears.
    pub(crate) fn limit_share(&self) -> f64 {
        if self.limits.borrow().is_empty() {
            return 1.0;
        }
        let (_, unreachable) = self.view.borrow().hosts(now());
        1.0 - unreachable
    }

    /// Share of the endpoints' limits that this host may use when it decides for itself alone.
    pub(crate) fn equal_share(&self) -> f64 {
        let (hosts, _) = self.view.borrow().hosts(now());
        1.0 / hosts as f64
    }

    /// Records a response with its latency in milliseconds.
    pub(crate) fn answered(&self, key: Key, millis: f64) {
        self.record_outcome(key, |health, group| {
            health.answered(now(), key, group, millis)
        });
    }

    /// Counts an answer that ends with its connection.
    pub(crate) fn note_framing(&self, call: &Call, framing: Framing) {
        if framing == Framing::Close {
            let kind = call.route().kind.name();
            let label = metrics::Kind { kind };
            self.metrics.unframed_answers.get_or_create(&label).inc();
        }
    }

    /// Records a request that failed at an endpoint, and suspects the endpoint.
    pub(crate) fn failed(&self, key: Key, suspicion: Suspicion) {
        if suspicion == Suspicion::Silent {
            self.found_silent(key, &self.options.host);
        }
        self.record_outcome(key, |health, group| {
            health.failed(now(), key, group, suspicion)
        });
    }

    /// Records a server error of an endpoint.
    pub(crate) fn server_error(&self, key: Key) {
        self.record_outcome(key, |health, group| health.server_error(now(), key, group));
    }

    fn record_outcome(&self, key: Key, record: impl FnOnce(&mut Health, &Group) -> Option<Change>) {
        let directory = self.directory.borrow();
        let Some(endpoint) = directory.get(key) else {
            return;
        };
        let change = record(&mut self.health.borrow_mut(), &Group::of(endpoint));
        if let Some(change) = change {
            let ejected = change == Change::Ejected;
            tracing::info!(endpoint = endpoint.id, ejected, "eject: endpoint changed");
        }
    }

    /// An ejected endpoint that is due for a probe.
    pub(crate) fn probe(&self, service: &str, stage: Option<Stage>) -> Option<Key> {
        let group = Group {
            service: service.to_owned(),
            stage,
        };
        self.health.borrow_mut().probe(now(), &group)
    }

    /// Cost of an endpoint's distance: 0 in this host's data centre.
    pub(crate) fn distance_cost(&self, endpoint: &Endpoint) -> f64 {
        if endpoint.data_centre == self.options.data_centre {
            0.0
        } else {
            REMOTE_COST
        }
    }
}

/// Cost that ranks an endpoint behind all others; it exceeds every load.
pub(crate) const LAST_RESORT_COST: f64 = 1_000.0;

/// Random cost below `largest`, so that hosts with the same view do not all choose the same endpoint.
pub(crate) fn jitter(largest: f64) -> f64 {
    rand::rng().random_range(0.0..largest)
}

/// Reservation of endpoint capacity for a request; released on drop.
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

    /// Adds output tokens of a generation whose output limit is `max_tokens`.
    pub(crate) fn progress(&self, tokens: u32, max_tokens: u32) {
        self.host
            .ledger
            .borrow_mut()
            .progress(self.ticket, tokens, max_tokens);
    }
}

impl<D, S> Drop for Reservation<D, S> {
    fn drop(&mut self) {
        self.host.ledger.borrow_mut().release(self.ticket);
        self.host.capacity_freed.notify_one();
        self.host.load_changed.notify_one();
    }
}

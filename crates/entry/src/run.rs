//! Starts the daemon's tasks and shuts down gracefully on a signal.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::signal::unix::{SignalKind, signal};
use berylknot_telemetry::log::Dropped;
use rand::Rng;
use tokio::net::UdpSocket;

use crate::admission::{self, dispatch};
use crate::connection::Closing;
use crate::http::Pool;
use crate::metrics::Metrics;
use crate::options::Options;
use crate::platform::{Dialect, Store};
use crate::server::{self, Audience};
use crate::shutdown::UNREADY_DETECTION;
use crate::state::{Host, now};
use crate::{control, follow, link, offers, peer, records, versions};

/// Interval between checks for open requests during shutdown.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between passes over the queues when no released reservation wakes the dispatcher.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the daemon on a platform until SIGTERM or SIGINT.
///
/// # Errors
/// Fails when a listening address cannot be bound.
pub fn run<D: Dialect, S: Store>(
    options: Options,
    settings: PathBuf,
    store: impl FnOnce(Pool, SocketAddr) -> S,
    dropped_lines: Dropped,
) -> eyre::Result<()> {
    actix_rt::System::new().block_on(serve::<D, S>(options, settings, store, dropped_lines))
}

async fn serve<D: Dialect, S: Store>(
    mut options: Options,
    settings: PathBuf,
    store: impl FnOnce(Pool, SocketAddr) -> S,
    dropped_lines: Dropped,
) -> eyre::Result<()> {
    options.features = D::features(&options.capabilities);
    let pool = Pool::default();
    let store = store(pool.with_own_memory(), options.store.address);
    let host = Rc::new(Host::<D, S>::new(
        options,
        store,
        pool,
        incarnation(),
        Metrics::new(dropped_lines),
    ));
    let options = &host.options;
    let at = |port| SocketAddr::new(options.address, port);
    let listeners = [
        (Audience::Callers, options.listen.callers),
        (Audience::Checks, options.listen.ready),
        (Audience::Peers, at(options.listen.peer_port)),
        (Audience::Metrics, at(options.listen.metrics_port)),
    ];
    let mut listening = Listening::default();
    for (audience, address) in listeners {
        let listener = server::listen(address)?;
        let closing = match audience {
            Audience::Callers => &listening.callers,
            Audience::Checks | Audience::Peers | Audience::Metrics => &listening.others,
        };
        let closing = Rc::clone(closing);
        let accepting = server::accept(Rc::clone(&host), listener, audience, closing);
        listening.tasks.push(actix_rt::spawn(accepting));
    }
    let socket = Rc::new(UdpSocket::bind(at(options.listen.peer_port)).await?);
    add_seeds(&host, &options.seeds);
    tracing::info!(
        host = options.host,
        incarnation = host.incarnation,
        first_start = options.first_start,
        features = ?options.features,
        "daemon: started"
    );
    actix_rt::spawn(follow::configuration(Rc::clone(&host)));
    actix_rt::spawn(follow::endpoints(Rc::clone(&host)));
    actix_rt::spawn(follow::hosts(Rc::clone(&host)));
    actix_rt::spawn(peer::receive(Rc::clone(&host), Rc::clone(&socket)));
    actix_rt::spawn(peer::report(Rc::clone(&host), socket));
    actix_rt::spawn(peer::run_maintenance(Rc::clone(&host)));
    actix_rt::spawn(records::confirm_entries(Rc::clone(&host)));
    actix_rt::spawn(control::run(Rc::clone(&host)));
    actix_rt::spawn(versions::write(Rc::clone(&host)));
    actix_rt::spawn(offers::decline(Rc::clone(&host)));
    actix_rt::spawn(link::watch(Rc::clone(&host)));
    actix_rt::spawn(dispatcher(Rc::clone(&host)));
    actix_rt::spawn(reload(Rc::clone(&host), settings));
    stop(&host, listening).await
}

/// The listeners and their connections.
#[derive(Debug)]
struct Listening {
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
    callers: Rc<Closing>,
    others: Rc<Closing>,
}

impl Default for Listening {
    fn default() -> Self {
        Self {
            tasks: Vec::new(),
            callers: Rc::default(),
            others: Rc::new(Closing::of_trusted_clients()),
        }
    }
}

/// Adds the seeds to the view of peers.
fn add_seeds<D, S>(host: &Host<D, S>, seeds: &[SocketAddr]) {
    for seed in seeds {
        if seed.ip() == host.options.address {
            continue;
        }
        let peer = SocketAddr::new(seed.ip(), host.options.listen.peer_port);
        host.view.borrow_mut().add(now(), peer);
    }
}

/// Reads the settings file again at SIGHUP, and when its modification time changes. New seeds take
/// effect; addresses and bounds stay as they are until the next start.
async fn reload<D: Dialect, S: Store>(host: Rc<Host<D, S>>, settings: PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            tracing::error!(%error, "daemon: SIGHUP handler not installed; changed settings need a restart");
            return;
        }
    };
    let modified_at = |path: &PathBuf| {
        std::fs::metadata(path)
            .and_then(|file| file.modified())
            .ok()
    };
    let mut known = modified_at(&settings);
    loop {
        let signalled = tokio::time::timeout(SETTINGS_CHECK_INTERVAL, hangup.recv())
            .await
            .is_ok();
        let current = modified_at(&settings);
        if !signalled && current == known {
            continue;
        }
        known = current;
        match Options::read(&settings) {
            Ok(options) => {
                add_seeds(&host, &options.seeds);
                tracing::info!(
                    signalled,
                    seeds = options.seeds.len(),
                    "daemon: settings read again"
                );
            }
            Err(findings) => {
                tracing::warn!(%findings, "daemon: settings refused; the previous settings stay in force");
            }
        }
    }
}

/// Interval between checks of the settings file for changes.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Incarnation of this process: a number that increases with each start of the host, unless its clock was set
/// back. Peers tell such a restart by the time since the start, which the reports state as well.
fn incarnation() -> u64 {
    let since_epoch = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64);
    (since_epoch << 20) | u64::from(rand::rng().random::<u32>() >> 12)
}

/// Dispatches queued generations whenever a reservation is released or the interval ends.
async fn dispatcher<D: Dialect, S: Store>(host: Rc<Host<D, S>>) {
    loop {
        let idle = host
            .waitlists
            .borrow()
            .values()
            .all(admission::Waitlist::is_empty);
        if idle {
            host.capacity_freed.notified().await;
        } else {
            // Expired generations are rejected even when no reservation is released.
            drop(tokio::time::timeout(DISPATCH_INTERVAL, host.capacity_freed.notified()).await);
        }
        dispatch(&host);
    }
}

/// Waits for SIGTERM or SIGINT, then for the connections of callers and the open requests, up to the end of
/// the grace period.
async fn stop<D, S>(host: &Rc<Host<D, S>>, listening: Listening) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let shutdown = host.shutdown.start();
    tracing::info!(open = host.open_requests.get(), "daemon: stopping");
    tokio::time::sleep(UNREADY_DETECTION).await;
    let Listening {
        tasks,
        callers,
        others,
    } = listening;
    others.close_listener();
    let answer_by = shutdown.answer_by().unwrap_or_else(now);
    let exit_at = shutdown.exit_at().unwrap_or_else(now);
    // A load balancer without enough other hosts still sends connections, and callers use those that they
    // have; each answer announces the end of its connection.
    while host.open_requests.get() > 0 && now() < answer_by {
        tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    callers.close_connections();
    callers.close_listener();
    for task in tasks {
        if let Err(error) = task.await {
            tracing::error!(%error, "daemon: a listener ended before it was told to");
        }
    }
    let is_busy = || host.open_requests.get() > 0 || callers.connections() > 0;
    while is_busy() && now() < exit_at {
        tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    tracing::info!(
        open = host.open_requests.get(),
        connections = callers.connections(),
        "daemon: stopped"
    );
    Ok(())
}

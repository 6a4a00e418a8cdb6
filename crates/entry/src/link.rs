//! Probes the links of this host to the endpoints after losses, and applies what that tells.

use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::link::{Change, Reach, Step};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::seq::SliceRandom;

use crate::directory::Endpoint;
use crate::http;
use crate::own::{self, Terms};
use crate::platform::{Command, Dialect, Error, Store};
use crate::state::{Host, now};

/// Timeout of each step of a probe; it exceeds the round trip between data centres many times.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest number of endpoints that are probed at a time.
const MAX_PROBES: usize = 4;
/// Fewest endpoints whose silence says something about the links.
const MIN_PROBES: usize = 2;
/// Maximum size of the answer to a probe, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1_024;

/// Probes the links whenever a loss puts them in doubt, until they are known to be sound.
pub(crate) async fn watch<D: Dialect, S: Store>(host: Rc<Host<D, S>>) {
    let paths = Rc::clone(host.pool.paths());
    loop {
        match paths.step() {
            Step::Idle => paths.doubted().await,
            Step::Wait(pause) => tokio::time::sleep(pause).await,
            Step::Probe => {
                let started = now();
                let reach = probe(&host).await;
                if let Some(change) = paths.probed(started, reach) {
                    apply(&host, change);
                }
            }
        }
    }
}

fn apply<D, S: Store>(host: &Host<D, S>, change: Change) {
    match change {
        Change::Lost => {
            host.metrics.link_losses.inc();
            tracing::warn!("link: no endpoint can be reached; connections go through other hosts");
        }
        Change::Regained => tracing::info!("link: endpoints are reached again"),
        Change::Resumed => tracing::info!("link: endpoints answer again after a silence"),
    }
    // What failed on lost links says nothing about the endpoints.
    host.health.borrow_mut().reset();
}

/// Probes several endpoints on new connections of this host.
async fn probe<D: Dialect, S: Store>(host: &Rc<Host<D, S>>) -> Reach {
    let targets = targets(host);
    if targets.len() < MIN_PROBES {
        return Reach::Answered;
    }
    let mut probes: FuturesUnordered<_> = targets
        .into_iter()
        .map(|(endpoint, command)| ask(host, endpoint, command))
        .collect();
    let mut worst = Reach::Refused;
    while let Some(reach) = probes.next().await {
        match reach {
            Reach::Answered => return Reach::Answered,
            Reach::Silent => worst = Reach::Silent,
            Reach::Refused => {}
        }
    }
    worst
}

/// Endpoints to probe, of several services if possible: those of one may fail together.
fn targets<D: Dialect, S>(host: &Host<D, S>) -> Vec<(Endpoint, Command)> {
    let Some(fleet) = host.fleet.borrow().clone() else {
        return Vec::new();
    };
    let mut services: Vec<_> = fleet.services.iter().collect();
    let mut rng = rand::rng();
    services.shuffle(&mut rng);
    let share = MAX_PROBES.div_ceil(services.len().max(1));
    let directory = host.directory.borrow();
    let mut targets = Vec::new();
    for (name, service) in services {
        let command = match (&service.engine, &service.health_path) {
            (Some(_), _) => D::load(),
            (None, Some(path)) => Command::get(path.clone()),
            (None, None) => continue,
        };
        let mut endpoints: Vec<&Endpoint> = directory
            .ready(name)
            .filter(|(key, endpoint)| host.admits(*key) && host.is_open(endpoint))
            .map(|(_, endpoint)| endpoint)
            .collect();
        endpoints.shuffle(&mut rng);
        for endpoint in endpoints.into_iter().take(share) {
            targets.push((endpoint.clone(), command.clone()));
        }
    }
    targets.truncate(MAX_PROBES);
    targets
}

async fn ask<D: Dialect, S>(host: &Host<D, S>, endpoint: Endpoint, command: Command) -> Reach {
    let terms = Terms {
        step_timeout: PROBE_TIMEOUT,
        max_idle: Duration::ZERO,
        max_body_bytes: MAX_ANSWER_BYTES,
        directly: true,
    };
    let destination = endpoint.destination();
    let asked = own::send::<D>(&host.pool, destination, command, terms).await;
    let reach = match &asked {
        // The head of an answer has come, whatever it is worth.
        Ok(_)
        | Err(Error::Malformed(_))
        | Err(Error::Exchange(
            http::Error::Broken(_) | http::Error::Status(_) | http::Error::TooLarge,
        )) => Reach::Answered,
        Err(Error::Exchange(error)) if error.is_silence() => Reach::Silent,
        Err(_) => Reach::Refused,
    };
    tracing::info!(
        endpoint = endpoint.id,
        ?reach,
        error = asked.err().map(tracing::field::display),
        "link: endpoint probed"
    );
    reach
}

//! Start of the coordinator.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix::Supervisor;
use berylknot_coordination::record::Incarnation;
use berylknot_wire::Secret;
use eyre::WrapErr;
use tokio::sync::watch;

use crate::admission::{self, Admission};
use crate::clock::Clock;
use crate::core::{Core, Parts};
use crate::metrics::Metrics;
use crate::options::Options;
use crate::platform::Http;
use crate::signals;
use crate::state::{Configuration, Identity, State};
use crate::work::Work;

/// Runs the coordinator until it is told to stop.
///
/// # Errors
/// Fails when the settings name files or addresses that cannot be used.
pub fn run(options: Options) -> eyre::Result<()> {
    let _log = options.log.install()?;
    actix_rt::System::new().block_on(serve(options))
}

async fn serve(options: Options) -> eyre::Result<()> {
    let secret = std::fs::read(&options.secret_file).wrap_err_with(|| {
        format!(
            "secret file {} cannot be read",
            options.secret_file.display()
        )
    })?;
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let unix_ms = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
    let identity = Identity {
        host: options.host.clone(),
        incarnation: Incarnation::new(unix_ms, rand::random()),
        secret: Secret::new(secret),
    };
    let listener = std::net::TcpListener::bind(options.listen)
        .wrap_err_with(|| format!("address {} cannot be bound", options.listen))?;
    tracing::info!(host = %identity.host, address = %listener.local_addr()?, "server: listening");
    let (sender, configuration) = watch::channel(Configuration::default());
    let timeout = Duration::from_millis(options.platform.timeout_ms);
    let poll = Duration::from_millis(options.platform.poll_ms);
    let (url, host) = (options.platform.url.clone(), options.host.clone());
    let platform = Http::new(&url, &host, timeout);
    let metrics = Arc::new(Metrics::new());
    let (clock, counters, owner) = (Clock::start(), metrics.clone(), identity.clone());
    let (ready, timing) = (Arc::new(AtomicBool::new(false)), options.lease.timing());
    let retention = Duration::from_millis(options.platform.retention_ms);
    let configured = options.configured_hosts.clone();
    let address = listener.local_addr()?;
    let flag = ready.clone();
    let work = Arc::new(Work::default());
    let unsettled = work.clone();
    let core = Supervisor::start(move |_| {
        Core::new(Parts {
            clock,
            identity: owner,
            platform,
            poll,
            timing,
            retention,
            configured: configured.clone(),
            address,
            ready: flag,
            published: sender,
            metrics: counters,
            work: unsettled,
        })
    });
    let decisions = admission::Parts {
        clock,
        host: identity.incarnation,
        data_centre: options.data_centre.clone(),
        configuration: configuration.clone(),
        core: core.clone(),
        client: awc::Client::default(),
    };
    let admission = Supervisor::start(move |_| Admission::new(decisions));
    let (leaving, work_state) = (Arc::new(AtomicBool::new(false)), work.clone());
    let (shutdown, departing) = (options.shutdown.clone(), core.clone());
    let server = crate::server::serve(
        listener,
        State {
            identity,
            configuration,
            ready,
            core,
            admission,
            metrics,
            leaving: leaving.clone(),
            work: work_state,
        },
    )?;
    let handle = server.handle();
    let server = actix_rt::spawn(server);
    signals::terminated().await;
    leaving.store(true, Ordering::Relaxed);
    signals::leave(&departing, shutdown).await;
    handle.stop(false).await;
    server.await??;
    Ok(())
}

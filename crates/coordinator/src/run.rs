//! Startup of the coordinator: listener, actors, HTTP server and graceful shutdown.

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

/// Runs the coordinator until SIGTERM or SIGINT, then shuts it down gracefully.
///
/// # Errors
/// Fails if logging cannot be set up, the secret file cannot be read, the address cannot be bound
/// or the HTTP server fails.
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
    let (published, configuration) = watch::channel(Configuration::default());
    let timeout = Duration::from_millis(options.platform.timeout_ms);
    let poll_interval = Duration::from_millis(options.platform.poll_ms);
    let (url, host) = (options.platform.url.clone(), options.host.clone());
    let platform = Http::new(&url, &host, timeout);
    let metrics = Arc::new(Metrics::new());
    let (clock, core_metrics, core_identity) = (Clock::start(), metrics.clone(), identity.clone());
    let (ready, timing) = (Arc::new(AtomicBool::new(false)), options.lease.timing());
    let retention = Duration::from_millis(options.platform.retention_ms);
    let configured = options.configured_hosts.clone();
    let address = listener.local_addr()?;
    let core_ready = ready.clone();
    let work = Arc::new(Work::default());
    let core_work = work.clone();
    let core = Supervisor::start(move |_| {
        Core::new(Parts {
            clock,
            identity: core_identity,
            platform,
            poll_interval,
            timing,
            retention,
            configured: configured.clone(),
            address,
            ready: core_ready,
            published,
            metrics: core_metrics,
            work: core_work,
        })
    });
    let admission_parts = admission::Parts {
        clock,
        host: identity.incarnation,
        data_centre: options.data_centre.clone(),
        configuration: configuration.clone(),
        core: core.clone(),
        client: awc::Client::default(),
    };
    let admission = Supervisor::start(move |_| Admission::new(admission_parts));
    let (shutting_down, server_work) = (Arc::new(AtomicBool::new(false)), work.clone());
    let (shutdown, core_addr) = (options.shutdown.clone(), core.clone());
    let server = crate::server::serve(
        listener,
        State {
            identity,
            configuration,
            ready,
            core,
            admission,
            metrics,
            shutting_down: shutting_down.clone(),
            work: server_work,
        },
    )?;
    let handle = server.handle();
    let server = actix_rt::spawn(server);
    signals::terminated().await;
    shutting_down.store(true, Ordering::Relaxed);
    signals::shut_down(&core_addr, shutdown).await;
    handle.stop(false).await;
    server.await??;
    Ok(())
}

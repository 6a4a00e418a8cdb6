//! Start and shutdown of the gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{SystemTime, UNIX_EPOCH};

use berylknot_coordination::record::Incarnation;
use berylknot_settings::key::Pepper;
use berylknot_telemetry::log::Format;
use berylknot_wire::Secret;
use eyre::WrapErr;
use socket2::{Domain, Socket, Type};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::configuration::{self, Configuration};
use crate::control::{Control, Identity};
use crate::metrics::Metrics;
use crate::options::Options;
use crate::server;
use crate::state::Shared;

/// Runs the gateway until it is told to stop and its requests have finished.
///
/// # Errors
/// Fails when the settings name files or addresses that cannot be used.
pub fn run(options: Options) -> eyre::Result<()> {
    let format = if options.log.json {
        Format::Json
    } else {
        Format::Text
    };
    berylknot_telemetry::log::install(format, &options.log.filter)?;
    actix_rt::System::new().block_on(serve(options))
}

async fn serve(options: Options) -> eyre::Result<()> {
    let secret = read(&options.secret_file)?;
    let pepper = read(&options.pepper_file)?;
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let unix_ms = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
    let identity = Identity {
        host: options.host.clone(),
        incarnation: Incarnation::new(unix_ms, std::process::id()).0,
        secret: Secret::new(secret),
        frames: Arc::default(),
        requests: Arc::default(),
    };
    let callers = bind(options.listen)?;
    let operator = bind(options.operator_listen)?;
    tracing::info!(host = %identity.host, address = %options.listen, "server: listening");
    let (sender, receiver) = watch::channel(Configuration::default());
    let metrics = Arc::new(Metrics::new());
    let control = Control::new(options.coordinator, identity.clone());
    actix_rt::spawn(configuration::follow(control, sender, metrics.clone()));
    let shared = Shared {
        options: Arc::new(options),
        identity,
        pepper: Pepper::new(pepper),
        configuration: receiver,
        metrics,
        draining: Arc::default(),
        budgets: Arc::new(crate::budget::Budgets::new()),
    };
    let callers = server::callers(callers, &shared)?;
    let operator = server::operator(operator, &shared)?;
    let handle = callers.handle();
    let draining = shared.draining.clone();
    actix_rt::spawn(async move {
        terminated().await;
        tracing::info!("server: shutting down");
        draining.store(true, Ordering::Relaxed);
        handle.stop(true).await;
    });
    actix_rt::spawn(operator);
    callers.await?;
    Ok(())
}

fn read(path: &std::path::Path) -> eyre::Result<Vec<u8>> {
    std::fs::read(path).wrap_err_with(|| format!("file {} cannot be read", path.display()))
}

/// Binds with address and port reuse, so that a new release starts beside the old one.
fn bind(address: SocketAddr) -> eyre::Result<std::net::TcpListener> {
    const BACKLOG: i32 = 1_024;
    let bound = (|| {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        Ok::<_, std::io::Error>(socket.into())
    })();
    bound.wrap_err_with(|| format!("address {address} cannot be bound"))
}

async fn terminated() {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

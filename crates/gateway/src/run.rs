//! Start and shutdown of the gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylknot_settings::key::Pepper;
use berylknot_wire::Secret;
use eyre::WrapErr;
use socket2::{Domain, Socket, Type};
use tokio::sync::watch;

use crate::clock::Clock;
use crate::configuration::{self, Configuration};
use crate::control::{Control, Identity};
use crate::freshness;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::options::Options;
use crate::state::Shared;
use crate::streams::Permission;
use crate::{server, shutdown};

/// Timeout for connections to close after the last response; the HTTP server checks once a second.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Runs the gateway until a termination signal, then drains its requests.
///
/// # Errors
/// Fails when a configured file cannot be read or a listening address cannot be bound.
pub fn run(options: Options) -> eyre::Result<()> {
    let _log = options.log.install()?;
    actix_rt::System::new().block_on(serve(options))
}

async fn serve(options: Options) -> eyre::Result<()> {
    let secret = read_secret(&options.secret_file)?;
    let pepper = read_secret(&options.pepper_file)?;
    let identity = Identity {
        host: options.host.clone(),
        incarnation: Arc::default(),
        secret: Secret::new(secret),
        frames: Arc::default(),
        requests: Arc::default(),
    };
    identity.start_incarnation();
    let clock = Clock::start();
    let permission = Permission::new(clock, identity.clone());
    let callers = bind(options.listen)?;
    let operator = bind(options.operator_listen)?;
    tracing::info!(host = %identity.host, address = %options.listen, "server: listening");
    let (sender, receiver) = watch::channel(Configuration::default());
    let metrics = Arc::new(Metrics::new());
    let control = Control::new(options.coordinator, identity.clone());
    let report_task = permission.clone().report_periodically(control.clone());
    let report_task = actix_rt::spawn(report_task);
    let (fresh_sender, fresh_until) = watch::channel(std::time::Instant::now());
    actix_rt::spawn(freshness::follow(
        control.clone(),
        receiver.clone(),
        fresh_sender,
    ));
    actix_rt::spawn(configuration::follow(
        control.clone(),
        sender,
        metrics.clone(),
    ));
    let memory = Memory::new(options.limits.body_memory_bytes, options.limits.body_bytes);
    let shared = Shared {
        options: Arc::new(options),
        identity,
        pepper: Pepper::new(pepper),
        configuration: receiver,
        fresh_until,
        metrics,
        clock,
        permission: permission.clone(),
        draining: Arc::default(),
        open: shutdown::Counter::default(),
        budgets: Arc::new(crate::budget::Budgets::new()),
        memory,
    };
    let callers = server::callers(callers, &shared)?;
    let operator = server::operator(operator, &shared)?;
    let shutdown = shutdown::run(shared, callers.handle());
    actix_rt::spawn(operator);
    let callers = actix_rt::spawn(callers);
    shutdown.await;
    // Connections that are still open after the timeout belong to requests cut at the deadline.
    match tokio::time::timeout(CLOSE_TIMEOUT, callers).await {
        Ok(ended) => ended??,
        Err(_) => tracing::info!(
            "shutdown: caller connections are still open after the close timeout, exiting"
        ),
    }
    report_task.abort();
    permission.report_finished(&control).await;
    Ok(())
}

fn read_secret(path: &std::path::Path) -> eyre::Result<Vec<u8>> {
    std::fs::read(path).wrap_err_with(|| format!("file {} cannot be read", path.display()))
}

/// Binds with SO_REUSEADDR and SO_REUSEPORT, so that a new release can start beside the old one.
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

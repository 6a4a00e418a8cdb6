//! Stand-in for a plain service; see `standins::service`.
#![expect(missing_docs, reason = "xflags generates the types without comments")]

use std::net::SocketAddr;

xflags::xflags! {
    /// Runs the stand-in until the process is terminated.
    cmd standin-service {
        /// Address to listen on; port 0 selects a free port.
        optional --listen address: SocketAddr
    }
}

#[actix_rt::main]
async fn main() -> eyre::Result<()> {
    let flags = StandinService::from_env_or_exit();
    let address = flags
        .listen
        .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    standins::service::run(standins::listen(address)?).await
}

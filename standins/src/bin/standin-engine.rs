//! Stand-in for a model engine; see `standins::engine`.
#![expect(missing_docs, reason = "xflags generates the types without comments")]

use std::net::SocketAddr;

xflags::xflags! {
    /// Runs the stand-in until the process is terminated.
    cmd standin-engine {
        /// Address to listen on; port 0 selects a free port.
        optional --listen address: SocketAddr
    }
}

#[actix_rt::main]
async fn main() -> eyre::Result<()> {
    let flags = StandinEngine::from_env_or_exit();
    let address = flags
        .listen
        .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    standins::engine::run(standins::listen(address)?).await
}

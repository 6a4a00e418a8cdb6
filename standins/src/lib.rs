//! Stand-ins for the platform, the model engines and plain services, with injectable faults.

use std::net::SocketAddr;

pub mod engine;
pub mod platform;
pub mod service;

/// Binds an address and prints the bound one on standard output, so that a test can use port 0.
///
/// # Errors
/// Fails when the address cannot be bound.
pub fn listen(address: SocketAddr) -> eyre::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    println!("listening {}", listener.local_addr()?);
    Ok(listener)
}

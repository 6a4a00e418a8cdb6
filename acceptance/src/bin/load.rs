//! Starts a deployment on loopback and runs `berylknot-experiment load` against its first host.

use std::process::Command;

use acceptance::caller;
use acceptance::deployment::{Deployment, KEY, Plan};
use eyre::OptionExt;
use standins::engine::Control;

/// Calls, calls at one time, and open streams. One call at a time shows the added latency, several
/// show the rate.
const SIZES: [[&str; 3]; 2] = [["4000", "1", "0"], ["20000", "16", "100"]];

#[actix_rt::main]
async fn main() -> eyre::Result<()> {
    let plan = Plan {
        // Each engine has 20 slots, and a stream takes one of each kind.
        prefills: 6,
        decodes: 6,
        ..Plan::default()
    };
    let deployment = Deployment::start(plan).await?;
    for decode in &deployment.decodes {
        // The target between two tokens; a stream runs for 70 s.
        let control = Control {
            token_ms: 35,
            ..Control::default()
        };
        caller::put(decode.address, "/control", &control).await?;
    }
    let running = std::env::current_exe()?;
    let folder = running.parent().ok_or_eyre("the program has no folder")?;
    let host = &deployment.hosts[0];
    let addresses = [host.address, deployment.services[0].address];
    for [requests, concurrency, streams] in SIZES {
        println!("{requests} calls, {concurrency} at one time:\n");
        let status = Command::new(folder.join("berylknot-experiment"))
            .arg("load")
            .args(addresses.map(|address| address.to_string()))
            .args([KEY.to_owned(), host.gateway.id().to_string()])
            .args(["--requests", requests, "--concurrency", concurrency])
            .args(["--streams", streams])
            .status()?;
        eyre::ensure!(status.success(), "the load ended with {status}");
    }
    Ok(())
}

//! Starts a deployment on loopback and runs `berylknot-experiment load` against its first host.

use std::process::Command;

use acceptance::caller;
use acceptance::deployment::{Deployment, KEY, Plan};
use eyre::OptionExt;
use standins::engine::Control;

/// Numbers of calls, concurrent calls and open streams. Sequential calls show the added latency,
/// concurrent ones the throughput.
const LOADS: [[&str; 3]; 2] = [["4000", "1", "0"], ["20000", "16", "100"]];

#[actix_rt::main]
async fn main() -> eyre::Result<()> {
    let plan = Plan {
        // An engine has 20 slots, and each stream takes a prefill and a decode slot.
        prefills: 6,
        decodes: 6,
        ..Plan::default()
    };
    let deployment = Deployment::start(plan).await?;
    for decode in &deployment.decodes {
        // The target TPOT in milliseconds; a stream runs for 70 s.
        let control = Control {
            token_ms: 35,
            ..Control::default()
        };
        caller::put(decode.address, "/control", &control).await?;
    }
    let executable = std::env::current_exe()?;
    let folder = executable
        .parent()
        .ok_or_eyre("the path of this executable has no parent folder")?;
    let host = &deployment.hosts[0];
    let addresses = [host.address, deployment.services[0].address];
    for [requests, concurrency, streams] in LOADS {
        println!("{requests} calls, {concurrency} at one time:\n");
        let status = Command::new(folder.join("berylknot-experiment"))
            .arg("load")
            .args(addresses.map(|address| address.to_string()))
            .args([KEY.to_owned(), host.gateway.id().to_string()])
            .args(["--requests", requests, "--concurrency", concurrency])
            .args(["--streams", streams])
            .status()?;
        eyre::ensure!(
            status.success(),
            "berylknot-experiment load failed with {status}"
        );
    }
    Ok(())
}

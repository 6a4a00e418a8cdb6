//! Engine memory of gateways and hosts that die or pause, and streams that outlive their
//! coordinator.

use std::net::SocketAddr;
use std::time::Duration;

use acceptance::caller::{self, Streamed, expected_answer, metric, stream};
use acceptance::deployment::{Deployment, Host, KEY, Plan, wait_for};
use actix_rt::task::JoinHandle;
use rustix::process::Signal;
use standins::engine::Control;

const PROMPT: &str = "Rosa 'Calafate': a climbing rose, dark red, blooms once.";
const STREAMS: u32 = 6;

async fn slow_decodes(deployment: &Deployment, token_ms: u64) {
    let control = Control {
        token_ms,
        ..Control::default()
    };
    for decode in &deployment.decodes {
        caller::put(decode.address, "/control", &control)
            .await
            .expect("the stand-in takes its control");
    }
}

/// Starts several streams at a host and waits until all of them hold engine memory.
async fn start_streams(
    deployment: &Deployment,
    host: SocketAddr,
    tokens: u32,
) -> Vec<JoinHandle<eyre::Result<Streamed>>> {
    let streams = (0..STREAMS)
        .map(|_| actix_rt::spawn(stream(host, KEY, PROMPT, tokens, None)))
        .collect();
    let started = wait_for("all decodes run", || async {
        let mut running = 0;
        for decode in &deployment.decodes {
            let stats = caller::get(decode.address, "/stats").await;
            running += stats.map_or(0, |stats| stats["running"].as_u64().unwrap_or(0));
        }
        running == u64::from(STREAMS)
    });
    started.await.expect("the streams start");
    streams
}

async fn assert_released(deployment: &Deployment) {
    let released = wait_for("engines hold no request", || async {
        deployment.running().await.is_ok_and(|running| running == 0)
    });
    released.await.expect("engine memory is released");
}

async fn reaped(hosts: &[Host], reason: &str) -> f64 {
    let mut sum = 0.0;
    for host in hosts {
        let address = host.coordinator_address;
        let found = metric(address, "berylknot_coordinator_reaped_total", reason).await;
        sum += found.unwrap_or_default();
    }
    sum
}

/// Guards against engine memory staying held by the requests of a gateway that died.
#[actix_rt::test]
async fn engines_hold_nothing_for_a_killed_gateway() {
    let mut deployment = Deployment::start(Plan::default())
        .await
        .expect("deployment starts");
    slow_decodes(&deployment, 100).await;
    let host = deployment.hosts[0].address;
    let streams = start_streams(&deployment, host, 5_000).await;
    deployment.hosts[0].gateway.kill();
    assert_released(&deployment).await;
    for stream in streams {
        let answer = stream.await.expect("the caller does not panic");
        assert!(!answer.is_ok_and(|answer| answer.done));
    }
    assert!(reaped(&deployment.hosts, "gateway_ended").await >= f64::from(STREAMS));
}

/// Guards against engine memory staying held by a host that died with its coordinator, which
/// cannot state the end of its gateway.
#[actix_rt::test]
async fn engines_hold_nothing_for_a_killed_host() {
    let mut deployment = Deployment::start(Plan::default())
        .await
        .expect("deployment starts");
    slow_decodes(&deployment, 100).await;
    let host = deployment.hosts[0].address;
    let _streams = start_streams(&deployment, host, 5_000).await;
    deployment.hosts[0].gateway.kill();
    deployment.hosts[0].coordinator.kill();
    assert_released(&deployment).await;
    assert!(reaped(&deployment.hosts[1..], "host_silent").await >= f64::from(STREAMS));
}

/// Guards against a restart of the coordinator cutting or reaping running streams.
#[actix_rt::test]
async fn streams_outlive_a_restart_of_their_coordinator() {
    const TOKENS: u32 = 400;
    let mut deployment = Deployment::start(Plan::default())
        .await
        .expect("deployment starts");
    slow_decodes(&deployment, 10).await;
    let host = deployment.hosts[0].address;
    let streams = start_streams(&deployment, host, TOKENS).await;
    deployment.hosts[0].coordinator.kill();
    deployment.hosts[0]
        .restart_coordinator()
        .expect("the coordinator starts again");
    for stream in streams {
        let answer = stream.await.expect("the caller does not panic");
        let answer = answer.expect("the host answers");
        assert!(answer.done, "{answer:?}");
        assert_eq!(answer.text, expected_answer(PROMPT, TOKENS));
    }
    assert_released(&deployment).await;
}

/// Guards against wrong or repeated tokens, and against held memory, after a pause of a gateway.
#[actix_rt::test]
async fn a_paused_gateway_gives_no_wrong_answer_and_holds_nothing() {
    const TOKENS: u32 = 300;
    let deployment = Deployment::start(Plan::default())
        .await
        .expect("deployment starts");
    slow_decodes(&deployment, 10).await;
    let host = &deployment.hosts[0];
    let streams = start_streams(&deployment, host.address, TOKENS).await;
    host.gateway.signal(Signal::STOP).expect("gateway runs");
    actix_rt::time::sleep(Duration::from_secs(4)).await;
    host.gateway.signal(Signal::CONT).expect("gateway runs");
    let whole = expected_answer(PROMPT, TOKENS);
    for stream in streams {
        let answer = stream.await.expect("the caller does not panic");
        let answer = answer.expect("the host answers");
        assert!(whole.starts_with(&answer.text), "{answer:?}");
        assert!(!answer.done || answer.text == whole, "{answer:?}");
    }
    assert_released(&deployment).await;
}

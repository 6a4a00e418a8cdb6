//! Release of engine memory after gateways or hosts crash or pause, and streams that survive a
//! coordinator restart.

use std::net::SocketAddr;
use std::time::Duration;

use acceptance::caller::{self, Streamed, expected_answer, metric, stream};
use acceptance::deployment::{Deployment, Host, KEY, Plan, wait_for};
use actix_rt::task::JoinHandle;
use rustix::process::Signal;
use standins::engine::Control;

const PROMPT: &str = "Rosa 'Calafate': a climbing rose, dark red, blooms once.";
const STREAMS: u32 = 6;

async fn set_token_time(deployment: &Deployment, token_ms: u64) {
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

/// Starts [`STREAMS`] streams at a host and waits until all of them run on decode engines.
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

/// Guards against leaking engine memory of the requests of a crashed gateway.
#[actix_rt::test]
async fn engines_release_requests_of_a_killed_gateway() {
    let mut deployment = Deployment::start(Plan::default())
        .await
        .expect("deployment starts");
    set_token_time(&deployment, 100).await;
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

/// Guards against leaking engine memory when a whole host crashes, so that its coordinator cannot
/// report the end of the gateway.
#[actix_rt::test]
async fn engines_release_requests_of_a_killed_host() {
    let mut deployment = Deployment::start(Plan::default())
        .await
        .expect("deployment starts");
    set_token_time(&deployment, 100).await;
    let host = deployment.hosts[0].address;
    let _streams = start_streams(&deployment, host, 5_000).await;
    deployment.hosts[0].gateway.kill();
    deployment.hosts[0].coordinator.kill();
    assert_released(&deployment).await;
    assert!(reaped(&deployment.hosts[1..], "host_silent").await >= f64::from(STREAMS));
}

/// Guards against a coordinator restart that cuts or reaps running streams.
#[actix_rt::test]
async fn streams_survive_a_coordinator_restart() {
    const TOKENS: u32 = 400;
    let mut deployment = Deployment::start(Plan::default())
        .await
        .expect("deployment starts");
    set_token_time(&deployment, 10).await;
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

/// Guards against wrong or repeated tokens and leaked engine memory after a gateway was paused.
#[actix_rt::test]
async fn paused_gateway_sends_no_wrong_tokens_and_leaks_no_memory() {
    const TOKENS: u32 = 300;
    let deployment = Deployment::start(Plan::default())
        .await
        .expect("deployment starts");
    set_token_time(&deployment, 10).await;
    let host = &deployment.hosts[0];
    let streams = start_streams(&deployment, host.address, TOKENS).await;
    host.gateway.signal(Signal::STOP).expect("gateway runs");
    actix_rt::time::sleep(Duration::from_secs(4)).await;
    host.gateway.signal(Signal::CONT).expect("gateway runs");
    let expected = expected_answer(PROMPT, TOKENS);
    for stream in streams {
        let answer = stream.await.expect("the caller does not panic");
        let answer = answer.expect("the host answers");
        assert!(expected.starts_with(&answer.text), "{answer:?}");
        assert!(!answer.done || answer.text == expected, "{answer:?}");
    }
    assert_released(&deployment).await;
}

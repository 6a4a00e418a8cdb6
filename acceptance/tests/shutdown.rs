//! Graceful shutdown of real processes: no running request is cut, and others take over.

use acceptance::caller::{self, Streamed, send, stream, true_answer};
use acceptance::deployment::{Deployment, KEY, Plan, wait_for};
use acceptance::process::Process;
use rustix::process::Signal;
use standins::engine::Control;

const PROMPT: &str = "Tapiz 'Lino Azul': a border of flax flowers in split stitch.";

/// Tokens of a stream that runs for about four seconds.
const TOKENS: u32 = 200;

const STREAMS: usize = 6;

async fn deploy(hosts: usize) -> Deployment {
    let plan = Plan {
        hosts,
        ..Plan::default()
    };
    let deployment = Deployment::start(plan).await.expect("deployment starts");
    for decode in &deployment.decodes {
        let slow = Control {
            token_ms: 20,
            ..Control::default()
        };
        caller::put(decode.address, "/control", &slow)
            .await
            .expect("control is set");
    }
    deployment
}

type Running = Vec<actix_rt::task::JoinHandle<eyre::Result<Streamed>>>;

/// Starts streams at the first host and waits until all of them decode.
async fn start_streams(deployment: &Deployment) -> Running {
    let host = deployment.hosts[0].address;
    let streams = (0..STREAMS)
        .map(|_| actix_rt::spawn(stream(host, KEY, PROMPT, TOKENS, None)))
        .collect();
    let decoding = wait_for("the streams decode", || async {
        let mut running = 0;
        for decode in &deployment.decodes {
            let stats = caller::get(decode.address, "/stats").await;
            running += stats.map_or(0, |stats| stats["running"].as_u64().unwrap_or(0));
        }
        running == STREAMS as u64
    });
    decoding.await.expect("all streams start");
    streams
}

async fn assert_whole(streams: Running) {
    for running in streams {
        let answer = running.await.expect("the caller ends").expect("answers");
        assert!(answer.done, "{answer:?}");
        assert_eq!(answer.text, true_answer(PROMPT, TOKENS));
    }
}

async fn wait_for_exit(process: &mut Process) {
    let ended = std::cell::RefCell::new(process);
    wait_for("the process exits", || async {
        !ended.borrow_mut().is_running()
    })
    .await
    .expect("the process exits");
    assert_eq!(ended.borrow_mut().exit_code(), Some(0));
}

/// Guards against a shutdown that cuts streams, serves new requests, or leaves engine memory held.
#[actix_rt::test]
async fn a_gateway_that_shuts_down_finishes_its_streams() {
    let mut deployment = deploy(1).await;
    let streams = start_streams(&deployment).await;
    let host = &deployment.hosts[0];
    let signalled = host.gateway.signal(Signal::TERM);
    signalled.expect("the gateway runs");
    wait_for("the host is not ready", || async {
        let ready = send(host.operator_address, "GET", "/ready", None, &[], None).await;
        ready.is_ok_and(|answer| answer.status == 503)
    })
    .await
    .expect("the gateway reports that it is not ready");
    let body = caller::completion(PROMPT, 1, false);
    let path = "/v1/completions";
    let refused = send(host.address, "POST", path, Some(KEY), &[], Some(&body)).await;
    let refused = refused.expect("the gateway answers");
    assert_eq!(
        (refused.status, refused.code(), refused.outcome.as_str()),
        (503, "draining", "not_run"),
        "{refused:?}"
    );
    assert_whole(streams).await;
    wait_for_exit(&mut deployment.hosts[0].gateway).await;
    assert_eq!(deployment.running().await.expect("engines answer"), 0);
}

/// Guards against an upgrade in place that cuts streams of the old process or refuses requests
/// although the new process serves.
#[actix_rt::test]
async fn a_second_gateway_takes_over_the_address() {
    let mut deployment = deploy(1).await;
    let streams = start_streams(&deployment).await;
    let operator = deployment.hosts[0].operator_address;
    let version = "berylknot_gateway_configuration_version";
    let mut old = deployment.hosts[0]
        .start_second_gateway()
        .expect("a second gateway starts");
    // Both processes listen; the second is asked through connections that the kernel spreads.
    wait_for("both gateways serve", || async {
        let mut served = 0;
        for _ in 0..24 {
            let found = caller::metric(operator, version, "").await;
            served += u32::from(found.is_ok_and(|found| found > 0.0));
        }
        served == 24
    })
    .await
    .expect("the second gateway has the settings");
    let signalled = old.signal(Signal::TERM);
    signalled.expect("the old gateway runs");
    actix_rt::time::sleep(std::time::Duration::from_millis(300)).await;
    let host = deployment.hosts[0].address;
    for _ in 0..20 {
        let body = caller::completion(PROMPT, 1, false);
        let path = "/v1/completions";
        let answer = send(host, "POST", path, Some(KEY), &[], Some(&body)).await;
        let answer = answer.expect("the new gateway answers");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert!(old.is_running(), "the streams outlast the requests");
    assert_whole(streams).await;
    wait_for_exit(&mut old).await;
}

//! Graceful shutdown: running requests finish, and other processes take over.

use acceptance::caller::{self, Streamed, expected_answer, send, stream};
use acceptance::deployment::{Deployment, KEY, Plan, wait_for};
use acceptance::process::Process;
use berylknot_coordination::lease::{Shard, Subject};
use berylknot_coordination::replica::Replica;
use rustix::process::Signal;
use standins::engine::Control;

const PROMPT: &str = "Tapiz 'Lino Azul': a border of flax flowers in split stitch.";

/// Tokens of a stream that takes about 4 s at 20 ms per token.
const TOKENS: u32 = 200;

const STREAMS: usize = 6;

async fn deploy(hosts: usize) -> Deployment {
    let plan = Plan {
        hosts,
        // Outlasts each test, so that shards move only by a handover and never by an expired lease.
        lease_ms: 300_000,
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

/// Starts [`STREAMS`] streams at a host and waits until all of them run on decode engines.
async fn start_streams(deployment: &Deployment, host: usize) -> Running {
    let host = deployment.hosts[host].address;
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

async fn assert_complete(streams: Running) {
    for running in streams {
        let answer = running.await.expect("the caller ends").expect("answers");
        assert!(answer.done, "{answer:?}");
        assert_eq!(answer.text, expected_answer(PROMPT, TOKENS));
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

/// Guards against a shutdown that cuts streams, serves new requests, or leaks engine memory.
#[actix_rt::test]
async fn gateway_shutdown_finishes_running_streams() {
    let mut deployment = deploy(1).await;
    let streams = start_streams(&deployment, 0).await;
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
    assert_complete(streams).await;
    wait_for_exit(&mut deployment.hosts[0].gateway).await;
    assert_eq!(deployment.running().await.expect("engines answer"), 0);
}

/// Guards against an in-place upgrade that cuts streams of the old process or refuses requests
/// although the new process serves.
#[actix_rt::test]
async fn second_gateway_takes_over_the_address() {
    let mut deployment = deploy(1).await;
    let streams = start_streams(&deployment, 0).await;
    let mut old = deployment.hosts[0]
        .start_second_gateway()
        .expect("a second gateway starts");
    // Both processes append to the same log file, and each listens before it has the settings.
    let log = deployment.folder().join("host-0-gateway.log");
    wait_for("both gateways serve", || async {
        let log = std::fs::read_to_string(&log).unwrap_or_default();
        log.matches("configuration: in force").count() == 2
    })
    .await
    .expect("the second gateway has the settings");
    let signalled = old.signal(Signal::TERM);
    signalled.expect("the old gateway runs");
    let host = deployment.hosts[0].address;
    wait_for("the new gateway gets all connections", || async {
        for _ in 0..20 {
            let body = caller::completion(PROMPT, 1, false);
            let path = "/v1/completions";
            let answer = send(host, "POST", path, Some(KEY), &[], Some(&body)).await;
            if !answer.is_ok_and(|answer| answer.status == 200) {
                return false;
            }
        }
        true
    })
    .await
    .expect("new requests are served");
    assert!(
        old.is_running(),
        "the old gateway exited before its streams finished"
    );
    assert_complete(streams).await;
    wait_for_exit(&mut old).await;
}

/// Removes the ANSI colour sequences.
fn without_colours(text: &str) -> String {
    let mut parts = text.split('\u{1b}');
    let mut plain = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        plain.push_str(part.split_once('m').map_or("", |(_, rest)| rest));
    }
    plain
}

fn owner_name(replica: &Replica, shard: Shard) -> Option<String> {
    let table = replica.leases();
    let owner = table.holding(Subject::Shard(shard)).owner?;
    table.session(owner).map(|session| session.host.clone())
}

/// Guards against a shutdown after which shards have no owner until their lease expires, quota pools
/// start empty, or the host's requests are cut.
#[actix_rt::test]
async fn coordinator_shutdown_hands_over_its_shards() {
    let mut deployment = deploy(3).await;
    let replica = deployment.replica().await.expect("the log is read");
    let name = owner_name(&replica, Shard::of(b"breeder")).expect("the customer has an owner");
    let leaving = deployment.hosts.iter().position(|host| host.name == name);
    let leaving = leaving.expect("the owner is a host");
    let streams = start_streams(&deployment, leaving).await;
    let signalled = deployment.hosts[leaving].coordinator.signal(Signal::TERM);
    signalled.expect("the coordinator runs");
    wait_for("the host admits nothing", || async {
        let body = caller::completion(PROMPT, 1, false);
        let host = deployment.hosts[leaving].address;
        let path = "/v1/completions";
        let answer = send(host, "POST", path, Some(KEY), &[], Some(&body)).await;
        answer.is_ok_and(|answer| answer.status == 503 && answer.outcome == "not_run")
    })
    .await
    .expect("new requests are refused as not run");
    let running = deployment.hosts[leaving].coordinator.is_running();
    assert!(
        running,
        "the coordinator exited before the running requests finished"
    );
    assert_complete(streams).await;
    wait_for_exit(&mut deployment.hosts[leaving].coordinator).await;
    let replica = deployment.replica().await.expect("the log is read");
    for shard in Shard::all() {
        let owner = owner_name(&replica, shard).expect("every shard has an owner");
        assert_ne!(owner, name, "{shard:?}");
    }
    let log = deployment.folder().join(format!("{name}-coordinator.log"));
    let log = std::fs::read_to_string(log).expect("the log file is read");
    let log = without_colours(&log);
    // The poll above may have got a request admitted before the signal was handled, so that more
    // than the streams are settled.
    let settled = log.split_once("settled=").map_or("", |(_, rest)| rest);
    let settled = settled
        .split(' ')
        .next()
        .and_then(|count| count.parse().ok());
    assert!(settled >= Some(STREAMS), "{log}");
    assert!(log.contains(" unsettled=0 "), "{log}");
    assert!(log.contains("pools_handed_over=1 pools_lost=0"), "{log}");
    for (index, host) in deployment.hosts.iter().enumerate() {
        if index == leaving {
            continue;
        }
        let answer = stream(host.address, KEY, PROMPT, 3, None).await;
        assert!(answer.expect("the host answers").done);
    }
}

/// Writes a new certificate for `localhost` and returns a client that trusts only that one.
fn new_certificate(folder: &std::path::Path) -> awc::Client {
    let made = rcgen::generate_simple_self_signed(["localhost".to_owned()]);
    let made = made.expect("a certificate is made");
    std::fs::write(folder.join("key.pem"), made.key_pair.serialize_pem()).expect("key is written");
    std::fs::write(folder.join("certificate.pem"), made.cert.pem()).expect("written");
    let mut roots = rustls::RootCertStore::empty();
    roots.add(made.cert.der().clone()).expect("a root");
    let provider = std::sync::Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("protocol versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let connector = awc::Connector::new().rustls_0_23(std::sync::Arc::new(config));
    awc::Client::builder().connector(connector).finish()
}

/// Guards against a replaced certificate that takes effect only after a restart.
#[actix_rt::test]
async fn replaced_certificate_is_served_without_a_restart() {
    let mut deployment = deploy(1).await;
    let folder = deployment.folder().to_owned();
    let first = new_certificate(&folder);
    let files = serde_json::json!({
        "certificate_file": folder.join("certificate.pem"),
        "key_file": folder.join("key.pem"),
    });
    let host = &mut deployment.hosts[0];
    host.gateway.kill();
    host.set_gateway("tls", files)
        .expect("settings are written");
    host.restart_gateway().expect("the gateway starts");
    let address = host.address;
    let complete = async |client: &awc::Client| {
        let request = client
            .post(format!(
                "https://localhost:{}/v1/completions",
                address.port()
            ))
            .address(address)
            .insert_header(("authorization", format!("Bearer {KEY}")));
        let sent = request.send_json(&caller::completion(PROMPT, 3, false));
        sent.await
            .is_ok_and(|response| response.status().is_success())
    };
    wait_for("a completion over https", || complete(&first))
        .await
        .expect("the first certificate is served");
    let second = new_certificate(&folder);
    wait_for("a completion under the new certificate", || {
        complete(&second)
    })
    .await
    .expect("the new certificate is served");
    assert!(deployment.hosts[0].gateway.is_running());
}

/// Guards against a shutdown that exceeds the operator's drain deadline or does not report the cut
/// streams.
#[actix_rt::test]
async fn drain_deadline_cuts_streams_and_counts_them() {
    let mut deployment = deploy(1).await;
    let host = &mut deployment.hosts[0];
    host.gateway.kill();
    host.set_gateway("limits", serde_json::json!({ "drain_s": 1 }))
        .expect("settings are written");
    host.restart_gateway().expect("the gateway starts");
    let address = host.address;
    wait_for("the gateway serves", || async {
        let answer = stream(address, KEY, PROMPT, 1, None).await;
        answer.is_ok_and(|answer| answer.done)
    })
    .await
    .expect("the gateway serves");
    let streams = start_streams(&deployment, 0).await;
    let signalled = deployment.hosts[0].gateway.signal(Signal::TERM);
    signalled.expect("the gateway runs");
    for running in streams {
        let answer = running.await.expect("the caller ends");
        assert!(
            !answer.is_ok_and(|answer| answer.done),
            "a cut stream was marked as complete"
        );
    }
    wait_for_exit(&mut deployment.hosts[0].gateway).await;
    let log = deployment.folder().join("host-0-gateway.log");
    let log = std::fs::read_to_string(log).expect("the log file is read");
    let counted = format!("finished=0 cut={STREAMS}");
    assert!(without_colours(&log).contains(&counted), "{log}");
}

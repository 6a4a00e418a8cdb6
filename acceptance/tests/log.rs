//! Faults of the platform log: outages, blocked hosts, expired entries, lost responses.

use acceptance::caller::{self, completion, send, stream};
use acceptance::deployment::{Deployment, Host, KEY, Plan, wait_for};
use acceptance::process::Process;
use berylknot_border::platform::{HostList, HostState, ListedHost};
use berylknot_coordination::record::{Id, Incarnation, Position, Publish, Record};
use berylknot_wire::entry;
use rustix::process::Signal;
use serde_json::json;
use standins::platform;

async fn start() -> Deployment {
    Deployment::start(Plan::default())
        .await
        .expect("deployment starts")
}

async fn control(deployment: &Deployment, control: &platform::Control) {
    caller::put(deployment.platform.address, "/control", control)
        .await
        .expect("control is set");
}

/// Status, error code and outcome of a small completion request.
async fn complete(host: &Host) -> (u16, String, String) {
    let body = completion("a dossier", 2, false);
    let answer = send(
        host.address,
        "POST",
        "/v1/completions",
        Some(KEY),
        &[],
        Some(&body),
    )
    .await;
    let answer = answer.expect("the host answers");
    (
        answer.status,
        answer.code().to_owned(),
        answer.outcome.clone(),
    )
}

async fn wait_for_answer(host: &Host, status: u16, code: &str) {
    let answered = wait_for("the answer changes", || async {
        let (found, found_code, _) = complete(host).await;
        found == status && found_code == code
    });
    answered.await.expect("the expected answer comes");
}

async fn version_of(host: &Host) -> Option<u64> {
    let status = caller::get(host.coordinator_address, "/status")
        .await
        .ok()?;
    status["version"].as_u64()
}

/// Guards against refusing keys during a full log outage, in which nobody can withdraw a key, and
/// against executing a call with an idempotency key without a claim in the log.
#[actix_rt::test]
async fn log_outage_stops_only_calls_with_idempotency_key() {
    let deployment = start().await;
    let outage = platform::Control {
        fail_appends: true,
        fail_reads: true,
        ..platform::Control::default()
    };
    control(&deployment, &outage).await;
    // Exceeds the 10 s for which a configuration from before the outage suffices to accept keys.
    let aged = wait_for("the configuration is older than 12 s", || async {
        let status = caller::get(deployment.hosts[0].coordinator_address, "/status").await;
        status.is_ok_and(|status| status["age_ms"].as_u64() > Some(12_000))
    });
    aged.await.expect("the age of the configuration grows");
    for host in &deployment.hosts {
        let (status, code, _) = complete(host).await;
        assert_eq!(status, 200, "{code}");
        let booking = json!({ "name": "Luz del Sur" });
        let answer = send(
            host.address,
            "POST",
            "/services/counter/reservations",
            Some(KEY),
            &[("idempotency-key", "a")],
            Some(&booking),
        );
        let answer = answer.await.expect("the host answers");
        assert_eq!(
            (answer.status, answer.outcome.as_str()),
            (503, "not_run"),
            "{answer:?}"
        );
    }
    control(&deployment, &platform::Control::default()).await;
    for host in &deployment.hosts {
        let recovered = wait_for("the host reads the log", || async {
            let status = caller::get(host.coordinator_address, "/status").await;
            status.is_ok_and(|status| status["age_ms"].as_u64() < Some(3_000))
        });
        recovered.await.expect("the host recovers");
        wait_for_answer(host, 200, "").await;
    }
}

/// Guards against a host that accepts keys or continues their streams while it is cut off from the
/// log and from its peers, so that it cannot learn of a withdrawal.
#[actix_rt::test]
async fn isolated_host_refuses_keys() {
    let deployment = start().await;
    let blocked = platform::Control {
        blocked_hosts: vec![deployment.hosts[0].name.clone()],
        ..platform::Control::default()
    };
    let isolated = &deployment.hosts[0];
    let running = actix_rt::spawn(stream(isolated.address, KEY, "a long prompt", 50_000, None));
    let started = wait_for("the stream runs", || async {
        deployment.running().await.is_ok_and(|running| running > 0)
    });
    started.await.expect("the stream starts");
    control(&deployment, &blocked).await;
    for host in &deployment.hosts[1..] {
        host.coordinator.signal(Signal::STOP).expect("it runs");
    }
    wait_for_answer(isolated, 503, "stale_configuration").await;
    let ended = running.await.expect("the stream ends");
    let ended = ended.expect("the host answers");
    assert!(!ended.done);
    // On an isolated host, the permit to forward lapses and the configuration becomes stale within
    // seconds of each other; either ends the stream.
    let reasons = ["stale_configuration", "permit_lapsed"];
    assert!(reasons.contains(&ended.error.as_str()), "{ended:?}");
    assert_eq!(complete(isolated).await.2, "not_run");
    for host in &deployment.hosts[1..] {
        host.coordinator.signal(Signal::CONT).expect("it runs");
    }
    control(&deployment, &platform::Control::default()).await;
    wait_for_answer(isolated, 200, "").await;
}

/// Guards against a withdrawn key that still works on the only host without access to the log.
#[actix_rt::test]
async fn host_without_log_learns_key_withdrawal_from_peers() {
    let mut deployment = start().await;
    let blocked = platform::Control {
        blocked_hosts: vec![deployment.hosts[0].name.clone()],
        ..platform::Control::default()
    };
    control(&deployment, &blocked).await;
    let failing = wait_for("reads fail", || async {
        let address = deployment.hosts[0].coordinator_address;
        let name = "berylknot_coordinator_log_read_failures_total";
        caller::metric(address, name, "")
            .await
            .is_ok_and(|count| count > 0.0)
    });
    failing.await.expect("the log is blocked");
    assert_eq!(complete(&deployment.hosts[0]).await.0, 200);
    deployment.settings["keys"]["breeder-1"]["withdrawn"] = json!(true);
    deployment
        .publish()
        .await
        .expect("the settings are published");
    wait_for_answer(&deployment.hosts[0], 401, "key_withdrawn").await;
}

/// Guards against a host that cannot serve after a start without the log, although its peers can
/// send it the state and append for it, and against peers that are known only through the
/// platform's host list.
#[actix_rt::test]
async fn host_started_without_log_serves_through_peers() {
    let mut deployment = start().await;
    let version = version_of(&deployment.hosts[0]).await.expect("it answers");
    let blocked = platform::Control {
        blocked_hosts: vec![deployment.hosts[2].name.clone()],
        ..platform::Control::default()
    };
    control(&deployment, &blocked).await;
    kill(&mut deployment.hosts[2]);
    let listed = ListedHost {
        name: deployment.hosts[2].name.clone(),
        address: deployment.hosts[2].coordinator_address.to_string(),
        state: HostState::Live,
    };
    let list = HostList {
        hosts: vec![listed],
    };
    caller::put(deployment.platform.address, "/hosts", &list)
        .await
        .expect("the list is set");
    restart(&mut deployment.hosts[2]);
    wait_for_version(&deployment.hosts[2], version).await;
    let ready = wait_for("the gateway is ready", || async {
        let address = deployment.hosts[2].operator_address;
        let answer = send(address, "GET", "/ready", None, &[], None).await;
        answer.is_ok_and(|answer| answer.status == 200)
    });
    ready.await.expect("the gateway is ready");
    wait_for_answer(&deployment.hosts[2], 200, "").await;
    let leased = wait_for("the host has a lease", || async {
        let address = deployment.hosts[2].coordinator_address;
        let name = "berylknot_coordinator_leases";
        caller::metric(address, name, "")
            .await
            .is_ok_and(|count| count > 0.0)
    });
    leased.await.expect("its appends reach the log");
}

/// Guards against reverting to an old configuration after its successor has expired from the log,
/// also when all hosts restart without state.
#[actix_rt::test]
async fn configuration_survives_expiry_of_its_log_entry() {
    let mut deployment = start().await;
    let version = version_of(&deployment.hosts[0]).await.expect("it answers");
    // Snapshots are at most 15 s apart, in which a deployment appends about 80 entries.
    let short_retention = platform::Control {
        retained_entries: 200,
        ..platform::Control::default()
    };
    control(&deployment, &short_retention).await;
    // Publishes without a base version: a host that replayed only these would accept the first.
    let mut sequence = 0;
    let expired = wait_for("the start of the log and a later snapshot", || {
        sequence += 1;
        let record = Record::Publish(Publish {
            id: Id {
                incarnation: Incarnation(2),
                sequence,
            },
            base_version: Position::default(),
            document: "{}".to_owned(),
        });
        let platform = deployment.platform.address;
        async move {
            let body = entry::encode(&[record]).expect("the record is small");
            let body = serde_json::to_value(body).expect("the body is JSON");
            send(platform, "POST", "/log/append", None, &[], Some(&body))
                .await
                .expect("the log answers");
            sequence >= 250
        }
    });
    expired.await.expect("the start of the log expires");
    let snapshot = wait_for("a snapshot is in the log", || async {
        snapshot_offset(&deployment).await.is_some()
    });
    snapshot.await.expect("a host writes a snapshot");
    kill(&mut deployment.hosts[0]);
    restart(&mut deployment.hosts[0]);
    wait_for_version(&deployment.hosts[0], version).await;
    for host in &mut deployment.hosts {
        kill(host);
    }
    for host in &mut deployment.hosts {
        restart(host);
    }
    for host in &deployment.hosts {
        wait_for_version(host, version).await;
    }
    for host in &deployment.hosts {
        wait_for_answer(host, 200, "").await;
    }
}

/// Guards against reporting a publish as failed, or repeating it, when its response is lost.
#[actix_rt::test]
async fn publish_with_lost_response_is_resolved() {
    let mut deployment = start().await;
    let before = version_of(&deployment.hosts[0]).await.expect("it answers");
    deployment.settings["keys"]["breeder-1"]["withdrawn"] = json!(true);
    let folder = deployment.folder().join("fleet");
    std::fs::create_dir(&folder).expect("the folder is made");
    std::fs::write(folder.join("all.json"), deployment.settings.to_string())
        .expect("the settings are written");
    let lossy = platform::Control {
        lose_answers: true,
        ..platform::Control::default()
    };
    control(&deployment, &lossy).await;
    let folder = folder.display().to_string();
    let platform = format!("http://{}", deployment.platform.address);
    let base = before.to_string();
    let arguments = ["--platform", &platform, "publish", &folder, "--base", &base];
    let mut publish = Process::start(deployment.folder(), "publish", "berylknot", &arguments)
        .expect("the command starts");
    let mut code = None;
    let ended = wait_for("the command ends", || {
        code = publish.exit_code();
        std::future::ready(code.is_some())
    });
    ended.await.expect("the command ends");
    assert_eq!(code, Some(0));
    for host in &deployment.hosts {
        wait_for_answer(host, 401, "key_withdrawn").await;
    }
    let replica = deployment.replica().await.expect("the log is read");
    let accepted = replica.configuration().version().as_u64();
    assert!(accepted > before);
    assert_eq!(version_of(&deployment.hosts[0]).await, Some(accepted));
}

/// Next offset after the state of the best snapshot in the log; `None` without a snapshot.
async fn snapshot_offset(deployment: &Deployment) -> Option<u64> {
    let read = caller::get(deployment.platform.address, "/log/read?from=0").await;
    let read: berylknot_border::platform::ReadResponse =
        serde_json::from_value(read.expect("the log answers")).expect("a part of the log");
    let mut assembler = berylknot_coordination::snapshot::Assembler::default();
    for raw in &read.entries {
        assembler.read(&entry::decode(raw).expect("the entry is known"));
    }
    assembler.best(read.oldest).map(|best| best.next_offset)
}

fn kill(host: &mut Host) {
    host.coordinator.kill();
    host.gateway.kill();
}

fn restart(host: &mut Host) {
    host.restart_coordinator().expect("the coordinator starts");
    host.restart_gateway().expect("the gateway starts");
}

/// Waits until a host reports a version; until then it may report only none or zero.
async fn wait_for_version(host: &Host, version: u64) {
    let reported = wait_for("the version is known", || async {
        let found = version_of(host).await.unwrap_or_default();
        assert!(found == 0 || found == version, "{found} is not {version}");
        found == version
    });
    reported
        .await
        .expect("the accepted configuration is in force");
}

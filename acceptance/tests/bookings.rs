//! Non-idempotent calls with an idempotency key: at most one execution, and a correct outcome.

use std::net::SocketAddr;

use acceptance::caller::{self, Answer, send};
use acceptance::deployment::{Deployment, KEY, Plan};
use serde_json::json;
use standins::{platform, service};

const PATH: &str = "/services/counter/reservations";
const EXECUTION: &str = "POST /reservations {\"name\":\"Luz del Sur\"}";

async fn book(host: SocketAddr, key: &str) -> Answer {
    let body = json!({ "name": "Luz del Sur" });
    let headers = [("idempotency-key", key)];
    send(host, "POST", PATH, Some(KEY), &headers, Some(&body))
        .await
        .expect("the host answers")
}

/// Repeats the call until its outcome is no longer `in_progress` and returns that outcome.
async fn book_until_settled(host: SocketAddr, key: &str) -> Answer {
    let known = acceptance::deployment::wait_for("the outcome of the call is known", || async {
        book(host, key).await.code() != "in_progress"
    });
    known.await.expect("the outcome of the call becomes known");
    book(host, key).await
}

async fn runs(deployment: &Deployment) -> u64 {
    let mut runs = 0;
    for service in &deployment.services {
        let stats = caller::get(service.address, "/stats")
            .await
            .expect("the service answers");
        runs += stats["runs"][EXECUTION].as_u64().unwrap_or_default();
    }
    runs
}

async fn control_platform(deployment: &Deployment, control: &platform::Control) {
    caller::put(deployment.platform.address, "/control", control)
        .await
        .expect("control is set");
}

/// Guards against a second execution when several hosts get the same key at once or later.
#[actix_rt::test]
async fn key_sent_through_all_hosts_executes_once() {
    let deployment = Deployment::start(Plan::default())
        .await
        .expect("deployment starts");
    let calls: Vec<_> = deployment
        .hosts
        .iter()
        .map(|host| actix_rt::spawn(book(host.address, "a")))
        .collect();
    let mut answered = 0;
    for call in calls {
        let answer = call.await.expect("the call ends");
        let in_progress = answer.code() == "in_progress" && answer.outcome == "may_have_run";
        assert!(answer.status == 200 || in_progress, "{answer:?}");
        answered += u32::from(answer.status == 200);
    }
    assert!(answered >= 1);
    assert_eq!(runs(&deployment).await, 1);
    for host in &deployment.hosts {
        let answer = book_until_settled(host.address, "a").await;
        assert_eq!(
            (answer.status, &answer.body["count"]),
            (200, &json!(1)),
            "{answer:?}"
        );
    }
    assert_eq!(runs(&deployment).await, 1);
    let other = json!({ "name": "Another" });
    let headers = [("idempotency-key", "a")];
    let host = deployment.hosts[0].address;
    let answer = send(host, "POST", PATH, Some(KEY), &headers, Some(&other))
        .await
        .expect("answers");
    assert_eq!(
        (answer.status, answer.code()),
        (422, "idempotency_key_reused")
    );
}

/// Guards against a second execution of a call that timed out, and against reporting it as
/// `not_run`.
#[actix_rt::test]
async fn a_call_without_an_answer_is_not_repeated() {
    let mut deployment = Deployment::start(Plan::default())
        .await
        .expect("deployment starts");
    deployment.settings["routes"]["counter"]["timeout_ms"] = json!(500);
    let version = deployment
        .publish()
        .await
        .expect("the settings are published");
    deployment
        .wait_for_version(version)
        .await
        .expect("the settings come into force");
    for service in &deployment.services {
        let control = service::Control {
            silent: true,
            ..service::Control::default()
        };
        caller::put(service.address, "/control", &control)
            .await
            .expect("control is set");
    }
    let first = book(deployment.hosts[0].address, "b").await;
    assert_eq!(
        (first.status, first.outcome.as_str()),
        (504, "may_have_run")
    );
    let settled = acceptance::deployment::wait_for(
        "the outcome of the key is recorded as unknown",
        || async { book(deployment.hosts[1].address, "b").await.code() == "outcome_unknown" },
    );
    settled.await.expect("the unknown outcome is recorded");
    assert_eq!(runs(&deployment).await, 1);
}

/// Guards against execution without a recorded claim while the log rejects appends, and against a
/// second execution when the log stores an append but answers with an error.
#[actix_rt::test]
async fn call_executes_only_after_its_claim_is_logged() {
    let deployment = Deployment::start(Plan::default())
        .await
        .expect("deployment starts");
    let host = deployment.hosts[0].address;
    let rejecting = platform::Control {
        fail_appends: true,
        ..platform::Control::default()
    };
    control_platform(&deployment, &rejecting).await;
    let refused = book(host, "c").await;
    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not_run"));
    assert_eq!(runs(&deployment).await, 0);
    let lossy = platform::Control {
        lose_answers: true,
        ..platform::Control::default()
    };
    control_platform(&deployment, &lossy).await;
    let answer = book(host, "d").await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(runs(&deployment).await, 1);
    control_platform(&deployment, &platform::Control::default()).await;
    let again = book_until_settled(deployment.hosts[2].address, "d").await;
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(runs(&deployment).await, 1);
}

/// Guards against a second execution after the host that forwarded the call has died.
#[actix_rt::test]
async fn key_stays_claimed_after_its_host_is_killed() {
    let mut deployment = Deployment::start(Plan::default())
        .await
        .expect("deployment starts");
    for service in &deployment.services {
        let control = service::Control {
            silent: true,
            ..service::Control::default()
        };
        caller::put(service.address, "/control", &control)
            .await
            .expect("control is set");
    }
    let running = actix_rt::spawn({
        let host = deployment.hosts[0].address;
        let body = json!({ "name": "Luz del Sur" });
        async move {
            send(
                host,
                "POST",
                PATH,
                Some(KEY),
                &[("idempotency-key", "e")],
                Some(&body),
            )
            .await
        }
    });
    let sent = acceptance::deployment::wait_for("the call runs", || async {
        runs(&deployment).await == 1
    });
    sent.await.expect("the call reaches the service");
    deployment.hosts[0].gateway.kill();
    deployment.hosts[0].coordinator.kill();
    assert!(running.await.expect("the call ends").is_err());
    let again = book(deployment.hosts[1].address, "e").await;
    assert_eq!(
        (again.status, again.outcome.as_str()),
        (409, "may_have_run")
    );
    assert_eq!(runs(&deployment).await, 1);
}

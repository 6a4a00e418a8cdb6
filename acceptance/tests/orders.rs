//! Orders to engines by the elected controller, across its crash and its pause.

use acceptance::caller;
use acceptance::deployment::{Deployment, Plan, wait_for};
use berylknot_coordination::lease::{Shard, Subject};
use rustix::process::Signal;
use serde_json::json;

/// Index of the decode engine whose role the tests change.
const ENGINE: usize = 1;

async fn deploy() -> Deployment {
    let deployment = Deployment::start(Plan::default())
        .await
        .expect("deployment starts");
    wait_for_role(&deployment, "decode").await;
    deployment
}

async fn role(deployment: &Deployment) -> String {
    let load = caller::get(deployment.decodes[ENGINE].address, "/v1/load").await;
    let load = load.expect("the engine answers");
    format!(
        "{}/{}",
        load["role"].as_str().unwrap_or_default(),
        load["model"].as_str().unwrap_or_default()
    )
}

async fn wait_for_role(deployment: &Deployment, wanted: &str) {
    let wanted = format!("{wanted}/dossier-reader");
    wait_for("the engine has its role", || async {
        role(deployment).await == wanted
    })
    .await
    .expect("the engine gets the order");
}

async fn publish_role(deployment: &mut Deployment, role: &str) {
    let name = deployment.decodes[ENGINE].process.name().to_owned();
    deployment.settings["endpoints"][name.as_str()]["kind"] = json!(role);
    deployment.publish().await.expect("settings are accepted");
}

/// Index of the host that owns the controller shard according to the log; `None` without an owner.
async fn controller(deployment: &Deployment) -> Option<usize> {
    let replica = deployment.replica().await.ok()?;
    let table = replica.leases();
    let owner = table.holding(Subject::Shard(Shard::CONTROLLER)).owner?;
    let name = &table.session(owner)?.host;
    deployment.hosts.iter().position(|host| host.name == *name)
}

async fn wait_for_other_controller(deployment: &Deployment, former: usize) {
    wait_for("another host is the controller", || async {
        controller(deployment)
            .await
            .is_some_and(|host| host != former)
    })
    .await
    .expect("the controller is replaced");
}

/// Guards against engines that get no more orders after the controller's host has crashed.
#[actix_rt::test]
async fn killed_controller_is_replaced() {
    let mut deployment = deploy().await;
    publish_role(&mut deployment, "prefill").await;
    wait_for_role(&deployment, "prefill").await;
    let former = controller(&deployment).await.expect("a controller");
    deployment.hosts[former].coordinator.kill();
    deployment.hosts[former].gateway.kill();
    publish_role(&mut deployment, "decode").await;
    wait_for_role(&deployment, "decode").await;
    let successor = controller(&deployment).await;
    assert!(successor.is_some_and(|host| host != former));
}

/// Guards against a paused controller that sends outdated orders after it resumes, although another
/// host has replaced it.
#[actix_rt::test]
async fn resumed_controller_sends_no_outdated_orders() {
    let mut deployment = deploy().await;
    let former = controller(&deployment).await.expect("a controller");
    let signal = |signal| deployment.hosts[former].coordinator.signal(signal);
    signal(Signal::STOP).expect("the controller is stopped");
    wait_for_other_controller(&deployment, former).await;
    publish_role(&mut deployment, "prefill").await;
    wait_for_role(&deployment, "prefill").await;
    let signal = |signal| deployment.hosts[former].coordinator.signal(signal);
    signal(Signal::CONT).expect("the former controller resumes");
    // The former controller has read the new settings when it acknowledges them in a renewal.
    let version = deployment.replica().await.expect("the log is read");
    let version = version.configuration().version();
    let name = deployment.hosts[former].name.clone();
    wait_for("the former controller has the settings", || async {
        deployment.replica().await.is_ok_and(|replica| {
            let mut sessions = replica.leases().sessions();
            sessions.any(|(_, session)| {
                session.host == name && session.configuration_version >= version
            })
        })
    })
    .await
    .expect("the former controller takes part again");
    wait_for_role(&deployment, "prefill").await;
}

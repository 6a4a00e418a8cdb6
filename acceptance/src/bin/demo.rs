//! Sends one request of each kind through a deployment on loopback; exits 0 only if every response
//! and counter is as expected.

use acceptance::caller;
use acceptance::deployment::{Deployment, KEY, Plan, WITHDRAWN_KEY, wait_for};

const PROMPT: &str = "Rosa 'Luz del Sur': a climbing rose, pale yellow, repeat flowering.";
const MAX_TOKENS: u32 = 24;

#[actix_rt::main]
async fn main() -> eyre::Result<()> {
    let plan = Plan::default();
    let deployment = Deployment::start(plan).await?;
    println!(
        "started 1 platform, {} prefill and {} decode engines, {} services, {} hosts",
        plan.prefills, plan.decodes, plan.services, plan.hosts
    );
    stream_completion(&deployment).await?;
    lookup(&deployment).await?;
    booking(&deployment).await?;
    cancelled_completion(&deployment).await?;
    withdrawn_key(&deployment).await?;
    counters(&deployment).await?;
    drop(deployment);
    println!("all answers were right; everything that was started is stopped");
    Ok(())
}

async fn stream_completion(deployment: &Deployment) -> eyre::Result<()> {
    let answer = caller::stream(deployment.hosts[0].address, KEY, PROMPT, MAX_TOKENS, None).await?;
    eyre::ensure!(
        answer.done && answer.text == caller::expected_answer(PROMPT, MAX_TOKENS),
        "{answer:?}"
    );
    println!("streamed completion: {} tokens, whole", answer.tokens);
    Ok(())
}

async fn lookup(deployment: &Deployment) -> eyre::Result<()> {
    let path = "/services/counter/names/luz-del-sur";
    let answer = caller::send(
        deployment.hosts[1].address,
        "GET",
        path,
        Some(KEY),
        &[],
        None,
    )
    .await?;
    eyre::ensure!(answer.status == 200, "{answer:?}");
    println!("lookup: {}", answer.body);
    Ok(())
}

async fn booking(deployment: &Deployment) -> eyre::Result<()> {
    let path = "/services/counter/reservations";
    let body = serde_json::json!({ "name": "Luz del Sur" });
    let host = deployment.hosts[2].address;
    let answer = caller::send(host, "POST", path, Some(KEY), &[], Some(&body)).await?;
    eyre::ensure!(
        answer.status == 200 && answer.body["count"] == 1,
        "{answer:?}"
    );
    println!("booking: {}", answer.body);
    Ok(())
}

async fn cancelled_completion(deployment: &Deployment) -> eyre::Result<()> {
    let host = deployment.hosts[0].address;
    let answer = caller::stream(host, KEY, PROMPT, 5_000, Some(3)).await?;
    eyre::ensure!(!answer.done, "{answer:?}");
    wait_for("engines have released the cancelled completion", || async {
        deployment.running().await.is_ok_and(|running| running == 0)
    })
    .await?;
    println!(
        "cancelled completion: left after {} tokens, engines released it",
        answer.tokens
    );
    Ok(())
}

async fn withdrawn_key(deployment: &Deployment) -> eyre::Result<()> {
    let body = caller::completion(PROMPT, MAX_TOKENS, false);
    let host = deployment.hosts[1].address;
    let answer = caller::send(
        host,
        "POST",
        "/v1/completions",
        Some(WITHDRAWN_KEY),
        &[],
        Some(&body),
    )
    .await?;
    eyre::ensure!(
        answer.status == 401 && answer.outcome == "not_run",
        "{answer:?}"
    );
    println!(
        "withdrawn key: status {}, {}, {}",
        answer.status,
        answer.code(),
        answer.outcome
    );
    Ok(())
}

async fn counters(deployment: &Deployment) -> eyre::Result<()> {
    let expected = [
        ("berylknot_gateway_finished_total", "", 1.0),
        ("berylknot_gateway_service_calls_total", "", 2.0),
        ("berylknot_gateway_cancelled_total", "caller_gone", 1.0),
        ("berylknot_gateway_refusals_total", "key_withdrawn", 1.0),
    ];
    for (name, label, count) in expected {
        let mut sum = 0.0;
        for host in &deployment.hosts {
            sum += caller::metric(host.operator_address, name, label).await?;
        }
        println!("{name}{{{label}}} {sum}");
        eyre::ensure!(
            sum == count,
            "metric {name}: sum over all hosts is {sum}, expected {count}"
        );
    }
    Ok(())
}

//! Admission control: full pools, customers over their rate, leaving endpoints, crashing requests and
//! the retry budget.

use acceptance::caller::{self, Answer, completion, expected_answer, send};
use acceptance::deployment::{Deployment, Host, KEY, PEPPER, Plan};
use berylknot_settings::key::{Hash, Pepper};
use futures_util::future::join_all;
use serde_json::json;
use standins::engine::Control;

const PROMPT: &str = "Rosa 'Nieve Andina': a shrub rose, white, with a myrrh scent.";

async fn complete(host: &Host, key: &str, prompt: &str, max_tokens: u32) -> Answer {
    let body = completion(prompt, max_tokens, false);
    let path = "/v1/completions";
    let sent = send(host.address, "POST", path, Some(key), &[], Some(&body));
    sent.await.expect("the host answers")
}

/// Sets the number of slots of all decode engines, in the engines and in the published settings.
async fn limit_slots(deployment: &mut Deployment, slots: u32, token_ms: u64) {
    for decode in &deployment.decodes {
        let control = Control {
            slots,
            token_ms,
            ..Control::default()
        };
        caller::put(decode.address, "/control", &control)
            .await
            .expect("the stand-in takes its control");
        deployment.settings["endpoints"][decode.process.name()]["slots"] = json!(slots);
    }
    publish(deployment).await;
}

async fn publish(deployment: &mut Deployment) {
    let version = deployment.publish().await.expect("the log accepts");
    deployment
        .wait_for_version(version)
        .await
        .expect("the version comes in force");
}

async fn bodies(deployment: &Deployment) -> Vec<usize> {
    let mut counts = Vec::new();
    for engine in deployment.prefills.iter().chain(&deployment.decodes) {
        let stats = caller::get(engine.address, "/stats").await;
        let stats = stats.expect("the stand-in answers");
        counts.push(stats["bodies"].as_array().map_or(0, Vec::len));
    }
    counts
}

/// Guards against prefills wasted for lack of a free decode slot, and against refusal of requests
/// that a slot could serve before their queue deadline.
#[actix_rt::test]
async fn prefill_waits_for_a_decode_slot() {
    let plan = Plan {
        hosts: 1,
        ..Plan::default()
    };
    let mut deployment = Deployment::start(plan).await.expect("deployment starts");
    limit_slots(&mut deployment, 2, 10).await;
    let host = &deployment.hosts[0];
    let prompts: Vec<String> = (0..24).map(|index| format!("{PROMPT} {index}")).collect();
    let requests = prompts.iter().map(|prompt| complete(host, KEY, prompt, 10));
    for (answer, prompt) in join_all(requests).await.iter().zip(&prompts) {
        assert_eq!(answer.status, 200, "{answer:?}");
        let text = answer.body["choices"][0]["text"].as_str();
        assert_eq!(text, Some(expected_answer(prompt, 10).as_str()));
    }
    let counts = bodies(&deployment).await;
    let [prefills, decodes] = [&counts[..2], &counts[2..]].map(|part| part.iter().sum::<usize>());
    assert_eq!(prefills, prompts.len(), "one prefill per request");
    assert_eq!(decodes, prompts.len(), "one decode per request");
}

/// Guards against unbounded queueing, refusals without `Retry-After`, and refusals of requests that
/// reached an engine.
#[actix_rt::test]
async fn full_pool_refuses_with_retry_after() {
    let plan = Plan {
        hosts: 1,
        prefills: 1,
        decodes: 1,
        services: 1,
        ..Plan::default()
    };
    let mut deployment = Deployment::start(plan).await.expect("deployment starts");
    // A decode takes 8 s, longer than the queue deadline, so that queued requests are refused.
    limit_slots(&mut deployment, 2, 400).await;
    let host = &deployment.hosts[0];
    let requests = (0..6).map(|_| complete(host, KEY, PROMPT, 20));
    let answers = join_all(requests).await;
    let (served, refused): (Vec<_>, Vec<_>) =
        answers.iter().partition(|answer| answer.status == 200);
    assert_eq!(served.len(), 2, "{answers:?}");
    for answer in &refused {
        assert_eq!((answer.status, answer.code()), (503, "queue_too_long"));
        assert_eq!(answer.outcome, "not_run");
        assert!(answer.retry_after.is_some(), "{answer:?}");
    }
    let counts = bodies(&deployment).await;
    assert_eq!(counts, [2, 2], "refused requests must not reach an engine");
}

/// Guards against a customer over its rate starving other customers.
#[actix_rt::test]
async fn rate_limit_applies_per_customer() {
    const OVERLOADING_KEY: &str = "bk-demo-key-of-a-grower";
    let mut deployment = Deployment::start(Plan::default())
        .await
        .expect("deployment starts");
    let hash = Hash::of(OVERLOADING_KEY, &Pepper::new(PEPPER)).to_hex();
    deployment.settings["customers"]["grower"] = json!({ "rate": 50, "burst": 200 });
    deployment.settings["keys"]["grower-1"] = json!({ "customer": "grower", "hash": hash });
    publish(&mut deployment).await;
    let hosts = &deployment.hosts;
    let overloading =
        (0..40).map(|index| complete(&hosts[index % hosts.len()], OVERLOADING_KEY, PROMPT, 40));
    let conforming = (0..10).map(|index| complete(&hosts[index % hosts.len()], KEY, PROMPT, 40));
    let (overloading, conforming) =
        futures_util::future::join(join_all(overloading), join_all(conforming)).await;
    for answer in &conforming {
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let refused = overloading.iter().filter(|answer| answer.status == 429);
    let refused: Vec<&Answer> = refused.collect();
    assert!(!refused.is_empty(), "{overloading:?}");
    for answer in refused {
        assert_eq!(
            (answer.code(), answer.outcome.as_str()),
            ("rate_exceeded", "not_run")
        );
        assert!(answer.retry_after.is_some(), "{answer:?}");
    }
}

/// Guards against new requests on endpoints that the settings mark as leaving before their removal.
#[actix_rt::test]
async fn a_leaving_endpoint_gets_no_new_work() {
    let mut deployment = Deployment::start(Plan::default())
        .await
        .expect("deployment starts");
    for name in ["prefill-0", "decode-0"] {
        deployment.settings["endpoints"][name]["leaving"] = json!(true);
    }
    publish(&mut deployment).await;
    let before = bodies(&deployment).await;
    for host in &deployment.hosts {
        let requests = (0..10).map(|_| complete(host, KEY, PROMPT, 5));
        for answer in join_all(requests).await {
            assert_eq!(answer.status, 200, "{answer:?}");
        }
    }
    let after = bodies(&deployment).await;
    assert_eq!((before[0], before[2]), (after[0], after[2]));
    assert_eq!(after[1] - before[1], 10 * deployment.hosts.len());
}

/// Guards against a crash-inducing request that takes down one engine after another when callers
/// repeat it at all hosts, and against refusing other requests because of it.
#[actix_rt::test]
async fn crash_inducing_request_crashes_at_most_two_engines() {
    const CRASH_PROMPT: &str = "a prompt of death";
    let plan = Plan {
        prefills: 5,
        ..Plan::default()
    };
    let mut deployment = Deployment::start(plan).await.expect("deployment starts");
    let control = Control {
        crash_on: Some(CRASH_PROMPT.to_owned()),
        ..Control::default()
    };
    for prefill in &deployment.prefills {
        caller::put(prefill.address, "/control", &control)
            .await
            .expect("the stand-in takes its control");
    }
    for round in 0..3 {
        for host in &deployment.hosts {
            let answer = complete(host, KEY, CRASH_PROMPT, 5).await;
            assert_ne!(answer.status, 200, "{answer:?}");
            if round > 0 {
                let found = (answer.code(), answer.outcome.as_str());
                assert_eq!(found, ("request_crashes_endpoints", "not_run"));
            }
            let other = complete(host, KEY, PROMPT, 5).await;
            assert_eq!(other.status, 200, "{other:?}");
        }
    }
    let crashed = deployment.prefills.iter_mut();
    let crashed = crashed.filter_map(|prefill| (!prefill.process.is_running()).then_some(()));
    assert_eq!(crashed.count(), 2, "engines that the request crashed");
}

/// Guards against a retry storm that multiplies the load while the endpoints fail.
#[actix_rt::test]
async fn retries_stop_when_their_budget_is_exhausted() {
    let plan = Plan {
        hosts: 1,
        ..Plan::default()
    };
    let mut deployment = Deployment::start(plan).await.expect("deployment starts");
    for service in &mut deployment.services {
        service.process.kill();
    }
    let host = &deployment.hosts[0];
    let call_count: u32 = 60;
    for _ in 0..call_count {
        let path = "/services/counter/stock";
        let sent = send(host.address, "GET", path, Some(KEY), &[], None);
        assert_ne!(sent.await.expect("the host answers").status, 200);
    }
    let count = |name: &'static str| caller::metric(host.operator_address, name, "");
    let retries = count("berylknot_gateway_retries_total").await;
    let denied = count("berylknot_gateway_retries_denied_total").await;
    // The retry budget starts at ten and gains one for every ten calls.
    let allowed = 10 + call_count / 10;
    let retries = retries.expect("the gateway answers");
    assert!(retries > 0.0 && retries <= f64::from(allowed), "{retries}");
    assert!(denied.expect("the gateway answers") > 0.0);
}

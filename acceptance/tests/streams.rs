//! Streamed completions from engines that crash, stall, truncate a stream or send repeated and
//! foreign events, and callers that disconnect.

use acceptance::caller::{self, expected_answer, stream};
use acceptance::deployment::{Deployment, KEY, Plan, wait_for};
use standins::engine::Control;

const PROMPT: &str = "Rosa 'Nieve Andina': a shrub rose, white, with a myrrh scent.";
const TOKENS: u32 = 40;

async fn control_decode(deployment: &Deployment, index: usize, control: &Control) {
    let address = deployment.decodes[index].address;
    caller::put(address, "/control", control)
        .await
        .expect("the stand-in takes its control");
}

async fn assert_released(deployment: &Deployment) {
    let released = wait_for("engines hold no request", || async {
        deployment.running().await.is_ok_and(|running| running == 0)
    });
    released
        .await
        .expect("engine memory of finished requests is released");
}

/// Guards against passing on repeated tokens or tokens of another request.
#[actix_rt::test]
async fn disordered_events_reach_the_caller_in_order_and_once() {
    let deployment = Deployment::start(Plan::default())
        .await
        .expect("deployment starts");
    for index in 0..2 {
        let control = Control {
            disorder: true,
            ..Control::default()
        };
        control_decode(&deployment, index, &control).await;
    }
    let host = deployment.hosts[0].address;
    let answer = stream(host, KEY, PROMPT, TOKENS, None)
        .await
        .expect("the host answers");
    assert!(answer.done);
    assert_eq!(answer.text, expected_answer(PROMPT, TOKENS));
}

/// Guards against lost or repeated tokens when an engine crashes during a stream.
#[actix_rt::test]
async fn a_stream_resumes_on_another_engine_after_a_crash() {
    let deployment = Deployment::start(Plan::default())
        .await
        .expect("deployment starts");
    let control = Control {
        crash_at_token: Some(11),
        ..Control::default()
    };
    control_decode(&deployment, 0, &control).await;
    for host in &deployment.hosts {
        let answer = stream(host.address, KEY, PROMPT, TOKENS, None)
            .await
            .expect("answers");
        assert!(answer.done, "{answer:?}");
        assert_eq!(answer.text, expected_answer(PROMPT, TOKENS));
    }
}

/// Guards against marking a stream as complete that ended without a final event.
#[actix_rt::test]
async fn a_truncated_answer_is_not_marked_as_whole() {
    let plan = Plan {
        decodes: 1,
        hosts: 1,
        ..Plan::default()
    };
    let deployment = Deployment::start(plan).await.expect("deployment starts");
    let control = Control {
        truncate_at_token: Some(7),
        ..Control::default()
    };
    control_decode(&deployment, 0, &control).await;
    let host = deployment.hosts[0].address;
    let answer = stream(host, KEY, PROMPT, TOKENS, None)
        .await
        .expect("the host answers");
    assert!(!answer.done, "{answer:?}");
    assert!(!answer.error.is_empty(), "{answer:?}");
    assert!(expected_answer(PROMPT, TOKENS).starts_with(&answer.text));
    assert_released(&deployment).await;
}

/// Guards against a stalled engine that blocks the caller or keeps its slot.
#[actix_rt::test]
async fn a_silent_engine_is_left_and_its_slot_released() {
    let deployment = Deployment::start(Plan::default())
        .await
        .expect("deployment starts");
    let control = Control {
        silent_at_token: Some(9),
        ..Control::default()
    };
    control_decode(&deployment, 0, &control).await;
    for host in &deployment.hosts {
        let answer = stream(host.address, KEY, PROMPT, TOKENS, None)
            .await
            .expect("answers");
        assert!(answer.done, "{answer:?}");
        assert_eq!(answer.text, expected_answer(PROMPT, TOKENS));
    }
    assert_released(&deployment).await;
}

/// Guards against leaking engine memory when the caller disconnects during decode or prefill.
#[actix_rt::test]
async fn a_caller_that_leaves_releases_its_engines() {
    let deployment = Deployment::start(Plan::default())
        .await
        .expect("deployment starts");
    let slow = Control {
        prefill_us_per_token: 200_000,
        ..Control::default()
    };
    let host = deployment.hosts[0].address;
    stream(host, KEY, PROMPT, 5_000, Some(2))
        .await
        .expect("the host answers");
    assert_released(&deployment).await;
    for prefill in &deployment.prefills {
        caller::put(prefill.address, "/control", &slow)
            .await
            .expect("control is set");
    }
    // This caller disconnects during its prefill, which takes more than 2 s.
    let waiting = actix_rt::spawn(stream(host, KEY, PROMPT, 5_000, None));
    let started = wait_for("prefill runs", || async {
        deployment.running().await.is_ok_and(|running| running == 1)
    });
    started.await.expect("the prefill starts");
    waiting.abort();
    assert_released(&deployment).await;
    let cancelled = caller::metric(
        deployment.hosts[0].operator_address,
        "berylknot_gateway_cancelled_total",
        "caller_gone",
    );
    assert_eq!(cancelled.await.expect("metrics are served"), 2.0);
}

/// Guards against dropping the caller's sampling parameters on the way to the engine.
#[actix_rt::test]
async fn sampling_parameters_reach_the_decode_engine() {
    let plan = Plan {
        decodes: 1,
        hosts: 1,
        ..Plan::default()
    };
    let deployment = Deployment::start(plan).await.expect("deployment starts");
    let mut body = caller::completion(PROMPT, 3, false);
    body["temperature"] = serde_json::json!(0.5);
    body["top_p"] = serde_json::json!(0.9);
    body["seed"] = serde_json::json!(7);
    let host = deployment.hosts[0].address;
    let answer = caller::send(host, "POST", "/v1/completions", Some(KEY), &[], Some(&body));
    assert_eq!(answer.await.expect("the host answers").status, 200);
    let stats = caller::get(deployment.decodes[0].address, "/stats").await;
    let stats = stats.expect("the engine answers").to_string();
    for parameter in ["temperature", "top_p", "seed"] {
        assert!(stats.contains(parameter), "{parameter} is missing: {stats}");
    }
}

//! Endpoints that write an answer once more, where the next answer on the connection is due.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use acceptance::caller::{Answer, completion, expected_answer, send};
use acceptance::deployment::{Deployment, KEY, Plan, wait_for};
use serde_json::{Value, json};

const SMALL: Plan = Plan {
    hosts: 1,
    prefills: 1,
    decodes: 1,
    services: 1,
    lease_ms: 3_000,
};

/// Text in a prompt or path that the endpoint refuses without running it.
const REFUSED: &str = "refused";

/// A request as the endpoint received it.
#[derive(Debug)]
struct Received {
    path: String,
    body: Value,
    closes: bool,
}

/// Endpoint that runs calls and prefills. It writes each of their answers a second time: where the
/// next such answer on the same connection is due, or before it closes the connection.
#[derive(Clone, Debug)]
struct Copier {
    address: SocketAddr,
    ran: Arc<Mutex<Vec<String>>>,
}

impl Copier {
    fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
        let copier = Self {
            address: listener.local_addr().expect("the listener is bound"),
            ran: Arc::default(),
        };
        let shared = copier.clone();
        std::thread::spawn(move || {
            for connection in listener.incoming() {
                let copier = shared.clone();
                let connection = connection.expect("a connection is accepted");
                std::thread::spawn(move || copier.serve(connection));
            }
        });
        copier
    }

    /// Serves a connection until the peer closes it.
    fn serve(&self, mut connection: TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(connection.try_clone()?);
        let mut copy = Vec::new();
        while let Some(received) = receive(&mut reader)? {
            let answer = self.answer(&received);
            let runs = received.path.starts_with("/names/") || received.path == "/v1/prefill";
            if runs {
                connection.write_all(&copy)?;
                copy.clone_from(&answer);
            }
            connection.write_all(&answer)?;
            if received.closes {
                return connection.write_all(&copy);
            }
        }
        Ok(())
    }

    fn answer(&self, received: &Received) -> Vec<u8> {
        match received.path.as_str() {
            "/v1/prefill" => {
                let prompt = received.body["prompt"].as_str().unwrap_or_default();
                self.run(prompt, || {
                    let seed = standins::engine::prompt_seed(prompt);
                    json!({ "kv_handle": seed.to_string(), "prompt_tokens": 1, "cached_tokens": 0 })
                })
            }
            "/v1/cancel" => encode(200, &json!({ "known": true })),
            "/v1/requests" => encode(200, &json!({ "requests": [] })),
            "/v1/load" => encode(
                200,
                &json!({
                    "role": "prefill", "model": "dossier-reader", "version": "", "running": 0,
                    "waiting": 0, "slots": 20, "cache_pieces": 0, "cache_pieces_used": 0,
                    "measured_ms_ago": 0,
                }),
            ),
            "/v1/order" => encode(200, &json!({ "accepted": true })),
            path => match path.strip_prefix("/v1/kv/") {
                Some(seed) => encode(200, &json!(seed.parse::<u64>().expect("a handle"))),
                None => self.run(path, || json!({ "ran": path })),
            },
        }
    }

    /// Records a run and returns its answer; refuses work that contains [`REFUSED`].
    fn run(&self, work: &str, answer: impl FnOnce() -> Value) -> Vec<u8> {
        if work.contains(REFUSED) {
            return encode(503, &json!({ "code": "full", "message": "not run" }));
        }
        self.ran
            .lock()
            .expect("no thread panics")
            .push(work.to_owned());
        encode(200, &answer())
    }

    fn runs(&self, work: &str) -> usize {
        let ran = self.ran.lock().expect("no thread panics");
        ran.iter().filter(|found| *found == work).count()
    }
}

/// Reads one request; `None` when the peer closed the connection.
fn receive(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Received>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
    let (mut length, mut closes) = (0, false);
    loop {
        line.clear();
        reader.read_line(&mut line)?;
        let header = line.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        closes |= header == "connection: close";
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().expect("the length is a number");
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Received {
        path,
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
        closes,
    }))
}

fn encode(status: u16, body: &Value) -> Vec<u8> {
    let body = body.to_string();
    let length = body.len();
    format!(
        "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Starts a deployment in which the copier stands in for an endpoint. The gateway has one thread, so
/// that all its requests share one pool of connections.
async fn start(endpoint: &str) -> (Deployment, Copier) {
    let mut deployment = Deployment::start(SMALL).await.expect("deployment starts");
    let copier = Copier::start();
    deployment.settings["endpoints"][endpoint]["address"] = json!(copier.address.to_string());
    let host = &mut deployment.hosts[0];
    host.set_gateway("limits", json!({ "workers": 1 }))
        .expect("settings are written");
    host.restart_gateway().expect("the gateway starts");
    let version = deployment
        .publish()
        .await
        .expect("the settings are published");
    deployment
        .wait_for_version(version)
        .await
        .expect("the settings come into force");
    let operator = deployment.hosts[0].operator_address;
    wait_for("the gateway is ready", || async {
        let answer = send(operator, "GET", "/ready", None, &[], None).await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await
    .expect("the gateway is ready");
    (deployment, copier)
}

async fn call(deployment: &Deployment, name: &str, headers: &[(&str, &str)]) -> Answer {
    let path = format!("/services/counter/names/{name}");
    let host = deployment.hosts[0].address;
    send(host, "POST", &path, Some(KEY), headers, Some(&json!({})))
        .await
        .expect("the host answers")
}

async fn complete(deployment: &Deployment, prompt: &str) -> Answer {
    let body = completion(prompt, 3, false);
    let host = deployment.hosts[0].address;
    send(host, "POST", "/v1/completions", Some(KEY), &[], Some(&body))
        .await
        .expect("the host answers")
}

/// Guards against a caller that gets the copy of the answer to another caller's call.
#[actix_rt::test]
async fn a_copied_answer_does_not_reach_the_next_call() {
    let (deployment, copier) = start("counter-0").await;
    for name in ["first", "second", "third"] {
        let answer = call(&deployment, name, &[]).await;
        let work = format!("/names/{name}");
        assert_eq!(
            (answer.status, &answer.body),
            (200, &json!({ "ran": work })),
            "{answer:?}"
        );
        assert_eq!(copier.runs(&work), 1);
    }
}

/// Guards against the copy of an answer that is stored as the outcome of another idempotency key.
#[actix_rt::test]
async fn a_copied_answer_is_not_stored_as_the_outcome_of_the_next_key() {
    let (deployment, copier) = start("counter-0").await;
    for name in ["first", "second", "third"] {
        let work = format!("/names/{name}");
        let key = [("idempotency-key", name)];
        call(&deployment, name, &key).await;
        wait_for("the outcome of the call is known", || async {
            call(&deployment, name, &key).await.code() != "in_progress"
        })
        .await
        .expect("the outcome of the call becomes known");
        let replayed = call(&deployment, name, &key).await;
        assert_eq!(
            (replayed.status, &replayed.body),
            (200, &json!({ "ran": work })),
            "{replayed:?}"
        );
        assert_eq!(copier.runs(&work), 1);
    }
}

/// Guards against the copy of a refusal that is passed on for a call that ran.
#[actix_rt::test]
async fn a_copied_refusal_does_not_answer_a_call_that_ran() {
    let (deployment, copier) = start("counter-0").await;
    let refused = call(&deployment, REFUSED, &[]).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    let answer = call(&deployment, "next", &[]).await;
    assert_eq!(copier.runs("/names/next"), 1);
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// Guards against the copy of a prefill's refusal that counts as `not_run` for a prefill that ran.
#[actix_rt::test]
async fn a_copied_refusal_of_a_prefill_does_not_count_for_the_next() {
    let (deployment, copier) = start("prefill-0").await;
    let refused = complete(&deployment, REFUSED).await;
    assert_eq!(refused.outcome, "not_run", "{refused:?}");
    let answer = complete(&deployment, "next").await;
    assert_eq!(copier.runs("next"), 1);
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// Guards against the copy of a prefill's answer, whose KV handle belongs to another caller's prompt.
#[actix_rt::test]
async fn a_copied_prefill_answer_does_not_give_its_kv_cache_to_the_next() {
    let (deployment, copier) = start("prefill-0").await;
    for prompt in ["first", "second", "third"] {
        let answer = complete(&deployment, prompt).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(
            answer.body["choices"][0]["text"],
            json!(expected_answer(prompt, 3)),
            "{answer:?}"
        );
        assert_eq!(copier.runs(prompt), 1);
    }
}

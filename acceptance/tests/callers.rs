//! Invalid requests, API keys that are unknown, missing or withdrawn, and header filtering.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use acceptance::caller::{self, completion, send, stream};
use acceptance::deployment::{Deployment, KEY, Plan};
use serde_json::json;

const SMALL: Plan = Plan {
    hosts: 1,
    prefills: 1,
    decodes: 1,
    services: 1,
    lease_ms: 3_000,
};

/// Sends raw bytes and returns the response, up to the connection's end or 2 s without data.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut connection = TcpStream::connect(address).expect("the host accepts");
    connection.write_all(bytes).expect("the host reads");
    let timeout = std::time::Duration::from_secs(2);
    connection
        .set_read_timeout(Some(timeout))
        .expect("a timeout can be set");
    let mut answer = Vec::new();
    let _ = connection.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against invalid input that is executed, gets the wrong error, or crashes the gateway.
#[actix_rt::test]
async fn invalid_requests_are_refused_with_their_code() {
    let mut deployment = Deployment::start(SMALL).await.expect("deployment starts");
    let host = deployment.hosts[0].address;
    let path = "/v1/completions";
    let cases = [
        (json!({ "model": "dossier-reader" }), 400, "body_malformed"),
        (
            json!({ "model": "unknown", "prompt": "x" }),
            404,
            "model_unknown",
        ),
        (
            json!({ "model": "dossier-reader", "prompt": "x", "max_tokens": 0 }),
            400,
            "body_malformed",
        ),
        (
            json!({ "model": "dossier-reader", "prompt": "x", "n": 2 }),
            400,
            "n_unsupported",
        ),
        (
            json!({ "model": "dossier-reader", "prompt": "x".repeat(5 << 20) }),
            413,
            "body_too_large",
        ),
        (
            json!({ "model": "dossier-reader", "prompt": KEY }),
            400,
            "key_in_body",
        ),
    ];
    for (body, status, code) in cases {
        let answer = send(host, "POST", path, Some(KEY), &[], Some(&body))
            .await
            .expect("answers");
        assert_eq!((answer.status, answer.code()), (status, code));
        assert_eq!(answer.outcome, "not_run");
    }
    let body = completion("x", 1, false);
    let unknown = send(host, "POST", path, Some("no-such-key"), &[], Some(&body)).await;
    assert_eq!(unknown.expect("answers").code(), "key_unknown");
    let missing = send(host, "POST", path, None, &[], Some(&body))
        .await
        .expect("answers");
    assert_eq!((missing.status, missing.code()), (401, "key_missing"));
    let unknown_path = send(host, "GET", "/nowhere", Some(KEY), &[], None)
        .await
        .expect("answers");
    assert_eq!(
        (unknown_path.status, unknown_path.code()),
        (404, "path_unknown")
    );
    assert!(deployment.hosts[0].gateway.is_running());
}

/// Guards against request smuggling through framing that two servers could parse differently.
#[actix_rt::test]
async fn ambiguous_framing_is_refused() {
    let mut deployment = Deployment::start(SMALL).await.expect("deployment starts");
    let host = deployment.hosts[0].address;
    let length_and_chunked = format!(
        "POST /services/counter/reservations HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /services/counter/smuggled HTTP/1.1\r\n\
         Host: x\r\nAuthorization: Bearer {KEY}\r\n\r\n"
    );
    send_raw(host, length_and_chunked.as_bytes());
    let two_lengths = format!(
        "POST /services/counter/reservations HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde"
    );
    assert!(send_raw(host, two_lengths.as_bytes()).starts_with("HTTP/1.1 400"));
    assert!(send_raw(host, b"\xff\xfe\x00garbage\r\n\r\n").starts_with("HTTP/1.1 400"));
    let oversized_header = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "y".repeat(1 << 20));
    assert!(!send_raw(host, oversized_header.as_bytes()).starts_with("HTTP/1.1 200"));
    let invalid_utf8 = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 2\r\n\r\n\u{80}"
    );
    assert!(send_raw(host, invalid_utf8.as_bytes()).starts_with("HTTP/1.1 400"));
    let stats = caller::get(deployment.services[0].address, "/stats")
        .await
        .expect("stats");
    assert!(stats["runs"].get("GET /smuggled").is_none(), "{stats}");
    assert!(deployment.hosts[0].gateway.is_running());
}

/// Guards against API keys reaching endpoints or log files, and against callers that spoof internal
/// headers.
#[actix_rt::test]
async fn endpoints_see_no_key_and_no_internal_header() {
    let deployment = Deployment::start(SMALL).await.expect("deployment starts");
    let host = deployment.hosts[0].address;
    let spoofed = [("x-berylknot-customer", "another"), ("cookie", "session=1")];
    let path = "/services/counter/names/x";
    let answer = send(host, "GET", path, Some(KEY), &spoofed, None)
        .await
        .expect("answers");
    assert_eq!(answer.status, 200);
    stream(host, KEY, "a prompt", 3, None)
        .await
        .expect("the host answers");
    let service = caller::get(deployment.services[0].address, "/stats")
        .await
        .expect("stats");
    assert!(!service.to_string().contains(KEY));
    assert!(service["headers"].get("x-berylknot-customer").is_none());
    for engine in deployment.prefills.iter().chain(&deployment.decodes) {
        let stats = caller::get(engine.address, "/stats").await.expect("stats");
        assert!(!stats.to_string().contains(KEY));
    }
    for entry in std::fs::read_dir(deployment.folder()).expect("the folder is readable") {
        let path = entry.expect("the folder is readable").path();
        if path.extension().is_some_and(|extension| extension == "log") {
            let log = std::fs::read_to_string(&path).expect("the log is readable");
            assert!(!log.contains(KEY), "{} contains a key", path.display());
        }
    }
}

/// Guards against a withdrawn key that still serves a running stream or a new request.
#[actix_rt::test]
async fn a_withdrawn_key_ends_running_streams() {
    let mut deployment = Deployment::start(Plan::default())
        .await
        .expect("deployment starts");
    let hosts: Vec<_> = deployment.hosts.iter().map(|host| host.address).collect();
    let running: Vec<_> = hosts
        .iter()
        .map(|host| actix_rt::spawn(stream(*host, KEY, "a long prompt", 50_000, None)))
        .collect();
    let started = acceptance::deployment::wait_for("streams run", || async {
        deployment.running().await.is_ok_and(|running| running >= 3)
    });
    started.await.expect("the streams start");
    deployment.settings["keys"]["breeder-1"]["withdrawn"] = json!(true);
    deployment
        .publish()
        .await
        .expect("the settings are published");
    for stream in running {
        let answer = stream
            .await
            .expect("the stream ends")
            .expect("the host answers");
        assert!(!answer.done);
        assert_eq!(answer.error, "key_withdrawn");
    }
    for host in hosts {
        let body = completion("x", 1, false);
        let refused = send(host, "POST", "/v1/completions", Some(KEY), &[], Some(&body)).await;
        assert_eq!(refused.expect("answers").code(), "key_withdrawn");
    }
}

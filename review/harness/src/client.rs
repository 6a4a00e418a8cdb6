//! Requests of clients.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http::{Connection, Head};

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub path: &'static str,
    pub id: String,
    pub deadline_ms: u64,
    /// Further header lines.
    pub headers: String,
}

/// API key of the only tenant.
pub const KEY: &str = "3d3zji9n73hh2b9wu3fe";

impl Request {
    pub fn bytes(&self) -> Vec<u8> {
        self.bytes_with(KEY)
    }

    /// The request with the API key of another tenant.
    pub fn bytes_with(&self, key: &str) -> Vec<u8> {
        let Self {
            method,
            path,
            id,
            deadline_ms,
            headers,
        } = self;
        let body = if *method == "POST" {
            "{\"text\":\"aurora\"}"
        } else {
            ""
        };
        let length = body.len();
        format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\nContent-Length: {length}\r\n{headers}\r\n{body}"
        )
        .into_bytes()
    }
}

/// What a client has of a stream.
#[derive(Clone, Debug, Default)]
pub struct Streamed {
    pub head: Option<Head>,
    /// Numbers of the whole events, and the servers that made them.
    pub events: Vec<(u64, String)>,
    /// Whether the stream came to its end.
    pub is_complete: bool,
}

/// Reads the answer to a streaming request that was sent on a connection.
pub fn read_stream(connection: &mut Connection) -> Streamed {
    let Some(head) = connection.read_head() else {
        return Streamed::default();
    };
    let mut text = Vec::new();
    let is_complete = connection.read_body(&head, |piece| text.extend_from_slice(piece));
    let text = String::from_utf8_lossy(&text).into_owned();
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
    let mut events = Vec::new();
    for event in whole.split("\n\n") {
        let number = event.lines().find_map(|line| line.strip_prefix("id: "));
        let server = event.split(" by ").nth(1);
        if let (Some(Ok(number)), Some(server)) = (number.map(str::parse), server) {
            events.push((number, server.to_owned()));
        }
    }
    Streamed {
        head: Some(head),
        events,
        is_complete,
    }
}

/// Sends a streaming request on a new connection and reads the answer.
pub fn stream(address: SocketAddr, request: &Request) -> Streamed {
    stream_with(address, request, KEY)
}

/// Sends a streaming request with the API key of another tenant.
pub fn stream_with(address: SocketAddr, request: &Request, key: &str) -> Streamed {
    let read_timeout = Duration::from_millis(request.deadline_ms);
    let Some(mut connection) = Connection::open(address, read_timeout) else {
        return Streamed::default();
    };
    if !connection.send(&request.bytes_with(key)) {
        return Streamed::default();
    }
    read_stream(&mut connection)
}

/// A configuration with routes of all kinds to `engines` and `counter`.
pub const CONFIGURATION: &str = r#"{"version":3,"routes":[
{"name":"review","host":"h.example","pathPrefix":"/review/","kind":"streaming","timeoutMs":14000,"targetLatencyMs":900,"priority":1,"service":"engines","maxAttempts":2,"resumable":true,"sticky":true,"gapTargetMs":300},
{"name":"lookup","host":"h.example","pathPrefix":"/lookup/","kind":"idempotent","timeoutMs":1000,"targetLatencyMs":100,"priority":2,"service":"counter","maxAttempts":2},
{"name":"export","host":"h.example","pathPrefix":"/export/","kind":"idempotent","timeoutMs":5000,"targetLatencyMs":1000,"priority":2,"service":"counter","maxAttempts":2},
{"name":"reserve","host":"h.example","pathPrefix":"/reserve/","kind":"non_idempotent","timeoutMs":1000,"targetLatencyMs":100,"priority":2,"service":"counter","maxAttempts":1}],
"services":[{"name":"engines","maxConnections":150,"engine":{"slots":12,"kvCapacity":71518,"stride":1,"kvHoldS":0.5,"roleSwitchS":6.0}},{"name":"counter","maxConnections":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000},
"tenants":[{"name":"nursery","apiKeys":["3d3zji9n73hh2b9wu3fe"],"plainTokens":200,"ratePerS":1000000,"burst":1000000}]}"#;

/// Publishes the configuration.
pub fn publish(store: &crate::store::Store) {
    store.put("keyed.op", "config", &CONFIGURATION.replace('\n', ""));
}

//! Stand-in of a model server or, without a stage, of a plain one, which follows the pages: it echoes ids, signs its answers, checks the expected
//! instance, and drops a request when its connection closes.

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, SystemTime};

use crate::http::{Head, answer};
use crate::record::Record;
use crate::store::Store;

/// Interval of the entries (`heartbeatMs`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time to the first event, and between events.
const FIRST_EVENT: Duration = Duration::from_millis(60);
const EVENT_INTERVAL: Duration = Duration::from_millis(49);
/// Time of a call to a plain server.
const CALL_TIME: Duration = Duration::from_millis(15);
/// Prompt tokens that are read in a millisecond.
const TOKENS_PER_MS: u64 = 55;
const SLOTS: u32 = 12;

/// What an engine is.
#[derive(Clone, Debug)]
pub struct Kind {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    /// Version of its software.
    pub version: &'static str,
    /// `None` for a plain server.
    pub stage: Option<&'static str>,
}

/// How an engine frames its streams, and whether it breaks some off.
#[derive(Debug, Default)]
pub struct Framing {
    /// Whether streams have neither a length nor chunks, and end with their connection.
    is_open: bool,
    /// Whether the engine breaks off one stream in [`BREAK_INTERVAL`] between two events.
    pub breaks: AtomicBool,
    streams: AtomicU64,
}

impl Framing {
    /// Streams that end with their connection.
    pub fn open() -> Self {
        Self {
            is_open: true,
            ..Self::default()
        }
    }
}

/// Streams between two that are broken off: 5 in 100.
const BREAK_INTERVAL: u64 = 20;

/// A running engine; clones share it.
#[derive(Clone)]
pub struct Engine {
    pub kind: Kind,
    address: SocketAddr,
    running: Arc<AtomicU32>,
    handles: Arc<AtomicU64>,
    pub framing: Arc<Framing>,
    record: Arc<Record>,
}

impl Engine {
    /// Starts an engine that registers itself in the store.
    pub fn start(
        kind: Kind,
        framing: Framing,
        address: Ipv4Addr,
        store: &Store,
        record: &Arc<Record>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((address, 0))?;
        let engine = Self {
            kind,
            address: listener.local_addr()?,
            running: Arc::default(),
            handles: Arc::default(),
            framing: Arc::new(framing),
            record: Arc::clone(record),
        };
        let shared = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = shared.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        let (shared, store) = (engine.clone(), store.clone());
        thread::spawn(move || shared.beat(&store));
        Ok(engine)
    }

    fn beat(&self, store: &Store) {
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let born = born.map_or(1, |time| time.as_millis());
        let Kind {
            id,
            service,
            zone,
            version,
            stage,
        } = &self.kind;
        let address = self.address;
        let stage = stage.map_or_else(String::new, |stage| format!("\"stage\":\"{stage}\","));
        for sequence in 1.. {
            let entry = format!(
                r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":{SLOTS},"state":"ready",{stage}"coldRemainingMs":0,"sequence":{sequence},"born":{born}}}"#
            );
            store.put("keyed.servers", id, &entry);
            thread::sleep(HEARTBEAT);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(head) = Head::read(&mut reader) {
            if head.body(&mut reader).is_none() {
                return;
            }
            let bytes = match self.respond(&head, &mut writer) {
                Some(bytes) => bytes,
                None => return,
            };
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    /// Header lines of every answer to a request.
    fn headers(&self, head: &Head) -> String {
        let id = head.header("request-id").unwrap_or_default();
        let id = if id.is_empty() {
            String::new()
        } else {
            format!("Request-Id: {id}\r\n")
        };
        let running = self.running.load(Ordering::SeqCst);
        format!("{id}Weight-Versions: 1\r\nServer-Load: {running},0,{SLOTS}\r\n")
    }

    /// The answer to a request; `None` when the connection ends.
    fn respond(&self, head: &Head, writer: &mut TcpStream) -> Option<Vec<u8>> {
        let expected = head.header("expect-instance");
        if expected.is_some_and(|id| id != self.kind.id) {
            return Some(answer("421 Misdirected Request", &self.headers(head), b""));
        }
        let json = "Content-Type: application/json\r\n";
        match (head.method(), head.path()) {
            ("GET", "/-/report") => Some(answer("200 OK", json, self.report().as_bytes())),
            ("GET", "/-/kv-list") => {
                let body = r#"{"epoch":1,"next":1,"held":[]}"#;
                Some(answer("200 OK", json, body.as_bytes()))
            }
            ("POST", "/-/order") => Some(answer("409 Conflict", "", b"")),
            ("DELETE", _) => Some(answer("200 OK", "", b"")),
            _ if head.header("request-id").is_none() => {
                Some(answer("400 Bad Request", "Not-Executed: 1\r\n", b""))
            }
            _ if self.kind.stage.is_none() => Some(self.call(head)),
            _ if head.header("stage") == Some("prefill") => Some(self.prefill(head)),
            _ => self.decode(head, writer),
        }
    }

    fn report(&self) -> String {
        let active = self.running.load(Ordering::SeqCst);
        let stage = self.kind.stage.unwrap_or_default();
        format!(
            r#"{{"stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":0,"queued":0,"active":{active},"kvUsed":0,"kvTotal":71518,"kvHandles":0}}"#
        )
    }

    /// The answer of a plain server.
    fn call(&self, head: &Head) -> Vec<u8> {
        thread::sleep(CALL_TIME);
        let headers = format!("{}Server-Stamp: {}\r\n", self.headers(head), self.kind.id);
        let id = head.header("request-id").unwrap_or_default();
        answer("200 OK", &headers, format!("{id} is reserved").as_bytes())
    }

    fn prefill(&self, head: &Head) -> Vec<u8> {
        let headers = self.headers(head);
        if self.kind.stage != Some("prefill") {
            return answer("421 Misdirected Request", &headers, b"");
        }
        let tokens = tokens(head).0;
        thread::sleep(Duration::from_millis(tokens / TOKENS_PER_MS));
        let number = self.handles.fetch_add(1, Ordering::SeqCst);
        let id = &self.kind.id;
        let body = format!(r#"{{"kvHandle":"{id}x{number}","tokens":{tokens},"version":1}}"#);
        let headers = format!("{headers}Content-Type: application/json\r\nServer-Stamp: {id}\r\n");
        answer("200 OK", &headers, body.as_bytes())
    }

    /// Streams the events after the last one that the caller has; `None` when the connection ends.
    fn decode(&self, head: &Head, writer: &mut TcpStream) -> Option<Vec<u8>> {
        let headers = self.headers(head);
        if self.kind.stage != Some("decode") {
            return Some(answer("421 Misdirected Request", &headers, b""));
        }
        if self.running.load(Ordering::SeqCst) >= SLOTS {
            return Some(answer(
                "503 Service Unavailable",
                &(headers + "Not-Executed: 1\r\n"),
                b"",
            ));
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        let streamed = self.stream(head, &headers, writer);
        self.running.fetch_sub(1, Ordering::SeqCst);
        streamed.map(|()| Vec::new())
    }

    fn stream(&self, head: &Head, headers: &str, writer: &mut TcpStream) -> Option<()> {
        let Kind { id, version, .. } = &self.kind;
        let request = head.header("request-id").unwrap_or_default();
        let after: u64 = head
            .header("last-event-id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        self.record.note(format!(
            "server {id} ({version}) runs request {request}, after event {after}"
        ));
        thread::sleep(FIRST_EVENT);
        let is_open = self.framing.is_open;
        let framing = if is_open {
            "Connection: close"
        } else {
            "Transfer-Encoding: chunked"
        };
        let start = format!(
            "HTTP/1.1 200 OK\r\n{headers}Server-Stamp: {id}\r\nContent-Type: text/event-stream\r\n{framing}\r\n\r\n"
        );
        writer.write_all(start.as_bytes()).ok()?;
        let last = tokens(head).1;
        let breaks_after = self.breaks_after(after, last);
        for event in after + 1..=last {
            let text = format!("id: {event}\ndata: {version} {id} {request}\n\n");
            let piece = if is_open {
                text
            } else {
                format!("{:x}\r\n{text}\r\n", text.len())
            };
            if writer.write_all(piece.as_bytes()).is_err() {
                self.record.note(format!(
                    "server {id} ({version}) drops request {request} before event {event}"
                ));
                return None;
            }
            if breaks_after == Some(event) {
                self.record.note(format!(
                    "server {id} breaks request {request} off after event {event} of {last}"
                ));
                return None;
            }
            thread::sleep(EVENT_INTERVAL);
        }
        self.record
            .note(format!("server {id} ({version}) ends request {request}"));
        if is_open {
            return None;
        }
        writer.write_all(b"0\r\n\r\n").ok()
    }

    /// Event after which this stream is broken off, if it is.
    fn breaks_after(&self, after: u64, last: u64) -> Option<u64> {
        if after > 0 || !self.framing.breaks.load(Ordering::SeqCst) {
            return None;
        }
        let number = self.framing.streams.fetch_add(1, Ordering::SeqCst);
        (number % BREAK_INTERVAL == BREAK_INTERVAL / 2).then_some(last / 2)
    }
}

/// Prompt tokens and output tokens of a request.
fn tokens(head: &Head) -> (u64, u64) {
    let stated = head
        .header("token-count")
        .and_then(|text| text.split_once(','));
    let number = |text: &str| text.trim().parse().unwrap_or(0);
    stated.map_or((0, 0), |(prompt, output)| (number(prompt), number(output)))
}

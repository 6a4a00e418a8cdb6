//! Stand-ins of model engines and plain services, and their entries in the store.

use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, answer, is_closed};
use crate::record::Record;
use crate::store::Store;

/// Check-in interval of the servers.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Duration of a change of stage.
const STAGE_CHANGE: Duration = Duration::from_secs(6);
/// Prompt tokens that an engine reads in a millisecond.
const PROMPT_TOKENS_PER_MS: u64 = 55;

/// What a server is and does.
#[derive(Clone, Debug)]
pub struct Properties {
    pub id: String,
    pub service: String,
    /// `prefill` or `decode`; `None` for a plain service.
    pub stage: Option<String>,
    /// Version of its software.
    pub version: String,
    pub slots: u32,
    /// Time of a plain call, or between the events of a stream.
    pub work: Duration,
    /// Size of a plain answer in bytes.
    pub answer_bytes: usize,
    /// Requests a second that it takes from all hosts together.
    pub limit: Option<f64>,
    /// Whether its streams have neither a length nor chunks, and are followed by a second copy of the
    /// answer.
    pub is_faulty: bool,
}

impl Properties {
    pub fn service(id: &str, service: &str) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            stage: None,
            version: "v1".to_owned(),
            slots: 6,
            work: Duration::from_millis(15),
            answer_bytes: 800,
            limit: None,
            is_faulty: false,
        }
    }

    pub fn engine(id: &str, stage: &str, version: &str) -> Self {
        Self {
            stage: Some(stage.to_owned()),
            version: version.to_owned(),
            slots: 12,
            work: Duration::from_millis(49),
            ..Self::service(id, "engines")
        }
    }
}

/// An arrival of a request, in the order of time.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub has_run: bool,
}

/// A running server; clones share it.
#[derive(Clone, Debug)]
pub struct Server {
    pub properties: Properties,
    pub address: SocketAddr,
    store: Store,
    record: Record,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    running: Arc<AtomicU32>,
    stage: Arc<Mutex<Option<String>>>,
    is_changing: Arc<AtomicBool>,
    highest_token: Arc<AtomicU64>,
    orders: Arc<AtomicU64>,
    sequence: Arc<AtomicU64>,
    handles: Arc<AtomicU64>,
    born: u64,
}

/// Takes a slot until dropped.
struct Slot(Arc<AtomicU32>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Server {
    /// Starts a server and registers it.
    pub fn start(address: IpAddr, properties: Properties, store: &Store, record: &Record) -> Self {
        let listener = TcpListener::bind((address, 0)).expect("a port is free");
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let server = Self {
            address: listener.local_addr().expect("the listener has an address"),
            stage: Arc::new(Mutex::new(properties.stage.clone())),
            properties,
            store: store.clone(),
            record: record.clone(),
            arrivals: Arc::default(),
            running: Arc::default(),
            is_changing: Arc::default(),
            highest_token: Arc::default(),
            orders: Arc::default(),
            sequence: Arc::default(),
            handles: Arc::default(),
            born: born.map_or(1, |since| since.as_millis() as u64),
        };
        let shared = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        let shared = server.clone();
        thread::spawn(move || {
            loop {
                shared.register();
                thread::sleep(HEARTBEAT);
            }
        });
        server
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("no writer panics").clone()
    }

    /// Arrivals of requests that the server ran.
    pub fn runs(&self) -> Vec<Arrival> {
        let mut arrivals = self.arrivals();
        arrivals.retain(|arrival| arrival.has_run);
        arrivals
    }

    fn stage(&self) -> Option<String> {
        self.stage.lock().expect("no writer panics").clone()
    }

    fn register(&self) {
        let Properties {
            id,
            service,
            version,
            slots,
            ..
        } = &self.properties;
        let stage = self.stage().map(|stage| {
            format!(r#""stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}],"#)
        });
        let stage = stage.unwrap_or_default();
        let (address, born) = (self.address, self.born);
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"north","version":"{version}","slots":{slots},"state":"ready",{stage}"coldRemainingMs":0,"sequence":{sequence},"born":{born}}}"#
        );
        self.store.put("keyed.servers", id, &entry);
    }

    fn serve(&self, stream: TcpStream) {
        // Latency only.
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = Request::read(&mut reader) {
            if !self.handle(&request, &writer) {
                return;
            }
        }
    }

    /// Header lines of all answers to a request.
    fn head(&self, request: &Request) -> String {
        let id = request.header("request-id").unwrap_or_default();
        let load = self.running.load(Ordering::SeqCst);
        let slots = self.properties.slots;
        let mut head = format!("Request-Id: {id}\r\nServer-Load: {load},0,{slots}\r\n");
        if let Some(limit) = self.properties.limit {
            head += &format!("Server-Limit: {limit}\r\n");
        }
        head
    }

    fn note(&self, request: &Request, has_run: bool, what: &str) {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let server = &self.properties.id;
        let (method, target) = (&request.method, &request.target);
        self.record
            .line(&format!("{server}: {method} {target} request {id}: {what}"));
        self.arrivals
            .lock()
            .expect("no writer panics")
            .push(Arrival {
                at: Instant::now(),
                id,
                has_run,
            });
    }

    fn refuse(&self, request: &Request, mut writer: &TcpStream, status: &str, why: &str) -> bool {
        self.note(request, false, why);
        let head = self.head(request) + "Not-Executed: 1\r\n";
        writer.write_all(&answer(status, &head, b"")).is_ok()
    }

    /// Handles a request; returns whether the connection stays open.
    fn handle(&self, request: &Request, mut writer: &TcpStream) -> bool {
        let expected = request.header("expect-instance");
        if expected.is_some_and(|id| id != self.properties.id) {
            return self.refuse(request, writer, "421 Misdirected Request", "another server");
        }
        match (request.method.as_str(), request.path()) {
            ("POST", "/-/order") => {
                let status = self.order(request);
                self.record.line(&format!(
                    "{}: order {}: {status}",
                    self.properties.id,
                    String::from_utf8_lossy(&request.body)
                ));
                return writer.write_all(&answer(status, "", b"{}")).is_ok();
            }
            ("GET", "/-/kv-list") => {
                let body = br#"{"epoch":1,"next":0,"held":[]}"#;
                return writer.write_all(&answer("200 OK", "", body)).is_ok();
            }
            ("DELETE", _) if request.path().starts_with("/-/kv-handle/") => {
                return writer.write_all(&answer("200 OK", "", b"{}")).is_ok();
            }
            _ => {}
        }
        let running = self.running.fetch_add(1, Ordering::SeqCst);
        let _slot = Slot(Arc::clone(&self.running));
        if self.is_changing.load(Ordering::SeqCst) {
            return self.refuse(
                request,
                writer,
                "503 Service Unavailable",
                "changes its stage",
            );
        }
        if running >= self.properties.slots {
            return self.refuse(request, writer, "503 Service Unavailable", "full");
        }
        let is_prefill = request.header("stage") == Some("prefill");
        match self.stage().as_deref() {
            None => self.answer_call(request, writer),
            Some("prefill") if is_prefill => self.prefill(request, writer),
            Some("decode") if !is_prefill => self.stream(request, writer),
            Some(_) => self.refuse(request, writer, "421 Misdirected Request", "wrong stage"),
        }
    }

    fn order(&self, request: &Request) -> &'static str {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let token = body.split(r#""fencingToken":"#).nth(1).and_then(|rest| {
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().ok()
        });
        let stage = ["prefill", "decode"]
            .into_iter()
            .find(|stage| body.contains(&format!(r#""stage":"{stage}""#)));
        let (Some(token), Some(stage)) = (token, stage) else {
            return "400 Bad Request";
        };
        if token < self.highest_token.fetch_max(token, Ordering::SeqCst) {
            return "412 Precondition Failed";
        }
        if self.stage().as_deref() == Some(stage) {
            return "200 OK";
        }
        if self.is_changing.swap(true, Ordering::SeqCst) {
            return "409 Conflict";
        }
        self.orders.fetch_add(1, Ordering::SeqCst);
        let shared = self.clone();
        thread::spawn(move || {
            while shared.running.load(Ordering::SeqCst) > 0 {
                thread::sleep(Duration::from_millis(10));
            }
            thread::sleep(STAGE_CHANGE);
            *shared.stage.lock().expect("no writer panics") = Some(stage.to_owned());
            shared.is_changing.store(false, Ordering::SeqCst);
            shared.register();
        });
        "202 Accepted"
    }

    fn answer_call(&self, request: &Request, mut writer: &TcpStream) -> bool {
        self.note(request, true, "runs");
        thread::sleep(self.properties.work);
        let head = self.head(request) + &format!("Server-Stamp: {}\r\n", self.properties.id);
        let body = vec![b'a'; self.properties.answer_bytes];
        writer.write_all(&answer("200 OK", &head, &body)).is_ok()
    }

    fn prefill(&self, request: &Request, mut writer: &TcpStream) -> bool {
        self.note(request, false, "reads the prompt");
        let (prompt, _) = token_count(request);
        thread::sleep(Duration::from_millis(prompt / PROMPT_TOKENS_PER_MS));
        let handle = self.handles.fetch_add(1, Ordering::SeqCst);
        let body = format!(r#"{{"kvHandle":"{handle:012x}","tokens":{prompt},"version":1}}"#);
        let bytes = answer("200 OK", &self.head(request), body.as_bytes());
        writer.write_all(&bytes).is_ok()
    }

    fn stream(&self, request: &Request, mut writer: &TcpStream) -> bool {
        let (_, total) = token_count(request);
        let after = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok());
        let first = after.unwrap_or(0) + 1;
        self.note(request, true, &format!("runs from event {first}"));
        let framing = if self.properties.is_faulty {
            "Connection: close\r\n"
        } else {
            "Transfer-Encoding: chunked\r\n"
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}Server-Stamp: {}\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\n{framing}\r\n",
            self.head(request),
            self.properties.id
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in first..=total {
            thread::sleep(self.properties.work);
            if is_closed(writer) {
                let id = request.header("request-id").unwrap_or_default();
                self.record.line(&format!(
                    "{}: request {id}: its connection was closed before event {number}",
                    self.properties.id
                ));
                return false;
            }
            let event = event(&self.properties.id, number);
            let bytes = if !self.properties.is_faulty {
                format!("{:x}\r\n{event}\r\n", event.len())
            } else if number == total {
                // The additional bytes after the complete answer: a second copy of it.
                let copy: String = (first..=total)
                    .map(|number| self::event(&self.properties.id, number))
                    .collect();
                event + &head + &copy
            } else {
                event
            };
            if writer.write_all(bytes.as_bytes()).is_err() {
                return false;
            }
        }
        if self.properties.is_faulty {
            return false;
        }
        writer.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// An event of a stream.
fn event(server: &str, number: u64) -> String {
    format!("id: {number}\ndata: piece {number} by {server}\n\n")
}

/// Prompt tokens and the most output tokens of a request.
fn token_count(request: &Request) -> (u64, u64) {
    let counts = request.header("token-count").unwrap_or("100,10");
    let (prompt, output) = counts.split_once(',').unwrap_or((counts, "10"));
    (prompt.parse().unwrap_or(100), output.parse().unwrap_or(10))
}

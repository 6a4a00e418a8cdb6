//! Stand-in of the platform's store: topics of one partition each.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, answer};

const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time of an append, as the sheets give it.
const APPEND_TIME: Duration = Duration::from_millis(4);

/// Records of a topic.
#[derive(Debug, Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    /// Newest value of each key, for keyed topics.
    newest: Vec<(String, Vec<u8>, u64)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    fn push(&mut self, keyed: bool, record: Vec<u8>) {
        let offset = self.end();
        if keyed && !record.is_empty() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            let value = record[length + 1..].to_vec();
            self.newest.retain(|(known, _, _)| *known != key);
            if !value.is_empty() {
                self.newest.push((key, value, offset));
            }
        }
        self.records.push(record);
    }
}

/// The store; clones share its topics.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<Mutex<HashMap<String, Topic>>>,
    is_down: Arc<AtomicBool>,
    is_silent: Arc<AtomicBool>,
}

impl Store {
    pub fn start(address: IpAddr) -> Self {
        let listener = TcpListener::bind((address, 0)).expect("a port is free");
        let store = Self {
            address: listener.local_addr().expect("the listener has an address"),
            topics: Arc::default(),
            is_down: Arc::default(),
            is_silent: Arc::default(),
        };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        store
    }

    /// Appends a keyed record, as the operator and the servers do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut topics = self.topics.lock().expect("no writer panics");
        topics
            .entry(topic.to_owned())
            .or_default()
            .push(true, record);
    }

    /// Starts an outage, in which no call is answered and nothing is done, or ends it. Calls that it has
    /// met are not answered later either.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::SeqCst);
    }

    /// Starts an outage, in which every call gets 503 and nothing is done, or ends it.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        // A failure only delays answers.
        let _ = writer.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(request) = Request::read(&mut reader) {
            // A channel whose answer is lost returns nothing further.
            if self.is_silent.load(Ordering::SeqCst) {
                continue_reading(reader);
                return;
            }
            let bytes = self.call(&request);
            if self.is_silent.load(Ordering::SeqCst) {
                continue_reading(reader);
                return;
            }
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    fn call(&self, request: &Request) -> Vec<u8> {
        if self.is_down() {
            return reply("503 Service Unavailable", b"");
        }
        let topic = request.query("topic").unwrap_or_default().to_owned();
        match request.path() {
            "/-/log-newest" => self.newest(&topic, request.query("after")),
            "/-/log-read" => self.read(&topic, request),
            "/-/log-append" => self.append(&topic, request),
            _ => reply("404 Not Found", b""),
        }
    }

    fn newest(&self, topic: &str, after: Option<&str>) -> Vec<u8> {
        let mut topics = self.topics.lock().expect("no writer panics");
        let topic = topics.entry(topic.to_owned()).or_default();
        // One page holds all keys of a case.
        let items: Vec<String> = topic
            .newest
            .iter()
            .filter(|_| after.is_none())
            .map(|(key, value, offset)| {
                let value = base64(value);
                format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
            })
            .collect();
        let (items, end) = (items.join(","), topic.end());
        let body = format!(r#"{{"items":[{items}],"hasMore":false,"endOffset":{end}}}"#);
        reply("200 OK", body.as_bytes())
    }

    fn read(&self, topic: &str, request: &Request) -> Vec<u8> {
        let from = request.number("from").unwrap_or(0);
        let wait = Duration::from_millis(request.number("waitMs").unwrap_or(0));
        let started = Instant::now();
        loop {
            if self.is_down() {
                return reply("503 Service Unavailable", b"");
            }
            {
                let mut topics = self.topics.lock().expect("no writer panics");
                let topic = topics.entry(topic.to_owned()).or_default();
                if from > topic.end() {
                    return reply("410 Gone", br#"{"first":0}"#);
                }
                if topic.end() > from || started.elapsed() >= wait {
                    let mut body = topic.end().to_be_bytes().to_vec();
                    body.extend_from_slice(&0_u64.to_be_bytes());
                    for record in topic.records.iter().skip(from as usize) {
                        body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                        body.extend_from_slice(record);
                    }
                    return reply("200 OK", &body);
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn append(&self, name: &str, request: &Request) -> Vec<u8> {
        if name == "keyed.op" || name == "keyed.servers" {
            return reply("403 Forbidden", b"");
        }
        thread::sleep(APPEND_TIME);
        let mut topics = self.topics.lock().expect("no writer panics");
        let topic = topics.entry(name.to_owned()).or_default();
        let offset = topic.end();
        if request.number("at").is_some_and(|at| at != offset) {
            let body = format!(r#"{{"endOffset":{offset}}}"#);
            return reply("412 Precondition Failed", body.as_bytes());
        }
        let mut rest = request.body.as_slice();
        while let Some((length, content)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            if content.len() < length {
                return reply("400 Bad Request", b"");
            }
            topic.push(name.starts_with("keyed."), content[..length].to_vec());
            rest = &content[length..];
        }
        let body = format!(r#"{{"offset":{offset},"endOffset":{}}}"#, topic.end());
        reply("200 OK", body.as_bytes())
    }
}

/// Reads a connection to its end without an answer.
fn continue_reading(mut reader: BufReader<TcpStream>) {
    // The peer closes it in the end.
    let _ = std::io::copy(&mut reader, &mut std::io::sink());
}

/// An answer of the store, which was never restored.
fn reply(status: &str, body: &[u8]) -> Vec<u8> {
    answer(status, "Store-Era: 0\r\n", body)
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            if index > group.len() {
                text.push('=');
            } else {
                let digit = bits >> (18 - 6 * index) & 0x3f;
                text.push(char::from(ALPHABET[digit as usize]));
            }
        }
    }
    text
}

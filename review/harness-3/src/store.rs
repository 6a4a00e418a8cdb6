//! Stand-in of the platform's store: an append-only log with topics of one partition each.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, answer};

/// Time of an append, as the pages state it.
const APPEND_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Topics {
    records: HashMap<String, Vec<Vec<u8>>>,
}

/// The store; clones share the records.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    pub fn start(address: Ipv4Addr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((address, 0))?;
        let store = Self {
            address: listener.local_addr()?,
            topics: Arc::default(),
        };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Appends a record with a key, as the operator and the servers do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        // Without a condition an append does not fail.
        let _ = self.append(topic, vec![record], None);
    }

    /// Appends records if the topic ends at `at`; the offset of the first one, or the end.
    fn append(&self, topic: &str, records: Vec<Vec<u8>>, at: Option<u64>) -> Result<u64, u64> {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().expect("mutex is not poisoned");
        let known = topics.records.entry(topic.to_owned()).or_default();
        let end = known.len() as u64;
        if at.is_some_and(|at| at != end) {
            return Err(end);
        }
        known.extend(records);
        changed.notify_all();
        Ok(end)
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(head) = Head::read(&mut reader) {
            let Some(body) = head.body(&mut reader) else {
                return;
            };
            let bytes = match head.path() {
                "/-/log-append" => self.answer_append(&head, &body),
                "/-/log-read" => self.answer_read(&head),
                "/-/log-newest" => self.answer_newest(&head),
                _ => answer("404 Not Found", "", b""),
            };
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer_append(&self, head: &Head, mut body: &[u8]) -> Vec<u8> {
        let mut records = Vec::new();
        while let Some((length, rest)) = body.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let Some((record, rest)) = rest.split_at_checked(length) else {
                return answer("400 Bad Request", "", b"");
            };
            records.push(record.to_vec());
            body = rest;
        }
        thread::sleep(APPEND_TIME);
        let at = head.query("at").and_then(|at| at.parse().ok());
        let count = records.len() as u64;
        match self.append(head.query("topic").unwrap_or_default(), records, at) {
            Ok(offset) => {
                let end = offset + count;
                json(
                    "200 OK",
                    &format!(r#"{{"offset":{offset},"endOffset":{end}}}"#),
                )
            }
            Err(end) => json(
                "412 Precondition Failed",
                &format!(r#"{{"endOffset":{end}}}"#),
            ),
        }
    }

    fn answer_read(&self, head: &Head) -> Vec<u8> {
        let topic = head.query("topic").unwrap_or_default();
        let from = head.number("from") as usize;
        let until = Instant::now() + Duration::from_millis(head.number("waitMs"));
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().expect("mutex is not poisoned");
        loop {
            let records = topics.records.get(topic).map_or(&[][..], Vec::as_slice);
            if from > records.len() {
                return json("410 Gone", r#"{"first":0}"#);
            }
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in &records[from..] {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return answer("200 OK", "Store-Era: 0\r\n", &body);
            }
            let waited = changed.wait_timeout(topics, left);
            topics = waited.expect("mutex is not poisoned").0;
        }
    }

    fn answer_newest(&self, head: &Head) -> Vec<u8> {
        let topics = self.topics.0.lock().expect("mutex is not poisoned");
        let topic = head.query("topic").unwrap_or_default();
        let records = topics.records.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            let value = &record[length + 1..];
            if value.is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, value));
            }
        }
        let items: Vec<String> = newest
            .iter()
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        json(
            "200 OK",
            &format!(r#"{{"items":[{items}],"hasMore":false,"endOffset":{end}}}"#),
        )
    }
}

fn json(status: &str, body: &str) -> Vec<u8> {
    let headers = "Store-Era: 0\r\nContent-Type: application/json\r\n";
    answer(status, headers, body.as_bytes())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let bits = (0..3).fold(0_u32, |bits, index| {
            bits << 8 | u32::from(chunk.get(index).copied().unwrap_or(0))
        });
        for index in 0..4 {
            if index > chunk.len() {
                text.push('=');
            } else {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * index) & 63) as usize]));
            }
        }
    }
    text
}

//! Stand-in of a client that reads a stream, and takes it up at another host after a broken channel.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, line};
use crate::record::Record;

/// Time limit of a client.
const TIME_LIMIT: Duration = Duration::from_secs(14);
/// Gap after which a client abandons a stream: four times the objective.
const STALL: Duration = Duration::from_millis(3_600);
/// Client attempts.
const ATTEMPTS: usize = 4;

/// A request for a stream.
#[derive(Clone)]
pub struct Request {
    pub id: String,
    pub key: &'static str,
    /// Hosts of the attempts in turn.
    pub hosts: Vec<SocketAddr>,
    /// Largest number of events.
    pub output: u64,
}

/// What a client has got.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Software versions of the events, in their order without repeats.
    pub versions: Vec<String>,
    pub last: u64,
    pub is_complete: bool,
}

enum End {
    Complete,
    Broken,
    Refused(Duration),
}

/// Sends a request and reads its events over all attempts.
pub fn run(request: &Request, record: &Record) -> Outcome {
    let started = Instant::now();
    let mut outcome = Outcome::default();
    let mut began: Option<String> = None;
    for attempt in 0..ATTEMPTS {
        let left = TIME_LIMIT.saturating_sub(started.elapsed());
        let id = format!("{}{attempt:x}", request.id);
        let host = request.hosts[attempt.min(request.hosts.len() - 1)];
        record.note(format!(
            "client sends request {id} to {host}, after event {} of {}",
            outcome.last,
            began.as_deref().unwrap_or("none")
        ));
        let end = try_once(request, &id, host, left, &mut began, &mut outcome, record);
        match end {
            End::Complete => {
                outcome.is_complete = true;
                record.note(format!(
                    "client has the whole answer to {id}: {} events of {:?}",
                    outcome.last, outcome.versions
                ));
                return outcome;
            }
            End::Broken => record.note(format!(
                "channel of request {id} breaks after event {} of {:?}",
                outcome.last, outcome.versions
            )),
            End::Refused(pause) => {
                record.note(format!("request {id} is refused"));
                thread::sleep(pause);
            }
        }
    }
    outcome
}

fn try_once(
    request: &Request,
    id: &str,
    host: SocketAddr,
    left: Duration,
    began: &mut Option<String>,
    outcome: &mut Outcome,
    record: &Record,
) -> End {
    let Ok(mut stream) = TcpStream::connect_timeout(&host, Duration::from_secs(1)) else {
        return End::Broken;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(STALL.min(left).max(Duration::from_millis(1))));
    let resumes = began.as_ref().map_or_else(String::new, |began| {
        format!("Last-Event-Id: {}\r\nResumes: {began}\r\n", outcome.last)
    });
    let prompt = "{\"prompt\":\"dossier\"}";
    let text = format!(
        "POST /lector/review HTTP/1.1\r\nHost: registro.example\r\nRequest-Id: {id}\r\n{resumes}Model: m\r\nToken-Count: 1460,{}\r\nPrefix-Hash: 5c1e07a2:200,{}:1260\r\nDeadline-Ms: {}\r\nAuthorization: Bearer {}\r\nContent-Length: {}\r\n\r\n{prompt}",
        request.output,
        request.id,
        left.as_millis(),
        request.key,
        prompt.len()
    );
    if stream.write_all(text.as_bytes()).is_err() {
        return End::Broken;
    }
    let mut reader = BufReader::new(stream);
    let Some(head) = Head::read(&mut reader) else {
        return End::Broken;
    };
    if head.status() != 200 {
        let after = head
            .header("retry-after")
            .and_then(|text| text.parse().ok());
        record.note(format!("request {id} gets status {}", head.status()));
        let after = Duration::from_secs_f64(after.unwrap_or(0.1));
        return End::Refused(after.min(left / 3));
    }
    let mut text = String::new();
    loop {
        let Some(length) = line(&mut reader) else {
            return End::Broken;
        };
        let Ok(length) = usize::from_str_radix(&length, 16) else {
            return End::Broken;
        };
        let mut chunk = vec![0; length + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return End::Broken;
        }
        if length == 0 {
            return End::Complete;
        }
        text.push_str(&String::from_utf8_lossy(&chunk[..length]));
        while let Some((event, rest)) = text.split_once("\n\n") {
            take(event, id, began, outcome);
            text = rest.to_owned();
        }
    }
}

/// Takes an event: its id, and the version of the software that wrote it.
fn take(event: &str, id: &str, began: &mut Option<String>, outcome: &mut Outcome) {
    let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
    let number = field("id: ").and_then(|text| text.trim().parse().ok());
    let version = field("data: ").and_then(|text| text.split(' ').next());
    let (Some(number), Some(version)) = (number, version) else {
        return;
    };
    outcome.last = number;
    if outcome.versions.last().is_none_or(|last| last != version) {
        outcome.versions.push(version.to_owned());
    }
    began.get_or_insert_with(|| id.to_owned());
}

//! Minimal stand-in for the platform's log and for coordinators, and a runner of the built binary.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};

use actix_web::{App, HttpResponse, HttpServer, web};
use berylknot_border::platform::{AppendRequest, AppendResponse, LogEntry, ReadResponse};
use berylknot_coordination::record::{Id, Incarnation, Publish, Record};
use berylknot_coordination::replica::Replica;
use berylknot_wire::entry;
use serde_json::{Value, json};

/// Fault that the stand-in injects into the next appends.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Fault {
    #[default]
    None,
    /// Stores the entry and breaks the connection in the middle of the answer.
    AnswerLost,
    /// Breaks the connection without storing the entry, for one append.
    AppendLostOnce,
    /// Breaks the connection without storing the entry, for every append.
    AppendLost,
    /// Breaks the connection before the last byte of a page of entries.
    PageCut,
    /// Sends a page without entries, as if none were left, though the log has more.
    PageWithheld,
    /// Refuses with a client error.
    Refused,
    /// Stores another operator's publish on the same base first, for one append.
    RacedOnce,
}

#[derive(Debug, Default)]
struct State {
    entries: Vec<LogEntry>,
    fault: Fault,
    appends: usize,
    oldest_offset: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Platform {
    state: Arc<Mutex<State>>,
    pub(crate) address: String,
}

impl Platform {
    /// Starts the stand-in on a free port, in a thread that ends with the test process.
    pub(crate) fn start() -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = state.clone();
        let (sender, receiver) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            actix_web::rt::System::new().block_on(async move {
                let server = HttpServer::new(move || {
                    App::new()
                        .app_data(web::Data::new(shared.clone()))
                        .app_data(web::JsonConfig::default().limit(16 << 20))
                        .route("/log/read", web::get().to(read))
                        .route("/log/append", web::post().to(append))
                        .route("/{host}/status", web::get().to(status))
                })
                .workers(1)
                .disable_signals()
                .bind("127.0.0.1:0")
                .unwrap();
                sender.send(server.addrs()[0].to_string()).unwrap();
                server.run().await.unwrap();
            });
        });
        let address = receiver.recv().unwrap();
        Self { state, address }
    }

    pub(crate) fn inject(&self, fault: Fault) {
        self.state.lock().unwrap().fault = fault;
    }

    /// Stores entries that this system cannot decode.
    pub(crate) fn store_foreign(&self, count: usize, bytes: usize) {
        for _ in 0..count {
            self.state.lock().unwrap().store("-".repeat(bytes));
        }
    }

    /// Expires the entries before an offset, as the log's retention does.
    pub(crate) fn expire_before(&self, offset: u64) {
        self.state.lock().unwrap().oldest_offset = offset;
    }

    pub(crate) fn appends(&self) -> usize {
        self.state.lock().unwrap().appends
    }

    pub(crate) fn entries(&self) -> usize {
        self.state.lock().unwrap().entries.len()
    }

    /// Runs the built binary against this platform.
    pub(crate) fn run(&self, arguments: &[&str]) -> Output {
        let mut all = vec!["--platform", &self.address];
        all.extend(arguments);
        run(&all)
    }

    /// Runs the built binary with `--json` and returns its exit code and output.
    pub(crate) fn json(&self, arguments: &[&str]) -> (i32, Value) {
        let mut all = vec!["--json"];
        all.extend(arguments);
        let output = self.run(&all);
        let value = serde_json::from_slice(&output.stdout)
            .unwrap_or_else(|error| panic!("{error}: {output:?}"));
        (output.status.code().unwrap(), value)
    }
}

impl State {
    fn store(&mut self, data: String) -> u64 {
        let offset = self.entries.len() as u64 + 1;
        self.entries.push(LogEntry {
            offset,
            appended_at_ms: 1_000 * offset,
            data,
        });
        offset
    }

    /// State that a coordinator derives from the log.
    fn replica(&self) -> Replica {
        let mut replica = Replica::default();
        for entry in &self.entries {
            replica.apply(&entry::decode(entry).unwrap());
        }
        replica
    }

    /// Stores another operator's publish on the version in force, which adds the customer `rival`.
    fn publish_concurrently(&mut self) {
        let replica = self.replica();
        let in_force = replica.configuration().accepted().unwrap();
        let mut document: Value = serde_json::from_str(&in_force.document).unwrap();
        document["customers"]["rival"] = json!({ "rate": 90, "burst": 900 });
        let id = Id {
            incarnation: Incarnation(1),
            sequence: 1,
        };
        let publish = Publish {
            id,
            base_version: in_force.version,
            document: document.to_string(),
        };
        let request = entry::encode(&[Record::Publish(publish)]).unwrap();
        self.store(request.data);
    }
}

#[derive(serde::Deserialize)]
struct Range {
    from: u64,
    limit: usize,
}

async fn read(state: web::Data<Arc<Mutex<State>>>, range: web::Query<Range>) -> HttpResponse {
    let state = state.lock().unwrap();
    let wanted = state
        .entries
        .iter()
        .filter(|entry| entry.offset >= range.from.max(state.oldest_offset));
    let count = match state.fault {
        Fault::PageWithheld => 0,
        _ => range.limit.min(3),
    };
    let page = ReadResponse {
        entries: wanted.take(count).cloned().collect(),
        next: state.entries.len() as u64 + 1,
        oldest: state.oldest_offset.max(1),
    };
    if state.fault == Fault::PageCut {
        let mut page = serde_json::to_vec(&page).unwrap();
        page.pop();
        return break_off(page);
    }
    HttpResponse::Ok().json(page)
}

async fn append(
    state: web::Data<Arc<Mutex<State>>>,
    request: web::Json<AppendRequest>,
) -> HttpResponse {
    let mut state = state.lock().unwrap();
    state.appends += 1;
    let fault = state.fault;
    if fault == Fault::Refused {
        return HttpResponse::TooManyRequests().finish();
    }
    if fault == Fault::AppendLostOnce {
        state.fault = Fault::None;
    }
    if matches!(fault, Fault::AppendLostOnce | Fault::AppendLost) {
        return broken_answer();
    }
    if fault == Fault::RacedOnce {
        state.fault = Fault::None;
        state.publish_concurrently();
    }
    let offset = state.store(request.into_inner().data);
    if fault == Fault::AnswerLost {
        return broken_answer();
    }
    HttpResponse::Ok().json(AppendResponse { offset })
}

/// Answer that ends in the middle of its body, followed by a closed connection.
fn broken_answer() -> HttpResponse {
    break_off(b"{".to_vec())
}

/// Answer whose connection is closed after these bytes of its body.
fn break_off(body: Vec<u8>) -> HttpResponse {
    let parts = vec![
        Ok(bytes::Bytes::from(body)),
        Err(std::io::Error::other("cut")),
    ];
    HttpResponse::Ok().streaming(futures_util::stream::iter(parts))
}

/// Status of a coordinator: the host `late` has no version yet, any other is up to date.
async fn status(state: web::Data<Arc<Mutex<State>>>, host: web::Path<String>) -> HttpResponse {
    let host = host.into_inner();
    let version = match host.as_str() {
        "late" => 0,
        _ => state
            .lock()
            .unwrap()
            .replica()
            .configuration()
            .version()
            .as_u64(),
    };
    HttpResponse::Ok().json(json!({ "host": host, "version": version, "age_ms": 5, "ready": true }))
}

/// Runs the built binary in an empty folder, so that it finds no settings file there.
pub(crate) fn run(arguments: &[&str]) -> Output {
    let folder = tempfile::tempdir().unwrap();
    Command::new(env!("CARGO_BIN_EXE_berylknot"))
        .args(arguments)
        .current_dir(folder.path())
        .output()
        .unwrap()
}

pub(crate) fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

/// Copies the sample settings of the atelier into a temporary folder that the test may change.
pub(crate) fn sample() -> (tempfile::TempDir, PathBuf) {
    let guard = tempfile::tempdir().unwrap();
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../sample_configs/atelier");
    for file in std::fs::read_dir(source).unwrap() {
        let file = file.unwrap();
        std::fs::copy(file.path(), guard.path().join(file.file_name())).unwrap();
    }
    let path = guard.path().to_path_buf();
    (guard, path)
}

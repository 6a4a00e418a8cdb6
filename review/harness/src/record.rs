//! Record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writer of `record.txt`; clones share it.
#[derive(Clone, Debug)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(folder.join("record.txt"))?)),
        })
    }

    /// Milliseconds since the start.
    pub fn millis(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line with the time.
    pub fn line(&self, text: &str) {
        let millis = self.millis();
        let mut file = self.file.lock().expect("no writer panics");
        let line = format!("{:>7}.{:03} s  {text}\n", millis / 1_000, millis % 1_000);
        file.write_all(line.as_bytes())
            .expect("the record is writable");
    }
}

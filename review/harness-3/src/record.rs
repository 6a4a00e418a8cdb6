//! What a case has seen, in the order of time.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// The file `record.txt` of a case.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Adds a line with the time since the start.
    pub fn note(&self, line: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("mutex is not poisoned");
        // The record is for the reader; a case does not depend on it.
        let _ = writeln!(file, "{at:8.3} {}", line.as_ref());
    }
}

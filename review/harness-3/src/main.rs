//! Cases of the third independent review: `review-3 CASE FOLDER`, from the root of the repository. Exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run.

mod client;
mod crowd;
mod daemon;
mod engine;
mod http;
mod mixed;
mod record;
mod store;
mod unproven;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use record::Record;

/// Result of a case: whether the rule held.
pub type Result = std::result::Result<bool, Box<dyn std::error::Error>>;

/// Disruptions that a case brings about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// All but the first one.
    Rest,
    All,
}

/// Polls a condition until it holds.
pub fn wait_until(
    what: &str,
    timeout: Duration,
    mut condition: impl FnMut() -> bool,
) -> std::result::Result<(), String> {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() > timeout {
            return Err(format!("timed out waiting for {what}"));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Plays a case with a temporary folder for settings and logs, which `KEEP_LOGS` leaves there.
pub fn in_folder(name: &str, play: impl FnOnce(&Path) -> Result) -> Result {
    let folder = std::env::temp_dir().join(format!("review-3-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let held = play(&folder);
    if std::env::var_os("KEEP_LOGS").is_none() {
        std::fs::remove_dir_all(&folder)?;
    }
    held
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = match std::env::var("TROUBLE").as_deref() {
        Ok("0") => Trouble::None,
        Ok("rest") => Trouble::Rest,
        _ => Trouble::All,
    };
    let run = || -> Result {
        let record = Arc::new(Record::create(&PathBuf::from(folder).join("record.txt"))?);
        record.note(format!("case {case}, trouble: {trouble:?}"));
        let held = match case.as_str() {
            "unproven" => unproven::run(&record, trouble)?,
            "room" => crowd::room(&record, trouble)?,
            "mixed" => mixed::run(&record, trouble)?,
            _ => return Err("no such case".into()),
        };
        record.note(if held {
            "the rule held"
        } else {
            "the rule was broken"
        });
        Ok(held)
    };
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

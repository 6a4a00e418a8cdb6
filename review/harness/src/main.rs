//! Cases of the review: each starts daemons, stand-ins and clients, and judges what they have seen.

mod cases;
mod client;
mod daemon;
mod http;
mod record;
mod server;
mod store;

use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

use crate::cases::{Setup, Verdict};
use crate::record::Record;

const BROKEN: i32 = 1;
const HELD: i32 = 0;
const NOT_RUN: i32 = 2;
/// Time after which a case is given up.
const CASE_TIMEOUT: Duration = Duration::from_secs(110);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: berylknot-review CASE FOLDER");
        exit(NOT_RUN);
    };
    let Some(case) = cases::find(&name) else {
        eprintln!("no case {name}");
        exit(NOT_RUN);
    };
    thread::spawn(|| {
        thread::sleep(CASE_TIMEOUT);
        daemon::kill_all();
        eprintln!("the case took too long");
        exit(NOT_RUN);
    });
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&PathBuf::from(folder)).unwrap_or_else(|error| {
        eprintln!("record.txt: {error}");
        exit(NOT_RUN);
    });
    record.line(&format!("case {name}, trouble: {has_trouble}"));
    let run = record.clone();
    let outcome = thread::spawn(move || case(&Setup::new(run, has_trouble))).join();
    let (status, text) = match outcome {
        Ok(Verdict::Broken(text)) => (BROKEN, format!("the rule was broken: {text}")),
        Ok(Verdict::Held(text)) => (HELD, format!("the rule held: {text}")),
        Ok(Verdict::NotRun(text)) => (NOT_RUN, format!("the case could not run: {text}")),
        Err(_) => (NOT_RUN, "the case could not run: it panicked".to_owned()),
    };
    daemon::kill_all();
    record.line(&text);
    println!("{name}: {text}");
    exit(status);
}

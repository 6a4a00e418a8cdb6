//! Publication of a document: the append, and the resolution of lost answers.

use std::time::{Duration, SystemTime};

use actix_rt::time::{Instant, sleep};
use berylknot_coordination::configuration::Verdict;
use berylknot_coordination::record::{Id, Incarnation, Position, Publish, Record};
use berylknot_wire::entry;

use crate::platform::{Append, Log};

/// Maximum number of appends per publish: the first, and one retry after a lost answer.
const MAX_APPENDS: usize = 2;

/// Timeout for finding the proposal in the log after an append.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between reads of the log while the proposal is not found.
const RESOLVE_INTERVAL: Duration = Duration::from_millis(200);

/// Outcome of a proposal.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The document was accepted as this version; a later version may have replaced it.
    Accepted(Position),
    /// Another version was accepted after the base version.
    Stale,
    /// The log refused the entry, or the document is too large.
    Refused(String),
    /// It is not known whether the log stored the entry.
    Unknown(Id, String),
}

/// Proposes a document to follow a base version.
///
/// After a lost answer, the log is searched for the record's id. Retrying the append is safe, since
/// at most one copy can be accepted: the first accepted copy moves the version past the base.
pub(crate) async fn propose(
    log: &mut Log,
    base_version: Position,
    document: &str,
) -> eyre::Result<Outcome> {
    let id = new_id();
    let request = entry::encode(&[Record::Publish(Publish {
        id,
        base_version,
        document: document.to_owned(),
    })])?;
    let mut reason = String::new();
    for attempt in 0..MAX_APPENDS {
        match log.append(&request).await {
            Append::Stored => {}
            // A refused retry says nothing about the first copy, which may be stored.
            Append::Refused(reason) if attempt == 0 => return Ok(Outcome::Refused(reason)),
            Append::Refused(error) | Append::Unknown(error) => reason = error,
        }
        match find(log, id).await {
            Ok(Some((position, Verdict::Accepted | Verdict::Repeated))) => {
                return Ok(Outcome::Accepted(position));
            }
            Ok(Some((_, Verdict::Stale))) => return Ok(Outcome::Stale),
            Ok(Some((_, verdict))) => return Ok(Outcome::Refused(format!("{verdict:?}"))),
            Ok(None) => {}
            Err(error) => return Ok(Outcome::Unknown(id, error)),
        }
    }
    Ok(Outcome::Unknown(id, reason))
}

/// Reads the log until the proposal is found; `None` when it is not found within
/// [`RESOLVE_TIMEOUT`]. Fails when the log cannot be read at the end of the timeout.
async fn find(log: &mut Log, id: Id) -> Result<Option<(Position, Verdict)>, String> {
    let deadline = Instant::now() + RESOLVE_TIMEOUT;
    loop {
        let read = log.read_to_tail().await;
        if let Some(verdict) = log.verdict(id) {
            return Ok(Some(verdict));
        }
        if Instant::now() >= deadline {
            return match read {
                Ok(()) => Ok(None),
                Err(error) => Err(error.to_string()),
            };
        }
        sleep(RESOLVE_INTERVAL).await;
    }
}

/// Creates a unique id for a proposal from a new incarnation, as a daemon draws at its start.
fn new_id() -> Id {
    let time = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let millis = u64::try_from(time.as_millis()).unwrap_or_default();
    Id {
        incarnation: Incarnation::new(millis, rand::random()),
        sequence: 1,
    }
}

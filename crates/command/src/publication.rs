//! Publication of a document: append, lost answers, and the hosts' confirmation.

use std::time::{Duration, SystemTime};

use actix_rt::time::{Instant, sleep};
use berylknot_coordination::configuration::Verdict;
use berylknot_coordination::record::{Id, Incarnation, Position, Publish, Record};
use berylknot_wire::entry;

use crate::platform::{Append, Log};

/// Appends per publish: the first, and one repetition after a lost answer.
const MAX_APPENDS: usize = 2;

/// Time after a lost answer within which the entry is looked for in the log.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between two looks at the log.
const RESOLVE_PAUSE: Duration = Duration::from_millis(200);

/// What became of a proposal.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The document is in force as this version, or was until a later one followed.
    Accepted(Position),
    /// Another version was accepted after the base version.
    Stale,
    /// The log refused the entry.
    Refused(String),
    /// The log does not tell whether it stored the entry.
    Unknown(Id, String),
}

/// Proposes a document to follow a base version.
///
/// A lost answer is resolved by the record's id alone. The append may be repeated, since at most
/// one of the copies can be accepted: the first accepted copy moves the version past the base.
pub(crate) async fn propose(
    log: &mut Log,
    base_version: Position,
    document: &str,
) -> eyre::Result<Outcome> {
    let id = id();
    let request = entry::encode(&[Record::Publish(Publish {
        id,
        base_version,
        document: document.to_owned(),
    })])?;
    let mut reason = String::new();
    for attempt in 0..MAX_APPENDS {
        match log.append(&request).await {
            Append::Stored => {}
            // An earlier copy may be stored although this one is not.
            Append::Refused(reason) if attempt == 0 => return Ok(Outcome::Refused(reason)),
            Append::Refused(lost) | Append::Unknown(lost) => reason = lost,
        }
        match find(log, id).await {
            Ok(Some((position, Verdict::Accepted | Verdict::Repeated))) => {
                return Ok(Outcome::Accepted(position));
            }
            Ok(Some((_, Verdict::Stale))) => return Ok(Outcome::Stale),
            Ok(Some((_, verdict))) => return Ok(Outcome::Refused(format!("{verdict:?}"))),
            Ok(None) => {}
            Err(unreachable) => return Ok(Outcome::Unknown(id, unreachable)),
        }
    }
    Ok(Outcome::Unknown(id, reason))
}

/// Reads on until the proposal is found; `None` when the log was read and does not hold it.
async fn find(log: &mut Log, id: Id) -> Result<Option<(Position, Verdict)>, String> {
    let deadline = Instant::now() + RESOLVE_TIMEOUT;
    loop {
        let read = log.read_on().await;
        if let Some(verdict) = log.verdict(id) {
            return Ok(Some(verdict));
        }
        if Instant::now() >= deadline {
            return match read {
                Ok(()) => Ok(None),
                Err(error) => Err(error.to_string()),
            };
        }
        sleep(RESOLVE_PAUSE).await;
    }
}

/// Unique id of a proposal, in the form of a process start's incarnation.
fn id() -> Id {
    let time = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let millis = u64::try_from(time.as_millis()).unwrap_or_default();
    Id {
        incarnation: Incarnation::new(millis, rand::random()),
        sequence: 1,
    }
}

//! Entries of the platform's log: base64 of the MessagePack of their records.

use berylknot_border::batch;
use berylknot_border::platform::{AppendRequest, LogEntry};
use berylknot_coordination::record::{Entry, Position, Record};

use crate::{Error, Result};

/// Encodes the records of one entry for an append.
///
/// # Errors
/// Fails when there are more than [`Position::RECORDS_PER_ENTRY`] records, whose positions would
/// run into those of the next entry.
pub fn encode(records: &[Record]) -> Result<AppendRequest> {
    if records.len() > Position::RECORDS_PER_ENTRY {
        return Err(Error::Records {
            count: records.len(),
        });
    }
    let bytes = rmp_serde::to_vec_named(records)?;
    Ok(AppendRequest {
        data: batch::encode(&bytes),
    })
}

/// Decodes an entry as read back from the log.
///
/// # Errors
/// Fails when the data is not base64, not the MessagePack of known records, or has more than
/// [`Position::RECORDS_PER_ENTRY`] records. Such an entry was not written by this system or was
/// written by a newer release.
pub fn decode(entry: &LogEntry) -> Result<Entry> {
    let bytes = batch::decode(&entry.data).ok_or(Error::Base64 {
        offset: entry.offset,
    })?;
    let records: Vec<Record> = rmp_serde::from_slice(&bytes)?;
    if records.len() > Position::RECORDS_PER_ENTRY {
        return Err(Error::Records {
            count: records.len(),
        });
    }
    Ok(Entry {
        offset: entry.offset,
        appended_at_ms: entry.appended_at_ms,
        records,
    })
}

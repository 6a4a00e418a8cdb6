//! Entries of the platform's log: base64 of a format byte and the MessagePack of their records.

use std::io::Read;

use berylknot_border::batch;
use berylknot_border::platform::{AppendRequest, LogEntry};
use berylknot_coordination::record::{Entry, Position, Record};
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};

use crate::{Error, Result};

/// First byte of an entry whose records are not compressed.
const PLAIN: u8 = 1;

/// First byte of an entry whose records are compressed with DEFLATE.
const DEFLATED: u8 = 2;

/// Length in bytes from which an entry is compressed. Renewals and claims are shorter; settings
/// and snapshots are longer and repeat their field names.
const COMPRESSED_FROM_BYTES: usize = 2_048;

/// Largest decompressed entry in bytes; a snapshot has at most 32 MiB in all.
const LENGTH_LIMIT_BYTES: u64 = 64 << 20;

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
    let packed = rmp_serde::to_vec_named(records)?;
    let mut bytes = Vec::with_capacity(packed.len() + 1);
    if packed.len() < COMPRESSED_FROM_BYTES {
        bytes.push(PLAIN);
        bytes.extend_from_slice(&packed);
    } else {
        bytes.push(DEFLATED);
        DeflateEncoder::new(packed.as_slice(), Compression::default())
            .read_to_end(&mut bytes)
            .map_err(Error::Compression)?;
    }
    Ok(AppendRequest {
        data: batch::encode(&bytes),
    })
}

/// Decodes an entry as read back from the log.
///
/// # Errors
/// Fails when the data is not base64, has an unknown format byte, is not the MessagePack of known
/// records, or has more than [`Position::RECORDS_PER_ENTRY`] records. Such an entry was not written
/// by this system or was written by a newer release.
pub fn decode(entry: &LogEntry) -> Result<Entry> {
    let bytes = batch::decode(&entry.data).ok_or(Error::Base64 {
        offset: entry.offset,
    })?;
    let records: Vec<Record> = match bytes.split_first() {
        Some((&PLAIN, packed)) => rmp_serde::from_slice(packed)?,
        Some((&DEFLATED, packed)) => {
            rmp_serde::from_read(DeflateDecoder::new(packed).take(LENGTH_LIMIT_BYTES))?
        }
        _ => {
            return Err(Error::Format {
                offset: entry.offset,
            });
        }
    };
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

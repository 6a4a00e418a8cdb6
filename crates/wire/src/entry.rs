//! Encoding of log entries: base64 of a format byte and of the records in MessagePack.

use std::io::Read;

use berylknot_border::batch;
use berylknot_border::platform::{AppendRequest, LogEntry};
use berylknot_coordination::record::{Entry, Position, Record};
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};

use crate::{Error, Result};

/// Format byte of an entry whose records are not compressed.
const FORMAT_PLAIN: u8 = 1;

/// Format byte of an entry whose records are compressed with DEFLATE.
const FORMAT_DEFLATE: u8 = 2;

/// Smallest length of the packed records, in bytes, that is compressed. Lease renewals and claims
/// are shorter; settings and snapshots are longer and compress well, as they repeat field names.
const COMPRESSION_THRESHOLD_BYTES: usize = 2_048;

/// Limit on the decompressed records of an entry, in bytes; all chunks of a snapshot together have
/// at most 32 MiB.
const MAX_DECOMPRESSED_BYTES: u64 = 64 << 20;

/// Encodes records as one entry, ready to append to the log.
///
/// # Errors
/// Fails when there are more than [`Position::RECORDS_PER_ENTRY`] records, as their positions would
/// overlap those of the next entry.
pub fn encode(records: &[Record]) -> Result<AppendRequest> {
    if records.len() > Position::RECORDS_PER_ENTRY {
        return Err(Error::TooManyRecords {
            count: records.len(),
        });
    }
    let packed = rmp_serde::to_vec_named(records)?;
    let mut bytes = Vec::with_capacity(packed.len() + 1);
    if packed.len() < COMPRESSION_THRESHOLD_BYTES {
        bytes.push(FORMAT_PLAIN);
        bytes.extend_from_slice(&packed);
    } else {
        bytes.push(FORMAT_DEFLATE);
        DeflateEncoder::new(packed.as_slice(), Compression::default())
            .read_to_end(&mut bytes)
            .map_err(Error::Compression)?;
    }
    Ok(AppendRequest {
        data: batch::encode(&bytes),
    })
}

/// Decodes an entry read from the log.
///
/// # Errors
/// Fails when the data is not base64, has an unknown format byte, is not the MessagePack of known
/// records, or has more than [`Position::RECORDS_PER_ENTRY`] records. Such an entry was not written
/// by this system or was written by a newer release.
pub fn decode(entry: &LogEntry) -> Result<Entry> {
    let bytes = batch::decode(&entry.data).ok_or(Error::InvalidBase64 {
        offset: entry.offset,
    })?;
    let records: Vec<Record> = match bytes.split_first() {
        Some((&FORMAT_PLAIN, packed)) => rmp_serde::from_slice(packed)?,
        Some((&FORMAT_DEFLATE, packed)) => {
            rmp_serde::from_read(DeflateDecoder::new(packed).take(MAX_DECOMPRESSED_BYTES))?
        }
        _ => {
            return Err(Error::UnknownFormat {
                offset: entry.offset,
            });
        }
    };
    if records.len() > Position::RECORDS_PER_ENTRY {
        return Err(Error::TooManyRecords {
            count: records.len(),
        });
    }
    Ok(Entry {
        offset: entry.offset,
        appended_at_ms: entry.appended_at_ms,
        records,
    })
}
